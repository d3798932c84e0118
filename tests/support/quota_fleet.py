"""A simulated fleet of proxies that handle quotas only: leases, clients, faults and recorded admissions.

Every request that took a token is recorded with its time, and every window is checked against the operators'
bound.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise

from quota_network import Network, Process

from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.leases import QuotaLeases, Verdict
from troutdock.quota.routes import shard_of

WINDOW_S = 5.0  # window of the operators' rule
TOLERANCE, ALLOWANCE = 1.1, 20  # (rate x window + burst) x 1.1 + 20
MAX_TOKEN_WAIT_S = 0.16  # how long a request waits for a token: a fifth of 800 ms
CONFIG_SPREAD_S = 0.5  # how long a changed limit takes to reach all proxies
MAX_BACKLOG = 4096  # requests queued at a frozen proxy, as in a listen queue
CLIENT_TIMEOUT_S = 1.0  # a client disconnects after waiting this long at a frozen proxy


@dataclass(slots=True)
class Load:
    """Requests of one tenant.

    Attributes:
        tenant: Name of the tenant.
        per_s: First attempts per second.
        names: Proxies that receive them, drawn at random; None for all proxies.
        until: Time of the last request, in seconds.
        timeout_s: How long a client waits, if that is shorter than the proxy's own limit.
        retry_fraction: Fraction of rejected attempts that are retried immediately.
        period: Length of the load pattern in seconds.
        active: Begin and end of the part of each period that has requests; by default the whole period.
    """

    tenant: str
    per_s: float
    names: list[str] | None = None
    until: float = 1e9
    timeout_s: float = MAX_TOKEN_WAIT_S
    retry_fraction: float = 0.0
    period: float = 1.0
    active: tuple[float, float] = (0.0, 1e9)
    offered: int = 0
    admitted: int = 0
    offered_at: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _Request:
    load: Load
    attempts: int


class Proxy(Process):
    """A proxy with leases and requests that wait for tokens."""

    def __init__(self, fleet: Fleet, name: str, zone: str, ip: str, bootstrap: bool) -> None:
        super().__init__(fleet, name, zone, ip, fleet.new_incarnation(), bootstrap)
        self.fleet = fleet
        self.leases = QuotaLeases(self.node)
        self.limits: dict[str, QuotaLimit] = {}
        self.waiting: dict[int, _Request] = {}
        self.queued = 0  # requests queued at the frozen process
        self.set_limits({})  # like the decision module before the first configuration

    def set_limits(self, limits: dict[str, QuotaLimit]) -> None:
        self.limits = limits
        self.node.set_limits(self.now, limits)

    def arrive(self, request: _Request) -> None:
        """Receives a request of a client, or drops it if the listen queue is full."""
        if self.is_frozen:
            self.queued += 1
            if self.queued > MAX_BACKLOG:
                return
        else:
            self.queued = 0
        left_at = self.network.now + CLIENT_TIMEOUT_S
        self.do(lambda: self._request(request, left_at), is_request=True)

    def _request(self, request: _Request, left_at: float) -> None:
        tenant = request.load.tenant
        limit = self.limits.get(tenant)
        if limit is None or self.network.now > left_at:
            return
        number = self.fleet.next_number()
        even, returning = 1 / self.fleet_size, request.attempts > 0
        verdict = self.leases.request(self.now, tenant, limit, even, number, returning)
        if verdict is Verdict.GRANTED:
            self._granted(request)
        elif verdict is Verdict.REFUSED:
            self.fleet.refused(request)
        else:
            self.waiting[number] = request
            self.leases_due()
            if number in self.waiting:
                wait = min(MAX_TOKEN_WAIT_S, request.load.timeout_s)
                self.network.later(wait, lambda: self.do(lambda: self._leave(number)))

    def _leave(self, number: int) -> None:
        request = self.waiting.pop(number, None)
        if request is not None:
            self.leases.withdraw(request.load.tenant, number)
            self.fleet.refused(request)

    def _granted(self, request: _Request) -> None:
        draw = self.fleet.random.random()
        if draw < self.fleet.put_back_fraction:
            self.leases.put_back(self.now, request.load.tenant)
            return
        if draw > 1 - self.fleet.charge_fraction:
            self.node.charge(request.load.tenant)
        self.fleet.admitted(request)

    def leases_due(self) -> None:
        self.leases.tick(self.now)
        for result in self.leases.results(self.now):
            request = self.waiting.pop(result.request, None)
            if request is None:
                continue
            if result.granted:
                self._granted(request)
            else:
                self.fleet.refused(request)


@dataclass(slots=True)
class LimitHistory:
    """Limits of a tenant with the times of change; None if it was not limited."""

    changes: list[tuple[float, QuotaLimit | None]] = field(default_factory=list)

    def steps(self) -> list[tuple[float, float, float]]:
        """Returns times, rates and bursts; during the propagation of a change, the higher values apply."""
        times = sorted({at + spread_s for at, _ in self.changes for spread_s in (0.0, CONFIG_SPREAD_S)})
        steps = []
        for at in times:
            before = [limit for since, limit in self.changes if since <= at - CONFIG_SPREAD_S][-1:]
            meanwhile = [limit for since, limit in self.changes if at - CONFIG_SPREAD_S < since <= at]
            limits = [limit for limit in before + meanwhile if limit is not None]
            rate = max((limit.rate_per_s for limit in limits), default=0.0)
            steps.append((at, rate, max((limit.burst for limit in limits), default=0.0)))
        return steps


def ideal_admissions(offered_at: list[float], limit: QuotaLimit, begin: float) -> int:
    """Returns how many requests a single, initially empty token bucket for all proxies would admit."""
    level, last, admitted = 0.0, begin, 0
    for at in offered_at:
        level, last = min(limit.burst, level + (at - last) * limit.rate_per_s), at
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted


class Bound:
    """The number of admissions that the operators' rule allows in a window."""

    def __init__(self, history: LimitHistory) -> None:
        self._steps = [*history.steps(), (1e9, 0.0, 0.0)]

    def allowed(self, begin: float, end: float) -> float:
        total = burst = 0.0
        for (at, rate, most), (until, _, _) in pairwise(self._steps):
            span = min(end, until) - max(begin, at)
            if span > 0:
                total += span * rate
                burst = max(burst, most)
        return (total + burst) * TOLERANCE + ALLOWANCE


@dataclass(frozen=True, slots=True)
class WindowResult:
    """Admissions in one window and the allowed number."""

    tenant: str
    begin: float
    admitted: int
    allowed: float


class Fleet(Network):
    """A network of proxies; zones: the number of proxies in each zone."""

    def __init__(
        self, seed: int, zones: dict[str, int], limits: dict[str, QuotaLimit], bootstrap: bool = True
    ) -> None:
        super().__init__(seed)
        self.limits = dict(limits)
        self.histories = {tenant: LimitHistory([(0.0, limit)]) for tenant, limit in limits.items()}
        self.admissions: dict[str, list[float]] = {tenant: [] for tenant in limits}
        self.loads: list[Load] = []
        self.put_back_fraction = self.charge_fraction = 0.0
        self._last_number = 0
        for zone, count in zones.items():
            for n in range(count):
                proxy = self._start(f"{zone}-{n}", zone, bootstrap)
                proxy.is_starting = False
                proxy.set_limits(self.limits)
        self.publish()

    def proxies(self) -> list[Proxy]:
        """Returns the live proxies."""
        return [
            process for process in self.processes.values() if process.alive and isinstance(process, Proxy)
        ]

    def next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def owners(self, tenant: str) -> list[Proxy]:
        """Returns the proxies that consider themselves owner of the tenant's quota."""
        shard = shard_of(tenant)
        return [proxy for proxy in self.proxies() if shard in proxy.node.owned_shards()]

    # ---- membership and limits

    def _start(self, name: str, zone: str, bootstrap: bool = False) -> Proxy:
        known = self.processes.get(name)
        ip = known.ip if known is not None else f"10.{zone}.{len(self.processes):04}"
        proxy = self.processes[name] = Proxy(self, name, zone, ip, bootstrap)
        self.register(proxy)
        return proxy

    def start(self, name: str, zone: str) -> Proxy:
        """Starts a process under a new or a known name."""
        known = self.processes.get(name)
        if known is not None and known.alive:
            self.kill(known)
        proxy = self._start(name, zone)
        limits = self.limits
        self.later(self.random.uniform(0.02, 0.3), lambda: proxy.do(lambda: proxy.set_limits(limits)))
        self.publish()
        return proxy

    def change_limit(self, tenant: str, limit: QuotaLimit | None) -> None:
        """Changes or removes a limit; the proxies receive the change one after another."""
        limits = {name: known for name, known in self.limits.items() if name != tenant}
        if limit is not None:
            limits[tenant] = limit
        self.limits = limits
        self.histories.setdefault(tenant, LimitHistory()).changes.append((self.now, limit))
        self.admissions.setdefault(tenant, [])
        for proxy in self.proxies():
            delay = self.random.uniform(0.02, CONFIG_SPREAD_S * 0.8)
            self.later(delay, lambda proxy=proxy: proxy.do(lambda: proxy.set_limits(self.limits)))

    # ---- clients

    def offer(self, load: Load) -> Load:
        """Starts a load."""
        self.loads.append(load)
        self._next(load)
        return load

    def _next(self, load: Load) -> None:
        at = self.now + self.random.expovariate(load.per_s)
        begin, end = load.active
        phase = at % load.period
        if not begin <= phase < end:
            at += (begin - phase) % load.period + self.random.random() * 0.002
        if at < load.until:
            self.at(at, lambda: self._send_first(load))

    def _send_first(self, load: Load) -> None:
        self.send_burst(load, 1)
        self._next(load)

    def send_burst(self, load: Load, count: int) -> None:
        """Sends a number of requests at once."""
        for _ in range(count):
            load.offered += 1
            load.offered_at.append(self.now)
            self._send(_Request(load, 0))

    def _send(self, request: _Request) -> None:
        names = request.load.names
        if names:
            process = self.processes[self.random.choice(names)]
        else:
            process = self.random.choice(list(self.processes.values()))
        if process.alive and isinstance(process, Proxy):
            process.arrive(request)

    def admitted(self, request: _Request) -> None:
        request.load.admitted += 1
        self.admissions[request.load.tenant].append(self.now)

    def refused(self, request: _Request) -> None:
        if (
            request.attempts < 3
            and request.load.retry_fraction
            and self.random.random() < request.load.retry_fraction
        ):
            request.attempts += 1
            self.later(self.random.uniform(0.0005, 0.005), lambda: self._send(request))

    # ---- result

    def worst_window(self) -> WindowResult:
        """Returns the window with the largest ratio of admissions to its bound."""
        worst_window = WindowResult("", 0.0, 0, 1.0)
        for tenant, times in self.admissions.items():
            bound = Bound(self.histories[tenant])
            first = 0
            for n, at in enumerate(times):
                while times[first] < at - WINDOW_S:
                    first += 1
                count = n - first + 1
                if count <= ALLOWANCE:
                    continue
                allowed = bound.allowed(at - WINDOW_S, at)
                if count * worst_window.allowed > worst_window.admitted * allowed:
                    worst_window = WindowResult(tenant, at - WINDOW_S, count, allowed)
        return worst_window
