"""A configuration compiled for lookups: routes by host and longest prefix, tenants by API key (no I/O)."""

from __future__ import annotations


from dataclasses import dataclass
from random import Random

from troutdock.settings.configuration import Configuration, Route, Tenant
from troutdock.admission.interface import Effect, Plan, RequestClass, Settings

LOWEST_PRIORITY = 9  # higher numbers have the same weight
TICK_MS = 1.0


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A route and the number of its request class."""

    route: Route
    class_number: int


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The tenant that an API key belongs to.

    Attributes:
        tenant: Its configuration.
        tenant_number: Its number, the same in every version of the configuration.
        plan: The index of its plan in the settings of this version.
    """

    tenant: Tenant
    tenant_number: int
    plan: int


class RouteTable:
    """One compiled version of the configuration; each version gets a new table."""

    def __init__(self, configuration: Configuration, tenant_numbers: dict[str, int]) -> None:
        """Compiles a configuration.

        Args:
            configuration: One version.
            tenant_numbers: Tenant numbers by name, shared by all versions; new tenants are added.
        """
        self.configuration = configuration
        self.version = configuration.version
        self.needs_key = configuration.tenants is not None
        self._hosts: dict[bytes, dict[bytes, RouteMatch]] = {}
        for class_number, route in enumerate(configuration.routes):
            prefixes = self._hosts.setdefault(route.host.encode(), {})
            prefixes[route.prefix.encode()] = RouteMatch(route, class_number)
        self._key_owners: dict[bytes, KeyOwner] = {}
        tenants = configuration.tenants or ()
        for plan, tenant in enumerate(tenants):
            tenant_number = tenant_numbers.setdefault(tenant.name, len(tenant_numbers) + 1)
            for key in tenant.keys:
                self._key_owners[key.encode()] = KeyOwner(tenant, tenant_number, plan + 1)
        self.settings = _settings(configuration, tenants)

    def find(self, host: bytes, path: bytes) -> RouteMatch | None:
        """Returns the host's route with the longest matching path prefix."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind(b"/", 0, end)) >= 0:
            if (matched := prefixes.get(path[: end + 1])) is not None:
                return matched
        return None

    def key_owner(self, key: bytes) -> KeyOwner | None:
        """Returns the owner of an API key; None if the key is unknown."""
        return self._key_owners.get(key)


def _settings(configuration: Configuration, tenants: tuple[Tenant, ...]) -> Settings:
    """Returns the settings of the decision module: a class for each route, a plan for each tenant.

    Plan 0 has no limit.
    """
    classes = tuple(
        RequestClass(
            route.target_latency_ms,
            route.timeout_ms,
            1 / (1 + min(route.priority, LOWEST_PRIORITY)),
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


def pick_service(split: tuple[tuple[str, float], ...], random: Random) -> str:
    """Returns a random service of a split, by weight."""
    if len(split) == 1:
        return split[0][0]
    remaining = random.random() * sum(weight for _, weight in split)
    for service, weight in split:
        remaining -= weight
        if remaining < 0:
            return service
    return next(service for service, weight in reversed(split) if weight > 0)
