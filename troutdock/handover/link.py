"""The handover on sockets: a Unix socket in a folder that both processes share, and the roles behind it.

Only a process of the same user is listened to (unix(7), SO_PEERCRED), and one that listens there in a
predecessor's place is asked for the same. Whatever is no message ends its link, which is then as cut.
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
CONNECT_RETRY_S = 0.02  # until a socket is asked again whose process is about to end
MAX_PENDING_LINKS = 8  # that have said nothing yet
_CREDENTIALS = struct.Struct("=iII")  # pid, uid, gid


@contextlib.contextmanager
def _short_path(folder: str) -> Iterator[str]:
    """A path of the socket that is short enough for any folder (108 bytes are the most)."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}/{SOCKET_NAME}"
    finally:
        os.close(fd)


def _same_user(sock: socket.socket) -> bool:
    peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return bool(_CREDENTIALS.unpack(peer)[1] == os.getuid())


class MessageSocket:
    """One end of a link: messages and descriptors, in order, until it is cut; cut is told once."""

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
        """Write it as soon as there is room, or now or never; false where that can't be."""
        if self.closed or (now and self._out):
            return False
        self._out.append((message, passed))
        there = self._write()
        if now and self._out:
            self._out.clear()
            return False
        return there

    def close_when_sent(self) -> None:
        """Close once all is written; the other side's end is not waited for."""
        self._ending = True
        self._write()

    def abort(self) -> None:
        """Cut it. What the other side sends from now on fails there; what has come before is read first.

        So the two agree: a message that could be sent has been taken in, also by the side that gave up.
        """
        if self.closed or self._aborting:
            return
        self._aborting = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)
        self._read()

    def close(self) -> None:
        """Close at once; cut is not told."""
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
                self._loop.call_soon(self.abort)  # not within whoever sends
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
                    raise ProtocolError("a message is too long")
                message = decode(packet)
                if isinstance(message, str):
                    log.warning("handover: a message %r is of a newer program, and left out", message)
                self._receive(self, message, passed.pop() if len(passed) == 1 else None)
            except BlockingIOError:
                return
            except ConnectionResetError:
                continue  # the other side has ended with something unread; what it had sent is still here
            except (OSError, ProtocolError) as error:
                log.warning("handover: %s", error)
                self.abort()
            finally:
                for unclaimed in passed:
                    unclaimed.close()


class PredecessorHost(Protocol):
    """What a predecessor gives away; the daemon is one."""

    def begin_handover(self) -> tuple[bytes, PredecessorStatus]:
        """Let nothing new in: the state, and what this process holds to its end."""

    def ownership_transferred(self) -> None:
        """The successor is the owner; connections may be given."""

    def successor_lost(self, state_unused: bool, returned: Iterable[TransferredConnection]) -> None:
        """There is no successor any more; connections that nobody has are back."""

    def set_out_of_service(self, out_of_service: bool) -> None:
        """The successor's operator takes the ingress out of service, or puts it back."""


class PredecessorLink:
    """The older process's end: waits for a successor, and gives it all when this process is to end."""

    def __init__(self, folder: str, host: PredecessorHost, program: str = "") -> None:
        """OSError if the folder can't be used."""
        self.role = Predecessor(program)
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._links: list[MessageSocket] = []
        self._response_timer: asyncio.TimerHandle | None = None
        self.handover_decided = asyncio.Event()  # the successor has the state, or there is none
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with _short_path(folder) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)  # a predecessor's, which has given all to this one, or has died
                self._listener.bind(path)
                os.chmod(path, 0o600)
            self._listener.listen(2 * MAX_PENDING_LINKS)
        except OSError:
            self._listener.close()
            raise
        self._loop.add_reader(self._listener.fileno(), self._accept)

    @property
    def successor_owns(self) -> bool:
        """A successor is the owner of all budgets, and takes connections."""
        return self.role.phase is PredecessorPhase.SUCCESSOR_OWNS

    async def end(self) -> bool:
        """This process is to end: give the state to a successor; true once that is the owner."""
        self.handover_decided.clear()
        self._do(self.role.end())
        if self.role.phase is PredecessorPhase.SENDING_STATE:
            await self.handover_decided.wait()
        return self.successor_owns

    def pass_connection(self, item: TransferredConnection) -> bool:
        """Pass a connection on; it is this process's no longer. False: there is nobody to take it."""
        if self.successor_owns:
            self._do(self.role.pass_connection(item))
            return True
        return False

    def report_attempt(self, settled: AttemptSettled) -> None:
        """What an attempt of this process has come to."""
        self._do(self.role.report_attempt(settled))

    async def finish(self) -> None:
        """All is given, acknowledged and told, or there is nobody to take it."""
        self._do(self.role.finish())
        for _ in range(int(RESPONSE_TIMEOUT_S / 0.005)):
            if self.role.phase is not PredecessorPhase.SUCCESSOR_OWNS:
                break
            await asyncio.sleep(0.005)

    def close(self) -> None:
        """No successor is waited for any more."""
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
            log.warning("handover: a process of another user is turned away")
            sock.close()
            return
        silent = [link for link in self._links if link is not self.role.successor]
        if len(silent) >= MAX_PENDING_LINKS:
            self._remove(silent[0])
        self._links.append(MessageSocket(sock, self._received, self._link_closed))

    def _received(self, link: MessageSocket, message: Message | str, passed: Any) -> None:
        if passed is not None:
            passed.close()
            raise ProtocolError("a descriptor from a successor")
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
                    log.warning("handover: the successor has not taken over in %.0f s", RESPONSE_TIMEOUT_S)
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
                        log.warning("the successor has started from nothing: %s", error)
                    if left_out:
                        log.warning("the successor has left out: %s", ", ".join(left_out))
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
    """Who takes over; the daemon is one."""

    def import_state(self, state: bytes, holds: PredecessorStatus) -> tuple[str, tuple[str, ...]]:
        """Go on from a state: why that can't be, or nothing; and what of it is not known here."""

    def become_owner(self, without_state: bool) -> None:
        """All is this process's from now on: take clients. alone: without knowing what was spent before."""

    def adopt(self, item: TransferredConnection) -> None:
        """A client's connection, with what has come on it."""

    def settle(self, settled: AttemptSettled) -> None:
        """What an attempt of the predecessor has come to."""

    def predecessor_ended(self) -> None:
        """The predecessor has ended."""


class SuccessorLink:
    """The successor's end."""

    def __init__(self, host: SuccessorHost, program: str = "") -> None:
        self.role = Successor(program)
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._wire: MessageSocket | None = None
        self._folder = ""
        self._response_received = asyncio.Event()
        self._accepted = False
        self._reconnecting: asyncio.Task[None] | None = None
        self.finished = asyncio.Event()  # nothing more comes

    @property
    def standing_by(self) -> bool:
        """The predecessor serves until it is told to end."""
        return self.role.phase is SuccessorPhase.STANDBY or self._reconnecting is not None

    @property
    def superseded(self) -> bool:
        """Another successor stands by: this one is not needed."""
        return self.role.phase is SuccessorPhase.SUPERSEDED

    async def connect(self, folder: str) -> bool:
        """Find a predecessor and stand by; false where there is none, and then this process is the owner."""
        self._folder, self._accepted = folder, False
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not await self._connect_once(folder):
                    await asyncio.sleep(
                        CONNECT_RETRY_S
                    )  # it is about to end, and its successor will listen here
        except TimeoutError:
            self._do(self.role.timed_out())
        except (FileNotFoundError, ConnectionRefusedError):
            pass
        except OSError as error:
            log.warning("handover: nothing is taken over: %s", error)
        if not self._accepted:
            self.finished.set()
        return self._accepted  # whatever has come since

    async def _connect_once(self, folder: str) -> bool:
        """True once there is an answer that stays; OSError if nobody listens."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with _short_path(folder) as path:
                sock.connect(path)  # at once, or there is no room in its queue
            if not _same_user(sock):
                raise PermissionError("a process of another user listens there")
        except BlockingIOError:
            sock.close()
            return False
        except OSError:
            sock.close()
            raise
        self.role = Successor(self.role.program)
        self._response_received.clear()
        self._accepted = False
        self._wire = MessageSocket(sock, self._received, self._link_closed)
        self._do(self.role.connected())
        await self._response_received.wait()
        return self._accepted

    async def _reconnect(self) -> None:
        """The link has broken: the predecessor may live all the same."""
        waits = await self.connect(self._folder)
        self._reconnecting = None
        if not waits:
            log.warning("the predecessor has died: going on without what it knew")
            self._host.become_owner(True)

    def request_out_of_service(self, out_of_service: bool) -> None:
        """The operator's word, for the predecessor."""
        self._do(self.role.request_out_of_service(out_of_service))

    def close(self) -> None:
        """Take no more."""
        if self._reconnecting is not None:
            self._reconnecting.cancel()
            self._reconnecting = None
        if self._wire is not None:
            self._wire.close()
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
                    if self._wire is not None:
                        self._wire.send(message)
                case roles.SendOrAbort(_, message):
                    there = self._wire is not None and self._wire.send(message, now=True)
                    self._do(self.role.send_result(there))
                    if not there and self._wire is not None:
                        self._wire.abort()
                case roles.Close():
                    if self._wire is not None:
                        self._wire.close()
                case roles.StandingBy(program):
                    log.info("standing by for a predecessor%s", f", {program}" if program else "")
                    self._accepted = True
                    self._response_received.set()
                case roles.ImportState(state, holds):
                    self._do(self.role.state_imported(*self._host.import_state(state, holds)))
                case roles.BecomeOwner():
                    self._host.become_owner(False)
                case roles.ProceedAlone(why):
                    log.warning("handover: the predecessor gives nothing: %s", why)
                    self._response_received.set()
                case roles.Reconnect():
                    self._reconnecting = self._loop.create_task(self._reconnect())
                case roles.Superseded():
                    log.warning("another successor stands by: this process takes no clients")
                    self._accepted = True  # it is not needed, but it is not the owner either
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
                        log.warning("the predecessor has ended before it had said all")
                    self.finished.set()
                    self._host.predecessor_ended()
                case _:
                    raise NotImplementedError(effect)
