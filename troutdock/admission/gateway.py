"""Admission state machine; settings, events and actions are in troutdock/admission/interface.py."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import islice
from math import ceil, gcd, inf
from random import Random
from typing import Any

from troutdock.admission.owner_query_codec import LEVEL_SCALE, QUERY, KINDS as ASKING
from troutdock.admission.owner_query_codec import OwnerQuery, OwnerReply, decode_reply
from troutdock.admission.bucket_replication import KINDS as COPIES
from troutdock.admission.usage_digest_codec import customer_key
from troutdock.admission.backend_health import BAD_WEIGHT, MAX_RETRY_TOKENS, Backend, Pool, OpenAttempt
from troutdock.admission.bucket_owner import BucketOwner
from troutdock.admission.interface import Actions, AttemptEnded, AttemptSettled, BackendState, Cancel
from troutdock.admission.interface import CounterAdd, CounterReply, DiscoveryStatus, Effect, Event, Fail
from troutdock.admission.interface import FleetUpdate, Group, Log, Outcome, PeerMessage, PlanAssigned, Refuse
from troutdock.admission.interface import RequestArrived, RequestClass, RequestQueued, RequestWithdrawn
from troutdock.admission.interface import ResponseStarted, Send, SendToPeer, SetTimer, Settings
from troutdock.admission.interface import SettingsChanged, TimerFired
from troutdock.admission.backend_list import apply_list_update
from troutdock.admission.counter_names import NAME_TTL_MS, counter_name
from troutdock.admission.backend_gossip import BackendGossip
from troutdock.admission.backend_gossip_codec import KINDS, short_id
from troutdock.admission.owner_queries import OwnerQueries
from troutdock.admission.customer_quota import Customer
from troutdock.admission.request_records import KeyedRequests, Call
from troutdock.admission.state_handover import apply_settings, apply_settled, settlement
from troutdock.admission.usage_gossip import UsageGossip

# ---- constants: ratios, unless the name ends in _MS
# Reserves, of the burst of the customer's slice
RETRY_RESERVE = 0.02  # left by first attempts to marked retries that can still meet their target
LATE_RESERVE = 0.6  # left by marked retries past their target to requests that can still meet theirs
# Reserves, of the burst, in the shared bucket
UNREPORTED = 0.1  # for usage that peers have not been able to report yet
NEW_RESERVE = 0.05  # left by first attempts to marked retries
NO_SHOW_MS = 2000.0  # a marked retry this late has given up; else its virtual queue entry would never end
CUSTOMER_TTL_MS = 20_000.0  # idle customers are dropped after this, or later if their buckets fill slower
MAX_DRIFT = 0.5  # of the burst: a counter total this far off is corrected by a separate call
MIN_REPORT = 0.01  # of the burst: the least usage reported to an owner without a query
# Usage is added to the counter in steps, of the burst. Below the full call rate, calls are skipped at random.
REPORT_STEP, FULL_CALL_RATE = 0.08, 0.4
CALL_RATE_START, CALL_RATE_MIN = 0.5, 0.01  # rate of counter calls
CALL_RATE_CUT, CALL_RATE_GAIN = 0.7, 0.04  # factor after a slow reply, increment after a prompt one
SLOW_REPLY = 0.8  # of the counter's time-out: slower replies indicate an overloaded counter
EWMA_KEEP, UNIT_GAIN = 0.9, 0.01  # weight of the past in moving averages; gain of a class's time per unit
FAULT = 10.0  # slowness sample that a failure counts as
FLEET_STEP = 1.5  # a sample for the fleet is capped at its slowness times this, plus one
QUIET_MS = 100.0  # without a sample from the fleet for this long, an idle backend receives a request
MILD_FAULT = 3.0  # replaces FAULT if a single connection or a single bad response may be the cause
OVERDUE_FACTOR = 4.0  # of an attempt's expected duration, after which another backend gets a second copy
TIE_FACTOR = 1.15  # backends this close to the best are chosen at random, to avoid herding
MIN_SUBSET, MAX_COMPARED = 5, 16  # backends in a gateway's subset; backends compared for one attempt
GOLDEN_RATIO = 0.618  # multiples of it, modulo the ring, lie far apart for any number of gateways
MIN_SOUND = 3  # with fewer sound backends in the subset, warm ones outside it are added
COLD_BUDGET = 0.8  # of the work that overloads the slowest cold backend, over all gateways together
RETRY_RATIO = 0.1  # retry tokens earned by each client request
MAX_WAIT, MIN_WAIT = 0.33, 0.25  # of the target: largest forecast wait for the highest worth, and for zero
OVER_QUOTA_WAIT = 0.5  # of that wait: for requests beyond their quota
QUEUE_WAIT, QUEUE_WAIT_MIN = 0.25, 0.4  # of the target: longest wait for this process; of that: at zero worth
QUEUE_WAIT_CUT = 0.3  # of that wait: for customers beyond their bucket and marked retries that come early
LABELS = 256  # timer labels per request: more than it can have attempts
SHED_EXPONENT, SEND_MS = 16.0, 300.0  # how steeply sends thin out beyond the largest wait; time until arrival


class Gateway:
    """Admission decisions of one gateway: call handle() for each event and execute the returned actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.backends: dict[int, Backend] = {}
        self.customers: dict[int, Customer] = {}
        self.keyed = KeyedRequests()
        self.counter_calls: dict[int, deque[tuple[Customer, float, float, Call | None]]] = {}  # open
        self.calls: dict[int, Call] = {}
        self.pools = {0: Pool(settings.classes)}
        self.asking = CALL_RATE_START
        self.retired = False  # its state was handed over: admits nothing new, see snapshot.py
        self.inherited: dict[tuple[int, int], tuple[int, int]] = {}  # predecessor's -> own
        self.last_inherited = 0
        self.timeouts_ms: dict[int, float] = {}  # by class: the usual time-out of first attempts
        intake = settings.peer_in_per_s * settings.peers
        self.owned = BucketOwner(intake)  # buckets owned here; queries: buckets owned by peers
        self.queries: OwnerQueries[tuple[Customer, Call | None, float]] = OwnerQueries(
            settings.gateways, settings.index, intake, Random(seed + 3)
        )
        self.usage = UsageGossip(settings.gateways, intake * (not self.queries.enabled), Random(seed + 1))
        self.gossip = BackendGossip(settings.gateways, settings.index, settings.peers, Random(seed + 2))
        self.crowded_at = -inf  # last sign of an overloaded counter
        self.started = inf  # time of the first event
        self.use_settings(settings)
        self.actions: Actions = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self.on_request,
            RequestQueued: self.on_request_queued,
            AttemptEnded: self.on_attempt_ended,
            ResponseStarted: self.on_response_started,
            CounterReply: self.on_counter_reply,
            FleetUpdate: self.on_fleet_update,
            RequestWithdrawn: self.on_request_withdrawn,
            TimerFired: self.on_timer,
            AttemptSettled: partial(apply_settled, self),
            SettingsChanged: partial(apply_settings, self),
            PlanAssigned: self.on_plan_assigned,
            PeerMessage: self.on_peer_message,
            DiscoveryStatus: self.on_discovery_status,
        }

    def use_settings(self, settings: Settings) -> None:
        """Stores the settings and the values derived from them."""
        self.settings, self.uses_counter = settings, settings.counter and not settings.meter_ms
        golden = max(1, round(GOLDEN_RATIO * settings.gateways))
        self.stride = next(n for n in range(golden, 2 * golden + 2) if gcd(n, settings.gateways) == 1)
        self.customer_ttl_ms = max(
            [CUSTOMER_TTL_MS]
            + [
                1000 * full / rate
                for p in settings.plans
                for full, rate in ((p.burst, p.rate), (p.ceiling_burst, p.ceiling_rate))
                if rate
            ]
        )
        self.max_worth = max(c.worth for c in settings.classes) * max(p.price for p in settings.plans) or 1.0

    def on_plan_assigned(self, now: float, event: PlanAssigned) -> None:
        """Switches a known customer to another plan; its usage so far is kept."""
        if (customer := self.customers.get(event.customer)) is not None:
            customer.change_plan(now, self.settings.plans[event.plan])

    def handle(self, now: float, event: Event) -> Actions:
        """Processes one event and returns the actions, to be executed in order."""
        self.actions = []
        self.started = min(self.started, now)
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        if self.queries.pending:
            self.retry_queries(now)
        if self.queries.enabled and not self.retired:
            self.actions += [SendToPeer(gateway, body) for gateway, body in self.owned.replicas.due(now)]
        if self.usage.due(now) and not self.retired:
            self.actions.append(SendToPeer(None, self.usage.next_digest(now)))
        if self.gossip.isolated and not self.retired:
            peers, content = self.gossip.query(now)
            self.actions += [SendToPeer(peer, content) for peer in peers]
        return self.actions

    def on_peer_message(self, now: float, event: PeerMessage) -> None:
        """Dispatches a peer's datagram; malformed ones are counted, and logged once per sender."""
        try:
            self.queries.record_contact(event.sender)
            if event.body[:1] in ASKING:
                self.on_owner_message(now, event)
            elif event.body[:1] in COPIES:
                answers = self.owned.replicas.receive(now, event.sender, event.body)
                self.actions += [SendToPeer(event.sender, body) for body in answers]
            elif event.body[:1] not in KINDS:
                self.usage.receive(now, event.sender, event.body)
            elif self.gossip.receive(now, event.sender, event.body):
                draining = [n for n, b in self.backends.items() if b.entry.state is BackendState.DRAINING]
                if reply := self.gossip.reply(now, draining):
                    self.actions.append(SendToPeer(event.sender, reply))
        except ValueError as error:
            malformed = self.usage.malformed.get(event.sender, 0)
            self.usage.malformed[event.sender] = malformed + 1
            if not malformed:
                self.actions.append(Log(f"malformed datagram from gateway {event.sender}: {error}"))

    def on_discovery_status(self, now: float, event: DiscoveryStatus) -> None:
        """Discovery is reachable or not; if not, peers are queried; if so, no backend is suspected."""
        self.gossip.set_discovery(now, event.answered)

    def on_request_withdrawn(self, now: float, event: RequestWithdrawn | AttemptEnded) -> None:
        self.calls.pop(event.request, None)

    # ---- quotas: the request path

    def customer_of(self, now: float, event: RequestArrived | RequestQueued) -> Customer:
        """Returns the request's customer, and drops customers idle long enough for full buckets."""
        known = self.customers.pop(event.customer, None)
        if known is None:
            plan, width = self.settings.plans[event.plan], max(1, min(event.width, self.settings.gateways))
            # random, so that infrequent reports are unbiased
            debt = -self.random.random() * REPORT_STEP * plan.burst * (not self.queries.enabled)
            known = Customer(plan, width, now, event.customer, debt, self.started, self.queries.enabled)
        self.customers[event.customer] = known  # least recently used first
        known.refill(now)
        if (plan := known.plan).rate and plan.burst and self.usage.is_receiving(now):
            level = self.usage.bucket(now, event.customer, plan.rate / plan.burst / 1000).level(now)
            known.store, known.told_at = level * plan.burst, now
            known.tokens = min(known.tokens, max(0.0, known.store))
        for _ in range(2):  # more than are added per request
            first, oldest = next(iter(self.customers.items()))
            if now - oldest.filled_at > self.customer_ttl_ms:
                del self.customers[first]
        return known

    def on_request(self, now: float, event: RequestArrived) -> None:
        """Decides on a request by its bucket, then by the shared bucket; refusals carry a return time."""
        customer, marks = self.customer_of(now, event), self.settings.marks_retry
        plan, pool = customer.plan, self.pool(event.pool)
        limit = event.max_attempts or self.settings.max_attempts
        usual_ms = self.timeouts_ms.get(event.cls, self.settings.classes[event.cls].deadline_ms)
        if not event.retry:
            known = self.timeouts_ms.setdefault(event.cls, event.time_left_ms)
            self.timeouts_ms[event.cls] = known + (event.time_left_ms - known) * (1 - EWMA_KEEP)
        call = Call(event, self.settings.classes[event.cls], customer, now, pool, limit, usual_ms)
        customer.first, customer.width = event.first_gateway, max(1, min(event.width, self.settings.gateways))
        self.calls[event.request] = call
        if event.retry and marks and customer.appointments:
            customer.appointments.popleft()
        pool.retries = min(MAX_RETRY_TOKENS, pool.retries + RETRY_RATIO)
        if call.cls.effect is Effect.KEYED and event.key:
            unknown = not self.keyed.recall(now, call) and event.retry and marks
            # After a restart, an unknown key may belong to a first attempt whose dedup window has ended. Only
            # then: in a fleet, nearly all retries arrive at another gateway than their first attempt.
            fresh = now - self.started < call.cls.deadline_ms > call.cls.window_ms
            aged = event.cls in self.timeouts_ms and SEND_MS <= call.age_ms < call.cls.window_ms - SEND_MS
            fresh = fresh and not aged
            if now >= call.dedup_until - SEND_MS or (unknown and fresh):
                return self.fail(call)
        if self.retired:
            return self.refuse(now, call)
        below_ceiling = not plan.ceiling_rate or customer.cap_tokens >= event.units
        if event.reserved:  # takes precedence over other usage, but not over the ceiling
            return self.admit(now, call, True, True) if below_ceiling else self.refuse(now, call)
        # Near the quota, late retries would otherwise take all refilled tokens and nobody would be served in
        # time. Clients that give their retries short time-outs could be affected, see Call.past_target.
        late = marks and event.retry and call.past_target
        full = plan.burst * customer.share
        kept = full * (LATE_RESERVE if late else RETRY_RESERVE if marks and not event.retry else 0.0)
        if below_ceiling and (not plan.rate or customer.tokens - kept >= event.units):
            return self.admit(now, call, True)
        customer.dry = True
        if not below_ceiling:
            return self.refuse(now, call)
        if plan.over_worth > plan.over_cost:
            return self.admit(now, call, full < event.units)
        if plan.rate and self.usage.is_receiving(now):  # peers report the remaining quota
            kept = plan.burst * (
                LATE_RESERVE if late else UNREPORTED + (NEW_RESERVE if marks and not event.retry else 0.0)
            )
            if customer.store - kept >= event.units:
                return self.admit(now, call, True)
            return self.refuse(now, call)
        if plan.rate and self.queries.enabled:
            kept = plan.burst * (LATE_RESERVE if late else NEW_RESERVE if marks and not event.retry else 0.0)
            if now < customer.shut_until or customer.max_store(now) - kept < event.units:
                return self.refuse(now, call)
            if self.ask_owner(now, customer, call, kept):
                return
        self.decide_alone(now, call, late)

    def decide_alone(self, now: float, call: Call, late: bool) -> None:
        """Decides without peers, by the counter or by its last known total."""
        event, customer, full = call.event, call.customer, call.customer.plan.burst * call.customer.share
        withheld = late and customer.tokens < full  # the remaining tokens are for others
        if withheld or self.random.random() >= customer.pass_chance(now, self.asking):
            return self.refuse(now, call)  # by the last known total there is no room
        answered_by = now + self.settings.counter_timeout_ms + 2 * self.settings.tick_ms
        may_call = self.uses_counter and self.random.random() * FULL_CALL_RATE < self.asking
        if may_call and customer.debt + event.units > 0 and answered_by < call.deadline:
            customer.debt += event.units  # hold the request until the counter replies
            return self.report_debt(now, customer, call)
        if self.uses_counter or customer.tokens >= full:
            return self.admit(now, call, True)  # a full bucket suffices, else large requests never pass
        self.refuse(now, call)

    def on_request_queued(self, now: float, event: RequestQueued) -> None:
        """Overload protection: refuses a request that waited too long for this process, before any work.

        The limit applies to each message's own wait, not to a rate. So it needs no load history, ends with
        the overload, and cannot lock anyone out. It grows with worth, and is lower for customers beyond their
        bucket and for early retries, so that retries do not displace other requests.
        """
        customer, marks, cls = self.customer_of(now, event), self.settings.marks_retry, event.cls
        rules, plan = self.settings.classes[cls], customer.plan
        if rules.effect is Effect.KEYED and rules.group is not Group.ALL:
            return  # that depends on the outcomes of earlier attempts
        early = marks and event.retry and not (customer.appointments and customer.appointments[0] <= now)
        over = (plan.rate and customer.tokens < event.units) or (
            plan.ceiling_rate and customer.cap_tokens < event.units
        )
        part = QUEUE_WAIT_MIN + (1 - QUEUE_WAIT_MIN) * rules.worth * plan.price / self.max_worth
        if event.waited_ms > QUEUE_WAIT * rules.aim_ms * part * (QUEUE_WAIT_CUT if early or over else 1.0):
            if event.retry and marks and customer.appointments:
                customer.appointments.popleft()
            if not event.retry:
                self.keyed.record(now, event.key, None)
            wait = customer.return_time(now, event.units, NO_SHOW_MS * marks)
            self.actions.append(Refuse(0, wait))

    def admit(self, now: float, call: Call, inside: bool, counted: bool = False) -> None:
        """Sends a request unless the fleet is overloaded; inside: within quota; counted: already charged."""
        event, customer = call.event, call.customer
        wait_limit = self.max_wait(call) * (1.0 if inside else OVER_QUOTA_WAIT)
        not_owned = self.retired and (customer.plan.ceiling_rate or not counted)  # the successor's buckets
        backend = None if not_owned else self.choose(now, call, wait_limit)
        if backend is None:
            customer.debt -= event.units if counted and not event.reserved else 0.0
            return self.refuse(now, call)
        customer.cap_tokens -= event.units if customer.plan.ceiling_rate else 0.0
        if inside:
            self.record_usage(now, customer, event.units)
        if inside and not counted:
            customer.tokens -= event.units
            customer.debt += event.units
            self.report_debt(now, customer)
        self.send(now, call, backend)

    def refuse(self, now: float, call: Call) -> None:
        """Answers finally with a refusal and a return time."""
        if call.may_have_run and call.cls.effect is Effect.KEYED and call.cls.group is not Group.ALL:
            return self.fail(call)  # another gateway might send a retry to another dedup group
        if not call.may_have_run:
            self.keyed.never_ran(now, call.event.key)
            if self.retired and call.event.key:
                self.actions.append(AttemptSettled(call.event.request, -1, key=call.event.key))
        wait = call.customer.return_time(now, call.event.units, NO_SHOW_MS * self.settings.marks_retry)
        self.actions.append(Refuse(call.event.request, wait))
        self.calls.pop(call.event.request, None)

    def fail(self, call: Call) -> None:
        """Answers finally with a failure: the request may have run."""
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    # ---- shared buckets: counter, peers, owners

    def record_usage(self, now: float, customer: Customer, units: float) -> None:
        """Takes own usage from the local copy of the shared bucket."""
        if (plan := customer.plan).rate and plan.burst:
            self.usage.record_use(now, customer.number, plan.rate / plan.burst / 1000, units / plan.burst)

    def report_debt(self, now: float, customer: Customer, call: Call | None = None) -> None:
        """Reports the customer's debt, usage not reported yet; a negative debt is given back."""
        step = REPORT_STEP * customer.plan.burst
        if call is None and self.queries.enabled and self.ask_owner(now, customer):
            return
        if self.usage.is_receiving(now):
            customer.debt = 0.0  # reported in digests
            return
        steps = ceil(customer.debt / step) * step if step and self.uses_counter else 0.0
        if steps and (call or self.random.random() * FULL_CALL_RATE < self.asking):
            customer.debt -= steps
            self.add_count(customer, now, steps, 0.0, call)

    def ask_owner(self, now: float, customer: Customer, call: Call | None = None, kept: float = 0.0) -> bool:
        """Reports usage to the owner and requests units for a pending call; False if none is reachable."""
        plan, number = customer.plan, customer.number
        part = LEVEL_SCALE / plan.burst if plan.rate and plan.burst else 0.0
        reported = round(customer.debt * part)
        owners = self.queries.owner(now, number, customer.first, customer.width) if part else None
        if owners is None or (call is None and abs(reported) < LEVEL_SCALE * MIN_REPORT):
            return owners is not None
        owner, backup = owners
        customer.debt -= reported / part
        need, keep = ceil(call.event.units * part) if call else 0, ceil(100 * kept / plan.burst)
        level = customer.max_store(now) / plan.burst
        query = OwnerQuery(customer_key(number), plan.rate / plan.burst, reported, need, keep, level, backup)
        if owner == self.settings.index:
            self.apply_owner_reply(now, customer, call, self.owned.apply(now, query))
            return True
        self.actions.append(SendToPeer(owner, self.queries.start(now, owner, query, (customer, call, kept))))
        if call:
            self.set_query_timer(call)
        return True

    def set_query_timer(self, call: Call) -> None:
        """Sets a timer for a pending call's query; queries are otherwise retried with any event."""
        request, wait_ms = call.event.request, self.queries.timeout_ms + self.settings.tick_ms
        self.actions.append(SetTimer(wait_ms, request * LABELS + LABELS - 1, request))

    def retry_queries(self, now: float) -> None:
        """Retries unanswered queries: once at the same owner, then at the next one, then by the counter."""
        for number, query in self.queries.pop_overdue(now):
            customer, call, kept = query.context
            waiting = call if call and call.event.request in self.calls else None
            if waiting and now > waiting.target - waiting.work:
                self.decide_alone(now, waiting, False)
            elif (body := self.queries.resend(now, number, query)) is not None:
                self.actions.append(SendToPeer(query.owner, body))
                if waiting:
                    self.set_query_timer(waiting)
            else:
                customer.debt += query.query.used * customer.plan.burst / LEVEL_SCALE
                if waiting and not self.ask_owner(now, customer, waiting, kept):
                    self.decide_alone(now, waiting, False)

    def on_owner_message(self, now: float, event: PeerMessage) -> None:
        """Handles a peer's query to this gateway as owner, or an owner's answer."""
        if event.body[0] == QUERY:
            if not self.retired:
                self.actions.append(SendToPeer(event.sender, self.owned.reply(now, event.sender, event.body)))
            return
        number, reply = decode_reply(event.body)
        if query := self.queries.complete(now, event.sender, number):
            customer, call, _ = query.context
            self.apply_owner_reply(now, customer, call, reply)

    def apply_owner_reply(self, now: float, customer: Customer, call: Call | None, reply: OwnerReply) -> None:
        """Adopts the owner's level; the units of a pending call that it grants are charged already."""
        customer.refill(now)
        customer.set_store(now, reply.level * customer.plan.burst)
        customer.shut_until = now + reply.hold_ms
        if call and call.event.request in self.calls:
            self.admit(now, call, True, True) if reply.granted else self.refuse(now, call)
        elif call and reply.granted:
            customer.debt -= call.event.units  # the client has gone
        if customer.debt < 0:
            self.report_debt(now, customer)

    def add_count(self, customer: Customer, now: float, use: float, drift: float, call: Call | None) -> None:
        """Calls the counter to add use (with a pending call's units), or drift, to correct its total."""
        name, _ = counter_name(now, customer.number, customer.plan.name)
        self.counter_calls.setdefault(name, deque()).append((customer, use, drift, call))
        self.actions.append(CounterAdd(name, use + drift, NAME_TTL_MS))

    def on_counter_reply(self, now: float, event: CounterReply) -> None:
        """Handles a slow, overloaded or lost counter: never adds twice, calls less, keeps the last total."""
        if not (open_calls := self.counter_calls.get(event.name)):
            return
        customer, use, drift, call = open_calls.popleft()
        if not open_calls:
            del self.counter_calls[event.name]
        answered = event.outcome is Outcome.OK
        prompt = answered and event.elapsed_ms < SLOW_REPLY * self.settings.counter_timeout_ms
        if prompt:
            self.asking = min(1.0, self.asking + CALL_RATE_GAIN)
        elif event.outcome is not Outcome.RESET or now - event.elapsed_ms >= self.crowded_at:
            # calls lost with one connection are one sign of overload, not several
            self.asking, self.crowded_at = max(CALL_RATE_MIN, self.asking * CALL_RATE_CUT), now
        # a call lost with its connection was probably never read; one that timed out is still queued there
        not_added = event.outcome.never_ran or event.outcome is Outcome.RESET
        waiting = call if call and call.event.request in self.calls else None
        name, age = counter_name(now, customer.number, customer.plan.name)
        if not answered or name != event.name:
            if not_added:
                customer.debt += use - (call.event.units if call else 0.0)
            if waiting:
                self.admit(now, waiting, True, not not_added)
            return
        customer.refill(now)
        gain = customer.apply_counter_total(now, event.total - use - drift, use, age) - drift
        granted = waiting is not None and customer.store + use >= waiting.event.units
        # usage beyond the quota takes nothing from the shared bucket, so it is given back
        beyond = use if call and not granted else min(max(use, 0.0), max(0.0, -customer.store))
        customer.debt, customer.store = customer.debt - beyond, customer.store + beyond
        if waiting:
            self.admit(now, waiting, True, True) if granted else self.refuse(now, waiting)
        if customer.debt <= 0:
            self.report_debt(now, customer)
        if abs(gain) > MAX_DRIFT * customer.plan.burst:  # if two gateways correct it, the later one reverts
            self.add_count(customer, now, min(gain, 0.0), max(gain, 0.0), None)

    # ---- backends

    def on_fleet_update(self, now: float, event: FleetUpdate) -> None:
        """Applies a list update; backends not listed as ready get nothing new from now on."""
        apply_list_update(self, now, event)

    def pool(self, number: int) -> Pool:
        """Returns the pool with this number, created on first use."""
        if (known := self.pools.get(number)) is None:
            known = self.pools[number] = Pool(self.settings.classes)
        return known

    def max_wait(self, call: Call) -> float:
        """Returns the largest wait in ms for its class: low-worth work must not fill a busy fleet."""
        pool = call.pool
        if pool.max_wait_for != pool.unit_ms:
            classes, pool.max_wait_for = self.settings.classes, pool.unit_ms.copy()
            worths = [c.worth / ms for c, ms in zip(classes, pool.unit_ms, strict=True)]
            live = self.settings.live_classes or len(classes)
            highest, in_force = max(worths[:live]), list(zip(classes, worths, strict=True))[:live]
            pool.max_wait_ms = [
                min([cls.aim_ms] + [c.aim_ms for c, w in in_force if w >= worth])
                * (MIN_WAIT + (MAX_WAIT - MIN_WAIT) * min(1.0, worth / highest))
                for cls, worth in zip(classes, worths, strict=True)
            ]
        return pool.max_wait_ms[call.event.cls]

    def queueing(self, now: float, backend: Backend) -> float:
        """Returns 1 plus this gateway's load there, in mean requests, by the backend's current capacity."""
        if not backend.load:
            return 1.0
        able = backend.pool.mean_work * (backend.entry.size or 1) * backend.warm_fraction(now, self.settings)
        return 1 + backend.load / able

    def subset_size(self, ready: int) -> int:
        """Returns the size of the subset; each backend is in the subsets of MIN_SUBSET gateways or more."""
        return min(ready, max(MIN_SUBSET, ceil(ready * MIN_SUBSET / self.settings.gateways)))

    def ring_backends(self, ring: list[int], positions: Iterable[int]) -> Iterator[Backend]:
        """Yields the backends at these ring positions, relative to the start of this gateway's subset.

        A customer's gateways have consecutive numbers. To avoid hot spots, consecutive gateways start far
        apart on the ring; else all requests of a customer would reach the same few backends.
        """
        gateways = self.settings.gateways
        start = self.settings.index * self.stride % gateways * len(ring) // gateways
        return (self.backends[ring[(start + position) % len(ring)]] for position in positions)

    def subset(self, call: Call) -> list[Backend]:
        """Returns a sample of this gateway's subset of the ready backends, or of the call's dedup group."""
        ring = call.pool.rings.get(call.dedup_group or (Group.ALL, 0), [])
        width = self.subset_size(len(ring))
        positions = range(width) if width <= MAX_COMPARED else self.random.sample(range(width), MAX_COMPARED)
        return list(self.ring_backends(ring, positions))

    def candidates(self, now: float, call: Call) -> list[Backend]:
        """Returns the sound backends of the subset, with warm ones from outside it if few are left.

        The subset may be gone, or cold without budget left, while the rest of the fleet has room. Outside it
        only warm backends qualify, as a cold one's budget is divided among the gateways of its subset. If
        none is left, backends that refused connections are tried nevertheless.
        """
        subset = self.subset(call)
        room = [b for b in subset if self.has_cold_budget(now, b, call.work)]
        suspects = self.gossip.suspects(now, len(self.backends)) if self.gossip.isolated else ()
        sound = [b for b in room if b.circuit.allows(now) and short_id(b.entry.backend) not in suspects]
        if len(sound) >= MIN_SOUND or len(subset) < MIN_SUBSET:
            return sound or room
        ring = call.pool.rings[call.dedup_group or (Group.ALL, 0)]
        width = self.subset_size(len(ring))
        outside = (
            b
            for b in self.ring_backends(ring, range(width, min(len(ring), width + MAX_COMPARED)))
            if b.warm_fraction(now, self.settings) >= 1
            and b.circuit.allows(now)
            and short_id(b.entry.backend) not in suspects
        )
        return [*sound, *islice(outside, MIN_SUBSET - len(sound))] or room

    def forecast(self, now: float, backend: Backend, call: Call, fleet: float) -> float:
        """Returns the expected duration of an attempt in ms, at least the time the backend has been silent.

        One unanswered attempt is no silence while others are answered, as only its connection may be dead.
        A backend that starves only some requests is missed here; these become overdue, see on_timer.
        """
        expected = call.work * backend.slowness[call.event.cls].now(now, fleet) * self.queueing(now, backend)
        if not backend.out:
            return expected
        sent_at, work, *_ = next(iter(backend.out.values()))
        return max(expected, now - max(sent_at + work, backend.heard_at))

    def has_cold_budget(self, now: float, backend: Backend, work: float) -> bool:
        """Checks a cold backend's budget: all gateways' work per window stays below what overloads it."""
        # it handles at least one request at a time; budgets below one request are rounded at random
        s, pool, warm = self.settings, backend.pool, backend.warm_fraction(now, self.settings)
        if warm >= 1 or self.retired:
            return warm >= 1
        if backend.cold_turn != now // s.overload_ms:
            backend.cold_turn = now // s.overload_ms
            ready = len(pool.rings[Group.ALL, 0])
            sharers = max(1.0, s.gateways * self.subset_size(ready) / max(1, ready))
            budget = COLD_BUDGET * s.fall_multiple * warm * s.overload_ms / sharers
            backend.cold_left = budget + self.random.random() * pool.mean_work
        return backend.cold_left >= work

    def choose(self, now: float, call: Call, wait_limit: float = inf) -> Backend | None:
        """Returns a backend with the least expected duration, at random among near ties; None to refuse."""
        pool = call.pool
        fleet = pool.slowness.now(now)  # one bad backend does not mean an overloaded fleet
        near = self.candidates(now, call)
        untried = [b for b in near if b not in call.tried or len(near) == 1] if call.tried else near
        rated = [(self.forecast(now, b, call, fleet), b) for b in untried]
        if not rated:
            return None
        least = min(f for f, _ in rated)
        best = self.random.choice([b for f, b in rated if f <= least * TIE_FACTOR])
        slowness = min(fleet, best.slowness[call.event.cls].now(now, fleet))
        wait = slowness * pool.mean_work * self.queueing(now, best)
        first_send = wait_limit < inf and not call.tried
        late = (wait + call.work - pool.mean_work) / max(1.0, call.target - now) if first_send else 0.0
        over = max(1.0, wait / wait_limit, late)
        if over > 1 and not best.out and now - pool.slowness.at > QUIET_MS and call.work < call.target - now:
            return best  # if all were refused, the end of the overload would go unnoticed
        return best if self.random.random() <= over**-SHED_EXPONENT else None

    def dedup_group(self, backend: Backend, cls: RequestClass) -> tuple[Group, int]:
        """Returns the group of backends that drop each other's duplicates of this class."""
        entry = backend.entry
        return cls.group, {Group.ALL: 0, Group.ZONE: entry.zone, Group.CELL: entry.cell}[cls.group]

    # ---- attempts

    def send(self, now: float, call: Call, backend: Backend) -> None:
        """Starts an attempt and records it."""
        pool, queueing, number = call.pool, self.queueing(now, backend), len(call.tried)
        due = OVERDUE_FACTOR * max(1.0, pool.slowness.now(now)) * (pool.mean_work * queueing + call.work)
        backend.out[call.event.request, number] = now, call.work, queueing, call.event.cls, now + due
        call.pending.append(number)
        backend.load += call.work
        backend.cold_left -= call.work
        backend.circuit.attempt_sent(now)
        pool.mean_work += (call.work - pool.mean_work) * (1 - EWMA_KEEP) / 2
        call.tried.append(backend)
        if call.event.key:
            self.keyed.record(now, call.event.key, self.dedup_group(backend, call.cls))
        self.actions.append(Send(call.event.request, backend.entry.backend))
        if self.retired:
            group = self.dedup_group(backend, call.cls) if call.event.key else None
            self.actions.append(
                AttemptSettled(
                    call.event.request,
                    number,
                    None,
                    backend.entry.backend,
                    backend.entry.up_since_ms,
                    self.settings.classes[call.event.cls].name,
                    now,
                    call.work,
                    queueing,
                    now + due,
                    key=call.event.key,
                    group=group,
                )
            )
        self.set_overdue_timer(now, call, due)

    def set_overdue_timer(self, now: float, call: Call, due: float) -> None:
        """Sets a timer for when the last attempt is overdue, if another may follow then."""
        number = len(call.tried)
        repeatable = call.cls.effect is not Effect.UNSAFE and self.settings.second_copies
        if repeatable and number < call.max_attempts and now + due < call.deadline:
            self.actions.append(SetTimer(due, call.event.request * LABELS + number - 1, call.event.request))

    def on_timer(self, now: float, event: TimerFired) -> None:
        """Sends a second copy of an overdue attempt to another backend, while the first may still answer.

        This covers responses that never come or stop half way on an open connection, and backends that hang
        or have vanished. If the whole fleet is slow, copies would only add load: so the time grows with its
        slowness, copies are subject to the largest wait like first attempts, and retries are limited.
        """
        request, number = divmod(event.label, LABELS)
        call = self.calls.get(request)
        if call is None or call.streaming or number not in call.pending or number != len(call.tried) - 1:
            return
        sent_at, *_, due = call.tried[number].out.get((request, number), (now, now + QUIET_MS))
        self.mark_possible_run(call, number, sent_at)
        self.retry(now, call, self.max_wait(call))
        if number == len(call.tried) - 1:
            self.set_overdue_timer(now, call, due - sent_at)

    def on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        """Records the outcome, then answers the request or retries as far as its class allows."""
        backend = self.backends.get(event.backend)
        known = backend.out.pop((event.request, event.attempt), None) if backend else None
        call = self.calls.get(event.request)
        if backend and known:
            backend.load = max(0.0, backend.load - known[1]) if backend.out else 0.0
            self.learn(now, backend, event, known)
        if self.retired:
            self.actions.append(settlement(self, event, call, backend, known))
        if call is None:
            return
        if event.used_percent is not None:  # the deployment has a meter instead of the counter
            call.customer.adjust_share(now, event.used_percent >= 100)
        if event.outcome is Outcome.OK:
            units = event.true_units or call.event.units
            if not self.retired:  # else the successor charges it
                more = 0.0 if call.event.reserved else units - call.event.units
                call.customer.record_units(more, units)
                self.record_usage(now, call.customer, more)
                if self.queries.enabled:
                    self.report_debt(now, call.customer)
        if event.attempt in call.pending:
            call.pending.remove(event.attempt)
        if event.over:
            self.actions += [Cancel(event.request, n) for n in call.pending if self.settings.cancel]
            return self.on_request_withdrawn(now, event)
        if not event.outcome.never_ran:
            self.mark_possible_run(call, event.attempt, now - event.elapsed_ms)
        if not call.pending or event.attempt == len(call.tried) - 1:  # else the last copy is still pending
            self.retry(now, call)

    def on_response_started(self, now: float, event: ResponseStarted) -> None:
        """A response started: no more copies; once the backend's work is done, it is no load any more."""
        if (call := self.calls.get(event.request)) is not None:
            call.streaming = True
        backend = self.backends.get(event.backend)
        if event.work_done and backend and (sent := backend.out.pop((event.request, event.attempt), None)):
            backend.load = max(0.0, backend.load - sent[1]) if backend.out else 0.0
            done = AttemptEnded(
                event.request,
                event.attempt,
                event.backend,
                Outcome.OK,
                event.elapsed_ms,
                False,
                lag_ms=event.lag_ms,
            )
            self.learn(now, backend, done, sent)
            if self.retired:
                self.actions.append(settlement(self, done, None, backend, sent))

    def mark_possible_run(self, call: Call, number: int, sent_at: float) -> None:
        """Records that an attempt may have run, or may yet; binds a keyed request to its dedup group."""
        call.may_have_run = True
        if call.cls.effect is Effect.KEYED and call.dedup_group is None:
            call.dedup_group = self.dedup_group(call.tried[number], call.cls)
            call.dedup_until = sent_at + call.cls.window_ms

    def retry(self, now: float, call: Call, wait_limit: float = inf) -> None:
        """Decides on another attempt, by the effect of running twice and by what permitted have run."""
        safe, keyed = call.cls.effect is Effect.SAFE, call.cls.effect is Effect.KEYED
        harmless = safe or not call.may_have_run
        allowed = harmless or (keyed and now < call.dedup_until - SEND_MS)
        refusable = harmless or (keyed and call.cls.group is Group.ALL)
        attempts_left = len(call.tried) < call.max_attempts and now < call.deadline - self.settings.tick_ms
        permitted = allowed and attempts_left and call.pool.retries >= 1
        if permitted and (backend := self.choose(now, call, wait_limit)) is not None:
            call.pool.retries -= 1
            return self.send(now, call, backend)
        if call.pending:
            return  # a pending attempt may still answer
        if refusable:
            return self.refuse(now, call)
        self.fail(call)

    def learn(self, now: float, backend: Backend, event: AttemptEnded, sent: OpenAttempt) -> None:
        """Updates slowness from an outcome; results of running a request count for its class only."""
        sent_at, work, queueing, cls, due = sent
        ratio, pool = max(0.0, event.elapsed_ms - event.lag_ms) / queueing / work, backend.pool
        fleet = pool.slowness.now(now)
        alive = backend.heard_at > sent_at  # then its connection may be silent, but not the backend
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            backend.heard_at = now
            backend.circuit.answered()
        elif event.outcome is Outcome.CONNECT_FAILED:
            backend.circuit.connect_failed(now)
        else:
            backend.circuit.outcome_unknown()
        overdue = event.outcome is Outcome.CANCELLED and now > due
        if event.outcome is Outcome.OK:
            if event.lag_ms >= event.elapsed_ms:
                return  # the backend's part of the time is unknown
            backend.slowness[cls].observe(now, ratio, 1 - EWMA_KEEP, fleet)
            if queueing < 2:  # times under load are not baseline times
                pool.unit_ms[cls] *= 1 + min(ratio - 1, 1.0) * UNIT_GAIN
        elif overdue or event.outcome not in (Outcome.CANCELLED, Outcome.WRONG_INSTANCE):
            # it may fail this class only; a dead process also refuses new connections
            class_only = overdue or event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)
            mild = overdue or event.outcome is Outcome.RESET or (alive and event.outcome is Outcome.TIMEOUT)
            for c in [cls] if class_only else range(len(pool.unit_ms)):
                backend.slowness[c].observe(now, MILD_FAULT if mild else max(FAULT, ratio), BAD_WEIGHT, fleet)
        # FULL concerns this backend only: it may be draining, cold, or overloaded by other gateways
        if event.outcome is Outcome.OK or (event.outcome is Outcome.TIMEOUT and not alive):
            pool.slowness.observe(now, min(ratio, fleet * FLEET_STEP + 1), 1 - EWMA_KEEP)
