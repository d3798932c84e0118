"""Links: long messages in parts, what passes them, garbage, frozen processes, links that come and go."""

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

ME, YOU = Hello("r", "me", "10.0.0.1", "a", 1), Hello("r", "you", "10.0.0.2", "a", 2)
PING = encode_frame(encode(Ping()))


def config(size: int, version: int = 1) -> Config:
    return Config(version, Raw(b'"' + b"x" * (size - 2) + b'"'))


# ---- parts, without sockets


def drained(outbox: SendQueue) -> list[bytes]:
    return list(iter(outbox.next_frame, None))  # type: ignore[arg-type]


SIZES = st.one_of(
    st.integers(1, 60),
    st.integers(CHUNK_BYTES - 2, CHUNK_BYTES + 2),
    st.integers(2 * CHUNK_BYTES - 2, 2 * CHUNK_BYTES + 2),
    st.integers(1, 5 * CHUNK_BYTES),
)


FILL = b"".join(b"%d," % i for i in range(70_000))  # no two places of it are alike


@given(st.lists(SIZES, max_size=6), st.lists(st.integers(0, 2), min_size=1, max_size=9), st.data())
def test_payloads_come_whole_and_in_order_with_others_between_their_parts(sizes, between, data) -> None:
    payloads = [b"{%d" % i + FILL[:size] for i, size in enumerate(sizes)]
    outbox = SendQueue()
    for payload in payloads:
        outbox.put(payload)
    frames = drained(outbox)
    assert outbox.queued_bytes == 0 and max(map(len, frames), default=0) <= MAX_FRAME_BYTES + 9
    wire = b""
    for i, framed in enumerate(frames):
        wire += framed + PING * between[i % len(between)]
    cuts = sorted(data.draw(st.lists(st.integers(0, len(wire)), max_size=5)))
    deframer, assembler, found = FrameDecoder(), ChunkAssembler(), []
    for start, end in zip([0, *cuts], [*cuts, len(wire)], strict=True):
        for framed in deframer.feed(wire[start:end]):
            if (whole := assembler.add(framed)) is not None and whole != encode(Ping()):
                found.append(whole)
            assert assembler.received_bytes <= sum(map(len, payloads))
    assert found == payloads and not assembler.incomplete


@given(st.integers(CHUNK_BYTES + 1, 6 * CHUNK_BYTES), st.data())
def test_parts_that_are_lost_doubled_or_swapped_are_refused_and_let_go(size, data) -> None:
    outbox = SendQueue()
    outbox.put(b"{" * size)
    outbox.put(b"[" * size)
    parts = [framed for data_ in drained(outbox) for framed in FrameDecoder().feed(data_)]
    at = data.draw(st.integers(0, len(parts) - 2))
    harm: Callable[[list[bytes]], list[bytes]] = data.draw(
        st.sampled_from(
            [
                lambda p: p[:at] + p[at + 1 :],
                lambda p: p[: at + 1] + p[at:],
                lambda p: [*p[:at], p[at + 1], p[at], *p[at + 2 :]],
            ]
        )
    )
    assembler, whole = ChunkAssembler(), []
    with pytest.raises(FrameError, match="unexpected chunk at"):
        for part in harm(parts):
            if (found := assembler.add(part)) is not None:
                whole.append(found)
    assert not assembler.incomplete and assembler.received_bytes == 0
    assert all(found in (b"{" * size, b"[" * size) for found in whole)  # never a mixture


@pytest.mark.parametrize(
    "part",
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
def test_what_is_no_part_is_refused(part: bytes) -> None:
    assembler = ChunkAssembler(1000)
    with pytest.raises(FrameError):
        assembler.add(part)
    assert not assembler.incomplete


def test_an_announced_length_takes_no_memory_before_its_bytes_come() -> None:
    import tracemalloc

    tracemalloc.start()
    assembler = ChunkAssembler()
    assert assembler.add(b"+0/80000000:x") is None
    assert tracemalloc.get_traced_memory()[1] < 100_000
    tracemalloc.stop()


def test_a_payload_that_waits_on_many_links_is_kept_once() -> None:
    import tracemalloc

    payload = b"{" + b"x" * 5_000_000
    tracemalloc.start()
    for outbox in [SendQueue() for _ in range(20)]:
        outbox.put(payload)
        outbox.next_frame()
    assert tracemalloc.get_traced_memory()[1] < 1_000_000
    tracemalloc.stop()


# ---- links, with a connection that takes what the test lets it


class Pipe(asyncio.Transport):
    """A connection whose peer reads `room` bytes more; what it has read stands in `out`."""

    def __init__(self, link: PeerConnection, room: float = 1e12) -> None:
        super().__init__()
        self.link, self.room, self.out, self._held, self.aborted = link, room, bytearray(), bytearray(), False
        self._high, self._paused = 1 << 16, False

    def get_extra_info(self, name: str, default: object = None) -> object:
        return ("10.9.9.9", 7) if name == "peername" else default

    def is_closing(self) -> bool:
        return self.aborted

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high, self._low = high or 0, low or 0

    def get_write_buffer_size(self) -> int:
        return len(self._held)

    def write(self, data: bytes) -> None:  # type: ignore[override]
        assert not self.aborted, "written to a connection that is gone"
        self._held += data
        self.read(0)
        if len(self._held) > self._high and not self._paused:
            self._paused = True
            self.link.pause_writing()

    def read(self, more: int) -> None:
        """The peer reads so many bytes more."""
        self.room += more
        count = int(min(self.room, len(self._held)))
        self.room -= count
        self.out += self._held[:count]
        del self._held[:count]
        if self._paused and len(self._held) <= self._low:
            self._paused = False
            self.link.resume_writing()

    def abort(self) -> None:
        self.aborted = True
        self._held.clear()


class World:
    """A link on a Pipe, with its clock in the test's hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, room: float = 1e12, hello: bool = True) -> None:
        self.now, self.timers = 100.0, []
        monkeypatch.setattr(connection, "monotonic_time", lambda: self.now)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(
            loop, "call_later", lambda s, f: self.timers.append(f) or asyncio.TimerHandle(0, f, (), loop)
        )
        self.heard: list[Message] = []
        self.ups = self.downs = 0
        self.link = PeerConnection(ME, lambda _, message: self.heard.append(message), self._up, self._down)
        self.pipe = Pipe(self.link, room)
        self.link.connection_made(self.pipe)
        if hello:
            self.link.data_received(encode_frame(encode(YOU)))

    def _up(self, _: PeerConnection) -> None:
        self.ups += 1

    def _down(self, _: PeerConnection) -> None:
        self.downs += 1

    def beat(self, after: float = PING_INTERVAL_S) -> None:
        self.now += after
        due, self.timers = self.timers, []
        for each in due:
            each()

    def said(self) -> list[Message]:
        assembler = ChunkAssembler()
        return [
            decode(whole)
            for framed in FrameDecoder().feed(bytes(self.pipe.out))
            if (whole := assembler.add(framed)) is not None
        ]


def in_loop(test: Callable[..., object]) -> Callable[..., None]:
    async def run(*given: object) -> None:
        test(*given)

    import functools
    import inspect

    wrapped = functools.wraps(test)(lambda **given: asyncio.run(run(*given.values())))
    wrapped.__signature__ = inspect.signature(test)  # type: ignore[attr-defined]
    return wrapped


STATUS = Status(5, Record(4, "a", ["b"]), 9, True, False, True, ["a"])


@in_loop
def test_small_messages_pass_a_long_one_and_nothing_else_does(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(monkeypatch, room=100_000)
    long = config(11_000_000)
    assert world.link.send(long)
    order = [
        Write(1, 2, Raw(b"{}")),
        STATUS,
        Accept(Record(4, "a", ["b"])),
        Probe(4, 1),
        ProbeAck(4, 1, True),
        Fresh(True, 9),
    ]
    for message in order:
        assert world.link.send(message)
    world.pipe.read(2 * MAX_WRITE_BUFFER_BYTES + 2 * CHUNK_BYTES)  # no more of the long one lies before them
    early = world.said()[1:]
    assert early == [m for m in order if isinstance(m, EXPEDITED_MESSAGES)]
    while not world.pipe.room:
        world.pipe.read(500_000)
    assert world.said()[1:] == [*early, long, *(m for m in order if not isinstance(m, EXPEDITED_MESSAGES))]


@in_loop
def test_signs_of_life_go_on_and_a_link_that_brings_bytes_is_not_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(monkeypatch, room=0)
    world.link.send(config(11_000_000))
    body = encode_frame(b"+0/200:" + b"x" * 100)
    for at in range(40):  # 12 s in which the peer takes 3 KB a beat and says nothing whole
        world.pipe.read(3000)
        world.link.data_received(body[at : at + 1])
        world.beat()
        assert world.link.open
    world.pipe.read(MAX_WRITE_BUFFER_BYTES + CHUNK_BYTES)
    assert world.said().count(Ping()) > 30
    for _ in range(5):
        world.beat()
    assert not world.link.open and world.downs == 1


@in_loop
def test_a_slow_peer_is_given_parts_as_it_takes_them_and_cut_past_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(monkeypatch, room=0)
    payload = encode(config(11_000_000))
    sent = 0
    while world.link.send_payload(payload):
        sent += 1
        assert world.pipe.get_write_buffer_size() <= MAX_WRITE_BUFFER_BYTES + MAX_FRAME_BYTES + 100
        assert sent < 100, "no bound"
    assert sent == MAX_UNSENT_BYTES // len(payload) and world.pipe.aborted and world.downs == 1
    assert not world.link.send(Ping()) and not world.link._send_queue.queued_bytes


@in_loop
def test_half_a_message_goes_with_its_link(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(monkeypatch)
    world.link.data_received(encode_frame(b"+0/70000:" + b"x" * 60_000))
    assert world.link._assembler.received_bytes == 60_000
    world.link.connection_lost(None)
    assert not world.link._assembler.incomplete and world.heard == [] and world.downs == 1


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
        (encode_frame(encode(YOU)), "second Hello, from you, incarnation 2"),
        (
            encode_frame(encode(Hello("r", "you", "10.0.0.2", "a", 3))),
            "second Hello, from you, incarnation 3",
        ),
    ],
)
def test_garbage_ends_the_link_with_a_line_that_names_who(
    monkeypatch: pytest.MonkeyPatch, wire: bytes, why: str
) -> None:
    async def run() -> None:
        world = World(monkeypatch)
        with logbook.TestHandler() as handler:
            world.link.data_received(wire + PING)
        [record] = handler.records
        assert "Connection aborted: you" in record.message and why in record.message
        assert world.pipe.aborted and world.downs == 1 and world.heard == [] and world.ups == 1

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
def test_a_stranger_is_cut_and_named_by_address(monkeypatch: pytest.MonkeyPatch, wire: bytes) -> None:
    async def run() -> None:
        world = World(monkeypatch, hello=False)
        with logbook.TestHandler() as handler:
            world.link.data_received(wire)
        [record] = handler.records
        assert "10.9.9.9" in record.message and not world.link.open and world.heard == [] and world.ups == 0
        assert MAX_HELLO_BYTES == 4096

    asyncio.run(run())


# ---- frozen processes


@in_loop
def test_a_process_that_stood_short_reads_what_waits_before_it_judges(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(monkeypatch)
    world.beat(SILENCE_TIMEOUT_S + 0.3)  # its timer fires first
    assert world.link.open
    world.link.data_received(encode_frame(encode(Fresh(True, 7))))
    assert world.heard == [Fresh(True, 7)]


@in_loop
def test_what_waited_while_a_process_stood_long_is_never_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    for timer_first in (True, False):
        world = World(monkeypatch)
        if timer_first:
            world.beat(20.0)
        else:
            world.now += 20.0
        with logbook.TestHandler() as handler:
            world.link.data_received(encode_frame(encode(Fresh(True, 7))))
        assert world.heard == [] and not world.link.open and world.downs == 1
        assert "you has closed it while this process was suspended for 20.0 s" in handler.records[0].message


@in_loop
def test_silence_is_noticed_as_soon_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    world, began = World(monkeypatch), 100.0
    while world.link.open:
        world.beat()
    assert SILENCE_TIMEOUT_S < world.now - began <= SILENCE_TIMEOUT_S + PING_INTERVAL_S < STALE_INPUT_S


# ---- dialers, over sockets of this machine


def test_an_end_that_is_told_late_does_not_leave_two_links_alive() -> None:
    async def run() -> None:
        taken: list[PeerConnection] = []
        listener = Listener(
            lambda: (
                taken.append(PeerConnection(YOU, lambda *_: None, lambda _: None, lambda _: None))
                or taken[-1]
            )
        )
        address = await listener.listen(("127.0.0.1", 0))
        up = asyncio.Event()
        dialer = Connector(address, ME, lambda *_: None, lambda _: up.set())
        await asyncio.wait_for(up.wait(), 5)
        before = PeerConnection(
            ME, lambda *_: None, lambda _: None, dialer._handle_closed
        )  # of an earlier try
        dialer._handle_closed(before)
        current = dialer.connection
        for _ in range(20):
            await asyncio.sleep(0)
        assert dialer.connection is current and dialer.is_ready and len(taken) == 1
        dialer.close()
        listener.close()

    asyncio.run(run())


@pytest.mark.parametrize("error", [TimeoutError, OSError])
def test_a_connection_that_comes_up_as_its_try_ends_is_cut(
    monkeypatch: pytest.MonkeyPatch, error: type[OSError]
) -> None:
    async def run() -> None:
        loop, made = asyncio.get_running_loop(), []

        async def connect(make: Callable[[], PeerConnection], *_: object) -> None:
            made.append(make())
            made[-1].connection_made(Pipe(made[-1]))
            raise error

        monkeypatch.setattr(loop, "create_connection", connect)
        dialer = Connector(("10.0.0.9", 1), ME, lambda *_: None, lambda _: None)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(made) == 1 and not made[0].open and dialer.connection is None
        dialer.close()

    asyncio.run(run())


def test_a_closed_dialer_says_nothing_on_a_connection_that_comes_up_afterwards() -> None:
    async def run() -> None:
        link = PeerConnection(ME, lambda *_: None, lambda _: None, lambda _: None)
        link.abort()
        pipe = Pipe(link)
        link.connection_made(pipe)
        assert pipe.aborted and not pipe.out and not link.open

    asyncio.run(run())


def test_eleven_megabytes_and_signs_of_life_cross_a_true_connection() -> None:
    async def run() -> None:
        heard: asyncio.Queue[Message] = asyncio.Queue()
        listener = Listener(
            lambda: PeerConnection(YOU, lambda _, m: heard.put_nowait(m), lambda _: None, lambda _: None)
        )
        address = await listener.listen(("127.0.0.1", 0))
        up = asyncio.Event()
        dialer = Connector(address, ME, lambda *_: None, lambda _: up.set())
        await asyncio.wait_for(up.wait(), 5)
        long = config(11_000_000, 3)
        assert (
            dialer.send(long) and dialer.send(Fresh(True, 3)) and dialer.send(Accept(Record(1, "a", ["b"])))
        )
        found = [await asyncio.wait_for(heard.get(), 10) for _ in range(3)]
        assert found == [Fresh(True, 3), long, Accept(Record(1, "a", ["b"]))]
        dialer.close()
        listener.close()

    asyncio.run(run())
