"""Connections between processes: chunking, expedited messages, invalid input, suspension, reconnection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw

from troutdock.rpc import connection
from troutdock.rpc.connection import (
    EXPEDITED_MESSAGES,
    MAX_HELLO_BYTES,
    MAX_UNSENT_BYTES,
    MAX_WRITE_BUFFER_BYTES,
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    STALE_INPUT_S,
    Connector,
    Listener,
    PeerConnection,
)
from troutdock.rpc.messages import (
    Accept,
    Config,
    Fresh,
    Hello,
    Message,
    Ping,
    Probe,
    ProbeAck,
    Record,
    Status,
    Write,
    decode,
    encode,
)
from troutdock.rpc.netstring import (
    CHUNK_BYTES,
    MAX_FRAME_BYTES,
    ChunkAssembler,
    FrameDecoder,
    FrameError,
    SendQueue,
    encode_frame,
)

LOCAL_HELLO, PEER_HELLO = Hello("r", "me", "10.0.0.1", "a", 1), Hello("r", "you", "10.0.0.2", "a", 2)
PING = encode_frame(encode(Ping()))


def make_config(size: int, version: int = 1) -> Config:
    return Config(version, Raw(b'"' + b"x" * (size - 2) + b'"'))


# ---- chunking, without sockets


def take_all_frames(queue: SendQueue) -> list[bytes]:
    return list(iter(queue.next_frame, None))  # type: ignore[arg-type]


SIZES = st.one_of(
    st.integers(1, 60),
    st.integers(CHUNK_BYTES - 2, CHUNK_BYTES + 2),
    st.integers(2 * CHUNK_BYTES - 2, 2 * CHUNK_BYTES + 2),
    st.integers(1, 5 * CHUNK_BYTES),
)


FILL = b"".join(
    b"%d," % i for i in range(70_000)
)  # no two positions are alike, so that a misplaced chunk is detected


@given(st.lists(SIZES, max_size=6), st.lists(st.integers(0, 2), min_size=1, max_size=9), st.data())
def test_payloads_are_reassembled_in_order_with_other_frames_between_their_chunks(
    sizes, between, data
) -> None:
    payloads = [b"{%d" % i + FILL[:size] for i, size in enumerate(sizes)]
    queue = SendQueue()
    for payload in payloads:
        queue.put(payload)
    frames = take_all_frames(queue)
    assert queue.queued_bytes == 0 and max(map(len, frames), default=0) <= MAX_FRAME_BYTES + 9
    wire = b""
    for i, encoded_frame in enumerate(frames):
        wire += encoded_frame + PING * between[i % len(between)]
    cuts = sorted(data.draw(st.lists(st.integers(0, len(wire)), max_size=5)))
    decoder, assembler, found = FrameDecoder(), ChunkAssembler(), []
    for start, end in zip([0, *cuts], [*cuts, len(wire)], strict=True):
        for encoded_frame in decoder.feed(wire[start:end]):
            if (completed := assembler.add(encoded_frame)) is not None and completed != encode(Ping()):
                found.append(completed)
            assert assembler.received_bytes <= sum(map(len, payloads))
    assert found == payloads and not assembler.incomplete


@given(st.integers(CHUNK_BYTES + 1, 6 * CHUNK_BYTES), st.data())
def test_lost_duplicate_and_swapped_chunks_are_rejected_and_buffers_cleared(size, data) -> None:
    queue = SendQueue()
    queue.put(b"{" * size)
    queue.put(b"[" * size)
    chunks = [
        encoded_frame for data_ in take_all_frames(queue) for encoded_frame in FrameDecoder().feed(data_)
    ]
    at = data.draw(st.integers(0, len(chunks) - 2))
    corrupt: Callable[[list[bytes]], list[bytes]] = data.draw(
        st.sampled_from(
            [
                lambda p: p[:at] + p[at + 1 :],
                lambda p: p[: at + 1] + p[at:],
                lambda p: [*p[:at], p[at + 1], p[at], *p[at + 2 :]],
            ]
        )
    )
    assembler, completed = ChunkAssembler(), []
    with pytest.raises(FrameError, match="unexpected chunk at"):
        for chunk in corrupt(chunks):
            if (found := assembler.add(chunk)) is not None:
                completed.append(found)
    assert not assembler.incomplete and assembler.received_bytes == 0
    assert all(found in (b"{" * size, b"[" * size) for found in completed)  # never a mix of two payloads


@pytest.mark.parametrize(
    "chunk",
    [
        b"+",
        b"+0/9",
        b"+0/9:",
        b"+0:x",
        b"+1/9:x",
        b"+0/1:xx",
        b"+00/9:x",
        b"+0/09:x",
        b"+-1/9:x",
        b"+0/x:x",
        b"+0/0:",
        b"+0/1001:x",
        b"+0/99999999999999999999:x",
        b"+/9:x",
        b"+0/:x",
        b"+ 0/9:x",
    ],
)
def test_invalid_chunk_headers_are_rejected(chunk: bytes) -> None:
    assembler = ChunkAssembler(1000)
    with pytest.raises(FrameError):
        assembler.add(chunk)
    assert not assembler.incomplete


def test_an_announced_length_allocates_no_memory_before_its_bytes_arrive() -> None:
    import tracemalloc

    tracemalloc.start()
    assembler = ChunkAssembler()
    assert assembler.add(b"+0/80000000:x") is None
    assert tracemalloc.get_traced_memory()[1] < 100_000
    tracemalloc.stop()


def test_a_payload_queued_on_many_connections_is_stored_once() -> None:
    import tracemalloc

    payload = b"{" + b"x" * 5_000_000
    tracemalloc.start()
    for queue in [SendQueue() for _ in range(20)]:
        queue.put(payload)
        queue.next_frame()
    assert tracemalloc.get_traced_memory()[1] < 1_000_000
    tracemalloc.stop()


# guards against: a peer that reads slowly made its sender hold every configuration since
def test_a_newer_configuration_replaces_those_that_have_not_begun_to_be_sent() -> None:
    queue = SendQueue()
    queue.put(b"a" * 200_000, True)
    begun = queue.next_frame()
    queue.put(b"write" * 40_000)
    for letter in (b"b", b"c"):
        queue.put(letter * 200_000, True)
        assert queue.queued_bytes == 600_000 - 65_536
    frames = [begun, *iter(queue.next_frame, None)]
    content = b"".join(frame for frame in frames if frame is not None)
    assert content.count(b"a") == content.count(b"c") == 200_000 and b"bb" not in content
    assert content.index(b"write") < content.index(b"cc") and queue.queued_bytes == 0


# ---- connections, on a simulated transport


class FakeTransport(asyncio.Transport):
    """A transport whose peer reads `credit` more bytes; `read_bytes` is what it has read."""

    def __init__(self, connection: PeerConnection, credit: float = 1e12) -> None:
        super().__init__()
        self.connection, self.credit, self.read_bytes, self._buffer, self.aborted = (
            connection,
            credit,
            bytearray(),
            bytearray(),
            False,
        )
        self._high, self._paused = 1 << 16, False

    def get_extra_info(self, name: str, default: object = None) -> object:
        return ("10.9.9.9", 7) if name == "peername" else default

    def is_closing(self) -> bool:
        return self.aborted

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high, self._low = high or 0, low or 0

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def write(self, data: bytes) -> None:  # type: ignore[override]
        assert not self.aborted, "write to a closed transport"
        self._buffer += data
        self.read(0)
        if len(self._buffer) > self._high and not self._paused:
            self._paused = True
            self.connection.pause_writing()

    def read(self, more: int) -> None:
        """Lets the peer read this many more bytes."""
        self.credit += more
        count = int(min(self.credit, len(self._buffer)))
        self.credit -= count
        self.read_bytes += self._buffer[:count]
        del self._buffer[:count]
        if self._paused and len(self._buffer) <= self._low:
            self._paused = False
            self.connection.resume_writing()

    def abort(self) -> None:
        self.aborted = True
        self._buffer.clear()


class Fixture:
    """A connection on a FakeTransport, with a simulated clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, credit: float = 1e12, hello: bool = True) -> None:
        self.now, self.timers = 100.0, []
        monkeypatch.setattr(connection, "monotonic_time", lambda: self.now)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(
            loop, "call_later", lambda s, f: self.timers.append(f) or asyncio.TimerHandle(0, f, (), loop)
        )
        self.received: list[Message] = []
        self.ready_count = self.closed_count = 0
        self.connection = PeerConnection(
            LOCAL_HELLO, lambda _, message: self.received.append(message), self._on_ready, self._on_closed
        )
        self.transport = FakeTransport(self.connection, credit)
        self.connection.connection_made(self.transport)
        if hello:
            self.connection.data_received(encode_frame(encode(PEER_HELLO)))

    def _on_ready(self, _: PeerConnection) -> None:
        self.ready_count += 1

    def _on_closed(self, _: PeerConnection) -> None:
        self.closed_count += 1

    def fire_timers(self, after: float = PING_INTERVAL_S) -> None:
        self.now += after
        due, self.timers = self.timers, []
        for callback in due:
            callback()

    def sent(self) -> list[Message]:
        assembler = ChunkAssembler()
        return [
            decode(payload)
            for encoded_frame in FrameDecoder().feed(bytes(self.transport.read_bytes))
            if (payload := assembler.add(encoded_frame)) is not None
        ]


def run_in_loop(test: Callable[..., object]) -> Callable[..., None]:
    async def run(*given: object) -> None:
        test(*given)

    import functools
    import inspect

    wrapped = functools.wraps(test)(lambda **given: asyncio.run(run(*given.values())))
    wrapped.__signature__ = inspect.signature(test)  # type: ignore[attr-defined]
    return wrapped


STATUS = Status(5, Record(4, "a", ["b"]), 9, True, False, True, ["a"])


@run_in_loop
def test_only_expedited_messages_are_sent_ahead_of_a_long_one(monkeypatch: pytest.MonkeyPatch) -> None:
    fixture = Fixture(monkeypatch, credit=100_000)
    long = make_config(11_000_000)
    assert fixture.connection.send(long)
    order = [
        Write(1, 2, Raw(b"{}")),
        STATUS,
        Accept(Record(4, "a", ["b"])),
        Probe(4, 1),
        ProbeAck(4, 1, True),
        Fresh(True, 9),
    ]
    for message in order:
        assert fixture.connection.send(message)
    fixture.transport.read(
        2 * MAX_WRITE_BUFFER_BYTES + 2 * CHUNK_BYTES
    )  # at most this much of the long message precedes them
    early = fixture.sent()[1:]
    assert early == [m for m in order if isinstance(m, EXPEDITED_MESSAGES)]
    while not fixture.transport.credit:
        fixture.transport.read(500_000)
    assert fixture.sent()[1:] == [*early, long, *(m for m in order if not isinstance(m, EXPEDITED_MESSAGES))]


@run_in_loop
def test_pings_continue_during_long_messages_and_any_byte_counts_as_activity(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture(monkeypatch, credit=0)
    fixture.connection.send(make_config(11_000_000))
    body = encode_frame(b"+0/200:" + b"x" * 100)
    for at in range(40):  # 12 s in which the peer reads 3 kB per interval and sends no complete message
        fixture.transport.read(3000)
        fixture.connection.data_received(body[at : at + 1])
        fixture.fire_timers()
        assert fixture.connection.open
    fixture.transport.read(MAX_WRITE_BUFFER_BYTES + CHUNK_BYTES)
    assert fixture.sent().count(Ping()) > 30
    for _ in range(5):
        fixture.fire_timers()
    assert not fixture.connection.open and fixture.closed_count == 1


@run_in_loop
def test_a_slow_peer_gets_chunks_as_it_reads_and_is_disconnected_above_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture(monkeypatch, credit=0)
    payload = encode(make_config(11_000_000))
    sent = 0
    while fixture.connection.send_payload(payload):
        sent += 1
        assert fixture.transport.get_write_buffer_size() <= MAX_WRITE_BUFFER_BYTES + MAX_FRAME_BYTES + 100
        assert sent < 100, "no limit on unsent bytes"
    assert (
        sent == MAX_UNSENT_BYTES // len(payload) and fixture.transport.aborted and fixture.closed_count == 1
    )
    assert not fixture.connection.send(Ping()) and not fixture.connection._send_queue.queued_bytes


@run_in_loop
def test_an_incomplete_message_is_discarded_when_its_connection_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture(monkeypatch)
    fixture.connection.data_received(encode_frame(b"+0/70000:" + b"x" * 60_000))
    assert fixture.connection._assembler.received_bytes == 60_000
    fixture.connection.connection_lost(None)
    assert (
        not fixture.connection._assembler.incomplete and fixture.received == [] and fixture.closed_count == 1
    )


@pytest.mark.parametrize(
    ("wire", "why"),
    [
        (b"x" * 20, "frame without a length"),
        (b"999999999:", "frame without a length"),
        (b"65600:", "65600 bytes exceeds the limit of 65568"),
        (b"01:", "is not a frame length"),
        (b"1000000:", "1000000 bytes exceeds the limit of 65568"),
        (encode_frame(b"+5/9:x"), "chunk at 5 of 9 bytes, with 0 of 0"),
        (encode_frame(b"+0/99999999:x"), "message of 99999999 bytes exceeds"),
        (encode_frame(b"garbage"), "JSON"),
        (encode_frame(encode(PEER_HELLO)), "second Hello, from you, incarnation 2"),
        (
            encode_frame(encode(Hello("r", "you", "10.0.0.2", "a", 3))),
            "second Hello, from you, incarnation 3",
        ),
    ],
)
def test_invalid_input_closes_the_connection_and_the_log_names_the_peer(
    monkeypatch: pytest.MonkeyPatch, wire: bytes, why: str
) -> None:
    async def run() -> None:
        fixture = Fixture(monkeypatch)
        with logbook.TestHandler() as handler:
            fixture.connection.data_received(wire + PING)
        [record] = handler.records
        assert "Connection aborted: you" in record.message and why in record.message
        assert (
            fixture.transport.aborted
            and fixture.closed_count == 1
            and fixture.received == []
            and fixture.ready_count == 1
        )

    asyncio.run(run())


@pytest.mark.parametrize(
    "wire",
    [
        PING + encode_frame(encode(Fresh(True, 1))),
        encode_frame(b"+0/5000:" + b"x" * 100),
        b"4097:",
        encode_frame(b"{}"),
    ],
)
def test_an_unidentified_peer_is_disconnected_and_logged_by_address(
    monkeypatch: pytest.MonkeyPatch, wire: bytes
) -> None:
    async def run() -> None:
        fixture = Fixture(monkeypatch, hello=False)
        with logbook.TestHandler() as handler:
            fixture.connection.data_received(wire)
        [record] = handler.records
        assert (
            "10.9.9.9" in record.message
            and not fixture.connection.open
            and fixture.received == []
            and fixture.ready_count == 0
        )
        assert MAX_HELLO_BYTES == 4096

    asyncio.run(run())


# ---- suspended processes


@run_in_loop
def test_after_a_short_suspension_waiting_input_is_read_before_the_timeout_applies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture(monkeypatch)
    fixture.fire_timers(SILENCE_TIMEOUT_S + 0.3)  # the timer fires before the input is read
    assert fixture.connection.open
    fixture.connection.data_received(encode_frame(encode(Fresh(True, 7))))
    assert fixture.received == [Fresh(True, 7)]


@run_in_loop
def test_after_a_long_suspension_waiting_input_is_discarded(monkeypatch: pytest.MonkeyPatch) -> None:
    for timer_first in (True, False):
        fixture = Fixture(monkeypatch)
        if timer_first:
            fixture.fire_timers(20.0)
        else:
            fixture.now += 20.0
        with logbook.TestHandler() as handler:
            fixture.connection.data_received(encode_frame(encode(Fresh(True, 7))))
        assert fixture.received == [] and not fixture.connection.open and fixture.closed_count == 1
        assert "you has closed it while this process was suspended for 20.0 s" in handler.records[0].message


@run_in_loop
def test_silence_closes_the_connection_after_the_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    fixture, started_at = Fixture(monkeypatch), 100.0
    while fixture.connection.open:
        fixture.fire_timers()
    assert SILENCE_TIMEOUT_S < fixture.now - started_at <= SILENCE_TIMEOUT_S + PING_INTERVAL_S < STALE_INPUT_S


# ---- connectors, on loopback sockets


def test_a_late_close_notification_does_not_leave_two_connections_open() -> None:
    async def run() -> None:
        accepted: list[PeerConnection] = []
        listener = Listener(
            lambda: (
                accepted.append(PeerConnection(PEER_HELLO, lambda *_: None, lambda _: None, lambda _: None))
                or accepted[-1]
            )
        )
        address = await listener.listen(("127.0.0.1", 0))
        ready = asyncio.Event()
        connector = Connector(address, LOCAL_HELLO, lambda *_: None, lambda _: ready.set())
        await asyncio.wait_for(ready.wait(), 5)
        previous = PeerConnection(
            LOCAL_HELLO, lambda *_: None, lambda _: None, connector._handle_closed
        )  # of an earlier attempt
        connector._handle_closed(previous)
        current = connector.connection
        for _ in range(20):
            await asyncio.sleep(0)
        assert connector.connection is current and connector.is_ready and len(accepted) == 1
        connector.close()
        listener.close()

    asyncio.run(run())


@pytest.mark.parametrize("error", [TimeoutError, OSError])
def test_a_connection_established_as_its_attempt_ends_is_closed(
    monkeypatch: pytest.MonkeyPatch, error: type[OSError]
) -> None:
    async def run() -> None:
        loop, created = asyncio.get_running_loop(), []

        async def connect(create: Callable[[], PeerConnection], *_: object) -> None:
            created.append(create())
            created[-1].connection_made(FakeTransport(created[-1]))
            raise error

        monkeypatch.setattr(loop, "create_connection", connect)
        connector = Connector(("10.0.0.9", 1), LOCAL_HELLO, lambda *_: None, lambda _: None)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(created) == 1 and not created[0].open and connector.connection is None
        connector.close()

    asyncio.run(run())


def test_an_aborted_connection_sends_nothing_when_it_is_established_afterwards() -> None:
    async def run() -> None:
        connection = PeerConnection(LOCAL_HELLO, lambda *_: None, lambda _: None, lambda _: None)
        connection.abort()
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        assert transport.aborted and not transport.read_bytes and not connection.open

    asyncio.run(run())


def test_an_11_megabyte_message_and_expedited_messages_over_a_socket() -> None:
    async def run() -> None:
        received: asyncio.Queue[Message] = asyncio.Queue()
        listener = Listener(
            lambda: PeerConnection(
                PEER_HELLO, lambda _, m: received.put_nowait(m), lambda _: None, lambda _: None
            )
        )
        address = await listener.listen(("127.0.0.1", 0))
        ready = asyncio.Event()
        connector = Connector(address, LOCAL_HELLO, lambda *_: None, lambda _: ready.set())
        await asyncio.wait_for(ready.wait(), 5)
        long = make_config(11_000_000, 3)
        assert (
            connector.send(long)
            and connector.send(Fresh(True, 3))
            and connector.send(Accept(Record(1, "a", ["b"])))
        )
        found = [await asyncio.wait_for(received.get(), 10) for _ in range(3)]
        assert found == [Fresh(True, 3), long, Accept(Record(1, "a", ["b"]))]
        connector.close()
        listener.close()

    asyncio.run(run())
