"""What the parts of a replica share: its disk, whom it has met, what is to be done (no I/O, no clock).

A part reads and changes this and knows of no other part but those below it (see config_store.replica).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf

import msgspec

from troutdock.rpc.messages import NO_BODY, Message, Record, Status

SILENT_S = 1.0  # who was not heard for so long is taken for lost: three tellings
LEDGER = 128  # numbers of configurations that are remembered with their digests


@dataclass(frozen=True, slots=True)
class Bounds:
    """What is to be borne at once, and the operators' times, in seconds; from the settings file.

    machines, zones, regions: that may be lost. sync_s: a machine that is back counts as lost for so long.
    grace_s: from SIGTERM to SIGKILL.
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0
    sync_s: float = 4.0
    grace_s: float = 6.0

    @property
    def losses(self) -> int:
        """Machines, or places of machines, that may be lost at once: one at least."""
        return max(1, self.machines, self.zones, self.regions)

    @property
    def copies(self) -> int:
        """Machines that hold each confirmed configuration: one is left after all losses."""
        return self.losses + 1

    @property
    def voters(self) -> int:
        """More than half of them are left after all losses."""
        return 2 * self.losses + 1

    @property
    def apart(self) -> bool:
        """Copies and voters are to stand in several places, as a whole one may be lost."""
        return bool(self.zones or self.regions)

    @property
    def voter_lost_s(self) -> float:
        """A voter that was not heard for so long is replaced: well before the next loss may come.

        Longer than a restart takes; half of sync_s leaves the other half for the change itself.
        """
        return max(SILENT_S * 1.5, self.sync_s / 2)


@dataclass(frozen=True, slots=True)
class Kept:
    """What is on the disk. version 0: no configuration yet.

    blank: a disk was lost, and what this one promised is not known yet. given: the epoch under which all that
    was confirmed before lies here; a record of a later one names this machine in vain. taken: the newest
    numbers with the digests of their bodies, by number.
    """

    promised: int = 0
    record: Record | None = None
    version: int = 0
    body: bytes = b""
    voters: tuple[str, ...] = ()
    blank: bool = True
    given: int = 0
    taken: tuple[tuple[int, str], ...] = ()

    @property
    def digest(self) -> str:
        """Of the body; nothing where there is none."""
        return next((digest for version, digest in reversed(self.taken) if version == self.version), "")


def ledger(taken: Iterable[tuple[int, str]], more: Iterable[tuple[int, str]]) -> tuple[tuple[int, str], ...]:
    """Taken numbers with further ones; the lowest are forgotten beyond LEDGER."""
    found = dict(taken)
    for version, digest in more:
        found.setdefault(version, digest)
    return tuple(sorted(found.items())[-LEDGER:])


@dataclass(slots=True)
class Save:
    """Write this down and sync it, before any later action is carried out."""

    kept: Kept


@dataclass(slots=True)
class Send:
    """To another replica, or back to who has called."""

    to: str
    message: Message


@dataclass(slots=True)
class InForce:
    """This configuration is on every copy from now on; the version only rises."""

    version: int
    body: bytes


@dataclass(slots=True)
class Log:
    """A change that operators should see."""

    text: str


Action = Save | Send | InForce | Log


@dataclass(slots=True)
class Peer:
    """What was heard of another replica."""

    status: Status | None = None
    heard_at: float = -inf
    met_at: float = -inf
    led_at: float = -inf  # when it last said that it is the active primary, or was met


class State:
    """One replica's; now is the time of the event that is being handled, seconds of a steady clock."""

    def __init__(self, me: str, bounds: Bounds, life: int, kept: Kept, now: float) -> None:
        self.me, self.bounds, self.life, self.kept = me, bounds, life, kept
        self.now = self.began = now
        self.peers: dict[str, Peer] = {}
        self.places: dict[str, str] = {}  # zones or regions, by machine
        self.actions: list[Action] = []
        self.epoch = 0  # under which this one leads, or tries to

    # ---- what is to be done

    def save(self, **changes: object) -> None:
        """Change what is on the disk."""
        self.kept = replace(self.kept, **changes)  # type: ignore[arg-type]
        self.actions.append(Save(self.kept))

    def send(self, to: str, message: Message) -> None:
        """Tell somebody."""
        self.actions.append(Send(to, message))

    def log(self, text: str) -> None:
        """Tell operators."""
        self.actions.append(Log(text))

    # ---- who is there

    def heard(self, peer: str) -> bool:
        """It has told what it is a moment ago."""
        known = self.peers.get(peer)
        return known is not None and self.now - known.heard_at <= SILENT_S

    def stays(self, peer: str) -> bool:
        """It is heard, and does not say that it is about to end."""
        status = self.peers[peer].status if self.heard(peer) else None
        return status is not None and not status.leaving

    def last_heard(self, peer: str) -> float:
        """When; for one that was never met, since this life began."""
        known = self.peers.get(peer)
        return max(known.heard_at, known.met_at) if known is not None else self.began

    def leader(self) -> str | None:
        """Who is heard to be the active primary."""
        found = [
            (known.status.promised, peer)
            for peer, known in self.peers.items()
            if known.status is not None and known.status.active and self.heard(peer)
        ]
        return max(found)[1] if found else None

    def near(self, peer: str, other: str) -> bool:
        """Both stand in one place, and may be lost together."""
        place = self.places.get(other)
        return place is not None and self.places.get(peer) == place

    # ---- whose word counts

    def lists(self, record: Record | None) -> list[list[str]]:
        """More than half of each of these decides, where that record is the newest."""
        voters = record.voters if record is not None and record.voters else list(self.kept.voters)
        before = record.before if record is not None else []
        return [voters, before] if before and before != voters else [voters]

    @property
    def voters(self) -> list[str]:
        """Whose promises count, by the newest record known here."""
        return self.lists(self.kept.record)[0]

    @property
    def core(self) -> list[str]:
        """Whom the newest record names: those that this one has to reach, whatever the seeds are now."""
        record = self.kept.record
        named = record.replicas if record is not None else []
        voters = [v for voters in self.lists(record) for v in voters]
        return [ip for ip in dict.fromkeys([*voters, *named]) if ip]

    def enough(self, yes: Collection[str] | Mapping[str, object], record: Record | None) -> bool:
        """More than half of each list is among these."""
        return all(sum(v in yes for v in voters) > len(voters) // 2 for voters in self.lists(record))

    def member(self, record: Record) -> bool:
        """All that was confirmed under it, and before it, is here."""
        return self.me in record.replicas and self.kept.given >= record.epoch

    @property
    def holds(self) -> bool:
        """This machine has all that was confirmed under the newest record it knows of."""
        record = self.kept.record
        return not self.kept.blank and record is not None and self.member(record)


def raw(body: bytes) -> msgspec.Raw:
    """A body as messages carry it."""
    return msgspec.Raw(body) if body else NO_BODY
