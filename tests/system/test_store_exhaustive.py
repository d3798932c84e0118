"""A small model of the store, searched whole: every order of a change, a loss and the messages it meets.

Three machines, an active pair that has acknowledged version 1, one further change, and one loss (power, or power
and disk) that may come at any point, the machine's return, and time that passes. From each state that is reached
the rest is played out in order: somebody leads, and reads back what was acknowledged.
"""

from __future__ import annotations

import os
import pickle
from typing import Any

import msgspec
import pytest

from furrow.messages import WriteAck, Write, Read, ReadAck
from rootstock.replica import InForce, Kept, Replica, Save, Send, Stage

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
CALLER = "@caller"
STEP_S = 1.1  # longer than silence
DEPTH = int(os.environ.get("DEPTH", "5"))  # events; 7 has 11,504 states and takes 36 s


class World:
    """All of it at one point; copied for each way on."""

    def __init__(self) -> None:
        self.now = 0.0
        self.disks: dict[str, Kept | None] = dict.fromkeys(IPS)
        self.replicas: dict[str, Replica] = {}
        self.ways: dict[tuple[str, str], list[Any]] = {}
        self.acknowledged, self.lost, self.put = 0, "", False
        self.shown: dict[str, int] = {}
        self.read: list[int] = []
        for ip in IPS:
            self.start(ip, True)

    def start(self, ip: str, first: bool = False) -> None:
        self.shown[ip] = 0
        replica = self.replicas[ip] = Replica(ip, IPS, self.disks[ip], first, self.now)
        for other in IPS:
            replica.meet(other, other)
        self.do(ip, replica.take())

    def do(self, ip: str, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Save):
                self.disks[ip] = action.kept
            elif isinstance(action, InForce):
                assert action.version >= self.shown[ip], "a version goes back"
                self.shown[ip] = action.version
            elif isinstance(action, Send):
                if action.to in self.replicas:
                    self.ways.setdefault((ip, action.to), []).append(action.message)
                elif isinstance(action.message, WriteAck) and action.message.ok:
                    self.acknowledged = max(self.acknowledged, action.message.number)
                elif isinstance(action.message, ReadAck):
                    self.read.append(action.message.version)

    def call(self, ip: str, message: Any) -> None:
        self.do(ip, self.replicas[ip].hear(self.now, CALLER, message))

    def deliver(self, way: tuple[str, str]) -> None:
        message = self.ways[way].pop(0)
        if not self.ways[way]:
            del self.ways[way]
        if way[1] in self.replicas:
            self.do(way[1], self.replicas[way[1]].hear(self.now, way[0], message))

    def lose(self, ip: str, disk: bool) -> None:
        del self.replicas[ip]
        self.ways = {way: m for way, m in self.ways.items() if ip not in way}
        self.lost = ip
        if disk:
            self.disks[ip] = None

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for ip in list(self.replicas):
            self.do(ip, self.replicas[ip].tick(self.now))

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
        if not self.put and self.primary is not None:
            found.append(("put", self.primary))
        if not self.lost:
            found += [("lose", (ip, disk)) for ip in IPS for disk in (False, True)]
        elif self.lost not in self.replicas:
            found.append(("back", self.lost))
        if len(self.ways) <= 2:
            found.append(("wait", None))
        return found

    def go(self, what: str, which: Any) -> None:
        if what == "deliver":
            self.deliver(which)
        elif what == "put":
            self.put = True
            self.call(which, Write(2, 2, msgspec.Raw(b'{"v":2}')))
        elif what == "lose":
            self.lose(*which)
        elif what == "back":
            self.start(which)
        else:
            self.tick(STEP_S)


def begun() -> World:
    world = World()
    world.settle(4.0)
    world.call(world.primary or "", Write(1, 1, msgspec.Raw(b'{"v":1}')))
    world.settle(1.0)
    assert world.acknowledged == 1
    world.ways.clear()
    return world


def check(state: bytes) -> None:
    """Whatever has happened: somebody leads in the end, and tells what was acknowledged."""
    world: World = pickle.loads(state)
    if world.lost and world.lost not in world.replicas:
        world.start(world.lost)
    world.settle()
    assert world.primary is not None, "nobody leads"
    world.call(world.primary, Read(9))
    world.settle(1.0)
    assert world.read and world.read[-1] >= world.acknowledged, f"{world.read}, {world.acknowledged} was acknowledged"


def search(depth: int, most: int) -> int:
    """Every state within so many events; each is checked."""
    seen: dict[bytes, None] = {}
    layer = {pickle.dumps(begun()): None}
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


def test_every_order_of_a_change_and_a_loss() -> None:
    assert search(DEPTH, 400_000) > 1000


def test_the_search_finds_an_acknowledgement_without_the_backup(monkeypatch: pytest.MonkeyPatch) -> None:
    replicate = Replica._replicate

    def at_once(self: Replica, now: float) -> None:
        replicate(self, now)
        self._kept_twice(now)

    monkeypatch.setattr(Replica, "_replicate", at_once)
    with pytest.raises(AssertionError):
        search(4, 50_000)
