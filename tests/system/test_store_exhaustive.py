"""Exhaustive search of a small model of the store: every order of writes, one loss or exit, and messages.

Three machines with an active primary and backup that have acknowledged version 1; further writes (one, or two
bodies under one version); a loss (power, or power and disk) or an orderly exit of a member at any point; the
return of that machine; a client that restarts and numbers its calls anew; and the passing of time. From each
state reached, the model runs to the end without further faults: there must be a primary, which returns what
was acknowledged and acknowledges it again.
"""

from __future__ import annotations

import os
import pickle
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest
from cluster import make_replica

from troutdock.rpc.messages import Read, ReadAck, Write, WriteAck, body_digest
from troutdock.config_store.replica import Replica, Stage
from troutdock.config_store.replica_state import Committed, DurableState, Save, Send

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
STEP_S = 1.1  # longer than PEER_TIMEOUT_S
GRACE_S = 6.0
DEPTH = int(os.environ.get("DEPTH", "5"))  # events; 7 gives 11,504 states of the first scenario in 36 s

A, B, OTHER = b'{"v":2}', b'{"v":2,"rival":1}', b'{"v":3}'


@dataclass(frozen=True)
class Scenario:
    """Possible events. orders: caller, version and body, each sent once; restarts_caller: whether a may restart."""

    orders: tuple[tuple[str, int, bytes], ...] = (("a", 2, A),)
    losses: tuple[str, ...] = ("power", "disk")
    restarts_caller: bool = False


SCENARIOS = {
    "a change and a loss": Scenario(),
    "a change and a leaving member": Scenario(losses=("leave",)),
    "a caller that dies": Scenario((("a", 2, A), ("a", 3, OTHER)), (), True),
    "two bodies and a loss": Scenario((("a", 2, A), ("b", 2, B))),
    "two bodies and a leaving member": Scenario((("a", 2, A), ("b", 2, B)), ("leave",)),
    "two bodies and a caller that dies": Scenario((("a", 2, A), ("b", 2, B), ("a", 2, B)), (), True),
}


class World:
    """State of the model; copied for each possible next event."""

    checks_life = True  # clients drop an answer to another incarnation

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.disks: dict[str, DurableState | None] = dict.fromkeys(IPS)
        self.replicas: dict[str, Replica] = {}
        self.channels: dict[tuple[str, str], list[Any]] = {}
        self.acknowledged, self.lost, self.asked = 0, "", 0
        self.leave_deadline = 0.0
        self.committed_versions: dict[str, int] = {}
        self.read: list[int] = []
        self.incarnations = {"a": 1, "b": 1}
        self.calls: dict[str, list[tuple[int, bytes]]] = {
            "a": [],
            "b": [],
        }  # of this incarnation; a call's number is its index plus 1
        self.bodies: dict[int, bytes] = {}  # acknowledged, read or committed
        self.rejected: list[tuple[int, bytes]] = []
        for ip in IPS:
            self.start(ip, True)

    def start(self, ip: str, first: bool = False) -> None:
        self.committed_versions[ip] = 0
        replica = self.replicas[ip] = make_replica(ip, IPS, self.disks[ip], first, self.now)
        for other in IPS:
            replica.meet(other, other)
        self.execute(ip, replica.take())

    def name(self, caller: str) -> str:
        return f"@{caller}#{self.incarnations[caller]}"

    def check_body(self, version: int, body: bytes) -> None:
        assert self.bodies.setdefault(version, body) == body, f"two bodies of {version}"
        assert (version, body) not in self.rejected, f"{version} was rejected, but is committed"

    def execute(self, ip: str, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Save):
                self.disks[ip] = action.durable
            elif isinstance(action, Committed):
                assert action.version >= self.committed_versions[ip], "a version decreases"
                self.committed_versions[ip] = action.version
                if action.version:
                    self.check_body(action.version, action.body)
            elif isinstance(action, Send):
                if action.to in IPS:
                    if action.to in self.replicas:
                        self.channels.setdefault((ip, action.to), []).append(action.message)
                else:
                    self.answered(action.to, action.message)

    def answered(self, to: str, message: Any) -> None:
        caller = to[1:].partition("#")[0]
        if to != self.name(caller) or (
            self.checks_life and message.life not in (0, self.incarnations[caller])
        ):
            return  # that incarnation has ended
        if isinstance(message, ReadAck):
            self.read.append(message.version)
            if message.version > 0:
                self.check_body(message.version, bytes(message.body))
            return
        if not 0 < message.number <= len(self.calls[caller]):
            return
        version, body = self.calls[caller][message.number - 1]
        if message.ok:
            if version >= max(self.bodies, default=0):
                assert version in self.bodies, f"{version} is acknowledged, but not committed"
                self.check_body(version, body)
            self.acknowledged = max(self.acknowledged, version)
        elif message.conflict:
            assert self.bodies.get(version) != body, f"{version} is committed, but rejected"
            self.rejected.append((version, body))

    def order(self, ip: str, caller: str, version: int, body: bytes) -> None:
        self.calls[caller].append((version, body))
        message = Write(
            len(self.calls[caller]), version, msgspec.Raw(body), self.incarnations[caller], body_digest(body)
        )
        self.execute(ip, self.replicas[ip].hear(self.now, self.name(caller), message))
        self.stop_if_left()

    def ask(self, ip: str) -> None:
        self.execute(ip, self.replicas[ip].hear(self.now, self.name("b"), Read(99, self.incarnations["b"])))

    def deliver(self, channel: tuple[str, str]) -> None:
        message = self.channels[channel].pop(0)
        if not self.channels[channel]:
            del self.channels[channel]
        if channel[1] in self.replicas:
            self.execute(channel[1], self.replicas[channel[1]].hear(self.now, channel[0], message))
            self.stop_if_left()

    def lose(self, ip: str, how: str) -> None:
        self.lost = ip
        if how == "leave":
            self.leave_deadline = self.now + GRACE_S
            self.execute(ip, self.replicas[ip].leave(self.now))
            self.stop_if_left()
            return
        del self.replicas[ip]
        self.channels = {channel: m for channel, m in self.channels.items() if ip not in channel}
        if how == "disk":
            self.disks[ip] = None

    def stop_if_left(self) -> None:
        """Stops a leaving machine once it may stop; messages that it has sent are still delivered."""
        replica = self.replicas.get(self.lost)
        if self.leave_deadline and replica is not None and (replica.left or self.now >= self.leave_deadline):
            del self.replicas[self.lost]
            self.leave_deadline = 0.0
            self.channels = {channel: m for channel, m in self.channels.items() if channel[1] != self.lost}

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for ip in list(self.replicas):
            self.execute(ip, self.replicas[ip].tick(self.now))
        self.stop_if_left()

    def settle(self, seconds: float = 8.0) -> None:
        until = self.now + seconds
        while self.now < until:
            while self.channels:
                self.deliver(next(iter(self.channels)))
            self.tick(0.1)

    @property
    def primary(self) -> str | None:
        return next((ip for ip, r in self.replicas.items() if r.stage is Stage.ACTIVE), None)

    def next_events(self) -> list[tuple[str, Any]]:
        """Possible next events."""
        found: list[tuple[str, Any]] = [("deliver", channel) for channel in self.channels]
        if self.asked < len(self.scenario.orders) and self.primary is not None:
            found.append(("put", self.primary))
        if not self.lost:
            found += [("lose", (ip, how)) for ip in IPS for how in self.scenario.losses]
        elif self.lost not in self.replicas:
            found.append(("back", self.lost))
        if self.scenario.restarts_caller and self.incarnations["a"] == 1:
            found.append(("renew", "a"))
        if len(self.channels) <= 2:
            found.append(("wait", None))
        return found

    def apply(self, what: str, which: Any) -> None:
        if what == "deliver":
            self.deliver(which)
        elif what == "put":
            caller, version, body = self.scenario.orders[self.asked]
            self.asked += 1
            self.order(which, caller, version, body)
        elif what == "lose":
            self.lose(*which)
        elif what == "back":
            self.start(which)
        elif what == "renew":
            self.incarnations[which] += 1
            self.calls[which] = []
        else:
            self.tick(STEP_S)


def initial_world(scenario: Scenario) -> World:
    world = World(scenario)
    world.settle(4.0)
    world.order(world.primary or "", "b", 1, b'{"v":1}')
    world.settle(1.0)
    assert world.acknowledged == 1
    world.channels.clear()
    return world


def check(state: bytes) -> None:
    """Checks that a primary returns and acknowledges again what was acknowledged."""
    world: World = pickle.loads(state)
    if world.leave_deadline:
        world.settle(GRACE_S)
    if world.lost and world.lost not in world.replicas:
        world.start(world.lost)
    world.settle()
    assert world.primary is not None, "no primary"
    world.ask(world.primary)
    world.settle(1.0)
    assert world.read and world.read[-1] >= world.acknowledged, (
        f"{world.read}, {world.acknowledged} was acknowledged"
    )
    acknowledged, world.acknowledged = world.acknowledged, 0
    if world.read[-1] == acknowledged:
        world.order(world.primary, "b", acknowledged, world.bodies[acknowledged])
        world.settle(1.0)
        assert world.acknowledged == acknowledged, "duplicate of the newest not acknowledged"


def search(depth: int, most: int, scenario: Scenario) -> int:
    """Checks every state that is reached within depth events; returns their number."""
    seen: dict[bytes, None] = {}
    layer = {pickle.dumps(initial_world(scenario)): None}
    for _ in range(depth):
        following: dict[bytes, None] = {}
        for state in layer:
            for what, which in pickle.loads(state).next_events():
                world: World = pickle.loads(state)
                world.apply(what, which)
                reached = pickle.dumps(world)
                if reached not in seen:
                    seen[reached] = following[reached] = None
        for state in following:
            check(state)
        layer = following
        assert len(seen) < most
    return len(seen)


# depth, and minimum number of states; scenarios of two bodies are in test_store_worst_days.py
@pytest.mark.parametrize(
    ("scenario", "depth", "least"),
    [
        ("a change and a loss", DEPTH, 1000),
        ("a change and a leaving member", DEPTH, 300),
        ("a caller that dies", DEPTH + 1, 100),
    ],
)
def test_every_order(scenario: str, depth: int, least: int) -> None:
    assert search(depth, 400_000, SCENARIOS[scenario]) > least


class EarlyAcknowledger(Replica):
    """An injected fault: a write is committed and acknowledged before the backup has stored it."""

    def hear(self, now: float, sender: str, message: Any) -> list[Any]:
        newer = (
            isinstance(message, Write)
            and self.stage is Stage.ACTIVE
            and message.version > self.status.version
        )
        actions = super().hear(now, sender, message)
        if newer:
            actions += [
                Committed(message.version, bytes(message.body)),
                Send(sender, WriteAck(message.number, True)),
            ]
        return actions


def test_the_search_finds_an_acknowledgement_without_the_backup(monkeypatch: pytest.MonkeyPatch) -> None:
    start = World.start

    def hasty(self: World, ip: str, first: bool = False) -> None:
        start(self, ip, first)
        self.replicas[ip].__class__ = EarlyAcknowledger

    monkeypatch.setattr(World, "start", hasty)
    with pytest.raises(AssertionError, match="was acknowledged"):
        search(4, 50_000, SCENARIOS["a change and a loss"])


def test_the_search_finds_an_answer_to_another_incarnation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(World, "name", lambda self, caller: f"@{caller}")
    monkeypatch.setattr(World, "checks_life", False)  # each of the two guards suffices alone
    with pytest.raises(AssertionError, match="but not committed"):
        search(6, 50_000, SCENARIOS["a caller that dies"])


def test_the_search_finds_a_rejection_of_a_committed_write(monkeypatch: pytest.MonkeyPatch) -> None:
    hear = Replica.hear

    def refuses(self: Replica, now: float, sender: str, message: Any) -> list[Any]:
        if isinstance(message, Write) and message.version == self.status.version:
            return [Send(sender, WriteAck(message.number, False, conflict=True))]
        return hear(self, now, sender, message)

    monkeypatch.setattr(Replica, "hear", refuses)
    with pytest.raises(AssertionError, match="committed, but rejected"):
        search(1, 50_000, SCENARIOS["a change and a leaving member"])
