"""The configuration of an ingress: the file that RELAY_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from troutdock.admission.interface import FleetUpdate, Settings
from troutdock.admission.simulator_wire import parse_settings
from troutdock.address import Address, parse_address
from troutdock.http.body_limits import MIN_BODY_BUDGET, MIN_STREAMS, body_budget_bytes, max_streams_for
from troutdock.http.response import MAX_BODY
from troutdock.membership.datagrams import PeerAddresses
from troutdock.overload.damping import Damping, read_damping
from troutdock.platform.discovery import Endpoints, ListReader

MIN_SOCKETS = 64
MIN_MEMORY_MB = 24
MAX_BUFFERED_RESPONSES = 48  # of maximum size, in all memory: responses are buffered until complete


class ConfigError(ValueError):
    """The configuration is invalid; the message gives the reason on one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one ingress."""

    name: str
    listen: Address | None  # None: the library, which does not listen
    discovery: Address | None  # None: the list of backends never changes
    counter: Address | None
    seed: int = field(compare=False)
    list_reader: ListReader
    known: tuple[FleetUpdate, Endpoints]  # the last known list of backends
    settings: Settings
    sockets: int
    max_answer: int  # bytes of a backend's response
    connect_timeout_s: float
    damping: Damping
    idle_s: float  # backends close connections that are idle this long
    bodies: int = MIN_BODY_BUDGET  # budget in bytes for long request bodies
    streams: int = MIN_STREAMS  # concurrently streamed responses
    peers: PeerAddresses | None = None  # None: no digests are sent or received
    management: Address | None = None  # address of the management API
    keys: frozenset[str] = field(default=frozenset(), compare=False)  # present in the file, see key_paths


_PLATFORM_KEYS = (
    "name",
    "listen",
    "discovery",
    "counter",
    "limits",
    "settings",
)  # keys that the platform writes in every file


def key_paths(value: object, path: str = "") -> Iterator[str]:
    """Yields the paths of all keys; for a list of objects, the keys that all of them have."""
    if isinstance(value, dict):
        for key, item in value.items():
            inner = f"{path}.{key}" if path else str(key)
            yield inner
            yield from key_paths(item, inner)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        yield from set.intersection(*(set(key_paths(item, path + "[]")) for item in value))


def require_keys_of(config: Config, running: Config) -> Config:
    """Returns the new configuration; ConfigError if it lacks a key of the running one (truncated file)."""
    if lacking := sorted(running.keys - config.keys):
        raise ConfigError(f"{lacking[0]} is missing, which the running configuration has")
    return config


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Yields nested settings as the simulator's path=value lines, for simulator_wire.parse_settings."""
    match value:
        case dict():
            for key, item in value.items():
                yield from flatten(item, f"{path}.{key}" if path else str(key))
        case list() if any(isinstance(item, dict) for item in value) or (not value and path in _OBJECT_LISTS):
            yield f"{path}.count={len(value)}"
            for number, item in enumerate(value):
                yield from flatten(item, f"{path}.{number}")
        case list():
            yield f"{path}=" + ",".join(_plain(item) for item in value)
        case None:
            pass
        case _:
            yield f"{path}={_plain(value)}"


_OBJECT_LISTS = ("categories", "plans")


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return "_".join(str(value).replace(",", " ").split())


def read_peers(raw: dict[str, object], gateways: int) -> PeerAddresses | None:
    """Parses the addresses for digests, if configured; ValueError names the invalid key."""

    def address(key: str, value: object) -> Address:
        try:
            return parse_address(value)
        except ValueError as error:
            raise ValueError(f"{key}: {error}") from error

    if "peer_listen" not in raw and "peers" not in raw:
        return None
    listen = address("peer_listen", raw.get("peer_listen"))
    peers = raw.get("peers")
    if not isinstance(peers, list) or len(peers) != gateways:
        raise ValueError(f"peers: not a list of {gateways} addresses, one for each ingress")
    broadcast = raw.get("peers_all")
    return PeerAddresses(
        listen,
        tuple(address(f"peers[{n}]", peer) for n, peer in enumerate(peers)),
        None if broadcast is None else address("peers_all", broadcast),
    )


def read_config(text: str) -> Config:
    """Parses and validates the configuration; ConfigError names what is invalid."""
    try:
        raw = json.loads(text)
        settings = raw["settings"]
        permissions = settings.get("permissions", {})
        sockets = int(raw.get("limits", {}).get("sockets", 1024))
        if sockets < MIN_SOCKETS:
            raise ConfigError(f"limits.sockets: {sockets} is below {MIN_SOCKETS}")
        memory_mb = float(raw.get("limits", {}).get("memory_mb", 64))
        if not MIN_MEMORY_MB <= memory_mb < 1e9:
            raise ConfigError(f"limits.memory_mb: {memory_mb:g} is below {MIN_MEMORY_MB}")
        parsed_settings = parse_settings("\n".join(flatten(settings)))
        list_reader = ListReader(settings.get("zones", ()), settings.get("machine_types", ()))
        known = raw.get("known") or {"rev": 0, "all": True, "targets": []}
        return Config(
            name=str(raw.get("name", "")),
            listen=parse_address(raw["listen"]),
            discovery=parse_address(raw["discovery"]),
            counter=parse_address(raw["counter"]) if raw.get("counter") else None,
            seed=int(raw.get("seed", "0"), 16),
            list_reader=list_reader,
            known=list_reader.read(known, cached=True),
            settings=parsed_settings,
            sockets=sockets,
            max_answer=max(MAX_BODY, int(memory_mb * 1024 * 1024 / MAX_BUFFERED_RESPONSES)),
            connect_timeout_s=float(permissions.get("dial_timeout", 250)) / 1000,
            idle_s=float(permissions.get("conn_idle", 15_000)) / 1000,
            bodies=body_budget_bytes(memory_mb),
            streams=max_streams_for(memory_mb),
            damping=read_damping(raw.get("damping", {})),
            peers=read_peers(raw, parsed_settings.gateways),
            management=parse_address(raw["management"]) if raw.get("management") else None,
            keys=frozenset(key_paths({name: raw[name] for name in _PLATFORM_KEYS if name in raw})),
        )
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(" ".join(str(error).split())) from error


def load_config(path: str) -> Config:
    """Reads the file; ConfigError if it is unreadable or invalid."""
    try:
        return read_config(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
