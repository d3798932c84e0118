"""Replicas of the store under a simulated network, disks and clocks; everything from one seed.

A disk keeps what the last Save that was synced says. Messages take a while, as long as their bytes need on the
way, may be lost with a cut, and come in order on each way, as on TCP. Callers (registries) are processes too: they
die, return as new lives, and number their calls from 1 in each. Checks that must hold after each step raise
Violation, whose `kind` names the invariant; with `collects` they are gathered in `broken` instead.

The invariants:

- one body for a number, over all lives: confirmed, read back or in force;
- what is confirmed is in force, or a higher number is;
- what was refused for good (a conflict) is not in force and never comes into force;
- a read tells no less than what was confirmed before it was asked;
- versions rise in the life of a machine; an epoch has one primary;
- out of contact with a majority for CONTACT_S, a machine claims nothing, confirms nothing, tells nothing as the
  newest and refuses nothing that the majority may take; the same under an epoch that was followed by another.
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
CALL_S = 0.002  # of a call, and of its answer, on the way
SYNC_S = 4.0  # the small sites'; 6 s on the grown
CONTACT_S = 2.0  # the bound: longer than this without a majority, nothing is claimed
GRACE_S = 6.0  # for a machine that leaves in order
HERE = "here"  # a caller that reaches every machine and never dies
LINK_SILENT_S = 1.2  # of one direction, until the connection ends: SILENCE_TIMEOUT_S, and its beat
PASSING = (Status, Probe, ProbeAck)  # go between the parts of large messages, as on troutdock.rpc.connection
PAUSES_S = 0.05, 0.5  # between two tries to connect, as troutdock.rpc.connection.Connector makes them
OVERHEAD = 300  # bytes of a message beside its body


class Violation(AssertionError):
    """Something that must hold does not. kind: which of the invariants."""

    def __init__(self, kind: str, text: str = "") -> None:
        super().__init__(f"{kind}: {text}" if text else kind)
        self.kind = kind


def make_replica(
    me: str,
    seeds: Sequence[str],
    kept: DurableState | None,
    first: bool,
    now: float,
    apart: bool = False,
    life: int = 1,
    lost_at_once: int = 1,
) -> Replica:
    """The one place where the simulations construct a replica. lost_at_once: machines."""
    return Replica(me, seeds, kept, first, now, FaultTolerance(lost_at_once, int(apart), sync_s=SYNC_S), life)


@dataclass
class Machine:
    """One core machine: its disk outlives its process."""

    ip: str
    seeds: list[str]
    disk: DurableState | None = None
    replica: Replica | None = None
    life: int = 0
    in_force: int = 0  # the highest that this life has shown
    hangs_until: float = 0.0  # its disk, or the whole process
    save_s: float = 0.0  # that each save takes
    crash_after: int = -1  # actions, until the process ends in their midst; below 0: it doesn't
    leaves_until: float = 0.0  # the end of its grace, once it leaves in order; 0: it doesn't leave
    out_since: float = -1.0  # without contact to a majority; below 0: in contact
    claimed_at: float = (
        -1.0
    )  # when it said last, out of contact, that it leads, or confirmed or told something
    ended: dict[int, float] = field(default_factory=dict)  # when each life ended
    dials: dict[str, None] = field(default_factory=dict)  # whom it keeps a connection to
    links: dict[str, int] = field(default_factory=dict)  # those that are up: to which life
    cut_seen: dict[str, float] = field(
        default_factory=dict
    )  # since when one of its connections hears nothing
    dials_at: dict[str, float] = field(default_factory=dict)  # the next try, after one that failed


@dataclass
class Call:
    """One call of one life of a caller. before: the highest number confirmed when it was asked."""

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
    """A registry. ip: its machine; empty: it reaches all."""

    name: str
    ip: str = ""
    life: int = 1
    last: int = 0
    waiting: dict[int, Call] = field(default_factory=dict)


class Cluster:
    """Machines, ways between them, and callers that write and read."""

    collects = False  # what is broken, rather than to raise at the first

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        seeds: int = 3,
        apart: bool = False,
        lost_at_once: int = 1,
        dialled: bool = False,
    ) -> None:
        """lost_at_once: so many machines may be, as faultTolerance.machines says.

        dialled: machines know each other as config_store/daemon.py does, by their seeds, by who has called them and by
        whom the newest record names; else each knows all.
        """
        self.apart, self.lost_at_once, self.dialled = apart, lost_at_once, dialled
        self.random = Random(seed)
        self.now = 0.0
        names = [f"10.0.0.{n}" for n in range(1, machines + 1)]
        self.seeds = names[:seeds]
        self.machines = {ip: Machine(ip, self.seeds) for ip in names}
        self.cut: dict[tuple[str, str], bool] = {}  # one way
        self.latency = 0.001, 0.01  # seconds on a way, least and most
        self.bandwidth = 0.0  # bytes a second of each way; 0: not bounded
        self.body_bytes = 0  # that a configuration is taken to have
        self.links_end = (
            False  # a way that is cut in one direction ends its connections, so the other one too
        )
        self._one_way: dict[tuple[str, str], float] = {}  # ways whose other direction is cut: since when
        self.answers_lost = 0.0  # the share of answers to callers that are lost
        self._queue: list[tuple[float, int, str, Any]] = []
        self._number = 0
        self._way_free: dict[tuple[str, str, bool], float] = {}
        self.callers = {HERE: Caller(HERE)}
        self.acknowledged = 0  # the highest number that was confirmed
        self.kept: dict[int, bytes] = {}  # by number: the body that was confirmed, read back or in force
        self.newest = 0  # the highest of them
        self.confirmed: dict[int, bytes] = {}  # by number, of those confirmed while they were the newest
        self.refused: set[tuple[int, bytes]] = set()  # for good
        self.sent: set[tuple[int, bytes]] = set()
        self.answers: list[WriteAck | ReadAck] = []  # to the caller that is here
        self.actives: dict[int, str] = {}  # by epoch: who led
        self.active_since: dict[int, float] = {}
        self.below = 0  # orders confirmed without effect whose number was taken by another body
        self.broken: Counter[str] = Counter()
        self.texts: dict[str, str] = {}  # by kind, of the first
        for ip in names:
            self.start(ip, True)

    def violated(self, kind: str, text: str = "") -> None:
        if not self.collects:
            raise Violation(kind, f"{text} ({self.now:.3f} s)")
        self.broken[kind] += 1
        self.texts.setdefault(kind, f"{text} ({self.now:.3f} s)")

    # ---- machines

    def start(self, ip: str, first: bool = False) -> None:
        machine = self.machines[ip]
        self.kill(ip)
        machine.life += 1
        machine.in_force = 0
        machine.replica = make_replica(
            ip, machine.seeds, machine.disk, first, self.now, self.apart, machine.life, self.lost_at_once
        )
        machine.replica._backup_set.body_size = lambda body: self.body_bytes or len(body)  # type: ignore[method-assign]
        machine.dials = dict.fromkeys(s for s in machine.seeds if s != ip)
        machine.links, machine.cut_seen, machine.dials_at = {}, {}, {}
        for other in machine.dials if self.dialled else self.machines:
            machine.replica.meet(other)
        self._later(self.now + self.random.uniform(0.0, 0.3), ip, ("tick", machine.life))
        self._do(machine, machine.replica.take())
        if self.dialled:
            return
        for other in self.machines.values():
            if other.replica is not None and other is not machine:
                self._later(self.now + 0.05, other.ip, ("linked", other.life, ip))

    def add(self) -> str:
        """A machine that was never there, with an empty disk and seeds that are there now; gives its address."""
        ip = f"10.0.0.{len(self.machines) + 1}"
        up = [other for other in self.machines if self.up(other)]
        self.machines[ip] = Machine(ip, self.random.sample(up, min(3, len(up))))
        self.start(ip)
        return ip

    def _dial(self, machine: Machine, replica: Replica) -> None:
        """Connections come up and end: to those that are there, and theirs back."""
        for ip in replica.members:
            if ip != machine.ip and ip in self.machines and ip not in machine.dials:
                machine.dials[ip] = None
                replica.meet(ip)
        for ip in list(machine.dials):
            other = self.machines[ip]
            if other.replica is None:
                machine.links.pop(ip, None)
            elif self.cut.get((machine.ip, ip)) or self.cut.get((ip, machine.ip)):
                if self.now - machine.cut_seen.setdefault(ip, self.now) > LINK_SILENT_S:
                    machine.links.pop(ip, None)
            elif self.now >= machine.dials_at.get(ip, 0.0):
                machine.cut_seen.pop(ip, None)
                if machine.links.get(ip) != other.life:
                    machine.links[ip] = other.life
                    self._later(self.now + 0.005, machine.ip, ("linked", machine.life, ip))
                    if machine.ip not in other.dials:
                        other.dials[machine.ip] = None
                        other.replica.meet(machine.ip)
            if ip not in machine.links and self.now >= machine.dials_at.get(ip, 0.0):
                machine.dials_at[ip] = self.now + self.random.uniform(*PAUSES_S)

    def kill(self, ip: str) -> None:
        machine = self.machines[ip]
        if machine.replica is not None:
            machine.ended[machine.life] = self.now
        machine.replica = None
        machine.crash_after, machine.leaves_until = -1, 0.0

    def leave(self, ip: str) -> None:
        """Its process is told to end in order; it goes on until it may end, or its grace is over."""
        machine = self.machines[ip]
        if machine.replica is not None:
            machine.leaves_until = self.now + GRACE_S
            self._do(machine, machine.replica.leave(self.now))
            self._end_if_left(machine)

    def _end_if_left(self, machine: Machine) -> None:
        leaves = machine.replica is not None and machine.leaves_until > 0.0
        if leaves and (machine.replica.left or self.now >= machine.leaves_until):  # type: ignore[union-attr]
            self.kill(machine.ip)

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        self.machines[ip].disk = None

    def up(self, ip: str) -> bool:
        """Its process runs and is not about to end."""
        machine = self.machines[ip]
        return machine.replica is not None and not machine.leaves_until

    def cut_off(self, group: Collection[str], how: str = "cut") -> None:
        """Cut these from all others: both ways, only what they say (out), or only what they hear (in).

        Out of contact is the side that lacks a majority of the voters whom the newest record names, and of those
        before; both may be.
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
            if not majority and machine.out_since < 0:
                machine.out_since, machine.claimed_at = self.now, -1.0

    def join(self) -> None:
        """All cuts end."""
        self.cut.clear()
        for machine in self.machines.values():
            machine.out_since = -1.0

    # ---- calls

    def caller(self, ip: str) -> str:
        """A registry on that machine; gives its name."""
        self.callers[ip] = Caller(ip, ip)
        return ip

    def renew(self, name: str) -> None:
        """A caller dies and is there again as a new life, which knows nothing of its calls."""
        caller = self.callers[name]
        caller.life += 1
        caller.last, caller.waiting = 0, {}

    def name_of(self, caller: Caller) -> str:
        """By which the replicas know this life, as in troutdock/config_store/daemon.py."""
        return f"@{caller.name}#{caller.life}"

    def life_of(self, caller: Caller) -> int:
        return caller.life

    def put(self, ip: str, version: int) -> Call:
        return self.order(ip, version, b'{"v":%d}' % version)

    def order(self, ip: str, version: int, body: bytes, caller: str = HERE) -> Call:
        by = self.callers[caller]
        self.sent.add((version, body))
        call = self._called(by, Call(by.last + 1, version, body, self.acknowledged))
        message = Write(call.number, version, msgspec.Raw(body), self.life_of(by), body_digest(body))
        self._call(by, ip, message)
        return call

    def ask(self, ip: str, caller: str = HERE) -> Call:
        """Which configuration is the newest?"""
        by = self.callers[caller]
        call = self._called(by, Call(by.last + 1, -1, b"", self.acknowledged))
        self._call(by, ip, Read(call.number, self.life_of(by)))
        return call

    def read(self, ip: str) -> int:
        return self.ask(ip).number

    def _called(self, by: Caller, call: Call) -> Call:
        by.last = call.number
        by.waiting[call.number] = call
        return call

    def _call(self, by: Caller, ip: str, message: Message) -> None:
        if not self.cut.get((by.ip, ip)):
            self._later(self.now + CALL_S, ip, ("hear", self.machines[ip].life, self.name_of(by), message))

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
            at, _, ip, what = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if what[0] == "answer":
                self._answered(*what[1:])
            else:
                self._event(self.machines[ip], what)
        self.now = until

    def _later(self, at: float, ip: str, what: Any) -> None:
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, ip, what))

    def _event(self, machine: Machine, what: Any) -> None:
        replica = machine.replica
        if replica is None or what[1] != machine.life:
            return
        if machine.hangs_until > self.now:  # the whole process waits for its disk
            self._later(machine.hangs_until + 0.001, machine.ip, what)
            return
        if what[0] == "tick":
            self._later(self.now + TICK_S, machine.ip, ("tick", machine.life))
            if self.dialled:
                self._dial(machine, replica)
            self._do(machine, replica.tick(self.now))
        elif what[0] == "linked":
            self._do(machine, replica.linked(self.now, what[2]))
        else:
            if len(what) > 4 and self.machines[what[2]].ended.get(what[4], self.now) < what[5]:
                return  # its sender ended before it was on the way
            self._do(machine, replica.hear(self.now, what[2], what[3]))
        self._end_if_left(machine)

    def _do(self, machine: Machine, actions: list[Any]) -> None:
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
                self._shown(machine, action)
            if machine.crash_after > 0 and isinstance(action, Save | Send):
                machine.crash_after -= 1
        replica = machine.replica
        if (
            replica is not None
            and (replica.stage is Stage.ACTIVE or machine.out_since >= 0)
            and replica.status.active
        ):
            self._leads(machine, replica)

    def _send(self, machine: Machine, to: str, message: Any) -> None:
        leaves_at = max(self.now, machine.hangs_until) if machine.save_s else self.now
        if to.startswith("@"):
            self._answering(machine, message)
            caller = self.callers.get(to[1:].partition("#")[0])
            if (
                caller is None
                or self.cut.get((machine.ip, caller.ip))
                or self.random.random() < self.answers_lost
            ):
                return
            self._later(leaves_at + CALL_S, "", ("answer", to, message, self.newest))
            return
        if to not in self.machines or not self._open(machine.ip, to):
            return
        if self.dialled and machine.links.get(to) != self.machines[to].life:
            return
        other = self.machines[to]
        lane = machine.ip, to, isinstance(message, PASSING)
        at = max(leaves_at + self.random.uniform(*self.latency), self._way_free.get(lane, 0.0))
        if self.bandwidth:
            at += (
                OVERHEAD + (self.body_bytes if getattr(message, "body", NO_BODY) != NO_BODY else 0)
            ) / self.bandwidth
        self._way_free[lane] = at
        self._later(at, to, ("hear", other.life, machine.ip, message, machine.life, leaves_at))

    def _open(self, ip: str, to: str) -> bool:
        if self.cut.get((ip, to)):
            return False
        if not self.cut.get((to, ip)):
            self._one_way.pop((ip, to), None)
            return True
        return not self.links_end or self.now - self._one_way.setdefault((ip, to), self.now) < LINK_SILENT_S

    # ---- what must hold

    def _out(self, machine: Machine) -> bool:
        """For so long without contact that it may not speak for the system."""
        return machine.out_since >= 0 and self.now - machine.out_since > CONTACT_S

    def _leads(self, machine: Machine, replica: Replica) -> None:
        epoch = replica.epoch
        if self.actives.setdefault(epoch, machine.ip) != machine.ip:
            self.violated("two primaries", f"of epoch {epoch}")
        self.active_since.setdefault(epoch, self.now)
        if machine.out_since >= 0:
            machine.claimed_at = self.now
            if self._out(machine):
                self.violated(
                    "active out of contact",
                    f"{machine.ip}, {self.now - machine.out_since:.2f} s after the cut",
                )
        last = max(self.active_since)
        if (
            last > epoch
            and min(
                self.now - self.active_since[last] - CONTACT_S, self.now - machine.hangs_until - 2 * TICK_S
            )
            > 0
        ):
            self.violated("active under an old epoch", f"{machine.ip}, {epoch}, {last} leads")

    def _answering(self, machine: Machine, message: Any) -> None:
        """What a machine says to callers."""
        said = message.ok if isinstance(message, WriteAck) else message.version >= 0
        if said and machine.out_since >= 0:
            machine.claimed_at = self.now
        if said and self._out(machine):
            kind = "confirmed out of contact" if isinstance(message, WriteAck) else "told out of contact"
            self.violated(kind, f"{machine.ip}, {self.now - machine.out_since:.2f} s after the cut")

    def _keep(self, version: int, body: bytes, where: str) -> None:
        """This body is what the number stands for: it was confirmed, read back or in force."""
        known = self.kept.setdefault(version, body)
        self.newest = max(self.newest, version)
        if known != body:
            self.violated(f"two bodies {where}", f"of {version}: {known!r} and {body!r}")
        if (version, body) not in self.sent:
            self.violated("a body that nobody sent", f"{version}, {body!r}")
        if (version, body) in self.refused:
            self.violated("refused, and in force", f"{version}, {body!r}")

    def _shown(self, machine: Machine, action: Committed) -> None:
        if action.version < machine.in_force:
            self.violated("a version goes back", f"{machine.ip} from {machine.in_force} to {action.version}")
        machine.in_force = action.version
        if action.version:
            self._keep(action.version, action.body, "in force")

    def _answered(self, to: str, message: Any, newest: int) -> None:
        """newest: the highest number in force when it was said."""
        caller = self.callers[to[1:].partition("#")[0]]
        if self.name_of(caller) != to or (message.life and message.life != caller.life):
            return  # its life is over
        call = caller.waiting.pop(message.number, None)
        if call is None:
            return
        call.answer = message
        if caller.name == HERE:
            self.answers.append(message)
        if isinstance(message, ReadAck) and message.version >= 0:
            if message.version < call.before:
                self.violated("an old version read", f"{message.version}, {call.before} was confirmed before")
            if message.version:
                self._keep(message.version, bytes(message.body), "read")
        elif isinstance(message, WriteAck) and message.ok:
            self._confirmed(call, newest)
        elif isinstance(message, WriteAck) and message.conflict:
            self.refused.add((call.version, call.body))
            if self.kept.get(call.version) == call.body:
                self.violated("in force, and refused", f"{call.version}, {call.body!r}")

    def _confirmed(self, call: Call, newest: int) -> None:
        version, body = call.version, call.body
        if newest > version:  # without effect
            self.below += self.kept.get(version, body) != body
            return
        if version not in self.kept:
            self.violated("confirmed, and not in force", f"{version}, {newest} is")
        self.acknowledged = max(self.acknowledged, version)
        self._keep(version, body, "confirmed")
        self.confirmed.setdefault(version, body)
