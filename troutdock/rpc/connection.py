"""Connections between the system's own processes: messages in and out, signs of life, bounds.

Theory of operation. A Link is one TCP connection. Each side says something at least every PING_S; one that
has heard nothing for SILENT_S ends it, as a machine without power or behind a cut says nothing at all. Any
byte is a sign of life: a long message that is still coming is none of silence. A Dialer keeps a link to one
address, one at a time, and tries again with a pause that grows; a Listener takes those of others. What is no
message, no next part or a second Hello ends that link and nothing else; half a message goes with its link.

Messages come in the order in which they were sent, but for those of PASSING: they tell how things stand, not
what to do next, and go ahead of what waits. What is longer than a part goes in parts, handed to the system
as the peer takes them, so that at most UNSENT_PARTS bytes of it lie before a sign of life. A peer that does
not read is cut at MOST_UNSENT bytes.

Silence is counted while this process runs. One that was frozen reads first what waits in the socket, instead
of ending good links by a timer that is late. But past GONE_S without a byte the other side has certainly
ended the link, by the same rule, and what lies in the socket is as old as that: it is dropped unread with the
link, as news of unknown age must not pass for news. Time is the steady clock's only.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Iterable
from typing import cast
from weakref import WeakSet

import logbook

from troutdock.rpc.messages import (
    Fresh,
    Hello,
    Message,
    MessageError,
    Ping,
    Probe,
    ProbeAck,
    Status,
    decode,
    encode,
)
from troutdock.rpc.netstring import (
    MAX_FRAME,
    MAX_PAYLOAD,
    PART,
    Assembler,
    Deframer,
    FrameError,
    Outbox,
    frame,
)

log = logbook.Logger("furrow")

Address = tuple[str, int]

PING_S = 0.3  # between two signs of life
SILENT_S = 1.0  # without any: three are lost, or the way is cut
GONE_S = SILENT_S + 2 * PING_S  # without any: who is there has ended the link, a beat and the way counted in
CONNECT_S = 0.6  # for a connection to come up: the longest way is some 80 ms, and one lost packet a second
PAUSE_S, PAUSE_MOST_S = 0.05, 0.5  # between two tries: at first, and at most
MOST_UNSENT = MAX_PAYLOAD + (1 << 20)  # bytes that wait for a peer that does not read
UNSENT_PARTS = 2 * PART  # bytes in the connection's own buffer, past which the next part waits
STRANGER_FRAME = 4096  # bytes of a first message: Hello
PASSING = (Ping, Status, Probe, ProbeAck, Fresh)  # may go ahead of others, in their own order

steady = time.monotonic  # not the loop's, which stands still while a callback runs


Heard = Callable[["Link", Message], None]
Told = Callable[["Link"], None]


class Link(asyncio.Protocol):
    """One connection; heard, up and down are called with it."""

    def __init__(self, me: Hello, heard: Heard, up: Told, down: Told) -> None:
        self._me, self._heard, self._up, self._down = me, heard, up, down
        self.peer: Hello | None = None  # who is there, once it has said so
        self._deframer = Deframer(STRANGER_FRAME)
        self._assembler = Assembler(STRANGER_FRAME)
        self._outbox = Outbox()
        self._full = False  # the connection's own buffer: no next part
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.heard_at = self._beat_at = steady()
        self._quiet_s = 0.0  # since a byte came, while this process ran
        self._said_at = 0.0
        self.open = False
        self._over = False  # it was cut, maybe before it came up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._over:
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(UNSENT_PARTS, PART)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open = True
        self.heard_at = self._beat_at = steady()
        self.send(self._me)
        self._beat()

    def send(self, message: Message) -> bool:
        """Say it; false: the link is down, or has just been cut for a peer that does not read."""
        payload = encode(message)
        return self.send_payload(payload, isinstance(message, PASSING) and len(payload) <= PART)

    def send_payload(self, payload: bytes, passes: bool = False) -> bool:
        """The same for one that is encoded already; it is not copied, so several links may share it.

        passes: it goes ahead of what waits. ValueError: one of more than a part can't.
        """
        if passes and len(payload) > PART:
            raise ValueError(f"{len(payload)} bytes can't pass others")
        if not self.open or self._transport is None:
            return False
        if self._transport.is_closing():  # by its own end, which has not been told yet
            self._ended()
            return False
        if self._transport.get_write_buffer_size() + self._outbox.size + len(payload) > MOST_UNSENT:
            self._cut_for("does not read")
            return False
        if passes or not (self._outbox.size or self._full or len(payload) > PART):
            self._write(frame(payload))
        else:
            self._outbox.put(payload)
            self._pump()
        return True

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._said_at = steady()
            self._transport.write(data)

    def _pump(self) -> None:
        while self.open and not self._full and (data := self._outbox.take()) is not None:
            self._write(data)

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        self._pump()

    def data_received(self, data: bytes) -> None:
        if not self.open:
            return
        now = steady()
        if now - self.heard_at > GONE_S:
            self._cut_for(f"has ended it while this process stood for {now - self.heard_at:.1f} s")
            return
        self.heard_at, self._quiet_s = now, 0.0
        try:
            for framed in self._deframer.feed(data):
                if (payload := self._assembler.take(framed)) is not None:
                    self._take(decode(payload))
                if not self.open:
                    return
        except (FrameError, MessageError) as error:
            self._cut_for(f"sent what is none of ours: {error}")

    def _take(self, message: Message) -> None:
        if isinstance(message, Hello):
            if self.peer is not None:
                raise MessageError(f"a second Hello, of {message.name}, life {message.life}")
            self.peer = message
            self._deframer.most, self._assembler.most = MAX_FRAME, MAX_PAYLOAD
            self._up(self)
        elif isinstance(message, Ping):
            pass
        elif self.peer is None:
            raise MessageError("a message before Hello")
        else:
            self._heard(self, message)

    def _beat(self) -> None:
        if not self.open:
            return
        now = steady()
        # what lies in the socket is read before the next beat: one beat that is late says nothing of the peer
        self._quiet_s += min(now - max(self._beat_at, self.heard_at), 2 * PING_S)
        self._beat_at = now
        if self._quiet_s > SILENT_S:
            self.cut()
            return
        if now - self._said_at >= PING_S * 0.9:
            self.send(Ping())
        self._timer = self._loop.call_later(PING_S, self._beat)

    def _cut_for(self, why: str) -> None:
        if self.peer is not None:
            whom = self.peer.name
        else:
            found = self._transport.get_extra_info("peername") if self._transport is not None else None
            whom = f"a stranger at {found[0]}" if found else "a stranger"
        log.warning("Link cut: {} {}.", whom, why)
        self.cut()

    def cut(self) -> None:
        """End it at once, or as soon as it would come up."""
        self._over = True
        if self._transport is not None:
            self._transport.abort()
        self._ended()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended()

    def _ended(self) -> None:
        if self.open:
            self.open = False
            if self._timer is not None:
                self._timer.cancel()
            self._outbox.clear()
            self._assembler.clear()
            self._down(self)


def send_all(links: Iterable[Link], message: Message) -> None:
    """Say one thing to many; it is encoded once, and its bytes are shared."""
    payload = encode(message)
    passes = isinstance(message, PASSING) and len(payload) <= PART
    for link in links:
        link.send_payload(payload, passes)


class Dialer:
    """Keeps a link to an address until it is closed."""

    def __init__(
        self,
        address: Address,
        me: Hello,
        heard: Heard,
        up: Told,
        down: Told = lambda _: None,
        failed: Callable[[], None] = lambda: None,
    ) -> None:
        """heard, up, down: those of each link. failed: a try has not come to a link."""
        self.address = address
        self._failed = failed
        self._me, self._heard, self._up, self._down = me, heard, up, down
        self.link: Link | None = None
        self.tried = False  # once, with whatever came of it
        self._pause_s = PAUSE_S
        self._closed = False
        self._gone = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: Message) -> bool:
        """Say it, if there is a link whose peer has said who it is."""
        link = self.link
        return link is not None and link.peer is not None and link.send(message)

    @property
    def up(self) -> bool:
        """There is a link, and its peer has said who it is."""
        return self.link is not None and self.link.open and self.link.peer is not None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            self._gone.clear()  # of the link before: this one's end sets it again
            link = Link(self._me, self._heard, self._up, self._ended)
            self.link = link
            try:
                async with asyncio.timeout(CONNECT_S):
                    await loop.create_connection(lambda link=link: link, *self.address)  # type: ignore[misc]
            except (OSError, TimeoutError):
                self.link, self.tried = None, True
                link.cut()  # it may have come up in the very moment
                self._failed()
                await asyncio.sleep(self._pause_s)
                self._pause_s = min(PAUSE_MOST_S, self._pause_s * 2)
                continue
            began = loop.time()
            await self._gone.wait()
            self.link, self.tried = None, True
            if loop.time() - began > SILENT_S * 2:
                self._pause_s = PAUSE_S
            await asyncio.sleep(self._pause_s)
            self._pause_s = min(PAUSE_MOST_S, self._pause_s * 2)

    def _ended(self, link: Link) -> None:
        if link is self.link:  # not one before, whose end was told late: the next would be left alive
            self.tried = True
            self._gone.set()
        self._down(link)

    def close(self) -> None:
        """No more tries, and the link ends."""
        self._closed = True
        self._task.cancel()
        if self.link is not None:
            self.link.cut()
            self.link = None


class Listener:
    """Takes the links of others."""

    def __init__(self, make: Callable[[], Link]) -> None:
        self._make = make
        self._links: WeakSet[Link] = WeakSet()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Open it; gives the address, with the port that the system chose for 0. OSError if it is taken."""
        self._server = await asyncio.get_running_loop().create_server(self._taken, *address, backlog=256)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def _taken(self) -> Link:
        link = self._make()
        self._links.add(link)
        return link

    def close(self) -> None:
        """No more links, and those that were taken end."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.cut()
