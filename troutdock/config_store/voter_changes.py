"""Selection of voters and backups that would tolerate more losses (no I/O, no clock).

The functions only propose: an active primary compares the proposal with the current members and puts it into
a new record, one change of voter at a time. The previous list of voters is dropped only by a later record, so
that of any two voter lists that can decide, one was stored by more than half of the other.
"""

from __future__ import annotations

from troutdock.config_store.replica_state import ReplicaState


def spare_machines(state: ReplicaState) -> list[str]:
    """Available machines that could become voters."""
    voters = state.voters
    found = [
        peer
        for peer, known in state.peers.items()
        if peer not in voters
        and state.is_available(peer)
        and known.status is not None
        and not known.status.blank
    ]
    return found if state.me in voters else [*found, state.me]


def lost_voters(state: ReplicaState) -> list[str]:
    """Voters that are leaving, followed by those that have been silent for too long."""
    voters = [v for v in state.voters if v != state.me]
    leaving = [v for v in voters if state.is_alive(v) and not state.is_available(v)]
    silent = [v for v in voters if state.now - state.last_seen_at(v) > state.tolerance.voter_timeout_s]
    return [*leaving, *(v for v in silent if v not in leaving)]


def next_voters(state: ReplicaState) -> tuple[list[str], str] | None:
    """Proposes a change of one voter, with the reason for the log; None if there is no better choice."""
    voters, free = state.voters, spare_machines(state)
    if not free:
        return None
    domains = [state.domains.get(v) for v in voters]
    replaced = lost_voters(state)[:1]
    if not replaced and len(voters) < state.tolerance.voter_count:
        joining = _best_spare(state, free, domains)
        return [*voters, joining], f"{joining} becomes a voter"
    if not replaced and state.tolerance.requires_spread:
        # more than half of the voters are in one failure domain, whose loss must be tolerated
        overfull = next((p for p in domains if p is not None and domains.count(p) * 2 > len(domains)), None)
        outside = [p for p in free if state.domains.get(p) not in (None, overfull)]
        if overfull is not None and outside:
            replaced, free = (
                [v for v in voters if state.domains.get(v) == overfull and v != state.me][:1],
                outside,
            )
    if not replaced:
        return None
    remaining = [state.domains.get(v) for v in voters if v not in replaced]
    joining = _best_spare(state, free, remaining)
    return [joining if v in replaced else v for v in voters], f"{joining} replaces voter {replaced[0]}"


def _best_spare(state: ReplicaState, free: list[str], domains: list[str | None]) -> str:
    return min(free, key=lambda p: (domains.count(state.domains.get(p)), p))


def required_replicas(state: ReplicaState) -> int:
    """Replicas required to commit: as many as are left whenever a majority of voters is left."""
    return min(state.tolerance.replica_count, len(state.voters) // 2 + 1)


def choose_backups(state: ReplicaState, excluded: list[str]) -> list[str]:
    """Selects the best backups for this machine among the available peers."""
    record = state.durable.record
    former = record.replicas if record is not None else []
    voters = state.voters
    free = [p for p in state.peers if state.is_available(p) and p not in excluded]
    chosen: list[str] = []
    while free and len(chosen) < state.tolerance.replica_count - 1:
        placed = [state.me, *chosen]

        def preference(peer: str, placed: list[str] = placed) -> tuple[object, ...]:
            shared = any(state.shares_domain(peer, other) for other in placed)
            known = state.peers[peer].status
            blank = known is None or known.blank
            return (
                state.tolerance.requires_spread and shared,
                blank,
                peer not in former,
                peer not in voters,
                shared,
                peer,
            )

        chosen.append(min(free, key=preference))
        free.remove(chosen[-1])
    return chosen


def count_domains(state: ReplicaState, machines: list[str]) -> int:
    """Number of failure domains of the machines; a machine without a known domain counts as its own."""
    return len({state.domains.get(m, m) for m in machines})


def unmet_tolerance(state: ReplicaState, replicas: list[str]) -> list[str]:
    """Describes for operators which of the configured losses are not tolerated at present."""
    tolerance, voters = state.tolerance, state.voters
    domains = [state.domains.get(v, v) for v in voters]
    found = []
    if len(replicas) < tolerance.replica_count:
        found.append(f"{len(replicas)} of {tolerance.replica_count} replicas")
    if tolerance.requires_spread and count_domains(state, replicas) < min(
        len(replicas), tolerance.losses + 1
    ):
        found.append(
            f"replicas are in {count_domains(state, replicas)} failure domain"
            + "s" * (count_domains(state, replicas) > 1)
        )
    if tolerance.requires_spread and any(domains.count(p) * 2 > len(domains) for p in domains):
        found.append("more than half of the voters are in one failure domain")
    if len(voters) < tolerance.voter_count:
        tolerated = (len(voters) - 1) // 2
        found.append(f"{len(voters)} voters: a loss of {tolerated + 1} stops writes")
    return found
