"""The operators' configuration: parsed and validated as a whole, or rejected with the location of the error.

Routes, services and tenants are tables of columns and rows. Times are in seconds in the file and in
milliseconds here. Unknown fields are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from troutdock.settings.table import (
    REQUIRED,
    Setting,
    SettingsError,
    SettingsTable,
    boolean,
    integer,
    list_of,
    number,
    one_of,
    or_none,
    string,
)

# memory per byte of the longest configuration: parsing takes 14 times its size, and proxies have less memory
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


class _InvalidConfiguration(Exception):
    pass


@dataclass(frozen=True, slots=True)
class Route:
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


@dataclass(frozen=True, slots=True)
class Service:
    """A service. max_connections: of one backend, over all clients; 0: not given."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Tenant:
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


def _check_path_prefix(value: Any) -> str | None:
    return (
        None
        if isinstance(value, str) and value[:1] == value[-1:] == "/"
        else "not a path that begins and ends with a slash"
    )


_check_split = list_of(
    lambda item: (
        None
        if isinstance(item, Mapping) and not string(item.get("service")) and not number(0)(item.get("weight"))
        else "not a service with a weight of at least 0"
    )
)

ROUTE_SETTINGS = SettingsTable(
    Setting("name", or_none(string), None),
    Setting("hostname", string),
    Setting("pathPrefix", _check_path_prefix),
    Setting("routeType", one_of(READ_ONLY, MUTATING)),
    Setting("timeoutS", number(0.001)),
    Setting("targetLatencyS", or_none(number(0.001)), None),
    Setting("priority", or_none(integer(0)), None),
    Setting("trafficSplit", or_none(_check_split), None),
    Setting("maxAttempts", or_none(integer(1)), None),
    Setting("public", or_none(boolean), None),
    Setting("service", or_none(string), None),
)
SERVICE_SETTINGS = SettingsTable(
    Setting("name", string),
    Setting("healthPath", or_none(string), None),
    Setting("maxConnections", or_none(integer(1)), None),
    Setting("protocol", or_none(one_of("h1")), None),
    Setting("tls", or_none(one_of(False)), None),
)
TENANT_SETTINGS = SettingsTable(
    Setting("name", string),
    Setting("apiKeys", list_of(string)),
    Setting("priority", or_none(integer(0)), None),
    Setting("ratePerS", or_none(number(0)), None),
    Setting("burst", or_none(number(0)), None),
)
LIMITS_SETTINGS = SettingsTable(
    Setting("maxHeaderBytes", integer(256), 16_384),
    Setting("maxBodyBytes", integer(0), 64 * 1024 * 1024),
    Setting("headerTimeoutS", number(0.01), 3.0),
    Setting("idleTimeoutS", number(0.01), 15.0),
)


def _parse_rows(data: Any, location: str, table: SettingsTable) -> Iterable[tuple[str, dict[str, Any]]]:
    """Yields the location of each row and its checked values by column.

    Raises:
        _InvalidConfiguration: The table or a row is invalid.
    """
    if not isinstance(data, Mapping):
        raise _InvalidConfiguration(location, "not a table of columns and rows")
    columns: Any = None
    rows: Any = None
    columns, rows = data.get("columns"), data.get("rows")
    if problem := list_of(string)(columns):
        raise _InvalidConfiguration(f"{location}.columns", problem)
    if not isinstance(rows, list):
        raise _InvalidConfiguration(f"{location}.rows", "not a list")
    if len(set(columns)) != len(columns):
        raise _InvalidConfiguration(f"{location}.columns", "duplicate column name")
    for index, row in enumerate(rows):
        row_location = f"{location}.rows[{index}]"
        if not isinstance(row, list) or len(row) != len(columns):
            raise _InvalidConfiguration(row_location, f"not a list of {len(columns)} values")
        try:
            # null means that the value is left out
            yield (
                row_location,
                table.read(
                    {name: value for name, value in zip(columns, row, strict=True) if value is not None}
                ),
            )
        except SettingsError as error:
            raise _InvalidConfiguration(row_location, str(error)) from error


def _parse_version(value: Any) -> int:
    if (
        not isinstance(value, str)
        or value[:1] != "r"
        or not value[1:].isascii()
        or not value[1:].isdigit()
        or len(value) > 19
    ):
        raise _InvalidConfiguration("revision", f"{value!r:.40} is not the letter r followed by a number")
    return int(value[1:])


def _parse_routes(data: Any, services: Mapping[str, Service]) -> tuple[Route, ...]:
    routes: list[Route] = []
    locations: dict[tuple[str, str], str] = {}
    for row_location, row in _parse_rows(data, "routes", ROUTE_SETTINGS):
        traffic_split = row["trafficSplit"]
        if traffic_split is None and row["service"] is None:
            raise _InvalidConfiguration(row_location, "neither service nor trafficSplit is given")
        split = (
            [(part["service"], float(part["weight"])) for part in traffic_split]
            if traffic_split is not None
            else [(row["service"], 1.0)]
        )
        for name, _ in split:
            if name not in services:
                raise _InvalidConfiguration(row_location, f"unknown service {name!r:.60}")
        if not sum(weight for _, weight in split) > 0:
            raise _InvalidConfiguration(row_location, "the weights add up to 0")
        host = row["hostname"].lower()
        if (first := locations.setdefault((host, row["pathPrefix"]), row_location)) != row_location:
            raise _InvalidConfiguration(row_location, f"same hostname and pathPrefix as {first}")
        timeout_ms = row["timeoutS"] * 1000
        target_latency_ms = row["targetLatencyS"] * 1000 if row["targetLatencyS"] else timeout_ms
        routes.append(
            Route(
                row["name"] or f"{host}{row['pathPrefix']}",
                host,
                row["pathPrefix"],
                row["routeType"] == READ_ONLY,
                timeout_ms,
                target_latency_ms,
                row["priority"] or 0,
                row["maxAttempts"] or 1,
                bool(row["public"]),
                tuple(split),
            )
        )
    return tuple(routes)


def _parse_tenants(data: Any) -> tuple[Tenant, ...]:
    tenants: list[Tenant] = []
    keys: dict[str, str] = {}
    names: dict[str, str] = {}
    for row_location, row in _parse_rows(data, "tenants", TENANT_SETTINGS):
        if (first := names.setdefault(row["name"], row_location)) != row_location:
            raise _InvalidConfiguration(row_location, f"same name as {first}")
        for key in row["apiKeys"]:
            if (first := keys.setdefault(key, row_location)) != row_location:
                raise _InvalidConfiguration(row_location, f"API key is used in {first}, too")
        tenants.append(
            Tenant(
                row["name"],
                tuple(row["apiKeys"]),
                row["priority"],
                float(row["ratePerS"] or 0),
                float(row["burst"] or 0),
            )
        )
    return tuple(tenants)


def max_configuration_bytes(memory_mb: int) -> int:
    """Returns the size in bytes of the longest configuration that a process with this memory accepts."""
    return max(MIN_SIZE_LIMIT_BYTES, (memory_mb << 20) // MEMORY_DIVISOR)


def read_configuration(body: bytes) -> Configuration | RejectedConfiguration:
    """Parses a configuration, or returns why it is rejected. body: JSON as the operator sent it."""
    try:
        configuration = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return RejectedConfiguration("body", str(error))
    if not isinstance(configuration, dict):
        return RejectedConfiguration("body", "not an object")
    try:
        version = _parse_version(configuration.get("revision"))
        for name in ("routes", "services"):
            if name not in configuration:
                raise _InvalidConfiguration(name, REQUIRED.reason)
        services: dict[str, Service] = {}
        for row_location, row in _parse_rows(configuration["services"], "services", SERVICE_SETTINGS):
            if row["name"] in services:
                raise _InvalidConfiguration(row_location, f"duplicate service {row['name']!r:.60}")
            services[row["name"]] = Service(row["name"], row["healthPath"] or "", row["maxConnections"] or 0)
        routes = _parse_routes(configuration["routes"], services)
        try:
            limit_values = LIMITS_SETTINGS.read(configuration.get("limits") or {})
        except SettingsError as error:
            raise _InvalidConfiguration("limits", str(error)) from error
        limits = Limits(
            limit_values["maxHeaderBytes"],
            limit_values["maxBodyBytes"],
            limit_values["headerTimeoutS"] * 1000,
            limit_values["idleTimeoutS"] * 1000,
        )
        tenants = (
            _parse_tenants(configuration["tenants"]) if configuration.get("tenants") is not None else None
        )
    except _InvalidConfiguration as invalid:
        return RejectedConfiguration(*invalid.args)
    return Configuration(version, routes, services, limits, tenants)
