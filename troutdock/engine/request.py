"""A request in the engine: its data for the decision module and its form for a transport."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple

from troutdock.admission.interface import BackendId, RequestArrived


class BadRequest(Exception):
    """The client's request is invalid; has the HTTP status and the reason for the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(status, reason)
        self.status, self.reason = status, reason


class ProtocolTraits(NamedTuple):
    """Guarantees of the backends' protocol about requests and answers, beyond its framing.

    Attributes:
        starts_after_last_byte: a backend starts work only after the last byte of a request, so a truncated
            request has not run.
        responses_name_request: answers carry the id of their request, and may be sent again.
        stall_timeout_applies: an answer that stalls may be abandoned before the request's deadline.
    """

    starts_after_last_byte: bool = True
    responses_name_request: bool = False
    stall_timeout_applies: bool = True


class Request:
    """A complete and valid request; each front has its own subclass.

    Attributes:
        id: identifies the request to backends, the same for every attempt; empty if they need none.
        arrival: the event for the decision module; the engine fills in its number and the time left.
        timeout_ms: how long the client waits, from the exchange's arrival.
        repeatable: another attempt may follow one that may have run.
    """

    __slots__ = ("arrival", "id", "repeatable", "timeout_ms")
    traits: ClassVar[ProtocolTraits] = ProtocolTraits()

    def __init__(self, id: bytes, arrival: RequestArrived, repeatable: bool) -> None:
        self.id, self.arrival, self.repeatable = id, arrival, repeatable
        self.timeout_ms = arrival.time_left_ms

    def message(self, left_ms: float) -> Any:
        """Returns the request in the form of its pool's transport; left_ms: time left for the answer."""
        raise NotImplementedError

    def message_to(self, backend: BackendId, left_ms: float) -> Any:
        """Returns the message for one backend, if it differs by backend."""
        return self.message(left_ms)
