"""One pool whose backends speak both protocols: each attempt goes the way that its request came.

A backend counts as one so, for its load, its cold start and its drain, whatever comes to it.
"""

from __future__ import annotations

from typing import Any

from troutdock.admission.interface import BackendId, FleetUpdate
from troutdock.engine import Attempt
from troutdock.engine.ports import Transport
from troutdock.grpc.request import GrpcMessage
from troutdock.grpc.transport import GrpcAttempt, GrpcTransport


class DualTransport:
    """engine.Transport over two."""

    def __init__(self, http: Transport, grpc: GrpcTransport) -> None:
        self._http, self._grpc = http, grpc

    def place(self, backend: BackendId, endpoint: Any, up_since_ms: float) -> None:
        """A backend is there, for both."""
        self._http.place(backend, endpoint, up_since_ms)
        self._grpc.place(backend, endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """The list has changed, for both."""
        self._http.follow(update)
        self._grpc.follow(update)

    def new_attempt(
        self, owner: Any, index: int, backend: BackendId, message: Any, started: float, repeatable: bool
    ) -> Attempt:
        """In the kind of the one that will carry it."""
        if isinstance(message, GrpcMessage):
            return GrpcAttempt(owner, index, backend, message, started, repeatable)
        return self._http.new_attempt(owner, index, backend, message, started, repeatable)

    def start(self, attempt: Any) -> None:
        """Begin an attempt."""
        (self._grpc if isinstance(attempt, GrpcAttempt) else self._http).start(attempt)

    def give_up(self, attempt: Any) -> None:
        """Stop waiting."""
        (self._grpc if isinstance(attempt, GrpcAttempt) else self._http).give_up(attempt)
