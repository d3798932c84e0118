"""Simulated registries that stand still for seconds or minutes, one by one or several at once, from one seed.

A machine that stands still runs no timer and reads nothing. The others end their connections to it after
SILENCE_TIMEOUT_S. When it goes on, its timers run first; a moment later it notices that its connections have
ended. What was sent to it meanwhile is lost, as the process discards input that is older than a connection may
be silent. Backends send heartbeats all the time, to any registry that answers; some deregister.
"""

from __future__ import annotations

from typing import Any

from simulated_registries import SILENCE_TIMEOUT_S, Machine, SimulatedCore, Violation

from troutdock.rpc.messages import GONE, READY, Message, Silence
from troutdock.registry.registry import Registry, RequestCompleted

HEARTBEAT_S = 1.5
MAX_HEARTBEAT_DELAY_S = 0.3
NOTICE_S = 0.05  # after a standstill, until the machine notices that its connections have ended
SETTLE_S = 8.0  # after the last standstill: connections, one heartbeat of each backend, and a batch
DURATIONS_S = (2.0, 10.0, 30.0, 59.0, 61.0, 120.0, 300.0)
# a registry may not call a backend silent whose heartbeat another one answered within this time
RECENT_HEARTBEAT_S = 2.0 * HEARTBEAT_S
PASSED_ON_S = 0.75  # until the other registries know of a heartbeat: a batch and the network


class StandstillCore(SimulatedCore):
    """Machines that stand still, and backends that never do."""

    def __init__(self, seed: int, machines: int, backends: int, make: type[Registry] = Registry) -> None:
        self.frozen_until: dict[str, float] = {}
        # by instance: when its heartbeats were answered, and by which machine
        self.heartbeats: dict[str, list[tuple[float, str]]] = {}
        self.counts: dict[str, int] = {}
        self.deregistered: set[str] = set()
        super().__init__(seed, machines, machines, make=make)
        for number in range(backends):
            id = f"i-{number}"
            self.schedule(self.random.uniform(0, HEARTBEAT_S), lambda id=id: self.heartbeat(id))

    # ---- standstills

    def is_frozen(self, ip: str) -> bool:
        return self.now < self.frozen_until.get(ip, 0.0)

    def freeze(self, ip: str, seconds: float) -> None:
        if self.is_frozen(ip):
            return
        self.frozen_until[ip] = self.now + seconds
        self.topology_changed = True
        for id, beats in self.heartbeats.items():  # what it has not passed on yet is lost
            self.heartbeats[id] = [b for b in beats if b[1] != ip or self.now - b[0] > PASSED_ON_S]
        ended = dict(self.machines[ip].connections)
        for other, connection in ended.items():
            self.schedule(self.now + SILENCE_TIMEOUT_S, lambda o=other, c=connection: self.end_side(o, ip, c))
            notice_at = self.frozen_until[ip] + NOTICE_S
            self.schedule(notice_at, lambda o=other, c=connection: self.end_side(ip, o, c))

    def end_side(self, ip: str, other: str, connection: int) -> None:
        """One side notices that a connection has ended."""
        machine = self.machines[ip]
        if self.is_frozen(ip):
            self.schedule(self.frozen_until[ip] + NOTICE_S, lambda: self.end_side(ip, other, connection))
        elif machine.connections.get(other) == connection:
            del machine.connections[other]
            self.topology_changed = True
            assert machine.registry is not None
            self.perform(machine, machine.registry.registry_down(self.now, connection))

    def tick(self, machine: Machine, incarnation: int) -> None:
        if self.is_frozen(machine.ip):
            thaw_at = self.frozen_until[machine.ip]
            self.schedule(thaw_at, lambda: self.tick(machine, incarnation))
            return
        self.topology_changed = True
        super().tick(machine, incarnation)

    def reachable(self, a: str, b: str) -> bool:
        return super().reachable(a, b) and not self.is_frozen(a) and not self.is_frozen(b)

    def connect(self, a: Machine, b: Machine) -> None:
        if a.ip not in b.connections:  # else the other side has not noticed the end of the previous one
            super().connect(a, b)

    def perform(self, machine: Machine, actions: list[Any]) -> None:
        if not self.is_frozen(machine.ip):
            super().perform(machine, actions)

    def send(self, machine: Machine, connection: Any, message: Message) -> None:
        to = next((ip for ip, number in machine.connections.items() if number == connection), None)
        if to is not None and not self.is_frozen(to):
            super().send(machine, connection, message)

    # ---- backends

    def heartbeat(self, id: str) -> None:
        if id in self.deregistered:
            return
        delay_s = self.random.uniform(0, MAX_HEARTBEAT_DELAY_S)
        self.schedule(self.now + HEARTBEAT_S + delay_s, lambda: self.heartbeat(id))
        running = [ip for ip in self.machines if not self.is_frozen(ip)]
        if running:
            self.counts[id] = self.counts.get(id, 0) + 1
            ip = self.random.choice(running)
            recent = [beat for beat in self.heartbeats.get(id, ()) if self.now - beat[0] < RECENT_HEARTBEAT_S]
            self.heartbeats[id] = [*recent, (self.now, ip)]
            self.call_registry(ip, id, READY, self.counts[id])

    def deregister(self, id: str) -> None:
        """Deregisters at a registry that runs, if there is one; a late heartbeat follows."""
        running = [ip for ip in self.machines if not self.is_frozen(ip)]
        if not running or id in self.deregistered:
            return
        self.deregistered.add(id)
        self.call_registry(self.random.choice(running), id, GONE)
        late_at = self.now + self.random.uniform(0, 5)
        self.schedule(late_at, lambda: self.send_late_heartbeat(id, self.counts.get(id, 0)))

    def send_late_heartbeat(self, id: str, count: int) -> None:
        running = [ip for ip in self.machines if not self.is_frozen(ip)]
        if running:
            self.call_registry(self.random.choice(running), id, READY, count)

    def on_completed(self, machine: Machine, completed: RequestCompleted) -> None:
        # a machine that stands still answers late; durability is the subject of the other schedules
        del self.calls[machine.ip, machine.incarnation, completed.number]

    # ---- invariants

    def deliver_to_ingress(self, machine: Machine, message: Message) -> None:
        if isinstance(message, Silence):
            for id in message.silent:
                known = any(PASSED_ON_S < self.now - at < RECENT_HEARTBEAT_S for at, _ in self.heartbeats[id])
                if known and id not in self.deregistered:
                    raise Violation(f"{machine.ip} reports {id} as silent, whose heartbeats are answered")
        super().deliver_to_ingress(machine, message)

    def check_settled(self) -> None:
        for machine in self.machines.values():
            assert machine.registry is not None
            entries = machine.registry.endpoints.entries
            for id in self.counts:
                entry = entries.get(id)
                state = entry.state if entry is not None else None
                if id in self.deregistered:
                    if state == READY:
                        raise Violation(f"{machine.ip} has revived {id}")
                elif entry is None or state != READY or entry.expired or entry.silent:
                    raise Violation(f"{machine.ip} excludes {id}, which sends heartbeats: {entry}")
                elif machine.follower.entries[id].state != READY:
                    raise Violation(f"the ingress of {machine.ip} excludes {id}")


def run_standstills(core: StandstillCore, standstills: int = 5) -> None:
    """Plays a series of standstills that may overlap, then checks that all live backends are in use."""
    random = core.random
    core.run(5.0)
    for _ in range(standstills):
        count = random.choice((1, 1, 1, 2, len(core.machines)))
        for ip in random.sample(list(core.machines), count):
            core.freeze(ip, random.choice(DURATIONS_S))
        core.run(random.uniform(0.5, 90.0))
        if random.random() < 0.5:
            core.deregister(random.choice(list(core.counts)))
    last_end = max(core.frozen_until.values())
    core.run(max(0.0, last_end - core.now) + SETTLE_S)
    core.check_settled()
