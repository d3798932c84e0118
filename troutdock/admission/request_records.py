"""Requests at one gateway: those not answered yet, and keyed ones that may have run (no I/O, no clock)."""

from __future__ import annotations

from math import inf

from troutdock.admission.backend_health import Backend, Pool
from troutdock.admission.interface import Group, RequestArrived, RequestClass
from troutdock.admission.customer_quota import Customer

WHOLE = 0.95  # of the usual time-out: a retry with less of it has begun to run out of its deadline
KEYS, KEY_MS = 20_000, 600_000.0  # keyed requests that are remembered: at most, and for how long


class Call:
    """A request not yet answered: what has been tried and what may have run."""

    def __init__(
        self,
        event: RequestArrived,
        cls: RequestClass,
        customer: Customer,
        now: float,
        pool: Pool,
        most: int,
        usual_ms: float,
    ) -> None:
        self.event, self.cls, self.customer, self.pool, self.most = event, cls, customer, pool, most
        self.usual_ms = usual_ms  # the time-out that first tries of its class have here
        self.work = pool.unit_ms[event.cls] * max(event.units, 0.01)
        self.give_up, self.aim = now + event.time_left_ms, now + min(cls.aim_ms, event.time_left_ms)
        self.tried: list[Backend] = []
        self.out: list[int] = []  # the attempts that have not ended
        self.may_have_run = self.begun = False  # begun: the answer is on its way to the client
        self.ran_group: tuple[Group, int] | None = None
        self.ran_until = inf

    @property
    def age_ms(self) -> float:
        """As a retry: how long ago its first try came, at most. Clients wait no longer than the deadline."""
        return self.cls.deadline_ms - self.event.time_left_ms

    @property
    def tardy(self) -> bool:
        """As a retry: too late for its aim.

        A time-out as long as a first try's tells no age: clients may give each try a part of the deadline.
        """
        told = self.event.time_left_ms < WHOLE * self.usual_ms
        return told and self.age_ms + self.work > self.cls.aim_ms


class Booked:
    """Which keyed requests were sent and may have run: a client's retry must not run them a second time.

    One whose first try was refused is remembered too: its retry is known to be harmless. Nodes drop repeats
    within the class's window, counted from the first send. What is forgotten, by age or for want of room, is
    the oldest; a retry of it counts as a first try.
    """

    def __init__(self) -> None:
        # when it was sent first, whose backends know it (None: it was refused unsent), by how many requests
        self.first: dict[int, tuple[float, tuple[Group, int] | None, int]] = {}

    def note(self, now: float, key: int, group: tuple[Group, int] | None) -> None:
        """An attempt goes out, or a first try is refused (None); only the first send of a key counts."""
        known = self.first.get(key)
        if key and (known is None or (known[1] is None and group is not None)):
            self.first.pop(key, None)
            self.first[key] = now, group, 1
            oldest = next(iter(self.first))
            if len(self.first) > KEYS or now - self.first[oldest][0] > KEY_MS:
                del self.first[oldest]

    def recall(self, now: float, call: Call) -> bool:
        """What an earlier try of the request has left is true of this one; false: none is known."""
        known = self.first.get(call.event.key)
        if known is None or now - known[0] >= KEY_MS:
            return False
        sent_at, group, requests = known
        if group is not None:
            self.first[call.event.key] = sent_at, group, requests + 1
            call.may_have_run, call.ran_group = True, group
            call.ran_until = sent_at + call.cls.window_ms
        return True

    def never_ran(self, now: float, key: int) -> None:
        """A request is refused, and none of its own attempts has run; another one's of its key may have."""
        if key and self.first.get(key, (0.0, None, 1))[2] == 1:
            self.first.pop(key, None)
            self.note(now, key, None)
