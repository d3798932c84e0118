"""What a gateway asks customers' homes: whom, how long it waits, and when again (no I/O, no clock).

Theory of operation. Each customer has an order of homes: gateways of its set, by its mark. bucket_owner.py
says what a home does; here is how it is reached over datagrams that are late or lost:

    answering  a question goes to the first home of the order that is not silent
    late       no answer within PATIENCE of what answers take: the same question again, which counts once
    silent     late twice: the next home is asked, and this one again after a pause that doubles, or when it
               is heard of
    deaf       DEAF questions late and nothing heard since: no home is asked but one in PROBE_MS; the counter
               and the slices decide as if there were no peers

Rule. What was told is one home's at a time: only when it is given up is it told to the next.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Generic, TypeVar

from troutdock.admission.owner_query_codec import Question
from troutdock.admission.bucket_replication import NOBODY
from troutdock.admission.usage_digest_codec import mark_of
from troutdock.admission.usage_gossip import INTAKE, LEAST_MS

RANKS, STEP = 3, 0.382  # homes in a customer's order, and how far apart they stand, as a part of its set
PATIENCE, SOONEST_MS, LATEST_MS = 4.0, 30.0, 300.0  # deviations over the mean; bounds of what is waited
FIRST_MS = 55.0  # what an answer takes as long as none came: the protocol's longest way there and back
TRIES = 2  # of one question at one home
PAUSE_MS, PAUSE_MOST_MS = 500.0, 8000.0  # a silent home is left alone for so long, doubled each time
DEAF, PROBE_MS = 4, 250.0

Holder = TypeVar("Holder")  # whom a question is about, as the gateway wants it back with the answer


@dataclass(slots=True)
class Asked(Generic[Holder]):
    """A question that has no answer yet."""

    home: int
    question: Question
    holder: Holder
    sent_at: float
    tries: int = 1


class Questions(Generic[Holder]):
    """Those of one gateway."""

    def __init__(self, gateways: int, index: int, intake_per_s: float, random: Random) -> None:
        """intake_per_s: the datagrams that a gateway takes in; 0: nothing may be told."""
        self._gateways, self._index = gateways, index
        # else digests to all are known sooner, and cost no more
        self.on = intake_per_s > 0 and 1000 * (gateways - 1) / intake_per_s / INTAKE > LEAST_MS
        self._number = random.randrange(1 << 16)
        self.open: dict[int, Asked[Holder]] = {}  # by number, the first sent first
        self._silent: dict[int, tuple[int, float]] = {}  # by gateway: how often it was late, left alone until
        self._mean_ms, self._spread_ms = FIRST_MS, 0.0  # what answers take
        self._late, self._probed_at = 0, -inf

    def home(self, now: float, customer: int, first: int, width: int) -> tuple[int, int] | None:
        """Whom to ask, of so many gateways in a row from the first, and who stands in for it.

        None: nobody can be reached.
        """
        if not self.on:
            return None
        mark, step = mark_of(customer), max(1, round(STEP * width))
        order = [(first + (mark + rank * step) % width) % self._gateways for rank in range(min(width, RANKS))]
        for rank, gateway in enumerate(order):
            other = NOBODY if len(order) == 1 else order[0] if rank else order[1]
            if gateway == self._index:
                return gateway, other
            if now >= self._silent.get(gateway, (0, -inf))[1]:
                if self._late >= DEAF and now - self._probed_at < PROBE_MS:
                    return None
                self._probed_at = now
                return gateway, other
        return None

    @property
    def patience_ms(self) -> float:
        """How long an answer is waited for."""
        return max(SOONEST_MS, min(LATEST_MS, self._mean_ms + PATIENCE * self._spread_ms))

    def ask(self, now: float, home: int, question: Question, holder: Holder) -> bytes:
        """The datagram to a home."""
        self._number = (self._number + 1) % (1 << 16)
        self.open[self._number] = Asked(home, question, holder, now)
        return question.bytes(self._number)

    def overdue(self, now: float) -> Iterator[tuple[int, Asked[Holder]]]:
        """Questions that should have had their answer, the first sent first; they are open no more."""
        while self.open:
            number, asked = next(iter(self.open.items()))
            if now - asked.sent_at < self.patience_ms:
                return
            del self.open[number]
            self._late += 1
            misses, until = self._silent.get(asked.home, (0, -inf))
            if asked.tries >= TRIES and now >= until:  # else it is known already
                self._silent[asked.home] = misses + 1, now + min(PAUSE_MOST_MS, PAUSE_MS * 2**misses)
            yield number, asked

    def again(self, now: float, number: int, asked: Asked[Holder]) -> bytes | None:
        """The same question once more, or None: its home is to be given up."""
        if asked.tries >= TRIES or now < self._silent.get(asked.home, (0, -inf))[1]:
            return None
        asked.tries, asked.sent_at = asked.tries + 1, now
        self.open[number] = asked
        return asked.question.bytes(number)

    def heard(self, sender: int) -> None:
        """A datagram came: the sender is there, and datagrams arrive."""
        self._late = 0
        self._silent.pop(sender, None)

    def answered(self, now: float, sender: int, number: int) -> Asked[Holder] | None:
        """The question that a home's answer is for; None: it is not waited for."""
        asked = self.open.get(number)
        if asked is None or asked.home != sender:
            return None
        del self.open[number]
        if asked.tries == 1:  # else it can't be told which of them was answered
            off = now - asked.sent_at - self._mean_ms
            self._mean_ms += off / 8
            self._spread_ms += (abs(off) - self._spread_ms) / 4
        return asked
