"""Routing of quota demands: the tree of owners and aggregators (no I/O, no clock).

Tenants are divided into shards. For each shard, every zone has an *aggregator*: the first of its live proxies
in an order that all proxies compute alike. The aggregator of the first zone, in an order computed the same
way, is the *owner*. A proxy sends its demands to the aggregator of its zone, which sends them to the owner's
zone. A peer that receives a demand without being the aggregator or the owner forwards it according to its own
view, so demands still reach an owner while views differ temporarily.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Set
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from zlib import crc32

from troutdock.endpoints.rendezvous import first_ranked, ranked

SHARD_COUNT = 16  # must be equal in all processes of a fleet, because ownership depends on it
SETTLE_TIMEOUT_S = 0.4  # how long a process that has just started waits for links to the listed peers
ZONE_GRACE_S = 0.5  # how long demands wait for a zone without a link before the next zone becomes owner


class Role(Enum):
    """Role of a proxy for one shard."""

    UNSETTLED = "unsettled"  # not known yet: demands wait
    MEMBER = "member"  # sends demands to the aggregator of its zone
    AGGREGATOR = "aggregator"  # sends demands to the owner on behalf of its zone
    OWNER = "owner"  # keeps the buckets


@dataclass(frozen=True, slots=True)
class Route:
    """A proxy's role for a shard, and its upstream peer; empty for an owner or an unsettled proxy."""

    role: Role
    upstream: str = ""


UNSETTLED = Route(Role.UNSETTLED)


@dataclass(frozen=True, slots=True)
class Peers:
    """This proxy's view of the other proxies.

    Attributes:
        zone_peers: Names of the linked proxies in the own zone.
        remote_peers: Zones of the linked proxies in other zones, by name.
        listed_zone_peers: Names of the listed proxies in the own zone, except unreachable ones.
        listed_zones: Other zones in which the registry lists proxies.
        fleet_size: Number of proxies, including this one; 0 until the registry has reported it.
        busy: Names of proxies, possibly this one too, with a high message delay or a recent start.
    """

    zone_peers: Set[str] = frozenset()
    remote_peers: Mapping[str, str] = field(default_factory=dict)
    listed_zone_peers: Set[str] = frozenset()
    listed_zones: Set[str] = frozenset()
    fleet_size: int = 0
    busy: Set[str] = frozenset()


SINGLE_PROXY = Peers(fleet_size=1)


def shard_of(tenant: str) -> int:
    """Returns the shard of a tenant's quota."""
    return crc32(tenant.encode()) % SHARD_COUNT


def shard_key(shard: int) -> str:
    """Returns the key by which zones are ranked for a shard."""
    return f"quota/{shard}"


def zone_key(zone: str, shard: int) -> str:
    """Returns the key by which the proxies of a zone are ranked for a shard."""
    return f"{zone}/{shard_key(shard)}"


def ranked_aggregators(zone: str, shard: int, names: Collection[str], busy: Set[str]) -> list[str]:
    """Returns the proxies of a zone, the aggregator of a shard first.

    Busy proxies come last, unless they are more than three quarters of all: the remaining proxies would then
    become busy next.
    """
    order = ranked(zone_key(zone, shard), names)
    idle = [name for name in order if name not in busy]
    if 4 * len(idle) < len(order):
        return order
    return idle + [name for name in order if name in busy]


def preceding_zones(shard: int, zone: str, zones: Iterable[str]) -> list[str]:
    """Returns the zones that precede a zone in the order of a shard; the first one is the owner's zone."""
    order = ranked(shard_key(shard), {zone, *zones})
    return order[: order.index(zone)]


class ShardRoutes:
    """Routes of one proxy for all shards."""

    def __init__(self, name: str, zone: str) -> None:
        """Starts with unsettled routes."""
        self.name, self.zone = name, zone
        self.routes = [UNSETTLED] * SHARD_COUNT
        self._peers = Peers()
        self._listed_at = inf
        self._zone_lost_at: dict[str, float] = {}  # when the last link to another zone closed
        self._aggregates_since: dict[int, float] = {}  # by shard: since when this proxy may dial other zones
        self._stable_until = -inf  # until then, routes change only if the peers change

    def update(self, now: float, peers: Peers) -> list[int]:
        """Updates the routes after a change of peers or of time; returns the shards whose route changed."""
        if peers == self._peers and now < self._stable_until:
            return []
        if peers.fleet_size and self._listed_at == inf:
            self._listed_at = now
        linked_zones = set(peers.remote_peers.values())
        for zone in set(self._peers.remote_peers.values()) - linked_zones:
            self._zone_lost_at[zone] = now
        for zone in linked_zones:
            self._zone_lost_at.pop(zone, None)
        self._peers = peers
        changed = []
        for shard in range(SHARD_COUNT):
            route = self._route(now, shard)
            if route != self.routes[shard]:
                self.routes[shard] = route
                changed.append(shard)
        graces = {*self._zone_lost_at.values(), *self._aggregates_since.values()}
        deadlines = [at + ZONE_GRACE_S for at in graces] + [self._listed_at + SETTLE_TIMEOUT_S]
        self._stable_until = min((at for at in deadlines if at > now), default=inf)
        return changed

    def is_settled(self, now: float) -> bool:
        """Returns whether the listed peers of the zone are linked, or SETTLE_TIMEOUT_S has passed."""
        if self._listed_at == inf:
            return False
        return (
            now >= self._listed_at + SETTLE_TIMEOUT_S
            or self._peers.listed_zone_peers <= self._peers.zone_peers
        )

    def _route(self, now: float, shard: int) -> Route:
        peers = self._peers
        aggregator = ranked_aggregators(self.zone, shard, [self.name, *peers.zone_peers], peers.busy)[0]
        if aggregator != self.name:
            self._aggregates_since.pop(shard, None)
            return Route(Role.MEMBER, aggregator)
        if not self.is_settled(now):
            return UNSETTLED
        since = self._aggregates_since.setdefault(shard, now)
        linked = set(peers.remote_peers.values())
        awaited = {zone for zone, at in self._zone_lost_at.items() if now < at + ZONE_GRACE_S}
        if now < since + ZONE_GRACE_S:
            awaited |= peers.listed_zones - linked
        before = preceding_zones(shard, self.zone, linked | awaited)
        if not before:
            return Route(Role.OWNER)
        if before[0] not in linked:
            return UNSETTLED
        names = [name for name, zone in peers.remote_peers.items() if zone == before[0]]
        return Route(Role.AGGREGATOR, ranked_aggregators(before[0], shard, names, peers.busy)[0])

    def successor(self, shard: int) -> str:
        """Returns the next owner if this proxy terminates; empty if there is none."""
        if zone_order := ranked_aggregators(self.zone, shard, self._peers.zone_peers, self._peers.busy):
            return zone_order[0]
        zone = first_ranked(shard_key(shard), set(self._peers.remote_peers.values()))
        names = [name for name, of in self._peers.remote_peers.items() if of == zone]
        return first_ranked(zone_key(zone or "", shard), names) or ""
