"""What a customer's home decides: stores of quotas in a large fleet, each at one gateway (no I/O, no clock).

Theory of operation. Digests to all grow with gateways times tries, and come seconds apart where a gateway
takes in but so many a second. Where they would be late each customer has a home (owner_queries.py says
which). A gateway tells it what it sent on from its slice, and asks before it sends on what its slice lacks.
The level in an answer, and what fills since, bound the store from above: until there can be room nothing is
asked.

Rules. A question that comes twice counts once. A store heard of for the first time is believed to be full,
but as long as that takes no fuller than askers were told: so much passes at each move of a home, and no less.
"""

from __future__ import annotations

from collections import deque

from troutdock.admission.owner_query_codec import Answer, Question, read_question
from troutdock.admission.bucket_replication import Copies
from troutdock.admission.shared_bucket import Store
from troutdock.admission.usage_gossip import MARKS

REPEAT_MS = 2000.0  # a question is known for so long: longer than it is repeated
CROWD, CROWD_MS = 0.4, 1000.0  # of the intake: beyond it those refused are told to stay away; counted over
HOLD_LEAST_MS, HOLD_MOST_MS, HOLD_STEP = 20.0, 5000.0, 1.05  # for how long, and its change with each refusal


class Homes:
    """The stores that one gateway keeps as a home."""

    def __init__(self, intake_per_s: float) -> None:
        """intake_per_s: the datagrams that a gateway takes in."""
        self.most_asks = CROWD * intake_per_s
        self.stores: dict[int, tuple[Store, float]] = {}  # by mark, and since when; the longest unheard first
        self.said: dict[tuple[int, int], Answer] = {}  # by sender and number
        self.said_at: deque[tuple[float, tuple[int, int]]] = deque()
        self.copies = Copies()
        self.flow, self.flow_at, self.hold_ms = 0.0, 0.0, HOLD_LEAST_MS  # refusals a second

    def asked(self, now: float, sender: int, body: bytes) -> bytes:
        """What a peer is answered; the same where it asks the same again. ValueError if it is no question."""
        number, question = read_question(body)
        while self.said_at and now - self.said_at[0][0] > REPEAT_MS:
            self.said.pop(self.said_at.popleft()[1], None)
        if (said := self.said.get((sender, number))) is None:
            said = self.said[sender, number] = self.take(now, question)
            self.said_at.append((now, (sender, number)))
        return said.bytes(number)

    def take(self, now: float, question: Question) -> Answer:
        """Take off what was used, and what is asked for if so much is there beside what is to stay."""
        mark, fill, need = question.mark, question.fill / 1000, question.need / 1000
        known, since = self.stores.pop(mark, (None, now))
        if known is None:
            known = Store(now, fill, 0.0)
            known.missing = self.copies.missing(now, mark, fill)
        self.stores[mark] = known, since
        if len(self.stores) > MARKS:
            del self.stores[next(iter(self.stores))]
        known.level(now)
        known.fill = fill
        if now - since < 1 / fill:
            known.missing = max(known.missing, 1 - question.most)
        known.take(now, question.told / 1000)
        granted = known.level(now) - question.kept / 100 >= need
        known.take(now, need * granted)
        self.copies.touched(mark, known.level(now), question.other)
        return Answer(granted, known.level(now), 0.0 if granted else self.crowded(now))

    def crowded(self, now: float) -> float:
        """Guards the intake: how long one that is refused stays away, and does not see that there is room."""
        self.flow, self.flow_at = max(0.0, self.flow * (1 - (now - self.flow_at) / CROWD_MS)) + 1, now
        over = self.flow > self.most_asks
        self.hold_ms = min(HOLD_MOST_MS, max(HOLD_LEAST_MS, self.hold_ms * HOLD_STEP ** (1 if over else -1)))
        return self.hold_ms if self.hold_ms > HOLD_LEAST_MS else 0.0
