"""The five safety rules: plain sequences, unusual legal orders, and checks that the checker can fail."""

from __future__ import annotations

from dataclasses import replace

import pytest
from build import START, ended, fleet, gateway, request, settings
from checker import Checker, RuleBroken
from hypothesis import example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from troutdock.admission import Gateway
from troutdock.admission.interface import (
    AttemptEnded,
    BackendState,
    Fail,
    ListKind,
    Outcome,
    Plan,
    Refuse,
    RequestWithdrawn,
    Send,
    TimerFired,
)

SAFE, KEYED, KEYED_ALL, UNSAFE = range(4)
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED)


def first_send(g: Gateway, number: int, cls: int, now: float = START) -> Send:
    (send,) = [a for a in g.handle(now, request(number, cls)) if isinstance(a, Send)]
    return send


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN + NEVER_RAN)
@pytest.mark.parametrize("cls", [SAFE, KEYED, KEYED_ALL, UNSAFE])
def test_retries_follow_the_effect_and_whether_the_request_may_have_run(cls: int, outcome: Outcome) -> None:
    g = gateway()
    send = first_send(g, 1, cls)
    (action,) = g.handle(START + 50, ended(1, send.backend, outcome))
    if cls == UNSAFE and outcome in MAY_HAVE_RUN:
        assert isinstance(action, Fail)
        return
    assert isinstance(action, Send)
    if cls == KEYED and outcome in MAY_HAVE_RUN:
        assert action.backend % 2 == send.backend % 2  # same cell
    else:
        assert action.backend != send.backend


@pytest.mark.parametrize(
    ("cls", "kind"), [(KEYED, Fail), (KEYED_ALL, Refuse), (UNSAFE, Fail), (SAFE, Refuse)]
)
def test_no_send_past_the_dedup_window_and_no_unsafe_refusal(cls: int, kind: type) -> None:
    g = gateway(max_attempts=3 if cls in (KEYED, KEYED_ALL) else 1)
    send = first_send(g, 1, cls)
    (action,) = g.handle(START + 3000, ended(1, send.backend, Outcome.RESET, took=3000))
    assert isinstance(action, kind)


def test_a_time_out_at_the_deadline_gets_its_final_answer() -> None:
    g = gateway()
    send = first_send(g, 1, SAFE)
    (action,) = g.handle(START + 4000, ended(1, send.backend, Outcome.TIMEOUT, took=4000))
    assert isinstance(action, Refuse)


def test_failure_does_not_multiply_load() -> None:
    g = gateway(*range(1, 9))
    sends = 0
    for n in range(500):
        now = START + n * 10
        todo = [a for a in g.handle(now, request(n)) if isinstance(a, Send)]
        attempt = 0
        while todo:
            sends += 1
            todo = [
                a
                for a in g.handle(now, ended(n, todo[0].backend, Outcome.ERROR, attempt, 1))
                if isinstance(a, Send)
            ]
            attempt += 1
    assert sends <= 500 * 1.1 + 10


def test_a_draining_or_removed_backend_gets_nothing_new_even_on_a_retry() -> None:
    g = gateway(1, 2)
    send = first_send(g, 1, SAFE)
    other = 3 - send.backend
    g.handle(START + 10, fleet(other, state=BackendState.DRAINING, kind=ListKind.CHANGES))
    (action,) = g.handle(START + 20, ended(1, send.backend, Outcome.FULL))
    assert isinstance(action, Send) and action.backend == send.backend
    g.handle(START + 30, fleet(7))  # a full list without 1 and 2
    assert first_send(g, 2, SAFE, START + 4000).backend == 7


def test_a_backend_that_comes_back_is_used_again() -> None:
    g = gateway(1)
    g.handle(START, fleet(1, state=BackendState.GONE, kind=ListKind.CHANGES))
    assert isinstance(g.handle(START, request(1))[0], Refuse)
    g.handle(START, fleet(1, kind=ListKind.CHANGES))
    assert first_send(g, 2, SAFE).backend == 1


def test_a_cold_backend_gets_at_most_its_budget_in_any_window() -> None:
    """Under heavy load, a cold backend gets less than twice its guaranteed share within any 3 s."""
    g = gateway(1, 2, 3)
    for n in range(300):  # give the gateway samples of the fleet
        send = first_send(g, n, SAFE, START + n * 20)
        g.handle(START + n * 20 + 15, ended(n, send.backend, took=150))
    begin = START + 6000
    g.handle(begin, fleet(4, kind=ListKind.CHANGES, up=begin))
    sends: list[tuple[float, int]] = []
    for n in range(1000, 2500):
        now = begin + (n - 1000) * 4
        for a in g.handle(now, request(n)):
            if isinstance(a, Send):
                sends.append((now, a.backend))
                g.handle(now + 1, ended(n, a.backend, took=150))
    cold = [t for t, b in sends if b == 4]
    assert cold
    for t in [t for t in cold if t <= sends[-1][0] - 3000]:
        inside = sum(t <= u < t + 3000 for u in cold)
        warm = sum(t <= u < t + 3000 for u, b in sends if b != 4) / 3
        part = 0.2 + 0.8 * min(1, (t + 1500 - begin) / 10_000)  # its mean over the window
        assert inside <= 2 * part * warm + 1


def test_a_ceiling_starts_empty_and_holds_across_a_restart() -> None:
    s = settings(plans=(Plan(1000, 1000, ceiling_rate=10, ceiling_burst=20),))
    checker = Checker(Gateway(s, 1).handle, s)
    checker.feed(START, fleet(1, 2, 3, 4))
    sent = 0
    for n in range(2000):
        now = START + n * 5
        if n == 1000:
            checker.handle = Gateway(s, 2).handle
            checker.feed(now, fleet(1, 2, 3, 4, kind=ListKind.CACHED))
        for a in checker.feed(now, request(n)):
            if isinstance(a, Send):
                sent += 1
                checker.feed(now, ended(n, a.backend, took=1))
    assert 40 <= sent <= 50  # 5 units a second for 10 s


def test_harmless_events() -> None:
    for make in (lambda: Gateway(settings(), 1), lambda: gateway(1)):
        g = make()
        assert g.handle(START, ended(77, 5)) == []
        assert g.handle(START, RequestWithdrawn(5)) == []
        g.handle(START, TimerFired(99))
    g = Gateway(settings(), 1)
    g.handle(START, fleet(kind=ListKind.CACHED))
    (refused,) = g.handle(START, request(1))
    assert isinstance(refused, Refuse)
    g.handle(START, fleet(1, kind=ListKind.FULL))
    send = first_send(g, 2, SAFE)
    g.handle(START + 1, RequestWithdrawn(2))
    assert g.handle(START + 2, ended(2, send.backend, Outcome.RESET)) == []


def test_an_idle_fleet_is_used_again_after_any_failure() -> None:
    """Bad samples must not persist for lack of new ones: all answers are bad, then nothing is pending."""
    g = gateway()
    for n in range(200):
        for a in g.handle(START + n, request(n)):
            if isinstance(a, Send):
                g.handle(START + n, replace(ended(n, a.backend, Outcome.ERROR, took=5000), over=True))
    assert first_send(g, 999, SAFE, START + 300)


def test_pending_work_on_an_overloaded_fleet_is_bounded() -> None:
    """Queues must not use up the latency target: if nothing answers, pending work stays bounded."""
    g = gateway()
    sent = sum(isinstance(a, Send) for n in range(2000) for a in g.handle(START + n, request(n)))
    assert 4 <= sent < 200


def test_an_overdue_attempt_counts_before_its_outcome() -> None:
    """After a crash the other backends were overloaded long before their late answers showed it (i208070)."""
    g = gateway(1, 2)
    send = first_send(g, 1, UNSAFE)
    later = START + 2000
    late, idle = g.backends[send.backend], g.backends[3 - send.backend]
    assert g.forecast(later, late, g.calls[1], 1.0) > 1000 > g.forecast(later, idle, g.calls[1], 1.0)


def test_sends_are_spread_over_equal_backends() -> None:
    g = gateway()
    seen = [0] * 5
    for n in range(400):
        send = first_send(g, n, SAFE, START + n * 20)
        seen[send.backend] += 1
        g.handle(START + n * 20 + 10, ended(n, send.backend, took=150))
    assert min(seen[1:]) > 60


def test_a_failing_backend_is_avoided_and_later_tried_again() -> None:
    g = gateway()
    tries = []
    for n in range(2000):
        now = START + n * 10
        send = first_send(g, n, UNSAFE, now)
        bad = send.backend == 1
        tries += [now] * bad
        g.handle(
            now + 5, ended(n, send.backend, Outcome.ERROR if bad else Outcome.OK, took=5 if bad else 150)
        )
    assert len(tries) < 60
    assert tries[-1] > START + 5_000  # less and less often while it keeps failing


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "end", "end", "end", "leave", "fleet", "timer", "restart"]),
        st.integers(0, 10**6),
        st.integers(0, 400),
    ),
    min_size=5,
    max_size=60,
)


def play(handle, s, steps, restart=None) -> Checker:
    checker = Checker(handle, s)
    now, number, out = START, 0, []
    checker.feed(now, fleet(1, 2, 3, 4))

    def took(actions: list) -> None:
        for a in actions:
            if isinstance(a, Send):
                out.append((a.request, len(checker.requests[a.request].sends) - 1, a.backend, now))

    def end(pick: int, outcome: Outcome) -> None:
        call, attempt, backend, sent = out.pop(pick)
        t = checker.requests[call]
        over = t.closed or outcome is Outcome.OK
        took(checker.feed(now, AttemptEnded(call, attempt, backend, outcome, now - sent, over)))

    for what, pick, gap in steps:
        now += gap
        for i in reversed(range(len(out))):  # time-outs at the deadline are on time
            if checker.requests[out[i][0]].give_up <= now:
                late, now = now, checker.requests[out[i][0]].give_up
                end(i, Outcome.TIMEOUT)
                now = late
        if what == "ask":
            number += 1
            took(
                checker.feed(
                    now, request(number, pick % 4, pick % 3, units=1 + pick % 4, left=500 + pick % 4000)
                )
            )
        elif what == "end" and out:
            end(pick % len(out), list(Outcome)[pick // 7 % 8])
        elif what == "leave" and checker.requests:
            checker.feed(now, RequestWithdrawn(1 + pick % number))
        elif what == "fleet":
            state, kind = list(BackendState)[pick % 3], list(ListKind)[pick // 3 % 4]
            ids = [i for i in (1, 2, 3, 4) if pick >> (i + 4) & 1]
            checker.feed(now, fleet(*ids, state=state, kind=kind, up=now if pick % 5 == 0 else 0.0))
        elif what == "timer":
            checker.feed(now, TimerFired(pick % 2))
        elif what == "restart" and restart is not None:  # its requests are retried by the clients
            out.clear()
            for t in checker.requests.values():
                t.closed = True
            checker.handle = restart()
            checker.feed(
                now, fleet(*[i for i in checker.known if i not in checker.unavailable], kind=ListKind.CACHED)
            )
    for _ in range(20):
        now += 1
        for _ in range(len(out)):
            end(0, Outcome.TIMEOUT if checker.requests[out[0][0]].give_up <= now else Outcome.OK)
    checker.finish()
    return checker


PLANS = (Plan(20, 30, ceiling_rate=20, ceiling_burst=30),)


@given(STEPS, st.booleans())
@example(
    steps=[("fleet", 3, 0), ("fleet", 622, 0), ("ask", 0, 251)], marks=False
)  # a failed list with entries
@hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
def test_the_rules_hold_under_unusual_legal_orders(steps: list, marks: bool) -> None:
    s = settings(plans=PLANS, marks_retry=marks, counter=True)
    play(Gateway(s, 3).handle, s, steps, lambda: Gateway(s, 4).handle)


class Broken(Gateway):
    """A gateway with one deliberate fault, to show that the checker can fail."""

    fault = ""

    def retry(self, now, call) -> None:
        if self.fault == "silent":
            return
        if self.fault == "resend":
            backend = next(iter(self.backends.values()))
            return self.send(now, call, backend)
        super().retry(now, call)

    def on_fleet_update(self, now, event) -> None:
        if self.fault == "deaf" and self.backends:
            return
        super().on_fleet_update(now, event)


@pytest.mark.parametrize("fault", ["silent", "resend", "deaf"])
def test_the_checker_fails_on_a_broken_gateway(fault: str) -> None:
    g = Broken(settings(), 3)
    g.fault = fault
    steps = [("ask", 1003, 0), ("end", 7 * 1, 5), ("fleet", 0 | 15 << 5, 1), ("ask", 0, 300), ("end", 7, 1)]
    with pytest.raises(RuleBroken):
        play(g.handle, settings(), steps)


def test_the_checker_detects_an_exceeded_ceiling() -> None:
    s = settings(plans=(Plan(1000, 1000, ceiling_rate=10, ceiling_burst=20),))
    free = settings(plans=(Plan(1000, 1000),))
    checker = Checker(Gateway(free, 1).handle, s)
    checker.feed(START, fleet(*range(1, 60)))
    with pytest.raises(RuleBroken, match="ceiling"):
        for n in range(30):
            checker.feed(START, request(n))


def test_a_keyed_retry_is_not_started_if_connecting_could_outlast_the_window() -> None:
    """With sockets, a send may need the time to connect before its last byte arrives."""
    for took, again in ((2600.0, True), (2800.0, False)):
        g = gateway(1, 2, 3, 4)
        send = first_send(g, 1, KEYED_ALL)
        actions = g.handle(START + took, ended(1, send.backend, Outcome.RESET, took=took))
        assert isinstance(actions[0], Send) is again
