"""troutdock serve, check, explain, schema, diff: commands for a deployment in one YAML file."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from urllib.parse import urlsplit

import typer

from troutdock.cli.common import plain_errors, exit_with_error
from troutdock.operator.compiled import Compiled, differences, read_deployment
from troutdock.operator.deployment import schema as schema_of
from troutdock.routing.route import Request
from troutdock.routing.split import choose_pool
from troutdock.routing.table import explain as explained
from troutdock.routing.target import normalize_target, normalize_host

_FILE = typer.Argument(help="The deployment's YAML file.")
_JSON = typer.Option(False, "--json", help="Print JSON instead of lines.")


def read(file: Path, as_json: bool = False) -> Compiled:
    """Returns the deployment; prints the problems, one per line, and exits with 2 if there are any."""
    deployment = read_deployment(file)
    if isinstance(deployment, Compiled):
        return deployment
    if as_json:
        rows = [
            {
                "file": p.location.file,
                "line": p.location.line,
                "column": p.location.column,
                "key": p.key,
                "said": p.message,
            }
            for p in deployment
        ]
        typer.echo(json.dumps({"problems": rows}))
    else:
        for problem in deployment:
            typer.echo(str(problem), err=True)
    raise typer.Exit(2)


def check(file: Path = _FILE, as_json: bool = _JSON) -> None:
    """Report all problems of a file with their positions; nothing is started."""
    deployment = read(file, as_json)
    pools, routes = len(deployment.terms.pools), len(deployment.terms.table.routes)
    servers = sum(len(pool.servers) for pool in deployment.terms.pools)
    if as_json:
        typer.echo(json.dumps({"problems": [], "routes": routes, "pools": pools, "servers": servers}))
    else:
        typer.echo(f"{file}: good: {routes} routes, {pools} pools, {servers} servers")


def explain(
    file: Path = _FILE,
    method: str = typer.Argument(help="Such as GET."),
    url: str = typer.Argument(help="https://host/path?query"),
    headers: list[str] = typer.Option([], "-H", "--header", help="'Name: value', repeatable."),
    as_json: bool = _JSON,
) -> None:
    """Show which route a request takes and why earlier routes don't match; exit 1 if no route does."""
    deployment = read(file, as_json)
    with plain_errors():
        header_values = {}
        for header in headers:
            name, colon, value = header.partition(":")
            if not colon or not name.strip():
                raise ValueError(f"{header!r} is no 'Name: value'")
            header_values[name.strip().lower()] = value.strip()
        parts = urlsplit(url)
        target = normalize_target(
            parts.path + ("?" + parts.query if parts.query else "") if parts.scheme else url
        )
        host = normalize_host(parts.netloc if parts.scheme else header_values.get("host", ""))
    request = Request(method.upper(), host, target.path, target.query, header_values)
    rows = list(explained(deployment.terms.table.routes.values(), request))
    matched = rows[-1].route if rows and not rows[-1].why else None
    account = header_values.get(deployment.terms.customers.account.decode())
    pool = ""
    if matched is not None:
        pool = choose_pool(matched.to, account) if account else " or ".join(part.pool for part in matched.to)
    if as_json:
        before = [{"route": row.route.id, "why": row.why} for row in rows if row.why]
        matched_id = None if matched is None else matched.id
        typer.echo(json.dumps({"route": matched_id, "pool": pool, "path": target.path, "before": before}))
    else:
        for row in rows:
            outcome = row.why or f"class {row.route.cls}, to {pool}"
            typer.echo(f"{'no ' if row.why else 'yes'}  {row.route.id:<24} {outcome}")
        if matched is None:
            typer.echo(f"no route takes {request.method} {host}{target.path}")
    if matched is None:
        raise typer.Exit(1)


def schema() -> None:
    """Print the JSON Schema of a deployment file, for editors."""
    typer.echo(json.dumps(schema_of(), indent=2))


def diff(
    old: Path = typer.Argument(help="The old file."),
    new: Path = typer.Argument(help="The new file."),
    as_json: bool = _JSON,
) -> None:
    """List the changes that a reload would make; exit 1 if there are any."""
    lines = differences(read(old, as_json), read(new, as_json))
    if as_json:
        typer.echo(json.dumps({"changes": lines}))
    else:
        for line in lines or ["nothing would change"]:
            typer.echo(line)
    if lines:
        raise typer.Exit(1)


def serve(file: Path = _FILE) -> None:
    """Serve a deployment until SIGTERM, which drains it; SIGHUP reloads the file."""
    from troutdock.operator.subprocess_reader import read_in_subprocess
    from troutdock.routing_service.run import run

    running = read(file)

    def reload() -> Compiled | list[str]:
        """Reads the file again on SIGHUP; returns its problems if there are any."""
        nonlocal running
        deployment = read_in_subprocess(file)
        if isinstance(deployment, Compiled):
            for line in differences(running, deployment):
                print(f"reload: {line}", file=sys.stderr)
            running = deployment
        return deployment

    try:
        run(running.config, running.terms, reload)
    except OSError as error:
        exit_with_error(f"can't serve: {error}", 1)
