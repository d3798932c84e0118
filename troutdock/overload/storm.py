"""Detection of retry storms from the request counters, with one log line for each change.

Theory of operation. Once a second the detector compares the counters of the ingress with those of the last
check. A check shows a storm if one of the signs below is present; each is caused by clients that return too
often or all at once. The first such check starts a storm; CALM_CHECKS checks without a sign end it.

    sign                  condition
    turned away unread    over MAX_UNREAD_FRACTION of the requests had waited too long for this process
    refused               over MAX_REJECTED_FRACTION of the requests were rejected, for any reason
    retries               over MAX_RETRY_FRACTION of the requests were marked as a client's retry
    mass reconnect        the ingress started at most STARTUP_S ago, and more than MAX_RECONNECT_FRACTION of
                          its client connection slots were newly taken within a second

    calm   check with a sign              -> storm: "storm begins", with each sign and its value
    storm  every CHECKS_PER_REPORT checks -> "storm for", the rejected fraction and the expected end
    storm  CALM_CHECKS without a sign     -> calm: "storm over", with the totals

The expected end extrapolates the recent decrease of the rejected fraction; without a decrease none is given.
The detector only logs. The measures against a storm (bound on waits, paced accepts, connections closed with a
response) act on each message and connection independently of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

CHECK_INTERVAL_MS = 1000.0  # several hundred requests on a busy ingress, enough for meaningful fractions
MIN_REQUESTS_PER_S = 50  # fewer requests are never a storm, whatever their fractions
MAX_UNREAD_FRACTION, MAX_REJECTED_FRACTION, MAX_RETRY_FRACTION = 0.05, 0.5, 0.4
MAX_RECONNECT_FRACTION = 0.5  # of the client connection slots
STARTUP_S = 10.0
CALM_CHECKS = 3
CHECKS_PER_REPORT = 5


@dataclass(slots=True)
class RequestCounts:
    """Counters since the start of the ingress."""

    requests: int = 0
    rejected: int = 0
    rejected_unread: int = 0
    retries: int = 0
    connections: int = 0

    def since(self, before: RequestCounts) -> RequestCounts:
        """Returns the differences to an earlier value."""
        return RequestCounts(
            self.requests - before.requests,
            self.rejected - before.rejected,
            self.rejected_unread - before.rejected_unread,
            self.retries - before.retries,
            self.connections - before.connections,
        )


class StormDetector:
    """Detects storms. max_clients: limit on client connections. report: receives each log line."""

    def __init__(self, now_ms: float, max_clients: int, report: Callable[[str], object]) -> None:
        self._process_started_at, self._checked_at, self._max_clients, self._report = (
            now_ms,
            now_ms,
            max_clients,
            report,
        )
        # At the last check, and at the start of the storm.
        self._last, self._at_start = RequestCounts(), RequestCounts()
        self._storm_started_at: float | None = None  # None: no storm
        self._calm_checks = self._checks_since_report = 0  # checks without a sign, and without a report
        self._rejected_fraction = self._decrease_per_s = 0.0  # recent fraction, and its smoothed decrease

    @property
    def active(self) -> bool:
        """True during a storm."""
        return self._storm_started_at is not None

    def update(self, now_ms: float, counts: RequestCounts, lag_ms: float) -> None:
        """Checks the counters if CHECK_INTERVAL_MS have passed. lag_ms: event loop lag."""
        elapsed_s = (now_ms - self._checked_at) / 1000
        if elapsed_s * 1000 < CHECK_INTERVAL_MS:
            return
        before, self._last, self._checked_at = self._last, counts, now_ms
        recent = counts.since(before)
        signs = self._signs(recent, elapsed_s, now_ms)
        fraction = recent.rejected / recent.requests if recent.requests else 0.0
        self._decrease_per_s = (
            self._rejected_fraction - fraction
        ) / elapsed_s * 0.5 + self._decrease_per_s * 0.5
        self._rejected_fraction = fraction
        if self._storm_started_at is None:
            if signs:
                self._storm_started_at, self._at_start = now_ms - elapsed_s * 1000, before
                self._calm_checks = self._checks_since_report = 0
                self._decrease_per_s = 0.0
                self._report(f"storm begins: {', '.join(signs)}; {lag_ms:.0f} ms late")
            return
        self._calm_checks = 0 if signs else self._calm_checks + 1
        self._checks_since_report += 1
        lasted_s = (now_ms - self._storm_started_at) / 1000
        if self._calm_checks >= CALM_CHECKS:
            total = counts.since(self._at_start)
            self._storm_started_at = None
            self._report(
                f"storm over after {lasted_s:.0f} s: {total.requests} requests, {total.rejected} refused, "
                f"{total.rejected_unread} of them unread"
            )
        elif self._checks_since_report >= CHECKS_PER_REPORT:
            self._checks_since_report = 0
            request_count = max(1, recent.requests)
            self._report(
                f"storm for {lasted_s:.0f} s: {recent.requests / elapsed_s:.0f} requests a second, "
                f"{fraction:.0%} refused, {recent.rejected_unread / request_count:.0%} unread, "
                f"{recent.retries / request_count:.0%} retries, {lag_ms:.0f} ms late; {self._expected_end()}"
            )

    def _signs(self, recent: RequestCounts, elapsed_s: float, now_ms: float) -> list[str]:
        signs = []
        if recent.requests >= MIN_REQUESTS_PER_S * elapsed_s:
            for count, max_fraction, description in (
                (recent.rejected_unread, MAX_UNREAD_FRACTION, "turned away unread"),
                (recent.rejected, MAX_REJECTED_FRACTION, "refused"),
                (recent.retries, MAX_RETRY_FRACTION, "retries"),
            ):
                if count > max_fraction * recent.requests:
                    signs.append(f"{count / recent.requests:.0%} {description}")
        recently_started = now_ms - self._process_started_at < STARTUP_S * 1000
        if recently_started and recent.connections > MAX_RECONNECT_FRACTION * self._max_clients * elapsed_s:
            signs.append(f"{recent.connections / elapsed_s:.0f} new connections a second after the start")
        return signs

    def _expected_end(self) -> str:
        """Returns the expected end: when the rejected fraction reaches zero, plus the calm checks."""
        if self._rejected_fraction == 0:
            return f"should end in {CALM_CHECKS - self._calm_checks} s"
        if self._decrease_per_s < 0.005:
            return "not falling yet"
        return (
            f"should end in {min(999.0, self._rejected_fraction / self._decrease_per_s) + CALM_CHECKS:.0f} s"
        )
