"""Verifies that a folder of exports has no duplicates and no gaps, and compares it with a consumer's list."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from troutdock.usage import columns
from troutdock.usage.files import Files
from troutdock.usage.manifest import Manifest, Range, decode, differences, digest_of
from troutdock.usage.store import StoreError


@dataclass(slots=True)
class VerificationResult:
    """Result of a verification. faults: in the order of the exports; sums: over all readable exports."""

    faults: list[str] = field(default_factory=list)
    exports: int = 0
    rows: int = 0
    unknown: int = 0  # sequence numbers
    units: dict[str, float] = field(default_factory=dict)  # by state
    customers: dict[int, float] = field(default_factory=dict)  # units of all states except VOID
    digests: dict[str, Manifest] = field(default_factory=dict)  # of the manifests


def verify(files: Files) -> VerificationResult:
    """Reads every export of a folder. A first manifest number above 1 means that retention deleted others."""
    result = VerificationResult()
    last: dict[str, tuple[int, str]] = {}  # by ingress: the number and the digest of its last manifest
    next_sequence: dict[tuple[str, int], int] = {}  # by ingress and incarnation: the next sequence number
    truncated: dict[str, bool] = {}  # by ingress: retention has deleted its first exports
    for name in [n for n in files.names() if n.endswith(".json")]:
        try:
            data = files.read(name)
            manifest = decode(data, name)
            body = files.read(manifest.file)
            records = columns.read(body, manifest.file)
        except StoreError as error:
            result.faults.append(str(error))
            continue
        result.faults += [f"{name}: {what}" for what in differences(manifest, records, body)]
        before = last.get(manifest.ingress)
        if before is not None and manifest.number != before[0] + 1:
            result.faults.append(f"{name}: export {before[0] + 1} of {manifest.ingress} is missing")
        elif before is not None and manifest.before != before[1]:
            result.faults.append(f"{name}: does not match the digest of the previous export")
        truncated.setdefault(manifest.ingress, manifest.number > 1)
        digest = digest_of(data)
        last[manifest.ingress] = manifest.number, digest
        result.digests[digest] = manifest
        for part in sorted([*manifest.ranges, *manifest.unknown]):
            _check_range(result, next_sequence, name, manifest.ingress, part, truncated[manifest.ingress])
        result.exports += 1
        result.rows += len(records)
        result.unknown += sum(part.last - part.first + 1 for part in manifest.unknown)
        for total in manifest.sums:
            result.units[total.state] = result.units.get(total.state, 0.0) + total.units
            if total.state != "VOID":
                result.customers[total.customer] = result.customers.get(total.customer, 0.0) + total.units
    return result


def _check_range(
    result: VerificationResult,
    next_sequence: dict[tuple[str, int], int],
    name: str,
    ingress: str,
    part: Range,
    truncated: bool,
) -> None:
    key = ingress, part.incarnation
    expected = next_sequence.get(key, part.first if truncated else 1)
    where = f"{name}: incarnation {part.incarnation} of {ingress}"
    if part.first > expected:
        result.faults.append(f"{where}: {expected} to {part.first - 1} are in no export")
    elif part.first < expected:
        result.faults.append(f"{where}: {part.first} to {min(part.last, expected - 1)} are exported twice")
    next_sequence[key] = max(expected, part.last + 1)


class Received(msgspec.Struct, frozen=True):
    """A line of a consumer's list: digest of the manifest, and the units booked for it."""

    manifest: str
    units: float


def reconcile(result: VerificationResult, lines: list[bytes]) -> list[str]:
    """Returns the differences between a consumer's list (JSON lines) and the exports.

    ValueError names an invalid line.
    """
    found: list[str] = []
    booked: dict[str, float] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            received = msgspec.json.decode(line, type=Received)
        except msgspec.MsgspecError as error:
            raise ValueError(f"line {number}: {error}") from error
        if received.manifest in booked:
            found.append(f"line {number}: {received.manifest[:12]} is booked twice")
        booked[received.manifest] = received.units
    for digest, manifest in result.digests.items():
        if digest not in booked:
            found.append(f"{manifest.file}: not booked")
        elif abs(booked[digest] - manifest.units) > 1e-6 * max(1.0, manifest.units):
            found.append(f"{manifest.file}: {manifest.units:g} units exported, {booked[digest]:g} booked")
    return found + [
        f"{digest[:12]}: booked, but there is no such export"
        for digest in booked
        if digest not in result.digests
    ]
