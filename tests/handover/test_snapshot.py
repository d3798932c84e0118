"""Snapshots passed from one gateway to the next: one owner of each budget, restored completely or not at all."""

from __future__ import annotations

import copy
import json
from dataclasses import replace
from typing import Any

import pytest
from build import START, ended, fleet, gateway, request
from hypothesis import given
from hypothesis import strategies as st

from troutdock.admission import Gateway, snapshot
from troutdock.admission.interface import (
    CounterAdd,
    CounterReply,
    Effect,
    Fail,
    Group,
    Outcome,
    Plan,
    Refuse,
    RequestClass,
    Send,
    AttemptSettled,
)

READ = RequestClass(1500, 6000, 3, Effect.SAFE, name="read")
BOOK = RequestClass(1000, 4000, 5, Effect.KEYED, Group.ALL, 3000, name="book")
PLUS = Plan(10, 20, ceiling_rate=20, ceiling_burst=40, ceiling_slack=1, name="plus")
OLD = 60_000.0


def made(**changes: Any) -> Gateway:
    return gateway(**{"classes": (READ, BOOK), "plans": (PLUS,), **changes})


def passed_on(g: Gateway, **changes: Any) -> Gateway:
    heir = made(**changes)
    snapshot.restore(heir, json.loads(json.dumps(snapshot.take(g))))
    return heir


def lets_in(g: Gateway, now: float, tries: int, first: int = 1000) -> int:
    done = 0
    for number in range(first, first + tries):
        for action in g.handle(now, request(number, width=1)):
            if isinstance(action, Send):
                done += 1
                g.handle(now, ended(number, action.backend, took=10))
    return done


@given(st.lists(st.tuples(st.floats(0, 3000), st.integers(1, 30)), min_size=1, max_size=8), st.integers(0, 7))
def test_bucket_and_ceiling_are_those_of_one_gateway_however_often_it_is_replaced(
    steps: list[tuple[float, int]], replaced: int
) -> None:
    """The same requests at one gateway and at a chain of successors: each customer gets the same admissions."""
    one, row = made(), made()
    now, number = START + OLD, 1
    for g in (one, row):
        g.handle(now, request(999_999, width=1))
    for turn, (gap, tries) in enumerate(steps):
        now += gap
        number += tries
        if turn & replaced or replaced == 0:
            row = passed_on(row)
        for g in (one, row):
            lets_in(g, now, tries, number)
        mine, theirs = one.customers[9], row.customers[9]
        assert mine.cap_tokens >= -1e-6 and theirs.cap_tokens >= -1e-6
        assert theirs.filled_at == mine.filled_at
    # admissions of both gateways: never more than the ceiling allows since the start
    gave = PLUS.ceiling_burst + (now - START) / 1000 * PLUS.ceiling_rate
    assert row.customers[9].answers <= gave


def test_what_was_given_away_is_spent_by_the_successor_only() -> None:
    g = made()
    lets_in(g, START + OLD, 5)
    heir = passed_on(g)
    assert lets_in(g, START + OLD, 40, 2000) == 0
    assert all(
        isinstance(g.handle(START + OLD, request(n, customer=77, width=1))[0], Refuse) for n in (3001, 3002)
    )
    before = heir.customers[9].cap_tokens
    assert 0 < lets_in(heir, START + OLD, 40, 4000) <= before


def test_what_is_open_at_the_older_one_ends_there_and_may_be_tried_again() -> None:
    g = made()
    sent = g.handle(START + OLD, request(1))[0]
    passed_on(g)
    assert isinstance(sent, Send)
    told, again, copy = g.handle(START + OLD + 10, ended(1, sent.backend, Outcome.CONNECT_FAILED))
    assert isinstance(again, Send) and again.backend != sent.backend
    assert isinstance(told, AttemptSettled) and told.outcome is Outcome.CONNECT_FAILED
    assert isinstance(copy, AttemptSettled) and copy.outcome is None and copy.backend == again.backend


def test_a_retired_gateway_sends_nothing_to_a_cold_backend() -> None:
    g = made()
    sent = g.handle(START + OLD, request(1))[0]
    assert isinstance(sent, Send)
    snapshot.take(g)
    g.handle(START + OLD, fleet(1, 2, 3, 4, up=START + OLD - 100))
    assert isinstance(g.handle(START + OLD + 10, ended(1, sent.backend, Outcome.CONNECT_FAILED))[1], Refuse)


def test_a_payment_that_may_have_run_is_known_to_the_successor() -> None:
    for after, kind in ((1000, Send), (3500, Fail)):
        g = made()
        arrival = request(1, 1, width=1)
        arrival.key = 77
        assert isinstance(g.handle(START + OLD, arrival)[0], Send)
        heir = passed_on(g)
        retry = request(2, 1, width=1)
        retry.key = 77
        assert isinstance(heir.handle(START + OLD + after, retry)[0], kind), after


def test_a_successor_knows_what_work_takes_and_which_backend_is_slow() -> None:
    g = made()
    for number in range(1, 30):
        sent = g.handle(START + OLD + 20 * number, request(number, customer=number))[0]
        if isinstance(sent, Send):
            took = 900.0 if sent.backend == 1 else 60.0
            g.handle(START + OLD + 20 * number + 1, ended(number, sent.backend, took=took))
    heir = passed_on(g)
    now = START + OLD + 700
    assert heir.pools[0].unit_ms == g.pools[0].unit_ms and heir.pools[0].mean_work == g.pools[0].mean_work
    for number, backend in g.backends.items():
        assert heir.backends[number].slowness[0].now(now) == pytest.approx(backend.slowness[0].now(now))


def test_classes_and_plans_are_found_by_their_names() -> None:
    g = made()
    g.pools[0].unit_ms = [11.0, 22.0]
    lets_in(g, START + OLD, 1)
    new = RequestClass(500, 1000, 1, Effect.SAFE, name="new")
    heir = passed_on(g, classes=(new, BOOK, READ))
    assert heir.pools[0].unit_ms == pytest.approx([50.0, 22.0, 11.0], rel=0.01) and 9 in heir.customers
    g = made()
    lets_in(g, START + OLD, 1)
    assert 9 not in passed_on(g, plans=(Plan(1, 1, name="other"),)).customers


def test_a_backend_that_has_started_anew_is_not_taken_for_the_old_one() -> None:
    g = made()
    g.backends[1].heard_at = START + 5
    heir = made()
    heir.handle(START, fleet(1, 2, 3, 4, up=START - 10))
    snapshot.restore(heir, snapshot.take(g))
    assert heir.backends[1].heard_at != START + 5


def test_a_successor_that_dies_gives_back_all_but_what_it_may_have_spent() -> None:
    g = made()
    lets_in(g, START + OLD, 2)
    snapshot.take(g)
    snapshot.resume(g, START + OLD)
    assert g.customers[9].cap_tokens == 0
    assert lets_in(g, START + OLD + 1000, 40, 5000) <= 20  # the ceiling's allowance in that second


def broken(state: Any, path: list[Any], value: Any) -> Any:
    wrong = copy.deepcopy(state)
    inner = wrong
    for step in path[:-1]:
        inner = inner[step]
    if value is KeyError:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return wrong


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", 1),
        ("version", KeyError),
        ("classes", KeyError),
        ("classes", ["read"]),
        ("customers", 7),
        ("customers.rows.0", [1, 2]),
        ("customers.rows.0.5", 0.0),
        ("customers.rows.0.5", "x"),
        ("customers.fields", [7]),
        ("customers.rows.0.4", float("nan")),
        ("pools.rows.0.3", [1.0]),
        ("pools.rows.0.3.0", -1.0),
        ("pools.rows.0.1", [1.0]),
        ("backends.rows.0.5", []),
        ("backends.rows.0.1", None),
        ("booked.rows.0.2", ["nowhere", 0]),
        ("booked.rows.0", "x"),
        ("attempts.rows.0.7", 5),
        ("attempts.rows.0.5", -1.0),
        ("asking", True),
        ("", 1),
    ],
)
def test_a_state_that_makes_no_sense_changes_nothing(path: str, value: Any) -> None:
    g = made()
    arrival = request(1, 1, width=1)
    arrival.key = 5
    g.handle(START + OLD, arrival)
    state = json.loads(json.dumps(snapshot.take(g)))
    assert state["customers"]["rows"] and state["booked"]["rows"] and state["attempts"]["rows"]
    heir = made()
    before = json.dumps(snapshot.take(heir))
    steps = [int(step) if step.isdigit() else step for step in path.split(".")]
    with pytest.raises(ValueError, match=r"."):
        snapshot.restore(heir, broken(state, steps, value) if path else [state])
    assert json.dumps(snapshot.take(heir)) == before


def test_a_state_of_another_version_is_read_as_far_as_it_is_known() -> None:
    """State of a newer build has more fields, of an older one fewer; both are reported, the rest is restored."""
    g = made()
    lets_in(g, START + OLD, 3)
    state = snapshot.take(g)
    state["version"], state["weather"] = 9, "fine"
    state["customers"]["fields"].append("mood")
    for row in state["customers"]["rows"]:
        row.append("good")
    del state["booked"]
    column = state["backends"]["fields"].index("cold_turn")
    for row in [state["backends"]["fields"], *state["backends"]["rows"]]:
        del row[column]
    heir = made()
    assert snapshot.restore(heir, state) == [
        "weather",
        "customers.mood",
        "no backends.cold_turn",
        "no booked",
    ]
    assert heir.customers[9].cap_tokens == g.customers[9].cap_tokens


def test_what_a_retired_gateway_still_sends_or_refuses_of_a_payment_is_known_to_the_next() -> None:
    """Sent only now: a retry past the backends' window fails. Rejected unsent: a retry counts as new."""
    for sent, kind in ((True, Fail), (False, Send)):
        g = made(counter=True, counter_timeout_ms=50, plans=(replace(PLUS, ceiling_rate=0, ceiling_burst=0),))
        arrival = request(1, 1, width=1)
        arrival.key = 77
        todo, counted = g.handle(START + OLD, request(999, customer=9, width=1)), 0.0
        while todo:
            if isinstance(action := todo.pop(0), CounterAdd):
                counted += action.amount
                todo += g.handle(START + OLD, CounterReply(action.name, Outcome.OK, 1.0, counted))
        g.customers[9].tokens, g.customers[9].debt = 0.0, 1.0
        (count,) = [
            a for a in g.handle(START + OLD + 1, arrival) if isinstance(a, CounterAdd)
        ]  # waits for its response
        heir = passed_on(g)
        counted += count.amount if sent else 1000.0
        for action in g.handle(START + OLD + 2, CounterReply(count.name, Outcome.OK, 1.0, counted)):
            if isinstance(action, AttemptSettled):
                assert action.key == 77 and (action.attempt == -1) == (not sent)
                heir.handle(START + OLD + 2, action)
        assert (heir.keyed.entries[77][1] is None) == (not sent)
        heir.customers[9].tokens = 20.0
        retry = request(2, 1, width=1)
        retry.key = 77
        assert isinstance(heir.handle(START + OLD + 3500, retry)[0], kind), sent


def test_a_report_of_what_is_not_known_ends_nothing_else() -> None:
    """Two gateways later an index may be reused, a class removed, or a backend restarted."""
    first, second = made(), made()
    first.handle(START + OLD, request(5, width=1))
    second = passed_on(first)
    second.handle(START + OLD, request(6, customer=8, width=1))
    third = passed_on(second, classes=(BOOK,))
    out = sum(len(b.out) for b in third.backends.values())
    assert out == 2
    unknown = AttemptSettled(
        6, 0, Outcome.OK, 1, cls="read", customer=9, plan="plus", true_units=1.5, units=0.5
    )
    (told,) = second.handle(START + OLD + 5, unknown)  # of the first one; none received by the second
    before = [s.value for b in third.backends.values() for s in b.slowness]
    third.handle(START + OLD + 5, told)
    assert sum(len(b.out) for b in third.backends.values()) == 2 and third.customers[9].answers == 1
    backend = next(n for n, b in first.backends.items() if b.out)
    (told, *_) = first.handle(START + OLD + 9, ended(5, backend, took=900.0))
    (told,) = second.handle(START + OLD + 9, told)
    third.handle(START + OLD + 9, told)
    assert sum(len(b.out) for b in third.backends.values()) == 1
    assert [s.value for b in third.backends.values() for s in b.slowness] == before  # reads are no class here


@given(st.lists(st.sampled_from(["send", "ok", "fail", "replace", "end"]), max_size=40), st.randoms())
def test_load_and_units_follow_what_is_out_through_any_row_of_gateways(steps: list[str], dice: Any) -> None:
    """Each gateway reports to the next; the last one counts all load and all use."""
    row, out, now, number, answered = [made()], {}, START + OLD, 0, 0
    sends: dict[int, int] = {}

    def act(owner: int, event: Any) -> list[Any]:
        actions = row[owner].handle(now, event)
        for action in actions:
            if isinstance(action, AttemptSettled) and owner + 1 < len(row):
                act(owner + 1, action)
            if isinstance(action, Send):
                out[action.request] = owner, action.backend, sends.get(action.request, 0)
                sends[action.request] = sends.get(action.request, 0) + 1
        return actions

    for step in steps:
        now += 50.0
        if step == "send":
            number += 1
            act(len(row) - 1, request(number, customer=9, width=1))
        elif step == "replace":
            row.append(passed_on(row[-1]))
        elif step in ("ok", "fail") and out:
            mine = dice.choice(sorted(out))
            owner, backend, attempt = out.pop(mine)
            outcome = Outcome.OK if step == "ok" else Outcome.CONNECT_FAILED
            answered += outcome is Outcome.OK
            act(owner, ended(mine, backend, outcome, attempt, took=40.0, units=1.5))
        elif step == "end" and len(row) > 1:  # all earlier ones have ended
            for mine in [m for m, (owner, *_) in out.items() if owner < len(row) - 1]:
                del out[mine]
            snapshot.forget(row[-1])
        last = row[-1]
        assert sum(len(b.out) for b in last.backends.values()) == len(out)
        assert all(
            b.load == pytest.approx(sum(sent[1] for sent in b.out.values())) for b in last.backends.values()
        )
        if last.customers:
            assert last.customers[9].answers == answered
