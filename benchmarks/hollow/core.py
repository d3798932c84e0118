"""The core in simulated time: registries and stores whole, ingresses as their followers, one of them in full.

What goes to all followers of a registry is the same bytes: encoded once, as by the real program
(troutdock.rpc.connection.broadcast), counted for each of them and decoded by one.
Messages wait for the sender's link (1,000 Mbit/s) and the slowest follower's (2 Mbit/s). Sockets, HTTP and
the disk's work are not in processor times; a sync takes 5 ms.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from benchmarks.hollow.ingress import Ingress
from benchmarks.hollow.town import (
    BEAT_S,
    CORE,
    CORE_BYTES_S,
    INGRESS_BYTES_S,
    SEEDS,
    ZONES,
    Count,
    Size,
    configuration,
    state_bytes,
    way_s,
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
AT_ONCE = 20  # one ingress in so many restarts in the same second
CALM_S = 6.0


def replica_of(me: str, seeds: list[str], now: float) -> Replica:
    """A replica of the store at the system's first start."""
    return Replica(me, seeds, None, True, now)


class Core:
    """Six core machines, followers, backends that beat."""

    def __init__(self, size: Size, seed: int, keep: Callable[[], None] = lambda: None) -> None:
        """keep: called often; raises where the run is to end."""
        self.size, self.random, self.keep = size, Random(seed), keep
        self.time = Timeline()
        self.count = Count()
        self.ips = [f"10.0.0.{n + 1}" for n in range(CORE)]
        self.registries = [
            Registry(0.0, BEAT_S, incarnation=1, zone=zone_of(n), seeds=self.ips[:SEEDS], ip=ip)
            for n, ip in enumerate(self.ips)
        ]
        self.replicas = [replica_of(ip, self.ips[:SEEDS], 0.0) for ip in self.ips]
        self.down: set[int] = set()
        self.fresh = [False] * CORE
        self.out_free = [0.0] * CORE  # of the machines' links, for what followers are told
        self.core_free = [0.0] * CORE  # and for the rest: connections share a link, none waits for all others
        self.in_free = [0.0] * CORE  # of the slowest of a registry's followers
        self.told_last = 0.0  # when the last ingress had what was said last
        self.told_config = self.told_state = 0.0  # the same, of configurations, and of states of backends
        self.far = [0.0] * CORE  # seconds to the farthest follower
        self.acked = 0.0
        self.members: list[Member] = []
        self.at: dict[str, int] = {}  # ingresses by name: the registry that each follows
        self.full = Ingress("edge-0000", "10.1.0.0", zone_of(0))
        self.backends: list[Instance] = []
        self.beats_at: list[int] = []
        self.counts: list[int] = []
        self.silenced: set[int] = set()

    # ---- what is said

    def do(self, n: int, actions: list[Any], since: float) -> None:
        """Carry out what a registry wants; since: of the processor's clock, when it was asked."""
        count, followers = self.count, len(self.registries[n].ingresses)
        count.cpu_s[count.phase, "hedgerow"] += time.process_time() - since
        for action in actions:
            if not isinstance(action, Send) or (action.to is None and not followers):
                continue
            began = time.process_time()
            payload = encode_frame(encode(action.message))
            encoding = time.process_time() - began
            if action.to is None:
                count.said("hedgerow", "espalier", len(payload), followers)
                self._follow(n, payload, followers, action.message, n == self.at.get("edge-0000"))
            elif isinstance(action.to, str):
                count.said("hedgerow", "espalier", len(payload))
                self._follow(n, payload, 1, action.message, action.to == "edge-0000")
            else:
                count.said("hedgerow", "hedgerow", len(payload))
                self._post(n, action.to, len(payload), payload, self._registry_hears, n)
            count.cpu_s[count.phase, "hedgerow"] += encoding
        if self.registries[n].save_urgent:
            self._save(n)

    def _save(self, n: int) -> None:
        """The registry's disk takes a batch; it is synced beside the loop."""
        if self.registries[n].next_batch(self.time.now) is not None:
            self.time.after(SYNC_S, lambda: self._saved(n))

    def _saved(self, n: int) -> None:
        if n not in self.down:
            began = time.process_time()
            self.do(n, self.registries[n].on_saved(self.time.now, True), began)

    def _follow(self, n: int, payload: bytes, followers: int, message: Message, full: bool) -> None:
        now, far = self.time.now, self.far[n]
        self.out_free[n] = max(now, self.out_free[n]) + len(payload) * followers / CORE_BYTES_S
        last = self.out_free[n] + far + len(payload) / INGRESS_BYTES_S
        if followers > 1:
            self.in_free[n] = max(self.in_free[n], now + far) + len(payload) / INGRESS_BYTES_S
            last = max(self.in_free[n], last)
        self.told_last = max(self.told_last, last)
        if isinstance(message, Config):
            self.told_config = max(self.told_config, last)
        elif isinstance(message, Instances) and any(e.state for e in message.entries):
            self.told_state = max(self.told_state, last)
        if full:
            began = time.process_time()
            self.full.hear(now, decode(payload[payload.index(b":") + 1 : -1]))
            self.count.cpu_s[self.count.phase, "espalier"] += time.process_time() - began
            self.count.said("hedgerow", "one espalier", len(payload))

    def _post(
        self, n: int, to: int, size: int, payload: bytes, what: Callable[[int, int, bytes], None], sender: int
    ) -> None:
        now = self.time.now
        self.core_free[n] = max(now, self.core_free[n]) + size / CORE_BYTES_S
        self.time.at(self.core_free[n] + way_s(zone_of(n), zone_of(to)), lambda: what(to, sender, payload))

    def _registry_hears(self, to: int, sender: int, payload: bytes) -> None:
        if to in self.down or sender in self.down:
            return
        began = time.process_time()
        message = decode(payload[payload.index(b":") + 1 : -1])
        self.do(to, self.registries[to].receive(self.time.now, sender, message), began)

    # ---- the store

    def store(self, n: int, actions: list[Any], since: float, after: float = 0.0) -> None:
        """Carry out what a replica wants."""
        for action in actions:
            match action:
                case Save():
                    after += SYNC_S
                case StoreSend(to, message):
                    payload = encode_frame(encode(message))
                    caller = to.startswith("@")
                    number = int(to[1:]) if caller else self.ips.index(to)
                    self.count.said("rootstock", "hedgerow" if caller else "rootstock", len(payload))
                    what = self._answered if caller else self._store_hears
                    self.time.after(
                        after,
                        lambda n=n, number=number, payload=payload, what=what: self._post(
                            n, number, len(payload), payload, what, n
                        ),
                    )
                case Committed(version, body):
                    payload = encode_frame(encode(Config(version, msgspec.Raw(body))))
                    for to in range(CORE):
                        self.count.said("rootstock", "hedgerow", len(payload))
                        self.time.after(
                            after,
                            lambda n=n, to=to, payload=payload: self._post(
                                n, to, len(payload), payload, self._store_tells, n
                            ),
                        )
        self.count.cpu_s[self.count.phase, "rootstock"] += time.process_time() - since

    def _store_hears(self, to: int, sender: int, payload: bytes) -> None:
        if to not in self.down and sender not in self.down:
            began = time.process_time()
            message = decode(payload[payload.index(b":") + 1 : -1])
            self.store(to, self.replicas[to].hear(self.time.now, self.ips[sender], message), began)

    def _asked(self, to: int, sender: int, payload: bytes) -> None:
        began = time.process_time()
        message = decode(payload[payload.index(b":") + 1 : -1])
        self.store(to, self.replicas[to].hear(self.time.now, f"@{sender}", message), began)

    def _answered(self, to: int, sender: int, payload: bytes) -> None:
        message = decode(payload[payload.index(b":") + 1 : -1])
        if isinstance(message, WriteAck):
            assert message.ok, message.why
            self.acked = self.time.now

    def _store_tells(self, to: int, sender: int, payload: bytes) -> None:
        if to in self.down:
            return
        began = time.process_time()
        message = decode(payload[payload.index(b":") + 1 : -1])
        assert isinstance(message, Config)
        self.do(to, self.registries[to].apply_config(message, True), began)
        self._primary(to)

    # ---- time

    def _tick(self, n: int) -> None:
        if n in self.down:
            return
        began = time.process_time()
        self.do(n, self.registries[n].tick(self.time.now), began)
        self._save(n)
        self.keep()
        self.time.after(TICK_INTERVAL_S, lambda: self._tick(n))

    def _store_tick(self, n: int) -> None:
        if n in self.down:
            return
        began = time.process_time()
        self.store(n, self.replicas[n].tick(self.time.now), began)
        active = self.replicas[n].status.active
        if active != self.fresh[n]:
            self.fresh[n] = active
            size = len(encode_frame(encode(Fresh(active, 0))))
            self.count.said("rootstock", "hedgerow", size, CORE)
            for to in range(CORE):
                self.time.after(way_s(zone_of(n), zone_of(to)), lambda to=to: self._primary(to))
        self.time.after(STORE_TICK_S, lambda: self._store_tick(n))

    def _primary(self, to: int) -> None:
        if to not in self.down:
            began = time.process_time()
            config = self.registries[to].config
            version, digest = (config.version, config.digest) if config is not None else (0, "")
            told = Fresh(True, version, digest) if any(self.fresh) else None
            self.do(to, self.registries[to].set_primary_status(self.time.now, told), began)

    def _beat(self, b: int) -> None:
        if b in self.silenced:
            return
        n = self.beats_at[b]
        if n in self.down:
            n = self.beats_at[b] = (n + 1) % CORE
        self.counts[b] += 1
        began = time.process_time()
        _, actions = self.registries[n].heartbeat(self.time.now, self.backends[b], self.counts[b])
        self.count.messages[self.count.phase, "backend", "hedgerow"] += 1
        self.do(n, actions, began)
        self.time.after(BEAT_S, lambda: self._beat(b))

    # ---- the story

    def follows(self, member: Member) -> int:
        """The registry that an ingress follows: its zone's, else by its own order.

        As troutdock.proxy.registry_connections.
        """
        zones = {ip: zone_of(n) for n, ip in enumerate(self.ips) if n not in self.down}
        order = sorted(ranked(member.name, zones), key=lambda ip: zones[ip] != member.zone)
        return self.ips.index(order[0])

    def ingress_up(self, member: Member) -> None:
        n = self.at[member.name] = self.follows(member)
        self.far[n] = max(self.far[n], way_s(zone_of(n), member.zone))
        self.count.said(
            "espalier",
            "hedgerow",
            len(encode_frame(encode(Hello("espalier", member.name, member.ip, member.zone, 1)))),
        )
        began = time.process_time()
        self.do(n, self.registries[n].ingress_up(self.time.now, member.name, member), began)

    def ingress_down(self, member: Member) -> None:
        n = self.at[member.name]
        began = time.process_time()
        self.do(n, self.registries[n].ingress_down(self.time.now, member.name), began)

    def _link(self, n: int, m: int) -> None:
        began = time.process_time()
        self.do(n, self.registries[n].registry_up(self.time.now, m, self.ips[m], zone_of(m)), began)

    def start(self) -> None:
        """All at once, within a second; backends within one beat."""
        for n in range(CORE):
            for m in range(CORE):
                if n != m:
                    self.time.at(0.01, lambda n=n, m=m: self._link(n, m))
                    self.replicas[n].meet(self.ips[m], zone_of(m))
                    self.time.at(
                        0.02,
                        lambda n=n, m=m: self.store(
                            n, self.replicas[n].linked(self.time.now, self.ips[m]), time.process_time()
                        ),
                    )
            self.store(n, self.replicas[n].take(), time.process_time())
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
            self.beats_at.append(near if near < CORE else self.random.randrange(CORE))
            self.counts.append(0)
            self.time.at(0.05 + BEAT_S * self.random.random(), lambda b=b: self._beat(b))

    def backend_says(self, b: int, state: int) -> None:
        """It drains, or is gone; it beats no more."""
        self.backends[b] = msgspec.structs.replace(self.backends[b], state=state)
        self.counts[b] += 1
        began = time.process_time()
        n = self.beats_at[b]
        self.do(n, self.registries[n].heartbeat(self.time.now, self.backends[b], self.counts[b])[1], began)
        self.silenced.add(b)  # its later beats would be told again, and count as this word

    def write(self, version: int) -> int:
        """An operator's change, at the first registry; gives its bytes."""
        body = configuration(self.size, version)
        primary = self.fresh.index(True)
        payload = encode_frame(encode(Write(version, version, msgspec.Raw(body))))
        self.count.said("hedgerow", "rootstock", len(payload))
        self._post(0, primary, len(payload), payload, self._asked, 0)
        return len(body)

    def lose_zone(self) -> None:
        """Zone 0 with its core machine, ingresses, backends is gone at once; its followers go elsewhere."""
        self.down.add(0)
        self.silenced.update(b for b in range(self.size.backends) if b % ZONES == 0)
        lost = [m for m in self.members if m.zone == zone_of(0)]
        for n in range(1, CORE):
            began = time.process_time()
            self.do(n, self.registries[n].registry_down(self.time.now, 0), began)
            for member in lost:
                if self.at[member.name] == n:
                    self.ingress_down(member)
        for member in self.members:
            if member.zone != zone_of(0) and self.at[member.name] == 0:
                self.time.after(0.1 + self.random.random() / 5, lambda m=member: self.ingress_up(m))

    def states(self) -> dict[str, int]:
        """Bytes of what each role holds; the ingress's by part."""
        full = self.full
        parts = {
            "espalier, book": state_bytes(full.book),
            "espalier, list of ingresses": state_bytes(full.exchange, full.book),
            "espalier, routes and tenants": state_bytes([full.table, full.tenants]),
            "espalier, decisions": state_bytes(
                [full.fabric, full.numbers, full.instance_of, full.pools], full.table
            ),
        }
        return {
            **parts,
            "espalier": state_bytes(full),
            "hedgerow": state_bytes(self.registries[1]),
            "rootstock": state_bytes(max(self.replicas, key=lambda r: r.status.active)),
        }
