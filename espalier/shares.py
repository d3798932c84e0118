"""What ingresses tell one another: open attempts and admitted requests, as numbers that hold now.

No I/O, no clock. An ingress tells its zone at once (bytes within a zone cost nothing), and one ingress of
each zone, its speaker, passes on to the other zones' speakers what has changed there, many requests in one
message. Numbers are absolute, so that nothing is counted twice whichever way it comes; a link begins with
all of them. Times are seconds of the owner's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from furrow.messages import Member, Share, Shares
from pollen.order import first, in_order

STALE_S = 1.2  # an ingress that was not heard of for so long tells nothing any more
LOST_S = 10.0  # one that has left the list without being heard to end still counts for so long
ALIVE_S = 0.4  # at least so often another zone's speaker is told who is heard here
MEET_S = 0.5  # for the neighbours in the zone that are listed to be linked
UNLINKED_S = 1.0  # a zone whose speaker has not dialled for so long is dialled
SPEAKS = "speaker"  # the duty's name
TAGS = 10_000  # of lives
MOST_NAMES = 20_000  # in a table, until it is begun anew


class _Side:
    """What one kind of neighbour does not know yet, and what it was told of names and lives."""

    __slots__ = ("lives", "names", "waiting")

    def __init__(self) -> None:
        self.waiting: dict[str, tuple[dict[str, None], dict[str, None]]] = {}  # by origin: instances, tenants
        self.names = 0  # of the table
        self.lives: dict[str, int] = {}

    def changed(self, origin: str, instances: Iterable[str], tenants: Iterable[str]) -> None:
        waiting = self.waiting.setdefault(origin, ({}, {}))
        waiting[0].update(dict.fromkeys(instances))
        waiting[1].update(dict.fromkeys(tenants))


@dataclass(slots=True)
class Origin:
    """Another ingress, as it was told of last."""

    life: int
    zone: str
    heard_at: float
    out: dict[str, int] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class News:
    """What a message has brought: open attempts by origin and instance, and uses by tenant."""

    out: dict[str, dict[str, int]] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)


class Exchange:
    """One ingress's part in it."""

    def __init__(self, me: str, ip: str, zone: str, life: int) -> None:
        """me: the machine's name, which is its origin."""
        self.me, self.zone, self.life = me, zone, life
        self.ip = ip
        self.members: dict[str, Member] = {}
        self._left: dict[str, float] = {}  # members that have gone from the list, and when
        self.origins: dict[str, Origin] = {}
        self.out: dict[str, int] = {}
        self.used: dict[str, int] = {}
        self._near, self._away = _Side(), _Side()  # in the zone, and speakers of others
        self._names: dict[str, int] = {}  # own table
        self._tables: dict[str, list[str]] = {}  # of neighbours, by name
        self._unlinked: dict[str, float] = {}  # other zones, and since when none of theirs is linked
        self._alone_since = inf  # a listed neighbour in the zone is not linked
        self._told_alive = 0.0
        self.settled = False  # others' numbers of before are known, so that only what is new counts as new

    # ---- who is there

    def listed(self, now: float, entries: Iterable[Member], gone: Iterable[str], full: bool) -> None:
        """The registry's list, whole or what has changed of it."""
        entries = list(entries)
        if full:
            named = {member.name for member in entries}
            gone = [name for name in self.members if name not in named]
        for name in gone:
            if self.members.pop(name, None) is not None:
                self._left[name] = now
        for member in entries:
            if member.name != self.me:
                self.members[member.name] = member
                self._left.pop(member.name, None)

    def company(self, now: float) -> tuple[int, int]:
        """How many ingresses there are, this one among them, and how many are heard, itself included."""
        for name, at in list(self._left.items()):
            if now - at > LOST_S:
                del self._left[name]
        heard = {name for name, o in self.origins.items() if now - o.heard_at <= STALE_S}
        there = {*self.members, *self._left, *heard} - {self.me}
        return len(there) + 1, len(heard & there) + 1

    def speaker(self, live: Iterable[str]) -> bool:
        """Whether this one speaks for its zone, of those that it is linked to there."""
        return first(SPEAKS + self.zone, [self.me, *live]) == self.me

    def wanted(self, now: float, linked: Iterable[tuple[str, str]], failing: Collection[str]) -> list[Member]:
        """Whom this one is to dial. linked: names and zones of those it is linked to; failing: not reached.

        In the zone the lower address dials. Other zones are dialled by the speaker, the higher address only
        where the other has not for a while; one that can't be reached makes room for the next.
        """
        linked = list(linked)
        near = [name for name, zone in linked if zone == self.zone]
        found = [m for m in self.members.values() if m.zone == self.zone and self.ip < m.ip]
        zones = {m.zone for m in self.members.values()} - {self.zone}
        for zone in zones:
            if any(z == zone for _, z in linked):
                self._unlinked.pop(zone, None)
            else:
                self._unlinked.setdefault(zone, now)
        # who is not linked to its own zone yet does not know who speaks for it
        unmet = [m.name for m in self.members.values() if m.zone == self.zone and m.name not in near]
        if unmet and set(unmet) - set(failing):
            self._alone_since = min(self._alone_since, now)
        else:
            self._alone_since = inf
        if self.speaker(near) and (self._alone_since == inf or now - self._alone_since > MEET_S):
            for zone in zones:
                there = {m.name: m for m in self.members.values() if m.zone == zone}
                order = in_order(SPEAKS + zone, there)
                name = next((n for n in order if n not in failing), order[0])
                waited = now - self._unlinked.get(zone, now) >= UNLINKED_S
                if self.ip < there[name].ip or waited or (name, zone) in linked:
                    found.append(there[name])
        return found

    def keeps(self, name: str, address: str, wanted: Collection[str], up: bool) -> bool:
        """Whether a link that was dialled stays: also one that is up to who has merely left the list."""
        member = self.members.get(name)
        return (name in wanted and (member is None or member.ip == address)) or (up and member is None)

    def alive(self, now: float, name: str) -> None:
        """A neighbour is linked, though it has nothing to tell."""
        if (known := self.origins.get(name)) is not None:
            known.heard_at = now

    # ---- own numbers

    def load(self, instance: str, count: int) -> None:
        """So many own attempts are open there."""
        if count:
            self.out[instance] = count
        else:
            self.out.pop(instance, None)
        self._near.changed(self.me, [instance], [])
        self._away.changed(self.me, [instance], [])

    def use(self, tenant: str, count: int) -> None:
        """So many requests of a tenant were let in here since the start."""
        self.used[tenant] = count
        self._near.changed(self.me, [], [tenant])
        self._away.changed(self.me, [], [tenant])

    # ---- messages

    def _number(self, name: str) -> int:
        return self._names.setdefault(name, len(self._names))

    def _share(
        self, origin: str, life: int, out: Mapping[str, int], used: Mapping[str, int], told: bool
    ) -> Share:
        pairs = [
            [n for name, count in found.items() for n in (self._number(name), count)] for found in (out, used)
        ]
        return Share(self._number(origin), life % TAGS, pairs[0], pairs[1], 0 if told else life)

    def full(self, now: float, level: Mapping[str, float], away: bool) -> Shares:
        """All that a new neighbour is told first. away: it is of another zone."""
        entries = [self._share(self.me, self.life, self.out, self.used, False)]
        for name, o in self.origins.items():
            if now - o.heard_at <= STALE_S and not (away and o.zone != self.zone):
                entries.append(self._share(name, o.life, o.out, o.used, False))
        return Shares(entries, 0, list(self._names), True, {t: round(v, 1) for t, v in level.items()})

    def _numbers(self, origin: str) -> tuple[int, dict[str, int], dict[str, int]] | None:
        if origin == self.me:
            return self.life, self.out, self.used
        known = self.origins.get(origin)
        return (known.life, known.out, known.used) if known is not None else None

    def _due(self, side: _Side) -> Shares | None:
        if not side.waiting:
            return None
        if len(self._names) > MOST_NAMES:
            self._names.clear()
            self._near.names = self._away.names = 0
        entries = []
        for origin, (instances, tenants) in side.waiting.items():
            if (numbers := self._numbers(origin)) is not None:
                life, out, used = numbers
                changed = {i: out.get(i, 0) for i in instances}
                grown = {t: used[t] for t in tenants if t in used}
                entries.append(self._share(origin, life, changed, grown, side.lives.get(origin) == life))
                side.lives[origin] = life
        side.waiting.clear()
        if not entries:
            return None
        base, side.names = side.names, len(self._names)
        names = list(self._names)[base:] if base < side.names else []
        return Shares(entries, base if names else -1, names)

    def for_zone(self) -> Shares | None:
        """What the neighbours in the zone don't know yet."""
        return self._due(self._near)

    def for_away(self, now: float) -> Shares | None:
        """What other zones' speakers don't know yet; at times only who is heard here."""
        if now - self._told_alive >= ALIVE_S:
            self._told_alive = now
            self._away.changed(self.me, [], [])
            for name, o in self.origins.items():
                if o.zone == self.zone and now - o.heard_at <= STALE_S:
                    self._away.changed(name, [], [])
        return self._due(self._away)

    def _named(self, sender: str, shares: Shares) -> list[str]:
        """The sender's table, with what this message adds to it."""
        table = self._tables.setdefault(sender, [])
        if shares.base == 0:
            table = self._tables[sender] = list(shares.names)
        elif shares.base > 0:
            table[shares.base :] = shares.names
        return table

    def hear(self, now: float, shares: Shares, sender: str, zone: str, zone_of: Callable[[str], str]) -> News:
        """A neighbour's message; numbers that its table does not have are left out. zone: the neighbour's."""
        news = News()
        table = self._named(sender, shares)
        away = zone != self.zone

        def pairs(flat: list[int]) -> dict[str, int]:
            return {
                table[n]: count
                for n, count in zip(flat[::2], flat[1::2], strict=False)
                if 0 <= n < len(table)
            }

        for share in shares.entries:
            origin = table[share.origin] if 0 <= share.origin < len(table) else self.me
            known = self.origins.get(origin)
            if origin == self.me or (not share.life and (known is None or known.life % TAGS != share.tag)):
                continue
            if known is not None and 0 < share.life < known.life:
                continue
            fresh = known is None or share.life > known.life
            if fresh:
                if known is not None and known.out:
                    news.out.setdefault(origin, {}).update(dict.fromkeys(known.out, 0))
                known = self.origins[origin] = Origin(share.life, zone_of(origin) or zone, now)
            assert known is not None
            known.heard_at = now
            out, used = pairs(share.out), pairs(share.used)
            if shares.full:
                out = {**{i: 0 for i in known.out if i not in out}, **out}
            changed = {i: n for i, n in out.items() if known.out.get(i, 0) != n}
            for instance, count in changed.items():
                if count:
                    known.out[instance] = count
                else:
                    known.out.pop(instance, None)
            if changed:
                news.out.setdefault(origin, {}).update(changed)
            grown = {t: n for t, n in used.items() if n > known.used.get(t, 0)}
            for tenant, count in grown.items():
                if self.settled or not shares.full:
                    news.used[tenant] = news.used.get(tenant, 0) + count - known.used.get(tenant, 0)
                known.used[tenant] = count
            # each message goes one hop within a zone, and one between speakers
            if away and (changed or grown or fresh or not (out or used)):
                self._near.changed(origin, changed, grown)
            elif not away and known.zone == self.zone and (changed or grown or fresh):
                self._away.changed(origin, changed, grown)
        return news

    def forget(self, now: float, origin: str | None = None) -> News:
        """Open attempts of those not heard of any more, or of one whose link has ended, are none."""
        news = News()
        for name, o in list(self.origins.items()):
            if name == origin or now - o.heard_at > STALE_S:
                if o.out:
                    news.out[name] = dict.fromkeys(o.out, 0)
                    o.out.clear()
                if now - o.heard_at > LOST_S * 6:
                    del self.origins[name]
        return news
