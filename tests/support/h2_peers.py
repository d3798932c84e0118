"""Scripted HTTP/2 peers based on the library h2, independent of the code under test."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    InformationalResponseReceived,
    RequestReceived,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
    WindowUpdated,
)
from h2.exceptions import ProtocolError, StreamClosedError
import contextlib

Headers = list[tuple[bytes, bytes]]
# answer to every HTTP/1.1 request
HTTP1_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nBilled-Units: 3\r\n\r\ndone"


def message(data: bytes = b"done", compressed: bool = False) -> bytes:
    """Returns a gRPC message with its 5-byte prefix."""
    return bytes((compressed,)) + len(data).to_bytes(4, "big") + data


@dataclass
class Call:
    """A stream, as seen by either side."""

    stream_id: int
    peer: H2Peer
    headers: Headers = field(default_factory=list)
    trailers: Headers = field(default_factory=list)
    data: bytes = b""
    interim_responses: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    started: asyncio.Event = field(default_factory=asyncio.Event)  # headers or data received
    reset: int | None = None
    events_after_end: int = 0

    def __getitem__(self, name: str) -> str:
        """Returns a field of the trailers, else of the headers, else "" if there is none."""
        for key, value in (*self.trailers, *self.headers):
            if key == name.encode():
                return value.decode()
        return ""

    def send(
        self,
        headers: Headers | None = None,
        data: bytes = b"",
        trailers: Headers | None = None,
        end: bool = False,
    ) -> None:
        """Sends headers, data and trailers as given; `end` sets END_STREAM if there are no trailers."""
        h2 = self.peer.h2
        try:
            if headers is not None:
                h2.send_headers(self.stream_id, headers, end_stream=end and not data and trailers is None)
            if data:
                self.peer.queue(self.stream_id, data, end and trailers is None)
            if trailers is not None:
                if self.peer.has_queued(self.stream_id):
                    self.peer.pending_trailers[self.stream_id] = trailers
                else:
                    h2.send_headers(self.stream_id, trailers, end_stream=True)
        except (ProtocolError, StreamClosedError):
            pass  # the other side has closed the stream meanwhile
        self.peer.flush()

    def cancel(self, code: int = 8) -> None:
        with contextlib.suppress(ProtocolError, StreamClosedError):
            self.peer.h2.reset_stream(self.stream_id, code)
        self.peer.flush()


class H2Peer(asyncio.Protocol):
    """A connection of a client or a server."""

    def __init__(
        self, client: bool, on_call: Callable[[Call], None] | None = None, auto_credit: bool = True
    ) -> None:
        """on_call: Receives each call of the other side, after its headers. auto_credit: Credit received data."""
        self.h2 = H2Connection(
            H2Configuration(
                client_side=client,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                validate_inbound_headers=client,
            )
        )
        self.on_call, self.auto_credit = on_call, auto_credit
        self.calls: dict[int, Call] = {}
        self.last_goaway: tuple[int, int] | None = None  # last stream and error code
        self.goaways: list[tuple[int, int]] = []
        self.closed = asyncio.Event()
        self._queues: dict[int, list[tuple[bytes, bool]]] = {}
        self.pending_trailers: dict[int, Headers] = {}
        self.transport: Any = None
        self.received = 0
        self.ignore_input = False  # received bytes are dropped
        self.is_http1 = False  # the client sent HTTP/1.1
        self._frame_buffer = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.h2.config.client_side:  # a server starts after it has received the preface
            self.h2.initiate_connection()
            self.flush()

    def flush(self) -> None:
        data = self.h2.data_to_send()
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def has_queued(self, stream_id: int) -> bool:
        return bool(self._queues.get(stream_id))

    def queue(self, stream_id: int, data: bytes, end: bool) -> None:
        self._queues.setdefault(stream_id, []).append((data, end))
        self._send_queued(stream_id)

    def _send_queued(self, stream_id: int) -> None:
        queue = self._queues.get(stream_id, [])
        while queue:
            data, end = queue[0]
            try:
                allowed = min(self.h2.local_flow_control_window(stream_id), self.h2.max_outbound_frame_size)
                if allowed <= 0 and data:
                    return
                self.h2.send_data(stream_id, data[:allowed], end_stream=end and len(data) <= allowed)
            except (ProtocolError, StreamClosedError):
                queue.clear()
                return
            if len(data) > allowed:
                queue[0] = data[allowed:], end
            else:
                queue.pop(0)
        if stream_id in self.pending_trailers:
            self.h2.send_headers(stream_id, self.pending_trailers.pop(stream_id), end_stream=True)

    def data_received(self, data: bytes) -> None:
        if not self.received and not self.h2.config.client_side:
            self.is_http1 = not data.startswith(b"PRI")
            if not self.is_http1:
                self.h2.initiate_connection()
        self.received += len(data)
        if self.is_http1 and not self.ignore_input:
            self.transport.write(HTTP1_RESPONSE * data.count(b" HTTP/1.1\r\n"))
        if self.ignore_input or self.is_http1:
            return
        if self.h2.config.client_side:
            data = self._strip_goaways(data)
        try:
            events = self.h2.receive_data(data)
        except ProtocolError:
            self.flush()
            self.transport.close()
            return
        for event in events:
            self._event(event)
        self.flush()

    def _strip_goaways(self, data: bytes) -> bytes:
        """Records and removes GOAWAY frames: after one the library ends all calls and can't open more."""
        data, remaining = self._frame_buffer + data, b""
        while len(data) >= 9 and len(data) >= (size := 9 + int.from_bytes(data[:3], "big")):
            if data[3] == 7:
                self.last_goaway = int.from_bytes(data[9:13], "big"), int.from_bytes(data[13:17], "big")
                self.goaways.append(self.last_goaway)
            else:
                remaining += data[:size]
            data = data[size:]
        self._frame_buffer = data
        return remaining

    def _event(self, event: Any) -> None:
        if isinstance(event, ConnectionTerminated):
            self.last_goaway = event.last_stream_id or 0, int(event.error_code)
            self.goaways.append(self.last_goaway)
            return
        stream_id = getattr(event, "stream_id", 0) or 0
        if isinstance(event, WindowUpdated):
            for stream in [stream_id] if stream_id else list(self._queues):
                self._send_queued(stream)
            return
        if isinstance(event, RequestReceived):
            call = self.calls[stream_id] = Call(
                stream_id, self, [(bytes(k), bytes(v)) for k, v in event.headers]
            )
            if self.on_call is not None:
                self.on_call(call)
            return
        known_call = self.calls.get(stream_id)
        if known_call is None:
            return
        if known_call.ended.is_set() and not isinstance(event, StreamReset):
            known_call.events_after_end += 1
        if isinstance(event, InformationalResponseReceived):
            known_call.interim_responses += 1
        elif isinstance(event, ResponseReceived):
            known_call.headers = [(bytes(k), bytes(v)) for k, v in event.headers]
            known_call.started.set()
        elif isinstance(event, TrailersReceived):
            known_call.trailers = [(bytes(k), bytes(v)) for k, v in event.headers]
        elif isinstance(event, DataReceived):
            known_call.data += event.data
            if self.auto_credit and event.flow_controlled_length:
                self.h2.acknowledge_received_data(event.flow_controlled_length, stream_id)
            known_call.started.set()
        elif isinstance(event, StreamEnded):
            known_call.ended.set()
        elif isinstance(event, StreamReset):
            if not known_call.ended.is_set() or not self.h2.config.client_side:
                known_call.reset = int(event.error_code)
            known_call.ended.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed.set()
        for call in self.calls.values():
            call.ended.set()

    def open(self, headers: Headers, data: bytes = b"", end: bool = True) -> Call:
        """Opens a call from this side."""
        stream_id = self.h2.get_next_available_stream_id()
        call = self.calls[stream_id] = Call(stream_id, self)
        self.h2.send_headers(stream_id, headers, end_stream=end and not data)
        if data:
            self.queue(stream_id, data, end)
        self.flush()
        return call


async def connect(address: tuple[str, int], auto_credit: bool = True) -> H2Peer:
    """Returns a client connection to this address."""
    _, peer = await asyncio.get_running_loop().create_connection(
        lambda: H2Peer(True, auto_credit=auto_credit), *address
    )
    return peer


Script = Callable[[Call], Awaitable[None]]


class H2Backend:
    """A gRPC backend that runs a script per call, after its end or (wait_for_end=False) its headers."""

    def __init__(self, script: Script, wait_for_end: bool = True, auto_credit: bool = True) -> None:
        self.script, self.wait_for_end, self.auto_credit = script, wait_for_end, auto_credit
        self.calls: list[Call] = []
        self.peers: list[H2Peer] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.get_running_loop().create_server(self._new_peer, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def _new_peer(self) -> H2Peer:
        peer = H2Peer(False, self._on_call, self.auto_credit)
        self.peers.append(peer)
        return peer

    def _on_call(self, call: Call) -> None:
        self.calls.append(call)
        task = asyncio.get_running_loop().create_task(self._serve(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, call: Call) -> None:
        if self.wait_for_end:
            await call.ended.wait()
            if call.reset is not None:
                return
        await self.script(call)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """Closes the listener and aborts all connections."""
        self.server.close()
        for peer in self.peers:
            if peer.transport is not None:
                peer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
