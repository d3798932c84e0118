"""Replicas of the store under a simulated network, disks and clocks; everything from one seed.

A disk keeps what the last Save that was synced says. Messages take a while, may be lost with a cut, and come in
order on each way, as on TCP. Checks that must hold after each step stand in `check`.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from furrow.messages import WriteAck, Message, Write, Read, ReadAck
from rootstock.replica import InForce, Kept, Replica, Save, Send, Stage

TICK_S = 0.05
HERE = "@here"  # the caller


class Violation(AssertionError):
    """Something that must hold does not."""


@dataclass
class Machine:
    """One core machine: its disk outlives its process."""

    ip: str
    disk: Kept | None = None
    replica: Replica | None = None
    life: int = 0
    in_force: int = 0  # the highest that this life has shown
    hangs_until: float = 0.0  # its disk
    held: list[tuple[float, str, Any]] = field(default_factory=list)


class Cluster:
    """Machines, ways between them, and a caller that puts and reads."""

    def __init__(self, seed: int, machines: int = 3, seeds: int = 3, apart: bool = False) -> None:
        self.apart = apart
        self.random = Random(seed)
        self.now = 0.0
        names = [f"10.0.0.{n}" for n in range(1, machines + 1)]
        self.seeds = names[:seeds]
        self.machines = {ip: Machine(ip) for ip in names}
        self.cut: dict[tuple[str, str], bool] = {}  # one way
        self._queue: list[tuple[float, int, str, Any]] = []
        self._number = 0
        self._way_free: dict[tuple[str, str], float] = {}
        self.acknowledged = 0
        self.bodies: dict[int, bytes] = {}
        self.seen_in_force: dict[int, bytes] = {}
        self.answers: list[WriteAck | ReadAck] = []
        self.reads: dict[int, int] = {}  # by number: what was acknowledged when it was asked
        self.actives: dict[int, str] = {}  # by epoch: who led
        for ip in names:
            self.start(ip, True)

    # ---- machines

    def start(self, ip: str, first: bool = False) -> None:
        machine = self.machines[ip]
        machine.life += 1
        machine.in_force = 0
        machine.replica = Replica(ip, self.seeds, machine.disk, first, self.now, self.apart)
        for other in self.machines:
            machine.replica.meet(other)
        self._later(self.now + self.random.uniform(0.0, 0.3), ip, ("tick", machine.life))
        self._do(machine, machine.replica.take())
        for other in self.machines.values():
            if other.replica is not None and other is not machine:
                self._later(self.now + 0.05, other.ip, ("linked", other.life, ip))

    def kill(self, ip: str) -> None:
        self.machines[ip].replica = None

    def leave(self, ip: str) -> None:
        """Its process ends in order."""
        machine = self.machines[ip]
        if machine.replica is not None:
            self._do(machine, machine.replica.leave(self.now))
            machine.replica = None

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        self.machines[ip].disk = None

    # ---- calls

    def put(self, ip: str, version: int) -> None:
        body = self.bodies.setdefault(version, b'{"v":%d}' % version)
        self._number += 1
        self._later(self.now + 0.002, ip, ("hear", self.machines[ip].life, HERE, Write(version, version, msgspec.Raw(body))))

    def read(self, ip: str) -> int:
        self._number += 1
        number = 1_000_000 + self._number
        self.reads[number] = self.acknowledged
        self._later(self.now + 0.002, ip, ("hear", self.machines[ip].life, HERE, Read(number)))
        return number

    @property
    def primary(self) -> str | None:
        found = [m.ip for m in self.machines.values() if m.replica is not None and m.replica.stage is Stage.ACTIVE]
        return max(found, key=lambda ip: self.machines[ip].replica.epoch, default=None)  # type: ignore[union-attr]

    # ---- time

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            at, _, ip, what = heapq.heappop(self._queue)
            self.now = max(self.now, at)
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
            self._do(machine, replica.tick(self.now))
        elif what[0] == "linked":
            self._do(machine, replica.linked(self.now, what[2]))
        else:
            self._do(machine, replica.hear(self.now, what[2], what[3]))

    def _do(self, machine: Machine, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Save):
                machine.disk = action.kept
            elif isinstance(action, Send):
                self._send(machine, action.to, action.message)
            elif isinstance(action, InForce):
                self._shown(machine, action)
        replica = machine.replica
        if replica is not None and replica.stage is Stage.ACTIVE and (
                self.actives.setdefault(replica.epoch, machine.ip) != machine.ip):
            raise Violation(f"epoch {replica.epoch} has two primaries")

    def _send(self, machine: Machine, to: str, message: Message) -> None:
        if to == HERE:
            self._answered(message)
            return
        if self.cut.get((machine.ip, to)) or to not in self.machines:
            return
        other = self.machines[to]
        at = max(self.now + self.random.uniform(0.001, 0.01), self._way_free.get((machine.ip, to), 0.0))
        self._way_free[machine.ip, to] = at
        self._later(at, to, ("hear", other.life, machine.ip, message))

    # ---- what must hold

    def _shown(self, machine: Machine, action: InForce) -> None:
        if action.version < machine.in_force:
            raise Violation(f"{machine.ip} goes back from {machine.in_force} to {action.version}")
        machine.in_force = action.version
        if action.version and self.seen_in_force.setdefault(action.version, action.body) != action.body:
            raise Violation(f"two bodies of version {action.version}")
        if action.body != self.bodies.get(action.version, b""):
            raise Violation(f"version {action.version} is not what was sent")

    def _answered(self, message: Any) -> None:
        self.answers.append(message)
        if isinstance(message, WriteAck) and message.ok:
            self.acknowledged = max(self.acknowledged, message.number)
        if isinstance(message, ReadAck) and message.version >= 0 and message.version < self.reads[message.number]:
            raise Violation(f"read {message.version}, {self.reads[message.number]} was acknowledged before")
