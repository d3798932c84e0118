"""What happens to the core at one size, one thing after the other, and the figures of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from benchmarks.hollow.core import AT_ONCE, CALM_S, Core
from benchmarks.hollow.town import CORE, Size


def run(
    size: Size,
    seed: int,
    keep: Callable[[], None] = lambda: None,
    say: Callable[[str], None] = lambda _: None,
) -> dict[str, Any]:
    """The whole story at one size: figures, and under "times" those of the processor."""
    core = Core(size, seed, keep)
    spans: dict[str, float] = {}
    found: dict[str, Any] = {}

    def phase(name: str, seconds: float) -> None:
        say(name)
        core.count.phase = name
        core.told_config = core.told_state = core.told_last = 0.0
        spans[name] = seconds

    phase("start", 4.0)
    core.start()
    core.time.run(4.0)
    found["start until all have it s"] = core.told_last
    # what waits on links at the start would stand before what comes after
    core.out_free, core.in_free = [0.0] * CORE, [0.0] * CORE
    now = core.time.now
    phase("calm", CALM_S)
    core.time.run(now + CALM_S)
    now = core.time.now
    phase("drain", 3.0)
    core.backend_says(1, 1)
    core.time.run(now + 1.0)
    found["drain in force s"] = core.told_state - now
    core.time.run(now + 3.0)
    now = core.time.now
    core.count.phase = "first configuration"
    core.backend_says(1, 2)
    core.write(1)
    core.time.run(now + 30.0)
    core.out_free, core.in_free = [0.0] * CORE, [0.0] * CORE
    now = core.time.now
    phase("change", 30.0)
    found["configuration bytes"] = core.write(2)
    core.time.run(now + 30.0)
    found["change acknowledged s"], found["change in force s"] = core.acked - now, core.told_config - now
    core.out_free, core.in_free = [0.0] * CORE, [0.0] * CORE
    found["state"] = core.states()
    now = core.time.now
    phase("one restart", 2.0)
    core.ingress_down(core.members[-1])
    core.time.run(now + 1.0)
    core.ingress_up(core.members[-1])
    core.time.run(now + 2.0)
    now = core.time.now
    phase("restarts at once", 3.0)
    again = core.members[::AT_ONCE]
    for at, member in enumerate(again):
        core.time.at(now + at / len(again), lambda m=member: core.ingress_down(m))
        core.time.at(now + 1.0 + at / len(again), lambda m=member: core.ingress_up(m))
    core.time.run(now + 3.0)
    found["restarts at once"], found["restarts until all have it s"] = (
        len(again),
        max(0.0, core.told_last - now),
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
