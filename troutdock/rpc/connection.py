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
    CHUNK_BYTES,
    MAX_FRAME_BYTES,
    MAX_PAYLOAD_BYTES,
    ChunkAssembler,
    FrameDecoder,
    FrameError,
    SendQueue,
    encode_frame,
)

log = logbook.Logger("furrow")

Address = tuple[str, int]

PING_INTERVAL_S = 0.3  # between two signs of life
SILENCE_TIMEOUT_S = 1.0  # without any: three are lost, or the way is cut
STALE_INPUT_S = (
    SILENCE_TIMEOUT_S + 2 * PING_INTERVAL_S
)  # without any: who is there has ended the link, a beat and the way counted in
CONNECT_TIMEOUT_S = (
    0.6  # for a connection to come up: the longest way is some 80 ms, and one lost packet a second
)
RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.05, 0.5  # between two tries: at first, and at most
MAX_UNSENT_BYTES = MAX_PAYLOAD_BYTES + (1 << 20)  # bytes that wait for a peer that does not read
MAX_WRITE_BUFFER_BYTES = (
    2 * CHUNK_BYTES
)  # bytes in the connection's own buffer, past which the next part waits
MAX_HELLO_BYTES = 4096  # bytes of a first message: Hello
EXPEDITED_MESSAGES = (Ping, Status, Probe, ProbeAck, Fresh)  # may go ahead of others, in their own order

monotonic_time = time.monotonic  # not the loop's, which stands still while a callback runs


MessageHandler = Callable[["PeerConnection", Message], None]
ConnectionHandler = Callable[["PeerConnection"], None]


class PeerConnection(asyncio.Protocol):
    """One connection; heard, up and down are called with it."""

    def __init__(
        self, me: Hello, heard: MessageHandler, up: ConnectionHandler, down: ConnectionHandler
    ) -> None:
        self._me, self._heard, self._up, self._down = me, heard, up, down
        self.peer: Hello | None = None  # who is there, once it has said so
        self._decoder = FrameDecoder(MAX_HELLO_BYTES)
        self._assembler = ChunkAssembler(MAX_HELLO_BYTES)
        self._send_queue = SendQueue()
        self._write_paused = False  # the connection's own buffer: no next part
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.last_received_at = self._last_beat_at = monotonic_time()
        self._silent_s = 0.0  # since a byte came, while this process ran
        self._last_sent_at = 0.0
        self.open = False
        self._aborted = False  # it was cut, maybe before it came up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._aborted:
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(MAX_WRITE_BUFFER_BYTES, CHUNK_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open = True
        self.last_received_at = self._last_beat_at = monotonic_time()
        self.send(self._me)
        self._beat()

    def send(self, message: Message) -> bool:
        """Say it; false: the link is down, or has just been cut for a peer that does not read."""
        payload = encode(message)
        return self.send_payload(
            payload, isinstance(message, EXPEDITED_MESSAGES) and len(payload) <= CHUNK_BYTES
        )

    def send_payload(self, payload: bytes, passes: bool = False) -> bool:
        """The same for one that is encoded already; it is not copied, so several links may share it.

        passes: it goes ahead of what waits. ValueError: one of more than a part can't.
        """
        if passes and len(payload) > CHUNK_BYTES:
            raise ValueError(f"{len(payload)} bytes can't pass others")
        if not self.open or self._transport is None:
            return False
        if self._transport.is_closing():  # by its own end, which has not been told yet
            self._ended()
            return False
        if (
            self._transport.get_write_buffer_size() + self._send_queue.queued_bytes + len(payload)
            > MAX_UNSENT_BYTES
        ):
            self._abort_with_warning("does not read")
            return False
        if passes or not (self._send_queue.queued_bytes or self._write_paused or len(payload) > CHUNK_BYTES):
            self._write(encode_frame(payload))
        else:
            self._send_queue.put(payload)
            self._flush()
        return True

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._last_sent_at = monotonic_time()
            self._transport.write(data)

    def _flush(self) -> None:
        while self.open and not self._write_paused and (data := self._send_queue.next_frame()) is not None:
            self._write(data)

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        self._flush()

    def data_received(self, data: bytes) -> None:
        if not self.open:
            return
        now = monotonic_time()
        if now - self.last_received_at > STALE_INPUT_S:
            self._abort_with_warning(
                f"has ended it while this process stood for {now - self.last_received_at:.1f} s"
            )
            return
        self.last_received_at, self._silent_s = now, 0.0
        try:
            for framed in self._decoder.feed(data):
                if (payload := self._assembler.add(framed)) is not None:
                    self._dispatch(decode(payload))
                if not self.open:
                    return
        except (FrameError, MessageError) as error:
            self._abort_with_warning(f"sent what is none of ours: {error}")

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, Hello):
            if self.peer is not None:
                raise MessageError(f"a second Hello, of {message.name}, life {message.life}")
            self.peer = message
            self._decoder.max_bytes, self._assembler.max_bytes = MAX_FRAME_BYTES, MAX_PAYLOAD_BYTES
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
        now = monotonic_time()
        # what lies in the socket is read before the next beat: one beat that is late says nothing of the peer
        self._silent_s += min(now - max(self._last_beat_at, self.last_received_at), 2 * PING_INTERVAL_S)
        self._last_beat_at = now
        if self._silent_s > SILENCE_TIMEOUT_S:
            self.abort()
            return
        if now - self._last_sent_at >= PING_INTERVAL_S * 0.9:
            self.send(Ping())
        self._timer = self._loop.call_later(PING_INTERVAL_S, self._beat)

    def _abort_with_warning(self, why: str) -> None:
        if self.peer is not None:
            whom = self.peer.name
        else:
            found = self._transport.get_extra_info("peername") if self._transport is not None else None
            whom = f"a stranger at {found[0]}" if found else "a stranger"
        log.warning("Link cut: {} {}.", whom, why)
        self.abort()

    def abort(self) -> None:
        """End it at once, or as soon as it would come up."""
        self._aborted = True
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
            self._send_queue.clear()
            self._assembler.clear()
            self._down(self)


def broadcast(links: Iterable[PeerConnection], message: Message) -> None:
    """Say one thing to many; it is encoded once, and its bytes are shared."""
    payload = encode(message)
    passes = isinstance(message, EXPEDITED_MESSAGES) and len(payload) <= CHUNK_BYTES
    for link in links:
        link.send_payload(payload, passes)


class Connector:
    """Keeps a link to an address until it is closed."""

    def __init__(
        self,
        address: Address,
        me: Hello,
        heard: MessageHandler,
        up: ConnectionHandler,
        down: ConnectionHandler = lambda _: None,
        failed: Callable[[], None] = lambda: None,
    ) -> None:
        """heard, up, down: those of each link. failed: a try has not come to a link."""
        self.address = address
        self._failed = failed
        self._me, self._heard, self._up, self._down = me, heard, up, down
        self.connection: PeerConnection | None = None
        self.attempted = False  # once, with whatever came of it
        self._delay_s = RECONNECT_DELAY_S
        self._closed = False
        self._lost = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: Message) -> bool:
        """Say it, if there is a link whose peer has said who it is."""
        link = self.connection
        return link is not None and link.peer is not None and link.send(message)

    @property
    def is_ready(self) -> bool:
        """There is a link, and its peer has said who it is."""
        return self.connection is not None and self.connection.open and self.connection.peer is not None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            self._lost.clear()  # of the link before: this one's end sets it again
            link = PeerConnection(self._me, self._heard, self._up, self._ended)
            self.connection = link
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(lambda link=link: link, *self.address)  # type: ignore[misc]
            except (OSError, TimeoutError):
                self.connection, self.attempted = None, True
                link.abort()  # it may have come up in the very moment
                self._failed()
                await asyncio.sleep(self._delay_s)
                self._delay_s = min(MAX_RECONNECT_DELAY_S, self._delay_s * 2)
                continue
            began = loop.time()
            await self._lost.wait()
            self.connection, self.attempted = None, True
            if loop.time() - began > SILENCE_TIMEOUT_S * 2:
                self._delay_s = RECONNECT_DELAY_S
            await asyncio.sleep(self._delay_s)
            self._delay_s = min(MAX_RECONNECT_DELAY_S, self._delay_s * 2)

    def _ended(self, link: PeerConnection) -> None:
        if link is self.connection:  # not one before, whose end was told late: the next would be left alive
            self.attempted = True
            self._lost.set()
        self._down(link)

    def close(self) -> None:
        """No more tries, and the link ends."""
        self._closed = True
        self._task.cancel()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


class Listener:
    """Takes the links of others."""

    def __init__(self, make: Callable[[], PeerConnection]) -> None:
        self._make = make
        self._links: WeakSet[PeerConnection] = WeakSet()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Open it; gives the address, with the port that the system chose for 0. OSError if it is taken."""
        self._server = await asyncio.get_running_loop().create_server(self._accept, *address, backlog=256)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def _accept(self) -> PeerConnection:
        link = self._make()
        self._links.add(link)
        return link

    def close(self) -> None:
        """No more links, and those that were taken end."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.abort()
