"""Discovery client: reads the list of backends and follows its changes (schedule: membership.watch)."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any

from troutdock.admission.interface import BackendEntry, BackendId, BackendState, FleetUpdate, ListKind
from troutdock.address import Address, parse_address
from troutdock.http.response import BadResponse, Response, ResponseReader
from troutdock.membership.watch import NextCall, WatchSchedule

log = logging.getLogger("troutdock")

CONNECT_TIMEOUT_S = 1.0
MAX_LIST_BYTES = 4 * 1024 * 1024
STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}
UNKNOWN_INDEX = 0xFFFF  # index of a zone or machine type that the settings do not name

Endpoints = dict[BackendId, Address]
OnFleetUpdate = Callable[[FleetUpdate, Endpoints], None]


def backend_id(uid: str) -> BackendId:
    """Returns a number for a backend that is the same at every ingress and after every restart."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=6).digest(), "big")


class ListReader:
    """Converts discovery's lists to fleet updates."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, ListReader):
            return NotImplemented
        return (self._zones, self._kinds) == (other._zones, other._kinds)

    __hash__ = None  # type: ignore[assignment]

    def read(self, raw: Any, cached: bool = False) -> tuple[FleetUpdate, Endpoints]:
        """Parses a list; raises ValueError if any part of it is invalid."""
        try:
            entries, endpoints = [], {}
            for target in raw["targets"]:
                entry = self._entry(target)
                entries.append(entry)
                endpoints[entry.backend] = parse_address(target["endpoint"])
            complete_kind = ListKind.CACHED if cached else ListKind.FULL
            return FleetUpdate(
                complete_kind if raw["all"] else ListKind.CHANGES, entries, int(raw["rev"])
            ), endpoints
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"not a list of backends: {error!r}") from error

    def _entry(self, target: Any) -> BackendEntry:
        size, boot_ms = float(target.get("capacity_hint", 1.0)), float(target.get("boot_ms", 0))
        if not (0 <= size < 1e6 and 0 <= boot_ms < 1e15):
            raise ValueError(f"a backend of size {size}, up since {boot_ms}")
        # boot_ms is Unix time, and so is the scale of the gateway's clock: see platform.clock
        return BackendEntry(
            backend_id(target["uid"]),
            STATES[target["state"]],
            self._zones.get(target.get("az"), UNKNOWN_INDEX),
            self._kinds.get(target.get("model"), UNKNOWN_INDEX),
            int(target.get("pod_group", 0)),
            size,
            boot_ms,
        )


class DiscoveryRejected(Exception):
    """Discovery responded with an error status."""


class Discovery:
    """Watches discovery and reports every change."""

    def __init__(
        self,
        address: Address,
        reader: ListReader,
        watch: WatchSchedule,
        on_update: OnFleetUpdate,
        on_polled: Callable[[bool], None] = lambda answered: None,
    ) -> None:
        """on_update: is called with every change. on_polled: after each call, whether it was answered."""
        self._address, self._read, self._on_update, self._on_polled = address, reader, on_update, on_polled
        self._schedule = watch
        self._down = False

    def set_source(self, address: Address, reader: ListReader) -> None:
        """Changes the discovery address; the caller restarts run, which requests the complete list."""
        self._address, self._read = address, reader
        self._schedule.source_changed()

    async def run(self) -> None:
        """Watches forever; while discovery is unreachable or invalid, the last list stays in use."""
        self._on_polled(False)  # until the first response
        while True:
            writer, watch = None, self._schedule
            await asyncio.sleep(watch.next_call().delay_s)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self._address)
                while await self._call(watch.next_call(), reader, writer):
                    pass
                watch.closed()
            except DiscoveryRejected as error:
                watch.rejected()
                self._report_error(error)
            except (ValueError, BadResponse) as error:
                watch.inconsistent()
                self._report_error(error)
            except (OSError, TimeoutError) as error:
                watch.failed()
                self._report_error(error)
            finally:
                if writer is not None:
                    writer.close()

    def _report_error(self, error: Exception) -> None:
        self._on_polled(False)
        if not self._down:
            log.warning("discovery: %r", error)
        self._down = True

    async def _call(self, call: NextCall, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Makes one call. Returns true if the connection can be reused."""
        watch = "" if call.version is None else f"?from={call.version}&hold_ms={call.hold_ms}"
        writer.write(f"GET /v1/servers{watch} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())
        async with asyncio.timeout(call.timeout_s):
            response = await self._response(reader)
        if response.status != 200:
            raise DiscoveryRejected(f"answered {response.status}")
        try:
            update, endpoints = self._read.read(json.loads(response.body))
        except (ValueError, RecursionError) as error:  # the latter for JSON of great depth
            raise ValueError(f"invalid list: {error!r}") from error
        if update.kind is ListKind.CHANGES and (call.version is None or update.version < call.version):
            raise ValueError(f"unexpected changes up to version {update.version}")
        if self._down:
            log.info("discovery: back, at version %d", update.version)
            self._down = False
        if update.entries or update.kind is ListKind.FULL:
            try:
                self._on_update(update, endpoints)
            except Exception:
                self._schedule.inconsistent()  # requests the complete list again
                raise
        self._schedule.answered(update.version)
        self._on_polled(True)
        return response.keep_alive

    async def _response(self, reader: asyncio.StreamReader) -> Response:
        parser = ResponseReader(MAX_LIST_BYTES)
        while data := await reader.read(65536):
            if (response := parser.feed(data)) is not None:
                return response
        raise ConnectionResetError("connection closed before the response was complete")
