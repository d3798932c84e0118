"""Histories of assignments: any order of news, any repetition and any merge end alike."""

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
def test_any_order_of_news_ends_in_the_same_history(
    news: list[Assignment], dice: Any, customer: int, time: int
) -> None:
    """Two gateways that hear it in orders of their own, some of it twice, and tell each other; the model is a sort."""
    first, second = AssignmentHistory(), AssignmentHistory()
    for gateway in range(2):
        heard = [*news, *dice.sample(news, len(news) // 2)]
        dice.shuffle(heard)
        for assignment in heard[: len(heard) if gateway else len(heard) // 2]:
            if gateway:
                second = second.assign([assignment])
            else:
                first = first.assign([assignment])
    before = list(first)
    merged = first.merge(second)
    assert merged == second.merge(first) == AssignmentHistory().assign(news) and list(first) == before
    assert len(merged) == len(news) and merged.merge(merged) == merged
    valid = sorted(a for a in news if a.customer == customer and a.valid_from_ms <= time)
    assert merged.at(customer, time) == (valid[-1] if valid else None)
    later = sorted(a for a in news if a.customer == customer and a.valid_from_ms > time)
    expected = [a for a in later if a.valid_from_ms == later[0].valid_from_ms][-1] if later else None
    assert merged.next_after(customer, time) == expected


@given(ASSIGNMENTS, st.integers(0, 6), st.integers(0, 6), st.integers(1, 3))
def test_folding_changes_nothing_from_its_time_on_and_comes_to_the_same_in_any_order(
    news: list[Assignment], before: int, ask: int, customer: int
) -> None:
    whole = AssignmentHistory().assign(news)
    folded = whole.compact(before)
    time = float(max(before, ask))
    assert folded.at(customer, time) == whole.at(customer, time)
    assert folded.next_after(customer, time) == whole.next_after(customer, time)
    assert folded.merge(whole).compact(before) == folded and len(list(folded)) == len(folded)


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
def test_what_makes_no_sense_is_named_and_nothing_of_its_batch_is_taken(
    change: dict[str, Any], named: str
) -> None:
    known = AssignmentHistory().assign([GOOD])
    with pytest.raises(ValueError, match=named) as raised:
        known.assign([GOOD._replace(id="c", customer=8), GOOD._replace(**change)])
    assert isinstance(raised.value, ConflictError) == (named == "a-1")
    assert list(known) == [GOOD]


def test_a_reader_keeps_the_version_it_has_and_a_large_history_shares_the_rest() -> None:
    whole = AssignmentHistory().assign(Assignment(float(n), f"a-{n}", n, "basis") for n in range(20_000))
    reader = whole
    for n in range(100):
        whole = whole.assign([Assignment(1e6, f"b-{n}", n, "plus")])
    assert reader.at(5, 2e6).plan == "basis" and whole.at(5, 2e6).plan == "plus"
    assert len(reader) == 20_000 and len(whole) == 20_100
