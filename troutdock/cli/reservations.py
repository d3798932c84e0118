"""troutdock reserve, extend, release, reservations: allowance kept ahead, in a file or at doors."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Any

import msgspec
import typer

from troutdock import jsonlines
from troutdock.cli.common import call, either, moment, number, plain_errors, said, spread, stop
from troutdock.reservations.entries import Entries, Entry, Kind, Reservation, validate
from troutdock.reservations.files import append, promise, prune, read
from troutdock.reservations.commitment_limit import CommitmentBounds, CommitmentDecision

_FILE = typer.Option(None, "--file", help="The entries: JSON lines.")
_DOORS = typer.Option([], "--door", help="The operators' door of an ingress, host:port; once for each.")
_PLAN = typer.Option("", help="The customer's plan, where none is assigned. With --door.")
_FLEET = typer.Option(0.0, help="Units a second that the fleet bears. With --file.")
_RATE = typer.Option(0.0, help="The plan's units a second. With --file.")
_CEILING = typer.Option(0.0, help="The plan's ceiling in units a second, 0 for none. With --file.")
_WHO, _WHY = typer.Option("", help="Who says so."), typer.Option("", help="And why.")
_ID = typer.Option("", "--id", help="Its own; the same again changes nothing.")
_PATH = "/control/reservations"


def _shown(door: str) -> Any:
    return msgspec.json.decode(call(door, "GET", _PATH))


def _entries(file: Path | None, doors: list[str]) -> Entries:
    """All that any of them knows."""
    whole = read(file) if file is not None else Entries()
    for door in doors:
        whole = whole.add(msgspec.convert(_shown(door)["entries"], list[Entry]))
    return whole


def _promised(entry: Entry, file: Path | None, doors: list[str], plan: str, terms: CommitmentBounds) -> None:
    """Ask for it, at the first door or by the file; exit 1 tells why not, and what would be promised."""
    if file is not None:
        if terms.fleet <= 0 or terms.rate <= 0:
            raise ValueError("with --file, --fleet and --rate are needed to tell what may be promised")
        _, verdict = promise(file, entry, terms)
    else:
        body = msgspec.json.encode({"entry": list(entry), "plan": plan})
        raw = msgspec.json.decode(call(doors[0], "POST", _PATH + "/promise", body))
        from_ms = float("inf") if raw["from_ms"] is None else raw["from_ms"]
        verdict = CommitmentDecision(raw["granted"], raw["why"], raw["units"], from_ms)
    if not verdict.granted:
        ever = verdict.from_ms < float("inf")
        when = f"all of it from {said(verdict.from_ms)} on" if ever else "all of it at no later time"
        stop(f"not promised: {verdict.why}; {verdict.units:g} units would be in that window, {when}", 1)


def reserve(
    account: str = typer.Argument(help="16 hex digits."),
    units: float = typer.Argument(help="To be kept ahead."),
    until: str = typer.Option(help="A time in ISO form."),
    start: str = typer.Option("now", "--from", help="A time in ISO form, or now."),
    classes: list[str] = typer.Option([], "--class", help="That may use it; all if none is named."),
    first: int = typer.Option(0, help="The first gateway of the customer's set."),
    width: int = typer.Option(0, help="How many gateways its set has; 0: all."),
    gateways: int = typer.Option(0, help="Of the fleet. With --file."),
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
    """Keep units ahead for a window."""
    with plain_errors():
        either(file, doors)
        id = identity or secrets.token_hex(8)
        whole = _shown(doors[0])["gateways"] if doors else gateways or 1
        made = validate(
            Entry(
                id,
                Kind.RESERVE,
                id,
                number(account),
                units,
                moment(start),
                moment(until),
                tuple(classes),
                first,
                width or whole,
                whole,
                who,
                why,
            )
        )
        _promised(made, file, doors, plan, CommitmentBounds(fleet, rate, ceiling))
    typer.echo(f"{account}: {units:g} units from {said(made.from_ms)} to {said(made.until_ms)}, as {id}")
    spread(
        doors[1:],
        _PATH,
        jsonlines.encode([made]),
        f"the same with --id {id} --from {said(made.from_ms)} is harmless",
    )


def extend(
    reservation: str = typer.Argument(help="Its identity."),
    units: float = typer.Option(0.0, help="More of them."),
    until: str = typer.Option("", help="A later end, in ISO form."),
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
    """More units, a later end, or both."""
    with plain_errors():
        either(file, doors)
        known = _entries(file, doors[:1]).get(reservation)
        if known is None:
            raise ValueError(f"no reservation is known as {reservation!r}")
        id = identity or secrets.token_hex(8)
        end = moment(until) if until else known.until_ms
        made = validate(
            Entry(id, Kind.EXTEND, reservation, known.customer, units, 0.0, end, who=who, why=why)
        )
        _promised(made, file, doors, plan, CommitmentBounds(fleet, rate, ceiling))
    typer.echo(f"{reservation}: {known.units + units:g} units to {said(max(end, known.until_ms))}, as {id}")
    spread(doors[1:], _PATH, jsonlines.encode([made]), f"the same with --id {id} is harmless")


def release(
    reservation: str = typer.Argument(help="Its identity."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    who: str = _WHO,
    why: str = _WHY,
    identity: str = _ID,
) -> None:
    """End it now; what is not used is promised to others again."""
    with plain_errors():
        either(file, doors)
        known = _entries(file, doors[:1]).get(reservation)
        if known is None:
            raise ValueError(f"no reservation is known as {reservation!r}")
        id = identity or secrets.token_hex(8)
        now = moment("now")
        made = validate(Entry(id, Kind.RELEASE, reservation, known.customer, 0.0, now, who=who, why=why))
        if file is not None:
            append(file, [made])
    spread(doors, _PATH, jsonlines.encode([made]), "the same again is harmless")
    typer.echo(f"{reservation}: released, as {id}")


def reservations(
    account: str = typer.Argument("", help="Only this customer's."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    every: bool = typer.Option(False, "--all", help="Also those that are over."),
    prune_before: str = typer.Option("", help="Take out those that ended before this time. With --file."),
) -> None:
    """What is reserved; at doors also what is left of it, and which ingresses have not heard."""
    with plain_errors():
        either(file, doors)
        if prune_before:
            if file is None:
                raise ValueError("--prune-before needs --file")
            typer.echo(f"{len(prune(file, moment(prune_before)))} reservations are taken out")
        shown = {door: _shown(door) for door in doors}
        whole = _entries(file, [])
        for found in shown.values():
            whole = whole.add(msgspec.convert(found["entries"], list[Entry]))
        wanted, now = number(account) if account else None, moment("now")
    for r in whole.reservations():
        if (wanted is None or r.customer == wanted) and (every or r.ends_ms > now):
            typer.echo(_line(r, now) + "".join(_left(r, shown)))
    missing = [door for door, found in shown.items() if len(found["entries"]) < len(whole)]
    if missing:
        spread(missing, _PATH, jsonlines.encode(whole), "the same again is harmless")
        typer.echo(f"told to those that had not heard of all: {', '.join(missing)}")


def _line(r: Reservation, now: float) -> str:
    state = "holds" if r.from_ms <= now else "ahead"
    if r.ends_ms <= now:
        state = "released" if r.released_ms <= now else "over"
    classes = f" for {', '.join(r.classes)}" if r.classes else ""
    window = f"{said(r.from_ms)} to {said(r.ends_ms)}"
    return f"{r.id}  {r.customer:016x}  {r.units:g} units{classes}  {window}  {state}"


def _left(r: Reservation, shown: dict[str, Any]) -> list[str]:
    """Of the gateways whose doors were asked."""
    found = [its["parts"].get(r.id, {"left": 0, "used": 0}) for its in shown.values()]
    parts = [part for part in found if part["left"] + part["used"] > 0]
    if not parts:
        return []
    left, used = sum(p["left"] for p in parts), sum(p["used"] for p in parts)
    return [f"  {left:g} left and {used:g} used at {len(parts)} of {r.width} gateways"]
