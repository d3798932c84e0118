"""troutdock system: what the whole gateway is at, by a running registry or a store's folder at rest."""

from __future__ import annotations

import json
import sqlite3
from contextlib import closing
from pathlib import Path
from typing import Any

import typer

from troutdock.settings.boot import BOOT_SETTINGS, load_boot
from troutdock.settings.configuration import (
    Configuration,
    RejectedConfiguration,
    max_configuration_bytes,
    read_configuration,
)
from troutdock.settings.table import REQUIRED
from troutdock.proxy.route_table import RouteTable
from troutdock.rpc.messages import WriteAck
from troutdock.rpc.event_trace import TraceError, replay_events, read_trace
from troutdock.config_store.replica import EVENTS, replica_from_trace
from troutdock.config_store.replica_state import Committed, Log, Send
from troutdock.cli.common import call, plain_errors

system = typer.Typer(no_args_is_help=True, help="The whole gateway: registries, stores, ingresses.")
_AT = typer.Option(..., "--at", help="A registry's control-plane address, host:port.")
_DATA = typer.Option(..., "--data", help="A store's data folder; nothing in it is changed.")
_JSON = typer.Option(False, "--json", help="As JSON.")
_FILE = "rootstock.db"
BOOT_MEMORY_MB = 296  # of the operators' core machines: what bounds a configuration


def _told(at: str) -> dict[str, Any]:
    found = json.loads(call(at, "GET", "/system/status"))
    if not isinstance(found, dict):
        raise ValueError(f"{at}: no registry of this system")
    return found


@system.command()
def status(at: str = _AT, as_json: bool = _JSON) -> None:
    """What one registry knows: the primary, the version in force, the others, backends by service."""
    with plain_errors():
        found = _told(at)
    if as_json:
        typer.echo(json.dumps(found))
        return
    typer.echo(f"registry   {found['node']}")
    typer.echo(f"primary    {found['primary'] or 'none is known: no change is taken now'}")
    typer.echo(f"in force   r{found['version']}" if found["version"] else "in force   nothing yet")
    for ip, linked in sorted(found["registries"].items()):
        typer.echo(f"registry   {ip} {'linked' if linked else 'not linked'}")
    for service, counts in sorted(found["services"].items()):
        typer.echo(f"service    {service}: " + ", ".join(f"{n} {state}" for state, n in counts.items() if n))


@system.command()
def members(at: str = _AT, as_json: bool = _JSON) -> None:
    """The ingresses that are linked to any registry."""
    with plain_errors():
        found = _told(at)["members"]
    if as_json:
        typer.echo(json.dumps(found))
        return
    for member in sorted(found, key=lambda m: (m["zone"], m["name"])):
        typer.echo(f"{member['zone']:<16} {member['name']:<24} {member['ip']}:{member['port']}")


def _configuration(file: Path) -> Configuration:
    found = read_configuration(file.read_bytes())
    if isinstance(found, RejectedConfiguration):
        raise ValueError(f"{file}: {found}")
    return found


@system.command()
def settings(as_json: bool = _JSON) -> None:
    """The fields of the settings file that the programs read: default, and what each is for."""
    rows = [
        {"name": s.name, "required": s.default is REQUIRED, "default": s.default, "about": s.about}
        for s in BOOT_SETTINGS.settings
    ]
    for row in rows:
        if row["required"]:
            row["default"] = None
    if as_json:
        typer.echo(json.dumps(rows))
        return
    for row in rows:
        default = "must be set" if row["required"] else json.dumps(row["default"])
        typer.echo(f"{row['name']:<26} {default:<14} {row['about']}")


@system.command()
def check(file: Path = typer.Argument(..., help="A configuration, or a settings file (.yaml).")) -> None:
    """Read a configuration or a settings file as the programs do; what is wrong is named with its place."""
    with plain_errors():
        if file.suffix in (".yaml", ".yml"):
            boot = load_boot(str(file))
            typer.echo(f"{file}: settings of {boot.name} in {boot.zone}, {len(boot.seeds)} seeds")
            return
        found = _configuration(file)
        size, bound = file.stat().st_size, max_configuration_bytes(BOOT_MEMORY_MB)
    keys = "no keys asked" if found.tenants is None else f"{len(found.tenants)} tenants"
    counts = f"{len(found.routes)} routes, {len(found.services)} services"
    typer.echo(f"{file}: r{found.version}, {counts}, {keys}")
    if size > bound:
        typer.echo(f"{file}: {size} bytes; a core with {BOOT_MEMORY_MB} MB takes {bound}", err=True)
        raise typer.Exit(1)


@system.command()
def explain(
    file: Path = typer.Argument(..., help="A configuration."),
    url: str = typer.Argument(..., help="host/path of a request."),
    key: str = typer.Option("", "--key", help="The key it carries."),
    as_json: bool = _JSON,
) -> None:
    """Which route, services and tenant a request takes under a configuration; exit 1 where it takes none."""
    with plain_errors():
        table = RouteTable(_configuration(file), {})
    host, slash, path = url.removeprefix("http://").partition("/")
    path = (slash + path or "/").partition("?")[0]
    found = table.find(host.partition(":")[0].lower().encode(), path.encode())
    holder = table.key_owner(key.encode())
    told: dict[str, Any] = {"status": 404, "why": "no route"}
    if found is not None:
        route = found.route
        told = {
            "status": 0,
            "route": route.name,
            "prefix": route.prefix,
            "to": dict(route.split),
            "repeatable": route.read_only,
            "attempts": route.max_attempts,
            "timeout_s": route.timeout_ms / 1000,
            "priority": route.priority,
            "tenant": None,
            "rate": 0.0,
            "burst": 0.0,
        }
        if table.needs_key and not route.public:
            if holder is None:
                told = {**told, "status": 401, "why": "the key is nobody's"}
            else:
                tenant = holder.tenant
                told.update(tenant=tenant.name, rate=tenant.rate, burst=tenant.burst)
                told["priority"] = route.priority if tenant.priority is None else tenant.priority
    if as_json:
        typer.echo(json.dumps(told))
    else:
        for name, value in told.items():
            if name != "status" or value:
                typer.echo(f"{name:<11} {value}")
    if told["status"]:
        raise typer.Exit(1)


@system.command()
def put(
    file: Path = typer.Argument(..., help="A configuration."),
    at: list[str] = typer.Option(..., "--at", help="A control-plane address; several are tried in turn."),
) -> None:
    """Send a configuration, until one core machine says that two disks have it."""
    with plain_errors():
        found, why = _configuration(file), ""
        for address in at:
            try:
                call(address, "POST", "/configuration/replace", file.read_bytes())
            except (OSError, ValueError) as error:
                why = str(error)
                continue
            typer.echo(f"r{found.version} is kept")
            return
        raise ValueError(why)


def _base(data: Path) -> sqlite3.Connection:
    path = data / _FILE
    if not path.exists():
        raise ValueError(f"{path}: no store lies here")
    return sqlite3.connect(f"file:{path}?mode=ro", uri=True)


@system.command()
def history(data: Path = _DATA, as_json: bool = _JSON) -> None:
    """The versions that a store has kept, the newest last, and the epoch it has promised."""
    with plain_errors(sqlite3.Error), closing(_base(data)) as base:
        row = base.execute("SELECT promised, record, version FROM state").fetchone()
        rows = base.execute(
            "SELECT version, epoch, length(body) FROM configurations ORDER BY version"
        ).fetchall()
    promised, record, newest = row or (0, None, 0)
    if as_json:
        typer.echo(
            json.dumps(
                {
                    "promised": promised,
                    "record": json.loads(record) if record else None,
                    "newest": newest,
                    "versions": [list(r) for r in rows],
                }
            )
        )
        return
    typer.echo(f"promised   epoch {promised}")
    if record:
        epoch, primary, backup, *voters = json.loads(record)
        typer.echo(f"record     epoch {epoch}: primary {primary}, backup {backup or 'none'}")
        if voters and voters[0]:
            typer.echo(f"voters     {', '.join(voters[0])}")
    for version, epoch, size in rows:
        mark = ", the newest here" if version == newest else ""
        typer.echo(f"r{version:<9} {size} bytes, under epoch {epoch}{mark}")


@system.command()
def replay(
    trace: Path = typer.Argument(..., help="A store's trace: the settings field traceFile begins one."),
    as_json: bool = _JSON,
) -> None:
    """Play a store's recorded events against its state machine again: what it did, and when."""
    found: list[dict[str, Any]] = []
    with plain_errors(KeyError):
        made, events = read_trace(trace)
        if made.get("machine") != "rootstock":
            raise TraceError(f"{trace.name}, line 1: not a store's trace")
        replica, now = replica_from_trace(made), float(made["now"])
        count = 0
        for (_, args), actions in replay_events(replica, events, EVENTS):
            now = next((arg for arg in args if isinstance(arg, float)), now)
            found += _seen(now, actions)
            count += 1
    if as_json:
        typer.echo(json.dumps({"events": count, "seen": found}))
        return
    for line in found:
        typer.echo(f"{line['at'] - float(made['now']):9.3f}  {line['what']}")
    typer.echo(f"{count} events")


def _seen(now: float, actions: list[Any] | None) -> list[dict[str, Any]]:
    """What operators look for among a replica's actions."""
    found = []
    for action in actions or ():
        match action:
            case Log(text):
                found.append({"at": now, "what": text})
            case Committed(version, _):
                found.append({"at": now, "what": f"In force: r{version}."})
            case Send(to, WriteAck(number, ok, why)):
                found.append({"at": now, "what": f"Call {number} of {to}: {'kept' if ok else why}."})
    return found


@system.command()
def export(
    data: Path = _DATA,
    version: int = typer.Option(0, "--version", help="Which one; the newest where it is left out."),
) -> None:
    """A configuration as its operator sent it, to standard output."""
    with plain_errors(sqlite3.Error), closing(_base(data)) as base:
        wanted = version or (base.execute("SELECT version FROM state").fetchone() or (0,))[0]
        row = base.execute("SELECT body FROM configurations WHERE version = ?", (wanted,)).fetchone()
        if row is None:
            why = f"r{wanted} is not kept here" if wanted else "no configuration yet"
            raise ValueError(f"{data}: {why}")
    typer.echo(bytes(row[0]).decode())
