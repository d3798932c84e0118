"""The endpoint table: what a process knows of the backends (no I/O, no clock).

The table is eventually consistent: merging the same updates in any order gives the same states. The state of
an instance only advances: available, draining, gone. A restarted backend has a new id. Therefore updates may
arrive twice, late or by any route, and no instance returns to an earlier state.

Silence is not a state, since a failure detector may be wrong at any time. An available instance that has been
silent for long has expired: it is not announced any more, to nobody and on no disk, but it is not gone. Its
next heartbeat, which any process may receive, refutes that. An instance that was draining had said that it
would end, so its silence means that it is gone.

Instances that are gone remain as tombstones for TOMBSTONE_TTL_S, and at most MAX_TOMBSTONES of them, so that
a late update does not revive them. A tombstone may be of an instance that was never seen; it then has no
service and no address. Times are in seconds of the owner's monotonic clock; messages contain only durations.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from troutdock.rpc.messages import GONE, READY, Instance

SILENT_INTERVALS = 2.5  # missed heartbeats until an instance is silent
EXPIRY_INTERVALS = 40.0  # missed heartbeats until a silent instance has expired
TOMBSTONE_TTL_S = 300.0  # longer than a partition or an outage from which a peer returns with old state
MAX_TOMBSTONES = 8192  # the newest are kept: a few rollouts of all backends of the largest site
MAX_ENDPOINTS = 100_000  # tombstones included


def tombstone(id: str) -> Instance:
    """Returns an update that marks an unknown instance as gone."""
    return Instance(id, "", "", "", 1, GONE)


@dataclass(slots=True)
class Endpoint:
    """An instance in the table.

    Attributes:
        slots: Requests that it processes concurrently.
        warm_at: When its warm-up ends.
        last_seen_at: When it was added or its last heartbeat was reported, by any route.
        changed_at: When its state last changed.
        silent: Whether its heartbeats have stopped.
        expired: Whether it has been silent for so long that it is not announced any more.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: int
    warm_at: float
    last_seen_at: float
    changed_at: float
    silent: bool = False
    expired: bool = False

    def to_instance(self, now: float) -> Instance:
        """Returns it as a message for other processes, with the warm-up time that remains."""
        warm_s = max(0.0, round(self.warm_at - now, 3))
        return Instance(self.id, self.service, self.address, self.zone, self.slots, self.state, warm_s)


class EndpointTable:
    """Instances by id, merged from updates of any order."""

    def __init__(self) -> None:
        self.entries: dict[str, Endpoint] = {}
        self.changed: dict[str, None] = {}  # ids added, changed or removed since the owner last cleared this
        self._by_service: dict[str, dict[str, None]] = {}  # ids by service
        self._by_address: dict[str, dict[str, None]] = {}  # ids by address, without those that are gone

    def services(self) -> list[str]:
        """Returns the services that have instances."""
        return list(self._by_service)

    def service_of(self, id: str) -> str:
        """Returns the service of an instance, or an empty string if it is unknown."""
        entry = self.entries.get(id)
        return entry.service if entry is not None else ""

    def instances_of(self, service: str) -> list[str]:
        """Returns the ids of a service's instances, including those that are gone."""
        return list(self._by_service.get(service, ()))

    def merge(self, now: float, updates: Iterable[Instance], from_instance: bool = False) -> list[Endpoint]:
        """Merges updates into the table.

        Args:
            now: Seconds of the monotonic clock.
            updates: Instances as reported; an update with an earlier state than the known one changes
                nothing.
            from_instance: Whether the updates are heartbeats of the instances themselves. A heartbeat of a
                new instance also marks older instances at the same address as gone.

        Returns:
            The entries that are new or whose state has advanced.
        """
        advanced: list[Endpoint] = []
        for update in updates:
            known = self.entries.get(update.id)
            if known is None:
                if len(self.entries) >= MAX_ENDPOINTS:
                    continue
                known = Endpoint(
                    update.id,
                    update.service,
                    update.address,
                    update.zone,
                    update.slots,
                    update.state,
                    now + update.warm_s,
                    now,
                    now,
                )
                self.entries[update.id] = known
                if update.service:
                    self._by_service.setdefault(update.service, {})[update.id] = None
                if update.state != GONE:
                    self._by_address.setdefault(update.address, {})[update.id] = None
                advanced.append(known)
                self.changed[update.id] = None
                if from_instance and update.state != GONE:
                    advanced += self._end_predecessors(now, known)
            elif update.state > known.state:
                self._advance(now, known, update.state)
                advanced.append(known)
            if from_instance:
                known.last_seen_at = now
        return advanced

    def _end_predecessors(self, now: float, successor: Endpoint) -> list[Endpoint]:
        """Marks instances at the address of a new one as gone, since an id lasts as long as its process."""
        gone = [self.entries[id] for id in self._by_address.get(successor.address, ()) if id != successor.id]
        for entry in gone:
            self._advance(now, entry, GONE)
        return gone

    def _advance(self, now: float, entry: Endpoint, state: int) -> None:
        entry.state, entry.changed_at, entry.expired = state, now, False
        self.changed[entry.id] = None
        if state == GONE and (address_ids := self._by_address.get(entry.address)) is not None:
            address_ids.pop(entry.id, None)
            if not address_ids:
                del self._by_address[entry.address]

    def snapshot(self, now: float, all_states: bool = True) -> list[Instance]:
        """Returns the entries that have not expired; without all_states, those that are gone are left out."""
        return [
            entry.to_instance(now)
            for entry in self.entries.values()
            if not entry.expired and (all_states or entry.state != GONE)
        ]

    def record_heartbeats(self, now: float, ids: Iterable[str]) -> list[Endpoint]:
        """Records heartbeats of these instances; returns those that were silent or expired before."""
        resumed = []
        for id in ids:
            entry = self.entries.get(id)
            if entry is not None:
                entry.last_seen_at = now
                if entry.silent or entry.expired:
                    if entry.expired:
                        self.changed[id] = None
                    entry.silent = entry.expired = False
                    resumed.append(entry)
        return resumed

    def mark_silent(self, now: float, after_s: float, observed_since: float = -inf) -> list[Endpoint]:
        """Marks available instances as silent after after_s seconds without a heartbeat; returns them.

        Args:
            now: Seconds of the monotonic clock.
            after_s: Seconds without a heartbeat.
            observed_since: Since when heartbeats would have been received; silence before does not count.
        """
        found = [
            e
            for e in self.entries.values()
            if not e.silent and e.state == READY and now - max(e.last_seen_at, observed_since) > after_s
        ]
        for entry in found:
            entry.silent = True
        return found

    def includes(self, update: Instance) -> bool:
        """Returns whether this state of the instance, or a later one, is in the table."""
        entry = self.entries.get(update.id)
        return entry is not None and entry.state >= update.state

    def newer_than(self, updates: Iterable[Instance]) -> list[Endpoint]:
        """Returns the entries with a later state than reported, so that the sender can be updated."""
        found = (self.entries.get(update.id) for update in updates if update.state != GONE)
        reported_state = {update.id: update.state for update in updates}
        return [entry for entry in found if entry is not None and entry.state > reported_state[entry.id]]

    def expire(self, now: float, expire_after_s: float, observed_since: float = -inf) -> list[Endpoint]:
        """Removes old tombstones and expired entries, and ends the announcement of long silent instances.

        Args:
            now: Seconds of the monotonic clock.
            expire_after_s: Seconds without a heartbeat after which an available instance has expired, and a
                draining one is gone.
            observed_since: Since when heartbeats would have been received; silence before does not count.

        Returns:
            The entries that are gone from now on.
        """
        ended, gone = [], []
        for entry in list(self.entries.values()):
            if entry.state == GONE or entry.expired:
                if now - entry.changed_at > TOMBSTONE_TTL_S:
                    self.remove(entry)
                else:
                    gone.append(entry)
            elif now - max(entry.last_seen_at, observed_since) > expire_after_s:
                if entry.state == READY:
                    entry.expired, entry.changed_at = True, now
                    self.changed[entry.id] = None
                else:
                    self._advance(now, entry, GONE)
                    ended.append(entry)
        if len(gone) > MAX_TOMBSTONES:
            gone.sort(key=lambda entry: entry.changed_at)
            for entry in gone[:-MAX_TOMBSTONES]:
                self.remove(entry)
        return ended

    def remove(self, entry: Endpoint) -> None:
        """Forgets an entry; a later update adds it again."""
        del self.entries[entry.id]
        self.changed[entry.id] = None
        if (service_ids := self._by_service.get(entry.service)) is not None:
            service_ids.pop(entry.id, None)
            if not service_ids:
                del self._by_service[entry.service]
        if (address_ids := self._by_address.get(entry.address)) is not None:
            address_ids.pop(entry.id, None)
            if not address_ids:
                del self._by_address[entry.address]
