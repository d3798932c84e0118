"""The boot file: settings that the platform passes to each process of the system."""

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

BOOT_FILE_VARIABLE = "TROUTDOCK_BOOT"  # environment variable with the path of the boot file

BOOT_SETTINGS = SettingsTable(
    Setting("nodeName", string, about="name of the machine"),
    Setting("role", string, "", "role of the process in the deploy file"),
    Setting("machineClass", string, "", "edge or core"),
    Setting("serves", list_of(string), (), "clients outside the system that this process serves"),
    Setting("ipAddress", string, about="of the machine"),
    Setting("zone", string, about="of the machine"),
    Setting("region", string, "", "of the zone"),
    Setting("zones", map_of(string), {}, "region of each zone"),
    Setting("bindAddresses", map_of(address), {}, "addresses to listen on, by service"),
    Setting("internalPortRange", list_of(integer(1), 2), about="first and last port for internal traffic"),
    Setting("seedNodes", list_of(address), (), "control-plane addresses of some machines"),
    Setting("bootstrap", boolean, False, "whether the whole system starts for the first time"),
    Setting("quorumMember", boolean, False, "whether the machine counts for fault tolerance"),
    Setting("limits.memoryMb", number(16), 256, "of this process"),
    Setting("limits.fileDescriptors", integer(64), 1024, "of this process"),
    Setting("limits.diskMb", number(0), 0, "of the data directory"),
    Setting("dataDirectory", or_none(string), None, "directory for persistent data"),
    Setting("heartbeatS", number(0.01), 1.5, "between two heartbeats of a backend"),
    Setting("faultTolerance.machines", integer(0), 0, "quorum machines that may fail at the same time"),
    Setting("faultTolerance.zones", integer(0), 0, "zones that may fail at the same time"),
    Setting("faultTolerance.regions", integer(0), 0, "regions that may fail at the same time"),
    Setting("bounds.graceS", number(0.1), 6.0, "from SIGTERM to SIGKILL"),
    Setting("bounds.drainS", number(0.01), 2.5, "until no request reaches a draining backend"),
    Setting("bounds.contactS", number(0.01), 3.0, "until a machine has contact in the absence of faults"),
    Setting("bounds.syncTimeS", number(0.01), 4.0, "for which a machine that has returned counts as failed"),
    Setting("bounds.propagationS", number(0.01), 2.5, "until a configuration is in force everywhere"),
    Setting("bounds.ackTimeoutS", number(0.01), 5.0, "until a valid configuration change is answered"),
    Setting("bounds.retryRatio", number(0), 0.2, "retries per request, over all ingress proxies"),
    Setting("bounds.retryWindowS", number(0.01), 10.0, "window in which the retry ratio holds"),
    Setting("bounds.retryAllowance", number(0), 20, "retries in a window beyond the ratio"),
    Setting("bounds.quotaWindowS", number(0.01), 5.0, "window in which quotas hold"),
    Setting("bounds.quotaTolerance", number(0), 0.1, "part of a quota by which it may be exceeded"),
    Setting("bounds.quotaAllowance", number(0), 20, "requests of a tenant in a window beyond the quota"),
    Setting("traceFile", or_none(string), None, "file for the event trace of the store; none: no trace"),
    Setting("configMode", one_of("highest"), "highest", "which configuration version takes effect"),
)


@dataclass(frozen=True, slots=True)
class Boot:
    """The boot settings. values: all settings by dotted name.

    ports: first and last internal port; listen: addresses to listen on, by service; seeds: addresses of other
    machines; data: the data directory.
    """

    name: str
    ip: str
    zone: str
    ports: tuple[int, int]
    listen: Mapping[str, tuple[str, int]]
    seeds: tuple[tuple[str, int], ...]
    bootstrap: bool
    data: Path | None
    values: Mapping[str, Any]

    def port(self, index: int) -> int:
        """Returns the internal port with this index, from 0; it is the same on every machine."""
        return min(self.ports[0] + index, self.ports[1])


def _split_address(value: str) -> tuple[str, int]:
    host, _, port = value.rpartition(":")
    return host, int(port)


def parse_boot(settings: Any) -> Boot:
    """Reads boot settings from a mapping.

    Raises:
        SettingsError: A value is missing or invalid; the message names the setting.
    """
    values = BOOT_SETTINGS.read(settings)
    first, last = values["internalPortRange"][:2]
    if last < first:
        raise SettingsError(f"internalPortRange: the last port {last} is below the first port {first}")
    data = values["dataDirectory"]
    return Boot(
        values["nodeName"],
        values["ipAddress"],
        values["zone"],
        (first, last),
        {name: _split_address(value) for name, value in values["bindAddresses"].items()},
        tuple(_split_address(value) for value in values["seedNodes"]),
        values["bootstrap"],
        Path(data) if data is not None else None,
        values,
    )


def load_boot(path: str) -> Boot:
    """Reads a boot file.

    Raises:
        SettingsError: The file cannot be read or is invalid; the message names the file.
    """
    try:
        settings = YAML(typ="safe", pure=True).load(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        raise SettingsError(f"{path}: {' '.join(str(error).split())}") from error
    try:
        return parse_boot(settings)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
