"""The design's ordinary path, with figures worked out by hand."""

from __future__ import annotations

import pytest
from build import SAFE, START, ended, gateway, request

from troutdock.admission.gateway import Customer
from troutdock.admission.interface import (
    CounterAdd,
    CounterReply,
    Outcome,
    Plan,
    Refuse,
    RequestWithdrawn,
    Send,
    SetTimer,
)
from troutdock.admission.counter_names import counter_name

PLAN = Plan(rate=8, burst=16)


def only(actions: list, kind: type) -> list:
    return [a for a in actions if isinstance(a, kind)]


def test_bucket_starts_at_the_even_split() -> None:
    c = Customer(PLAN, 4, START)
    assert (c.share, c.tokens) == (0.25, 4.0)
    c.tokens = 0.0
    c.refill(START + 500)  # 8 / 4 units a second for half a second
    assert c.tokens == pytest.approx(1.0)
    c.refill(START + 60_000)
    assert c.tokens == pytest.approx(4.0)


def bucket(tokens: float, **changes):
    """A gateway that has one customer with so much in its bucket, of 4 units at most; no counter."""
    g = gateway(*range(1, 30), plans=(PLAN,), gateways=4, **changes)
    g.customers[9] = c = Customer(PLAN, 4, START, 9)
    c.tokens = tokens
    return g, c


@pytest.mark.parametrize(
    ("tokens", "retry", "age_ms", "kind"),
    [
        (1.05, False, 0, Refuse),
        (1.1, False, 0, Send),  # new ones leave a little to retries that can be in time
        (1.05, True, 1000, Send),
        (0.95, True, 1000, Refuse),  # which may empty the bucket
        (1.1, True, 2000, Refuse),
        (3.3, True, 2000, Refuse),
        (3.5, True, 2000, Send),
    ],
)  # the late take what is spare
def test_who_may_take_the_last_of_a_bucket(tokens: float, retry: bool, age_ms: float, kind: type) -> None:
    """Of 4 units: a class with an aim of 1.5 s and a deadline of 6 s."""
    g, _ = bucket(tokens, marks_retry=True)
    assert only(g.handle(START, request(1, width=4, retry=retry, left=6000.0 - age_ms)), kind)


@pytest.mark.parametrize(("left", "kind"), [(4000.0, Send), (3990.0, Send), (3500.0, Refuse)])
def test_a_retry_with_the_time_out_of_a_first_try_is_not_taken_for_late(left: float, kind: type) -> None:
    """Clients that give each try two thirds of the deadline: the time-out tells an age only once it is cut short."""
    g, c = bucket(4.0, marks_retry=True)
    g.handle(START, request(1, customer=8, width=4, left=4000.0))
    c.tokens = 1.1
    assert only(g.handle(START, request(2, width=4, retry=True, left=left)), kind)


def test_a_customer_beyond_its_quota_is_served_in_time_though_all_that_are_refused_return() -> None:
    """Three times what the quota gives, and every refused try comes back once, after its aim.

    What is served in time is near to what the quota gives; with the late ones first it was next to nothing.
    """
    g, _ = bucket(4.0, marks_retry=True)
    due: list[tuple[float, int]] = []
    in_time = late = number = 0
    for step in range(1, 1201):  # a minute: a new try each 50 ms, where the slice gives one each 500 ms
        now = START + 50.0 * step
        tries = [(False, 0.0)]
        while due and due[0][0] <= now:
            tries.insert(0, (True, now - due.pop(0)[1]))
        for retry, age in tries:
            number += 1
            actions = g.handle(now, request(number, width=4, retry=retry, left=6000.0 - age))
            if sent := only(actions, Send):
                g.handle(now, ended(number, sent[0].backend, took=20.0))
                in_time, late = in_time + (not retry), late + retry
            elif not retry:
                due.append((now + 1600.0, now))
    assert in_time >= 110 and late <= 12


def test_a_full_bucket_lets_a_larger_request_pass_where_nothing_can_be_asked() -> None:
    for tokens, kind in ((4.0, Send), (3.9, Refuse)):
        g, _ = bucket(tokens)
        assert only(g.handle(START, request(1, width=4, units=6.0)), kind)


def test_a_dry_slice_grows_by_half_each_second_up_to_the_whole_quota() -> None:
    c = Customer(PLAN, 4, START)
    shares = []
    for n in range(1, 6):
        c.dry = True
        c.adjust_share(START + n * 1000, False)
        c.dry = True
        c.adjust_share(START + n * 1000 + 500, False)  # within the second: held
        shares.append(c.share)
    assert shares == [0.375, 0.5625, 0.84375, 1.0, 1.0]
    c.dry = False
    c.adjust_share(START + 9000, False)
    assert c.share == 1.0


def test_an_over_used_slice_falls_back_toward_the_even_split_and_no_further() -> None:
    c = Customer(PLAN, 4, START)
    c.share = 1.0
    c.adjust_share(START + 1000, True)
    assert c.share == pytest.approx(0.625)  # half of 0.75 above the even 0.25
    for n in range(60):
        c.dry = True
        c.adjust_share(START + 2000 + n * 1000, True)
    assert c.share == pytest.approx(0.25)


def test_no_growth_while_the_shared_store_has_no_room() -> None:
    c = Customer(PLAN, 4, START)
    c.dry, c.store = True, 7.0  # of 16
    c.adjust_share(START + 1000, False)
    assert c.share == 0.25


def test_one_answer_tells_the_shared_store_by_itself() -> None:
    """Two readings a minute apart, or a restarted gateway, could not be compared."""
    c = Customer(PLAN, 4, START)
    assert c.apply_counter_total(START, 100.0, 2.0, 12_000.0) == 0.0  # 16 - 100 + 8 x 12 = 12, less 2
    assert c.store == pytest.approx(10.0)


def test_the_bucket_holds_no_more_than_the_shared_store_and_is_lifted_to_its_slice_of_it() -> None:
    c = Customer(PLAN, 2, START)
    c.apply_counter_total(START, 14.0, 0.0, 0.0)
    assert c.tokens == pytest.approx(2.0)
    c.apply_counter_total(START, 1.0, 0.0, 0.0)  # 15 of 16: room
    assert c.tokens == pytest.approx(7.5)


def test_a_store_that_ran_over_is_told_to_the_name() -> None:
    c = Customer(PLAN, 4, START)
    assert c.apply_counter_total(START, 4.0, 1.0, 2000.0) == pytest.approx(
        12.0
    )  # 16 - 4 + 16 is 12 above the burst
    assert c.store == pytest.approx(15.0)


def test_a_fresh_name_takes_over_what_was_missing() -> None:
    """Each minute's new name, or a lost counter, would else give every heavy customer a new burst."""
    c = Customer(PLAN, 4, START)
    c.store, c.told_at = 0.0, START
    assert c.apply_counter_total(START + 500, 0.0, 0.0, 100.0) == pytest.approx(16 + 0.8 - 4)
    assert c.store == pytest.approx(4.0)


def test_diba_appends_while_the_queue_is_at_its_end() -> None:
    """Rate 2 units a second here, 2 units a request, sigma 0: one return a second."""
    c = Customer(PLAN, 4, START)
    waits = [c.return_time(START, 2.0, 0.0) for _ in range(3)]
    # 1st: length 1, now + 1000 - end (now) = 1000, not < 1000: append at end + 1000.
    # 2nd: length 2, now + 2000 - (now + 1000) = 1000: append. 3rd the same.
    assert waits == pytest.approx([1000, 2000, 3000])
    assert c.end_of_queue_time == pytest.approx(START + 3000)
    assert len(c.appointments) == 3


def test_diba_inserts_when_the_rate_has_risen() -> None:
    c = Customer(PLAN, 4, START)
    for _ in range(3):
        c.return_time(START, 2.0, 0.0)
    c.share = 1.0  # 8 units a second: a return each 250 ms
    # length 4: now + 1000 - (now + 3000) < 250: insert at now + 1000, the end stays.
    assert c.return_time(START, 2.0, 0.0) == pytest.approx(1000)
    assert c.end_of_queue_time == pytest.approx(START + 3000)


def test_a_past_end_of_queue_becomes_now() -> None:
    c = Customer(PLAN, 4, START)
    c.return_time(START, 2.0, 0.0)
    assert c.return_time(START + 5000, 2.0, 0.0) == pytest.approx(1000)
    assert c.end_of_queue_time == pytest.approx(START + 6000)


def test_the_spread_of_units_quickens_the_returns() -> None:
    c = Customer(PLAN, 4, START)
    c.answers, c.unit_sum, c.unit_squares = 1, 1.0, 1.0
    # One answer: sigma counts as nothing; 2 units a second / 1 unit.
    assert c.return_time(START, 5.0, 0.0) == pytest.approx(500)
    c.answers, c.unit_sum, c.unit_squares = 2, 4.0, 10.0
    # mu 2, sigma 1: 2 / 2 x 1.5 a second; two in line: append one interval after the end at 500.
    assert c.return_time(START, 5.0, 0.0) == pytest.approx(500 + 2000 / 3)


def test_the_queue_is_never_below_nought() -> None:
    g, c = bucket(4.0, marks_retry=True)
    g.handle(START, request(1, width=4, retry=True))
    assert not c.appointments


def test_due_appointments_leave_the_queue() -> None:
    c = Customer(PLAN, 4, START)
    for _ in range(3):
        c.return_time(START, 2.0, 0.0)
    c.return_time(START + 2000, 2.0, 0.0)
    assert len(c.appointments) == 2  # the third, and the new one


def test_a_marked_retry_leaves_the_queue_and_an_unmarked_one_waits_for_its_appointment() -> None:
    for marks, left in ((True, 0), (False, 1)):
        g = gateway(plans=(PLAN,), marks_retry=marks)
        g.customers[9] = c = Customer(PLAN, 2, START)
        c.tokens = 0.0
        assert only(g.handle(START, request(1)), Refuse)
        assert len(c.appointments) == 1
        c.tokens = 8.0
        assert only(g.handle(START + 10, request(2, retry=True)), Send)
        assert len(c.appointments) == left


def test_an_unkept_appointment_lapses_at_last() -> None:
    """Clients that never come back would otherwise hold their places for ever."""
    c = Customer(PLAN, 4, START)
    c.return_time(START, 2.0, 2000.0)
    c.return_time(START + 2999, 2.0, 2000.0)
    assert len(c.appointments) == 2
    c.return_time(START + 9000, 2.0, 2000.0)
    assert len(c.appointments) == 1


def test_beyond_the_bucket_a_try_is_refused_at_once_with_a_return_time() -> None:
    g = gateway(*range(1, 30), plans=(PLAN,))
    sent = refused = 0
    for n in range(20):
        actions = g.handle(START, request(n, units=1.0))
        sent += len(only(actions, Send))
        refused += len(only(actions, Refuse))
        assert all(r.retry_after_ms > 0 for r in only(actions, Refuse))
    assert (sent, refused) == (8, 12)


def test_true_units_are_settled_on_the_bucket() -> None:
    g = gateway(plans=(PLAN,), settled_after=True)
    (send,) = only(g.handle(START, request(1, units=2.0)), Send)
    assert g.customers[9].tokens == pytest.approx(6.0)
    owed = g.customers[9].debt
    g.handle(START, ended(1, send.backend, units=5.0))
    assert g.customers[9].tokens == pytest.approx(3.0)
    assert g.customers[9].debt == pytest.approx(owed + 3.0)


THIN = {"plans": (PLAN,), "counter": True, "counter_timeout_ms": 30.0, "gateways": 200}


def ask(g, number: int, now: float = START, **what) -> CounterAdd:
    """A try that the thin slice cannot tell is held, and its units asked for."""
    (count,) = g.handle(now, request(number, width=200, **what))
    assert isinstance(count, CounterAdd)
    return count


def held(**changes):
    g = gateway(*range(1, 30), **{**THIN, **changes})
    return g, ask(g, 1, units=4.0)


def answer(g, count: CounterAdd, total: float, outcome: Outcome = Outcome.OK, now: float = START + 3) -> list:
    return g.handle(now, CounterReply(count.name, outcome, 3.0, total))


def level_zero(g, count: CounterAdd, now: float = START + 3) -> float:
    """The total at which the store is empty."""
    return PLAN.burst + counter_name(now, count.name & (2**33 - 1), PLAN.name)[1] / 1000 * PLAN.rate


def test_a_slice_too_thin_for_one_request_asks_and_lets_in_what_the_store_holds() -> None:
    g, count = held()
    before = level_zero(g, count) - 6.0
    assert only(answer(g, count, before + count.amount), Send)


def test_what_the_store_does_not_hold_is_refused_with_a_return_time_and_given_back() -> None:
    g, count = held()
    actions = answer(g, count, level_zero(g, count) - 1.0 + count.amount)
    (refused,) = only(actions, Refuse)
    assert refused.retry_after_ms > 0
    assert sum(c.amount for c in only(actions, CounterAdd)) == pytest.approx(
        -count.amount, abs=0.08 * PLAN.burst
    )


def test_what_was_just_told_empty_is_refused_at_once() -> None:
    g, count = held()
    answer(g, count, level_zero(g, count) + count.amount)
    refused = sum(isinstance(g.handle(START + 4, request(n, width=200))[0], Refuse) for n in range(2, 22))
    assert refused == 20


def test_a_silent_counter_lets_the_last_told_store_decide_and_is_never_told_twice() -> None:
    for outcome in (Outcome.TIMEOUT, Outcome.FULL):
        g, count = held()
        g.asking = 0.0  # no further calls: what is owed stays to be seen
        owed = g.customers[9].debt
        assert only(answer(g, count, 0.0, outcome), Send)
        added = 0.0 if outcome is Outcome.TIMEOUT else count.amount
        assert g.customers[9].debt == pytest.approx(owed + added)


def test_a_held_try_whose_client_left_takes_nothing() -> None:
    g, count = held()
    g.handle(START + 1, RequestWithdrawn(1))
    actions = answer(g, count, level_zero(g, count) - 10.0 + count.amount)
    assert not only(actions, Send)
    assert sum(c.amount for c in only(actions, CounterAdd)) == pytest.approx(
        -count.amount, abs=0.08 * PLAN.burst
    )


def test_no_try_is_held_beyond_its_time() -> None:
    """Found on kolkata-fleet-later big-1: a client with 20 ms left was held for an answer that came too late."""
    g = gateway(**THIN)
    (final,) = g.handle(START, request(1, width=200, units=4.0, left=20.0))
    assert isinstance(final, Send | Refuse)


def test_an_answer_of_the_last_name_and_one_to_no_question_do_no_harm() -> None:
    g = gateway(*range(1, 30), **THIN)
    turn = START + 60_000 - counter_name(START, 9, PLAN.name)[1]
    count = ask(g, 2, turn - 1, units=4.0)
    assert answer(g, CounterAdd(77, 0.0, 0.0), 5.0) == []
    assert only(answer(g, count, 1e6, now=turn + 2), Send)  # it tells nothing of the name of now
    assert answer(g, count, 5.0) == []


def test_two_gateways_that_put_a_name_right_at_once_leave_it_right() -> None:
    """The later of two corrections is taken back, and that is not corrected again (rough-2: 16,484 such calls)."""
    total, queue = 0.0, []
    gates = [gateway(seed=n, **{**THIN, "index": n}) for n in range(5)]
    for g in gates:
        queue.append((g, ask(g, 1, units=4.0)))
    calls = 0
    while queue:
        g, count = queue.pop(0)
        total += count.amount
        calls += 1
        queue += [(g, c) for c in only(answer(g, count, total), CounterAdd)]
    age = counter_name(START + 3, 9, PLAN.name)[1]
    level = PLAN.burst - total + age / 1000 * PLAN.rate
    assert PLAN.burst - 21 <= level <= PLAN.burst + 1e-6
    assert calls <= 16


def test_reports_of_200_gateways_are_right_on_average() -> None:
    """A share below one lump still means something: each rounds by its own chance, none is starved."""
    used = told = 0.0
    for n in range(200):
        g = gateway(seed=n, **{**THIN, "index": n})
        used += 0.5
        told += sum(c.amount for c in only(g.handle(START, request(1, width=200, units=0.5)), CounterAdd))
    assert told == pytest.approx(used, rel=0.2)


def test_time_outs_of_the_counter_make_it_called_less_and_it_is_found_again() -> None:
    g = gateway(*range(1, 300), **THIN)

    def calls(first: int) -> int:
        found = 0
        for n in range(first, first + 200):
            for c in only(g.handle(START, request(n, 0, n, units=4.0, width=200)), CounterAdd):
                g.handle(START, CounterReply(c.name, Outcome.TIMEOUT, 30, 0.0))
                found += 1
        return found

    assert calls(0) < 40  # the first ones go unanswered
    assert calls(1000) < 20
    for n in range(2000, 9000):
        for c in only(g.handle(START, request(n, 0, n, width=200)), CounterAdd):
            g.handle(START, CounterReply(c.name, Outcome.OK, 3, c.amount))
    assert g.asking == 1.0


def test_no_timer_is_ever_set() -> None:
    g = gateway(*range(1, 30), **THIN)
    actions = [a for n in range(50) for a in g.handle(START + n, request(n, customer=n, width=200))]
    assert not only(actions, SetTimer)


def test_beyond_quota_is_sent_only_where_it_earns_more_than_it_costs() -> None:
    for plan, sends in ((Plan(1, 2, over_worth=0.3), 20), (Plan(1, 2, over_worth=0.3, over_cost=0.4), 1)):
        g = gateway(*range(1, 60), plans=(plan,), classes=(SAFE,))
        assert sum(len(only(g.handle(START, request(n)), Send)) for n in range(20)) == pytest.approx(
            sends, abs=1
        )


def test_idle_customers_are_forgotten() -> None:
    """A gateway in service for weeks must not keep every customer, call or question it ever saw."""
    g = gateway(*range(1, 9), **THIN)
    for n in range(3000):
        now = START + n * 100
        todo = g.handle(now, request(n, customer=n, width=200))
        while todo:
            match todo.pop():
                case CounterAdd(name, amount):
                    todo += g.handle(now, CounterReply(name, Outcome.OK, 3, amount))
                case Send(number, backend):
                    todo += g.handle(now, ended(number, backend))
    assert len(g.customers) <= 601 and not g.calls and not g.counter_calls


def test_a_meter_takes_the_counters_place() -> None:
    g = gateway(*range(1, 9), plans=(PLAN,), counter=True, meter_ms=1000)
    c = None
    for n, (used, share) in enumerate([(50.0, 0.5), (50.0, 0.75), (120.0, 0.625), (100.0, 0.5625)]):
        now = START + 1100 * n
        (send,) = g.handle(now, request(n, units=0.5))  # the only action: no timer, no call to the counter
        c = c or g.customers[9]
        c.dry = True
        event = ended(n, send.backend, took=50)
        event.used_percent = used
        g.handle(now + 50, event)
        assert c.share == pytest.approx(share)
