"""Load exchange between zones: sums are correct whichever ingress is responsible for sending them."""

from __future__ import annotations

from random import Random

import pytest
from proxy_fleet import SimulatedFleet, TwoServices, proxy_settings

from troutdock.proxy.load_exchange import LoadExchange

ZONES = {"a": 4, "b": 3, "c": 3}


def run_random_loads(seed: int, failures: int) -> SimulatedFleet:
    """Sets random loads for 8 s while ingresses fail and start, then waits 3.5 s without changes."""
    random = Random(seed)
    fleet = SimulatedFleet(seed, ZONES, proxy_settings(4000.0, 4000.0))
    at = sorted(random.uniform(1000, 7000) for _ in range(failures))
    while fleet.now < 8000:
        fleet.run(fleet.now + random.expovariate(250) * 1000)
        alive = [i for i in fleet.ingresses.values() if i.alive]
        if at and fleet.now > at[0]:
            at.pop(0)
            zone = random.choice("abc")
            in_zone = [i for i in alive if i.zone == zone]
            failed = (
                next((i for i in in_zone if fleet.speaks(i)), in_zone[0])
                if random.random() < 0.6
                else random.choice(in_zone)
            )
            if len(in_zone) > 1:
                fleet.kill(failed.name)
                fleet.add(f"{zone}-{random.randint(20, 99)}", zone)
            continue
        ingress = random.choice(alive)
        fleet.ask(ingress.name)
        instance = str(random.randint(1, 3))
        ingress.exchange.set_load(instance, random.randint(0, 5))
    fleet.run(11_500)
    return fleet


@pytest.mark.parametrize("failures", [0, 1, 4])
@pytest.mark.parametrize("seed", range(5))
def test_zone_sums_converge_everywhere_after_failures(seed: int, failures: int) -> None:
    fleet = run_random_loads(seed, failures)
    alive = [i for i in fleet.ingresses.values() if i.alive]
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
    assert all(i.exchange.membership(i.now) == (len(fleet.ingresses), len(alive)) or failures for i in alive)


def test_traffic_of_one_ingress_does_not_grow_with_their_number() -> None:
    """With twice the ingresses and the same requests, no ingress sends more than a third more."""
    max_sent = []
    for count in (8, 16):
        fleet = SimulatedFleet(1, {"a": count, "b": count}, proxy_settings(4000.0, 4000.0))
        while fleet.now < 2000:
            fleet.run(fleet.now + fleet.random.expovariate(300) * 1000)
            name = fleet.random.choice(list(fleet.ingresses))
            fleet.ask(name)
            fleet.ingresses[name].exchange.set_load(
                str(fleet.random.randint(1, 3)), fleet.random.randint(0, 5)
            )
        max_sent.append(max(fleet.sent_by.values()) / count)
    assert (
        max_sent[1] < max_sent[0] * 4 / 3
    )  # per receiver, because forwarded values go to each peer of the zone


# ---- single exchanges


def test_a_newly_responsible_ingress_resends_all_values_of_its_duty() -> None:
    e = LoadExchange("a-1", "10.0.0.1", "a", 1, TwoServices())
    e.set_load("1", 3)
    zone_names = [f"a-{n}" for n in range(2, 200)]
    assert (
        e.remote_updates(0.0, zone_names, [("b-1", "b")]) == []
    )  # responsible for nothing: another ingress sends it
    e.set_load("2", 4)
    g = LoadExchange("b-1", "10.0.1.1", "b", 2, TwoServices())
    for names, shares in e.remote_updates(5.0, [], [("b-1", "b")]):  # the only ingress of its zone now
        assert names == ["b-1"]
        g.receive(5.0, shares, "a-1", "a")
    assert g.remote_zones["a"].loads == {"1": 3, "2": 4}


def test_a_restart_after_the_clock_was_set_back_is_accepted() -> None:
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
