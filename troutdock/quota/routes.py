"""Which proxy the requests for a quota go to: the agreed tree of owners and aggregators (no I/O, no clock).

Tenants are divided into shards. For each shard every zone has an *aggregator*, the first of its live
proxies in an order that all agree on, and one zone's aggregator is the *owner*, again the first zone in
an agreed order. A proxy asks the aggregator of its zone, and that one the owner's zone. A peer that is
asked though it is neither passes the request on by its own view, so views that differ for a moment still
lead to an owner.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Set
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from zlib import crc32

from troutdock.endpoints.rendezvous import first_ranked, ranked

SHARD_COUNT = 16  # the same in every process of a fleet: who owns what follows from it
SETTLE_TIMEOUT_S = 0.4  # for the listed neighbours of a process that has just started to be linked
ZONE_GRACE_S = 0.5  # how long requests wait for a zone that is not linked, before the next zone owns


class Role(Enum):
    """What a proxy is for one shard."""

    UNSETTLED = "unsettled"  # it can't tell yet: requests wait
    MEMBER = "member"  # asks the aggregator of its zone
    AGGREGATOR = "aggregator"  # asks the owner on its zone's behalf
    OWNER = "owner"  # keeps the buckets


@dataclass(frozen=True, slots=True)
class Route:
    """A proxy's role for a shard, and the peer that it asks; empty for an owner or an unsettled one."""

    role: Role
    upstream: str = ""


UNSETTLED = Route(Role.UNSETTLED)


@dataclass(frozen=True, slots=True)
class Peers:
    """The other proxies as this one sees them.

    Attributes:
        zone_peers: Names of those in its own zone that are linked.
        remote_peers: Zones by the names of linked ones in other zones.
        listed_zone_peers: Names of those in its own zone that the registry lists, but for those not reached.
        listed_zones: Other zones that the registry lists proxies of.
        fleet_size: How many proxies there are, this one included; 0 until the registry has told.
        busy: Names, this one's perhaps among them, of those that handle messages late or have just started.
    """

    zone_peers: Set[str] = frozenset()
    remote_peers: Mapping[str, str] = field(default_factory=dict)
    listed_zone_peers: Set[str] = frozenset()
    listed_zones: Set[str] = frozenset()
    fleet_size: int = 0
    busy: Set[str] = frozenset()


SINGLE_PROXY = Peers(fleet_size=1)


def shard_of(tenant: str) -> int:
    """The shard that a tenant's quota belongs to."""
    return crc32(tenant.encode()) % SHARD_COUNT


def shard_key(shard: int) -> str:
    """The name under which a shard's zones are put in order."""
    return f"quota/{shard}"


def zone_key(zone: str, shard: int) -> str:
    """The name under which the proxies of a zone are put in order for a shard."""
    return f"{zone}/{shard_key(shard)}"


def ranked_aggregators(zone: str, shard: int, names: Collection[str], busy: Set[str]) -> list[str]:
    """A zone's proxies, the aggregator of a shard first.

    Busy ones come last, unless they are more than three quarters: then the others would be next to be so.
    """
    order = ranked(zone_key(zone, shard), names)
    idle = [name for name in order if name not in busy]
    if 4 * len(idle) < len(order):
        return order
    return idle + [name for name in order if name in busy]


def preceding_zones(shard: int, zone: str, zones: Iterable[str]) -> list[str]:
    """The other zones that come before one in a shard's order, the first of them being the owner's."""
    order = ranked(shard_key(shard), {zone, *zones})
    return order[: order.index(zone)]


class ShardRoutes:
    """One proxy's routes of all shards."""

    def __init__(self, name: str, zone: str) -> None:
        """Begin unsettled."""
        self.name, self.zone = name, zone
        self.routes = [UNSETTLED] * SHARD_COUNT
        self._peers = Peers()
        self._listed_at = inf
        self._zone_lost_at: dict[str, float] = {}  # other zones that were linked, and whose last link ended
        self._aggregates_since: dict[int, float] = {}  # by shard: links to other zones come up from then on
        self._stable_until = -inf  # until then routes change with the peers only

    def update(self, now: float, peers: Peers) -> list[int]:
        """Follow a change of peers, or of time; the shards whose route has changed."""
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
        """Its neighbours are linked, or have had the time for it."""
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
        """Who would be the owner after this proxy; empty where there is nobody."""
        if near := ranked_aggregators(self.zone, shard, self._peers.zone_peers, self._peers.busy):
            return near[0]
        zone = first_ranked(shard_key(shard), set(self._peers.remote_peers.values()))
        names = [name for name, of in self._peers.remote_peers.items() if of == zone]
        return first_ranked(zone_key(zone or "", shard), names) or ""
