"""Ingresses of the whole gateway in simulated time: their decisions and what they tell each other, no sockets.

Each has a Fabric and an Exchange; messages go within a zone in a few milliseconds and between speakers in some
tens, as mesh.py does it. Backends are slots and a queue.
"""

from __future__ import annotations

import heapq
from random import Random
from typing import Any
from zlib import crc32

from espalier.shares import Exchange
from furrow.messages import Member
from tamarindfold.fabric import Fabric
from tamarindfold.interface import (
    BackendEntry, BackendState, Company, Effect, FleetUpdate, Level, ListKind, OthersLoad, OthersUse, Plan,
    RequestArrived, RequestClass, Settings,
)


def terms(rate: float = 0.0, burst: float = 0.0, aim_ms: float = 800.0, deadline_ms: float = 5000.0,
          effect: Effect = Effect.SAFE) -> Settings:
    return Settings(
        gateways=1, index=0, classes=(RequestClass(aim_ms, deadline_ms, 1, effect, name="read"),),
        plans=(Plan(0, 0), Plan(rate, burst, name="tenant")), max_attempts=2, start_capacity=1, cold_ms=0,
        fall_multiple=1, overload_ms=1000, drain_grace_ms=0, cancel=True, second_copies=True)


def arrival(number: int, tenant: int = 1, left_ms: float = 5000.0, attempts: int = 2) -> RequestArrived:
    return RequestArrived(number, tenant, 1, 0, 1.0, 0, 1, left_ms, max_attempts=attempts)


def ready(*backends: int, zone: int = 0, slots: int = 2) -> FleetUpdate:
    return FleetUpdate(ListKind.CHANGES, [BackendEntry(b, BackendState.READY, zone, size=slots) for b in backends])


class Ingress:
    """One of them."""

    def __init__(self, name: str, zone: str, now: float, settings: Settings, first: bool, life: int) -> None:
        self.name, self.zone = name, zone
        self.fabric = Fabric(settings, life * 1000 + crc32(name.encode()) % 1000, 0, first_start=first)
        self.exchange = Exchange(name, name, zone, life)
        self.exchange.settled = first
        self.alive = True


class Town:
    """Ingresses by name, and the ways between them. admitted: (time, tenant) of all that were let in."""

    def __init__(self, seed: int, zones: dict[str, int], settings: Settings, first: bool = True) -> None:
        self.random, self.settings = Random(seed), settings
        self.now = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.ingresses: dict[str, Ingress] = {}
        self.admitted: list[float] = []
        self._linked: set[tuple[str, int, str, int]] = set()
        self._queue: list[tuple[float, int, Any]] = []
        self._number = 0
        for zone, count in zones.items():
            for n in range(count):
                self.add(f"{zone}-{n}", zone, first)
        self.later(0.0, self._tell_zone)
        self.later(0.0, self._tell_away)

    def add(self, name: str, zone: str, first: bool = False) -> Ingress:
        self._number += 1
        ingress = self.ingresses[name] = Ingress(name, zone, self.now, self.settings, first, self._number)
        ingress.fabric.handle(self.now, ready(1, 2, 3, slots=10_000))
        members = [Member(i.name, i.name, 1, i.zone, 1) for i in self.ingresses.values() if i.alive]
        for other in self.ingresses.values():
            other.exchange.listed(self.now / 1000, members, (), False)
            self._company(other)
        for other in self.ingresses.values():
            if other is not ingress and other.alive and (other.name, name) not in self.cut:
                levels = {t.plan.name: t.level for t in other.fabric.tenants.values()}
                shares = other.exchange.full(self.now / 1000, levels, other.zone != zone)
                ingress.exchange.hear(self.now / 1000, shares, other.name, other.zone, self.zone_of)
                own = ingress.exchange.full(self.now / 1000, {}, other.zone != zone)
                other.exchange.hear(self.now / 1000, own, name, zone, self.zone_of)
                if levels:
                    ingress.fabric.handle(self.now, Level({1: levels["tenant"]}))
        ingress.exchange.settled = True
        return ingress

    def zone_of(self, name: str) -> str:
        return self.ingresses[name].zone if name in self.ingresses else ""

    def _company(self, ingress: Ingress) -> None:
        ingresses, heard = ingress.exchange.company(self.now / 1000)
        ingress.fabric.handle(self.now, Company(ingresses, heard))

    def later(self, at: float, what: Any) -> None:
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, what))

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = until

    def ask(self, name: str) -> bool:
        """A request comes there; whether it was let in."""
        ingress = self.ingresses[name]
        if not ingress.alive:
            return False
        self._number += 1
        actions = ingress.fabric.handle(self.now, arrival(self._number))
        for tenant in ingress.fabric.tenants_changed:
            ingress.exchange.use("tenant", ingress.fabric.tenants[tenant].used)
        ingress.fabric.tenants_changed.clear()
        ingress.fabric.calls.clear()
        for backend in ingress.fabric.backends.values():
            backend.out.clear()
        let_in = any(type(a).__name__ == "Send" for a in actions)
        if let_in:
            self.admitted.append(self.now)
        return let_in

    def _deliver(self, ingress: Ingress, shares: Any, away: bool, delay: float) -> None:
        others = [o for o in self.ingresses.values() if o is not ingress and o.alive
                  and (o.zone != ingress.zone) == away and (ingress.name, o.name) not in self.cut]
        if away:
            live = [o for o in others if self._speaks(o)]
            others = live
        for other in others:
            pair = ingress.name, ingress.exchange.life, other.name, other.exchange.life
            if pair not in self._linked:  # a link begins with all
                self._linked.add(pair)
                whole = ingress.exchange.full(self.now / 1000, {}, away)
                self.later(self.now + delay, lambda other=other, whole=whole: self._heard(other, ingress, whole))
            self.later(self.now + delay, lambda other=other: self._heard(other, ingress, shares))

    def _heard(self, other: Ingress, sender: Ingress, shares: Any) -> None:
        if not other.alive:
            return
        news = other.exchange.hear(self.now / 1000, shares, sender.name, sender.zone, self.zone_of)
        for origin, out in news.out.items():
            other.fabric.handle(self.now, OthersLoad(origin, {int(i): n for i, n in out.items()}))
        if "tenant" in news.used:
            other.fabric.handle(self.now, OthersUse({1: float(news.used["tenant"])}))

    def _speaks(self, ingress: Ingress) -> bool:
        return ingress.exchange.speaker([o.name for o in self.ingresses.values() if o.zone == ingress.zone and o.alive
                                         and o is not ingress and (o.name, ingress.name) not in self.cut])

    def _tell_zone(self) -> None:
        for ingress in self.ingresses.values():
            if ingress.alive:
                for other in self.ingresses.values():
                    if other.zone == ingress.zone and other.alive and (other.name, ingress.name) not in self.cut:
                        ingress.exchange.alive(self.now / 1000, other.name)
                if (shares := ingress.exchange.for_zone()) is not None:
                    self._deliver(ingress, shares, False, 1.0)
        self.later(self.now + 8, self._tell_zone)

    def _tell_away(self) -> None:
        for ingress in self.ingresses.values():
            if ingress.alive:
                shares = ingress.exchange.for_away(self.now / 1000)
                if shares is not None and self._speaks(ingress):
                    self._deliver(ingress, shares, True, 2.0)
                self._company(ingress)
        self.later(self.now + 40, self._tell_away)


def most_in(times: list[float], window_ms: float) -> int:
    """The most that any window of that length holds."""
    most = first = 0
    for n, at in enumerate(times):
        while times[first] < at - window_ms:
            first += 1
        most = max(most, n - first + 1)
    return most
