"""Pending requests of one gateway, and keyed requests that may have run (no I/O, no clock)."""

from __future__ import annotations

from math import inf

from troutdock.admission.backend_health import Backend, Pool
from troutdock.admission.interface import Group, RequestArrived, RequestClass
from troutdock.admission.customer_quota import Customer

FULL_TIMEOUT = 0.95  # of the usual time-out: a retry with less is limited by its remaining deadline
MAX_KEYS, KEY_TTL_MS = 20_000, 600_000.0  # keyed requests kept: how many, and for how long


class Call:
    """A pending request: its attempts, and whether one may have run."""

    def __init__(
        self,
        event: RequestArrived,
        cls: RequestClass,
        customer: Customer,
        now: float,
        pool: Pool,
        max_attempts: int,
        usual_timeout_ms: float,
    ) -> None:
        self.event, self.cls, self.customer, self.pool, self.max_attempts = (
            event,
            cls,
            customer,
            pool,
            max_attempts,
        )
        self.usual_timeout_ms = usual_timeout_ms  # of first attempts of its class here
        self.work = pool.unit_ms[event.cls] * max(event.units, 0.01)
        self.deadline, self.target = now + event.time_left_ms, now + min(cls.aim_ms, event.time_left_ms)
        self.tried: list[Backend] = []
        self.pending: list[int] = []  # attempts that have not ended
        self.may_have_run = self.streaming = False  # streaming: the response has started
        self.dedup_group: tuple[Group, int] | None = None
        self.dedup_until = inf

    @property
    def age_ms(self) -> float:
        """For a retry: the largest time since its first attempt; clients wait at most until the deadline."""
        return self.cls.deadline_ms - self.event.time_left_ms

    @property
    def past_target(self) -> bool:
        """For a retry: whether it can no longer meet its latency target.

        A time-out as long as a first attempt's reveals no age: clients may give each attempt a part of the
        deadline.
        """
        shortened = self.event.time_left_ms < FULL_TIMEOUT * self.usual_timeout_ms
        return shortened and self.age_ms + self.work > self.cls.aim_ms


class KeyedRequests:
    """Keyed requests that were sent and may have run: a client's retry must not run them again.

    Requests refused at the first attempt are kept too, as their retries are known to be safe. Backends drop
    duplicates within the class's window, which starts with the first send. Entries beyond KEY_TTL_MS or
    MAX_KEYS are dropped, the oldest first; a retry of a dropped one counts as a first attempt.
    """

    def __init__(self) -> None:
        # by key: time of the first send, dedup group (None if refused unsent), request count
        self.entries: dict[int, tuple[float, tuple[Group, int] | None, int]] = {}

    def record(self, now: float, key: int, group: tuple[Group, int] | None) -> None:
        """Records a send, or a refused first attempt (group None); only the first send of a key counts."""
        known = self.entries.get(key)
        if key and (known is None or (known[1] is None and group is not None)):
            self.entries.pop(key, None)
            self.entries[key] = now, group, 1
            oldest = next(iter(self.entries))
            if len(self.entries) > MAX_KEYS or now - self.entries[oldest][0] > KEY_TTL_MS:
                del self.entries[oldest]

    def recall(self, now: float, call: Call) -> bool:
        """Applies the record of an earlier attempt to the call; returns False if there is none."""
        known = self.entries.get(call.event.key)
        if known is None or now - known[0] >= KEY_TTL_MS:
            return False
        sent_at, group, requests = known
        if group is not None:
            self.entries[call.event.key] = sent_at, group, requests + 1
            call.may_have_run, call.dedup_group = True, group
            call.dedup_until = sent_at + call.cls.window_ms
        return True

    def never_ran(self, now: float, key: int) -> None:
        """Records a refusal without any run; keeps the key if another request with it may have run."""
        if key and self.entries.get(key, (0.0, None, 1))[2] == 1:
            self.entries.pop(key, None)
            self.record(now, key, None)
