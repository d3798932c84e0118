"""Backends as every process knows them: a book that merges in any order to the same (no I/O, no clock).

What is said of an instance only rises: available, then draining, then gone. A new start is a new id. So
word may come twice, late, or by any way, and nobody goes back. Gone ones stay as tombstones for GONE_S, and
MOST_GONE at most, so that late word of them changes nothing; one may be gone that was never heard of (no
service, no address). Times are seconds of the owner's steady clock; on the way only spans are told.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from troutdock.rpc.messages import GONE, READY, Instance

TOMBSTONE_TTL_S = (
    300.0  # a tombstone's time: longer than a cut or a machine's loss that somebody comes back from
)
MAX_TOMBSTONES = 8192  # tombstones, the newest: some releases of all backends of the largest site
MAX_ENDPOINTS = 100_000  # instances that a book holds


def tombstone(id: str) -> Instance:
    """Word that this one is gone, where nothing else is known of it."""
    return Instance(id, "", "", "", 1, GONE)


@dataclass(slots=True)
class Endpoint:
    """One instance. warm_at: when it is as quick as ever; heard_at: its last sign of life, by any way."""

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

    def to_instance(self, now: float) -> Instance:
        """As it is said to others now."""
        warm_s = max(0.0, round(self.warm_at - now, 3))
        return Instance(self.id, self.service, self.address, self.zone, self.slots, self.state, warm_s)


class EndpointTable:
    """Instances by id."""

    def __init__(self) -> None:
        self.entries: dict[str, Endpoint] = {}
        self.changed: dict[str, None] = {}  # ids, since the owner last looked; also those that were dropped
        self._by_service: dict[str, dict[str, None]] = {}  # ids by service
        self._by_address: dict[str, dict[str, None]] = {}  # ids by address, without those that are gone

    def services(self) -> list[str]:
        """Those that have instances."""
        return list(self._by_service)

    def service_of(self, id: str) -> str:
        """Whose an instance is, nothing where it is not known."""
        entry = self.entries.get(id)
        return entry.service if entry is not None else ""

    def instances_of(self, service: str) -> list[str]:
        """Its instances by id, also those that are gone."""
        return list(self._by_service.get(service, ()))

    def merge(self, now: float, updates: Iterable[Instance], from_instance: bool = False) -> list[Endpoint]:
        """Take word in.

        Gives the entries that are new or have risen. beat: it comes from the instance itself.
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
        """Those whose address another one serves at now have ended: a start has its id for life."""
        gone = [self.entries[id] for id in self._by_address.get(successor.address, ()) if id != successor.id]
        for entry in gone:
            self._advance(now, entry, GONE)
        return gone

    def _advance(self, now: float, entry: Endpoint, state: int) -> None:
        entry.state, entry.changed_at = state, now
        self.changed[entry.id] = None
        if state == GONE and (address_ids := self._by_address.get(entry.address)) is not None:
            address_ids.pop(entry.id, None)
            if not address_ids:
                del self._by_address[entry.address]

    def snapshot(self, now: float, all_states: bool = True) -> list[Instance]:
        """Everything, as it is said to others."""
        return [
            entry.to_instance(now) for entry in self.entries.values() if all_states or entry.state != GONE
        ]

    def record_heartbeats(self, now: float, ids: Iterable[str]) -> list[Endpoint]:
        """Signs of life; gives those that were silent before."""
        resumed = []
        for id in ids:
            entry = self.entries.get(id)
            if entry is not None:
                entry.last_seen_at = now
                if entry.silent:
                    entry.silent = False
                    resumed.append(entry)
        return resumed

    def mark_silent(self, now: float, after_s: float) -> list[Endpoint]:
        """Those that have become silent: nothing was heard of them for so long."""
        found = [
            e
            for e in self.entries.values()
            if not e.silent and e.state == READY and now - e.last_seen_at > after_s
        ]
        for entry in found:
            entry.silent = True
        return found

    def includes(self, update: Instance) -> bool:
        """This state of it is known here, or a later one."""
        entry = self.entries.get(update.id)
        return entry is not None and entry.state >= update.state

    def newer_than(self, updates: Iterable[Instance]) -> list[Endpoint]:
        """Those of which a later state is known here than this word says: who said it is behind."""
        found = (self.entries.get(update.id) for update in updates if update.state != GONE)
        reported_state = {update.id: update.state for update in updates}
        return [entry for entry in found if entry is not None and entry.state > reported_state[entry.id]]

    def expire(self, now: float, expire_after_s: float) -> list[Endpoint]:
        """Drop what has long been gone; give what was silent for so long, which is gone from now on."""
        expired, gone = [], []
        for entry in list(self.entries.values()):
            if entry.state == GONE:
                if now - entry.changed_at > TOMBSTONE_TTL_S:
                    self._remove(entry)
                else:
                    gone.append(entry)
            elif now - entry.last_seen_at > expire_after_s:
                self._advance(now, entry, GONE)
                expired.append(entry)
        if len(gone) > MAX_TOMBSTONES:
            gone.sort(key=lambda entry: entry.changed_at)
            for entry in gone[:-MAX_TOMBSTONES]:
                self._remove(entry)
        return expired

    def _remove(self, entry: Endpoint) -> None:
        del self.entries[entry.id]
        self.changed[entry.id] = None
        if (service_ids := self._by_service.get(entry.service)) is not None:
            service_ids.pop(entry.id, None)
            if not service_ids:
                del self._by_service[entry.service]
