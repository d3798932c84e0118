"""troutdock usage: exports made, proved, compared and summed up, from their folder."""

from __future__ import annotations

import json
import time
from pathlib import Path

import typer

from troutdock.cli.common import plain_errors
from troutdock.usage.store import StoreError

usage = typer.Typer(no_args_is_help=True, help="The ledger of use and its exports.")
_FOLDER = typer.Argument(help="The folder of the exports, or the ledger's above it.")
_JSON = typer.Option(False, "--json", help="One JSON object in place of lines.")


def _exports(folder: Path) -> Path:
    if not folder.is_dir():
        raise StoreError(f"{folder}: no such folder")
    return folder / "exports" if (folder / "exports").is_dir() else folder


@usage.command()
def export(
    folder: Path = typer.Argument(help="The ledger's folder."),
    ingress: str = typer.Option(help="Its ingress's name."),
    rows: int = typer.Option(100_000, min=1, help="Of one file at most."),
) -> None:
    """Export now what is in no export yet, also of an ingress that runs."""
    from troutdock.usage.exporter import Exporter
    from troutdock.usage.files import Files
    from troutdock.usage.sqlite import SqliteStore

    with plain_errors(StoreError):
        if not (folder / "ledger.db").is_file():
            raise StoreError(f"{folder}: no ledger")
        store = SqliteStore(folder)
        try:
            for manifest in Exporter(ingress, store, Files(folder / "exports")).run(time.time() * 1000, rows):
                typer.echo(f"{manifest.file}: {manifest.rows} records, {manifest.units:g} units")
        finally:
            store.close()


@usage.command()
def verify(folder: Path = _FOLDER, as_json: bool = _JSON) -> None:
    """Prove that nothing is exported twice and nothing is missing; the first hole is named first."""
    from troutdock.usage.files import Files
    from troutdock.usage.verify import verify as prove

    with plain_errors(StoreError):
        verdict = prove(Files(_exports(folder)))
    if as_json:
        typer.echo(
            json.dumps(
                {
                    "exports": verdict.exports,
                    "rows": verdict.rows,
                    "unknown": verdict.unknown,
                    "units": verdict.units,
                    "faults": verdict.faults,
                }
            )
        )
    else:
        for fault in verdict.faults:
            typer.echo(fault)
        units = ", ".join(f"{total:g} {state.lower()}" for state, total in sorted(verdict.units.items()))
        typer.echo(
            f"{verdict.exports} exports, {verdict.rows} records, units: {units or 'none'}; "
            f"{verdict.unknown} numbers unknown, {len(verdict.faults)} faults"
        )
    if verdict.faults:
        raise typer.Exit(1)


@usage.command()
def reconcile(
    folder: Path = _FOLDER,
    received: Path = typer.Option(help="The consumer's list: JSON lines of manifest and units."),
) -> None:
    """Compare the exports with what their consumer has booked."""
    from troutdock.usage.files import Files
    from troutdock.usage.verify import reconcile as compare
    from troutdock.usage.verify import verify as prove

    with plain_errors(StoreError):
        verdict = prove(Files(_exports(folder)))
        found = [*verdict.faults, *compare(verdict, received.read_bytes().splitlines())]
    for line in found:
        typer.echo(line)
    typer.echo(f"{verdict.exports} exports, {len(found)} differences")
    if found:
        raise typer.Exit(1)


@usage.command()
def top(folder: Path = _FOLDER, most: int = typer.Option(10, min=1, help="So many customers.")) -> None:
    """The customers with the most units."""
    from troutdock.usage.files import Files
    from troutdock.usage.verify import verify as prove

    with plain_errors(StoreError):
        verdict = prove(Files(_exports(folder)))
    for customer, units in sorted(verdict.customers.items(), key=lambda row: (-row[1], row[0]))[:most]:
        typer.echo(f"{customer:016x} {units:12.3f}")
