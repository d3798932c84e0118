"""From a deployment's file to what runs: all that is wrong with it, or its routes, pools and settings."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from troutdock.admission.interface import Effect, Plan, RequestClass
from troutdock.address import parse_address
from troutdock.http.body_limits import body_budget_bytes, max_streams_for
from troutdock.library.deployment import Deployment
from troutdock.operator.deployment import DeploymentFile, Match, RouteSection, ValueMatch, nearest, validated
from troutdock.operator.yaml_tree import Keys, Problem, Tree, load, named
from troutdock.platform.config import Config, ConfigError
from troutdock.routing_service.reader import CustomerHeaders
from troutdock.routing_service.service import PoolOptions, RoutingOptions
from troutdock.routing import route as routing
from troutdock.routing.table import RouteTable


COMPARED = ("hosts", "paths", "methods", "values", "to", "mirrors", "rewrite", "cls", "order")  # of a route


@dataclass(frozen=True, slots=True)
class Compiled:
    """A deployment that can run."""

    file: DeploymentFile
    config: Config
    terms: RoutingOptions


def read_deployment(path: Path, environment: Mapping[str, str] = os.environ) -> Compiled | list[Problem]:
    """The file, or all that is wrong with it, in the order of its lines."""
    tree = load(path, environment)
    file = validated(tree)
    found = None if file is None else compiled(file, tree)
    if tree.problems or found is None:
        return sorted(dict.fromkeys(tree.problems))
    return found


def compiled(file: DeploymentFile, tree: Tree) -> Compiled | None:
    """The file as it runs, or None with what is wrong across its sections added to the tree's problems."""
    routes: list[routing.Route] = []
    names: dict[str, int] = {}
    for number, section in enumerate(file.routes):
        keys: Keys = ("routes", number)
        _cross(file, section, tree, keys)
        if section.name in names:
            _wrong(
                tree,
                (*keys, "name"),
                f"{section.name!r} is there already, at "
                f"{tree.place(('routes', names[section.name], 'name'))}",
            )
        names.setdefault(section.name, number)
        try:
            routes.append(routing.validate_route(_route(section, number)))
        except routing.InvalidRoute as error:
            _wrong(tree, (*keys, "match"), str(error))
    servers: dict[str, str] = {}
    for name, pool in file.pools.items():
        if not pool.servers:
            _wrong(tree, ("pools", name, "servers"), "a pool without servers")
        for number, server in enumerate(pool.servers):
            if server in servers:
                _wrong(
                    tree,
                    ("pools", name, "servers", number),
                    f"{server} stands in {servers[server]!r} already: a server belongs to one pool",
                )
            servers.setdefault(server, name)
    if file.customers.default_plan and file.customers.default_plan not in file.plans:
        _wrong(
            tree,
            ("customers", "default_plan"),
            f"{file.customers.default_plan!r} is no plan"
            + nearest(file.customers.default_plan, list(file.plans)),
        )
    if file.management and file.management == file.listen:
        _wrong(tree, ("management",), "the clients' address is the same")
    if tree.problems:
        return None
    table = RouteTable.of(routes)
    for name, other in table.unreachable():
        said = f"no request can take it: {other!r} takes all of its own"
        _wrong(tree, ("routes", names[name], "match"), said)
    try:
        config = _config(file)
    except (ConfigError, ValueError) as error:
        _wrong(tree, (), str(error))
    if tree.problems:
        return None
    pools = tuple(
        PoolOptions(name, tuple(p.servers), p.connect_ms / 1000, p.idle_s) for name, p in file.pools.items()
    )
    c = file.customers
    customers = CustomerHeaders(
        c.account.lower().encode(), c.plan.lower().encode(), c.units.lower().encode(), c.default_plan
    )
    return Compiled(file, config, RoutingOptions(pools, table, customers))


def _wrong(tree: Tree, keys: Keys, said: str) -> None:
    tree.problems.append(Problem(tree.place(keys), named(keys), said))


def _cross(file: DeploymentFile, section: RouteSection, tree: Tree, keys: Keys) -> None:
    """Names that a route uses and nobody has."""
    if section.cls not in file.classes:
        said = f"{section.cls!r} is no class" + nearest(section.cls, list(file.classes))
        _wrong(tree, (*keys, "class"), said)
    used: list[tuple[Keys, str]] = []
    if isinstance(section.to, str):
        used.append(((*keys, "to"), section.to))
    else:
        used += [((*keys, "to", n, "pool"), part.pool) for n, part in enumerate(section.to)]
    used += [((*keys, "mirror", n, "pool"), part.pool) for n, part in enumerate(section.mirror)]
    for where, pool in used:
        if pool not in file.pools:
            _wrong(tree, where, f"{pool!r} is no pool" + nearest(pool, list(file.pools)))
    if section.mirror and section.cls in file.classes and file.classes[section.cls].effect != "safe":
        _wrong(tree, (*keys, "mirror"), f"only safe requests are copied, and {section.cls} is not")


def _route(section: RouteSection, order: int) -> routing.Route:
    match = section.match
    to = (
        (routing.WeightedPool(section.to),)
        if isinstance(section.to, str)
        else tuple(routing.WeightedPool(part.pool, part.weight) for part in section.to)
    )
    rewrite = section.rewrite
    values = (*_values("header", match.headers), *_values("query", match.query))
    return routing.Route(
        section.name,
        order,
        tuple(_paths(match)),
        tuple(match.hosts),
        frozenset(match.methods),
        values,
        to,
        tuple(routing.WeightedPool(m.pool, m.percent) for m in section.mirror),
        routing.Rewrite(
            rewrite.prefix,
            tuple((k.lower(), v) for k, v in rewrite.set.items()),
            tuple(name.lower() for name in rewrite.remove),
        ),
        section.cls,
    )


def _paths(match: Match) -> list[routing.Path]:
    paths = []
    if match.path is not None:
        paths.append(routing.exact(match.path))
    if match.prefix is not None:
        paths.append(routing.prefix(match.prefix))
    if match.pattern is not None:
        paths.append(routing.pattern(match.pattern))
    if match.grpc is not None:
        service, method = match.grpc.service, match.grpc.method
        paths.append(routing.exact(f"/{service}/{method}") if method else routing.prefix(f"/{service}"))
    return paths


def _values(where: str, wanted: dict[str, str | ValueMatch]) -> list[routing.Condition]:
    found = []
    for raw, value in wanted.items():
        name = raw.lower() if where == "header" else raw
        if isinstance(value, str):
            found.append(routing.Condition(where, name, routing.Comparison.IS, value))
        elif value.prefix is not None:
            found.append(routing.Condition(where, name, routing.Comparison.PREFIX, value.prefix))
        elif value.pattern is not None:
            found.append(routing.Condition(where, name, routing.Comparison.PATTERN, value.pattern))
        else:
            how = routing.Comparison.PRESENT if value.present else routing.Comparison.ABSENT
            found.append(routing.Condition(where, name, how))
    return found


def _config(file: DeploymentFile) -> Config:
    """As if the platform had told it; no pool is the platform's own."""
    classes = [
        RequestClass(c.aim_ms, c.deadline_ms, c.worth, Effect(c.effect), window_ms=c.window_ms, name=name)
        for name, c in file.classes.items()
    ]
    plans = [
        Plan(
            p.rate,
            p.burst,
            price=p.price,
            ceiling_rate=p.ceiling_rate,
            ceiling_burst=p.ceiling_burst,
            name=name,
        )
        for name, p in file.plans.items()
    ]
    limits = file.limits
    made = Deployment.of(
        file.name,
        classes=classes,
        plans=plans,
        most_units=limits.most_units,
        max_attempts=limits.attempts,
        sockets=limits.sockets,
        marks_retry=True,
    )
    return replace(
        made.config,
        listen=parse_address(file.listen),
        management=parse_address(file.management) if file.management else None,
        bodies=body_budget_bytes(limits.memory_mb),
        streams=max_streams_for(limits.memory_mb),
    )


def differences(old: Compiled, new: Compiled) -> list[str]:
    """What a reload would do, a line each; what needs a restart says so."""
    lines = []
    before, after = (
        {r.id: r for r in sorted(c.terms.table.routes.values(), key=lambda r: r.order)} for c in (old, new)
    )
    for name in after:
        if name not in before:
            lines.append(f"route {name}: new")
        elif before[name] != after[name]:
            changed = [f for f in COMPARED if getattr(before[name], f) != getattr(after[name], f)]
            lines.append(f"route {name}: other {', '.join(changed)}")
    lines += [f"route {name}: gone" for name in before if name not in after]
    pools = {p.name: p for p in old.terms.pools}
    for pool in new.terms.pools:
        known = pools.pop(pool.name, None)
        if known is None:
            lines.append(f"pool {pool.name}: new, {len(pool.servers)} servers")
            continue
        lines += [f"pool {pool.name}: + {server}" for server in pool.servers if server not in known.servers]
        lines += [
            f"pool {pool.name}: - {server}, drains" for server in known.servers if server not in pool.servers
        ]
        if (pool.connect_s, pool.idle_s) != (known.connect_s, known.idle_s):
            lines.append(f"pool {pool.name}: other times, with a restart only")
    lines += [f"pool {name}: gone, drains" for name in pools]
    for what in ("name", "listen", "management", "classes", "plans", "customers", "limits"):
        if getattr(old.file, what) != getattr(new.file, what):
            lines.append(f"{what}: changed, with a restart only")
    return lines
