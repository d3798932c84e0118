"""Runs the scenario of the core at one size, phase by phase, and collects its figures."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from benchmarks.hollow.core import RESTART_STRIDE, CALM_S, Core
from benchmarks.hollow.model import CORE, Size


def run(
    size: Size,
    seed: int,
    check_memory: Callable[[], None] = lambda: None,
    report_progress: Callable[[str], None] = lambda _: None,
) -> dict[str, Any]:
    """Runs the whole scenario at one size; returns its figures, with processor times under "times"."""
    core = Core(size, seed, check_memory)
    spans: dict[str, float] = {}
    found: dict[str, Any] = {}

    def phase(name: str, seconds: float) -> None:
        report_progress(name)
        core.count.phase = name
        core.config_delivered_at = core.state_delivered_at = core.last_delivered_at = 0.0
        spans[name] = seconds

    phase("start", 4.0)
    core.start()
    core.time.run(4.0)
    found["start until all have it s"] = core.last_delivered_at
    # messages still queued on links from the start would delay the next phases
    core.out_free, core.in_free = [0.0] * CORE, [0.0] * CORE
    now = core.time.now
    phase("calm", CALM_S)
    core.time.run(now + CALM_S)
    now = core.time.now
    phase("drain", 3.0)
    core.set_backend_state(1, 1)
    core.time.run(now + 1.0)
    found["drain in force s"] = core.state_delivered_at - now
    core.time.run(now + 3.0)
    now = core.time.now
    core.count.phase = "first configuration"
    core.set_backend_state(1, 2)
    core.write(1)
    core.time.run(now + 30.0)
    core.out_free, core.in_free = [0.0] * CORE, [0.0] * CORE
    now = core.time.now
    phase("change", 30.0)
    found["configuration bytes"] = core.write(2)
    core.time.run(now + 30.0)
    found["change acknowledged s"], found["change in force s"] = (
        core.write_acked_at - now,
        core.config_delivered_at - now,
    )
    core.out_free, core.in_free = [0.0] * CORE, [0.0] * CORE
    found["state"] = core.state_sizes()
    now = core.time.now
    phase("one restart", 2.0)
    core.ingress_down(core.members[-1])
    core.time.run(now + 1.0)
    core.ingress_up(core.members[-1])
    core.time.run(now + 2.0)
    now = core.time.now
    phase("restarts at once", 3.0)
    restarted = core.members[::RESTART_STRIDE]
    for at, member in enumerate(restarted):
        core.time.at(now + at / len(restarted), lambda m=member: core.ingress_down(m))
        core.time.at(now + 1.0 + at / len(restarted), lambda m=member: core.ingress_up(m))
    core.time.run(now + 3.0)
    found["restarts at once"], found["restarts until all have it s"] = (
        len(restarted),
        max(0.0, core.last_delivered_at - now),
    )
    core.out_free, core.in_free = [0.0] * CORE, [0.0] * CORE
    now = core.time.now
    phase("zone lost", 70.0)
    core.lose_zone()
    core.time.run(now + 70.0)
    found["spans s"] = spans
    found["said"] = {
        f"{p} / {s} / {t}": [n, core.count.bytes[p, s, t]]
        for (p, s, t), n in sorted(core.count.messages.items())
    }
    found["connections"] = {
        "hedgerow": max(len(r.ingresses) for r in core.registries) + 2 * (CORE - 1) + CORE,
        "rootstock": CORE + 2 * (CORE - 1),
    }
    found["times"] = {"cpu s": {f"{p} / {r}": s for (p, r), s in sorted(core.count.cpu_s.items())}}
    return found
