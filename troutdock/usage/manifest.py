"""Manifest of an export: record ids, sums, and digests of the file and the previous manifest (no I/O)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import sha256

import msgspec

from troutdock.usage.store import Selection, StoreError
from troutdock.usage.record import Record, State

FORMAT = 1


class Range(msgspec.Struct, frozen=True, order=True):
    """Sequence numbers of one incarnation, first to last inclusive."""

    incarnation: int
    first: int
    last: int


class Sum(msgspec.Struct, frozen=True, order=True):
    """Units of a customer by plan, class and state name; answers: number of records."""

    customer: int
    plan: str
    cls: str
    state: str
    answers: int
    units: float


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """One export. before: digest of the previous manifest, empty for the first; sha256: of the file."""

    format: int
    ingress: str
    number: int
    file: str
    sha256: str
    rows: int
    closed_ms: float
    before: str
    ranges: list[Range]
    unknown: list[Range]  # numbers that may have been used, without records
    sums: list[Sum]

    @property
    def units(self) -> float:
        """Units of answers that were given or may have been given."""
        return sum(s.units for s in self.sums if s.state != State.VOID.name)


def stem_of(ingress: str, number: int) -> str:
    """Returns the common stem of the names of an export's file and manifest."""
    return f"usage-{ingress}-{number:08d}"


def ranges_of(records: Iterable[Record]) -> list[Range]:
    """Returns the contiguous ranges of sequence numbers, sorted; a duplicate number is in two ranges."""
    found: list[Range] = []
    for record in sorted(records, key=lambda r: (r.incarnation, r.sequence)):
        last = found[-1] if found else None
        if last is not None and last.incarnation == record.incarnation and last.last + 1 == record.sequence:
            found[-1] = Range(last.incarnation, last.first, record.sequence)
        else:
            found.append(Range(record.incarnation, record.sequence, record.sequence))
    return found


def sums_of(records: Iterable[Record]) -> list[Sum]:
    """Returns the sums by customer, plan, class and state."""
    totals: dict[tuple[int, str, str, str], tuple[int, float]] = {}
    for record in records:
        key = record.use.customer, record.use.plan, record.use.cls, record.state.name
        answers, units = totals.get(key, (0, 0.0))
        totals[key] = answers + 1, units + record.use.units
    return [Sum(*key, answers, round(units, 6)) for key, (answers, units) in sorted(totals.items())]


def manifest_of(
    ingress: str, number: int, before: str, selection: Selection, digest: str, closed_ms: float
) -> Manifest:
    """Returns the manifest of a file with the selection's records."""
    return Manifest(
        format=FORMAT,
        ingress=ingress,
        number=number,
        file=stem_of(ingress, number) + ".parquet",
        sha256=digest,
        rows=len(selection.records),
        closed_ms=closed_ms,
        before=before,
        ranges=ranges_of(selection.records),
        unknown=[Range(*u) for u in selection.unknown],
        sums=sums_of(selection.records),
    )


def encode(manifest: Manifest) -> bytes:
    """Encodes a manifest; equal manifests give equal bytes."""
    return msgspec.json.format(msgspec.json.encode(manifest, order="sorted"), indent=1) + b"\n"


def decode(data: bytes, name: str) -> Manifest:
    """Decodes a manifest; raises StoreError with the name if it is not a manifest of this format."""
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except msgspec.MsgspecError as error:
        raise StoreError(f"{name}: not a manifest: {error}") from error
    if manifest.format != FORMAT:
        raise StoreError(f"{name}: a manifest of format {manifest.format}; this version supports {FORMAT}")
    return manifest


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 digest of a file, in hexadecimal."""
    return sha256(data).hexdigest()


def differences(manifest: Manifest, records: Sequence[Record], data: bytes) -> list[str]:
    """Returns the differences between a manifest and its file."""
    found = []
    if digest_of(data) != manifest.sha256:
        found.append("the digest of the file differs")
    if len(records) != manifest.rows:
        found.append(f"the file has {len(records)} rows, the manifest {manifest.rows}")
    if ranges_of(records) != manifest.ranges:
        found.append("the sequence numbers differ")
    if sums_of(records) != manifest.sums:
        found.append("the sums differ")
    return found
