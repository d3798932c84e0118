"""What ingresses tell one another: open attempts, as numbers that hold now, and how many are heard.

No I/O, no clock. An ingress tells its zone each of its own changes at once: bytes within a zone cost
nothing. Other zones are told sums. For each service one ingress of a zone is its *home*, the first live
one in an order that all agree on, and another one is home for telling how many ingresses its zone hears;
a home tells the homes of the other zones what its zone has open at each backend, and passes on to its own
zone what it hears of theirs. So the work of telling is shared by as many ingresses as there are services,
and what one says grows with its zone's requests, not with the number of ingresses (one speaker a zone
that passed on every ingress's numbers sent 410 KB/s on links of 250 at 20 ingresses a zone, and was cut
off by its own queue).

Numbers are absolute, so that nothing is counted twice whichever way it comes; a link begins with all of
them. Tenants' quotas are not told here: they are leased (troutdock.quota). Whom an ingress dials for
that, by the order of its shards' owners, is decided here with the rest. Times are seconds of the owner's
steady clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

from troutdock.rpc.messages import Member, Share, Shares
from troutdock.endpoints.rendezvous import first_ranked, ranked
from troutdock.quota.routes import SHARD_COUNT, ranked_aggregators, preceding_zones

STALE_TIMEOUT_S = 1.2  # an ingress or zone that was not heard of for so long tells nothing any more
LEFT_MEMBER_TTL_S = 10.0  # one that has left the list without being heard to end still counts for so long
LIVENESS_INTERVAL_S = 0.4  # at least so often another zone is told how many are heard here
LINKS_TO_OWNERS = 2  # into the zone of a shard's owner: the second serves when the first has just ended
ZONE_LINK_WAIT_S = 0.5  # for the neighbours in the zone that are listed to be linked
REMOTE_DIAL_DELAY_S = 1.0  # a zone whose home has not dialled for so long is dialled
LIVENESS_DUTY = "use"  # the duty of telling how many are heard; by its name processes of before have it alike
SHARE_TAG_MODULUS = 10_000  # of lives and epochs
MAX_TABLE_NAMES = 20_000  # in a table, until it is begun anew
ZONE_PREFIX = "@"  # before a zone's name, where it stands in an ingress's place


class Services(Protocol):
    """What an exchange needs of the book of instances."""

    def services(self) -> Iterable[str]:
        """Those that have instances."""

    def service_of(self, instance: str) -> str:
        """Whose it is, nothing where it is not known."""

    def instances_of(self, service: str) -> Iterable[str]:
        """Its instances."""


class _PendingChanges:
    """What one kind of neighbour does not know yet, and what it was told of names and lives."""

    __slots__ = ("incarnations", "instances", "names_sent")

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, None]] = {}  # instances by origin
        self.names_sent = 0  # of the table
        self.incarnations: dict[str, int] = {}

    def add(self, origin: str, instances: Iterable[str]) -> None:
        self.instances.setdefault(origin, {}).update(dict.fromkeys(instances))


@dataclass(slots=True)
class ZonePeer:
    """Another ingress of the zone, as it was told of last. direct: by itself, on a link that is still up."""

    incarnation: int
    last_seen_at: float
    direct: bool = False
    loads: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class RemoteZone:
    """Another zone, as it was told of last. here: ingresses that are heard there."""

    last_seen_at: float = -inf
    reachable: int = 0
    loads: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class LoadUpdate:
    """What a message has brought: open attempts by origin and instance."""

    loads: dict[str, dict[str, int]] = field(default_factory=dict)


class LoadExchange:
    """One ingress's part in it."""

    def __init__(self, name: str, ip: str, zone: str, incarnation: int, services: Services) -> None:
        """me: the machine's name, which is its origin."""
        self.name, self.zone, self.incarnation = name, zone, incarnation
        self.ip = ip
        self.services = services
        self.members: dict[str, Member] = {}
        self._left: dict[str, Member] = {}  # members that have gone from the list
        self._left_at: dict[str, float] = {}
        self.zone_peers: dict[str, ZonePeer] = {}  # of the zone
        self.remote_zones: dict[str, RemoteZone] = {}  # by zone
        self.own_loads: dict[str, int] = {}
        self.zone_loads: dict[str, int] = {}  # open in the whole zone
        # own changes, and changes of other zones that are forwarded to this zone
        self._zone_changes, self._forwarded_changes = _PendingChanges(), _PendingChanges()
        self._unsent: dict[str, dict[str, None]] = {}  # by duty: what other zones don't know yet
        self._previous_duties: set[str] = set()  # duties that were this one's at the last telling
        # neighbours and duties that were looked at last
        self._duties_input: tuple[frozenset[str], frozenset[str]] | None = None
        self._own_duties: set[str] = set()  # of these, those that are this one's
        self._names: dict[str, int] = {}  # own table
        self._names_sent: dict[str, int] = {}  # how much of it those of other zones know
        self._peer_tables: dict[str, tuple[int, list[str]]] = {}  # of neighbours: by name, with their lives
        self._unlinked_since: dict[str, float] = {}  # other zones, and since when none of theirs is linked
        self._zone_incomplete_since = inf  # a listed neighbour in the zone is not linked
        self._liveness_sent_at = 0.0
        self.busy: frozenset[str] = frozenset()  # names of those that handle messages late

    # ---- who is there

    def update_members(self, now: float, entries: Iterable[Member], gone: Iterable[str], full: bool) -> None:
        """The registry's list, whole or what has changed of it."""
        entries = list(entries)
        if full:
            named = {member.name for member in entries}
            gone = [name for name in self.members if name not in named]
        for name in gone:
            if (member := self.members.pop(name, None)) is not None:
                self._left[name], self._left_at[name] = member, now
        for member in entries:
            if member.name != self.name:
                self.members[member.name] = member
                self._left.pop(member.name, None)

    def _reachable_in_zone(self, now: float) -> set[str]:
        return {name for name, o in self.zone_peers.items() if now - o.last_seen_at <= STALE_TIMEOUT_S}

    def membership(self, now: float) -> tuple[int, int]:
        """How many ingresses there are, this one among them, and how many are heard, itself included."""
        for name in [name for name in self._left if now - self._left_at[name] > LEFT_MEMBER_TTL_S]:
            del self._left[name], self._left_at[name]
        here = self._reachable_in_zone(now) - {self.name}
        zones: dict[str, int] = {}
        for member in (*self.members.values(), *self._left.values()):
            if member.zone != self.zone:
                zones[member.zone] = zones.get(member.zone, 0) + 1
        known = {m.name for m in (*self.members.values(), *self._left.values()) if m.zone == self.zone}
        heard = sum(
            min(count, self.remote_zones[zone].reachable)
            for zone, count in zones.items()
            if zone in self.remote_zones and now - self.remote_zones[zone].last_seen_at <= STALE_TIMEOUT_S
        )
        return len((known | here) - {self.name}) + sum(zones.values()) + 1, len(here) + heard + 1

    def duties(self) -> list[str]:
        """What each zone has a home for."""
        return [*(f"service/{service}" for service in self.services.services()), LIVENESS_DUTY]

    def is_responsible(self, duty: str, live: Iterable[str]) -> bool:
        """Whether this one does a duty for its zone, of those that it is linked to there."""
        return first_ranked(_order(self.zone, duty), [self.name, *live]) == self.name

    def dial_targets(
        self, now: float, linked: Iterable[tuple[str, str]], failing: Collection[str]
    ) -> list[Member]:
        """Whom this one is to dial. linked: names and zones of those it is linked to; failing: not reached.

        In the zone the lower address dials. Homes dial those of other zones for the same duty, the higher
        address only where the other has not for a while; one that can't be reached makes room for the next.
        """
        linked = list(linked)
        near = [name for name, zone in linked if zone == self.zone]
        found = {m.name: m for m in self.members.values() if m.zone == self.zone and self.ip < m.ip}
        zones: dict[str, dict[str, Member]] = {}
        for m in self.members.values():
            if m.zone != self.zone:
                zones.setdefault(m.zone, {})[m.name] = m
        for zone in zones:
            if any(z == zone for _, z in linked):
                self._unlinked_since.pop(zone, None)
            else:
                self._unlinked_since.setdefault(zone, now)
        # who is not linked to its own zone yet does not know whose duties are whose
        unmet = [m.name for m in self.members.values() if m.zone == self.zone and m.name not in near]
        if unmet and set(unmet) - set(failing):
            self._zone_incomplete_since = min(self._zone_incomplete_since, now)
        else:
            self._zone_incomplete_since = inf
        if self._zone_incomplete_since != inf and now - self._zone_incomplete_since <= ZONE_LINK_WAIT_S:
            return list(found.values())
        for duty in self.duties():
            if not self.is_responsible(duty, near):
                continue
            for zone, there in zones.items():
                order = ranked(_order(zone, duty), there)
                name = next((n for n in order if n not in failing), order[0])
                waited = now - self._unlinked_since.get(zone, now) >= REMOTE_DIAL_DELAY_S
                if self.ip < there[name].ip or waited or (name, zone) in linked:
                    found[name] = there[name]
        found.update(self._quota_dial_targets(near, zones, linked, failing))
        return list(found.values())

    def _quota_dial_targets(
        self,
        near: Collection[str],
        zones: Mapping[str, Mapping[str, Member]],
        linked: Collection[tuple[str, str]],
        failing: Collection[str],
    ) -> dict[str, Member]:
        """For each shard that this one asks for in its zone's name, who owns it, and who does next.

        The zone that asks dials: it alone needs the link. Zones behind one that is linked are left alone.
        """
        found: dict[str, Member] = {}
        for shard in range(SHARD_COUNT):
            if ranked_aggregators(self.zone, shard, [self.name, *near], self.busy)[0] != self.name:
                continue
            for zone in preceding_zones(shard, self.zone, zones):
                order = ranked_aggregators(zone, shard, zones[zone], self.busy)
                reached = [name for name in order if name not in failing] or order
                for name in reached[:LINKS_TO_OWNERS]:
                    found[name] = zones[zone][name]
                if any(of == zone for _, of in linked):
                    break
        return found

    def should_keep(self, name: str, address: str, wanted: Collection[str], up: bool) -> bool:
        """Whether a link that was dialled stays: also one that is up to who has merely left the list."""
        member = self.members.get(name)
        return (name in wanted and (member is None or member.ip == address)) or (up and member is None)

    def mark_alive(self, now: float, name: str) -> None:
        """A neighbour is linked, though it has nothing to tell."""
        if (known := self.zone_peers.get(name)) is not None:
            known.last_seen_at = now

    # ---- numbers of the zone

    def set_load(self, instance: str, count: int) -> None:
        """So many own attempts are open there."""
        self._adjust_zone_load(instance, count - self.own_loads.get(instance, 0))
        if count:
            self.own_loads[instance] = count
        else:
            self.own_loads.pop(instance, None)
        self._zone_changes.add(self.name, [instance])

    def _adjust_zone_load(self, instance: str, more: int) -> None:
        count = self.zone_loads.get(instance, 0) + more
        if count > 0:
            self.zone_loads[instance] = count
        else:
            self.zone_loads.pop(instance, None)
        duty = f"service/{self.services.service_of(instance)}"
        self._unsent.setdefault(duty, {})[instance] = None

    # ---- messages

    def _name_index(self, name: str) -> int:
        return self._names.setdefault(name, len(self._names))

    def _pairs(self, found: Mapping[str, int]) -> list[int]:
        return [n for name, count in found.items() for n in (self._name_index(name), count)]

    def _share(self, origin: str, life: int, out: Mapping[str, int], told: bool = False) -> Share:
        return Share(
            self._name_index(origin), life % SHARE_TAG_MODULUS, self._pairs(out), life=0 if told else life
        )

    def _zone_share(self, zone: str, out: Mapping[str, int], here: int) -> Share:
        return Share(self._name_index(ZONE_PREFIX + zone), 0, self._pairs(out), here=here)

    def _own_zone_share(self, now: float, out: Mapping[str, int], here: bool = True) -> Share:
        return self._zone_share(
            self.zone, out, len(self._reachable_in_zone(now) - {self.name}) + 1 if here else 0
        )

    def full_state(self, now: float, peer: str, away: bool) -> Shares:
        """All that a new neighbour is told first. away: it is of another zone."""
        if away:
            entries = [self._own_zone_share(now, self.zone_loads)]
        else:
            entries = [self._share(self.name, self.incarnation, self.own_loads)]
            for name in sorted(self._reachable_in_zone(now)):
                o = self.zone_peers[name]
                entries.append(self._share(name, o.incarnation, o.loads))
            for zone, a in self.remote_zones.items():
                if now - a.last_seen_at <= STALE_TIMEOUT_S:
                    entries.append(self._zone_share(zone, a.loads, a.reachable))
        self._names_sent[peer] = len(self._names)
        return Shares(entries, 0, list(self._names), True)

    def _reset_full_table(self) -> None:
        if len(self._names) > MAX_TABLE_NAMES:
            self._names.clear()
            self._names_sent.clear()
            self._zone_changes.names_sent = self._forwarded_changes.names_sent = 0

    def _take_update(self, side: _PendingChanges) -> Shares | None:
        if not side.instances:
            return None
        self._reset_full_table()
        entries = []
        for origin, instances in side.instances.items():
            if origin == self.name:
                changed = {i: self.own_loads.get(i, 0) for i in instances}
                entries.append(
                    self._share(
                        origin, self.incarnation, changed, side.incarnations.get(origin) == self.incarnation
                    )
                )
                side.incarnations[origin] = self.incarnation
            elif (a := self.remote_zones.get(origin[len(ZONE_PREFIX) :])) is not None:
                changed = {i: a.loads.get(i, 0) for i in instances}
                entries.append(self._zone_share(origin[len(ZONE_PREFIX) :], changed, a.reachable))
        side.instances.clear()
        if not entries:
            return None
        base, side.names_sent = side.names_sent, len(self._names)
        names = list(self._names)[base:] if base < side.names_sent else []
        return Shares(entries, base if names else -1, names)

    def zone_update(self) -> Shares | None:
        """What the neighbours in the zone don't know yet of this one."""
        return self._take_update(self._zone_changes)

    def forwarded_update(self) -> Shares | None:
        """What the neighbours in the zone don't know yet of other zones."""
        return self._take_update(self._forwarded_changes)

    def remote_updates(
        self, now: float, near: Collection[str], away: Collection[tuple[str, str]]
    ) -> list[tuple[list[str], Shares]]:
        """What other zones don't know yet: messages, and for whom of those linked there.

        near: names linked in the zone; away: names and zones of the others.
        """
        known = frozenset(near), frozenset(self.duties())
        # recomputing every duty for every peer about 25 times a second would cost too much CPU
        if known != self._duties_input:
            self._duties_input = known
            self._own_duties = {duty for duty in known[1] if self.is_responsible(duty, near)}
        homes = self._own_duties
        for duty in homes - self._previous_duties:  # whoever told it before may not have told the last of it
            if duty != LIVENESS_DUTY:
                all_of = self.services.instances_of(duty.partition("/")[2])
                self._unsent.setdefault(duty, {}).update(dict.fromkeys(all_of))
        self._previous_duties = homes
        alive = now - self._liveness_sent_at >= LIVENESS_INTERVAL_S
        groups: dict[tuple[str, ...], set[str]] = {}
        for duty in sorted(homes):
            if duty in self._unsent or (duty == LIVENESS_DUTY and alive):
                zones: dict[str, list[str]] = {}
                for name, zone in away:
                    zones.setdefault(zone, []).append(name)
                firsts = sorted(ranked(_order(zone, duty), names)[0] for zone, names in zones.items())
                groups.setdefault(tuple(firsts), set()).add(duty)
        self._reset_full_table()
        found = []
        for to, duties in groups.items():
            here = alive and LIVENESS_DUTY in duties
            if here:
                self._liveness_sent_at = now
            out: dict[str, int] = {}
            for duty in duties:
                out.update((i, self.zone_loads.get(i, 0)) for i in self._unsent.pop(duty, {}))
            if to:
                entries = [self._own_zone_share(now, out, here)]
                base = min(self._names_sent.get(name, 0) for name in to)
                names = list(self._names)[base:]
                for peer in to:
                    self._names_sent[peer] = len(self._names)
                found.append((list(to), Shares(entries, base if names else -1, names)))
        for duty in [duty for duty in self._unsent if duty not in homes]:
            del self._unsent[duty]  # another one tells it
        return found

    def _update_peer_table(self, sender: str, life: int, shares: Shares) -> list[str]:
        """The sender's table, with what this message adds to it; empty names were never told here.

        Two links of one life tell of one table in either order, so a base of 0 takes no later names away.
        """
        of, table = self._peer_tables.get(sender, (life, []))
        if of != life:
            table = []
        self._peer_tables[sender] = life, table
        if 0 <= shares.base <= len(table) + 2 * MAX_TABLE_NAMES:
            table.extend([""] * (shares.base - len(table)))
            table[shares.base : shares.base + len(shares.names)] = shares.names
        return table

    def receive(self, now: float, shares: Shares, sender: str, zone: str, life: int = 0) -> LoadUpdate:
        """A neighbour's message; numbers that its table does not have are left out.

        zone, life: the neighbour's, as it said them when the link began; 0: not told.
        """
        news = LoadUpdate()
        table = self._update_peer_table(sender, life, shares)

        def pairs(flat: list[int]) -> dict[str, int]:
            return {
                table[n]: count
                for n, count in zip(flat[::2], flat[1::2], strict=False)
                if 0 <= n < len(table) and table[n]
            }

        for share in shares.entries:
            origin = (table[share.origin] if 0 <= share.origin < len(table) else "") or self.name
            if origin == sender and life and share.life not in (0, life):
                continue  # another life's word of itself
            out = pairs(share.out)
            if origin.startswith(ZONE_PREFIX):
                of = origin[len(ZONE_PREFIX) :]
                if of != self.zone:
                    self._receive_remote_zone(now, of, share, out, shares.full, zone == of, news)
            elif origin != self.name and zone == self.zone:
                self._receive_zone_peer(now, origin, share, out, shares.full, origin == sender, news)
        return news

    def _receive_zone_peer(
        self,
        now: float,
        origin: str,
        share: Share,
        out: dict[str, int],
        full: bool,
        own: bool,
        news: LoadUpdate,
    ) -> None:
        """own: it speaks of itself, so that its life is the one that runs, whatever its clock says."""
        known = self.zone_peers.get(origin)
        if known is not None and known.direct and not own:
            return  # others can know no better, and may tell of a former life
        if not share.life and (known is None or known.incarnation % SHARE_TAG_MODULUS != share.tag):
            return
        if known is not None and 0 < share.life < known.incarnation and not own:
            return
        fresh = known is None or share.life not in (0, known.incarnation)
        if fresh:
            if known is not None and known.loads:
                news.loads.setdefault(origin, {}).update(dict.fromkeys(known.loads, 0))
                for instance, count in known.loads.items():
                    self._adjust_zone_load(instance, -count)
            known = self.zone_peers[origin] = ZonePeer(share.life, now)
        assert known is not None
        known.last_seen_at, known.direct = now, own
        if full:
            out = {**{i: 0 for i in known.loads if i not in out}, **out}
        changed = {i: n for i, n in out.items() if known.loads.get(i, 0) != n}
        for instance, count in changed.items():
            self._adjust_zone_load(instance, count - known.loads.get(instance, 0))
            if count:
                known.loads[instance] = count
            else:
                known.loads.pop(instance, None)
        if changed:
            news.loads.setdefault(origin, {}).update(changed)

    def _receive_remote_zone(
        self,
        now: float,
        zone: str,
        share: Share,
        out: dict[str, int],
        full: bool,
        first_hand: bool,
        news: LoadUpdate,
    ) -> None:
        """first_hand: it comes from that zone, and is passed on."""
        origin = ZONE_PREFIX + zone
        known = self.remote_zones.setdefault(zone, RemoteZone())
        known.last_seen_at, known.reachable = now, share.here or known.reachable
        if full and first_hand:
            out = {**{i: 0 for i in known.loads if i not in out}, **out}
        changed = {i: n for i, n in out.items() if known.loads.get(i, 0) != n}
        for instance, count in changed.items():
            if count:
                known.loads[instance] = count
            else:
                known.loads.pop(instance, None)
        if changed:
            news.loads.setdefault(origin, {}).update(changed)
        if first_hand and (changed or not out):
            self._forwarded_changes.add(origin, changed)

    def expire(self, now: float, origin: str | None = None) -> LoadUpdate:
        """Open attempts of those not heard of any more, or of one whose link has ended, are none."""
        news = LoadUpdate()
        for name, o in list(self.zone_peers.items()):
            if name == origin or now - o.last_seen_at > STALE_TIMEOUT_S:
                o.direct = False
                if o.loads:
                    news.loads[name] = dict.fromkeys(o.loads, 0)
                    for instance, count in o.loads.items():
                        self._adjust_zone_load(instance, -count)
                    o.loads.clear()
                if now - o.last_seen_at > LEFT_MEMBER_TTL_S * 6:
                    del self.zone_peers[name]
        for zone, a in list(self.remote_zones.items()):
            if now - a.last_seen_at > STALE_TIMEOUT_S and a.loads:
                news.loads[ZONE_PREFIX + zone] = dict.fromkeys(a.loads, 0)
                a.loads.clear()
            if now - a.last_seen_at > LEFT_MEMBER_TTL_S * 6:
                del self.remote_zones[zone]
        return news


def _order(zone: str, duty: str) -> str:
    return f"{zone}/{duty}"
