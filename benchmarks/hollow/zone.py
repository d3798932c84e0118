"""What ingresses tell one another, in simulated time: one zone whole, the other zones as its mirrors.

Every exchange of one zone is the daemons' own and hears each neighbour; what a home tells another zone's
home comes back in the same moment as that zone's own word, as all zones are alike. What homes pass on to
their neighbours is taken in by the first few only, as it changes nothing that the others say. The book and
the list of ingresses are shared (hollow/ingress.py measures them). Requests come at the target's peak, each
ingress its part of 200,000 a second, go to backends of the own zone, and take WORK_S. The neighbours'
messages are encoded once and decoded by each of the first few; sockets are not in the processor's times.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from benchmarks.hollow.town import INGRESSES, PEAK_PER_S, Size, state_bytes, zone_of
from troutdock.proxy.peer_connections import REMOTE_BATCH_S, MAINTENANCE_INTERVAL_S, ZONE_BATCH_S
from troutdock.proxy.load_exchange import ZONE_PREFIX, LoadExchange
from troutdock.rpc.connection import PING_INTERVAL_S
from troutdock.rpc.messages import Instance, Member, Ping, Shares, decode, encode
from troutdock.rpc.netstring import encode_frame
from lab.timeline import Timeline
from troutdock.endpoints.endpoint_table import EndpointTable
from troutdock.endpoints.rendezvous import ranked

HERE = zone_of(0)
WORK_S = 0.1  # of a request
WARM_S = 0.4  # until counting begins
FULL = 2  # ingresses that take in everything


class Zone:
    """The zone's ingresses, their requests and what they say."""

    def __init__(self, size: Size, seed: int, keep: Callable[[], None] = lambda: None) -> None:
        self.size, self.random, self.keep = size, Random(seed), keep
        self.time = Timeline()
        self.book = EndpointTable()
        words = [
            Instance(
                f"i-{b:08x}",
                f"service-{b % size.services}",
                f"10.2.{b // 250}.{b % 250}:8000",
                zone_of(b),
                2,
                0,
            )
            for b in range(size.backends)
        ]
        self.book.merge(0.0, words)
        self.backends = [w.id for w in words if w.zone == HERE]
        members = [
            Member(f"edge-{i:04}", f"10.1.{i // 250}.{i % 250}", 7000, zone_of(i), i + 1)
            for i in range(size.ingresses)
        ]
        here = [m for m in members if m.zone == HERE]
        self.names = [m.name for m in here]
        self.exchanges = {m.name: LoadExchange(m.name, m.ip, m.zone, m.life, self.book) for m in here}
        self.near = {n: [m for m in self.names if m != n] for n in self.names}
        others: dict[str, list[str]] = {}
        for m in members:
            if m.zone != HERE:
                others.setdefault(m.zone, []).append(m.name)
        self.away: dict[str, dict[str, str]] = {n: {} for n in self.names}  # linked homes, and their zones
        self.duties = Counter[str]()
        for exchange in self.exchanges.values():
            exchange.update_members(0.0, members, [], True)
        for duty in next(iter(self.exchanges.values())).duties():
            home = ranked(f"{HERE}/{duty}", self.names)[0]
            self.duties[home] += 1
            for zone, names in others.items():
                self.away[home][ranked(f"{zone}/{duty}", names)[0]] = zone
        self.due: set[str] = set()
        self.counting = False
        self.messages: Counter[tuple[str, str]] = Counter()  # by kind and by who says it
        self.bytes: Counter[tuple[str, str]] = Counter()
        self.taken: Counter[str] = Counter()  # bytes that the first ones take in, by kind
        self.taken_messages: Counter[str] = Counter()
        self.cpu_s: Counter[str] = Counter()  # of the first ones, by kind

    def _said(self, kind: str, name: str, payload: bytes, times: int) -> None:
        if self.counting:
            size = len(encode_frame(payload))
            self.messages[kind, name] += times
            self.bytes[kind, name] += size * times

    def _took(self, kind: str, name: str, began: float) -> None:
        if self.counting and name in self.names[:FULL]:
            self.cpu_s[kind] += time.process_time() - began

    def _hear(self, name: str, payload: bytes, sender: str, zone: str, kind: str) -> None:
        began = time.process_time()
        self.exchanges[name].receive(self.time.now, decode(payload), sender, zone)
        if self.counting and name in self.names[:FULL]:
            self.cpu_s["hear " + kind] += time.process_time() - began
            self.taken[kind] += len(encode_frame(payload))
            self.taken_messages[kind] += 1

    def start(self) -> None:
        """All are linked: each tells each the whole, then requests come."""
        for name, exchange in self.exchanges.items():
            for other in self.near[name]:
                shares = exchange.full_state(0.0, other, False)
                self.exchanges[other].receive(0.0, shares, name, HERE)
            for other, zone in self.away[name].items():
                self._mirror(name, other, zone, exchange.full_state(0.0, other, True))
        for at, name in enumerate(self.names):
            self.time.at(REMOTE_BATCH_S * at / len(self.names), lambda n=name: self._away(n))
            self.time.at(MAINTENANCE_INTERVAL_S * at / len(self.names), lambda n=name: self._look(n))
            self.time.at(self._pause(), lambda n=name: self._ask(n))

    def _pause(self) -> float:
        return self.random.expovariate(PEAK_PER_S / INGRESSES)

    def _ask(self, name: str) -> None:
        backend = self.random.choice(self.backends)
        exchange = self.exchanges[name]
        began = time.process_time()
        exchange.set_load(backend, exchange.own_loads.get(backend, 0) + 1)
        self._took("own numbers", name, began)
        self._soon(name)
        self.time.after(WORK_S, lambda: self._done(name, backend))
        self.time.after(self._pause(), lambda: self._ask(name))

    def _done(self, name: str, backend: str) -> None:
        exchange = self.exchanges[name]
        exchange.set_load(backend, exchange.own_loads.get(backend, 1) - 1)
        self._soon(name)

    def _soon(self, name: str) -> None:
        if name not in self.due:
            self.due.add(name)
            self.time.after(ZONE_BATCH_S, lambda: self._tell_zone(name))

    def _tell_zone(self, name: str) -> None:
        self.due.discard(name)
        began = time.process_time()
        shares = self.exchanges[name].zone_update()
        payload = encode(shares) if shares is not None else b""
        self._took("tell the zone", name, began)
        if shares is None or not self.near[name]:
            return
        self._said("zone", name, payload, len(self.near[name]))
        said, now = decode(payload), self.time.now
        for other in self.near[name]:
            if other in self.names[:FULL]:
                self._hear(other, payload, name, HERE, "zone")
            else:
                self.exchanges[other].receive(now, said, name, HERE)
        self.keep()

    def _away(self, name: str) -> None:
        exchange, now = self.exchanges[name], self.time.now
        began = time.process_time()
        found = exchange.remote_updates(now, self.near[name], list(self.away[name].items()))
        payloads = [encode(shares) for _, shares in found]
        self._took("tell other zones", name, began)
        for (to, shares), payload in zip(found, payloads, strict=True):
            self._said("away", name, payload, len(to))
            for other in to:
                self._mirror(name, other, self.away[name][other], shares)
        began = time.process_time()
        shares = exchange.forwarded_update()
        payload = encode(shares) if shares is not None else b""
        self._took("pass on", name, began)
        if shares is not None and self.near[name]:
            self._said("passed on", name, payload, len(self.near[name]))
            for other in self.names[:FULL]:
                if other != name:
                    self._hear(other, payload, name, HERE, "passed on")
        self.time.after(REMOTE_BATCH_S, lambda: self._away(name))

    def _mirror(self, name: str, other: str, zone: str, shares: Shares) -> None:
        """That zone's home says to this one what this one says to it."""
        names = [ZONE_PREFIX + zone if n == ZONE_PREFIX + HERE else n for n in shares.names]
        payload = encode(Shares(shares.entries, shares.base, names, shares.full))
        self._hear(name, payload, other, zone, "away")

    def _look(self, name: str) -> None:
        exchange, now = self.exchanges[name], self.time.now
        for other in self.near[name]:
            exchange.mark_alive(now, other)
        if name in self.names[:FULL]:
            linked = [(n, HERE) for n in self.near[name]] + list(self.away[name].items())
            began = time.process_time()
            exchange.expire(now)
            exchange.dial_targets(now, linked, [])
            exchange.membership(now)
            self._took("look", name, began)
        self.time.after(MAINTENANCE_INTERVAL_S, lambda: self._look(name))


def run(
    size: Size,
    seed: int,
    seconds: float = 1.0,
    keep: Callable[[], None] = lambda: None,
    say: Callable[[str], None] = lambda _: None,
) -> dict[str, Any]:
    """Bytes, messages and processor seconds a second, of the mean and the busiest ingress."""
    zone = Zone(size, seed, keep)
    say("zone starts")
    zone.start()
    zone.time.run(WARM_S)
    say("zone's requests")
    zone.counting = True
    zone.time.run(WARM_S + seconds)
    count = len(zone.names)
    kinds = ("zone", "away", "passed on")
    by: Counter[str] = Counter()
    for (_, name), size_ in zone.bytes.items():
        by[name] += size_
    links = {n: len(zone.near[n]) + len(zone.away[n]) for n in zone.names}
    first = zone.names[:FULL]
    shared = (zone.book, *(m for m in zone.exchanges[zone.names[0]].members.values()))
    return {
        "ingresses of the zone": count,
        "sent a second": {
            k: [
                sum(v for (kind, _), v in zone.messages.items() if kind == k) / seconds / count,
                sum(v for (kind, _), v in zone.bytes.items() if kind == k) / seconds / count,
            ]
            for k in kinds
        },
        "taken a second": {
            k: [zone.taken_messages[k] / seconds / len(first), zone.taken[k] / seconds / len(first)]
            for k in kinds
        },
        "busiest sends B/s": max(by.values(), default=0) / seconds,
        "signs of life B/s": sum(links.values())
        / count
        / PING_INTERVAL_S
        * len(encode_frame(encode(Ping()))),
        "links": [sum(links.values()) / count, max(links.values())],
        "duties": max(zone.duties.values()),
        "exchange bytes": state_bytes(zone.exchanges[first[0]], *shared),
        "times": {"cpu s a second": {k: v / seconds / len(first) for k, v in sorted(zone.cpu_s.items())}},
    }
