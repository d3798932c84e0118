"""A small model of the store, searched whole: every order of changes, a loss or a leaving, and the messages they meet.

Three machines, an active pair that has acknowledged version 1, further orders (one, or two bodies under one number),
a loss (power, or power and disk) or a member that leaves in order, at any point, the machine's return, a caller that
dies and numbers its calls anew, and time that passes. From each state that is reached the rest is played out in order:
somebody leads, reads back what was acknowledged, and confirms it again.
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
STEP_S = 1.1  # longer than silence
GRACE_S = 6.0
DEPTH = int(os.environ.get("DEPTH", "5"))  # events; 7 has 11,504 states of the first play and takes 36 s

A, B, OTHER = b'{"v":2}', b'{"v":2,"rival":1}', b'{"v":3}'


@dataclass(frozen=True)
class Play:
    """What may happen. orders: caller, number and body, each sent once; renews: caller a may die once."""

    orders: tuple[tuple[str, int, bytes], ...] = (("a", 2, A),)
    losses: tuple[str, ...] = ("power", "disk")
    renews: bool = False


PLAYS = {
    "a change and a loss": Play(),
    "a change and a leaving member": Play(losses=("leave",)),
    "a caller that dies": Play((("a", 2, A), ("a", 3, OTHER)), (), True),
    "two bodies and a loss": Play((("a", 2, A), ("b", 2, B))),
    "two bodies and a leaving member": Play((("a", 2, A), ("b", 2, B)), ("leave",)),
    "two bodies and a caller that dies": Play((("a", 2, A), ("b", 2, B), ("a", 2, B)), (), True),
}


class World:
    """All of it at one point; copied for each way on."""

    checks_life = True  # callers drop an answer that names another life than theirs

    def __init__(self, play: Play) -> None:
        self.play = play
        self.now = 0.0
        self.disks: dict[str, DurableState | None] = dict.fromkeys(IPS)
        self.replicas: dict[str, Replica] = {}
        self.ways: dict[tuple[str, str], list[Any]] = {}
        self.acknowledged, self.lost, self.asked = 0, "", 0
        self.leaves_until = 0.0
        self.shown: dict[str, int] = {}
        self.read: list[int] = []
        self.lives = {"a": 1, "b": 1}
        self.calls: dict[str, list[tuple[int, bytes]]] = {
            "a": [],
            "b": [],
        }  # of this life; a call's number is its place
        self.bodies: dict[int, bytes] = {}  # confirmed, read or in force
        self.refused: list[tuple[int, bytes]] = []
        for ip in IPS:
            self.start(ip, True)

    def start(self, ip: str, first: bool = False) -> None:
        self.shown[ip] = 0
        replica = self.replicas[ip] = make_replica(ip, IPS, self.disks[ip], first, self.now)
        for other in IPS:
            replica.meet(other, other)
        self.do(ip, replica.take())

    def name(self, caller: str) -> str:
        return f"@{caller}#{self.lives[caller]}"

    def keep(self, version: int, body: bytes) -> None:
        assert self.bodies.setdefault(version, body) == body, f"two bodies of {version}"
        assert (version, body) not in self.refused, f"{version} was refused, and is in force"

    def do(self, ip: str, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Save):
                self.disks[ip] = action.durable
            elif isinstance(action, Committed):
                assert action.version >= self.shown[ip], "a version goes back"
                self.shown[ip] = action.version
                if action.version:
                    self.keep(action.version, action.body)
            elif isinstance(action, Send):
                if action.to in IPS:
                    if action.to in self.replicas:
                        self.ways.setdefault((ip, action.to), []).append(action.message)
                else:
                    self.answered(action.to, action.message)

    def answered(self, to: str, message: Any) -> None:
        caller = to[1:].partition("#")[0]
        if to != self.name(caller) or (self.checks_life and message.life not in (0, self.lives[caller])):
            return  # that life is over
        if isinstance(message, ReadAck):
            self.read.append(message.version)
            if message.version > 0:
                self.keep(message.version, bytes(message.body))
            return
        if not 0 < message.number <= len(self.calls[caller]):
            return
        version, body = self.calls[caller][message.number - 1]
        if message.ok:
            if version >= max(self.bodies, default=0):
                assert version in self.bodies, f"{version} is confirmed, and not in force"
                self.keep(version, body)
            self.acknowledged = max(self.acknowledged, version)
        elif message.conflict:
            assert self.bodies.get(version) != body, f"{version} is in force, and refused"
            self.refused.append((version, body))

    def order(self, ip: str, caller: str, version: int, body: bytes) -> None:
        self.calls[caller].append((version, body))
        message = Write(
            len(self.calls[caller]), version, msgspec.Raw(body), self.lives[caller], body_digest(body)
        )
        self.do(ip, self.replicas[ip].hear(self.now, self.name(caller), message))
        self.end_if_left()

    def ask(self, ip: str) -> None:
        self.do(ip, self.replicas[ip].hear(self.now, self.name("b"), Read(99, self.lives["b"])))

    def deliver(self, way: tuple[str, str]) -> None:
        message = self.ways[way].pop(0)
        if not self.ways[way]:
            del self.ways[way]
        if way[1] in self.replicas:
            self.do(way[1], self.replicas[way[1]].hear(self.now, way[0], message))
            self.end_if_left()

    def lose(self, ip: str, how: str) -> None:
        self.lost = ip
        if how == "leave":
            self.leaves_until = self.now + GRACE_S
            self.do(ip, self.replicas[ip].leave(self.now))
            self.end_if_left()
            return
        del self.replicas[ip]
        self.ways = {way: m for way, m in self.ways.items() if ip not in way}
        if how == "disk":
            self.disks[ip] = None

    def end_if_left(self) -> None:
        """Who leaves in order ends when it may; what it has said is still on its way."""
        replica = self.replicas.get(self.lost)
        if self.leaves_until and replica is not None and (replica.left or self.now >= self.leaves_until):
            del self.replicas[self.lost]
            self.leaves_until = 0.0
            self.ways = {way: m for way, m in self.ways.items() if way[1] != self.lost}

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for ip in list(self.replicas):
            self.do(ip, self.replicas[ip].tick(self.now))
        self.end_if_left()

    def settle(self, seconds: float = 8.0) -> None:
        until = self.now + seconds
        while self.now < until:
            while self.ways:
                self.deliver(next(iter(self.ways)))
            self.tick(0.1)

    @property
    def primary(self) -> str | None:
        return next((ip for ip, r in self.replicas.items() if r.stage is Stage.ACTIVE), None)

    def ways_on(self) -> list[tuple[str, Any]]:
        """What may happen next."""
        found: list[tuple[str, Any]] = [("deliver", way) for way in self.ways]
        if self.asked < len(self.play.orders) and self.primary is not None:
            found.append(("put", self.primary))
        if not self.lost:
            found += [("lose", (ip, how)) for ip in IPS for how in self.play.losses]
        elif self.lost not in self.replicas:
            found.append(("back", self.lost))
        if self.play.renews and self.lives["a"] == 1:
            found.append(("renew", "a"))
        if len(self.ways) <= 2:
            found.append(("wait", None))
        return found

    def go(self, what: str, which: Any) -> None:
        if what == "deliver":
            self.deliver(which)
        elif what == "put":
            caller, version, body = self.play.orders[self.asked]
            self.asked += 1
            self.order(which, caller, version, body)
        elif what == "lose":
            self.lose(*which)
        elif what == "back":
            self.start(which)
        elif what == "renew":
            self.lives[which] += 1
            self.calls[which] = []
        else:
            self.tick(STEP_S)


def begun(play: Play) -> World:
    world = World(play)
    world.settle(4.0)
    world.order(world.primary or "", "b", 1, b'{"v":1}')
    world.settle(1.0)
    assert world.acknowledged == 1
    world.ways.clear()
    return world


def check(state: bytes) -> None:
    """Whatever has happened: somebody leads in the end, and tells and confirms again what was acknowledged."""
    world: World = pickle.loads(state)
    if world.leaves_until:
        world.settle(GRACE_S)
    if world.lost and world.lost not in world.replicas:
        world.start(world.lost)
    world.settle()
    assert world.primary is not None, "nobody leads"
    world.ask(world.primary)
    world.settle(1.0)
    assert world.read and world.read[-1] >= world.acknowledged, (
        f"{world.read}, {world.acknowledged} was acknowledged"
    )
    acknowledged, world.acknowledged = world.acknowledged, 0
    if world.read[-1] == acknowledged:
        world.order(world.primary, "b", acknowledged, world.bodies[acknowledged])
        world.settle(1.0)
        assert world.acknowledged == acknowledged, "the newest sent again is not confirmed"


def search(depth: int, most: int, play: Play) -> int:
    """Every state within so many events; each is checked."""
    seen: dict[bytes, None] = {}
    layer = {pickle.dumps(begun(play)): None}
    for _ in range(depth):
        following: dict[bytes, None] = {}
        for state in layer:
            for what, which in pickle.loads(state).ways_on():
                world: World = pickle.loads(state)
                world.go(what, which)
                reached = pickle.dumps(world)
                if reached not in seen:
                    seen[reached] = following[reached] = None
        for state in following:
            check(state)
        layer = following
        assert len(seen) < most
    return len(seen)


# depth, and at least so many states, of those that hold; two bodies stand in test_store_worst_days.py
@pytest.mark.parametrize(
    ("play", "depth", "least"),
    [
        ("a change and a loss", DEPTH, 1000),
        ("a change and a leaving member", DEPTH, 300),
        ("a caller that dies", DEPTH + 1, 100),
    ],
)
def test_every_order(play: str, depth: int, least: int) -> None:
    assert search(depth, 400_000, PLAYS[play]) > least


class Hasty(Replica):
    """A planted fault: an order is in force, and acknowledged, before the backup has it."""

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
        self.replicas[ip].__class__ = Hasty

    monkeypatch.setattr(World, "start", hasty)
    with pytest.raises(AssertionError, match="was acknowledged"):
        search(4, 50_000, PLAYS["a change and a loss"])


def test_the_search_finds_an_answer_that_reaches_another_life(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(World, "name", lambda self, caller: f"@{caller}")
    monkeypatch.setattr(World, "checks_life", False)  # each of the two guards is enough by itself
    with pytest.raises(AssertionError, match="not in force"):
        search(6, 50_000, PLAYS["a caller that dies"])


def test_the_search_finds_a_refusal_of_what_is_in_force(monkeypatch: pytest.MonkeyPatch) -> None:
    hear = Replica.hear

    def refuses(self: Replica, now: float, sender: str, message: Any) -> list[Any]:
        if isinstance(message, Write) and message.version == self.status.version:
            return [Send(sender, WriteAck(message.number, False, conflict=True))]
        return hear(self, now, sender, message)

    monkeypatch.setattr(Replica, "hear", refuses)
    with pytest.raises(AssertionError, match="in force, and refused"):
        search(1, 50_000, PLAYS["a change and a leaving member"])
