"""Measures memory, traffic and processor time of each role at several sizes and extrapolates to the target.

    python -m benchmarks.capacity --json benchmarks/capacity.json --page docs/CAPACITY.md
    python -m benchmarks.capacity --given benchmarks/capacity.json --page docs/CAPACITY.md   tables only

The daemons' own state machines run in simulated time (benchmarks/hollow: core.py has the core and its
followers, zone.py the load exchange between ingresses, ingress.py one complete ingress). The real programs
run over loopback at a few sizes (real.py). A size that would need more than half of the machine's memory is
rejected.
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

from benchmarks.hollow import real, report, scenario, zone  # noqa: E402
from benchmarks.hollow.model import machine_mb, memory_mb, size_of  # noqa: E402

SIZES = "30,100,300,1000,2200"
# memory of a run by number of ingresses: 1.5 times that of past runs
BASE_MB, EACH_MB, SQUARE_MB = 60.0, 0.42, 3e-5


class MemoryLimitExceeded(RuntimeError):
    """The run uses more than half of the machine's memory."""


def needs_mb(ingresses: int) -> float:
    """Returns the expected peak memory of a run at this size, in megabytes."""
    return BASE_MB + EACH_MB * ingresses + SQUARE_MB * ingresses**2


def most_ingresses(allowed_mb: float) -> int:
    """Returns the largest number of ingresses that fits into the allowed memory."""
    low, high = 0, 1 << 20
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if needs_mb(middle) <= allowed_mb else (low, middle)
    return low


def seconds_of(ingresses: int) -> float:
    """Returns the simulated seconds of load exchange to count: whole rounds between owner nodes."""
    return min(1.0, max(0.24, round(400 / ingresses / 0.08) * 0.08))


def measure(
    ingresses: int, seed: int, allowed_mb: float, report_progress: Any = lambda _: None
) -> dict[str, Any]:
    """Returns the figures at one size.

    Raises:
        MemoryLimitExceeded: the run uses more than allowed_mb.
    """
    size, began, peak_mb = size_of(ingresses), time.monotonic(), [0.0]

    def check_memory() -> None:
        peak_mb[0] = max(peak_mb[0], memory_mb())
        if peak_mb[0] > allowed_mb:
            raise MemoryLimitExceeded(
                f"{ingresses} ingresses: {peak_mb[0]:.0f} MB used, {allowed_mb:.0f} allowed"
            )

    found = {
        **asdict(size),
        "core": scenario.run(size, seed, check_memory, report_progress),
        "zone": zone.run(size, seed, seconds_of(ingresses), check_memory, report_progress),
    }
    check_memory()
    return {**found, "times": {"took s": time.monotonic() - began, "MB": peak_mb[0]}}


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
    """Measures the sizes, fits the figures, and writes the tables."""
    if given is not None:
        data = msgspec.json.decode(given.read_bytes())
    else:
        data = _measured(
            [int(n) for n in sizes.split(",")], seed, [int(n) for n in real_sizes.split(",") if n]
        )
    _save(json, data)
    if page is not None:
        page.write_text(report.update_page(page.read_text(encoding="utf-8"), data), encoding="utf-8")
    for part in report.PARTS.values():
        typer.echo(part(data) + "\n")


def _save(json: Path | None, data: dict[str, Any]) -> None:
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(data), indent=1) + b"\n")


def _measured(sizes: list[int], seed: int, real_sizes: list[int], json: Path | None = None) -> dict[str, Any]:
    """Measures all sizes; each result is saved as soon as it exists, so that an interrupted run keeps it."""
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

        def report_progress(what: str, ingresses: int = ingresses) -> None:
            typer.echo(
                f"{time.monotonic() - began:6.0f} s {memory_mb():6.0f} MB  {ingresses}: {what}", err=True
            )

        try:
            data["results"].append(measure(ingresses, seed, allowed, report_progress))
        except MemoryLimitExceeded as error:
            typer.echo(f"Stopped: {error}", err=True)
            raise typer.Exit(1) from error
        _save(json, data)
    for ingresses in real_sizes:
        typer.echo(f"{time.monotonic() - began:6.0f} s  real programs: {ingresses}", err=True)
        data["real"].append(real.run(ingresses, seed))
        _save(json, data)
    return data


if __name__ == "__main__":
    # the order of sets determines the numbers of names on the wire
    if os.environ.get("PYTHONHASHSEED") != "0":
        again = [sys.executable, __file__, *sys.argv[1:]]
        os.execve(sys.executable, again, {**os.environ, "PYTHONHASHSEED": "0"})
    typer.run(main)
