"""All routes, compiled: which one a request takes, in time that hardly grows with their number (no I/O).

Theory of operation. Of all routes that a request fits, the one is taken that is first by this:

    1  its host: an exact one, then wildcards, the longest first, then none
    2  its path: an exact one, then patterns, then prefixes, the longest first
    3  conditions beside these: more before fewer
    4  its place in the file

Hosts and paths are looked up, not tried: an exact host is one look, wildcards one for each label, an exact
path one, prefixes one for each segment, and all patterns of a host are one automaton (RE2's Set). What is
left, the routes of one host and path, is gone through by 3 and 4. A table never changes; with_route() and
without() give another one, which shares all but the way to what has changed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import cached_property
from typing import Any, NamedTuple

import re2
from immutables import Map

from troutdock.routing.route import InvalidRoute, Path, PathKind, Request, Route, validate_route

Bucket = tuple[Route, ...]  # of one host and path, in the order in which they are tried


class RouteMatch(NamedTuple):
    """The route that a request takes, and by which of its paths."""

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
        """All patterns at once, made when the first path is matched; none without patterns."""
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
        """The first route that the request fits."""
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
        """With a route at this path, or without it."""
        kinds = {
            PathKind.EXACT: self._exact,
            PathKind.PREFIX: self._prefixes,
            PathKind.PATTERN: self._patterns,
        }
        kinds[path.kind] = _changed(kinds[path.kind], path.value, route, there)
        return HostRoutes(kinds[PathKind.EXACT], kinds[PathKind.PREFIX], kinds[PathKind.PATTERN])

    @property
    def is_empty(self) -> bool:
        """No route is left."""
        return not (self._exact or self._prefixes or self._patterns)


def _first(bucket: Bucket, request: Request) -> Route | None:
    """The first one whose conditions hold."""
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
    """An immutable set of routes; make one with Table.of()."""

    def __init__(self, routes: Map[str, Route], hosts: Map[str, HostRoutes]) -> None:
        self.routes, self._hosts = routes, hosts  # hosts: exact, `*.rest`, and "" for any

    @classmethod
    def of(cls, routes: Iterable[Route]) -> RouteTable:
        """BadRoute names the first one that can't be, and a name that is there twice."""
        raw: dict[str, dict[PathKind, dict[str, list[Route]]]] = {}
        known: dict[str, Route] = {}
        for route in routes:
            if route.id in known:
                raise InvalidRoute(f"{route.id}: it is there twice")
            known[validate_route(route).id] = route
            for host in route.places:
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
        """With this one, in place of the one of its name if there is one."""
        table = self.without(route.id)
        hosts = table._hosts
        for host in validate_route(route).places:
            paths = hosts.get(host, EMPTY)
            for path in route.paths:
                paths = paths.with_path(path, route, True)
            hosts = hosts.set(host, paths)
        return RouteTable(table.routes.set(route.id, route), hosts)

    def without(self, id: str) -> RouteTable:
        """Without the one of this name; the same table if there is none."""
        route = self.routes.get(id)
        if route is None:
            return self
        hosts = self._hosts
        for host in route.places:
            paths = hosts[host]
            for path in route.paths:
                paths = paths.with_path(path, route, False)
            hosts = hosts.delete(host) if paths.is_empty else hosts.set(host, paths)
        return RouteTable(self.routes.delete(id), hosts)

    def find(self, request: Request) -> RouteMatch | None:
        """The route that a request takes; None: there is none."""
        for host in host_lookup_keys(request.host):
            paths = self._hosts.get(host)
            if paths is not None and (found := paths.find(request)) is not None:
                return found
        return None

    def unreachable(self) -> list[tuple[str, str]]:
        """Routes that no request can take: their name, and that of the one that takes all of theirs."""
        first: dict[tuple[object, ...], Route] = {}
        taken: dict[str, list[str]] = {}
        for route in sorted(self.routes.values(), key=_precedence):
            same = (route.methods, frozenset(route.values))
            for host in route.places:
                for path in dict.fromkeys(route.paths):
                    before = first.setdefault((host, path, *same), route)
                    if before is not route:
                        taken.setdefault(route.id, []).append(before.id)

        def places(route: Route) -> int:
            return len(route.places) * len(dict.fromkeys(route.paths))

        whole = [(id, names[0]) for id, names in taken.items() if len(names) == places(self.routes[id])]
        return sorted(whole, key=lambda row: self.routes[row[0]].order)


def host_lookup_keys(host: str) -> Iterator[str]:
    """Where routes of a plain host stand: its own, its wildcards, the longest first, and those of any."""
    if host:
        yield host
        rest = host.partition(".")[2]
        while rest:
            yield "*." + rest
            rest = rest.partition(".")[2]
    yield ""


# ---- the same said plainly, for explain and as what the compiled table is tested against


class Verdict(NamedTuple):
    """Why a route is not the one; empty: it is."""

    route: Route
    why: str


def evaluation_order(routes: Iterable[Route], request: Request) -> list[tuple[Route, str, Path]]:
    """Each route by each of its hosts and paths, in the order in which a request tries them."""
    hosts = list(host_lookup_keys(request.host))
    kinds = list(PathKind)
    rows = [
        (route, host, path)
        for route in routes
        for host in route.places
        for path in dict.fromkeys(route.paths)
    ]

    def key(row: tuple[Route, str, Path]) -> tuple[object, ...]:
        route, host, path = row
        place = hosts.index(host) if host in hosts else len(hosts)
        size = len(path.value) if path.kind is PathKind.PREFIX else 0
        return place, kinds.index(path.kind), -size, *_precedence(route), path.value

    return sorted(rows, key=key)


def explain(routes: Iterable[Route], request: Request) -> Iterator[Verdict]:
    """Each route of the request's host that goes before the one it takes, and why not; then that one."""
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
