"""DIBA's return times: the virtual queue of those that were refused (no I/O, no clock)."""

from __future__ import annotations

from collections import deque
from math import sqrt

QUEUE_MS = 10_000.0  # the longest virtual queue: clients that return at once would lengthen it without end


def spread_of(answers: int, total: float, squares: float) -> float:
    """sigma/mu of so many figures, from their sum and the sum of their squares; 0 until there are two."""
    if answers < 2 or total <= 0:
        return 0.0
    mean = total / answers
    return sqrt(max(0.0, squares / answers - mean * mean)) / mean


class VirtualQueue:
    """endOfQueueTime, and the appointments whose number is virtualQueueLength."""

    __slots__ = ("appointments", "end_of_queue_time")

    def __init__(self, now: float) -> None:
        self.end_of_queue_time = now
        self.appointments: deque[float] | None = None  # until somebody is refused

    def appoint(self, now: float, desired_return_rate: float, no_show: float) -> float:
        """The paper's Algorithm 6: how many milliseconds a refused client is to stay away.

        desired_return_rate: returns a second. no_show: so late an appointment was kept, or never will be.
        """
        if self.appointments is None:
            self.appointments = deque()
        while self.appointments and self.appointments[0] <= now - no_show:
            self.appointments.popleft()
        queue_interval = 1000 / desired_return_rate
        client_wait_duration = queue_interval * (len(self.appointments) + 1)
        self.end_of_queue_time = max(self.end_of_queue_time, now)
        if now + client_wait_duration - self.end_of_queue_time < queue_interval:
            back_at = now + client_wait_duration
            self.end_of_queue_time = max(self.end_of_queue_time, back_at)
        else:
            back_at = self.end_of_queue_time = self.end_of_queue_time + queue_interval
        if back_at > now + QUEUE_MS:  # nobody waits so long: it takes no place that others would stand behind
            self.end_of_queue_time = min(self.end_of_queue_time, now + QUEUE_MS)
            return QUEUE_MS
        self.appointments.append(back_at)
        return back_at - now
