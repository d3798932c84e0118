"""Measures registry traffic and processor time by number of ingresses, in simulated time.

    python benchmarks/control_plane.py 10 40 200 1000

The daemons' own state machine runs with four registries and two backends per ingress, which send heartbeats
every 1.5 s. All ingresses start within a second; then follow a drain and a configuration of 5 KB. Prints
the bytes of the start and its processor time per registry, the bytes per second to ingresses and between
registries when idle, and the time until the last registry sends the drain and the configuration to its
ingresses (1.4 ms one-way latency; transmission time is excluded).
"""

from __future__ import annotations

import heapq
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

sys.path[:0] = [str(Path(__file__).parent.parent)]

from troutdock.rpc.messages import Config, Instance, Instances, Member, encode  # noqa: E402
from troutdock.registry.registry import Registry, Send  # noqa: E402

ZONES, HEARTBEAT_S, BODY = 4, 1.5, b'{"revision":"r1","filler":"' + b"x" * 5000 + b'"}'
START_S, CALM_S, END_S = 3.0, 10.0, 12.0


class Core:
    """Four registries, their links, and followers that only receive."""

    def __init__(self, ingresses: int) -> None:
        self.now, self.number = 0.0, 0
        self.queue: list[tuple[float, int, Any]] = []
        self.registries = [Registry(0.0, HEARTBEAT_S, ip=f"r{n}") for n in range(ZONES)]
        self.bytes = {"followers": 0, "registries": 0}
        self.cpu = 0.0
        self.sent_at: dict[str, float] = {}  # by update: when the last registry sent it
        for n in range(ZONES):
            for m in range(ZONES):
                if n != m:
                    self.at(0.01, lambda n=n, m=m: self.connect(n, m))
        for i in range(ingresses):
            member = Member(f"edge-{i}", f"10.1.{i // 250}.{i % 250}", 7000, f"z{i % ZONES}", i)
            self.at(
                0.1 + 0.9 * i / ingresses,
                lambda i=i, m=member: self.run_actions(
                    i % ZONES, self.registries[i % ZONES].ingress_up(self.now, f"i{i}", m)
                ),
            )
        for b in range(2 * ingresses):
            self.heartbeat_at(b, 0, 0.05 + HEARTBEAT_S * b / (2 * ingresses))
        for n in range(ZONES):
            self.tick(n, 0.1)

    def connect(self, n: int, m: int) -> None:
        self.run_actions(n, self.registries[n].registry_up(self.now, m, f"r{m}", f"z{m}"))

    def at(self, due_at: float, callback: Any) -> None:
        self.number += 1
        heapq.heappush(self.queue, (due_at, self.number, callback))

    def heartbeat_at(self, b: int, count: int, due_at: float) -> None:
        address, zone = f"10.2.{b // 250}.{b % 250}:8000", f"z{b % ZONES}"
        instance = Instance(f"i-{b:08x}", f"service{b % 4}", address, zone, 2, 0)

        def call() -> None:
            self.run_actions(b % ZONES, self.registries[b % ZONES].heartbeat(self.now, instance, count)[1])
            self.heartbeat_at(b, count + 1, self.now + HEARTBEAT_S)

        self.at(due_at, call)

    def tick(self, n: int, due_at: float) -> None:
        def call() -> None:
            self.run_actions(n, self.registries[n].tick(self.now))
            self.tick(n, self.now + 0.1)

        self.at(due_at, call)

    def run_actions(self, n: int, actions: list[Any]) -> None:
        registry = self.registries[n]
        for action in actions:
            if not isinstance(action, Send):
                continue
            size = len(encode(action.message)) + 8
            if isinstance(action.to, int):
                self.bytes["registries"] += size
                to, message = action.to, action.message
                self.at(
                    self.now + 0.0014,
                    lambda to=to, message=message: self.run_actions(
                        to, self.registries[to].receive(self.now, n, message)
                    ),
                )
            else:
                self.bytes["followers"] += size * (len(registry.ingresses) if action.to is None else 1)
                if isinstance(action.message, Config):
                    self.sent_at["configuration"] = self.now
                if isinstance(action.message, Instances) and any(e.state for e in action.message.entries):
                    self.sent_at["drain"] = self.now

    def run(self, until: float) -> None:
        began = time.process_time()
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = until
        self.cpu += time.process_time() - began


def measure(ingresses: int) -> dict[str, float]:
    """Returns the figures at one size."""
    core = Core(ingresses)
    core.run(START_S)
    start, start_cpu = dict(core.bytes), core.cpu
    core.bytes, core.cpu = dict.fromkeys(core.bytes, 0), 0.0
    core.run(CALM_S)
    calm, cpu = dict(core.bytes), core.cpu
    instance = Instance("i-00000000", "service0", "10.2.0.0:8000", "z0", 2, 1)
    core.run_actions(0, core.registries[0].heartbeat(core.now, instance, 1000)[1])
    config = Config(1, msgspec.Raw(BODY))
    for n in range(ZONES):
        core.at(core.now + 0.0014, lambda n=n: core.run_actions(n, core.registries[n].apply_config(config)))
    began = core.now
    core.run(END_S)
    seconds = CALM_S - START_S
    return {
        "ingresses": ingresses,
        "start_MB": sum(start.values()) / 1e6,
        "start_cpu_s": start_cpu / ZONES,
        "to_ingresses_KB_s": calm["followers"] / seconds / 1000,
        "between_KB_s": calm["registries"] / seconds / 1000,
        "cpu_share": cpu / seconds / ZONES,
        "drain_ms": (core.sent_at["drain"] - began) * 1000,
        "configuration_ms": (core.sent_at["configuration"] - began) * 1000,
    }


if __name__ == "__main__":
    for size in map(int, sys.argv[1:] or ["10", "40", "200"]):
        print("  ".join(f"{name} {value:.2f}" for name, value in measure(size).items()), flush=True)
