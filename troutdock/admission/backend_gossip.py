"""What a gateway that hears nothing of the list asks peers, and what their word is worth (no I/O, no clock).

Theory of operation. Discovery may refuse a gateway or be silent for seconds, most of all after many have
started at once with old lists. Its peers may know better:

    current    discovery was heard last: asks nothing, answers what it is asked, suspects nobody
    blind      it asks a few peers at random twice a second, and suspects a backend that SENDERS of them say
               is draining or gone; that ends after SUSPECT_MS if it is not told again, and at once
               when discovery is heard

Rules. A peer's word adds no backend and takes none off the list: a suspect is left alone while others are
there. Where more than half are suspected nobody is, as one that lies or has gone mad would tell just that.
And who answers tells what its own list says now, not what it said, so no old news goes round.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from troutdock.admission.backend_gossip_codec import ANSWER, ASK, ROWS, read, write

ASKED, ASK_MS = 4, 500.0  # peers at a time, and how often: if a third are current two answers come in 1 s
SENDERS = 2  # that have to say the same: one alone may be wrong
SUSPECT_MS = 3000.0  # told no more for so long, it has come back or nobody is left who knows
GONE_MS = 20_000.0  # what is gone is told for so long: by then old lists have been replaced
PANIC = 0.5  # of the backends: with more of them suspected the word is worth nothing


class News:
    """What one gateway asks, answers and suspects; all times are milliseconds."""

    def __init__(self, gateways: int, index: int, allowed: bool, random: Random) -> None:
        """allowed: datagrams to peers are."""
        self._others = [n for n in range(gateways) if n != index] if allowed else []
        self._senders = min(SENDERS, len(self._others))
        self._random = random
        self.blind = False
        self.version = 0  # of the list that is known
        self._asked_at = 0.0
        self.gone: dict[int, float] = {}  # backends that have left the list, and when, the oldest first
        self._said: dict[int, dict[int, float]] = {}  # by the low bits of a backend: who says so, and when

    # ---- what discovery says

    def watched(self, now: float, heard: bool) -> None:
        """Discovery was heard, or it refuses or is silent: only for a moment is no reason to ask."""
        if not (heard or self.blind):
            self._asked_at = now
        self.blind = not heard
        if heard:
            self._said.clear()

    def left(self, now: float, backend: int) -> None:
        """A backend is off the list."""
        self.gone.pop(backend, None)
        self.gone[backend] = now
        while now - self.gone[next(iter(self.gone))] > GONE_MS:
            del self.gone[next(iter(self.gone))]

    def there(self, backend: int) -> None:
        """It is on the list."""
        self.gone.pop(backend, None)

    # ---- what peers say

    def ask(self, now: float) -> tuple[list[int], bytes]:
        """Whom to ask now, perhaps nobody, and the words."""
        if not self.blind or not self._others or now - self._asked_at < ASK_MS:
            return [], b""
        self._asked_at = now
        peers = self._random.sample(self._others, min(ASKED, len(self._others)))
        return peers, write(ASK, self.version, [])

    def answer(self, now: float, draining: Iterable[int]) -> bytes:
        """What a blind peer is told: draining, as the own list has them now, and what has left it lately.

        Nothing where there is nothing to tell.
        """
        gone = [backend for backend, at in self.gone.items() if now - at <= GONE_MS]
        rows = [*draining, *reversed(gone)][:ROWS]
        return write(ANSWER, self.version, rows) if rows else b""

    def hear(self, now: float, sender: int, body: bytes) -> bool:
        """Take in an ask or an answer; true if it is to be answered. ValueError if it is neither."""
        kind, version, backends = read(body)
        if kind == ASK:
            return not self.blind and version <= self.version
        if self.blind and version >= self.version:
            for backend in backends:
                self._said.setdefault(backend, {})[sender] = now
            if len(self._said) > 4 * ROWS:  # more than a fleet's worth: somebody makes them up
                self._said.clear()
        return False

    def suspects(self, now: float, backends: int) -> frozenset[int]:
        """The low bits of those that are better left alone, out of so many on the list."""
        suspected = frozenset(
            backend
            for backend, said in self._said.items()
            if sum(now - at <= SUSPECT_MS for at in said.values()) >= self._senders
        )
        return suspected if len(suspected) <= PANIC * backends else frozenset()
