"""The pools of an operator's file, each with its servers; a reload replaces the routes atomically.

A reload adds new pools and drains removed ones: their servers get no new requests, and requests in progress
end under the old table. A pool that keeps its name keeps its knowledge of the servers that remain.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from troutdock.admission.interface import BackendEntry, BackendState, FleetUpdate, ListKind, Outcome
from troutdock.address import parse_address
from troutdock.engine import Engine
from troutdock.http.host import Host
from troutdock.http.request import HttpRequest
from troutdock.http.response import Response
from troutdock.http.transport import HttpAttempt, HttpTransport
from troutdock.overload.lag import EventLoopLag
from troutdock.platform.discovery import backend_id
from troutdock.routing_service.reader import CustomerHeaders, RoutedReader, RoutingSnapshot
from troutdock.routing.route import Route
from troutdock.routing.table import RouteTable

log = logging.getLogger("troutdock")

SWEEP_INTERVAL_S = 0.25
ROUTES_FREED_PER_PASS = 200  # routes of an old table freed in one pass of the event loop
MAX_MIRRORED_REQUESTS = 32  # concurrent copies to one pool; further ones are skipped
MIRROR_TIMEOUT_S = 5.0
MAX_MIRROR_CONNECTIONS = 16  # to one mirrored pool


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """servers: host:port. connect_s, idle_s: see http.transport."""

    name: str
    servers: tuple[str, ...]
    connect_s: float
    idle_s: float


@dataclass(frozen=True, slots=True)
class RoutingOptions:
    """The pools and routes of the operator's file."""

    pools: tuple[PoolOptions, ...]
    table: RouteTable
    customers: CustomerHeaders


class _Pool:
    """The connections of one pool, including those for mirrored requests."""

    def __init__(self, terms: PoolOptions, sockets: int, engine: Engine, lag: EventLoopLag) -> None:
        self.terms = terms
        self.transport = HttpTransport(
            sockets, terms.connect_s, terms.idle_s, engine.attempt_ended, lag=lag, streams=engine
        )
        self.number = engine.add_pool(self.transport)
        self.mirror_transport: HttpTransport | None = None
        self.mirrors_in_flight = self._turn = 0

    def set_servers(self, engine: Engine, servers: tuple[str, ...]) -> None:
        """Sets the servers of the pool."""
        endpoints = {backend_id(server): parse_address(server) for server in servers}
        entries = [BackendEntry(id, BackendState.READY) for id in endpoints]
        engine.fleet_updated(FleetUpdate(ListKind.FULL, entries, pool=self.number), endpoints)
        if self.mirror_transport is not None:
            for id, address in endpoints.items():
                self.mirror_transport.place(id, address)

    def mirror(self, request: HttpRequest) -> None:
        """Sends a copy of the request and ignores the response."""
        if self.mirrors_in_flight >= MAX_MIRRORED_REQUESTS or not self.terms.servers:
            return
        if self.mirror_transport is None:
            self.mirror_transport = HttpTransport(
                MAX_MIRROR_CONNECTIONS, self.terms.connect_s, self.terms.idle_s, self._mirror_ended
            )
            for server in self.terms.servers:
                self.mirror_transport.place(backend_id(server), parse_address(server))
        self._turn += 1
        backend = backend_id(self.terms.servers[self._turn % len(self.terms.servers)])
        attempt = HttpAttempt(None, 0, backend, request.message(MIRROR_TIMEOUT_S * 1000), 0.0)
        self.mirrors_in_flight += 1
        self.mirror_transport.start(attempt)
        asyncio.get_running_loop().call_later(MIRROR_TIMEOUT_S, self._cancel_mirror, attempt)

    def _mirror_ended(self, attempt: HttpAttempt, outcome: Outcome, response: Response | None) -> None:
        self.mirrors_in_flight -= 1

    def _cancel_mirror(self, attempt: HttpAttempt) -> None:
        if not attempt.over and self.mirror_transport is not None:
            self.mirror_transport.give_up(attempt)
            self.mirrors_in_flight -= 1

    def sweep(self) -> None:
        self.transport.sweep()
        if self.mirror_transport is not None:
            self.mirror_transport.sweep()

    def close(self) -> None:
        self.transport.close()
        if self.mirror_transport is not None:
            self.mirror_transport.close()


class RoutingFrontend:
    """Routing as a frontend of the daemon. It belongs to the event loop that runs when it is attached."""

    def __init__(self, terms: RoutingOptions, sockets: int) -> None:
        """sockets: limit of the process; the half for servers is divided evenly among the pools."""
        self._terms, self._sockets = terms, sockets
        self._pools: dict[str, _Pool] = {}
        self._host: Host | None = None
        self.reader: RoutedReader | None = None
        self._sweeping: asyncio.TimerHandle | None = None

    def attach(self, host: Host) -> None:
        """Routes requests from now on."""
        self._host = host
        self._apply(self._terms)
        self.reader = RoutedReader(self._view(), host.engine.settings, self._terms.customers, self._mirror)
        host.server.reader = self.reader
        self._sweep()

    def reload(self, terms: RoutingOptions) -> None:
        """Replaces routes and pools atomically; requests in progress end under the old routes."""
        assert self.reader is not None
        self._apply(terms)
        old, self._terms = list(self._terms.table.routes.values()), terms
        self.reader.view = self._view()
        self._free_routes(old)

    def _free_routes(self, old: list[Route]) -> None:
        """Frees routes in batches: ten thousand at once would block the event loop for 30 ms."""
        del old[-ROUTES_FREED_PER_PASS:]
        if old:
            asyncio.get_running_loop().call_soon(self._free_routes, old)

    def _apply(self, terms: RoutingOptions) -> None:
        host = self._host
        assert host is not None
        each = max(8, (self._sockets // 2 - 24) // max(1, len(terms.pools)))
        for pool in terms.pools:
            known = self._pools.get(pool.name)
            if known is None:
                known = self._pools[pool.name] = _Pool(pool, each, host.engine, host.lag)
            elif known.terms.servers == pool.servers:
                continue
            known.terms = pool
            known.set_servers(host.engine, pool.servers)
        named = [pool.name for pool in terms.pools]
        for name, known in self._pools.items():
            if name not in named and known.terms.servers:
                known.terms = PoolOptions(name, (), known.terms.connect_s, known.terms.idle_s)
                known.set_servers(host.engine, ())

    def _view(self) -> RoutingSnapshot:
        return RoutingSnapshot(self._terms.table, {name: pool.number for name, pool in self._pools.items()})

    def _mirror(self, pool: str, request: HttpRequest) -> None:
        self._pools[pool].mirror(request)

    def _sweep(self) -> None:
        for pool in self._pools.values():
            pool.sweep()
        self._sweeping = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def start(self, engine: Engine) -> None:
        """Does nothing: attach has started everything."""

    async def close(self) -> None:
        """Closes all pools after the drain."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        for pool in self._pools.values():
            pool.close()

    def books(self) -> dict[tuple[bytes, bytes], Callable[[bytes], Awaitable[tuple[int, bytes]]]]:
        """Returns no management calls."""
        return {}
