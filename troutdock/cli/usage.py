"""troutdock usage: creates, verifies, reconciles and summarises the exports in a folder."""

from __future__ import annotations

import json
import time
from pathlib import Path

import typer

from troutdock.cli.common import plain_errors
from troutdock.usage.store import StoreError

usage = typer.Typer(no_args_is_help=True, help="The usage ledger and its exports.")
_FOLDER = typer.Argument(help="The folder of the exports, or the ledger's folder that contains it.")
_JSON = typer.Option(False, "--json", help="Print one JSON object instead of lines.")


def _exports(folder: Path) -> Path:
    if not folder.is_dir():
        raise StoreError(f"{folder}: no such folder")
    return folder / "exports" if (folder / "exports").is_dir() else folder


@usage.command()
def export(
    folder: Path = typer.Argument(help="The ledger's folder."),
    ingress: str = typer.Option(help="Name of the ingress that owns the ledger."),
    rows: int = typer.Option(100_000, min=1, help="Maximum number of records per file."),
) -> None:
    """Export the records that are in no export yet; the ingress may be running."""
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
    """Verify that no record is exported twice and none is missing; faults are listed in order."""
    from troutdock.usage.files import Files
    from troutdock.usage.verify import verify as verify_exports

    with plain_errors(StoreError):
        verdict = verify_exports(Files(_exports(folder)))
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
    """Compare the exports with the records of their consumer."""
    from troutdock.usage.files import Files
    from troutdock.usage.verify import reconcile as compare
    from troutdock.usage.verify import verify as verify_exports

    with plain_errors(StoreError):
        verdict = verify_exports(Files(_exports(folder)))
        found = [*verdict.faults, *compare(verdict, received.read_bytes().splitlines())]
    for line in found:
        typer.echo(line)
    typer.echo(f"{verdict.exports} exports, {len(found)} differences")
    if found:
        raise typer.Exit(1)


@usage.command()
def top(folder: Path = _FOLDER, most: int = typer.Option(10, min=1, help="Number of customers.")) -> None:
    """List the customers with the most units."""
    from troutdock.usage.files import Files
    from troutdock.usage.verify import verify as verify_exports

    with plain_errors(StoreError):
        verdict = verify_exports(Files(_exports(folder)))
    for customer, units in sorted(verdict.customers.items(), key=lambda row: (-row[1], row[0]))[:most]:
        typer.echo(f"{customer:016x} {units:12.3f}")
