"""What gateways tell one another of customers' use, and what their word is worth (no I/O, no clock).

Theory of operation. A slice of a quota is smaller than a request where many gateways share a customer, and
the counter can't take a call for each. So each gateway keeps the shared store of a customer by itself: what
it sends takes from it at once, and peers tell what they have sent moments later, in digests of a few bytes.

    deaf       no digest for DEAF_MS: the counter and the slices decide as if there were no peers
    listening  digests come, but the store was not followed for as long as it takes to fill: what is told is
               taken off, and a level that a sure peer tells is believed
    sure       the store was followed from its rim, or a sure peer has told it: told levels only pull a
               little, so that lost digests don't add up

Two rules. What a peer says can have a customer refused, as the quota is shared, but it never names a backend
and never lets in what the ceiling forbids. And a digest is spent from a budget: one in so long a time that no
gateway is sent more than it takes in, of MOST bytes at most.
"""

from __future__ import annotations

from collections import deque
from math import inf
from random import Random

from troutdock.admission.usage_digest_codec import FITTING, MOST_USE, mark_of, read, write
from troutdock.admission.shared_bucket import Store

DEAF_MS = 10_000.0  # without a digest for so long peers are taken for unreachable; idle ones tell nothing
INTAKE = 0.8  # of what a gateway takes in a second: the rest is for chance
LEAST_MS = 200.0  # between two digests: what is learnt so late lets two requests more pass, at most
LEAST = 0.02  # of the burst: what is told by itself; less waits, from a random start so that the sum is right
PULL = 0.2  # how far a told level moves one that is sure too: a few digests, and chance is averaged out
MARKS = 20_000  # customers whose store is kept, some 250 bytes each
SEEN = 64  # numbers of digests that are remembered of a sender, against one that comes twice


class Word:
    """What is told and heard by one gateway."""

    def __init__(self, gateways: int, intake_per_s: float, random: Random) -> None:
        """intake_per_s: the digests that a gateway takes in; 0: nothing may be told."""
        self.random = random
        self.every_ms = (
            inf
            if gateways < 2 or intake_per_s <= 0
            else max(LEAST_MS, 1000 * (gateways - 1) / intake_per_s / INTAKE)
        )
        self.number = random.randrange(1 << 16)
        self.stores: dict[int, Store] = {}  # by mark, the longest unheard first
        self.heard_at, self.listening_since = -inf, inf
        self.told_at = -inf
        self.ready: dict[int, Store] = {}  # whose use is to be told, by mark
        self.seen: dict[int, deque[int]] = {}  # numbers, by sender
        self.bad: dict[int, int] = {}  # digests that can't be read, by sender

    def hearing(self, now: float) -> bool:
        """Peers are heard, and digests are what this fleet goes by."""
        return self.every_ms < inf and now - self.heard_at < DEAF_MS

    def store(self, now: float, customer: int, fill: float = 0.0) -> Store:
        """A customer's store. fill: parts of the burst in a millisecond, where its plan is known."""
        return self._store(now, mark_of(customer), fill)

    def _store(self, now: float, mark: int, fill: float = 0.0) -> Store:
        known = self.stores.pop(mark, None) or Store(now, fill, -LEAST * self.random.random())
        self.stores[mark] = known
        known.fill = fill or known.fill
        if len(self.stores) > MARKS:
            del self.stores[next(iter(self.stores))]
        return known

    def used(self, now: float, customer: int, fill: float, part: float) -> None:
        """Own use, below nought where true units were less than guessed: taken off, and told in its turn."""
        if self.every_ms == inf or not part:
            return
        mark = mark_of(customer)
        known = self._store(now, mark, fill)
        known.take(now, part)
        known.untold += part
        if abs(known.untold) >= LEAST:
            self.ready[mark] = known

    def due(self, now: float) -> bool:
        """Something is to be told, and the budget allows it."""
        return bool(self.ready) and now - self.told_at >= self.every_ms

    def digest(self, now: float) -> bytes:
        """What is told now, the largest uses first; what does not fit waits for the next."""
        rows = sorted(self.ready.items(), key=lambda row: -abs(row[1].untold))[:FITTING]
        self.number = (self.number + 1) % (1 << 16)
        told: list[tuple[int, int, float | None]] = []
        for mark, known in rows:
            hundredths = max(-MOST_USE, min(MOST_USE, round(known.untold * 100)))
            known.untold -= hundredths / 100
            if abs(known.untold) < LEAST:
                del self.ready[mark]
            told.append((mark, hundredths, max(0.0, known.level(now)) if self.sure(now, known) else None))
        # each its own moment, so that digests of many don't arrive in step
        self.told_at = now + self.random.uniform(-0.1, 0.1) * self.every_ms
        return write(self.number, told)

    def sure(self, now: float, known: Store) -> bool:
        """The store was followed from its rim, or from what a sure peer told."""
        return known.fill > 0 and (known.sure or now - self.listening_since >= 1 / known.fill)

    def hear(self, now: float, sender: int, body: bytes) -> None:
        """Take in a peer's digest; ValueError, and nothing is taken in, if it is none."""
        number, rows = read(body)
        numbers = self.seen.setdefault(sender, deque(maxlen=SEEN))
        if number in numbers:
            return  # it came twice
        numbers.append(number)
        if not self.hearing(now):
            self.listening_since = now
            for known in self.stores.values():
                known.sure = False
        self.heard_at = now
        for mark, hundredths, level in rows:
            known = self._store(now, mark)
            known.take(now, hundredths / 100)
            if level is not None:
                known.missing += (1 - level - known.missing) * (PULL if self.sure(now, known) else 1.0)
                known.sure = True
