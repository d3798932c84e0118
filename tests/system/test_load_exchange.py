"""What zones tell each other by homes: sums that are right whoever tells them."""

from __future__ import annotations

from random import Random

import pytest
from proxy_fleet import SimulatedFleet, TwoServices, proxy_settings

from troutdock.proxy.load_exchange import LoadExchange

ZONES = {"a": 4, "b": 3, "c": 3}


def busy(seed: int, deaths: int) -> SimulatedFleet:
    """Loads by lot for eight seconds, while some end and others start; then three seconds of calm."""
    random = Random(seed)
    town = SimulatedFleet(seed, ZONES, proxy_settings(4000.0, 4000.0))
    at = sorted(random.uniform(1000, 7000) for _ in range(deaths))
    while town.now < 8000:
        town.run(town.now + random.expovariate(250) * 1000)
        alive = [i for i in town.ingresses.values() if i.alive]
        if at and town.now > at[0]:
            at.pop(0)
            zone = random.choice("abc")
            there = [i for i in alive if i.zone == zone]
            lost = (
                next((i for i in there if town.speaks(i)), there[0])
                if random.random() < 0.6
                else random.choice(there)
            )
            if len(there) > 1:
                town.kill(lost.name)
                town.add(f"{zone}-{random.randint(20, 99)}", zone)
            continue
        ingress = random.choice(alive)
        town.ask(ingress.name)
        instance = str(random.randint(1, 3))
        ingress.exchange.set_load(instance, random.randint(0, 5))
    town.run(11_500)
    return town


@pytest.mark.parametrize("deaths", [0, 1, 4])
@pytest.mark.parametrize("seed", range(5))
def test_sums_of_zones_are_right_everywhere_after_any_course(seed: int, deaths: int) -> None:
    town = busy(seed, deaths)
    alive = [i for i in town.ingresses.values() if i.alive]
    for zone in ZONES:
        true: dict[str, int] = {}
        for ingress in alive:
            if ingress.zone == zone:
                for instance, count in ingress.exchange.own_loads.items():
                    true[instance] = true.get(instance, 0) + count
        for ingress in alive:
            seen = (
                ingress.exchange.zone_loads
                if ingress.zone == zone
                else ingress.exchange.remote_zones[zone].loads
            )
            assert seen == true, (zone, ingress.name)
    assert all(i.exchange.membership(i.now) == (len(town.ingresses), len(alive)) or deaths for i in alive)


def test_what_one_ingress_says_does_not_grow_with_the_others() -> None:
    """Twice the ingresses for the same requests: no ingress says more than a third more."""
    most = []
    for count in (8, 16):
        town = SimulatedFleet(1, {"a": count, "b": count}, proxy_settings(4000.0, 4000.0))
        while town.now < 2000:
            town.run(town.now + town.random.expovariate(300) * 1000)
            name = town.random.choice(list(town.ingresses))
            town.ask(name)
            town.ingresses[name].exchange.set_load(str(town.random.randint(1, 3)), town.random.randint(0, 5))
        most.append(max(town.sent_by.values()) / count)
    assert most[1] < most[0] * 4 / 3  # by receiver: what is passed on goes to each neighbour


# ---- one exchange, by hand


def test_who_becomes_home_tells_all_of_its_duty_again() -> None:
    e = LoadExchange("a-1", "10.0.0.1", "a", 1, TwoServices())
    e.set_load("1", 3)
    crowd = [f"a-{n}" for n in range(2, 200)]
    assert e.remote_updates(0.0, crowd, [("b-1", "b")]) == []  # home for nothing: another one tells it
    e.set_load("2", 4)
    g = LoadExchange("b-1", "10.0.1.1", "b", 2, TwoServices())
    for names, shares in e.remote_updates(5.0, [], [("b-1", "b")]):  # alone now
        assert names == ["b-1"]
        g.receive(5.0, shares, "a-1", "a")
    assert g.remote_zones["a"].loads == {"1": 3, "2": 4}


def test_a_restart_after_the_clock_was_set_back_is_heard() -> None:
    e = LoadExchange("a-1", "10.0.0.1", "a", 1, TwoServices())
    for life, out in ((5_000, 2), (4_000, 1)):
        other = LoadExchange("a-2", "10.0.0.2", "a", life, TwoServices())
        other.set_load("1", out)
        e.receive(0.0, other.full_state(0.0, "a-1", False), "a-2", "a")
        assert e.zone_peers["a-2"].loads == e.zone_loads == {"1": out}
    other.set_load("1", 5)
    shares = other.zone_update()
    assert shares is not None and e.receive(0.1, shares, "a-2", "a").loads == {"a-2": {"1": 5}}
    third = LoadExchange(
        "a-3", "10.0.0.3", "a", 9, TwoServices()
    )  # which only knows the previous incarnation
    stale = LoadExchange("a-2", "10.0.0.2", "a", 3_000, TwoServices())
    third.receive(0.0, stale.full_state(0.0, "a-3", False), "a-2", "a")
    e.receive(0.2, third.full_state(0.0, "a-1", False), "a-3", "a")
    assert e.zone_peers["a-2"].incarnation == 4_000
