"""Circuit breakers for backends that refuse connections (no I/O, no clock).

Theory of operation. A backend that is gone refuses connections at once, so it looks like the fastest one, and
its list entry may be outdated. Each backend has one circuit breaker:

    closed     attempts are sent as usual
    open       a connection failed: nothing is sent for a time that doubles with each failure
    half open  that time is over: one attempt at a time probes; an answer of any kind closes the circuit

A restarted backend begins with a closed circuit. Circuits only exclude backends while others are left; the
caller has to ensure that the last one is still tried.
"""

from __future__ import annotations

from math import inf

MIN_OPEN_MS = 250.0  # first open time: for a lost connection or a process that restarts quickly
MAX_OPEN_MS = 4000.0  # limit: a restart in the list closes it anyway, and a probe costs one attempt


class CircuitBreaker:
    """One backend's circuit breaker; all times are milliseconds."""

    __slots__ = ("_in_probe", "_open_ms", "_until")

    def __init__(self) -> None:
        self._open_ms, self._until, self._in_probe = 0.0, -inf, False

    @property
    def closed(self) -> bool:
        """True unless the last known outcome was a failed connection."""
        return not self._open_ms

    def allows(self, now: float) -> bool:
        """Returns whether an attempt may be sent."""
        return not self._open_ms or (now >= self._until and not self._in_probe)

    def attempt_sent(self, now: float) -> None:
        """Records a sent attempt; if the circuit is not closed, it is the probe."""
        self._in_probe = not self.closed

    def connect_failed(self, now: float) -> None:
        """Records a failed connection; several attempts sent together count once."""
        if now >= self._until:
            self._open_ms = min(MAX_OPEN_MS, self._open_ms * 2) or MIN_OPEN_MS
            self._until = now + self._open_ms
        self._in_probe = False

    def answered(self) -> None:
        """Records an answer of any kind and closes the circuit."""
        self._open_ms, self._until, self._in_probe = 0.0, -inf, False

    def outcome_unknown(self) -> None:
        """Ends a probe without a result; another attempt may probe."""
        self._in_probe = False
