"""Who votes and who keeps copies: which change of these would bear more (no I/O, no clock).

Nothing is changed here: an active primary asks what is better than it stands, and seals a record that says
so, one voter at a time. The old list of voters is dropped only by a later record, so that of any two lists
that can decide, one was written down by more than half of the other.
"""

from __future__ import annotations

from troutdock.config_store.replica_state import ReplicaState


def spare_machines(state: ReplicaState) -> list[str]:
    """Machines that do not vote, and could."""
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
    """Voters that are leaving, then those that were not heard for too long."""
    voters = [v for v in state.voters if v != state.me]
    leaving = [v for v in voters if state.is_alive(v) and not state.is_available(v)]
    silent = [v for v in voters if state.now - state.last_seen_at(v) > state.tolerance.voter_timeout_s]
    return [*leaving, *(v for v in silent if v not in leaving)]


def next_voters(state: ReplicaState) -> tuple[list[str], str] | None:
    """The voters that would be better, and why; None where they are as good as they can be."""
    voters, free = state.voters, spare_machines(state)
    if not free:
        return None
    domains = [state.domains.get(v) for v in voters]
    replaced = lost_voters(state)[:1]
    if not replaced and len(voters) < state.tolerance.voter_count:
        joining = _best_spare(state, free, domains)
        return [*voters, joining], f"{joining} votes as well"
    if not replaced and state.tolerance.requires_spread:
        # more than half in one place, whose loss is to be borne
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
    return [joining if v in replaced else v for v in voters], f"{joining} votes in place of {replaced[0]}"


def _best_spare(state: ReplicaState, free: list[str], domains: list[str | None]) -> str:
    return min(free, key=lambda p: (domains.count(state.domains.get(p)), p))


def required_replicas(state: ReplicaState) -> int:
    """Copies without which nothing is confirmed: as many as are left whenever a majority of voters is."""
    return min(state.tolerance.replica_count, len(state.voters) // 2 + 1)


def choose_backups(state: ReplicaState, excluded: list[str]) -> list[str]:
    """Who would best keep copies beside this machine, of those that are there."""
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
    """In how many places these stand; one whose place is not known stands by itself."""
    return len({state.domains.get(m, m) for m in machines})


def unmet_tolerance(state: ReplicaState, copies: list[str]) -> list[str]:
    """What operators should know: which of the losses that the settings name would cost something."""
    tolerance, voters = state.tolerance, state.voters
    domains = [state.domains.get(v, v) for v in voters]
    found = []
    if len(copies) < tolerance.replica_count:
        found.append(f"{len(copies)} of {tolerance.replica_count} copies")
    if tolerance.requires_spread and count_domains(state, copies) < min(len(copies), tolerance.losses + 1):
        found.append(
            f"copies lie in {count_domains(state, copies)} place" + "s" * (count_domains(state, copies) > 1)
        )
    if tolerance.requires_spread and any(domains.count(p) * 2 > len(domains) for p in domains):
        found.append("more than half of the voters stand in one place")
    if len(voters) < tolerance.voter_count:
        tolerated = (len(voters) - 1) // 2
        found.append(f"{len(voters)} voters: changes stop with the loss of {tolerated + 1}")
    return found
