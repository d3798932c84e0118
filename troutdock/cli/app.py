"""All commands. Exit codes: 0 for success, 1 for a negative result, 2 for bad input (one-line error)."""

from __future__ import annotations

import typer

from troutdock import __version__
from troutdock.cli.demo import demo
from troutdock.cli.deployment import check, diff, explain, schema, serve
from troutdock.cli.plans import plans
from troutdock.cli.reservations import extend, release, reservations, reserve
from troutdock.cli.system import system
from troutdock.cli.usage import usage

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="An API gateway, and the admission ingress inside it.",
)
app.add_typer(usage, name="usage")
app.add_typer(plans, name="plans")
app.add_typer(system, name="system")
for command in (serve, check, explain, schema, diff, demo, reserve, extend, release, reservations):
    app.command()(command)


def _version(wanted: bool) -> None:
    if wanted:
        typer.echo(__version__)
        raise typer.Exit


@app.callback()
def root(
    version: bool = typer.Option(
        False, "--version", callback=_version, is_eager=True, help="Print the version."
    ),
) -> None:
    """Every command has --help."""
