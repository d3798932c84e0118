"""The operators' configuration: read whole and checked whole, or refused with the place of what is wrong.

Routes, services and tenants come as tables of columns and rows. Times are seconds in the file and
milliseconds here. Fields that are not known are left alone.
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

MEMORY_DIVISOR = (
    64  # of a process's memory: reading one takes 14 times its bytes, and proxies have less of it
)
MIN_SIZE_LIMIT_BYTES = 1 << 20  # bytes that are always taken

READ_ONLY, MUTATING = "read_only", "mutating"


@dataclass(frozen=True, slots=True)
class RejectedConfiguration:
    """Why a configuration is not taken: the place and what is wrong there."""

    location: str
    reason: str

    def __str__(self) -> str:
        return f"{self.location}: {self.reason}"


class _InvalidConfiguration(Exception):
    pass


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host below a path go. to: services with their weights, one or more."""

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
    """max_connections: of one backend, from all callers together; 0: not told."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Tenant:
    """rate: requests a second over all ingresses, 0 for no limit; burst: on top of that."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take or stand idle."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_ms: float = 3000.0
    idle_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version, whole. tenants: None where requests need no key."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] | None = None


def _prefix(value: Any) -> str | None:
    return None if isinstance(value, str) and value[:1] == value[-1:] == "/" else "no path between slashes"


_split = list_of(
    lambda item: (
        None
        if isinstance(item, Mapping) and not string(item.get("service")) and not number(0)(item.get("weight"))
        else "no service with a weight of at least 0"
    )
)

ROUTE = SettingsTable(
    Setting("name", or_none(string), None),
    Setting("hostname", string),
    Setting("pathPrefix", _prefix),
    Setting("routeType", one_of(READ_ONLY, MUTATING)),
    Setting("timeoutS", number(0.001)),
    Setting("targetLatencyS", or_none(number(0.001)), None),
    Setting("priority", or_none(integer(0)), None),
    Setting("trafficSplit", or_none(_split), None),
    Setting("maxAttempts", or_none(integer(1)), None),
    Setting("public", or_none(boolean), None),
    Setting("service", or_none(string), None),
)
SERVICE = SettingsTable(
    Setting("name", string),
    Setting("healthPath", or_none(string), None),
    Setting("maxConnections", or_none(integer(1)), None),
    Setting("protocol", or_none(one_of("h1")), None),
    Setting("tls", or_none(one_of(False)), None),
)
TENANT = SettingsTable(
    Setting("name", string),
    Setting("apiKeys", list_of(string)),
    Setting("priority", or_none(integer(0)), None),
    Setting("ratePerS", or_none(number(0)), None),
    Setting("burst", or_none(number(0)), None),
)
LIMITS = SettingsTable(
    Setting("maxHeaderBytes", integer(256), 16_384),
    Setting("maxBodyBytes", integer(0), 64 * 1024 * 1024),
    Setting("headerTimeoutS", number(0.01), 3.0),
    Setting("idleTimeoutS", number(0.01), 15.0),
)


def _rows(given: Any, place: str, table: SettingsTable) -> Iterable[tuple[str, dict[str, Any]]]:
    """Each row by its columns, checked, with its place."""
    if not isinstance(given, Mapping):
        raise _InvalidConfiguration(place, "not a table of columns and rows")
    columns: Any = None
    rows: Any = None
    columns, rows = given.get("columns"), given.get("rows")
    if wrong := list_of(string)(columns):
        raise _InvalidConfiguration(f"{place}.columns", wrong)
    if not isinstance(rows, list):
        raise _InvalidConfiguration(f"{place}.rows", "not a list")
    if len(set(columns)) != len(columns):
        raise _InvalidConfiguration(f"{place}.columns", "a name comes twice")
    for at, row in enumerate(rows):
        where = f"{place}.rows[{at}]"
        if not isinstance(row, list) or len(row) != len(columns):
            raise _InvalidConfiguration(where, f"not a list of {len(columns)} values")
        try:
            # nothing stands for what was left out
            yield (
                where,
                table.read(
                    {name: value for name, value in zip(columns, row, strict=True) if value is not None}
                ),
            )
        except SettingsError as error:
            raise _InvalidConfiguration(where, str(error)) from error


def _version(value: Any) -> int:
    if (
        not isinstance(value, str)
        or value[:1] != "r"
        or not value[1:].isascii()
        or not value[1:].isdigit()
        or len(value) > 19
    ):
        raise _InvalidConfiguration("revision", f"{value!r:.40} is not r and a number")
    return int(value[1:])


def _routes(given: Any, services: Mapping[str, Service]) -> tuple[Route, ...]:
    routes: list[Route] = []
    places: dict[tuple[str, str], str] = {}
    for where, row in _rows(given, "routes", ROUTE):
        split = row["trafficSplit"]
        if split is None and row["service"] is None:
            raise _InvalidConfiguration(where, "neither a service nor a split")
        to = (
            [(part["service"], float(part["weight"])) for part in split]
            if split is not None
            else [(row["service"], 1.0)]
        )
        for name, _ in to:
            if name not in services:
                raise _InvalidConfiguration(where, f"no service {name!r:.60}")
        if not sum(weight for _, weight in to) > 0:
            raise _InvalidConfiguration(where, "the weights add up to 0")
        host = row["hostname"].lower()
        if (before := places.setdefault((host, row["pathPrefix"]), where)) != where:
            raise _InvalidConfiguration(where, f"the host and prefix of {before}")
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
                tuple(to),
            )
        )
    return tuple(routes)


def _tenants(given: Any) -> tuple[Tenant, ...]:
    tenants: list[Tenant] = []
    keys: dict[str, str] = {}
    names: dict[str, str] = {}
    for where, row in _rows(given, "tenants", TENANT):
        if (before := names.setdefault(row["name"], where)) != where:
            raise _InvalidConfiguration(where, f"the name of {before}")
        for key in row["apiKeys"]:
            if (before := keys.setdefault(key, where)) != where:
                raise _InvalidConfiguration(where, f"a key of {before}")
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
    """Bytes of the longest configuration that a process with so much memory takes."""
    return max(MIN_SIZE_LIMIT_BYTES, (memory_mb << 20) // MEMORY_DIVISOR)


def read_configuration(body: bytes) -> Configuration | RejectedConfiguration:
    """The configuration of an operator's call, or why it is none."""
    try:
        given = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return RejectedConfiguration("body", str(error))
    if not isinstance(given, dict):
        return RejectedConfiguration("body", "not an object")
    try:
        version = _version(given.get("revision"))
        for name in ("routes", "services"):
            if name not in given:
                raise _InvalidConfiguration(name, REQUIRED.reason)
        services: dict[str, Service] = {}
        for where, row in _rows(given["services"], "services", SERVICE):
            if row["name"] in services:
                raise _InvalidConfiguration(where, f"{row['name']!r:.60} comes twice")
            services[row["name"]] = Service(row["name"], row["healthPath"] or "", row["maxConnections"] or 0)
        routes = _routes(given["routes"], services)
        try:
            found = LIMITS.read(given.get("limits") or {})
        except SettingsError as error:
            raise _InvalidConfiguration("limits", str(error)) from error
        limits = Limits(
            found["maxHeaderBytes"],
            found["maxBodyBytes"],
            found["headerTimeoutS"] * 1000,
            found["idleTimeoutS"] * 1000,
        )
        tenants = _tenants(given["tenants"]) if given.get("tenants") is not None else None
    except _InvalidConfiguration as wrong:
        return RejectedConfiguration(*wrong.args)
    return Configuration(version, routes, services, limits, tenants)
