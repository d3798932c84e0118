"""The request path through quotas, with values calculated by hand."""

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
    """Returns a gateway with one customer whose bucket has the given tokens, of 4 at most; no counter."""
    g = gateway(*range(1, 30), plans=(PLAN,), gateways=4, **changes)
    g.customers[9] = c = Customer(PLAN, 4, START, 9)
    c.tokens = tokens
    return g, c


@pytest.mark.parametrize(
    ("tokens", "retry", "age_ms", "kind"),
    [
        (1.05, False, 0, Refuse),
        (1.1, False, 0, Send),  # first attempts leave a reserve to retries that can meet their target
        (1.05, True, 1000, Send),
        (0.95, True, 1000, Refuse),  # such retries may empty the bucket
        (1.1, True, 2000, Refuse),
        (3.3, True, 2000, Refuse),
        (3.5, True, 2000, Send),  # late retries only get what is left over
    ],
)
def test_first_attempts_and_late_retries_leave_a_reserve_in_the_bucket(
    tokens: float, retry: bool, age_ms: float, kind: type
) -> None:
    """A bucket of 4 units; a class with a latency target of 1.5 s and a deadline of 6 s."""
    g, _ = bucket(tokens, marks_retry=True)
    assert only(g.handle(START, request(1, width=4, retry=retry, left=6000.0 - age_ms)), kind)


@pytest.mark.parametrize(("left", "kind"), [(4000.0, Send), (3990.0, Send), (3500.0, Refuse)])
def test_a_retry_with_the_time_out_of_a_first_attempt_does_not_count_as_late(left: float, kind: type) -> None:
    """Clients may give each attempt two thirds of the deadline; only a shorter time-out reveals a retry's age."""
    g, c = bucket(4.0, marks_retry=True)
    g.handle(START, request(1, customer=8, width=4, left=4000.0))
    c.tokens = 1.1
    assert only(g.handle(START, request(2, width=4, retry=True, left=left)), kind)


def test_a_customer_over_quota_is_served_in_time_while_all_refused_clients_return() -> None:
    """Three times the quota's rate, and each refused request returns once, after its latency target.

    Requests served in time come close to the quota; with late retries served first they were close to none.
    """
    g, _ = bucket(4.0, marks_retry=True)
    due: list[tuple[float, int]] = []
    in_time = late = number = 0
    # one minute: a new request every 50 ms, while the slice admits one every 500 ms
    for step in range(1, 1201):
        now = START + 50.0 * step
        attempts = [(False, 0.0)]
        while due and due[0][0] <= now:
            attempts.insert(0, (True, now - due.pop(0)[1]))
        for retry, age in attempts:
            number += 1
            actions = g.handle(now, request(number, width=4, retry=retry, left=6000.0 - age))
            if sent := only(actions, Send):
                g.handle(now, ended(number, sent[0].backend, took=20.0))
                in_time, late = in_time + (not retry), late + retry
            elif not retry:
                due.append((now + 1600.0, now))
    assert in_time >= 110 and late <= 12


def test_a_full_bucket_admits_a_larger_request_without_counter_or_peers() -> None:
    for tokens, kind in ((4.0, Send), (3.9, Refuse)):
        g, _ = bucket(tokens)
        assert only(g.handle(START, request(1, width=4, units=6.0)), kind)


def test_an_exhausted_slice_grows_by_half_each_second_up_to_the_full_quota() -> None:
    c = Customer(PLAN, 4, START)
    shares = []
    for n in range(1, 6):
        c.dry = True
        c.adjust_share(START + n * 1000, False)
        c.dry = True
        c.adjust_share(START + n * 1000 + 500, False)  # within the same second: unchanged
        shares.append(c.share)
    assert shares == [0.375, 0.5625, 0.84375, 1.0, 1.0]
    c.dry = False
    c.adjust_share(START + 9000, False)
    assert c.share == 1.0


def test_an_overused_slice_shrinks_to_the_even_split_and_no_further() -> None:
    c = Customer(PLAN, 4, START)
    c.share = 1.0
    c.adjust_share(START + 1000, True)
    assert c.share == pytest.approx(0.625)  # half of 0.75 above the even 0.25
    for n in range(60):
        c.dry = True
        c.adjust_share(START + 2000 + n * 1000, True)
    assert c.share == pytest.approx(0.25)


def test_no_growth_while_the_shared_bucket_has_no_room() -> None:
    c = Customer(PLAN, 4, START)
    c.dry, c.store = True, 7.0  # of 16
    c.adjust_share(START + 1000, False)
    assert c.share == 0.25


def test_one_counter_total_determines_the_shared_bucket() -> None:
    """Differences of two readings would fail over a minute's end or a restart of the gateway."""
    c = Customer(PLAN, 4, START)
    assert c.apply_counter_total(START, 100.0, 2.0, 12_000.0) == 0.0  # 16 - 100 + 8 x 12 = 12, less 2
    assert c.store == pytest.approx(10.0)


def test_the_bucket_is_limited_to_the_shared_bucket_and_raised_to_its_share() -> None:
    c = Customer(PLAN, 2, START)
    c.apply_counter_total(START, 14.0, 0.0, 0.0)
    assert c.tokens == pytest.approx(2.0)
    c.apply_counter_total(START, 1.0, 0.0, 0.0)  # 15 of 16: room
    assert c.tokens == pytest.approx(7.5)


def test_an_overflow_of_the_shared_bucket_is_returned_for_correction() -> None:
    c = Customer(PLAN, 4, START)
    # 16 - 4 + 16 is 12 above the burst
    assert c.apply_counter_total(START, 4.0, 1.0, 2000.0) == pytest.approx(12.0)
    assert c.store == pytest.approx(15.0)


def test_a_new_counter_name_takes_over_earlier_usage() -> None:
    """Else each minute's new counter name, or a lost counter, would give every heavy customer a new burst."""
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


def test_variation_of_units_shortens_return_times() -> None:
    c = Customer(PLAN, 4, START)
    c.answers, c.unit_sum, c.unit_squares = 1, 1.0, 1.0
    # One answer: sigma is 0; 2 units a second / 1 unit.
    assert c.return_time(START, 5.0, 0.0) == pytest.approx(500)
    c.answers, c.unit_sum, c.unit_squares = 2, 4.0, 10.0
    # mu 2, sigma 1: 2 / 2 x 1.5 a second; two queued: append one interval after the end at 500.
    assert c.return_time(START, 5.0, 0.0) == pytest.approx(500 + 2000 / 3)


def test_the_queue_length_is_never_negative() -> None:
    g, c = bucket(4.0, marks_retry=True)
    g.handle(START, request(1, width=4, retry=True))
    assert not c.appointments


def test_expired_appointments_leave_the_queue() -> None:
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


def test_a_missed_appointment_expires() -> None:
    """Else clients that never return would stay in the virtual queue for ever."""
    c = Customer(PLAN, 4, START)
    c.return_time(START, 2.0, 2000.0)
    c.return_time(START + 2999, 2.0, 2000.0)
    assert len(c.appointments) == 2
    c.return_time(START + 9000, 2.0, 2000.0)
    assert len(c.appointments) == 1


def test_a_request_beyond_the_bucket_is_refused_at_once_with_a_return_time() -> None:
    g = gateway(*range(1, 30), plans=(PLAN,))
    sent = refused = 0
    for n in range(20):
        actions = g.handle(START, request(n, units=1.0))
        sent += len(only(actions, Send))
        refused += len(only(actions, Refuse))
        assert all(r.retry_after_ms > 0 for r in only(actions, Refuse))
    assert (sent, refused) == (8, 12)


def test_true_units_are_charged_to_the_bucket() -> None:
    g = gateway(plans=(PLAN,), settled_after=True)
    (send,) = only(g.handle(START, request(1, units=2.0)), Send)
    assert g.customers[9].tokens == pytest.approx(6.0)
    owed = g.customers[9].debt
    g.handle(START, ended(1, send.backend, units=5.0))
    assert g.customers[9].tokens == pytest.approx(3.0)
    assert g.customers[9].debt == pytest.approx(owed + 3.0)


THIN = {"plans": (PLAN,), "counter": True, "counter_timeout_ms": 30.0, "gateways": 200}


def ask(g, number: int, now: float = START, **what) -> CounterAdd:
    """Sends a request that is too large for the slice: it is held while its units are requested."""
    (count,) = g.handle(now, request(number, width=200, **what))
    assert isinstance(count, CounterAdd)
    return count


def pending_request(**changes):
    g = gateway(*range(1, 30), **{**THIN, **changes})
    return g, ask(g, 1, units=4.0)


def answer(g, count: CounterAdd, total: float, outcome: Outcome = Outcome.OK, now: float = START + 3) -> list:
    return g.handle(now, CounterReply(count.name, outcome, 3.0, total))


def empty_total(g, count: CounterAdd, now: float = START + 3) -> float:
    """Returns the total at which the shared bucket is empty."""
    return PLAN.burst + counter_name(now, count.name & (2**33 - 1), PLAN.name)[1] / 1000 * PLAN.rate


def test_a_slice_smaller_than_a_request_admits_what_the_shared_bucket_has() -> None:
    g, count = pending_request()
    before = empty_total(g, count) - 6.0
    assert only(answer(g, count, before + count.amount), Send)


def test_a_request_beyond_the_shared_bucket_is_refused_and_its_units_given_back() -> None:
    g, count = pending_request()
    actions = answer(g, count, empty_total(g, count) - 1.0 + count.amount)
    (refused,) = only(actions, Refuse)
    assert refused.retry_after_ms > 0
    assert sum(c.amount for c in only(actions, CounterAdd)) == pytest.approx(
        -count.amount, abs=0.08 * PLAN.burst
    )


def test_a_bucket_just_reported_empty_refuses_at_once() -> None:
    g, count = pending_request()
    answer(g, count, empty_total(g, count) + count.amount)
    refused = sum(isinstance(g.handle(START + 4, request(n, width=200))[0], Refuse) for n in range(2, 22))
    assert refused == 20


def test_with_a_silent_counter_the_last_total_decides_and_nothing_is_added_twice() -> None:
    for outcome in (Outcome.TIMEOUT, Outcome.FULL):
        g, count = pending_request()
        g.asking = 0.0  # no further calls, so that the debt stays visible
        owed = g.customers[9].debt
        assert only(answer(g, count, 0.0, outcome), Send)
        added = 0.0 if outcome is Outcome.TIMEOUT else count.amount
        assert g.customers[9].debt == pytest.approx(owed + added)


def test_a_held_request_whose_client_left_is_not_charged() -> None:
    g, count = pending_request()
    g.handle(START + 1, RequestWithdrawn(1))
    actions = answer(g, count, empty_total(g, count) - 10.0 + count.amount)
    assert not only(actions, Send)
    assert sum(c.amount for c in only(actions, CounterAdd)) == pytest.approx(
        -count.amount, abs=0.08 * PLAN.burst
    )


def test_no_request_is_held_beyond_its_deadline() -> None:
    """A client with 20 ms left was held for a counter reply that came too late."""
    g = gateway(**THIN)
    (final,) = g.handle(START, request(1, width=200, units=4.0, left=20.0))
    assert isinstance(final, Send | Refuse)


def test_replies_for_the_previous_name_or_without_a_call_are_harmless() -> None:
    g = gateway(*range(1, 30), **THIN)
    turn = START + 60_000 - counter_name(START, 9, PLAN.name)[1]
    count = ask(g, 2, turn - 1, units=4.0)
    assert answer(g, CounterAdd(77, 0.0, 0.0), 5.0) == []
    assert only(answer(g, count, 1e6, now=turn + 2), Send)  # it does not apply to the current name
    assert answer(g, count, 5.0) == []


def test_two_gateways_that_correct_a_total_at_once_leave_it_correct() -> None:
    """The later of two corrections is reverted, and that is not corrected again (it once took 16,484 calls)."""
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


def test_reports_of_200_gateways_are_unbiased() -> None:
    """Usage below one report step is rounded at random by each gateway, so the sum is unbiased."""
    used = told = 0.0
    for n in range(200):
        g = gateway(seed=n, **{**THIN, "index": n})
        used += 0.5
        told += sum(c.amount for c in only(g.handle(START, request(1, width=200, units=0.5)), CounterAdd))
    assert told == pytest.approx(used, rel=0.2)


def test_counter_time_outs_lower_the_call_rate_and_replies_restore_it() -> None:
    g = gateway(*range(1, 300), **THIN)

    def calls(first: int) -> int:
        found = 0
        for n in range(first, first + 200):
            for c in only(g.handle(START, request(n, 0, n, units=4.0, width=200)), CounterAdd):
                g.handle(START, CounterReply(c.name, Outcome.TIMEOUT, 30, 0.0))
                found += 1
        return found

    assert calls(0) < 40  # the first ones are not answered
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


def test_idle_customers_are_dropped() -> None:
    """A gateway that runs for weeks must not keep every customer, call or query."""
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


def test_a_meter_replaces_the_counter() -> None:
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
