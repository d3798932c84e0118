"""One pool of backends that speak HTTP/1.1 and gRPC: an attempt uses the protocol of its request.

A backend is thus a single entry for load, cold start and draining, whatever protocol its requests use.
"""

from __future__ import annotations

from typing import Any

from troutdock.admission.interface import BackendId, FleetUpdate
from troutdock.engine import Attempt
from troutdock.engine.ports import Transport
from troutdock.grpc.request import GrpcMessage
from troutdock.grpc.transport import GrpcAttempt, GrpcTransport


class DualTransport:
    """engine.Transport that delegates to an HTTP/1.1 and a gRPC transport."""

    def __init__(self, http: Transport, grpc: GrpcTransport) -> None:
        self._http, self._grpc = http, grpc

    def place(self, backend: BackendId, endpoint: Any, up_since_ms: float) -> None:
        """Adds or updates a backend in both transports."""
        self._http.place(backend, endpoint, up_since_ms)
        self._grpc.place(backend, endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """Applies a change of the list of backends to both transports."""
        self._http.follow(update)
        self._grpc.follow(update)

    def new_attempt(
        self, owner: Any, index: int, backend: BackendId, message: Any, started: float, repeatable: bool
    ) -> Attempt:
        """Returns an attempt of the transport that will send it."""
        if isinstance(message, GrpcMessage):
            return GrpcAttempt(owner, index, backend, message, started, repeatable)
        return self._http.new_attempt(owner, index, backend, message, started, repeatable)

    def start(self, attempt: Any) -> None:
        """Starts an attempt."""
        (self._grpc if isinstance(attempt, GrpcAttempt) else self._http).start(attempt)

    def give_up(self, attempt: Any) -> None:
        """Cancels an attempt."""
        (self._grpc if isinstance(attempt, GrpcAttempt) else self._http).give_up(attempt)
