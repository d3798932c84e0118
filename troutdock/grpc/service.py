"""gRPC beside the daemon: its front at the clients' listener, its transport to the nodes."""

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
from troutdock.grpc.dual_transport import BothTransports
from troutdock.grpc.front import Front
from troutdock.grpc.methods import Row
from troutdock.grpc.request import Names
from troutdock.grpc.transport import GrpcTransport
from troutdock.http.host import Host

log = logging.getLogger("troutdock")

SWEEP_S = 0.25


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operator asks for. listen: an address of its own beside the clients' one, None for none.

    nodes: a fixed list of nodes; with none those of the platform's list get gRPC calls as well.
    """

    rows: tuple[Row, ...]
    names: Names = field(default_factory=Names)
    listen: Address | None = None
    nodes: tuple[Address, ...] = ()
    most_message: int = 4 << 20


class Grpc:
    """It belongs to the event loop that is running when it is attached."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self.front: Front | None = None
        self.transport: GrpcTransport | None = None
        self._sweeping: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[Any]] = []
        self.address: Address | None = None

    def attach(self, host: Host) -> None:
        """Take calls from now on. ValueError names a row that does not fit; OSError: no such address."""
        terms, engine = self._terms, host.engine
        self.front = Front(host.server, terms.rows, terms.names, terms.most_message)
        connect_s, idle_s = host.times_s
        self.transport = GrpcTransport(
            engine, host.transport, connect_s, idle_s, terms.most_message, host.lag
        )
        if terms.nodes:
            self.front.pool = engine.add_pool(self.transport)
            entries = [BackendEntry(n, BackendState.READY) for n in range(1, len(terms.nodes) + 1)]
            update = FleetUpdate(ListKind.FULL, entries, pool=self.front.pool)
            engine.fleet_updated(update, dict(enumerate(terms.nodes, 1)))
        else:
            for backend, endpoint, up_since_ms in host.transport.endpoints():
                self.transport.place(backend, endpoint, up_since_ms)
            engine.replace_transport(0, BothTransports(host.transport, self.transport))
        host.server.other_protocol = self.front.connection
        if terms.listen is not None:
            sock = socket.create_server(terms.listen)
            self.address = sock.getsockname()[:2]
            loop = asyncio.get_running_loop()
            self._tasks.append(loop.create_task(self._listen(sock)))
        self._sweep()

    async def _listen(self, sock: socket.socket) -> None:
        front = self.front
        assert front is not None
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: front.connection(None), sock=sock)

    def start(self, engine: Engine) -> None:
        """It has begun with attach."""

    def _sweep(self) -> None:
        if self.transport is not None:
            self.transport.sweep()
        self._sweeping = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    async def close(self) -> None:
        """The ingress has drained: close what is left."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        for task in self._tasks:
            await asyncio.wait({task})
        if self._listener is not None:
            self._listener.close()
        if self.transport is not None:
            self.transport.close()

    def books(self) -> dict[tuple[bytes, bytes], Callable[[bytes], Awaitable[tuple[int, bytes]]]]:
        """How many connections and calls there are."""
        return {(b"GET", b"/control/grpc"): self._show}

    async def _show(self, body: bytes) -> tuple[int, bytes]:
        if self.front is None or self.transport is None:
            return 503, b"not started\n"
        now = time.monotonic()
        others = list(self.front.connections)
        return 200, json.dumps(
            {
                "connections": len(others),
                "calls": sum(c.calls for c in others),
                "taken": self.front.taken,
                "idle_s": [round(now - c.idle_since, 1) for c in others if c.idle_since < now],
                "nodes": self.transport.shown(),
            }
        ).encode()
