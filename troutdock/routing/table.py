"""Compiled route table: finds the route of a request in time nearly independent of their number (no I/O).

Theory of operation. Among all matching routes, the first in this order is chosen:

    1  host: exact, then wildcards (longest first), then none
    2  path: exact, then patterns, then prefixes (longest first)
    3  number of further conditions: more before fewer
    4  position in the file

Hosts and paths are found by lookup: one lookup for an exact host, one for each label for wildcards, one for
an exact path, one for each segment for prefixes, and one automaton (RE2's Set) for all patterns of a host.
The remaining routes, of one host and path, are tried in the order of 3 and 4. A table is immutable;
with_route() and without() return a new one that shares the unchanged parts (persistent maps).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import cached_property
from typing import Any, NamedTuple

import re2
from immutables import Map

from troutdock.routing.route import InvalidRoute, Path, PathKind, Request, Route, validate_route

Bucket = tuple[Route, ...]  # routes of one host and path, in order of evaluation


class RouteMatch(NamedTuple):
    """The route of a request, and the path of the route that matched."""

    route: Route
    path: Path


class HostRoutes:
    """The routes of one host."""

    def __init__(
        self, exact: Map[str, Bucket], prefixes: Map[str, Bucket], patterns: Map[str, Bucket]
    ) -> None:
        self._exact, self._prefixes, self._patterns = exact, prefixes, patterns

    @cached_property
    def _automaton(self) -> tuple[Any, list[str]] | None:
        """Matches all patterns at once; built at the first match. None without patterns."""
        texts = list(self._patterns)
        if not texts:
            return None
        options = re2.Options()
        options.log_errors = False
        automaton = re2.Set.FullMatchSet(options)
        for text in texts:
            automaton.Add(text)
        automaton.Compile()
        return automaton, texts

    def find(self, request: Request) -> RouteMatch | None:
        """Returns the first matching route of this host."""
        path, prefixes = request.path, self._prefixes
        if (bucket := self._exact.get(path)) is not None and (route := _first(bucket, request)) is not None:
            return RouteMatch(route, Path(PathKind.EXACT, path))
        if (automaton := self._automaton) is not None:
            texts = [automaton[1][n] for n in automaton[0].Match(path) or ()]
            found = [(route, text) for text in texts for route in self._patterns[text]]
            for route, text in sorted(found, key=lambda pair: (_precedence(pair[0]), pair[1])):
                if not route.mismatch(request):
                    return RouteMatch(route, Path(PathKind.PATTERN, text))
        if prefixes:
            end = len(path)
            while end >= 0:
                start = path[:end]
                if (bucket := prefixes.get(start)) is not None and (
                    route := _first(bucket, request)
                ) is not None:
                    return RouteMatch(route, Path(PathKind.PREFIX, start))
                end = path.rfind("/", 0, end)
        return None

    def with_path(self, path: Path, route: Route, there: bool) -> HostRoutes:
        """Returns a copy with a route at this path, or without it."""
        kinds = {
            PathKind.EXACT: self._exact,
            PathKind.PREFIX: self._prefixes,
            PathKind.PATTERN: self._patterns,
        }
        kinds[path.kind] = _changed(kinds[path.kind], path.value, route, there)
        return HostRoutes(kinds[PathKind.EXACT], kinds[PathKind.PREFIX], kinds[PathKind.PATTERN])

    @property
    def is_empty(self) -> bool:
        """True if there are no routes."""
        return not (self._exact or self._prefixes or self._patterns)


def _first(bucket: Bucket, request: Request) -> Route | None:
    """Returns the first route whose conditions are met."""
    for route in bucket:
        if not (route.methods or route.values) or not route.mismatch(request):
            return route
    return None


EMPTY = HostRoutes(Map(), Map(), Map())


def _precedence(route: Route) -> tuple[int, int]:
    return -route.conditions, route.order


def _changed(buckets: Map[str, Bucket], value: str, route: Route, there: bool) -> Map[str, Bucket]:
    rest = [r for r in buckets.get(value, ()) if r.id != route.id]
    if there:
        rest.append(route)
    if not rest:
        return buckets.delete(value) if value in buckets else buckets
    return buckets.set(value, tuple(sorted(rest, key=_precedence)))


class RouteTable:
    """An immutable set of routes; create it with RouteTable.of()."""

    def __init__(self, routes: Map[str, Route], hosts: Map[str, HostRoutes]) -> None:
        self.routes, self._hosts = routes, hosts  # keys of hosts: exact, `*.rest`, and "" for any

    @classmethod
    def of(cls, routes: Iterable[Route]) -> RouteTable:
        """Builds a table; raises InvalidRoute for the first invalid route or duplicate name."""
        raw: dict[str, dict[PathKind, dict[str, list[Route]]]] = {}
        known: dict[str, Route] = {}
        for route in routes:
            if route.id in known:
                raise InvalidRoute(f"{route.id}: it is there twice")
            known[validate_route(route).id] = route
            for host in route.host_keys:
                kinds = raw.setdefault(host, {kind: {} for kind in PathKind})
                for path in dict.fromkeys(route.paths):
                    kinds[path.kind].setdefault(path.value, []).append(route)

        def buckets(rows: dict[str, list[Route]]) -> Map[str, Bucket]:
            return Map({value: tuple(sorted(bucket, key=_precedence)) for value, bucket in rows.items()})

        hosts = {
            host: HostRoutes(
                *(buckets(kinds[kind]) for kind in (PathKind.EXACT, PathKind.PREFIX, PathKind.PATTERN))
            )
            for host, kinds in raw.items()
        }
        return cls(Map(known), Map(hosts))

    def with_route(self, route: Route) -> RouteTable:
        """Returns a table with this route, replacing the one of the same name."""
        table = self.without(route.id)
        hosts = table._hosts
        for host in validate_route(route).host_keys:
            paths = hosts.get(host, EMPTY)
            for path in route.paths:
                paths = paths.with_path(path, route, True)
            hosts = hosts.set(host, paths)
        return RouteTable(table.routes.set(route.id, route), hosts)

    def without(self, id: str) -> RouteTable:
        """Returns a table without the route of this name; the same table if there is none."""
        route = self.routes.get(id)
        if route is None:
            return self
        hosts = self._hosts
        for host in route.host_keys:
            paths = hosts[host]
            for path in route.paths:
                paths = paths.with_path(path, route, False)
            hosts = hosts.delete(host) if paths.is_empty else hosts.set(host, paths)
        return RouteTable(self.routes.delete(id), hosts)

    def find(self, request: Request) -> RouteMatch | None:
        """Returns the route of a request, or None."""
        for host in host_lookup_keys(request.host):
            paths = self._hosts.get(host)
            if paths is not None and (found := paths.find(request)) is not None:
                return found
        return None

    def unreachable(self) -> list[tuple[str, str]]:
        """Returns routes that can never match: their name, and the name of a route that precedes them."""
        first: dict[tuple[object, ...], Route] = {}
        taken: dict[str, list[str]] = {}
        for route in sorted(self.routes.values(), key=_precedence):
            same = (route.methods, frozenset(route.values))
            for host in route.host_keys:
                for path in dict.fromkeys(route.paths):
                    before = first.setdefault((host, path, *same), route)
                    if before is not route:
                        taken.setdefault(route.id, []).append(before.id)

        def key_count(route: Route) -> int:
            return len(route.host_keys) * len(dict.fromkeys(route.paths))

        unreachable = [
            (id, names[0]) for id, names in taken.items() if len(names) == key_count(self.routes[id])
        ]
        return sorted(unreachable, key=lambda row: self.routes[row[0]].order)


def host_lookup_keys(host: str) -> Iterator[str]:
    """Yields the lookup keys of a normalized host: itself, its wildcards (longest first), and any host."""
    if host:
        yield host
        rest = host.partition(".")[2]
        while rest:
            yield "*." + rest
            rest = rest.partition(".")[2]
    yield ""


# ---- reference implementation, for explain and to test the compiled table against


class Verdict(NamedTuple):
    """Why a route does not match; empty if it does."""

    route: Route
    why: str


def evaluation_order(routes: Iterable[Route], request: Request) -> list[tuple[Route, str, Path]]:
    """Returns each route with each of its hosts and paths, in order of evaluation."""
    hosts = list(host_lookup_keys(request.host))
    kinds = list(PathKind)
    rows = [
        (route, host, path)
        for route in routes
        for host in route.host_keys
        for path in dict.fromkeys(route.paths)
    ]

    def key(row: tuple[Route, str, Path]) -> tuple[object, ...]:
        route, host, path = row
        place = hosts.index(host) if host in hosts else len(hosts)
        size = len(path.value) if path.kind is PathKind.PREFIX else 0
        return place, kinds.index(path.kind), -size, *_precedence(route), path.value

    return sorted(rows, key=key)


def explain(routes: Iterable[Route], request: Request) -> Iterator[Verdict]:
    """Yields the routes of the request's host that precede its route, with reasons; then that route."""
    hosts = list(host_lookup_keys(request.host))
    for route, host, path in evaluation_order(routes, request):
        if host not in hosts:
            return
        if path.matches(request.path):
            why = route.mismatch(request)
        elif path.kind is PathKind.PATTERN:
            why = f"path {request.path} is not as {path.value}"
        else:
            below = "below " if path.kind is PathKind.PREFIX else ""
            why = f"path {request.path} is not {below}{path.value or '/'}"
        yield Verdict(route, why)
        if not why:
            return
