"""troutdock reserve, extend, release, reservations: reserved quota, in a file or at running ingresses."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Any

import msgspec
import typer

from troutdock import jsonlines
from troutdock.cli.common import (
    send_request,
    require_file_or_doors,
    parse_time_ms,
    parse_account,
    plain_errors,
    format_time,
    send_to_all,
    exit_with_error,
)
from troutdock.reservations.entries import Entries, Entry, Kind, Reservation, validate
from troutdock.reservations.files import append, promise, prune, read
from troutdock.reservations.commitment_limit import CommitmentBounds, CommitmentDecision

_FILE = typer.Option(None, "--file", help="The entries file: JSON lines.")
_DOORS = typer.Option([], "--door", help="Management address of an ingress, host:port; repeatable.")
_PLAN = typer.Option("", help="The customer's plan, if none is assigned. With --door.")
_FLEET = typer.Option(0.0, help="Capacity of the fleet in units per second. With --file.")
_RATE = typer.Option(0.0, help="The plan's rate in units per second. With --file.")
_CEILING = typer.Option(0.0, help="The plan's ceiling in units per second, 0 for none. With --file.")
_WHO, _WHY = typer.Option("", help="Author of the change."), typer.Option("", help="Reason for the change.")
_ID = typer.Option("", "--id", help="Identity of the entry; sending it again changes nothing.")
_PATH = "/control/reservations"


def _fetch(door: str) -> Any:
    return msgspec.json.decode(send_request(door, "GET", _PATH))


def _entries(file: Path | None, doors: list[str]) -> Entries:
    """Returns all entries of the file and the doors, merged."""
    merged = read(file) if file is not None else Entries()
    for door in doors:
        merged = merged.add(msgspec.convert(_fetch(door)["entries"], list[Entry]))
    return merged


def _request_reservation(
    entry: Entry, file: Path | None, doors: list[str], plan: str, terms: CommitmentBounds
) -> None:
    """Requests the reservation at the first door or in the file.

    If it is rejected, prints the reason and what could be reserved, and exits with 1.
    """
    if file is not None:
        if terms.fleet <= 0 or terms.rate <= 0:
            raise ValueError("with --file, --fleet and --rate are needed to compute what may be reserved")
        _, verdict = promise(file, entry, terms)
    else:
        body = msgspec.json.encode({"entry": list(entry), "plan": plan})
        raw = msgspec.json.decode(send_request(doors[0], "POST", _PATH + "/promise", body))
        from_ms = float("inf") if raw["from_ms"] is None else raw["from_ms"]
        verdict = CommitmentDecision(raw["granted"], raw["why"], raw["units"], from_ms)
    if not verdict.granted:
        ever = verdict.from_ms < float("inf")
        when = f"all of it from {format_time(verdict.from_ms)} on" if ever else "all of it at no later time"
        exit_with_error(
            f"not promised: {verdict.why}; {verdict.units:g} units would be in that window, {when}", 1
        )


def reserve(
    account: str = typer.Argument(help="16 hex digits."),
    units: float = typer.Argument(help="Units to reserve."),
    until: str = typer.Option(help="ISO 8601 time."),
    start: str = typer.Option("now", "--from", help="ISO 8601 time, or now."),
    classes: list[str] = typer.Option(
        [], "--class", help="Class that may use it, repeatable; all if none is given."
    ),
    first: int = typer.Option(0, help="First gateway of the customer's set."),
    width: int = typer.Option(0, help="Number of gateways in the set; 0: all."),
    gateways: int = typer.Option(0, help="Number of gateways in the fleet. With --file."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    plan: str = _PLAN,
    fleet: float = _FLEET,
    rate: float = _RATE,
    ceiling: float = _CEILING,
    who: str = _WHO,
    why: str = _WHY,
    identity: str = _ID,
) -> None:
    """Reserve units for a time window."""
    with plain_errors():
        require_file_or_doors(file, doors)
        id = identity or secrets.token_hex(8)
        total_gateways = _fetch(doors[0])["gateways"] if doors else gateways or 1
        entry = validate(
            Entry(
                id,
                Kind.RESERVE,
                id,
                parse_account(account),
                units,
                parse_time_ms(start),
                parse_time_ms(until),
                tuple(classes),
                first,
                width or total_gateways,
                total_gateways,
                who,
                why,
            )
        )
        _request_reservation(entry, file, doors, plan, CommitmentBounds(fleet, rate, ceiling))
    typer.echo(
        f"{account}: {units:g} units "
        f"from {format_time(entry.from_ms)} to {format_time(entry.until_ms)}, as {id}"
    )
    send_to_all(
        doors[1:],
        _PATH,
        jsonlines.encode([entry]),
        f"the same with --id {id} --from {format_time(entry.from_ms)} is harmless",
    )


def extend(
    reservation: str = typer.Argument(help="Its identity."),
    units: float = typer.Option(0.0, help="Units to add."),
    until: str = typer.Option("", help="A later end, ISO 8601."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    plan: str = _PLAN,
    fleet: float = _FLEET,
    rate: float = _RATE,
    ceiling: float = _CEILING,
    who: str = _WHO,
    why: str = _WHY,
    identity: str = _ID,
) -> None:
    """Add units to a reservation, move its end, or both."""
    with plain_errors():
        require_file_or_doors(file, doors)
        known = _entries(file, doors[:1]).get(reservation)
        if known is None:
            raise ValueError(f"no reservation is known as {reservation!r}")
        id = identity or secrets.token_hex(8)
        end = parse_time_ms(until) if until else known.until_ms
        entry = validate(
            Entry(id, Kind.EXTEND, reservation, known.customer, units, 0.0, end, who=who, why=why)
        )
        _request_reservation(entry, file, doors, plan, CommitmentBounds(fleet, rate, ceiling))
    typer.echo(
        f"{reservation}: {known.units + units:g} units to {format_time(max(end, known.until_ms))}, as {id}"
    )
    send_to_all(doors[1:], _PATH, jsonlines.encode([entry]), f"the same with --id {id} is harmless")


def release(
    reservation: str = typer.Argument(help="Its identity."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    who: str = _WHO,
    why: str = _WHY,
    identity: str = _ID,
) -> None:
    """End a reservation now; unused units become available to others."""
    with plain_errors():
        require_file_or_doors(file, doors)
        known = _entries(file, doors[:1]).get(reservation)
        if known is None:
            raise ValueError(f"no reservation is known as {reservation!r}")
        id = identity or secrets.token_hex(8)
        now = parse_time_ms("now")
        entry = validate(Entry(id, Kind.RELEASE, reservation, known.customer, 0.0, now, who=who, why=why))
        if file is not None:
            append(file, [entry])
    send_to_all(doors, _PATH, jsonlines.encode([entry]), "the same again is harmless")
    typer.echo(f"{reservation}: released, as {id}")


def reservations(
    account: str = typer.Argument("", help="Only this customer."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    every: bool = typer.Option(False, "--all", help="Include reservations that have ended."),
    prune_before: str = typer.Option(
        "", help="Remove reservations that ended before this time. With --file."
    ),
) -> None:
    """List reservations; with --door also show the units left, and send missing entries."""
    with plain_errors():
        require_file_or_doors(file, doors)
        if prune_before:
            if file is None:
                raise ValueError("--prune-before needs --file")
            typer.echo(f"{len(prune(file, parse_time_ms(prune_before)))} reservations are taken out")
        shown = {door: _fetch(door) for door in doors}
        merged = _entries(file, [])
        for found in shown.values():
            merged = merged.add(msgspec.convert(found["entries"], list[Entry]))
        wanted, now = parse_account(account) if account else None, parse_time_ms("now")
    for r in merged.reservations():
        if (wanted is None or r.customer == wanted) and (every or r.ends_ms > now):
            typer.echo(_format_row(r, now) + "".join(_format_usage(r, shown)))
    outdated = [door for door, found in shown.items() if len(found["entries"]) < len(merged)]
    if outdated:
        send_to_all(outdated, _PATH, jsonlines.encode(merged), "the same again is harmless")
        typer.echo(f"told to those that had not heard of all: {', '.join(outdated)}")


def _format_row(r: Reservation, now: float) -> str:
    state = "holds" if r.from_ms <= now else "ahead"
    if r.ends_ms <= now:
        state = "released" if r.released_ms <= now else "over"
    classes = f" for {', '.join(r.classes)}" if r.classes else ""
    window = f"{format_time(r.from_ms)} to {format_time(r.ends_ms)}"
    return f"{r.id}  {r.customer:016x}  {r.units:g} units{classes}  {window}  {state}"


def _format_usage(r: Reservation, shown: dict[str, Any]) -> list[str]:
    """Returns the units left and used, summed over the queried gateways."""
    found = [its["parts"].get(r.id, {"left": 0, "used": 0}) for its in shown.values()]
    parts = [part for part in found if part["left"] + part["used"] > 0]
    if not parts:
        return []
    left, used = sum(p["left"] for p in parts), sum(p["used"] for p in parts)
    return [f"  {left:g} left and {used:g} used at {len(parts)} of {r.width} gateways"]
