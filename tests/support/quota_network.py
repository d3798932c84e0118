"""Simulation of processes that share quotas and of the links between them, without sockets.

A process has a QuotaNode and a LoadExchange and uses them like proxy.quota_loop and proxy.peer_connections:
it ticks, dials the targets of the exchange, and closes silent links. A link preserves the order of its
messages. As with a socket, a message sent into a partition is delayed and arrives after the partition has
healed, if the link is still up. Demands, grants and votes are sent as datagrams: some are lost, duplicated or
delayed, and those sent into a partition are lost.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import inf
from random import Random

from troutdock.proxy.peer_connections import BUSY_RETENTION_S
from troutdock.proxy.load_exchange import LoadExchange, Services
from troutdock.rpc.messages import Member, Message, QuotaGrant, QuotaRequest, QuotaStatus
from troutdock.quota.node import QuotaNode
from troutdock.quota.routes import Peers

TICK_INTERVAL_S, DIAL_INTERVAL_S, DIAL_DELAY_S = 0.1, 0.25, 0.01
SILENCE_TIMEOUT_S = 1.0  # a link is closed after this time without input
SILENCE_CHECK_INTERVAL_S = 0.1  # interval of the check for silent links
CONNECT_TIMEOUT_S, RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.6, 0.05, 0.5
ZONE_DELAY_S, REMOTE_DELAY_S = 0.0003, 0.0015
LOSS_FRACTION, DUPLICATE_FRACTION, DELAYED_FRACTION = 0.02, 0.02, 0.01  # of datagrams
MAX_EXTRA_DELAY_S = 0.6  # of a delayed datagram

Action = Callable[[], None]


class NoServices:
    """A service table without services."""

    def services(self) -> list[str]:
        return []

    def service_of(self, instance: str) -> str:
        return ""

    def instances_of(self, service: str) -> list[str]:
        return []


class Clock:
    """Simulated clock with a queue of scheduled actions."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Action]] = []
        self._number = 0

    def at(self, at: float, action: Action) -> None:
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, action))

    def later(self, delay: float, action: Action) -> None:
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, action = heapq.heappop(queue)
            action()
        self.now = until


class LinkEnd:
    """One side of a link; delayed: deliveries to this side that wait for a partition to heal."""

    __slots__ = ("connector", "delayed", "is_open", "last_arrival_at", "last_received_at", "other", "process")

    def __init__(self, process: Process, now: float, connector: Connector | None = None) -> None:
        self.process, self.connector = process, connector
        self.other: LinkEnd = self
        self.is_open, self.last_received_at, self.last_arrival_at = True, now, now
        self.delayed: list[Action] = []

    @property
    def peer(self) -> Process:
        return self.other.process


class Connector:
    """Maintains a link to a named process, like troutdock.rpc.connection.Connector."""

    def __init__(self, process: Process, member: Member) -> None:
        self.process, self.name, self.ip = process, member.name, member.ip
        self.is_ready = self.attempted = self.is_closed = False
        self.end: LinkEnd | None = None
        self._delay = RECONNECT_DELAY_S
        self._connect()

    def _connect(self) -> None:
        if self.is_closed or not self.process.alive:
            return
        network = self.process.network
        target = network.processes.get(self.name)
        if target is None or not target.alive:
            network.later(2 * REMOTE_DELAY_S, self._failed)
        elif target.is_frozen or network.is_cut(self.process, target) or network.is_cut(target, self.process):
            network.later(CONNECT_TIMEOUT_S, self._failed)
        else:
            network.later(network.delay(self.process, target) * 3, lambda: self._connected(target))

    def _connected(self, target: Process) -> None:
        network = self.process.network
        if self.is_closed or not self.process.alive:
            return
        if not target.alive or target.is_frozen or network.is_cut(self.process, target):
            self._failed()
            return
        self.end = LinkEnd(self.process, network.now, self)
        accepted = LinkEnd(target, network.now)
        self.end.other, accepted.other = accepted, self.end
        self.is_ready, self.attempted, self._delay = True, True, RECONNECT_DELAY_S
        end = self.end
        network.carry(accepted, lambda: self.process.link_up(end))  # before any message on the link
        target.do(lambda: target.link_up(accepted))

    def _failed(self) -> None:
        self.attempted = True
        self.ended()

    def ended(self) -> None:
        """Schedules the next attempt after the link closed or an attempt failed."""
        self.is_ready, self.end = False, None
        self.process.network.later(self._delay, self._connect)
        self._delay = min(MAX_RECONNECT_DELAY_S, self._delay * 2)

    def close(self) -> None:
        self.is_closed = True
        if self.end is not None:
            self.process.close(self.end)


class Process:
    """One incarnation of a process."""

    def __init__(
        self,
        network: Network,
        name: str,
        zone: str,
        ip: str,
        incarnation: int,
        bootstrap: bool,
        services: Services | None = None,
    ) -> None:
        self.network, self.name, self.zone, self.ip, self.incarnation = network, name, zone, ip, incarnation
        self.clock_offset = network.random.uniform(10.0, 1e5)  # each monotonic clock has its own origin
        self.node = QuotaNode(name, zone, incarnation, self.now, bootstrap)
        self.exchange = LoadExchange(name, ip, zone, incarnation, services or NoServices())
        self.alive, self.is_listed = True, False
        self.ends: dict[LinkEnd, None] = {}
        self.connectors: dict[str, Connector] = {}
        self.extra_delay_s = (0.0, 0.0)  # range of the extra delay of its messages, in both directions
        self.is_starting, self.has_high_lag = not bootstrap, False
        self._reported_busy = False
        self.fleet_size = 1
        self._busy_until: dict[str, float] = {}  # by process name; infinite while it is linked
        self._frozen_at: float | None = None
        self._backlog: list[Action] = []
        self._requests: list[Action] = []
        self._is_dial_due = self._is_resend_due = False
        network.later(network.random.uniform(0, 0.02), lambda: self.do(self._tick))
        network.later(network.random.uniform(0, 0.02), lambda: self.do(self._check_links))

    @property
    def now(self) -> float:
        return self.network.now + self.clock_offset

    @property
    def is_frozen(self) -> bool:
        return self._frozen_at is not None

    # ---- execution

    def do(self, action: Action, is_request: bool = False) -> None:
        """Runs an action in the process: after resuming if it is frozen, never if it is dead."""
        if not self.alive:
            return
        if self._frozen_at is not None:
            (self._requests if is_request else self._backlog).append(action)
            return
        action()
        self.flush()

    def flush(self) -> None:
        if self.node.has_grants:
            self.leases_due()
        for peer, message in self.node.take_messages():
            self.network.send(self, peer, message)
        if not self._is_resend_due and self.node.resend_at < inf:
            self._is_resend_due = True
            self.network.later(max(0.0, self.node.resend_at - self.now), lambda: self.do(self._resend))

    def _resend(self) -> None:
        self._is_resend_due = False
        self.node.resend(self.now)

    def leases_due(self) -> None:
        """Called when grants have arrived and at every tick."""
        self.node.take_grants()

    def _tick(self) -> None:
        self.node.tick(self.now)
        self.leases_due()
        self._update_status()
        self.network.later(TICK_INTERVAL_S, lambda: self.do(self._tick))

    def _update_status(self) -> None:
        """Reports whether this process has too high a lag, or started too recently, to own or aggregate."""
        self.is_starting = self.is_starting and not self.node.is_settled(self.now)
        is_busy = self.is_starting or self.has_high_lag
        if is_busy != self._reported_busy:
            self._reported_busy = is_busy
            for end in self.ends:
                self.network.send_on(end, QuotaStatus(is_busy))
            self.update_peers()

    def _receive_status(self, name: str, status: QuotaStatus) -> None:
        if status.busy:
            self._busy_until[name] = inf
        else:
            self._busy_until.pop(name, None)
        self.update_peers()
        self._dial_soon()

    def _busy_names(self) -> frozenset[str]:
        for name in [name for name, until in self._busy_until.items() if until <= self.now]:
            del self._busy_until[name]
        return frozenset([*self._busy_until, self.name] if self._reported_busy else self._busy_until)

    def _check_links(self) -> None:
        self._dial()
        self.update_peers()
        self.network.later(DIAL_INTERVAL_S, lambda: self.do(self._check_links))

    def listed(self, members: list[Member]) -> None:
        self.exchange.update_members(self.now, members, (), True)
        self.is_listed = True
        self._dial()
        self.update_peers()

    def freeze(self) -> None:
        if self.alive and self._frozen_at is None:
            self._frozen_at = self.network.now

    def resume(self) -> None:
        """Resumes a frozen process: handles its backlog and requests, and reconnects, in a random order."""
        if not self.alive or self._frozen_at is None:
            return
        stalled_s, self._frozen_at = self.network.now - self._frozen_at, None
        for end in self.ends:
            end.last_received_at = self.network.now
        backlog, requests = self._backlog, self._requests
        self._backlog, self._requests = [], []
        reconnects = [self.close_all] if stalled_s > SILENCE_TIMEOUT_S else []
        if self.network.random.random() < self.network.clients_first_fraction:
            actions = requests + backlog + reconnects
        elif self.network.random.random() < 0.5:
            actions = backlog + requests + reconnects
        else:
            actions = reconnects + backlog + requests
        for action in actions:
            self.do(action)

    # ---- links

    def update_peers(self) -> None:
        linked = [end.peer for end in self.ends]
        members = self.exchange.members.values()
        self.exchange.busy = self._busy_names()
        self.fleet_size = self.exchange.membership(self.now)[0]
        self.node.update_peers(
            self.now,
            Peers(
                zone_peers=frozenset(peer.name for peer in linked if peer.zone == self.zone),
                remote_peers={peer.name: peer.zone for peer in linked if peer.zone != self.zone},
                listed_zone_peers=frozenset(m.name for m in members if m.zone == self.zone),
                listed_zones=frozenset(m.zone for m in members if m.zone != self.zone),
                fleet_size=self.fleet_size if self.is_listed else 0,
                busy=self.exchange.busy,
            ),
        )

    def _dial_soon(self) -> None:
        if not self._is_dial_due:
            self._is_dial_due = True
            self.network.later(DIAL_DELAY_S, lambda: self.do(self._dial))

    def _dial(self) -> None:
        self._is_dial_due = False
        linked = [(end.peer.name, end.peer.zone) for end in self.ends]
        failing = [
            name
            for name, connector in self.connectors.items()
            if connector.attempted and not connector.is_ready
        ]
        wanted = {m.name: m for m in self.exchange.dial_targets(self.now, linked, failing)}
        for name, connector in list(self.connectors.items()):
            if not self.exchange.should_keep(name, connector.ip, wanted, connector.is_ready):
                del self.connectors[name]
                connector.close()
        for name, member in wanted.items():
            if name not in self.connectors:
                self.connectors[name] = Connector(self, member)

    def link_up(self, end: LinkEnd) -> None:
        if not end.is_open:
            return
        peer = end.peer
        for other in list(self.ends):
            if other.peer.name == peer.name and other.peer.incarnation != peer.incarnation:
                listed = self.exchange.members.get(peer.name)
                if (
                    listed is not None
                    and listed.life == other.peer.incarnation
                    and peer.incarnation < other.peer.incarnation
                ):
                    self.close(end)
                    return
                self.close(other)
        self.ends[end] = None
        end.last_received_at = self.network.now
        self._busy_until.pop(peer.name, None)
        if self._reported_busy:
            self.network.send_on(end, QuotaStatus(True))
        self.update_peers()
        self._dial_soon()

    def close(self, end: LinkEnd) -> None:
        """Closes a link on this side; the other side is notified if the network is not partitioned."""
        if not end.is_open:
            return
        end.is_open = False
        end.delayed.clear()
        other = end.other
        self.network.carry(end, lambda: other.process.close(other))
        if end.connector is not None:
            end.connector.ended()
        if end in self.ends:
            del self.ends[end]
            if end.peer.name in self._busy_until:
                self._busy_until[end.peer.name] = self.now + BUSY_RETENTION_S
            self.update_peers()
            self._dial_soon()

    def close_all(self) -> None:
        for end in list(self.ends):
            self.close(end)

    def receive_datagram(self, sender: Process, message: Message) -> None:
        if any(end.peer is sender for end in self.ends):
            self.node.receive(self.now, sender.name, message)

    def receive(self, end: LinkEnd, message: Message) -> None:
        if not end.is_open or end not in self.ends:
            return
        if isinstance(message, QuotaStatus):
            self._receive_status(end.peer.name, message)
        else:
            self.node.receive(self.now, end.peer.name, message)


class Network:
    """All processes by name and the network between them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.clock = Clock()
        self.processes: dict[str, Process] = {}
        self.messages = 0
        self.remote_messages = 0
        self.clients_first_fraction = 0.4  # of resumptions; the order in which sockets are read is undefined
        self._cuts: set[tuple[str, str]] = set()
        self._blocked_ends: dict[LinkEnd, None] = {}
        self._last_incarnation = 0
        self._registered: dict[str, Member] = {}
        self.later(SILENCE_CHECK_INTERVAL_S, self._check_silence)

    @property
    def now(self) -> float:
        return self.clock.now

    def at(self, at: float, action: Action) -> None:
        self.clock.at(at, action)

    def later(self, delay: float, action: Action) -> None:
        self.clock.later(delay, action)

    def new_incarnation(self) -> int:
        self._last_incarnation += 1
        return self._last_incarnation

    def alive(self) -> list[Process]:
        return [process for process in self.processes.values() if process.alive]

    # ---- membership

    def publish(self, soonest: float = 0.02, latest: float = 0.3) -> None:
        """Sends the registry's list to every process after a random delay."""
        for process in self.alive():
            delay = self.random.uniform(soonest, latest) if latest else 0.0
            self.later(delay, lambda process=process: self._list(process))

    def _list(self, process: Process) -> None:
        members = self.members()
        process.do(lambda: process.listed(members))

    def members(self) -> list[Member]:
        """Returns the members that the registry lists."""
        return list(self._registered.values())

    def register(self, process: Process) -> None:
        """Adds a process to the registry; other processes learn it from the next published list."""
        self._registered[process.name] = Member(
            process.name, process.ip, 1, process.zone, process.incarnation
        )

    def unregister(self, process: Process) -> None:
        """Removes an incarnation from the registry."""
        known = self._registered.get(process.name)
        if known is not None and known.life == process.incarnation:
            del self._registered[process.name]

    def delist(self, process: Process) -> None:
        """Removes an incarnation from the registry and publishes the list."""
        self.unregister(process)
        self.publish()

    # ---- transport

    @property
    def cuts(self) -> set[tuple[str, str]]:
        """Pairs of names, from sender to receiver, between which all messages are lost without an error."""
        return self._cuts

    @cuts.setter
    def cuts(self, cuts: set[tuple[str, str]]) -> None:
        self._cuts = cuts
        for end in list(self._blocked_ends):
            if (end.peer.name, end.process.name) not in cuts:
                del self._blocked_ends[end]
                delayed, end.delayed = end.delayed, []
                for action in delayed:
                    self.carry(end.other, action)

    def is_cut(self, sender: Process, receiver: Process) -> bool:
        return (sender.name, receiver.name) in self._cuts

    def delay(self, sender: Process, receiver: Process) -> float:
        base_delay = ZONE_DELAY_S if sender.zone == receiver.zone else REMOTE_DELAY_S
        extra_delay = sum(
            self.random.uniform(*p.extra_delay_s) for p in (sender, receiver) if p.extra_delay_s[1]
        )
        return base_delay * self.random.uniform(0.8, 1.5) + extra_delay

    def carry(self, end: LinkEnd, action: Action) -> None:
        """Delivers an action to the process at the other end, after everything sent before."""
        other = end.other
        if other.delayed or self.is_cut(end.process, other.process):
            other.delayed.append(action)
            self._blocked_ends[other] = None
            return
        other.last_arrival_at = max(other.last_arrival_at, self.now + self.delay(end.process, other.process))
        self.at(other.last_arrival_at, lambda: other.process.do(action))

    def send(self, sender: Process, name: str, message: Message) -> None:
        for end in sender.ends:
            if end.peer.name == name:
                if isinstance(message, QuotaRequest | QuotaGrant):
                    self._send_datagram(sender, end.peer, message)
                else:
                    self.send_on(end, message)
                return

    def _send_datagram(self, sender: Process, receiver: Process, message: Message) -> None:
        """Sends outside the links; accepted if the receiver is linked to this incarnation of the sender."""
        self.messages += 1
        self.remote_messages += sender.zone != receiver.zone
        copies = (
            0
            if self.random.random() < LOSS_FRACTION
            else 2
            if self.random.random() < DUPLICATE_FRACTION
            else 1
        )
        for _ in range(0 if self.is_cut(sender, receiver) else copies):
            extra_delay = (
                self.random.uniform(0, MAX_EXTRA_DELAY_S) if self.random.random() < DELAYED_FRACTION else 0.0
            )
            delay = self.delay(sender, receiver) + extra_delay
            self.later(delay, lambda: receiver.do(lambda: receiver.receive_datagram(sender, message)))

    def send_on(self, end: LinkEnd, message: Message) -> None:
        other = end.other
        self.messages += 1
        self.remote_messages += end.process.zone != other.process.zone
        self.carry(end, lambda: other.process.receive(other, message))

    def _check_silence(self) -> None:
        now = self.now
        for process in self.alive():
            if process.is_frozen:
                continue
            silent = []
            for end in process.ends:
                peer = end.peer
                if end.other.is_open and peer.alive and not peer.is_frozen and not self.is_cut(peer, process):
                    end.last_received_at = now
                elif now - end.last_received_at >= SILENCE_TIMEOUT_S:
                    silent.append(end)
            for end in silent:
                process.do(lambda end=end: process.close(end))
        self.later(SILENCE_CHECK_INTERVAL_S, self._check_silence)

    # ---- faults

    def kill(self, process: Process) -> None:
        """Kills a process; its machine closes its links."""
        if process.alive:
            process.alive = False
            for end in process.ends:
                other = end.other
                end.is_open = False
                self.carry(end, lambda other=other: other.process.close(other))

    def lose_power(self, process: Process) -> None:
        """Stops a process without closing its links."""
        process.alive = False

    def end_in_order(self, process: Process) -> None:
        """Terminates a process in order: it hands over its shards, and its links close 20 ms later."""

        def hand_over() -> None:
            process.node.hand_over(process.now)
            self.later(0.02, lambda: self.kill(process))

        process.do(hand_over)

    def reset(self, process: Process) -> None:
        """Resets all links of a process; messages in transit are lost."""
        for end in list(process.ends):
            other = end.other
            process.do(lambda end=end: process.close(end))
            other.process.do(lambda other=other: other.process.close(other))

    def freeze(self, process: Process, for_s: float) -> None:
        process.freeze()
        self.later(for_s, process.resume)
