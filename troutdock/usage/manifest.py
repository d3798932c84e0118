"""What an export says of itself.

The identities in it, sums, its file's digest and the manifest before it (no I/O).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import sha256

import msgspec

from troutdock.usage.store import Selection, StoreError
from troutdock.usage.record import Record, State

FORMAT = 1


class Range(msgspec.Struct, frozen=True, order=True):
    """Sequence numbers of one incarnation, first to last."""

    incarnation: int
    first: int
    last: int


class Sum(msgspec.Struct, frozen=True, order=True):
    """Units of a customer under a plan, in a class, by state's name; answers: how many."""

    customer: int
    plan: str
    cls: str
    state: str
    answers: int
    units: float


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """One export. before: the digest of the manifest before it, empty for the first; sha256: of the file."""

    format: int
    ingress: str
    number: int
    file: str
    sha256: str
    rows: int
    closed_ms: float
    before: str
    ranges: list[Range]
    unknown: list[Range]  # numbers that may have been given out, with no record of what
    sums: list[Sum]

    @property
    def units(self) -> float:
        """Units of answers that were given, and of those that may have been."""
        return sum(s.units for s in self.sums if s.state != State.VOID.name)


def stem_of(ingress: str, number: int) -> str:
    """The name that the file and the manifest of an export share."""
    return f"usage-{ingress}-{number:08d}"


def ranges_of(records: Iterable[Record]) -> list[Range]:
    """The runs of sequence numbers, in order; a number that comes twice is in two of them."""
    found: list[Range] = []
    for record in sorted(records, key=lambda r: (r.incarnation, r.sequence)):
        last = found[-1] if found else None
        if last is not None and last.incarnation == record.incarnation and last.last + 1 == record.sequence:
            found[-1] = Range(last.incarnation, last.first, record.sequence)
        else:
            found.append(Range(record.incarnation, record.sequence, record.sequence))
    return found


def sums_of(records: Iterable[Record]) -> list[Sum]:
    """By customer, plan, class and state."""
    totals: dict[tuple[int, str, str, str], tuple[int, float]] = {}
    for record in records:
        key = record.use.customer, record.use.plan, record.use.cls, record.state.name
        answers, units = totals.get(key, (0, 0.0))
        totals[key] = answers + 1, units + record.use.units
    return [Sum(*key, answers, round(units, 6)) for key, (answers, units) in sorted(totals.items())]


def manifest_of(
    ingress: str, number: int, before: str, selection: Selection, digest: str, closed_ms: float
) -> Manifest:
    """For a file with the selection's records."""
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
    """Its bytes, the same for the same manifest."""
    return msgspec.json.format(msgspec.json.encode(manifest, order="sorted"), indent=1) + b"\n"


def decode(data: bytes, name: str) -> Manifest:
    """StoreError with the name if it is no manifest of this format."""
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except msgspec.MsgspecError as error:
        raise StoreError(f"{name}: no manifest: {error}") from error
    if manifest.format != FORMAT:
        raise StoreError(f"{name}: a manifest of format {manifest.format}, and this program knows {FORMAT}")
    return manifest


def digest_of(data: bytes) -> str:
    """What names a file's bytes."""
    return sha256(data).hexdigest()


def differences(manifest: Manifest, records: Sequence[Record], data: bytes) -> list[str]:
    """What a manifest says of its file that is not so."""
    found = []
    if digest_of(data) != manifest.sha256:
        found.append("the file is not the one that it was made for")
    if len(records) != manifest.rows:
        found.append(f"{len(records)} rows, and {manifest.rows} are named")
    if ranges_of(records) != manifest.ranges:
        found.append("other identities than are named")
    if sums_of(records) != manifest.sums:
        found.append("other sums than are named")
    return found
