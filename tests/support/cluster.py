"""Replicas of the store on simulated network, disks and clocks; everything is derived from one seed.

A disk holds the state of the last Save that was synced. Messages take time, limited by bandwidth, are lost on
cut links, and stay in order on each connection, as on TCP. Clients (registries) are simulated processes as
well: they die, restart as new incarnations, and number their calls from 1 in each. Invariants are checked
after each step. A breach raises Violation, whose `kind` names the invariant; with `collect_violations` it is
counted in `violations` instead.

The invariants:

- one body per version, over all incarnations: acknowledged, read back or committed;
- a version that is acknowledged is committed, or a higher one is;
- a write that was rejected permanently (a conflict) is not committed and never will be;
- a read returns at least the newest version that was acknowledged before the read was sent;
- committed versions increase during an incarnation; an epoch has one primary;
- a machine without contact with a majority for CONTACT_S does not claim to lead, acknowledges nothing, answers
  no read and rejects nothing that the majority may accept; the same holds under an epoch that a later one has
  replaced.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from troutdock.rpc.messages import (
    NO_BODY,
    Message,
    Probe,
    ProbeAck,
    Read,
    ReadAck,
    Status,
    Write,
    WriteAck,
    body_digest,
)
from troutdock.config_store.replica import Replica, Stage
from troutdock.config_store.replica_state import FaultTolerance, Committed, DurableState, Save, Send

TICK_S = 0.05
CALL_LATENCY_S = 0.002  # one-way latency of a call and of its answer
SYNC_S = 4.0  # setting of small sites; 6 s on large ones
CONTACT_S = 2.0  # without a majority for longer than this, a machine must not claim to lead
GRACE_S = 6.0  # for an orderly exit
LOCAL_CALLER = "here"  # a client that reaches every machine and never dies
CONNECTION_TIMEOUT_S = 1.2  # silence of one direction: rpc.connection.SILENCE_TIMEOUT_S plus a heartbeat
# sent between the parts of large messages, as in troutdock.rpc.connection
INTERLEAVED = (Status, Probe, ProbeAck)
# between attempts to connect, as in troutdock.rpc.connection.Connector
RECONNECT_DELAY_S = 0.05, 0.5
OVERHEAD_BYTES = 300  # of a message beside its body


class Violation(AssertionError):
    """A breach of the invariant `kind`."""

    def __init__(self, kind: str, text: str = "") -> None:
        super().__init__(f"{kind}: {text}" if text else kind)
        self.kind = kind


def make_replica(
    me: str,
    seeds: Sequence[str],
    durable: DurableState | None,
    first: bool,
    now: float,
    spread: bool = False,
    incarnation: int = 1,
    losses: int = 1,
) -> Replica:
    """Creates a replica for all simulations, which tests patch to inject faults; losses: machines."""
    return Replica(
        me, seeds, durable, first, now, FaultTolerance(losses, int(spread), sync_s=SYNC_S), incarnation
    )


@dataclass
class Machine:
    """One machine of the store; its disk outlives its process."""

    ip: str
    seeds: list[str]
    disk: DurableState | None = None
    replica: Replica | None = None
    incarnation: int = 0
    committed_version: int = 0  # highest version committed in this incarnation
    hangs_until: float = 0.0  # of its disk, or of the whole process
    save_s: float = 0.0  # duration of each save
    crash_after: int = -1  # actions until the process is killed between two of them; below 0: never
    leave_deadline: float = 0.0  # end of its grace period; 0: it is not leaving
    contact_lost_at: float = -1.0  # contact with a majority; below 0: in contact
    claimed_at: float = -1.0  # last claim or positive answer while out of contact
    ended: dict[int, float] = field(default_factory=dict)  # when each incarnation ended
    connect_to: dict[str, None] = field(default_factory=dict)  # machines that it keeps a connection to
    connections: dict[str, int] = field(default_factory=dict)  # open ones: incarnation of the peer
    silent_since: dict[str, float] = field(default_factory=dict)  # since when a connection has been silent
    connect_at: dict[str, float] = field(default_factory=dict)  # next attempt after a failed one


@dataclass
class Call:
    """One call of a client. before: highest version acknowledged when it was sent."""

    number: int
    version: int
    body: bytes
    before: int
    answer: WriteAck | ReadAck | None = None

    @property
    def ok(self) -> bool:
        return isinstance(self.answer, WriteAck) and self.answer.ok


@dataclass
class Caller:
    """A registry. ip: its machine; empty if it reaches all machines."""

    name: str
    ip: str = ""
    incarnation: int = 1
    last: int = 0
    waiting: dict[int, Call] = field(default_factory=dict)


class Cluster:
    """Machines, the network between them, and clients that write and read."""

    collect_violations = False  # instead of raising the first one

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        seeds: int = 3,
        spread: bool = False,
        losses: int = 1,
        models_connections: bool = False,
    ) -> None:
        """lost_at_once: machines that may be lost at once, as faultTolerance.machines.

        dialled: machines learn of each other as in config_store/daemon.py, from their seeds, incoming
            connections and the newest record; otherwise each knows all.
        """
        self.spread, self.losses, self.models_connections = spread, losses, models_connections
        self.random = Random(seed)
        self.now = 0.0
        names = [f"10.0.0.{n}" for n in range(1, machines + 1)]
        self.seeds = names[:seeds]
        self.machines = {ip: Machine(ip, self.seeds) for ip in names}
        self.cut: dict[tuple[str, str], bool] = {}  # direction from, to
        self.latency = 0.001, 0.01  # of a link: minimum and maximum in seconds
        self.bandwidth = 0.0  # of a link in bytes per second; 0: unlimited
        self.body_bytes = 0  # simulated size of a configuration
        self.close_half_open = (
            False  # a link that is cut in one direction closes its connections, and so the other direction
        )
        # links whose other direction is cut: since when
        self._half_open_since: dict[tuple[str, str], float] = {}
        self.answer_loss_share = 0.0  # lost answers to clients
        self._queue: list[tuple[float, int, str, Any]] = []
        self._number = 0
        self._channel_free_at: dict[tuple[str, str, bool], float] = {}
        self.callers = {LOCAL_CALLER: Caller(LOCAL_CALLER)}
        self.acknowledged = 0  # highest acknowledged version
        self.version_bodies: dict[int, bytes] = {}  # by version: acknowledged, read back or committed
        self.newest = 0  # highest version in version_bodies
        self.acknowledged_bodies: dict[int, bytes] = {}  # by version: acknowledged while it was the newest
        self.rejected: set[tuple[int, bytes]] = set()  # permanently
        self.sent: set[tuple[int, bytes]] = set()
        self.answers: list[WriteAck | ReadAck] = []  # to LOCAL_CALLER
        self.primaries: dict[int, str] = {}  # by epoch
        self.active_since: dict[int, float] = {}
        self.stale_conflicts = 0  # writes acknowledged without effect whose version had another body
        self.violations: Counter[str] = Counter()
        self.first_messages: dict[str, str] = {}  # by kind
        for ip in names:
            self.start(ip, True)

    def report_violation(self, kind: str, text: str = "") -> None:
        if not self.collect_violations:
            raise Violation(kind, f"{text} ({self.now:.3f} s)")
        self.violations[kind] += 1
        self.first_messages.setdefault(kind, f"{text} ({self.now:.3f} s)")

    # ---- machines

    def start(self, ip: str, first: bool = False) -> None:
        machine = self.machines[ip]
        self.kill(ip)
        machine.incarnation += 1
        machine.committed_version = 0
        machine.replica = make_replica(
            ip, machine.seeds, machine.disk, first, self.now, self.spread, machine.incarnation, self.losses
        )
        machine.replica._backup_set.body_size = lambda body: self.body_bytes or len(body)  # type: ignore[method-assign]
        machine.connect_to = dict.fromkeys(s for s in machine.seeds if s != ip)
        machine.connections, machine.silent_since, machine.connect_at = {}, {}, {}
        for other in machine.connect_to if self.models_connections else self.machines:
            machine.replica.meet(other)
        self._schedule(self.now + self.random.uniform(0.0, 0.3), ip, ("tick", machine.incarnation))
        self._execute(machine, machine.replica.take())
        if self.models_connections:
            return
        for other in self.machines.values():
            if other.replica is not None and other is not machine:
                self._schedule(self.now + 0.05, other.ip, ("linked", other.incarnation, ip))

    def add(self) -> str:
        """Adds a new machine with an empty disk, and seeds that are up now; returns its address."""
        ip = f"10.0.0.{len(self.machines) + 1}"
        up = [other for other in self.machines if self.up(other)]
        self.machines[ip] = Machine(ip, self.random.sample(up, min(3, len(up))))
        self.start(ip)
        return ip

    def _update_connections(self, machine: Machine, replica: Replica) -> None:
        """Opens and closes the connections of a machine."""
        for ip in replica.members:
            if ip != machine.ip and ip in self.machines and ip not in machine.connect_to:
                machine.connect_to[ip] = None
                replica.meet(ip)
        for ip in list(machine.connect_to):
            other = self.machines[ip]
            if other.replica is None:
                machine.connections.pop(ip, None)
            elif self.cut.get((machine.ip, ip)) or self.cut.get((ip, machine.ip)):
                if self.now - machine.silent_since.setdefault(ip, self.now) > CONNECTION_TIMEOUT_S:
                    machine.connections.pop(ip, None)
            elif self.now >= machine.connect_at.get(ip, 0.0):
                machine.silent_since.pop(ip, None)
                if machine.connections.get(ip) != other.incarnation:
                    machine.connections[ip] = other.incarnation
                    self._schedule(self.now + 0.005, machine.ip, ("linked", machine.incarnation, ip))
                    if machine.ip not in other.connect_to:
                        other.connect_to[machine.ip] = None
                        other.replica.meet(machine.ip)
            if ip not in machine.connections and self.now >= machine.connect_at.get(ip, 0.0):
                machine.connect_at[ip] = self.now + self.random.uniform(*RECONNECT_DELAY_S)

    def kill(self, ip: str) -> None:
        machine = self.machines[ip]
        if machine.replica is not None:
            machine.ended[machine.incarnation] = self.now
        machine.replica = None
        machine.crash_after, machine.leave_deadline = -1, 0.0

    def leave(self, ip: str) -> None:
        """Starts an orderly exit, which ends once the replica has left or its grace period is over."""
        machine = self.machines[ip]
        if machine.replica is not None:
            machine.leave_deadline = self.now + GRACE_S
            self._execute(machine, machine.replica.leave(self.now))
            self._stop_if_left(machine)

    def _stop_if_left(self, machine: Machine) -> None:
        leaves = machine.replica is not None and machine.leave_deadline > 0.0
        if leaves and (machine.replica.left or self.now >= machine.leave_deadline):  # type: ignore[union-attr]
            self.kill(machine.ip)

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        self.machines[ip].disk = None

    def up(self, ip: str) -> bool:
        """Whether the process runs and is not leaving."""
        machine = self.machines[ip]
        return machine.replica is not None and not machine.leave_deadline

    def cut_off(self, group: Collection[str], how: str = "cut") -> None:
        """Cuts the links of these machines to all others: both directions, or only outgoing or incoming.

        A side is out of contact if it lacks a majority of the newest record's voters or of the previous
        voters; this may hold for both sides.
        """
        for one in self.machines:
            for other in self.machines:
                if one in group and other not in group:
                    self.cut[one, other] = how in ("cut", "out")
                    self.cut[other, one] = how in ("cut", "in")
        records = [
            m.disk.record for m in self.machines.values() if m.disk is not None and m.disk.record is not None
        ]
        newest = max(records, key=lambda record: record.epoch, default=None)
        lists = [newest.voters, newest.before] if newest is not None and newest.voters else [self.seeds]
        for ip, machine in self.machines.items():
            side = [other for other in self.machines if (other in group) == (ip in group)]
            majority = any(sum(v in side for v in voters) > len(voters) // 2 for voters in lists)
            if not majority and machine.contact_lost_at < 0:
                machine.contact_lost_at, machine.claimed_at = self.now, -1.0

    def heal(self) -> None:
        """Restores all links."""
        self.cut.clear()
        for machine in self.machines.values():
            machine.contact_lost_at = -1.0

    # ---- calls

    def caller(self, ip: str) -> str:
        """Adds a registry on a machine; returns its name."""
        self.callers[ip] = Caller(ip, ip)
        return ip

    def restart_caller(self, name: str) -> None:
        """Restarts a client as a new incarnation, which knows nothing of earlier calls."""
        caller = self.callers[name]
        caller.incarnation += 1
        caller.last, caller.waiting = 0, {}

    def name_of(self, caller: Caller) -> str:
        """Name of this incarnation at the replicas, as in troutdock/config_store/daemon.py."""
        return f"@{caller.name}#{caller.incarnation}"

    def incarnation_of(self, caller: Caller) -> int:
        return caller.incarnation

    def put(self, ip: str, version: int) -> Call:
        return self.write(ip, version, b'{"v":%d}' % version)

    def write(self, ip: str, version: int, body: bytes, caller: str = LOCAL_CALLER) -> Call:
        client = self.callers[caller]
        self.sent.add((version, body))
        call = self._register_call(client, Call(client.last + 1, version, body, self.acknowledged))
        message = Write(
            call.number, version, msgspec.Raw(body), self.incarnation_of(client), body_digest(body)
        )
        self._send_call(client, ip, message)
        return call

    def send_read(self, ip: str, caller: str = LOCAL_CALLER) -> Call:
        """Asks a machine for the newest configuration."""
        client = self.callers[caller]
        call = self._register_call(client, Call(client.last + 1, -1, b"", self.acknowledged))
        self._send_call(client, ip, Read(call.number, self.incarnation_of(client)))
        return call

    def read(self, ip: str) -> int:
        return self.send_read(ip).number

    def _register_call(self, client: Caller, call: Call) -> Call:
        client.last = call.number
        client.waiting[call.number] = call
        return call

    def _send_call(self, client: Caller, ip: str, message: Message) -> None:
        if not self.cut.get((client.ip, ip)):
            self._schedule(
                self.now + CALL_LATENCY_S,
                ip,
                ("hear", self.machines[ip].incarnation, self.name_of(client), message),
            )

    @property
    def primary(self) -> str | None:
        found = [
            m.ip for m in self.machines.values() if m.replica is not None and m.replica.stage is Stage.ACTIVE
        ]
        return max(found, key=lambda ip: self.machines[ip].replica.epoch, default=None)  # type: ignore[union-attr]

    # ---- time

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            at, _, ip, event = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if event[0] == "answer":
                self._on_answer(*event[1:])
            else:
                self._event(self.machines[ip], event)
        self.now = until

    def _schedule(self, at: float, ip: str, event: Any) -> None:
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, ip, event))

    def _event(self, machine: Machine, event: Any) -> None:
        replica = machine.replica
        if replica is None or event[1] != machine.incarnation:
            return
        if machine.hangs_until > self.now:  # the whole process is suspended
            self._schedule(machine.hangs_until + 0.001, machine.ip, event)
            return
        if event[0] == "tick":
            self._schedule(self.now + TICK_S, machine.ip, ("tick", machine.incarnation))
            if self.models_connections:
                self._update_connections(machine, replica)
            self._execute(machine, replica.tick(self.now))
        elif event[0] == "linked":
            self._execute(machine, replica.linked(self.now, event[2]))
        else:
            if len(event) > 4 and self.machines[event[2]].ended.get(event[4], self.now) < event[5]:
                return  # its sender was killed before sending it
            self._execute(machine, replica.hear(self.now, event[2], event[3]))
        self._stop_if_left(machine)

    def _execute(self, machine: Machine, actions: list[Any]) -> None:
        for action in actions:
            if machine.crash_after == 0 and isinstance(action, Save | Send):
                self.kill(machine.ip)
                return
            if isinstance(action, Save):
                machine.disk = action.durable
                if machine.save_s:
                    machine.hangs_until = max(machine.hangs_until, self.now) + machine.save_s
            elif isinstance(action, Send):
                self._send(machine, action.to, action.message)
            elif isinstance(action, Committed):
                self._on_committed(machine, action)
            if machine.crash_after > 0 and isinstance(action, Save | Send):
                machine.crash_after -= 1
        replica = machine.replica
        if (
            replica is not None
            and (replica.stage is Stage.ACTIVE or machine.contact_lost_at >= 0)
            and replica.status.active
        ):
            self._check_active(machine, replica)

    def _send(self, machine: Machine, to: str, message: Any) -> None:
        sent_at = max(self.now, machine.hangs_until) if machine.save_s else self.now
        if to.startswith("@"):
            self._check_answer(machine, message)
            caller = self.callers.get(to[1:].partition("#")[0])
            if (
                caller is None
                or self.cut.get((machine.ip, caller.ip))
                or self.random.random() < self.answer_loss_share
            ):
                return
            self._schedule(sent_at + CALL_LATENCY_S, "", ("answer", to, message, self.newest))
            return
        if to not in self.machines or not self._is_open(machine.ip, to):
            return
        if self.models_connections and machine.connections.get(to) != self.machines[to].incarnation:
            return
        other = self.machines[to]
        channel = machine.ip, to, isinstance(message, INTERLEAVED)
        at = max(sent_at + self.random.uniform(*self.latency), self._channel_free_at.get(channel, 0.0))
        if self.bandwidth:
            at += (
                OVERHEAD_BYTES + (self.body_bytes if getattr(message, "body", NO_BODY) != NO_BODY else 0)
            ) / self.bandwidth
        self._channel_free_at[channel] = at
        self._schedule(at, to, ("hear", other.incarnation, machine.ip, message, machine.incarnation, sent_at))

    def _is_open(self, ip: str, to: str) -> bool:
        if self.cut.get((ip, to)):
            return False
        if not self.cut.get((to, ip)):
            self._half_open_since.pop((ip, to), None)
            return True
        return (
            not self.close_half_open
            or self.now - self._half_open_since.setdefault((ip, to), self.now) < CONNECTION_TIMEOUT_S
        )

    # ---- invariants

    def _contact_expired(self, machine: Machine) -> bool:
        """Whether it has been out of contact for longer than CONTACT_S."""
        return machine.contact_lost_at >= 0 and self.now - machine.contact_lost_at > CONTACT_S

    def _check_active(self, machine: Machine, replica: Replica) -> None:
        epoch = replica.epoch
        if self.primaries.setdefault(epoch, machine.ip) != machine.ip:
            self.report_violation("two primaries", f"of epoch {epoch}")
        self.active_since.setdefault(epoch, self.now)
        if machine.contact_lost_at >= 0:
            machine.claimed_at = self.now
            if self._contact_expired(machine):
                self.report_violation(
                    "active without a majority",
                    f"{machine.ip}, {self.now - machine.contact_lost_at:.2f} s after the cut",
                )
        last = max(self.active_since)
        if (
            last > epoch
            and min(
                self.now - self.active_since[last] - CONTACT_S, self.now - machine.hangs_until - 2 * TICK_S
            )
            > 0
        ):
            self.report_violation("active under an old epoch", f"{machine.ip}, {epoch}, {last} is newer")

    def _check_answer(self, machine: Machine, message: Any) -> None:
        """Checks that a machine out of contact gives no positive answer."""
        claims = message.ok if isinstance(message, WriteAck) else message.version >= 0
        if claims and machine.contact_lost_at >= 0:
            machine.claimed_at = self.now
        if claims and self._contact_expired(machine):
            kind = (
                "acknowledged without a majority"
                if isinstance(message, WriteAck)
                else "read answered without a majority"
            )
            self.report_violation(
                kind, f"{machine.ip}, {self.now - machine.contact_lost_at:.2f} s after the cut"
            )

    def _check_body(self, version: int, body: bytes, where: str) -> None:
        """Checks a body that was acknowledged, read back or committed under a version."""
        known = self.version_bodies.setdefault(version, body)
        self.newest = max(self.newest, version)
        if known != body:
            self.report_violation(f"two bodies {where}", f"of {version}: {known!r} and {body!r}")
        if (version, body) not in self.sent:
            self.report_violation("a body that no client sent", f"{version}, {body!r}")
        if (version, body) in self.rejected:
            self.report_violation("rejected, but committed", f"{version}, {body!r}")

    def _on_committed(self, machine: Machine, action: Committed) -> None:
        if action.version < machine.committed_version:
            self.report_violation(
                "a version decreases", f"{machine.ip} from {machine.committed_version} to {action.version}"
            )
        machine.committed_version = action.version
        if action.version:
            self._check_body(action.version, action.body, "committed")

    def _on_answer(self, to: str, message: Any, newest: int) -> None:
        """newest: highest committed version when the answer was sent."""
        caller = self.callers[to[1:].partition("#")[0]]
        if self.name_of(caller) != to or (message.life and message.life != caller.incarnation):
            return  # that incarnation has ended
        call = caller.waiting.pop(message.number, None)
        if call is None:
            return
        call.answer = message
        if caller.name == LOCAL_CALLER:
            self.answers.append(message)
        if isinstance(message, ReadAck) and message.version >= 0:
            if message.version < call.before:
                self.report_violation(
                    "a stale version read", f"{message.version}, {call.before} was acknowledged before"
                )
            if message.version:
                self._check_body(message.version, bytes(message.body), "read")
        elif isinstance(message, WriteAck) and message.ok:
            self._check_acknowledged(call, newest)
        elif isinstance(message, WriteAck) and message.conflict:
            self.rejected.add((call.version, call.body))
            if self.version_bodies.get(call.version) == call.body:
                self.report_violation("committed, but rejected", f"{call.version}, {call.body!r}")

    def _check_acknowledged(self, call: Call, newest: int) -> None:
        version, body = call.version, call.body
        if newest > version:  # without effect
            self.stale_conflicts += self.version_bodies.get(version, body) != body
            return
        if version not in self.version_bodies:
            self.report_violation("acknowledged, but not committed", f"{version}, {newest} is")
        self.acknowledged = max(self.acknowledged, version)
        self._check_body(version, body, "acknowledged")
        self.acknowledged_bodies.setdefault(version, body)
