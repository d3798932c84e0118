"""What a registry knows and whom it tells: backends, ingresses, the newest configuration (no I/O, no clock).

Theory of operation. Every core machine has a registry, and none leads. Each takes calls of backends, merges
them into its book, and floods what has risen to the other registries and to its ingresses; who hears
something new floods it on. What a backend must be able to rely on (that it drains, that it is gone) is
acknowledged once another registry has confirmed it, so that it outlives this machine by a millisecond as
well as by an hour. Beats that change nothing travel as a list of ids twice a second, so that all know who
is silent. Silence takes no backend away: it is told to ingresses as a hint, and answers outweigh it.

Ingresses are members while they are linked to any registry; each registry tells the others who is linked to
it. The newest configuration comes from the store's primary; versions only rise.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf


from furrow.messages import (
    Beats,
    Config,
    Fresh,
    InstancesAck,
    Instance,
    Instances,
    Member,
    Members,
    Message,
    Registries,
    Silence,
)
from pollen.instances import Book

BEATS_S = 0.5  # between two lists of who has called
SILENT_BEATS = 2.5  # beats that fail to come, until an instance counts as silent
LOST_BEATS = 40.0  # until it is taken for gone for good
CONFIRM_S = 0.7  # for another registry's confirmation; a caller waits a second
GATHER_S = 0.1  # between two lists of ingresses: many that start at once are told together, not each to each
KEEP_MEMBERS_S = 4.0  # who was linked to a registry that is lost links elsewhere by then


@dataclass(slots=True)
class Tell:
    """To a peer, by its handle; None: to all ingresses."""

    to: object | None
    message: Message


@dataclass(slots=True)
class Confirmed:
    """A call may be answered: another registry knows, or (ok false) none does."""

    number: int
    ok: bool


Action = Tell | Confirmed


@dataclass(slots=True)
class _Other:
    """Another registry. members: the ingresses that are linked to it, by name."""

    ip: str
    zone: str
    links: list[object] = field(default_factory=list)  # two, where both have dialled
    members: dict[str, Member] = field(default_factory=dict)
    lost_at: float = inf

    @property
    def link(self) -> object | None:
        """The one to speak on."""
        return self.links[-1] if self.links else None


class Registry:
    """One registry's knowledge; handles of links are whatever the loop uses for them."""

    def __init__(self, now: float, heartbeat_s: float) -> None:
        self.book = Book()
        self._beat_s = heartbeat_s
        self.counts: dict[str, int] = {}  # by instance: the highest number of its calls
        self.others: dict[str, _Other] = {}
        self.ingresses: dict[object, Member] = {}
        self.config: Config | None = None
        self.fresh = False  # in touch with the store's primary
        self._beaten: dict[str, None] = {}
        self._beats_at = self._started = now
        self._last = 0
        self._unconfirmed: dict[int, tuple[float, list[Instance]]] = {}
        self._told_members: dict[str, Member] = {}
        self._members_at, self._members_due = -inf, False  # told last; something has changed since

    # ---- backends

    def beat(self, now: float, said: Instance, count: int) -> tuple[int, list[Action]]:
        """A backend's call. Gives a number that Confirmed will name, 0 where nothing has to be confirmed."""
        known = self.book.entries.get(said.id)
        late = 0 <= count <= self.counts.get(said.id, -1)
        if known is not None and late and said.state <= known.state:
            return 0, []
        self.counts[said.id] = max(count, self.counts.get(said.id, -1))
        risen = self.book.hear(now, [said], beat=True)
        self._beaten[said.id] = None
        actions = self._back([said.id], now)
        if not risen and said.state == 0:
            return 0, actions
        entries = [e.told(now) for e in risen] or [self.book.entries[said.id].told(now)]
        if said.state == 0:
            return 0, [*actions, *self._flood(entries, None)]
        # also where it is known already: the caller asks again because it was not told
        self._last += 1
        self._unconfirmed[self._last] = now + CONFIRM_S, entries
        return self._last, [*actions, *self._flood(entries, None, self._last)]

    def _flood(self, entries: list[Instance], but: object | None, number: int = 0) -> list[Action]:
        actions: list[Action] = [
            Tell(other.link, Instances(entries, number))
            for other in self.others.values()
            if other.link is not None and but not in other.links
        ]
        return [*actions, Tell(None, Instances(entries))]

    def _back(self, ids: Iterable[str], now: float) -> list[Action]:
        back = [entry.id for entry in self.book.alive(now, ids)]
        return [Tell(None, Silence([], back))] if back else []

    def target(self, zone: str, own_zone: str) -> str:
        """The machine in a backend's zone that it should call, by address; nothing if there is none."""
        if zone == own_zone:
            return ""
        return next((o.ip for o in self.others.values() if o.zone == zone and o.link is not None), "")

    # ---- other registries and ingresses

    def registry_up(self, now: float, link: object, ip: str, zone: str) -> list[Action]:
        """A link to another registry: it is told all."""
        other = self.others.setdefault(ip, _Other(ip, zone))
        other.links.append(link)
        other.zone, other.lost_at = zone, inf
        actions: list[Action] = [Tell(link, Instances(self.book.told(now)))]
        actions.append(Tell(link, self._own_members()))
        actions.append(Tell(None, Registries({ip: zone})))
        if self.config is not None:
            actions.append(Tell(link, self.config))
        return actions

    def registry_down(self, now: float, link: object) -> list[Action]:
        """That link has ended."""
        for other in self.others.values():
            if link in other.links:
                other.links.remove(link)
                other.lost_at = inf if other.links else now
        return []

    def ingress_up(self, now: float, link: object, member: Member) -> list[Action]:
        """A link from an ingress: it is told all."""
        for old, known in list(self.ingresses.items()):
            if known.name == member.name:
                del self.ingresses[old]
        self.ingresses[link] = member
        silent = [e.id for e in self.book.entries.values() if e.silent]
        actions: list[Action] = []
        if self.config is not None:
            actions.append(Tell(link, self.config))
        actions.append(Tell(link, Instances(self.book.told(now, all_states=False))))
        if silent:
            actions.append(Tell(link, Silence(silent, [])))
        actions += self._members_changed(now)
        actions.append(Tell(link, Registries({other.ip: other.zone for other in self.others.values()})))
        actions.append(Tell(link, Members(list(self._told_members.values()), [], True)))
        # last, so that who hears it has heard the rest
        actions.append(Tell(link, self.freshness))
        return actions

    def ingress_down(self, now: float, link: object) -> list[Action]:
        """That link has ended."""
        return self._members_changed(now) if self.ingresses.pop(link, None) is not None else []

    def _own_members(self) -> Members:
        return Members(list(self.ingresses.values()), [], True)

    def _members_changed(self, now: float) -> list[Action]:
        """Who is there has changed at this registry: the others and the ingresses are told, soon."""
        if now - self._members_at < GATHER_S:
            self._members_due = True
            return []
        self._members_at, self._members_due = now, False
        own = self._own_members()
        actions: list[Action] = [Tell(o.link, own) for o in self.others.values() if o.link is not None]
        return [*actions, *self._tell_members(now)]

    def _tell_members(self, now: float) -> list[Action]:
        found: dict[str, Member] = {}
        for other in self.others.values():
            if other.link is not None or now - other.lost_at < KEEP_MEMBERS_S:
                found.update(other.members)
        for member in self.ingresses.values():
            found[member.name] = member
        changed = [m for name, m in found.items() if self._told_members.get(name) != m]
        gone = [name for name in self._told_members if name not in found]
        self._told_members = found
        return [Tell(None, Members(changed, gone))] if changed or gone else []

    def status(self) -> dict[str, object]:
        """What is known here, for operators."""
        services: dict[str, dict[str, int]] = {}
        for entry in self.book.entries.values():
            counts = services.setdefault(
                entry.service, {"available": 0, "draining": 0, "gone": 0, "silent": 0}
            )
            counts[("available", "draining", "gone")[entry.state]] += 1
            counts["silent"] += entry.silent
        return {
            "version": self.config.version if self.config is not None else 0,
            "registries": {o.ip: o.link is not None for o in self.others.values()},
            "members": [
                {"name": m.name, "ip": m.ip, "port": m.port, "zone": m.zone}
                for m in self._told_members.values()
            ],
            "services": services,
        }

    # ---- the configuration

    @property
    def freshness(self) -> Fresh:
        """What ingresses are told of how new the configuration here is."""
        return Fresh(self.fresh, self.config.version if self.config is not None else 0)

    def primary(self, fresh: bool) -> list[Action]:
        """The store's primary is there, or is not."""
        if fresh == self.fresh:
            return []
        self.fresh = fresh
        return [Tell(None, self.freshness)]

    def take_config(self, config: Config) -> list[Action]:
        """A configuration that is in force, from the store or another registry."""
        if self.config is not None and config.version <= self.config.version:
            return []
        self.config = config  # the other registries have it from the store too
        return [Tell(None, config), Tell(None, self.freshness)]

    # ---- what others say, and time

    def hear(self, now: float, link: object, message: Message) -> list[Action]:
        """Word of another registry or of an ingress."""
        match message:
            case Instances(entries, number):
                risen = self.book.hear(now, entries)
                actions: list[Action] = [Tell(link, InstancesAck(number))] if number else []
                if risen:
                    actions += self._flood([e.told(now) for e in risen], link)
                return actions
            case InstancesAck(number):
                return [Confirmed(number, True)] if self._unconfirmed.pop(number, None) is not None else []
            case Beats(ids):
                return self._back(ids, now)
            case Members(entries, _, True):
                for other in self.others.values():
                    if link in other.links:
                        other.members = {m.name: m for m in entries}
                return self._tell_members(now)
            case Config():
                return self.take_config(message)
            case _:
                return []

    def tick(self, now: float) -> list[Action]:
        """Time has gone by: some times a second."""
        actions: list[Action] = []
        for number, (until, _) in list(self._unconfirmed.items()):
            if now > until:
                del self._unconfirmed[number]
                actions.append(Confirmed(number, False))
        if self._members_due:
            actions += self._members_changed(now)
        if now - self._beats_at >= BEATS_S:
            self._beats_at = now
            if self._beaten:
                beats = Beats(list(self._beaten))
                self._beaten.clear()
                actions += [Tell(o.link, beats) for o in self.others.values() if o.link is not None]
            if self._in_company:
                silent = self.book.silenced(now, SILENT_BEATS * self._beat_s)
                if silent:
                    actions.append(Tell(None, Silence([e.id for e in silent], [])))
                lost = self.book.forget(now, LOST_BEATS * self._beat_s)
                if lost:
                    actions += self._flood([e.told(now) for e in lost], None)
                for id in [id for id in self.counts if id not in self.book.entries]:
                    del self.counts[id]
            actions += self._tell_members(now)
        return actions

    @property
    def _in_company(self) -> bool:
        """Most registries that were met are linked: guards against taking a cut for everybody's silence."""
        linked = sum(o.link is not None for o in self.others.values())
        return linked * 2 >= len(self.others)
