"""A simulated fleet of proxies that have nothing but quotas: leases, clients, faults, and a record of all admissions.

Every request that took a token is recorded with its time, and every window is held against the operators' bound.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise

from quota_network import Network, Process

from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.leases import QuotaLeases, Verdict
from troutdock.quota.routes import shard_of

WINDOW_S = 5.0  # of the operators' rule
TOLERANCE, ALLOWANCE = 1.1, 20  # (rate x window + burst) x 1.1 + 20
WAIT_S = 0.16  # so long a request waits for a token: a fifth of 800 ms
SPREAD_S = 0.5  # until a changed limit has reached all proxies
MOST_BACKLOG = 4096  # requests that wait at a frozen proxy: a listener's queue
CLIENT_S = 1.0  # a client whose request has waited there for so long has left


@dataclass(slots=True)
class Load:
    """Requests of one tenant.

    Attributes:
        tenant: Whose.
        per_s: First tries a second.
        names: The proxies that they come to, by lot; None for all that are alive.
        until: They end then.
        patience_s: How long a client waits before it leaves, if that is shorter than the proxy's own time.
        again: The part of refused tries that come again at once.
        period: There are requests in a part of each period only.
        active: That part, its begin and end in seconds; all of it by default.
    """

    tenant: str
    per_s: float
    names: list[str] | None = None
    until: float = 1e9
    patience_s: float = WAIT_S
    again: float = 0.0
    period: float = 1.0
    active: tuple[float, float] = (0.0, 1e9)
    offered: int = 0
    admitted: int = 0
    offered_at: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _Request:
    load: Load
    tries: int


class Proxy(Process):
    """One proxy's leases and the requests that wait for them."""

    def __init__(self, fleet: Fleet, name: str, zone: str, ip: str, bootstrap: bool) -> None:
        super().__init__(fleet, name, zone, ip, fleet.new_life(), bootstrap)
        self.fleet = fleet
        self.leases = QuotaLeases(self.node)
        self.limits: dict[str, QuotaLimit] = {}
        self.waiting: dict[int, _Request] = {}
        self.queued = 0  # requests at a frozen process
        self.follow_limits({})  # as the decision module does before there is a configuration

    def follow_limits(self, limits: dict[str, QuotaLimit]) -> None:
        self.limits = limits
        self.node.set_limits(self.now, limits)

    def arrive(self, request: _Request) -> None:
        """A client's request is here; lost where the listener's queue is full."""
        if self.is_frozen:
            self.queued += 1
            if self.queued > MOST_BACKLOG:
                return
        else:
            self.queued = 0
        left_at = self.network.now + CLIENT_S
        self.do(lambda: self._request(request, left_at), is_request=True)

    def _request(self, request: _Request, left_at: float) -> None:
        tenant = request.load.tenant
        limit = self.limits.get(tenant)
        if limit is None or self.network.now > left_at:
            return
        number = self.fleet.next_number()
        even, returning = 1 / self.fleet_size, request.tries > 0
        verdict = self.leases.request(self.now, tenant, limit, even, number, returning)
        if verdict is Verdict.GRANTED:
            self._granted(request)
        elif verdict is Verdict.REFUSED:
            self.fleet.refused(request)
        else:
            self.waiting[number] = request
            self.leases_due()
            if number in self.waiting:
                wait = min(WAIT_S, request.load.patience_s)
                self.network.later(wait, lambda: self.do(lambda: self._leave(number)))

    def _leave(self, number: int) -> None:
        request = self.waiting.pop(number, None)
        if request is not None:
            self.leases.withdraw(request.load.tenant, number)
            self.fleet.refused(request)

    def _granted(self, request: _Request) -> None:
        lot = self.fleet.random.random()
        if lot < self.fleet.put_back_part:
            self.leases.put_back(self.now, request.load.tenant)
            return
        if lot > 1 - self.fleet.charge_part:
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
    """What limit a tenant had from when on; none where it was not limited."""

    changes: list[tuple[float, QuotaLimit | None]] = field(default_factory=list)

    def steps(self) -> list[tuple[float, float, float]]:
        """Times, rates and bursts, the higher of two while the change is on its way."""
        times = sorted({at + late for at, _ in self.changes for late in (0.0, SPREAD_S)})
        steps = []
        for at in times:
            before = [limit for since, limit in self.changes if since <= at - SPREAD_S][-1:]
            meanwhile = [limit for since, limit in self.changes if at - SPREAD_S < since <= at]
            limits = [limit for limit in before + meanwhile if limit is not None]
            rate = max((limit.rate_per_s for limit in limits), default=0.0)
            steps.append((at, rate, max((limit.burst for limit in limits), default=0.0)))
        return steps


def ideal_admissions(offered_at: list[float], limit: QuotaLimit, begin: float) -> int:
    """How many of these one token bucket would admit that all requests come to; it begins empty."""
    level, last, admitted = 0.0, begin, 0
    for at in offered_at:
        level, last = min(limit.burst, level + (at - last) * limit.rate_per_s), at
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted


class Bound:
    """What the operators' rule allows in a window."""

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
class Excess:
    """A window with more admissions than are allowed."""

    tenant: str
    begin: float
    admitted: int
    allowed: float


class Fleet(Network):
    """Proxies by name; zones: how many proxies each has."""

    def __init__(
        self, seed: int, zones: dict[str, int], limits: dict[str, QuotaLimit], bootstrap: bool = True
    ) -> None:
        super().__init__(seed)
        self.limits = dict(limits)
        self.histories = {tenant: LimitHistory([(0.0, limit)]) for tenant, limit in limits.items()}
        self.admissions: dict[str, list[float]] = {tenant: [] for tenant in limits}
        self.loads: list[Load] = []
        self.put_back_part = self.charge_part = 0.0
        self._last_number = 0
        for zone, count in zones.items():
            for n in range(count):
                proxy = self._start(f"{zone}-{n}", zone, bootstrap)
                proxy.is_young = False
                proxy.follow_limits(self.limits)
        self.publish()

    def proxies(self) -> list[Proxy]:
        """Those that are alive."""
        return [
            process for process in self.processes.values() if process.alive and isinstance(process, Proxy)
        ]

    def next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def owners(self, tenant: str) -> list[Proxy]:
        """Who thinks that it owns the tenant's quota."""
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
        """A new process, of a new or a known name."""
        known = self.processes.get(name)
        if known is not None and known.alive:
            self.kill(known)
        proxy = self._start(name, zone)
        limits = self.limits
        self.later(self.random.uniform(0.02, 0.3), lambda: proxy.do(lambda: proxy.follow_limits(limits)))
        self.publish()
        return proxy

    def change_limit(self, tenant: str, limit: QuotaLimit | None) -> None:
        """Another limit, or none, which reaches the proxies one after another."""
        limits = {name: known for name, known in self.limits.items() if name != tenant}
        if limit is not None:
            limits[tenant] = limit
        self.limits = limits
        self.histories.setdefault(tenant, LimitHistory()).changes.append((self.now, limit))
        self.admissions.setdefault(tenant, [])
        for proxy in self.proxies():
            delay = self.random.uniform(0.02, SPREAD_S * 0.8)
            self.later(delay, lambda proxy=proxy: proxy.do(lambda: proxy.follow_limits(self.limits)))

    # ---- clients

    def offer(self, load: Load) -> Load:
        """Requests come from now on."""
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
            self.at(at, lambda: self._first_try(load))

    def _first_try(self, load: Load) -> None:
        self.crowd(load, 1)
        self._next(load)

    def crowd(self, load: Load, count: int) -> None:
        """So many requests at once."""
        for _ in range(count):
            load.offered += 1
            load.offered_at.append(self.now)
            self._try(_Request(load, 0))

    def _try(self, request: _Request) -> None:
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
        if request.tries < 3 and request.load.again and self.random.random() < request.load.again:
            request.tries += 1
            self.later(self.random.uniform(0.0005, 0.005), lambda: self._try(request))

    # ---- verdict

    def worst(self) -> Excess:
        """The window that comes next to its bound, or goes farthest beyond."""
        worst = Excess("", 0.0, 0, 1.0)
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
                if count * worst.allowed > worst.admitted * allowed:
                    worst = Excess(tenant, at - WINDOW_S, count, allowed)
        return worst
