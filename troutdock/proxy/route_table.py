"""A configuration as requests need it: routes by host and longest prefix, tenants by key (no I/O)."""

from __future__ import annotations


from dataclasses import dataclass
from random import Random

from troutdock.settings.configuration import Configuration, Route, Tenant
from troutdock.admission.interface import Effect, Plan, RequestClass, Settings

LOWEST = 9  # priorities beyond are worth no less
TICK_MS = 1.0


@dataclass(frozen=True, slots=True)
class Found:
    """A route and the number of its class."""

    route: Route
    cls: int


@dataclass(frozen=True, slots=True)
class Holder:
    """Whose a key is. number: of the tenant, the same in every version; plan: in this version's settings."""

    tenant: Tenant
    number: int
    plan: int


class Table:
    """One version, compiled; a new version is a new one."""

    def __init__(self, configuration: Configuration, numbers: dict[str, int]) -> None:
        """numbers: of tenants by name, kept from version to version; new ones are added."""
        self.configuration = configuration
        self.version = configuration.version
        self.needs_key = configuration.tenants is not None
        self._hosts: dict[bytes, dict[bytes, Found]] = {}
        for cls, route in enumerate(configuration.routes):
            prefixes = self._hosts.setdefault(route.host.encode(), {})
            prefixes[route.prefix.encode()] = Found(route, cls)
        self._holders: dict[bytes, Holder] = {}
        tenants = configuration.tenants or ()
        for plan, tenant in enumerate(tenants):
            number = numbers.setdefault(tenant.name, len(numbers) + 1)
            for key in tenant.keys:
                self._holders[key.encode()] = Holder(tenant, number, plan + 1)
        self.settings = _settings(configuration, tenants)

    def find(self, host: bytes, path: bytes) -> Found | None:
        """The route of the host with the longest prefix that begins the path."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind(b"/", 0, end)) >= 0:
            if (found := prefixes.get(path[: end + 1])) is not None:
                return found
        return None

    def holder(self, key: bytes) -> Holder | None:
        """Whose the key is."""
        return self._holders.get(key)


def _settings(configuration: Configuration, tenants: tuple[Tenant, ...]) -> Settings:
    """What the decision module is told: a class for each route, a plan for each tenant.

    Plan 0 has no limit.
    """
    classes = tuple(
        RequestClass(
            route.target_latency_ms,
            route.timeout_ms,
            1 / (1 + min(route.priority, LOWEST)),
            Effect.SAFE if route.read_only else Effect.UNSAFE,
            name=route.name,
        )
        for route in configuration.routes
    )
    plans = (
        Plan(0, 0),
        *(
            Plan(tenant.rate, max(1.0, tenant.burst) if tenant.rate else 0.0, name=tenant.name)
            for tenant in tenants
        ),
    )
    return Settings(
        gateways=1,
        index=0,
        classes=classes or (RequestClass(1000, 1000, 1, Effect.SAFE),),
        plans=plans,
        max_attempts=1,
        start_capacity=1,
        cold_ms=0,
        fall_multiple=1,
        overload_ms=1000,
        drain_grace_ms=0,
        tick_ms=TICK_MS,
        cancel=True,
        second_copies=True,
    )


def pick(to: tuple[tuple[str, float], ...], random: Random) -> str:
    """One of a split's services, by weight."""
    if len(to) == 1:
        return to[0][0]
    at = random.random() * sum(weight for _, weight in to)
    for service, weight in to:
        at -= weight
        if at < 0:
            return service
    return next(service for service, weight in reversed(to) if weight > 0)
