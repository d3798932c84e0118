"""State shared by the parts of a replica: durable state, known peers, pending actions (no I/O, no clock).

Each part reads and changes this state, and depends only on the parts below it (see config_store.replica).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf

import msgspec

from troutdock.rpc.messages import NO_BODY, Message, Record, Status

PEER_TIMEOUT_S = 1.0  # a peer without a status for this long counts as lost: three status intervals
MAX_STORED_DIGESTS = 128  # committed versions whose digests are stored


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """Simultaneous losses to tolerate, and the operators' times; from the settings file.

    Attributes:
        machines, zones, regions: how many of each may be lost at once.
        sync_s: how long a machine that has returned still counts as lost, in seconds.
        grace_s: time from SIGTERM to SIGKILL, in seconds.
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0
    sync_s: float = 4.0
    grace_s: float = 6.0

    @property
    def losses(self) -> int:
        """Machines, or failure domains, that may be lost at once; at least one."""
        return max(1, self.machines, self.zones, self.regions)

    @property
    def replica_count(self) -> int:
        """Machines that store each committed configuration; one is left after all losses."""
        return self.losses + 1

    @property
    def voter_count(self) -> int:
        """Voters; more than half of them are left after all losses."""
        return 2 * self.losses + 1

    @property
    def requires_spread(self) -> bool:
        """Whether replicas and voters are spread over zones or regions, because a whole one may be lost."""
        return bool(self.zones or self.regions)

    @property
    def voter_timeout_s(self) -> float:
        """How long a voter may be silent before it is replaced.

        Longer than a restart takes. Half of sync_s leaves the other half for the change of voters, so that it
        is complete before the next loss may occur.
        """
        return max(PEER_TIMEOUT_S * 1.5, self.sync_s / 2)


@dataclass(frozen=True, slots=True)
class DurableState:
    """State on disk.

    Attributes:
        promised: highest epoch promised to a candidate.
        record: newest known membership record.
        version, body: newest configuration; version 0 if there is none yet.
        voters: voters to use while no record lists any.
        blank: the disk was lost, and what this machine had promised is not known yet.
        given: epoch whose primary has sent this machine all that was committed before. A record of a later
            epoch may name this machine as a replica, but its data is then incomplete.
        taken: newest committed or replicated versions with the digests of their bodies, by version.
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
        """Digest of the body; empty if there is none."""
        return next((digest for version, digest in reversed(self.taken) if version == self.version), "")


def merge_digests(
    taken: Iterable[tuple[int, str]], more: Iterable[tuple[int, str]]
) -> tuple[tuple[int, str], ...]:
    """Merges two lists of versions and digests; keeps the MAX_STORED_DIGESTS highest versions."""
    found = dict(taken)
    for version, digest in more:
        found.setdefault(version, digest)
    return tuple(sorted(found.items())[-MAX_STORED_DIGESTS:])


@dataclass(slots=True)
class Save:
    """Write the state and fsync it before any later action is executed."""

    durable: DurableState


@dataclass(slots=True)
class Send:
    """Send a message to another replica, or an answer to a client."""

    to: str
    message: Message


@dataclass(slots=True)
class Committed:
    """This configuration is on every replica now; versions only increase."""

    version: int
    body: bytes


@dataclass(slots=True)
class Log:
    """Log a change for operators."""

    text: str


Action = Save | Send | Committed | Log


@dataclass(slots=True)
class Peer:
    """What is known about another replica; times in seconds."""

    status: Status | None = None
    status_at: float = -inf
    discovered_at: float = -inf
    active_at: float = -inf  # when it last reported to be the active primary, or was discovered


class ReplicaState:
    """State of one replica; now is the time of the current event, in seconds of a monotonic clock."""

    def __init__(
        self, me: str, tolerance: FaultTolerance, incarnation: int, durable: DurableState, now: float
    ) -> None:
        self.me, self.tolerance, self.incarnation, self.durable = me, tolerance, incarnation, durable
        self.now = self.started_at = now
        self.peers: dict[str, Peer] = {}
        self.domains: dict[str, str] = {}  # failure domain (zone or region) by machine
        self.actions: list[Action] = []
        self.epoch = 0  # that this replica leads or tries to lead

    # ---- actions

    def save(self, **changes: object) -> None:
        """Changes the durable state and requests that it is saved."""
        self.durable = replace(self.durable, **changes)  # type: ignore[arg-type]
        self.actions.append(Save(self.durable))

    def send(self, to: str, message: Message) -> None:
        self.actions.append(Send(to, message))

    def log(self, text: str) -> None:
        self.actions.append(Log(text))

    # ---- liveness of peers

    def is_alive(self, peer: str) -> bool:
        """Whether the peer sent its status within PEER_TIMEOUT_S."""
        known = self.peers.get(peer)
        return known is not None and self.now - known.status_at <= PEER_TIMEOUT_S

    def is_available(self, peer: str) -> bool:
        """Whether the peer is alive and not about to leave."""
        status = self.peers[peer].status if self.is_alive(peer) else None
        return status is not None and not status.leaving

    def last_seen_at(self, peer: str) -> float:
        """When the peer was last seen; the start of this incarnation if it never was."""
        known = self.peers.get(peer)
        return max(known.status_at, known.discovered_at) if known is not None else self.started_at

    def leader(self) -> str | None:
        """The live peer that reports to be the active primary; None if there is none."""
        found = [
            (known.status.promised, peer)
            for peer, known in self.peers.items()
            if known.status is not None and known.status.active and self.is_alive(peer)
        ]
        return max(found)[1] if found else None

    def shares_domain(self, peer: str, other: str) -> bool:
        """Whether both machines are in the same failure domain and may be lost together."""
        domain = self.domains.get(other)
        return domain is not None and self.domains.get(peer) == domain

    # ---- quorums

    def voter_lists(self, record: Record | None) -> list[list[str]]:
        """Voter lists that apply while the record is the newest; a quorum needs more than half of each."""
        voters = record.voters if record is not None and record.voters else list(self.durable.voters)
        before = record.before if record is not None else []
        return [voters, before] if before and before != voters else [voters]

    @property
    def voters(self) -> list[str]:
        """Voters of the newest known record."""
        return self.voter_lists(self.durable.record)[0]

    @property
    def members(self) -> list[str]:
        """Machines named by the newest known record; they must be reached even if they are not seeds."""
        record = self.durable.record
        named = record.replicas if record is not None else []
        voters = [v for voters in self.voter_lists(record) for v in voters]
        return [ip for ip in dict.fromkeys([*voters, *named]) if ip]

    def has_quorum(self, granted: Collection[str] | Mapping[str, object], record: Record | None) -> bool:
        """Whether more than half of each voter list has granted."""
        return all(
            sum(v in granted for v in voters) > len(voters) // 2 for voters in self.voter_lists(record)
        )

    def is_complete_for(self, record: Record) -> bool:
        """Whether this machine stores all that was committed in the record's epoch and before."""
        return self.me in record.replicas and self.durable.given >= record.epoch

    @property
    def is_up_to_date(self) -> bool:
        """Whether this machine stores all that was committed in the epoch of its newest known record."""
        record = self.durable.record
        return not self.durable.blank and record is not None and self.is_complete_for(record)


def raw_body(body: bytes) -> msgspec.Raw:
    """Encodes a body for a message."""
    return msgspec.Raw(body) if body else NO_BODY
