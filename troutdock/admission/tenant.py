"""What one ingress remembers of a tenant beside its leases: DIBA's queue and sums (no I/O, no clock).

Times are milliseconds, rates requests a second. A refused try's return time is DIBA's, with the sums of job
times; the part of the quota that it is reckoned with is the tenant's share here (troutdock.quota.leases).
"""

from __future__ import annotations

from troutdock.admission.diba import VirtualQueue, variation_of
from troutdock.admission.interface import Plan

EARLY_MS, NO_SHOW_MS = 60.0, 1500.0  # a try so long before or after a return time is the one that was told it
PACE_MS = 2000.0  # over how long the pace of a tenant without a limit is taken
AGE = 0.995  # weight of the past in the sums of job times: some 200 answers count


class Tenant(VirtualQueue):
    """One tenant at one ingress."""

    __slots__ = ("answers", "job_squares", "job_sum", "pace", "paced_at", "plan")

    def __init__(self, plan: Plan, now: float) -> None:
        """Begin with nothing known of its jobs."""
        super().__init__(now)
        self.plan = plan
        self.pace, self.paced_at = 0.0, now  # tries a second, for a tenant without a limit
        self.answers, self.job_sum, self.job_squares = 0.0, 0.0, 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a quota to keep."""
        return self.plan.rate > 0

    def record_arrival(self, now: float) -> None:
        """A try has come."""
        self.pace *= max(0.0, 1 - (now - self.paced_at) / PACE_MS)
        self.pace += 1000 / PACE_MS
        self.paced_at = now

    def take_appointment(self, now: float) -> bool:
        """Whether a try is one that was told to come back now; its place in the queue is free then."""
        queue = self.appointments
        while queue and queue[0] < now - NO_SHOW_MS:
            queue.popleft()
        if queue and queue[0] <= now + EARLY_MS:
            queue.popleft()
            return True
        return False

    def record_answer(self, job_ms: float) -> None:
        """A job's time, for DIBA's sums; old ones age."""
        self.answers = self.answers * AGE + 1
        self.job_sum = self.job_sum * AGE + job_ms
        self.job_squares = self.job_squares * AGE + job_ms * job_ms

    def return_time(self, now: float, share: float) -> float:
        """DIBA: for how many milliseconds a refused try is to stay away; share: of the quota, here."""
        fill = self.plan.rate * share if self.is_limited else max(1.0, self.pace)
        spread = variation_of(int(self.answers), self.job_sum, self.job_squares) if self.answers >= 2 else 0.0
        return self.schedule_return(now, fill * (1 + spread), NO_SHOW_MS)
