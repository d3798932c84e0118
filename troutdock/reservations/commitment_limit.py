"""Limits on the units that may be reserved in total, and the counter-offer if a limit is exceeded (no I/O).

The reserved rate of a reservation is its units divided by its window. The sum of the reserved rates at any
moment stays within a fraction of the measured capacity of the fleet, which leaves the rest to customers
without reservations. The sum for one customer stays within a multiple of its plan's rate and never exceeds
the plan's ceiling: a reservation lets a customer use more at once than its burst, but not more than its plan
allows.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from troutdock.reservations.entries import Reservation

# Of the fleet's units per second: usage within quotas takes 83 to 100% of them on the busiest days.
MAX_COMMITTED_FRACTION = 0.3
MAX_PLAN_RATE_MULTIPLE = 4.0  # limit of a customer's reserved rate, relative to its plan's rate
MIN_WINDOW_MS = 10_000.0  # the rate of a shorter window is computed over this: its units are used at once


@dataclass(frozen=True, slots=True)
class CommitmentBounds:
    """Capacity of the fleet, and rate and ceiling of the customer's plan, in units/s; ceiling 0: none."""

    fleet: float
    rate: float
    ceiling: float = 0.0


@dataclass(frozen=True, slots=True)
class CommitmentDecision:
    """Whether a reservation is granted; if not, the reason and two alternatives.

    Attributes:
        units: the largest amount that would be granted in the requested window.
        from_ms: the earliest start at which the full amount would be granted; infinite if there is none, so
            that fewer units or a longer window are needed.
    """

    granted: bool
    why: str = ""
    units: float = 0.0
    from_ms: float = 0.0


def max_reserved_rate(rate: float, ceiling: float = 0.0) -> float:
    """Returns the maximum reserved rate of a customer with this plan, in units/s."""
    return min(MAX_PLAN_RATE_MULTIPLE * rate, ceiling) if ceiling else MAX_PLAN_RATE_MULTIPLE * rate


def reserved_rate(reservation: Reservation) -> float:
    """Returns the units per second during the reservation's window."""
    return reservation.units / max(MIN_WINDOW_MS, reservation.until_ms - reservation.from_ms) * 1000


def peak_rate(reservations: Iterable[Reservation], from_ms: float, until_ms: float) -> float:
    """Returns the highest sum of reserved rates at any moment of a window, in units/s."""
    steps: list[tuple[float, float]] = []
    for reservation in reservations:
        begins, ends = max(from_ms, reservation.from_ms), min(until_ms, reservation.ends_ms)
        if begins < ends:
            steps += [(begins, reserved_rate(reservation)), (ends, -reserved_rate(reservation))]
    highest = current = 0.0
    for _, change in sorted(steps):  # at equal times, ends sort before starts
        current += change
        highest = max(highest, current)
    return highest


def decide(
    wanted: Reservation, existing: Iterable[Reservation], bounds: CommitmentBounds
) -> CommitmentDecision:
    """Decides whether a reservation may be granted beside the existing ones.

    An earlier version of the same reservation among them is not counted.
    """
    others = [r for r in existing if r.id != wanted.id]
    own = [r for r in others if r.customer == wanted.customer]
    own_limit = max_reserved_rate(bounds.rate, bounds.ceiling)
    available = _available_rate(others, own, wanted.from_ms, wanted.until_ms, bounds.fleet, own_limit)
    if reserved_rate(wanted) <= available + 1e-9:
        return CommitmentDecision(True, units=wanted.units)
    window_s = max(MIN_WINDOW_MS, wanted.until_ms - wanted.from_ms) / 1000
    fleet_limited = (
        MAX_COMMITTED_FRACTION * bounds.fleet - peak_rate(others, wanted.from_ms, wanted.until_ms)
        <= available + 1e-9
    )
    why = (
        "reservations of the fleet have reached their limit"
        if fleet_limited
        else "the request exceeds the limit of the customer's plan"
    )
    return CommitmentDecision(
        False,
        why,
        max(0.0, available * window_s),
        _earliest_start(wanted, others, own, bounds.fleet, own_limit),
    )


def _available_rate(
    others: list[Reservation],
    own: list[Reservation],
    from_ms: float,
    until_ms: float,
    fleet: float,
    own_limit: float,
) -> float:
    return min(
        MAX_COMMITTED_FRACTION * fleet - peak_rate(others, from_ms, until_ms),
        own_limit - peak_rate(own, from_ms, until_ms),
    )


def _earliest_start(
    wanted: Reservation, others: list[Reservation], own: list[Reservation], fleet: float, own_limit: float
) -> float:
    """Returns the earliest start at which the window fits; only the end of a reservation frees capacity."""
    length = wanted.until_ms - wanted.from_ms
    for begins in sorted({r.ends_ms for r in others if r.ends_ms > wanted.from_ms}):
        if (
            reserved_rate(wanted)
            <= _available_rate(others, own, begins, begins + length, fleet, own_limit) + 1e-9
        ):
            return begins
    return float("inf")
