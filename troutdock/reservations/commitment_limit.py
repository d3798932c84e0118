"""How much may be promised in all, and what is said where it is too much (no I/O).

A reservation is paced: its units over its window. The paces of all that hold at one moment together stay
within a part of what the fleet can do, as measured, so that the rest is there for those who reserve
nothing. A customer's own paces stay within a multiple of its plan's rate, and never pass its ceiling: a
reservation lets a customer use more at once than its burst, but not more than was sold.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from troutdock.reservations.entries import Reservation

MAX_COMMITTED_FRACTION = (
    0.3  # of the fleet's units a second: on the worst days use inside quotas takes 83 to 100% of them
)
MAX_PLAN_RATE_MULTIPLE = 4.0  # a customer's reservations at one moment, against its plan's rate
MIN_WINDOW_MS = 10_000.0  # a shorter window is paced as if it were this long: its units come at once anyway


@dataclass(frozen=True, slots=True)
class CommitmentBounds:
    """What the fleet and the customer's plan can bear, in units a second; ceiling 0: the plan has none."""

    fleet: float
    rate: float
    ceiling: float = 0.0


@dataclass(frozen=True, slots=True)
class CommitmentDecision:
    """Whether it may be promised. If not: why, the most units that may be, and when all of them could begin.

    from_ms: the earliest moment, infinite if there is none: then fewer units or a longer window are needed.
    """

    granted: bool
    why: str = ""
    units: float = 0.0
    from_ms: float = 0.0


def max_reserved_rate(rate: float, ceiling: float = 0.0) -> float:
    """Units a second that a customer of a plan may have reserved at one moment."""
    return min(MAX_PLAN_RATE_MULTIPLE * rate, ceiling) if ceiling else MAX_PLAN_RATE_MULTIPLE * rate


def reserved_rate(reservation: Reservation) -> float:
    """Units a second while it holds."""
    return reservation.units / max(MIN_WINDOW_MS, reservation.until_ms - reservation.from_ms) * 1000


def peak_rate(held: Iterable[Reservation], from_ms: float, until_ms: float) -> float:
    """The highest sum of paces at any moment of a window."""
    steps: list[tuple[float, float]] = []
    for reservation in held:
        begins, ends = max(from_ms, reservation.from_ms), min(until_ms, reservation.ends_ms)
        if begins < ends:
            steps += [(begins, reserved_rate(reservation)), (ends, -reserved_rate(reservation))]
    most = now = 0.0
    for _, change in sorted(steps):  # at one moment those that end go first
        now += change
        most = max(most, now)
    return most


def decide(wanted: Reservation, held: Iterable[Reservation], terms: CommitmentBounds) -> CommitmentDecision:
    """Whether it may be promised beside what is held already.

    Its own earlier form among that does not count.
    """
    others = [r for r in held if r.id != wanted.id]
    own = [r for r in others if r.customer == wanted.customer]
    most_own = max_reserved_rate(terms.rate, terms.ceiling)
    room = _available_rate(others, own, wanted.from_ms, wanted.until_ms, terms.fleet, most_own)
    if reserved_rate(wanted) <= room + 1e-9:
        return CommitmentDecision(True, units=wanted.units)
    span = max(MIN_WINDOW_MS, wanted.until_ms - wanted.from_ms) / 1000
    fleet_short = (
        MAX_COMMITTED_FRACTION * terms.fleet - peak_rate(others, wanted.from_ms, wanted.until_ms)
        <= room + 1e-9
    )
    why = "the fleet has promised all that it may" if fleet_short else "more than the customer's plan bears"
    return CommitmentDecision(
        False, why, max(0.0, room * span), _earliest_start(wanted, others, own, terms.fleet, most_own)
    )


def _available_rate(
    others: list[Reservation],
    own: list[Reservation],
    from_ms: float,
    until_ms: float,
    fleet: float,
    most_own: float,
) -> float:
    return min(
        MAX_COMMITTED_FRACTION * fleet - peak_rate(others, from_ms, until_ms),
        most_own - peak_rate(own, from_ms, until_ms),
    )


def _earliest_start(
    wanted: Reservation, others: list[Reservation], own: list[Reservation], fleet: float, most_own: float
) -> float:
    """Room comes when one that is held ends: only then can a window of the same length begin to fit."""
    length = wanted.until_ms - wanted.from_ms
    for begins in sorted({r.ends_ms for r in others if r.ends_ms > wanted.from_ms}):
        if (
            reserved_rate(wanted)
            <= _available_rate(others, own, begins, begins + length, fleet, most_own) + 1e-9
        ):
            return begins
    return float("inf")
