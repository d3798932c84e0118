"""A call on a client's connection; it ends with exactly one final status."""

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

# A failure this close to the deadline is DEADLINE_EXCEEDED: the engine ends calls 20 ms before the deadline.
DEADLINE_MARGIN_MS = 25.0
RESPONSE_HEADERS: Metadata = [(b":status", b"200"), (b"content-type", b"application/grpc")]
_FAILURE_STATUS = {
    Failure.UNANSWERED: (Status.DEADLINE_EXCEEDED, b"there was no answer in time"),
    Failure.INTERNAL: (Status.INTERNAL, b"an error of the ingress"),
    Failure.CLOSED: (Status.INTERNAL, b"the ingress was closed before the answer was there"),
    Failure.UNRECORDED: (Status.INTERNAL, b"its use could not be written down"),
}


class GrpcExchange:
    """The client side of a call; engine.StreamingExchange."""

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
        """arrived: Arrival of the request headers, in milliseconds of the engine's clock."""
        self.connection, self.stream, self.request, self.arrived = connection, stream, request, arrived
        self.call: Call | None = None
        self.flow: Flow | None = None
        # covers the phases that the engine does not time: the client's messages and a forwarded response
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.reserved_bytes = 0  # reserved in the memory budget for bodies
        self.received_bytes = 0  # bytes of the client's messages
        self.headers_sent = False  # response headers
        self.finished = self.deadline_expired = False  # final status sent; deadline passed
        self.finished_at = 0.0  # monotonic time

    def served(self, answer: GrpcResponse) -> None:
        """Sends a backend's complete response, or the rest of a forwarded one, with its status."""
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
        """Starts to forward a response as it arrives."""
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
        """Limits the time for the rest of the client's messages."""
        self._schedule_deadline(left_ms)

    def expire(self) -> None:
        """Ends the call at its deadline where the engine has no timer for it."""
        self.deadline_expired, call = True, self.call
        if call is not None:
            self.connection.front.server.engine.fail_call(call)
        else:
            self._fail(Status.DEADLINE_EXCEEDED, b"its messages have not come in time")

    def more(self, data: bytes) -> None:
        """Forwards data of a response that has begun."""
        if not self.finished:
            self.connection.h2.send_data(self.stream, data)
            self.connection.flush()
            if self.flow is not None and (
                self.stream.queued_bytes > LOW_WATER_BYTES or self.connection.write_paused
            ):
                self.flow.pause()  # until the client has read it

    def on_writable(self) -> None:
        """Resumes a paused response: the send queue has drained."""
        if self.flow is not None and self.stream.queued_bytes <= LOW_WATER_BYTES:
            self.flow.resume()

    def refused(self, retry_after_ms: float) -> None:
        """Rejects the call with RESOURCE_EXHAUSTED and a retry time."""
        if self._finish_once():
            self.connection.h2.send_headers(
                self.stream, [*RESPONSE_HEADERS, *rejection_trailers(retry_after_ms)], True
            )
            self.connection.flush()

    def failed(self, why: Failure) -> None:
        """Sends an error status that clients neither take for a rejection nor retry by themselves."""
        if self._deadline_near():
            self._fail(Status.DEADLINE_EXCEEDED, b"there was no answer in time")
        elif why is Failure.ATTEMPT:
            self._fail(*failure_status(self.request.last_response))
        else:
            self._fail(*_FAILURE_STATUS[why])

    def broken(self) -> None:
        """Sends an error status for a response that had begun and can't be completed."""
        last = self.request.last_response
        if self.deadline_expired or self._deadline_near():
            self._fail(Status.DEADLINE_EXCEEDED, b"the answer was not whole in time")
        elif last is not None and last.status != Status.OK:
            self._fail(last.status, last.message, last.trailers)  # the backend's own error status
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
        """Finishes the exchange.

        Returns:
            False if the final status was already sent or the client has cancelled the call.
        """
        if self.finished:
            return False
        self.finish()
        return True

    def finish(self) -> None:
        """Marks the exchange as finished and releases its resources; nothing more is sent to the client."""
        self.finished, self.finished_at = True, time.monotonic()
        self.call = self.stream.owner = None  # breaks reference cycles
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
            self.connection.front.server.bodies.release(self.reserved_bytes)
            self.reserved_bytes = 0


def _response_headers(head: Metadata) -> Metadata:
    """Returns the response headers for the client; adds content-type if the backend did not send it."""
    return (
        [RESPONSE_HEADERS[0], *head]
        if any(name == b"content-type" for name, _ in head)
        else [*RESPONSE_HEADERS, *head]
    )
