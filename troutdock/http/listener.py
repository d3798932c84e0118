"""Accepts clients up to a limit on their connections, and shuts the service down in order.

Theory of operation. Every connection that owes no response is in one of the queues waiting, idle and ending.
If a slot is needed, the least valuable connection is closed; the queues say which:

    queue     its connections                        closed
    waiting   no complete request received yet, or   with 408 if it exceeds its receive time; to free a slot,
              the next one has begun                 if it is not new
    idle      between requests                       after IDLE_S; earlier if idle ones hold a quarter of all
                                                     slots
    ending    the last response was written          after LINGER_S, in which further data is dropped
    slow      has not taken all written data         after WRITE_STALL_S; may be in another queue as well

With a successor (`begin_handover`, then `hand_over_to`), no connection is accepted and no new request is
passed to the engine. Each connection that owes no response is passed on, with the bytes received of its next
message. If the successor dies, `cancel_handover` restores normal operation.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Callable, Iterable
from math import inf
from typing import Protocol

from troutdock.admission.interface import RequestQueued
from troutdock.address import Address
from troutdock.engine import Engine
from troutdock.handover.roles import TransferredConnection
from troutdock.http.socket_info import peer_closed
from troutdock.http.body_limits import HEADER_TIMEOUT_S, ByteBudget
from troutdock.http.connection import ClientConnection
from troutdock.http.connection_slots import ConnectionQueue
from troutdock.http.request import Headers, HttpRequest
from troutdock.http.response import MAX_HEAD
from troutdock.http.status import forwarded_headers
from troutdock.management.availability import Availability, State
from troutdock.overload.damping import ALL_ENABLED, Damping
from troutdock.overload.lag import EventLoopLag

log = logging.getLogger("troutdock")

IDLE_S = 10.0  # an idle client connection is closed after this time
CROWDED_FRACTION = 0.875  # of the slots: with more in use, responses close their connections
IDLE_SLOTS_DIVISOR = 4  # at most 1/4 of the slots is kept for idle connections
RECENT_USE_S = 0.5  # a connection idle for less is in use: closing it could cross the next request
WRITE_STALL_S = 10.0  # to take the written data, about 64 KiB; the slowest clients need a few seconds
LINGER_S = 1.0  # further data is read and dropped for this time, so that the client can read its response
NEW_CONNECTION_S = 0.05  # a younger connection may be about to send its request
BACKLOG = 1024  # kernel queue: connections that many clients open during a loop iteration of up to 1 s
ACCEPT_AT_ONCE = 16  # connections accepted per loop iteration, before the accepted ones are read
ACCEPT_PAUSE_S = 0.05  # when out of descriptors: one is freed by the next response or two
DRAIN_ACCEPT_S, DRAIN_QUIET_S, DRAIN_MOST_S = 0.4, 0.2, 1.0  # SIGTERM to end of accepting
# Out of service, or with a successor on the same socket: delay before idle connections are closed. Active
# ones close with their responses meanwhile, so that few requests cross the close of an idle one. The platform
# checks after 4 s.
OUT_OF_SERVICE_S = 1.0


class OtherProtocolConnection(Protocol):
    """A connection of another protocol that occupies a client slot."""

    @property
    def idle_since(self) -> float:
        """Since when it owes no response, on the monotonic clock; infinite while it does."""

    def sweep(self, now: float) -> None:
        """Ends what has timed out."""

    def go_away(self) -> None:
        """Asks the client to use another connection, for example by GOAWAY; idempotent."""

    def make_room(self) -> None:
        """Closes to free its slot."""


class RequestParser(Protocol):
    """Converts messages to requests: http.request.Reader, or one that applies routes."""

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes | list[bytes]) -> HttpRequest:
        """Returns the request.

        Raises:
            BadRequest: the message is not a valid request.
        """

    def waited(self, url: bytes, headers: Headers, waited_ms: float) -> RequestQueued | None:
        """Returns the data for rejecting a request unread; None if it has to be read."""


class Successor(Protocol):
    """The process that takes over the client connections."""

    def pass_connection(self, item: TransferredConnection) -> bool:
        """Passes a connection on. Returns false if the successor is gone."""


class Server:
    """Accepts clients up to a limit on their connections, until drain is called."""

    def __init__(
        self,
        engine: Engine,
        reader: RequestParser,
        max_clients: int,
        lag: EventLoopLag | None = None,
        damping: Damping = ALL_ENABLED,
        bodies: ByteBudget | None = None,
        max_streams: int = 100,
    ) -> None:
        self.streams, self._max_streams = 0, max_streams  # responses being streamed
        self.bodies = bodies or ByteBudget()  # memory for long request bodies
        self.lag, self.damping = lag or EventLoopLag(), damping
        self.engine = engine
        self.reader: RequestParser = reader
        self.forwarded_headers = forwarded_headers  # selects the response headers for the client
        # path of the health check on the clients' address; None for no health check there
        self.health_path: bytes | None = b"/healthz"
        self.max_head = MAX_HEAD  # bytes of request line and header section
        self.head_s, self.idle_s = HEADER_TIMEOUT_S, IDLE_S  # header timeout, idle timeout
        # how long clients are accepted after SIGTERM: at least, and at most while new ones arrive
        self.drain_accept_s, self.drain_most_s = DRAIN_ACCEPT_S, DRAIN_MOST_S
        self.availability = Availability()
        self._max_clients = max_clients
        self._max_idle = max(1, max_clients // IDLE_SLOTS_DIVISOR)
        self._loop = asyncio.get_running_loop()
        self._clients: dict[ClientConnection, None] = {}
        # creates the protocol of a connection that begins with the HTTP/2 preface; None: HTTP/1.1 only
        self.other_protocol: Callable[[socket.socket | None], asyncio.Protocol] | None = None
        self.other_connections: dict[OtherProtocolConnection, None] = {}
        # each connection that owes no response is in one of waiting, idle and ending
        self.ending = ConnectionQueue()  # last response written, being drained
        self.waiting = ConnectionQueue()  # no complete request yet, or the next one has begun
        self.idle = ConnectionQueue()  # between requests
        self.slow = ConnectionQueue()  # has not taken all written data; may be in another queue as well
        self._starting: set[asyncio.Task[None]] = set()  # strong references; the loop has only weak ones
        self._pending_connections = 0  # accepted, not yet set up
        self._last_accept = 0.0
        self._accepting = False
        self._no_more_accepts = False  # the listener is about to close
        self._inherited = False
        self.handing_over = False  # complete requests are kept for a successor, which may not be ready yet
        self.successor: Successor | None = None  # receives the client connections
        self._listener: socket.socket

    def listen(self, address: Address, inherited: socket.socket | None = None, hold: bool = False) -> Address:
        """Creates the listening socket and starts to accept. Returns the address, with the actual port.

        Args:
            address: host and port; port 0 lets the system choose.
            inherited: a listening socket shared with other processes, used instead of a new one.
            hold: do not accept until open() is called, since another process accepts.
        """
        self._inherited = inherited is not None
        self._listener = inherited or socket.create_server(address, backlog=BACKLOG)
        self._listener.setblocking(False)
        if not hold:
            self.open()
        host, port = self._listener.getsockname()[:2]
        return host, port

    def open(self) -> None:
        """Starts to accept clients."""
        self._resume()
        self.availability.opened(time.monotonic())

    @property
    def healthy(self) -> bool:
        """The result of the health check: this process accepts clients and knows a backend."""
        return self.engine.ready and self.availability.accepts_clients

    # asyncio's own server cannot pause accepting and would exceed the limit on sockets.

    def _resume(self) -> None:
        if not self._accepting and not self.handing_over and self._listener.fileno() >= 0:
            self._accepting = True
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._listener.fileno())

    def _accept(self, most: int = ACCEPT_AT_ONCE) -> None:
        """Accepts pending connections, a limited number per loop iteration; a late loop accepts fewer."""
        for _ in range(most if self.damping.pace_accepts else BACKLOG):
            full = self._used_slots >= self._max_clients
            evicted = self._evictable() if full else None
            if full and evicted is None:
                self._pause()  # the rest stays in the kernel's queue until a connection ends
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    raise
                log.warning("pausing accept for lack of resources: %s", error)
                self._pause()
                self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            if self.damping.drop_departed and self.lag.significant and peer_closed(sock):
                sock.close()  # the client no longer waits for a response
                continue
            if evicted is not None:
                if isinstance(evicted, ClientConnection):
                    self.connection_closed(evicted)
                else:
                    self.other_connections.pop(evicted, None)
                evicted.make_room()
            sock.setblocking(False)
            self._last_accept = time.monotonic()
            self._start_connection(sock)

    def _start_connection(self, sock: socket.socket, item: TransferredConnection | None = None) -> None:
        self._pending_connections += 1
        task = self._loop.create_task(self._set_up(sock, item))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)

    async def _set_up(self, sock: socket.socket, item: TransferredConnection | None) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self, sock, item), sock)
        except OSError:
            sock.close()
            self._pending_connections -= 1
            self._resume()

    @property
    def _used_slots(self) -> int:
        """Number of slots in use."""
        return len(self._clients) + len(self.other_connections) + self._pending_connections

    def _evictable(self) -> ClientConnection | OtherProtocolConnection | None:
        """Returns the connection to close for a free slot: ending first, then waiting, then idle.

        A new connection has had no time to send a request and is spared, unless there are many of them. A
        recently used one is not closed, since its next request may be on its way and an ordinary client shows
        the reset to its user; it is asked to close with its next response instead (`nearly_full`).
        """
        many = len(self.waiting) > self._max_clients // 4
        now = time.monotonic()
        return (
            self.ending.oldest()
            or self.waiting.oldest(inf if many else now - NEW_CONNECTION_S, without_request=True)
            or self._evictable_idle(now)
            or self._evictable_other(now)
        )

    def _evictable_other(self, now: float) -> OtherProtocolConnection | None:
        idle = [other for other in self.other_connections if other.idle_since < now - RECENT_USE_S]
        return min(idle, key=lambda other: other.idle_since, default=None)

    @property
    def nearly_full(self) -> bool:
        """True if slots are short: connections then close with their next response."""
        return self._used_slots > self._max_clients * CROWDED_FRACTION and self.damping.polite_closing

    @property
    def asks_clients_to_leave(self) -> bool:
        """True if connections close after the requests that have been read."""
        return (self.availability.drains_clients and not self.handing_over) or self.nearly_full

    def stream_started(self) -> None:
        """Counts a streamed response; above the limit, aborts the client that has been stalled for longest.

        Bounds the memory, since each stream costs some and a process that is killed for lack of memory loses
        all its requests. The cost is borne by the slowest client while all streams are in use.
        """
        self.streams += 1
        if self.streams > self._max_streams and (slowest := self.slow.oldest()) is not None:
            log.warning("%d streamed responses at once: aborting the slowest client", self.streams)
            self.slow.remove(slowest)
            slowest.abort()

    def connection_opened(self, connection: ClientConnection) -> None:
        """Registers a new connection."""
        self._pending_connections -= 1
        self.engine.tally.connections += 1
        self._clients[connection] = None
        between = connection.item is not None and not connection.item.data
        (self.idle if between else self.waiting).add(connection)
        if self.successor is not None:
            self.schedule_pass_on(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Removes a closed connection."""
        self._clients.pop(connection, None)
        for line in (self.ending, self.waiting, self.idle, self.slow):
            line.remove(connection)
        self._resume()

    def remove_other(self, other: OtherProtocolConnection) -> None:
        """Removes a closed connection of another protocol."""
        self.other_connections.pop(other, None)
        self._resume()

    def _send_go_away(self) -> None:
        for other in list(self.other_connections):
            other.go_away()

    def sweep(self) -> None:
        """Ends what has timed out."""
        now = time.monotonic()
        for other in list(self.other_connections):
            other.sweep(now)
        for slow in self.waiting.added_before():
            if slow.timed_out(now):
                self.waiting.remove(slow)
                self.ending.add(slow)
                slow.time_out()
        self._close_idle(now - self.idle_s)
        # Limits idle connections of clients that send one request and keep the connection: the number of
        # connections that they may hold is limited too, and if all are idle they cannot send more requests
        # although there are free slots here. The cost: many clients that each return seldom may need a new
        # connection for each request.
        while len(self.idle) > self._max_idle and (longest := self._evictable_idle(now)) is not None:
            self._close(longest)
        if self.availability.state is State.OUT_OF_SERVICE:
            self._close_unused(now)
        if not self._accepting and not self._no_more_accepts and self._evictable() is not None:
            self._resume()  # a connection can now be closed for a free slot
        while (late := self.ending.oldest(now - LINGER_S)) is not None:
            self.ending.remove(late)
            if not late.has_unwritten:
                late.abort()
            elif late not in self.slow:
                self.slow.add(late)  # it may take longer to read its last response
        for reading in self.slow.added_before(now - LINGER_S):
            if reading.closing and not reading.has_unwritten and reading.current_exchange() is None:
                self.slow.remove(reading)
                self.ending.add(reading)
        while (stuck := self.slow.oldest(now - WRITE_STALL_S)) is not None:
            self.slow.remove(stuck)
            stuck.abort()

    def _evictable_idle(self, now: float) -> ClientConnection | None:
        """Returns the connection that has been idle for longest and was not used recently."""
        return self.idle.oldest(now - RECENT_USE_S, without_request=True)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Handles a connection that has its response and is now between requests."""
        self.idle.add(connection)

    def adopt(self, item: TransferredConnection) -> None:
        """Takes a client's connection over from a predecessor; closes it if no slot is free."""
        sock: socket.socket = item.connection
        if self._used_slots >= self._max_clients:
            sock.close()
            return
        sock.setblocking(False)
        self._start_connection(sock, item)

    def begin_handover(self) -> None:
        """Stops accepting connections and passing requests to the engine; they belong to a successor."""
        self.handing_over = True
        self._no_more_accepts = True
        self._pause()
        self._send_go_away()

    def hand_over_to(self, successor: Successor) -> None:
        """Passes all connections that owe no response on to the successor."""
        self.successor = successor
        for connection in list(self._clients):
            self._pass_on(connection)

    def cancel_handover(self, returned: Iterable[TransferredConnection] = ()) -> None:
        """Resumes after the successor has died, with the connections and requests kept for it."""
        self.successor, self.handing_over = None, False
        if self.availability.state is not State.ENDING:
            self._no_more_accepts = False
            self._resume()
        for item in returned:
            self.adopt(item)
        for connection in list(self._clients):
            connection.cancel_handover()

    def reserve_predecessor_share(self, body_bytes: int, streams: int) -> None:
        """Reserves the budget still used by a predecessor; negative values release it when that has ended."""
        self.bodies.used += body_bytes
        self.streams += streams

    def unreleased_share(self) -> tuple[int, int]:
        """Returns the body bytes and streams of open requests, which stay in this process."""
        return sum(connection.reserved_bytes for connection in self._clients), self.streams

    def schedule_pass_on(self, connection: ClientConnection) -> None:
        """Schedules passing a connection on, outside of its own callbacks."""
        self._loop.call_soon(self._pass_on, connection)

    def _pass_on(self, connection: ClientConnection) -> None:
        if self.successor is None or connection not in self._clients:
            return
        if (item := connection.pass_on()) is not None and not self.successor.pass_connection(item):
            item.connection.close()

    def _close(self, connection: ClientConnection) -> None:
        self.idle.remove(connection)
        self.ending.add(connection)
        connection.close()

    def _close_idle(self, before: float) -> None:
        while (late := self.idle.oldest(before, without_request=True)) is not None:
            self._close(late)

    async def drain(self, more: Callable[[], bool] = lambda: False) -> None:
        """Accepts the last connections, closes the listener and finishes all requests.

        An inherited socket is closed at once: its pending connections go to the next process that holds it.

        Args:
            more: returns whether connections may still arrive by adopt.
        """
        began = time.monotonic()
        self.availability.end(began)
        self._no_more_accepts = True
        if not self._inherited:
            self._close_idle(began)
            await self._accept_remaining(began)
        self._pause()
        self._listener.close()
        self._send_go_away()
        while self._pending_connections or self._clients or self.other_connections or more():
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.successor is not None:
                for connection in list(self._clients):  # for example one that had not read its last response
                    self._pass_on(connection)
            elif self._inherited:
                self._close_unused(now)
            else:
                while (late := self.waiting.oldest(now - LINGER_S)) is not None:
                    late.abort()
                    self.connection_closed(late)
                self._close_idle(now - DRAIN_QUIET_S)
            self.sweep()

    def _close_unused(self, now: float) -> None:
        """Closes idle connections, after active ones had time to be closed with a response."""
        self._send_go_away()
        if now - self.availability.since_s > OUT_OF_SERVICE_S:
            self._close_idle(now - DRAIN_QUIET_S)
            for without_request in self.waiting.added_before(now - DRAIN_QUIET_S):
                if not without_request.in_message:
                    self.waiting.remove(without_request)
                    self.ending.add(without_request)
                    without_request.close()

    async def _accept_remaining(self, began: float) -> None:
        """Accepts until no new connection has arrived for a while."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            quiet = now - self._last_accept > DRAIN_QUIET_S
            if now - began > (self.drain_accept_s if quiet else self.drain_most_s):
                break
        self._accept(BACKLOG)
