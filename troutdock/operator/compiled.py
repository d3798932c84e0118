"""Compiles a deployment file into routes, pools and settings, or reports every problem in it."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from troutdock.admission.interface import Effect, Plan, RequestClass
from troutdock.address import parse_address
from troutdock.http.body_limits import body_budget_bytes, max_streams_for
from troutdock.library.deployment import Deployment
from troutdock.operator.deployment import (
    DeploymentFile,
    Match,
    RouteSection,
    ValueMatch,
    suggestion,
    validate,
)
from troutdock.operator.yaml_tree import Keys, Problem, Tree, load, format_keys
from troutdock.platform.config import Config, ConfigError
from troutdock.routing_service.reader import CustomerHeaders
from troutdock.routing_service.service import PoolOptions, RoutingOptions
from troutdock.routing import route as routing
from troutdock.routing.table import RouteTable


COMPARED_ROUTE_FIELDS = (
    "hosts",
    "paths",
    "methods",
    "values",
    "to",
    "mirrors",
    "rewrite",
    "cls",
    "order",
)  # attributes of a route


@dataclass(frozen=True, slots=True)
class Compiled:
    """A valid deployment, ready to run."""

    file: DeploymentFile
    config: Config
    terms: RoutingOptions


def read_deployment(path: Path, environment: Mapping[str, str] = os.environ) -> Compiled | list[Problem]:
    """Returns the compile_deployment file, or all its problems in the order of its lines."""
    tree = load(path, environment)
    file = validate(tree)
    deployment = None if file is None else compile_deployment(file, tree)
    if tree.problems or deployment is None:
        return sorted(dict.fromkeys(tree.problems))
    return deployment


def compile_deployment(file: DeploymentFile, tree: Tree) -> Compiled | None:
    """Compiles a validate file.

    Returns None if its sections contradict each other; these problems are added to the tree.
    """
    routes: list[routing.Route] = []
    names: dict[str, int] = {}
    for number, section in enumerate(file.routes):
        keys: Keys = ("routes", number)
        _check_references(file, section, tree, keys)
        if section.name in names:
            _add_problem(
                tree,
                (*keys, "name"),
                f"{section.name!r} is there already, at "
                f"{tree.location(('routes', names[section.name], 'name'))}",
            )
        names.setdefault(section.name, number)
        try:
            routes.append(routing.validate_route(_route(section, number)))
        except routing.InvalidRoute as error:
            _add_problem(tree, (*keys, "match"), str(error))
    servers: dict[str, str] = {}
    for name, pool in file.pools.items():
        if not pool.servers:
            _add_problem(tree, ("pools", name, "servers"), "a pool without servers")
        for number, server in enumerate(pool.servers):
            if server in servers:
                _add_problem(
                    tree,
                    ("pools", name, "servers", number),
                    f"{server} stands in {servers[server]!r} already: a server belongs to one pool",
                )
            servers.setdefault(server, name)
    if file.customers.default_plan and file.customers.default_plan not in file.plans:
        _add_problem(
            tree,
            ("customers", "default_plan"),
            f"{file.customers.default_plan!r} is no plan"
            + suggestion(file.customers.default_plan, list(file.plans)),
        )
    if file.management and file.management == file.listen:
        _add_problem(tree, ("management",), "the clients' address is the same")
    if tree.problems:
        return None
    table = RouteTable.of(routes)
    for name, other in table.unreachable():
        message = f"no request can take it: {other!r} takes all of its own"
        _add_problem(tree, ("routes", names[name], "match"), message)
    try:
        config = _config(file)
    except (ConfigError, ValueError) as error:
        _add_problem(tree, (), str(error))
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


def _add_problem(tree: Tree, keys: Keys, message: str) -> None:
    tree.problems.append(Problem(tree.location(keys), format_keys(keys), message))


def _check_references(file: DeploymentFile, section: RouteSection, tree: Tree, keys: Keys) -> None:
    """Reports classes and pools that a route refers to and that are not defined."""
    if section.cls not in file.classes:
        message = f"{section.cls!r} is no class" + suggestion(section.cls, list(file.classes))
        _add_problem(tree, (*keys, "class"), message)
    references: list[tuple[Keys, str]] = []
    if isinstance(section.to, str):
        references.append(((*keys, "to"), section.to))
    else:
        references += [((*keys, "to", n, "pool"), part.pool) for n, part in enumerate(section.to)]
    references += [((*keys, "mirror", n, "pool"), part.pool) for n, part in enumerate(section.mirror)]
    for where, pool in references:
        if pool not in file.pools:
            _add_problem(tree, where, f"{pool!r} is no pool" + suggestion(pool, list(file.pools)))
    if section.mirror and section.cls in file.classes and file.classes[section.cls].effect != "safe":
        _add_problem(tree, (*keys, "mirror"), f"only safe requests are copied, and {section.cls} is not")


def _route(section: RouteSection, order: int) -> routing.Route:
    match = section.match
    to = (
        (routing.WeightedPool(section.to),)
        if isinstance(section.to, str)
        else tuple(routing.WeightedPool(part.pool, part.weight) for part in section.to)
    )
    rewrite = section.rewrite
    values = (*_value_conditions("header", match.headers), *_value_conditions("query", match.query))
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


def _value_conditions(where: str, wanted: dict[str, str | ValueMatch]) -> list[routing.Condition]:
    conditions = []
    for raw, value in wanted.items():
        name = raw.lower() if where == "header" else raw
        if isinstance(value, str):
            conditions.append(routing.Condition(where, name, routing.Comparison.IS, value))
        elif value.prefix is not None:
            conditions.append(routing.Condition(where, name, routing.Comparison.PREFIX, value.prefix))
        elif value.pattern is not None:
            conditions.append(routing.Condition(where, name, routing.Comparison.PATTERN, value.pattern))
        else:
            how = routing.Comparison.PRESENT if value.present else routing.Comparison.ABSENT
            conditions.append(routing.Condition(where, name, how))
    return conditions


def _config(file: DeploymentFile) -> Config:
    """Returns the configuration as the platform would supply it, without a pool of the platform's own."""
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
    deployment = Deployment.of(
        file.name,
        classes=classes,
        plans=plans,
        most_units=limits.most_units,
        max_attempts=limits.attempts,
        sockets=limits.sockets,
        marks_retry=True,
    )
    return replace(
        deployment.config,
        listen=parse_address(file.listen),
        management=parse_address(file.management) if file.management else None,
        bodies=body_budget_bytes(limits.memory_mb),
        streams=max_streams_for(limits.memory_mb),
    )


def differences(old: Compiled, new: Compiled) -> list[str]:
    """Returns the changes that a reload would make, one per line; changes that need a restart are marked."""
    lines = []
    before, after = (
        {r.id: r for r in sorted(c.terms.table.routes.values(), key=lambda r: r.order)} for c in (old, new)
    )
    for name in after:
        if name not in before:
            lines.append(f"route {name}: new")
        elif before[name] != after[name]:
            changed = [
                f for f in COMPARED_ROUTE_FIELDS if getattr(before[name], f) != getattr(after[name], f)
            ]
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
