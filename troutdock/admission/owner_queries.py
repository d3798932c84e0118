"""Asker side of shared quotas: which owner is queried, time-outs and fail-over (no I/O, no clock).

Theory of operation. Each customer has an ordered list of owners: gateways of its set, chosen by its key.
bucket_owner.py is the owner side; this module reaches owners over datagrams that may be late or lost:

    responsive    a query goes to the first owner of the list that is not unresponsive
    late          no reply within the mean round trip plus TIMEOUT_DEVIATIONS: the same query is sent once
                  more, and counts once
    unresponsive  late twice: the next owner is queried; this one again after a back-off that doubles, or
                  as soon as any datagram from it arrives
    unreachable   UNREACHABLE_AFTER time-outs in a row and no datagram from any peer: owners are queried only
                  once per PROBE_MS; the counter and the slices decide, as without peers

Invariant. Reported use is with one owner at a time: the next one gets it only after the first is given up.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Generic, TypeVar

from troutdock.admission.owner_query_codec import OwnerQuery
from troutdock.admission.bucket_replication import NO_STANDBY
from troutdock.admission.usage_digest_codec import customer_key
from troutdock.admission.usage_gossip import INTAKE_SHARE, MIN_INTERVAL_MS

OWNER_RANKS, RANK_SPACING = 3, 0.382  # owners in a customer's list; their distance, as a share of its set
TIMEOUT_DEVIATIONS, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS = 4.0, 30.0, 300.0
INITIAL_ROUND_TRIP_MS = 55.0  # until the first reply: the longest round trip that the protocol allows
MAX_ATTEMPTS = 2  # of one query at one owner
BACKOFF_MS, MAX_BACKOFF_MS = 500.0, 8000.0  # for an unresponsive owner, doubled each time
UNREACHABLE_AFTER, PROBE_MS = 4, 250.0

Context = TypeVar("Context")  # the caller's data, returned with the reply


@dataclass(slots=True)
class PendingQuery(Generic[Context]):
    """A query without a reply yet."""

    owner: int
    query: OwnerQuery
    context: Context
    sent_at: float
    attempts: int = 1


class OwnerQueries(Generic[Context]):
    """The pending queries of one gateway, and what it knows of owners' responsiveness."""

    def __init__(self, gateways: int, index: int, intake_per_s: float, random: Random) -> None:
        """intake_per_s: datagrams that a gateway can take in; 0: queries are not allowed."""
        self._gateways, self._index = gateways, index
        # in a smaller fleet digests to all peers arrive sooner and cost no more
        self.enabled = (
            intake_per_s > 0 and 1000 * (gateways - 1) / intake_per_s / INTAKE_SHARE > MIN_INTERVAL_MS
        )
        self._number = random.randrange(1 << 16)
        self.pending: dict[int, PendingQuery[Context]] = {}  # by number, in order of sending
        self._unresponsive: dict[int, tuple[int, float]] = {}  # by gateway: time-outs, end of the back-off
        self._mean_ms, self._deviation_ms = INITIAL_ROUND_TRIP_MS, 0.0  # of round trips
        self._timeouts, self._probed_at = 0, -inf

    def owner(self, now: float, customer: int, first: int, width: int) -> tuple[int, int] | None:
        """Returns the owner to query and its standby, or None if no owner can be reached.

        first, width: the customer's set of gateways, consecutive by number.
        """
        if not self.enabled:
            return None
        key, step = customer_key(customer), max(1, round(RANK_SPACING * width))
        order = [
            (first + (key + rank * step) % width) % self._gateways for rank in range(min(width, OWNER_RANKS))
        ]
        for rank, gateway in enumerate(order):
            standby = NO_STANDBY if len(order) == 1 else order[0] if rank else order[1]
            if gateway == self._index:
                return gateway, standby
            if now >= self._unresponsive.get(gateway, (0, -inf))[1]:
                if self._timeouts >= UNREACHABLE_AFTER and now - self._probed_at < PROBE_MS:
                    return None
                self._probed_at = now
                return gateway, standby
        return None

    @property
    def timeout_ms(self) -> float:
        """How long to wait for a reply."""
        return max(
            MIN_TIMEOUT_MS, min(MAX_TIMEOUT_MS, self._mean_ms + TIMEOUT_DEVIATIONS * self._deviation_ms)
        )

    def start(self, now: float, owner: int, query: OwnerQuery, context: Context) -> bytes:
        """Registers a query and returns its datagram."""
        self._number = (self._number + 1) % (1 << 16)
        self.pending[self._number] = PendingQuery(owner, query, context, now)
        return query.encode(self._number)

    def pop_overdue(self, now: float) -> Iterator[tuple[int, PendingQuery[Context]]]:
        """Removes and yields the queries that timed out, in order of sending."""
        while self.pending:
            number, entry = next(iter(self.pending.items()))
            if now - entry.sent_at < self.timeout_ms:
                return
            del self.pending[number]
            self._timeouts += 1
            misses, until = self._unresponsive.get(entry.owner, (0, -inf))
            if entry.attempts >= MAX_ATTEMPTS and now >= until:  # otherwise it is already backed off
                self._unresponsive[entry.owner] = (
                    misses + 1,
                    now + min(MAX_BACKOFF_MS, BACKOFF_MS * 2**misses),
                )
            yield number, entry

    def resend(self, now: float, number: int, entry: PendingQuery[Context]) -> bytes | None:
        """Returns the datagram of another attempt, or None if its owner is to be given up."""
        if entry.attempts >= MAX_ATTEMPTS or now < self._unresponsive.get(entry.owner, (0, -inf))[1]:
            return None
        entry.attempts, entry.sent_at = entry.attempts + 1, now
        self.pending[number] = entry
        return entry.query.encode(number)

    def record_contact(self, sender: int) -> None:
        """Records that a datagram of a peer arrived: it is responsive and the network works."""
        self._timeouts = 0
        self._unresponsive.pop(sender, None)

    def complete(self, now: float, sender: int, number: int) -> PendingQuery[Context] | None:
        """Removes and returns the query that a reply belongs to, or None if none is pending."""
        entry = self.pending.get(number)
        if entry is None or entry.owner != sender:
            return None
        del self.pending[number]
        if entry.attempts == 1:  # after a repeat it is unknown which attempt was answered
            error_ms = now - entry.sent_at - self._mean_ms
            self._mean_ms += error_ms / 8
            self._deviation_ms += (abs(error_ms) - self._deviation_ms) / 4
        return entry
