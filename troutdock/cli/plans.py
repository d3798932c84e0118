"""troutdock plans: assignments of plans to customers, in a history's file or at running ingresses."""

from __future__ import annotations

import secrets
from pathlib import Path

import typer

from troutdock.cli.common import call, either, moment, number, plain_errors, said, spread, stop

plans = typer.Typer(no_args_is_help=True, help="Which customer has which plan, and from when on.")
_FILE = typer.Option(None, "--file", help="The history: JSON lines.")
_DOORS = typer.Option([], "--door", help="The operators' door of an ingress, host:port; once for each.")
_CUSTOMER = typer.Argument(help="The account: 16 hex digits.")
_PATH = "/control/plans"


@plans.command()
def assign(
    account: str = _CUSTOMER,
    plan: str = typer.Argument(help="By name."),
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    start: str = typer.Option("now", "--from", help="A time in ISO form, or now."),
    who: str = typer.Option("", help="Who says so."),
    why: str = typer.Option("", help="And why."),
    identity: str = typer.Option("", "--id", help="Its own; the same again changes nothing."),
) -> None:
    """From a moment on the customer has this plan."""
    from troutdock import jsonlines
    from troutdock.plans.files import append
    from troutdock.plans.history import Assignment, validate

    with plain_errors():
        either(file, doors)
        id = identity or secrets.token_hex(8)
        made = validate(Assignment(moment(start), id, number(account), plan, who, why))
        if file is not None:
            append(file, [made])
        for line in _reserved(doors, made.customer, plan, made.valid_from_ms):
            typer.echo(line)
    typer.echo(f"{account}: {plan} from {said(made.valid_from_ms)} on, as {made.id}")
    spread(
        doors,
        _PATH,
        jsonlines.encode([made]),
        f"the same with --id {id} --from {said(made.valid_from_ms)} is harmless",
    )


def _reserved(doors: list[str], customer: int, plan: str, from_ms: float) -> list[str]:
    """What the customer has reserved beyond what the plan bears, as the first door knows it."""
    if not doors:
        return []
    import msgspec

    from troutdock.reservations.entries import Entries, Entry
    from troutdock.reservations.commitment_limit import max_reserved_rate, peak_rate

    try:
        found = msgspec.json.decode(call(doors[0], "GET", "/control/reservations"))
    except ValueError:
        return []  # it has none
    if plan not in found["plans"]:
        raise ValueError(f"{doors[0]}: {plan!r} is no plan there: {', '.join(found['plans'])}")
    held = [
        r
        for r in Entries().add(msgspec.convert(found["entries"], list[Entry])).reservations()
        if r.customer == customer and r.ends_ms > from_ms
    ]
    bears = max_reserved_rate(found["plans"][plan]["rate"], found["plans"][plan]["ceiling"])
    most = peak_rate(held, from_ms, float("inf"))
    if most <= bears:
        return []
    return [
        f"beware: it has reserved {most:g} units a second at their highest, and {plan} bears {bears:g}: "
        f"reservations stay, and are refused where the plan's ceiling is reached"
    ]


@plans.command()
def show(
    account: str = _CUSTOMER,
    file: Path | None = _FILE,
    doors: list[str] = _DOORS,
    at: str = typer.Option("now", help="A time in ISO form, or now."),
) -> None:
    """The plan that the customer has, and the next change; of several doors those that differ are named."""
    from troutdock.plans.files import parse, read

    with plain_errors():
        either(file, doors)
        customer, time_ms, lines = number(account), moment(at), dict[str, str]()
        known = (
            {str(file): read(file)}
            if file is not None
            else {door: parse(call(door, "GET", _PATH), door) for door in doors}
        )
    for name, history in known.items():
        held, after = history.at(customer, time_ms), history.next_after(customer, time_ms)
        lines[name] = f"{account}: {held.plan if held else 'as its requests say'}" + (
            f", {after.plan} from {said(after.valid_from_ms)} on" if after else ""
        )
    for line in dict.fromkeys(lines.values()):
        names = [name for name, its in lines.items() if its == line]
        typer.echo(line if len(names) == len(lines) else f"{', '.join(names)}: {line}")
    if len(dict.fromkeys(lines.values())) > 1:
        stop("ingresses differ: assign the same again with its --id where it is missing", 1)


@plans.command()
def history(account: str = _CUSTOMER, file: Path | None = _FILE, doors: list[str] = _DOORS) -> None:
    """All assignments of a customer, the first valid first; of several doors all together."""
    from troutdock.plans.files import parse, read
    from troutdock.plans.history import AssignmentHistory

    with plain_errors():
        either(file, doors)
        whole = read(file) if file is not None else AssignmentHistory()
        for door in doors:
            whole = whole.merge(parse(call(door, "GET", _PATH), door))
        rows = whole.for_customer(number(account))
    for row in rows:
        typer.echo(f"{said(row.valid_from_ms)}  {row.plan:<12} {row.id}  {row.who}  {row.why}".rstrip())
