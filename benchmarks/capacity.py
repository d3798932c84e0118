"""The size to design for: what each role holds, says and spends at each size, as slopes; what breaks first.

    python -m benchmarks.capacity --json benchmarks/capacity.json --page docs/CAPACITY.md
    python -m benchmarks.capacity --given benchmarks/capacity.json --page docs/CAPACITY.md   only the tables

The daemons' own state machines run as hollow processes in simulated time (benchmarks/hollow: core.py the
core and its followers, zone.py what ingresses tell one another, ingress.py one ingress in full), and the
real programs over loopback at a few sizes (real.py). A size that would not fit into half of the machine's
memory is refused.
"""

from __future__ import annotations

import os
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

sys.path[:0] = [str(Path(__file__).parent.parent)]

from benchmarks.hollow import real, report, story, zone  # noqa: E402
from benchmarks.hollow.town import machine_mb, memory_mb, size_of  # noqa: E402

SIZES = "30,100,300,1000,2200"
BASE_MB, EACH_MB, SQUARE_MB = 60.0, 0.42, 3e-5  # of a run by ingresses: a half more than runs have taken


class TooMuch(RuntimeError):
    """The run holds more than half of the machine's memory."""


def needs_mb(ingresses: int) -> float:
    """Megabytes that a run at this size is expected to hold at most."""
    return BASE_MB + EACH_MB * ingresses + SQUARE_MB * ingresses**2


def most_ingresses(allowed_mb: float) -> int:
    """The largest size that fits."""
    low, high = 0, 1 << 20
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if needs_mb(middle) <= allowed_mb else (low, middle)
    return low


def seconds_of(ingresses: int) -> float:
    """Simulated seconds of ingresses' talk that are counted: whole rounds of what homes tell."""
    return min(1.0, max(0.24, round(400 / ingresses / 0.08) * 0.08))


def measure(ingresses: int, seed: int, allowed_mb: float, say: Any = lambda _: None) -> dict[str, Any]:
    """Figures at one size; TooMuch where memory runs out on the way."""
    size, began, most = size_of(ingresses), time.monotonic(), [0.0]

    def keep() -> None:
        most[0] = max(most[0], memory_mb())
        if most[0] > allowed_mb:
            raise TooMuch(f"{ingresses} ingresses: {most[0]:.0f} MB held, {allowed_mb:.0f} allowed")

    found = {
        **asdict(size),
        "core": story.run(size, seed, keep, say),
        "zone": zone.run(size, seed, seconds_of(ingresses), keep, say),
    }
    keep()
    return {**found, "times": {"took s": time.monotonic() - began, "MB": most[0]}}


def main(
    sizes: Annotated[str, typer.Option(help="Numbers of ingresses.")] = SIZES,
    seed: Annotated[int, typer.Option(help="The same one gives the same figures, but for times.")] = 1,
    json: Annotated[Path | None, typer.Option(help="Where all figures go.")] = None,
    page: Annotated[Path | None, typer.Option(help="A page whose tables are written anew.")] = None,
    given: Annotated[Path | None, typer.Option(help="Take the figures from there in place of a run.")] = None,
    real_sizes: Annotated[
        str, typer.Option("--real", help="Ingresses of real programs; empty: none.")
    ] = "10,20,30",
) -> None:
    """Measure, fit, and write tables."""
    if given is not None:
        data = msgspec.json.decode(given.read_bytes())
    else:
        data = _measured(
            [int(n) for n in sizes.split(",")], seed, [int(n) for n in real_sizes.split(",") if n]
        )
    _keep(json, data)
    if page is not None:
        page.write_text(report.onto(page.read_text(encoding="utf-8"), data), encoding="utf-8")
    for part in report.PARTS.values():
        typer.echo(part(data) + "\n")


def _keep(json: Path | None, data: dict[str, Any]) -> None:
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(data), indent=1) + b"\n")


def _measured(sizes: list[int], seed: int, real_sizes: list[int], json: Path | None = None) -> dict[str, Any]:
    """All figures; each size goes to the file once it is there, so that a run that is stopped leaves it."""
    allowed = machine_mb() / 2
    for ingresses in sizes:
        if (needs := needs_mb(ingresses)) > allowed:
            fits = most_ingresses(allowed)
            typer.echo(
                f"{ingresses} ingresses need some {needs:,.0f} MB, over half of this machine's "
                f"{machine_mb():,.0f}; {fits} would fit",
                err=True,
            )
            raise typer.Exit(2)
    began = time.monotonic()
    data: dict[str, Any] = {"seed": seed, "sizes": sizes, "results": [], "real": []}
    for ingresses in sizes:

        def say(what: str, ingresses: int = ingresses) -> None:
            typer.echo(
                f"{time.monotonic() - began:6.0f} s {memory_mb():6.0f} MB  {ingresses}: {what}", err=True
            )

        try:
            data["results"].append(measure(ingresses, seed, allowed, say))
        except TooMuch as error:
            typer.echo(f"Stopped: {error}", err=True)
            raise typer.Exit(1) from error
        _keep(json, data)
    for ingresses in real_sizes:
        typer.echo(f"{time.monotonic() - began:6.0f} s  real programs: {ingresses}", err=True)
        data["real"].append(real.run(ingresses, seed))
        _keep(json, data)
    return data


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":  # the order of sets decides the numbers of names on the wire
        again = [sys.executable, __file__, *sys.argv[1:]]
        os.execve(sys.executable, again, {**os.environ, "PYTHONHASHSEED": "0"})
    typer.run(main)
