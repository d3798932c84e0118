"""gRPC component of the daemon: the frontend at the clients' listener and the transport to the backends."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from troutdock.admission.interface import BackendEntry, BackendState, FleetUpdate, ListKind
from troutdock.address import Address
from troutdock.engine import Engine
from troutdock.grpc.dual_transport import DualTransport
from troutdock.grpc.front import GrpcFrontend
from troutdock.grpc.methods import MethodRule
from troutdock.grpc.request import MetadataNames
from troutdock.grpc.transport import GrpcTransport
from troutdock.http.host import Host

log = logging.getLogger("troutdock")

SWEEP_S = 0.25


@dataclass(frozen=True, slots=True)
class GrpcOptions:
    """Configured options.

    Attributes:
        rules: Table of methods.
        names: Names of the metadata.
        listen: An additional listening address for gRPC only, or None.
        nodes: A fixed list of backends. If empty, the backends of the platform's list get gRPC calls as well.
        max_message_bytes: Size limit of a message.
    """

    rules: tuple[MethodRule, ...]
    names: MetadataNames = field(default_factory=MetadataNames)
    listen: Address | None = None
    nodes: tuple[Address, ...] = ()
    max_message_bytes: int = 4 << 20


class GrpcComponent:
    """The component; bound to the event loop that runs when attach() is called."""

    def __init__(self, options: GrpcOptions) -> None:
        self._options = options
        self.front: GrpcFrontend | None = None
        self.transport: GrpcTransport | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[Any]] = []
        self.address: Address | None = None

    def attach(self, host: Host) -> None:
        """Starts to accept calls.

        Raises:
            ValueError: A rule does not fit the settings; the message names it.
            OSError: The additional address can't be bound.
        """
        options, engine = self._options, host.engine
        self.front = GrpcFrontend(host.server, options.rules, options.names, options.max_message_bytes)
        connect_s, idle_s = host.times_s
        self.transport = GrpcTransport(
            engine, host.transport, connect_s, idle_s, options.max_message_bytes, host.lag
        )
        if options.nodes:
            self.front.pool = engine.add_pool(self.transport)
            entries = [BackendEntry(n, BackendState.READY) for n in range(1, len(options.nodes) + 1)]
            update = FleetUpdate(ListKind.FULL, entries, pool=self.front.pool)
            engine.fleet_updated(update, dict(enumerate(options.nodes, 1)))
        else:
            for backend, endpoint, up_since_ms in host.transport.endpoints():
                self.transport.place(backend, endpoint, up_since_ms)
            engine.replace_transport(0, DualTransport(host.transport, self.transport))
        host.server.other_protocol = self.front.new_connection
        if options.listen is not None:
            sock = socket.create_server(options.listen)
            self.address = sock.getsockname()[:2]
            loop = asyncio.get_running_loop()
            self._tasks.append(loop.create_task(self._listen(sock)))
        self._sweep()

    async def _listen(self, sock: socket.socket) -> None:
        front = self.front
        assert front is not None
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: front.new_connection(None), sock=sock)

    def start(self, engine: Engine) -> None:
        """Does nothing: attach() has started the component."""

    def _sweep(self) -> None:
        if self.transport is not None:
            self.transport.sweep()
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    async def close(self) -> None:
        """Closes the listener and the connections to backends; called after the ingress has drained."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for task in self._tasks:
            await asyncio.wait({task})
        if self._listener is not None:
            self._listener.close()
        if self.transport is not None:
            self.transport.close()

    def books(self) -> dict[tuple[bytes, bytes], Callable[[bytes], Awaitable[tuple[int, bytes]]]]:
        """Returns the status page with the numbers of connections and calls."""
        return {(b"GET", b"/control/grpc"): self._status}

    async def _status(self, body: bytes) -> tuple[int, bytes]:
        if self.front is None or self.transport is None:
            return 503, b"not started\n"
        now = time.monotonic()
        connections = list(self.front.connections)
        return 200, json.dumps(
            {
                "connections": len(connections),
                "calls": sum(c.calls for c in connections),
                "taken": self.front.accepted,
                "idle_s": [round(now - c.idle_since, 1) for c in connections if c.idle_since < now],
                "nodes": self.transport.status(),
            }
        ).encode()
