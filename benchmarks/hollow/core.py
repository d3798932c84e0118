"""Simulates the core: complete registries and stores, and the ingresses that follow them.

Only one ingress is simulated in full. A registry sends the same bytes to all its followers: they are encoded
once, as by the real program (troutdock.rpc.connection.broadcast), counted for each follower, and decoded by
one. Messages wait for the sender's link (1,000 Mbit/s) and for that of the slowest follower (2 Mbit/s).
Processor times exclude sockets, HTTP and disk I/O; a sync takes 5 ms.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from benchmarks.hollow.ingress import Ingress
from benchmarks.hollow.model import (
    HEARTBEAT_S,
    CORE,
    CORE_BYTES_S,
    INGRESS_BYTES_S,
    SEEDS,
    ZONES,
    TrafficCount,
    Size,
    configuration,
    state_bytes,
    latency_s,
    zone_of,
)
from troutdock.rpc.messages import (
    Config,
    Fresh,
    Hello,
    Instance,
    Instances,
    Member,
    Message,
    Write,
    WriteAck,
    decode,
    encode,
)
from troutdock.rpc.netstring import encode_frame
from troutdock.registry.daemon import TICK_INTERVAL_S
from troutdock.registry.registry import Registry, Send
from lab.timeline import Timeline
from troutdock.endpoints.rendezvous import ranked
from troutdock.config_store.daemon import TICK_INTERVAL_S as STORE_TICK_S
from troutdock.config_store.replica import Replica
from troutdock.config_store.replica_state import Committed, Save
from troutdock.config_store.replica_state import Send as StoreSend

SYNC_S = 0.005
RESTART_STRIDE = 20  # every 20th ingress restarts within the same second
CALM_S = 6.0


def replica_of(me: str, seeds: list[str], now: float) -> Replica:
    """Returns a replica of the store at the first start of the system."""
    return Replica(me, seeds, None, True, now)


class Core:
    """Six core machines, the ingresses that follow them, and backends that send heartbeats."""

    def __init__(self, size: Size, seed: int, check_memory: Callable[[], None] = lambda: None) -> None:
        """check_memory: called often; raises an error to end the run."""
        self.size, self.random, self.check_memory = size, Random(seed), check_memory
        self.time = Timeline()
        self.count = TrafficCount()
        self.ips = [f"10.0.0.{n + 1}" for n in range(CORE)]
        self.registries = [
            Registry(0.0, HEARTBEAT_S, incarnation=1, zone=zone_of(n), seeds=self.ips[:SEEDS], ip=ip)
            for n, ip in enumerate(self.ips)
        ]
        self.replicas = [replica_of(ip, self.ips[:SEEDS], 0.0) for ip in self.ips]
        self.down: set[int] = set()
        self.active_stores = [False] * CORE
        self.out_free = [0.0] * CORE  # when the link of each machine is free for messages to followers
        # the same for other messages, which do not queue behind those to followers
        self.core_free = [0.0] * CORE
        self.in_free = [0.0] * CORE  # when the link of each registry's slowest follower is free
        self.last_delivered_at = 0.0  # when the last ingress has received the last message
        # the same, for configurations and backend states
        self.config_delivered_at = self.state_delivered_at = 0.0
        self.max_latency_s = [0.0] * CORE  # to the farthest follower
        self.write_acked_at = 0.0
        self.members: list[Member] = []
        self.registry_of: dict[str, int] = {}  # by name of the ingress: index of the registry that it follows
        self.full_ingress = Ingress("edge-0000", "10.1.0.0", zone_of(0))
        self.backends: list[Instance] = []
        self.heartbeat_target: list[int] = []
        self.heartbeat_counts: list[int] = []
        self.stopped_backends: set[int] = set()

    # ---- messages

    def run_registry_actions(self, n: int, actions: list[Any], since: float) -> None:
        """Carries out a registry's actions; since: processor time when the registry was called."""
        count, followers = self.count, len(self.registries[n].ingresses)
        count.cpu_s[count.phase, "hedgerow"] += time.process_time() - since
        for action in actions:
            if not isinstance(action, Send) or (action.to is None and not followers):
                continue
            began = time.process_time()
            payload = encode_frame(encode(action.message))
            encoding = time.process_time() - began
            if action.to is None:
                count.add("hedgerow", "espalier", len(payload), followers)
                self._send_to_ingresses(
                    n, payload, followers, action.message, n == self.registry_of.get("edge-0000")
                )
            elif isinstance(action.to, str):
                count.add("hedgerow", "espalier", len(payload))
                self._send_to_ingresses(n, payload, 1, action.message, action.to == "edge-0000")
            else:
                count.add("hedgerow", "hedgerow", len(payload))
                self._send(n, action.to, len(payload), payload, self._registry_receive, n)
            count.cpu_s[count.phase, "hedgerow"] += encoding
        if self.registries[n].save_urgent:
            self._save(n)

    def _save(self, n: int) -> None:
        """Saves a batch of the registry; the disk syncs it outside the event loop."""
        if self.registries[n].next_batch(self.time.now) is not None:
            self.time.after(SYNC_S, lambda: self._saved(n))

    def _saved(self, n: int) -> None:
        if n not in self.down:
            began = time.process_time()
            self.run_registry_actions(n, self.registries[n].on_saved(self.time.now, True), began)

    def _send_to_ingresses(
        self, n: int, payload: bytes, followers: int, message: Message, full: bool
    ) -> None:
        now, latency = self.time.now, self.max_latency_s[n]
        self.out_free[n] = max(now, self.out_free[n]) + len(payload) * followers / CORE_BYTES_S
        last = self.out_free[n] + latency + len(payload) / INGRESS_BYTES_S
        if followers > 1:
            self.in_free[n] = max(self.in_free[n], now + latency) + len(payload) / INGRESS_BYTES_S
            last = max(self.in_free[n], last)
        self.last_delivered_at = max(self.last_delivered_at, last)
        if isinstance(message, Config):
            self.config_delivered_at = max(self.config_delivered_at, last)
        elif isinstance(message, Instances) and any(e.state for e in message.entries):
            self.state_delivered_at = max(self.state_delivered_at, last)
        if full:
            began = time.process_time()
            self.full_ingress.receive(now, decode(payload[payload.index(b":") + 1 : -1]))
            self.count.cpu_s[self.count.phase, "espalier"] += time.process_time() - began
            self.count.add("hedgerow", "one espalier", len(payload))

    def _send(
        self, n: int, to: int, size: int, payload: bytes, what: Callable[[int, int, bytes], None], sender: int
    ) -> None:
        now = self.time.now
        self.core_free[n] = max(now, self.core_free[n]) + size / CORE_BYTES_S
        self.time.at(
            self.core_free[n] + latency_s(zone_of(n), zone_of(to)), lambda: what(to, sender, payload)
        )

    def _registry_receive(self, to: int, sender: int, payload: bytes) -> None:
        if to in self.down or sender in self.down:
            return
        began = time.process_time()
        message = decode(payload[payload.index(b":") + 1 : -1])
        self.run_registry_actions(to, self.registries[to].receive(self.time.now, sender, message), began)

    # ---- configuration store

    def run_store_actions(self, n: int, actions: list[Any], since: float, after: float = 0.0) -> None:
        """Carries out the actions of a replica."""
        for action in actions:
            match action:
                case Save():
                    after += SYNC_S
                case StoreSend(to, message):
                    payload = encode_frame(encode(message))
                    caller = to.startswith("@")
                    number = int(to[1:]) if caller else self.ips.index(to)
                    self.count.add("rootstock", "hedgerow" if caller else "rootstock", len(payload))
                    what = self._receive_write_ack if caller else self._store_receive
                    self.time.after(
                        after,
                        lambda n=n, number=number, payload=payload, what=what: self._send(
                            n, number, len(payload), payload, what, n
                        ),
                    )
                case Committed(version, body):
                    payload = encode_frame(encode(Config(version, msgspec.Raw(body))))
                    for to in range(CORE):
                        self.count.add("rootstock", "hedgerow", len(payload))
                        self.time.after(
                            after,
                            lambda n=n, to=to, payload=payload: self._send(
                                n, to, len(payload), payload, self._receive_config, n
                            ),
                        )
        self.count.cpu_s[self.count.phase, "rootstock"] += time.process_time() - since

    def _store_receive(self, to: int, sender: int, payload: bytes) -> None:
        if to not in self.down and sender not in self.down:
            began = time.process_time()
            message = decode(payload[payload.index(b":") + 1 : -1])
            self.run_store_actions(
                to, self.replicas[to].hear(self.time.now, self.ips[sender], message), began
            )

    def _receive_write(self, to: int, sender: int, payload: bytes) -> None:
        began = time.process_time()
        message = decode(payload[payload.index(b":") + 1 : -1])
        self.run_store_actions(to, self.replicas[to].hear(self.time.now, f"@{sender}", message), began)

    def _receive_write_ack(self, to: int, sender: int, payload: bytes) -> None:
        message = decode(payload[payload.index(b":") + 1 : -1])
        if isinstance(message, WriteAck):
            assert message.ok, message.why
            self.write_acked_at = self.time.now

    def _receive_config(self, to: int, sender: int, payload: bytes) -> None:
        if to in self.down:
            return
        began = time.process_time()
        message = decode(payload[payload.index(b":") + 1 : -1])
        assert isinstance(message, Config)
        self.run_registry_actions(to, self.registries[to].apply_config(message, True), began)
        self._update_primary_status(to)

    # ---- time

    def _tick(self, n: int) -> None:
        if n in self.down:
            return
        began = time.process_time()
        self.run_registry_actions(n, self.registries[n].tick(self.time.now), began)
        self._save(n)
        self.check_memory()
        self.time.after(TICK_INTERVAL_S, lambda: self._tick(n))

    def _store_tick(self, n: int) -> None:
        if n in self.down:
            return
        began = time.process_time()
        self.run_store_actions(n, self.replicas[n].tick(self.time.now), began)
        active = self.replicas[n].status.active
        if active != self.active_stores[n]:
            self.active_stores[n] = active
            size = len(encode_frame(encode(Fresh(active, 0))))
            self.count.add("rootstock", "hedgerow", size, CORE)
            for to in range(CORE):
                self.time.after(
                    latency_s(zone_of(n), zone_of(to)), lambda to=to: self._update_primary_status(to)
                )
        self.time.after(STORE_TICK_S, lambda: self._store_tick(n))

    def _update_primary_status(self, to: int) -> None:
        if to not in self.down:
            began = time.process_time()
            config = self.registries[to].config
            version, digest = (config.version, config.digest) if config is not None else (0, "")
            status = Fresh(True, version, digest) if any(self.active_stores) else None
            self.run_registry_actions(
                to, self.registries[to].set_primary_status(self.time.now, status), began
            )

    def _heartbeat(self, b: int) -> None:
        if b in self.stopped_backends:
            return
        n = self.heartbeat_target[b]
        if n in self.down:
            n = self.heartbeat_target[b] = (n + 1) % CORE
        self.heartbeat_counts[b] += 1
        began = time.process_time()
        _, actions = self.registries[n].heartbeat(self.time.now, self.backends[b], self.heartbeat_counts[b])
        self.count.messages[self.count.phase, "backend", "hedgerow"] += 1
        self.run_registry_actions(n, actions, began)
        self.time.after(HEARTBEAT_S, lambda: self._heartbeat(b))

    # ---- scenario steps

    def registry_for(self, member: Member) -> int:
        """Returns the registry that an ingress follows: one in its zone, else the first in its ranking.

        The rule is that of troutdock.proxy.registry_connections.
        """
        zones = {ip: zone_of(n) for n, ip in enumerate(self.ips) if n not in self.down}
        order = sorted(ranked(member.name, zones), key=lambda ip: zones[ip] != member.zone)
        return self.ips.index(order[0])

    def ingress_up(self, member: Member) -> None:
        n = self.registry_of[member.name] = self.registry_for(member)
        self.max_latency_s[n] = max(self.max_latency_s[n], latency_s(zone_of(n), member.zone))
        self.count.add(
            "espalier",
            "hedgerow",
            len(encode_frame(encode(Hello("espalier", member.name, member.ip, member.zone, 1)))),
        )
        began = time.process_time()
        self.run_registry_actions(n, self.registries[n].ingress_up(self.time.now, member.name, member), began)

    def ingress_down(self, member: Member) -> None:
        n = self.registry_of[member.name]
        began = time.process_time()
        self.run_registry_actions(n, self.registries[n].ingress_down(self.time.now, member.name), began)

    def _link(self, n: int, m: int) -> None:
        began = time.process_time()
        self.run_registry_actions(
            n, self.registries[n].registry_up(self.time.now, m, self.ips[m], zone_of(m)), began
        )

    def start(self) -> None:
        """Starts all processes within a second, and the backends within one heartbeat interval."""
        for n in range(CORE):
            for m in range(CORE):
                if n != m:
                    self.time.at(0.01, lambda n=n, m=m: self._link(n, m))
                    self.replicas[n].meet(self.ips[m], zone_of(m))
                    self.time.at(
                        0.02,
                        lambda n=n, m=m: self.run_store_actions(
                            n, self.replicas[n].linked(self.time.now, self.ips[m]), time.process_time()
                        ),
                    )
            self.run_store_actions(n, self.replicas[n].take(), time.process_time())
            self.time.at(0.1 + n / 100, lambda n=n: self._tick(n))
            self.time.at(0.1 + n / 200, lambda n=n: self._store_tick(n))
        for i in range(self.size.ingresses):
            member = Member(f"edge-{i:04}", f"10.1.{i // 250}.{i % 250}", 7000, zone_of(i), i + 1)
            self.members.append(member)
            self.time.at(0.1 + 0.9 * i / self.size.ingresses, lambda m=member: self.ingress_up(m))
        for b in range(self.size.backends):
            zone = zone_of(b)
            self.backends.append(
                Instance(
                    f"i-{b:08x}",
                    f"service-{b % self.size.services}",
                    f"10.2.{b // 250}.{b % 250}:8000",
                    zone,
                    2,
                    0,
                )
            )
            near = int(zone[1:])
            self.heartbeat_target.append(near if near < CORE else self.random.randrange(CORE))
            self.heartbeat_counts.append(0)
            self.time.at(0.05 + HEARTBEAT_S * self.random.random(), lambda b=b: self._heartbeat(b))

    def set_backend_state(self, b: int, state: int) -> None:
        """Reports a backend as draining or gone; it sends no further heartbeats."""
        self.backends[b] = msgspec.structs.replace(self.backends[b], state=state)
        self.heartbeat_counts[b] += 1
        began = time.process_time()
        n = self.heartbeat_target[b]
        self.run_registry_actions(
            n,
            self.registries[n].heartbeat(self.time.now, self.backends[b], self.heartbeat_counts[b])[1],
            began,
        )
        self.stopped_backends.add(b)  # later heartbeats would be sent again and counted as this update

    def write(self, version: int) -> int:
        """Writes an operator's configuration through the first registry; returns its size in bytes."""
        body = configuration(self.size, version)
        primary = self.active_stores.index(True)
        payload = encode_frame(encode(Write(version, version, msgspec.Raw(body))))
        self.count.add("hedgerow", "rootstock", len(payload))
        self._send(0, primary, len(payload), payload, self._receive_write, 0)
        return len(body)

    def lose_zone(self) -> None:
        """Removes zone 0 with its core machine, ingresses and backends; its followers reconnect elsewhere."""
        self.down.add(0)
        self.stopped_backends.update(b for b in range(self.size.backends) if b % ZONES == 0)
        lost = [m for m in self.members if m.zone == zone_of(0)]
        for n in range(1, CORE):
            began = time.process_time()
            self.run_registry_actions(n, self.registries[n].registry_down(self.time.now, 0), began)
            for member in lost:
                if self.registry_of[member.name] == n:
                    self.ingress_down(member)
        for member in self.members:
            if member.zone != zone_of(0) and self.registry_of[member.name] == 0:
                self.time.after(0.1 + self.random.random() / 5, lambda m=member: self.ingress_up(m))

    def state_sizes(self) -> dict[str, int]:
        """Returns the bytes of state of each role, with those of the ingress by part."""
        full = self.full_ingress
        parts = {
            "espalier, book": state_bytes(full.endpoints),
            "espalier, list of ingresses": state_bytes(full.exchange, full.endpoints),
            "espalier, routes and tenants": state_bytes([full.table, full.tenants]),
            "espalier, decisions": state_bytes(
                [full.admission, full.backend_numbers, full.instance_of, full.pools], full.table
            ),
        }
        return {
            **parts,
            "espalier": state_bytes(full),
            "hedgerow": state_bytes(self.registries[1]),
            "rootstock": state_bytes(max(self.replicas, key=lambda r: r.status.active)),
        }
