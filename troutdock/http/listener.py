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

from troutdock.admission.interface import RequestQueued
from troutdock.address import Address
from troutdock.engine import Engine
from troutdock.handover.roles import Item
from troutdock.http.socket_info import has_left
from troutdock.http.body_limits import HEAD_S, Budget
from troutdock.http.connection import ClientConnection
from troutdock.http.connection_slots import Line
from troutdock.http.request import Headers, HttpRequest
from troutdock.http.response import MAX_HEAD
from troutdock.http.status import passed_on
from troutdock.management.availability import Availability, State
from troutdock.overload.damping import EVERY, Damping
from troutdock.overload.lag import Lag

log = logging.getLogger("troutdock")

IDLE_S = 10.0  # a client's connection between requests is closed after this
CROWDED_PART = 0.875  # of the places: with more taken, answers end their connections
IDLE_PART = 4  # at most one place in so many is kept for connections between requests
USED_S = 0.5  # a connection between requests for less is in use: closing it would cross the next request
STUCK_S = 10.0  # for taking what was written: some 64 KiB, which the slowest clients read in a few seconds
LINGER_S = 1.0  # what a client still sends is read and dropped for so long, so that it can read its answer
FRESH_S = 0.05  # a connection younger than this may be about to bring its request
BACKLOG = 1024  # connections in the kernel's queue: what a crowd opens in the second that a pass may take
ACCEPT_AT_ONCE = 16  # connections, before those accepted are listened to
ACCEPT_PAUSE_S = 0.05  # without descriptors: one comes free with the next answer or two
DRAIN_ACCEPT_S, DRAIN_QUIET_S, DRAIN_MOST_S = 0.4, 0.2, 1.0  # how long SIGTERM leaves the door open
# Out of service, or with a successor at the same socket: connections in use end with their answers meanwhile,
# so that hardly a request is left to cross the close of an idle one. The platform looks after 4 s.
SENT_AWAY_S = 1.0


class Other(Protocol):
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


class Reads(Protocol):
    """What makes requests of messages: http.request.Reader, or one that goes by routes."""

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes | list[bytes]) -> HttpRequest:
        """The request; BadRequest if it is none."""

    def waited(self, url: bytes, headers: Headers, waited_ms: float) -> RequestQueued | None:
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
        reader: Reads,
        max_clients: int,
        lag: Lag | None = None,
        damping: Damping = EVERY,
        bodies: Budget | None = None,
        max_streams: int = 100,
    ) -> None:
        self.streams, self._max_streams = 0, max_streams  # answers that are passed on as they come
        self.bodies = bodies or Budget()  # what clients' long bodies may take of the memory
        self.lag, self.damping = lag or Lag(), damping
        self.engine = engine
        self.reader: Reads = reader
        self.passes = passed_on  # which headers of a backend's answer a client gets
        # where clients ask whether this process wants them; None: not at their own address
        self.health_path: bytes | None = b"/healthz"
        self.max_head = MAX_HEAD  # bytes of a request line with its headers
        self.head_s, self.idle_s = HEAD_S, IDLE_S  # for a head to come; until an idle connection is closed
        # how long SIGTERM leaves the door open: at least, and where clients still come
        self.drain_accept_s, self.drain_most_s = DRAIN_ACCEPT_S, DRAIN_MOST_S
        self.availability = Availability()
        self._max_clients = max_clients
        self._max_idle = max(1, max_clients // IDLE_PART)
        self._loop = asyncio.get_running_loop()
        self._clients: dict[ClientConnection, None] = {}
        # who takes a connection that begins with HTTP/2's preface; None: HTTP/1.1 alone is spoken
        self.other: Callable[[socket.socket | None], asyncio.Protocol] | None = None
        self.others: dict[Other, None] = {}
        # each connection that owes no answer stands in one of these
        self.ending = Line()  # answered for the last time, and drained
        self.waiting = Line()  # no whole request has come yet, or the next has begun
        self.idle = Line()  # between requests
        self.slow = Line()  # has not taken what was written to it; may stand in another one as well
        self._starting: set[asyncio.Task[None]] = set()  # held here, as the loop holds tasks only weakly
        self._coming = 0  # connections that are accepted and not up yet
        self._last_accept = 0.0
        self._accepting = False
        self._shut = False  # the drain is about to close the listener
        self._inherited = False
        self.leaving = False  # what comes whole is another's to answer, who may not be there yet
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
        if not self._accepting and not self.leaving and self._listener.fileno() >= 0:
            self._accepting = True
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._listener.fileno())

    def _accept(self, most: int = ACCEPT_AT_ONCE) -> None:
        """Take what stands at the door; a late loop has long passes, and so takes the fewer a second."""
        for _ in range(most if self.damping.pace_accepts else BACKLOG):
            full = self._taken >= self._max_clients
            spare = self._spare() if full else None
            if full and spare is None:
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
            if self.damping.drop_departed and self.lag.notable and has_left(sock):
                sock.close()  # nobody waits for what it asked
                continue
            if spare is not None:
                if isinstance(spare, ClientConnection):
                    self.forget(spare)
                else:
                    self.others.pop(spare, None)
                spare.make_room()
            sock.setblocking(False)
            self._last_accept = time.monotonic()
            self._begin(sock)

    def _begin(self, sock: socket.socket, item: Item | None = None) -> None:
        self._coming += 1
        task = self._loop.create_task(self._start(sock, item))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)

    async def _start(self, sock: socket.socket, item: Item | None) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self, sock, item), sock)
        except OSError:
            sock.close()
            self._coming -= 1
            self._resume()

    @property
    def _taken(self) -> int:
        """Places."""
        return len(self._clients) + len(self.others) + self._coming

    def _spare(self) -> ClientConnection | Other | None:
        """The connection that is missed least: answered for good, then without a request, then idle.

        One that has only just come has had no time to ask, unless there are many of them. One that is in use
        is not cut: its next request may be on its way, and an ordinary client shows the reset to its user.
        It is told with its answer to end (`crowded`), and that gives the place.
        """
        many = len(self.waiting) > self._max_clients // 4
        now = time.monotonic()
        return (
            self.ending.first()
            or self.waiting.first(inf if many else now - FRESH_S, silent=True)
            or self._unused(now)
            or self._unused_other(now)
        )

    def _unused_other(self, now: float) -> Other | None:
        idle = [other for other in self.others if other.idle_since < now - USED_S]
        return min(idle, key=lambda other: other.idle_since, default=None)

    @property
    def crowded(self) -> bool:
        """Places are short: connections are to end with their next answer, before any has to be cut."""
        return self._taken > self._max_clients * CROWDED_PART and self.damping.polite_closing

    def stream_begins(self) -> None:
        """One more is passed on; with too many, the client that took nothing for longest is cut.

        Guards the memory: each costs some, and a process that is killed for it loses all that it has taken.
        It hurts a client that is slower than all others while all streams are taken.
        """
        self.streams += 1
        if self.streams > self._max_streams and (slowest := self.slow.first()) is not None:
            log.warning("%d long answers at once: the slowest client is cut", self.streams)
            self.slow.drop(slowest)
            slowest.abort()

    def admit(self, connection: ClientConnection) -> None:
        """A connection is up."""
        self._coming -= 1
        self.engine.tally.connections += 1
        self._clients[connection] = None
        between = connection.item is not None and not connection.item.data
        (self.idle if between else self.waiting).add(connection)
        if self.successor is not None:
            self.pass_on_soon(connection)

    def forget(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self._clients.pop(connection, None)
        for line in (self.ending, self.waiting, self.idle, self.slow):
            line.drop(connection)
        self._resume()

    def forget_other(self, other: Other) -> None:
        """A connection of another protocol has ended."""
        self.others.pop(other, None)
        self._resume()

    def _send_others_away(self) -> None:
        for other in list(self.others):
            other.go_away()

    def sweep(self) -> None:
        """End what has had its time."""
        now = time.monotonic()
        for other in list(self.others):
            other.sweep(now)
        for slow in self.waiting.since():
            if slow.late(now):
                self.waiting.drop(slow)
                self.ending.add(slow)
                slow.time_out()
        self._close_idle(now - self.idle_s)
        # Guards against clients that ask once and keep their connection: what they may hold is bounded too,
        # and with all of it standing idle they can ask nothing more, while places here are free. It could
        # hurt a crowd of clients that each come back seldom, by a new connection for each request.
        while len(self.idle) > self._max_idle and (longest := self._unused(now)) is not None:
            self._close(longest)
        if self.availability.state is State.OUT_OF_SERVICE:
            self._send_away(now)
        if not self._accepting and not self._shut and self._spare() is not None:
            self._resume()  # there is one now that can make room
        while (late := self.ending.first(now - LINGER_S)) is not None:
            self.ending.drop(late)
            if not late.unwritten:
                late.abort()
            elif late not in self.slow:
                self.slow.add(late)  # it may take longer to read its last answer
        for reading in self.slow.since(now - LINGER_S):
            if reading.deaf and not reading.unwritten:
                self.slow.drop(reading)
                self.ending.add(reading)
        while (stuck := self.slow.first(now - STUCK_S)) is not None:
            self.slow.drop(stuck)
            stuck.abort()

    def _unused(self, now: float) -> ClientConnection | None:
        """The connection between requests that is missed least."""
        return self.idle.first(now - USED_S, silent=True)

    def rest(self, connection: ClientConnection) -> None:
        """A connection has its answer, and stands between requests."""
        self.idle.add(connection)

    def adopt(self, item: Item) -> None:
        """A predecessor passes a client's connection on; there is a place for it, or it is closed."""
        sock: socket.socket = item.connection
        if self._taken >= self._max_clients:
            sock.close()
            return
        sock.setblocking(False)
        self._begin(sock, item)

    def leave(self) -> None:
        """What comes from now on is a successor's: accept nobody, ask the engine nothing new."""
        self.leaving = True
        self._shut = True
        self._pause()
        self._send_others_away()

    def leave_to(self, successor: Successor) -> None:
        """The successor takes the clients: pass on what owes no answer."""
        self.successor = successor
        for connection in list(self._clients):
            self._pass_on(connection)

    def take_back(self, returned: Iterable[Item] = ()) -> None:
        """The successor has died: what was left for it is this process's again."""
        self.successor, self.leaving = None, False
        if self.availability.state is not State.ENDING:
            self._shut = False
            self._resume()
        for item in returned:
            self.adopt(item)
        for connection in list(self._clients):
            connection.take_back()

    def share(self, body_bytes: int, streams: int) -> None:
        """So much of the budgets is a predecessor's until it has ended; below nought: it is free again."""
        self.bodies.held += body_bytes
        self.streams += streams

    def held_to_the_end(self) -> tuple[int, int]:
        """Bytes of bodies of requests that owe an answer, and long answers under way: they don't go over."""
        return sum(connection.held for connection in self._clients), self.streams

    def pass_on_soon(self, connection: ClientConnection) -> None:
        """Pass it on if nothing of it is here any more; not within its own calls."""
        self._loop.call_soon(self._pass_on, connection)

    def _pass_on(self, connection: ClientConnection) -> None:
        if self.successor is None or connection not in self._clients:
            return
        if (item := connection.pass_on()) is not None and not self.successor.give(item):
            item.connection.close()

    def _close(self, connection: ClientConnection) -> None:
        self.idle.drop(connection)
        self.ending.add(connection)
        connection.close()

    def _close_idle(self, before: float) -> None:
        while (late := self.idle.first(before, silent=True)) is not None:
            self._close(late)

    async def drain(self, more: Callable[[], bool] = lambda: False) -> None:
        """Take what still comes, finish all that was taken, then close the door.

        more: connections may still come by adopt.

        An inherited socket is left at once: what stands at it is its next holder's, and nothing is lost.
        """
        began = time.monotonic()
        self.availability.end(began)
        self._shut = True
        if not self._inherited:
            self._close_idle(began)
            await self._take_the_last(began)
        self._pause()
        self._listener.close()
        self._send_others_away()
        while self._coming or self._clients or self.others or more():
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.successor is not None:
                for connection in list(self._clients):  # one that had not read its last answer, say
                    self._pass_on(connection)
            elif self._inherited:
                self._send_away(now)
            else:
                while (late := self.waiting.first(now - LINGER_S)) is not None:
                    late.abort()
                    self.forget(late)
                self._close_idle(now - DRAIN_QUIET_S)
            self.sweep()

    def _send_away(self, now: float) -> None:
        """End what stands idle, once clients have had time to be told with an answer."""
        self._send_others_away()
        if now - self.availability.since_s > SENT_AWAY_S:
            self._close_idle(now - DRAIN_QUIET_S)
            for silent in self.waiting.since(now - DRAIN_QUIET_S):
                if not silent.begun:
                    self.waiting.drop(silent)
                    self.ending.add(silent)
                    silent.close()

    async def _take_the_last(self, began: float) -> None:
        """Accept until nobody has come for a while."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            quiet = now - self._last_accept > DRAIN_QUIET_S
            if now - began > (self.drain_accept_s if quiet else self.drain_most_s):
                break
        self._accept(BACKLOG)
