"""troutdock serve, check, explain, schema, diff: a deployment in one YAML file."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from urllib.parse import urlsplit

import typer

from troutdock.cli.common import plain_errors, stop
from troutdock.operator.compiled import Compiled, differences, read_deployment
from troutdock.operator.deployment import schema as schema_of
from troutdock.routing.route import Request
from troutdock.routing.split import choose_pool
from troutdock.routing.table import explain as explained
from troutdock.routing.target import normalize_target, normalize_host

_FILE = typer.Argument(help="The deployment's YAML file.")
_JSON = typer.Option(False, "--json", help="JSON in place of lines.")


def read(file: Path, as_json: bool = False) -> Compiled:
    """The deployment; exit 2 with all that is wrong, a line each, if there is anything."""
    found = read_deployment(file)
    if isinstance(found, Compiled):
        return found
    if as_json:
        rows = [
            {
                "file": p.place.file,
                "line": p.place.line,
                "column": p.place.column,
                "key": p.key,
                "said": p.said,
            }
            for p in found
        ]
        typer.echo(json.dumps({"problems": rows}))
    else:
        for problem in found:
            typer.echo(str(problem), err=True)
    raise typer.Exit(2)


def check(file: Path = _FILE, as_json: bool = _JSON) -> None:
    """Say all that is wrong with a file, each with its place; nothing is started."""
    found = read(file, as_json)
    pools, routes = len(found.terms.pools), len(found.terms.table.routes)
    servers = sum(len(pool.servers) for pool in found.terms.pools)
    if as_json:
        typer.echo(json.dumps({"problems": [], "routes": routes, "pools": pools, "servers": servers}))
    else:
        typer.echo(f"{file}: good: {routes} routes, {pools} pools, {servers} servers")


def explain(
    file: Path = _FILE,
    method: str = typer.Argument(help="GET, say."),
    url: str = typer.Argument(help="https://host/path?query"),
    headers: list[str] = typer.Option([], "-H", "--header", help="'Name: value', once for each."),
    as_json: bool = _JSON,
) -> None:
    """Say which route a request takes, and why not those before it; exit 1 if it takes none."""
    found = read(file, as_json)
    with plain_errors():
        told = {}
        for header in headers:
            name, colon, value = header.partition(":")
            if not colon or not name.strip():
                raise ValueError(f"{header!r} is no 'Name: value'")
            told[name.strip().lower()] = value.strip()
        parts = urlsplit(url)
        target = normalize_target(
            parts.path + ("?" + parts.query if parts.query else "") if parts.scheme else url
        )
        host = normalize_host(parts.netloc if parts.scheme else told.get("host", ""))
    request = Request(method.upper(), host, target.path, target.query, told)
    rows = list(explained(found.terms.table.routes.values(), request))
    taken = rows[-1].route if rows and not rows[-1].why else None
    account = told.get(found.terms.customers.account.decode())
    pool = ""
    if taken is not None:
        pool = choose_pool(taken.to, account) if account else " or ".join(part.pool for part in taken.to)
    if as_json:
        before = [{"route": row.route.id, "why": row.why} for row in rows if row.why]
        found_id = None if taken is None else taken.id
        typer.echo(json.dumps({"route": found_id, "pool": pool, "path": target.path, "before": before}))
    else:
        for row in rows:
            said = row.why or f"class {row.route.cls}, to {pool}"
            typer.echo(f"{'no ' if row.why else 'yes'}  {row.route.id:<24} {said}")
        if taken is None:
            typer.echo(f"no route takes {request.method} {host}{target.path}")
    if taken is None:
        raise typer.Exit(1)


def schema() -> None:
    """The JSON Schema of a deployment's file, for editors."""
    typer.echo(json.dumps(schema_of(), indent=2))


def diff(
    old: Path = typer.Argument(help="The file as it was."),
    new: Path = typer.Argument(help="As it is to be."),
    as_json: bool = _JSON,
) -> None:
    """Say what a reload would do; exit 1 if it would do anything."""
    lines = differences(read(old, as_json), read(new, as_json))
    if as_json:
        typer.echo(json.dumps({"changes": lines}))
    else:
        for line in lines or ["nothing would change"]:
            typer.echo(line)
    if lines:
        raise typer.Exit(1)


def serve(file: Path = _FILE) -> None:
    """Serve a deployment until SIGTERM, which drains; SIGHUP takes over what has changed in the file."""
    from troutdock.operator.subprocess_reader import read_apart
    from troutdock.routing_service.run import run

    running = read(file)

    def again() -> Compiled | list[str]:
        """For SIGHUP: the file anew, or what is wrong with it."""
        nonlocal running
        found = read_apart(file)
        if isinstance(found, Compiled):
            for line in differences(running, found):
                print(f"reload: {line}", file=sys.stderr)
            running = found
        return found

    try:
        run(running.config, running.terms, again)
    except OSError as error:
        stop(f"can't serve: {error}", 1)
