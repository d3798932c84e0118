"""The store's files after a loss of power, a missing part, an older program; and that they don't grow.

The rules: a file that is synced lasts; each name that was made, renamed or removed since its folder was synced
is there or not, by itself; each write after the last sync is there, torn or missing.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import random
import shutil
import sqlite3
from hashlib import blake2b
from pathlib import Path

import pytest
from msgspec.structs import fields

from troutdock.rpc.messages import Record
from troutdock.config_store import storage
from troutdock.config_store.storage import (
    FILE,
    MAX_HISTORY_BYTES,
    MAX_WAL_BYTES,
    WAL_MARKER,
    Disk,
    DiskError,
    upgrade_record_v1,
)
from troutdock.config_store.replica import DurableState

WAL = FILE + "-wal"
Files = dict[str, bytes]


def kept(number: int, size: int = 300) -> DurableState:
    """Two saves of each body: every other one changes only what was promised."""
    return DurableState(
        number,
        None,
        number // 2,
        b"%d:" % number + b"x" * size if number // 2 else b"",
        ("a", "b"),
        False,
        1,
        ((number, "d"),),
    )


def state(number: int, size: int = 300) -> DurableState:
    whole = kept(number, size)
    body = kept(number // 2 * 2, size).body
    return DurableState(number, None, whole.version, body, whole.voters, False, 1, whole.taken)


def files(folder: Path) -> Files:
    return {p.name: p.read_bytes() for p in folder.iterdir()}


def opened(folder: Path, found: Files) -> DurableState | None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    for name, data in found.items():
        (folder / name).write_bytes(data)
    disk = Disk(folder)
    try:
        return disk.open()
    finally:
        disk.close()


def torn(before: bytes, after: bytes, dice: random.Random) -> bytes:
    """Some of the writes that led from one to the other, by sectors; a log's new head is synced before its frames."""
    out = bytearray(before)
    if before[:32] != after[:32] and before:
        out[:32] = after[:32]
    if dice.random() < 0.3:
        out = (
            out[: max(32, min(len(out), dice.randrange(len(after) + 1)))] if len(before) > len(after) else out
        )
    for at in range(0, len(after), 512):
        if dice.random() < dice.choice((0.1, 0.5, 0.95)):
            if len(out) < at:
                out += bytes(at - len(out))
            out[at : at + 512] = after[at : at + 512]
    return bytes(out)


def lived(folder: Path) -> list[tuple[Files, DurableState | None]]:
    """Files and what they hold, after each single step of a life: a commit, or a checkpoint."""
    disk = Disk(folder)
    assert disk.open() is None
    assert disk._db is not None
    disk._db.execute("PRAGMA wal_autocheckpoint = 0")
    steps: list[tuple[Files, DurableState | None]] = [(files(folder), None)]
    for number in range(1, 25):
        disk.save(state(number, 9000 if number % 5 == 0 else 300))
        last = state(number, 9000 if number % 5 == 0 else 300)
        steps.append((files(folder), last))
        if number % 4 == 0:
            disk._db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchall()
            steps.append((files(folder), last))
    disk.close()
    steps.append((files(folder), last))
    return steps


def test_power_lost_at_any_step_leaves_the_last_state_or_the_one_under_way(tmp_path: Path) -> None:
    steps, dice = lived(tmp_path / "life"), random.Random(5)
    seen = set()
    for (before, old), (after, new) in itertools.pairwise(steps[:-1]):
        changed = [name for name in after if before.get(name) != after[name]]
        assert len(changed) <= 1 and set(before) == set(after) == {FILE, WAL, WAL_MARKER}, changed
        for _ in range(12):
            cut = {
                name: torn(before[name], after[name], dice) if name in changed else after[name]
                for name in after
            }
            found = opened(tmp_path / "cut", cut)
            assert found in (old, new)
            seen.add(found == new)
        assert opened(tmp_path / "cut", after) == new
    assert seen == {True, False}


def test_a_store_that_misses_a_part_counts_as_lost_and_never_as_an_older_one(tmp_path: Path) -> None:
    for found, last in lived(tmp_path / "life"):
        for name in found:
            left = {n: d for n, d in found.items() if n != name}
            result = opened(tmp_path / "cut", left)
            if name == WAL_MARKER:
                assert result == last
            else:
                assert result is None
        if WAL in found:
            assert opened(tmp_path / "cut", {**found, WAL: b""}) is None


def watched(folder: Path, monkeypatch: pytest.MonkeyPatch) -> list[Files]:
    """The folder at each of its syncs."""
    found: list[Files] = []
    true = storage._fsync_directory

    def sync(which: Path) -> None:
        true(which)
        if which == folder:
            found.append(files(folder))

    monkeypatch.setattr(storage, "_fsync_directory", sync)
    return found


def between(before: Files, after: Files) -> list[Files]:
    """Each changed file as before or after; sqlite takes a log away only once the database is synced with all of it."""
    changed = [n for n in {*before, *after} if before.get(n) != after.get(n)]
    out = []
    for chosen in itertools.product((before, after), repeat=len(changed)):
        mix = {n: d for n, d in after.items() if n not in changed}
        mix.update({n: c[n] for n, c in zip(changed, chosen, strict=True) if n in c})
        if WAL in mix or WAL in after or WAL not in before or mix.get(FILE) == after.get(FILE):
            out.append(mix)
    return out


def test_an_end_in_order_and_a_new_start_keep_the_state_through_any_loss_of_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "life"
    disk = Disk(folder)
    disk.open()
    disk.save(state(6))
    points = [files(folder), *watched(folder, monkeypatch)]
    watch = watched(folder, monkeypatch)
    disk.close()
    disk.open()
    points += watch
    assert len(points) >= 5
    disk._db = None
    monkeypatch.undo()
    tried = 0
    for before, after in itertools.pairwise(points):
        for mix in between(before, after):
            assert opened(tmp_path / "cut", mix) == state(6), sorted(mix)
            tried += 1
    assert tried > len(points)


def test_a_set_aside_store_never_comes_back_as_an_older_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "life"
    steps = lived(tmp_path / "other")
    found, _ = steps[14]
    assert WAL in found
    bad = {**found, WAL: b""}  # damaged: the database in it holds an older state
    folder.mkdir()
    for name, data in bad.items():
        (folder / name).write_bytes(data)
    watch = watched(folder, monkeypatch)
    disk = Disk(folder)
    assert disk.open() is None and disk.quarantined is not None
    points = [bad, *watch]
    disk._db = None
    monkeypatch.undo()
    for before, after in itertools.pairwise(points):
        for mix in between(before, after):
            assert opened(tmp_path / "cut", mix) is None, sorted(mix)


def test_only_one_damaged_file_stays(tmp_path: Path) -> None:
    for _ in range(4):
        (tmp_path / FILE).write_bytes(b"no store" * 1000)
        disk = Disk(tmp_path)
        assert disk.open() is None
        disk.save(state(3))
        disk.close()
        assert len(list(tmp_path.glob("*.damaged*"))) == 1
    assert (tmp_path / "rootstock.damaged4").exists()


@pytest.mark.parametrize(
    "statements",
    [
        [],
        ["CREATE TABLE state (only INTEGER)"],
        ["PRAGMA user_version = 1"],
        ["PRAGMA user_version = 2"],
        ["CREATE TABLE state (only INTEGER)", "PRAGMA user_version = 2"],
    ],
)
def test_a_half_made_schema_or_an_empty_file_counts_as_lost(tmp_path: Path, statements: list[str]) -> None:
    base = sqlite3.connect(tmp_path / FILE)
    for statement in statements:
        base.execute(statement)
    base.commit()
    base.close()
    disk = Disk(tmp_path)
    assert disk.open() is None
    disk.save(state(4))
    disk.close()
    assert Disk(tmp_path).open() == state(4)


def test_an_old_log_beside_no_database_is_let_go(tmp_path: Path) -> None:
    found, _ = lived(tmp_path / "life")[14]
    for base in ({}, {FILE: b""}):
        assert opened(tmp_path / "cut", {**base, WAL: found[WAL]}) is None


# ---- bounds


def size(folder: Path) -> int:
    return sum(p.stat().st_size for p in folder.iterdir())


def test_a_thousand_small_changes_leave_the_files_as_they_were(tmp_path: Path) -> None:
    disk, sizes = Disk(tmp_path), []
    disk.open()
    for number in range(2, 1002):
        disk.save(DurableState(5, None, number, b"%d" % number + b"x" * 5000, ("a",), False, 4))
        sizes.append(size(tmp_path))
    assert max(sizes[500:]) <= max(sizes[:500]) < MAX_HISTORY_BYTES
    disk.close()
    assert size(tmp_path) < 500_000


def test_twenty_large_changes_are_bounded_in_bytes_and_the_newest_stays(tmp_path: Path) -> None:
    disk, sizes = Disk(tmp_path), []
    disk.open()
    for number in range(2, 22):
        last = DurableState(5, None, number, b"%d" % number + b"x" * 11_000_000, ("a",), False, 4)
        disk.save(last)
        sizes.append(size(tmp_path))
    disk.save(DurableState(6, None, 21, last.body, ("a",), False, 4))
    assert (tmp_path / WAL).stat().st_size <= MAX_WAL_BYTES
    assert max(sizes[5:]) <= max(sizes[:5]) < MAX_HISTORY_BYTES + 35_000_000
    disk.close()
    found = Disk(tmp_path)
    assert found.open() == DurableState(6, None, 21, last.body, ("a",), False, 4)
    assert (
        found._db is not None and found._db.execute("SELECT count(*) FROM configurations").fetchone()[0] == 3
    )
    found.close()


def test_a_body_is_written_only_when_it_is_another(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.open()
    body = b"x" * 2_000_000
    disk.save(DurableState(1, None, 3, body, ("a",), False, 1))
    before = (tmp_path / WAL).stat().st_size
    for promised in range(3, 30):
        disk.save(DurableState(promised, None, 3, bytes(bytearray(body)), ("a",), False, 1))
    assert (tmp_path / WAL).stat().st_size - before <= 27 * 4120  # a page of the state for each
    other = DurableState(30, None, 3, b"another of this number", ("a",), False, 1)
    disk.save(other)
    disk.close()
    assert Disk(tmp_path).open() == other


# ---- schema 1

SCHEMA_1 = (
    "CREATE TABLE state (only INTEGER PRIMARY KEY CHECK (only = 1), promised INTEGER NOT NULL, record TEXT,"
    " version INTEGER NOT NULL, voters TEXT NOT NULL, blank INTEGER NOT NULL, given INTEGER NOT NULL, mark TEXT NOT NULL)",
    "CREATE TABLE configurations (version INTEGER PRIMARY KEY, body BLOB NOT NULL, epoch INTEGER NOT NULL, mark TEXT NOT NULL)",
    "PRAGMA user_version = 1",
)


def mark_1(*values: object) -> str:
    return blake2b(repr(values).encode(), digest_size=12).hexdigest()


def schema_1(folder: Path, record: str | None, spoil: str = "") -> None:
    base = sqlite3.connect(folder / FILE, isolation_level=None)
    base.execute("PRAGMA journal_mode = WAL")
    for statement in SCHEMA_1:
        base.execute(statement)
    for version in (8, 9):
        body = b'{"v":%d}' % version
        base.execute(
            "INSERT INTO configurations VALUES (?, ?, 4, ?)",
            (version, body, mark_1(version, body + spoil.encode())),
        )
    row = (5, record, 9, '["a","b"]', 0, 4)
    base.execute("INSERT INTO state VALUES (1, ?, ?, ?, ?, ?, ?, ?)", (*row, mark_1(*row)))
    base.close()


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ('[4,"a","b",["a"],[]]', [4, "a", ["b"], ["a"], []]),
        ('[4,"a","",[],["c"]]', [4, "a", [], [], ["c"]]),
        ('[4,"a",["b","c"],[],[]]', [4, "a", ["b", "c"], [], []]),
        ('[4,"a","b"]', [4, "a", ["b"]]),
    ],
)
def test_a_record_of_schema_1_names_a_list_of_backups(tmp_path: Path, before: str, after: list) -> None:
    assert json.loads(upgrade_record_v1(before) or "") == after
    schema_1(tmp_path, before)
    disk = Disk(tmp_path)
    # where Record still has one backup, the file is brought up to schema 2 and can't be taken in afterwards
    one = "backup" in [f.name for f in fields(Record)]
    with contextlib.suppress(DiskError) if one else contextlib.nullcontext():
        disk.open()
    disk.close()
    assert disk.quarantined is None
    base = sqlite3.connect(tmp_path / FILE)
    record, taken = base.execute("SELECT record, taken FROM state").fetchone()
    assert (
        json.loads(record) == after
        and taken == "[]"
        and base.execute("PRAGMA user_version").fetchone() == (2,)
    )
    base.close()


def test_a_file_of_schema_1_is_read_whole(tmp_path: Path) -> None:
    assert upgrade_record_v1(None) is None
    schema_1(tmp_path, None)
    for _ in range(2):
        disk = Disk(tmp_path)
        assert disk.open() == DurableState(5, None, 9, b'{"v":9}', ("a", "b"), False, 4, ())
        assert disk._db is not None and disk._db.execute(
            "SELECT count(*) FROM configurations"
        ).fetchone() == (2,)
        disk.close()


def test_a_spoilt_file_of_schema_1_is_set_aside(tmp_path: Path) -> None:
    schema_1(tmp_path, None, "spoilt")
    disk = Disk(tmp_path)
    assert disk.open() is None and disk.quarantined is not None


def test_a_spoilt_state_of_schema_1_is_set_aside(tmp_path: Path) -> None:
    schema_1(tmp_path, None)
    base = sqlite3.connect(tmp_path / FILE)
    base.execute("UPDATE state SET promised = 4")
    base.commit()
    base.close()
    disk = Disk(tmp_path)
    assert disk.open() is None and disk.quarantined is not None


def test_each_commit_is_synced(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.open()
    assert disk._db is not None
    assert disk._db.execute("PRAGMA synchronous").fetchone() == (2,)  # FULL: the log, with each commit
    assert disk._db.execute("PRAGMA journal_mode").fetchone() == ("wal",)
    disk.close()
