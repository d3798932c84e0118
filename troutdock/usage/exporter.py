"""Writes the ledger's records to files with manifests.

Theory of operation. An export exists once its manifest has its final name. The states of an export, and how a
start recovers from each of them:

    selected   the next range of records is selected
    written    the Parquet file has its final name       recovery removes it
    existing   the manifest has its final name           recovery adopts it and records it in the ledger
    recorded   the ledger has recorded it; the next export may be selected

A lock in the folder ensures that one process exports at a time.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from troutdock.usage import columns
from troutdock.usage.files import PARTIAL_SUFFIX, Files
from troutdock.usage.manifest import Manifest, decode, differences, digest_of, encode, manifest_of, stem_of
from troutdock.usage.store import ExportInfo, Store, StoreError
from troutdock.usage.record import UnknownRange

MAX_ROWS = 100_000  # of one export: about 1 MB, and 60 MB of memory while it is written


class Exporter:
    """Exports the ledger of one ingress; blocking, for use by one thread."""

    def __init__(self, ingress: str, store: Store, files: Files) -> None:
        self._ingress, self._store, self._files = ingress, store, files

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Holds the export lock; raises StoreError if another process holds it."""
        path = self._files.folder / "exports.lock"
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise StoreError(f"{path}: another process exports") from error
        try:
            yield
        finally:
            os.close(descriptor)

    def run(self, now_ms: float, max_rows: int = MAX_ROWS) -> list[Manifest]:
        """Exports all available records, in as many files as needed; StoreError keeps completed exports."""
        made: list[Manifest] = []
        with self.exclusive():
            self._store.recover()
            self.recover_folder()
            while (manifest := self._export_next(now_ms, max_rows)) is not None:
                made.append(manifest)
        return made

    def recover_folder(self) -> None:
        """Makes ledger and folder consistent after a crash at any point."""
        known = self._store.exports()
        last = known[-1].number if known else 0
        stem = stem_of(self._ingress, last + 1)
        names = self._files.names()
        for name in names:
            if name.endswith(PARTIAL_SUFFIX):
                self._files.remove(name)
        if f"{stem}.json" in names:
            data = self._files.read(f"{stem}.json")
            manifest = decode(data, f"{stem}.json")
            body = self._files.read(manifest.file)
            mismatches = differences(manifest, columns.read(body, manifest.file), body)
            if mismatches or manifest.before != (known[-1].digest if known else ""):
                raise StoreError(
                    f"{stem}.json: {'; '.join(mismatches) or 'it does not follow the previous export'}"
                )
            self._record(manifest, data, len(body))
        elif f"{stem}.parquet" in names:
            self._files.remove(f"{stem}.parquet")

    def _export_next(self, now_ms: float, max_rows: int) -> Manifest | None:
        selection = self._store.select(max_rows)
        if not selection.records and not selection.unknown:
            return None
        known = self._store.exports()
        number, before = (known[-1].number + 1, known[-1].digest) if known else (1, "")
        stem = stem_of(self._ingress, number)
        self._files.write(f"{stem}.parquet", lambda path: columns.write(path, selection.records))
        body = self._files.read(f"{stem}.parquet")
        manifest = manifest_of(self._ingress, number, before, selection, digest_of(body), now_ms)
        data = encode(manifest)
        self._files.write(f"{stem}.json", lambda path: _write_bytes(path, data))
        self._record(manifest, data, len(body))
        return manifest

    def _record(self, manifest: Manifest, data: bytes, size: int) -> None:
        selected = {r.incarnation: (r.first, r.last) for r in manifest.ranges}
        unknown = tuple(UnknownRange(r.incarnation, r.first, r.last) for r in manifest.unknown)
        self._store.record_export(
            ExportInfo(
                manifest.number,
                stem_of(manifest.ingress, manifest.number),
                digest_of(data),
                manifest.rows,
                size + len(data),
                False,
            ),
            selected,
            unknown,
        )

    def retain(self, now_ms: float, keep_ms: float) -> list[str]:
        """Deletes acknowledged exports older than keep_ms, the oldest first; returns their stems."""
        deleted = []
        with self.exclusive():
            for export in self._store.exports():
                name = f"{export.stem}.json"
                if not export.acknowledged:
                    break
                if name not in self._files.names():
                    continue  # deleted before; its row is kept as the last one
                if now_ms - decode(self._files.read(name), name).closed_ms < keep_ms:
                    break
                self._store.forget(export.number)
                self._files.remove(f"{export.stem}.parquet")
                self._files.remove(name)
                deleted.append(export.stem)
        return deleted


def _write_bytes(path: Path, data: bytes) -> None:
    path.write_bytes(data)
