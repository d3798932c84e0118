"""One call on a client's connection, and its one final status."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from troutdock.engine import Call, Failure, Flow
from troutdock.grpc.protocol import (
    GrpcResponse,
    Metadata,
    Status,
    status_trailers,
    failure_status,
    rejection_trailers,
)
from troutdock.grpc.request import GrpcRequest
from troutdock.http2.connection import LOW_WATER_BYTES

if TYPE_CHECKING:
    from troutdock.grpc.front import GrpcConnection
    from troutdock.http2.connection import Stream

DEADLINE_MARGIN_MS = 25.0  # so near its deadline a failure is that: the engine ends calls 20 ms ahead of it
RESPONSE_HEADERS: Metadata = [(b":status", b"200"), (b"content-type", b"application/grpc")]
_FAILURE_STATUS = {
    Failure.UNANSWERED: (Status.DEADLINE_EXCEEDED, b"there was no answer in time"),
    Failure.INTERNAL: (Status.INTERNAL, b"an error of the ingress"),
    Failure.CLOSED: (Status.INTERNAL, b"the ingress was closed before the answer was there"),
    Failure.UNRECORDED: (Status.INTERNAL, b"its use could not be written down"),
}


class GrpcExchange:
    """The client's side of a call; engine.StreamingExchange."""

    __slots__ = (
        "arrived",
        "call",
        "connection",
        "deadline_expired",
        "deadline_timer",
        "finished",
        "finished_at",
        "flow",
        "headers_sent",
        "received_bytes",
        "request",
        "reserved_bytes",
        "stream",
    )
    streams = True

    def __init__(
        self, connection: GrpcConnection, stream: Stream, request: GrpcRequest, arrived: float
    ) -> None:
        """arrived: of its first block, in milliseconds of the engine's clock."""
        self.connection, self.stream, self.request, self.arrived = connection, stream, request, arrived
        self.call: Call | None = None
        self.flow: Flow | None = None
        self.deadline_timer: asyncio.TimerHandle | None = (
            None  # the front's own, of what the engine does not time
        )
        self.reserved_bytes = 0  # bytes of the budget for bodies
        self.received_bytes = 0  # bytes of its messages that have come
        self.headers_sent = False  # headers are out
        self.finished = self.deadline_expired = False  # its final status is out; its time is over
        self.finished_at = 0.0  # when that was, on the monotonic clock

    def served(self, answer: GrpcResponse) -> None:
        """A node's answer, or the rest and the end of one that is passed on."""
        h2, stream = self.connection.h2, self.stream
        if self._finish_once():
            trailers = [*status_trailers(answer.status, answer.message), *answer.trailers]
            if self.headers_sent or answer.body:
                self._send_headers(answer.head)
                for piece in answer.body:
                    h2.send_data(stream, piece)
                h2.send_trailers(stream, trailers)
            else:
                h2.send_headers(stream, [*_response_headers(answer.head), *trailers], True)
            self.connection.flush()

    def began(self, head: GrpcResponse, flow: Flow) -> None:
        """The first message of a stream of them: it goes out as it comes."""
        self.flow = flow
        self._release_reservation()
        self.connection.front.server.streams += 1
        self._send_headers(head.head)
        left_ms = self.request.timeout_ms - (self.connection.now() - self.arrived)
        if self.request.has_timeout:
            self._schedule_deadline(left_ms)

    def _schedule_deadline(self, left_ms: float) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        left_s = max(0.0, left_ms - DEADLINE_MARGIN_MS) / 1000
        self.deadline_timer = asyncio.get_running_loop().call_later(left_s, self.expire)

    def start_deadline_timer(self, left_ms: float) -> None:
        """Its messages have not all come: they may take so long."""
        self._schedule_deadline(left_ms)

    def expire(self) -> None:
        """Its time is over, and the engine does not end it."""
        self.deadline_expired, call = True, self.call
        if call is not None:
            self.connection.front.server.engine.abandon(call)
        else:
            self._fail(Status.DEADLINE_EXCEEDED, b"its messages have not come in time")

    def more(self, data: bytes) -> None:
        """A piece of it."""
        if not self.finished:
            self.connection.h2.send_data(self.stream, data)
            self.connection.flush()
            if self.flow is not None and (
                self.stream.queued_bytes > LOW_WATER_BYTES or self.connection.write_paused
            ):
                self.flow.pause()  # until the client has taken it

    def on_writable(self) -> None:
        """The client takes more."""
        if self.flow is not None and self.stream.queued_bytes <= LOW_WATER_BYTES:
            self.flow.resume()

    def refused(self, retry_after_ms: float) -> None:
        """RESOURCE_EXHAUSTED, with the time to come back."""
        if self._finish_once():
            self.connection.h2.send_headers(
                self.stream, [*RESPONSE_HEADERS, *rejection_trailers(retry_after_ms)], True
            )
            self.connection.flush()

    def failed(self, why: Failure) -> None:
        """A status that no client takes for a refusal, or tries again by itself."""
        if self._deadline_near():
            self._fail(Status.DEADLINE_EXCEEDED, b"there was no answer in time")
        elif why is Failure.ATTEMPT:
            self._fail(*failure_status(self.request.last_response))
        else:
            self._fail(*_FAILURE_STATUS[why])

    def broken(self) -> None:
        """An answer that had begun can't be finished: its status says so."""
        last = self.request.last_response
        if self.deadline_expired or self._deadline_near():
            self._fail(Status.DEADLINE_EXCEEDED, b"the answer was not whole in time")
        elif last is not None and last.status != Status.OK:
            self._fail(last.status, last.message, last.trailers)  # what its node says of what it has sent
        else:
            self._fail(Status.INTERNAL, b"the answer is cut off, and the call may have run")

    def _deadline_near(self) -> bool:
        return self.connection.now() - self.arrived >= self.request.timeout_ms - DEADLINE_MARGIN_MS

    def _fail(self, status: int, message: bytes, trailers: Metadata | None = None) -> None:
        if self._finish_once():
            final_trailers = [*status_trailers(status, message), *(trailers or ())]
            if self.headers_sent:
                self.connection.h2.send_trailers(self.stream, final_trailers)
            else:
                self.connection.h2.send_headers(self.stream, [*RESPONSE_HEADERS, *final_trailers], True)
            self.connection.flush()

    def _send_headers(self, head: Metadata) -> None:
        if not self.headers_sent:
            self.headers_sent = True
            self.connection.h2.send_headers(self.stream, _response_headers(head))

    def _finish_once(self) -> bool:
        """The final status goes out now; false if one has, or the client has left."""
        if self.finished:
            return False
        self.finish()
        return True

    def finish(self) -> None:
        """Nothing more is told its client."""
        self.finished, self.finished_at = True, time.monotonic()
        self.call = self.stream.owner = None  # no cycle for the collector
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None
        if self.flow is not None:
            self.flow = None
            self.connection.front.server.streams -= 1
        if self.request.upload is not None:
            self.request.upload.detach()
        self._release_reservation()

    def _release_reservation(self) -> None:
        if self.reserved_bytes:
            self.connection.front.server.bodies.give(self.reserved_bytes)
            self.reserved_bytes = 0


def _response_headers(head: Metadata) -> Metadata:
    """A node's head for its client; what the node left out is worded here."""
    return (
        [RESPONSE_HEADERS[0], *head]
        if any(name == b"content-type" for name, _ in head)
        else [*RESPONSE_HEADERS, *head]
    )
