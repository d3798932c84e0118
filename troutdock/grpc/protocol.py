"""What gRPC writes into HTTP/2 (grpc/grpc: doc/PROTOCOL-HTTP2.md), and the table of outcomes (no I/O).

The table, towards nodes. What a call's end says of whether it has run, for the decision module:

    end of the call                                         outcome          of the answer
    grpc-status OK behind a message                         OK               passed on
    a status of ANSWERS (not found, say)                    OK               passed on: others would say so
    any other status, an HTTP error, no gRPC                ERROR            may have run
    UNAVAILABLE or RESOURCE_EXHAUSTED, `not-started: 1`     FULL             never ran
    HTTP 503 or 504, `not-started: 1`                       FULL             never ran
    RST_STREAM with REFUSED_STREAM                          FULL             never ran
    above a GOAWAY's last stream; no connection             CONNECT_FAILED   never ran
    any other RST_STREAM, a broken connection, no trailers  RESET            may have run
    nothing until the deadline                              TIMEOUT          may have run

And towards clients, for each final answer of the engine:

    served     as the node has said, with its status
    refused    RESOURCE_EXHAUSTED, with RetryInfo, grpc-retry-pushback-ms and retry-after
    failed     at the deadline DEADLINE_EXCEEDED; else the last node's status, but for those that clients
               retry by themselves or take for a refusal (UNAVAILABLE, RESOURCE_EXHAUSTED): INTERNAL
    broken     an answer that had begun: the node's status if it gave one, else as failed
"""

from __future__ import annotations

import re
from base64 import b64encode
from dataclasses import dataclass, field
from enum import IntEnum

from troutdock.admission.interface import Outcome

MAX_TIMEOUT_MS = 1e9  # a longer one is cut, as eight digits of hours would be
_TIMEOUT = re.compile(rb"(\d{1,8})([HMSmun])")
_UNIT_MS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 1e-3, b"n": 1e-6}
_BILLED_UNITS = re.compile(rb"\d{1,6}(\.\d{1,9})?")
MESSAGE_PREFIX_BYTES = 5  # bytes before each message: compressed or not, and its length


class Status(IntEnum):
    """grpc-status (github.com/grpc/grpc, doc/statuscodes.md)."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


# what a service says of the call, not of itself: there is nothing that another node would do better
APPLICATION_STATUSES = frozenset(
    (
        Status.OK,
        Status.INVALID_ARGUMENT,
        Status.NOT_FOUND,
        Status.ALREADY_EXISTS,
        Status.PERMISSION_DENIED,
        Status.FAILED_PRECONDITION,
        Status.ABORTED,
        Status.OUT_OF_RANGE,
        Status.UNIMPLEMENTED,
        Status.UNAUTHENTICATED,
    )
)
# by which a node may say that it is full; and what clients would try again by themselves
OVERLOAD_STATUSES = frozenset((Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED))
# of answers without gRPC (doc/http-grpc-status-mapping.md)
HTTP_STATUS_MAP = {
    400: Status.INTERNAL,
    401: Status.UNAUTHENTICATED,
    403: Status.PERMISSION_DENIED,
    404: Status.UNIMPLEMENTED,
    429: Status.UNAVAILABLE,
    502: Status.UNAVAILABLE,
    503: Status.UNAVAILABLE,
    504: Status.UNAVAILABLE,
}
# of requests that the engine or the reader can't take in
BAD_REQUEST_STATUS = {400: Status.INVALID_ARGUMENT, 404: Status.UNIMPLEMENTED, 409: Status.ALREADY_EXISTS}

Metadata = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class GrpcResponse:
    """How a node has ended a call; engine.Answer.

    status: 0 to 16, what is beyond counts as UNKNOWN. message: percent-encoded, as it came. head, trailers:
    metadata, the trailers without their status. body: of messages that have not been passed on.
    """

    status: int
    message: bytes = b""
    head: Metadata = field(default_factory=list)
    trailers: Metadata = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    not_started: bool = False
    non_grpc: bool = False  # no gRPC at all

    @property
    def true_units(self) -> float:
        """Billed-Units, of trailers or head; 0 where it is missing or no number."""
        for name, value in (*self.trailers, *self.head):
            if name == b"billed-units" and _BILLED_UNITS.fullmatch(value):
                return float(value)
        return 0.0


def outcome_of(response: GrpcResponse) -> Outcome:
    """The table's row of a call that its node has ended with a status, gRPC's or HTTP's."""
    if response.not_started and response.status in OVERLOAD_STATUSES:
        return Outcome.FULL
    return Outcome.OK if response.status in APPLICATION_STATUSES and not response.non_grpc else Outcome.ERROR


def parse_trailers(trailers: Metadata, head: Metadata, body: list[bytes]) -> GrpcResponse:
    """How a call has ended by its trailers, or its only headers; UNKNOWN where no status is in them."""
    seen = dict(trailers)
    raw_status = seen.get(b"grpc-status", b"")
    status = int(raw_status) if raw_status.isdigit() and len(raw_status) < 4 else Status.UNKNOWN
    rest = [pair for pair in trailers if pair[0] not in (b"grpc-status", b"grpc-message")]
    not_started = seen.get(b"not-started") == b"1" or (b"not-started", b"1") in head
    return GrpcResponse(
        status if status <= 16 else Status.UNKNOWN,
        seen.get(b"grpc-message", b""),
        head,
        rest,
        body,
        not_started,
    )


def failure_status(last_response: GrpcResponse | None) -> tuple[int, bytes]:
    """Status and message for a client whose call has failed, after what its last node said."""
    if last_response is None:
        return Status.INTERNAL, b"the call failed and may have run"
    if last_response.status in OVERLOAD_STATUSES or last_response.status == Status.OK:
        return Status.INTERNAL, last_response.message or b"the call failed and may have run"
    return last_response.status, last_response.message


def parse_timeout(text: bytes) -> float:
    """grpc-timeout in milliseconds; ValueError if it is none."""
    match = _TIMEOUT.fullmatch(text)
    if match is None:
        raise ValueError(f"grpc-timeout: {text!r} is none")
    return min(MAX_TIMEOUT_MS, int(match[1]) * _UNIT_MS[match[2]])


def format_timeout(ms: float) -> bytes:
    """grpc-timeout, rounded down, so that no node waits longer than its caller."""
    if ms < 1000:
        return b"%du" % max(1, int(ms * 1000))
    return b"%dm" % int(ms) if ms < 1e8 else b"%dS" % min(99_999_999, int(ms / 1000))


def percent_encode(text: str) -> bytes:
    """grpc-message: printable ASCII, the rest of UTF-8 percent-encoded."""
    return b"".join(bytes((c,)) if 0x20 <= c <= 0x7E and c != 0x25 else b"%%%02X" % c for c in text.encode())


def count_messages(body: bytes) -> int:
    """How many messages these are; ValueError if the last one is cut off."""
    count = at = 0
    while at < len(body):
        if at + MESSAGE_PREFIX_BYTES > len(body):
            raise ValueError("a message is cut off")
        at += MESSAGE_PREFIX_BYTES + int.from_bytes(body[at + 1 : at + MESSAGE_PREFIX_BYTES], "big")
        count += 1
    if at > len(body):
        raise ValueError("a message is cut off")
    return count


def _varint(value: int) -> bytes:
    out = bytearray()
    while value >= 128:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)
    return bytes(out)


def _bytes_field(number: int, value: bytes) -> bytes:
    return _varint(number << 3 | 2) + _varint(len(value)) + value


def _varint_field(number: int, value: int) -> bytes:
    return _varint(number << 3) + _varint(value) if value else b""


def retry_details(message: bytes, after_ms: float) -> bytes:
    """grpc-status-details-bin of a refusal: google.rpc.Status with a google.rpc.RetryInfo in base64."""
    nanos = max(0, round(after_ms * 1e6))
    delay = _varint_field(1, nanos // 10**9) + _varint_field(2, nanos % 10**9)
    info = _bytes_field(1, b"type.googleapis.com/google.rpc.RetryInfo") + _bytes_field(
        2, _bytes_field(1, delay)
    )
    status = _varint_field(1, Status.RESOURCE_EXHAUSTED) + _bytes_field(2, message) + _bytes_field(3, info)
    return b64encode(status).rstrip(b"=")


def rejection_trailers(after_ms: float) -> Metadata:
    """Trailers of a refusal: when to come back, in each of the forms that clients follow."""
    message = b"refused; trying again is harmless"
    trailers = [(b"grpc-status", b"%d" % Status.RESOURCE_EXHAUSTED), (b"grpc-message", message)]
    if after_ms > 0:
        trailers += [
            (b"grpc-status-details-bin", retry_details(message, after_ms)),
            (b"grpc-retry-pushback-ms", b"%d" % max(1, round(after_ms))),
            (b"retry-after", b"%.3f" % (after_ms / 1000)),
        ]
    return trailers


def status_trailers(status: int, message: bytes = b"") -> Metadata:
    """Trailers that say just that."""
    trailers = [(b"grpc-status", b"%d" % status)]
    return [*trailers, (b"grpc-message", message)] if message else trailers
