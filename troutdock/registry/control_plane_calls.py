"""The outside calls, one handler object for each resource: instances and the configuration."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from troutdock.settings.configuration import RejectedConfiguration, read_configuration
from troutdock.settings.table import (
    Setting,
    SettingsError,
    SettingsTable,
    address,
    number,
    one_of,
    or_none,
    string,
    integer,
)
from troutdock.rpc.http_calls import HttpRequest, HttpResponse
from troutdock.rpc.messages import DRAINING, GONE, READY, Instance
from troutdock.endpoints.endpoint_table import tombstone

MAX_BEAT = 4096  # bytes of a backend's call
LONG = 256 * 1024  # bytes of a configuration that is read beside the loop: it takes some tenths of a second
_STATES = {"available": READY, "draining": DRAINING}
_ID = re.compile(r"[\x21-\x2e\x30-\x7e]{1,128}")
MOST = 1 << 53  # of whole numbers on the wire

BEAT = SettingsTable(
    Setting("service", string, about="whose backend it is"),
    Setting("address", address, about="where it serves"),
    Setting("zone", or_none(string), ""),
    Setting("capacity", integer(1), 1, "requests at once"),
    Setting("state", one_of(*_STATES), "available"),
    Setting("warmupLeftS", or_none(number(0)), 0),
    Setting("callCount", integer(0), 0, "rises with each call"),
)


def refusal(status: int, why: str) -> HttpResponse:
    """An answer that says what is wrong."""
    return HttpResponse(status, msgspec.json.encode({"error": why}))


@dataclass(frozen=True, slots=True)
class Failed:
    """Why a call was not done; version, digest: of what is held in the way of a 409."""

    status: int
    why: str
    version: int = 0
    digest: str = ""

    @property
    def reply(self) -> HttpResponse:
        """The answer that says so."""
        if self.status != 409:
            return refusal(self.status, self.why)
        held = {"revision": f"r{self.version}", "digest": self.digest}
        return HttpResponse(409, msgspec.json.encode({"error": self.why, "held": held}))


class Registry(Protocol):
    """What the calls need of the registry."""

    async def beat(self, instance: Instance, count: int) -> str | Failed:
        """A backend's call is known, and what must last is synced wherever it has to be.

        Gives where later calls are better made, or nothing.
        """

    async def put(self, version: int, body: bytes) -> Failed | None:
        """Keep a configuration; None once it is kept, else why it is not."""

    async def newest(self) -> tuple[int, bytes] | Failed:
        """The newest configuration that is in force, or why it can't be told here."""


class InstanceCalls:
    """`POST /instances/ID/heartbeat` and `POST /instances/ID/deregister`."""

    def __init__(self, registry: Registry, known: Callable[[str], Instance | None]) -> None:
        self._registry, self._known = registry, known

    async def heartbeat(self, id: str, body: bytes) -> HttpResponse:
        """Alive, or draining."""
        if len(body) > MAX_BEAT:
            return refusal(413, f"{MAX_BEAT} bytes at most")
        try:
            found = BEAT.read(msgspec.json.decode(body))
        except (msgspec.MsgspecError, UnicodeDecodeError, SettingsError) as error:
            return refusal(400, f"body: {error}")
        for name in ("capacity", "callCount", "warmupLeftS"):
            if (found[name] or 0) > MOST:
                return refusal(400, f"body: {name}: {found[name]!r:.40} is above {MOST}")
        instance = Instance(
            id,
            found["service"],
            found["address"],
            found["zone"] or "",
            found["capacity"],
            _STATES[found["state"]],
            float(found["warmupLeftS"] or 0),
        )
        target = await self._registry.beat(instance, found["callCount"])
        if isinstance(target, Failed):
            return target.reply
        return HttpResponse(200, msgspec.json.encode({"heartbeatTarget": target} if target else {}))

    async def deregister(self, id: str, body: bytes) -> HttpResponse:
        """Gone for good, also one that was never heard of here: others may know it, or hear of it late."""
        known = self._known(id)
        gone = msgspec.structs.replace(known, state=GONE, warm_s=0.0) if known is not None else tombstone(id)
        found = await self._registry.beat(gone, -1)
        return found.reply if isinstance(found, Failed) else HttpResponse(200)


class ConfigurationCalls:
    """`POST /configuration/replace` and `GET /configuration/describe`."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    async def replace(self, body: bytes) -> HttpResponse:
        """A complete configuration; acknowledged once two disks have it, or a higher one.

        409 where its number is taken by another body; what is held is told.
        """
        if len(body) > LONG:
            found = await asyncio.to_thread(read_configuration, body)
        else:
            found = read_configuration(body)
        if isinstance(found, RejectedConfiguration):
            return refusal(400, str(found))
        if not found.version:
            return refusal(400, "revision: 'r0' is below the first, r1")
        failed = await self._registry.put(found.version, body)
        return HttpResponse(200) if failed is None else failed.reply

    async def describe(self) -> HttpResponse:
        """The newest, as it was sent."""
        found = await self._registry.newest()
        if isinstance(found, Failed):
            return found.reply
        return HttpResponse(200, found[1]) if found[0] else refusal(404, "no configuration yet")


class SystemCalls:
    """`GET /system/status`: what this registry knows, for operators' tools."""

    def __init__(self, status: Callable[[], dict[str, object]]) -> None:
        self._status = status

    async def status(self) -> HttpResponse:
        """All of it."""
        return HttpResponse(200, msgspec.json.encode(self._status()))


class Outside:
    """Which call goes to which handler."""

    def __init__(
        self, instances: InstanceCalls, configuration: ConfigurationCalls, system: SystemCalls
    ) -> None:
        self._instances, self._configuration, self._system = instances, configuration, system

    async def handle(self, call: HttpRequest) -> HttpResponse:
        """Answer one call."""
        parts = call.path.decode("latin-1").split("/")[1:]
        if len(parts) == 3 and parts[0] == "instances" and parts[2] in ("heartbeat", "deregister"):
            if not _ID.fullmatch(parts[1]):
                return refusal(400, f"id: {parts[1]!r:.40} is not 1 to 128 printable characters")
            does: dict[str, Callable[[str, bytes], Awaitable[HttpResponse]]] = {
                "heartbeat": self._instances.heartbeat,
                "deregister": self._instances.deregister,
            }
            handler = does[parts[2]]
            return await handler(parts[1], call.body) if call.method == b"POST" else refusal(405, "POST")
        if parts == ["configuration", "replace"]:
            return (
                await self._configuration.replace(call.body)
                if call.method == b"POST"
                else refusal(405, "POST")
            )
        if parts == ["configuration", "describe"]:
            return await self._configuration.describe() if call.method == b"GET" else refusal(405, "GET")
        if parts == ["system", "status"]:
            return await self._system.status() if call.method == b"GET" else refusal(405, "GET")
        return refusal(404, "no such call")
