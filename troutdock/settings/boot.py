"""The settings file that the platform gives every process of the system, as a table."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from troutdock.settings.table import (
    Setting,
    SettingsError,
    SettingsTable,
    address,
    boolean,
    integer,
    list_of,
    map_of,
    number,
    one_of,
    or_none,
    string,
)

BOOT_FILE_VARIABLE = "TROUTDOCK_BOOT"  # the variable with the file's path

BOOT_SETTINGS = SettingsTable(
    Setting("nodeName", string, about="the machine, by name"),
    Setting("role", string, "", "as the deploy file names it"),
    Setting("machineClass", string, "", "edge or core"),
    Setting("serves", list_of(string), (), "who may call this process from outside"),
    Setting("ipAddress", string, about="of the machine"),
    Setting("zone", string, about="of the machine"),
    Setting("region", string, "", "of the zone"),
    Setting("zones", map_of(string), {}, "each zone's region"),
    Setting("bindAddresses", map_of(address), {}, "where to listen, by what is served"),
    Setting(
        "internalPortRange", list_of(integer(1), 2), about="first and last port for the system's own talk"
    ),
    Setting("seedNodes", list_of(address), (), "control-plane addresses of some machines"),
    Setting("bootstrap", boolean, False, "the whole system starts for the first time"),
    Setting("quorumMember", boolean, False, "the machine counts where losses are borne"),
    Setting("limits.memoryMb", number(16), 256, "of this process"),
    Setting("limits.fileDescriptors", integer(64), 1024, "of this process"),
    Setting("limits.diskMb", number(0), 0, "of the data folder"),
    Setting("dataDirectory", or_none(string), None, "what lasts lies there"),
    Setting("heartbeatS", number(0.01), 1.5, "between two calls of a backend"),
    Setting("faultTolerance.machines", integer(0), 0, "counted machines that may be lost at once"),
    Setting("faultTolerance.zones", integer(0), 0, "zones that may be lost at once"),
    Setting("faultTolerance.regions", integer(0), 0, "regions that may be lost at once"),
    Setting("bounds.graceS", number(0.1), 6.0, "from SIGTERM to SIGKILL"),
    Setting("bounds.drainS", number(0.01), 2.5, "until nothing reaches a backend that drains"),
    Setting("bounds.contactS", number(0.01), 3.0, "after which a calm machine is in touch"),
    Setting("bounds.syncTimeS", number(0.01), 4.0, "for which a machine that is back counts as lost"),
    Setting("bounds.propagationS", number(0.01), 2.5, "until a configuration binds everywhere"),
    Setting("bounds.ackTimeoutS", number(0.01), 5.0, "until a proper order has its answer"),
    Setting("bounds.retryRatio", number(0), 0.2, "further tries a request, over all ingresses"),
    Setting("bounds.retryWindowS", number(0.01), 10.0, "in any span of this length"),
    Setting("bounds.retryAllowance", number(0), 20, "and so many on top"),
    Setting("bounds.quotaWindowS", number(0.01), 5.0, "quotas hold in any span of this length"),
    Setting("bounds.quotaTolerance", number(0), 0.1, "of a quota that may be passed"),
    Setting("bounds.quotaAllowance", number(0), 20, "requests of a tenant on top"),
    Setting("traceFile", or_none(string), None, "where the store writes each event down; none: nowhere"),
    Setting("configMode", one_of("highest"), "highest", "which configuration prevails"),
)


@dataclass(frozen=True, slots=True)
class Boot:
    """The file's values as processes use them; values: all by dotted name."""

    name: str
    ip: str
    zone: str
    ports: tuple[int, int]
    listen: Mapping[str, tuple[str, int]]
    seeds: tuple[tuple[str, int], ...]
    bootstrap: bool
    data: Path | None
    values: Mapping[str, Any]

    def port(self, number: int) -> int:
        """The system's own port of that number on every machine, from 0."""
        return min(self.ports[0] + number, self.ports[1])


def _address(value: str) -> tuple[str, int]:
    host, _, port = value.rpartition(":")
    return host, int(port)


def parse_boot(given: Any) -> Boot:
    """The settings of a mapping; SettingsError names what is wrong."""
    values = BOOT_SETTINGS.read(given)
    first, last = values["internalPortRange"][:2]
    if last < first:
        raise SettingsError(f"internalPortRange: {last} is below {first}")
    data = values["dataDirectory"]
    return Boot(
        values["nodeName"],
        values["ipAddress"],
        values["zone"],
        (first, last),
        {name: _address(value) for name, value in values["bindAddresses"].items()},
        tuple(_address(value) for value in values["seedNodes"]),
        values["bootstrap"],
        Path(data) if data is not None else None,
        values,
    )


def load_boot(path: str) -> Boot:
    """The settings file; SettingsError if it can't be read or is senseless."""
    try:
        given = YAML(typ="safe", pure=True).load(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        raise SettingsError(f"{path}: {' '.join(str(error).split())}") from error
    try:
        return parse_boot(given)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
