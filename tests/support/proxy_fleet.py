"""A fleet of proxies in simulated time: their decisions and their messages to each other, without sockets.

Each proxy has a ProxyAdmission and a LoadExchange. Messages take a few milliseconds within a zone and tens of
milliseconds between zones, as in peer_connections.py. Quotas use a Process of quota_network, over connections
that are opened and closed.
"""

from __future__ import annotations

from random import Random
from typing import Any
from zlib import crc32

from quota_network import Network, Process

from troutdock.proxy.load_exchange import LIVENESS_DUTY
from troutdock.rpc.messages import encode
from troutdock.admission.proxy_admission import TIMERS_PER_REQUEST, QUOTA_TIMER, ProxyAdmission
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


def proxy_settings(
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


class TwoServices:
    """The instances of two services, with the interface of the endpoint table."""

    def services(self) -> list[str]:
        return ["odd", "even"]

    def service_of(self, instance: str) -> str:
        return ("even", "odd")[int(instance) % 2]

    def instances_of(self, service: str) -> list[str]:
        return [str(n) for n in (1, 2, 3) if self.service_of(str(n)) == service]


class Ingress(Process):
    """A process whose requests are decided by a ProxyAdmission."""

    def __init__(self, fleet: SimulatedFleet, name: str, zone: str, first: bool) -> None:
        ip = f"10.{zone}.{len(fleet.ingresses):04}"
        super().__init__(fleet.network, name, zone, ip, fleet.network.new_incarnation(), first, TwoServices())
        self.fleet = fleet
        seed = self.incarnation * 1000 + crc32(name.encode()) % 1000
        self.fabric = ProxyAdmission(fleet.settings, seed, quotas=self.node)

    @property
    def now_ms(self) -> float:
        """The time in the unit of the decision module."""
        return self.now * 1000

    def handle(self, event: Event) -> Actions:
        """Passes an event to the decision module and carries out its actions."""
        actions = self.fabric.handle(self.now_ms, event)
        for action in actions:
            if isinstance(action, Send):
                self.fleet.admitted.append(self.fleet.now)
                self._complete(action.request)
            elif isinstance(action, SetTimer) and action.label % TIMERS_PER_REQUEST == QUOTA_TIMER:
                fired = TimerFired(action.label)
                self.network.later(
                    action.after_ms / 1000, lambda fired=fired: self.do(lambda: self.handle(fired))
                )
        return actions

    def _complete(self, request: int) -> None:
        """Drops a request's state, as if it had been answered at once."""
        self.fabric.calls.pop(request, None)
        for backend in self.fabric.backends.values():
            for attempt in [attempt for attempt in backend.out if attempt[0] == request]:
                del backend.out[attempt]

    def leases_due(self) -> None:
        self.handle(LeasesDue())


class SimulatedFleet:
    """Proxies by name and the network between them; admitted: times of admission in ms."""

    def __init__(self, seed: int, zones: dict[str, int], settings: Settings, first: bool = True) -> None:
        self.random, self.settings = Random(seed), settings
        self.network = Network(seed)
        self.ingresses: dict[str, Ingress] = {}
        self.admitted: list[float] = []
        self._linked: set[frozenset[tuple[str, int]]] = set()
        self.sent = self.sent_away = 0  # bytes of all messages, and of those to other zones
        self.sent_by: dict[str, int] = {}
        self._number = 0
        for zone, count in zones.items():
            for n in range(count):
                self.add(f"{zone}-{n}", zone, first)
        self.later(0.0, self._send_to_zone)
        self.later(0.0, self._send_to_other_zones)

    @property
    def now(self) -> float:
        """Milliseconds."""
        return self.network.now * 1000

    @property
    def cut(self) -> set[tuple[str, str]]:
        """Pairs of names, from sender to receiver, between which all messages are lost."""
        return self.network.cuts

    @cut.setter
    def cut(self, cut: set[tuple[str, str]]) -> None:
        self.network.cuts = cut

    def add(self, name: str, zone: str, first: bool = False) -> Ingress:
        """Starts a process; all others learn the new member list at once."""
        ingress = Ingress(self, name, zone, first)
        self.ingresses[name] = self.network.processes[name] = ingress
        self.network.register(ingress)
        ingress.handle(ready(1, 2, 3, slots=10_000))
        for other in self.ingresses.values():
            other.do(lambda other=other: other.listed(self.network.members()))
            self._report_membership(other)
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
        """Kills a process; its links close, and the member list omits it from the next change on."""
        ingress = self.ingresses[name]
        self.network.kill(ingress)
        self.network.unregister(ingress)

    def _link(self, one: Ingress, two: Ingress) -> None:
        """Opens a link, which starts with the full state in both directions."""
        self._linked.add(
            frozenset([(one.name, one.exchange.incarnation), (two.name, two.exchange.incarnation)])
        )
        for sender, other in ((one, two), (two, one)):
            shares = sender.exchange.full_state(sender.now, other.name, sender.zone != other.zone)
            self.sent += len(encode(shares))
            self._receive(other, sender, shares)

    def _report_membership(self, ingress: Ingress) -> None:
        ingress.handle(IngressMembership(*ingress.exchange.membership(ingress.now)))

    def later(self, at: float, what: Any) -> None:
        """Schedules a call; at: milliseconds."""
        self.network.at(at / 1000, what)

    def run(self, until: float) -> None:
        """Runs the simulation; until: milliseconds."""
        self.network.clock.run(until / 1000)

    def ask(self, name: str) -> None:
        """A request arrives at the named proxy."""
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
            self.later(self.now + delay, lambda other=other: self._receive(other, ingress, shares))

    def _zone_peers(self, ingress: Ingress) -> list[Ingress]:
        return [
            o
            for o in self.ingresses.values()
            if o is not ingress
            and o.alive
            and o.zone == ingress.zone
            and (ingress.name, o.name) not in self.cut
        ]

    def _receive(self, other: Ingress, sender: Ingress, shares: Any) -> None:
        if not other.alive:
            return
        update = other.exchange.receive(other.now, shares, sender.name, sender.zone)
        for origin, out in update.loads.items():
            other.handle(PeerLoad(origin, {int(i): n for i, n in out.items()}))

    def speaks(self, ingress: Ingress, duty: str = LIVENESS_DUTY) -> bool:
        return ingress.exchange.is_responsible(duty, [o.name for o in self._zone_peers(ingress)])

    def _remote_peers(self, ingress: Ingress) -> list[Ingress]:
        """Proxies of other zones that it is linked to; only the proxies responsible for a duty have such links."""
        duties = [d for d in ingress.exchange.duties() if self.speaks(ingress, d)]
        return [
            o
            for o in self.ingresses.values()
            if o.alive
            and o.zone != ingress.zone
            and (ingress.name, o.name) not in self.cut
            and any(self.speaks(o, d) for d in duties)
        ]

    def _send_to_zone(self) -> None:
        for ingress in self.ingresses.values():
            if ingress.alive:
                near = self._zone_peers(ingress)
                for other in near:
                    ingress.exchange.mark_alive(ingress.now, other.name)
                if (shares := ingress.exchange.zone_update()) is not None:
                    self._deliver(ingress, shares, near, 1.0)
        self.later(self.now + 8, self._send_to_zone)

    def _send_to_other_zones(self) -> None:
        for ingress in self.ingresses.values():
            if ingress.alive:
                near, away = self._zone_peers(ingress), self._remote_peers(ingress)
                for other in away:
                    if (
                        frozenset(
                            [
                                (ingress.name, ingress.exchange.incarnation),
                                (other.name, other.exchange.incarnation),
                            ]
                        )
                        not in self._linked
                    ):
                        self._link(ingress, other)
                links = [(o.name, o.zone) for o in away]
                for names, shares in ingress.exchange.remote_updates(
                    ingress.now, [o.name for o in near], links
                ):
                    self._deliver(ingress, shares, [self.ingresses[n] for n in names], 2.0)
                if (shares := ingress.exchange.forwarded_update()) is not None:
                    self._deliver(ingress, shares, near, 1.0)
                ingress.exchange.expire(ingress.now)
                self._report_membership(ingress)
        self.later(self.now + 40, self._send_to_other_zones)


def max_in_window(times: list[float], window_ms: float) -> int:
    """Returns the largest number of times within any window of that length."""
    most = first = 0
    for n, at in enumerate(times):
        while times[first] < at - window_ms:
            first += 1
        most = max(most, n - first + 1)
    return most
