"""The operators' configuration: parsed and validated as a whole, or rejected with the location of the error.

Routes, services and tenants are tables of columns and rows. Times are in seconds in the file and in
milliseconds here. Unknown fields are ignored.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from msgspec import Raw, Struct

from troutdock.settings.configuration_rows import (
    InvalidConfiguration,
    RouteRow,
    ServiceRow,
    TableReader,
    TenantRow,
    decode_json,
)
from troutdock.settings.table import REQUIRED, Setting, SettingsError, SettingsTable, integer, number

# memory per byte of the longest configuration; docs/system.md has what each program needs for one
MEMORY_DIVISOR = 64
MIN_SIZE_LIMIT_BYTES = 1 << 20  # bytes that are accepted however small the memory

READ_ONLY, MUTATING = "read_only", "mutating"


@dataclass(frozen=True, slots=True)
class RejectedConfiguration:
    """Why a configuration is rejected: the location of the error and its description."""

    location: str
    reason: str

    def __str__(self) -> str:
        return f"{self.location}: {self.reason}"


class Route(Struct, frozen=True, gc=False):
    """Routing of requests for a host and a path prefix. split: one or more services with their weights."""

    name: str
    host: str
    prefix: str
    read_only: bool
    timeout_ms: float
    target_latency_ms: float
    priority: int
    max_attempts: int
    public: bool
    split: tuple[tuple[str, float], ...]


class Service(Struct, frozen=True, gc=False):
    """A service. max_connections: of one backend, over all clients; 0: not given."""

    name: str
    health_path: str
    max_connections: int


class Tenant(Struct, frozen=True, gc=False):
    """A tenant. rate: requests per second over all ingress proxies (0: no limit); burst: extra requests."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on request sizes, on the time to send a header and on the idle time of a connection."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_ms: float = 3000.0
    idle_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration. tenants: None if requests need no API key."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] | None = None


LIMITS_SETTINGS = SettingsTable(
    Setting("maxHeaderBytes", integer(256), 16_384),
    Setting("maxBodyBytes", integer(0), 64 * 1024 * 1024),
    Setting("headerTimeoutS", number(0.01), 3.0),
    Setting("idleTimeoutS", number(0.01), 15.0),
)


_Shared = TypeVar("_Shared", Route, Tenant)
_ABSENT = Raw()


class _Document(Struct):
    """The top level of a configuration; the tables are decoded later, one after the other."""

    revision: Any = None
    routes: Raw = _ABSENT
    services: Raw = _ABSENT
    limits: Any = None
    tenants: Raw = _ABSENT

    @property
    def has_tenants(self) -> bool:
        """Whether there is a table of tenants; null means that it is left out."""
        return self.tenants not in (_ABSENT, Raw(b"null"))


def _decode_document(body: bytes) -> _Document:
    if not body.isascii():
        try:
            body.decode()  # Raw fields and unknown fields are not checked by the decoder
        except UnicodeDecodeError as error:
            raise InvalidConfiguration("body", str(error)) from error
    document: _Document = decode_json(body, _Document, "body")
    return document


def _required(table: Raw, name: str) -> Raw:
    if table == _ABSENT:
        raise InvalidConfiguration(name, REQUIRED.reason)
    return table


def _parse_limits(data: Any) -> Limits:
    try:
        values = LIMITS_SETTINGS.read(data or {})
    except SettingsError as error:
        raise InvalidConfiguration("limits", str(error)) from error
    return Limits(
        values["maxHeaderBytes"],
        values["maxBodyBytes"],
        values["headerTimeoutS"] * 1000,
        values["idleTimeoutS"] * 1000,
    )


def _parse_version(value: Any) -> int:
    if (
        not isinstance(value, str)
        or value[:1] != "r"
        or not value[1:].isascii()
        or not value[1:].isdigit()
        or len(value) > 19
    ):
        raise InvalidConfiguration("revision", f"{value!r:.40} is not the letter r followed by a number")
    return int(value[1:])


def _parse_split(
    row: RouteRow, location: str, services: Mapping[str, Service]
) -> tuple[tuple[str, float], ...]:
    """Returns the services of a route with their weights."""
    if row.traffic_split is not None:
        split = tuple((part.service, part.weight) for part in row.traffic_split)
    elif row.service is not None:
        split = ((row.service, 1.0),)
    else:
        raise InvalidConfiguration(location, "neither service nor trafficSplit is given")
    for name, _ in split:
        if name not in services:
            raise InvalidConfiguration(location, f"unknown service {name!r:.60}")
    if not sum(weight for _, weight in split) > 0:
        raise InvalidConfiguration(location, "the weights add up to 0")
    return split


def _parse_route(row: RouteRow, location: str, services: Mapping[str, Service]) -> Route:
    prefix, route_type = row.path_prefix, row.route_type
    if prefix[0] != "/" or prefix[-1] != "/":
        reason = f"pathPrefix: {prefix!r:.80} is not a path that begins and ends with a slash"
        raise InvalidConfiguration(location, reason)
    if route_type not in (READ_ONLY, MUTATING):
        reason = f"routeType: {route_type!r:.80} is not one of {READ_ONLY}, {MUTATING}"
        raise InvalidConfiguration(location, reason)
    split = _parse_split(row, location, services)
    host = row.hostname.lower()
    timeout_ms = row.timeout_s * 1000
    return Route(
        row.name or f"{host}{prefix}",
        host,
        prefix,
        route_type == READ_ONLY,
        timeout_ms,
        row.target_latency_s * 1000 if row.target_latency_s else timeout_ms,
        row.priority or 0,
        row.max_attempts or 1,
        bool(row.public),
        split,
    )


def _parse_routes(data: Raw, services: Mapping[str, Service]) -> Iterator[Route]:
    """Yields the routes of a table.

    Raises:
        InvalidConfiguration: A row is invalid, or two have the same hostname and pathPrefix.
    """
    first_rows: dict[tuple[str, str], int] = {}
    table = TableReader(data, "routes", RouteRow)
    for index, row in enumerate(table):
        route = _parse_route(row, table.row_location(index), services)
        if (first := first_rows.setdefault((route.host, route.prefix), index)) != index:
            reason = f"same hostname and pathPrefix as {table.row_location(first)}"
            raise InvalidConfiguration(table.row_location(index), reason)
        yield route


def _parse_services(data: Raw) -> dict[str, Service]:
    services: dict[str, Service] = {}
    table = TableReader(data, "services", ServiceRow)
    for index, row in enumerate(table):
        location = table.row_location(index)
        if row.name in services:
            raise InvalidConfiguration(location, f"duplicate service {row.name!r:.60}")
        if row.protocol not in (None, "h1"):
            raise InvalidConfiguration(location, f"protocol: {row.protocol!r:.80} is not one of h1")
        if row.tls:
            raise InvalidConfiguration(location, "tls: True is not one of False")
        services[row.name] = Service(row.name, row.health_path or "", row.max_connections or 0)
    return services


def _parse_tenants(data: Raw) -> Iterator[Tenant]:
    """Yields the tenants of a table.

    Raises:
        InvalidConfiguration: A row is invalid, or a name or an API key is used twice.
    """
    first_with_key: dict[str, int] = {}
    first_with_name: dict[str, int] = {}
    table = TableReader(data, "tenants", TenantRow)
    for index, row in enumerate(table):
        if (first := first_with_name.setdefault(row.name, index)) != index:
            reason = f"same name as {table.row_location(first)}"
            raise InvalidConfiguration(table.row_location(index), reason)
        for key in row.api_keys:
            if (first := first_with_key.setdefault(key, index)) != index:
                reason = f"API key is used in {table.row_location(first)}, too"
                raise InvalidConfiguration(table.row_location(index), reason)
        yield Tenant(row.name, row.api_keys, row.priority, row.rate_per_s or 0.0, row.burst or 0.0)


def max_configuration_bytes(memory_mb: int) -> int:
    """Returns the size in bytes of the longest configuration that a process with this memory accepts."""
    return max(MIN_SIZE_LIMIT_BYTES, (memory_mb << 20) // MEMORY_DIVISOR)


def _share(known: _Shared | None, parsed: _Shared) -> _Shared:
    """Returns the known object if it is equal to the parsed one."""
    return known if known is not None and known == parsed else parsed


def read_configuration(
    body: bytes, previous: Configuration | None = None
) -> Configuration | RejectedConfiguration:
    """Parses a configuration, or returns why it is rejected.

    Args:
        body: JSON as the operator sent it.
        previous: An earlier version. Routes and tenants that are equal in both are the same objects, so that
            a caller that holds both versions needs little more memory than for one.
    """
    known_routes = {(r.host, r.prefix): r for r in previous.routes} if previous is not None else {}
    known_tenants = {t.name: t for t in previous.tenants or ()} if previous is not None else {}
    try:
        document = _decode_document(body)
        version = _parse_version(document.revision)
        services = _parse_services(_required(document.services, "services"))
        parsed_routes = _parse_routes(_required(document.routes, "routes"), services)
        routes = tuple(_share(known_routes.get((r.host, r.prefix)), r) for r in parsed_routes)
        limits = _parse_limits(document.limits)
        tenants = None
        if document.has_tenants:
            tenants = tuple(_share(known_tenants.get(t.name), t) for t in _parse_tenants(document.tenants))
    except InvalidConfiguration as invalid:
        return RejectedConfiguration(invalid.location, invalid.reason)
    return Configuration(version, routes, services, limits, tenants)


def _discard(rows: Iterator[object]) -> None:
    deque(rows, maxlen=0)


def check_configuration(body: bytes) -> int | RejectedConfiguration:
    """Validates a configuration without keeping its rows; returns its version, or why it is rejected."""
    try:
        document = _decode_document(body)
        version = _parse_version(document.revision)
        services = _parse_services(_required(document.services, "services"))
        _discard(_parse_routes(_required(document.routes, "routes"), services))
        _parse_limits(document.limits)
        if document.has_tenants:
            _discard(_parse_tenants(document.tenants))
    except InvalidConfiguration as invalid:
        return RejectedConfiguration(invalid.location, invalid.reason)
    return version
