"""The arithmetic of a shared store that fills with time (no I/O, no clock)."""

from __future__ import annotations


class Store:
    """A customer's shared store as this gateway believes it, in parts of its burst."""

    __slots__ = ("at", "fill", "missing", "sure", "untold")

    def __init__(self, now: float, fill: float, untold: float) -> None:
        self.missing, self.at, self.fill, self.sure, self.untold = 0.0, now, fill, False, untold

    def level(self, now: float) -> float:
        """What is there, from 0 to 1 and below nought after true units that were more than guessed."""
        self.missing, self.at = max(0.0, self.missing - (now - self.at) * self.fill), max(now, self.at)
        return 1.0 - self.missing

    def take(self, now: float, part: float) -> None:
        """So much was sent on, or given back; what is beyond the quota takes nothing."""
        self.level(now)
        self.missing = max(0.0, min(max(1.0, self.missing), self.missing + part))
