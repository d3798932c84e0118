"""Processes that share quotas, and the links between them, in simulated time: no sockets.

A process has a QuotaNode and an Exchange, and does with them what proxy.quota_loop and proxy.peer_connections
do: it ticks, dials whom the exchange wants, and ends a link that has been silent. A link keeps the order of its
messages. What is sent into a cut waits, as in a socket, and arrives when the cut is healed, if the link is still up there. Demands,
grants and votes go as datagrams: some are lost, some come twice or late, and those sent into a cut are gone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import inf
from random import Random

from troutdock.proxy.peer_connections import BUSY_RETENTION_S
from troutdock.proxy.load_exchange import Exchange, Services
from troutdock.rpc.messages import Member, Message, QuotaGrant, QuotaRequest, QuotaStatus
from troutdock.quota.node import QuotaNode
from troutdock.quota.routes import Peers

TICK_S, LOOK_S, DIAL_S = 0.1, 0.25, 0.01
SILENT_S = 1.0  # a link on which nothing was heard for so long ends
CHECK_S = 0.1  # between two looks at silent links
CONNECT_S, PAUSE_S, PAUSE_MOST_S = 0.6, 0.05, 0.5
NEAR_DELAY_S, AWAY_DELAY_S = 0.0003, 0.0015
LOST_PART, TWICE_PART, LATE_PART = 0.02, 0.02, 0.01  # of the datagrams
LATE_S = 0.6  # at most

Action = Callable[[], None]


class NoServices:
    """No backends."""

    def services(self) -> list[str]:
        return []

    def service_of(self, instance: str) -> str:
        return ""

    def instances_of(self, service: str) -> list[str]:
        return []


class Clock:
    """What is due, in the order of time."""

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


class End:
    """One side of a link. held: what waits for a cut to heal before it arrives here."""

    __slots__ = ("arrives_at", "dialer", "heard_at", "held", "is_open", "other", "process")

    def __init__(self, process: Process, now: float, dialer: Dialer | None = None) -> None:
        self.process, self.dialer = process, dialer
        self.other: End = self
        self.is_open, self.heard_at, self.arrives_at = True, now, now
        self.held: list[Action] = []

    @property
    def peer(self) -> Process:
        return self.other.process


class Dialer:
    """Keeps a link up to a process by name, as troutdock.rpc.connection does."""

    def __init__(self, process: Process, member: Member) -> None:
        self.process, self.name, self.ip = process, member.name, member.ip
        self.up = self.tried = self.is_closed = False
        self.end: End | None = None
        self._pause = PAUSE_S
        self._try()

    def _try(self) -> None:
        if self.is_closed or not self.process.alive:
            return
        network = self.process.network
        target = network.processes.get(self.name)
        if target is None or not target.alive:
            network.later(2 * AWAY_DELAY_S, self._failed)
        elif target.is_frozen or network.is_cut(self.process, target) or network.is_cut(target, self.process):
            network.later(CONNECT_S, self._failed)
        else:
            network.later(network.delay(self.process, target) * 3, lambda: self._connected(target))

    def _connected(self, target: Process) -> None:
        network = self.process.network
        if self.is_closed or not self.process.alive:
            return
        if not target.alive or target.is_frozen or network.is_cut(self.process, target):
            self._failed()
            return
        self.end = End(self.process, network.now, self)
        accepted = End(target, network.now)
        self.end.other, accepted.other = accepted, self.end
        self.up, self.tried, self._pause = True, True, PAUSE_S
        end = self.end
        network.carry(accepted, lambda: self.process.link_up(end))  # before all that is said on it
        target.do(lambda: target.link_up(accepted))

    def _failed(self) -> None:
        self.tried = True
        self.ended()

    def ended(self) -> None:
        """The link or a try has come to nothing."""
        self.up, self.end = False, None
        self.process.network.later(self._pause, self._try)
        self._pause = min(PAUSE_MOST_S, self._pause * 2)

    def close(self) -> None:
        self.is_closed = True
        if self.end is not None:
            self.process.close(self.end)


class Process:
    """One life of a process."""

    def __init__(
        self,
        network: Network,
        name: str,
        zone: str,
        ip: str,
        life: int,
        bootstrap: bool,
        services: Services | None = None,
    ) -> None:
        self.network, self.name, self.zone, self.ip, self.life = network, name, zone, ip, life
        self.clock_offset = network.random.uniform(10.0, 1e5)  # each steady clock has its own zero
        self.node = QuotaNode(name, zone, life, self.now, bootstrap)
        self.exchange = Exchange(name, ip, zone, life, services or NoServices())
        self.alive, self.is_listed = True, False
        self.ends: dict[End, None] = {}
        self.dialers: dict[str, Dialer] = {}
        self.lateness = (0.0, 0.0)  # of its messages, both ways
        self.is_young, self.is_late = not bootstrap, False
        self._told_busy = False
        self.fleet_size = 1
        self._busy_until: dict[str, float] = {}  # other processes; infinite while they are linked
        self._frozen_at: float | None = None
        self._backlog: list[Action] = []
        self._requests: list[Action] = []
        self._is_dial_due = self._is_resend_due = False
        network.later(network.random.uniform(0, 0.02), lambda: self.do(self._tick))
        network.later(network.random.uniform(0, 0.02), lambda: self.do(self._look))

    @property
    def now(self) -> float:
        return self.network.now + self.clock_offset

    @property
    def is_frozen(self) -> bool:
        return self._frozen_at is not None

    # ---- what it does

    def do(self, action: Action, is_request: bool = False) -> None:
        """Run it here, once the process runs; never if it is dead."""
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
        """Grants have come, or time has gone by."""
        self.node.take_grants()

    def _tick(self) -> None:
        self.node.tick(self.now)
        self.leases_due()
        self._follow_status()
        self.network.later(TICK_S, lambda: self.do(self._tick))

    def _follow_status(self) -> None:
        """Tell the others whether this one is too late, or too young, to own and aggregate."""
        self.is_young = self.is_young and not self.node.is_settled(self.now)
        is_busy = self.is_young or self.is_late
        if is_busy != self._told_busy:
            self._told_busy = is_busy
            for end in self.ends:
                self.network.send_on(end, QuotaStatus(is_busy))
            self.tell_peers()

    def _hear_status(self, name: str, status: QuotaStatus) -> None:
        if status.busy:
            self._busy_until[name] = inf
        else:
            self._busy_until.pop(name, None)
        self.tell_peers()
        self._dial_soon()

    def _busy_names(self) -> frozenset[str]:
        for name in [name for name, until in self._busy_until.items() if until <= self.now]:
            del self._busy_until[name]
        return frozenset([*self._busy_until, self.name] if self._told_busy else self._busy_until)

    def _look(self) -> None:
        self._dial()
        self.tell_peers()
        self.network.later(LOOK_S, lambda: self.do(self._look))

    def listed(self, members: list[Member]) -> None:
        self.exchange.listed(self.now, members, (), True)
        self.is_listed = True
        self._dial()
        self.tell_peers()

    def freeze(self) -> None:
        if self.alive and self._frozen_at is None:
            self._frozen_at = self.network.now

    def wake(self) -> None:
        """Handle what has come meanwhile: clients first or last; links begin anew before or after."""
        if not self.alive or self._frozen_at is None:
            return
        stood, self._frozen_at = self.network.now - self._frozen_at, None
        for end in self.ends:
            end.heard_at = self.network.now
        backlog, requests = self._backlog, self._requests
        self._backlog, self._requests = [], []
        renewal = [self.renew] if stood > SILENT_S else []
        if self.network.random.random() < self.network.clients_first_part:
            actions = requests + backlog + renewal
        elif self.network.random.random() < 0.5:
            actions = backlog + requests + renewal
        else:
            actions = renewal + backlog + requests
        for action in actions:
            self.do(action)

    # ---- links

    def tell_peers(self) -> None:
        linked = [end.peer for end in self.ends]
        members = self.exchange.members.values()
        self.exchange.busy = self._busy_names()
        self.fleet_size = self.exchange.company(self.now)[0]
        self.node.update_peers(
            self.now,
            Peers(
                near=frozenset(peer.name for peer in linked if peer.zone == self.zone),
                away={peer.name: peer.zone for peer in linked if peer.zone != self.zone},
                listed_near=frozenset(m.name for m in members if m.zone == self.zone),
                listed_zones=frozenset(m.zone for m in members if m.zone != self.zone),
                fleet_size=self.fleet_size if self.is_listed else 0,
                busy=self.exchange.busy,
            ),
        )

    def _dial_soon(self) -> None:
        if not self._is_dial_due:
            self._is_dial_due = True
            self.network.later(DIAL_S, lambda: self.do(self._dial))

    def _dial(self) -> None:
        self._is_dial_due = False
        linked = [(end.peer.name, end.peer.zone) for end in self.ends]
        failing = [name for name, dialer in self.dialers.items() if dialer.tried and not dialer.up]
        wanted = {m.name: m for m in self.exchange.wanted(self.now, linked, failing)}
        for name, dialer in list(self.dialers.items()):
            if not self.exchange.keeps(name, dialer.ip, wanted, dialer.up):
                del self.dialers[name]
                dialer.close()
        for name, member in wanted.items():
            if name not in self.dialers:
                self.dialers[name] = Dialer(self, member)

    def link_up(self, end: End) -> None:
        if not end.is_open:
            return
        peer = end.peer
        for other in list(self.ends):
            if other.peer.name == peer.name and other.peer.life != peer.life:
                listed = self.exchange.members.get(peer.name)
                if listed is not None and listed.life == other.peer.life and peer.life < other.peer.life:
                    self.close(end)
                    return
                self.close(other)
        self.ends[end] = None
        end.heard_at = self.network.now
        self._busy_until.pop(peer.name, None)
        if self._told_busy:
            self.network.send_on(end, QuotaStatus(True))
        self.tell_peers()
        self._dial_soon()

    def close(self, end: End) -> None:
        """End a link here; the other side is told, where the way is open."""
        if not end.is_open:
            return
        end.is_open = False
        end.held.clear()
        other = end.other
        self.network.carry(end, lambda: other.process.close(other))
        if end.dialer is not None:
            end.dialer.ended()
        if end in self.ends:
            del self.ends[end]
            if end.peer.name in self._busy_until:
                self._busy_until[end.peer.name] = self.now + BUSY_RETENTION_S
            self.tell_peers()
            self._dial_soon()

    def renew(self) -> None:
        for end in list(self.ends):
            self.close(end)

    def receive_datagram(self, sender: Process, message: Message) -> None:
        if any(end.peer is sender for end in self.ends):
            self.node.receive(self.now, sender.name, message)

    def receive(self, end: End, message: Message) -> None:
        if not end.is_open or end not in self.ends:
            return
        if isinstance(message, QuotaStatus):
            self._hear_status(end.peer.name, message)
        else:
            self.node.receive(self.now, end.peer.name, message)


class Network:
    """All processes by name, and what lies between them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.clock = Clock()
        self.processes: dict[str, Process] = {}
        self.messages = 0
        self.messages_away = 0
        self.clients_first_part = 0.4  # of the wakings: which socket is read first is not settled
        self._cuts: set[tuple[str, str]] = set()
        self._holding: dict[End, None] = {}
        self._last_life = 0
        self._registered: dict[str, Member] = {}
        self.later(CHECK_S, self._check_silence)

    @property
    def now(self) -> float:
        return self.clock.now

    def at(self, at: float, action: Action) -> None:
        self.clock.at(at, action)

    def later(self, delay: float, action: Action) -> None:
        self.clock.later(delay, action)

    def new_life(self) -> int:
        self._last_life += 1
        return self._last_life

    def alive(self) -> list[Process]:
        return [process for process in self.processes.values() if process.alive]

    # ---- membership

    def publish(self, soonest: float = 0.02, latest: float = 0.3) -> None:
        """The registry's list reaches every process a little later."""
        for process in self.alive():
            delay = self.random.uniform(soonest, latest) if latest else 0.0
            self.later(delay, lambda process=process: self._list(process))

    def _list(self, process: Process) -> None:
        members = self.members()
        process.do(lambda: process.listed(members))

    def members(self) -> list[Member]:
        """Those that the registry lists."""
        return list(self._registered.values())

    def register(self, process: Process) -> None:
        """The registry knows of it from now on; it tells with the next list."""
        self._registered[process.name] = Member(process.name, process.ip, 1, process.zone, process.life)

    def unregister(self, process: Process) -> None:
        """The registry knows that this life is over."""
        known = self._registered.get(process.name)
        if known is not None and known.life == process.life:
            del self._registered[process.name]

    def delist(self, process: Process) -> None:
        """The registry has found out that this life is over, and tells."""
        self.unregister(process)
        self.publish()

    # ---- ways

    @property
    def cuts(self) -> set[tuple[str, str]]:
        """Pairs of names, from one to the other, between which nothing comes through, silently."""
        return self._cuts

    @cuts.setter
    def cuts(self, cuts: set[tuple[str, str]]) -> None:
        self._cuts = cuts
        for end in list(self._holding):
            if (end.peer.name, end.process.name) not in cuts:
                del self._holding[end]
                held, end.held = end.held, []
                for action in held:
                    self.carry(end.other, action)

    def is_cut(self, sender: Process, receiver: Process) -> bool:
        return (sender.name, receiver.name) in self._cuts

    def delay(self, sender: Process, receiver: Process) -> float:
        usual = NEAR_DELAY_S if sender.zone == receiver.zone else AWAY_DELAY_S
        late = sum(self.random.uniform(*p.lateness) for p in (sender, receiver) if p.lateness[1])
        return usual * self.random.uniform(0.8, 1.5) + late

    def carry(self, end: End, action: Action) -> None:
        """To the other end's process, after all that was sent before."""
        other = end.other
        if other.held or self.is_cut(end.process, other.process):
            other.held.append(action)
            self._holding[other] = None
            return
        other.arrives_at = max(other.arrives_at, self.now + self.delay(end.process, other.process))
        self.at(other.arrives_at, lambda: other.process.do(action))

    def send(self, sender: Process, name: str, message: Message) -> None:
        for end in sender.ends:
            if end.peer.name == name:
                if isinstance(message, QuotaRequest | QuotaGrant):
                    self._send_datagram(sender, end.peer, message)
                else:
                    self.send_on(end, message)
                return

    def _send_datagram(self, sender: Process, receiver: Process, message: Message) -> None:
        """Outside the links; it counts where the receiver is linked to that life of the sender."""
        self.messages += 1
        self.messages_away += sender.zone != receiver.zone
        copies = 0 if self.random.random() < LOST_PART else 2 if self.random.random() < TWICE_PART else 1
        for _ in range(0 if self.is_cut(sender, receiver) else copies):
            late = self.random.uniform(0, LATE_S) if self.random.random() < LATE_PART else 0.0
            delay = self.delay(sender, receiver) + late
            self.later(delay, lambda: receiver.do(lambda: receiver.receive_datagram(sender, message)))

    def send_on(self, end: End, message: Message) -> None:
        other = end.other
        self.messages += 1
        self.messages_away += end.process.zone != other.process.zone
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
                    end.heard_at = now
                elif now - end.heard_at >= SILENT_S:
                    silent.append(end)
            for end in silent:
                process.do(lambda end=end: process.close(end))
        self.later(CHECK_S, self._check_silence)

    # ---- faults

    def kill(self, process: Process) -> None:
        """The process ends at once; its machine ends its links."""
        if process.alive:
            process.alive = False
            for end in process.ends:
                other = end.other
                end.is_open = False
                self.carry(end, lambda other=other: other.process.close(other))

    def lose_power(self, process: Process) -> None:
        """Nothing is heard of it any more."""
        process.alive = False

    def end_in_order(self, process: Process) -> None:
        """It hands over what it owns, and its links end a moment later."""

        def hand_over() -> None:
            process.node.hand_over(process.now)
            self.later(0.02, lambda: self.kill(process))

        process.do(hand_over)

    def reset(self, process: Process) -> None:
        """All its links break; what is on its way is lost."""
        for end in list(process.ends):
            other = end.other
            process.do(lambda end=end: process.close(end))
            other.process.do(lambda other=other: other.process.close(other))

    def freeze(self, process: Process, for_s: float) -> None:
        process.freeze()
        self.later(for_s, process.wake)
