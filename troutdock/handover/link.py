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
from troutdock.handover.protocol import ANSWER_S, MAX_PACKET, Holds, Message, ProtocolError, decode, encode
from troutdock.handover.roles import Effect, Giving, Item, Predecessor, Successor, Taking

log = logging.getLogger("troutdock")

NAME = "troutdock-handover"
RETRY_S = 0.02  # until a socket is asked again whose process is about to end
MOST_LINKS = 8  # that have said nothing yet
_CREDENTIALS = struct.Struct("=iII")  # pid, uid, gid


@contextlib.contextmanager
def _short(folder: str) -> Iterator[str]:
    """A path of the socket that is short enough for any folder (108 bytes are the most)."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}/{NAME}"
    finally:
        os.close(fd)


def _same_user(sock: socket.socket) -> bool:
    peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return bool(_CREDENTIALS.unpack(peer)[1] == os.getuid())


class Wire:
    """One end of a link: messages and descriptors, in order, until it is cut; cut is told once."""

    def __init__(
        self,
        sock: socket.socket,
        receive: Callable[[Wire, Message | str, Any], None],
        cut: Callable[[Wire], None],
    ) -> None:
        self.sock, self._receive, self._cut = sock, receive, cut
        self._loop = asyncio.get_running_loop()
        self._out: deque[tuple[Message, socket.socket | None]] = deque()
        self._writing = self._ending = self._failing = self.closed = False
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

    def end(self) -> None:
        """Close once all is written; the other side's end is not waited for."""
        self._ending = True
        self._write()

    def fail(self) -> None:
        """Cut it. What the other side sends from now on fails there; what has come before is read first.

        So the two agree: a message that could be sent has been taken in, also by the side that gave up.
        """
        if self.closed or self._failing:
            return
        self._failing = True
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
                self._loop.call_soon(self.fail)  # not within whoever sends
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
                packet, fds, flags, _ = socket.recv_fds(self.sock, MAX_PACKET, 4)
                passed = [socket.socket(fileno=fd) for fd in fds]
                if not packet:
                    self.close()
                    self._cut(self)
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
                self.fail()
            finally:
                for unclaimed in passed:
                    unclaimed.close()


class PredecessorHost(Protocol):
    """What a predecessor gives away; the daemon is one."""

    def retire(self) -> tuple[bytes, Holds]:
        """Let nothing new in: the state, and what this process holds to its end."""

    def owned(self) -> None:
        """The successor is the owner; connections may be given."""

    def lost(self, untouched: bool, returned: Iterable[Item]) -> None:
        """There is no successor any more; connections that nobody has are back."""

    def wished(self, out_of_service: bool) -> None:
        """The successor's operator takes the ingress out of service, or puts it back."""


class PredecessorLink:
    """The older process's end: waits for a successor, and gives it all when this process is to end."""

    def __init__(self, folder: str, estate: PredecessorHost, program: str = "") -> None:
        """OSError if the folder can't be used."""
        self.role = Predecessor(program)
        self._host = estate
        self._loop = asyncio.get_running_loop()
        self._links: list[Wire] = []
        self._late: asyncio.TimerHandle | None = None
        self.settled = asyncio.Event()  # the successor has the state, or there is none
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with _short(folder) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)  # a predecessor's, which has given all to this one, or has died
                self._listener.bind(path)
                os.chmod(path, 0o600)
            self._listener.listen(2 * MOST_LINKS)
        except OSError:
            self._listener.close()
            raise
        self._loop.add_reader(self._listener.fileno(), self._accept)

    @property
    def followed(self) -> bool:
        """A successor is the owner of all budgets, and takes connections."""
        return self.role.at is Giving.FOLLOWED

    async def end(self) -> bool:
        """This process is to end: give the state to a successor; true once that is the owner."""
        self.settled.clear()
        self._do(self.role.end())
        if self.role.at is Giving.GIVING:
            await self.settled.wait()
        return self.followed

    def give(self, item: Item) -> bool:
        """Pass a connection on; it is this process's no longer. False: there is nobody to take it."""
        if self.followed:
            self._do(self.role.give(item))
            return True
        return False

    def tell(self, settled: AttemptSettled) -> None:
        """What an attempt of this process has come to."""
        self._do(self.role.tell(settled))

    async def finish(self) -> None:
        """All is given, acknowledged and told, or there is nobody to take it."""
        self._do(self.role.done())
        for _ in range(int(ANSWER_S / 0.005)):
            if self.role.at is not Giving.FOLLOWED:
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
        if len(silent) >= MOST_LINKS:
            self._drop(silent[0])
        self._links.append(Wire(sock, self._received, self._was_cut))

    def _received(self, link: Wire, message: Message | str, passed: Any) -> None:
        if passed is not None:
            passed.close()
            raise ProtocolError("a descriptor from a successor")
        self._do(self.role.receive(link, message))

    def _was_cut(self, link: Wire) -> None:
        if link in self._links:
            self._links.remove(link)
        self._do(self.role.cut(link))

    def _drop(self, link: Wire) -> None:
        link.end()
        if link in self._links:
            self._links.remove(link)

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case roles.Send(link, message, connection):
                    assert isinstance(link, Wire)
                    link.send(message, connection)
                case roles.Close(link):
                    assert isinstance(link, Wire)
                    self._drop(link)
                case roles.Shut(link):
                    assert isinstance(link, Wire)
                    log.warning("handover: the successor has not taken over in %.0f s", ANSWER_S)
                    link.fail()
                case roles.Wished(out):
                    self._host.wished(out)
                case roles.Retire():
                    self._late = self._loop.call_later(ANSWER_S, lambda: self._do(self.role.late()))
                    self._do(self.role.state(*self._host.retire()))
                case roles.Owned(error, left_out):
                    if error:
                        log.warning("the successor has started from nothing: %s", error)
                    if left_out:
                        log.warning("the successor has left out: %s", ", ".join(left_out))
                    self._answered()
                    self._host.owned()
                case roles.Given(connection):
                    connection.close()
                case roles.Lost(untouched, returned):
                    self._answered()
                    self._host.lost(untouched, returned)
                case _:
                    raise NotImplementedError(effect)

    def _answered(self) -> None:
        if self._late is not None:
            self._late.cancel()
            self._late = None
        self.settled.set()


class SuccessorHost(Protocol):
    """Who takes over; the daemon is one."""

    def take(self, state: bytes, holds: Holds) -> tuple[str, tuple[str, ...]]:
        """Go on from a state: why that can't be, or nothing; and what of it is not known here."""

    def own(self, alone: bool) -> None:
        """All is this process's from now on: take clients. alone: without knowing what was spent before."""

    def adopt(self, item: Item) -> None:
        """A client's connection, with what has come on it."""

    def settle(self, settled: AttemptSettled) -> None:
        """What an attempt of the predecessor has come to."""

    def ended(self) -> None:
        """The predecessor has ended."""


class SuccessorLink:
    """The successor's end."""

    def __init__(self, successor: SuccessorHost, program: str = "") -> None:
        self.role = Successor(program)
        self._host = successor
        self._loop = asyncio.get_running_loop()
        self._wire: Wire | None = None
        self._folder = ""
        self._answered = asyncio.Event()
        self._welcome = False
        self._anew: asyncio.Task[None] | None = None
        self.over = asyncio.Event()  # nothing more comes

    @property
    def standing_by(self) -> bool:
        """The predecessor serves until it is told to end."""
        return self.role.at is Taking.STANDBY or self._anew is not None

    @property
    def superseded(self) -> bool:
        """Another successor stands by: this one is not needed."""
        return self.role.at is Taking.SUPERSEDED

    async def ask(self, folder: str) -> bool:
        """Find a predecessor and stand by; false where there is none, and then this process is the owner."""
        self._folder, self._welcome = folder, False
        try:
            async with asyncio.timeout(ANSWER_S):
                while not await self._ask(folder):
                    await asyncio.sleep(RETRY_S)  # it is about to end, and its successor will listen here
        except TimeoutError:
            self._do(self.role.late())
        except (FileNotFoundError, ConnectionRefusedError):
            pass
        except OSError as error:
            log.warning("handover: nothing is taken over: %s", error)
        if not self._welcome:
            self.over.set()
        return self._welcome  # whatever has come since

    async def _ask(self, folder: str) -> bool:
        """True once there is an answer that stays; OSError if nobody listens."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with _short(folder) as path:
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
        self._answered.clear()
        self._welcome = False
        self._wire = Wire(sock, self._received, self._was_cut)
        self._do(self.role.ask())
        await self._answered.wait()
        return self._welcome

    async def _ask_anew(self) -> None:
        """The link has broken: the predecessor may live all the same."""
        waits = await self.ask(self._folder)
        self._anew = None
        if not waits:
            log.warning("the predecessor has died: going on without what it knew")
            self._host.own(True)

    def wish(self, out_of_service: bool) -> None:
        """The operator's word, for the predecessor."""
        self._do(self.role.wish(out_of_service))

    def close(self) -> None:
        """Take no more."""
        if self._anew is not None:
            self._anew.cancel()
            self._anew = None
        if self._wire is not None:
            self._wire.close()
        self.over.set()

    def _received(self, link: Wire, message: Message | str, passed: Any) -> None:
        try:
            self._do(self.role.receive(message, passed))
        except ProtocolError:
            if passed is not None:
                passed.close()
            raise

    def _was_cut(self, link: Wire) -> None:
        self._do(self.role.cut())

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case roles.Send(_, message):
                    if self._wire is not None:
                        self._wire.send(message)
                case roles.Decide(_, message):
                    there = self._wire is not None and self._wire.send(message, now=True)
                    self._do(self.role.said(there))
                    if not there and self._wire is not None:
                        self._wire.fail()
                case roles.Close():
                    if self._wire is not None:
                        self._wire.close()
                case roles.Ready(program):
                    log.info("standing by for a predecessor%s", f", {program}" if program else "")
                    self._welcome = True
                    self._answered.set()
                case roles.Take(state, holds):
                    self._do(self.role.took(*self._host.take(state, holds)))
                case roles.Owner():
                    self._host.own(False)
                case roles.Alone(why):
                    log.warning("handover: the predecessor gives nothing: %s", why)
                    self._answered.set()
                case roles.Again():
                    self._anew = self._loop.create_task(self._ask_anew())
                case roles.Superseded():
                    log.warning("another successor stands by: this process takes no clients")
                    self._welcome = True  # it is not needed, but it is not the owner either
                    self._answered.set()
                    self.over.set()
                case roles.Adopt(item):
                    self._host.adopt(item)
                case roles.Given(connection):
                    connection.close()
                case roles.Settle(settled):
                    self._host.settle(settled)
                case roles.Ended(done):
                    if not done:
                        log.warning("the predecessor has ended before it had said all")
                    self.over.set()
                    self._host.ended()
                case _:
                    raise NotImplementedError(effect)
