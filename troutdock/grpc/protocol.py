"""The gRPC protocol over HTTP/2 (grpc/grpc: doc/PROTOCOL-HTTP2.md), and the outcomes of calls (no I/O).

Towards backends. How the end of a call maps to an outcome of the admission module. The outcome tells whether
the call may have been executed:

    end of the call                                         outcome          consequence
    grpc-status OK after a message                          OK               response is forwarded
    a status of APPLICATION_STATUSES, such as NOT_FOUND     OK               response is forwarded, as other
                                                                             backends would return the same
    any other status, an HTTP error, not gRPC               ERROR            may have been executed
    UNAVAILABLE or RESOURCE_EXHAUSTED, `not-started: 1`     FULL             was not executed
    HTTP 503 or 504, `not-started: 1`                       FULL             was not executed
    RST_STREAM with REFUSED_STREAM                          FULL             was not executed
    above the last stream of a GOAWAY; no connection        CONNECT_FAILED   was not executed
    any other RST_STREAM, lost connection, no trailers      RESET            may have been executed
    no response before the deadline                         TIMEOUT          may have been executed

Towards clients. The status for each final result of the engine:

    served     response and status of the backend
    refused    RESOURCE_EXHAUSTED, with RetryInfo, grpc-retry-pushback-ms and retry-after
    failed     DEADLINE_EXCEEDED at the deadline, else the status of the last backend. UNAVAILABLE and
               RESOURCE_EXHAUSTED become INTERNAL, because clients retry these by themselves or take them
               for a rejection.
    broken     (the response had begun) status of the backend if it sent one, else as for failed
"""

from __future__ import annotations

import re
from base64 import b64encode
from dataclasses import dataclass, field
from enum import IntEnum

from troutdock.admission.interface import Outcome

MAX_TIMEOUT_MS = 1e9  # longer timeouts, up to eight digits of hours, are reduced to this
_TIMEOUT = re.compile(rb"(\d{1,8})([HMSmun])")
_UNIT_MS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 1e-3, b"n": 1e-6}
_BILLED_UNITS = re.compile(rb"\d{1,6}(\.\d{1,9})?")
MESSAGE_PREFIX_BYTES = 5  # compressed flag (1 byte) and message length (4 bytes)


class Status(IntEnum):
    """Values of grpc-status (github.com/grpc/grpc, doc/statuscodes.md)."""

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


# statuses that describe the call, not the backend's condition: another backend would return the same
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
# with these a backend may report overload; clients retry them by themselves
OVERLOAD_STATUSES = frozenset((Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED))
# gRPC status of HTTP responses that are not gRPC (doc/http-grpc-status-mapping.md)
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
# status of requests that the engine or CallReader rejects with BadRequest
BAD_REQUEST_STATUS = {400: Status.INVALID_ARGUMENT, 404: Status.UNIMPLEMENTED, 409: Status.ALREADY_EXISTS}

Metadata = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class GrpcResponse:
    """How a backend ended a call; engine.Answer.

    Attributes:
        status: 0 to 16; other values count as UNKNOWN.
        message: grpc-message as received, percent-encoded.
        head: Initial metadata.
        trailers: Trailing metadata without grpc-status and grpc-message.
        body: Received messages that have not been forwarded.
        not_started: Whether the backend reported that it did not start the call.
        non_grpc: Whether it was an HTTP response without gRPC.
    """

    status: int
    message: bytes = b""
    head: Metadata = field(default_factory=list)
    trailers: Metadata = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    not_started: bool = False
    non_grpc: bool = False

    @property
    def true_units(self) -> float:
        """Value of billed-units in the trailers or the initial metadata; 0 if missing or invalid."""
        for name, value in (*self.trailers, *self.head):
            if name == b"billed-units" and _BILLED_UNITS.fullmatch(value):
                return float(value)
        return 0.0


def outcome_of(response: GrpcResponse) -> Outcome:
    """Returns the outcome of a call that its backend ended with a gRPC or HTTP status (see the table)."""
    if response.not_started and response.status in OVERLOAD_STATUSES:
        return Outcome.FULL
    return Outcome.OK if response.status in APPLICATION_STATUSES and not response.non_grpc else Outcome.ERROR


def parse_trailers(trailers: Metadata, head: Metadata, body: list[bytes]) -> GrpcResponse:
    """Parses trailers, or headers with END_STREAM (Trailers-Only); without a status it is UNKNOWN."""
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
    """Returns status and message for the client of a failed call, from the last backend's response."""
    if last_response is None:
        return Status.INTERNAL, b"the call failed and may have run"
    if last_response.status in OVERLOAD_STATUSES or last_response.status == Status.OK:
        return Status.INTERNAL, last_response.message or b"the call failed and may have run"
    return last_response.status, last_response.message


def parse_timeout(text: bytes) -> float:
    """Parses grpc-timeout.

    Returns:
        Milliseconds, at most MAX_TIMEOUT_MS.

    Raises:
        ValueError: The text is not a timeout.
    """
    match = _TIMEOUT.fullmatch(text)
    if match is None:
        raise ValueError(f"grpc-timeout: {text!r} is none")
    return min(MAX_TIMEOUT_MS, int(match[1]) * _UNIT_MS[match[2]])


def format_timeout(ms: float) -> bytes:
    """Returns grpc-timeout, rounded down so that the backend's deadline is not after the caller's."""
    if ms < 1000:
        return b"%du" % max(1, int(ms * 1000))
    return b"%dm" % int(ms) if ms < 1e8 else b"%dS" % min(99_999_999, int(ms / 1000))


def percent_encode(text: str) -> bytes:
    """Encodes grpc-message: printable ASCII is kept, other bytes of the UTF-8 are percent-encoded."""
    return b"".join(bytes((c,)) if 0x20 <= c <= 0x7E and c != 0x25 else b"%%%02X" % c for c in text.encode())


def count_messages(body: bytes) -> int:
    """Returns the number of messages in a body.

    Raises:
        ValueError: The last message is incomplete.
    """
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
    """Returns grpc-status-details-bin of a rejection: base64 of a google.rpc.Status with RetryInfo."""
    nanos = max(0, round(after_ms * 1e6))
    delay = _varint_field(1, nanos // 10**9) + _varint_field(2, nanos % 10**9)
    info = _bytes_field(1, b"type.googleapis.com/google.rpc.RetryInfo") + _bytes_field(
        2, _bytes_field(1, delay)
    )
    status = _varint_field(1, Status.RESOURCE_EXHAUSTED) + _bytes_field(2, message) + _bytes_field(3, info)
    return b64encode(status).rstrip(b"=")


def rejection_trailers(after_ms: float) -> Metadata:
    """Returns the trailers of a rejection, with the retry time in each form that clients support."""
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
    """Returns trailers with a status and, if not empty, a message."""
    trailers = [(b"grpc-status", b"%d" % status)]
    return [*trailers, (b"grpc-message", message)] if message else trailers
