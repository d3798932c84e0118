"""One attempt of a request on one backend."""

from __future__ import annotations

from typing import Any

from troutdock.admission.interface import BackendId


class Attempt:
    """An attempt ends with exactly one outcome, unless it is cancelled; transports keep state in a subclass.

    Attributes:
        owner: the engine's call.
        message: the encoded request.
        started: start time in milliseconds of the engine's clock.
        repeatable: another attempt may follow one that may have run.
        over: ended or cancelled.
        lag_ms: the part of its duration that was not the backend's work, as far as the transport can tell:
            delay of this process, or transfer of a long message; infinite if it cannot be determined.
        streams: its answer may be streamed to the client.
    """

    __slots__ = ("backend", "index", "lag_ms", "message", "over", "owner", "repeatable", "started", "streams")

    def __init__(
        self,
        owner: Any,
        index: int,
        backend: BackendId,
        message: Any,
        started: float,
        repeatable: bool = True,
    ) -> None:
        self.owner, self.index, self.backend, self.started = owner, index, backend, started
        self.message, self.repeatable = message, repeatable
        self.over = False
        self.lag_ms = 0.0
        self.streams = False
