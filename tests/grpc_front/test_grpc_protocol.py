"""Outcomes, metadata, table of methods, and uploads of the gRPC protocol layer."""

from __future__ import annotations

from base64 import b64decode

import pytest
from build import settings
from hypothesis import given
from hypothesis import strategies as st

from troutdock.admission.interface import Effect, Group, Outcome, Plan, RequestClass
from troutdock.engine import BadRequest
from troutdock.grpc import protocol
from troutdock.grpc.methods import MethodType, MethodTable, MethodRule
from troutdock.grpc.protocol import (
    GrpcResponse,
    Status,
    failure_status,
    format_timeout,
    outcome_of,
    parse_timeout,
    parse_trailers,
)
from troutdock.grpc.request import REPLAY_BYTES, MetadataNames, CallReader, Upload

CLASSES = (
    RequestClass(1500, 6000, 3, Effect.SAFE, name="ledger-read"),
    RequestClass(1000, 4000, 5, Effect.KEYED, Group.ALL, 3000, name="payment-book"),
    RequestClass(3000, 8000, 9, Effect.UNSAFE, name="vat-filing"),
)
SETTINGS = settings(classes=CLASSES, plans=(Plan(1, 8, name="basis"),))
RULES = (
    MethodRule("/l.Ledger/Read", "ledger-read"),
    MethodRule("/l.Ledger/*", "payment-book"),
    MethodRule("*", "vat-filing", MethodType.BIDIRECTIONAL, 2.0),
)


@pytest.mark.parametrize("status", range(18))
def test_outcome_and_client_status_of_each_backend_status(status: int) -> None:
    ended = parse_trailers(
        [(b"grpc-status", b"%d" % status), (b"grpc-message", b"why"), (b"x", b"y")], [], []
    )
    assert ended.status == (status if status <= 16 else Status.UNKNOWN) and ended.trailers == [(b"x", b"y")]
    answers = (0, 3, 5, 6, 7, 9, 10, 11, 12, 16)
    assert outcome_of(ended) is (Outcome.OK if status in answers else Outcome.ERROR)
    not_started = parse_trailers([(b"grpc-status", b"%d" % status), (b"not-started", b"1")], [], [])
    assert (outcome_of(not_started) is Outcome.FULL) == (status in (8, 14))
    result = failure_status(ended)
    # clients do not retry the other statuses by themselves
    assert result[0] not in (0, 8, 14) and result[1] == b"why"
    assert failure_status(None)[0] == Status.INTERNAL


@pytest.mark.parametrize(
    ("trailers", "head", "outcome"),
    [
        ([], [], Outcome.ERROR),
        ([(b"grpc-status", b"")], [], Outcome.ERROR),
        ([(b"grpc-status", b"-1")], [], Outcome.ERROR),
        ([(b"grpc-status", b"0")], [(b"not-started", b"1")], Outcome.OK),
        ([(b"grpc-status", b"14")], [(b"not-started", b"1")], Outcome.FULL),
    ],
)
def test_missing_or_invalid_trailers(
    trailers: protocol.Metadata, head: protocol.Metadata, outcome: Outcome
) -> None:
    assert outcome_of(parse_trailers(trailers, head, [])) is outcome
    assert outcome_of(GrpcResponse(Status.UNIMPLEMENTED, non_grpc=True)) is Outcome.ERROR
    assert outcome_of(GrpcResponse(Status.UNAVAILABLE, non_grpc=True, not_started=True)) is Outcome.FULL


@pytest.mark.parametrize(
    ("head", "trailers", "units"),
    [
        ([], [(b"billed-units", b"2.5")], 2.5),
        ([(b"billed-units", b"3")], [], 3.0),
        ([(b"billed-units", b"3")], [(b"billed-units", b"4")], 4.0),
        ([], [(b"billed-units", b"many")], 0.0),
        ([], [], 0.0),
    ],
)
def test_billed_units_are_read_from_trailers_or_headers(
    head: protocol.Metadata, trailers: protocol.Metadata, units: float
) -> None:
    assert GrpcResponse(0, head=head, trailers=trailers).true_units == units


@pytest.mark.parametrize(
    ("text", "ms"),
    [
        (b"1H", 3.6e6),
        (b"2M", 1.2e5),
        (b"3S", 3000),
        (b"1500m", 1500),
        (b"250u", 0.25),
        (b"100n", 1e-4),
        (b"99999999H", protocol.MAX_TIMEOUT_MS),
    ],
)
def test_parse_timeout(text: bytes, ms: float) -> None:
    assert parse_timeout(text) == pytest.approx(ms)


@pytest.mark.parametrize("text", [b"", b"5", b"S", b"123456789m", b"1.5S", b"-1S", b"1 S", b"1s"])
def test_invalid_timeouts_are_rejected(text: bytes) -> None:
    with pytest.raises(ValueError, match="grpc-timeout"):
        parse_timeout(text)


@given(st.floats(0.001, 1e9))
def test_formatted_timeout_is_never_longer_than_the_callers(ms: float) -> None:
    result = format_timeout(ms)
    assert len(result) <= 9 and 0 < parse_timeout(result) <= max(ms * (1 + 1e-9), 0.001)


def test_rejection_has_the_retry_time_in_each_form() -> None:
    result = dict(protocol.rejection_trailers(1234.5))
    assert (result[b"grpc-status"], result[b"grpc-retry-pushback-ms"], result[b"retry-after"]) == (
        b"8",
        b"1234",
        b"1.234",
    )
    raw = result[b"grpc-status-details-bin"]
    details = b64decode(raw + b"=" * (-len(raw) % 4))
    # google.rpc.Status with an Any of RetryInfo, as encoded by the library protobuf: 1 s and 234,500,000 ns
    assert details == (
        b"\x08\x08\x12!refused; trying again is harmless\x1a5\n(type.googleapis.com/google.rpc.RetryInfo"
        b"\x12\t\n\x07\x08\x01\x10\xa0\xdf\xe8o"
    )
    assert [name for name, _ in protocol.rejection_trailers(0.0)] == [b"grpc-status", b"grpc-message"]


def test_count_messages_and_percent_encode() -> None:
    assert [protocol.count_messages(b) for b in (b"", b"\0\0\0\0\0", b"\0\0\0\0\1x\1\0\0\0\2yz")] == [0, 1, 2]
    for cut in (b"\0\0", b"\0\0\0\0\1", b"\0\0\0\0\1x\0"):
        with pytest.raises(ValueError, match="cut off"):
            protocol.count_messages(cut)
    assert protocol.percent_encode("50% für\n") == b"50%25 f%C3%BCr%0A"


# ---- the operator's table of methods, and metadata


def test_most_specific_rule_applies() -> None:
    methods = MethodTable(RULES, SETTINGS)
    found = [methods.find(p) for p in (b"/l.Ledger/Read", b"/l.Ledger/Book", b"/other/X")]
    assert [m and (m.cls, m.method_type) for m in found] == [
        (0, MethodType.UNARY),
        (1, MethodType.UNARY),
        (2, MethodType.BIDIRECTIONAL),
    ]
    assert MethodTable(RULES[:1], SETTINGS).find(b"/l.Ledger/Book") is None


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (MethodRule("/a/b", "mail"), "no class 'mail'"),
        (MethodRule("a/b", "vat-filing"), "neither"),
        (MethodRule("/a/b/c", "vat-filing"), "neither"),
        (MethodRule("/l.Ledger/Read", "vat-filing"), "twice"),
        (MethodRule("/a/b", "ledger-read", MethodType.CLIENT_STREAMING), "may be repeated"),
        (MethodRule("/a/b", "payment-book", MethodType.BIDIRECTIONAL), "may be repeated"),
        (MethodRule("/a/b", "vat-filing", units=99.0), "beyond the maximum of 4"),
    ],
)
def test_invalid_rules_are_rejected_by_name(row: MethodRule, expected: str) -> None:
    with pytest.raises(ValueError, match=expected):
        MethodTable((RULES[0], row), SETTINGS)


GOOD = {
    b"account": b"0000000000000009",
    b"plan": b"basis",
    b"quota-info": b"units=1.5,spread=2,first=1",
    b"grpc-timeout": b"700m",
    b"request-id": b"r1",
    b"idempotency-key": b"k",
    b"x-other": b"kept",
    b"te": b"trailers",
}


def read(path: bytes = b"/l.Ledger/Read", **changes: bytes | None) -> object:
    result = GOOD | {name.replace("_", "-").encode(): value for name, value in changes.items()}  # type: ignore[operator]
    return CallReader(MethodTable(RULES, SETTINGS), SETTINGS).read(
        path, b"host", [(k, v) for k, v in result.items() if v is not None]
    )


def test_call_is_parsed_and_metadata_forwarded() -> None:
    call = read()
    a = call.arrival  # type: ignore[attr-defined]
    assert (a.customer, a.cls, a.units, a.width, a.first_gateway, a.time_left_ms, a.retry, a.key) == (
        9,
        0,
        1.5,
        2,
        1,
        700.0,
        False,
        0,
    )
    assert call.has_timeout and call.repeatable  # type: ignore[attr-defined]
    result = dict(call.message(600.0).headers())  # type: ignore[attr-defined]
    assert (result[b":path"], result[b":authority"], result[b"grpc-timeout"], result[b"x-other"]) == (
        b"/l.Ledger/Read",
        b"host",
        b"600000u",
        b"kept",
    )
    keyed = read(b"/l.Ledger/Book", client_retry=b"1")
    assert keyed.arrival.key != 0 and keyed.arrival.retry and keyed.id == b"r1"  # type: ignore[attr-defined]
    assert read(grpc_previous_rpc_attempts=b"1").arrival.retry  # type: ignore[attr-defined]
    free = read(b"/x/y", quota_info=None, grpc_timeout=None)
    assert (free.arrival.units, free.arrival.width, free.timeout_ms, free.has_timeout) == (
        2.0,
        2,
        8000,
        False,
    )  # type: ignore[attr-defined]
    names = MetadataNames(account=b"x-customer")
    call = CallReader(MethodTable(RULES, SETTINGS), SETTINGS, names).read(
        b"/l.Ledger/Read", b"", [(b"x-customer" if k == b"account" else k, v) for k, v in GOOD.items()]
    )
    assert call.arrival.customer == 9


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"account": None}, "account"),
        ({"account": b"9"}, "account"),
        ({"account": b"f" * 16}, "out of range"),
        ({"plan": b"gold"}, "plan"),
        ({"quota_info": None}, "quota-info"),
        ({"quota_info": b"units=9,spread=2,first=0"}, "out of range"),
        ({"quota_info": b"units=1,spread=9,first=0"}, "out of range"),
        ({"grpc_timeout": b"soon"}, "grpc-timeout"),
        ({"path": b"/l.Ledger/Book", "idempotency_key": None}, "idempotency-key"),
    ],
)
def test_missing_or_invalid_metadata_is_rejected(changes: dict, expected: str) -> None:
    with pytest.raises(BadRequest, match=expected):
        read(**changes)
    with pytest.raises(BadRequest, match="comes twice"):
        CallReader(MethodTable(RULES, SETTINGS), SETTINGS).read(
            b"/l.Ledger/Read", b"", [*GOOD.items(), (b"account", b"1" * 16)]
        )
    with pytest.raises(BadRequest, match="no such method"):
        CallReader(MethodTable(RULES[:1], SETTINGS), SETTINGS).read(b"/a/b", b"", list(GOOD.items()))


# ---- uploads


class BackendSink:
    """A sink that is full after `capacity` bytes."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.data, self.ended = capacity, b"", False

    def send(self, data: bytes, end: bool) -> None:
        assert not self.ended or (not data and end)
        self.data, self.capacity, self.ended = self.data + data, self.capacity - len(data), self.ended or end

    @property
    def full(self) -> bool:
        return self.capacity <= 0


UPLOAD_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(0, 30_000)),
        st.tuples(st.just("node"), st.integers(0, 60_000)),
        st.tuples(st.just("room"), st.integers(1, 60_000)),
        st.tuples(st.just("gone"), st.just(0)),
    ),
    max_size=25,
)


@given(UPLOAD_STEPS)
def test_upload_reaches_a_backend_completely_or_not_at_all_and_buffers_little(
    steps: list[tuple[str, int]],
) -> None:
    credits: list[int] = []
    upload, sink, received, truncated = Upload(credits.append), None, b"", False
    for n, (what, size) in enumerate(steps):
        if what == "push":
            piece = bytes((n,)) * size
            received += piece
            upload.push(piece, False)
        elif what == "node" and sink is None:
            sink = BackendSink(size)
            if not upload.attach(sink):
                assert truncated
                sink = None
        elif what == "room" and sink is not None:
            sink.capacity += size
            upload.flush()
        elif what == "gone" and sink is not None:
            truncated = truncated or (len(received) > REPLAY_BYTES and bool(sink.data))
            upload.detach()
            sink = None
        if sink is not None:
            assert received.startswith(sink.data) and not sink.ended
        assert (
            sum(credits)
            <= len(received)
            <= max(REPLAY_BYTES, sum(credits)) + sum(s for w, s in steps if w == "push")
        )
        # Beyond the replay buffer only data without credit is buffered: the client can't send more of it.
        buffered = len(received) - (len(sink.data) if sink is not None else 0)
        assert sink is None or buffered <= REPLAY_BYTES + len(received) - sum(credits)
    upload.push(b"", True)
    if sink is not None:
        sink.capacity = 10**9
        upload.flush()
        assert (sink.data, sink.ended) == (received, True) and sum(credits) == len(received)
