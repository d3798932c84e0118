"""Backends that follow a script byte by byte over raw sockets, and a client that detects complete responses.

Nothing here sleeps: a step waits for data, for the close by the other side, or for nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

_LINGER_NONE = struct.pack("ii", 1, 0)  # a close sends a reset


@dataclass
class Seen:
    """A request as far as the backend has read it."""

    line: str
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = False  # its last byte was read
    begun: bool = False  # processing started before that
    declined: bool = False  # answered with Not-Executed or 421
    said: list[bytes] = field(default_factory=list)  # bodies of the responses to it

    @property
    def ran(self) -> bool:
        return (self.whole or self.begun) and not self.declined

    @property
    def id(self) -> str:
        return self.headers.get("attempt-id", "")

    @property
    def nonce(self) -> str:
        return self.headers.get("x-nonce", "")


def answer(
    seen: Seen,
    status: int = 200,
    *headers: str,
    body: bytes | None = None,
    id: str | None = "own",
    stamp: bool = True,
    length: int | None = -1,
    chunked: bool = False,
) -> bytes:
    """Returns the bytes of a response to this request.

    Args:
        id: "own" for the request's id, None for no id, or another id.
        length: Content-Length; -1 for the actual length, None for no header.
    """
    declines = status == 421 or (
        status >= 300 and any(header.startswith("Not-Executed") for header in headers)
    )
    if id == "own":  # else not about this request; an earlier response stays valid
        seen.declined = seen.declined or (declines and not seen.begun)
        seen.begun = seen.begun or not declines
    text = b"whole " + seen.nonce.encode() if body is None else body
    seen.said.append(text)
    lines = [f"HTTP/1.1 {status} X"]
    if id is not None:
        lines.append(f"Attempt-Id: {seen.id if id == 'own' else id}")
    if stamp:
        lines.append(f"Response-Signature: s-{seen.nonce}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        text = (
            b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (text[:3], text[3:]) if part)
            + b"0\r\n\r\n"
        )
    elif length is not None:
        lines.append(f"Content-Length: {len(text) if length == -1 else length}")
    return "\r\n".join([*lines, *headers, "", ""]).encode() + text


class Conn:
    """One connection that a backend has accepted."""

    def __init__(self, backend: Scripted, sock: socket.socket, number: int) -> None:
        self.backend, self.sock, self.number = backend, sock, number
        self.buffer = b""
        self.over = False
        self.task: asyncio.Task[None] | None = None  # serves the connection

    async def readable(self) -> None:
        """Waits until data is available, without reading it."""
        loop, there = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(self.sock.fileno(), there.set)
        try:
            await there.wait()
        finally:
            loop.remove_reader(self.sock.fileno())

    async def head(self) -> Seen:
        """Reads the header section of the next request; EOFError at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            await self._more()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        line, *lines = head.decode().split("\r\n")
        seen = Seen(
            line, {name.lower(): value for name, _, value in (each.partition(": ") for each in lines)}
        )
        self.backend.seen.append(seen)
        return seen

    async def rest(self, seen: Seen) -> Seen:
        """Reads the body; from now on the request runs, unless the response denies it."""
        length = int(seen.headers.get("content-length", 0))
        while len(self.buffer) < length:
            await self._more()
        seen.body, self.buffer = self.buffer[:length], self.buffer[length:]
        seen.whole = True
        return seen

    async def whole(self) -> Seen:
        return await self.rest(await self.head())

    async def _more(self) -> None:
        try:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
        except OSError as error:
            raise EOFError from error
        if not data:
            raise EOFError
        self.buffer += data

    async def send(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def gone(self) -> None:
        """Waits until the other side has closed the connection."""
        with contextlib.suppress(EOFError):
            while True:
                await self._more()

    def close(self) -> None:
        """Closes the sending side, without a reset even if data is unread."""
        self.over = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    async def leave(self) -> None:
        """Stops the serving task: a socket must not be closed while the event loop waits for it."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait({self.task})

    def reset(self) -> None:
        self.over = True
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            self.sock.close()


Script = Callable[[Conn], Awaitable[None]]


async def good(conn: Conn) -> None:
    """Responds like a working backend."""
    await conn.send(answer(await conn.whole()))


class Scripted:
    """A scripted backend.

    Attributes:
        seen: all requests whose header section was received.
        armed: the script handles the next data.
    """

    def __init__(self, script: Script = good, small: bool = False) -> None:
        self.script, self.small = script, small
        self.armed = False
        self.normal: Script = good
        self.at_door: Callable[[Conn], Awaitable[None]] | None = (
            None  # while armed, before any byte is awaited
        )
        self.seen: list[Seen] = []
        self.conns: list[Conn] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self._listener = socket.socket()
        if self.small:  # so that a long body does not fit into the kernel's buffers
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            self._listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000
            )  # the sender's buffer is so many of these
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(16)
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._tasks.append(asyncio.create_task(self._accept()))

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            sock.setblocking(False)
            conn = Conn(self, sock, len(self.conns))
            self.conns.append(conn)
            conn.task = asyncio.create_task(self._serve(conn))
            self._tasks.append(conn.task)

    async def _serve(self, conn: Conn) -> None:
        try:
            if self.armed and self.at_door is not None:
                await self.at_door(conn)
            while not conn.over:
                await conn.readable()
                if self.armed:
                    self.armed = False
                    await self.script(conn)
                else:
                    await self.normal(conn)
            await conn.gone()
        except (EOFError, OSError, ValueError):
            conn.sock.close()  # closed by either side
        else:
            conn.sock.close()

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for conn in self.conns:
            conn.sock.close()
        self._listener.close()


@dataclass
class Got:
    """A response received by a client.

    Attributes:
        status: 0 if the header section is incomplete.
        whole: the body ended as its framing says.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Asker:
    """A client's connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address

    async def open(self) -> Asker:
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self

    async def ask(self, data: bytes) -> Got:
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> Got:
        got = Got()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()[:-4]
            first, *lines = head.split("\r\n")
            assert first.startswith("HTTP/1.1 "), first
            got.status = int(first.split(" ")[1])
            pairs = [each.partition(": ") for each in lines]
            got.headers = {name.lower(): value for name, _, value in pairs}
            assert len(got.headers) == len(pairs), lines  # no repeated header
            if got.headers.get("transfer-encoding") == "chunked":
                while size := int(await self.reader.readuntil(b"\r\n"), 16):
                    got.body += await self.reader.readexactly(size)
                    assert await self.reader.readexactly(2) == b"\r\n"
                assert await self.reader.readexactly(2) == b"\r\n"
            elif got.status not in (204, 304):
                length = int(got.headers["content-length"])
                while len(got.body) < length:
                    if not (more := await self.reader.read(length - len(got.body))):
                        return got
                    got.body += more
            got.whole = True
        return got

    async def more(self) -> bytes:
        """Closes the sending side and returns all data until the connection ends."""
        with contextlib.suppress(OSError):
            self.writer.write_eof()
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""

    def close(self) -> None:
        self.writer.close()
