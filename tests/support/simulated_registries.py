"""A deterministic simulation of registries with faults of network, disks, processes and power, from one seed.

Only the messages of the store are simulated. It has a primary some time after a majority of the machines can
reach each other. Registries that reach the primary are in contact and receive its newest configuration. A
registry in a minority may receive a body that was never in force, with the next version. A disk keeps what was
synced; the batch that is being written at a power loss is stored completely or not at all. Each registry has
one ingress that follows it.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from troutdock.rpc.messages import (
    DRAINING,
    GONE,
    READY,
    Config,
    Fresh,
    Instance,
    Instances,
    Member,
    Message,
    body_digest,
)
from troutdock.registry.registry import FaultTolerance, RequestCompleted, Registry, Send
from troutdock.endpoints.endpoint_table import EndpointTable, tombstone

TICK_S = 0.2
SILENCE_TIMEOUT_S = 1.0  # until a silent connection ends, or a primary without a majority reports so
ELECTION_S = 1.0  # until there is another primary
SYNC_DURATION_S = 0.005
RESYNC_S = 4.0  # after a fault, until the next one may begin


class Violation(AssertionError):
    """An invariant does not hold."""


@dataclass
class Machine:
    """A core machine; its disk outlives its process."""

    ip: str
    zone: str
    registry: Registry | None = None
    incarnation: int = 0
    disk: dict[str, Instance] = field(default_factory=dict)
    pending_batch: Any = None  # the batch that is being written
    disk_hangs_until: float = 0.0
    disk_fails_until: float = 0.0
    connections: dict[str, int] = field(default_factory=dict)  # connection numbers by the peer's address
    follower: EndpointTable = field(default_factory=EndpointTable)
    ingress_config: Config | None = None  # last configuration sent to its ingress
    recovered_at: float = -99.0  # when its last fault ended
    minority_since: float | None = None  # since when it does not reach a majority


@dataclass
class PendingCall:
    """A backend's call that is not answered yet."""

    id: str
    state: int
    ip: str
    started_at: float


class SimulatedCore:
    """Machines, the network between them, calls of backends, and the invariants."""

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        zones: int = 3,
        tolerance: FaultTolerance | None = None,
        make: type[Registry] = Registry,
    ) -> None:
        self.random, self.now, self.make = Random(seed), 0.0, make
        self.tolerance = tolerance or FaultTolerance(1)
        self.machines = {
            f"10.0.0.{n}": Machine(f"10.0.0.{n}", f"z{n % zones}") for n in range(1, machines + 1)
        }
        self.blocked: dict[tuple[str, str], bool] = {}  # network paths by source and target
        self.queue: list[tuple[float, int, Any]] = []
        self.number = 0
        self.delayed: list[tuple[Machine, Any, Message]] = []  # messages on blocked paths
        self.path_free_at: dict[tuple[str, int], float] = {}
        self.primary, self.primary_at = next(iter(self.machines)), 0.0
        self.calls: dict[tuple[str, int, int], PendingCall] = {}
        self.acked: dict[str, int] = {}
        self.failed_calls = self.acknowledged_calls = 0
        self.config: Config | None = None  # the newest in force
        self.topology_changed = True  # since the last update_primary()
        self.reported_states: dict[str, int] = {}  # the latest state that each backend reported itself
        for ip in self.machines:
            self.start(ip)

    def schedule(self, when: float, callback: Any) -> None:
        self.number += 1
        heapq.heappush(self.queue, (when, self.number, callback))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = until

    # ---- machines

    def start(self, ip: str) -> None:
        machine = self.machines[ip]
        machine.incarnation += 1
        self.topology_changed = True
        seeds = [other for other in list(self.machines)[:3] if other != ip]
        registry = machine.registry = self.make(
            self.now, 1.5, machine.incarnation, machine.zone, seeds, self.tolerance, ip=ip
        )
        self.perform(machine, registry.restore(self.now, list(machine.disk.values())))
        member = Member(f"e-{ip}", ip, 1, machine.zone, machine.incarnation)
        self.perform(machine, registry.ingress_up(self.now, "ingress", member))
        self.perform(
            machine, registry.receive(self.now, "ingress", Instances(machine.follower.snapshot(self.now)))
        )
        incarnation = machine.incarnation
        self.schedule(self.now + self.random.uniform(0, TICK_S), lambda: self.tick(machine, incarnation))

    def kill(self, ip: str) -> None:
        """Kills the process; the batch that it was writing may be stored."""
        machine = self.machines[ip]
        machine.registry, machine.ingress_config = None, None
        self.topology_changed = True
        if machine.pending_batch is not None and self.random.random() < 0.5:
            self.write(machine, machine.pending_batch)
        machine.pending_batch = None
        for other in list(machine.connections):
            self.disconnect(ip, other)
        self.calls = {key: call for key, call in self.calls.items() if key[0] != ip}

    def tick(self, machine: Machine, incarnation: int) -> None:
        if machine.registry is None or machine.incarnation != incarnation:
            return
        self.schedule(self.now + TICK_S, lambda: self.tick(machine, incarnation))
        if len(machine.connections) < len(self.machines) - 1:
            for other in self.machines.values():
                self.connect(machine, other)
        self.update_primary()
        contact = self.in_contact(machine.ip)
        if contact != machine.registry.contact:
            self.perform(
                machine, machine.registry.set_primary_status(self.now, self.fresh if contact else None)
            )
            if contact:
                self.deliver_from_store(machine, self.config)
        self.perform(machine, machine.registry.tick(self.now))
        self.save(machine)

    def reachable(self, a: str, b: str) -> bool:
        both = self.machines[a].registry is not None and self.machines[b].registry is not None
        return both and (a == b or not (self.blocked.get((a, b)) or self.blocked.get((b, a))))

    def reaches_majority(self, ip: str) -> bool:
        return sum(self.reachable(ip, other) for other in self.machines) * 2 > len(self.machines)

    def update_primary(self) -> None:
        if not self.topology_changed:
            return
        self.topology_changed = False
        for ip, machine in self.machines.items():
            in_minority = not self.reaches_majority(ip)
            machine.minority_since = (
                (self.now if machine.minority_since is None else machine.minority_since)
                if in_minority
                else None
            )
        if not self.reaches_majority(self.primary):
            candidates = [ip for ip in self.machines if self.reaches_majority(ip)]
            self.primary = candidates[0] if candidates else self.primary
            self.primary_at = self.now + ELECTION_S

    def in_contact(self, ip: str) -> bool:
        """Returns whether the registry is in contact; a loss of contact is noticed after SILENCE_TIMEOUT_S."""
        since = self.machines[ip].minority_since
        registry = self.machines[ip].registry
        if not self.reachable(ip, self.primary) or since is not None:
            return (
                since is not None
                and registry is not None
                and registry.contact
                and self.now - since < SILENCE_TIMEOUT_S
            )
        return self.now >= self.primary_at

    # ---- the store

    @property
    def fresh(self) -> Fresh:
        return (
            Fresh(True, self.config.version, self.config.digest)
            if self.config is not None
            else Fresh(True, 0)
        )

    def write_configuration(self) -> None:
        """Puts the next configuration into force if there is a primary."""
        if self.now < self.primary_at or not self.reaches_majority(self.primary):
            return
        version = self.config.version + 1 if self.config is not None else 1
        self.config = make_config(version, b'{"v":%d}' % version)
        for machine in self.machines.values():
            if (
                machine.registry is not None
                and machine.registry.contact
                and self.reachable(machine.ip, self.primary)
            ):
                self.deliver_from_store(machine, self.config)

    def send_unconfirmed_config(self) -> None:
        """Registries in a minority receive another body with the next version."""
        version = self.config.version + 1 if self.config is not None else 1
        for machine in self.machines.values():
            if machine.registry is not None and machine.minority_since is not None:
                self.perform(
                    machine,
                    machine.registry.apply_config(
                        make_config(version, b'{"rumour":%d}' % self.random.randint(0, 1))
                    ),
                )

    def deliver_from_store(self, machine: Machine, config: Config | None) -> None:
        if config is None:
            return
        incarnation, key = machine.incarnation, (machine.ip, -1)
        when = self.path_free_at[key] = max(
            self.now + self.random.uniform(0.001, 0.05), self.path_free_at.get(key, 0.0)
        )

        def deliver() -> None:
            registry = machine.registry
            if registry is not None and machine.incarnation == incarnation and registry.contact:
                self.perform(machine, registry.apply_config(config, True))
                self.perform(
                    machine,
                    registry.set_primary_status(self.now, Fresh(True, config.version, config.digest)),
                )

        self.schedule(when, deliver)

    def deliver_to_ingress(self, machine: Machine, message: Message) -> None:
        if isinstance(message, Instances):
            machine.follower.merge(self.now, message.entries)
        elif isinstance(message, Config):
            machine.ingress_config = message
        elif isinstance(message, Fresh) and message.fresh:
            ingress_config = machine.ingress_config
            if ingress_config is not None and (ingress_config.version, ingress_config.digest) != (
                message.version,
                message.digest,
            ):
                raise Violation(
                    f"{machine.ip} reports r{message.version} as the newest, and its ingress was sent r{ingress_config.version}"
                )
            assert machine.registry is not None and machine.registry._primary_status is not None
            if message.version < machine.registry._primary_status.version:
                raise Violation(f"{machine.ip} reports an old configuration as the newest")

    # ---- connections

    def connect(self, a: Machine, b: Machine) -> None:
        if a is b or not self.reachable(a.ip, b.ip) or b.ip in a.connections:
            return
        self.number += 1
        connection = a.connections[b.ip] = b.connections[a.ip] = self.number
        assert a.registry is not None and b.registry is not None
        self.perform(a, a.registry.registry_up(self.now, connection, b.ip, b.zone))
        self.perform(b, b.registry.registry_up(self.now, connection, a.ip, a.zone))

    def disconnect(self, a: str, b: str) -> None:
        connection = self.machines[a].connections.get(b)
        for ip, other in ((a, b), (b, a)):
            machine = self.machines[ip]
            if machine.connections.get(other) == connection and connection is not None:
                del machine.connections[other]
                if machine.registry is not None:
                    self.perform(machine, machine.registry.registry_down(self.now, connection))

    def partition(self, a: str, b: str, both: bool = True) -> None:
        self.blocked[a, b] = self.topology_changed = True
        if both:
            self.blocked[b, a] = True
        connection = self.machines[a].connections.get(b)
        self.schedule(self.now + SILENCE_TIMEOUT_S, lambda: self.on_silence(a, b, connection))

    def on_silence(self, a: str, b: str, connection: int | None) -> None:
        if self.machines[a].connections.get(b) == connection and (
            self.blocked.get((a, b)) or self.blocked.get((b, a))
        ):
            self.disconnect(a, b)

    def heal(self) -> None:
        """Unblocks all paths; messages on connections that outlived the partition are delivered now."""
        self.blocked.clear()
        self.topology_changed = True
        delayed, self.delayed = self.delayed, []
        for sender, connection, message in delayed:
            self.send(sender, connection, message)

    # ---- messages and disks

    def perform(self, machine: Machine, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, RequestCompleted):
                self.on_completed(machine, action)
            elif isinstance(action, Send):
                if action.to is None or action.to == "ingress":
                    self.deliver_to_ingress(machine, action.message)
                else:
                    self.send(machine, action.to, action.message)
        if machine.registry is not None and machine.registry.save_urgent:
            self.save(machine)

    def send(self, machine: Machine, connection: Any, message: Message) -> None:
        to = next((ip for ip, number in machine.connections.items() if number == connection), None)
        if to is None:
            return
        if self.blocked.get((machine.ip, to)):
            self.delayed.append((machine, connection, message))
            return
        key = machine.ip, connection
        when = self.path_free_at[key] = max(
            self.now + self.random.uniform(0.001, 0.01), self.path_free_at.get(key, 0.0)
        )
        other = self.machines[to]

        def deliver() -> None:
            if self.blocked.get((machine.ip, to)):
                self.delayed.append((machine, connection, message))
            elif other.registry is not None and other.connections.get(machine.ip) == connection:
                self.perform(other, other.registry.receive(self.now, connection, message))

        self.schedule(when, deliver)

    def save(self, machine: Machine) -> None:
        registry, incarnation = machine.registry, machine.incarnation
        if registry is None or (batch := registry.next_batch(self.now)) is None:
            return
        machine.pending_batch = batch
        done = max(self.now + SYNC_DURATION_S, machine.disk_hangs_until)

        def synced() -> None:
            if machine.registry is not registry or machine.incarnation != incarnation:
                return
            machine.pending_batch = None
            ok = self.now >= machine.disk_fails_until
            if ok:
                self.write(machine, batch)
            self.perform(machine, registry.on_saved(self.now, ok))

        self.schedule(done, synced)

    def write(self, machine: Machine, batch: Any) -> None:
        if batch.full:
            machine.disk = {}
        machine.disk.update({entry.id: entry for entry in batch.entries})
        for id in batch.deleted:
            machine.disk.pop(id, None)

    # ---- backends

    def call_registry(self, ip: str, id: str, state: int, count: int = -1) -> None:
        """Sends a call of a backend; the state GONE is a deregistration."""
        machine = self.machines[ip]
        if (registry := machine.registry) is None:
            return
        self.reported_states[id] = max(state, self.reported_states.get(id, 0))
        update = Instance(id, "s", f"{id}:80", "z1", 2, state)
        if state == GONE:
            known = registry.endpoints.entries.get(id)
            update = (
                Instance(id, known.service, known.address, known.zone, 2, GONE) if known else tombstone(id)
            )
        number, actions = registry.heartbeat(self.now, update, count)
        if number:
            self.calls[ip, machine.incarnation, number] = PendingCall(id, state, ip, self.now)
        elif state != READY:
            self.check_acknowledged(machine, PendingCall(id, state, ip, self.now))
        self.perform(machine, actions)

    def on_completed(self, machine: Machine, completed: RequestCompleted) -> None:
        call = self.calls.pop((machine.ip, machine.incarnation, completed.number))
        if self.now - call.started_at > 0.7 + 2 * TICK_S:
            raise Violation(f"{call.id}: {self.now - call.started_at:.1f} s until the response")
        if completed.ok:
            self.check_acknowledged(machine, call)
        else:
            self.failed_calls += 1

    def check_acknowledged(self, machine: Machine, call: PendingCall) -> None:
        self.acknowledged_calls += 1
        holders = [
            m for m in self.machines.values() if call.id in m.disk and m.disk[call.id].state >= call.state
        ]
        if machine not in holders:
            raise Violation(f"{call.id} is acknowledged before the registry's own disk has it")
        if len(self.machines) > 1 and len(holders) < 2:
            raise Violation(f"{call.id} is acknowledged before a second disk has it")
        all_connected = not any(
            m.registry is None or len(m.connections) < len(self.machines) - 1 for m in self.machines.values()
        )
        if all_connected and len(holders) <= self.tolerance.machines:
            raise Violation(f"{call.id} is acknowledged on {len(holders)} disks")
        if all_connected and self.tolerance.zones and len({m.zone for m in holders}) <= self.tolerance.zones:
            raise Violation(f"{call.id} is acknowledged in {len({m.zone for m in holders})} zones")
        since = machine.minority_since
        if since is not None and self.now - since > SILENCE_TIMEOUT_S + 2 * TICK_S:
            raise Violation(f"{call.id} is acknowledged out of contact")
        self.acked[call.id] = max(call.state, self.acked.get(call.id, 0))

    def check_converged(self) -> None:
        """Checks all registries and ingresses once all are running and connected.

        They have every acknowledged state, no state that was never reported, and the configuration in force.
        """
        for ip, machine in self.machines.items():
            assert machine.registry is not None
            if machine.registry.config != self.config:
                raise Violation(f"{ip} holds {machine.registry.config}; in force is {self.config}")
            if not machine.registry.fresh or machine.ingress_config != self.config:
                raise Violation(f"the ingress of {ip} does not have the configuration in force")
            for id, state in self.acked.items():
                known = machine.registry.endpoints.entries.get(id)
                if known is None or known.state < state:
                    raise Violation(f"{id}: acknowledged as {state}, {known and known.state} at {ip}")
                reported = machine.follower.entries.get(id)
                if reported is not None and reported.state < state:
                    raise Violation(f"{id}: acknowledged as {state}, {reported.state} at the ingress of {ip}")
            for id, known in machine.registry.endpoints.entries.items():
                if known.state > self.reported_states.get(id, 0):
                    raise Violation(f"{id} is {known.state} at {ip} but never reported that state")
                if (
                    len(
                        {
                            m.registry.endpoints.entries[id].state
                            for m in self.machines.values()  # type: ignore[union-attr]
                            if id in m.registry.endpoints.entries
                        }
                    )
                    > 1
                ):  # type: ignore[union-attr]
                    raise Violation(f"{id} has different states at two registries")


def make_config(version: int, body: bytes) -> Config:
    return Config(version, msgspec.Raw(body), body_digest(body))


def run_schedule(core: SimulatedCore, seconds: float = 9.0) -> None:
    """Runs one random schedule: backends start, drain and leave, with no more faults at once than tolerated."""
    random = core.random
    core.run(1.5)
    ips = list(core.machines)
    end_time = core.now + seconds
    last_instance = 0
    counts: dict[str, int] = {}
    faults_until = 0.0
    while core.now < end_time:
        core.run(random.choice((0.0, 0.003, 0.02, 0.3)))
        choice = random.random()
        ip = random.choice(ips)
        if choice < 0.3:
            last_instance += 1
            core.call_registry(ip, f"i-{last_instance}", READY, 1)
        elif choice < 0.8 and last_instance:
            id = f"i-{random.randint(max(1, last_instance - 4), last_instance)}"
            state = random.choice((DRAINING, DRAINING, GONE, READY))
            if core.reported_states.get(id, 0) > state:  # delayed
                core.call_registry(ip, id, state, counts.get(id, 1))
                continue
            if state != GONE and random.random() < 0.8:  # else it is repeated with the same count
                counts[id] = counts.get(id, 1) + 1
            core.call_registry(ip, id, state, -1 if state == GONE else counts.get(id, 1))
            if random.random() < 0.2:  # right after the call, or during its syncs
                core.run(random.choice((0.001, 0.004, 0.006, 0.012, 0.03)))
                restart_all(core, random.random() < 0.3)
        elif choice < 0.83:
            core.write_configuration()
        elif choice < 0.86:
            restart_all(core, False)
        elif core.now > faults_until:
            faults_until = core.now + 1.5 + inject_fault(core, ip) + RESYNC_S
    for ip in ips:
        if core.machines[ip].registry is None:
            core.start(ip)
    core.heal()
    core.run(4.0)
    core.write_configuration()
    core.run(0.5)
    core.check_converged()


def restart_all(core: SimulatedCore, wipe_one: bool) -> None:
    """Kills all processes at once, as by a power loss, and restarts them; one machine may lose its disk."""
    ips = list(core.machines)
    wiped_ip = (
        core.random.choice(ips)
        if wipe_one and all(core.now - m.recovered_at > RESYNC_S for m in core.machines.values())
        else ""
    )
    restart_ingresses = core.random.random() < 0.5
    for ip in ips:
        core.kill(ip)
        if restart_ingresses:
            core.machines[ip].follower = EndpointTable()
    if wiped_ip:
        core.machines[wiped_ip].disk = {}
        core.machines[wiped_ip].recovered_at = core.now
    for ip in ips:
        core.schedule(core.now + core.random.uniform(0.05, 0.8), lambda ip=ip: restart(core, ip))
    core.run(1.0)


def restart(core: SimulatedCore, ip: str) -> None:
    if core.machines[ip].registry is None:
        core.start(ip)


def inject_fault(core: SimulatedCore, ip: str) -> float:
    """Starts a fault of one machine or partition; returns its duration in seconds."""
    machine, random = core.machines[ip], core.random
    if any(core.now - m.recovered_at <= RESYNC_S for m in core.machines.values()):
        return 0.0
    duration = random.choice((0.1, 0.8, 3.0))
    fault = random.choice(("kill", "wipe", "cut", "one way", "hang", "refuse"))
    if fault in ("kill", "wipe"):
        core.kill(ip)
        if fault == "wipe":
            machine.disk = {}
        machine.recovered_at = core.now + duration
        core.schedule(core.now + duration, lambda: restart(core, ip))
    elif fault == "hang":
        machine.disk_hangs_until = core.now + duration
        machine.recovered_at = core.now + duration
    elif fault == "refuse":
        machine.disk_fails_until = core.now + duration
        machine.recovered_at = core.now + duration
    else:
        isolated = [ip]
        if len(core.machines) > 3 and random.random() < 0.6:
            isolated.append(random.choice([other for other in core.machines if other != ip]))
        for isolated_ip in isolated:
            for other in core.machines:
                if other not in isolated:
                    core.partition(isolated_ip, other, fault != "one way")
        machine.recovered_at = core.now + duration
        core.schedule(core.now + random.uniform(0.0, duration), core.send_unconfirmed_config)
        core.schedule(core.now + duration, core.heal)
    return duration
