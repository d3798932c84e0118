"""One proxy's state of a tenant beside its quota leases: DIBA's queue and job times (no I/O, no clock).

Times are milliseconds, rates requests per second. DIBA computes the retry time of a rejected request from the
sums of job times; the quota that it assumes is the tenant's share at this proxy (troutdock.quota.leases).
"""

from __future__ import annotations

from troutdock.admission.diba import VirtualQueue, variation_of
from troutdock.admission.interface import Plan

EARLY_MS, NO_SHOW_MS = 60.0, 1500.0  # a request this close before or after a retry time counts as that retry
ARRIVAL_WINDOW_MS = 2000.0  # window for the arrival rate of a tenant without a limit
JOB_TIME_DECAY = 0.995  # weight of the past in the sums of job times: some 200 responses count


class Tenant(VirtualQueue):
    """One tenant at one proxy."""

    __slots__ = ("arrival_rate", "arrival_rate_at", "job_squares", "job_sum", "plan", "sample_weight")

    def __init__(self, plan: Plan, now: float) -> None:
        """Starts without job times."""
        super().__init__(now)
        self.plan = plan
        # requests per second, for a tenant without a limit
        self.arrival_rate, self.arrival_rate_at = 0.0, now
        self.sample_weight, self.job_sum, self.job_squares = 0.0, 0.0, 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a quota."""
        return self.plan.rate > 0

    def record_arrival(self, now: float) -> None:
        """Records the arrival of a request."""
        self.arrival_rate *= max(0.0, 1 - (now - self.arrival_rate_at) / ARRIVAL_WINDOW_MS)
        self.arrival_rate += 1000 / ARRIVAL_WINDOW_MS
        self.arrival_rate_at = now

    def claim_appointment(self, now: float) -> bool:
        """Returns whether a request is a retry expected now, and frees its slot in the queue."""
        queue = self.appointments
        while queue and queue[0] < now - NO_SHOW_MS:
            queue.popleft()
        if queue and queue[0] <= now + EARLY_MS:
            queue.popleft()
            return True
        return False

    def record_response(self, job_ms: float) -> None:
        """Adds a job time to DIBA's sums and ages the earlier ones."""
        self.sample_weight = self.sample_weight * JOB_TIME_DECAY + 1
        self.job_sum = self.job_sum * JOB_TIME_DECAY + job_ms
        self.job_squares = self.job_squares * JOB_TIME_DECAY + job_ms * job_ms

    def retry_after_ms(self, now: float, share: float) -> float:
        """Returns the milliseconds until a rejected request is to be retried; share: of the quota, here."""
        refill_rate = self.plan.rate * share if self.is_limited else max(1.0, self.arrival_rate)
        spread = (
            variation_of(int(self.sample_weight), self.job_sum, self.job_squares)
            if self.sample_weight >= 2
            else 0.0
        )
        return self.schedule_return(now, refill_rate * (1 + spread), NO_SHOW_MS)
