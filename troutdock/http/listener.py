"""Accepts clients within a bound on their places, and sees to the end of service.

Theory of operation. A connection that owes no answer stands in one line, and a place that is short is taken
from the one that is missed least:

    line      it                                     ends
    waiting   has sent no whole request, or the      408 after its pace; makes room once it is not fresh
              next has begun
    idle      stands between requests                after IDLE_S; earlier where such hold a quarter of all
    ending    was answered for the last time         after LINGER_S, in which what still comes is dropped
    slow      has not taken what was written to it   after STUCK_S; it may stand in another line as well

With a successor (`leave`, `leave_to`) nobody is accepted and nothing new asked of the engine; each connection
that owes no answer is passed on, with what has come of its next message.
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

from troutdock.admission.interface import RequestWaited
from troutdock.address import Address
from troutdock.engine import Engine
from troutdock.handover.roles import Item
from troutdock.http.socket_info import peer_closed
from troutdock.http.body_limits import HEADER_TIMEOUT_S, ByteBudget
from troutdock.http.connection import ClientConnection
from troutdock.http.connection_slots import ConnectionQueue
from troutdock.http.request import Headers, HttpRequest
from troutdock.http.response import MAX_HEAD
from troutdock.http.status import forwarded_headers
from troutdock.management.availability import Availability, State
from troutdock.overload.damping import EVERY, Damping
from troutdock.overload.lag import Lag

log = logging.getLogger("troutdock")

IDLE_S = 10.0  # a client's connection between requests is closed after this
CROWDED_FRACTION = 0.875  # of the places: with more taken, answers end their connections
IDLE_CONNECTION_SHARE = 4  # at most one place in so many is kept for connections between requests
RECENT_USE_S = (
    0.5  # a connection between requests for less is in use: closing it would cross the next request
)
WRITE_STALL_S = (
    10.0  # for taking what was written: some 64 KiB, which the slowest clients read in a few seconds
)
LINGER_S = 1.0  # what a client still sends is read and dropped for so long, so that it can read its answer
NEW_CONNECTION_S = 0.05  # a connection younger than this may be about to bring its request
BACKLOG = 1024  # connections in the kernel's queue: what a crowd opens in the second that a pass may take
ACCEPT_AT_ONCE = 16  # connections, before those accepted are listened to
ACCEPT_PAUSE_S = 0.05  # without descriptors: one comes free with the next answer or two
DRAIN_ACCEPT_S, DRAIN_QUIET_S, DRAIN_MOST_S = 0.4, 0.2, 1.0  # how long SIGTERM leaves the door open
# Out of service, or with a successor at the same socket: connections in use end with their answers meanwhile,
# so that hardly a request is left to cross the close of an idle one. The platform looks after 4 s.
OUT_OF_SERVICE_S = 1.0


class OtherProtocolConnection(Protocol):
    """A connection of another protocol that holds one of the clients' places."""

    @property
    def idle_since(self) -> float:
        """Since when it owes nothing, on the monotonic clock; infinite while it does."""

    def sweep(self, now: float) -> None:
        """End what has had its time."""

    def go_away(self) -> None:
        """Tell the client to go elsewhere; harmless twice."""

    def make_room(self) -> None:
        """Close, as the place is needed."""


class RequestParser(Protocol):
    """What makes requests of messages: http.request.Reader, or one that goes by routes."""

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes | list[bytes]) -> HttpRequest:
        """The request; BadRequest if it is none."""

    def waited(self, url: bytes, headers: Headers, waited_ms: float) -> RequestWaited | None:
        """What decides whether it is turned away unread; None: it has to be read."""


class Successor(Protocol):
    """A successor of this process."""

    def give(self, item: Item) -> bool:
        """Pass a connection on; false: there is nobody to take it."""


class Server:
    """Accepts clients within a bound on their connections, until it is told to drain."""

    def __init__(
        self,
        engine: Engine,
        reader: RequestParser,
        max_clients: int,
        lag: Lag | None = None,
        damping: Damping = EVERY,
        bodies: ByteBudget | None = None,
        max_streams: int = 100,
    ) -> None:
        self.streams, self._max_streams = 0, max_streams  # answers that are passed on as they come
        self.bodies = bodies or ByteBudget()  # what clients' long bodies may take of the memory
        self.lag, self.damping = lag or Lag(), damping
        self.engine = engine
        self.reader: RequestParser = reader
        self.forwarded_headers = forwarded_headers  # which headers of a backend's answer a client gets
        # where clients ask whether this process wants them; None: not at their own address
        self.health_path: bytes | None = b"/healthz"
        self.max_head = MAX_HEAD  # bytes of a request line with its headers
        self.head_s, self.idle_s = (
            HEADER_TIMEOUT_S,
            IDLE_S,
        )  # for a head to come; until an idle connection is closed
        # how long SIGTERM leaves the door open: at least, and where clients still come
        self.drain_accept_s, self.drain_most_s = DRAIN_ACCEPT_S, DRAIN_MOST_S
        self.availability = Availability()
        self._max_clients = max_clients
        self._max_idle = max(1, max_clients // IDLE_CONNECTION_SHARE)
        self._loop = asyncio.get_running_loop()
        self._clients: dict[ClientConnection, None] = {}
        # who takes a connection that begins with HTTP/2's preface; None: HTTP/1.1 alone is spoken
        self.other_protocol: Callable[[socket.socket | None], asyncio.Protocol] | None = None
        self.other_connections: dict[OtherProtocolConnection, None] = {}
        # each connection that owes no answer stands in one of these
        self.ending = ConnectionQueue()  # answered for the last time, and drained
        self.waiting = ConnectionQueue()  # no whole request has come yet, or the next has begun
        self.idle = ConnectionQueue()  # between requests
        self.slow = (
            ConnectionQueue()
        )  # has not taken what was written to it; may stand in another one as well
        self._starting: set[asyncio.Task[None]] = set()  # held here, as the loop holds tasks only weakly
        self._pending_connections = 0  # connections that are accepted and not up yet
        self._last_accept = 0.0
        self._accepting = False
        self._no_more_accepts = False  # the drain is about to close the listener
        self._inherited = False
        self.handing_over = False  # what comes whole is another's to answer, who may not be there yet
        self.successor: Successor | None = None  # who takes the clients' connections
        self._listener: socket.socket

    def listen(self, address: Address, inherited: socket.socket | None = None, hold: bool = False) -> Address:
        """Open the door; gives the address, with the port that the system chose for 0.

        inherited: a listening socket that others hold too, in place of one of its own. hold: another process
        takes the clients at it, until open().
        """
        self._inherited = inherited is not None
        self._listener = inherited or socket.create_server(address, backlog=BACKLOG)
        self._listener.setblocking(False)
        if not hold:
            self.open()
        host, port = self._listener.getsockname()[:2]
        return host, port

    def open(self) -> None:
        """Take clients."""
        self._resume()
        self.availability.opened(time.monotonic())

    @property
    def healthy(self) -> bool:
        """What the front is told: this process wants clients, and knows of a backend."""
        return self.engine.ready and self.availability.takes_clients

    # The loop's own server can't pause accepting: it would take connections past the bound on sockets.

    def _resume(self) -> None:
        if not self._accepting and not self.handing_over and self._listener.fileno() >= 0:
            self._accepting = True
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._listener.fileno())

    def _accept(self, most: int = ACCEPT_AT_ONCE) -> None:
        """Take what stands at the door; a late loop has long passes, and so takes the fewer a second."""
        for _ in range(most if self.damping.pace_accepts else BACKLOG):
            full = self._used_slots >= self._max_clients
            evicted = self._evictable() if full else None
            if full and evicted is None:
                self._pause()  # the kernel's queue holds the rest until a connection ends
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    raise
                log.warning("accepting pauses: %s", error)
                self._pause()
                self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            if self.damping.drop_departed and self.lag.notable and peer_closed(sock):
                sock.close()  # nobody waits for what it asked
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

    def _start_connection(self, sock: socket.socket, item: Item | None = None) -> None:
        self._pending_connections += 1
        task = self._loop.create_task(self._set_up(sock, item))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)

    async def _set_up(self, sock: socket.socket, item: Item | None) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self, sock, item), sock)
        except OSError:
            sock.close()
            self._pending_connections -= 1
            self._resume()

    @property
    def _used_slots(self) -> int:
        """Places."""
        return len(self._clients) + len(self.other_connections) + self._pending_connections

    def _evictable(self) -> ClientConnection | OtherProtocolConnection | None:
        """The connection that is missed least: answered for good, then without a request, then idle.

        One that has only just come has had no time to ask, unless there are many of them. One that is in use
        is not cut: its next request may be on its way, and an ordinary client shows the reset to its user.
        It is told with its answer to end (`crowded`), and that gives the place.
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
        """Places are short: connections are to end with their next answer, before any has to be cut."""
        return self._used_slots > self._max_clients * CROWDED_FRACTION and self.damping.polite_closing

    def stream_started(self) -> None:
        """One more is passed on; with too many, the client that took nothing for longest is cut.

        Guards the memory: each costs some, and a process that is killed for it loses all that it has taken.
        It hurts a client that is slower than all others while all streams are taken.
        """
        self.streams += 1
        if self.streams > self._max_streams and (slowest := self.slow.oldest()) is not None:
            log.warning("%d long answers at once: the slowest client is cut", self.streams)
            self.slow.remove(slowest)
            slowest.abort()

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection is up."""
        self._pending_connections -= 1
        self.engine.tally.connections += 1
        self._clients[connection] = None
        between = connection.item is not None and not connection.item.data
        (self.idle if between else self.waiting).add(connection)
        if self.successor is not None:
            self.schedule_pass_on(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self._clients.pop(connection, None)
        for line in (self.ending, self.waiting, self.idle, self.slow):
            line.remove(connection)
        self._resume()

    def remove_other(self, other: OtherProtocolConnection) -> None:
        """A connection of another protocol has ended."""
        self.other_connections.pop(other, None)
        self._resume()

    def _send_go_away(self) -> None:
        for other in list(self.other_connections):
            other.go_away()

    def sweep(self) -> None:
        """End what has had its time."""
        now = time.monotonic()
        for other in list(self.other_connections):
            other.sweep(now)
        for slow in self.waiting.added_before():
            if slow.timed_out(now):
                self.waiting.remove(slow)
                self.ending.add(slow)
                slow.time_out()
        self._close_idle(now - self.idle_s)
        # Guards against clients that ask once and keep their connection: what they may hold is bounded too,
        # and with all of it standing idle they can ask nothing more, while places here are free. It could
        # hurt a crowd of clients that each come back seldom, by a new connection for each request.
        while len(self.idle) > self._max_idle and (longest := self._evictable_idle(now)) is not None:
            self._close(longest)
        if self.availability.state is State.OUT_OF_SERVICE:
            self._close_unused(now)
        if not self._accepting and not self._no_more_accepts and self._evictable() is not None:
            self._resume()  # there is one now that can make room
        while (late := self.ending.oldest(now - LINGER_S)) is not None:
            self.ending.remove(late)
            if not late.has_unwritten:
                late.abort()
            elif late not in self.slow:
                self.slow.add(late)  # it may take longer to read its last answer
        for reading in self.slow.added_before(now - LINGER_S):
            if reading.closing and not reading.has_unwritten:
                self.slow.remove(reading)
                self.ending.add(reading)
        while (stuck := self.slow.oldest(now - WRITE_STALL_S)) is not None:
            self.slow.remove(stuck)
            stuck.abort()

    def _evictable_idle(self, now: float) -> ClientConnection | None:
        """The connection between requests that is missed least."""
        return self.idle.oldest(now - RECENT_USE_S, without_request=True)

    def connection_idle(self, connection: ClientConnection) -> None:
        """A connection has its answer, and stands between requests."""
        self.idle.add(connection)

    def adopt(self, item: Item) -> None:
        """A predecessor passes a client's connection on; there is a place for it, or it is closed."""
        sock: socket.socket = item.connection
        if self._used_slots >= self._max_clients:
            sock.close()
            return
        sock.setblocking(False)
        self._start_connection(sock, item)

    def begin_handover(self) -> None:
        """What comes from now on is a successor's: accept nobody, ask the engine nothing new."""
        self.handing_over = True
        self._no_more_accepts = True
        self._pause()
        self._send_go_away()

    def hand_over_to(self, successor: Successor) -> None:
        """The successor takes the clients: pass on what owes no answer."""
        self.successor = successor
        for connection in list(self._clients):
            self._pass_on(connection)

    def cancel_handover(self, returned: Iterable[Item] = ()) -> None:
        """The successor has died: what was left for it is this process's again."""
        self.successor, self.handing_over = None, False
        if self.availability.state is not State.ENDING:
            self._no_more_accepts = False
            self._resume()
        for item in returned:
            self.adopt(item)
        for connection in list(self._clients):
            connection.cancel_handover()

    def reserve_predecessor_share(self, body_bytes: int, streams: int) -> None:
        """So much of the budgets is a predecessor's until it has ended; below nought: it is free again."""
        self.bodies.used += body_bytes
        self.streams += streams

    def unreleased_share(self) -> tuple[int, int]:
        """Bytes of bodies of requests that owe an answer, and long answers under way: they don't go over."""
        return sum(connection.reserved_bytes for connection in self._clients), self.streams

    def schedule_pass_on(self, connection: ClientConnection) -> None:
        """Pass it on if nothing of it is here any more; not within its own calls."""
        self._loop.call_soon(self._pass_on, connection)

    def _pass_on(self, connection: ClientConnection) -> None:
        if self.successor is None or connection not in self._clients:
            return
        if (item := connection.pass_on()) is not None and not self.successor.give(item):
            item.connection.close()

    def _close(self, connection: ClientConnection) -> None:
        self.idle.remove(connection)
        self.ending.add(connection)
        connection.close()

    def _close_idle(self, before: float) -> None:
        while (late := self.idle.oldest(before, without_request=True)) is not None:
            self._close(late)

    async def drain(self, more: Callable[[], bool] = lambda: False) -> None:
        """Take what still comes, finish all that was taken, then close the door.

        more: connections may still come by adopt.

        An inherited socket is left at once: what stands at it is its next holder's, and nothing is lost.
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
                for connection in list(self._clients):  # one that had not read its last answer, say
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
        """End what stands idle, once clients have had time to be told with an answer."""
        self._send_go_away()
        if now - self.availability.since_s > OUT_OF_SERVICE_S:
            self._close_idle(now - DRAIN_QUIET_S)
            for without_request in self.waiting.added_before(now - DRAIN_QUIET_S):
                if not without_request.in_message:
                    self.waiting.remove(without_request)
                    self.ending.add(without_request)
                    without_request.close()

    async def _accept_remaining(self, began: float) -> None:
        """Accept until nobody has come for a while."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            quiet = now - self._last_accept > DRAIN_QUIET_S
            if now - began > (self.drain_accept_s if quiet else self.drain_most_s):
                break
        self._accept(BACKLOG)
