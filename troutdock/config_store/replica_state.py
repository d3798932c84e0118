"""What the parts of a replica share: its disk, whom it has met, what is to be done (no I/O, no clock).

A part reads and changes this and knows of no other part but those below it (see config_store.replica).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf

import msgspec

from troutdock.rpc.messages import NO_BODY, Message, Record, Status

PEER_TIMEOUT_S = 1.0  # who was not heard for so long is taken for lost: three tellings
MAX_STORED_DIGESTS = 128  # numbers of configurations that are remembered with their digests


@dataclass(frozen=True, slots=True)
class FaultTolerance:
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
    def replica_count(self) -> int:
        """Machines that hold each confirmed configuration: one is left after all losses."""
        return self.losses + 1

    @property
    def voter_count(self) -> int:
        """More than half of them are left after all losses."""
        return 2 * self.losses + 1

    @property
    def requires_spread(self) -> bool:
        """Copies and voters are to stand in several places, as a whole one may be lost."""
        return bool(self.zones or self.regions)

    @property
    def voter_timeout_s(self) -> float:
        """A voter that was not heard for so long is replaced: well before the next loss may come.

        Longer than a restart takes; half of sync_s leaves the other half for the change itself.
        """
        return max(PEER_TIMEOUT_S * 1.5, self.sync_s / 2)


@dataclass(frozen=True, slots=True)
class DurableState:
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


def merge_digests(
    taken: Iterable[tuple[int, str]], more: Iterable[tuple[int, str]]
) -> tuple[tuple[int, str], ...]:
    """Taken numbers with further ones; the lowest are forgotten beyond LEDGER."""
    found = dict(taken)
    for version, digest in more:
        found.setdefault(version, digest)
    return tuple(sorted(found.items())[-MAX_STORED_DIGESTS:])


@dataclass(slots=True)
class Save:
    """Write this down and sync it, before any later action is carried out."""

    durable: DurableState


@dataclass(slots=True)
class Send:
    """To another replica, or back to who has called."""

    to: str
    message: Message


@dataclass(slots=True)
class Committed:
    """This configuration is on every copy from now on; the version only rises."""

    version: int
    body: bytes


@dataclass(slots=True)
class Log:
    """A change that operators should see."""

    text: str


Action = Save | Send | Committed | Log


@dataclass(slots=True)
class Peer:
    """What was heard of another replica."""

    status: Status | None = None
    status_at: float = -inf
    discovered_at: float = -inf
    active_at: float = -inf  # when it last said that it is the active primary, or was met


class ReplicaState:
    """One replica's; now is the time of the event that is being handled, seconds of a steady clock."""

    def __init__(
        self, me: str, tolerance: FaultTolerance, incarnation: int, durable: DurableState, now: float
    ) -> None:
        self.me, self.tolerance, self.incarnation, self.durable = me, tolerance, incarnation, durable
        self.now = self.started_at = now
        self.peers: dict[str, Peer] = {}
        self.domains: dict[str, str] = {}  # zones or regions, by machine
        self.actions: list[Action] = []
        self.epoch = 0  # under which this one leads, or tries to

    # ---- what is to be done

    def save(self, **changes: object) -> None:
        """Change what is on the disk."""
        self.durable = replace(self.durable, **changes)  # type: ignore[arg-type]
        self.actions.append(Save(self.durable))

    def send(self, to: str, message: Message) -> None:
        """Tell somebody."""
        self.actions.append(Send(to, message))

    def log(self, text: str) -> None:
        """Tell operators."""
        self.actions.append(Log(text))

    # ---- who is there

    def is_alive(self, peer: str) -> bool:
        """It has told what it is a moment ago."""
        known = self.peers.get(peer)
        return known is not None and self.now - known.status_at <= PEER_TIMEOUT_S

    def is_available(self, peer: str) -> bool:
        """It is heard, and does not say that it is about to end."""
        status = self.peers[peer].status if self.is_alive(peer) else None
        return status is not None and not status.leaving

    def last_seen_at(self, peer: str) -> float:
        """When; for one that was never met, since this life began."""
        known = self.peers.get(peer)
        return max(known.status_at, known.discovered_at) if known is not None else self.started_at

    def leader(self) -> str | None:
        """Who is heard to be the active primary."""
        found = [
            (known.status.promised, peer)
            for peer, known in self.peers.items()
            if known.status is not None and known.status.active and self.is_alive(peer)
        ]
        return max(found)[1] if found else None

    def shares_domain(self, peer: str, other: str) -> bool:
        """Both stand in one place, and may be lost together."""
        domain = self.domains.get(other)
        return domain is not None and self.domains.get(peer) == domain

    # ---- whose word counts

    def voter_lists(self, record: Record | None) -> list[list[str]]:
        """More than half of each of these decides, where that record is the newest."""
        voters = record.voters if record is not None and record.voters else list(self.durable.voters)
        before = record.before if record is not None else []
        return [voters, before] if before and before != voters else [voters]

    @property
    def voters(self) -> list[str]:
        """Whose promises count, by the newest record known here."""
        return self.voter_lists(self.durable.record)[0]

    @property
    def members(self) -> list[str]:
        """Whom the newest record names: those that this one has to reach, whatever the seeds are now."""
        record = self.durable.record
        named = record.replicas if record is not None else []
        voters = [v for voters in self.voter_lists(record) for v in voters]
        return [ip for ip in dict.fromkeys([*voters, *named]) if ip]

    def has_quorum(self, granted: Collection[str] | Mapping[str, object], record: Record | None) -> bool:
        """More than half of each list is among these."""
        return all(
            sum(v in granted for v in voters) > len(voters) // 2 for voters in self.voter_lists(record)
        )

    def is_complete_for(self, record: Record) -> bool:
        """All that was confirmed under it, and before it, is here."""
        return self.me in record.replicas and self.durable.given >= record.epoch

    @property
    def is_up_to_date(self) -> bool:
        """This machine has all that was confirmed under the newest record it knows of."""
        record = self.durable.record
        return not self.durable.blank and record is not None and self.is_complete_for(record)


def raw_body(body: bytes) -> msgspec.Raw:
    """A body as messages carry it."""
    return msgspec.Raw(body) if body else NO_BODY
