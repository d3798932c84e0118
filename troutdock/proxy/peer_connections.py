"""Connections of an ingress to the other ingresses of its zone and, if it owns a duty, to other zones.

Performs the I/O for proxy.load_exchange. Of two ingresses, the one with the lower address connects. Only
owners connect to other zones; an ingress accepts such a connection whether or not it considers itself an
owner. Of one name, only the connections of the incarnation that connected last count; messages on any other
are ignored.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from math import inf

import logbook

from troutdock.settings.boot import Boot
from troutdock.proxy.load_exchange import LoadExchange, LoadUpdate, Services
from troutdock.rpc.connection import Address, Connector, PeerConnection, Listener
from troutdock.rpc.messages import (
    Hello,
    Members,
    Message,
    QuotaGrant,
    QuotaHandover,
    QuotaRequest,
    QuotaSettlement,
    QuotaStatus,
    Shares,
    encode,
)
from troutdock.quota.routes import Peers

log = logbook.Logger("mesh")

INGRESS_ROLE = "espalier"
PORT_INDEX = 0  # index into the internal port range
ZONE_BATCH_S, REMOTE_BATCH_S = (
    0.008,
    0.04,
)  # how long changes are collected for the own zone, and for other zones
MAINTENANCE_INTERVAL_S = 0.25  # between two checks of which peers to connect to
BUSY_RETENTION_S = 5.0  # how long a busy ingress counts as busy after its connection has ended


class PeerMesh:
    """The connections to other ingresses; bound to the running event loop."""

    def __init__(
        self,
        boot: Boot,
        hello: Hello,
        on_load_update: Callable[[LoadUpdate], None],
        on_ingress_count: Callable[[int, int], None],
        services: Services,
        peers_changed: Callable[[Peers], None] = lambda _: None,
        quota_message: Callable[[str, Message], None] = lambda _name, _message: None,
    ) -> None:
        """Starts without connections.

        Args:
            boot: The process's settings.
            hello: Identifies this ingress.
            on_load_update: Receives the loads that other ingresses report.
            on_ingress_count: Receives the number of ingresses, and of those that are reachable.
            services: Maps the known backends to services.
            peers_changed: Receives the ingresses that take part in quota leases.
            quota_message: Receives the sender's name and its messages about quotas.
        """
        self._boot, self._hello = boot, hello
        self._on_load_update, self._on_ingress_count = on_load_update, on_ingress_count
        self._peers_changed, self._quota_message = peers_changed, quota_message
        self._is_listed = False
        self._is_busy = False
        self._by_name: dict[str, PeerConnection] = {}
        self._connection_update_scheduled = False
        self._busy_until: dict[str, float] = {}  # by name; infinite while it is connected
        self._loop = asyncio.get_running_loop()
        self.exchange = LoadExchange(boot.name, boot.ip, boot.zone, hello.life, services)
        self._connectors: dict[str, Connector] = {}  # by name
        self._connections: dict[PeerConnection, None] = {}
        self._listener = Listener(
            lambda: PeerConnection(hello, self._receive, self._connection_up, self._connection_down)
        )
        self._zone_update_scheduled = False
        self._closed = False
        self._reported_count = (0, 0)

    async def start(self, address: Address) -> None:
        """Listens for connections of other ingresses."""
        await self._listener.listen(address)
        self._maintain()
        self._send_to_other_zones()

    def update_members(self, members: Members) -> None:
        """Applies the registry's list of ingresses."""
        self.exchange.update_members(self._loop.time(), members.entries, members.gone, members.full)
        self._is_listed = True
        self._update_connections()
        self._report_ingress_count()
        self._report_quota_peers()

    # ---- own load

    def update_load(self, instance: str, count: int) -> None:
        """The number of own open attempts at a backend has changed."""
        self.exchange.set_load(instance, count)
        self._schedule_zone_update()

    def _schedule_zone_update(self) -> None:
        if not self._zone_update_scheduled:
            self._zone_update_scheduled = True
            self._loop.call_later(ZONE_BATCH_S, self._send_zone_update)

    def _send_zone_update(self) -> None:
        self._zone_update_scheduled = False
        self._send_to_zone(self.exchange.zone_update())

    def _send_to_zone(self, shares: Shares | None) -> None:
        if shares is not None:
            payload = encode(shares)
            for connection in list(self._connections):
                if connection.peer is not None and connection.peer.zone == self._boot.zone:
                    connection.send_payload(payload)

    def _send_to_other_zones(self) -> None:
        remote = {
            connection.peer.name: connection
            for connection in self._connections
            if connection.peer is not None and connection.peer.zone != self._boot.zone
        }
        zones = [
            (name, connection.peer.zone) for name, connection in remote.items() if connection.peer is not None
        ]
        for names, shares in self.exchange.remote_updates(self._loop.time(), self._zone_peers(), zones):
            payload = encode(shares)
            for name in names:
                remote[name].send_payload(payload)
        self._send_to_zone(self.exchange.forwarded_update())
        if not self._closed:
            self._loop.call_later(REMOTE_BATCH_S, self._send_to_other_zones)

    # ---- connections

    def _zone_peers(self) -> list[str]:
        """Returns the names of the connected ingresses of this zone."""
        return [
            connection.peer.name
            for connection in self._connections
            if connection.peer is not None and connection.peer.zone == self._boot.zone
        ]

    def _schedule_connection_update(self) -> None:
        """Updates the connections once the current events have been processed."""
        if not self._connection_update_scheduled:
            self._connection_update_scheduled = True
            self._loop.call_soon(self._update_connections)

    def _unreachable(self) -> list[str]:
        """Returns the names of the peers whose last connection attempt failed."""
        return [
            name
            for name, connector in self._connectors.items()
            if connector.attempted and not connector.is_ready
        ]

    def _update_connections(self) -> None:
        self._connection_update_scheduled = False
        if self._closed:
            return
        connected = [
            (connection.peer.name, connection.peer.zone)
            for connection in self._connections
            if connection.peer is not None
        ]
        dial_targets = {
            m.name: m for m in self.exchange.dial_targets(self._loop.time(), connected, self._unreachable())
        }
        for name, connector in list(self._connectors.items()):
            if not self.exchange.should_keep(name, connector.address[0], dial_targets, connector.is_ready):
                connector.close()
                del self._connectors[name]
        for name, member in dial_targets.items():
            if name not in self._connectors:
                on_up = partial(self._connection_up, expected=name)
                self._connectors[name] = Connector(
                    (member.ip, member.port),
                    self._hello,
                    self._receive,
                    on_up,
                    self._connection_down,
                    self._schedule_connection_update,
                )

    def _connection_up(self, connection: PeerConnection, expected: str = "") -> None:
        """Registers a connection.

        Args:
            connection: The identified connection.
            expected: The name of the ingress that was to be reached, if this process connected; another
                ingress may have taken over its address.
        """
        peer = connection.peer
        assert peer is not None
        unexpected = peer.role != INGRESS_ROLE or (expected and peer.name != expected)
        if unexpected or peer.name == self._hello.name:  # own name: a connection of an earlier incarnation
            connection.abort()
            return
        for other in list(self._connections):
            if other.peer is not None and other.peer.name == peer.name and other.peer.life != peer.life:
                listed = self.exchange.members.get(peer.name)
                if listed is not None and listed.life == other.peer.life and peer.life < other.peer.life:
                    # of an earlier incarnation; one whose clock was set back connects again
                    connection.abort()
                    return
                other.abort()
        self._connections[connection] = None
        self._busy_until.pop(peer.name, None)
        if self._is_busy and peer.leases:
            connection.send(QuotaStatus(True))
        is_remote = peer.zone != self._boot.zone
        connection.send(self.exchange.full_state(self._loop.time(), peer.name, is_remote))
        self._report_quota_peers()
        self._schedule_connection_update()  # this ingress may represent its zone now

    def _connection_down(self, connection: PeerConnection) -> None:
        if connection in self._connections:
            del self._connections[connection]
            if connection.peer is not None and connection.peer.name in self._busy_until:
                self._busy_until[connection.peer.name] = self._loop.time() + BUSY_RETENTION_S
            self._report_quota_peers()
            self._schedule_connection_update()
            peer = connection.peer
            if peer is None or peer.zone != self._boot.zone or peer.name in self._zone_peers():
                return  # both sides had connected: the other connection is still up
            self._on_load_update(self.exchange.expire(self._loop.time(), peer.name))

    def _receive(self, connection: PeerConnection, message: Message) -> None:
        if connection.peer is None or connection not in self._connections:
            return
        if isinstance(message, QuotaRequest | QuotaGrant | QuotaSettlement | QuotaHandover):
            self._quota_message(connection.peer.name, message)
        elif isinstance(message, QuotaStatus):
            self._handle_quota_status(connection.peer.name, message)
        if not isinstance(message, Shares):
            return
        now = self._loop.time()
        update = self.exchange.receive(
            now, message, connection.peer.name, connection.peer.zone, connection.peer.life
        )
        if update.loads:
            self._on_load_update(update)

    def _maintain(self) -> None:
        if self._closed:
            return
        now = self._loop.time()
        for name in self._zone_peers():
            self.exchange.mark_alive(now, name)
        update = self.exchange.expire(now)
        if update.loads:
            self._on_load_update(update)
        self._update_connections()
        self._report_ingress_count()
        self._report_quota_peers()
        if not self._closed:
            self._loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)

    def _report_ingress_count(self) -> None:
        membership = self.exchange.membership(self._loop.time())
        if membership != self._reported_count:
            self._reported_count = membership
            self._on_ingress_count(*membership)

    def set_busy(self, is_busy: bool) -> None:
        """Notifies the peers whether this ingress is too slow to respond to quota messages in time."""
        self._is_busy = is_busy
        for connection in list(self._connections):
            if connection.peer is not None and connection.peer.leases:
                connection.send(QuotaStatus(is_busy))
        self._report_quota_peers()

    def _handle_quota_status(self, name: str, status: QuotaStatus) -> None:
        if status.busy:
            self._busy_until[name] = inf
        else:
            self._busy_until.pop(name, None)
        self._report_quota_peers()
        self._schedule_connection_update()

    def _busy_names(self) -> frozenset[str]:
        now = self._loop.time()
        for name in [name for name, until in self._busy_until.items() if until <= now]:
            del self._busy_until[name]
        return frozenset([*self._busy_until, self._boot.name] if self._is_busy else self._busy_until)

    def _report_quota_peers(self) -> None:
        """Reports which ingresses take part in quota leases: connected ones whose version supports leases."""
        connected = [
            connection.peer
            for connection in self._connections
            if connection.peer is not None and connection.peer.leases
        ]
        self._by_name = {
            connection.peer.name: connection
            for connection in self._connections
            if connection.peer is not None
        }
        zone, members = self._boot.zone, self.exchange.members.values()
        self.exchange.busy = self._busy_names()
        self._peers_changed(
            Peers(
                zone_peers=frozenset(peer.name for peer in connected if peer.zone == zone),
                remote_peers={peer.name: peer.zone for peer in connected if peer.zone != zone},
                listed_zone_peers=frozenset(m.name for m in members if m.zone == zone)
                - set(self._unreachable()),
                listed_zones=frozenset(m.zone for m in members if m.zone != zone),
                fleet_size=self.exchange.membership(self._loop.time())[0] if self._is_listed else 0,
                busy=self.exchange.busy,
            )
        )

    def peer(self, name: str) -> Hello | None:
        """Returns the identity of a connected ingress; None if it is not connected."""
        connection = self._by_name.get(name)
        return connection.peer if connection is not None else None

    def send_to(self, name: str, message: Message) -> None:
        """Sends a message to an ingress; the message is dropped if it is not connected."""
        if (connection := self._by_name.get(name)) is not None:
            connection.send(message)

    def abort_connections(self) -> None:
        """Aborts all connections: their unread data is older than the stall of this process."""
        for connection in list(self._connections):
            connection.abort()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self._closed = True
        self._listener.close()
        for connector in self._connectors.values():
            connector.close()
        for connection in list(self._connections):
            connection.abort()
