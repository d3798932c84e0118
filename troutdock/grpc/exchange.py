"""One call on a client's connection, and its one final status."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from troutdock.engine import Call, Failure, Flow
from troutdock.grpc.protocol import Ended, Metadata, Status, ending, failed_status, refusal
from troutdock.grpc.request import GrpcRequest
from troutdock.http2.connection import LOW

if TYPE_CHECKING:
    from troutdock.grpc.front import GrpcConnection
    from troutdock.http2.connection import Stream

IN_TIME_MS = 25.0  # so near its deadline a failure is that: the engine ends calls 20 ms ahead of it
HEAD: Metadata = [(b":status", b"200"), (b"content-type", b"application/grpc")]
_FAILED = {
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
        "deadline",
        "flow",
        "held",
        "late",
        "over",
        "over_at",
        "request",
        "size",
        "started",
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
        self.deadline: asyncio.TimerHandle | None = None  # the front's own, of what the engine does not time
        self.held = 0  # bytes of the budget for bodies
        self.size = 0  # bytes of its messages that have come
        self.started = False  # headers are out
        self.over = self.late = False  # its final status is out; its time is over
        self.over_at = 0.0  # when that was, on the monotonic clock

    def served(self, answer: Ended) -> None:
        """A node's answer, or the rest and the end of one that is passed on."""
        h2, stream = self.connection.h2, self.stream
        if self._conclude():
            trailers = [*ending(answer.status, answer.message), *answer.trailers]
            if self.started or answer.body:
                self._start(answer.head)
                for piece in answer.body:
                    h2.send_data(stream, piece)
                h2.send_trailers(stream, trailers)
            else:
                h2.send_headers(stream, [*_head(answer.head), *trailers], True)
            self.connection.flush()

    def began(self, head: Ended, flow: Flow) -> None:
        """The first message of a stream of them: it goes out as it comes."""
        self.flow = flow
        self._release()
        self.connection.front.server.streams += 1
        self._start(head.head)
        left_ms = self.request.timeout_ms - (self.connection.now() - self.arrived)
        if self.request.timed:
            self._time(left_ms)

    def _time(self, left_ms: float) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        left_s = max(0.0, left_ms - IN_TIME_MS) / 1000
        self.deadline = asyncio.get_running_loop().call_later(left_s, self.expire)

    def time_messages(self, left_ms: float) -> None:
        """Its messages have not all come: they may take so long."""
        self._time(left_ms)

    def expire(self) -> None:
        """Its time is over, and the engine does not end it."""
        self.late, call = True, self.call
        if call is not None:
            self.connection.front.server.engine.fail_call(call)
        else:
            self._fail(Status.DEADLINE_EXCEEDED, b"its messages have not come in time")

    def more(self, data: bytes) -> None:
        """A piece of it."""
        if not self.over:
            self.connection.h2.send_data(self.stream, data)
            self.connection.flush()
            if self.flow is not None and (self.stream.queued > LOW or self.connection.full):
                self.flow.pause()  # until the client has taken it

    def drained(self) -> None:
        """The client takes more."""
        if self.flow is not None and self.stream.queued <= LOW:
            self.flow.resume()

    def refused(self, retry_after_ms: float) -> None:
        """RESOURCE_EXHAUSTED, with the time to come back."""
        if self._conclude():
            self.connection.h2.send_headers(self.stream, [*HEAD, *refusal(retry_after_ms)], True)
            self.connection.flush()

    def failed(self, why: Failure) -> None:
        """A status that no client takes for a refusal, or tries again by itself."""
        if self._in_time():
            self._fail(Status.DEADLINE_EXCEEDED, b"there was no answer in time")
        elif why is Failure.ATTEMPT:
            self._fail(*failed_status(self.request.last))
        else:
            self._fail(*_FAILED[why])

    def broken(self) -> None:
        """An answer that had begun can't be finished: its status says so."""
        last = self.request.last
        if self.late or self._in_time():
            self._fail(Status.DEADLINE_EXCEEDED, b"the answer was not whole in time")
        elif last is not None and last.status != Status.OK:
            self._fail(last.status, last.message, last.trailers)  # what its node says of what it has sent
        else:
            self._fail(Status.INTERNAL, b"the answer is cut off, and the call may have run")

    def _in_time(self) -> bool:
        return self.connection.now() - self.arrived >= self.request.timeout_ms - IN_TIME_MS

    def _fail(self, status: int, message: bytes, trailers: Metadata | None = None) -> None:
        if self._conclude():
            told = [*ending(status, message), *(trailers or ())]
            if self.started:
                self.connection.h2.send_trailers(self.stream, told)
            else:
                self.connection.h2.send_headers(self.stream, [*HEAD, *told], True)
            self.connection.flush()

    def _start(self, head: Metadata) -> None:
        if not self.started:
            self.started = True
            self.connection.h2.send_headers(self.stream, _head(head))

    def _conclude(self) -> bool:
        """The final status goes out now; false if one has, or the client has left."""
        if self.over:
            return False
        self.leave()
        return True

    def leave(self) -> None:
        """Nothing more is told its client."""
        self.over, self.over_at = True, time.monotonic()
        self.call = self.stream.owner = None  # no cycle for the collector
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
        if self.flow is not None:
            self.flow = None
            self.connection.front.server.streams -= 1
        if self.request.upload is not None:
            self.request.upload.detach()
        self._release()

    def _release(self) -> None:
        if self.held:
            self.connection.front.server.bodies.release(self.held)
            self.held = 0


def _head(head: Metadata) -> Metadata:
    """A node's head for its client; what the node left out is worded here."""
    return [HEAD[0], *head] if any(name == b"content-type" for name, _ in head) else [*HEAD, *head]
