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

    def __init__(
        self,
        configuration: Configuration,
        tenant_numbers: dict[str, int],
        previous: RouteTable | None = None,
    ) -> None:
        """Compiles a configuration.

        Args:
            configuration: One version.
            tenant_numbers: Tenant numbers by name, shared by all versions; new tenants are added.
            previous: The table of an earlier version. What it has compiled from the same routes and tenants
                is used again.
        """
        self.configuration = configuration
        self.version = configuration.version
        self.needs_key = configuration.tenants is not None
        self._tenants = configuration.tenants or ()
        self._tenant_numbers = tenant_numbers
        self._hosts: dict[bytes, dict[bytes, RouteMatch]] = {}
        for class_number, route in enumerate(configuration.routes):
            prefixes = self._hosts.setdefault(route.host.encode(), {})
            prefixes[route.prefix.encode()] = RouteMatch(route, class_number)
        self._tenant_indexes: dict[str, int] = {}  # by API key
        for index, tenant in enumerate(self._tenants):
            tenant_numbers.setdefault(tenant.name, len(tenant_numbers) + 1)
            for key in tenant.keys:
                self._tenant_indexes[key] = index
        self.settings = _settings(configuration, previous)

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
        try:
            index = self._tenant_indexes.get(key.decode())
        except UnicodeDecodeError:
            return None
        if index is None:
            return None
        tenant = self._tenants[index]
        return KeyOwner(tenant, self._tenant_numbers[tenant.name], index + 1)


def _request_class(route: Route) -> RequestClass:
    return RequestClass(
        route.target_latency_ms,
        route.timeout_ms,
        1 / (1 + min(route.priority, LOWEST_PRIORITY)),
        Effect.SAFE if route.read_only else Effect.UNSAFE,
        name=route.name,
    )


def _plan(tenant: Tenant) -> Plan:
    return Plan(tenant.rate, max(1.0, tenant.burst) if tenant.rate else 0.0, name=tenant.name)


def _settings(configuration: Configuration, previous: RouteTable | None) -> Settings:
    """Returns the settings of the decision module: a class for each route, a plan for each tenant.

    Plan 0 has no limit.
    """
    known_classes: dict[Route, RequestClass] = {}
    known_plans: dict[Tenant, Plan] = {}
    if previous is not None:
        earlier = previous.configuration
        known_classes = dict(zip(earlier.routes, previous.settings.classes, strict=False))
        known_plans = dict(zip(earlier.tenants or (), previous.settings.plans[1:], strict=True))
    classes = tuple(known_classes.get(route) or _request_class(route) for route in configuration.routes)
    plans = tuple(known_plans.get(tenant) or _plan(tenant) for tenant in configuration.tenants or ())
    return Settings(
        gateways=1,
        index=0,
        classes=classes or (RequestClass(1000, 1000, 1, Effect.SAFE),),
        plans=(Plan(0, 0), *plans),
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
