"""TCP connections between the system's own processes: framing, keep-alive, time-outs and send limits.

Theory of operation. A PeerConnection is one TCP connection. Each side sends something at least every
PING_INTERVAL_S; a side that has received nothing for SILENCE_TIMEOUT_S closes the connection, since a machine
without power or behind a network partition sends neither data nor a FIN. Any received byte counts, so a long
message in transit keeps its connection alive. A Connector keeps one connection to one address and reconnects
with exponential back-off; a Listener accepts connections. Bytes that are no message, a chunk out of sequence
or a second Hello close that connection and have no other effect. An incomplete message is discarded when its
connection closes.

Messages are delivered in the order of sending, except the types in EXPEDITED_MESSAGES. These report a
current state and request nothing, so they are sent ahead of the queue. A message of LATEST_ONLY_MESSAGES
replaces earlier ones in the queue that have not begun to be sent: its receiver needs only the newest, and a
slow receiver must not make the sender hold them all. A payload longer than a chunk is
split into chunks. They are handed to the transport as the peer reads, so that at most
MAX_WRITE_BUFFER_BYTES of it precede a ping. A connection whose peer does not read is closed at
MAX_UNSENT_BYTES.

Silence is counted only while this process runs. A process that was suspended first reads what is in the
socket, so that a timer that fires late does not close working connections. After STALE_INPUT_S without a
byte, however, the other side has certainly closed the connection by the same rule, and the bytes in the
socket are at least that old: they are discarded unread with the connection, as messages of unknown age must
not be taken for current ones. All times are those of the monotonic clock.
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
    Config,
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

PING_INTERVAL_S = 0.3
SILENCE_TIMEOUT_S = 1.0  # three pings in a row are lost, or the network path is down
# by now the peer has closed the connection; allows for one ping interval and the network delay
STALE_INPUT_S = SILENCE_TIMEOUT_S + 2 * PING_INTERVAL_S
CONNECT_TIMEOUT_S = 0.6  # the longest path takes some 80 ms; a lost SYN is only sent again after a second
RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.05, 0.5
MAX_UNSENT_BYTES = MAX_PAYLOAD_BYTES + (1 << 20)  # queued for a peer that does not read
MAX_WRITE_BUFFER_BYTES = 2 * CHUNK_BYTES  # in the transport; above this, no further chunk is written
MAX_HELLO_BYTES = 4096  # limit for the first message of a connection
LATEST_ONLY_MESSAGES = (Config,)  # each supersedes the earlier ones
EXPEDITED_MESSAGES = (Ping, Status, Probe, ProbeAck, Fresh)  # sent ahead of others, in order among themselves

monotonic_time = time.monotonic  # the time of the event loop does not advance while a callback runs


MessageHandler = Callable[["PeerConnection", Message], None]
ConnectionHandler = Callable[["PeerConnection"], None]


class PeerConnection(asyncio.Protocol):
    """One connection to another process of the system.

    Attributes:
        peer: The peer's Hello; None until it has been received.
        open: Whether the connection is established.
        last_received_at: When the last byte was received, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        hello: Hello,
        on_message: MessageHandler,
        on_ready: ConnectionHandler,
        on_closed: ConnectionHandler,
    ) -> None:
        """Prepares a connection; asyncio establishes it.

        Args:
            hello: The first message to send.
            on_message: Called for each received message except Hello and Ping.
            on_ready: Called when the peer's Hello has been received.
            on_closed: Called once when an established connection has closed.
        """
        self._hello, self._on_message, self._on_ready, self._on_closed = (
            hello,
            on_message,
            on_ready,
            on_closed,
        )
        self.peer: Hello | None = None
        self._decoder = FrameDecoder(MAX_HELLO_BYTES)
        self._assembler = ChunkAssembler(MAX_HELLO_BYTES)
        self._send_queue = SendQueue()
        self._write_paused = False  # the transport's buffer is full
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.last_received_at = self._last_check_at = monotonic_time()
        self._silent_s = 0.0  # time without a received byte, counted only while this process ran
        self._last_sent_at = 0.0
        self.open = False
        self._aborted = False  # possibly before it was established

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
        self.last_received_at = self._last_check_at = monotonic_time()
        self.send(self._hello)
        self._check_silence()

    def send(self, message: Message) -> bool:
        """Sends a message.

        Returns:
            False if the connection is closed, or exceeds MAX_UNSENT_BYTES and is aborted.
        """
        payload = encode(message)
        expedited = isinstance(message, EXPEDITED_MESSAGES) and len(payload) <= CHUNK_BYTES
        return self.send_payload(payload, expedited, isinstance(message, LATEST_ONLY_MESSAGES))

    def send_payload(self, payload: bytes, expedited: bool = False, latest_only: bool = False) -> bool:
        """Sends an encoded message. The bytes are not copied, so several connections may share them.

        Args:
            payload: The encoded message.
            expedited: Whether to send it ahead of the queue.
            latest_only: Whether it replaces queued payloads that were sent with this argument.

        Returns:
            False if the connection is closed, or exceeds MAX_UNSENT_BYTES and is aborted.

        Raises:
            ValueError: An expedited payload is longer than a chunk.
        """
        if expedited and len(payload) > CHUNK_BYTES:
            raise ValueError(f"payload of {len(payload)} bytes is too long to be expedited")
        if not self.open or self._transport is None:
            return False
        if self._transport.is_closing():  # connection_lost has not been called yet
            self._handle_closed()
            return False
        if (
            self._transport.get_write_buffer_size() + self._send_queue.queued_bytes + len(payload)
            > MAX_UNSENT_BYTES
        ):
            self._abort_with_warning("does not read what is sent to it")
            return False
        if expedited or not (
            self._send_queue.queued_bytes or self._write_paused or len(payload) > CHUNK_BYTES
        ):
            self._write(encode_frame(payload))
        else:
            self._send_queue.put(payload, latest_only)
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
                f"has closed it while this process was suspended for {now - self.last_received_at:.1f} s"
            )
            return
        self.last_received_at, self._silent_s = now, 0.0
        try:
            for frame in self._decoder.feed(data):
                if (payload := self._assembler.add(frame)) is not None:
                    self._dispatch(decode(payload))
                if not self.open:
                    return
        except (FrameError, MessageError) as error:
            self._abort_with_warning(f"sent an invalid message: {error}")

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, Hello):
            if self.peer is not None:
                raise MessageError(f"second Hello, from {message.name}, incarnation {message.life}")
            self.peer = message
            self._decoder.max_bytes, self._assembler.max_bytes = MAX_FRAME_BYTES, MAX_PAYLOAD_BYTES
            self._on_ready(self)
        elif isinstance(message, Ping):
            pass
        elif self.peer is None:
            raise MessageError("message before Hello")
        else:
            self._on_message(self, message)

    def _check_silence(self) -> None:
        if not self.open:
            return
        now = monotonic_time()
        # a late timer says nothing about the peer: bytes in the socket are read before the next check
        self._silent_s += min(now - max(self._last_check_at, self.last_received_at), 2 * PING_INTERVAL_S)
        self._last_check_at = now
        if self._silent_s > SILENCE_TIMEOUT_S:
            self.abort()
            return
        if now - self._last_sent_at >= PING_INTERVAL_S * 0.9:
            self.send(Ping())
        self._timer = self._loop.call_later(PING_INTERVAL_S, self._check_silence)

    def _abort_with_warning(self, reason: str) -> None:
        if self.peer is not None:
            peer = self.peer.name
        else:
            address = self._transport.get_extra_info("peername") if self._transport is not None else None
            peer = f"unidentified peer at {address[0]}" if address else "unidentified peer"
        log.warning("Connection aborted: {} {}.", peer, reason)
        self.abort()

    def abort(self) -> None:
        """Closes the connection without flushing; one that is not established yet is closed once it is."""
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()
        self._handle_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        self._handle_closed()

    def _handle_closed(self) -> None:
        if self.open:
            self.open = False
            if self._timer is not None:
                self._timer.cancel()
            self._send_queue.clear()
            self._assembler.clear()
            self._on_closed(self)


def broadcast(connections: Iterable[PeerConnection], message: Message) -> None:
    """Sends a message on several connections; it is encoded once and its bytes are shared."""
    payload = encode(message)
    expedited = isinstance(message, EXPEDITED_MESSAGES) and len(payload) <= CHUNK_BYTES
    for connection in connections:
        connection.send_payload(payload, expedited, isinstance(message, LATEST_ONLY_MESSAGES))


class Connector:
    """Keeps a connection to an address, with reconnection, until close() is called.

    Attributes:
        connection: The current connection, established or in progress; None between two attempts.
        attempted: Whether an attempt has ended or a connection has been closed.
    """

    def __init__(
        self,
        address: Address,
        hello: Hello,
        on_message: MessageHandler,
        on_ready: ConnectionHandler,
        on_closed: ConnectionHandler = lambda _: None,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts connecting.

        Args:
            address: Host and port.
            hello: The first message to send on each connection.
            on_message: As for PeerConnection.
            on_ready: As for PeerConnection.
            on_closed: As for PeerConnection.
            on_failure: Called when an attempt to connect has failed.
        """
        self.address = address
        self._on_failure = on_failure
        self._hello, self._on_message, self._on_ready, self._on_closed = (
            hello,
            on_message,
            on_ready,
            on_closed,
        )
        self.connection: PeerConnection | None = None
        self.attempted = False
        self._delay_s = RECONNECT_DELAY_S
        self._closed = False
        self._lost = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: Message) -> bool:
        """Sends a message if the connection is ready; returns whether it was sent."""
        connection = self.connection
        return connection is not None and connection.peer is not None and connection.send(message)

    @property
    def is_ready(self) -> bool:
        """Whether the connection is established and the peer's Hello has been received."""
        return self.connection is not None and self.connection.open and self.connection.peer is not None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            self._lost.clear()  # set by the previous connection; this one sets it again when it closes
            connection = PeerConnection(self._hello, self._on_message, self._on_ready, self._handle_closed)
            self.connection = connection
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(lambda connection=connection: connection, *self.address)  # type: ignore[misc]
            except (OSError, TimeoutError):
                self.connection, self.attempted = None, True
                connection.abort()  # it may have been established at the moment of the time-out
                self._on_failure()
                await asyncio.sleep(self._delay_s)
                self._delay_s = min(MAX_RECONNECT_DELAY_S, self._delay_s * 2)
                continue
            connected_at = loop.time()
            await self._lost.wait()
            self.connection, self.attempted = None, True
            if loop.time() - connected_at > SILENCE_TIMEOUT_S * 2:
                self._delay_s = RECONNECT_DELAY_S
            await asyncio.sleep(self._delay_s)
            self._delay_s = min(MAX_RECONNECT_DELAY_S, self._delay_s * 2)

    def _handle_closed(self, connection: PeerConnection) -> None:
        # a late report about a previous connection must not wake _run: it would leave the current one open
        if connection is self.connection:
            self.attempted = True
            self._lost.set()
        self._on_closed(connection)

    def close(self) -> None:
        """Stops reconnecting and closes the connection."""
        self._closed = True
        self._task.cancel()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


class Listener:
    """Accepts connections from other processes."""

    def __init__(self, create: Callable[[], PeerConnection]) -> None:
        """create: returns a new PeerConnection for each accepted connection."""
        self._create = create
        self._connections: WeakSet[PeerConnection] = WeakSet()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Starts listening.

        Returns:
            The bound address; for port 0, with the port that the operating system chose.

        Raises:
            OSError: The address is in use.
        """
        self._server = await asyncio.get_running_loop().create_server(self._accept, *address, backlog=256)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def _accept(self) -> PeerConnection:
        connection = self._create()
        self._connections.add(connection)
        return connection

    def close(self) -> None:
        """Stops listening and closes all accepted connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()
