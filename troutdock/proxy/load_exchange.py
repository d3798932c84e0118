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
from troutdock.quota.routes import SHARDS, in_aggregator_order, zones_before

STALE_S = 1.2  # an ingress or zone that was not heard of for so long tells nothing any more
LOST_S = 10.0  # one that has left the list without being heard to end still counts for so long
ALIVE_S = 0.4  # at least so often another zone is told how many are heard here
LINKS_TO_OWNERS = 2  # into the zone of a shard's owner: the second serves when the first has just ended
MEET_S = 0.5  # for the neighbours in the zone that are listed to be linked
UNLINKED_S = 1.0  # a zone whose home has not dialled for so long is dialled
ALIVE = "use"  # the duty of telling how many are heard; by its name processes of before have it alike
TAGS = 10_000  # of lives and epochs
MOST_NAMES = 20_000  # in a table, until it is begun anew
ZONE = "@"  # before a zone's name, where it stands in an ingress's place


class Services(Protocol):
    """What an exchange needs of the book of instances."""

    def services(self) -> Iterable[str]:
        """Those that have instances."""

    def service_of(self, instance: str) -> str:
        """Whose it is, nothing where it is not known."""

    def instances_of(self, service: str) -> Iterable[str]:
        """Its instances."""


class _Side:
    """What one kind of neighbour does not know yet, and what it was told of names and lives."""

    __slots__ = ("lives", "names", "waiting")

    def __init__(self) -> None:
        self.waiting: dict[str, dict[str, None]] = {}  # instances by origin
        self.names = 0  # of the table
        self.lives: dict[str, int] = {}

    def changed(self, origin: str, instances: Iterable[str]) -> None:
        self.waiting.setdefault(origin, {}).update(dict.fromkeys(instances))


@dataclass(slots=True)
class Origin:
    """Another ingress of the zone, as it was told of last. own: by itself, on a link that is still up."""

    life: int
    heard_at: float
    own: bool = False
    out: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Away:
    """Another zone, as it was told of last. here: ingresses that are heard there."""

    heard_at: float = -inf
    here: int = 0
    out: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class News:
    """What a message has brought: open attempts by origin and instance."""

    out: dict[str, dict[str, int]] = field(default_factory=dict)


class Exchange:
    """One ingress's part in it."""

    def __init__(self, me: str, ip: str, zone: str, life: int, services: Services) -> None:
        """me: the machine's name, which is its origin."""
        self.me, self.zone, self.life = me, zone, life
        self.ip = ip
        self.services = services
        self.members: dict[str, Member] = {}
        self._left: dict[str, Member] = {}  # members that have gone from the list
        self._left_at: dict[str, float] = {}
        self.origins: dict[str, Origin] = {}  # of the zone
        self.away: dict[str, Away] = {}  # by zone
        self.out: dict[str, int] = {}
        self.zone_out: dict[str, int] = {}  # open in the whole zone
        self._near, self._passed_on = _Side(), _Side()  # own changes, and those of other zones
        self._waiting: dict[str, dict[str, None]] = {}  # by duty: what other zones don't know yet
        self._homes: set[str] = set()  # duties that were this one's at the last telling
        # neighbours and duties that were looked at last
        self._homes_of: tuple[frozenset[str], frozenset[str]] | None = None
        self._own_duties: set[str] = set()  # of these, those that are this one's
        self._names: dict[str, int] = {}  # own table
        self._names_told: dict[str, int] = {}  # how much of it those of other zones know
        self._tables: dict[str, tuple[int, list[str]]] = {}  # of neighbours: by name, with their lives
        self._unlinked: dict[str, float] = {}  # other zones, and since when none of theirs is linked
        self._alone_since = inf  # a listed neighbour in the zone is not linked
        self._told_alive = 0.0
        self.busy: frozenset[str] = frozenset()  # names of those that handle messages late

    # ---- who is there

    def listed(self, now: float, entries: Iterable[Member], gone: Iterable[str], full: bool) -> None:
        """The registry's list, whole or what has changed of it."""
        entries = list(entries)
        if full:
            named = {member.name for member in entries}
            gone = [name for name in self.members if name not in named]
        for name in gone:
            if (member := self.members.pop(name, None)) is not None:
                self._left[name], self._left_at[name] = member, now
        for member in entries:
            if member.name != self.me:
                self.members[member.name] = member
                self._left.pop(member.name, None)

    def _heard_here(self, now: float) -> set[str]:
        return {name for name, o in self.origins.items() if now - o.heard_at <= STALE_S}

    def company(self, now: float) -> tuple[int, int]:
        """How many ingresses there are, this one among them, and how many are heard, itself included."""
        for name in [name for name in self._left if now - self._left_at[name] > LOST_S]:
            del self._left[name], self._left_at[name]
        here = self._heard_here(now) - {self.me}
        zones: dict[str, int] = {}
        for member in (*self.members.values(), *self._left.values()):
            if member.zone != self.zone:
                zones[member.zone] = zones.get(member.zone, 0) + 1
        known = {m.name for m in (*self.members.values(), *self._left.values()) if m.zone == self.zone}
        heard = sum(
            min(count, self.away[zone].here)
            for zone, count in zones.items()
            if zone in self.away and now - self.away[zone].heard_at <= STALE_S
        )
        return len((known | here) - {self.me}) + sum(zones.values()) + 1, len(here) + heard + 1

    def duties(self) -> list[str]:
        """What each zone has a home for."""
        return [*(f"service/{service}" for service in self.services.services()), ALIVE]

    def home(self, duty: str, live: Iterable[str]) -> bool:
        """Whether this one does a duty for its zone, of those that it is linked to there."""
        return first_ranked(_order(self.zone, duty), [self.me, *live]) == self.me

    def wanted(self, now: float, linked: Iterable[tuple[str, str]], failing: Collection[str]) -> list[Member]:
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
                self._unlinked.pop(zone, None)
            else:
                self._unlinked.setdefault(zone, now)
        # who is not linked to its own zone yet does not know whose duties are whose
        unmet = [m.name for m in self.members.values() if m.zone == self.zone and m.name not in near]
        if unmet and set(unmet) - set(failing):
            self._alone_since = min(self._alone_since, now)
        else:
            self._alone_since = inf
        if self._alone_since != inf and now - self._alone_since <= MEET_S:
            return list(found.values())
        for duty in self.duties():
            if not self.home(duty, near):
                continue
            for zone, there in zones.items():
                order = ranked(_order(zone, duty), there)
                name = next((n for n in order if n not in failing), order[0])
                waited = now - self._unlinked.get(zone, now) >= UNLINKED_S
                if self.ip < there[name].ip or waited or (name, zone) in linked:
                    found[name] = there[name]
        found.update(self._wanted_for_quotas(near, zones, linked, failing))
        return list(found.values())

    def _wanted_for_quotas(
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
        for shard in range(SHARDS):
            if in_aggregator_order(self.zone, shard, [self.me, *near], self.busy)[0] != self.me:
                continue
            for zone in zones_before(shard, self.zone, zones):
                order = in_aggregator_order(zone, shard, zones[zone], self.busy)
                reached = [name for name in order if name not in failing] or order
                for name in reached[:LINKS_TO_OWNERS]:
                    found[name] = zones[zone][name]
                if any(of == zone for _, of in linked):
                    break
        return found

    def keeps(self, name: str, address: str, wanted: Collection[str], up: bool) -> bool:
        """Whether a link that was dialled stays: also one that is up to who has merely left the list."""
        member = self.members.get(name)
        return (name in wanted and (member is None or member.ip == address)) or (up and member is None)

    def alive(self, now: float, name: str) -> None:
        """A neighbour is linked, though it has nothing to tell."""
        if (known := self.origins.get(name)) is not None:
            known.heard_at = now

    # ---- numbers of the zone

    def load(self, instance: str, count: int) -> None:
        """So many own attempts are open there."""
        self._opened(instance, count - self.out.get(instance, 0))
        if count:
            self.out[instance] = count
        else:
            self.out.pop(instance, None)
        self._near.changed(self.me, [instance])

    def _opened(self, instance: str, more: int) -> None:
        count = self.zone_out.get(instance, 0) + more
        if count > 0:
            self.zone_out[instance] = count
        else:
            self.zone_out.pop(instance, None)
        duty = f"service/{self.services.service_of(instance)}"
        self._waiting.setdefault(duty, {})[instance] = None

    # ---- messages

    def _number(self, name: str) -> int:
        return self._names.setdefault(name, len(self._names))

    def _pairs(self, found: Mapping[str, int]) -> list[int]:
        return [n for name, count in found.items() for n in (self._number(name), count)]

    def _share(self, origin: str, life: int, out: Mapping[str, int], told: bool = False) -> Share:
        return Share(self._number(origin), life % TAGS, self._pairs(out), life=0 if told else life)

    def _zone_share(self, zone: str, out: Mapping[str, int], here: int) -> Share:
        return Share(self._number(ZONE + zone), 0, self._pairs(out), here=here)

    def _own_zone(self, now: float, out: Mapping[str, int], here: bool = True) -> Share:
        return self._zone_share(self.zone, out, len(self._heard_here(now) - {self.me}) + 1 if here else 0)

    def full(self, now: float, peer: str, away: bool) -> Shares:
        """All that a new neighbour is told first. away: it is of another zone."""
        if away:
            entries = [self._own_zone(now, self.zone_out)]
        else:
            entries = [self._share(self.me, self.life, self.out)]
            for name in sorted(self._heard_here(now)):
                o = self.origins[name]
                entries.append(self._share(name, o.life, o.out))
            for zone, a in self.away.items():
                if now - a.heard_at <= STALE_S:
                    entries.append(self._zone_share(zone, a.out, a.here))
        self._names_told[peer] = len(self._names)
        return Shares(entries, 0, list(self._names), True)

    def _new_table(self) -> None:
        if len(self._names) > MOST_NAMES:
            self._names.clear()
            self._names_told.clear()
            self._near.names = self._passed_on.names = 0

    def _due(self, side: _Side) -> Shares | None:
        if not side.waiting:
            return None
        self._new_table()
        entries = []
        for origin, instances in side.waiting.items():
            if origin == self.me:
                changed = {i: self.out.get(i, 0) for i in instances}
                entries.append(self._share(origin, self.life, changed, side.lives.get(origin) == self.life))
                side.lives[origin] = self.life
            elif (a := self.away.get(origin[len(ZONE) :])) is not None:
                changed = {i: a.out.get(i, 0) for i in instances}
                entries.append(self._zone_share(origin[len(ZONE) :], changed, a.here))
        side.waiting.clear()
        if not entries:
            return None
        base, side.names = side.names, len(self._names)
        names = list(self._names)[base:] if base < side.names else []
        return Shares(entries, base if names else -1, names)

    def for_zone(self) -> Shares | None:
        """What the neighbours in the zone don't know yet of this one."""
        return self._due(self._near)

    def passed_on(self) -> Shares | None:
        """What the neighbours in the zone don't know yet of other zones."""
        return self._due(self._passed_on)

    def for_away(
        self, now: float, near: Collection[str], away: Collection[tuple[str, str]]
    ) -> list[tuple[list[str], Shares]]:
        """What other zones don't know yet: messages, and for whom of those linked there.

        near: names linked in the zone; away: names and zones of the others.
        """
        known = frozenset(near), frozenset(self.duties())
        if known != self._homes_of:  # each duty against each neighbour, some 25 times a second, is too much
            self._homes_of = known
            self._own_duties = {duty for duty in known[1] if self.home(duty, near)}
        homes = self._own_duties
        for duty in homes - self._homes:  # whoever told it before may not have told the last of it
            if duty != ALIVE:
                all_of = self.services.instances_of(duty.partition("/")[2])
                self._waiting.setdefault(duty, {}).update(dict.fromkeys(all_of))
        self._homes = homes
        alive = now - self._told_alive >= ALIVE_S
        groups: dict[tuple[str, ...], set[str]] = {}
        for duty in sorted(homes):
            if duty in self._waiting or (duty == ALIVE and alive):
                zones: dict[str, list[str]] = {}
                for name, zone in away:
                    zones.setdefault(zone, []).append(name)
                firsts = sorted(ranked(_order(zone, duty), names)[0] for zone, names in zones.items())
                groups.setdefault(tuple(firsts), set()).add(duty)
        self._new_table()
        found = []
        for to, duties in groups.items():
            here = alive and ALIVE in duties
            if here:
                self._told_alive = now
            out: dict[str, int] = {}
            for duty in duties:
                out.update((i, self.zone_out.get(i, 0)) for i in self._waiting.pop(duty, {}))
            if to:
                entries = [self._own_zone(now, out, here)]
                base = min(self._names_told.get(name, 0) for name in to)
                names = list(self._names)[base:]
                for peer in to:
                    self._names_told[peer] = len(self._names)
                found.append((list(to), Shares(entries, base if names else -1, names)))
        for duty in [duty for duty in self._waiting if duty not in homes]:
            del self._waiting[duty]  # another one tells it
        return found

    def _named(self, sender: str, life: int, shares: Shares) -> list[str]:
        """The sender's table, with what this message adds to it; empty names were never told here.

        Two links of one life tell of one table in either order, so a base of 0 takes no later names away.
        """
        of, table = self._tables.get(sender, (life, []))
        if of != life:
            table = []
        self._tables[sender] = life, table
        if 0 <= shares.base <= len(table) + 2 * MOST_NAMES:
            table.extend([""] * (shares.base - len(table)))
            table[shares.base : shares.base + len(shares.names)] = shares.names
        return table

    def hear(self, now: float, shares: Shares, sender: str, zone: str, life: int = 0) -> News:
        """A neighbour's message; numbers that its table does not have are left out.

        zone, life: the neighbour's, as it said them when the link began; 0: not told.
        """
        news = News()
        table = self._named(sender, life, shares)

        def pairs(flat: list[int]) -> dict[str, int]:
            return {
                table[n]: count
                for n, count in zip(flat[::2], flat[1::2], strict=False)
                if 0 <= n < len(table) and table[n]
            }

        for share in shares.entries:
            origin = (table[share.origin] if 0 <= share.origin < len(table) else "") or self.me
            if origin == sender and life and share.life not in (0, life):
                continue  # another life's word of itself
            out = pairs(share.out)
            if origin.startswith(ZONE):
                of = origin[len(ZONE) :]
                if of != self.zone:
                    self._hear_zone(now, of, share, out, shares.full, zone == of, news)
            elif origin != self.me and zone == self.zone:
                self._hear_neighbour(now, origin, share, out, shares.full, origin == sender, news)
        return news

    def _hear_neighbour(
        self,
        now: float,
        origin: str,
        share: Share,
        out: dict[str, int],
        full: bool,
        own: bool,
        news: News,
    ) -> None:
        """own: it speaks of itself, so that its life is the one that runs, whatever its clock says."""
        known = self.origins.get(origin)
        if known is not None and known.own and not own:
            return  # others can know no better, and may tell of a former life
        if not share.life and (known is None or known.life % TAGS != share.tag):
            return
        if known is not None and 0 < share.life < known.life and not own:
            return
        fresh = known is None or share.life not in (0, known.life)
        if fresh:
            if known is not None and known.out:
                news.out.setdefault(origin, {}).update(dict.fromkeys(known.out, 0))
                for instance, count in known.out.items():
                    self._opened(instance, -count)
            known = self.origins[origin] = Origin(share.life, now)
        assert known is not None
        known.heard_at, known.own = now, own
        if full:
            out = {**{i: 0 for i in known.out if i not in out}, **out}
        changed = {i: n for i, n in out.items() if known.out.get(i, 0) != n}
        for instance, count in changed.items():
            self._opened(instance, count - known.out.get(instance, 0))
            if count:
                known.out[instance] = count
            else:
                known.out.pop(instance, None)
        if changed:
            news.out.setdefault(origin, {}).update(changed)

    def _hear_zone(
        self,
        now: float,
        zone: str,
        share: Share,
        out: dict[str, int],
        full: bool,
        first_hand: bool,
        news: News,
    ) -> None:
        """first_hand: it comes from that zone, and is passed on."""
        origin = ZONE + zone
        known = self.away.setdefault(zone, Away())
        known.heard_at, known.here = now, share.here or known.here
        if full and first_hand:
            out = {**{i: 0 for i in known.out if i not in out}, **out}
        changed = {i: n for i, n in out.items() if known.out.get(i, 0) != n}
        for instance, count in changed.items():
            if count:
                known.out[instance] = count
            else:
                known.out.pop(instance, None)
        if changed:
            news.out.setdefault(origin, {}).update(changed)
        if first_hand and (changed or not out):
            self._passed_on.changed(origin, changed)

    def forget(self, now: float, origin: str | None = None) -> News:
        """Open attempts of those not heard of any more, or of one whose link has ended, are none."""
        news = News()
        for name, o in list(self.origins.items()):
            if name == origin or now - o.heard_at > STALE_S:
                o.own = False
                if o.out:
                    news.out[name] = dict.fromkeys(o.out, 0)
                    for instance, count in o.out.items():
                        self._opened(instance, -count)
                    o.out.clear()
                if now - o.heard_at > LOST_S * 6:
                    del self.origins[name]
        for zone, a in list(self.away.items()):
            if now - a.heard_at > STALE_S and a.out:
                news.out[ZONE + zone] = dict.fromkeys(a.out, 0)
                a.out.clear()
            if now - a.heard_at > LOST_S * 6:
                del self.away[zone]
        return news


def _order(zone: str, duty: str) -> str:
    return f"{zone}/{duty}"
