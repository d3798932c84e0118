"""Simulates the load exchange between ingresses: one complete zone, with the other zones as its mirrors.

Every ingress of the zone has the daemon's own load exchange and receives from each neighbour. An update that
an owner node sends to another zone returns at once as the update of that zone, as all zones are alike.
Only the first few ingresses process the updates that owner nodes forward to their neighbours, as these change
nothing that the others send. The endpoint table and the list of ingresses are shared (hollow/ingress.py
measures them). Requests arrive at the target's peak of 200,000/s, spread evenly over the ingresses, go to
backends of the same zone, and take SERVICE_TIME_S. Messages of neighbours are encoded once and decoded by
each of the first few ingresses; processor times exclude sockets.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from benchmarks.hollow.model import INGRESSES, PEAK_REQUESTS_PER_S, Size, state_bytes, zone_of
from troutdock.proxy.peer_connections import REMOTE_BATCH_S, MAINTENANCE_INTERVAL_S, ZONE_BATCH_S
from troutdock.proxy.load_exchange import ZONE_PREFIX, LoadExchange
from troutdock.rpc.connection import PING_INTERVAL_S
from troutdock.rpc.messages import Instance, Member, Ping, Shares, decode, encode
from troutdock.rpc.netstring import encode_frame
from lab.timeline import Timeline
from troutdock.endpoints.endpoint_table import EndpointTable
from troutdock.endpoints.rendezvous import ranked

LOCAL_ZONE = zone_of(0)
SERVICE_TIME_S = 0.1  # duration of a request
WARMUP_S = 0.4  # before counting starts
PROCESSING_INGRESSES = 2  # number of ingresses that decode and process every message


class Zone:
    """The ingresses of the zone, their requests and their messages."""

    def __init__(self, size: Size, seed: int, check_memory: Callable[[], None] = lambda: None) -> None:
        self.size, self.random, self.check_memory = size, Random(seed), check_memory
        self.time = Timeline()
        self.endpoints = EndpointTable()
        instances = [
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
        self.endpoints.merge(0.0, instances)
        self.backends = [instance.id for instance in instances if instance.zone == LOCAL_ZONE]
        members = [
            Member(f"edge-{i:04}", f"10.1.{i // 250}.{i % 250}", 7000, zone_of(i), i + 1)
            for i in range(size.ingresses)
        ]
        local_members = [m for m in members if m.zone == LOCAL_ZONE]
        self.names = [m.name for m in local_members]
        self.exchanges = {
            m.name: LoadExchange(m.name, m.ip, m.zone, m.life, self.endpoints) for m in local_members
        }
        self.neighbours = {n: [m for m in self.names if m != n] for n in self.names}
        others: dict[str, list[str]] = {}
        for m in members:
            if m.zone != LOCAL_ZONE:
                others.setdefault(m.zone, []).append(m.name)
        self.remote_owners: dict[str, dict[str, str]] = {
            n: {} for n in self.names
        }  # connected owner nodes of other zones, and their zones
        self.duties = Counter[str]()
        for exchange in self.exchanges.values():
            exchange.update_members(0.0, members, [], True)
        for duty in next(iter(self.exchanges.values())).duties():
            owner = ranked(f"{LOCAL_ZONE}/{duty}", self.names)[0]
            self.duties[owner] += 1
            for zone, names in others.items():
                self.remote_owners[owner][ranked(f"{zone}/{duty}", names)[0]] = zone
        self.pending_updates: set[str] = set()
        self.counting = False
        self.messages: Counter[tuple[str, str]] = Counter()  # by kind and sender
        self.bytes: Counter[tuple[str, str]] = Counter()
        self.received_bytes: Counter[str] = Counter()  # bytes received by the first ingresses, by kind
        self.received_messages: Counter[str] = Counter()
        self.cpu_s: Counter[str] = Counter()  # of the first ingresses, by kind

    def _count_sent(self, kind: str, name: str, payload: bytes, times: int) -> None:
        if self.counting:
            size = len(encode_frame(payload))
            self.messages[kind, name] += times
            self.bytes[kind, name] += size * times

    def _count_cpu(self, kind: str, name: str, began: float) -> None:
        if self.counting and name in self.names[:PROCESSING_INGRESSES]:
            self.cpu_s[kind] += time.process_time() - began

    def _receive(self, name: str, payload: bytes, sender: str, zone: str, kind: str) -> None:
        began = time.process_time()
        self.exchanges[name].receive(self.time.now, decode(payload), sender, zone)
        if self.counting and name in self.names[:PROCESSING_INGRESSES]:
            self.cpu_s["hear " + kind] += time.process_time() - began
            self.received_bytes[kind] += len(encode_frame(payload))
            self.received_messages[kind] += 1

    def start(self) -> None:
        """Connects all ingresses, which exchange their full state, and starts the requests."""
        for name, exchange in self.exchanges.items():
            for other in self.neighbours[name]:
                shares = exchange.full_state(0.0, other, False)
                self.exchanges[other].receive(0.0, shares, name, LOCAL_ZONE)
            for other, zone in self.remote_owners[name].items():
                self._mirror(name, other, zone, exchange.full_state(0.0, other, True))
        for at, name in enumerate(self.names):
            self.time.at(REMOTE_BATCH_S * at / len(self.names), lambda n=name: self._send_remote_updates(n))
            self.time.at(MAINTENANCE_INTERVAL_S * at / len(self.names), lambda n=name: self._check_peers(n))
            self.time.at(self._request_interval(), lambda n=name: self._start_request(n))

    def _request_interval(self) -> float:
        return self.random.expovariate(PEAK_REQUESTS_PER_S / INGRESSES)

    def _start_request(self, name: str) -> None:
        backend = self.random.choice(self.backends)
        exchange = self.exchanges[name]
        began = time.process_time()
        exchange.set_load(backend, exchange.own_loads.get(backend, 0) + 1)
        self._count_cpu("own numbers", name, began)
        self._schedule_zone_update(name)
        self.time.after(SERVICE_TIME_S, lambda: self._end_request(name, backend))
        self.time.after(self._request_interval(), lambda: self._start_request(name))

    def _end_request(self, name: str, backend: str) -> None:
        exchange = self.exchanges[name]
        exchange.set_load(backend, exchange.own_loads.get(backend, 1) - 1)
        self._schedule_zone_update(name)

    def _schedule_zone_update(self, name: str) -> None:
        if name not in self.pending_updates:
            self.pending_updates.add(name)
            self.time.after(ZONE_BATCH_S, lambda: self._send_zone_update(name))

    def _send_zone_update(self, name: str) -> None:
        self.pending_updates.discard(name)
        began = time.process_time()
        shares = self.exchanges[name].zone_update()
        payload = encode(shares) if shares is not None else b""
        self._count_cpu("tell the zone", name, began)
        if shares is None or not self.neighbours[name]:
            return
        self._count_sent("zone", name, payload, len(self.neighbours[name]))
        update, now = decode(payload), self.time.now
        for other in self.neighbours[name]:
            if other in self.names[:PROCESSING_INGRESSES]:
                self._receive(other, payload, name, LOCAL_ZONE, "zone")
            else:
                self.exchanges[other].receive(now, update, name, LOCAL_ZONE)
        self.check_memory()

    def _send_remote_updates(self, name: str) -> None:
        exchange, now = self.exchanges[name], self.time.now
        began = time.process_time()
        found = exchange.remote_updates(now, self.neighbours[name], list(self.remote_owners[name].items()))
        payloads = [encode(shares) for _, shares in found]
        self._count_cpu("tell other zones", name, began)
        for (to, shares), payload in zip(found, payloads, strict=True):
            self._count_sent("away", name, payload, len(to))
            for other in to:
                self._mirror(name, other, self.remote_owners[name][other], shares)
        began = time.process_time()
        shares = exchange.forwarded_update()
        payload = encode(shares) if shares is not None else b""
        self._count_cpu("pass on", name, began)
        if shares is not None and self.neighbours[name]:
            self._count_sent("passed on", name, payload, len(self.neighbours[name]))
            for other in self.names[:PROCESSING_INGRESSES]:
                if other != name:
                    self._receive(other, payload, name, LOCAL_ZONE, "passed on")
        self.time.after(REMOTE_BATCH_S, lambda: self._send_remote_updates(name))

    def _mirror(self, name: str, other: str, zone: str, shares: Shares) -> None:
        """Delivers an update back to its sender as the equivalent update of the other zone."""
        names = [ZONE_PREFIX + zone if n == ZONE_PREFIX + LOCAL_ZONE else n for n in shares.names]
        payload = encode(Shares(shares.entries, shares.base, names, shares.full))
        self._receive(name, payload, other, zone, "away")

    def _check_peers(self, name: str) -> None:
        exchange, now = self.exchanges[name], self.time.now
        for other in self.neighbours[name]:
            exchange.mark_alive(now, other)
        if name in self.names[:PROCESSING_INGRESSES]:
            linked = [(n, LOCAL_ZONE) for n in self.neighbours[name]] + list(self.remote_owners[name].items())
            began = time.process_time()
            exchange.expire(now)
            exchange.dial_targets(now, linked, [])
            exchange.membership(now)
            self._count_cpu("look", name, began)
        self.time.after(MAINTENANCE_INTERVAL_S, lambda: self._check_peers(name))


def run(
    size: Size,
    seed: int,
    seconds: float = 1.0,
    check_memory: Callable[[], None] = lambda: None,
    report_progress: Callable[[str], None] = lambda _: None,
) -> dict[str, Any]:
    """Returns messages, bytes and processor time per second, for the mean and the busiest ingress."""
    zone = Zone(size, seed, check_memory)
    report_progress("zone starts")
    zone.start()
    zone.time.run(WARMUP_S)
    report_progress("zone's requests")
    zone.counting = True
    zone.time.run(WARMUP_S + seconds)
    count = len(zone.names)
    kinds = ("zone", "away", "passed on")
    by: Counter[str] = Counter()
    for (_, name), size_ in zone.bytes.items():
        by[name] += size_
    links = {n: len(zone.neighbours[n]) + len(zone.remote_owners[n]) for n in zone.names}
    first = zone.names[:PROCESSING_INGRESSES]
    shared = (zone.endpoints, *(m for m in zone.exchanges[zone.names[0]].members.values()))
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
            k: [
                zone.received_messages[k] / seconds / len(first),
                zone.received_bytes[k] / seconds / len(first),
            ]
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
