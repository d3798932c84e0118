"""Ingresses of the whole gateway in simulated time: their decisions and what they tell each other, no sockets.

Each has a Fabric and an Exchange; messages go within a zone in a few milliseconds and between homes in some
tens, as peer_connections.py does it. Its quotas go by a Process of quota_network, over links that are dialled and end.
"""

from __future__ import annotations

from random import Random
from typing import Any
from zlib import crc32

from quota_network import Network, Process

from troutdock.proxy.load_exchange import ALIVE
from troutdock.rpc.messages import encode
from troutdock.admission.proxy_admission import LABELS, QUOTA_LABEL, Fabric
from troutdock.admission.interface import (
    Actions,
    BackendEntry,
    BackendState,
    IngressMembership,
    Effect,
    Event,
    FleetUpdate,
    LeasesDue,
    ListKind,
    PeerLoad,
    Plan,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)


def terms(
    rate: float = 0.0,
    burst: float = 0.0,
    aim_ms: float = 800.0,
    deadline_ms: float = 5000.0,
    effect: Effect = Effect.SAFE,
) -> Settings:
    return Settings(
        gateways=1,
        index=0,
        classes=(RequestClass(aim_ms, deadline_ms, 1, effect, name="read"),),
        plans=(Plan(0, 0), Plan(rate, burst, name="tenant")),
        max_attempts=2,
        start_capacity=1,
        cold_ms=0,
        fall_multiple=1,
        overload_ms=1000,
        drain_grace_ms=0,
        cancel=True,
        second_copies=True,
    )


def arrival(number: int, tenant: int = 1, left_ms: float = 5000.0, attempts: int = 2) -> RequestArrived:
    return RequestArrived(number, tenant, 1, 0, 1.0, 0, 1, left_ms, max_attempts=attempts)


def ready(*backends: int, zone: int = 0, slots: int = 2) -> FleetUpdate:
    return FleetUpdate(
        ListKind.CHANGES, [BackendEntry(b, BackendState.READY, zone, size=slots) for b in backends]
    )


class Two:
    """Backends of two services, as the book of instances tells them."""

    def services(self) -> list[str]:
        return ["odd", "even"]

    def service_of(self, instance: str) -> str:
        return ("even", "odd")[int(instance) % 2]

    def instances_of(self, service: str) -> list[str]:
        return [str(n) for n in (1, 2, 3) if self.service_of(str(n)) == service]


class Ingress(Process):
    """One of them: a process whose requests are decided by a Fabric."""

    def __init__(self, town: Town, name: str, zone: str, first: bool) -> None:
        ip = f"10.{zone}.{len(town.ingresses):04}"
        super().__init__(town.network, name, zone, ip, town.network.new_life(), first, Two())
        self.town = town
        seed = self.life * 1000 + crc32(name.encode()) % 1000
        self.fabric = Fabric(town.settings, seed, quotas=self.node)

    @property
    def now_ms(self) -> float:
        """As the decision module counts them."""
        return self.now * 1000

    def handle(self, event: Event) -> Actions:
        """Hand the decision module an event, and do what it says."""
        actions = self.fabric.handle(self.now_ms, event)
        for action in actions:
            if isinstance(action, Send):
                self.town.admitted.append(self.town.now)
                self._forget(action.request)
            elif isinstance(action, SetTimer) and action.label % LABELS == QUOTA_LABEL:
                fired = TimerFired(action.label)
                self.network.later(
                    action.after_ms / 1000, lambda fired=fired: self.do(lambda: self.handle(fired))
                )
        return actions

    def _forget(self, request: int) -> None:
        """It was answered at once."""
        self.fabric.calls.pop(request, None)
        for backend in self.fabric.backends.values():
            for attempt in [attempt for attempt in backend.out if attempt[0] == request]:
                del backend.out[attempt]

    def leases_due(self) -> None:
        self.handle(LeasesDue())


class Town:
    """Ingresses by name, and the ways between them. admitted: the times at which one was let in; ms."""

    def __init__(self, seed: int, zones: dict[str, int], settings: Settings, first: bool = True) -> None:
        self.random, self.settings = Random(seed), settings
        self.network = Network(seed)
        self.ingresses: dict[str, Ingress] = {}
        self.admitted: list[float] = []
        self._linked: set[frozenset[tuple[str, int]]] = set()
        self.sent = self.sent_away = 0  # bytes of messages, and of those to other zones
        self.sent_by: dict[str, int] = {}
        self._number = 0
        for zone, count in zones.items():
            for n in range(count):
                self.add(f"{zone}-{n}", zone, first)
        self.later(0.0, self._tell_zone)
        self.later(0.0, self._tell_away)

    @property
    def now(self) -> float:
        """Milliseconds."""
        return self.network.now * 1000

    @property
    def cut(self) -> set[tuple[str, str]]:
        """Pairs of names, from one to the other, between which nothing comes through."""
        return self.network.cuts

    @cut.setter
    def cut(self, cut: set[tuple[str, str]]) -> None:
        self.network.cuts = cut

    def add(self, name: str, zone: str, first: bool = False) -> Ingress:
        """A process starts; the list of all is known to everybody at once."""
        ingress = Ingress(self, name, zone, first)
        self.ingresses[name] = self.network.processes[name] = ingress
        self.network.register(ingress)
        ingress.handle(ready(1, 2, 3, slots=10_000))
        for other in self.ingresses.values():
            other.do(lambda other=other: other.listed(self.network.members()))
            self._company(other)
        for other in self.ingresses.values():
            if (
                other is not ingress
                and other.alive
                and (other.name, name) not in self.cut
                and other.zone == zone
            ):
                self._link(other, ingress)
        return ingress

    def kill(self, name: str) -> None:
        """The process ends at once; its links end, and the list is without it from the next change on."""
        ingress = self.ingresses[name]
        self.network.kill(ingress)
        self.network.unregister(ingress)

    def _link(self, one: Ingress, two: Ingress) -> None:
        """A link begins with all, each way."""
        self._linked.add(frozenset([(one.name, one.exchange.life), (two.name, two.exchange.life)]))
        for sender, other in ((one, two), (two, one)):
            shares = sender.exchange.full(sender.now, other.name, sender.zone != other.zone)
            self.sent += len(encode(shares))
            self._heard(other, sender, shares)

    def _company(self, ingress: Ingress) -> None:
        ingress.handle(IngressMembership(*ingress.exchange.company(ingress.now)))

    def later(self, at: float, what: Any) -> None:
        """at: milliseconds."""
        self.network.at(at / 1000, what)

    def run(self, until: float) -> None:
        """until: milliseconds."""
        self.network.clock.run(until / 1000)

    def ask(self, name: str) -> None:
        """A request comes there."""
        self._number += 1
        event = arrival(self._number)
        ingress = self.ingresses[name]
        ingress.do(lambda: ingress.handle(event))

    def _deliver(self, ingress: Ingress, shares: Any, to: list[Ingress], delay: float) -> None:
        size = len(encode(shares)) + 8
        for other in to:
            self.sent += size
            self.sent_away += size if other.zone != ingress.zone else 0
            self.sent_by[ingress.name] = self.sent_by.get(ingress.name, 0) + size
            self.later(self.now + delay, lambda other=other: self._heard(other, ingress, shares))

    def _near(self, ingress: Ingress) -> list[Ingress]:
        return [
            o
            for o in self.ingresses.values()
            if o is not ingress
            and o.alive
            and o.zone == ingress.zone
            and (ingress.name, o.name) not in self.cut
        ]

    def _heard(self, other: Ingress, sender: Ingress, shares: Any) -> None:
        if not other.alive:
            return
        news = other.exchange.hear(other.now, shares, sender.name, sender.zone)
        for origin, out in news.out.items():
            other.handle(PeerLoad(origin, {int(i): n for i, n in out.items()}))

    def speaks(self, ingress: Ingress, duty: str = ALIVE) -> bool:
        return ingress.exchange.home(duty, [o.name for o in self._near(ingress)])

    def _away(self, ingress: Ingress) -> list[Ingress]:
        """Those of other zones that it is linked to: homes link to homes."""
        duties = [d for d in ingress.exchange.duties() if self.speaks(ingress, d)]
        return [
            o
            for o in self.ingresses.values()
            if o.alive
            and o.zone != ingress.zone
            and (ingress.name, o.name) not in self.cut
            and any(self.speaks(o, d) for d in duties)
        ]

    def _tell_zone(self) -> None:
        for ingress in self.ingresses.values():
            if ingress.alive:
                near = self._near(ingress)
                for other in near:
                    ingress.exchange.alive(ingress.now, other.name)
                if (shares := ingress.exchange.for_zone()) is not None:
                    self._deliver(ingress, shares, near, 1.0)
        self.later(self.now + 8, self._tell_zone)

    def _tell_away(self) -> None:
        for ingress in self.ingresses.values():
            if ingress.alive:
                near, away = self._near(ingress), self._away(ingress)
                for other in away:
                    if (
                        frozenset([(ingress.name, ingress.exchange.life), (other.name, other.exchange.life)])
                        not in self._linked
                    ):
                        self._link(ingress, other)
                links = [(o.name, o.zone) for o in away]
                for names, shares in ingress.exchange.for_away(ingress.now, [o.name for o in near], links):
                    self._deliver(ingress, shares, [self.ingresses[n] for n in names], 2.0)
                if (shares := ingress.exchange.passed_on()) is not None:
                    self._deliver(ingress, shares, near, 1.0)
                ingress.exchange.forget(ingress.now)
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
