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

GONE_S = 300.0  # a tombstone's time: longer than a cut or a machine's loss that somebody comes back from
MOST_GONE = 8192  # tombstones, the newest: some releases of all backends of the largest site
MOST = 100_000  # instances that a book holds


def tombstone(id: str) -> Instance:
    """Word that this one is gone, where nothing else is known of it."""
    return Instance(id, "", "", "", 1, GONE)


@dataclass(slots=True)
class Entry:
    """One instance. warm_at: when it is as quick as ever; heard_at: its last sign of life, by any way."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: int
    warm_at: float
    heard_at: float
    changed_at: float
    silent: bool = False

    def told(self, now: float) -> Instance:
        """As it is said to others now."""
        warm_s = max(0.0, round(self.warm_at - now, 3))
        return Instance(self.id, self.service, self.address, self.zone, self.slots, self.state, warm_s)


class Book:
    """Instances by id."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.changed: dict[str, None] = {}  # ids, since the owner last looked; also those that were dropped
        self._of: dict[str, dict[str, None]] = {}  # ids by service
        self._at: dict[str, dict[str, None]] = {}  # ids by address, without those that are gone

    def services(self) -> list[str]:
        """Those that have instances."""
        return list(self._of)

    def service_of(self, id: str) -> str:
        """Whose an instance is, nothing where it is not known."""
        entry = self.entries.get(id)
        return entry.service if entry is not None else ""

    def instances_of(self, service: str) -> list[str]:
        """Its instances by id, also those that are gone."""
        return list(self._of.get(service, ()))

    def hear(self, now: float, word: Iterable[Instance], beat: bool = False) -> list[Entry]:
        """Take word in.

        Gives the entries that are new or have risen. beat: it comes from the instance itself.
        """
        risen: list[Entry] = []
        for said in word:
            known = self.entries.get(said.id)
            if known is None:
                if len(self.entries) >= MOST:
                    continue
                known = Entry(
                    said.id,
                    said.service,
                    said.address,
                    said.zone,
                    said.slots,
                    said.state,
                    now + said.warm_s,
                    now,
                    now,
                )
                self.entries[said.id] = known
                if said.service:
                    self._of.setdefault(said.service, {})[said.id] = None
                if said.state != GONE:
                    self._at.setdefault(said.address, {})[said.id] = None
                risen.append(known)
                self.changed[said.id] = None
                if beat and said.state != GONE:
                    risen += self._replaced(now, known)
            elif said.state > known.state:
                self._rise(now, known, said.state)
                risen.append(known)
            if beat:
                known.heard_at = now
        return risen

    def _replaced(self, now: float, by: Entry) -> list[Entry]:
        """Those whose address another one serves at now have ended: a start has its id for life."""
        gone = [self.entries[id] for id in self._at.get(by.address, ()) if id != by.id]
        for entry in gone:
            self._rise(now, entry, GONE)
        return gone

    def _rise(self, now: float, entry: Entry, state: int) -> None:
        entry.state, entry.changed_at = state, now
        self.changed[entry.id] = None
        if state == GONE and (at := self._at.get(entry.address)) is not None:
            at.pop(entry.id, None)
            if not at:
                del self._at[entry.address]

    def told(self, now: float, all_states: bool = True) -> list[Instance]:
        """Everything, as it is said to others."""
        return [entry.told(now) for entry in self.entries.values() if all_states or entry.state != GONE]

    def alive(self, now: float, ids: Iterable[str]) -> list[Entry]:
        """Signs of life; gives those that were silent before."""
        back = []
        for id in ids:
            entry = self.entries.get(id)
            if entry is not None:
                entry.heard_at = now
                if entry.silent:
                    entry.silent = False
                    back.append(entry)
        return back

    def silenced(self, now: float, after_s: float) -> list[Entry]:
        """Those that have become silent: nothing was heard of them for so long."""
        found = [
            e
            for e in self.entries.values()
            if not e.silent and e.state == READY and now - e.heard_at > after_s
        ]
        for entry in found:
            entry.silent = True
        return found

    def knows(self, said: Instance) -> bool:
        """This state of it is known here, or a later one."""
        entry = self.entries.get(said.id)
        return entry is not None and entry.state >= said.state

    def later(self, word: Iterable[Instance]) -> list[Entry]:
        """Those of which a later state is known here than this word says: who said it is behind."""
        found = (self.entries.get(said.id) for said in word if said.state != GONE)
        said_of = {said.id: said.state for said in word}
        return [entry for entry in found if entry is not None and entry.state > said_of[entry.id]]

    def forget(self, now: float, silent_s: float) -> list[Entry]:
        """Drop what has long been gone; give what was silent for so long, which is gone from now on."""
        lost, gone = [], []
        for entry in list(self.entries.values()):
            if entry.state == GONE:
                if now - entry.changed_at > GONE_S:
                    self._drop(entry)
                else:
                    gone.append(entry)
            elif now - entry.heard_at > silent_s:
                self._rise(now, entry, GONE)
                lost.append(entry)
        if len(gone) > MOST_GONE:
            gone.sort(key=lambda entry: entry.changed_at)
            for entry in gone[:-MOST_GONE]:
                self._drop(entry)
        return lost

    def _drop(self, entry: Entry) -> None:
        del self.entries[entry.id]
        self.changed[entry.id] = None
        if (of := self._of.get(entry.service)) is not None:
            of.pop(entry.id, None)
            if not of:
                del self._of[entry.service]
