"""Seeded fault scenarios for a fleet of proxies that share quotas: client load and injected faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from quota_fleet import WindowResult, Fleet, Load, Proxy, ideal_admissions

from troutdock.quota.bucket import QuotaLimit

WARM_UP_S, FAULTS_S, SETTLE_S = 1.0, 10.0, 2.0  # warm-up, time with faults, and time to settle
DELIST_DELAY_S = (0.8, 4.0)  # until the registry removes a dead process from its list
MAX_REQUESTS_PER_S = 700.0  # requests per second of one tenant
# shorter and longer than STALL_THRESHOLD_S and than the time after which a silent link is closed
FREEZE_DURATIONS_S = (0.2, 0.45, 0.7, 1.1, 1.8, 3.0)
HOT = "hot"
MIN_SERVED = 0.99


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a scenario.

    Attributes:
        seed: Of the scenario.
        kind: Its faults, a key of KINDS.
        proxies: Number of live proxies at its end.
        worst: The window with the largest ratio of admissions to its bound.
        served: By tenant, admissions divided by those of one shared bucket, empty when the load starts.
        missed: Largest shortfall of a tenant below MIN_SERVED times the admissions of such a bucket.
        messages: Number of messages between proxies.
        requests: Number of first attempts.
    """

    seed: int
    kind: str
    proxies: int
    worst: WindowResult
    served: dict[str, float]
    missed: float
    messages: int
    requests: int

    @property
    def ratio(self) -> float:
        return self.worst.admitted / self.worst.allowed

    def __str__(self) -> str:
        worst = self.worst
        return (
            f"seed {self.seed} {self.kind} proxies {self.proxies} {worst.tenant}: {worst.admitted} admitted from "
            f"{worst.begin:.2f} on, {worst.allowed:.0f} allowed; served "
            + " ".join(f"{tenant} {part:.3f}" for tenant, part in self.served.items())
        )


class Scenario:
    """A fleet, its clients and a series of faults."""

    def __init__(self, seed: int, kind: str) -> None:
        self.seed, self.kind = seed, kind
        self.random = Random(f"{kind} {seed}")
        self.limits = self._draw_limits()
        self.bootstrap = self.random.random() < 0.7
        self.fleet = Fleet(seed, self._draw_zones(), self.limits, self.bootstrap)
        self._new_names = 0

    def _draw_limits(self) -> dict[str, QuotaLimit]:
        random = self.random
        limits = {}
        for n in range(random.randint(2, 4)):
            rate = random.choice([0.5, 2.0, 5.0, 20.0, 40.0, 80.0, 200.0])
            limits[HOT if n == 0 else f"t{n}"] = QuotaLimit(
                rate, max(1.0, rate * random.choice([1, 1, 2, 5]))
            )
        if self.kind == "impatient":
            rate = random.choice([5.0, 20.0, 40.0])
            limits[HOT] = QuotaLimit(rate, 5 * rate)
        elif self.kind == "stalls":
            rate = random.choice([40.0, 80.0])
            limits[HOT] = QuotaLimit(rate, rate)
        return limits

    def _draw_zones(self) -> dict[str, int]:
        random = self.random
        zones = random.choice([1, 1, 2, 3, 3, 3, 4, 6])
        most = random.choice([2, 3, 4, 4, 6])
        sizes = [random.randint(1, most) for _ in range(zones)]
        if sum(sizes) < 2:
            sizes[0] = 2
        return dict(zip("abcdef", sizes, strict=False))

    # ---- clients

    def _offer(self) -> None:
        random, names = self.random, list(self.fleet.processes)
        for n, (tenant, limit) in enumerate(self.limits.items()):
            if tenant == HOT and self.kind in ("impatient", "stalls"):
                continue
            until = WARM_UP_S + FAULTS_S + SETTLE_S
            if n and (self.kind == "calm" or random.random() < 0.3):
                per_s, retry_fraction = limit.rate_per_s * random.uniform(0.2, 0.8), 0.0
            else:
                per_s = min(limit.rate_per_s * 100, max(MAX_REQUESTS_PER_S, 3 * limit.rate_per_s))
                retry_fraction = random.choice([0.0, 0.0, 0.5])
            only = (
                random.sample(names, random.randint(1, min(3, len(names)))) if random.random() < 0.3 else None
            )
            self.fleet.offer(Load(tenant, per_s, only, until, retry_fraction=retry_fraction))

    def _offer_impatient(self) -> None:
        """Clients far from the owner time out before the answer; others then use the returned tokens."""
        limit = self.limits[HOT]
        load = Load(HOT, 1.0)
        self.fleet.loads.append(load)
        owners = self.fleet.owners(HOT)
        others = [proxy for proxy in self.fleet.proxies() if proxy not in owners]
        for proxy in self.random.sample(others, min(2, len(others))):
            proxy.extra_delay_s = (0.06, 0.07)  # a second answer arrives after MAX_TOKEN_WAIT_S
        for second in range(2, int(WARM_UP_S + FAULTS_S), 2):
            for after in (0.0, 0.55, 1.1):
                self.fleet.at(second + after, lambda: self._send_burst(load, int(limit.burst) + 5))
        per_s, until = 40 * limit.rate_per_s, WARM_UP_S + FAULTS_S + SETTLE_S
        self.fleet.offer(
            Load(HOT, per_s, [proxy.name for proxy in owners], until, period=2.0, active=(1.75, 2.0))
        )

    def _send_burst(self, load: Load, count: int) -> None:
        slow = [proxy.name for proxy in self.fleet.proxies() if proxy.extra_delay_s[1]]
        if slow:
            load.names = [self.random.choice(slow)]
            self.fleet.send_burst(load, count)

    def _offer_after_stalls(self) -> None:
        """Owners stall one after another with full buckets, and resume together when a burst arrives."""
        self.fleet.clients_first_fraction = 0.9
        wake = WARM_UP_S + self.random.uniform(6.5, 8.0)
        stalled: list[str] = []
        at = WARM_UP_S + 1.2
        while at < wake - 3.0 and len(stalled) < 3:
            self.fleet.at(at, lambda: self._stall_owner(wake, stalled))
            at += self.random.uniform(1.8, 2.4)
        self.fleet.at(wake - 0.9, lambda: self._offer_to_stalled(stalled))

    def _stall_owner(self, wake: float, stalled: list[str]) -> None:
        for proxy in self.fleet.owners(HOT):
            if not proxy.is_frozen and len(stalled) < len(self.fleet.processes) - 1:
                stalled.append(proxy.name)
                self.fleet.freeze(proxy, wake - self.fleet.now + self.random.uniform(0, 0.3))

    def _offer_to_stalled(self, stalled: list[str]) -> None:
        awake = [name for name in self.fleet.processes if name not in stalled][:1]
        names = [*stalled, *awake]
        per_s = 1.5 * len(names) * self.limits[HOT].rate_per_s
        self.fleet.offer(Load(HOT, per_s, names, WARM_UP_S + FAULTS_S + SETTLE_S))

    # ---- faults

    def _owner(self) -> Proxy | None:
        """Returns a random owner of a tenant, or with probability 0.3 any live proxy."""
        alive = [proxy for proxy in self.fleet.proxies() if not proxy.is_frozen]
        owners = [p for p in self.fleet.owners(self.random.choice(list(self.limits))) if not p.is_frozen]
        if not alive:
            return None
        return self.random.choice(owners if owners and self.random.random() < 0.7 else alive)

    def _kill(self) -> None:
        proxy = self._owner()
        if proxy is None or len(self.fleet.proxies()) < 2:
            return
        lost = self.random.choice(
            [self.fleet.kill, self.fleet.kill, self.fleet.lose_power, self.fleet.end_in_order]
        )
        self._stop(proxy, lost)

    def _end(self) -> None:
        proxy = self._owner()
        if proxy is not None and len(self.fleet.proxies()) > 1:
            self._stop(proxy, self.fleet.end_in_order)

    def _stop(self, proxy: Proxy, lost: Callable[[Proxy], None]) -> None:
        lost(proxy)
        if self.random.random() < 0.6:
            back = self.random.choice([0.05, 0.3, 1.0, 2.5])
            self.fleet.later(back, lambda: self._restart(proxy))
        self.fleet.later(self.random.uniform(*DELIST_DELAY_S), lambda: self.fleet.delist(proxy))

    def _restart(self, proxy: Proxy) -> None:
        if not proxy.alive and self.fleet.processes[proxy.name] is proxy:
            self.fleet.start(proxy.name, proxy.zone)

    def _freeze(self) -> None:
        proxy = self._owner()
        if proxy is not None:
            self.fleet.freeze(proxy, self.random.choice(FREEZE_DURATIONS_S) * self.random.uniform(0.9, 1.1))

    def _cut(self) -> None:
        random, processes = self.random, list(self.fleet.processes.values())
        zones = sorted({process.zone for process in processes})
        if len(zones) > 1 and random.random() < 0.7:
            side = set(random.sample(zones, random.randint(1, len(zones) - 1)))
            inside = {process.name for process in processes if process.zone in side}
        else:
            some = random.sample(processes, random.randint(1, max(1, len(processes) - 1)))
            inside = {process.name for process in some}
        names = {process.name for process in processes}
        cuts = {(x, y) for x in inside for y in names - inside}
        if random.random() < 0.6:
            cuts |= {(y, x) for x, y in cuts}
        elif random.random() < 0.5:
            cuts = {(y, x) for x, y in cuts}
        self.fleet.cuts = cuts
        self.fleet.later(random.choice([0.3, 0.9, 1.5, 3.0, 6.0]), lambda: self._heal(cuts))

    def _heal(self, cuts: set[tuple[str, str]]) -> None:
        if self.fleet.cuts is cuts:
            self.fleet.cuts = set()

    def _reset(self) -> None:
        proxy = self._owner()
        if proxy is not None:
            self.fleet.reset(proxy)

    def _join(self) -> None:
        zone = self.random.choice(sorted({process.zone for process in self.fleet.processes.values()}))
        if self.random.random() < 0.1:
            zone = "z"
        self._new_names += 1
        self.fleet.start(f"{zone}-new{self._new_names}", zone)

    def _change_limit(self) -> None:
        tenant = self.random.choice(list(self.limits))
        known = self.fleet.limits.get(tenant)
        factor = self.random.choice([0.1, 0.5, 2.0, 5.0, 0.0])
        if known is None or not factor:
            self.fleet.change_limit(tenant, None if known is not None else self.limits[tenant])
            return
        rate = min(200.0, max(0.5, known.rate_per_s * factor))
        self.fleet.change_limit(tenant, QuotaLimit(rate, max(1.0, rate * self.random.choice([1, 2, 5]))))

    def _slow(self) -> None:
        proxy = self._owner()
        if proxy is None:
            return
        proxy.extra_delay_s = (0.05, self.random.choice([0.1, 0.3, 0.5]))
        until = self.random.uniform(0.5, 4.0)
        if self.random.random() < 0.6:  # the delay is caused by its own event loop lag, which it detects
            noticed = self.random.uniform(0.2, 1.5)
            self.fleet.later(noticed, lambda: setattr(proxy, "has_high_lag", True))
            self.fleet.later(max(until, noticed) + 0.5, lambda: setattr(proxy, "has_high_lag", False))
        self.fleet.later(until, lambda: setattr(proxy, "extra_delay_s", (0.0, 0.0)))

    # ---- execution

    def _schedule(self) -> None:
        faults, least, most = KINDS[self.kind]
        if not faults:
            return
        at = WARM_UP_S + self.random.uniform(0.2, 1.5)
        while at < WARM_UP_S + FAULTS_S:
            fault = self.random.choice(faults)
            self.fleet.at(at, lambda fault=fault: fault(self))
            at += self.random.uniform(least, most)

    def run(self) -> Outcome:
        """Runs the scenario and returns its result."""
        fleet = self.fleet
        fleet.clock.run(WARM_UP_S)
        if self.kind == "impatient":
            self._offer_impatient()
        elif self.kind == "stalls":
            self._offer_after_stalls()
        self._offer()
        self._schedule()
        if self.kind not in ("calm", "impatient", "stalls"):
            fleet.put_back_fraction, fleet.charge_fraction = (
                self.random.choice([0.0, 0.05]),
                self.random.choice([0.0, 0.02]),
            )
        fleet.clock.run(WARM_UP_S + FAULTS_S + SETTLE_S)
        ideal = {load.tenant: self._ideal(load) for load in fleet.loads}
        return Outcome(
            self.seed,
            self.kind,
            len(fleet.proxies()),
            fleet.worst_window(),
            {load.tenant: load.admitted / max(1, ideal[load.tenant]) for load in fleet.loads},
            max(MIN_SERVED * ideal[load.tenant] - load.admitted for load in fleet.loads),
            fleet.messages,
            sum(load.offered for load in fleet.loads),
        )

    def _ideal(self, load: Load) -> int:
        return ideal_admissions(load.offered_at, self.limits[load.tenant], WARM_UP_S)


Fault = Callable[[Scenario], None]
KINDS: dict[str, tuple[list[Fault], float, float]] = {  # faults, and the range of seconds between two
    "calm": ([], 0.0, 0.0),
    "kills": ([Scenario._kill], 0.5, 2.5),
    "rolling": ([Scenario._kill, Scenario._kill, Scenario._kill, Scenario._join], 0.2, 0.8),
    "ends": ([Scenario._end, Scenario._end, Scenario._join], 0.5, 2.5),
    "freezes": ([Scenario._freeze], 0.3, 1.5),
    "cuts": ([Scenario._cut], 1.0, 4.0),
    "resets": ([Scenario._reset], 0.2, 1.5),
    "joins": ([Scenario._join], 0.2, 1.5),
    "limits": ([Scenario._change_limit], 0.5, 2.5),
    "slow": ([Scenario._slow], 0.3, 1.5),
    "impatient": ([], 0.0, 0.0),
    "stalls": ([], 0.0, 0.0),
    "mixed": (
        [
            Scenario._kill,
            Scenario._end,
            Scenario._freeze,
            Scenario._cut,
            Scenario._reset,
            Scenario._join,
            Scenario._change_limit,
            Scenario._slow,
        ],
        0.3,
        2.0,
    ),
}


def run_scenario(seed: int, kind: str = "") -> Outcome:
    """Runs the scenario with a seed; the kind follows from the seed unless one is given."""
    return Scenario(seed, kind or sorted(KINDS)[seed % len(KINDS)]).run()
