"""The ingress's connections to registries: carries out the decisions of troutdock.proxy.registry_watch.

The subscribed registry sends its complete state, then changes. The connection's own silence time-out
detects a registry that does not respond. State that was received is kept when a registry is lost. Before a
connection is subscribed to, one configuration and MAX_BUFFERED_MESSAGES other messages of it are buffered;
of a standby none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

import logbook

from troutdock.settings.boot import Boot
from troutdock.proxy.registry_watch import (
    Disconnect,
    Connect,
    Subscribe,
    RegistrySelector,
    DiscardMessages,
    ConnectionAction,
)
from troutdock.rpc.connection import CONNECT_TIMEOUT_S, PeerConnection
from troutdock.rpc.messages import Config, Fresh, Hello, Message

log = logbook.Logger("news")

REGISTRY_ROLE = "hedgerow"
PORT_INDEX = 0  # index into the internal port range
MAX_BUFFERED_MESSAGES = 256  # per connection before it is subscribed to, besides one configuration
MAX_TIMER_S = 3600.0


class _MessageBuffer:
    """The messages received on a connection that is not subscribed to yet, in order and bounded."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def add(self, message: Message) -> bool:
        """Buffers a message; returns False if the buffer is full."""
        if isinstance(message, Config):
            self.messages = [m for m in self.messages if not isinstance(m, Config)]
        elif len(self.messages) >= MAX_BUFFERED_MESSAGES:
            return False
        self.messages.append(message)
        return True


class RegistryClient:
    """Subscribes to one registry at a time."""

    def __init__(
        self,
        boot: Boot,
        hello: Hello,
        on_message: Callable[[Message], None],
        on_subscribed: Callable[[PeerConnection], None],
        on_lost: Callable[[], None] = lambda: None,
        is_outdated: Callable[[Config], bool] = lambda _: False,
    ) -> None:
        """Starts without connections.

        Args:
            boot: The process's settings.
            hello: Identifies this ingress.
            on_message: Receives the messages of the subscribed registry.
            on_subscribed: Called with the connection of each new subscription.
            on_lost: Called when the connection to the subscribed registry has ended.
            is_outdated: Whether a configuration need not be buffered.
        """
        self._boot, self._hello, self._on_message, self._on_subscribed = (
            boot,
            hello,
            on_message,
            on_subscribed,
        )
        self._on_lost, self._is_outdated = on_lost, is_outdated
        self._loop = asyncio.get_running_loop()
        self.selector = RegistrySelector(boot.name, boot.zone, [host for host, _ in boot.seeds])
        self._subscribed: PeerConnection | None = None
        self._connections: dict[int, PeerConnection] = {}
        self._numbers: dict[PeerConnection, int] = {}
        self._buffers: dict[int, _MessageBuffer] = {}
        self._connect_tasks: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._executing = False
        self._pending_actions: list[ConnectionAction] = []
        self._closed = False

    @property
    def registries(self) -> dict[str, str]:
        """The zones of the known registries by address; empty while unknown."""
        return self.selector.registries

    def start(self) -> None:
        """Starts to connect to registries."""
        self._tick()

    def send(self, message: Message) -> bool:
        """Sends to the subscribed registry; returns False if there is none or it cannot be sent."""
        return self._subscribed is not None and self._subscribed.send(message)

    def add_registries(self, registries: dict[str, str]) -> None:
        """Adds registries, as zones by address."""
        self._execute_all(self.selector.registries_learned(self._loop.time(), registries))

    def abort_connections(self) -> None:
        """Aborts all connections: their unread data is older than the stall of this process."""
        for connection in list(self._connections.values()):
            connection.abort()

    # ---- connections

    def _receive(self, connection: PeerConnection, message: Message) -> None:
        if (number := self._numbers.get(connection)) is None:
            return
        if connection is self._subscribed:
            self._on_message(message)
        elif (buffer := self._buffers.get(number)) is not None:
            outdated = isinstance(message, Config) and self._is_outdated(message)
            if not outdated and not buffer.add(message):
                log.warning(
                    "Registry {} sent too many messages before the subscription; closing the connection.",
                    connection.peer.name if connection.peer else "?",
                )
                connection.abort()
                return
        if isinstance(message, Fresh):
            self._execute_all(self.selector.contact_reported(self._loop.time(), number, message.fresh))

    def _connection_up(self, connection: PeerConnection) -> None:
        peer = connection.peer
        assert peer is not None
        number = self._numbers.get(connection)
        if number is None or peer.role != REGISTRY_ROLE:
            connection.abort()
            return
        self._buffers[number] = _MessageBuffer()
        self._execute_all(self.selector.peer_identified(self._loop.time(), number, peer.ip, peer.zone))

    def _connection_down(self, connection: PeerConnection) -> None:
        if (number := self._numbers.get(connection)) is None:
            return
        self._remove(number)
        if connection is self._subscribed:
            self._subscribed = None
            log.info("Connection to the subscribed registry lost.")
            self._on_lost()
        self._execute_all(self.selector.connection_ended(self._loop.time(), number))

    def _remove(self, number: int) -> None:
        self._buffers.pop(number, None)
        connection = self._connections.pop(number, None)
        if connection is not None:
            self._numbers.pop(connection, None)

    async def _connect(self, number: int, ip: str, connection: PeerConnection) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: connection, ip, self._boot.port(PORT_INDEX))
        except (OSError, TimeoutError):
            connection.abort()
            if number in self._connections:
                self._remove(number)
                self._execute_all(self.selector.connection_ended(self._loop.time(), number))
        finally:
            self._connect_tasks.pop(number, None)

    # ---- actions

    def _tick(self) -> None:
        self._timer = None
        now = self._loop.time()
        for number, connection in self._connections.items():
            self.selector.data_received(number, connection.last_received_at)
        self._execute_all(self.selector.tick(now))

    def _execute_all(self, actions: list[ConnectionAction]) -> None:
        """Executes actions in order; those that an action causes are appended."""
        self._pending_actions += actions
        if self._executing or self._closed:
            return
        self._executing = True
        try:
            while self._pending_actions:
                self._execute(self._pending_actions.pop(0))
        finally:
            self._executing = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait_s = self.selector.seconds_to_tick(self._loop.time())
        if wait_s != inf and not self._closed:
            self._timer = self._loop.call_later(min(max(wait_s, 0.01), MAX_TIMER_S), self._tick)

    def _execute(self, action: ConnectionAction) -> None:
        match action:
            case Connect(number, ip):
                connection = PeerConnection(
                    self._hello, self._receive, self._connection_up, self._connection_down
                )
                self._connections[number], self._numbers[connection] = connection, number
                self._connect_tasks[number] = self._loop.create_task(self._connect(number, ip, connection))
            case Subscribe(number):
                self._subscribe(number)
            case DiscardMessages(number):
                self._buffers.pop(number, None)
            case Disconnect(number):
                removed = self._connections.get(number)
                self._remove(number)
                if (task := self._connect_tasks.pop(number, None)) is not None:
                    task.cancel()
                if removed is not None:
                    removed.abort()

    def _subscribe(self, number: int) -> None:
        connection = self._connections.get(number)
        if connection is None or not connection.open:  # it has just ended; _connection_down follows
            return
        self._subscribed = connection
        assert connection.peer is not None
        log.info("Subscribed to registry {}.", connection.peer.name)
        self._on_subscribed(connection)
        buffer = self._buffers.pop(number, None)
        for message in buffer.messages if buffer is not None else ():
            self._on_message(message)

    def close(self) -> None:
        """Closes all connections."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._connect_tasks.values()):
            task.cancel()
        for connection in list(self._connections.values()):
            self._numbers.pop(connection, None)
            connection.abort()
        self._connections.clear()
        self._subscribed = None
