"""A tenant's quota over a fleet: all ingresses together stay within it, and each can use all of it."""

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
    """A service table without services, so LIVENESS_DUTY is the only duty."""

    def services(self) -> list[str]:
        return []


def new_fleet(seed: int, first: bool = True) -> SimulatedFleet:
    return SimulatedFleet(seed, ZONES, proxy_settings(RATE, BURST), first)


def send_load(fleet: SimulatedFleet, until: float, per_s: float, only: list[str] | None = None) -> None:
    """Requests arrive at a constant mean rate at random ingresses."""
    while fleet.now < until:
        fleet.run(fleet.now + fleet.random.expovariate(per_s) * 1000)
        fleet.ask(fleet.random.choice(only or list(fleet.ingresses)))


@pytest.mark.parametrize("seed", range(4))
def test_load_above_the_quota_is_limited_to_the_quota(seed: int) -> None:
    t = new_fleet(seed)
    send_load(t, 12_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED
    assert len(t.admitted) >= 0.95 * (RATE * 12)  # and the quota is used


def test_load_below_the_quota_is_admitted_however_uneven() -> None:
    t = new_fleet(1)
    asked = 0
    for only in (["a-0"], ["b-1", "c-2"], None):
        until = t.now + 4000
        while t.now < until:
            t.run(t.now + t.random.expovariate(RATE * 0.7) * 1000)
            asked += 1
            t.ask(t.random.choice(only or list(t.ingresses)))
    assert len(t.admitted) >= 0.99 * asked


def test_both_sides_of_a_partition_together_stay_within_the_quota() -> None:
    t = new_fleet(2)
    send_load(t, 3000, 300)
    sides = [n for n in t.ingresses if n[0] == "a"], [n for n in t.ingresses if n[0] != "a"]
    t.cut = {(x, y) for x in sides[0] for y in sides[1]} | {(y, x) for x in sides[0] for y in sides[1]}
    send_load(t, 9000, 300)
    t.cut = set()
    send_load(t, 14_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED


def owner(fleet: SimulatedFleet) -> str:
    """Returns the ingress that owns the tenant's quota."""
    (name,) = [
        i.name for i in fleet.ingresses.values() if i.alive and shard_of("tenant") in i.node.owned_shards()
    ]
    return name


@pytest.mark.parametrize("seed", range(3))
def test_failed_owners_and_aggregators_cause_no_second_burst(seed: int) -> None:
    t = new_fleet(seed)
    send_load(t, 3000, 300)
    order = ranked_aggregators("a", shard_of("tenant"), [n for n in t.ingresses if n[0] == "a"], frozenset())
    for name in {owner(t), order[0]}:
        t.kill(name)
    send_load(t, 5000, 300)
    t.kill(owner(t))
    send_load(t, 10_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED
    # the share of the failed ingresses may still be in use
    left = sum(i.alive for i in t.ingresses.values()) / len(t.ingresses)
    assert sum(at >= 6000 for at in t.admitted) >= 0.95 * RATE * 4 * left


def test_restarted_and_added_ingresses_cause_no_second_burst() -> None:
    t = new_fleet(4)
    send_load(t, 4000, 300)
    for name in ["a-0", "b-0", "b-1", "c-0", "c-1", "a-3"]:
        t.kill(name)
    send_load(t, 4500, 300)
    for name in ["a-0", "b-0", "b-1", "c-0", "c-1", "a-3", "a-9", "b-9"]:
        t.add(name, name[0])
    send_load(t, 10_000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) <= ALLOWED


def test_the_check_finds_ingresses_that_do_not_communicate() -> None:
    t = new_fleet(5)
    t.cut = {(x, y) for x in t.ingresses for y in t.ingresses if x != y}
    for ingress in t.ingresses.values():  # each considers itself the only ingress
        ingress.exchange.membership = lambda now: (1, 1)  # type: ignore[method-assign]
    send_load(t, 6000, 300)
    assert max_in_window(t.admitted, WINDOW_S * 1000) > ALLOWED


def test_dial_targets_of_an_ingress() -> None:
    """The lower address dials within a zone; other zones are dialled once the own zone is linked.

    They are dialled by the ingress that is responsible for a duty, or that aggregates a shard.
    """
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
    assert [m.name for m in e.dial_targets(0.0, [], ())] == [
        "a-2"
    ]  # an ingress that is not linked yet may be the responsible one
    names = ["a-0", "a-1", "a-2"]
    own_duties = [duty for duty in e.duties() if e.is_responsible(duty, ["a-0", "a-2"])]
    asked = [
        shard
        for shard in range(SHARD_COUNT)
        if ranked(zone_key("a", shard), names)[0] == "a-1" and preceding_zones(shard, "a", ["b"])
    ]
    away = {m.name for m in e.dial_targets(0.1, near, ()) if m.zone == "b"}
    expected = {ranked(f"b/{duty}", ["b-0", "b-1"])[0] for duty in own_duties}
    for shard in asked:
        expected.update(ranked(zone_key("b", shard), ["b-0", "b-1"])[:LINKS_TO_OWNERS])
    assert away == expected


def test_the_next_owner_is_dialled_if_the_first_is_unreachable() -> None:
    e = LoadExchange("a-1", "10.0.0.2", "a", 1, NoServices())
    members = [
        Member(f"{zone}-{n}", f"10.0.{z}.{n}", 1, zone, 1) for z, zone in enumerate("bc", 1) for n in range(3)
    ]
    e.update_members(0.0, members, (), True)
    wanted = {m.name for m in e.dial_targets(0.0, [], ())}
    for shard in range(SHARD_COUNT):  # alone in its zone, it aggregates every shard
        for zone in preceding_zones(shard, "a", ["b", "c"]):
            order = ranked(zone_key(zone, shard), [f"{zone}-{n}" for n in range(3)])
            assert order[0] in wanted
            assert order[1] in {m.name for m in e.dial_targets(0.1, [], [order[0]])}
            linked = [(order[0], zone)]
            assert order[0] in {m.name for m in e.dial_targets(0.2, linked, ())}
            break
    # a zone that follows a linked zone is not dialled, unless another duty requires it
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


def test_unreachable_members_are_replaced_and_delisted_members_stay_linked() -> None:
    f = LoadExchange("a-1", "10.0.0.2", "a", 1, NoServices())
    f.update_members(
        0.0, [Member("b-0", "10.0.1.1", 1, "b", 1), Member("b-1", "10.0.1.2", 1, "b", 1)], (), True
    )
    first = ranked(f"b/{LIVENESS_DUTY}", ["b-0", "b-1"])[0]
    other = ranked(f"b/{LIVENESS_DUTY}", ["b-0", "b-1"])[1]
    assert first in {m.name for m in f.dial_targets(0.0, [], ())}
    assert [m.name for m in f.dial_targets(0.1, [], [first])] == [other]  # for every duty and shard
    # a delisted member may only be partitioned from the registry: a link that is up is kept
    f.update_members(1.0, [], [first], False)
    assert f.should_keep(first, f.ip, {}, True) and not f.should_keep(first, f.ip, {}, False)
    assert not f.should_keep(other, f.ip, {}, True)
