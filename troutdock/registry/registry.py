"""What a registry knows and whom it tells: backends, ingresses, the newest configuration (no I/O, no clock).

Theory of operation. Every core machine has a registry, and none leads. Each takes calls of backends, merges
them into its book, and floods what has risen to the other registries and to its ingresses; who hears
something new floods it on, and who says less than is known here is told the rest. Beats that change nothing
travel as a list of ids twice a second, so that all know who is silent. Silence takes no backend away: it is
told to ingresses as a hint, and answers outweigh it.

*Contact.* A registry is in contact while a store on a link says that it is the active primary; the store
says so only while it reaches a majority of the voters. Out of contact a registry confirms nothing. It is
fresh, and says so to its ingresses, while it is in contact and has the configuration that the primary told.

*Drains and leavings.* What a backend must be able to rely on (that it drains, that it is gone) is taken in
and flooded at once, and acknowledged once it is synced on this disk and on those of other registries that
are in contact: of so many places that each loss that is to be borne leaves one. Places that were lost for
longer than contact_s count as that loss. Saves go one at a time, each with all that has changed by then
(take_save, saved). A gone id that nobody knew becomes a tombstone like any other.

*Answers.* A confirmation counts on the link that its question went out on, for the life and number that
asked; another one is dropped and counted.

*Configurations* are a number and a digest of the body. The number only rises, whoever tells; a second body
under the number held is an error that is logged, and only the primary's word replaces what is held.

Ingresses are members while they are linked to any registry; each registry tells the others who is linked to
it. Nothing here grows with the number of changes: tombstones, call counts, open questions and other
registries that are gone are all bounded in time or number.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

import msgspec

from troutdock.rpc.messages import (
    GONE,
    READY,
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
    body_digest,
)
from troutdock.endpoints.endpoint_table import Book

BEATS_S = 0.5  # between two lists of who has called
SILENT_BEATS = 2.5  # beats that fail to come, until an instance counts as silent
LOST_BEATS = 40.0  # until it is taken for gone for good
CONFIRM_S = 0.7  # for the syncs here and elsewhere; a caller waits a second
RESAVE_S = 0.3  # after a save that failed, before the next
OUT_S = 1.0  # out of contact and of company, until backends are sent elsewhere; an election takes as long
LOST_OTHER_S = 30.0  # a registry that was not linked for so long, while this one was in contact, is forgotten
GATHER_S = 0.1  # between two lists of ingresses: many that start at once are told together, not each to each
KEEP_MEMBERS_S = 4.0  # who was linked to a registry that is lost links elsewhere by then


@dataclass(slots=True)
class Tell:
    """To a peer, by its handle; None: to all ingresses."""

    to: object | None
    message: Message


@dataclass(slots=True)
class Confirmed:
    """A call may be answered: it is synced where it must be, or (ok false) it is not, and why."""

    number: int
    ok: bool
    why: str = field(default="", compare=False)


@dataclass(slots=True)
class Log:
    """What operators should see."""

    text: str


@dataclass(slots=True)
class Meet:
    """These registries are there, by others' word: they are to be linked too."""

    ips: list[str]


@dataclass(slots=True)
class Forget:
    """This registry was removed, as far as anybody knows."""

    ip: str


Action = Tell | Confirmed | Log | Meet | Forget


@dataclass(slots=True)
class Batch:
    """To be written and synced in one go; whole: entries are all that there is."""

    entries: list[Instance]
    dropped: list[str]
    whole: bool


@dataclass(frozen=True, slots=True)
class Borne:
    """So many machines, zones, or regions may be lost at once; region_of: regions by zone."""

    machines: int = 0
    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Other:
    """Another registry. members: the ingresses that are linked to it, by name; contact: it says it has it.

    linked: the registries that it is linked to, by its own word.
    """

    ip: str
    zone: str
    links: list[object] = field(default_factory=list)  # two, where both have dialled
    members: dict[str, Member] = field(default_factory=dict)
    lost_at: float = inf
    contact: bool = False
    linked: dict[str, str] = field(default_factory=dict)

    @property
    def link(self) -> object | None:
        """The one to speak on."""
        return self.links[-1] if self.links else None


@dataclass(slots=True)
class _Question:
    """A call that waits for syncs. asked: addresses of registries by the link that they were asked on."""

    until: float
    ids: list[str]
    asked: dict[object, str]
    synced: dict[str, None] = field(default_factory=dict)  # addresses of those that have it and count


@dataclass(slots=True)
class _Owed:
    """A confirmation that another registry waits for, until the sync here."""

    until: float
    link: object
    number: int
    life: int
    ids: list[str]


class Registry:
    """One registry's knowledge; handles of links are whatever the loop uses for them."""

    def __init__(
        self,
        now: float,
        heartbeat_s: float,
        life: int = 0,
        zone: str = "",
        seeds: Sequence[str] = (),
        borne: Borne | None = None,
        contact_s: float = 3.0,
        ip: str = "",
    ) -> None:
        """life, ip: of this process; seeds: addresses of other core machines, as the settings name them."""
        self.book = Book()
        self.life, self.zone, self.ip = life, zone, ip
        self._beat_s, self._contact_s = heartbeat_s, contact_s
        self._borne = borne if borne is not None else Borne()
        self.counts: dict[str, int] = {}  # by instance: the highest number of its calls
        self.others: dict[str, _Other] = {}
        self._unmet = dict.fromkeys(seeds)  # seeds that were not linked yet
        self.ingresses: dict[object, Member] = {}
        self.config: Config | None = None
        self._told: Fresh | None = None  # the store's primary, while there is contact
        self.contact_at = now  # since when it is in contact, or out of it
        self.dropped = 0  # confirmations that were not this one's to take
        self._beaten: dict[str, None] = {}
        self._beats_at = self._started = now
        self._last = 0
        self._questions: dict[int, _Question] = {}
        self._owed: list[_Owed] = []
        self._writing: dict[str, None] | None = None  # ids of the batch that is being saved
        self._whole, self._save_at = False, -inf  # the next batch has everything; it is not taken before
        self._told_members: dict[str, Member] = {}
        self._members_at, self._members_due = -inf, False  # told last; something has changed since

    # ---- backends

    def beat(self, now: float, said: Instance, count: int) -> tuple[int, list[Action]]:
        """A backend's call. Gives a number that Confirmed will name, 0 where nothing has to be confirmed."""
        known = self.book.entries.get(said.id)
        if known is not None and said.state == READY and 0 <= count <= self.counts.get(said.id, -1):
            return 0, []  # late
        risen = self.book.hear(now, [said], beat=True)
        if not self.book.knows(said):
            self._last += 1
            return self._last, [Confirmed(self._last, False, "no room for another backend")]
        self.counts[said.id] = max(count, self.counts.get(said.id, -1))
        self._beaten[said.id] = None
        actions = self._back([said.id], now)
        if not risen and said.state == READY:
            return 0, actions
        entries = [e.told(now) for e in risen] or [self.book.entries[said.id].told(now)]
        if said.state == READY:
            return 0, [*actions, *self._flood(entries, None)]
        # also where it is known already: the caller asks again because it was not told
        self._last += 1
        if not self.contact:  # it is known all the same, so that nothing is lost by saying so early
            why = Confirmed(self._last, False, "this registry is out of contact with the store's primary")
            return self._last, [*actions, *self._flood(entries, None), why]
        asked = {o.link: o.ip for o in self.others.values() if o.link is not None}
        self._questions[self._last] = _Question(now + CONFIRM_S, [e.id for e in entries], asked)
        flood = self._flood(entries, None, self._last)
        if not risen:  # ingresses have been told
            flood = [tell for tell in flood if isinstance(tell, Tell) and tell.to is not None]
        return self._last, [*actions, *flood, *self._settle(now)]

    def away(self, now: float) -> bool:
        """Beats are better made elsewhere: out of contact for a while, and no majority hears of them."""
        if self.contact or now - self.contact_at <= OUT_S or self._in_company:
            return False
        return not any(o.contact for o in self.others.values())

    def _flood(self, entries: list[Instance], but: object | None, number: int = 0) -> list[Action]:
        actions: list[Action] = [
            Tell(other.link, Instances(entries, number, self.life if number else 0))
            for other in self.others.values()
            if other.link is not None and but not in other.links
        ]
        return [*actions, Tell(None, Instances(entries))]

    def _back(self, ids: Iterable[str], now: float) -> list[Action]:
        back = [entry.id for entry in self.book.alive(now, ids)]
        return [Tell(None, Silence([], back))] if back else []

    def target(self, now: float, zone: str) -> str:
        """The machine that a backend of this zone should call, by address; nothing if it is this one.

        It is one in the backend's zone; out of contact for longer than an election, any one that has it.
        """
        there = [o for o in self.others.values() if o.link is not None and o.contact]
        near = [o.ip for o in there if o.zone == zone]
        if not self.contact and now - self.contact_at > OUT_S:
            near += [o.ip for o in there]
        elif zone == self.zone:
            return ""
        return next(iter(near), "")

    # ---- what must last

    @property
    def urgent(self) -> bool:
        """Somebody waits for a save."""
        return bool(self._questions or self._owed) and bool(self.book.changed)

    def remembered(self, now: float, entries: list[Instance]) -> list[Action]:
        """What the disk has kept from before."""
        changed = dict(self.book.changed)
        risen = self.book.hear(now, entries)
        behind = self.book.later(entries)  # the disk
        self.book.changed = changed | {entry.id: None for entry in behind}
        return self._flood([e.told(now) for e in risen], None) if risen else []

    def take_save(self, now: float) -> Batch | None:
        """What is to be saved now, one batch at a time; saved() tells its end."""
        book = self.book
        if self._writing is not None or not book.changed or now < self._save_at:
            return None
        self._writing, book.changed = book.changed, {}
        if self._whole:
            return Batch(book.told(now), [], True)
        entries = [book.entries[id].told(now) for id in self._writing if id in book.entries]
        return Batch(entries, [id for id in self._writing if id not in book.entries], False)

    def saved(self, now: float, ok: bool) -> list[Action]:
        """The batch is synced, or the disk refuses."""
        writing, self._writing = self._writing or {}, None
        self._whole = not ok
        if ok:
            return self._settle(now)
        self.book.changed = {**writing, **self.book.changed}
        self._save_at = now + RESAVE_S
        failed = [n for n, question in self._questions.items() if not self._synced(question.ids)]
        return [self._fail(number, "the disk refuses") for number in failed]

    def _synced(self, ids: list[str]) -> bool:
        return not any(id in self.book.changed or id in (self._writing or ()) for id in ids)

    def _fail(self, number: int, why: str) -> Confirmed:
        del self._questions[number]
        return Confirmed(number, False, why)

    def _settle(self, now: float) -> list[Action]:
        """Confirm what is synced where it must be, to callers and to other registries."""
        actions: list[Action] = []
        for number, question in list(self._questions.items()):
            if self._synced(question.ids) and self._enough(now, question.synced):
                del self._questions[number]
                actions.append(Confirmed(number, True))
        waiting = []
        for owed in self._owed:
            if self._synced(owed.ids):
                actions.append(Tell(owed.link, InstancesAck(owed.number, owed.life, self.contact)))
            else:
                waiting.append(owed)
        self._owed = waiting
        return actions

    def _enough(self, now: float, synced: Iterable[str]) -> bool:
        """Each loss that is to be borne leaves somebody who has it synced, this registry or one of these."""
        if not self.others and not self._unmet:
            return True  # one machine alone
        have = [self.others[ip] for ip in synced if ip in self.others]
        if not have:
            return False
        new = bool(self._unmet) and now - self._started <= self._contact_s  # others may yet come
        borne, region = self._borne, self._borne.region_of
        for most, mine, place_of in (
            (borne.machines, "", lambda other: other.ip),
            (borne.zones, self.zone, lambda other: other.zone),
            (borne.regions, region.get(self.zone, ""), lambda other: region.get(other.zone, "")),
        ):
            there: dict[str, bool] = {}  # other places, and whether somebody there is not lost
            for other in self.others.values():
                lost = other.link is None and now - other.lost_at > self._contact_s
                place = place_of(other)
                there[place] = there.get(place, False) or not lost
            there.pop(mine, None)
            alive = sum(there.values())
            need = min(most - (len(there) - alive), alive + (len(self._unmet) if new else 0))
            if len({place_of(other) for other in have} - {mine}) < need:
                return False
        return True

    # ---- other registries and ingresses

    def registry_up(self, now: float, link: object, ip: str, zone: str) -> list[Action]:
        """A link to another registry: it is told all."""
        other = self.others.setdefault(ip, _Other(ip, zone))
        self._unmet.pop(ip, None)
        other.links.append(link)
        other.zone, other.lost_at = zone, inf
        actions: list[Action] = [Tell(link, Instances(self.book.told(now)))]
        actions.append(Tell(link, self._own_members()))
        actions.append(Tell(None, Registries({ip: zone})))
        if self.config is not None:
            actions.append(Tell(link, self.config))
        actions.append(Tell(link, self._says_contact()))
        return [*actions, *self._tell_linked()]

    def _tell_linked(self) -> list[Action]:
        """The others hear whom this one is linked to: so all meet, and a cut is told from a removal."""
        linked = [other for other in self.others.values() if other.link is not None]
        told = Registries({other.ip: other.zone for other in linked})
        return [Tell(other.link, told) for other in linked]

    def _heard_linked(self, link: object, zones: dict[str, str]) -> list[Action]:
        for other in self.others.values():
            if link in other.links:
                other.linked = zones
        new = [ip for ip in zones if ip != self.ip and ip not in self.others]
        return [Meet(new)] if new else []

    def _alive_elsewhere(self, ip: str) -> bool:
        """Not linked here, and linked to one that is."""
        return any(o.link is not None and ip in o.linked for o in self.others.values())

    def _says_contact(self) -> Fresh:
        """What other registries are told."""
        return msgspec.structs.replace(self.freshness, fresh=self.contact)

    def registry_down(self, now: float, link: object) -> list[Action]:
        """That link has ended."""
        self._owed = [owed for owed in self._owed if owed.link is not link]
        other = next((o for o in self.others.values() if link in o.links), None)
        if other is None:
            return []
        other.links.remove(link)
        if other.links:
            return []
        other.lost_at, other.contact, other.linked = now, False, {}
        return self._tell_linked()

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
            if not entry.service:  # a tombstone of one that was never heard of
                continue
            counts = services.setdefault(
                entry.service, {"available": 0, "draining": 0, "gone": 0, "silent": 0}
            )
            counts[("available", "draining", "gone")[entry.state]] += 1
            counts["silent"] += entry.silent
        return {
            "version": self.config.version if self.config is not None else 0,
            "digest": self.config.digest if self.config is not None else "",
            "contact": self.contact,
            "fresh": self.fresh,
            "tombstones": sum(entry.state == GONE for entry in self.book.entries.values()),
            "registries": {o.ip: o.link is not None for o in self.others.values()},
            "members": [
                {"name": m.name, "ip": m.ip, "port": m.port, "zone": m.zone}
                for m in self._told_members.values()
            ],
            "services": services,
        }

    # ---- the configuration

    @property
    def contact(self) -> bool:
        """A store's primary that reaches a majority is linked."""
        return self._told is not None

    @property
    def fresh(self) -> bool:
        """In contact, and what the primary told as the newest is here."""
        told, held = self._told, self.config
        if told is None or held is None:
            return told is not None and not told.version
        same = not told.digest or told.digest == held.digest
        return held.version > told.version or (held.version == told.version and same)

    @property
    def freshness(self) -> Fresh:
        """What ingresses are told of how new the configuration here is."""
        held = self.config
        return Fresh(self.fresh, held.version, held.digest) if held is not None else Fresh(self.fresh, 0)

    def primary(self, now: float, told: Fresh | None) -> list[Action]:
        """What the store's primary says of its newest configuration; None: there is none in contact."""
        had, was = self.contact, self.freshness
        self._told = told
        actions: list[Action] = []
        if had != self.contact:
            self.contact_at = now
            says = self._says_contact()
            actions = [Tell(o.link, says) for o in self.others.values() if o.link is not None]
        if not self.contact:
            why = "this registry has lost contact with the store's primary"
            actions += [self._fail(number, why) for number in list(self._questions)]
        if self.freshness != was:
            actions.append(Tell(None, self.freshness))
        return actions

    def take_config(self, config: Config, primary: bool = False) -> list[Action]:
        """A configuration that is in force; primary: the store's primary that is in contact says so."""
        held = self.config
        if held is not None and config.version < held.version:
            return []
        digest = body_digest(config.body)
        if config.digest not in ("", digest):
            return [Log(f"Configuration r{config.version} does not fit its digest {config.digest}: dropped.")]
        actions: list[Action] = []
        if held is not None and config.version == held.version:
            if digest == held.digest:
                return []
            does = "replaced by the primary's" if primary else "kept until the primary says otherwise"
            actions.append(
                Log(f"Two bodies under r{held.version}: {held.digest} is held, {digest} told; {does}.")
            )
            if not primary:
                return actions
        # the other registries have it from the store too
        self.config = Config(config.version, config.body, digest)
        return [*actions, Tell(None, self.config), Tell(None, self.freshness)]

    # ---- what others say, and time

    def hear(self, now: float, link: object, message: Message) -> list[Action]:
        """Word of another registry or of an ingress."""
        match message:
            case Instances():
                return self._told_of(now, link, message)
            case InstancesAck():
                return self._confirmation(now, link, message)
            case Registries(zones):
                return self._heard_linked(link, zones)
            case Fresh(fresh):
                for other in self.others.values():
                    if link in other.links:
                        other.contact = fresh
                return []
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

    def _told_of(self, now: float, link: object, told: Instances) -> list[Action]:
        risen = self.book.hear(now, told.entries)
        actions: list[Action] = []
        if told.number and all(map(self.book.knows, told.entries)):
            ids = [e.id for e in told.entries]
            self._owed.append(_Owed(now + CONFIRM_S, link, told.number, told.life, ids))
            actions += self._settle(now)
        if later := self.book.later(told.entries):
            actions.append(Tell(link, Instances([e.told(now) for e in later])))
        if risen:
            actions += self._flood([e.told(now) for e in risen], link)
        return actions

    def _confirmation(self, now: float, link: object, ack: InstancesAck) -> list[Action]:
        question = self._questions.get(ack.number)
        if ack.life != self.life or not 0 < ack.number <= self._last:
            self.dropped += 1
            return []
        if question is None:  # it was enough without, or is over
            return []
        if (ip := question.asked.get(link)) is None:
            self.dropped += 1
            return []
        if ack.contact:
            question.synced[ip] = None
        return self._settle(now)

    def tick(self, now: float) -> list[Action]:
        """Time has gone by: some times a second."""
        actions: list[Action] = []
        for number, question in list(self._questions.items()):
            if now > question.until:
                why = "no other registry that counts has it yet"
                actions.append(self._fail(number, why if self._synced(question.ids) else "the disk is slow"))
        self._owed = [owed for owed in self._owed if now <= owed.until]
        if self._members_due:
            actions += self._members_changed(now)
        if now - self._beats_at >= BEATS_S:
            self._beats_at = now
            if self._beaten:
                beats = Beats(list(self._beaten))
                self._beaten.clear()
                actions += [Tell(o.link, beats) for o in self.others.values() if o.link is not None]
            silent_s = inf
            if self._hears_all:
                silent_s = LOST_BEATS * self._beat_s
                silent = self.book.silenced(now, SILENT_BEATS * self._beat_s)
                if silent:
                    actions.append(Tell(None, Silence([e.id for e in silent], [])))
            lost = self.book.forget(now, silent_s)
            if lost:
                actions += self._flood([e.told(now) for e in lost], None)
            for id in [id for id in self.counts if id not in self.book.entries]:
                del self.counts[id]
            actions += self._forget_others(now)
            actions += self._tell_members(now)
        return actions

    def _forget_others(self, now: float) -> list[Action]:
        """Machines that were removed; one that is cut off has no contact, and takes nobody for that."""
        if not self.contact or now - self.contact_at <= LOST_OTHER_S:
            return []
        gone = [o.ip for o in self.others.values() if o.link is None and now - o.lost_at > LOST_OTHER_S]
        gone = [ip for ip in gone if not self._alive_elsewhere(ip)]
        for ip in gone:
            del self.others[ip]
        return [Forget(ip) for ip in gone]

    @property
    def _hears_all(self) -> bool:
        """Whom no call came from here calls nobody: only then is silence judged.

        Each registry tells of its own callers only; one that is cut off from here alone has some.
        """
        told = {ip for o in self.others.values() if o.link is not None for ip in o.linked}
        return self._in_company and all(
            ip == self.ip or (ip in self.others and self.others[ip].link is not None) for ip in told
        )

    @property
    def _in_company(self) -> bool:
        """Most registries that were met are linked: guards against taking a cut for everybody's silence.

        One that has met nobody yet is in company only if the settings name nobody else.
        """
        if not self.others:
            return not self._unmet
        linked = sum(o.link is not None for o in self.others.values())
        return linked * 2 >= len(self.others)
