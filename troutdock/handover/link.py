"""Hand-over over a Unix socket in a directory that both processes share; drives the state machines in roles.

Both sides accept only a peer process of the same user (unix(7), SO_PEERCRED). An invalid message ends its
link, which is then handled as closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

from troutdock.admission.interface import AttemptSettled
from troutdock.handover import roles
from troutdock.handover.protocol import (
    RESPONSE_TIMEOUT_S,
    MAX_PACKET_BYTES,
    PredecessorStatus,
    Message,
    ProtocolError,
    decode,
    encode,
)
from troutdock.handover.roles import (
    Effect,
    PredecessorPhase,
    TransferredConnection,
    Predecessor,
    Successor,
    SuccessorPhase,
)

log = logging.getLogger("troutdock")

SOCKET_NAME = "troutdock-handover"
CONNECT_RETRY_S = 0.02  # between attempts to connect to a process that is about to end
MAX_PENDING_LINKS = 8  # links other than the successor's; beyond that the oldest is closed
_CREDENTIALS = struct.Struct("=iII")  # pid, uid, gid


@contextlib.contextmanager
def _short_path(directory: str) -> Iterator[str]:
    """Yields a path of the socket that fits into sockaddr_un (108 bytes), however long directory is."""
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}/{SOCKET_NAME}"
    finally:
        os.close(fd)


def _same_user(sock: socket.socket) -> bool:
    peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return bool(_CREDENTIALS.unpack(peer)[1] == os.getuid())


class MessageSocket:
    """One end of a link: sends and receives messages and descriptors, in order.

    Calls on_closed once when the link ends, unless it was closed by close().
    """

    def __init__(
        self,
        sock: socket.socket,
        receive: Callable[[MessageSocket, Message | str, Any], None],
        on_closed: Callable[[MessageSocket], None],
    ) -> None:
        self.sock, self._receive, self._on_closed = sock, receive, on_closed
        self._loop = asyncio.get_running_loop()
        self._out: deque[tuple[Message, socket.socket | None]] = deque()
        self._writing = self._ending = self._aborting = self.closed = False
        self._loop.add_reader(sock.fileno(), self._read)

    def send(self, message: Message, passed: socket.socket | None = None, now: bool = False) -> bool:
        """Sends a message as soon as the socket is writable, or with now immediately or not at all.

        Returns false if the message is not and will not be sent.
        """
        if self.closed or (now and self._out):
            return False
        self._out.append((message, passed))
        writable = self._write()
        if now and self._out:
            self._out.clear()
            return False
        return writable

    def close_when_sent(self) -> None:
        """Closes the link once all messages are written, without waiting for the peer."""
        self._ending = True
        self._write()

    def abort(self) -> None:
        """Aborts the link: messages that the peer sends from now on fail there; earlier ones are read first.

        So both sides agree: a message that could be sent is processed, also by the side that aborts.
        """
        if self.closed or self._aborting:
            return
        self._aborting = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)
        self._read()

    def close(self) -> None:
        """Closes the link immediately, without calling on_closed."""
        if not self.closed:
            self.closed = True
            self._loop.remove_reader(self.sock.fileno())
            if self._writing:
                self._loop.remove_writer(self.sock.fileno())
            self.sock.close()
            self._out.clear()

    def _write(self) -> bool:
        while self._out and not self.closed:
            message, passed = self._out[0]
            try:
                if passed is None:
                    self.sock.send(encode(message))
                else:
                    socket.send_fds(self.sock, [encode(message)], [passed.fileno()])
            except BlockingIOError:
                if not self._writing:
                    self._writing = True
                    self._loop.add_writer(self.sock.fileno(), self._write)
                return True
            except OSError as error:
                log.warning("handover: %s", error)
                self._loop.call_soon(self.abort)  # not from within the sender's call
                return False
            self._out.popleft()
        if self._writing and not self.closed:
            self._writing = False
            self._loop.remove_writer(self.sock.fileno())
        if self._ending:
            self.close()
        return True

    def _read(self) -> None:
        while not self.closed:
            passed: list[socket.socket] = []
            try:
                packet, fds, flags, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, 4)
                passed = [socket.socket(fileno=fd) for fd in fds]
                if not packet:
                    self.close()
                    self._on_closed(self)
                    return
                if flags & socket.MSG_TRUNC:
                    raise ProtocolError("message too long")
                message = decode(packet)
                if isinstance(message, str):
                    log.warning("handover: ignored message %r of a newer build", message)
                self._receive(self, message, passed.pop() if len(passed) == 1 else None)
            except BlockingIOError:
                return
            except ConnectionResetError:
                continue  # the peer closed with unread data; what it sent can still be read
            except (OSError, ProtocolError) as error:
                log.warning("handover: %s", error)
                self.abort()
            finally:
                for unclaimed in passed:
                    unclaimed.close()


class PredecessorHost(Protocol):
    """Host of a predecessor, implemented by the daemon."""

    def begin_handover(self) -> tuple[bytes, PredecessorStatus]:
        """Stops accepting new work; returns the state and the status of this process."""

    def ownership_transferred(self) -> None:
        """The successor owns the budgets; connections may be passed to it."""

    def successor_lost(self, state_unused: bool, returned: Iterable[TransferredConnection]) -> None:
        """The successor is gone. state_unused: it never owned the state. returned: unacknowledged."""

    def set_out_of_service(self, out_of_service: bool) -> None:
        """Applies an operator call at the successor: out of service, or back in service."""


class PredecessorLink:
    """The predecessor's end: waits for a successor and hands over when this process is to end."""

    def __init__(self, directory: str, host: PredecessorHost, program: str = "") -> None:
        """Listens for successors; raises OSError if the directory cannot be used."""
        self.role = Predecessor(program)
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._links: list[MessageSocket] = []
        self._response_timer: asyncio.TimerHandle | None = None
        self.handover_decided = asyncio.Event()  # the successor owns the state, or there is no successor
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with _short_path(directory) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)  # of a predecessor that has handed over or died
                self._listener.bind(path)
                os.chmod(path, 0o600)
            self._listener.listen(2 * MAX_PENDING_LINKS)
        except OSError:
            self._listener.close()
            raise
        self._loop.add_reader(self._listener.fileno(), self._accept)

    @property
    def successor_owns(self) -> bool:
        """True if a successor owns all budgets and accepts connections."""
        return self.role.phase is PredecessorPhase.SUCCESSOR_OWNS

    async def end(self) -> bool:
        """Hands the state over before this process ends. Returns true if a successor owns it."""
        self.handover_decided.clear()
        self._do(self.role.end())
        if self.role.phase is PredecessorPhase.SENDING_STATE:
            await self.handover_decided.wait()
        return self.successor_owns

    def pass_connection(self, item: TransferredConnection) -> bool:
        """Passes a connection to the successor, which then owns it. Returns false without a successor."""
        if self.successor_owns:
            self._do(self.role.pass_connection(item))
            return True
        return False

    def report_attempt(self, settled: AttemptSettled) -> None:
        """Reports the outcome of an attempt of this process to the successor."""
        self._do(self.role.report_attempt(settled))

    async def finish(self) -> None:
        """Waits up to RESPONSE_TIMEOUT_S until all is sent and acknowledged, or the successor is gone."""
        self._do(self.role.finish())
        for _ in range(int(RESPONSE_TIMEOUT_S / 0.005)):
            if self.role.phase is not PredecessorPhase.SUCCESSOR_OWNS:
                break
            await asyncio.sleep(0.005)

    def close(self) -> None:
        """Closes the listening socket and all links."""
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()
        for link in self._links:
            link.close()
        self._links.clear()

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        if not _same_user(sock):
            log.warning("handover: rejected a process of another user")
            sock.close()
            return
        silent = [link for link in self._links if link is not self.role.successor]
        if len(silent) >= MAX_PENDING_LINKS:
            self._remove(silent[0])
        self._links.append(MessageSocket(sock, self._received, self._link_closed))

    def _received(self, link: MessageSocket, message: Message | str, passed: Any) -> None:
        if passed is not None:
            passed.close()
            raise ProtocolError("unexpected descriptor from a successor")
        self._do(self.role.receive(link, message))

    def _link_closed(self, link: MessageSocket) -> None:
        if link in self._links:
            self._links.remove(link)
        self._do(self.role.link_closed(link))

    def _remove(self, link: MessageSocket) -> None:
        link.close_when_sent()
        if link in self._links:
            self._links.remove(link)

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case roles.Send(link, message, connection):
                    assert isinstance(link, MessageSocket)
                    link.send(message, connection)
                case roles.Close(link):
                    assert isinstance(link, MessageSocket)
                    self._remove(link)
                case roles.Abort(link):
                    assert isinstance(link, MessageSocket)
                    log.warning("handover: the successor did not take over within %.0f s", RESPONSE_TIMEOUT_S)
                    link.abort()
                case roles.OutOfServiceRequested(out):
                    self._host.set_out_of_service(out)
                case roles.BeginHandover():
                    self._response_timer = self._loop.call_later(
                        RESPONSE_TIMEOUT_S, lambda: self._do(self.role.timed_out())
                    )
                    self._do(self.role.send_state(*self._host.begin_handover()))
                case roles.OwnershipTransferred(error, left_out):
                    if error:
                        log.warning("the successor started without the state: %s", error)
                    if left_out:
                        log.warning(
                            "the successor ignored unknown parts of the state: %s", ", ".join(left_out)
                        )
                    self._response_received()
                    self._host.ownership_transferred()
                case roles.ReleaseConnection(connection):
                    connection.close()
                case roles.SuccessorLost(state_unused, returned):
                    self._response_received()
                    self._host.successor_lost(state_unused, returned)
                case _:
                    raise NotImplementedError(effect)

    def _response_received(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None
        self.handover_decided.set()


class SuccessorHost(Protocol):
    """Host of a successor, implemented by the daemon."""

    def import_state(self, state: bytes, holds: PredecessorStatus) -> tuple[str, tuple[str, ...]]:
        """Imports a state. Returns an error text, empty on success, and the names of unknown parts."""

    def become_owner(self, without_state: bool) -> None:
        """Takes ownership and accepts clients. without_state: earlier consumption is unknown."""

    def adopt(self, item: TransferredConnection) -> None:
        """Takes over a client connection with its received bytes."""

    def settle(self, settled: AttemptSettled) -> None:
        """Applies the outcome of an attempt of the predecessor."""

    def predecessor_ended(self) -> None:
        """Handles the end of the predecessor."""


class SuccessorLink:
    """The successor's end of the link."""

    def __init__(self, host: SuccessorHost, program: str = "") -> None:
        self.role = Successor(program)
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._socket: MessageSocket | None = None
        self._directory = ""
        self._response_received = asyncio.Event()
        self._accepted = False
        self._reconnecting: asyncio.Task[None] | None = None
        self.finished = asyncio.Event()  # nothing more will arrive

    @property
    def standing_by(self) -> bool:
        """True while the predecessor serves and this process waits to take over."""
        return self.role.phase is SuccessorPhase.STANDBY or self._reconnecting is not None

    @property
    def superseded(self) -> bool:
        """True if another successor has replaced this one."""
        return self.role.phase is SuccessorPhase.SUPERSEDED

    async def connect(self, directory: str) -> bool:
        """Connects to a predecessor and stands by.

        Returns:
            False if there is no predecessor: then this process is the owner.
        """
        self._directory, self._accepted = directory, False
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not await self._connect_once(directory):
                    await asyncio.sleep(
                        CONNECT_RETRY_S
                    )  # the listener is about to end; its successor will listen here
        except TimeoutError:
            self._do(self.role.timed_out())
        except (FileNotFoundError, ConnectionRefusedError):
            pass
        except OSError as error:
            log.warning("handover: no takeover: %s", error)
        if not self._accepted:
            self.finished.set()
        return self._accepted  # may have changed while waiting

    async def _connect_once(self, directory: str) -> bool:
        """Connects once. Returns true if this process was accepted; raises OSError if nobody listens."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with _short_path(directory) as path:
                sock.connect(path)  # immediately, or BlockingIOError if the backlog is full
            if not _same_user(sock):
                raise PermissionError("the socket belongs to a process of another user")
        except BlockingIOError:
            sock.close()
            return False
        except OSError:
            sock.close()
            raise
        self.role = Successor(self.role.program)
        self._response_received.clear()
        self._accepted = False
        self._socket = MessageSocket(sock, self._received, self._link_closed)
        self._do(self.role.connected())
        await self._response_received.wait()
        return self._accepted

    async def _reconnect(self) -> None:
        """Reconnects after the link broke, as the predecessor may still be alive."""
        accepted = await self.connect(self._directory)
        self._reconnecting = None
        if not accepted:
            log.warning("the predecessor has died: continuing without its state")
            self._host.become_owner(True)

    def request_out_of_service(self, out_of_service: bool) -> None:
        """Forwards an operator call to the predecessor."""
        self._do(self.role.request_out_of_service(out_of_service))

    def close(self) -> None:
        """Closes the link."""
        if self._reconnecting is not None:
            self._reconnecting.cancel()
            self._reconnecting = None
        if self._socket is not None:
            self._socket.close()
        self.finished.set()

    def _received(self, link: MessageSocket, message: Message | str, passed: Any) -> None:
        try:
            self._do(self.role.receive(message, passed))
        except ProtocolError:
            if passed is not None:
                passed.close()
            raise

    def _link_closed(self, link: MessageSocket) -> None:
        self._do(self.role.link_closed())

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case roles.Send(_, message):
                    if self._socket is not None:
                        self._socket.send(message)
                case roles.SendOrAbort(_, message):
                    sent = self._socket is not None and self._socket.send(message, now=True)
                    self._do(self.role.send_result(sent))
                    if not sent and self._socket is not None:
                        self._socket.abort()
                case roles.Close():
                    if self._socket is not None:
                        self._socket.close()
                case roles.StandingBy(program):
                    log.info("standing by as successor%s", f", {program}" if program else "")
                    self._accepted = True
                    self._response_received.set()
                case roles.ImportState(state, holds):
                    self._do(self.role.state_imported(*self._host.import_state(state, holds)))
                case roles.BecomeOwner():
                    self._host.become_owner(False)
                case roles.ProceedAlone(why):
                    log.warning("handover: no takeover from the predecessor: %s", why)
                    self._response_received.set()
                case roles.Reconnect():
                    self._reconnecting = self._loop.create_task(self._reconnect())
                case roles.Superseded():
                    log.warning("replaced by another successor: this process accepts no clients")
                    self._accepted = True  # replaced, but not the owner either
                    self._response_received.set()
                    self.finished.set()
                case roles.AdoptConnection(item):
                    self._host.adopt(item)
                case roles.ReleaseConnection(connection):
                    connection.close()
                case roles.SettleAttempt(settled):
                    self._host.settle(settled)
                case roles.PredecessorEnded(done):
                    if not done:
                        log.warning("the predecessor ended before it had sent everything")
                    self.finished.set()
                    self._host.predecessor_ended()
                case _:
                    raise NotImplementedError(effect)
