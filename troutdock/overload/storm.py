"""Storms: recognised from what passes anyway, and told to the operator in one line.

Theory of operation. Once a second the watch compares the sums that the ingress keeps with those of a second
before. A second is stormy if one of the signs below stands out, each of which clients that come back too
often, or all at once, bring about. The first stormy second begins a storm; CALM_S seconds without a sign end
it.

    sign                  a storm where
    turned away unread    over TURNED_PART of the requests had waited too long for this process
    refused               over REFUSED_PART of the requests were refused, for whatever reason
    marked retries        over RETRIES_PART of the requests were a client's retry
    mass return           this ingress is FRESH_S old at most, and has over RETURN_PART of its places taken
                          anew within the second

    calm   a stormy second        -> storm: "storm begins", with each sign and its figure
    storm  every TOLD_S seconds   -> "storm for", what is refused, and when it should end
    storm  CALM_S calm seconds    -> calm: "storm over", with the sums

When it should end is where the refused part of the last seconds leads, if it goes on falling as it does;
while it does not fall nothing is promised. The watch only tells: what damps a storm (the bound on waits, the
pace of accepts, connections that end with an answer) acts on each message and connection by itself, storm or
not.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

CHECK_INTERVAL_MS = (
    1000.0  # between two looks: some hundred requests on a busy ingress, so that parts mean something
)
MIN_REQUESTS_PER_S = 50  # requests in a second: fewer are no storm, whatever their parts
MAX_UNREAD_FRACTION, MAX_REJECTED_FRACTION, MAX_RETRY_FRACTION = 0.05, 0.5, 0.4
MAX_RECONNECT_FRACTION = 0.5  # of the places for clients
STARTUP_S = 10.0
CALM_CHECKS = 3  # looks
CHECKS_PER_REPORT = 5  # looks between two lines


@dataclass(slots=True)
class RequestCounts:
    """What has been since the start of the ingress."""

    requests: int = 0
    rejected: int = 0
    rejected_unread: int = 0
    retries: int = 0
    connections: int = 0

    def since(self, before: RequestCounts) -> RequestCounts:
        """What has come since then."""
        return RequestCounts(
            self.requests - before.requests,
            self.rejected - before.rejected,
            self.rejected_unread - before.rejected_unread,
            self.retries - before.retries,
            self.connections - before.connections,
        )


class StormDetector:
    """Tells of storms; places: how many connections of clients there may be."""

    def __init__(self, now_ms: float, places: int, tell: Callable[[str], object]) -> None:
        self._process_started_at, self._checked_at, self._max_clients, self._report = (
            now_ms,
            now_ms,
            places,
            tell,
        )
        self._last, self._at_start = (
            RequestCounts(),
            RequestCounts(),
        )  # at the last look, and when the storm began
        self._storm_started_at: float | None = None  # when the storm began
        self._calm_checks = self._checks_since_report = 0  # looks without a sign, and without a line
        self._rejected_fraction = self._decrease_per_s = (
            0.0  # refused of late, and what goes off it in a second
        )

    @property
    def active(self) -> bool:
        """There is a storm."""
        return self._storm_started_at is not None

    def update(self, now_ms: float, sums: RequestCounts, lag_ms: float) -> None:
        """Once in LOOK_MS, or more often; lag_ms: how late the process is."""
        gone_s = (now_ms - self._checked_at) / 1000
        if gone_s * 1000 < CHECK_INTERVAL_MS:
            return
        before, self._last, self._checked_at = self._last, sums, now_ms
        lately = sums.since(before)
        signs = self._signs(lately, gone_s, now_ms)
        part = lately.rejected / lately.requests if lately.requests else 0.0
        self._decrease_per_s = (self._rejected_fraction - part) / gone_s * 0.5 + self._decrease_per_s * 0.5
        self._rejected_fraction = part
        if self._storm_started_at is None:
            if signs:
                self._storm_started_at, self._at_start = now_ms - gone_s * 1000, before
                self._calm_checks = self._checks_since_report = 0
                self._decrease_per_s = 0.0
                self._report(f"storm begins: {', '.join(signs)}; {lag_ms:.0f} ms late")
            return
        self._calm_checks = 0 if signs else self._calm_checks + 1
        self._checks_since_report += 1
        lasted_s = (now_ms - self._storm_started_at) / 1000
        if self._calm_checks >= CALM_CHECKS:
            total = sums.since(self._at_start)
            self._storm_started_at = None
            self._report(
                f"storm over after {lasted_s:.0f} s: {total.requests} requests, {total.rejected} refused, "
                f"{total.rejected_unread} of them unread"
            )
        elif self._checks_since_report >= CHECKS_PER_REPORT:
            self._checks_since_report = 0
            all_taken = max(1, lately.requests)
            self._report(
                f"storm for {lasted_s:.0f} s: {lately.requests / gone_s:.0f} requests a second, "
                f"{part:.0%} refused, {lately.rejected_unread / all_taken:.0%} unread, "
                f"{lately.retries / all_taken:.0%} retries, {lag_ms:.0f} ms late; {self._end()}"
            )

    def _signs(self, lately: RequestCounts, gone_s: float, now_ms: float) -> list[str]:
        signs = []
        if lately.requests >= MIN_REQUESTS_PER_S * gone_s:
            for count, most, what in (
                (lately.rejected_unread, MAX_UNREAD_FRACTION, "turned away unread"),
                (lately.rejected, MAX_REJECTED_FRACTION, "refused"),
                (lately.retries, MAX_RETRY_FRACTION, "retries"),
            ):
                if count > most * lately.requests:
                    signs.append(f"{count / lately.requests:.0%} {what}")
        fresh = now_ms - self._process_started_at < STARTUP_S * 1000
        if fresh and lately.connections > MAX_RECONNECT_FRACTION * self._max_clients * gone_s:
            signs.append(f"{lately.connections / gone_s:.0f} new connections a second after the start")
        return signs

    def _end(self) -> str:
        """When the refused part comes to nothing as it falls now; the calm seconds that end it included."""
        if self._rejected_fraction == 0:
            return f"should end in {CALM_CHECKS - self._calm_checks} s"
        if self._decrease_per_s < 0.005:
            return "not falling yet"
        return (
            f"should end in {min(999.0, self._rejected_fraction / self._decrease_per_s) + CALM_CHECKS:.0f} s"
        )
