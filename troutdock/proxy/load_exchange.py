"""Exchange of load values between ingresses: open attempts by backend, ingress counts (no I/O, no clock).

Theory of operation. An ingress sends each change of its own values to all ingresses of its zone immediately,
because traffic within a zone is free of charge. Other zones receive sums. For each service, one ingress of a
zone is *responsible*: the first live one in an order that all ingresses compute alike. Another ingress is
responsible for reporting how many ingresses its zone can reach (LIVENESS_DUTY). The responsible ingress sends
its zone's open attempts at each backend of the service to its counterparts in the other zones, and forwards
what it receives from them to its own zone. The work is therefore distributed over as many ingresses as there
are services, and the traffic of one ingress grows with the requests of its zone and not with the number of
ingresses. (With a single speaker for each zone that forwarded the values of every ingress, 20 ingresses in a
zone caused 410 KB/s on links of 250 KB/s, and the speaker was disconnected because its send queue was full.)

Invariants. Values are absolute, so nothing is counted twice whichever path it takes. A new link starts with
the full state. Values of an ingress or a zone that has been silent for STALE_TIMEOUT_S are dropped.

Tenant quotas are not exchanged here; they are leased (troutdock.quota). This module also selects the owners
of quota shards that an ingress connects to. Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

from troutdock.rpc.messages import Member, Share, Shares
from troutdock.endpoints.rendezvous import first_ranked, ranked
from troutdock.quota.routes import SHARD_COUNT, ranked_aggregators, preceding_zones

STALE_TIMEOUT_S = 1.2  # values of an ingress or a zone that has been silent for this long are dropped
LEFT_MEMBER_TTL_S = 10.0  # a member removed from the list is still counted for this long
LIVENESS_INTERVAL_S = 0.4  # maximum interval between reports of the number of reachable ingresses
LINKS_TO_OWNERS = 2  # into the zone of a shard's owner: the second takes over when the first fails
ZONE_LINK_WAIT_S = 0.5  # how long to wait for links to the listed members of the own zone
REMOTE_DIAL_DELAY_S = 1.0  # a zone whose responsible ingress has not connected within this time is dialled
LIVENESS_DUTY = "use"  # duty of reporting reachable ingresses; older versions use the same name
SHARE_TAG_MODULUS = 10_000  # of incarnations and epochs
MAX_TABLE_NAMES = 20_000  # entries of a name table before it is reset
ZONE_PREFIX = "@"  # marks the name of a zone where the name of an ingress is expected


class Services(Protocol):
    """The part of the endpoint table that a LoadExchange uses."""

    def services(self) -> Iterable[str]:
        """Returns the services that have instances."""

    def service_of(self, instance: str) -> str:
        """Returns the service of an instance, or an empty string if it is unknown."""

    def instances_of(self, service: str) -> Iterable[str]:
        """Returns the instances of a service."""


class _PendingChanges:
    """Changes not yet sent to one group of peers, and the names and incarnations already sent to it."""

    __slots__ = ("incarnations", "instances", "names_sent")

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, None]] = {}  # changed instances by origin
        self.names_sent = 0  # length of the sent part of the name table
        self.incarnations: dict[str, int] = {}

    def add(self, origin: str, instances: Iterable[str]) -> None:
        self.instances.setdefault(origin, {}).update(dict.fromkeys(instances))


@dataclass(slots=True)
class ZonePeer:
    """Last known state of another ingress of the own zone.

    Attributes:
        incarnation: Of its process.
        last_seen_at: Seconds.
        direct: The state was sent by the ingress itself, on a link that is still up.
        loads: Open attempts by instance.
    """

    incarnation: int
    last_seen_at: float
    direct: bool = False
    loads: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class RemoteZone:
    """Last known state of another zone.

    Attributes:
        last_seen_at: Seconds.
        reachable: Number of reachable ingresses in the zone.
        loads: Sum of open attempts by instance.
    """

    last_seen_at: float = -inf
    reachable: int = 0
    loads: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class LoadUpdate:
    """Changed numbers of open attempts, by origin (an ingress or a zone) and instance."""

    loads: dict[str, dict[str, int]] = field(default_factory=dict)


class LoadExchange:
    """State machine of one ingress for the exchange of load values."""

    def __init__(self, name: str, ip: str, zone: str, incarnation: int, services: Services) -> None:
        """Starts without members and load.

        Args:
            name: Of this machine; also the origin of its values.
            ip: Address of this ingress, which decides who dials.
            zone: Of this ingress.
            incarnation: Of this process.
            services: Services and instances known here.
        """
        self.name, self.zone, self.incarnation = name, zone, incarnation
        self.ip = ip
        self.services = services
        self.members: dict[str, Member] = {}
        self._left: dict[str, Member] = {}  # members removed from the list
        self._left_at: dict[str, float] = {}
        self.zone_peers: dict[str, ZonePeer] = {}  # by name
        self.remote_zones: dict[str, RemoteZone] = {}  # by zone
        self.own_loads: dict[str, int] = {}
        self.zone_loads: dict[str, int] = {}  # sums over the whole zone
        # own changes, and changes of other zones that are forwarded to this zone
        self._zone_changes, self._forwarded_changes = _PendingChanges(), _PendingChanges()
        self._unsent: dict[str, dict[str, None]] = {}  # by duty: instances whose values other zones lack
        self._previous_duties: set[str] = set()  # own duties at the last update for other zones
        # linked zone members and duties for which _own_duties was computed
        self._duties_input: tuple[frozenset[str], frozenset[str]] | None = None
        self._own_duties: set[str] = set()  # duties that this ingress is responsible for
        self._names: dict[str, int] = {}  # own name table
        self._names_sent: dict[str, int] = {}  # length of the part that each remote peer has
        self._peer_tables: dict[str, tuple[int, list[str]]] = {}  # of peers, by name, with their incarnations
        self._unlinked_since: dict[str, float] = {}  # other zones without a link, and since when
        self._zone_incomplete_since = inf  # since when a listed member of the own zone is not linked
        self._liveness_sent_at = 0.0
        self.busy: frozenset[str] = frozenset()  # names of ingresses that report a high event loop lag

    # ---- membership

    def update_members(self, now: float, entries: Iterable[Member], gone: Iterable[str], full: bool) -> None:
        """Applies the registry's member list: the full list, or changes to it."""
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
        """Returns how many ingresses exist and how many are reachable, both including this one."""
        for name in [name for name in self._left if now - self._left_at[name] > LEFT_MEMBER_TTL_S]:
            del self._left[name], self._left_at[name]
        local = self._reachable_in_zone(now) - {self.name}
        zones: dict[str, int] = {}
        for member in (*self.members.values(), *self._left.values()):
            if member.zone != self.zone:
                zones[member.zone] = zones.get(member.zone, 0) + 1
        known = {m.name for m in (*self.members.values(), *self._left.values()) if m.zone == self.zone}
        remote = sum(
            min(count, self.remote_zones[zone].reachable)
            for zone, count in zones.items()
            if zone in self.remote_zones and now - self.remote_zones[zone].last_seen_at <= STALE_TIMEOUT_S
        )
        return len((known | local) - {self.name}) + sum(zones.values()) + 1, len(local) + remote + 1

    def duties(self) -> list[str]:
        """Returns the duties for which each zone has one responsible ingress."""
        return [*(f"service/{service}" for service in self.services.services()), LIVENESS_DUTY]

    def is_responsible(self, duty: str, linked: Iterable[str]) -> bool:
        """Returns whether this ingress is responsible for a duty in its zone.

        Args:
            duty: Name of the duty.
            linked: Names of the ingresses of the zone that are linked.
        """
        return first_ranked(_rank_key(self.zone, duty), [self.name, *linked]) == self.name

    def dial_targets(
        self, now: float, linked: Iterable[tuple[str, str]], failing: Collection[str]
    ) -> list[Member]:
        """Returns the members that this ingress has to connect to.

        Within the zone, the ingress with the lower address dials. Between zones, the ingresses responsible
        for the same duty connect to each other; the one with the higher address dials only if the other has
        not done so for REMOTE_DIAL_DELAY_S. If a member can't be reached, the next one in order is dialled.

        Args:
            now: Seconds.
            linked: Names and zones of the ingresses that this one is linked to.
            failing: Names of the members to which the last connection attempt failed.
        """
        linked = list(linked)
        local = [name for name, zone in linked if zone == self.zone]
        targets = {m.name: m for m in self.members.values() if m.zone == self.zone and self.ip < m.ip}
        zones: dict[str, dict[str, Member]] = {}
        for m in self.members.values():
            if m.zone != self.zone:
                zones.setdefault(m.zone, {})[m.name] = m
        for zone in zones:
            if any(z == zone for _, z in linked):
                self._unlinked_since.pop(zone, None)
            else:
                self._unlinked_since.setdefault(zone, now)
        # before all links within the zone are up, the assignment of duties is unknown
        not_linked = [m.name for m in self.members.values() if m.zone == self.zone and m.name not in local]
        if not_linked and set(not_linked) - set(failing):
            self._zone_incomplete_since = min(self._zone_incomplete_since, now)
        else:
            self._zone_incomplete_since = inf
        if self._zone_incomplete_since != inf and now - self._zone_incomplete_since <= ZONE_LINK_WAIT_S:
            return list(targets.values())
        for duty in self.duties():
            if not self.is_responsible(duty, local):
                continue
            for zone, candidates in zones.items():
                order = ranked(_rank_key(zone, duty), candidates)
                name = next((n for n in order if n not in failing), order[0])
                is_overdue = now - self._unlinked_since.get(zone, now) >= REMOTE_DIAL_DELAY_S
                if self.ip < candidates[name].ip or is_overdue or (name, zone) in linked:
                    targets[name] = candidates[name]
        targets.update(self._quota_dial_targets(local, zones, linked, failing))
        return list(targets.values())

    def _quota_dial_targets(
        self,
        local: Collection[str],
        zones: Mapping[str, Mapping[str, Member]],
        linked: Collection[tuple[str, str]],
        failing: Collection[str],
    ) -> dict[str, Member]:
        """Returns the owner and the next candidate of each shard that this ingress aggregates for its zone.

        The zone of the aggregator dials, because only it needs the link. Zones that follow a linked zone
        in the order are not dialled.
        """
        targets: dict[str, Member] = {}
        for shard in range(SHARD_COUNT):
            if ranked_aggregators(self.zone, shard, [self.name, *local], self.busy)[0] != self.name:
                continue
            for zone in preceding_zones(shard, self.zone, zones):
                order = ranked_aggregators(zone, shard, zones[zone], self.busy)
                reachable = [name for name in order if name not in failing] or order
                for name in reachable[:LINKS_TO_OWNERS]:
                    targets[name] = zones[zone][name]
                if any(of == zone for _, of in linked):
                    break
        return targets

    def should_keep(self, name: str, address: str, wanted: Collection[str], up: bool) -> bool:
        """Returns whether a dialled link is kept.

        A link that is up is also kept if its member has only disappeared from the list: the member may be
        partitioned from the registry.
        """
        member = self.members.get(name)
        return (name in wanted and (member is None or member.ip == address)) or (up and member is None)

    def mark_alive(self, now: float, name: str) -> None:
        """Records that a linked peer is alive although it has sent no values."""
        if (known := self.zone_peers.get(name)) is not None:
            known.last_seen_at = now

    # ---- load of the zone

    def set_load(self, instance: str, count: int) -> None:
        """Sets the number of attempts that this ingress has open at an instance."""
        self._adjust_zone_load(instance, count - self.own_loads.get(instance, 0))
        if count:
            self.own_loads[instance] = count
        else:
            self.own_loads.pop(instance, None)
        self._zone_changes.add(self.name, [instance])

    def _adjust_zone_load(self, instance: str, delta: int) -> None:
        count = self.zone_loads.get(instance, 0) + delta
        if count > 0:
            self.zone_loads[instance] = count
        else:
            self.zone_loads.pop(instance, None)
        duty = f"service/{self.services.service_of(instance)}"
        self._unsent.setdefault(duty, {})[instance] = None

    # ---- messages

    def _name_index(self, name: str) -> int:
        return self._names.setdefault(name, len(self._names))

    def _pairs(self, loads: Mapping[str, int]) -> list[int]:
        return [n for name, count in loads.items() for n in (self._name_index(name), count)]

    def _share(
        self, origin: str, incarnation: int, loads: Mapping[str, int], already_sent: bool = False
    ) -> Share:
        return Share(
            self._name_index(origin),
            incarnation % SHARE_TAG_MODULUS,
            self._pairs(loads),
            life=0 if already_sent else incarnation,
        )

    def _zone_share(self, zone: str, loads: Mapping[str, int], reachable: int) -> Share:
        return Share(self._name_index(ZONE_PREFIX + zone), 0, self._pairs(loads), here=reachable)

    def _own_zone_share(self, now: float, loads: Mapping[str, int], with_count: bool = True) -> Share:
        return self._zone_share(
            self.zone, loads, len(self._reachable_in_zone(now) - {self.name}) + 1 if with_count else 0
        )

    def full_state(self, now: float, peer: str, is_remote: bool) -> Shares:
        """Returns the first message on a new link: the full state.

        Args:
            now: Seconds.
            peer: Name of the receiver.
            is_remote: The receiver is in another zone, and gets the sums of this zone only.
        """
        if is_remote:
            entries = [self._own_zone_share(now, self.zone_loads)]
        else:
            entries = [self._share(self.name, self.incarnation, self.own_loads)]
            for name in sorted(self._reachable_in_zone(now)):
                peer_state = self.zone_peers[name]
                entries.append(self._share(name, peer_state.incarnation, peer_state.loads))
            for zone, zone_state in self.remote_zones.items():
                if now - zone_state.last_seen_at <= STALE_TIMEOUT_S:
                    entries.append(self._zone_share(zone, zone_state.loads, zone_state.reachable))
        self._names_sent[peer] = len(self._names)
        return Shares(entries, 0, list(self._names), True)

    def _reset_full_table(self) -> None:
        if len(self._names) > MAX_TABLE_NAMES:
            self._names.clear()
            self._names_sent.clear()
            self._zone_changes.names_sent = self._forwarded_changes.names_sent = 0

    def _take_update(self, pending: _PendingChanges) -> Shares | None:
        if not pending.instances:
            return None
        self._reset_full_table()
        entries = []
        for origin, instances in pending.instances.items():
            if origin == self.name:
                changed = {i: self.own_loads.get(i, 0) for i in instances}
                entries.append(
                    self._share(
                        origin,
                        self.incarnation,
                        changed,
                        pending.incarnations.get(origin) == self.incarnation,
                    )
                )
                pending.incarnations[origin] = self.incarnation
            elif (zone_state := self.remote_zones.get(origin[len(ZONE_PREFIX) :])) is not None:
                changed = {i: zone_state.loads.get(i, 0) for i in instances}
                entries.append(self._zone_share(origin[len(ZONE_PREFIX) :], changed, zone_state.reachable))
        pending.instances.clear()
        if not entries:
            return None
        base, pending.names_sent = pending.names_sent, len(self._names)
        names = list(self._names)[base:] if base < pending.names_sent else []
        return Shares(entries, base if names else -1, names)

    def zone_update(self) -> Shares | None:
        """Returns the unsent changes of this ingress for the peers in its zone, or None."""
        return self._take_update(self._zone_changes)

    def forwarded_update(self) -> Shares | None:
        """Returns the unsent changes of other zones for the peers in this zone, or None."""
        return self._take_update(self._forwarded_changes)

    def remote_updates(
        self, now: float, local: Collection[str], remote: Collection[tuple[str, str]]
    ) -> list[tuple[list[str], Shares]]:
        """Returns the unsent changes for other zones: messages, each with the names of its receivers.

        Args:
            now: Seconds.
            local: Names of the linked ingresses of the own zone.
            remote: Names and zones of the linked ingresses of other zones.
        """
        duties_input = frozenset(local), frozenset(self.duties())
        # recomputing every duty for every peer about 25 times a second would cost too much CPU
        if duties_input != self._duties_input:
            self._duties_input = duties_input
            self._own_duties = {duty for duty in duties_input[1] if self.is_responsible(duty, local)}
        own_duties = self._own_duties
        for duty in own_duties - self._previous_duties:  # the predecessor may not have sent its last values
            if duty != LIVENESS_DUTY:
                all_of = self.services.instances_of(duty.partition("/")[2])
                self._unsent.setdefault(duty, {}).update(dict.fromkeys(all_of))
        self._previous_duties = own_duties
        liveness_due = now - self._liveness_sent_at >= LIVENESS_INTERVAL_S
        groups: dict[tuple[str, ...], set[str]] = {}
        for duty in sorted(own_duties):
            if duty in self._unsent or (duty == LIVENESS_DUTY and liveness_due):
                zones: dict[str, list[str]] = {}
                for name, zone in remote:
                    zones.setdefault(zone, []).append(name)
                first_names = sorted(ranked(_rank_key(zone, duty), names)[0] for zone, names in zones.items())
                groups.setdefault(tuple(first_names), set()).add(duty)
        self._reset_full_table()
        messages = []
        for receivers, duties in groups.items():
            with_count = liveness_due and LIVENESS_DUTY in duties
            if with_count:
                self._liveness_sent_at = now
            loads: dict[str, int] = {}
            for duty in duties:
                loads.update((i, self.zone_loads.get(i, 0)) for i in self._unsent.pop(duty, {}))
            if receivers:
                entries = [self._own_zone_share(now, loads, with_count)]
                base = min(self._names_sent.get(name, 0) for name in receivers)
                names = list(self._names)[base:]
                for peer in receivers:
                    self._names_sent[peer] = len(self._names)
                messages.append((list(receivers), Shares(entries, base if names else -1, names)))
        for duty in [duty for duty in self._unsent if duty not in own_duties]:
            del self._unsent[duty]  # another ingress sends them
        return messages

    def _update_peer_table(self, sender: str, incarnation: int, shares: Shares) -> list[str]:
        """Adds the names of a message to the sender's name table, and returns the table.

        Empty entries are names that have not been received. Two links of one incarnation share one table and
        may deliver in either order, so a base of 0 does not truncate the table.
        """
        known_incarnation, table = self._peer_tables.get(sender, (incarnation, []))
        if known_incarnation != incarnation:
            table = []
        self._peer_tables[sender] = incarnation, table
        if 0 <= shares.base <= len(table) + 2 * MAX_TABLE_NAMES:
            table.extend([""] * (shares.base - len(table)))
            table[shares.base : shares.base + len(shares.names)] = shares.names
        return table

    def receive(self, now: float, shares: Shares, sender: str, zone: str, incarnation: int = 0) -> LoadUpdate:
        """Applies a peer's message and returns the changes; values with an unknown name index are ignored.

        Args:
            now: Seconds.
            shares: The message.
            sender: Name of the peer.
            zone: Of the peer, from its Hello.
            incarnation: Incarnation of the peer, from its Hello; 0 if unknown.
        """
        update = LoadUpdate()
        table = self._update_peer_table(sender, incarnation, shares)

        def pairs(flat: list[int]) -> dict[str, int]:
            return {
                table[n]: count
                for n, count in zip(flat[::2], flat[1::2], strict=False)
                if 0 <= n < len(table) and table[n]
            }

        for share in shares.entries:
            origin = (table[share.origin] if 0 <= share.origin < len(table) else "") or self.name
            if origin == sender and incarnation and share.life not in (0, incarnation):
                continue  # its own values, from another incarnation
            loads = pairs(share.out)
            if origin.startswith(ZONE_PREFIX):
                of = origin[len(ZONE_PREFIX) :]
                if of != self.zone:
                    self._receive_remote_zone(now, of, share, loads, shares.full, zone == of, update)
            elif origin != self.name and zone == self.zone:
                self._receive_zone_peer(now, origin, share, loads, shares.full, origin == sender, update)
        return update

    def _receive_zone_peer(
        self,
        now: float,
        origin: str,
        share: Share,
        loads: dict[str, int],
        full: bool,
        direct: bool,
        update: LoadUpdate,
    ) -> None:
        """Applies the values of an ingress of the own zone.

        If the sender reports its own values (direct), its incarnation is the running one, even if it is lower
        than a known one because the clock was set back.
        """
        known = self.zone_peers.get(origin)
        if known is not None and known.direct and not direct:
            return  # other peers know no more, and may report a previous incarnation
        if not share.life and (known is None or known.incarnation % SHARE_TAG_MODULUS != share.tag):
            return
        if known is not None and 0 < share.life < known.incarnation and not direct:
            return
        is_new = known is None or share.life not in (0, known.incarnation)
        if is_new:
            if known is not None and known.loads:
                update.loads.setdefault(origin, {}).update(dict.fromkeys(known.loads, 0))
                for instance, count in known.loads.items():
                    self._adjust_zone_load(instance, -count)
            known = self.zone_peers[origin] = ZonePeer(share.life, now)
        assert known is not None
        known.last_seen_at, known.direct = now, direct
        if full:
            loads = {**{i: 0 for i in known.loads if i not in loads}, **loads}
        changed = {i: n for i, n in loads.items() if known.loads.get(i, 0) != n}
        for instance, count in changed.items():
            self._adjust_zone_load(instance, count - known.loads.get(instance, 0))
            if count:
                known.loads[instance] = count
            else:
                known.loads.pop(instance, None)
        if changed:
            update.loads.setdefault(origin, {}).update(changed)

    def _receive_remote_zone(
        self,
        now: float,
        zone: str,
        share: Share,
        loads: dict[str, int],
        full: bool,
        direct: bool,
        update: LoadUpdate,
    ) -> None:
        """Applies the sums of another zone; if they come from that zone (direct), they are also forwarded."""
        origin = ZONE_PREFIX + zone
        known = self.remote_zones.setdefault(zone, RemoteZone())
        known.last_seen_at, known.reachable = now, share.here or known.reachable
        if full and direct:
            loads = {**{i: 0 for i in known.loads if i not in loads}, **loads}
        changed = {i: n for i, n in loads.items() if known.loads.get(i, 0) != n}
        for instance, count in changed.items():
            if count:
                known.loads[instance] = count
            else:
                known.loads.pop(instance, None)
        if changed:
            update.loads.setdefault(origin, {}).update(changed)
        if direct and (changed or not loads):
            self._forwarded_changes.add(origin, changed)

    def expire(self, now: float, origin: str | None = None) -> LoadUpdate:
        """Clears the values of silent ingresses and zones, and returns the changes.

        Args:
            now: Seconds.
            origin: Name of an ingress whose link has closed; its values are cleared immediately.
        """
        update = LoadUpdate()
        for name, peer in list(self.zone_peers.items()):
            if name == origin or now - peer.last_seen_at > STALE_TIMEOUT_S:
                peer.direct = False
                if peer.loads:
                    update.loads[name] = dict.fromkeys(peer.loads, 0)
                    for instance, count in peer.loads.items():
                        self._adjust_zone_load(instance, -count)
                    peer.loads.clear()
                if now - peer.last_seen_at > LEFT_MEMBER_TTL_S * 6:
                    del self.zone_peers[name]
        for zone, zone_state in list(self.remote_zones.items()):
            if now - zone_state.last_seen_at > STALE_TIMEOUT_S and zone_state.loads:
                update.loads[ZONE_PREFIX + zone] = dict.fromkeys(zone_state.loads, 0)
                zone_state.loads.clear()
            if now - zone_state.last_seen_at > LEFT_MEMBER_TTL_S * 6:
                del self.remote_zones[zone]
        return update


def _rank_key(zone: str, duty: str) -> str:
    return f"{zone}/{duty}"
