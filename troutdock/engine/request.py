"""A request as the engine knows it: what the decision module is told, and what a transport will send."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple

from troutdock.admission.interface import BackendId, RequestArrived


class BadRequest(Exception):
    """What the client sent can't be understood: status (of HTTP) and reason of its answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(status, reason)
        self.status, self.reason = status, reason


class ProtocolTraits(NamedTuple):
    """What the backends' protocol promises of requests and answers, beyond its framing.

    whole_first: nobody begins to work on a request before its last byte is there, so that one which broke
    off on its way has not run. names_request: answers name the request that they belong to, and may come
    again. silence_ends: an answer that stops midway may be given up before its request's time is over.
    """

    starts_after_last_byte: bool = True
    responses_name_request: bool = False
    stall_timeout_applies: bool = True


class Request:
    """A request that has come whole and makes sense; each front makes its own kind.

    id: what nodes know it by, the same for every attempt; empty where the front's nodes need none.
    arrival: its number and the time left are the engine's to fill in.
    timeout_ms: how long the client waits, counted from the exchange's arrival.
    repeatable: another attempt may follow one that may have run.
    """

    __slots__ = ("arrival", "id", "repeatable", "timeout_ms")
    traits: ClassVar[ProtocolTraits] = ProtocolTraits()

    def __init__(self, id: bytes, arrival: RequestArrived, repeatable: bool) -> None:
        self.id, self.arrival, self.repeatable = id, arrival, repeatable
        self.timeout_ms = arrival.time_left_ms

    def message(self, left_ms: float) -> Any:
        """The form in which a transport of its pool sends it; left_ms: how long its answer is waited for."""
        raise NotImplementedError

    def message_to(self, backend: BackendId, left_ms: float) -> Any:
        """The same, where it differs by backend."""
        return self.message(left_ms)
