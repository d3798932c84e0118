"""Every decision of the gateway; its settings, events and actions are in troutdock/admission/interface.py."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import islice
from math import ceil, gcd, inf
from random import Random
from typing import Any

from troutdock.admission.owner_query_codec import ASK, KINDS as ASKING, PARTS, Answer, Question, read_answer
from troutdock.admission.bucket_replication import KINDS as COPIES
from troutdock.admission.usage_digest_codec import mark_of
from troutdock.admission.backend_health import BLAME, RETRY_MOST, Backend, Pool, Sent
from troutdock.admission.bucket_owner import Homes
from troutdock.admission.interface import Actions, AttemptEnded, AttemptSettled, BackendState, Cancel
from troutdock.admission.interface import CounterAdd, CounterReply, DiscoveryStatus, Effect, Event, Fail
from troutdock.admission.interface import FleetUpdate, Group, Log, Outcome, PeerMessage, PlanAssigned, Refuse
from troutdock.admission.interface import RequestArrived, RequestClass, RequestQueued, RequestWithdrawn
from troutdock.admission.interface import ResponseStarted, Send, SendToPeer, SetTimer, Settings
from troutdock.admission.interface import SettingsChanged, TimerFired
from troutdock.admission.backend_list import followed
from troutdock.admission.counter_names import NAME_TTL_MS, counter_name
from troutdock.admission.backend_gossip import News
from troutdock.admission.backend_gossip_codec import KINDS, low
from troutdock.admission.owner_queries import Questions
from troutdock.admission.customer_quota import Customer
from troutdock.admission.request_records import Booked, Call
from troutdock.admission.state_handover import configured, settled, settlement
from troutdock.admission.usage_gossip import Word

# ---- tuned constants
RESERVE = 0.02  # of the slice's burst: what only marked retries may take that can still be in time
TARDY = 0.6  # of it: what a marked retry that is past its aim leaves to those that can still be in time
UNHEARD = 0.1  # of the burst, and of the shared store: what others may have sent and could not tell yet
FIRST = 0.05  # of the burst: what new tries leave of the shared store to marked retries
NO_SHOW_MS = 2000.0  # a marked retry this late has given up; it would hold its place in the queue for ever
FORGET_MS = 20_000.0  # a customer unseen for so long is forgotten, or later if its stores take longer to fill
DRIFT = 0.5  # of the burst: a count this far from the store is put right by a call of its own
TOLD = 0.01  # of the burst: what a home is told by itself
LUMP, CROWDED = 0.08, 0.4  # of the burst: reported at once; calling less freely leaves calls out by chance
ASK_FIRST, ASK_LEAST = 0.5, 0.01  # how freely the counter is called: at start, at least
ASK_LESS, ASK_MORE = 0.7, 0.04  # what a late and a prompt answer do to that
LATE_ANSWER = 0.8  # of the counter's time-out: an answer this slow is a sign of a crowded counter
KEEP, LEARN = 0.9, 0.01  # weight of the past in moving means; how far an answer moves what a class takes
DREAD = 10.0  # what a bad sign moves a backend toward
LEAP = 1.5  # of what the fleet is held for: a sign counts for that and one more at most
NEWS_MS = 100.0  # without a sign from the fleet for so long, a backend with nothing from here gets a request
BROKEN = 3.0  # in place of that where one connection or one spoilt answer may be to blame
OVERDUE = 4.0  # of what an attempt is expected to take: by then a second copy goes elsewhere
TIE = 1.15  # backends within this factor of the best are as good: choose at random, so that no herd forms
NEAR, LOOK = 5, 16  # backends that a gateway keeps to, so that it knows them; and compares for one send
GOLDEN = 0.618  # of the ring: multiples of it lie as far apart as can be, however many there are
FEW = 3  # with fewer of them sound, warm ones further on are taken too
COLD_PART = 0.8  # of the work that would push over a cold backend of the least speed, all gateways together
RETRY_PART = 0.1  # further attempts earned by each first try
PATIENCE, CHEAP_PATIENCE = 0.33, 0.25  # of the aim: the forecast that work of most and of no worth may meet
SPARE_PATIENCE = 0.5  # of that: what requests beyond their quota may meet
WAIT_PART, WAIT_LEAST = 0.25, 0.4  # of the aim: the wait for this process that work of most worth may have
BEYOND = 0.3  # had, and of none; of that: for a customer beyond its bucket, or a marked retry before its time
LABELS = 256  # timers of one request: more than it can have attempts
RESOLVE, REACH_MS = 16.0, 300.0  # how sharply sends thin out past the patience; a send arrives by then


class Gateway:
    """Decides for one gateway; hand it every event and carry out the actions it gives back."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.backends: dict[int, Backend] = {}
        self.customers: dict[int, Customer] = {}
        self.booked = Booked()
        self.counts: dict[int, deque[tuple[Customer, float, float, Call | None]]] = {}  # calls not answered
        self.calls: dict[int, Call] = {}
        self.pools = {0: Pool(settings.classes)}
        self.asking = ASK_FIRST
        self.retired = False  # another process has taken over: nothing new is let in, see snapshot.py
        self.foreign: dict[tuple[int, int], tuple[int, int]] = {}  # attempts of the one before: numbers here
        self.adopted = 0
        self.usual_ms: dict[int, float] = {}  # by class: the time-out of first tries
        intake = settings.peer_in_per_s * settings.peers
        self.homes = Homes(intake)  # the stores kept here; asks: of those kept elsewhere
        self.asks: Questions[tuple[Customer, Call | None, float]] = Questions(
            settings.gateways, settings.index, intake, Random(seed + 3)
        )
        self.word = Word(settings.gateways, intake * (not self.asks.on), Random(seed + 1))
        self.news = News(settings.gateways, settings.index, settings.peers, Random(seed + 2))
        self.crowded_at = -inf  # the last sign of a crowded counter
        self.started = inf  # when the first event came
        self.follow(settings)
        self.actions: Actions = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self.arrived,
            RequestQueued: self.waited,
            AttemptEnded: self.ended,
            ResponseStarted: self.began,
            CounterReply: self.count_answered,
            FleetUpdate: self.fleet,
            RequestWithdrawn: self.withdrawn,
            TimerFired: self.overdue,
            AttemptSettled: partial(settled, self),
            SettingsChanged: partial(configured, self),
            PlanAssigned: self.assigned,
            PeerMessage: self.heard,
            DiscoveryStatus: self.watched,
        }

    def follow(self, settings: Settings) -> None:
        """Keep what follows from the settings."""
        self.settings, self.counting = settings, settings.counter and not settings.meter_ms
        golden = max(1, round(GOLDEN * settings.gateways))
        self.stride = next(n for n in range(golden, 2 * golden + 2) if gcd(n, settings.gateways) == 1)
        self.forget_ms = max(
            [FORGET_MS]
            + [
                1000 * full / rate
                for p in settings.plans
                for full, rate in ((p.burst, p.rate), (p.ceiling_burst, p.ceiling_rate))
                if rate
            ]
        )
        self.most_worth = max(c.worth for c in settings.classes) * max(p.price for p in settings.plans) or 1.0

    def assigned(self, now: float, event: PlanAssigned) -> None:
        """A customer's plan is another one from now on; what it has used stays used."""
        if (customer := self.customers.get(event.customer)) is not None:
            customer.change(now, self.settings.plans[event.plan])

    def handle(self, now: float, event: Event) -> Actions:
        """Take in one event; the actions are to be carried out in order."""
        self.actions = []
        self.started = min(self.started, now)
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        if self.asks.open:
            self.chase(now)
        if self.asks.on and not self.retired:
            self.actions += [SendToPeer(gateway, body) for gateway, body in self.homes.copies.due(now)]
        if self.word.due(now) and not self.retired:
            self.actions.append(SendToPeer(None, self.word.digest(now)))
        if self.news.blind and not self.retired:
            peers, words = self.news.ask(now)
            self.actions += [SendToPeer(peer, words) for peer in peers]
        return self.actions

    def heard(self, now: float, event: PeerMessage) -> None:
        """A peer tells what it has sent; what can't be read is counted, and named once for each sender."""
        try:
            self.asks.heard(event.sender)
            if event.body[:1] in ASKING:
                self.home_heard(now, event)
            elif event.body[:1] in COPIES:
                answers = self.homes.copies.hear(now, event.sender, event.body)
                self.actions += [SendToPeer(event.sender, body) for body in answers]
            elif event.body[:1] not in KINDS:
                self.word.hear(now, event.sender, event.body)
            elif self.news.hear(now, event.sender, event.body):
                draining = [n for n, b in self.backends.items() if b.entry.state is BackendState.DRAINING]
                if answer := self.news.answer(now, draining):
                    self.actions.append(SendToPeer(event.sender, answer))
        except ValueError as error:
            bad = self.word.bad.get(event.sender, 0)
            self.word.bad[event.sender] = bad + 1
            if not bad:
                self.actions.append(Log(f"gateway {event.sender} tells what can't be read: {error}"))

    def watched(self, now: float, event: DiscoveryStatus) -> None:
        """Discovery answers or does not: without it peers are asked, with it nobody is suspected."""
        self.news.watched(now, event.heard)

    def withdrawn(self, now: float, event: RequestWithdrawn | AttemptEnded) -> None:
        self.calls.pop(event.request, None)

    # ---- quotas: the ordinary path

    def customer(self, now: float, event: RequestArrived | RequestQueued) -> Customer:
        """The customer of a request; one long unseen is dropped: a fresh one does as well."""
        known = self.customers.pop(event.customer, None)
        if known is None:
            plan, width = self.settings.plans[event.plan], max(1, min(event.width, self.settings.gateways))
            # so that rare reports are right on average
            debt = -self.random.random() * LUMP * plan.burst * (not self.asks.on)
            known = Customer(plan, width, now, event.customer, debt, self.started, self.asks.on)
        self.customers[event.customer] = known  # the longest unseen stand first
        known.refill(now)
        if (plan := known.plan).rate and plan.burst and self.word.hearing(now):
            level = self.word.store(now, event.customer, plan.rate / plan.burst / 1000).level(now)
            known.store, known.told_at = level * plan.burst, now
            known.tokens = min(known.tokens, max(0.0, known.store))
        for _ in range(2):  # more than can have come
            first, oldest = next(iter(self.customers.items()))
            if now - oldest.filled_at > self.forget_ms:
                del self.customers[first]
        return known

    def arrived(self, now: float, event: RequestArrived) -> None:
        """The bucket decides; what it cannot tell is asked, what it refuses gets a return time."""
        customer, marks = self.customer(now, event), self.settings.marks_retry
        plan, pool = customer.plan, self.pool(event.pool)
        most = event.max_attempts or self.settings.max_attempts
        usual_ms = self.usual_ms.get(event.cls, self.settings.classes[event.cls].deadline_ms)
        if not event.retry:
            known = self.usual_ms.setdefault(event.cls, event.time_left_ms)
            self.usual_ms[event.cls] = known + (event.time_left_ms - known) * (1 - KEEP)
        call = Call(event, self.settings.classes[event.cls], customer, now, pool, most, usual_ms)
        customer.first, customer.width = event.first_gateway, max(1, min(event.width, self.settings.gateways))
        self.calls[event.request] = call
        if event.retry and marks and customer.appointments:
            customer.appointments.popleft()
        pool.retries = min(RETRY_MOST, pool.retries + RETRY_PART)
        if call.cls.effect is Effect.KEYED and event.key:
            unknown = not self.booked.recall(now, call) and event.retry and marks
            # guards a fresh start: what it was before is not known, and the first try may be too old by now.
            # It could hurt a fleet, where nearly every retry comes to a gateway that its first try did not.
            fresh = now - self.started < call.cls.deadline_ms > call.cls.window_ms
            aged = event.cls in self.usual_ms and REACH_MS <= call.age_ms < call.cls.window_ms - REACH_MS
            fresh = fresh and not aged
            if now >= call.ran_until - REACH_MS or (unknown and fresh):
                return self.fail(call)
        if self.retired:
            return self.refuse(now, call)
        room = not plan.ceiling_rate or customer.cap_tokens >= event.units
        if event.reserved:  # promised ahead: before all other use, but not beyond a ceiling
            return self.admit(now, call, True, True) if room else self.refuse(now, call)
        # guards a customer near its quota: else those that return too late take all that fills, and nobody is
        # served in time. It could hurt a client whose retries have short time-outs, see Call.tardy.
        tardy = marks and event.retry and call.tardy
        full = plan.burst * customer.share
        kept = full * (TARDY if tardy else RESERVE if marks and not event.retry else 0.0)
        if room and (not plan.rate or customer.tokens - kept >= event.units):
            return self.admit(now, call, True)
        customer.dry = True
        if not room:
            return self.refuse(now, call)
        if plan.over_worth > plan.over_cost:
            return self.admit(now, call, full < event.units)
        if plan.rate and self.word.hearing(now):  # peers tell what is left of the quota
            kept = plan.burst * (TARDY if tardy else UNHEARD + (FIRST if marks and not event.retry else 0.0))
            if customer.store - kept >= event.units:
                return self.admit(now, call, True)
            return self.refuse(now, call)
        if plan.rate and self.asks.on:
            kept = plan.burst * (TARDY if tardy else FIRST if marks and not event.retry else 0.0)
            if now < customer.shut_until or customer.most(now) - kept < event.units:
                return self.refuse(now, call)
            if self.ask(now, customer, call, kept):
                return
        self.guess(now, call, tardy)

    def guess(self, now: float, call: Call, tardy: bool) -> None:
        """No peer can tell what is left of the quota: the counter may, or what it told last."""
        event, customer, full = call.event, call.customer, call.customer.plan.burst * call.customer.share
        left = tardy and customer.tokens < full  # what there is is for others
        if left or self.random.random() >= customer.room(now, self.asking):
            return self.refuse(now, call)  # told to be empty
        answered_by = now + self.settings.counter_timeout_ms + 2 * self.settings.tick_ms
        free = self.counting and self.random.random() * CROWDED < self.asking
        if free and customer.debt + event.units > 0 and answered_by < call.give_up:
            customer.debt += event.units  # hold the try and ask for its units, one try a lump
            return self.settle(now, customer, call)
        if self.counting or customer.tokens >= full:
            return self.admit(now, call, True)  # a full bucket does, or a large request never would pass
        self.refuse(now, call)

    def waited(self, now: float, event: RequestQueued) -> None:
        """Guards this process: what waited past its part of the aim is refused before work is spent on it.

        The bound is on each message's own wait, not on a rate: it needs no memory of the load, is gone with
        it, and can't lock anybody out. The most worth may wait longest; who is beyond its bucket, or comes
        before its time, goes first, so that nobody's retries take the place of another.
        """
        customer, marks, cls = self.customer(now, event), self.settings.marks_retry, event.cls
        kind, plan = self.settings.classes[cls], customer.plan
        if kind.effect is Effect.KEYED and kind.group is not Group.ALL:
            return  # whether it may be refused depends on what became of its earlier tries
        early = marks and event.retry and not (customer.appointments and customer.appointments[0] <= now)
        beyond = (plan.rate and customer.tokens < event.units) or (
            plan.ceiling_rate and customer.cap_tokens < event.units
        )
        part = WAIT_LEAST + (1 - WAIT_LEAST) * kind.worth * plan.price / self.most_worth
        if event.waited_ms > WAIT_PART * kind.aim_ms * part * (BEYOND if early or beyond else 1.0):
            if event.retry and marks and customer.appointments:
                customer.appointments.popleft()
            if not event.retry:
                self.booked.note(now, event.key, None)
            wait = customer.return_time(now, event.units, NO_SHOW_MS * marks)
            self.actions.append(Refuse(0, wait))

    def admit(self, now: float, call: Call, inside: bool, counted: bool = False) -> None:
        """Send what the quota lets pass, unless the fleet is pressed."""
        event, customer = call.event, call.customer
        patience = self.patience(call) * (1.0 if inside else SPARE_PATIENCE)
        spent = self.retired and (customer.plan.ceiling_rate or not counted)  # these stores are another's
        backend = None if spent else self.choose(now, call, patience)
        if backend is None:
            customer.debt -= event.units if counted and not event.reserved else 0.0
            return self.refuse(now, call)
        customer.cap_tokens -= event.units if customer.plan.ceiling_rate else 0.0
        if inside:
            self.used(now, customer, event.units)
        if inside and not counted:
            customer.tokens -= event.units
            customer.debt += event.units
            self.settle(now, customer)
        self.send(now, call, backend)

    def refuse(self, now: float, call: Call) -> None:
        """Final answer: the client is told when to come back."""
        if call.may_have_run and call.cls.effect is Effect.KEYED and call.cls.group is not Group.ALL:
            return self.fail(call)  # another gateway might send it elsewhere
        if not call.may_have_run:
            self.booked.never_ran(now, call.event.key)
            if self.retired and call.event.key:
                self.actions.append(AttemptSettled(call.event.request, -1, key=call.event.key))
        wait = call.customer.return_time(now, call.event.units, NO_SHOW_MS * self.settings.marks_retry)
        self.actions.append(Refuse(call.event.request, wait))
        self.calls.pop(call.event.request, None)

    def fail(self, call: Call) -> None:
        """Final answer: nothing is promised."""
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    # ---- what the counter knows of a customer

    def used(self, now: float, customer: Customer, units: float) -> None:
        """The shared store as peers tell it lacks own use at once."""
        if (plan := customer.plan).rate and plan.burst:
            self.word.used(now, customer.number, plan.rate / plan.burst / 1000, units / plan.burst)

    def settle(self, now: float, customer: Customer, call: Call | None = None) -> None:
        """Report own use, or take back what was counted in vain, in whole lumps."""
        lump = LUMP * customer.plan.burst
        if call is None and self.asks.on and self.ask(now, customer):
            return
        if self.word.hearing(now):
            customer.debt = 0.0  # peers are told
            return
        lumps = ceil(customer.debt / lump) * lump if lump and self.counting else 0.0
        if lumps and (call or self.random.random() * CROWDED < self.asking):
            customer.debt -= lumps
            self.count(customer, now, lumps, 0.0, call)

    def ask(self, now: float, customer: Customer, call: Call | None = None, kept: float = 0.0) -> bool:
        """Tell the customer's home what was used, and ask it for a held try; false: none can be reached."""
        plan, number = customer.plan, customer.number
        part = PARTS / plan.burst if plan.rate and plan.burst else 0.0
        told = round(customer.debt * part)
        place = self.asks.home(now, number, customer.first, customer.width) if part else None
        if place is None or (call is None and abs(told) < PARTS * TOLD):
            return place is not None
        home, other = place
        customer.debt -= told / part
        need, stay = ceil(call.event.units * part) if call else 0, ceil(100 * kept / plan.burst)
        most = customer.most(now) / plan.burst
        question = Question(mark_of(number), plan.rate / plan.burst, told, need, stay, most, other)
        if home == self.settings.index:
            self.home_said(now, customer, call, self.homes.take(now, question))
            return True
        self.actions.append(SendToPeer(home, self.asks.ask(now, home, question, (customer, call, kept))))
        if call:
            self.look_again(call)
        return True

    def look_again(self, call: Call) -> None:
        """Any event has questions chased; one that a held try waits for has an event of its own."""
        request, wait_ms = call.event.request, self.asks.patience_ms + self.settings.tick_ms
        self.actions.append(SetTimer(wait_ms, request * LABELS + LABELS - 1, request))

    def chase(self, now: float) -> None:
        """Ask again what was not answered: the same home once, then the next one, and last the counter."""
        for number, asked in self.asks.overdue(now):
            customer, call, kept = asked.holder
            held = call if call and call.event.request in self.calls else None
            if held and now > held.aim - held.work:
                self.guess(now, held, False)
            elif (body := self.asks.again(now, number, asked)) is not None:
                self.actions.append(SendToPeer(asked.home, body))
                if held:
                    self.look_again(held)
            else:
                customer.debt += asked.question.told * customer.plan.burst / PARTS
                if held and not self.ask(now, customer, held, kept):
                    self.guess(now, held, False)

    def home_heard(self, now: float, event: PeerMessage) -> None:
        """A peer asks this gateway as a home, or answers as one."""
        if event.body[0] == ASK:
            if not self.retired:
                self.actions.append(SendToPeer(event.sender, self.homes.asked(now, event.sender, event.body)))
            return
        number, answer = read_answer(event.body)
        if asked := self.asks.answered(now, event.sender, number):
            customer, call, _ = asked.holder
            self.home_said(now, customer, call, answer)

    def home_said(self, now: float, customer: Customer, call: Call | None, answer: Answer) -> None:
        """What the home knows is believed; a held try that it lets in has its units already."""
        customer.refill(now)
        customer.believe(now, answer.level * customer.plan.burst)
        customer.shut_until = now + answer.hold_ms
        if call and call.event.request in self.calls:
            self.admit(now, call, True, True) if answer.granted else self.refuse(now, call)
        elif call and answer.granted:
            customer.debt -= call.event.units  # the client has left
        if customer.debt < 0:
            self.settle(now, customer)

    def count(self, customer: Customer, now: float, use: float, drift: float, call: Call | None) -> None:
        """Call the counter: for use (a held try's units among it), or to put the name right by drift."""
        name, _ = counter_name(now, customer.number, customer.plan.name)
        self.counts.setdefault(name, deque()).append((customer, use, drift, call))
        self.actions.append(CounterAdd(name, use + drift, NAME_TTL_MS))

    def count_answered(self, now: float, event: CounterReply) -> None:
        """Guards against a slow, full or lost counter: never add twice, ask less, hold what was told."""
        if not (asked := self.counts.get(event.name)):
            return
        customer, use, drift, call = asked.popleft()
        if not asked:
            del self.counts[event.name]
        answered = event.outcome is Outcome.OK
        prompt = answered and event.elapsed_ms < LATE_ANSWER * self.settings.counter_timeout_ms
        if prompt:
            self.asking = min(1.0, self.asking + ASK_MORE)
        elif event.outcome is not Outcome.RESET or now - event.elapsed_ms >= self.crowded_at:
            # calls lost with one connection are one sign, not many of a crowded counter
            self.asking, self.crowded_at = max(ASK_LEAST, self.asking * ASK_LESS), now
        # a call whose connection was lost was most likely never read; one that timed out is in the line
        vain = event.outcome.never_ran or event.outcome is Outcome.RESET
        held = call if call and call.event.request in self.calls else None
        name, age = counter_name(now, customer.number, customer.plan.name)
        if not answered or name != event.name:
            if vain:
                customer.debt += use - (call.event.units if call else 0.0)
            if held:
                self.admit(now, held, True, not vain)
            return
        customer.refill(now)
        gain = customer.told(now, event.total - use - drift, use, age) - drift
        granted = held is not None and customer.store + use >= held.event.units
        # what is beyond the quota takes nothing from the store, so it is given back
        beyond = use if call and not granted else min(max(use, 0.0), max(0.0, -customer.store))
        customer.debt, customer.store = customer.debt - beyond, customer.store + beyond
        if held:
            self.admit(now, held, True, True) if granted else self.refuse(now, held)
        if customer.debt <= 0:
            self.settle(now, customer)
        if abs(gain) > DRIFT * customer.plan.burst:  # of two gateways that put it right the later takes back
            self.count(customer, now, min(gain, 0.0), max(gain, 0.0), None)

    # ---- backends

    def fleet(self, now: float, event: FleetUpdate) -> None:
        """Follow the list; what it does not name as ready gets nothing new from this moment on."""
        followed(self, now, event)

    def pool(self, number: int) -> Pool:
        """The pool of that number, made when it is first heard of."""
        if (known := self.pools.get(number)) is None:
            known = self.pools[number] = Pool(self.settings.classes)
        return known

    def patience(self, call: Call) -> float:
        """The wait that its class may meet: long-aimed cheap work must not fill a pressed fleet."""
        pool = call.pool
        if pool.patience_for != pool.unit_ms:
            classes, pool.patience_for = self.settings.classes, pool.unit_ms.copy()
            worths = [c.worth / ms for c, ms in zip(classes, pool.unit_ms, strict=True)]
            live = self.settings.live_classes or len(classes)
            most, in_force = max(worths[:live]), list(zip(classes, worths, strict=True))[:live]
            pool.patience = [
                min([cls.aim_ms] + [c.aim_ms for c, w in in_force if w >= worth])
                * (CHEAP_PATIENCE + (PATIENCE - CHEAP_PATIENCE) * min(1.0, worth / most))
                for cls, worth in zip(classes, worths, strict=True)
            ]
        return pool.patience[call.event.cls]

    def pile(self, now: float, backend: Backend) -> float:
        """What stands there from here and a request more, as a warm backend of size one would feel it."""
        if not backend.load:
            return 1.0
        able = backend.pool.mean_work * (backend.entry.size or 1) * backend.warmth(now, self.settings)
        return 1 + backend.load / able

    def width(self, ready: int) -> int:
        """How many backends this gateway keeps to: each is kept to by NEAR gateways at least."""
        return min(ready, max(NEAR, ceil(ready * NEAR / self.settings.gateways)))

    def along(self, ring: list[int], places: Iterable[int]) -> Iterator[Backend]:
        """Backends at these places of the ring, counted from where this gateway's part begins.

        Guards against hot spots: a customer's gateways stand in a row, and parts in the same row would lead
        all that it asks to the same few backends. So neighbours by number begin far apart.
        """
        gateways = self.settings.gateways
        start = self.settings.index * self.stride % gateways * len(ring) // gateways
        return (self.backends[ring[(start + place) % len(ring)]] for place in places)

    def near(self, call: Call) -> list[Backend]:
        """This gateway's part of the ready backends, or of the group that drops a repeat."""
        ring = call.pool.rings.get(call.ran_group or (Group.ALL, 0), [])
        width = self.width(len(ring))
        picked = range(width) if width <= LOOK else self.random.sample(range(width), LOOK)
        return list(self.along(ring, picked))

    def candidates(self, now: float, call: Call) -> list[Backend]:
        """Those of its part that can be connected to and have room; warm ones further on where few are left.

        Guards against a part that is gone, cold and spent, while the rest of the fleet has room. Further on
        only warm ones are taken: the budgets of cold ones count on the gateways that keep to them. Where
        nothing is left at all, what could not be connected to is tried all the same.
        """
        mine = self.near(call)
        room = [b for b in mine if self.cold_room(now, b, call.work)]
        suspects = self.news.suspects(now, len(self.backends)) if self.news.blind else ()
        sound = [b for b in room if b.circuit.lets(now) and low(b.entry.backend) not in suspects]
        if len(sound) >= FEW or len(mine) < NEAR:
            return sound or room
        ring = call.pool.rings[call.ran_group or (Group.ALL, 0)]
        width = self.width(len(ring))
        further = (
            b
            for b in self.along(ring, range(width, min(len(ring), width + LOOK)))
            if b.warmth(now, self.settings) >= 1
            and b.circuit.lets(now)
            and low(b.entry.backend) not in suspects
        )
        return [*sound, *islice(further, NEAR - len(sound))] or room

    def forecast(self, now: float, backend: Backend, call: Call, fleet: float) -> float:
        """Expected time of a send to this backend; silence bounds it from below.

        One attempt without an answer is no silence while others are answered: its connection may be dead and
        the backend sound. It could hurt where a backend starves only some requests; they fall overdue.
        """
        expected = call.work * backend.slowness[call.event.cls].now(now, fleet) * self.pile(now, backend)
        if not backend.out:
            return expected
        sent_at, own, *_ = next(iter(backend.out.values()))
        return max(expected, now - max(sent_at + own, backend.heard_at))

    def cold_room(self, now: float, backend: Backend, work: float) -> bool:
        """Guards a cold backend: all gateways' work in a window stays well inside what pushes it over."""
        # it does one request at a time at least; a part below one request is rounded by chance
        s, pool, warmth = self.settings, backend.pool, backend.warmth(now, self.settings)
        if warmth >= 1 or self.retired:
            return warmth >= 1
        if backend.cold_turn != now // s.overload_ms:
            backend.cold_turn = now // s.overload_ms
            ready = len(pool.rings[Group.ALL, 0])
            users = max(1.0, s.gateways * self.width(ready) / max(1, ready))
            budget = COLD_PART * s.fall_multiple * warmth * s.overload_ms / users
            backend.cold_left = budget + self.random.random() * pool.mean_work
        return backend.cold_left >= work

    def choose(self, now: float, call: Call, patience: float = inf) -> Backend | None:
        """The backend with the least expected delay, at random among near ties; None: refuse."""
        pool = call.pool
        fleet = pool.slowness.now(now)  # one bad backend is no sign of a pressed fleet
        near = self.candidates(now, call)
        fresh = [b for b in near if b not in call.tried or len(near) == 1] if call.tried else near
        rated = [(self.forecast(now, b, call, fleet), b) for b in fresh]
        if not rated:
            return None
        least = min(f for f, _ in rated)
        best = self.random.choice([b for f, b in rated if f <= least * TIE])
        drag = min(fleet, best.slowness[call.event.cls].now(now, fleet))
        wait = drag * pool.mean_work * self.pile(now, best)
        first = patience < inf and not call.tried
        late = (wait + call.work - pool.mean_work) / max(1.0, call.aim - now) if first else 0.0
        over = max(1.0, wait / patience, late)
        if over > 1 and not best.out and now - pool.slowness.at > NEWS_MS and call.work < call.aim - now:
            return best  # nobody would learn that the jam is over if all were refused
        return best if self.random.random() <= over**-RESOLVE else None

    def group(self, backend: Backend, cls: RequestClass) -> tuple[Group, int]:
        """The backends that drop each other's repeats of this class."""
        entry = backend.entry
        return cls.group, {Group.ALL: 0, Group.ZONE: entry.zone, Group.CELL: entry.cell}[cls.group]

    # ---- attempts

    def send(self, now: float, call: Call, backend: Backend) -> None:
        """Start an attempt and remember what it may do."""
        pool, pile, number = call.pool, self.pile(now, backend), len(call.tried)
        due = OVERDUE * max(1.0, pool.slowness.now(now)) * (pool.mean_work * pile + call.work)
        backend.out[call.event.request, number] = now, call.work, pile, call.event.cls, now + due
        call.out.append(number)
        backend.load += call.work
        backend.cold_left -= call.work
        backend.circuit.sent(now)
        pool.mean_work += (call.work - pool.mean_work) * (1 - KEEP) / 2
        call.tried.append(backend)
        if call.event.key:
            self.booked.note(now, call.event.key, self.group(backend, call.cls))
        self.actions.append(Send(call.event.request, backend.entry.backend))
        if self.retired:
            group = self.group(backend, call.cls) if call.event.key else None
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
                    pile,
                    now + due,
                    key=call.event.key,
                    group=group,
                )
            )
        self.watch(now, call, due)

    def watch(self, now: float, call: Call, due: float) -> None:
        """Have a look at the attempt sent last once it is overdue, where another could follow then."""
        number = len(call.tried)
        repeatable = call.cls.effect is not Effect.UNSAFE and self.settings.second_copies
        if repeatable and number < call.most and now + due < call.give_up:
            self.actions.append(SetTimer(due, call.event.request * LABELS + number - 1, call.event.request))

    def overdue(self, now: float, event: TimerFired) -> None:
        """Guards against an answer that never comes or stops half way, with its connection left open.

        A second copy goes elsewhere while the first may still answer. It covers a backend that stands still
        or has vanished too. Where the whole fleet is slow, copies would only add to the load: the time grows
        with its slowness, they need patience like any first try, and further attempts are rationed.
        """
        request, number = divmod(event.label, LABELS)
        call = self.calls.get(request)
        if call is None or call.begun or number not in call.out or number != len(call.tried) - 1:
            return
        sent_at, *_, due = call.tried[number].out.get((request, number), (now, now + NEWS_MS))
        self.may_run(call, number, sent_at)
        self.again(now, call, self.patience(call))
        if number == len(call.tried) - 1:
            self.watch(now, call, due - sent_at)

    def ended(self, now: float, event: AttemptEnded) -> None:
        """Learn from the outcome, then answer the request or try again as far as its class allows."""
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
        if event.used_percent is not None:  # the site has a meter: it takes the counter's place
            call.customer.follow(now, event.used_percent >= 100)
        if event.outcome is Outcome.OK:
            units = event.true_units or call.event.units
            if not self.retired:  # else it is told to the owner of the quota
                more = 0.0 if call.event.reserved else units - call.event.units
                call.customer.took(more, units)
                self.used(now, call.customer, more)
                if self.asks.on:
                    self.settle(now, call.customer)
        if event.attempt in call.out:
            call.out.remove(event.attempt)
        if event.over:
            self.actions += [Cancel(event.request, n) for n in call.out if self.settings.cancel]
            return self.withdrawn(now, event)
        if not event.outcome.never_ran:
            self.may_run(call, event.attempt, now - event.elapsed_ms)
        if not call.out or event.attempt == len(call.tried) - 1:  # else the copy sent last goes on
            self.again(now, call)

    def began(self, now: float, event: ResponseStarted) -> None:
        """The answer is the client's: no copy follows, and where the work is done it is no load any more."""
        if (call := self.calls.get(event.request)) is not None:
            call.begun = True
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

    def may_run(self, call: Call, number: int, sent_at: float) -> None:
        """An attempt may have run, or may yet: a keyed request then keeps to the group that knows it."""
        call.may_have_run = True
        if call.cls.effect is Effect.KEYED and call.ran_group is None:
            call.ran_group = self.group(call.tried[number], call.cls)
            call.ran_until = sent_at + call.cls.window_ms

    def again(self, now: float, call: Call, patience: float = inf) -> None:
        """The one table of further attempts: by effect, and by what may have run."""
        safe, keyed = call.cls.effect is Effect.SAFE, call.cls.effect is Effect.KEYED
        harmless = safe or not call.may_have_run
        allowed = harmless or (keyed and now < call.ran_until - REACH_MS)
        refusable = harmless or (keyed and call.cls.group is Group.ALL)
        more = len(call.tried) < call.most and now < call.give_up - self.settings.tick_ms
        may = allowed and more and call.pool.retries >= 1
        if may and (backend := self.choose(now, call, patience)) is not None:
            call.pool.retries -= 1
            return self.send(now, call, backend)
        if call.out:
            return  # what is out may still answer
        if refusable:
            return self.refuse(now, call)
        self.fail(call)

    def learn(self, now: float, backend: Backend, event: AttemptEnded, sent: Sent) -> None:
        """Every kind of sign moves one measure; what came of a request's run tells of its class only."""
        sent_at, work, pile, cls, due = sent
        took, pool = max(0.0, event.elapsed_ms - event.lag_ms) / pile / work, backend.pool
        fleet = pool.slowness.now(now)
        heard = backend.heard_at > sent_at  # then one connection may be silent, but not the backend
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            backend.heard_at = now
            backend.circuit.answered()
        elif event.outcome is Outcome.CONNECT_FAILED:
            backend.circuit.could_not_connect(now)
        else:
            backend.circuit.unknown()
        overdue = event.outcome is Outcome.CANCELLED and now > due
        if event.outcome is Outcome.OK:
            if event.lag_ms >= event.elapsed_ms:
                return  # how much of its time was the backend's can't be told
            backend.slowness[cls].sign(now, took, 1 - KEEP, fleet)
            if pile < 2:  # a jam is not learnt as usual
                pool.unit_ms[cls] *= 1 + min(took - 1, 1.0) * LEARN
        elif overdue or event.outcome not in (Outcome.CANCELLED, Outcome.WRONG_INSTANCE):
            # it may fail just this class; a process that has died refuses new connections too
            own = overdue or event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)
            mild = overdue or event.outcome is Outcome.RESET or (heard and event.outcome is Outcome.TIMEOUT)
            for c in [cls] if own else range(len(pool.unit_ms)):
                backend.slowness[c].sign(now, BROKEN if mild else max(DREAD, took), BLAME, fleet)
        # "full" tells of this backend: it may be draining or cold, or others may have sent it too much
        if event.outcome is Outcome.OK or (event.outcome is Outcome.TIMEOUT and not heard):
            pool.slowness.sign(now, min(took, fleet * LEAP + 1), 1 - KEEP)
