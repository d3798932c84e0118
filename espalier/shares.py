"""What ingresses tell one another: open attempts and admitted requests, as numbers that hold now.

No I/O, no clock. An ingress tells its zone at once (bytes within a zone cost nothing), and one ingress of
each zone, its speaker, passes on to the other zones' speakers what has changed there, many requests in one
message. Numbers are absolute, so that nothing is counted twice whichever way it comes; a link begins with
all of them. Times are seconds of the owner's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from furrow.messages import Member, Share, Shares
from pollen.order import first

STALE_S = 1.2  # an ingress that was not heard of for so long tells nothing any more
LOST_S = 10.0  # one that has left the list without being heard to end still counts for so long
ALIVE_S = 0.4  # at least so often another zone's speaker is told who is heard here
SPEAKS = "speaker"  # the duty's name


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
        # what each kind of neighbour does not know yet: by origin the changed instances and tenants
        self._for_zone: dict[str, tuple[dict[str, None], dict[str, None]]] = {}
        self._for_away: dict[str, tuple[dict[str, None], dict[str, None]]] = {}
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
        self._changed(self.me, [instance], [], True, True)

    def use(self, tenant: str, count: int) -> None:
        """So many requests of a tenant were let in here since the start."""
        self.used[tenant] = count
        self._changed(self.me, [], [tenant], True, True)

    def _changed(
        self, origin: str, instances: Iterable[str], tenants: Iterable[str], zone: bool, away: bool
    ) -> None:
        for waiting, wanted in ((self._for_zone, zone), (self._for_away, away)):
            if wanted:
                changed = waiting.setdefault(origin, ({}, {}))
                changed[0].update(dict.fromkeys(instances))
                changed[1].update(dict.fromkeys(tenants))

    # ---- messages

    def full(self, now: float, level: Mapping[str, float], away: bool) -> Shares:
        """All that a new neighbour is told first. away: it is of another zone."""
        entries = [Share(self.me, self.life, dict(self.out), dict(self.used))]
        for name, o in self.origins.items():
            if now - o.heard_at <= STALE_S and not (away and o.zone != self.zone):
                entries.append(Share(name, o.life, dict(o.out), dict(o.used)))
        return Shares(entries, True, {t: round(v, 1) for t, v in level.items()})

    def _numbers(self, origin: str) -> tuple[int, dict[str, int], dict[str, int]] | None:
        if origin == self.me:
            return self.life, self.out, self.used
        known = self.origins.get(origin)
        return (known.life, known.out, known.used) if known is not None else None

    def _due(self, waiting: dict[str, tuple[dict[str, None], dict[str, None]]]) -> list[Share]:
        entries = []
        for origin, (instances, tenants) in waiting.items():
            if (numbers := self._numbers(origin)) is not None:
                life, out, used = numbers
                entries.append(
                    Share(
                        origin,
                        life,
                        {i: out.get(i, 0) for i in instances},
                        {t: used[t] for t in tenants if t in used},
                    )
                )
        waiting.clear()
        return entries

    def for_zone(self) -> Shares | None:
        """What the neighbours in the zone don't know yet."""
        entries = self._due(self._for_zone)
        return Shares(entries) if entries else None

    def for_away(self, now: float) -> Shares | None:
        """What other zones' speakers don't know yet; at times only who is heard here."""
        if now - self._told_alive >= ALIVE_S:
            self._told_alive = now
            for name in [
                self.me,
                *(n for n, o in self.origins.items() if o.zone == self.zone and now - o.heard_at <= STALE_S),
            ]:
                self._for_away.setdefault(name, ({}, {}))
        entries = self._due(self._for_away)
        return Shares(entries) if entries else None

    def hear(self, now: float, shares: Shares, zone: str, zone_of: Callable[[str], str]) -> News:
        """A neighbour's message. zone: the neighbour's own."""
        news = News()
        for share in shares.entries:
            if share.origin == self.me:
                continue
            known = self.origins.get(share.origin)
            fresh = known is None or share.life > known.life
            if known is not None and share.life < known.life:
                continue
            if fresh:
                gone = dict.fromkeys(known.out, 0) if known is not None else {}
                known = self.origins[share.origin] = Origin(share.life, zone_of(share.origin) or zone, now)
                news.out.setdefault(share.origin, {}).update(gone)
            assert known is not None
            known.heard_at = now
            changed: dict[str, int] = dict(share.out)
            if shares.full:
                changed = {**{i: 0 for i in known.out if i not in share.out}, **changed}
            changed = {i: n for i, n in changed.items() if known.out.get(i, 0) != n}
            for instance, count in changed.items():
                if count:
                    known.out[instance] = count
                else:
                    known.out.pop(instance, None)
            if changed:
                news.out.setdefault(share.origin, {}).update(changed)
            grown = {t: n for t, n in share.used.items() if n > known.used.get(t, 0)}
            for tenant, count in grown.items():
                more = count - known.used.get(tenant, 0)
                known.used[tenant] = count
                if self.settled or not shares.full:
                    news.used[tenant] = news.used.get(tenant, 0) + more
            # each message goes one hop within a zone, and one between speakers
            away = zone != self.zone
            if changed or grown or fresh or (away and not share.out and not share.used):
                self._changed(share.origin, changed, grown, away, not away and known.zone == self.zone)
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
