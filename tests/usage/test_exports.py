"""Exports: a crash at each step, injected faults, a faulty consumer, and the commands."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from troutdock.cli.app import app
from troutdock.usage.consumer import Consumer, Deliveries
from troutdock.usage.delivery import (
    REJECTED_RETRY_MS,
    MAX_RETRY_MS,
    RetrySchedule,
    DeliveryResult,
    classify_response,
)
from troutdock.usage.exporter import Exporter
from troutdock.usage.files import Files
from troutdock.usage.memory import MemoryStore
from troutdock.usage.store import Store, StoreError
from troutdock.usage.record import Batch, Record, State, Use
from troutdock.usage.sqlite import SqliteStore
from troutdock.usage.verify import reconcile, verify


def add_records(
    store: Store, incarnation: int, first: int, last: int, reserved: int = 0, customer: int = 9
) -> float:
    """Adds GIVEN records, of n units for number n; returns the sum of units."""
    rows = tuple(
        Record(
            incarnation, n, Use(customer + n % 3, "plus", "ledger-read", float(n), 1000.0 + n), State.GIVEN
        )
        for n in range(first, last + 1)
    )
    store.commit(Batch(incarnation, rows, (), max(reserved, last)))
    return sum(r.use.units for r in rows)


class SimulatedCrash(Exception):
    """Simulates the end of the process."""


class CrashingProxy:
    """Forwards calls and simulates a crash before or after the n-th of them."""

    def __init__(self, inner: Any, names: tuple[str, ...], left: list[int], before: bool) -> None:
        self._inner, self._names, self._left, self._before = inner, names, left, before

    def __getattr__(self, name: str) -> Any:
        what = getattr(self._inner, name)
        if name not in self._names:
            return what

        def call(*args: Any) -> Any:
            self._left[0] -= 1
            if self._left[0] == 0 and self._before:
                raise SimulatedCrash(name)
            done = what(*args)
            if self._left[0] == 0:
                raise SimulatedCrash(name)
            return done

        return call


class CrashingFiles(Files):
    """A folder with a possible crash at each operation."""

    def __init__(self, folder: Path, step: Callable[[Callable[[], None]], None]) -> None:
        super().__init__(folder)
        self._step = step

    def sync(self, path: Path) -> None:
        self._step(lambda: super(CrashingFiles, self).sync(path))

    def rename(self, old: Path, new: Path) -> None:
        self._step(lambda: super(CrashingFiles, self).rename(old, new))

    def remove(self, name: str) -> None:
        self._step(lambda: super(CrashingFiles, self).remove(name))


def make_ledger(folder: Path) -> tuple[SqliteStore, float]:
    """Creates three incarnations: one ended, one crashed with unknown numbers, one running."""
    store = SqliteStore(folder)
    total = add_records(store, store.begin(0.0), 1, 7)
    store.end(1)
    dead = SqliteStore(folder)
    total += add_records(dead, dead.begin(1.0), 1, 4, reserved=9)
    dead.close()
    return store, total + add_records(store, store.begin(2.0), 1, 6)


@pytest.mark.parametrize("before", [True, False])
def test_crash_at_any_step_of_an_export_neither_loses_nor_duplicates_records(
    tmp_path: Path, before: bool
) -> None:
    for step in range(1, 200):
        folder = tmp_path / f"{before}-{step}"
        store, total = make_ledger(folder)
        left = [step]

        def take(does: Callable[[], None], left: list[int] = left) -> None:
            left[0] -= 1
            if left[0] == 0 and before:
                raise SimulatedCrash
            does()
            if left[0] == 0:
                raise SimulatedCrash

        crashed = False
        crashing_store = CrashingProxy(store, ("select", "record_export", "recover", "exports"), left, before)
        exporter = Exporter("n0", crashing_store, CrashingFiles(folder / "exports", take))  # type: ignore[arg-type]
        try:
            exporter.run(5.0, max_rows=5)
        except SimulatedCrash:
            crashed = True
        Exporter("n0", store, Files(folder / "exports")).run(6.0, max_rows=5)
        verdict = verify(Files(folder / "exports"))
        assert not verdict.faults, (step, verdict.faults)
        assert verdict.units == {"GIVEN": total} and verdict.rows == 17 and verdict.unknown == 5
        store.close()
        if not crashed:
            break
    assert step > 20  # a crash at each of the steps


def faults_after(tmp_path: Path, inject: Callable[[MemoryStore], None]) -> list[str]:
    store = MemoryStore()
    exporter = Exporter("n0", store, Files(tmp_path))
    add_records(store, store.begin(0.0), 1, 10)
    exporter.run(1.0)
    inject(store)
    add_records(store, 1, 11, 20)
    exporter.run(2.0)
    return verify(Files(tmp_path)).faults


@pytest.mark.parametrize(
    ("by", "expected"), [(-3, "8 to 10 are exported twice"), (4, "11 to 14 are in no export"), (0, "")]
)
def test_verify_finds_duplicates_and_gaps(tmp_path: Path, by: int, expected: str) -> None:
    def inject(store: MemoryStore) -> None:
        store._of[1].exported += by

    faults = faults_after(tmp_path, inject)
    assert len(faults) == bool(expected) and all(
        expected in fault and "usage-n0-00000002" in fault for fault in faults
    )


def rewrite(path: Path, change: Callable[[dict[str, Any]], None]) -> None:
    raw = json.loads(path.read_bytes())
    change(raw)
    path.write_text(json.dumps(raw))


@pytest.mark.parametrize(
    ("damage", "expected"),
    [
        (lambda f: (f / "usage-n0-00000002.json").unlink(), "export 2 of n0 is missing"),
        (lambda f: (f / "usage-n0-00000002.parquet").unlink(), "No such file"),
        (lambda f: (f / "usage-n0-00000002.parquet").write_bytes(b"PAR1"), "not a valid export"),
        (lambda f: (f / "usage-n0-00000002.json").write_bytes(b"{}"), "not a manifest"),
        (
            lambda f: rewrite(f / "usage-n0-00000002.json", lambda m: m["sums"][0].update(units=1e6)),
            "the sums differ",
        ),
        (
            lambda f: rewrite(f / "usage-n0-00000001.json", lambda m: m.update(closed_ms=0)),
            "does not match the digest of the previous export",
        ),
        (
            lambda f: rewrite(f / "usage-n0-00000001.json", lambda m: m.update(format=9)),
            "a manifest of format 9",
        ),
    ],
)
def test_verify_finds_modified_exports(
    tmp_path: Path, damage: Callable[[Path], object], expected: str
) -> None:
    store, _ = make_ledger(tmp_path)
    Exporter("n0", store, Files(tmp_path / "exports")).run(1.0, max_rows=5)
    assert not verify(Files(tmp_path / "exports")).faults
    damage(tmp_path / "exports")
    assert any(expected in fault for fault in verify(Files(tmp_path / "exports")).faults)
    store.close()


def test_export_lock_and_invalid_manifest_stop_an_export(tmp_path: Path) -> None:
    store, _ = make_ledger(tmp_path)
    exporter = Exporter("n0", store, Files(tmp_path / "exports"))
    with exporter.exclusive(), pytest.raises(StoreError, match="another process exports"):
        exporter.run(1.0)
    (tmp_path / "exports" / "usage-n0-00000001.json").write_bytes(b"{}")
    with pytest.raises(StoreError, match=r"usage-n0-00000001.json: not a manifest"):
        exporter.run(1.0)
    store.close()


# ---- the consumer

ResponseScript = Callable[
    [str, bytes, str], tuple[int, bytes]
]  # name, body, digest -> response; status 0: none


@contextmanager
def consumer(script: ResponseScript) -> Iterator[str]:
    class Handler(BaseHTTPRequestHandler):
        def do_PUT(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"]))
            status, answer = script(self.path, body, self.headers["Idempotency-Key"])
            if status:
                self.send_response(status)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)
            else:
                self.close_connection = True

        def log_message(self, *args: object) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}/usage"
    finally:
        server.shutdown()
        server.server_close()


def test_faulty_consumer_receives_each_export_once_and_in_order(tmp_path: Path) -> None:
    store, total = make_ledger(tmp_path)
    files = Files(tmp_path / "exports")
    exporter = Exporter("n0", store, files)
    exporter.run(1.0, max_rows=6)
    booked: dict[str, float] = {}
    order: list[str] = []
    faulty_responses = iter(
        [(0, b""), (500, b""), (200, b"thanks"), (200, b'{"acknowledged":"somebody else"}')]
        + [(503, b"")] * 3
    )

    def book(path: str, body: bytes, digest: str) -> tuple[int, bytes]:
        if not path.endswith(".json"):
            return 204, b""
        wrong = next(faulty_responses, None)
        if wrong is not None and wrong[0] != 503:
            return wrong
        known = digest in booked
        booked[digest] = sum(s["units"] for s in json.loads(body)["sums"])
        order.append(path)
        if wrong is not None:
            return wrong  # booked, but the response is lost: the next one is 409
        return (409 if known else 201), json.dumps({"acknowledged": digest}).encode()

    logged: list[str] = []
    now = [0.0]
    with consumer(book) as url:
        deliveries = Deliveries(
            store, files, Consumer(url, response_timeout_ms=2000), Random(1), logged.append
        )
        for _ in range(20):
            deliveries.run(lambda: now[0])
            now[0] = max(now[0], deliveries.schedule.due_at)
    assert all(e.acknowledged for e in store.exports()) and len(booked) == 3
    assert sum(booked.values()) == total and order == sorted(order)
    assert any("acknowledges 'somebody el" in line for line in logged)
    verdict = verify(files)
    lines = [json.dumps({"manifest": d, "units": u}).encode() for d, u in booked.items()]
    assert reconcile(verdict, lines) == []
    assert len(reconcile(verdict, [*lines[1:], lines[1], b'{"manifest":"zz","units":1}'])) == 3
    with pytest.raises(ValueError, match="line 1"):
        reconcile(verdict, [b"{}"])
    assert exporter.retain(2.0, keep_ms=5.0) == [] and exporter.retain(9.0, keep_ms=5.0) != []
    add_records(store, 3, 7, 9)
    exporter.run(10.0)
    assert exporter.retain(99.0, keep_ms=5.0) == []  # the new export is not acknowledged
    assert not verify(files).faults
    store.close()


@pytest.mark.parametrize(
    ("status", "body", "verdict"),
    [
        (200, b'{"acknowledged":"d"}', DeliveryResult.DELIVERED),
        (409, b'{"acknowledged":"d"}', DeliveryResult.DELIVERED),
        (200, b"", DeliveryResult.RETRY),
        (409, b"{}", DeliveryResult.RETRY),
        (200, b'{"acknowledged":"x"}', DeliveryResult.REJECTED),
        (0, b"", DeliveryResult.RETRY),
        (429, b"", DeliveryResult.RETRY),
        (500, b"", DeliveryResult.RETRY),
        (400, b"", DeliveryResult.REJECTED),
        (302, b"", DeliveryResult.RETRY),
    ],
)
def test_only_a_response_with_the_digest_acknowledges(
    status: int, body: bytes, verdict: DeliveryResult
) -> None:
    assert classify_response(status, body, "d")[0] is verdict


@given(st.lists(st.sampled_from(list(DeliveryResult)), max_size=40), st.integers(0, 99))
def test_retry_delays_are_bounded_and_zero_after_a_delivery(course: list[DeliveryResult], seed: int) -> None:
    c, now = RetrySchedule(Random(seed)), 0.0
    for verdict in course:
        c.record_result(now, 1, verdict, 100.0)
        assert now <= c.due_at <= now + max(REJECTED_RETRY_MS, MAX_RETRY_MS + 100)
        assert (c.due_at == now) == (verdict is DeliveryResult.DELIVERED) and c.held == (
            verdict is DeliveryResult.REJECTED
        )
        now = c.due_at


@pytest.mark.parametrize("url", ["", "ftp://x/y", "http://", "http://h/x?y"])
def test_invalid_consumer_url_is_rejected(url: str) -> None:
    with pytest.raises(ValueError, match="not an http URL"):
        Consumer(url)


# ---- the commands


def run(*args: object) -> tuple[int, str]:
    result = CliRunner().invoke(app, [str(a) for a in args])
    return result.exit_code, result.output


def test_usage_commands(tmp_path: Path) -> None:
    store, total = make_ledger(tmp_path)
    store.close()
    code, output = run("usage", "export", tmp_path, "--ingress", "n0", "--rows", 8)
    assert code == 0 and output.count("usage-n0-") == 3
    code, output = run("usage", "verify", tmp_path)
    assert code == 0 and f"{total:g} given" in output and "0 faults" in output
    code, output = run("usage", "verify", tmp_path, "--json")
    assert json.loads(output)["rows"] == 17
    assert run("usage", "top", tmp_path, "--most", 1)[1].count("\n") == 1
    received = tmp_path / "received.jsonl"
    received.write_text("")
    assert run("usage", "reconcile", tmp_path, "--received", received)[0] == 1
    received.write_text("nonsense\n")
    code, output = run("usage", "reconcile", tmp_path, "--received", received)
    assert code == 2 and "line 1" in output
    (tmp_path / "exports" / "usage-n0-00000002.json").unlink()
    assert run("usage", "verify", tmp_path)[0] == 1
    assert run("usage", "verify", tmp_path / "nowhere")[0] == 2
    assert run("usage", "export", tmp_path / "exports", "--ingress", "n0")[0] == 2


def test_plan_commands_on_a_file(tmp_path: Path) -> None:
    file, account = tmp_path / "plans.jsonl", "0000000000000009"
    assert run("plans", "show", account, "--file", file)[1] == f"{account}: as its requests say\n"
    for plan, start in (("basis", "2026-01-01T00:00:00Z"), ("plus", "2026-06-01T00:00:00")):
        code, output = run(
            "plans", "assign", account, plan, "--file", file, "--from", start, "--id", plan, "--who", "eva"
        )
        assert code == 0 and f"{plan} from 2026-0" in output
    assert (
        run(
            "plans",
            "assign",
            account,
            "basis",
            "--file",
            file,
            "--from",
            "2026-01-01T00:00:00Z",
            "--id",
            "basis",
            "--who",
            "eva",
        )[0]
        == 0
    )
    code, output = run("plans", "show", account, "--file", file, "--at", "2026-02-01")
    assert output == f"{account}: basis, plus from 2026-06-01T00:00:00.000Z on\n"
    assert run("plans", "history", account, "--file", file)[1].count("\n") == 2
    for bad, named in (
        (("9", "basis"), "account"),
        ((account, "basis", "--from", "soon"), "isoformat"),
        ((account, "plus", "--id", "basis"), "is known as"),
    ):
        code, output = run("plans", "assign", *bad, "--file", file)
        assert code == 2 and named in output
    file.write_text(file.read_text() + "{}\n")
    code, output = run("plans", "history", account, "--file", file)
    assert code == 2 and "plans.jsonl:3" in output
