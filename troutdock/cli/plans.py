"""troutdock plans: assigns plans to customers, in a history file or at running ingresses."""

from __future__ import annotations

import secrets
from pathlib import Path

import typer

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

plans = typer.Typer(no_args_is_help=True, help="Assign plans to customers, with a start time.")
_FILE = typer.Option(None, "--file", help="The history file: JSON lines.")
_DOORS = typer.Option([], "--door", help="Management address of an ingress, host:port; repeatable.")
_CUSTOMER = typer.Argument(help="The account: 16 hex digits.")
_PATH = "/control/plans"


@plans.command()
def assign(
    account: str = _CUSTOMER,
    plan: str = typer.Argument(help="Name of the plan."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    start: str = typer.Option("now", "--from", help="ISO 8601 time, or now."),
    who: str = typer.Option("", help="Author of the change."),
    why: str = typer.Option("", help="Reason for the change."),
    identity: str = typer.Option("", "--id", help="Identity of the entry; sending it again changes nothing."),
) -> None:
    """Assign a plan to a customer from a given time on."""
    from troutdock import jsonlines
    from troutdock.plans.files import append
    from troutdock.plans.history import Assignment, validate

    with plain_errors():
        require_file_or_doors(file, doors)
        id = identity or secrets.token_hex(8)
        assignment = validate(Assignment(parse_time_ms(start), id, parse_account(account), plan, who, why))
        if file is not None:
            append(file, [assignment])
        for line in _reservation_warnings(doors, assignment.customer, plan, assignment.valid_from_ms):
            typer.echo(line)
    typer.echo(f"{account}: {plan} from {format_time(assignment.valid_from_ms)} on, as {assignment.id}")
    send_to_all(
        doors,
        _PATH,
        jsonlines.encode([assignment]),
        f"the same with --id {id} --from {format_time(assignment.valid_from_ms)} is harmless",
    )


def _reservation_warnings(doors: list[str], customer: int, plan: str, from_ms: float) -> list[str]:
    """Returns a warning if the customer has reserved more than the plan allows; asks the first door."""
    if not doors:
        return []
    import msgspec

    from troutdock.reservations.entries import Entries, Entry
    from troutdock.reservations.commitment_limit import max_reserved_rate, peak_rate

    try:
        found = msgspec.json.decode(send_request(doors[0], "GET", "/control/reservations"))
    except ValueError:
        return []  # the ingress has no reservations
    if plan not in found["plans"]:
        raise ValueError(f"{doors[0]}: {plan!r} is no plan there: {', '.join(found['plans'])}")
    reserved = [
        r
        for r in Entries().add(msgspec.convert(found["entries"], list[Entry])).reservations()
        if r.customer == customer and r.ends_ms > from_ms
    ]
    allowed = max_reserved_rate(found["plans"][plan]["rate"], found["plans"][plan]["ceiling"])
    reserved_peak = peak_rate(reserved, from_ms, float("inf"))
    if reserved_peak <= allowed:
        return []
    return [
        f"beware: it has reserved {reserved_peak:g} units a second at their highest, and "
        f"{plan} bears {allowed:g}: reservations stay, and are refused where the plan's ceiling is reached"
    ]


@plans.command()
def show(
    account: str = _CUSTOMER,
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    at: str = typer.Option("now", help="ISO 8601 time, or now."),
) -> None:
    """Show the customer's plan and its next change; differences between doors are reported."""
    from troutdock.plans.files import parse, read

    with plain_errors():
        require_file_or_doors(file, doors)
        customer, time_ms, lines = parse_account(account), parse_time_ms(at), dict[str, str]()
        known = (
            {str(file): read(file)}
            if file is not None
            else {door: parse(send_request(door, "GET", _PATH), door) for door in doors}
        )
    for name, history in known.items():
        current, following = history.at(customer, time_ms), history.next_after(customer, time_ms)
        lines[name] = f"{account}: {current.plan if current else 'as its requests say'}" + (
            f", {following.plan} from {format_time(following.valid_from_ms)} on" if following else ""
        )
    for line in dict.fromkeys(lines.values()):
        names = [name for name, its in lines.items() if its == line]
        typer.echo(line if len(names) == len(lines) else f"{', '.join(names)}: {line}")
    if len(dict.fromkeys(lines.values())) > 1:
        exit_with_error("ingresses differ: assign the same again with its --id where it is missing", 1)


@plans.command()
def history(account: str = _CUSTOMER, file: Path | None = _FILE, doors: list[str] = _DOORS) -> None:
    """List all assignments of a customer by start time, merged over all doors."""
    from troutdock.plans.files import parse, read
    from troutdock.plans.history import AssignmentHistory

    with plain_errors():
        require_file_or_doors(file, doors)
        merged = read(file) if file is not None else AssignmentHistory()
        for door in doors:
            merged = merged.merge(parse(send_request(door, "GET", _PATH), door))
        rows = merged.for_customer(parse_account(account))
    for row in rows:
        typer.echo(
            f"{format_time(row.valid_from_ms)}  {row.plan:<12} {row.id}  {row.who}  {row.why}".rstrip()
        )
