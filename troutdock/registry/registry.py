"""The registry's state machine: backends, ingresses and the newest configuration (no I/O, no clock).

Theory of operation. Every core machine runs a registry, and none is a leader. Each accepts heartbeats of
backends, merges them into its endpoint table, and floods state changes to the other registries and to its
ingresses. A receiver floods what was new to it. If a sender reports a state earlier than the known one, the
receiver replies with the later state (anti-entropy). Heartbeats that change nothing are sent in batches of
ids twice a second, so that all registries know which instances are silent. Silence alone does not remove a
backend: it is sent to ingresses as a hint, which responses of the backend override. Only the time counts as
silence in which this process was running and connected to all registries that receive heartbeats. After a
stall, or once its view is complete again, the count begins anew. A backend that was silent for long is not
announced any more, but its next heartbeat, at any registry, announces it again to all.

*Contact.* A registry is in contact while a connected store reports that it is the active primary; a store
reports that only while it reaches a majority of the voters. Out of contact a registry confirms nothing. It is
fresh, and reports so to its ingresses, while it is in contact and has the newest configuration that the
primary reported.

*Draining and deregistration.* Backends rely on these states, so they must be durable. They are merged and
flooded at once, but acknowledged only once they are synced on this disk and on the disks of other registries
in contact: enough of them that after each loss that the fault tolerance allows, one replica remains. Failure
domains that have been lost for longer than contact_s count towards that loss. Saves run one at a time, each
with all changes up to then (next_batch, on_saved). A deregistration of an unknown id becomes a tombstone like
any other.

*Acknowledgements.* One counts only on the connection that the request was sent on, with the incarnation and
number of the request. Any other is dropped and counted.

*Configurations* are identified by a version and a digest of the body. The version only increases, whoever
reports it. A second body with the current version is logged as an error, and only the primary's body replaces
the current one.

Ingresses are members while they are connected to any registry; each registry sends the others the ingresses
that are connected to it. Memory does not grow with the number of changes: tombstones, heartbeat counts,
pending requests and lost registries are all bounded in time or number.
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
from troutdock.endpoints.endpoint_table import EXPIRY_INTERVALS, SILENT_INTERVALS, EndpointTable

HEARTBEAT_BATCH_S = 0.5  # between two Beats messages
STALL_S = 1.0  # between two ticks; after this the process was stalled, and heartbeats were missed here
CONFIRM_TIMEOUT_S = 0.7  # for the syncs here and on other machines; a client waits 1 s
SAVE_RETRY_S = 0.3  # after a failed save
REDIRECT_DELAY_S = 1.0  # out of contact, until backends are redirected; as long as an election
PEER_EXPIRY_S = 30.0  # a registry is removed after this time without a connection, if this one is in contact
MEMBERS_INTERVAL_S = 0.1  # batches ingresses that start together, else bytes grow quadratically
MEMBERS_GRACE_S = 4.0  # within this, the ingresses of a lost registry connect to another one


@dataclass(slots=True)
class Send:
    """Send a message on a connection, or to all ingresses if to is None."""

    to: object | None
    message: Message


@dataclass(slots=True)
class RequestCompleted:
    """A heartbeat call can be answered: the state is durable, or (ok is false) why it is not."""

    number: int
    ok: bool
    why: str = field(default="", compare=False)


@dataclass(slots=True)
class LogError:
    """Log an error for operators."""

    text: str


@dataclass(slots=True)
class RegistriesFound:
    """Connect to these registries, which other registries have reported."""

    ips: list[str]


@dataclass(slots=True)
class RegistryRemoved:
    """Disconnect from this registry: no connected registry reports it any more."""

    ip: str


Action = Send | RequestCompleted | LogError | RegistriesFound | RegistryRemoved


@dataclass(slots=True)
class SaveBatch:
    """Changes to be written in one transaction. full: entries are complete and replace what is stored."""

    entries: list[Instance]
    deleted: list[str]
    full: bool


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How many machines, zones or regions may be lost at once. region_of: regions by zone."""

    machines: int = 0
    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    """Another registry.

    Attributes:
        members: Ingresses that are connected to it, by name.
        disconnected_at: When its last connection ended; infinite while it is connected.
        contact: Whether it reports that it is in contact with the store's primary.
        connected_to: Zones by address of the registries that it reports to be connected to.
    """

    ip: str
    zone: str
    connections: list[object] = field(default_factory=list)  # two, if both sides have connected
    members: dict[str, Member] = field(default_factory=dict)
    disconnected_at: float = inf
    contact: bool = False
    connected_to: dict[str, str] = field(default_factory=dict)

    @property
    def connection(self) -> object | None:
        """The newest connection, or None if there is none."""
        return self.connections[-1] if self.connections else None


@dataclass(slots=True)
class _PendingRequest:
    """A call that waits for syncs. sent_to: addresses of the requested registries by connection."""

    until: float
    ids: list[str]
    sent_to: dict[object, str]
    synced_by: dict[str, None] = field(default_factory=dict)  # addresses of registries that acknowledged


@dataclass(slots=True)
class _PendingAck:
    """An acknowledgement that another registry waits for, to be sent after the sync here."""

    until: float
    connection: object
    number: int
    incarnation: int
    ids: list[str]


class Registry:
    """The state of one registry. Connections are opaque handles of the daemon."""

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
        """Creates the state of a registry that has just started.

        Args:
            now: Seconds of the monotonic clock.
            heartbeat_s: Interval of backends' heartbeats.
            incarnation: Incarnation number of this process.
            zone: Zone of this machine.
            seeds: Addresses of other core machines in the settings.
            tolerance: Losses that an acknowledged state must survive.
            contact_s: Seconds after which a disconnected registry counts as lost.
            ip: Address of this machine.
        """
        self.endpoints = EndpointTable()
        self.incarnation, self.zone, self.ip = incarnation, zone, ip
        self._heartbeat_s, self._contact_s = heartbeat_s, contact_s
        self._tolerance = tolerance if tolerance is not None else FaultTolerance()
        self.heartbeat_counts: dict[str, int] = {}  # by instance: the highest number of its heartbeats
        self.peers: dict[str, _Peer] = {}
        self._unseen_seeds = dict.fromkeys(seeds)  # seeds that have not been connected yet
        self.ingresses: dict[object, Member] = {}
        self.config: Config | None = None
        self._primary_status: Fresh | None = None  # last report of the primary; None out of contact
        self.contact_changed_at = now  # start of the current contact or lack of contact
        self.dropped_acks = 0  # acknowledgements that belong to no request
        self._heartbeats: dict[str, None] = {}
        self._heartbeats_sent_at = self._started = now
        self._ticked_at = now
        self._observed_since = (
            inf  # since when heartbeats at any registry are received; infinite: they are not
        )
        self._last_number = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._pending_acks: list[_PendingAck] = []
        self._saving: dict[str, None] | None = None  # ids in the batch that is being saved
        self._save_all, self._save_at = False, -inf  # the next batch is full; earliest time
        self._sent_members: dict[str, Member] = {}
        self._members_sent_at, self._members_pending = -inf, False  # last sent; changed since

    # ---- backends

    def heartbeat(self, now: float, update: Instance, count: int) -> tuple[int, list[Action]]:
        """Handles a backend's call.

        Args:
            now: Seconds of the monotonic clock.
            update: The instance and its state.
            count: The number of the heartbeat; below 0 for a deregistration.

        Returns:
            The number of the RequestCompleted action to wait for, 0 if there is nothing to wait for; and the
            actions to perform.
        """
        known = self.endpoints.entries.get(update.id)
        if (
            known is not None
            and update.state == READY
            and 0 <= count <= self.heartbeat_counts.get(update.id, -1)
        ):
            return 0, []  # delayed or repeated
        advanced = self.endpoints.merge(now, [update], from_instance=True)
        if not self.endpoints.includes(update):
            self._last_number += 1
            return self._last_number, [
                RequestCompleted(self._last_number, False, "the endpoint table is full")
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
        # confirmed again if already known: the client repeats a call that was not acknowledged
        self._last_number += 1
        if not self.contact:  # the state is recorded and flooded, so the call can fail early
            why = RequestCompleted(
                self._last_number, False, "this registry is out of contact with the store's primary"
            )
            return self._last_number, [*actions, *self._flood(entries, None), why]
        sent_to = {p.connection: p.ip for p in self.peers.values() if p.connection is not None}
        self._pending[self._last_number] = _PendingRequest(
            now + CONFIRM_TIMEOUT_S, [e.id for e in entries], sent_to
        )
        flood = self._flood(entries, None, self._last_number)
        if not advanced:  # the ingresses already have it
            flood = [send for send in flood if isinstance(send, Send) and send.to is not None]
        return self._last_number, [*actions, *flood, *self._complete_ready(now)]

    def is_isolated(self, now: float) -> bool:
        """Returns whether heartbeats should go elsewhere, since no majority receives them from here."""
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
        back = self.endpoints.record_heartbeats(now, ids)
        if not back:
            return []
        # an ingress, or another registry, may have forgotten them
        announcement = self._flood([entry.to_instance(now) for entry in back if entry.state == READY], None)
        return [*announcement, Send(None, Silence([], [entry.id for entry in back]))]

    def redirect_target(self, now: float, zone: str) -> str:
        """Returns the address of the machine that a backend should call, empty if it is this one.

        It is a registry in contact in the backend's zone. If this registry has been out of contact for longer
        than an election takes, it may be one in any zone.
        """
        candidates = [p for p in self.peers.values() if p.connection is not None and p.contact]
        near = [p.ip for p in candidates if p.zone == zone]
        if not self.contact and now - self.contact_changed_at > REDIRECT_DELAY_S:
            near += [p.ip for p in candidates]
        elif zone == self.zone:
            return ""
        return next(iter(near), "")

    # ---- durability

    @property
    def save_urgent(self) -> bool:
        """Whether a call or another registry waits for a save."""
        return bool(self._pending or self._pending_acks) and bool(self.endpoints.changed)

    def restore(self, now: float, entries: list[Instance]) -> list[Action]:
        """Merges the instances read from the disk."""
        changed = dict(self.endpoints.changed)
        advanced = self.endpoints.merge(now, entries)
        behind = self.endpoints.newer_than(entries)  # the disk has an earlier state of these
        self.endpoints.changed = changed | {entry.id: None for entry in behind}
        return self._flood([e.to_instance(now) for e in advanced], None) if advanced else []

    def next_batch(self, now: float) -> SaveBatch | None:
        """Returns what to save now, or None. One batch is saved at a time; on_saved() reports its end."""
        endpoints = self.endpoints
        if self._saving is not None or not endpoints.changed or now < self._save_at:
            return None
        self._saving, endpoints.changed = endpoints.changed, {}
        if self._save_all:
            return SaveBatch(endpoints.snapshot(now), [], True)
        known = [(id, endpoints.entries.get(id)) for id in self._saving]
        entries = [entry.to_instance(now) for _, entry in known if entry is not None and not entry.expired]
        deleted = [id for id, entry in known if entry is None or entry.expired]
        return SaveBatch(entries, deleted, False)

    def on_saved(self, now: float, ok: bool) -> list[Action]:
        """Handles the end of a save: the batch is synced, or ok is false after an I/O failure."""
        saving, self._saving = self._saving or {}, None
        self._save_all = not ok
        if ok:
            return self._complete_ready(now)
        self.endpoints.changed = {**saving, **self.endpoints.changed}
        self._save_at = now + SAVE_RETRY_S
        failed = [n for n, request in self._pending.items() if not self._is_synced(request.ids)]
        return [self._fail(number, "the disk reports an error") for number in failed]

    def _is_synced(self, ids: list[str]) -> bool:
        return not any(id in self.endpoints.changed or id in (self._saving or ()) for id in ids)

    def _fail(self, number: int, why: str) -> RequestCompleted:
        del self._pending[number]
        return RequestCompleted(number, False, why)

    def _complete_ready(self, now: float) -> list[Action]:
        """Completes calls and acknowledges other registries' requests that are now sufficiently synced."""
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
        """Returns whether a state synced here and by these registries survives each tolerated loss."""
        if not self.peers and not self._unseen_seeds:
            return True  # there is only one core machine
        holders = [self.peers[ip] for ip in synced_by if ip in self.peers]
        if not holders:
            return False
        # shortly after the start, seeds may still connect
        starting = bool(self._unseen_seeds) and now - self._started <= self._contact_s
        tolerance, region = self._tolerance, self._tolerance.region_of
        for tolerated, own, domain_of in (
            (tolerance.machines, "", lambda peer: peer.ip),
            (tolerance.zones, self.zone, lambda peer: peer.zone),
            (tolerance.regions, region.get(self.zone, ""), lambda peer: region.get(peer.zone, "")),
        ):
            domains: dict[str, bool] = {}  # other failure domains, and whether a registry there is not lost
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

    # ---- connections of registries and ingresses

    def registry_up(self, now: float, connection: object, ip: str, zone: str) -> list[Action]:
        """Handles a new connection to another registry: sends it the complete state."""
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
        """Sends the peers the registries that this one is connected to.

        From this, registries discover each other, and distinguish a partition from the removal of a machine.
        """
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
        """Returns whether a connected registry reports a connection to this one."""
        return any(p.connection is not None and ip in p.connected_to for p in self.peers.values())

    def _contact_status(self) -> Fresh:
        """The message to other registries about contact with the store's primary."""
        return msgspec.structs.replace(self.freshness, fresh=self.contact)

    def registry_down(self, now: float, connection: object) -> list[Action]:
        """Handles the end of a connection to another registry."""
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
        """Handles a new connection from an ingress: sends it the complete state."""
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
        # last, so that a receiver of this has the rest
        actions.append(Send(connection, self.freshness))
        return actions

    def ingress_down(self, now: float, connection: object) -> list[Action]:
        """Handles the end of a connection to an ingress."""
        return self._publish_members(now) if self.ingresses.pop(connection, None) is not None else []

    def _own_members(self) -> Members:
        return Members(list(self.ingresses.values()), [], True)

    def _publish_members(self, now: float) -> list[Action]:
        """Sends a changed list of ingresses to peers and ingresses, at most once per MEMBERS_INTERVAL_S."""
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
        """Returns the state of this registry for GET /system/status."""
        services: dict[str, dict[str, int]] = {}
        for entry in self.endpoints.entries.values():
            if not entry.service or entry.expired:  # a tombstone of an unknown instance, or not announced
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
        """Whether a primary that reaches a majority is connected."""
        return self._primary_status is not None

    @property
    def fresh(self) -> bool:
        """Whether this registry is in contact and has the newest configuration that the primary reported."""
        reported, current = self._primary_status, self.config
        if reported is None or current is None:
            return reported is not None and not reported.version
        same = not reported.digest or reported.digest == current.digest
        return current.version > reported.version or (current.version == reported.version and same)

    @property
    def freshness(self) -> Fresh:
        """The message to ingresses about the configuration here and whether it is the newest."""
        current = self.config
        return (
            Fresh(self.fresh, current.version, current.digest)
            if current is not None
            else Fresh(self.fresh, 0)
        )

    def set_primary_status(self, now: float, reported: Fresh | None) -> list[Action]:
        """Handles a report of the primary about its newest configuration, or None if contact is lost."""
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
        """Handles a configuration in force. from_primary: it comes from the primary that is in contact."""
        current = self.config
        if current is not None and config.version < current.version:
            return []
        digest = body_digest(config.body)
        if config.digest not in ("", digest):
            return [
                LogError(
                    f"Configuration r{config.version} does not match its digest {config.digest}: dropped."
                )
            ]
        actions: list[Action] = []
        if current is not None and config.version == current.version:
            if digest == current.digest:
                return []
            resolution = (
                "replaced by the primary's body" if from_primary else "kept until the primary sends another"
            )
            actions.append(
                LogError(
                    f"Two bodies with revision r{current.version}: current {current.digest}, "
                    f"received {digest}; {resolution}."
                )
            )
            if not from_primary:
                return actions
        # not flooded: the other registries get it from the store
        self.config = Config(config.version, config.body, digest)
        return [*actions, Send(None, self.config), Send(None, self.freshness)]

    # ---- messages and timers

    def receive(self, now: float, connection: object, message: Message) -> list[Action]:
        """Handles a message of another registry or of an ingress."""
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
        if request is None:  # already completed or timed out
            return []
        if (ip := request.sent_to.get(connection)) is None:
            self.dropped_acks += 1
            return []
        if ack.contact:
            request.synced_by[ip] = None
        return self._complete_ready(now)

    def tick(self, now: float) -> list[Action]:
        """Handles timeouts; called several times a second."""
        actions: list[Action] = []
        if now - self._ticked_at > STALL_S:
            self._observed_since = inf
        self._ticked_at = now
        for number, request in list(self._pending.items()):
            if now > request.until:
                why = "not yet replicated to enough other registries in contact"
                actions.append(
                    self._fail(
                        number,
                        why if self._is_synced(request.ids) else "the disk did not complete the sync in time",
                    )
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
            actions += self._judge_silence(now)
            for id in [id for id in self.heartbeat_counts if id not in self.endpoints.entries]:
                del self.heartbeat_counts[id]
            actions += self._remove_lost_peers(now)
            actions += self._send_member_changes(now)
        return actions

    def _judge_silence(self, now: float) -> list[Action]:
        """Marks silent instances, and ends the announcement of those that have been silent for long."""
        self._observed_since = min(self._observed_since, now) if self._has_full_view else inf
        since, actions = self._observed_since, list[Action]()
        silent_s, expire_s = SILENT_INTERVALS * self._heartbeat_s, EXPIRY_INTERVALS * self._heartbeat_s
        if silent := self.endpoints.mark_silent(now, silent_s, since):
            actions.append(Send(None, Silence([entry.id for entry in silent], [])))
        if ended := self.endpoints.expire(now, expire_s, since):
            actions += self._flood([entry.to_instance(now) for entry in ended], None)
        return actions

    def _remove_lost_peers(self, now: float) -> list[Action]:
        """Removes registries of machines that were removed.

        A registry behind a partition is out of contact, and removes none.
        """
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
        """Whether this registry receives the heartbeats of all registries; silence is judged only then.

        Each registry reports only the heartbeats that it received itself. A registry that is unreachable from
        here, but connected to others, may still receive some.
        """
        reported = {ip for p in self.peers.values() if p.connection is not None for ip in p.connected_to}
        return self._sees_most_peers and all(
            ip == self.ip or (ip in self.peers and self.peers[ip].connection is not None) for ip in reported
        )

    @property
    def _sees_most_peers(self) -> bool:
        """Whether at least half of the known registries are connected.

        Guards against mistaking a partition for the silence of all backends. Before the first connection it
        is true only if the settings name no other core machine.
        """
        if not self.peers:
            return not self._unseen_seeds
        connected = sum(p.connection is not None for p in self.peers.values())
        return connected * 2 >= len(self.peers)
