"""Simulates gateways that exchange datagrams, in front of backends that answer after a delay.

Datagrams arrive some milliseconds late and some are lost, as the protocol allows. Calls of the shared counter
time out unless a counter is given. Gateways can be killed, restarted without state, and partitioned.
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

DATAGRAM_DELAY_MS = (1.0, 26.0)
FAST_FAILURE_MS = 0.3  # time of a refused connection or of a FULL outcome
COUNTER_TIMEOUT_MS = 50.0


class Counter:
    """A service that adds to totals by name, with limited calls per second and a bounded queue."""

    def __init__(self, per_s: float, latency_ms: float = 1.0, max_queue_ms: float = 100.0) -> None:
        """max_queue_ms: a call that would wait longer is rejected."""
        self._service_time_ms, self._latency_ms, self._max_queue_ms = 1000 / per_s, latency_ms, max_queue_ms
        self._free_at = 0.0
        self._totals: dict[int, tuple[float, float]] = {}  # by name: the total and its expiry
        self.down = False

    def call(self, now: float, name: int, amount: float, ttl_ms: float) -> tuple[float, Outcome, float]:
        """Returns the milliseconds until the result, the outcome, and the total."""
        if self.down:
            return COUNTER_TIMEOUT_MS, Outcome.TIMEOUT, 0.0
        if self._free_at - now > self._max_queue_ms:
            return self._latency_ms, Outcome.FULL, 0.0
        self._free_at = max(self._free_at, now) + self._service_time_ms
        total, until = self._totals.get(name, (0.0, now + ttl_ms))
        total, until = (amount, now + ttl_ms) if now >= until else (total + amount, until)
        self._totals[name] = total, until
        duration_ms = self._free_at - now + self._latency_ms
        return (
            (duration_ms, Outcome.OK, total)
            if duration_ms < COUNTER_TIMEOUT_MS
            else (COUNTER_TIMEOUT_MS, Outcome.TIMEOUT, 0.0)
        )


class Gateways:
    """The gateways and the messages in transit between them; all times in milliseconds."""

    def __init__(
        self,
        gateways: Sequence[Gateway],
        start: float,
        loss: float,
        random: Random,
        answer_ms: float,
        counter: Counter | None = None,
    ) -> None:
        """loss: fraction of datagrams lost. answer_ms: time from a send to its successful response."""
        self.gateways: list[Gateway | None] = list(gateways)  # None: killed
        self.time = Timeline(start)
        self._loss, self._random, self._answer_ms, self._counter = loss, random, answer_ms, counter
        self.can_reach: Callable[[int, int], bool] = lambda sender, other: True
        self.outcomes: dict[int, Outcome] = {}  # by failing backend; these fail without delay
        self.refused = 0
        self.sends: list[tuple[float, int, int]] = []  # time, gateway, backend
        self.counter_calls: list[float] = []  # times of the calls of the counter
        self.broadcasts: list[bytes] = []  # datagrams to all peers, each listed once
        self.unicasts: list[bytes] = []  # datagrams to one peer
        self.bytes = 0  # received
        self.received = [0] * len(self.gateways)

    def at(self, index: int) -> Gateway:
        """Returns a running gateway."""
        gateway = self.gateways[index]
        assert gateway is not None, f"gateway {index} is dead"
        return gateway

    def deliver(self, index: int, event: Event) -> None:
        """Delivers an event to a gateway now; events for a killed gateway are dropped."""
        gateway = self.gateways[index]
        for action in gateway.handle(self.time.now, event) if gateway else ():
            match action:
                case SendToPeer(None, body):
                    self.broadcasts.append(body)
                    for other in range(len(self.gateways)):
                        if other != index:
                            self._send_datagram(index, other, body)
                case SendToPeer(int(other), body):
                    self.unicasts.append(body)
                    self._send_datagram(index, other, body)
                case CounterAdd(name, amount, ttl_ms):
                    self._call_counter(index, name, amount, ttl_ms)
                case SetTimer(after_ms, label):
                    self._deliver_after(after_ms, index, TimerFired(label))
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
        duration_ms = self._answer_ms if good else FAST_FAILURE_MS
        attempt = len(self.at(index).calls[number].tried) - 1
        if attempt == 0:
            self.first_send(number)
        self._deliver_after(
            duration_ms,
            index,
            AttemptEnded(
                number,
                attempt,
                backend,
                outcome,
                duration_ms,
                good,
                true_units=self.ended(number, True) if good else 0.0,
            ),
        )

    def first_send(self, number: int) -> None:
        """Called when the first attempt of a request is sent; subclasses account for it here."""

    def ended(self, number: int, served: bool) -> float:
        """Called when a request's final response is known.

        Returns the actual units of a served request; 0 stands for the estimate.
        """
        return 0.0

    def _call_counter(self, index: int, name: int, amount: float, ttl_ms: float) -> None:
        self.counter_calls.append(self.time.now)
        duration_ms, outcome, total = COUNTER_TIMEOUT_MS, Outcome.TIMEOUT, 0.0
        if self._counter is not None:
            duration_ms, outcome, total = self._counter.call(self.time.now, name, amount, ttl_ms)
        self._deliver_after(duration_ms, index, CounterReply(name, outcome, duration_ms, total))

    def _send_datagram(self, sender: int, other: int, body: bytes) -> None:
        if self._random.random() >= self._loss and self.can_reach(sender, other):
            self.time.after(
                self._random.uniform(*DATAGRAM_DELAY_MS), lambda: self._arrive(sender, other, body)
            )

    def _arrive(self, sender: int, other: int, body: bytes) -> None:
        self.bytes += len(body)
        self.received[other] += 1
        self.deliver(other, PeerMessage(sender, body))

    def _deliver_after(self, ms: float, index: int, event: Event) -> None:
        gateway = self.gateways[index]  # events of a killed gateway do not reach its replacement
        self.time.after(ms, lambda: self.deliver(index, event) if self.gateways[index] is gateway else None)
