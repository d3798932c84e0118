"""Addresses that refuse connections: who is left alone, for how long, and who tries again (no I/O, no clock).

Theory of operation. A backend that is gone refuses a connection at once, so it looks like the quickest of
all, and its list entry may be old. One circuit a backend, in the words of the field:

    closed     attempts go out as ever
    open       a connection could not be made: nothing goes there for a time that doubles with each failure
    half open  that time is over: one attempt at a time feels it; an answer of any kind closes the circuit

It ends with the backend's start: a process that has started anew begins with a closed one. A circuit takes
away what is worse than the others, never the last way there is: that is its owner's to see to.
"""

from __future__ import annotations

from math import inf

LEAST_MS = 250.0  # open for so long at first: a lost connection, or a process that is back in a moment
MOST_MS = 4000.0  # and at most: a list that names a new start closes it anyway, and one attempt feels it


class Circuit:
    """One backend's; all times are milliseconds."""

    __slots__ = ("_feeling", "_open_ms", "_until")

    def __init__(self) -> None:
        self._open_ms, self._until, self._feeling = 0.0, -inf, False

    @property
    def closed(self) -> bool:
        """The last that came of an attempt was no failed connection."""
        return not self._open_ms

    def lets(self, now: float) -> bool:
        """An attempt may go out."""
        return not self._open_ms or (now >= self._until and not self._feeling)

    def sent(self, now: float) -> None:
        """An attempt goes out; where the circuit is not closed it is the one that feels."""
        self._feeling = not self.closed

    def could_not_connect(self, now: float) -> None:
        """Several that went out together are one sign."""
        if now >= self._until:
            self._open_ms = min(MOST_MS, self._open_ms * 2) or LEAST_MS
            self._until = now + self._open_ms
        self._feeling = False

    def answered(self) -> None:
        """Somebody is there, whatever it said."""
        self._open_ms, self._until, self._feeling = 0.0, -inf, False

    def unknown(self) -> None:
        """What felt it has ended without telling; another one may."""
        self._feeling = False
