"""Registries under simulated links, disks, kills and losses of power; everything from one seed.

Of the store there is only what it tells: it has a primary, some time after more than half of the machines can
reach each other, registries that reach it are in contact, and are told its newest configuration. One that is
apart may be told of a body that was never in force, under the next number (a rumour). A disk keeps what was synced; of the batch that
is under way when power goes all is there or nothing. Each registry has an ingress that follows it.
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
SILENT_S = 1.0  # until a link that says nothing ends, or a primary that reaches too few says so
ELECTION_S = 1.0  # until there is another one
SYNC_S = 0.005
SYNC_TIME_S = 4.0


class Violation(AssertionError):
    """Something that must hold does not."""


@dataclass
class Machine:
    """One core machine: its disk outlives its process."""

    ip: str
    zone: str
    registry: Registry | None = None
    life: int = 0
    disk: dict[str, Instance] = field(default_factory=dict)
    under_way: Any = None  # the batch that is being written
    hangs_until: float = 0.0  # its disk
    refuses_until: float = 0.0
    links: dict[str, int] = field(default_factory=dict)  # numbers of links, by the other's address
    follower: EndpointTable = field(default_factory=EndpointTable)
    shown: Config | None = None  # the configuration that its ingress was told last
    back_at: float = -99.0  # when its last loss that counts ended
    apart_since: float | None = None  # from more than half of the machines


@dataclass
class Call:
    """A backend's word. state: what it says."""

    id: str
    state: int
    ip: str
    at: float


class Core:
    """Machines, ways between them, backends that call, and what must hold."""

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
        self.cuts: dict[tuple[str, str], bool] = {}  # one way
        self.queue: list[tuple[float, int, Any]] = []
        self.number = 0
        self.held: list[tuple[Machine, Any, Message]] = []  # by cuts
        self.way_free: dict[tuple[str, int], float] = {}
        self.primary, self.primary_from = next(iter(self.machines)), 0.0
        self.calls: dict[tuple[str, int, int], Call] = {}
        self.acked: dict[str, int] = {}
        self.refused = self.served = 0
        self.config: Config | None = None  # the newest in force
        self.moved = True  # machines or ways have changed since that was looked at
        self.states: dict[str, int] = {}  # the highest that a backend itself has said
        for ip in self.machines:
            self.start(ip)

    def at(self, when: float, what: Any) -> None:
        self.number += 1
        heapq.heappush(self.queue, (when, self.number, what))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = until

    # ---- machines

    def start(self, ip: str) -> None:
        machine = self.machines[ip]
        machine.life += 1
        self.moved = True
        seeds = [other for other in list(self.machines)[:3] if other != ip]
        registry = machine.registry = self.make(
            self.now, 1.5, machine.life, machine.zone, seeds, self.tolerance, ip=ip
        )
        self.do(machine, registry.restore(self.now, list(machine.disk.values())))
        member = Member(f"e-{ip}", ip, 1, machine.zone, machine.life)
        self.do(machine, registry.ingress_up(self.now, "ingress", member))
        self.do(
            machine, registry.receive(self.now, "ingress", Instances(machine.follower.snapshot(self.now)))
        )
        life = machine.life
        self.at(self.now + self.random.uniform(0, TICK_S), lambda: self.tick(machine, life))

    def end(self, ip: str) -> None:
        """Its process is killed; what it was writing may be there."""
        machine = self.machines[ip]
        machine.registry, machine.shown = None, None
        self.moved = True
        if machine.under_way is not None and self.random.random() < 0.5:
            self.write(machine, machine.under_way)
        machine.under_way = None
        for other in list(machine.links):
            self.unlink(ip, other)
        self.calls = {key: call for key, call in self.calls.items() if key[0] != ip}

    def tick(self, machine: Machine, life: int) -> None:
        if machine.registry is None or machine.life != life:
            return
        self.at(self.now + TICK_S, lambda: self.tick(machine, life))
        if len(machine.links) < len(self.machines) - 1:
            for other in self.machines.values():
                self.meet(machine, other)
        self.look_for_primary()
        contact = self.in_contact(machine.ip)
        if contact != machine.registry.contact:
            self.do(machine, machine.registry.set_primary_status(self.now, self.fresh if contact else None))
            if contact:
                self.from_store(machine, self.config)
        self.do(machine, machine.registry.tick(self.now))
        self.save(machine)

    def reach(self, a: str, b: str) -> bool:
        both = self.machines[a].registry is not None and self.machines[b].registry is not None
        return both and (a == b or not (self.cuts.get((a, b)) or self.cuts.get((b, a))))

    def majority(self, ip: str) -> bool:
        return sum(self.reach(ip, other) for other in self.machines) * 2 > len(self.machines)

    def look_for_primary(self) -> None:
        if not self.moved:
            return
        self.moved = False
        for ip, machine in self.machines.items():
            apart = not self.majority(ip)
            machine.apart_since = (
                (self.now if machine.apart_since is None else machine.apart_since) if apart else None
            )
        if not self.majority(self.primary):
            able = [ip for ip in self.machines if self.majority(ip)]
            self.primary = able[0] if able else self.primary
            self.primary_from = self.now + ELECTION_S

    def in_contact(self, ip: str) -> bool:
        """As told: what is lost is noticed late."""
        apart = self.machines[ip].apart_since
        had = self.machines[ip].registry
        if not self.reach(ip, self.primary) or apart is not None:
            return apart is not None and had is not None and had.contact and self.now - apart < SILENT_S
        return self.now >= self.primary_from

    # ---- the store

    @property
    def fresh(self) -> Fresh:
        return (
            Fresh(True, self.config.version, self.config.digest)
            if self.config is not None
            else Fresh(True, 0)
        )

    def order(self) -> None:
        """The operator's next configuration comes into force, if there is a primary."""
        if self.now < self.primary_from or not self.majority(self.primary):
            return
        version = self.config.version + 1 if self.config is not None else 1
        self.config = config(version, b'{"v":%d}' % version)
        for machine in self.machines.values():
            if (
                machine.registry is not None
                and machine.registry.contact
                and self.reach(machine.ip, self.primary)
            ):
                self.from_store(machine, self.config)

    def rumour(self) -> None:
        """A registry that is apart hears of another body under the next number."""
        version = self.config.version + 1 if self.config is not None else 1
        for machine in self.machines.values():
            if machine.registry is not None and machine.apart_since is not None:
                self.do(
                    machine,
                    machine.registry.apply_config(
                        config(version, b'{"rumour":%d}' % self.random.randint(0, 1))
                    ),
                )

    def from_store(self, machine: Machine, told: Config | None) -> None:
        if told is None:
            return
        life, key = machine.life, (machine.ip, -1)
        when = self.way_free[key] = max(
            self.now + self.random.uniform(0.001, 0.05), self.way_free.get(key, 0.0)
        )

        def come() -> None:
            registry = machine.registry
            if registry is not None and machine.life == life and registry.contact:
                self.do(machine, registry.apply_config(told, True))
                self.do(
                    machine, registry.set_primary_status(self.now, Fresh(True, told.version, told.digest))
                )

        self.at(when, come)

    def to_ingress(self, machine: Machine, message: Message) -> None:
        if isinstance(message, Instances):
            machine.follower.merge(self.now, message.entries)
        elif isinstance(message, Config):
            machine.shown = message
        elif isinstance(message, Fresh) and message.fresh:
            shown = machine.shown
            if shown is not None and (shown.version, shown.digest) != (message.version, message.digest):
                raise Violation(
                    f"{machine.ip} tells r{message.version} as the newest, and its ingress was told r{shown.version}"
                )
            assert machine.registry is not None and machine.registry._primary_status is not None
            if message.version < machine.registry._primary_status.version:
                raise Violation(f"{machine.ip} tells an old configuration as the newest")

    # ---- links

    def meet(self, a: Machine, b: Machine) -> None:
        if a is b or not self.reach(a.ip, b.ip) or b.ip in a.links:
            return
        self.number += 1
        link = a.links[b.ip] = b.links[a.ip] = self.number
        assert a.registry is not None and b.registry is not None
        self.do(a, a.registry.registry_up(self.now, link, b.ip, b.zone))
        self.do(b, b.registry.registry_up(self.now, link, a.ip, a.zone))

    def unlink(self, a: str, b: str) -> None:
        link = self.machines[a].links.get(b)
        for one, other in ((a, b), (b, a)):
            machine = self.machines[one]
            if machine.links.get(other) == link and link is not None:
                del machine.links[other]
                if machine.registry is not None:
                    self.do(machine, machine.registry.registry_down(self.now, link))

    def cut(self, a: str, b: str, both: bool = True) -> None:
        self.cuts[a, b] = self.moved = True
        if both:
            self.cuts[b, a] = True
        link = self.machines[a].links.get(b)
        self.at(self.now + SILENT_S, lambda: self.silent(a, b, link))

    def silent(self, a: str, b: str, link: int | None) -> None:
        if self.machines[a].links.get(b) == link and (self.cuts.get((a, b)) or self.cuts.get((b, a))):
            self.unlink(a, b)

    def join(self) -> None:
        """All ways are there again; what links that outlived their cut have held up comes now."""
        self.cuts.clear()
        self.moved = True
        held, self.held = self.held, []
        for sender, link, message in held:
            self.send(sender, link, message)

    # ---- what registries say and keep

    def do(self, machine: Machine, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, RequestCompleted):
                self.answered(machine, action)
            elif isinstance(action, Send):
                if action.to is None or action.to == "ingress":
                    self.to_ingress(machine, action.message)
                else:
                    self.send(machine, action.to, action.message)
        if machine.registry is not None and machine.registry.save_urgent:
            self.save(machine)

    def send(self, machine: Machine, link: Any, message: Message) -> None:
        to = next((ip for ip, number in machine.links.items() if number == link), None)
        if to is None:
            return
        if self.cuts.get((machine.ip, to)):
            self.held.append((machine, link, message))
            return
        key = machine.ip, link
        when = self.way_free[key] = max(
            self.now + self.random.uniform(0.001, 0.01), self.way_free.get(key, 0.0)
        )
        other = self.machines[to]

        def come() -> None:
            if self.cuts.get((machine.ip, to)):
                self.held.append((machine, link, message))
            elif other.registry is not None and other.links.get(machine.ip) == link:
                self.do(other, other.registry.receive(self.now, link, message))

        self.at(when, come)

    def save(self, machine: Machine) -> None:
        registry, life = machine.registry, machine.life
        if registry is None or (batch := registry.next_batch(self.now)) is None:
            return
        machine.under_way = batch
        done = max(self.now + SYNC_S, machine.hangs_until)

        def synced() -> None:
            if machine.registry is not registry or machine.life != life:
                return
            machine.under_way = None
            ok = self.now >= machine.refuses_until
            if ok:
                self.write(machine, batch)
            self.do(machine, registry.on_saved(self.now, ok))

        self.at(done, synced)

    def write(self, machine: Machine, batch: Any) -> None:
        if batch.full:
            machine.disk = {}
        machine.disk.update({entry.id: entry for entry in batch.entries})
        for id in batch.deleted:
            machine.disk.pop(id, None)

    # ---- backends

    def call(self, ip: str, id: str, state: int, count: int = -1) -> None:
        """A backend's word; with a state of GONE it leaves."""
        machine = self.machines[ip]
        if (registry := machine.registry) is None:
            return
        self.states[id] = max(state, self.states.get(id, 0))
        said = Instance(id, "s", f"{id}:80", "z1", 2, state)
        if state == GONE:
            known = registry.endpoints.entries.get(id)
            said = Instance(id, known.service, known.address, known.zone, 2, GONE) if known else tombstone(id)
        number, actions = registry.heartbeat(self.now, said, count)
        if number:
            self.calls[ip, machine.life, number] = Call(id, state, ip, self.now)
        elif state != READY:
            self.acknowledged(machine, Call(id, state, ip, self.now))
        self.do(machine, actions)

    def answered(self, machine: Machine, confirmed: RequestCompleted) -> None:
        call = self.calls.pop((machine.ip, machine.life, confirmed.number))
        if self.now - call.at > 0.7 + 2 * TICK_S:
            raise Violation(f"{call.id}: {self.now - call.at:.1f} s until the answer")
        if confirmed.ok:
            self.acknowledged(machine, call)
        else:
            self.refused += 1

    def acknowledged(self, machine: Machine, call: Call) -> None:
        self.served += 1
        have = [
            m for m in self.machines.values() if call.id in m.disk and m.disk[call.id].state >= call.state
        ]
        if machine not in have:
            raise Violation(f"{call.id} is acknowledged before the own disk has it")
        if len(self.machines) > 1 and len(have) < 2:
            raise Violation(f"{call.id} is acknowledged before a second disk has it")
        calm = not any(
            m.registry is None or len(m.links) < len(self.machines) - 1 for m in self.machines.values()
        )
        if calm and len(have) <= self.tolerance.machines:
            raise Violation(f"{call.id} is acknowledged on {len(have)} disks")
        if calm and self.tolerance.zones and len({m.zone for m in have}) <= self.tolerance.zones:
            raise Violation(f"{call.id} is acknowledged in {len({m.zone for m in have})} zones")
        apart = machine.apart_since
        if apart is not None and self.now - apart > SILENT_S + 2 * TICK_S:
            raise Violation(f"{call.id} is acknowledged out of contact")
        self.acked[call.id] = max(call.state, self.acked.get(call.id, 0))

    def check_all_know(self) -> None:
        """Once all are back and linked: nobody has gone back on what was acknowledged, and nothing else is lost."""
        for ip, machine in self.machines.items():
            assert machine.registry is not None
            if machine.registry.config != self.config:
                raise Violation(f"{ip} holds {machine.registry.config}, in force is {self.config}")
            if not machine.registry.fresh or machine.shown != self.config:
                raise Violation(f"the ingress of {ip} is not told what is in force")
            for id, state in self.acked.items():
                known = machine.registry.endpoints.entries.get(id)
                if known is None or known.state < state:
                    raise Violation(f"{id}: acknowledged as {state}, {known and known.state} at {ip}")
                told = machine.follower.entries.get(id)
                if told is not None and told.state < state:
                    raise Violation(f"{id}: acknowledged as {state}, {told.state} at the ingress of {ip}")
            for id, known in machine.registry.endpoints.entries.items():
                if known.state > self.states.get(id, 0):
                    raise Violation(f"{id} is {known.state} at {ip} and never said so")
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
                    raise Violation(f"{id} is told in two ways")


def config(version: int, body: bytes) -> Config:
    return Config(version, msgspec.Raw(body), body_digest(body))


def play(core: Core, seconds: float = 9.0) -> None:
    """One course: backends come, drain and leave; of losses never more at once than are to be borne."""
    random = core.random
    core.run(1.5)
    ips = list(core.machines)
    ends = core.now + seconds
    last = 0
    counts: dict[str, int] = {}
    busy_until = 0.0
    while core.now < ends:
        core.run(random.choice((0.0, 0.003, 0.02, 0.3)))
        what = random.random()
        ip = random.choice(ips)
        if what < 0.3:
            last += 1
            core.call(ip, f"i-{last}", READY, 1)
        elif what < 0.8 and last:
            id = f"i-{random.randint(max(1, last - 4), last)}"
            state = random.choice((DRAINING, DRAINING, GONE, READY))
            if core.states.get(id, 0) > state:  # a late one, or a straggler
                core.call(ip, id, state, counts.get(id, 1))
                continue
            if state != GONE and random.random() < 0.8:  # else it is resent as it was
                counts[id] = counts.get(id, 1) + 1
            core.call(ip, id, state, -1 if state == GONE else counts.get(id, 1))
            if random.random() < 0.2:  # right after it, or in the middle of its syncs
                core.run(random.choice((0.001, 0.004, 0.006, 0.012, 0.03)))
                everything(core, random.random() < 0.3)
        elif what < 0.83:
            core.order()
        elif what < 0.86:
            everything(core, False)
        elif core.now > busy_until:
            busy_until = core.now + 1.5 + trouble(core, ip) + SYNC_TIME_S
    for ip in ips:
        if core.machines[ip].registry is None:
            core.start(ip)
    core.join()
    core.run(4.0)
    core.order()
    core.run(0.5)
    core.check_all_know()


def everything(core: Core, wiped: bool) -> None:
    """All processes end at once, by a kill or by a loss of power; one may lose its disk with it."""
    ips = list(core.machines)
    lost = (
        core.random.choice(ips)
        if wiped and all(core.now - m.back_at > SYNC_TIME_S for m in core.machines.values())
        else ""
    )
    edges_too = core.random.random() < 0.5
    for ip in ips:
        core.end(ip)
        if edges_too:
            core.machines[ip].follower = EndpointTable()
    if lost:
        core.machines[lost].disk = {}
        core.machines[lost].back_at = core.now
    for ip in ips:
        core.at(core.now + core.random.uniform(0.05, 0.8), lambda ip=ip: again(core, ip))
    core.run(1.0)


def again(core: Core, ip: str) -> None:
    if core.machines[ip].registry is None:
        core.start(ip)


def trouble(core: Core, ip: str) -> float:
    """One machine is lost for a while; gives how long."""
    machine, random = core.machines[ip], core.random
    if any(core.now - m.back_at <= SYNC_TIME_S for m in core.machines.values()):
        return 0.0
    lasts = random.choice((0.1, 0.8, 3.0))
    what = random.choice(("kill", "wipe", "cut", "one way", "hang", "refuse"))
    if what in ("kill", "wipe"):
        core.end(ip)
        if what == "wipe":
            machine.disk = {}
        machine.back_at = core.now + lasts
        core.at(core.now + lasts, lambda: again(core, ip))
    elif what == "hang":
        machine.hangs_until = core.now + lasts
        machine.back_at = core.now + lasts
    elif what == "refuse":
        machine.refuses_until = core.now + lasts
        machine.back_at = core.now + lasts
    else:
        near = [ip]
        if len(core.machines) > 3 and random.random() < 0.6:
            near.append(random.choice([other for other in core.machines if other != ip]))
        for one in near:
            for other in core.machines:
                if other not in near:
                    core.cut(one, other, what != "one way")
        machine.back_at = core.now + lasts
        core.at(core.now + random.uniform(0.0, lasts), core.rumour)
        core.at(core.now + lasts, core.join)
    return lasts
