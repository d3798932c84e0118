"""ProxyAdmission: which requests are retried, rejected with which retry time, or failed."""

from __future__ import annotations

import pytest
from proxy_fleet import arrival, ready, proxy_settings

from troutdock.admission.proxy_admission import ProxyAdmission
from troutdock.admission.interface import (
    AttemptEnded,
    BackendEntry,
    BackendState,
    IngressMembership,
    Effect,
    Fail,
    FleetUpdate,
    LeasesDue,
    ListKind,
    PeerLoad,
    Outcome,
    Refuse,
    RequestWithdrawn,
    Send,
    SetTimer,
    SettingsChanged,
    BackendSuspected,
    TimerFired,
)
from troutdock.rpc.messages import QuotaGrant, QuotaRequest, QuotaSettlement, TokenDemand, TokenGrant
from troutdock.quota.node import QuotaNode
from troutdock.quota.routes import Peers, shard_of

NEVER_RAN = [Outcome.FULL, Outcome.WRONG_INSTANCE, Outcome.CONNECT_FAILED]
MAY_HAVE_RUN = [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT]


def proxy(effect: Effect = Effect.SAFE, backends: int = 4, **more: float) -> ProxyAdmission:
    f = ProxyAdmission(proxy_settings(effect=effect, **more), 7)
    f.handle(0.0, ready(*range(1, backends + 1)))
    return f


def ended(send: Send, outcome: Outcome, attempt: int = 0, took: float = 50.0) -> AttemptEnded:
    return AttemptEnded(send.request, attempt, send.backend, outcome, took, False)


def of(kind: type, actions: list) -> list:
    return [a for a in actions if isinstance(a, kind)]


def set_tokens(f: ProxyAdmission, now_ms: float, tokens: float) -> None:
    """Sets the level of the owner's bucket; f is the owner."""
    owner = f.quotas._owned._owners[shard_of("tenant")]
    owner.advance(now_ms / 1000)
    bucket = owner._buckets["tenant"]
    bucket.refill(owner._time, 1.0)
    bucket.level = tokens


def proxy_with_remote_owner(**more: float) -> ProxyAdmission:
    """Returns a proxy whose quotas are owned by the peer "owner" in its zone."""
    node = QuotaNode("asker", "zone", 1, 0.0)
    f = ProxyAdmission(proxy_settings(**more), 7, quotas=node)
    f.handle(0.0, ready(1, 2, 3, 4))
    node.update_peers(
        0.0,
        Peers(
            zone_peers=frozenset(["owner"]),
            listed_zone_peers=frozenset(["owner"]),
            fleet_size=2,
            busy=frozenset(["asker"]),
        ),
    )
    list(node.take_messages())
    return f


def demands(f: ProxyAdmission) -> list[TokenDemand]:
    """Returns the token demands sent to the owner since the last call."""
    messages = [m for peer, m in f.quotas.take_messages() if peer == "owner" and isinstance(m, QuotaRequest)]
    return [demand for message in messages for demand in message.demands]


def answer(
    f: ProxyAdmission, now_ms: float, demand: TokenDemand, granted: int, retry_after_s: float = 0.0
) -> list:
    """Delivers the owner's reply and returns the proxy's actions."""
    grant = TokenGrant(demand.tenant, demand.number, granted, retry_after_s, "term")
    f.quotas.receive(now_ms / 1000, "owner", QuotaGrant([grant]))
    return f.handle(now_ms, LeasesDue())


@pytest.mark.parametrize("outcome", [*NEVER_RAN, *MAY_HAVE_RUN])
@pytest.mark.parametrize("effect", [Effect.SAFE, Effect.UNSAFE])
def test_further_attempts_by_effect_and_outcome(effect: Effect, outcome: Outcome) -> None:
    f = proxy(effect)
    for pool in f.pools.values():
        pool.retry_budget = 1.0
    (send,) = of(Send, f.handle(1.0, arrival(1)))
    actions = f.handle(51.0, ended(send, outcome))
    if effect is Effect.UNSAFE and not outcome.never_ran:
        assert actions == [Fail(1)]
    else:
        (again,) = of(Send, actions)
        assert again.backend != send.backend
        last = f.handle(101.0, ended(again, outcome, 1))
        if outcome is Outcome.CONNECT_FAILED:
            assert of(Send, last)  # neither attempt reached a backend
        else:  # the route's limit of attempts
            (refused,) = of(Refuse, last)
            assert refused.retry_after_ms > 0


def test_without_retry_budget_only_a_failed_connection_is_retried() -> None:
    f = proxy()
    (send,) = of(Send, f.handle(1.0, arrival(1)))
    f.pools[0].retry_budget = 0.0
    (refused,) = of(Refuse, f.handle(2.0, ended(send, Outcome.FULL)))
    assert refused.retry_after_ms > 0
    (send,) = of(Send, f.handle(3.0, arrival(2)))
    f.pools[0].retry_budget = 0.0
    assert of(Send, f.handle(4.0, ended(send, Outcome.CONNECT_FAILED)))


def test_retries_stay_a_fraction_of_the_requests() -> None:
    f, second, number = proxy(), 0, 0
    f.handle(0.0, IngressMembership(11, 11))
    for number in range(1, 2001):
        (send,) = of(Send, f.handle(number * 10.0, arrival(number)))
        second += len(of(Send, f.handle(number * 10.0 + 1, ended(send, Outcome.FULL))))
        for call in list(f.calls):
            f.handle(
                number * 10.0 + 2,
                AttemptEnded(call, 1, f.calls[call].attempted[1].entry.backend, Outcome.OK, 1, True),
            )
    assert 0.1 * number < second <= 0.2 * number


def test_a_copy_goes_where_a_slot_is_free_once_the_answer_is_overdue() -> None:
    f = proxy()
    actions = f.handle(1.0, arrival(1))
    (send,), (timer,) = of(Send, actions), of(SetTimer, actions)
    f.pools[0].retry_budget = 1.0
    (copy,) = of(Send, f.handle(1.0 + timer.after_ms, TimerFired(timer.label)))
    assert copy.backend != send.backend
    g = proxy()
    (timer,) = of(SetTimer, g.handle(1.0, arrival(1)))
    g.pools[0].retry_budget = 1.0
    g.handle(2.0, PeerLoad("x", dict.fromkeys(range(1, 5), 2)))
    assert not of(Send, g.handle(1.0 + timer.after_ms, TimerFired(timer.label)))


def test_requests_that_are_not_repeatable_get_no_copy() -> None:
    assert not of(SetTimer, proxy(Effect.UNSAFE).handle(1.0, arrival(1)))


def test_a_draining_or_gone_backend_gets_no_new_requests() -> None:
    f = proxy(backends=3)
    for backend, state in ((1, BackendState.DRAINING), (2, BackendState.GONE)):
        f.handle(1.0, FleetUpdate(ListKind.CHANGES, [BackendEntry(backend, state, size=2)]))
    chosen = {of(Send, f.handle(2.0 + n, arrival(n)))[0].backend for n in range(1, 4)}
    assert chosen == {3}


def test_a_backend_whose_slots_are_used_by_other_proxies_is_avoided() -> None:
    f = proxy(backends=2)
    f.handle(1.0, PeerLoad("x", {1: 2}))
    assert {of(Send, f.handle(2.0, arrival(n)))[0].backend for n in (1, 2)} == {2}
    f.handle(3.0, PeerLoad("x", {}, complete=True))
    assert f.backends[1].load == 0


def test_an_overloaded_fleet_rejects_at_once_with_a_retry_time() -> None:
    f = proxy(backends=1)
    f.handle(1.0, PeerLoad("x", {1: 40}))
    (refused,) = f.handle(2.0, arrival(1))
    assert isinstance(refused, Refuse) and refused.retry_after_ms > 0 and not f.calls


# ---- retry times


def test_retry_times_follow_diba_with_job_times() -> None:
    f = proxy(rate=20.0, burst=20.0)
    f.handle(0.0, IngressMembership(4, 4))
    sends = [of(Send, f.handle(1.0, arrival(n))) for n in range(1, 21)]
    # new requests leave a small reserve: the first appointment
    assert list(map(len, sends)) == [1] * 19 + [0]
    waits = [f.handle(2.0, arrival(100 + n))[0].retry_after_ms for n in range(3)]
    # the slice refills at 20/4 per second, sigma is 0 until two responses: 200 ms between appointments
    assert waits == pytest.approx([399, 599, 799], abs=0.01)
    for n, took in enumerate((100.0, 300.0)):
        f.handle(3.0, AttemptEnded(n + 1, 0, sends[n][0].backend, Outcome.OK, took, True))
    tenant = f.tenants[1]
    assert tenant.sample_weight == pytest.approx(1.995)
    f2 = proxy(rate=20.0, burst=1.0)
    f2.handle(1.0, arrival(1))
    t = f2.tenants[1]
    t.sample_weight, t.job_sum, t.job_squares = 2.0, 400.0, 100_000.0  # 100 and 300: mean 200, deviation 100
    (refused,) = f2.handle(1.0, arrival(2))
    assert refused.retry_after_ms == pytest.approx(1000 / (20 * 1.5), rel=0.01)


def test_a_request_at_its_retry_time_may_take_the_reserve() -> None:
    f = proxy(rate=10.0, burst=10.0)
    for n in range(1, 30):
        f.handle(1.0, arrival(n))
    appointment = f.tenants[1].appointments[9]
    for _ in range(9):
        f.tenants[1].appointments.popleft()
    set_tokens(f, appointment - 500, 1.0)
    assert of(Refuse, f.handle(appointment - 500, arrival(50)))
    set_tokens(f, appointment, 1.0)
    assert of(Send, f.handle(appointment, arrival(51)))


def test_a_share_grows_by_half_each_second_that_ran_dry_and_falls_back_when_over() -> None:
    f = proxy(rate=100.0, burst=100.0)
    f.handle(0.0, IngressMembership(10, 10))
    shares = []
    for second in range(4):
        assert of(Send, f.handle(1.0 + second * 1010, arrival(second + 1)))
        shares.append(f.leases.share(1.005 + second * 1.01, "tenant", 0.1))
    assert shares == pytest.approx([0.15, 0.225, 0.3375, 0.50625])
    set_tokens(f, 4500.0, 0.0)
    assert of(Refuse, f.handle(4500.0, arrival(9)))
    assert f.leases.share(6.0, "tenant", 0.1) == pytest.approx(0.1 + (0.50625 - 0.1) / 2)


def test_a_raised_limit_gives_no_second_burst_and_a_lower_one_binds_at_once() -> None:
    f = proxy(rate=10.0, burst=10.0)
    sent = sum(bool(of(Send, f.handle(1.0, arrival(n)))) for n in range(1, 12))
    assert sent == 9
    f.handle(1.0, SettingsChanged(proxy_settings(rate=10.0, burst=50.0)))
    assert not of(Send, f.handle(1.0, arrival(20)))
    f.handle(60_000.0, SettingsChanged(proxy_settings(rate=10.0, burst=5.0)))
    sent = sum(bool(of(Send, f.handle(60_000.0, arrival(n)))) for n in range(30, 60))
    assert sent == 4  # five, less the reserve


# ---- requests that wait for a token


def test_a_request_waits_for_its_token_and_is_sent_with_it() -> None:
    f = proxy_with_remote_owner(rate=10.0, burst=10.0)
    assert not of(Send, f.handle(1.0, arrival(1))) and 1 in f.calls
    assert not of(Send, f.handle(1.5, arrival(2)))
    (demand,) = demands(f)
    assert (demand.tenant, demand.wanted) == ("tenant", 1)  # one demand for a tenant at a time
    assert [a.request for a in of(Send, answer(f, 3.0, demand, 1))] == [1]
    (demand,) = demands(f)
    assert [a.request for a in of(Send, answer(f, 5.0, demand, 1))] == [2]


def test_a_refused_token_rejects_the_request_and_suspends_demands_until_the_retry_time() -> None:
    f = proxy_with_remote_owner(rate=10.0, burst=10.0)
    f.handle(1.0, arrival(1))
    (demand,) = demands(f)
    (refused,) = of(Refuse, answer(f, 3.0, demand, 0, 0.2))
    assert refused.request == 1 and refused.retry_after_ms > 0
    assert of(Refuse, f.handle(100.0, arrival(2))) and not demands(f)
    assert not of(Refuse, f.handle(204.0, arrival(3))) and demands(f)


def test_without_a_reply_of_the_owner_a_request_is_rejected_within_a_quarter_of_its_target() -> None:
    f = proxy_with_remote_owner(rate=10.0, burst=10.0)
    (timer,) = of(SetTimer, f.handle(1.0, arrival(1)))
    assert timer.after_ms < 800.0 / 4
    (refused,) = f.handle(1.0 + timer.after_ms, TimerFired(timer.label))
    assert isinstance(refused, Refuse) and 0 < refused.retry_after_ms <= 500 and not f.calls
    (demand,) = demands(f)
    assert not of(Send, answer(f, 200.0, demand, 1))
    assert of(Send, f.handle(220.0, arrival(2)))  # a token that comes late is the next request's


def test_a_token_for_a_withdrawn_request_goes_to_the_next_one() -> None:
    f = proxy_with_remote_owner(rate=10.0, burst=10.0)
    f.handle(1.0, arrival(1))
    f.handle(1.5, arrival(2))
    (demand,) = demands(f)
    f.handle(2.0, RequestWithdrawn(1))
    assert [a.request for a in of(Send, answer(f, 3.0, demand, 1))] == [2]


def test_a_token_that_no_backend_could_use_goes_back_to_the_owner() -> None:
    f = proxy_with_remote_owner(rate=10.0, burst=10.0)
    f.handle(0.5, PeerLoad("x", dict.fromkeys(range(1, 5), 99)))
    f.handle(1.0, arrival(1))
    (demand,) = demands(f)
    assert of(Refuse, answer(f, 3.0, demand, 1))
    f.handle(3.0 + 101, LeasesDue())
    messages = [m for _, m in f.quotas.take_messages() if isinstance(m, QuotaSettlement)]
    assert [(r.tokens, r.term) for m in messages for r in m.returned] == [(1, "term")]


def test_retries_that_may_run_are_charged_to_the_quota() -> None:
    f = proxy(rate=10.0, burst=10.0)
    f.pools[0].retry_budget = 9.0
    (send,) = of(Send, f.handle(1.0, arrival(1)))
    owner = f.quotas._owned._owners[shard_of("tenant")]
    assert of(Send, f.handle(2.0, ended(send, Outcome.RESET)))
    f.quotas.tick(0.002)
    assert owner._buckets["tenant"].level == pytest.approx(8.0, abs=0.1)
    (send,) = of(Send, f.handle(3.0, arrival(2)))
    f.pools[0].retry_budget = 9.0
    assert of(Send, f.handle(4.0, ended(send, Outcome.FULL)))  # the first has not run
    f.quotas.tick(0.004)
    assert owner._buckets["tenant"].level == pytest.approx(7.0, abs=0.1)


def test_a_backend_whose_address_was_reused_is_avoided_until_its_next_heartbeat() -> None:
    f = proxy(backends=2)
    f.pools[0].retry_budget = 9.0
    (send,) = of(Send, f.handle(1.0, arrival(1)))
    f.handle(2.0, ended(send, Outcome.WRONG_INSTANCE))
    for n in range(2, 6):
        assert of(Send, f.handle(3.0 + n, arrival(n)))[0].backend != send.backend
    f.handle(20.0, BackendSuspected(send.backend, False))
    assert send.backend in f.pools[0].ready


def test_tokens_leased_by_other_proxies_count_before_the_first_local_request() -> None:
    f = proxy(rate=10.0, burst=10.0)
    f.quotas.receive(0.001, "other", QuotaRequest([TokenDemand("tenant", 1, 14, 14)]))
    assert of(Refuse, f.handle(2.0, arrival(1)))
