"""Assignment histories converge for any order, repetition and merge of assignments."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from troutdock.plans.history import Assignment, ConflictError, AssignmentHistory

ASSIGNMENTS = st.lists(
    st.builds(
        Assignment,
        st.integers(0, 5).map(float),
        st.uuids().map(str),
        st.integers(1, 3),
        st.sampled_from(["basis", "standard", "plus"]),
        st.just("back office"),
        st.text(max_size=20),
    ),
    max_size=12,
    unique_by=lambda a: a.id,
)


@given(ASSIGNMENTS, st.randoms(), st.integers(1, 3), st.integers(-1, 6))
def test_order_of_assignments_does_not_matter(
    assignments: list[Assignment], random: Any, customer: int, time: int
) -> None:
    """Two gateways receive assignments in different orders, some twice, and merge; the model sorts them."""
    first, second = AssignmentHistory(), AssignmentHistory()
    for gateway in range(2):
        received = [*assignments, *random.sample(assignments, len(assignments) // 2)]
        random.shuffle(received)
        for assignment in received[: len(received) if gateway else len(received) // 2]:
            if gateway:
                second = second.assign([assignment])
            else:
                first = first.assign([assignment])
    before = list(first)
    merged = first.merge(second)
    assert merged == second.merge(first) == AssignmentHistory().assign(assignments) and list(first) == before
    assert len(merged) == len(assignments) and merged.merge(merged) == merged
    valid = sorted(a for a in assignments if a.customer == customer and a.valid_from_ms <= time)
    assert merged.at(customer, time) == (valid[-1] if valid else None)
    later = sorted(a for a in assignments if a.customer == customer and a.valid_from_ms > time)
    expected = [a for a in later if a.valid_from_ms == later[0].valid_from_ms][-1] if later else None
    assert merged.next_after(customer, time) == expected


@given(ASSIGNMENTS, st.integers(0, 6), st.integers(0, 6), st.integers(1, 3))
def test_compaction_keeps_later_times_and_commutes_with_merge(
    assignments: list[Assignment], before: int, asked_ms: int, customer: int
) -> None:
    history = AssignmentHistory().assign(assignments)
    folded = history.compact(before)
    time = float(max(before, asked_ms))
    assert folded.at(customer, time) == history.at(customer, time)
    assert folded.next_after(customer, time) == history.next_after(customer, time)
    assert folded.merge(history).compact(before) == folded and len(list(folded)) == len(folded)


GOOD = Assignment(1000.0, "a-1", 7, "plus", "back office", "ticket 12")


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"plan": "basis"}, "a-1"),
        (
            {
                "id": "",
            },
            "id is missing",
        ),
        ({"id": "b", "plan": ""}, "plan is missing"),
        ({"id": "b", "valid_from_ms": float("nan")}, "valid_from_ms"),
        ({"id": "b", "valid_from_ms": -1.0}, "valid_from_ms"),
        ({"id": "b", "customer": 2**33}, "customer"),
        ({"id": "b", "why": "x" * 201}, "why"),
    ],
)
def test_invalid_assignment_is_named_and_its_batch_is_rejected(change: dict[str, Any], named: str) -> None:
    known = AssignmentHistory().assign([GOOD])
    with pytest.raises(ValueError, match=named) as raised:
        known.assign([GOOD._replace(id="c", customer=8), GOOD._replace(**change)])
    assert isinstance(raised.value, ConflictError) == (named == "a-1")
    assert list(known) == [GOOD]


def test_readers_keep_their_version_of_a_large_history() -> None:
    history = AssignmentHistory().assign(Assignment(float(n), f"a-{n}", n, "basis") for n in range(20_000))
    reader = history
    for n in range(100):
        history = history.assign([Assignment(1e6, f"b-{n}", n, "plus")])
    assert reader.at(5, 2e6).plan == "basis" and history.at(5, 2e6).plan == "plus"
    assert len(reader) == 20_000 and len(history) == 20_100
