"""Routes: conditions on a request, and the pools for matching requests (no I/O)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import re2

from troutdock.routing.target import InvalidTarget, normalize_host, normalize_path

MAX_PATTERN_CHARS = 1000


class InvalidRoute(ValueError):
    """A route is invalid; the message gives the reason."""


class Request(NamedTuple):
    """The matched parts of a request. host, path: normalized. headers: names in lower case. query: raw."""

    method: str
    host: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = {}


class Comparison(Enum):
    """Kind of comparison of a condition."""

    IS = "is"
    PREFIX = "prefix"
    PATTERN = "pattern"
    PRESENT = "present"
    ABSENT = "absent"


def compile_pattern(pattern: str) -> Any:
    """Compiles a pattern with RE2, which matches in linear time; InvalidRoute if it is invalid."""
    if len(pattern) > MAX_PATTERN_CHARS:
        raise InvalidRoute(f"pattern longer than {MAX_PATTERN_CHARS} characters")
    options = re2.Options()
    options.log_errors = False
    try:
        return re2.compile(pattern, options)
    except re2.error as error:
        reason = error.args[0].decode() if isinstance(error.args[0], bytes) else str(error)
        raise InvalidRoute(f"pattern {pattern!r}: {reason}") from error


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition on a header or a query parameter."""

    where: str  # "header" or "query"
    name: str
    how: Comparison
    value: str = ""
    _program: Any = field(default=None, compare=False, repr=False)

    def __post_init__(self) -> None:
        if self.how is Comparison.PATTERN:
            object.__setattr__(self, "_program", compile_pattern(self.value))

    def matches(self, request: Request) -> bool:
        """True if the request satisfies it; of a repeated query parameter the first value counts."""
        if self.where == "header":
            found = request.headers.get(self.name)
        else:
            pairs = parse_qsl(request.query, keep_blank_values=True)
            found = next((value for name, value in pairs if name == self.name), None)
        if self.how is Comparison.ABSENT or found is None:
            return self.how is Comparison.ABSENT and found is None
        if self.how is Comparison.PRESENT:
            return True
        if self.how is Comparison.IS:
            return found == self.value
        if self.how is Comparison.PREFIX:
            return found.startswith(self.value)
        return bool(self._program.fullmatch(found))

    def __str__(self) -> str:
        return f"{self.where} {self.name} {self.how.value} {self.value}".rstrip()


class PathKind(Enum):
    """Kinds of paths, in order of evaluation."""

    EXACT = "path"
    PATTERN = "pattern"
    PREFIX = "prefix"


class Path(NamedTuple):
    """A path condition. A prefix has no trailing slash and matches complete segments."""

    kind: PathKind
    value: str

    def matches(self, path: str) -> bool:
        """True if a normalized path matches."""
        if self.kind is PathKind.EXACT:
            return path == self.value
        if self.kind is PathKind.PATTERN:
            return bool(compile_pattern(self.value).fullmatch(path))
        return path == self.value or path.startswith(self.value + "/")


def exact(path: str) -> Path:
    """Matches this path only; InvalidRoute if it is not normalized."""
    return Path(PathKind.EXACT, _require_normalized(path))


def prefix(path: str) -> Path:
    """Matches this path and all below it, by complete segments."""
    return Path(PathKind.PREFIX, _require_normalized(path).removesuffix("/"))


def pattern(text: str) -> Path:
    """Matches all paths that fully match this RE2 pattern."""
    compile_pattern(text)
    return Path(PathKind.PATTERN, text)


def _require_normalized(path: str) -> str:
    try:
        normalized = normalize_path(path)
    except InvalidTarget as error:
        raise InvalidRoute(f"{path!r} can never match: {error}") from error
    if normalized != path:
        raise InvalidRoute(f"{path!r} can never match: its plain form is {normalized!r}")
    return path


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool of a split, with its weight."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Changes to the forwarded request. prefix: replaces the matched prefix or path. set, remove: headers."""

    prefix: str | None = None
    set: tuple[tuple[str, str], ...] = ()
    remove: tuple[str, ...] = ()

    def path(self, path: str, matched: Path) -> str:
        """Returns the forwarded path."""
        if self.prefix is None:
            return path
        rest = path[len(matched.value) :] if matched.kind is PathKind.PREFIX else ""
        return self.prefix.removesuffix("/") + rest if rest else self.prefix or "/"

    def headers(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """Returns the forwarded headers, names in lower case."""
        gone = {name.encode() for name in self.remove} | {name.encode() for name, _ in self.set}
        kept = [pair for pair in headers if pair[0] not in gone]
        return kept + [(name.encode(), value.encode()) for name, value in self.set]


@dataclass(frozen=True, slots=True)
class Route:
    """A route.

    order: position in the file, from 0. hosts: exact names or wildcards `*.rest`. No hosts or methods: any.
    to: pools by weight; a customer stays with its pool. mirrors: pools that get copies of a percentage
    (weight) of the safe requests; their responses are ignored.
    """

    id: str
    order: int
    paths: tuple[Path, ...] = ()
    hosts: tuple[str, ...] = ()
    methods: frozenset[str] = frozenset()
    values: tuple[Condition, ...] = ()
    to: tuple[WeightedPool, ...] = ()
    mirrors: tuple[WeightedPool, ...] = ()
    rewrite: Rewrite = Rewrite()
    cls: str = ""

    @property
    def host_keys(self) -> tuple[str, ...]:
        """The hosts without duplicates; an empty string stands for any host."""
        return tuple(dict.fromkeys(self.hosts)) or ("",)

    @property
    def conditions(self) -> int:
        """Number of conditions besides host and path: a route with more precedes one with fewer."""
        return len(self.values) + bool(self.methods)

    def mismatch(self, request: Request) -> str:
        """Returns why the request does not satisfy the conditions; empty if it does."""
        if self.methods and request.method not in self.methods:
            return f"method {request.method} is not {', '.join(sorted(self.methods))}"
        for value in self.values:
            if not value.matches(request):
                return f"condition not met: {value}"
        return ""


def validate_route(route: Route) -> Route:
    """Returns the route if it can match and has a pool; raises InvalidRoute otherwise."""
    if not route.to or any(part.weight < 0 for part in route.to) or not sum(part.weight for part in route.to):
        raise InvalidRoute("to: no pool with a weight")
    if any(not 0 < part.weight <= 100 for part in route.mirrors):
        raise InvalidRoute("mirror: a percentage beyond 0 to 100")
    if not route.paths:
        raise InvalidRoute("match: no path, prefix or pattern")
    for host in route.hosts:
        try:
            if normalize_host(host.removeprefix("*.")) != host.removeprefix("*.") or not host:
                raise InvalidRoute(f"host {host!r} can never match: hosts are written small, without port")
        except InvalidTarget as error:
            raise InvalidRoute(f"host {host!r}: {error}") from error
    seen: dict[tuple[str, str], Condition] = {}
    for value in route.values:
        known = seen.setdefault((value.where, value.name), value)
        if known != value and (
            Comparison.ABSENT in (known.how, value.how) or known.how is value.how is Comparison.IS
        ):
            raise InvalidRoute(f"it can never match: {known}, and {value}")
    return route
