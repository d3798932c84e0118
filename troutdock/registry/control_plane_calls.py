"""The control-plane HTTP API: one handler class per resource (instances, configuration, system status)."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from troutdock.registry.order_validation import OrderValidator
from troutdock.settings.configuration import RejectedConfiguration
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

MAX_HEARTBEAT_BYTES = 4096
_STATES = {"available": READY, "draining": DRAINING}
_ID = re.compile(r"[\x21-\x2e\x30-\x7e]{1,128}")
MAX_INTEGER = 1 << 53  # in a JSON body

HEARTBEAT_FIELDS = SettingsTable(
    Setting("service", string, about="service that the backend belongs to"),
    Setting("address", address, about="address at which it accepts requests"),
    Setting("zone", or_none(string), ""),
    Setting("capacity", integer(1), 1, "concurrent requests"),
    Setting("state", one_of(*_STATES), "available"),
    Setting("warmupLeftS", or_none(number(0)), 0),
    Setting("callCount", integer(0), 0, "increases with each heartbeat"),
)


def error_response(status: int, why: str) -> HttpResponse:
    """Returns a response with a JSON body that contains the error text."""
    return HttpResponse(status, msgspec.json.encode({"error": why}))


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A failed call. version, digest: with status 409, those of the configuration that is stored instead."""

    status: int
    why: str
    version: int = 0
    digest: str = ""

    @property
    def response(self) -> HttpResponse:
        """The HTTP response for this failure."""
        if self.status != 409:
            return error_response(self.status, self.why)
        current = {"revision": f"r{self.version}", "digest": self.digest}
        return HttpResponse(409, msgspec.json.encode({"error": self.why, "held": current}))


class Registry(Protocol):
    """The registry, as the handlers use it."""

    async def heartbeat(self, instance: Instance, count: int) -> str | CallFailure:
        """Records a heartbeat or a state change; a state change is synced on the required replicas first.

        Args:
            instance: The instance and its state.
            count: The number of the heartbeat, which increases with each one; below 0 for a deregistration.

        Returns:
            The address that later heartbeats should be sent to, empty if it is this one; or the failure.
        """

    async def store_configuration(self, version: int, body: bytes) -> CallFailure | None:
        """Stores a configuration; returns None once it is stored, or the failure."""

    async def newest_configuration(self) -> tuple[int, bytes] | CallFailure:
        """Returns version and body of the newest configuration in force, version 0 if there is none."""


class InstanceCalls:
    """`POST /instances/ID/heartbeat` and `POST /instances/ID/deregister`."""

    def __init__(self, registry: Registry, lookup: Callable[[str], Instance | None]) -> None:
        self._registry, self._lookup = registry, lookup

    async def heartbeat(self, id: str, body: bytes) -> HttpResponse:
        """Handles a heartbeat of an available or a draining instance."""
        if len(body) > MAX_HEARTBEAT_BYTES:
            return error_response(413, f"{MAX_HEARTBEAT_BYTES} bytes at most")
        try:
            fields = HEARTBEAT_FIELDS.read(msgspec.json.decode(body))
        except (msgspec.MsgspecError, UnicodeDecodeError, SettingsError) as error:
            return error_response(400, f"body: {error}")
        for name in ("capacity", "callCount", "warmupLeftS"):
            if (fields[name] or 0) > MAX_INTEGER:
                return error_response(400, f"body: {name}: {fields[name]!r:.40} is above {MAX_INTEGER}")
        instance = Instance(
            id,
            fields["service"],
            fields["address"],
            fields["zone"] or "",
            fields["capacity"],
            _STATES[fields["state"]],
            float(fields["warmupLeftS"] or 0),
        )
        target = await self._registry.heartbeat(instance, fields["callCount"])
        if isinstance(target, CallFailure):
            return target.response
        return HttpResponse(200, msgspec.json.encode({"heartbeatTarget": target} if target else {}))

    async def deregister(self, id: str, body: bytes) -> HttpResponse:
        """Marks an instance as gone permanently.

        This includes an instance that is unknown here: other registries may know it, or an update that
        contains it may arrive late.
        """
        instance = self._lookup(id)
        removed = (
            msgspec.structs.replace(instance, state=GONE, warm_s=0.0)
            if instance is not None
            else tombstone(id)
        )
        result = await self._registry.heartbeat(removed, -1)
        return result.response if isinstance(result, CallFailure) else HttpResponse(200)


class ConfigurationCalls:
    """`POST /configuration/replace` and `GET /configuration/describe`."""

    def __init__(self, registry: Registry, validator: OrderValidator) -> None:
        self._registry, self._validator = registry, validator

    async def replace(self, body: bytes) -> HttpResponse:
        """Stores a complete configuration; succeeds once two disks have it, or one with a higher revision.

        Responds with 409 if its revision is taken by another body; the response contains revision and digest
        of the stored one.
        """
        version = await self._validator.validate(body)
        if isinstance(version, RejectedConfiguration):
            return error_response(400, str(version))
        if not version:
            return error_response(400, "revision: 'r0' is below the first, r1")
        failed = await self._registry.store_configuration(version, body)
        return HttpResponse(200) if failed is None else failed.response

    async def describe(self) -> HttpResponse:
        """Returns the newest configuration, byte for byte as the operator sent it."""
        result = await self._registry.newest_configuration()
        if isinstance(result, CallFailure):
            return result.response
        return HttpResponse(200, result[1]) if result[0] else error_response(404, "no configuration yet")


class SystemCalls:
    """`GET /system/status`: the state of this registry, for operators' tools."""

    def __init__(self, status: Callable[[], dict[str, object]]) -> None:
        self._status = status

    async def status(self) -> HttpResponse:
        """Returns the complete status."""
        return HttpResponse(200, msgspec.json.encode(self._status()))


class ControlPlaneRouter:
    """Routes HTTP requests to the handlers."""

    def __init__(
        self, instances: InstanceCalls, configuration: ConfigurationCalls, system: SystemCalls
    ) -> None:
        self._instances, self._configuration, self._system = instances, configuration, system

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request."""
        parts = request.path.decode("latin-1").split("/")[1:]
        if len(parts) == 3 and parts[0] == "instances" and parts[2] in ("heartbeat", "deregister"):
            if not _ID.fullmatch(parts[1]):
                return error_response(400, f"id: {parts[1]!r:.40} is not 1 to 128 printable characters")
            handlers: dict[str, Callable[[str, bytes], Awaitable[HttpResponse]]] = {
                "heartbeat": self._instances.heartbeat,
                "deregister": self._instances.deregister,
            }
            handler = handlers[parts[2]]
            return (
                await handler(parts[1], request.body)
                if request.method == b"POST"
                else error_response(405, "POST")
            )
        if parts == ["configuration", "replace"]:
            return (
                await self._configuration.replace(request.body)
                if request.method == b"POST"
                else error_response(405, "POST")
            )
        if parts == ["configuration", "describe"]:
            return (
                await self._configuration.describe()
                if request.method == b"GET"
                else error_response(405, "GET")
            )
        if parts == ["system", "status"]:
            return await self._system.status() if request.method == b"GET" else error_response(405, "GET")
        return error_response(404, "no such call")
