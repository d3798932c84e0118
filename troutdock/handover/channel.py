"""The way from an older process to its successor: a Unix socket in a folder that both share.

Messages (SOCK_SEQPACKET keeps their bounds), from the successor: "take". From the older process: "S" and a
piece of the state, as often as it takes; "E", the state is whole; "C" with one descriptor each, clients'
connections, until the end. Only a process of the same user is listened to.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator

log = logging.getLogger("troutdock")

NAME = "troutdock-handover"
PIECE = 32 * 1024  # bytes of the state in one message: a few fit into the socket's buffer
MAX_STATE = 16 * 1024 * 1024  # bytes
TAKE_S = 1.0  # for the whole state: the platform waits 6 s for a successor's yes, and each waits for this
_CREDENTIALS = struct.Struct("=iII")  # pid, uid, gid (unix(7), SO_PEERCRED)


@contextlib.contextmanager
def _short(folder: str) -> Iterator[str]:
    """A path of the socket that is short enough for any folder (108 bytes are the most)."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}/{NAME}"
    finally:
        os.close(fd)


class Giver:
    """The older process's end: waits for a successor, and gives it the state and then connections."""

    def __init__(self, folder: str, state: Callable[[], bytes], taken: Callable[[], None],
                 lost: Callable[[], None]) -> None:
        """OSError if the folder can't be used.

        state: called once a successor asks. taken: connections may be given now. lost: it has ended again.
        """
        self._state, self._taken, self._lost = state, taken, lost
        self._loop = asyncio.get_running_loop()
        self._heir: socket.socket | None = None
        self._queue: deque[tuple[bytes, socket.socket | None]] = deque()
        self._writing = False
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with _short(folder) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)  # a predecessor's, which has given all to this one, or has died
                self._listener.bind(path)
                os.chmod(path, 0o600)
            self._listener.listen(1)
        except OSError:
            self._listener.close()
            raise
        self._loop.add_reader(self._listener.fileno(), self._accept)

    @property
    def has_heir(self) -> bool:
        """A successor has the state and takes connections."""
        return self._heir is not None

    def give(self, sock: socket.socket) -> bool:
        """Pass a connection on; it is this process's no longer. False: there is nobody to take it."""
        if self._heir is None:
            return False
        self._queue.append((b"C", sock))
        self._write()
        return True

    @property
    def giving(self) -> bool:
        """Something is still to be written."""
        return bool(self._queue)

    def close(self) -> None:
        """No successor is waited for any more."""
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()
        self._drop()

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        uid = _CREDENTIALS.unpack(peer)[1]
        if self._heir is not None or uid != os.getuid():
            sock.close()
            return
        self._loop.add_reader(sock.fileno(), self._asked, sock)

    def _asked(self, sock: socket.socket) -> None:
        try:
            asked = sock.recv(64)
        except BlockingIOError:
            return
        except OSError:
            asked = b""
        if asked == b"take" and self._heir is None:
            state = self._state()
            self._heir = sock
            for at in range(0, len(state), PIECE):
                self._queue.append((b"S" + state[at:at + PIECE], None))
            self._queue.append((b"E", None))
            self._write()
            self._taken()
            return
        self._loop.remove_reader(sock.fileno())
        if sock is self._heir:
            self._drop()
            self._lost()
        else:
            sock.close()

    def _write(self) -> None:
        while self._queue and self._heir is not None:
            data, passed = self._queue[0]
            try:
                if passed is None:
                    self._heir.send(data)
                else:
                    socket.send_fds(self._heir, [data], [passed.fileno()])
            except BlockingIOError:
                if not self._writing:
                    self._writing = True
                    self._loop.add_writer(self._heir.fileno(), self._write)
                return
            except OSError as error:
                log.warning("handover: %s", error)
                self._drop()
                self._lost()
                return
            self._queue.popleft()
            if passed is not None:
                passed.close()
        if self._writing and self._heir is not None:
            self._writing = False
            self._loop.remove_writer(self._heir.fileno())

    def _drop(self) -> None:
        if self._heir is not None:
            self._loop.remove_reader(self._heir.fileno())
            if self._writing:
                self._loop.remove_writer(self._heir.fileno())
                self._writing = False
            self._heir.close()
            self._heir = None
        while self._queue:
            passed = self._queue.popleft()[1]
            if passed is not None:
                passed.close()


class Taker:
    """The successor's end."""

    def __init__(self, adopt: Callable[[socket.socket], None]) -> None:
        self._adopt = adopt
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None

    async def take(self, folder: str) -> bytes | None:
        """The predecessor's state; None: there is no predecessor, or it does not answer in time."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        state = bytearray()
        try:
            with _short(folder) as path:
                sock.connect(path)
            sock.send(b"take")
            async with asyncio.timeout(TAKE_S):
                while (data := await self._loop.sock_recv(sock, PIECE + 1))[:1] == b"S":
                    state += data[1:]
                    if len(state) > MAX_STATE:
                        break
            if data != b"E":
                raise OSError(f"the state is not whole: {data[:1]!r} after {len(state)} bytes")
        except (OSError, TimeoutError) as error:
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log.warning("handover: nothing is taken over: %r", error)
            sock.close()
            return None
        self._sock = sock
        return bytes(state)

    def follow(self) -> None:
        """Adopt the connections that the predecessor passes on, until it has ended."""
        if self._sock is not None:
            self._loop.add_reader(self._sock.fileno(), self._read)
            self._read()

    def _read(self) -> None:
        while self._sock is not None:
            try:
                data, fds, _, _ = socket.recv_fds(self._sock, 64, 8)
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            for fd in fds:
                self._adopt(socket.socket(fileno=fd))
            if not data:
                self.close()

    def close(self) -> None:
        """Take no more."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
