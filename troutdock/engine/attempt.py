"""One attempt of a request on one backend."""

from __future__ import annotations

from typing import Any

from troutdock.admission.interface import BackendId


class Attempt:
    """It ends with exactly one outcome, unless it is given up; transports keep their state in a subclass.

    owner: the engine's call. message: what is sent. started: milliseconds of the engine's clock.
    repeatable: another attempt may follow one that may have run. over: ended or given up.
    lag_ms: the part of its time that was not the backend's work, so far as the transport can tell: the
    process was late, a long message was on its way; infinite where that can't be told.
    streams: its answer may be passed on as it comes.
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
