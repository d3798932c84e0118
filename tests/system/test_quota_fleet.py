"""A tenant's quota over ingresses that nobody counts: held by all together, and used up by whoever is asked."""

from __future__ import annotations

import pytest
from proxy_fleet import SimulatedFleet, TwoServices, max_in_window, proxy_settings

from troutdock.proxy.load_exchange import LIVENESS_DUTY, LINKS_TO_OWNERS, LoadExchange
from troutdock.rpc.messages import Member
from troutdock.endpoints.rendezvous import ranked
from troutdock.quota.routes import SHARD_COUNT, ranked_aggregators, shard_of, zone_key, preceding_zones

RATE, BURST, WINDOW_S = 40.0, 40.0, 5.0
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20  # as the operators' rule counts
ZONES = {"a": 4, "b": 4, "c": 3}


class NoServices(TwoServices):
    """No backends yet: telling how many are heard is the only duty."""

    def services(self) -> list[str]:
        return []


def town(seed: int, first: bool = True) -> SimulatedFleet:
    return SimulatedFleet(seed, ZONES, proxy_settings(RATE, BURST), first)


def press(town: SimulatedFleet, until: float, per_s: float, only: list[str] | None = None) -> None:
    """Tries come evenly in time, to ingresses drawn by lot."""
    while town.now < until:
        town.run(town.now + town.random.expovariate(per_s) * 1000)
        town.ask(town.random.choice(only or list(town.ingresses)))


@pytest.mark.parametrize("seed", range(4))
def test_beyond_the_quota_all_together_stay_within_it(seed: int) -> None:
    t = town(seed)
    press(t, 12_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED
    assert len(t.admitted) >= 0.95 * (RATE * 12)  # and it is used up


def test_below_the_quota_nobody_is_refused_however_uneven() -> None:
    t = town(1)
    asked = 0
    for only in (["a-0"], ["b-1", "c-2"], None):
        until = t.now + 4000
        while t.now < until:
            t.run(t.now + t.random.expovariate(RATE * 0.7) * 1000)
            asked += 1
            t.ask(t.random.choice(only or list(t.ingresses)))
    assert len(t.admitted) >= 0.99 * asked


def test_cut_in_two_both_sides_together_stay_within_it() -> None:
    t = town(2)
    press(t, 3000, 300)
    sides = [n for n in t.ingresses if n[0] == "a"], [n for n in t.ingresses if n[0] != "a"]
    t.cut = {(x, y) for x in sides[0] for y in sides[1]} | {(y, x) for x in sides[0] for y in sides[1]}
    press(t, 9000, 300)
    t.cut = set()
    press(t, 14_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED


def owner(town: SimulatedFleet) -> str:
    """Who leases the tenant's tokens."""
    (name,) = [
        i.name for i in town.ingresses.values() if i.alive and shard_of("tenant") in i.node.owned_shards()
    ]
    return name


@pytest.mark.parametrize("seed", range(3))
def test_where_the_owner_and_the_aggregators_are_lost_the_next_lease_no_fresh_burst(seed: int) -> None:
    t = town(seed)
    press(t, 3000, 300)
    order = ranked_aggregators("a", shard_of("tenant"), [n for n in t.ingresses if n[0] == "a"], frozenset())
    for name in {owner(t), order[0]}:
        t.kill(name)
    press(t, 5000, 300)
    t.kill(owner(t))
    press(t, 10_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED
    left = sum(i.alive for i in t.ingresses.values()) / len(
        t.ingresses
    )  # the lost ones' part may still be in use
    assert sum(at >= 6000 for at in t.admitted) >= 0.95 * RATE * 4 * left


def test_restarted_and_added_ingresses_bring_no_fresh_burst() -> None:
    t = town(4)
    press(t, 4000, 300)
    for name in ["a-0", "b-0", "b-1", "c-0", "c-1", "a-3"]:
        t.kill(name)
    press(t, 4500, 300)
    for name in ["a-0", "b-0", "b-1", "c-0", "c-1", "a-3", "a-9", "b-9"]:
        t.add(name, name[0])
    press(t, 10_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED


def test_the_check_finds_ingresses_that_tell_nothing() -> None:
    t = town(5)
    t.cut = {(x, y) for x in t.ingresses for y in t.ingresses if x != y}
    for ingress in t.ingresses.values():  # each takes itself for the only one
        ingress.exchange.membership = lambda now: (1, 1)  # type: ignore[method-assign]
    press(t, 6000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) > ALLOWED


def test_whom_an_ingress_dials() -> None:
    """In the zone the lower address; other zones by the home of a duty or the owner of a shard, once its own zone is linked."""
    e = LoadExchange("a-1", "10.0.0.2", "a", 1, TwoServices())
    e.update_members(
        0.0,
        [
            Member("a-0", "10.0.0.1", 1, "a", 1),
            Member("a-2", "10.0.0.3", 1, "a", 1),
            Member("b-0", "10.0.1.1", 1, "b", 1),
            Member("b-1", "10.0.1.2", 1, "b", 1),
        ],
        (),
        True,
    )
    near = [("a-0", "a"), ("a-2", "a")]
    assert [m.name for m in e.dial_targets(0.0, [], ())] == ["a-2"]  # who is unmet may be the speaker
    names = ["a-0", "a-1", "a-2"]
    homes = [duty for duty in e.duties() if e.is_responsible(duty, ["a-0", "a-2"])]
    asked = [
        shard
        for shard in range(SHARD_COUNT)
        if ranked(zone_key("a", shard), names)[0] == "a-1" and preceding_zones(shard, "a", ["b"])
    ]
    away = {m.name for m in e.dial_targets(0.1, near, ()) if m.zone == "b"}
    expected = {ranked(f"b/{duty}", ["b-0", "b-1"])[0] for duty in homes}
    for shard in asked:
        expected.update(ranked(zone_key("b", shard), ["b-0", "b-1"])[:LINKS_TO_OWNERS])
    assert away == expected


def test_of_owners_that_cannot_be_reached_the_next_is_dialled() -> None:
    e = LoadExchange("a-1", "10.0.0.2", "a", 1, NoServices())
    members = [
        Member(f"{zone}-{n}", f"10.0.{z}.{n}", 1, zone, 1) for z, zone in enumerate("bc", 1) for n in range(3)
    ]
    e.update_members(0.0, members, (), True)
    wanted = {m.name for m in e.dial_targets(0.0, [], ())}
    for shard in range(SHARD_COUNT):  # alone in its zone, it asks for every shard
        for zone in preceding_zones(shard, "a", ["b", "c"]):
            order = ranked(zone_key(zone, shard), [f"{zone}-{n}" for n in range(3)])
            assert order[0] in wanted
            assert order[1] in {m.name for m in e.dial_targets(0.1, [], [order[0]])}
            linked = [(order[0], zone)]
            assert order[0] in {m.name for m in e.dial_targets(0.2, linked, ())}
            break
    # a zone behind one that is linked is left alone, where it is home for nothing else there
    behind = {zone for shard in range(SHARD_COUNT) for zone in preceding_zones(shard, "a", ["b", "c"])[:1]}
    linked_zones = [(f"{zone}-0", zone) for zone in sorted(behind)]
    dialled = e._quota_dial_targets(
        [], {zone: {m.name: m for m in members if m.zone == zone} for zone in "bc"}, linked_zones, ()
    )
    expected = set()
    for shard in range(SHARD_COUNT):
        for zone in preceding_zones(shard, "a", ["b", "c"])[:1]:
            expected.update(
                ranked(zone_key(zone, shard), [f"{zone}-{n}" for n in range(3)])[:LINKS_TO_OWNERS]
            )
    assert set(dialled) == expected


def test_one_that_cannot_be_reached_makes_room_and_one_that_left_the_list_stays_while_it_is_up() -> None:
    f = LoadExchange("a-1", "10.0.0.2", "a", 1, NoServices())
    f.update_members(
        0.0, [Member("b-0", "10.0.1.1", 1, "b", 1), Member("b-1", "10.0.1.2", 1, "b", 1)], (), True
    )
    first = ranked(f"b/{LIVENESS_DUTY}", ["b-0", "b-1"])[0]
    other = ranked(f"b/{LIVENESS_DUTY}", ["b-0", "b-1"])[1]
    assert first in {m.name for m in f.dial_targets(0.0, [], ())}
    assert [m.name for m in f.dial_targets(0.1, [], [first])] == [other]  # for every duty and shard
    # who has left the list may merely be cut off from the registry: a link that is up stays, another goes
    f.update_members(1.0, [], [first], False)
    assert f.should_keep(first, f.ip, {}, True) and not f.should_keep(first, f.ip, {}, False)
    assert not f.should_keep(other, f.ip, {}, True)
