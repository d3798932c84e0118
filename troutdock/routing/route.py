"""Routes: what a request has to be, and where it goes then (no I/O)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import re2

from troutdock.routing.target import InvalidTarget, normalize_host, normalize_path

MAX_PATTERN_CHARS = 1000  # characters


class InvalidRoute(ValueError):
    """A route that can't be, and why."""


class Request(NamedTuple):
    """What is matched. host, path: in their plain form. headers: names in lower case. query: as it came."""

    method: str
    host: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = {}


class Comparison(Enum):
    """How a value is compared."""

    IS = "is"
    PREFIX = "prefix"
    PATTERN = "pattern"
    PRESENT = "present"
    ABSENT = "absent"


def compile_pattern(pattern: str) -> Any:
    """A pattern in linear time, whatever is matched against it; BadRoute names what is wrong."""
    if len(pattern) > MAX_PATTERN_CHARS:
        raise InvalidRoute(f"a pattern of more than {MAX_PATTERN_CHARS} characters")
    options = re2.Options()
    options.log_errors = False
    try:
        return re2.compile(pattern, options)
    except re2.error as error:
        said = error.args[0].decode() if isinstance(error.args[0], bytes) else str(error)
        raise InvalidRoute(f"pattern {pattern!r}: {said}") from error


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition on a header or a parameter of the query."""

    where: str  # "header" or "query"
    name: str
    how: Comparison
    value: str = ""
    _program: Any = field(default=None, compare=False, repr=False)

    def __post_init__(self) -> None:
        if self.how is Comparison.PATTERN:
            object.__setattr__(self, "_program", compile_pattern(self.value))

    def matches(self, request: Request) -> bool:
        """The request fits it; of a parameter that comes several times the first counts."""
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
    """In the order in which they are looked at."""

    EXACT = "path"
    PATTERN = "pattern"
    PREFIX = "prefix"


class Path(NamedTuple):
    """value of a prefix: without a slash at its end; it matches whole segments."""

    kind: PathKind
    value: str

    def matches(self, path: str) -> bool:
        """A plain path fits it."""
        if self.kind is PathKind.EXACT:
            return path == self.value
        if self.kind is PathKind.PATTERN:
            return bool(compile_pattern(self.value).fullmatch(path))
        return path == self.value or path.startswith(self.value + "/")


def exact(path: str) -> Path:
    """This path and no other; BadRoute if it is not in its plain form."""
    return Path(PathKind.EXACT, _require_normalized(path))


def prefix(path: str) -> Path:
    """This path and all below it, by whole segments."""
    return Path(PathKind.PREFIX, _require_normalized(path).removesuffix("/"))


def pattern(text: str) -> Path:
    """All paths that this describes as a whole, in RE2's syntax."""
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
    """A pool's part of a split."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Rewrite:
    """prefix: in place of what the route's prefix or path matched, None for none. set, remove: headers."""

    prefix: str | None = None
    set: tuple[tuple[str, str], ...] = ()
    remove: tuple[str, ...] = ()

    def path(self, path: str, matched: Path) -> str:
        """The path that goes on."""
        if self.prefix is None:
            return path
        rest = path[len(matched.value) :] if matched.kind is PathKind.PREFIX else ""
        return self.prefix.removesuffix("/") + rest if rest else self.prefix or "/"

    def headers(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """The headers that go on, names in lower case."""
        gone = {name.encode() for name in self.remove} | {name.encode() for name, _ in self.set}
        kept = [pair for pair in headers if pair[0] not in gone]
        return kept + [(name.encode(), value.encode()) for name, value in self.set]


@dataclass(frozen=True, slots=True)
class Route:
    """order: in the file, the first 0. hosts: exact, or `*.` and the rest. Without hosts or methods: any.

    to: pools by weight; a customer keeps its part. mirrors: pools that get a copy of so many percent of what
    is safe; what they answer counts for nothing.
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
    def places(self) -> tuple[str, ...]:
        """Its hosts, each once; an empty one stands for any."""
        return tuple(dict.fromkeys(self.hosts)) or ("",)

    @property
    def conditions(self) -> int:
        """Beside host and path: a route with more of them goes before one with fewer."""
        return len(self.values) + bool(self.methods)

    def mismatch(self, request: Request) -> str:
        """Why the request does not fit the conditions; empty if it does."""
        if self.methods and request.method not in self.methods:
            return f"method {request.method} is not {', '.join(sorted(self.methods))}"
        for value in self.values:
            if not value.matches(request):
                return f"not so: {value}"
        return ""


def validate_route(route: Route) -> Route:
    """The route, if it can match and lead anywhere; BadRoute if not."""
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
    said: dict[tuple[str, str], Condition] = {}
    for value in route.values:
        known = said.setdefault((value.where, value.name), value)
        if known != value and (
            Comparison.ABSENT in (known.how, value.how) or known.how is value.how is Comparison.IS
        ):
            raise InvalidRoute(f"it can never match: {known}, and {value}")
    return route
