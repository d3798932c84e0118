"""Fault tolerance for 1 to 9 machines: number of replicas and voters, and simultaneous losses."""

from __future__ import annotations

import itertools

import pytest

from msgspec import Raw

from troutdock.config_store.configuration_requests import ClientRequests
from troutdock.config_store.voter_changes import unmet_tolerance
from troutdock.config_store.replica_state import FaultTolerance, DurableState, Peer, ReplicaState
from troutdock.rpc.messages import ReadAck, Record, Status, Write


@pytest.mark.parametrize(
    ("bounds", "copies", "voters", "apart"),
    [
        (FaultTolerance(0), 2, 3, False),
        (FaultTolerance(1), 2, 3, False),
        (FaultTolerance(2), 3, 5, False),
        (FaultTolerance(0, zones=1), 2, 3, True),
        (FaultTolerance(2, zones=1), 3, 5, True),
        (FaultTolerance(1, regions=2), 3, 5, True),
    ],
)
def test_replicas_and_voters_follow_the_fault_tolerance(
    bounds: FaultTolerance, copies: int, voters: int, apart: bool
) -> None:
    assert (bounds.replica_count, bounds.voter_count, bounds.requires_spread) == (copies, voters, apart)


def state_of(bounds: FaultTolerance, voters: list[str], places: list[str], copies: list[str]) -> ReplicaState:
    state = ReplicaState(
        voters[0],
        bounds,
        1,
        DurableState(blank=False, record=Record(2, copies[0], copies[1:], voters), given=2),
        0.0,
    )
    state.domains = dict(zip(voters, places, strict=False))
    for ip in voters[1:]:
        state.peers[ip] = Peer(Status(2, state.durable.record, 0, False, False, True, voters), 0.0, 0.0, 0.0)
    return state


@pytest.mark.parametrize(
    ("bounds", "places", "copies", "said"),
    [
        (FaultTolerance(1), "abc", 2, ""),
        (FaultTolerance(1), "ab", 2, "2 voters: a loss of 1 stops writes"),
        (FaultTolerance(1), "a", 1, "1 of 2 replicas"),
        (FaultTolerance(2), "abc", 3, "3 voters: a loss of 2 stops writes"),
        (FaultTolerance(2), "abcde", 3, ""),
        (FaultTolerance(2), "abcde", 2, "2 of 3 replicas"),
        (FaultTolerance(1, zones=1), "aab", 2, "more than half of the voters are in one failure domain"),
        (FaultTolerance(1, zones=1), "aab", 2, "replicas are in 1 failure domain"),
        (FaultTolerance(1, zones=1), "abc", 2, ""),
    ],
)
def test_unmet_tolerance_is_described(bounds: FaultTolerance, places: str, copies: int, said: str) -> None:
    voters = [f"10.0.0.{n}" for n in range(1, len(places) + 1)]
    state = state_of(bounds, voters, list(places), voters[:copies])
    found = unmet_tolerance(state, voters[:copies])
    assert (said in "; ".join(found)) if said else not found, found


@pytest.mark.parametrize(
    ("machines", "losses"), [(n, f) for n, f in itertools.product(range(1, 10), (0, 1, 2)) if n >= 2 * f + 1]
)
def test_simultaneous_losses_lose_no_acknowledged_write(machines: int, losses: int) -> None:
    from cluster import Cluster

    for seed in range(3):
        cluster = Cluster(seed, machines, losses=losses)
        cluster.run(12.0)
        primary = cluster.primary
        assert primary is not None, f"no primary among {machines} machines"
        cluster.put(primary, 1)
        cluster.run(0.5)
        assert cluster.acknowledged == 1
        names = [primary, *(ip for ip in cluster.machines if ip != primary)]
        lost = [names[(seed * 2 + i) % machines] for i in range(losses)]
        for ip in lost:
            cluster.wipe(ip)
        cluster.run(6.0)
        assert cluster.primary is not None, f"{machines} machines, {lost} of {losses} lost"
        cluster.put(cluster.primary, 2)
        cluster.run(0.5)
        number = cluster.read(cluster.primary)
        cluster.run(0.5)
        assert cluster.acknowledged == 2 and any(
            isinstance(a, ReadAck) and (a.number, a.version) == (number, 2) for a in cluster.answers
        )


# guards against: the primary held the body of every queued write, 64 of the longest
def test_the_store_keeps_the_body_of_the_highest_queued_write_only() -> None:
    durable = DurableState(blank=False, voters=("10.0.0.1",))
    state = ReplicaState("10.0.0.1", FaultTolerance(), 1, durable, 0.0)
    requests = ClientRequests(state, _EstablishedContact())  # type: ignore[arg-type]
    for number, version in enumerate((5, 9, 7, 8)):
        requests.write("@r", Write(number, version, Raw(b'"%d"' % version)))
    assert [write.body for write in requests._queue] == [b"", b'"9"', b"", b""]
    batch = requests.next_batch()
    assert batch is not None and batch[:2] == (9, b'"9"')
    assert [version for version, _ in batch[2]] == [5, 9, 7, 8]


class _EstablishedContact:
    established = True
