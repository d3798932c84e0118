"""Admission and retry decisions of one proxy in a fleet of proxies (no I/O, no clock).

Theory of operation. gateway.Gateway decides for one site, where the list of backends and a counter are given.
ProxyAdmission decides for one of many proxies that know of each other only by messages. The engine passes
events to either and carries out the actions that they return. Tenants' quotas are leased from their owners
(troutdock.quota), tenant.py computes retry times and backend_selection.py selects backends. This module
decides on admission, attempts, the retry budget and rejections. All times are milliseconds.

A request (Call) goes through these states:

    arrived         tenants with a quota need a token; without one at hand the request waits for it
    awaiting quota  nothing has been sent. A token admits it, a refusal rejects it, and after
                    QUOTA_WAIT_SHARE of its latency target it is rejected
    admitted        sent to a backend that is predicted to respond in time, or rejected and its token returned
    sent            one or more attempts are open. If an attempt fails:
                      safe effect     another attempt after any failure, and a copy to another backend once
                                      the response is overdue
                      other effects   another attempt only while it is certain that none has run
    concluded       served; or rejected with a retry time where nothing has run or a repeat is safe; or failed

Invariants:
    - A request whose effect is not safe is never sent again, and never rejected as retryable, once an attempt
      may have run.
    - Every attempt beyond the first that may reach a backend costs one unit of the retry budget. The budget
      holds over all proxies without coordination: each spends a share of its own requests, and these add up
      to the same share of all. A service's extra allowance is divided by the number of proxies, and a
      restarted proxy starts with none of it.
    - A token whose request reached no backend is returned; an attempt that may run a second time on one token
      is charged to the quota.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from troutdock.admission.interface import (
    Actions,
    ResponseStarted,
    AttemptEnded,
    BackendState,
    IngressMembership,
    Effect,
    Event,
    Fail,
    FleetUpdate,
    LeasesDue,
    ListKind,
    PeerLoad,
    Outcome,
    Plan,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestQueued,
    RequestWithdrawn,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    BackendSuspected,
    TimerFired,
)
from troutdock.admission.backend_selection import (
    FAILURE_COST,
    LATENCY_FACTOR_GAIN,
    MIN_LATENCY_FACTOR,
    MAX_LATENCY_FACTOR,
    Backend,
    Selection,
    Pool,
    ServiceTime,
    select_backend,
)
from troutdock.admission.tenant import Tenant
from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.leases import QuotaLeases, Verdict
from troutdock.quota.node import QuotaNode

# of the configured ratio: retries of retries and calls that bypass the proxies are not visible here
RETRY_BUDGET_SHARE = 0.75
RETRY_ALLOWANCE_SHARE = 0.5  # of the allowance, divided by the number of proxies
MAX_CONNECT_FAILURES = 3  # failed connections after which a request is given up
PRIORITY_STEP = 0.15  # of the latency target: how much less each lower priority rank may be predicted to take
# of the time left: what a client at its retry time may be predicted to take; a second rejection is expensive
SCHEDULED_RETRY_SHARE = 0.85
MAX_LOCAL_WAIT_SHARE = 0.25  # of the latency target: a request that waited longer may be late
MAX_TIMEOUT_DECAY = 0.9995  # of the longest client time-out seen, per request of the route
FIRST_ATTEMPT_SHARE = 0.97  # of the longest client time-out: a client with less time left is on a retry
TIMERS_PER_REQUEST = 64  # timer labels of one request: more than it can have attempts
QUOTA_TIMER = TIMERS_PER_REQUEST - 1  # the timer of a request that waits for a token
QUOTA_WAIT_SHARE = 0.2  # of the latency target: a rejection within a quarter of it costs little
NO_OWNER_RETRY_MS = 250.0  # retry time if no quota owner answered: about the time until a new one serves


class Call:
    """A request without its final answer yet."""

    __slots__ = (
        "attempted",
        "awaits_quota",
        "cls",
        "connect_failures",
        "deadline",
        "event",
        "may_have_run",
        "open_attempts",
        "scheduled_retry",
        "sent_attempts",
        "service_time",
        "target_at",
        "tenant",
    )

    def __init__(
        self,
        event: RequestArrived,
        cls: RequestClass,
        tenant: Tenant,
        service_time: ServiceTime,
        now: float,
        max_timeout_ms: float,
    ) -> None:
        self.event, self.cls, self.tenant, self.service_time = event, cls, tenant, service_time
        self.deadline = now + event.time_left_ms
        # time missing from the usual client time-out has passed since the client's first attempt
        self.target_at = now + min(
            cls.aim_ms - max(0.0, max_timeout_ms - event.time_left_ms), event.time_left_ms
        )
        self.attempted: list[Backend] = []
        self.open_attempts: list[int] = []  # numbers of the attempts that have not ended
        self.sent_attempts = 0  # attempts that may have reached a backend
        self.connect_failures = 0
        self.may_have_run = self.scheduled_retry = False
        self.awaits_quota = False


class ProxyAdmission:
    """Decides for one proxy: pass it every event and carry out the actions that it returns."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        zone: int = 0,
        ratio: float = 0.2,
        allowance: float = 0.0,
        quotas: QuotaNode | None = None,
    ) -> None:
        """Creates the decision module of one proxy.

        Args:
            settings: Request classes and tenants' quotas.
            seed: Of the random choices.
            zone: The proxy's zone.
            ratio: Retry budget per service, as a fraction of its requests.
            allowance: Retries beyond that, summed over all proxies.
            quotas: The proxy's node in the quota system; by default it is the only proxy.
        """
        self.settings, self.random, self.zone = settings, Random(seed), zone
        self._ratio, self._allowance = ratio * RETRY_BUDGET_SHARE, allowance * RETRY_ALLOWANCE_SHARE
        self.quotas = quotas or QuotaNode.standalone()
        self.leases = QuotaLeases(self.quotas)
        self.membership = IngressMembership(1, 1)
        self.tenants: dict[int, Tenant] = {}
        self.backends: dict[int, Backend] = {}
        self.pools: dict[int, Pool] = {}
        self.service_times: dict[str, ServiceTime] = {}
        self.calls: dict[int, Call] = {}
        self.loads_changed: dict[int, None] = {}  # backends with changes not reported to peers yet
        self.actions: Actions = []
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self._arrived,
            RequestQueued: self._waited,
            AttemptEnded: self._attempt_ended,
            ResponseStarted: self._response_started,
            RequestWithdrawn: self._withdrawn,
            TimerFired: self._timer_fired,
            FleetUpdate: self._backends_changed,
            SettingsChanged: self._settings_changed,
            IngressMembership: self._membership_changed,
            PeerLoad: self._peer_load_changed,
            LeasesDue: self._leases_due,
            BackendSuspected: self._heartbeat_changed,
        }
        if any(plan.rate for plan in settings.plans):
            self._apply_limits(0.0)

    def handle(self, now: float, event: Event) -> Actions:
        """Processes one event; the actions are to be carried out in order."""
        self.actions = []
        if handler := self._handlers.get(type(event)):
            handler(now, event)
        return self.actions

    # ---- quotas and admission

    def _apply_limits(self, now: float) -> None:
        plans = [plan for plan in self.settings.plans if plan.rate]
        limits = {plan.name: QuotaLimit(plan.rate, plan.burst) for plan in plans}
        self.quotas.set_limits(now / 1000, limits)

    def _tenant(self, now: float, number: int, plan: Plan) -> Tenant:
        tenant = self.tenants.get(number)
        if tenant is None:
            tenant = self.tenants[number] = Tenant(plan, now)
        tenant.plan = plan
        return tenant

    @property
    def _even_share(self) -> float:
        return 1 / max(1, self.membership.ingresses)

    def _arrived(self, now: float, event: RequestArrived) -> None:
        tenant = self._tenant(now, event.customer, self.settings.plans[event.plan])
        cls = self.settings.classes[event.cls]
        service_time = self.service_times.get(cls.name)
        if service_time is None:
            service_time = self.service_times[cls.name] = ServiceTime(cls.aim_ms)
        service_time.max_timeout_ms = max(service_time.max_timeout_ms * MAX_TIMEOUT_DECAY, event.time_left_ms)
        call = Call(event, cls, tenant, service_time, now, service_time.max_timeout_ms * FIRST_ATTEMPT_SHARE)
        pool = self._pool(event.pool)
        self.calls[event.request] = call
        pool.retry_budget = min(self._max_retry_budget, pool.retry_budget + self._ratio)
        call.scheduled_retry = tenant.claim_appointment(now)
        tenant.record_arrival(now)
        verdict = self._request_token(now, call) if tenant.is_limited else Verdict.GRANTED
        if verdict is Verdict.GRANTED:
            self._admit(now, call)
        elif verdict is Verdict.REFUSED:
            self._refuse(now, call)
        else:
            self._await_quota(now, call)

    def _request_token(self, now: float, call: Call) -> Verdict:
        plan, number = call.tenant.plan, call.event.request
        limit = QuotaLimit(plan.rate, plan.burst)
        return self.leases.request(
            now / 1000, plan.name, limit, self._even_share, number, call.scheduled_retry
        )

    def _await_quota(self, now: float, call: Call) -> None:
        call.awaits_quota = True
        self._take_results(now)
        if call.awaits_quota:
            wait_ms = min(QUOTA_WAIT_SHARE * call.cls.aim_ms, call.event.time_left_ms / 2)
            request = call.event.request
            self.actions.append(SetTimer(wait_ms, request * TIMERS_PER_REQUEST + QUOTA_TIMER, request))

    def _leases_due(self, now: float, event: LeasesDue) -> None:
        self.leases.tick(now / 1000)
        self._take_results(now)

    def _take_results(self, now: float) -> None:
        """Admits or rejects the requests for which a quota decision has arrived."""
        for result in self.leases.results(now / 1000):
            call = self.calls.get(result.request)
            if call is None:
                continue
            call.awaits_quota = False
            if result.granted:
                self._admit(now, call)
            else:
                self._refuse(now, call)

    def _admit(self, now: float, call: Call) -> None:
        """Sends a request within its quota if a backend is predicted to respond in time."""
        selection = self._select(now, call)
        if selection is not None and not self._is_too_late(now, call, selection):
            return self._send(now, call, selection)
        if call.tenant.is_limited:
            self.leases.put_back(now / 1000, call.tenant.plan.name)
        return self._refuse(now, call)

    def _quota_timed_out(self, now: float, call: Call) -> None:
        """Rejects a request for which no quota owner answered, to be retried once there is an owner."""
        self.leases.withdraw(call.tenant.plan.name, call.event.request)
        self.actions.append(Refuse(call.event.request, NO_OWNER_RETRY_MS))
        self.calls.pop(call.event.request, None)

    def _waited(self, now: float, event: RequestQueued) -> None:
        """Overload protection: rejects a request that waited too long before work is spent on it."""
        if event.waited_ms > MAX_LOCAL_WAIT_SHARE * self.settings.classes[event.cls].aim_ms:
            tenant = self._tenant(now, event.customer, self.settings.plans[event.plan])
            self.actions.append(Refuse(0, self._retry_after_ms(now, tenant)))

    def _is_too_late(self, now: float, call: Call, selection: Selection) -> bool:
        """Whether no backend can be expected to respond in time, so that an early rejection is better."""
        # a client at its retry time, or already late: any response is better than none
        if call.scheduled_retry or call.target_at <= now:
            return selection.expected_ms > (call.deadline - now) * SCHEDULED_RETRY_SHARE
        # priority matters only if another request could use the slot: a free slot has no other taker
        free = selection.backend.load < selection.backend.slots
        fraction = 1.0 if free else max(0.3, 1 - PRIORITY_STEP * call.event.priority)
        return selection.expected_ms > (call.target_at - now) * fraction

    @property
    def _max_retry_budget(self) -> float:
        return 1.0 + self._allowance / max(1, self.membership.ingresses)

    def _refuse(self, now: float, call: Call) -> None:
        self.actions.append(Refuse(call.event.request, self._retry_after_ms(now, call.tenant)))
        self.calls.pop(call.event.request, None)

    def _retry_after_ms(self, now: float, tenant: Tenant) -> float:
        share = 1.0
        if tenant.is_limited:
            share = self.leases.share(now / 1000, tenant.plan.name, self._even_share)
        return tenant.retry_after_ms(now, share)

    def _fail(self, call: Call) -> None:
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    def _membership_changed(self, now: float, event: IngressMembership) -> None:
        self.membership = event

    # ---- backends

    def _pool(self, number: int) -> Pool:
        pool = self.pools.get(number)
        if pool is None:
            pool = self.pools[number] = Pool(number)
        return pool

    def _backends_changed(self, now: float, event: FleetUpdate) -> None:
        """Applies changes of the list; backends that are not ready get no new attempts from now on."""
        if event.kind is not ListKind.CHANGES:
            raise ValueError("only FleetUpdate events of kind CHANGES are supported")
        for entry in event.entries:
            backend = self.backends.get(entry.backend)
            if entry.state is BackendState.GONE:
                if backend is not None:
                    backend.pool.ready.pop(entry.backend, None)
                    if not backend.out:
                        del self.backends[entry.backend]
                    backend.entry = entry
                continue
            if backend is None:
                backend = self.backends[entry.backend] = Backend(entry, self._pool(event.pool))
            backend.entry = entry
            if entry.state is BackendState.READY:
                backend.pool.ready[entry.backend] = backend
            else:
                backend.pool.ready.pop(entry.backend, None)

    def _peer_load_changed(self, now: float, event: PeerLoad) -> None:
        if event.complete:
            for number, backend in self.backends.items():
                if event.origin in backend.peer_loads and number not in event.out:
                    backend.set_peer_load(event.origin, 0)
        for number, count in event.out.items():
            if (reported := self.backends.get(number)) is not None:
                reported.set_peer_load(event.origin, count)

    def _heartbeat_changed(self, now: float, event: BackendSuspected) -> None:
        if (backend := self.backends.get(event.backend)) is not None:
            backend.heartbeat_lost = event.silent
            if not event.silent and backend.entry.state is BackendState.READY:
                backend.pool.ready[event.backend] = backend

    def _settings_changed(self, now: float, event: SettingsChanged) -> None:
        self.settings = event.settings
        plans = {plan.name for plan in event.settings.plans}
        for number in [n for n, t in self.tenants.items() if t.plan.name not in plans]:
            del self.tenants[number]
        self._apply_limits(now)

    # ---- attempts

    def _select(self, now: float, call: Call, idle_only: bool = False) -> Selection | None:
        return select_backend(
            now,
            self._pool(call.event.pool),
            call.service_time,
            call.target_at - now,
            self.zone,
            call.attempted,
            self.random,
            idle_only,
        )

    def _send(self, now: float, call: Call, selection: Selection) -> None:
        backend, number = selection.backend, len(call.attempted)
        pool = backend.pool
        pool.mean_service_ms += (call.service_time.mean_ms - pool.mean_service_ms) * 0.05
        backend.out[call.event.request, number] = now, selection.expected_ms
        backend.take_connection(now)
        backend.circuit.attempt_sent(now)
        self.loads_changed[backend.entry.backend] = None
        call.attempted.append(backend)
        call.open_attempts.append(number)
        call.sent_attempts += 1
        self.actions.append(Send(call.event.request, backend.entry.backend))
        if call.cls.effect is Effect.SAFE and number + 1 < call.event.max_attempts:
            overdue_ms = selection.expected_ms * call.service_time.overdue_factor
            # a copy sent by then can still meet the latency target
            latest_ms = call.target_at - now - 1.3 * call.service_time.mean_ms
            copy_after_ms = max(1.5 * selection.expected_ms, min(overdue_ms, latest_ms))
            if now + copy_after_ms < call.deadline:
                self.actions.append(
                    SetTimer(
                        copy_after_ms, call.event.request * TIMERS_PER_REQUEST + number, call.event.request
                    )
                )

    def _timer_fired(self, now: float, event: TimerFired) -> None:
        """Sends a copy of an overdue request to a backend with a free slot; the first may still respond."""
        request, number = divmod(event.label, TIMERS_PER_REQUEST)
        call = self.calls.get(request)
        if number == QUOTA_TIMER:
            if call is not None and call.awaits_quota:
                self._quota_timed_out(now, call)
            return
        if call is None or number not in call.open_attempts or number != len(call.attempted) - 1:
            return
        call.attempted[number].record_failure(now, FAILURE_COST / 4)
        self._retry(now, call, copy=True)

    def _retry(self, now: float, call: Call, copy: bool = False) -> None:
        """Decides what follows a failed or overdue attempt: another one, a rejection or a failure."""
        repeatable = call.cls.effect is Effect.SAFE or not call.may_have_run
        pool = self._pool(call.event.pool)
        cost = 1.0 if call.sent_attempts else 0.0  # attempts that reached no backend are free
        allowed = (
            repeatable
            and call.sent_attempts < call.event.max_attempts
            and call.connect_failures < MAX_CONNECT_FAILURES
            and pool.retry_budget >= cost
            and now < call.deadline - self.settings.tick_ms
        )
        selection = self._select(now, call, copy) if allowed else None
        if selection is not None and now + selection.expected_ms / 2 < call.deadline:
            pool.retry_budget -= cost
            if call.tenant.is_limited and (call.open_attempts or call.may_have_run):
                self.quotas.charge(call.tenant.plan.name)  # it may run twice on one token
            return self._send(now, call, selection)
        if call.open_attempts:
            return None  # an open attempt may still succeed
        if not repeatable:
            return self._fail(call)
        if not call.sent_attempts and call.attempted and call.tenant.is_limited:
            self.leases.put_back(now / 1000, call.tenant.plan.name)
        return self._refuse(now, call)

    def _attempt_ended(self, now: float, event: AttemptEnded) -> None:
        backend = self.backends.get(event.backend)
        sent = backend.out.pop((event.request, event.attempt), None) if backend is not None else None
        call = self.calls.get(event.request)
        if backend is not None and sent is not None:
            self.loads_changed[event.backend] = None
            self._record_outcome(now, backend, event, sent, call)
            if backend.entry.state is BackendState.GONE and not backend.out:
                self.backends.pop(event.backend, None)
        if call is None:
            return
        if event.attempt in call.open_attempts:
            call.open_attempts.remove(event.attempt)
        if event.over:
            self.calls.pop(event.request, None)
            return
        if event.outcome is Outcome.CONNECT_FAILED:
            call.connect_failures += 1
            call.sent_attempts -= 1
        elif not event.outcome.never_ran:
            call.may_have_run = True
        if not call.open_attempts or event.attempt == len(call.attempted) - 1:
            self._retry(now, call)

    def _record_outcome(
        self, now: float, backend: Backend, event: AttemptEnded, sent: tuple[float, float], call: Call | None
    ) -> None:
        outcome = event.outcome
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            backend.last_response_at = now
            backend.circuit.answered()
            backend.return_connection(now)
        elif outcome is Outcome.CONNECT_FAILED:
            backend.circuit.connect_failed(now)
        else:
            backend.circuit.outcome_unknown()
        if (
            outcome is Outcome.WRONG_INSTANCE
        ):  # another instance has its address: it has ended, even if listed
            backend.pool.ready.pop(event.backend, None)
        if outcome is Outcome.OK:
            backend.heartbeat_lost = False
            took_ms = event.elapsed_ms - event.lag_ms
            if call is None or took_ms <= 0:
                return
            call.tenant.record_response(event.elapsed_ms)
            # it did not queue behind other requests
            if backend.load < backend.slots and sent[1] <= call.service_time.mean_ms * MAX_LATENCY_FACTOR * 2:
                call.service_time.record(took_ms, max(1.0, sent[1]))
                if now >= backend.entry.warm_at_ms:
                    ratio = min(
                        MAX_LATENCY_FACTOR,
                        max(MIN_LATENCY_FACTOR, took_ms / max(1.0, sent[1]) * backend.latency_factor),
                    )
                    backend.latency_factor += (ratio - backend.latency_factor) * LATENCY_FACTOR_GAIN
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            backend.record_failure(now, FAILURE_COST)
        elif outcome is Outcome.FULL:
            backend.record_failure(now, FAILURE_COST / 2)

    def _response_started(self, now: float, event: ResponseStarted) -> None:
        if (backend := self.backends.get(event.backend)) is not None:
            backend.last_response_at = now

    def _withdrawn(self, now: float, event: RequestWithdrawn) -> None:
        call = self.calls.pop(event.request, None)
        if call is not None and call.awaits_quota:
            self.leases.withdraw(call.tenant.plan.name, event.request)

    # ---- reports to peers

    def own_load(self, number: int) -> int:
        """Returns the number of this proxy's open attempts at a backend."""
        backend = self.backends.get(number)
        return len(backend.out) if backend is not None else 0
