"""The decisions of one ingress of the whole gateway: its way through the events (no I/O, no clock).

What gateway.Gateway is for one site, with a list of servers and a counter given, this is where ingresses
know each other only by what they tell: the engine hands either its events and carries out the actions.
Tenants' quotas are leased from their owners (troutdock.quota), return times are tenant.py's, backends
backend_selection.py's; here are attempts, the budget of second sendings,
and refusals.

    waits             for a token of its tenant's quota, a part of its aim at most; nothing of it has run
    repeatable        another attempt after any failure, and a copy once the answer is overdue
    not repeatable    another attempt only while it is certain that none has run
    given up          refused with a return time where nothing has run or may be repeated; failed otherwise

The budget of second sendings holds over all ingresses without talk: each spends a part of its own requests,
and the parts add up to that part of all. What a service's allowance gives on top is split by the ingresses
that are there, and a restarted one begins with none of it.
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
    DOUBT,
    LEARN_SPEED,
    QUICKEST,
    SLOWEST,
    Backend,
    Choice,
    Pool,
    Work,
    choose,
)
from troutdock.admission.tenant import Tenant
from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.leases import QuotaLeases, Verdict
from troutdock.quota.node import QuotaNode

# of the budget's ratio that is spent: repeats of repeats and calls by others' ways are not seen here
PART = 0.75
ALLOWANCE_PART = 0.5  # of its allowance, split by ingresses
UNCONNECTED = 3  # backends that can't be connected to, after which a try is given up
PRESSED = 0.15  # of the aim, a rank: how much less of it a lower priority may be expected to take
HOPE = 0.85  # of the time left: what a client that returned may be expected to take; a second refusal is dear
WAIT_PART = 0.25  # of the aim: what waited longer for this process may not be served in time
USUAL = 0.9995  # how slowly the longest time that clients wait is forgotten, a request of the route
WHOLE = 0.97  # of it: a client with less of it has tried before
LABELS = 64  # timers of one request: more than it can have attempts
QUOTA_LABEL = LABELS - 1  # the timer of a request that waits for a token
QUOTA_WAIT_PART = 0.2  # of the aim: within a quarter of it a refusal costs little
UNSERVED_RETRY_MS = 250.0  # a return time where no owner answered: about as long as a new one takes


class Call:
    """A request that is not answered yet."""

    __slots__ = (
        "aim",
        "awaits_quota",
        "cls",
        "event",
        "give_up",
        "may_have_run",
        "out",
        "returning",
        "sendings",
        "tenant",
        "tried",
        "unconnected",
        "work",
    )

    def __init__(
        self,
        event: RequestArrived,
        cls: RequestClass,
        tenant: Tenant,
        work: Work,
        now: float,
        usual_ms: float,
    ) -> None:
        self.event, self.cls, self.tenant, self.work = event, cls, tenant, work
        self.give_up = now + event.time_left_ms
        # what a client waits less than it usually does has gone by since its first try
        self.aim = now + min(cls.aim_ms - max(0.0, usual_ms - event.time_left_ms), event.time_left_ms)
        self.tried: list[Backend] = []
        self.out: list[int] = []  # the attempts that have not ended
        self.sendings = 0  # those that may have arrived
        self.unconnected = 0
        self.may_have_run = self.returning = False
        self.awaits_quota = False


class Fabric:
    """Decides for one ingress; hand it every event and carry out the actions it gives back."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        zone: int = 0,
        ratio: float = 0.2,
        allowance: float = 0.0,
        quotas: QuotaNode | None = None,
    ) -> None:
        """Decide for one ingress.

        Args:
            settings: Classes of requests and tenants' quotas.
            seed: Of what is drawn by lot.
            zone: Where it stands.
            ratio: Second sendings by the requests for a service.
            allowance: Second sendings beyond that, over all ingresses.
            quotas: Its part in the fleet's quotas; by default it is the only ingress.
        """
        self.settings, self.random, self.zone = settings, Random(seed), zone
        self._ratio, self._allowance = ratio * PART, allowance * ALLOWANCE_PART
        self.quotas = quotas or QuotaNode.standalone()
        self.leases = QuotaLeases(self.quotas)
        self.company = IngressMembership(1, 1)
        self.tenants: dict[int, Tenant] = {}
        self.backends: dict[int, Backend] = {}
        self.pools: dict[int, Pool] = {}
        self.works: dict[str, Work] = {}
        self.calls: dict[int, Call] = {}
        self.loads_changed: dict[int, None] = {}  # backends whose own open attempts others don't know yet
        self.actions: Actions = []
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self._arrived,
            RequestQueued: self._waited,
            AttemptEnded: self._ended,
            ResponseStarted: self._began,
            RequestWithdrawn: self._withdrawn,
            TimerFired: self._overdue,
            FleetUpdate: self._fleet,
            SettingsChanged: self._changed,
            IngressMembership: self._company,
            PeerLoad: self._others_load,
            LeasesDue: self._leases_due,
            BackendSuspected: self._suspected,
        }
        if any(plan.rate for plan in settings.plans):
            self._follow_limits(0.0)

    def handle(self, now: float, event: Event) -> Actions:
        """Take in one event; the actions are to be carried out in order."""
        self.actions = []
        if handler := self._handlers.get(type(event)):
            handler(now, event)
        return self.actions

    # ---- the quota

    def _follow_limits(self, now: float) -> None:
        plans = [plan for plan in self.settings.plans if plan.rate]
        limits = {plan.name: QuotaLimit(plan.rate, plan.burst) for plan in plans}
        self.quotas.set_limits(now / 1000, limits)

    def _tenant(self, now: float, number: int, plan: Plan) -> Tenant:
        known = self.tenants.get(number)
        if known is None:
            known = self.tenants[number] = Tenant(plan, now)
        known.plan = plan
        return known

    @property
    def _even_share(self) -> float:
        return 1 / max(1, self.company.ingresses)

    def _arrived(self, now: float, event: RequestArrived) -> None:
        tenant = self._tenant(now, event.customer, self.settings.plans[event.plan])
        cls = self.settings.classes[event.cls]
        work = self.works.get(cls.name)
        if work is None:
            work = self.works[cls.name] = Work(cls.aim_ms)
        work.usual_ms = max(work.usual_ms * USUAL, event.time_left_ms)
        call = Call(event, cls, tenant, work, now, work.usual_ms * WHOLE)
        pool = self._pool(event.pool)
        self.calls[event.request] = call
        pool.further = min(self._most_further, pool.further + self._ratio)
        call.returning = tenant.take_appointment(now)
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
        return self.leases.request(now / 1000, plan.name, limit, self._even_share, number, call.returning)

    def _await_quota(self, now: float, call: Call) -> None:
        call.awaits_quota = True
        self._take_results(now)
        if call.awaits_quota:
            wait_ms = min(QUOTA_WAIT_PART * call.cls.aim_ms, call.event.time_left_ms / 2)
            request = call.event.request
            self.actions.append(SetTimer(wait_ms, request * LABELS + QUOTA_LABEL, request))

    def _leases_due(self, now: float, event: LeasesDue) -> None:
        self.leases.tick(now / 1000)
        self._take_results(now)

    def _take_results(self, now: float) -> None:
        """Go on with the requests whose quota has answered."""
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
        """The quota lets it in: send it, where a backend can be expected to answer in time."""
        choice = self._choose(now, call)
        if choice is not None and not self._hopeless(now, call, choice):
            return self._send(now, call, choice)
        if call.tenant.is_limited:
            self.leases.put_back(now / 1000, call.tenant.plan.name)
        return self._refuse(now, call)

    def _quota_unserved(self, now: float, call: Call) -> None:
        """Nobody has answered for the quota: better told at once to come back when there is an owner."""
        self.leases.withdraw(call.tenant.plan.name, call.event.request)
        self.actions.append(Refuse(call.event.request, UNSERVED_RETRY_MS))
        self.calls.pop(call.event.request, None)

    def _waited(self, now: float, event: RequestQueued) -> None:
        """Guards this process: what waited past its part of the aim is refused before work is spent on it."""
        if event.waited_ms > WAIT_PART * self.settings.classes[event.cls].aim_ms:
            tenant = self._tenant(now, event.customer, self.settings.plans[event.plan])
            self.actions.append(Refuse(0, self._return_time(now, tenant)))

    def _hopeless(self, now: float, call: Call, choice: Choice) -> bool:
        """Nobody can be expected to answer in time: better told at once to come back."""
        if call.returning or call.aim <= now:  # told to come, or late already: any answer is better than none
            return choice.expected > (call.give_up - now) * HOPE
        # a rank only counts where somebody else could have the place: a slot that is free is nobody's
        free = choice.backend.load < choice.backend.slots
        part = 1.0 if free else max(0.3, 1 - PRESSED * call.event.priority)
        return choice.expected > (call.aim - now) * part

    @property
    def _most_further(self) -> float:
        return 1.0 + self._allowance / max(1, self.company.ingresses)

    def _refuse(self, now: float, call: Call) -> None:
        self.actions.append(Refuse(call.event.request, self._return_time(now, call.tenant)))
        self.calls.pop(call.event.request, None)

    def _return_time(self, now: float, tenant: Tenant) -> float:
        share = 1.0
        if tenant.is_limited:
            share = self.leases.share(now / 1000, tenant.plan.name, self._even_share)
        return tenant.return_time(now, share)

    def _fail(self, call: Call) -> None:
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    def _company(self, now: float, event: IngressMembership) -> None:
        self.company = event

    # ---- backends

    def _pool(self, number: int) -> Pool:
        known = self.pools.get(number)
        if known is None:
            known = self.pools[number] = Pool(number)
        return known

    def _fleet(self, now: float, event: FleetUpdate) -> None:
        """Follow the list; what it does not name as ready gets nothing new from this moment on."""
        if event.kind is not ListKind.CHANGES:
            raise ValueError("backends are told by their changes here")
        for entry in event.entries:
            known = self.backends.get(entry.backend)
            if entry.state is BackendState.GONE:
                if known is not None:
                    known.pool.ready.pop(entry.backend, None)
                    if not known.out:
                        del self.backends[entry.backend]
                    known.entry = entry
                continue
            if known is None:
                known = self.backends[entry.backend] = Backend(entry, self._pool(event.pool))
            known.entry = entry
            if entry.state is BackendState.READY:
                known.pool.ready[entry.backend] = known
            else:
                known.pool.ready.pop(entry.backend, None)

    def _others_load(self, now: float, event: PeerLoad) -> None:
        if event.complete:
            for number, backend in self.backends.items():
                if event.origin in backend.others and number not in event.out:
                    backend.tell_others(event.origin, 0)
        for number, count in event.out.items():
            if (known := self.backends.get(number)) is not None:
                known.tell_others(event.origin, count)

    def _suspected(self, now: float, event: BackendSuspected) -> None:
        if (backend := self.backends.get(event.backend)) is not None:
            backend.silent = event.silent
            if not event.silent and backend.entry.state is BackendState.READY:
                backend.pool.ready[event.backend] = backend

    def _changed(self, now: float, event: SettingsChanged) -> None:
        self.settings = event.settings
        plans = {plan.name for plan in event.settings.plans}
        for number in [n for n, t in self.tenants.items() if t.plan.name not in plans]:
            del self.tenants[number]
        self._follow_limits(now)

    # ---- attempts

    def _choose(self, now: float, call: Call, idle_only: bool = False) -> Choice | None:
        return choose(
            now,
            self._pool(call.event.pool),
            call.work,
            call.aim - now,
            self.zone,
            call.tried,
            self.random,
            idle_only,
        )

    def _send(self, now: float, call: Call, choice: Choice) -> None:
        backend, number = choice.backend, len(call.tried)
        pool = backend.pool
        pool.mean_work += (call.work.mean - pool.mean_work) * 0.05
        backend.out[call.event.request, number] = now, choice.expected
        backend.connects(now)
        backend.circuit.attempt_sent(now)
        self.loads_changed[backend.entry.backend] = None
        call.tried.append(backend)
        call.out.append(number)
        call.sendings += 1
        self.actions.append(Send(call.event.request, backend.entry.backend))
        if call.cls.effect is Effect.SAFE and number + 1 < call.event.max_attempts:
            late = choice.expected * call.work.late
            last_call = call.aim - now - 1.3 * call.work.mean  # a copy then is still in time
            due = max(1.5 * choice.expected, min(late, last_call))
            if now + due < call.give_up:
                self.actions.append(SetTimer(due, call.event.request * LABELS + number, call.event.request))

    def _overdue(self, now: float, event: TimerFired) -> None:
        """A copy goes elsewhere while the first may still answer, where a slot stands free."""
        request, number = divmod(event.label, LABELS)
        call = self.calls.get(request)
        if number == QUOTA_LABEL:
            if call is not None and call.awaits_quota:
                self._quota_unserved(now, call)
            return
        if call is None or number not in call.out or number != len(call.tried) - 1:
            return
        call.tried[number].fails(now, DOUBT / 4)
        self._again(now, call, copy=True)

    def _again(self, now: float, call: Call, copy: bool = False) -> None:
        """The one table of further attempts."""
        harmless = call.cls.effect is Effect.SAFE or not call.may_have_run
        pool = self._pool(call.event.pool)
        cost = 1.0 if call.sendings else 0.0  # one that never arrived is no second arrival
        may = (
            harmless
            and call.sendings < call.event.max_attempts
            and call.unconnected < UNCONNECTED
            and pool.further >= cost
            and now < call.give_up - self.settings.tick_ms
        )
        choice = self._choose(now, call, copy) if may else None
        if choice is not None and now + choice.expected / 2 < call.give_up:
            pool.further -= cost
            if call.tenant.is_limited and (call.out or call.may_have_run):
                self.quotas.charge(call.tenant.plan.name)  # it may run a second time, on one token
            return self._send(now, call, choice)
        if call.out:
            return None  # what is out may still answer
        if not harmless:
            return self._fail(call)
        if not call.sendings and call.tried and call.tenant.is_limited:
            self.leases.put_back(now / 1000, call.tenant.plan.name)
        return self._refuse(now, call)

    def _ended(self, now: float, event: AttemptEnded) -> None:
        backend = self.backends.get(event.backend)
        sent = backend.out.pop((event.request, event.attempt), None) if backend is not None else None
        call = self.calls.get(event.request)
        if backend is not None and sent is not None:
            self.loads_changed[event.backend] = None
            self._learn(now, backend, event, sent, call)
            if backend.entry.state is BackendState.GONE and not backend.out:
                self.backends.pop(event.backend, None)
        if call is None:
            return
        if event.attempt in call.out:
            call.out.remove(event.attempt)
        if event.over:
            self.calls.pop(event.request, None)
            return
        if event.outcome is Outcome.CONNECT_FAILED:
            call.unconnected += 1
            call.sendings -= 1
        elif not event.outcome.never_ran:
            call.may_have_run = True
        if not call.out or event.attempt == len(call.tried) - 1:
            self._again(now, call)

    def _learn(
        self, now: float, backend: Backend, event: AttemptEnded, sent: tuple[float, float], call: Call | None
    ) -> None:
        outcome = event.outcome
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            backend.heard_at = now
            backend.circuit.answered()
            backend.keeps(now)
        elif outcome is Outcome.CONNECT_FAILED:
            backend.circuit.connect_failed(now)
        else:
            backend.circuit.outcome_unknown()
        if (
            outcome is Outcome.WRONG_INSTANCE
        ):  # another one serves at its address: it has ended, whatever the list says
            backend.pool.ready.pop(event.backend, None)
        if outcome is Outcome.OK:
            backend.silent = False
            took = event.elapsed_ms - event.lag_ms
            if call is None or took <= 0:
                return
            call.tenant.record_answer(event.elapsed_ms)
            if (
                backend.load < backend.slots and sent[1] <= call.work.mean * SLOWEST * 2
            ):  # nothing stood before it
                call.work.learn(took, max(1.0, sent[1]))
                if now >= backend.entry.warm_at_ms:
                    ratio = min(SLOWEST, max(QUICKEST, took / max(1.0, sent[1]) * backend.speed))
                    backend.speed += (ratio - backend.speed) * LEARN_SPEED
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            backend.fails(now, DOUBT)
        elif outcome is Outcome.FULL:
            backend.fails(now, DOUBT / 2)

    def _began(self, now: float, event: ResponseStarted) -> None:
        if (backend := self.backends.get(event.backend)) is not None:
            backend.heard_at = now

    def _withdrawn(self, now: float, event: RequestWithdrawn) -> None:
        call = self.calls.pop(event.request, None)
        if call is not None and call.awaits_quota:
            self.leases.withdraw(call.tenant.plan.name, event.request)

    # ---- what others are told

    def load(self, backend: int) -> int:
        """Own open attempts there."""
        known = self.backends.get(backend)
        return len(known.out) if known is not None else 0
