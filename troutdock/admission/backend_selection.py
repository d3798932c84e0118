"""Which backend, and when another is tried: what an ingress knows of backends that many ingresses share.

No I/O, no clock; times are milliseconds. Backends have few slots and works are long, so what counts is how
many requests stand where, over all ingresses. Each tells the others its open attempts (PeerLoad); with
these the time of a send is expected, and put beside what else it costs: bytes to another zone, a new
connection, the doubt in a backend that has failed. All of it is one figure, the part of the request's worth
that is likely lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from random import Random

from troutdock.admission.circuit_breaker import CircuitBreaker
from troutdock.admission.interface import BackendEntry

SLOPE = 4.0  # how steeply the loss rises with the expected part of the aim: half of it 0.06, all of it 1
AWAY = 0.04  # of a request's worth: its bytes to another zone and back, some kilobytes
FRESH = 0.03  # the same for a new connection
COLD = 2.0  # a backend that has just started takes that much longer
DOUBT, DOUBT_MS = 0.25, 3000.0  # loss that a failure makes expected there, and when a third of it is left
SILENT = 0.4  # the same where its beats have stopped and no answer has come since
OVERDUE = 2.5  # of what was expected: without any sign for so long it may be gone
QUEUE = 5  # requests beyond its slots that are sent to a backend: it refuses some more than that
FIRST_GUESS = 0.3  # of a route's aim: its work, before any answer
LEARN, LEARN_SPEED = 0.03, 0.15  # how far an answer moves what a route's work is, and a backend's speed
SLOWEST, QUICKEST = 3.0, 0.4
IDLE_MS = 6000.0  # a connection that has stood for longer is not used again
TIE = 0.004  # losses this near are alike


class Work:
    """What a route's requests take at an idle backend of usual speed.

    dev: of the times over what is expected.
    """

    __slots__ = ("dev", "mean", "usual_ms")

    def __init__(self, aim_ms: float) -> None:
        self.mean, self.dev = aim_ms * FIRST_GUESS, 0.5
        self.usual_ms = 0.0  # how long clients wait at their first try

    def learn(self, took: float, expected: float) -> None:
        """One answer."""
        ratio = min(5.0, took / expected)
        self.mean *= 1 + (ratio - 1) * LEARN
        self.dev += (abs(ratio - 1) - self.dev) * LEARN

    @property
    def late(self) -> float:
        """Times what is expected, after which an answer is overdue: few take that long."""
        return min(4.0, max(1.8, 1 + 3.5 * self.dev))


class Backend:
    """One backend as this ingress knows it."""

    __slots__ = (
        "circuit",
        "doubt",
        "doubt_at",
        "entry",
        "heard_at",
        "idle",
        "others",
        "others_sum",
        "out",
        "pool",
        "silent",
        "slots",
        "speed",
    )

    def __init__(self, entry: BackendEntry, pool: Pool) -> None:
        self.entry, self.pool, self.slots = entry, pool, max(1, round(entry.size))
        self.out: dict[
            tuple[int, int], tuple[float, float]
        ] = {}  # own open attempts: when, and expected to take
        self.others: dict[str, int] = {}  # open attempts of other ingresses
        self.others_sum = 0
        self.speed = 1.0
        self.doubt, self.doubt_at = 0.0, 0.0
        self.heard_at = -inf
        self.silent = False
        self.idle: list[
            float
        ] = []  # since when connections stand that can take a request, as far as is known
        self.circuit = CircuitBreaker()

    @property
    def load(self) -> int:
        """Requests that stand there, from all ingresses."""
        return len(self.out) + self.others_sum

    def tell_others(self, origin: str, count: int) -> None:
        """So many of another ingress's are open here."""
        self.others_sum += count - self.others.pop(origin, 0)
        if count:
            self.others[origin] = count

    def expected(self, now: float, work_ms: float, load: int) -> float:
        """The time of a request of so much work with so many before it."""
        drag = self.speed * (COLD if now < self.entry.warm_at_ms else 1.0)
        ahead = max(0, load + 1 - self.slots)
        return drag * (work_ms + ahead * self.pool.mean_work / self.slots)

    def connects(self, now: float) -> None:
        """A request goes there, on a connection that stands or on a new one."""
        self.idle = [since for since in self.idle if now - since < IDLE_MS][:-1]

    def keeps(self, now: float) -> None:
        """An answer has come: its connection can take the next request."""
        self.idle.append(now)

    def connected(self, now: float) -> bool:
        """A connection stands ready."""
        return bool(self.idle) and now - self.idle[-1] < IDLE_MS

    def fails(self, now: float, weight: float) -> None:
        """A bad sign."""
        self.doubt = min(1.0, self.doubting(now) + weight)
        self.doubt_at = now

    def doubting(self, now: float) -> float:
        """What is left of bad signs."""
        return self.doubt * 3 ** ((self.doubt_at - now) / DOUBT_MS) if self.doubt else 0.0

    def overdue(self, now: float) -> bool:
        """The oldest attempt should have had its answer long ago, and nothing has come since it was sent."""
        if not self.out:
            return False
        sent_at, expected = next(iter(self.out.values()))
        return self.heard_at < sent_at and now - sent_at > OVERDUE * expected


class Pool:
    """The backends of one service."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.ready: dict[int, Backend] = {}
        self.mean_work = 100.0  # of what is sent there
        self.further = 0.0  # second sendings that may still be made, see budget.py


class Choice:
    """A backend, the loss that is expected of it, and the time."""

    __slots__ = ("backend", "expected", "loss")

    def __init__(self, backend: Backend, loss: float, expected: float) -> None:
        self.backend, self.loss, self.expected = backend, loss, expected


def choose(
    now: float,
    pool: Pool,
    work: Work,
    left_ms: float,
    zone: int,
    but: Iterable[Backend],
    random: Random,
    idle_only: bool = False,
) -> Choice | None:
    """The backend with the least loss for a request that has so long until its aim; None: all are full.

    idle_only: only those with a free slot count, for a copy of what may be under way.
    """
    best: list[Choice] = []
    least = inf
    shunned = list(but)
    spare: Choice | None = None
    left_ms = max(left_ms, 1.0)
    for backend in pool.ready.values():
        if backend in shunned:
            continue
        load = backend.load
        if load >= backend.slots + (0 if idle_only else QUEUE):
            continue
        expected = backend.expected(now, work.mean, load)
        part = expected / left_ms
        loss = part**SLOPE if part < 1 else part
        if backend.entry.zone != zone:
            loss += AWAY
        if not backend.connected(now):
            loss += FRESH
        if backend.doubt:
            loss += backend.doubting(now)
        if backend.overdue(now) or (backend.silent and now - backend.heard_at > 1000.0):
            loss += SILENT
        if not backend.circuit.allows(now):
            if spare is None or loss < spare.loss:
                spare = Choice(backend, loss, expected)
            continue
        if loss < least - TIE:
            best = [c for c in best if c.loss <= loss + TIE]
        least = min(least, loss)
        if loss <= least + TIE:
            best.append(Choice(backend, loss, expected))
    best = [c for c in best if c.loss <= least + TIE]
    return random.choice(best) if best else spare
