"""DIBA's return times: the virtual queue of refused clients (no I/O, no clock)."""

from __future__ import annotations

from collections import deque
from math import sqrt

MAX_QUEUE_MS = 10_000.0  # longest virtual queue: clients that return at once would extend it without limit


def variation_of(answers: int, total: float, squares: float) -> float:
    """Coefficient of variation, from a count, a sum and a sum of squares; 0 for fewer than two values."""
    if answers < 2 or total <= 0:
        return 0.0
    mean = total / answers
    return sqrt(max(0.0, squares / answers - mean * mean)) / mean


class VirtualQueue:
    """The paper's endOfQueueTime, and the appointments, whose number is its virtualQueueLength."""

    __slots__ = ("appointments", "end_of_queue_time")

    def __init__(self, now: float) -> None:
        self.end_of_queue_time = now
        self.appointments: deque[float] | None = None  # until the first refusal

    def schedule_return(self, now: float, desired_return_rate: float, no_show_ms: float) -> float:
        """Returns the delay in ms until a refused client may return, by the paper's Algorithm 6.

        desired_return_rate: returns per second. no_show_ms: appointments older than this are dropped.
        """
        if self.appointments is None:
            self.appointments = deque()
        while self.appointments and self.appointments[0] <= now - no_show_ms:
            self.appointments.popleft()
        queue_interval = 1000 / desired_return_rate
        client_wait_duration = queue_interval * (len(self.appointments) + 1)
        self.end_of_queue_time = max(self.end_of_queue_time, now)
        if now + client_wait_duration - self.end_of_queue_time < queue_interval:
            return_at = now + client_wait_duration
            self.end_of_queue_time = max(self.end_of_queue_time, return_at)
        else:
            return_at = self.end_of_queue_time = self.end_of_queue_time + queue_interval
        if return_at > now + MAX_QUEUE_MS:  # no client waits that long: no appointment
            self.end_of_queue_time = min(self.end_of_queue_time, now + MAX_QUEUE_MS)
            return MAX_QUEUE_MS
        self.appointments.append(return_at)
        return return_at - now
