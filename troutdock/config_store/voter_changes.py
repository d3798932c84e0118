"""Who votes and who keeps copies: which change of these would bear more (no I/O, no clock).

Nothing is changed here: an active primary asks what is better than it stands, and seals a record that says
so, one voter at a time. The old list of voters is dropped only by a later record, so that of any two lists
that can decide, one was written down by more than half of the other.
"""

from __future__ import annotations

from troutdock.config_store.replica_state import State


def spares(state: State) -> list[str]:
    """Machines that do not vote, and could."""
    voters = state.voters
    found = [
        peer
        for peer, known in state.peers.items()
        if peer not in voters and state.stays(peer) and known.status is not None and not known.status.blank
    ]
    return found if state.me in voters else [*found, state.me]


def lost(state: State) -> list[str]:
    """Voters that are leaving, then those that were not heard for too long."""
    voters = [v for v in state.voters if v != state.me]
    leaving = [v for v in voters if state.heard(v) and not state.stays(v)]
    silent = [v for v in voters if state.now - state.last_heard(v) > state.bounds.voter_lost_s]
    return [*leaving, *(v for v in silent if v not in leaving)]


def next_voters(state: State) -> tuple[list[str], str] | None:
    """The voters that would be better, and why; None where they are as good as they can be."""
    voters, free = state.voters, spares(state)
    if not free:
        return None
    places = [state.places.get(v) for v in voters]
    gone = lost(state)[:1]
    if not gone and len(voters) < state.bounds.voters:
        joins = _joins(state, free, places)
        return [*voters, joins], f"{joins} votes as well"
    if not gone and state.bounds.apart:
        # more than half in one place, whose loss is to be borne
        full = next((p for p in places if p is not None and places.count(p) * 2 > len(places)), None)
        elsewhere = [p for p in free if state.places.get(p) not in (None, full)]
        if full is not None and elsewhere:
            gone, free = [v for v in voters if state.places.get(v) == full and v != state.me][:1], elsewhere
    if not gone:
        return None
    left = [state.places.get(v) for v in voters if v not in gone]
    joins = _joins(state, free, left)
    return [joins if v in gone else v for v in voters], f"{joins} votes in place of {gone[0]}"


def _joins(state: State, free: list[str], places: list[str | None]) -> str:
    return min(free, key=lambda p: (places.count(state.places.get(p)), p))


def required(state: State) -> int:
    """Copies without which nothing is confirmed: as many as are left whenever a majority of voters is."""
    return min(state.bounds.copies, len(state.voters) // 2 + 1)


def backups(state: State, but: list[str]) -> list[str]:
    """Who would best keep copies beside this machine, of those that are there."""
    record = state.kept.record
    former = record.replicas if record is not None else []
    voters = state.voters
    free = [p for p in state.peers if state.stays(p) and p not in but]
    chosen: list[str] = []
    while free and len(chosen) < state.bounds.copies - 1:
        stands = [state.me, *chosen]

        def worth(peer: str, stands: list[str] = stands) -> tuple[object, ...]:
            shares = any(state.near(peer, other) for other in stands)
            known = state.peers[peer].status
            blank = known is None or known.blank
            return state.bounds.apart and shares, blank, peer not in former, peer not in voters, shares, peer

        chosen.append(min(free, key=worth))
        free.remove(chosen[-1])
    return chosen


def places_of(state: State, machines: list[str]) -> int:
    """In how many places these stand; one whose place is not known stands by itself."""
    return len({state.places.get(m, m) for m in machines})


def not_borne(state: State, copies: list[str]) -> list[str]:
    """What operators should know: which of the losses that the settings name would cost something."""
    bounds, voters = state.bounds, state.voters
    places = [state.places.get(v, v) for v in voters]
    found = []
    if len(copies) < bounds.copies:
        found.append(f"{len(copies)} of {bounds.copies} copies")
    if bounds.apart and places_of(state, copies) < min(len(copies), bounds.losses + 1):
        found.append(f"copies lie in {places_of(state, copies)} place" + "s" * (places_of(state, copies) > 1))
    if bounds.apart and any(places.count(p) * 2 > len(places) for p in places):
        found.append("more than half of the voters stand in one place")
    if len(voters) < bounds.voters:
        borne = (len(voters) - 1) // 2
        found.append(f"{len(voters)} voters: changes stop with the loss of {borne + 1}")
    return found
