"""Selection of a backend for a request, where many proxies share the backends (no I/O, no clock).

Times are milliseconds. Backends have few slots and requests take long, so the deciding figure is the number
of requests at each backend, from all proxies. Proxies report their open attempts to each other (PeerLoad).
From these the response time of a send is predicted; other costs are added to it: traffic to another zone, a
new connection, recent failures of the backend. All costs are on one scale: the expected loss, as a fraction
of the request's value. The backend with the lowest loss is selected, at random among near ties.

Learnt from responses: the service time of each route (ServiceTime) and a latency factor for each backend.
Only attempts that found a free slot count, so that queueing is not learnt as service time.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from random import Random

from troutdock.admission.circuit_breaker import CircuitBreaker
from troutdock.admission.interface import BackendEntry

# of the loss over the predicted time as a fraction of the latency target: 0.06 at half of it, 1 at all of it
LOSS_EXPONENT = 4.0
CROSS_ZONE_COST = 0.04  # of a request's value: some kilobytes to another zone and back
NEW_CONNECTION_COST = 0.03  # of a request's value
COLD_FACTOR = 2.0  # on response times of a backend that is still warming up
FAILURE_COST, FAILURE_DECAY_MS = 0.25, 3000.0  # added loss per failure; time until a third of it is left
HEARTBEAT_LOST_COST = 0.4  # added loss while heartbeats are missing and no response has arrived
UNRESPONSIVE_FACTOR = 2.5  # of the predicted time: a backend silent for longer may have failed
MAX_QUEUED = 5  # requests sent to a backend beyond its slots; it rejects only somewhat above that
INITIAL_SERVICE_SHARE = 0.3  # of a route's latency target: its service time before any response
SERVICE_TIME_GAIN, LATENCY_FACTOR_GAIN = 0.03, 0.15  # weight of one response in the moving averages
MAX_LATENCY_FACTOR, MIN_LATENCY_FACTOR = 3.0, 0.4
IDLE_CONNECTION_MS = 6000.0  # a connection idle for longer is not reused
LOSS_TOLERANCE = 0.004  # losses this close are ties


class ServiceTime:
    """A route's service time at an idle backend of average speed.

    deviation: mean absolute deviation of actual over predicted time, as a ratio.
    """

    __slots__ = ("deviation", "max_timeout_ms", "mean_ms")

    def __init__(self, aim_ms: float) -> None:
        self.mean_ms, self.deviation = aim_ms * INITIAL_SERVICE_SHARE, 0.5
        self.max_timeout_ms = 0.0  # the time-out of clients on their first attempt

    def record(self, took_ms: float, expected_ms: float) -> None:
        """Records the time of one response and the time predicted for it."""
        ratio = min(5.0, took_ms / expected_ms)
        self.mean_ms *= 1 + (ratio - 1) * SERVICE_TIME_GAIN
        self.deviation += (abs(ratio - 1) - self.deviation) * SERVICE_TIME_GAIN

    @property
    def overdue_factor(self) -> float:
        """Multiple of the predicted time after which a response is overdue; few take that long."""
        return min(4.0, max(1.8, 1 + 3.5 * self.deviation))


class Backend:
    """One backend as this proxy knows it."""

    __slots__ = (
        "circuit",
        "entry",
        "failure_cost",
        "failure_cost_at",
        "heartbeat_lost",
        "idle_since",
        "last_response_at",
        "latency_factor",
        "out",
        "peer_load_total",
        "peer_loads",
        "pool",
        "slots",
    )

    def __init__(self, entry: BackendEntry, pool: Pool) -> None:
        self.entry, self.pool, self.slots = entry, pool, max(1, round(entry.size))
        # of this proxy, by request and attempt: the time of the send and the predicted duration
        self.out: dict[tuple[int, int], tuple[float, float]] = {}
        self.peer_loads: dict[str, int] = {}  # open attempts of other proxies
        self.peer_load_total = 0
        self.latency_factor = 1.0
        self.failure_cost, self.failure_cost_at = 0.0, 0.0
        self.last_response_at = -inf
        self.heartbeat_lost = False
        self.idle_since: list[float] = []  # of idle connections, as far as this module can tell
        self.circuit = CircuitBreaker()

    @property
    def load(self) -> int:
        """Open requests of all proxies."""
        return len(self.out) + self.peer_load_total

    def set_peer_load(self, origin: str, count: int) -> None:
        """Sets the number of another proxy's open attempts."""
        self.peer_load_total += count - self.peer_loads.pop(origin, 0)
        if count:
            self.peer_loads[origin] = count

    def expected_ms(self, now: float, service_ms: float, load: int) -> float:
        """Predicts the response time of a request with the given service time behind `load` others."""
        factor = self.latency_factor * (COLD_FACTOR if now < self.entry.warm_at_ms else 1.0)
        queued = max(0, load + 1 - self.slots)
        return factor * (service_ms + queued * self.pool.mean_service_ms / self.slots)

    def take_connection(self, now: float) -> None:
        """Records a send, which takes an idle connection if there is one."""
        self.idle_since = [since for since in self.idle_since if now - since < IDLE_CONNECTION_MS][:-1]

    def return_connection(self, now: float) -> None:
        """Records a response, which leaves its connection idle."""
        self.idle_since.append(now)

    def has_idle_connection(self, now: float) -> bool:
        """Whether an idle connection is available."""
        return bool(self.idle_since) and now - self.idle_since[-1] < IDLE_CONNECTION_MS

    def record_failure(self, now: float, weight: float) -> None:
        """Adds a failure to the cost."""
        self.failure_cost = min(1.0, self.current_failure_cost(now) + weight)
        self.failure_cost_at = now

    def current_failure_cost(self, now: float) -> float:
        """The cost of earlier failures, after decay."""
        return (
            self.failure_cost * 3 ** ((self.failure_cost_at - now) / FAILURE_DECAY_MS)
            if self.failure_cost
            else 0.0
        )

    def is_unresponsive(self, now: float) -> bool:
        """Whether the oldest attempt is long overdue and no response has arrived since it was sent."""
        if not self.out:
            return False
        sent_at, expected_ms = next(iter(self.out.values()))
        return self.last_response_at < sent_at and now - sent_at > UNRESPONSIVE_FACTOR * expected_ms


class Pool:
    """The backends of one service."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.ready: dict[int, Backend] = {}
        self.mean_service_ms = 100.0  # moving average over the requests sent
        self.retry_budget = 0.0  # further attempts that may still be made


class Selection:
    """A backend with its expected loss and predicted response time."""

    __slots__ = ("backend", "expected_ms", "loss")

    def __init__(self, backend: Backend, loss: float, expected_ms: float) -> None:
        self.backend, self.loss, self.expected_ms = backend, loss, expected_ms


def select_backend(
    now: float,
    pool: Pool,
    service_time: ServiceTime,
    remaining_ms: float,
    zone: int,
    exclude: Iterable[Backend],
    random: Random,
    idle_only: bool = False,
) -> Selection | None:
    """Returns the backend with the lowest loss, or None if all are full or excluded.

    A backend whose circuit is open is returned only if there is no other.

    Args:
        now: The time.
        pool: Candidates are its ready backends.
        service_time: Of the request's route.
        remaining_ms: Time until the request's latency target.
        zone: The proxy's zone.
        exclude: Backends that the request was sent to before.
        random: Breaks ties.
        idle_only: Requires a free slot, for a copy of a request that may still be running.
    """
    best: list[Selection] = []
    lowest = inf
    excluded = list(exclude)
    fallback: Selection | None = None
    remaining_ms = max(remaining_ms, 1.0)
    for backend in pool.ready.values():
        if backend in excluded:
            continue
        load = backend.load
        if load >= backend.slots + (0 if idle_only else MAX_QUEUED):
            continue
        expected_ms = backend.expected_ms(now, service_time.mean_ms, load)
        fraction = expected_ms / remaining_ms
        loss = fraction**LOSS_EXPONENT if fraction < 1 else fraction
        if backend.entry.zone != zone:
            loss += CROSS_ZONE_COST
        if not backend.has_idle_connection(now):
            loss += NEW_CONNECTION_COST
        if backend.failure_cost:
            loss += backend.current_failure_cost(now)
        if backend.is_unresponsive(now) or (
            backend.heartbeat_lost and now - backend.last_response_at > 1000.0
        ):
            loss += HEARTBEAT_LOST_COST
        if not backend.circuit.allows(now):
            if fallback is None or loss < fallback.loss:
                fallback = Selection(backend, loss, expected_ms)
            continue
        if loss < lowest - LOSS_TOLERANCE:
            best = [c for c in best if c.loss <= loss + LOSS_TOLERANCE]
        lowest = min(lowest, loss)
        if loss <= lowest + LOSS_TOLERANCE:
            best.append(Selection(backend, loss, expected_ms))
    best = [c for c in best if c.loss <= lowest + LOSS_TOLERANCE]
    return random.choice(best) if best else fallback
