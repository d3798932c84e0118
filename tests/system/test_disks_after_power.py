"""Files of the store after a power loss, with a missing part or from an older version; and limits of their size.

Model of a disk: a synced file is durable; each name that was created, renamed or removed since the last fsync
of its directory may or may not be there, independently; each write after the last fsync is there, torn or
missing.
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


def durable_state(number: int, size: int = 300) -> DurableState:
    """State for a save; each body is saved twice, and the second save changes only the promise."""
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


def saved_state(number: int, size: int = 300) -> DurableState:
    full = durable_state(number, size)
    body = durable_state(number // 2 * 2, size).body
    return DurableState(number, None, full.version, body, full.voters, False, 1, full.taken)


def files(folder: Path) -> Files:
    return {p.name: p.read_bytes() for p in folder.iterdir()}


def open_files(folder: Path, found: Files) -> DurableState | None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    for name, data in found.items():
        (folder / name).write_bytes(data)
    disk = Disk(folder)
    try:
        return disk.open()
    finally:
        disk.close()


def torn_write(before: bytes, after: bytes, random_source: random.Random) -> bytes:
    """Applies some of the writes between two contents, by sector; a new log header is synced before its frames."""
    out = bytearray(before)
    if before[:32] != after[:32] and before:
        out[:32] = after[:32]
    if random_source.random() < 0.3:
        out = (
            out[: max(32, min(len(out), random_source.randrange(len(after) + 1)))]
            if len(before) > len(after)
            else out
        )
    for at in range(0, len(after), 512):
        if random_source.random() < random_source.choice((0.1, 0.5, 0.95)):
            if len(out) < at:
                out += bytes(at - len(out))
            out[at : at + 512] = after[at : at + 512]
    return bytes(out)


def recorded_lifetime(folder: Path) -> list[tuple[Files, DurableState | None]]:
    """Files and the state in them after each step (commit or checkpoint) of a store."""
    disk = Disk(folder)
    assert disk.open() is None
    assert disk._db is not None
    disk._db.execute("PRAGMA wal_autocheckpoint = 0")
    steps: list[tuple[Files, DurableState | None]] = [(files(folder), None)]
    for number in range(1, 25):
        disk.save(saved_state(number, 9000 if number % 5 == 0 else 300))
        last = saved_state(number, 9000 if number % 5 == 0 else 300)
        steps.append((files(folder), last))
        if number % 4 == 0:
            disk._db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchall()
            steps.append((files(folder), last))
    disk.close()
    steps.append((files(folder), last))
    return steps


def test_power_loss_at_any_step_leaves_the_last_state_or_the_one_being_written(tmp_path: Path) -> None:
    steps, random_source = recorded_lifetime(tmp_path / "life"), random.Random(5)
    seen = set()
    for (before, old), (after, new) in itertools.pairwise(steps[:-1]):
        changed = [name for name in after if before.get(name) != after[name]]
        assert len(changed) <= 1 and set(before) == set(after) == {FILE, WAL, WAL_MARKER}, changed
        for _ in range(12):
            crashed = {
                name: torn_write(before[name], after[name], random_source) if name in changed else after[name]
                for name in after
            }
            found = open_files(tmp_path / "cut", crashed)
            assert found in (old, new)
            seen.add(found == new)
        assert open_files(tmp_path / "cut", after) == new
    assert seen == {True, False}


def test_a_store_with_a_missing_file_counts_as_lost_and_never_as_an_older_one(tmp_path: Path) -> None:
    for found, last in recorded_lifetime(tmp_path / "life"):
        for name in found:
            left = {n: d for n, d in found.items() if n != name}
            result = open_files(tmp_path / "cut", left)
            if name == WAL_MARKER:
                assert result == last
            else:
                assert result is None
        if WAL in found:
            assert open_files(tmp_path / "cut", {**found, WAL: b""}) is None


def record_syncs(folder: Path, monkeypatch: pytest.MonkeyPatch) -> list[Files]:
    """Records the files of the directory at each fsync of it."""
    found: list[Files] = []
    real_sync = storage._fsync_directory

    def sync(which: Path) -> None:
        real_sync(which)
        if which == folder:
            found.append(files(folder))

    monkeypatch.setattr(storage, "_fsync_directory", sync)
    return found


def crash_states(before: Files, after: Files) -> list[Files]:
    """Combinations of changed files, each as before or after; SQLite deletes a log only after a full checkpoint."""
    changed = [n for n in {*before, *after} if before.get(n) != after.get(n)]
    out = []
    for chosen in itertools.product((before, after), repeat=len(changed)):
        crashed = {n: d for n, d in after.items() if n not in changed}
        crashed.update({n: c[n] for n, c in zip(changed, chosen, strict=True) if n in c})
        if WAL in crashed or WAL in after or WAL not in before or crashed.get(FILE) == after.get(FILE):
            out.append(crashed)
    return out


def test_close_and_reopen_keep_the_state_if_any_renames_are_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "life"
    disk = Disk(folder)
    disk.open()
    disk.save(saved_state(6))
    points = [files(folder), *record_syncs(folder, monkeypatch)]
    watch = record_syncs(folder, monkeypatch)
    disk.close()
    disk.open()
    points += watch
    assert len(points) >= 5
    disk._db = None
    monkeypatch.undo()
    tried = 0
    for before, after in itertools.pairwise(points):
        for crashed in crash_states(before, after):
            assert open_files(tmp_path / "cut", crashed) == saved_state(6), sorted(crashed)
            tried += 1
    assert tried > len(points)


def test_a_quarantined_store_never_reappears_as_an_older_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "life"
    steps = recorded_lifetime(tmp_path / "other")
    found, _ = steps[14]
    assert WAL in found
    bad = {**found, WAL: b""}  # damaged: the database alone has an older state
    folder.mkdir()
    for name, data in bad.items():
        (folder / name).write_bytes(data)
    watch = record_syncs(folder, monkeypatch)
    disk = Disk(folder)
    assert disk.open() is None and disk.quarantined is not None
    points = [bad, *watch]
    disk._db = None
    monkeypatch.undo()
    for before, after in itertools.pairwise(points):
        for crashed in crash_states(before, after):
            assert open_files(tmp_path / "cut", crashed) is None, sorted(crashed)


def test_only_the_last_damaged_file_is_kept(tmp_path: Path) -> None:
    for _ in range(4):
        (tmp_path / FILE).write_bytes(b"no store" * 1000)
        disk = Disk(tmp_path)
        assert disk.open() is None
        disk.save(saved_state(3))
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
def test_an_incomplete_schema_or_an_empty_file_counts_as_lost(tmp_path: Path, statements: list[str]) -> None:
    base = sqlite3.connect(tmp_path / FILE)
    for statement in statements:
        base.execute(statement)
    base.commit()
    base.close()
    disk = Disk(tmp_path)
    assert disk.open() is None
    disk.save(saved_state(4))
    disk.close()
    assert Disk(tmp_path).open() == saved_state(4)


def test_a_log_without_a_database_is_removed(tmp_path: Path) -> None:
    found, _ = recorded_lifetime(tmp_path / "life")[14]
    for base in ({}, {FILE: b""}):
        assert open_files(tmp_path / "cut", {**base, WAL: found[WAL]}) is None


# ---- bounds


def size(folder: Path) -> int:
    return sum(p.stat().st_size for p in folder.iterdir())


def test_a_thousand_small_writes_do_not_grow_the_files(tmp_path: Path) -> None:
    disk, sizes = Disk(tmp_path), []
    disk.open()
    for number in range(2, 1002):
        disk.save(DurableState(5, None, number, b"%d" % number + b"x" * 5000, ("a",), False, 4))
        sizes.append(size(tmp_path))
    assert max(sizes[500:]) <= max(sizes[:500]) < MAX_HISTORY_BYTES
    disk.close()
    assert size(tmp_path) < 500_000


def test_twenty_large_writes_stay_within_the_limits_and_keep_the_newest(tmp_path: Path) -> None:
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


def test_a_body_is_written_only_if_it_changed(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.open()
    body = b"x" * 2_000_000
    disk.save(DurableState(1, None, 3, body, ("a",), False, 1))
    before = (tmp_path / WAL).stat().st_size
    for promised in range(3, 30):
        disk.save(DurableState(promised, None, 3, bytes(bytearray(body)), ("a",), False, 1))
    assert (tmp_path / WAL).stat().st_size - before <= 27 * 4120  # one page of the state table for each
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


def checksum_1(*values: object) -> str:
    return blake2b(repr(values).encode(), digest_size=12).hexdigest()


def schema_1(folder: Path, record: str | None, corruption: str = "") -> None:
    base = sqlite3.connect(folder / FILE, isolation_level=None)
    base.execute("PRAGMA journal_mode = WAL")
    for statement in SCHEMA_1:
        base.execute(statement)
    for version in (8, 9):
        body = b'{"v":%d}' % version
        base.execute(
            "INSERT INTO configurations VALUES (?, ?, 4, ?)",
            (version, body, checksum_1(version, body + corruption.encode())),
        )
    row = (5, record, 9, '["a","b"]', 0, 4)
    base.execute("INSERT INTO state VALUES (1, ?, ?, ?, ?, ?, ?, ?)", (*row, checksum_1(*row)))
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
    # if Record still has a single backup, the file is migrated to schema 2 but cannot be decoded
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


def test_a_file_of_schema_1_is_migrated_completely(tmp_path: Path) -> None:
    assert upgrade_record_v1(None) is None
    schema_1(tmp_path, None)
    for _ in range(2):
        disk = Disk(tmp_path)
        assert disk.open() == DurableState(5, None, 9, b'{"v":9}', ("a", "b"), False, 4, ())
        assert disk._db is not None and disk._db.execute(
            "SELECT count(*) FROM configurations"
        ).fetchone() == (2,)
        disk.close()


def test_a_corrupt_file_of_schema_1_is_quarantined(tmp_path: Path) -> None:
    schema_1(tmp_path, None, "spoilt")
    disk = Disk(tmp_path)
    assert disk.open() is None and disk.quarantined is not None


def test_a_corrupt_state_of_schema_1_is_quarantined(tmp_path: Path) -> None:
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
    # FULL: the log is synced with each commit
    assert disk._db.execute("PRAGMA synchronous").fetchone() == (2,)
    assert disk._db.execute("PRAGMA journal_mode").fetchone() == ("wal",)
    disk.close()
