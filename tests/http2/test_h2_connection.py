"""The HTTP/2 state machine against the library h2 in arbitrary order of events, and against invalid peers."""

from __future__ import annotations

from typing import Any

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import (
    DataReceived,
    RequestReceived,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)
from h2.exceptions import ProtocolError
from hpack import Decoder, Encoder
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from troutdock.http2 import frames as f
from troutdock.http2.connection import LOW_WATER_BYTES, MAX_HEADER_BLOCK_BYTES, Connection, Stream
from troutdock.http2.frames import ErrorCode, H2ConnectionError, H2StreamError
from troutdock.http2.abuse_limits import OVERHEAD_FRAME_BURST, RESET_BURST, YOUNG_STREAM_S
from troutdock.http2.headers import MAX_HEADER_LIST_BYTES, Headers, encode, split_pseudo_headers

REQUEST_HEADERS: Headers = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/a/b"),
    (b":authority", b"x"),
    (b"te", b"trailers"),
]
SETTINGS = f.settings({})


class RecordingHandler:
    """A handler that records all callbacks and credits received data."""

    def __init__(self, client: bool, credit: bool = True, **how: Any) -> None:
        self.h2 = Connection(client, self, 0.0, **how)
        self.credit = credit
        self.headers: dict[int, Headers] = {}
        self.trailers: dict[int, Headers] = {}
        self.data: dict[int, bytes] = {}
        self.ended: list[int] = []
        self.resets: dict[int, int] = {}
        self.drained: list[int] = []
        self.goaways: list[tuple[int, int]] = []
        self.pongs = 0

    def on_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        (self.trailers if stream.id in self.headers else self.headers)[stream.id] = headers
        if end:
            self.ended.append(stream.id)

    def on_data(self, stream: Stream, data: bytes, end: bool) -> None:
        self.data[stream.id] = self.data.get(stream.id, b"") + data
        if self.credit:
            self.h2.consumed(stream, len(data))
        if end:
            self.ended.append(stream.id)

    def on_reset(self, stream: Stream, code: int) -> None:
        self.resets[stream.id] = code

    def on_drained(self, stream: Stream) -> None:
        self.drained.append(stream.id)

    def on_settings(self) -> None:
        pass

    def on_goaway(self, last: int, code: int) -> None:
        self.goaways.append((last, code))

    def on_pong(self) -> None:
        self.pongs += 1


class LibraryPeer:
    """A peer based on the library h2, which raises if the code under test violates the protocol."""

    def __init__(self, client: bool) -> None:
        self.h2 = H2Connection(H2Configuration(client_side=client, header_encoding=None))
        self.h2.initiate_connection()
        self.data: dict[int, bytes] = {}
        self.headers: dict[int, Headers] = {}
        self.trailers: dict[int, Headers] = {}
        self.ended: list[int] = []
        self.resets: dict[int, int] = {}
        self.uncredited: dict[int, int] = {}

    def receive(self, data: bytes) -> None:
        for event in self.h2.receive_data(data):
            if isinstance(event, RequestReceived | ResponseReceived):
                self.headers[event.stream_id] = [(bytes(k), bytes(v)) for k, v in event.headers]
            elif isinstance(event, TrailersReceived):
                self.trailers[event.stream_id] = [(bytes(k), bytes(v)) for k, v in event.headers]
            elif isinstance(event, DataReceived):
                self.data[event.stream_id] = self.data.get(event.stream_id, b"") + event.data
                self.uncredited[event.stream_id] = (
                    self.uncredited.get(event.stream_id, 0) + event.flow_controlled_length
                )
            elif isinstance(event, StreamEnded):
                self.ended.append(event.stream_id)
            elif isinstance(event, StreamReset):
                self.resets[event.stream_id] = int(event.error_code)

    def credit(self, stream: int) -> None:
        if size := self.uncredited.pop(stream, 0):
            self.h2.acknowledge_received_data(size, stream)


def transfer(ours: RecordingHandler, peer: LibraryPeer, cuts: list[int]) -> None:
    """Transfers all pending output in both directions, towards the code under test in fragments."""
    for _ in range(50):
        a, b = peer.h2.data_to_send(), ours.h2.data_to_send()
        if not a and not b:
            return
        while a:
            size = cuts.pop() if cuts else len(a)
            ours.h2.receive(a[:size], 0.0)
            a = a[size:]
        if b:
            peer.receive(b)


def send_body(
    ours: RecordingHandler, peer: LibraryPeer, cuts: list[int], id: int, body: bytes, end: bool
) -> None:
    """Sends a body from the library, as the windows allow."""
    for _ in range(200):
        if body and (room := min(peer.h2.local_flow_control_window(id), 16_384)):
            peer.h2.send_data(id, body[:room], end_stream=end and len(body) <= room)
            body = body[room:]
        transfer(ours, peer, cuts)
        if not body:
            return


BODIES = st.lists(st.integers(0, 120_000), min_size=1, max_size=5)


@examples(max_examples=60, deadline=None)
@given(BODIES, BODIES, st.lists(st.integers(1, 40_000), max_size=30), st.booleans())
def test_bodies_and_headers_are_transferred_completely_within_all_windows(
    up: list[int], down: list[int], cuts: list[int], ours_is_client: bool
) -> None:
    ours, peer = RecordingHandler(ours_is_client), LibraryPeer(not ours_is_client)
    transfer(ours, peer, cuts)
    sent: dict[int, bytes] = {}
    for n, size in enumerate(up):  # requests
        body = bytes((n,)) * size
        if ours_is_client:
            stream = ours.h2.open_stream(None, 0.0)
            sent[stream.id] = body
            ours.h2.send_headers(stream, REQUEST_HEADERS, not body)
            if body:
                ours.h2.send_data(stream, body, True)
        else:
            id = peer.h2.get_next_available_stream_id()
            peer.h2.send_headers(id, REQUEST_HEADERS, end_stream=not body)
            sent[id] = body
            send_body(ours, peer, cuts, id, body, True)
    for _ in range(200):
        transfer(ours, peer, cuts)
        for id in sent:
            peer.credit(id)
        if all(id in (peer if ours_is_client else ours).ended for id in sent):
            break
    receiver: Any = peer if ours_is_client else ours
    assert {id: receiver.data.get(id, b"") for id in sent} == sent
    assert all(receiver.headers[id] == REQUEST_HEADERS for id in sent)
    answers = {id: bytes((n + 100,)) * size for n, (id, size) in enumerate(zip(sent, down, strict=False))}
    for id, body in answers.items():
        if ours_is_client:
            peer.h2.send_headers(id, [(b":status", b"200")])
            send_body(ours, peer, cuts, id, body, False)
            peer.h2.send_headers(id, [(b"grpc-status", b"0")], end_stream=True)
        else:
            stream = ours.h2.streams[id]
            ours.h2.send_headers(stream, [(b":status", b"200")])
            ours.h2.send_data(stream, body)
            ours.h2.send_trailers(stream, [(b"grpc-status", b"0")])
    for _ in range(300):
        transfer(ours, peer, cuts)
        for id in answers:
            peer.credit(id)
    got: Any = ours if ours_is_client else peer
    assert {id: got.data.get(id, b"") for id in answers} == answers
    assert all(got.trailers[id] == [(b"grpc-status", b"0")] and id in got.ended for id in answers)
    assert not [id for id in answers if id in ours.h2.streams]  # removed when closed


def test_slow_reader_blocks_only_its_own_stream() -> None:
    ours, peer = RecordingHandler(True, credit=False, stream_window=20_000), LibraryPeer(False)
    streams = [ours.h2.open_stream(None, 0.0) for _ in range(40)]
    for stream in streams:
        ours.h2.send_headers(stream, REQUEST_HEADERS, True)
    transfer(ours, peer, [])
    for stream in streams:  # each sends as much as its window allows
        peer.h2.send_headers(stream.id, [(b":status", b"200")])
        while (room := min(peer.h2.local_flow_control_window(stream.id), 16_384)) > 0:
            peer.h2.send_data(stream.id, b"x" * room)
            transfer(ours, peer, [])
    # 800 KB: not limited by the connection's window
    assert [len(ours.data[s.id]) for s in streams] == [20_000] * 40
    ours.h2.consumed(streams[7], 20_000)
    transfer(ours, peer, [])
    assert [peer.h2.local_flow_control_window(s.id) for s in streams[6:9]] == [0, 20_000, 0]


def test_queued_data_waits_for_windows_and_drain_is_reported() -> None:
    ours, peer = RecordingHandler(True), LibraryPeer(False)
    stream = ours.h2.open_stream(None, 0.0)
    ours.h2.send_headers(stream, REQUEST_HEADERS)
    ours.h2.send_data(stream, b"x" * 150_000)
    transfer(ours, peer, [])
    assert stream.queued_bytes == 150_000 - 65_535 and stream.id not in ours.drained
    for _ in range(4):
        peer.credit(stream.id)
        transfer(ours, peer, [])
    assert stream.queued_bytes == 0 and ours.drained == [stream.id] and LOW_WATER_BYTES < 65_535
    # the window becomes negative
    ours.h2.receive(f.frame(f.SETTINGS, 0, 0, f.SETTING_ENTRY.pack(f.INITIAL_WINDOW_SIZE, 10)), 0.0)
    ours.h2.send_data(stream, b"y" * 20)
    assert stream.send_window < 0 and stream.queued_bytes == 20
    ours.h2.receive(f.frame(f.SETTINGS, 0, 0, f.SETTING_ENTRY.pack(f.INITIAL_WINDOW_SIZE, 1 << 20)), 0.0)
    assert stream.queued_bytes == 0


def new_server(now: float = 0.0) -> RecordingHandler:
    """Returns a server after the SETTINGS exchange, with empty output."""
    handler = RecordingHandler(False, max_streams=4)
    handler.h2.receive(f.PREFACE + SETTINGS, now)
    handler.h2.data_to_send()
    return handler


def headers_frame(id: int, end: bool = False, block: bytes = encode(REQUEST_HEADERS)) -> bytes:
    return f.frame(f.HEADERS, f.END_HEADERS | (f.END_STREAM if end else 0), id, block)


def repeat(one: bytes, times: int) -> bytes:
    return one * times


BOMB = Encoder()
CONNECTION_ERRORS = [
    ("no preface", b"GET / HTTP/1.1\r\n\r\n", ErrorCode.PROTOCOL_ERROR),
    ("invalid preface", f.PREFACE[:20] + b"xxxx", ErrorCode.PROTOCOL_ERROR),
    (
        "HTTP/1.1 after the preface",
        f.PREFACE + b"POST /vat-filing HTTP/1.1\r\nHost: x\r\n\r\n",
        ErrorCode.FRAME_SIZE_ERROR,
    ),
    ("first frame is not SETTINGS", f.PREFACE + f.frame(f.PING, 0, 0, b"x" * 8), ErrorCode.PROTOCOL_ERROR),
    ("frame too long", f.PREFACE + SETTINGS + f.FRAME_HEADER.pack(1, 0, f.DATA, 0, 1), None),
    ("even stream identifier", f.PREFACE + SETTINGS + headers_frame(2), ErrorCode.PROTOCOL_ERROR),
    (
        "reused stream identifier",
        f.PREFACE + SETTINGS + headers_frame(3, True) + headers_frame(1),
        ErrorCode.STREAM_CLOSED,
    ),
    ("HEADERS on stream 0", f.PREFACE + SETTINGS + headers_frame(0), ErrorCode.PROTOCOL_ERROR),
    ("DATA on stream 0", f.PREFACE + SETTINGS + f.frame(f.DATA, 0, 0, b"x"), ErrorCode.PROTOCOL_ERROR),
    ("DATA on an idle stream", f.PREFACE + SETTINGS + f.frame(f.DATA, 0, 9, b"x"), ErrorCode.PROTOCOL_ERROR),
    ("RST_STREAM on an idle stream", f.PREFACE + SETTINGS + f.rst_stream(9, 8), ErrorCode.PROTOCOL_ERROR),
    (
        "WINDOW_UPDATE on an idle stream",
        f.PREFACE + SETTINGS + f.window_update(9, 8),
        ErrorCode.PROTOCOL_ERROR,
    ),
    (
        "WINDOW_UPDATE of 0",
        f.PREFACE + SETTINGS + f.window_update(0, 0),
        ErrorCode.PROTOCOL_ERROR,
    ),
    ("window too large", f.PREFACE + SETTINGS + f.window_update(0, 2**31 - 1), ErrorCode.FLOW_CONTROL_ERROR),
    (
        "initial window too large",
        f.PREFACE + f.settings({f.INITIAL_WINDOW_SIZE: 2**31}),
        ErrorCode.FLOW_CONTROL_ERROR,
    ),
    (
        "maximum frame size too small",
        f.PREFACE + f.settings({f.MAX_FRAME_SIZE: 100}),
        ErrorCode.PROTOCOL_ERROR,
    ),
    (
        "PUSH_PROMISE",
        f.PREFACE + SETTINGS + f.frame(f.PUSH_PROMISE, 0, 1, b"x" * 8),
        ErrorCode.PROTOCOL_ERROR,
    ),
    ("truncated SETTINGS", f.PREFACE + f.frame(f.SETTINGS, 0, 0, b"x" * 5), ErrorCode.FRAME_SIZE_ERROR),
    ("truncated PING", f.PREFACE + SETTINGS + f.frame(f.PING, 0, 0, b"x"), ErrorCode.FRAME_SIZE_ERROR),
    ("truncated GOAWAY", f.PREFACE + SETTINGS + f.frame(f.GOAWAY, 0, 0, b"x"), ErrorCode.PROTOCOL_ERROR),
    (
        "padding longer than the frame",
        f.PREFACE + SETTINGS + f.frame(f.DATA, f.PADDED, 1, b"\x09x"),
        ErrorCode.PROTOCOL_ERROR,
    ),
    (
        "frame within a field block",
        f.PREFACE + SETTINGS + f.frame(f.HEADERS, 0, 1, b"") + f.frame(f.PING, 0, 0, b"x" * 8),
        ErrorCode.PROTOCOL_ERROR,
    ),
    (
        "CONTINUATION without HEADERS",
        f.PREFACE + SETTINGS + f.frame(f.CONTINUATION, 4, 1, b""),
        ErrorCode.PROTOCOL_ERROR,
    ),
    (
        "CONTINUATION flood",
        f.PREFACE + SETTINGS + f.frame(f.HEADERS, 0, 1, b"") + repeat(f.frame(f.CONTINUATION, 0, 1, b""), 20),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "field block too long",
        f.PREFACE
        + SETTINGS
        + f.frame(f.HEADERS, 0, 1, b"x" * 16_000)
        + repeat(f.frame(f.CONTINUATION, 0, 1, b"x" * 16_000), 1 + MAX_HEADER_BLOCK_BYTES // 16_000),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "malformed field block",
        f.PREFACE + SETTINGS + headers_frame(1, block=b"\xff\xff\xff\xff\xff\xff"),
        ErrorCode.COMPRESSION_ERROR,
    ),
    (
        "HPACK bomb",
        f.PREFACE + SETTINGS + headers_frame(1, block=BOMB.encode([(b"a", b"x" * 3000)]) + b"\xbe" * 2000),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "header list too long",
        f.PREFACE
        + SETTINGS
        + headers_frame(
            1, block=encode([(b"x%d" % n, b"y" * 500) for n in range(30)]) + encode([(b"z", b"y" * 1000)])
        ),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "PING flood",
        f.PREFACE + SETTINGS + repeat(f.frame(f.PING, 0, 0, b"x" * 8), int(OVERHEAD_FRAME_BURST) + 2),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "SETTINGS flood",
        f.PREFACE + repeat(SETTINGS, int(OVERHEAD_FRAME_BURST) + 3),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "empty DATA flood",
        f.PREFACE
        + SETTINGS
        + headers_frame(1)
        + repeat(f.frame(f.DATA, 0, 1), int(OVERHEAD_FRAME_BURST) + 2),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "PRIORITY flood",
        f.PREFACE + SETTINGS + repeat(f.frame(f.PRIORITY, 0, 1, b"x" * 5), int(OVERHEAD_FRAME_BURST) + 2),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "rapid reset",
        f.PREFACE
        + SETTINGS
        + b"".join(
            headers_frame(2 * n + 1) + f.rst_stream(2 * n + 1, 8) for n in range(int(RESET_BURST) + 2)
        ),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
    (
        "refused streams flood",
        f.PREFACE
        + SETTINGS
        + b"".join(headers_frame(2 * n + 1) for n in range(int(OVERHEAD_FRAME_BURST) + 20)),
        ErrorCode.ENHANCE_YOUR_CALM,
    ),
]


@pytest.mark.parametrize(
    ("data", "code"), [(d, c) for _, d, c in CONNECTION_ERRORS], ids=[n for n, _, _ in CONNECTION_ERRORS]
)
@pytest.mark.parametrize("cut", [0, 1, 7])
def test_protocol_violations_and_floods_are_connection_errors(
    data: bytes, code: ErrorCode | None, cut: int
) -> None:
    """cut: size of the fragments, 0 for one; the result must not depend on it."""
    handler = RecordingHandler(False, max_streams=4)
    if code is None:
        with pytest.raises(H2ConnectionError):
            handler.h2.receive(data + b"\0" * 70_000, 0.0)
        return
    with pytest.raises(H2ConnectionError) as raised:
        for at in range(0, len(data), cut or len(data)):
            handler.h2.receive(data[at : at + (cut or len(data))], 0.0)
    assert raised.value.code == code
    assert sum(map(len, handler.h2.out)) < 20_000  # the output is bounded for any input


STREAM_ERRORS = [
    ("trailers without END_STREAM", headers_frame(1) + headers_frame(1), ErrorCode.PROTOCOL_ERROR),
    ("DATA after END_STREAM", headers_frame(1, True) + f.frame(f.DATA, 0, 1, b"x"), ErrorCode.STREAM_CLOSED),
    ("HEADERS after END_STREAM", headers_frame(1, True) + headers_frame(1, True), ErrorCode.STREAM_CLOSED),
    (
        "DATA beyond the window",
        headers_frame(1) + repeat(f.frame(f.DATA, 0, 1, b"x" * 16_384), 5),
        ErrorCode.FLOW_CONTROL_ERROR,
    ),
    ("WINDOW_UPDATE of 0", headers_frame(1) + f.window_update(1, 0), ErrorCode.PROTOCOL_ERROR),
    ("window too large", headers_frame(1) + f.window_update(1, 2**31 - 1), ErrorCode.FLOW_CONTROL_ERROR),
    ("too many streams", b"".join(headers_frame(2 * n + 1) for n in range(5)), ErrorCode.REFUSED_STREAM),
]


@pytest.mark.parametrize(
    ("data", "code"), [(d, c) for _, d, c in STREAM_ERRORS], ids=[n for n, _, _ in STREAM_ERRORS]
)
def test_stream_error_resets_only_its_stream(data: bytes, code: ErrorCode) -> None:
    handler = new_server()
    handler.credit = False
    plain = handler.on_headers

    def strict(stream: Stream, headers: Headers, end: bool) -> None:
        if stream.id in handler.headers and not end:
            raise H2StreamError(ErrorCode.PROTOCOL_ERROR, "trailers without END_STREAM")
        plain(stream, headers, end)

    handler.on_headers = strict  # type: ignore[method-assign]
    handler.h2.receive(data, 0.0)
    out = handler.h2.data_to_send()
    at, resets = 0, []
    while at < len(out):
        high, low, kind, _, number = f.FRAME_HEADER.unpack_from(out, at)
        if kind == f.RST_STREAM:
            resets.append((number, f.UINT32.unpack_from(out, at + 9)[0]))
        at += 9 + (high << 8 | low)
    assert resets == [(9 if code is ErrorCode.REFUSED_STREAM else 1, code)]
    handler.h2.receive(headers_frame(11), 0.0)
    assert (11 in handler.headers) == (code is not ErrorCode.REFUSED_STREAM)


def test_resets_of_older_streams_are_not_limited() -> None:
    handler = new_server()
    for n in range(1000):
        handler.h2.receive(headers_frame(2 * n + 1), 10.0 * n)
        handler.h2.receive(f.rst_stream(2 * n + 1, 8), 10.0 * n + 2 * YOUNG_STREAM_S)
    assert len(handler.resets) == 1000 and not handler.h2.streams


@examples(max_examples=150, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.builds(
                f.frame, st.integers(0, 12), st.integers(0, 255), st.integers(0, 12), st.binary(max_size=40)
            ),
            st.builds(headers_frame, st.integers(0, 12), st.booleans()),
            st.builds(f.window_update, st.integers(0, 9), st.integers(0, 2**31 - 1)),
            st.builds(f.rst_stream, st.integers(0, 9), st.integers(0, 20)),
        ),
        max_size=40,
    ),
    st.booleans(),
)
def test_arbitrary_bytes_cause_at_most_a_connection_error(parts: list[bytes], client: bool) -> None:
    handler = RecordingHandler(client, max_streams=4)
    try:
        handler.h2.receive((b"" if client else f.PREFACE) + SETTINGS, 0.0)
        if client:
            for _ in range(3):
                handler.h2.send_headers(handler.h2.open_stream(None, 0.0), REQUEST_HEADERS)
        for part in parts:
            handler.h2.receive(part, 0.0)
            for stream in list(handler.h2.streams.values())[:1]:
                handler.h2.send_data(stream, b"x" * 10)
    except H2ConnectionError:
        pass
    assert len(handler.h2.streams) <= 4 and sum(map(len, handler.h2.out)) < 50_000


def test_streams_are_accepted_after_the_announcement_and_refused_after_goaway() -> None:
    ours, peer = RecordingHandler(False), LibraryPeer(True)
    transfer(ours, peer, [])
    ours.h2.announce_goaway()
    ours.h2.receive(headers_frame(1), 0.0)
    assert 1 in ours.headers
    ours.h2.goaway()
    ours.h2.receive(headers_frame(3), 0.0)
    assert 3 not in ours.headers
    out = ours.h2.data_to_send()
    assert (
        out.endswith(f.rst_stream(3, ErrorCode.REFUSED_STREAM))
        and f.goaway(1, 0) in out
        and f.goaway(2**31 - 1, 0) in out
    )
    ours.h2.receive(f.frame(f.DATA, f.END_STREAM, 3, b"late"), 0.0)  # sent before the peer received the reset
    with pytest.raises(ProtocolError):
        peer.receive(b"\0\0\0\x09\0\0\0\0\1")  # the library checks for violations


# ---- headers


@given(st.lists(st.tuples(st.binary(min_size=1, max_size=300), st.binary(max_size=300)), max_size=10))
def test_encoded_blocks_are_read_by_another_decoder(headers: Headers) -> None:
    assert [
        (bytes(k), bytes(v))
        for k, v in Decoder(max_header_list_size=1 << 20).decode(encode(headers), raw=True)
    ] == headers


PSEUDO = frozenset((b":method", b":path"))


@pytest.mark.parametrize(
    "bad",
    [
        [(b"a", b"b"), (b":method", b"POST")],
        [(b":method", b"POST")] * 2,
        [(b":other", b"x")],
        [(b"Upper", b"x")],
        [(b"", b"x")],
        [(b"connection", b"close")],
        [(b"transfer-encoding", b"chunked")],
        [(b"te", b"gzip")],
        [(b"a b", b"x")],
        [(b"a", b"x\r\ny")],
        [(b"a", b"x\0")],
    ],
)
def test_malformed_headers_are_stream_errors(bad: Headers) -> None:
    with pytest.raises(H2StreamError):
        split_pseudo_headers(bad, PSEUDO)
    assert split_pseudo_headers([(b":path", b"/"), (b"te", b"trailers")], PSEUDO) == (
        {b":path": b"/"},
        [(b"te", b"trailers")],
    )
    assert MAX_HEADER_LIST_BYTES < MAX_HEADER_BLOCK_BYTES
