"""Discovery: the list of backends and the watch that keeps it fresh."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any

from tamarindfold.interface import BackendEntry, BackendId, BackendState, FleetUpdate, ListKind
from troutdock.address import Address, parse_address
from troutdock.http.response import BadResponse, Response, ResponseReader

log = logging.getLogger("troutdock")

HOLD_MS = 1000  # how long a call of the watch waits for news: only its end shows a silent connection
LATE_S = 0.5  # an answer later than that after the wait: the agent is silent
PAUSE_S = 0.1  # before a new connection; with the time to connect it stays within the watch's 200 ms
CONNECT_S = 1.0
MAX_LIST = 4 * 1024 * 1024
STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}
ELSEWHERE = 0xFFFF  # the number of a zone or kind that the settings don't name

Endpoints = dict[BackendId, Address]
Listener = Callable[[FleetUpdate, Endpoints], None]


def backend_id(uid: str) -> BackendId:
    """The same number for a backend at every ingress and after every restart."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=6).digest(), "big")


class ListReader:
    """Reads discovery's lists into the gateway's form."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, ListReader):
            return NotImplemented
        return (self._zones, self._kinds) == (other._zones, other._kinds)

    __hash__ = None  # type: ignore[assignment]

    def read(self, raw: Any, cached: bool = False) -> tuple[FleetUpdate, Endpoints]:
        """ValueError if the list is not in discovery's form: none of it is believed then."""
        try:
            entries, endpoints = [], {}
            for target in raw["targets"]:
                entry = self._entry(target)
                entries.append(entry)
                endpoints[entry.backend] = parse_address(target["endpoint"])
            whole = ListKind.CACHED if cached else ListKind.FULL
            return FleetUpdate(whole if raw["all"] else ListKind.CHANGES, entries, int(raw["rev"])), endpoints
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"not a list of backends: {error!r}") from error

    def _entry(self, target: Any) -> BackendEntry:
        size, boot_ms = float(target.get("capacity_hint", 1.0)), float(target.get("boot_ms", 0))
        if not (0 <= size < 1e6 and 0 <= boot_ms < 1e15):
            raise ValueError(f"a backend of size {size}, up since {boot_ms}")
        # boot_ms is Unix time, and so is the scale of the gateway's clock: see platform.clock
        return BackendEntry(backend_id(target["uid"]), STATES[target["state"]],
                            self._zones.get(target.get("az"), ELSEWHERE),
                            self._kinds.get(target.get("model"), ELSEWHERE),
                            int(target.get("pod_group", 0)), size, boot_ms)


class Discovery:
    """Watches the agent and tells every change."""

    def __init__(self, address: Address, reader: ListReader, version: int, told: Listener) -> None:
        self._address, self._read, self._told = address, reader, told
        self._version: int | None = version  # None: ask for the whole list
        self._down = False

    def move(self, address: Address, reader: ListReader) -> None:
        """Another agent is to be asked, for the whole list; run is to be started anew."""
        self._address, self._read, self._version = address, reader, None

    async def run(self) -> None:
        """Watch for ever; while the agent is silent or talks nonsense the last list holds."""
        while True:
            writer = None
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(*self._address)
                while await self._ask(reader, writer):
                    pass
            except (OSError, TimeoutError, ValueError, BadResponse) as error:
                if not self._down:
                    log.warning("discovery: %r", error)
                self._down = True
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(PAUSE_S)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One call; true if the connection can take the next."""
        watch = "" if self._version is None else f"?from={self._version}&hold_ms={HOLD_MS}"
        writer.write(f"GET /v1/servers{watch} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())
        async with asyncio.timeout(LATE_S + (HOLD_MS / 1000 if watch else 0.0)):
            response = await self._response(reader)
        if response.status != 200:
            self._version = None
            raise ValueError(f"answered {response.status}")
        try:
            update, endpoints = self._read.read(json.loads(response.body))
        except (ValueError, RecursionError) as error:  # the latter for JSON of great depth
            self._version = None  # whatever it tried to say, the whole list holds it
            raise ValueError(f"no list: {error!r}") from error
        if update.kind is ListKind.CHANGES and (self._version is None or update.version < self._version):
            self._version = None
            raise ValueError(f"changes up to version {update.version} do not fit")
        if self._down:
            log.info("discovery: back, at version %d", update.version)
            self._down = False
        self._version = None  # should the listener fail, it is to hear the whole list again
        if update.entries or update.kind is ListKind.FULL:
            self._told(update, endpoints)
        self._version = update.version
        return response.keep_alive

    async def _response(self, reader: asyncio.StreamReader) -> Response:
        parser = ResponseReader(MAX_LIST)
        while data := await reader.read(65536):
            if (response := parser.feed(data)) is not None:
                return response
        raise ConnectionResetError("closed before its answer was whole")
