"""Scripted peers that speak HTTP/2 by the library h2: independent of the code under test."""

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
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nBilled-Units: 3\r\n\r\ndone"  # a node's whole HTTP/1.1


def message(data: bytes = b"done", compressed: bool = False) -> bytes:
    """A gRPC message with its prefix."""
    return bytes((compressed,)) + len(data).to_bytes(4, "big") + data


@dataclass
class Call:
    """One stream, as either side sees it."""

    id: int
    wire: Wire
    headers: Headers = field(default_factory=list)
    trailers: Headers = field(default_factory=list)
    data: bytes = b""
    interim: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    started: asyncio.Event = field(default_factory=asyncio.Event)  # a head, or data
    reset: int | None = None
    surplus: int = 0  # events after its end

    def __getitem__(self, name: str) -> str:
        """Of its trailers, else of its headers; "" if it is not there."""
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
        """What there is of a head, data and trailers; a block of headers alone may end it."""
        h2 = self.wire.h2
        try:
            if headers is not None:
                h2.send_headers(self.id, headers, end_stream=end and not data and trailers is None)
            if data:
                self.wire.queue(self.id, data, end and trailers is None)
            if trailers is not None:
                if self.wire.queued(self.id):
                    self.wire.after[self.id] = trailers
                else:
                    h2.send_headers(self.id, trailers, end_stream=True)
        except (ProtocolError, StreamClosedError):
            pass  # the other side has ended it meanwhile
        self.wire.flush()

    def cancel(self, code: int = 8) -> None:
        with contextlib.suppress(ProtocolError, StreamClosedError):
            self.wire.h2.reset_stream(self.id, code)
        self.wire.flush()


class Wire(asyncio.Protocol):
    """A connection of either side."""

    def __init__(
        self, client: bool, opened: Callable[[Call], None] | None = None, credit: bool = True
    ) -> None:
        """opened: told of a call of the other side's, once its head is here. credit: what is read is credited at once."""
        self.h2 = H2Connection(
            H2Configuration(
                client_side=client,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                validate_inbound_headers=client,
            )
        )
        self.opened, self.credit = opened, credit
        self.calls: dict[int, Call] = {}
        self.gone: tuple[int, int] | None = None  # GOAWAY: last stream and code
        self.goaways: list[tuple[int, int]] = []
        self.closed = asyncio.Event()
        self._queues: dict[int, list[tuple[bytes, bool]]] = {}
        self.after: dict[int, Headers] = {}
        self.transport: Any = None
        self.received = 0
        self.raw = False  # bytes are not read as HTTP/2 any more
        self.plain = False  # it turned out to be HTTP/1.1
        self._frames = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.h2.config.client_side:  # else once it is told that the other side speaks HTTP/2
            self.h2.initiate_connection()
            self.flush()

    def flush(self) -> None:
        data = self.h2.data_to_send()
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def queued(self, id: int) -> bool:
        return bool(self._queues.get(id))

    def queue(self, id: int, data: bytes, end: bool) -> None:
        self._queues.setdefault(id, []).append((data, end))
        self._pump(id)

    def _pump(self, id: int) -> None:
        queue = self._queues.get(id, [])
        while queue:
            data, end = queue[0]
            try:
                room = min(self.h2.local_flow_control_window(id), self.h2.max_outbound_frame_size)
                if room <= 0 and data:
                    return
                self.h2.send_data(id, data[:room], end_stream=end and len(data) <= room)
            except (ProtocolError, StreamClosedError):
                queue.clear()
                return
            if len(data) > room:
                queue[0] = data[room:], end
            else:
                queue.pop(0)
        if id in self.after:
            self.h2.send_headers(id, self.after.pop(id), end_stream=True)

    def data_received(self, data: bytes) -> None:
        if not self.received and not self.h2.config.client_side:
            self.plain = not data.startswith(b"PRI")
            if not self.plain:
                self.h2.initiate_connection()
        self.received += len(data)
        if self.plain and not self.raw:
            self.transport.write(PLAIN * data.count(b" HTTP/1.1\r\n"))
        if self.raw or self.plain:
            return
        if self.h2.config.client_side:
            data = self._without_goaways(data)
        try:
            events = self.h2.receive_data(data)
        except ProtocolError:
            self.flush()
            self.transport.close()
            return
        for event in events:
            self._event(event)
        self.flush()

    def _without_goaways(self, data: bytes) -> bytes:
        """The library takes a GOAWAY for the end of all calls, and no more of them can be opened to cross it."""
        data, kept = self._frames + data, b""
        while len(data) >= 9 and len(data) >= (size := 9 + int.from_bytes(data[:3], "big")):
            if data[3] == 7:
                self.gone = int.from_bytes(data[9:13], "big"), int.from_bytes(data[13:17], "big")
                self.goaways.append(self.gone)
            else:
                kept += data[:size]
            data = data[size:]
        self._frames = data
        return kept

    def _event(self, event: Any) -> None:
        if isinstance(event, ConnectionTerminated):
            self.gone = event.last_stream_id or 0, int(event.error_code)
            self.goaways.append(self.gone)
            return
        id = getattr(event, "stream_id", 0) or 0
        if isinstance(event, WindowUpdated):
            for stream in [id] if id else list(self._queues):
                self._pump(stream)
            return
        if isinstance(event, RequestReceived):
            call = self.calls[id] = Call(id, self, [(bytes(k), bytes(v)) for k, v in event.headers])
            if self.opened is not None:
                self.opened(call)
            return
        known = self.calls.get(id)
        if known is None:
            return
        if known.ended.is_set() and not isinstance(event, StreamReset):
            known.surplus += 1
        if isinstance(event, InformationalResponseReceived):
            known.interim += 1
        elif isinstance(event, ResponseReceived):
            known.headers = [(bytes(k), bytes(v)) for k, v in event.headers]
            known.started.set()
        elif isinstance(event, TrailersReceived):
            known.trailers = [(bytes(k), bytes(v)) for k, v in event.headers]
        elif isinstance(event, DataReceived):
            known.data += event.data
            if self.credit and event.flow_controlled_length:
                self.h2.acknowledge_received_data(event.flow_controlled_length, id)
            known.started.set()
        elif isinstance(event, StreamEnded):
            known.ended.set()
        elif isinstance(event, StreamReset):
            if not known.ended.is_set() or not self.h2.config.client_side:
                known.reset = int(event.error_code)
            known.ended.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed.set()
        for call in self.calls.values():
            call.ended.set()

    def open(self, headers: Headers, data: bytes = b"", end: bool = True) -> Call:
        """A call of this side's."""
        id = self.h2.get_next_available_stream_id()
        call = self.calls[id] = Call(id, self)
        self.h2.send_headers(id, headers, end_stream=end and not data)
        if data:
            self.queue(id, data, end)
        self.flush()
        return call


async def connect(address: tuple[str, int], credit: bool = True) -> Wire:
    """A client's connection to there."""
    _, wire = await asyncio.get_running_loop().create_connection(lambda: Wire(True, credit=credit), *address)
    return wire


Answering = Callable[[Call], Awaitable[None]]


class H2Node:
    """A gRPC node whose answers a script gives; it is called once a call has come whole, or with its head."""

    def __init__(self, script: Answering, whole: bool = True, credit: bool = True) -> None:
        self.script, self.whole, self.credit = script, whole, credit
        self.calls: list[Call] = []
        self.wires: list[Wire] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.get_running_loop().create_server(self._wire, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def _wire(self) -> Wire:
        wire = Wire(False, self._opened, self.credit)
        self.wires.append(wire)
        return wire

    def _opened(self, call: Call) -> None:
        self.calls.append(call)
        task = asyncio.get_running_loop().create_task(self._serve(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, call: Call) -> None:
        if self.whole:
            await call.ended.wait()
            if call.reset is not None:
                return
        await self.script(call)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """No new connections, and those that are open are reset."""
        self.server.close()
        for wire in self.wires:
            if wire.transport is not None:
                wire.transport.abort()
        for task in list(self.tasks):
            task.cancel()
