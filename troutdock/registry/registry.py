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
from troutdock.endpoints.endpoint_table import EndpointTable

HEARTBEAT_BATCH_S = 0.5  # between two lists of who has called
SILENT_INTERVALS = 2.5  # beats that fail to come, until an instance counts as silent
EXPIRY_INTERVALS = 40.0  # until it is taken for gone for good
CONFIRM_TIMEOUT_S = 0.7  # for the syncs here and elsewhere; a caller waits a second
SAVE_RETRY_S = 0.3  # after a save that failed, before the next
REDIRECT_DELAY_S = (
    1.0  # out of contact and of company, until backends are sent elsewhere; an election takes as long
)
PEER_EXPIRY_S = (
    30.0  # a registry that was not linked for so long, while this one was in contact, is forgotten
)
MEMBERS_INTERVAL_S = (
    0.1  # between two lists of ingresses: many that start at once are told together, not each to each
)
MEMBERS_GRACE_S = 4.0  # who was linked to a registry that is lost links elsewhere by then


@dataclass(slots=True)
class Send:
    """To a peer, by its handle; None: to all ingresses."""

    to: object | None
    message: Message


@dataclass(slots=True)
class RequestCompleted:
    """A call may be answered: it is synced where it must be, or (ok false) it is not, and why."""

    number: int
    ok: bool
    why: str = field(default="", compare=False)


@dataclass(slots=True)
class LogError:
    """What operators should see."""

    text: str


@dataclass(slots=True)
class RegistriesFound:
    """These registries are there, by others' word: they are to be linked too."""

    ips: list[str]


@dataclass(slots=True)
class RegistryRemoved:
    """This registry was removed, as far as anybody knows."""

    ip: str


Action = Send | RequestCompleted | LogError | RegistriesFound | RegistryRemoved


@dataclass(slots=True)
class SaveBatch:
    """To be written and synced in one go; whole: entries are all that there is."""

    entries: list[Instance]
    deleted: list[str]
    full: bool


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """So many machines, zones, or regions may be lost at once; region_of: regions by zone."""

    machines: int = 0
    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    """Another registry. members: the ingresses that are linked to it, by name; contact: it says it has it.

    linked: the registries that it is linked to, by its own word.
    """

    ip: str
    zone: str
    connections: list[object] = field(default_factory=list)  # two, where both have dialled
    members: dict[str, Member] = field(default_factory=dict)
    disconnected_at: float = inf
    contact: bool = False
    connected_to: dict[str, str] = field(default_factory=dict)

    @property
    def connection(self) -> object | None:
        """The one to speak on."""
        return self.connections[-1] if self.connections else None


@dataclass(slots=True)
class _PendingRequest:
    """A call that waits for syncs. asked: addresses of registries by the link that they were asked on."""

    until: float
    ids: list[str]
    sent_to: dict[object, str]
    synced_by: dict[str, None] = field(default_factory=dict)  # addresses of those that have it and count


@dataclass(slots=True)
class _PendingAck:
    """A confirmation that another registry waits for, until the sync here."""

    until: float
    connection: object
    number: int
    incarnation: int
    ids: list[str]


class Registry:
    """One registry's knowledge; handles of links are whatever the loop uses for them."""

    def __init__(
        self,
        now: float,
        heartbeat_s: float,
        incarnation: int = 0,
        zone: str = "",
        seeds: Sequence[str] = (),
        tolerance: FaultTolerance | None = None,
        contact_s: float = 3.0,
        ip: str = "",
    ) -> None:
        """life, ip: of this process; seeds: addresses of other core machines, as the settings name them."""
        self.endpoints = EndpointTable()
        self.incarnation, self.zone, self.ip = incarnation, zone, ip
        self._heartbeat_s, self._contact_s = heartbeat_s, contact_s
        self._tolerance = tolerance if tolerance is not None else FaultTolerance()
        self.heartbeat_counts: dict[str, int] = {}  # by instance: the highest number of its calls
        self.peers: dict[str, _Peer] = {}
        self._unseen_seeds = dict.fromkeys(seeds)  # seeds that were not linked yet
        self.ingresses: dict[object, Member] = {}
        self.config: Config | None = None
        self._primary_status: Fresh | None = None  # the store's primary, while there is contact
        self.contact_changed_at = now  # since when it is in contact, or out of it
        self.dropped_acks = 0  # confirmations that were not this one's to take
        self._heartbeats: dict[str, None] = {}
        self._heartbeats_sent_at = self._started = now
        self._last_number = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._pending_acks: list[_PendingAck] = []
        self._saving: dict[str, None] | None = None  # ids of the batch that is being saved
        self._save_all, self._save_at = False, -inf  # the next batch has everything; it is not taken before
        self._sent_members: dict[str, Member] = {}
        self._members_sent_at, self._members_pending = -inf, False  # told last; something has changed since

    # ---- backends

    def heartbeat(self, now: float, update: Instance, count: int) -> tuple[int, list[Action]]:
        """A backend's call. Gives a number that Confirmed will name, 0 where nothing has to be confirmed."""
        known = self.endpoints.entries.get(update.id)
        if (
            known is not None
            and update.state == READY
            and 0 <= count <= self.heartbeat_counts.get(update.id, -1)
        ):
            return 0, []  # late
        advanced = self.endpoints.merge(now, [update], from_instance=True)
        if not self.endpoints.includes(update):
            self._last_number += 1
            return self._last_number, [
                RequestCompleted(self._last_number, False, "no room for another backend")
            ]
        self.heartbeat_counts[update.id] = max(count, self.heartbeat_counts.get(update.id, -1))
        self._heartbeats[update.id] = None
        actions = self._record_heartbeats([update.id], now)
        if not advanced and update.state == READY:
            return 0, actions
        entries = [e.to_instance(now) for e in advanced] or [
            self.endpoints.entries[update.id].to_instance(now)
        ]
        if update.state == READY:
            return 0, [*actions, *self._flood(entries, None)]
        # also where it is known already: the caller asks again because it was not told
        self._last_number += 1
        if not self.contact:  # it is known all the same, so that nothing is lost by saying so early
            why = RequestCompleted(
                self._last_number, False, "this registry is out of contact with the store's primary"
            )
            return self._last_number, [*actions, *self._flood(entries, None), why]
        sent_to = {p.connection: p.ip for p in self.peers.values() if p.connection is not None}
        self._pending[self._last_number] = _PendingRequest(
            now + CONFIRM_TIMEOUT_S, [e.id for e in entries], sent_to
        )
        flood = self._flood(entries, None, self._last_number)
        if not advanced:  # ingresses have been told
            flood = [send for send in flood if isinstance(send, Send) and send.to is not None]
        return self._last_number, [*actions, *flood, *self._complete_ready(now)]

    def is_isolated(self, now: float) -> bool:
        """Beats are better made elsewhere: out of contact for a while, and no majority hears of them."""
        if self.contact or now - self.contact_changed_at <= REDIRECT_DELAY_S or self._sees_most_peers:
            return False
        return not any(p.contact for p in self.peers.values())

    def _flood(self, entries: list[Instance], excluded: object | None, number: int = 0) -> list[Action]:
        actions: list[Action] = [
            Send(peer.connection, Instances(entries, number, self.incarnation if number else 0))
            for peer in self.peers.values()
            if peer.connection is not None and excluded not in peer.connections
        ]
        return [*actions, Send(None, Instances(entries))]

    def _record_heartbeats(self, ids: Iterable[str], now: float) -> list[Action]:
        back = [entry.id for entry in self.endpoints.record_heartbeats(now, ids)]
        return [Send(None, Silence([], back))] if back else []

    def redirect_target(self, now: float, zone: str) -> str:
        """The machine that a backend of this zone should call, by address; nothing if it is this one.

        It is one in the backend's zone; out of contact for longer than an election, any one that has it.
        """
        candidates = [p for p in self.peers.values() if p.connection is not None and p.contact]
        near = [p.ip for p in candidates if p.zone == zone]
        if not self.contact and now - self.contact_changed_at > REDIRECT_DELAY_S:
            near += [p.ip for p in candidates]
        elif zone == self.zone:
            return ""
        return next(iter(near), "")

    # ---- what must last

    @property
    def save_urgent(self) -> bool:
        """Somebody waits for a save."""
        return bool(self._pending or self._pending_acks) and bool(self.endpoints.changed)

    def restore(self, now: float, entries: list[Instance]) -> list[Action]:
        """What the disk has kept from before."""
        changed = dict(self.endpoints.changed)
        advanced = self.endpoints.merge(now, entries)
        behind = self.endpoints.newer_than(entries)  # the disk
        self.endpoints.changed = changed | {entry.id: None for entry in behind}
        return self._flood([e.to_instance(now) for e in advanced], None) if advanced else []

    def next_batch(self, now: float) -> SaveBatch | None:
        """What is to be saved now, one batch at a time; saved() tells its end."""
        endpoints = self.endpoints
        if self._saving is not None or not endpoints.changed or now < self._save_at:
            return None
        self._saving, endpoints.changed = endpoints.changed, {}
        if self._save_all:
            return SaveBatch(endpoints.snapshot(now), [], True)
        entries = [endpoints.entries[id].to_instance(now) for id in self._saving if id in endpoints.entries]
        return SaveBatch(entries, [id for id in self._saving if id not in endpoints.entries], False)

    def on_saved(self, now: float, ok: bool) -> list[Action]:
        """The batch is synced, or the disk refuses."""
        saving, self._saving = self._saving or {}, None
        self._save_all = not ok
        if ok:
            return self._complete_ready(now)
        self.endpoints.changed = {**saving, **self.endpoints.changed}
        self._save_at = now + SAVE_RETRY_S
        failed = [n for n, request in self._pending.items() if not self._is_synced(request.ids)]
        return [self._fail(number, "the disk refuses") for number in failed]

    def _is_synced(self, ids: list[str]) -> bool:
        return not any(id in self.endpoints.changed or id in (self._saving or ()) for id in ids)

    def _fail(self, number: int, why: str) -> RequestCompleted:
        del self._pending[number]
        return RequestCompleted(number, False, why)

    def _complete_ready(self, now: float) -> list[Action]:
        """Confirm what is synced where it must be, to callers and to other registries."""
        actions: list[Action] = []
        for number, request in list(self._pending.items()):
            if self._is_synced(request.ids) and self._is_replicated(now, request.synced_by):
                del self._pending[number]
                actions.append(RequestCompleted(number, True))
        waiting = []
        for pending in self._pending_acks:
            if self._is_synced(pending.ids):
                actions.append(
                    Send(pending.connection, InstancesAck(pending.number, pending.incarnation, self.contact))
                )
            else:
                waiting.append(pending)
        self._pending_acks = waiting
        return actions

    def _is_replicated(self, now: float, synced_by: Iterable[str]) -> bool:
        """Each loss that is to be borne leaves somebody who has it synced, this registry or one of these."""
        if not self.peers and not self._unseen_seeds:
            return True  # one machine alone
        holders = [self.peers[ip] for ip in synced_by if ip in self.peers]
        if not holders:
            return False
        starting = bool(self._unseen_seeds) and now - self._started <= self._contact_s  # others may yet come
        tolerance, region = self._tolerance, self._tolerance.region_of
        for tolerated, own, domain_of in (
            (tolerance.machines, "", lambda peer: peer.ip),
            (tolerance.zones, self.zone, lambda peer: peer.zone),
            (tolerance.regions, region.get(self.zone, ""), lambda peer: region.get(peer.zone, "")),
        ):
            domains: dict[str, bool] = {}  # other places, and whether somebody there is not lost
            for peer in self.peers.values():
                lost = peer.connection is None and now - peer.disconnected_at > self._contact_s
                domain = domain_of(peer)
                domains[domain] = domains.get(domain, False) or not lost
            domains.pop(own, None)
            alive = sum(domains.values())
            need = min(
                tolerated - (len(domains) - alive), alive + (len(self._unseen_seeds) if starting else 0)
            )
            if len({domain_of(peer) for peer in holders} - {own}) < need:
                return False
        return True

    # ---- other registries and ingresses

    def registry_up(self, now: float, connection: object, ip: str, zone: str) -> list[Action]:
        """A link to another registry: it is told all."""
        peer = self.peers.setdefault(ip, _Peer(ip, zone))
        self._unseen_seeds.pop(ip, None)
        peer.connections.append(connection)
        peer.zone, peer.disconnected_at = zone, inf
        actions: list[Action] = [Send(connection, Instances(self.endpoints.snapshot(now)))]
        actions.append(Send(connection, self._own_members()))
        actions.append(Send(None, Registries({ip: zone})))
        if self.config is not None:
            actions.append(Send(connection, self.config))
        actions.append(Send(connection, self._contact_status()))
        return [*actions, *self._send_connected_peers()]

    def _send_connected_peers(self) -> list[Action]:
        """The others hear whom this one is linked to: so all meet, and a cut is told from a removal."""
        connected = [peer for peer in self.peers.values() if peer.connection is not None]
        message = Registries({peer.ip: peer.zone for peer in connected})
        return [Send(peer.connection, message) for peer in connected]

    def _on_connected_peers(self, connection: object, zones: dict[str, str]) -> list[Action]:
        for peer in self.peers.values():
            if connection in peer.connections:
                peer.connected_to = zones
        new = [ip for ip in zones if ip != self.ip and ip not in self.peers]
        return [RegistriesFound(new)] if new else []

    def _reachable_elsewhere(self, ip: str) -> bool:
        """Not linked here, and linked to one that is."""
        return any(p.connection is not None and ip in p.connected_to for p in self.peers.values())

    def _contact_status(self) -> Fresh:
        """What other registries are told."""
        return msgspec.structs.replace(self.freshness, fresh=self.contact)

    def registry_down(self, now: float, connection: object) -> list[Action]:
        """That link has ended."""
        self._pending_acks = [
            pending for pending in self._pending_acks if pending.connection is not connection
        ]
        peer = next((p for p in self.peers.values() if connection in p.connections), None)
        if peer is None:
            return []
        peer.connections.remove(connection)
        if peer.connections:
            return []
        peer.disconnected_at, peer.contact, peer.connected_to = now, False, {}
        return self._send_connected_peers()

    def ingress_up(self, now: float, connection: object, member: Member) -> list[Action]:
        """A link from an ingress: it is told all."""
        for old, known in list(self.ingresses.items()):
            if known.name == member.name:
                del self.ingresses[old]
        self.ingresses[connection] = member
        silent = [e.id for e in self.endpoints.entries.values() if e.silent]
        actions: list[Action] = []
        if self.config is not None:
            actions.append(Send(connection, self.config))
        actions.append(Send(connection, Instances(self.endpoints.snapshot(now, all_states=False))))
        if silent:
            actions.append(Send(connection, Silence(silent, [])))
        actions += self._publish_members(now)
        actions.append(Send(connection, Registries({peer.ip: peer.zone for peer in self.peers.values()})))
        actions.append(Send(connection, Members(list(self._sent_members.values()), [], True)))
        # last, so that who hears it has heard the rest
        actions.append(Send(connection, self.freshness))
        return actions

    def ingress_down(self, now: float, connection: object) -> list[Action]:
        """That link has ended."""
        return self._publish_members(now) if self.ingresses.pop(connection, None) is not None else []

    def _own_members(self) -> Members:
        return Members(list(self.ingresses.values()), [], True)

    def _publish_members(self, now: float) -> list[Action]:
        """Who is there has changed at this registry: the others and the ingresses are told, soon."""
        if now - self._members_sent_at < MEMBERS_INTERVAL_S:
            self._members_pending = True
            return []
        self._members_sent_at, self._members_pending = now, False
        own = self._own_members()
        actions: list[Action] = [
            Send(p.connection, own) for p in self.peers.values() if p.connection is not None
        ]
        return [*actions, *self._send_member_changes(now)]

    def _send_member_changes(self, now: float) -> list[Action]:
        found: dict[str, Member] = {}
        for peer in self.peers.values():
            if peer.connection is not None or now - peer.disconnected_at < MEMBERS_GRACE_S:
                found.update(peer.members)
        for member in self.ingresses.values():
            found[member.name] = member
        changed = [m for name, m in found.items() if self._sent_members.get(name) != m]
        gone = [name for name in self._sent_members if name not in found]
        self._sent_members = found
        return [Send(None, Members(changed, gone))] if changed or gone else []

    def status(self) -> dict[str, object]:
        """What is known here, for operators."""
        services: dict[str, dict[str, int]] = {}
        for entry in self.endpoints.entries.values():
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
            "tombstones": sum(entry.state == GONE for entry in self.endpoints.entries.values()),
            "registries": {p.ip: p.connection is not None for p in self.peers.values()},
            "members": [
                {"name": m.name, "ip": m.ip, "port": m.port, "zone": m.zone}
                for m in self._sent_members.values()
            ],
            "services": services,
        }

    # ---- the configuration

    @property
    def contact(self) -> bool:
        """A store's primary that reaches a majority is linked."""
        return self._primary_status is not None

    @property
    def fresh(self) -> bool:
        """In contact, and what the primary told as the newest is here."""
        reported, current = self._primary_status, self.config
        if reported is None or current is None:
            return reported is not None and not reported.version
        same = not reported.digest or reported.digest == current.digest
        return current.version > reported.version or (current.version == reported.version and same)

    @property
    def freshness(self) -> Fresh:
        """What ingresses are told of how new the configuration here is."""
        current = self.config
        return (
            Fresh(self.fresh, current.version, current.digest)
            if current is not None
            else Fresh(self.fresh, 0)
        )

    def set_primary_status(self, now: float, reported: Fresh | None) -> list[Action]:
        """What the store's primary says of its newest configuration; None: there is none in contact."""
        had_contact, previous = self.contact, self.freshness
        self._primary_status = reported
        actions: list[Action] = []
        if had_contact != self.contact:
            self.contact_changed_at = now
            status = self._contact_status()
            actions = [Send(p.connection, status) for p in self.peers.values() if p.connection is not None]
        if not self.contact:
            why = "this registry has lost contact with the store's primary"
            actions += [self._fail(number, why) for number in list(self._pending)]
        if self.freshness != previous:
            actions.append(Send(None, self.freshness))
        return actions

    def apply_config(self, config: Config, from_primary: bool = False) -> list[Action]:
        """A configuration that is in force; primary: the store's primary that is in contact says so."""
        current = self.config
        if current is not None and config.version < current.version:
            return []
        digest = body_digest(config.body)
        if config.digest not in ("", digest):
            return [
                LogError(f"Configuration r{config.version} does not fit its digest {config.digest}: dropped.")
            ]
        actions: list[Action] = []
        if current is not None and config.version == current.version:
            if digest == current.digest:
                return []
            resolution = (
                "replaced by the primary's" if from_primary else "kept until the primary says otherwise"
            )
            actions.append(
                LogError(
                    f"Two bodies under r{current.version}: {current.digest} is held, "
                    f"{digest} was received; {resolution}."
                )
            )
            if not from_primary:
                return actions
        # the other registries have it from the store too
        self.config = Config(config.version, config.body, digest)
        return [*actions, Send(None, self.config), Send(None, self.freshness)]

    # ---- what others say, and time

    def receive(self, now: float, connection: object, message: Message) -> list[Action]:
        """Word of another registry or of an ingress."""
        match message:
            case Instances():
                return self._on_instances(now, connection, message)
            case InstancesAck():
                return self._on_ack(now, connection, message)
            case Registries(zones):
                return self._on_connected_peers(connection, zones)
            case Fresh(fresh):
                for peer in self.peers.values():
                    if connection in peer.connections:
                        peer.contact = fresh
                return []
            case Beats(ids):
                return self._record_heartbeats(ids, now)
            case Members(entries, _, True):
                for peer in self.peers.values():
                    if connection in peer.connections:
                        peer.members = {m.name: m for m in entries}
                return self._send_member_changes(now)
            case Config():
                return self.apply_config(message)
            case _:
                return []

    def _on_instances(self, now: float, connection: object, message: Instances) -> list[Action]:
        advanced = self.endpoints.merge(now, message.entries)
        actions: list[Action] = []
        if message.number and all(map(self.endpoints.includes, message.entries)):
            ids = [e.id for e in message.entries]
            self._pending_acks.append(
                _PendingAck(now + CONFIRM_TIMEOUT_S, connection, message.number, message.life, ids)
            )
            actions += self._complete_ready(now)
        if later := self.endpoints.newer_than(message.entries):
            actions.append(Send(connection, Instances([e.to_instance(now) for e in later])))
        if advanced:
            actions += self._flood([e.to_instance(now) for e in advanced], connection)
        return actions

    def _on_ack(self, now: float, connection: object, ack: InstancesAck) -> list[Action]:
        request = self._pending.get(ack.number)
        if ack.life != self.incarnation or not 0 < ack.number <= self._last_number:
            self.dropped_acks += 1
            return []
        if request is None:  # it was enough without, or is over
            return []
        if (ip := request.sent_to.get(connection)) is None:
            self.dropped_acks += 1
            return []
        if ack.contact:
            request.synced_by[ip] = None
        return self._complete_ready(now)

    def tick(self, now: float) -> list[Action]:
        """Time has gone by: some times a second."""
        actions: list[Action] = []
        for number, request in list(self._pending.items()):
            if now > request.until:
                why = "no other registry that counts has it yet"
                actions.append(
                    self._fail(number, why if self._is_synced(request.ids) else "the disk is slow")
                )
        self._pending_acks = [pending for pending in self._pending_acks if now <= pending.until]
        if self._members_pending:
            actions += self._publish_members(now)
        if now - self._heartbeats_sent_at >= HEARTBEAT_BATCH_S:
            self._heartbeats_sent_at = now
            if self._heartbeats:
                beats = Beats(list(self._heartbeats))
                self._heartbeats.clear()
                actions += [
                    Send(p.connection, beats) for p in self.peers.values() if p.connection is not None
                ]
            silent_s = inf
            if self._has_full_view:
                silent_s = EXPIRY_INTERVALS * self._heartbeat_s
                silent = self.endpoints.mark_silent(now, SILENT_INTERVALS * self._heartbeat_s)
                if silent:
                    actions.append(Send(None, Silence([e.id for e in silent], [])))
            lost = self.endpoints.expire(now, silent_s)
            if lost:
                actions += self._flood([e.to_instance(now) for e in lost], None)
            for id in [id for id in self.heartbeat_counts if id not in self.endpoints.entries]:
                del self.heartbeat_counts[id]
            actions += self._remove_lost_peers(now)
            actions += self._send_member_changes(now)
        return actions

    def _remove_lost_peers(self, now: float) -> list[Action]:
        """Machines that were removed; one that is cut off has no contact, and takes nobody for that."""
        if not self.contact or now - self.contact_changed_at <= PEER_EXPIRY_S:
            return []
        gone = [
            p.ip
            for p in self.peers.values()
            if p.connection is None and now - p.disconnected_at > PEER_EXPIRY_S
        ]
        gone = [ip for ip in gone if not self._reachable_elsewhere(ip)]
        for ip in gone:
            del self.peers[ip]
        return [RegistryRemoved(ip) for ip in gone]

    @property
    def _has_full_view(self) -> bool:
        """Whom no call came from here calls nobody: only then is silence judged.

        Each registry tells of its own callers only; one that is cut off from here alone has some.
        """
        reported = {ip for p in self.peers.values() if p.connection is not None for ip in p.connected_to}
        return self._sees_most_peers and all(
            ip == self.ip or (ip in self.peers and self.peers[ip].connection is not None) for ip in reported
        )

    @property
    def _sees_most_peers(self) -> bool:
        """Most registries that were met are linked: guards against taking a cut for everybody's silence.

        One that has met nobody yet is in company only if the settings name nobody else.
        """
        if not self.peers:
            return not self._unseen_seeds
        connected = sum(p.connection is not None for p in self.peers.values())
        return connected * 2 >= len(self.peers)
