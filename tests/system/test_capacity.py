"""The size to design for: the page's tables are the command's, and the command repeats and refuses."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
import typer

from benchmarks import capacity
from benchmarks.hollow import report, zone
from benchmarks.hollow.fit import crossing, curve, power
from benchmarks.hollow.model import configuration, size_of

ROOT = Path(__file__).parent.parent.parent


def test_the_pages_tables_are_those_that_the_command_wrote() -> None:
    data = json.loads((ROOT / "benchmarks" / "capacity.json").read_bytes())
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    assert report.update_page(page, data) == page
    assert len(data["sizes"]) >= 4 and data["sizes"] == [r["ingresses"] for r in data["results"]]


def test_a_page_without_marks_is_refused() -> None:
    with pytest.raises(ValueError, match="capacity"):
        report.update_page("nothing", {"seed": 1, "sizes": [], "results": []})


def test_the_same_seed_gives_the_same_table_but_for_times() -> None:
    def table() -> str:
        results = [capacity.measure(8, 7, 1e6)]
        return report.slopes({"seed": 7, "sizes": [8], "results": results}, timed=False)

    first = table()
    assert first == table()
    assert "one change: in force everywhere" in first and "processor" not in first
    spent, other = (zone.run(size_of(40), seed, 0.24)["sent a second"] for seed in (7, 8))
    assert spent != other


def test_a_size_that_does_not_fit_is_refused_with_one_that_would(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(typer.Exit) as refused:
        capacity._measured([4, 10_000_000], 1, [])
    assert refused.value.exit_code == 2
    said = capsys.readouterr().err
    fits = int(said.split("; ")[1].split()[0])
    half = capacity.machine_mb() / 2
    assert capacity.needs_mb(fits) <= half < capacity.needs_mb(fits + 1)
    assert "10000000 ingresses need" in said


def test_a_run_that_holds_too_much_stops_by_itself() -> None:
    with pytest.raises(capacity.MemoryLimitExceeded, match="4 ingresses"):
        capacity.measure(4, 1, allowed_mb=1.0)


def test_sizes_are_in_proportion_and_the_configuration_is_whole() -> None:
    size = size_of(22)
    assert (size.backends, size.services, size.routes, size.tenants) == (230, 4, 110, 990)
    body = json.loads(configuration(size, 3))
    assert body["revision"] == "r3"
    assert (len(body["routes"]["rows"]), len(body["tenants"]["rows"])) == (110, 990)
    assert len({key for row in body["tenants"]["rows"] for key in row[1]}) == 2 * 990


def test_fits_find_the_law_they_are_given() -> None:
    sizes = [30.0, 100.0, 300.0, 1000.0]
    law = power(sizes, [3 * n**1.5 for n in sizes])
    assert law is not None and law.exponent == pytest.approx(1.5) and law.factor == pytest.approx(3)
    assert law.residual == pytest.approx(0, abs=1e-9) and law.error == pytest.approx(0, abs=1e-9)
    bow = curve(sizes, [5 + 2 * n + 0.01 * n * n for n in sizes])
    assert bow is not None and (bow.a, bow.b, bow.c) == (
        pytest.approx(5),
        pytest.approx(2),
        pytest.approx(0.01),
    )
    assert power(sizes, [0, 1, 2, 3]) is None and curve(sizes[:3], [1, 2, 3]) is None


@pytest.mark.parametrize(("bound", "at"), [(0.5, 0.0), (4.0, 40.0), (100.0, 1000.0), (1e9, float("inf"))])
def test_where_a_bound_is_passed(bound: float, at: float) -> None:
    assert crossing([10, 30, 100], [1, 3, 10], bound) == pytest.approx(at)
