"""Decision modules that tell one another by datagrams, before backends that answer after a while.

Datagrams are some milliseconds late and lost now and then, as the protocol has it. The shared counter never
answers in time unless one is given; gateways may be killed, come back fresh, and be cut off from one another.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from lab.timeline import Timeline
from troutdock.admission import Gateway
from troutdock.admission.interface import (
    AttemptEnded,
    CounterAdd,
    CounterReply,
    Event,
    Fail,
    Outcome,
    PeerMessage,
    Refuse,
    Send,
    SetTimer,
    SendToPeer,
    TimerFired,
)

LATE_MS = (1.0, 26.0)  # what a datagram takes
AT_ONCE_MS = 0.3  # what a refused connection takes, or a "full"
COUNT_MS = 50.0  # after which a call of the counter is given up


class Counter:
    """A service that adds to numbers by name: so many calls a second, turned away behind a long line."""

    def __init__(self, per_s: float, way_ms: float = 1.0, line_ms: float = 100.0) -> None:
        """line_ms: a call that would wait longer is turned away."""
        self._each_ms, self._way_ms, self._line_ms = 1000 / per_s, way_ms, line_ms
        self._free_at = 0.0
        self._totals: dict[int, tuple[float, float]] = {}  # by name: the total, and until when
        self.down = False

    def call(self, now: float, name: int, amount: float, ttl_ms: float) -> tuple[float, Outcome, float]:
        """After how long the caller hears what, and the total."""
        if self.down:
            return COUNT_MS, Outcome.TIMEOUT, 0.0
        if self._free_at - now > self._line_ms:
            return self._way_ms, Outcome.FULL, 0.0
        self._free_at = max(self._free_at, now) + self._each_ms
        total, until = self._totals.get(name, (0.0, now + ttl_ms))
        total, until = (amount, now + ttl_ms) if now >= until else (total + amount, until)
        self._totals[name] = total, until
        took_ms = self._free_at - now + self._way_ms
        return (took_ms, Outcome.OK, total) if took_ms < COUNT_MS else (COUNT_MS, Outcome.TIMEOUT, 0.0)


class Gateways:
    """They and what is on its way between them; all times in milliseconds."""

    def __init__(
        self,
        gateways: Sequence[Gateway],
        start: float,
        loss: float,
        random: Random,
        answer_ms: float,
        counter: Counter | None = None,
    ) -> None:
        """loss: the part of datagrams that is lost. answer_ms: from a send to its good answer."""
        self.gateways: list[Gateway | None] = list(gateways)  # None: it is dead
        self.time = Timeline(start)
        self._loss, self._random, self._answer_ms, self._counter = loss, random, answer_ms, counter
        self.reaches: Callable[[int, int], bool] = lambda sender, other: True
        self.outcomes: dict[int, Outcome] = {}  # of backends that do not answer well, at once
        self.refused = 0
        self.sends: list[tuple[float, int, int]] = []  # when, by which gateway, to which backend
        self.counted: list[float] = []  # when the counter was called
        self.everybody: list[bytes] = []  # datagrams to all, each once
        self.singly: list[bytes] = []  # and to one peer
        self.bytes = 0  # that arrived
        self.taken_in = [0] * len(self.gateways)

    def at(self, index: int) -> Gateway:
        """A gateway that is alive."""
        gateway = self.gateways[index]
        assert gateway is not None, f"gateway {index} is dead"
        return gateway

    def give(self, index: int, event: Event) -> None:
        """An event at a gateway, now; what comes to a dead one is lost."""
        gateway = self.gateways[index]
        for action in gateway.handle(self.time.now, event) if gateway else ():
            match action:
                case SendToPeer(None, body):
                    self.everybody.append(body)
                    for other in range(len(self.gateways)):
                        if other != index:
                            self._post(index, other, body)
                case SendToPeer(int(other), body):
                    self.singly.append(body)
                    self._post(index, other, body)
                case CounterAdd(name, amount, ttl_ms):
                    self._count(index, name, amount, ttl_ms)
                case SetTimer(after_ms, label):
                    self._later(after_ms, index, TimerFired(label))
                case Refuse(number):
                    self.refused += 1
                    self.ended(number, False)
                case Fail(number):
                    self.ended(number, False)
                case Send(number, backend):
                    self._send(index, number, backend)

    def _send(self, index: int, number: int, backend: int) -> None:
        self.sends.append((self.time.now, index, backend))
        outcome = self.outcomes.get(backend, Outcome.OK)
        good = outcome is Outcome.OK
        took_ms = self._answer_ms if good else AT_ONCE_MS
        attempt = len(self.at(index).calls[number].tried) - 1
        if attempt == 0:
            self.first_send(number)
        self._later(
            took_ms,
            index,
            AttemptEnded(
                number,
                attempt,
                backend,
                outcome,
                took_ms,
                good,
                true_units=self.ended(number, True) if good else 0.0,
            ),
        )

    def first_send(self, number: int) -> None:
        """A try's first attempt goes out; for those that judge."""

    def ended(self, number: int, served: bool) -> float:
        """A try has or will have its final answer; gives the true units of a served one, 0 for the guess."""
        return 0.0

    def _count(self, index: int, name: int, amount: float, ttl_ms: float) -> None:
        self.counted.append(self.time.now)
        took_ms, outcome, total = COUNT_MS, Outcome.TIMEOUT, 0.0
        if self._counter is not None:
            took_ms, outcome, total = self._counter.call(self.time.now, name, amount, ttl_ms)
        self._later(took_ms, index, CounterReply(name, outcome, took_ms, total))

    def _post(self, sender: int, other: int, body: bytes) -> None:
        if self._random.random() >= self._loss and self.reaches(sender, other):
            self.time.after(self._random.uniform(*LATE_MS), lambda: self._arrive(sender, other, body))

    def _arrive(self, sender: int, other: int, body: bytes) -> None:
        self.bytes += len(body)
        self.taken_in[other] += 1
        self.give(other, PeerMessage(sender, body))

    def _later(self, ms: float, index: int, event: Event) -> None:
        gateway = self.gateways[index]  # what a dead one waited for does not come to the next one
        self.time.after(ms, lambda: self.give(index, event) if self.gateways[index] is gateway else None)
