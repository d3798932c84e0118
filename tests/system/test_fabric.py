"""The decisions of one ingress: what is tried again, what is refused with which time, and what never is."""

from __future__ import annotations

import pytest
from company import arrival, ready, terms

from tamarindfold.fabric import Fabric
from tamarindfold.interface import (
    AttemptEnded, BackendEntry, BackendState, Company, Effect, Fail, FleetUpdate, ListKind, OthersLoad, OthersUse,
    Outcome, PlanAssigned, Refuse, Send, SetTimer, Suspected, TimerFired,
)

NEVER_RAN = [Outcome.FULL, Outcome.MOOT, Outcome.CONNECT_FAILED]
MAY_HAVE_RUN = [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT]


def fabric(effect: Effect = Effect.SAFE, backends: int = 4, **more: float) -> Fabric:
    f = Fabric(terms(effect=effect, **more), 7, first_start=True)
    f.handle(0.0, ready(*range(1, backends + 1)))
    return f


def ended(send: Send, outcome: Outcome, attempt: int = 0, took: float = 50.0) -> AttemptEnded:
    return AttemptEnded(send.request, attempt, send.backend, outcome, took, False)


def of(kind: type, actions: list) -> list:
    return [a for a in actions if isinstance(a, kind)]


@pytest.mark.parametrize("outcome", [*NEVER_RAN, *MAY_HAVE_RUN])
@pytest.mark.parametrize("effect", [Effect.SAFE, Effect.UNSAFE])
def test_further_attempts_by_effect_and_outcome(effect: Effect, outcome: Outcome) -> None:
    f = fabric(effect)
    for pool in f.pools.values():
        pool.further = 1.0
    (send,) = of(Send, f.handle(1.0, arrival(1)))
    actions = f.handle(51.0, ended(send, outcome))
    if effect is Effect.UNSAFE and not outcome.never_ran:
        assert actions == [Fail(1)]
    else:
        (again,) = of(Send, actions)
        assert again.backend != send.backend
        last = f.handle(101.0, ended(again, outcome, 1))
        if outcome is Outcome.CONNECT_FAILED:
            assert of(Send, last)  # none of them was sent anywhere
        else:  # as many as the route allows
            (refused,) = of(Refuse, last)
            assert refused.retry_after_ms > 0


def test_without_a_budget_no_second_sending_but_after_a_failed_connection() -> None:
    f = fabric()
    (send,) = of(Send, f.handle(1.0, arrival(1)))
    f.pools[0].further = 0.0
    (refused,) = of(Refuse, f.handle(2.0, ended(send, Outcome.FULL)))
    assert refused.retry_after_ms > 0
    (send,) = of(Send, f.handle(3.0, arrival(2)))
    f.pools[0].further = 0.0
    assert of(Send, f.handle(4.0, ended(send, Outcome.CONNECT_FAILED)))


def test_second_sendings_stay_a_part_of_the_requests() -> None:
    f, second, number = fabric(), 0, 0
    f.handle(0.0, Company(11, 11))
    for number in range(1, 2001):
        (send,) = of(Send, f.handle(number * 10.0, arrival(number)))
        second += len(of(Send, f.handle(number * 10.0 + 1, ended(send, Outcome.FULL))))
        for call in list(f.calls):
            f.handle(number * 10.0 + 2, AttemptEnded(call, 1, f.calls[call].tried[1].entry.backend, Outcome.OK, 1, True))
    assert 0.1 * number < second <= 0.2 * number


def test_a_copy_goes_where_a_slot_is_free_once_the_answer_is_overdue() -> None:
    f = fabric()
    actions = f.handle(1.0, arrival(1))
    (send,), (timer,) = of(Send, actions), of(SetTimer, actions)
    f.pools[0].further = 1.0
    (copy,) = of(Send, f.handle(1.0 + timer.after_ms, TimerFired(timer.label)))
    assert copy.backend != send.backend
    g = fabric()
    (timer,) = of(SetTimer, g.handle(1.0, arrival(1)))
    g.pools[0].further = 1.0
    g.handle(2.0, OthersLoad("x", dict.fromkeys(range(1, 5), 2)))
    assert not of(Send, g.handle(1.0 + timer.after_ms, TimerFired(timer.label)))


def test_what_is_not_repeatable_gets_no_copy() -> None:
    assert not of(SetTimer, fabric(Effect.UNSAFE).handle(1.0, arrival(1)))


def test_a_draining_or_gone_backend_gets_nothing_new_from_then_on() -> None:
    f = fabric(backends=3)
    for backend, state in ((1, BackendState.DRAINING), (2, BackendState.GONE)):
        f.handle(1.0, FleetUpdate(ListKind.CHANGES, [BackendEntry(backend, state, size=2)]))
    chosen = {of(Send, f.handle(2.0 + n, arrival(n)))[0].backend for n in range(1, 4)}
    assert chosen == {3}


def test_where_others_have_filled_the_slots_it_goes_elsewhere() -> None:
    f = fabric(backends=2)
    f.handle(1.0, OthersLoad("x", {1: 2}))
    assert {of(Send, f.handle(2.0, arrival(n)))[0].backend for n in (1, 2)} == {2}
    f.handle(3.0, OthersLoad("x", {}, whole=True))
    assert f.backends[1].load == 0


def test_a_pressed_fleet_refuses_at_once_with_a_return_time() -> None:
    f = fabric(backends=1)
    f.handle(1.0, OthersLoad("x", {1: 40}))
    (refused,) = f.handle(2.0, arrival(1))
    assert isinstance(refused, Refuse) and refused.retry_after_ms > 0 and not f.calls


# ---- the design's return times


def test_return_times_are_dibas_with_job_times() -> None:
    f = fabric(rate=20.0, burst=20.0)
    f.handle(0.0, Company(4, 4))
    sends = [of(Send, f.handle(1.0, arrival(n))) for n in range(1, 21)]
    assert list(map(len, sends)) == [1] * 19 + [0]  # new tries leave a small reserve: the first appointment
    waits = [f.handle(2.0, arrival(100 + n))[0].retry_after_ms for n in range(3)]
    # the slice fills at 20/4 a second, sigma is 0 until two answers: 200 ms between appointments
    assert waits == pytest.approx([399, 599, 799], abs=0.01)
    for n, took in enumerate((100.0, 300.0)):
        f.handle(3.0, AttemptEnded(n + 1, 0, sends[n][0].backend, Outcome.OK, took, True))
    tenant = f.tenants[1]
    assert tenant.answers == pytest.approx(1.995)
    f2 = fabric(rate=20.0, burst=1.0)
    f2.handle(1.0, arrival(1))
    t = f2.tenants[1]
    t.answers, t.job_sum, t.job_squares = 2.0, 400.0, 100_000.0  # 100 and 300: mean 200, deviation 100
    t.level = t.tokens = 0.0
    (refused,) = f2.handle(1.0, arrival(2))
    assert refused.retry_after_ms == pytest.approx(1000 / (20 * 1.5), rel=0.01)


def test_a_try_at_its_return_time_may_take_the_reserve() -> None:
    f = fabric(rate=10.0, burst=10.0)
    tenant = None
    for n in range(1, 30):
        f.handle(1.0, arrival(n))
    tenant = f.tenants[1]
    (appointment,) = list(tenant.appointments)[:1]
    tenant.level, tenant.tokens, tenant.filled_at = 1.0, 1.0, appointment
    assert of(Refuse, f.handle(appointment - 500, arrival(50)))
    tenant.level, tenant.tokens, tenant.filled_at = 1.0, 1.0, appointment
    assert of(Send, f.handle(appointment, arrival(51)))


def test_a_dry_slice_grows_by_half_each_second_and_falls_back_when_over() -> None:
    f = fabric(rate=100.0, burst=100.0)
    f.handle(0.0, Company(10, 10))
    f.handle(1.0, arrival(1))
    tenant = f.tenants[1]
    shares = []
    for second in range(1, 5):
        tenant.dry, tenant.level = True, 50.0
        tenant.refill(1.0 + second * 1000, 0.1, 1.0)
        shares.append(tenant.share)
    assert shares == pytest.approx([0.15, 0.225, 0.3375, 0.50625])
    tenant.level = -80.0
    tenant.plan = tenant.plan.__class__(0.001, 100.0, name="tenant")
    tenant.refill(6001.0, 0.1, 1.0)
    assert tenant.share == pytest.approx(0.1 + (0.50625 - 0.1) / 2)


def test_a_raised_limit_gives_no_second_burst_and_a_lower_one_binds_at_once() -> None:
    f = fabric(rate=10.0, burst=10.0)
    for n in range(1, 12):
        f.handle(1.0, arrival(n))
    tenant = f.tenants[1]
    left = tenant.level
    tenant.change(tenant.plan.__class__(10.0, 50.0, name="tenant"))
    assert tenant.level == left
    tenant.level = 50.0
    tenant.change(tenant.plan.__class__(10.0, 5.0, name="tenant"))
    assert tenant.level == 5.0




def test_a_backend_whose_address_is_anothers_is_left_until_it_is_heard_of() -> None:
    f = fabric(backends=2)
    f.pools[0].further = 9.0
    (send,) = of(Send, f.handle(1.0, arrival(1)))
    f.handle(2.0, ended(send, Outcome.MOOT))
    for n in range(2, 6):
        assert of(Send, f.handle(3.0 + n, arrival(n)))[0].backend != send.backend
    f.handle(20.0, Suspected(send.backend, False))
    assert send.backend in f.pools[0].ready


def test_what_others_let_in_counts_before_a_tenant_has_asked_here() -> None:
    f = fabric(rate=10.0, burst=10.0)
    f.handle(0.0, PlanAssigned(1, 1))
    f.handle(1.0, OthersUse({1: 14.0}))
    assert of(Refuse, f.handle(2.0, arrival(1)))
