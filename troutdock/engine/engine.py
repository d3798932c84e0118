"""One request from its arrival to its one final answer, and the only talk with the decision module.

Theory of operation. A call is open, begun or concluded, and goes through these once and in this order:

    open       it owes its final answer; attempts may be out, or the decision module holds it
    begun      an answer is being passed on as it comes: it is the client's, and no other attempt counts
    concluded  the final answer is given, or the client has left; what was out is given up

    state  event                                    next       the exchange is told
    open   arrive ... Send, Refuse, Fail            see action  -
    open   an attempt ends well                     concluded  served
    open   an attempt ends badly                    open       - (the decision module tries again or ends it)
    open   Refuse / Fail                            concluded  refused / failed
    open   answer_began                             begun      -
    begun  answer_more                              begun      more
    begun  its attempt ends well / badly            concluded  served / broken
    any    the deadline                             concluded  what the decision module words; begun: broken,
                                                               or none where the transport sees to the end
    any    withdraw                                 concluded  -

Where there is a ledger, a good answer is told its exchange only once its use is written down: the call is
concluded then, and stands in `_unrecorded` until that, its deadline or its client's leaving. What can't be
written down is refused where its client may send it again, and failed where it may not.

Two rules. Only `_conclude` takes a call out of `_calls`, and whoever tells an exchange anything has
called it first and got true. And what the decision module counts on is told it even when the call is
long concluded: each Send is answered by exactly one AttemptEnded.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any, cast

from troutdock.admission.interface import (
    Action,
    Actions,
    ResponseStarted,
    AttemptEnded,
    BackendId,
    Cancel,
    CounterAdd,
    CounterReply,
    Effect,
    Event,
    Fail,
    FleetUpdate,
    Group,
    DiscoveryStatus,
    Log,
    Outcome,
    PeerMessage,
    PlanAssigned,
    Refuse,
    RequestArrived,
    RequestQueued,
    RequestWithdrawn,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    AttemptSettled,
    SendToPeer,
    TimerFired,
)
from troutdock.engine.attempt import Attempt
from troutdock.engine.ports import (
    Allowance,
    Answer,
    Clock,
    Counter,
    Decides,
    Exchange,
    Flow,
    Ledger,
    Peers,
    PlanBook,
    StreamingExchange,
    Timer,
    Timers,
    Transport,
)
from troutdock.engine.request import BadRequest, Request

log = logging.getLogger("troutdock")

# Before the client's deadline. Measured: 99 of 100 answers leave within 0.7 ms of the backend's, within 2 ms
# beside a profiler; the rest is for the way from the client and back to it, and for a busy loop.
MARGIN_MS = 20.0


class Failure(Enum):
    """Why a request failed."""

    ATTEMPT = "the attempts failed, and one of them may have run"
    UNANSWERED = "the decision module left it without an answer"
    INTERNAL = "an error of the ingress"
    CLOSED = "the ingress was closed before the answer was there"
    UNRECORDED = "its use could not be written down"


@dataclass(slots=True)
class Tally:
    """Final answers since the start; taken is their sum and the calls that are still open."""

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    withdrawn: int = 0
    turned_away: int = 0  # of the refused, those that were so before any work was spent on them
    retries: int = 0  # of the taken, those that their clients have marked as such
    connections: int = 0  # of clients, where a front has such


class Call:
    """A request that still owes its answer, or has attempts out."""

    __slots__ = (
        "attempts",
        "begun",
        "deadline",
        "exchange",
        "failure",
        "give_up",
        "number",
        "request",
        "reserved",
        "timers",
        "transport",
    )

    def __init__(
        self, number: int, request: Request, exchange: Exchange, give_up: float, transport: Transport
    ) -> None:
        self.number, self.request, self.exchange, self.give_up = number, request, exchange, give_up
        self.transport = transport
        self.attempts: list[Attempt] = []
        self.begun: Attempt | None = None  # the attempt whose answer is being passed on
        self.failure: Answer | None = None  # the last that a backend gave in place of a good answer
        self.reserved: str | None = None  # the reservation that has its units
        self.deadline: Timer | None = None
        self.timers: list[Timer] | None = None  # what the decision module has asked for on its behalf


class Engine:
    """Drives one gateway with what happens at its ports; for use from one thread."""

    def __init__(
        self, settings: Settings, seed: int, clock: Clock, timers: Timers, gateway: Decides | None = None
    ) -> None:
        """gateway: who decides, in place of a gateway.Gateway."""
        self.clock, self._timers = clock, timers
        self.relays_failures = False  # a backend's own failure is passed on, where nothing better comes
        self.tally = Tally()
        self.ready = False  # until there is a backend to send to
        if gateway is None:
            from troutdock.admission.gateway import Gateway

            gateway = Gateway(settings, seed)
        self._gateway: Any = gateway  # a Decides; what is handed over is a gateway.Gateway's
        self._most_units = settings.most_units
        self._calls: dict[int, Call] = {}
        self._open_ids: set[bytes] = set()
        self._last_number = 0
        self._transports: list[Transport] = []  # by pool
        self._counter: Counter | None = None
        self._peers: Peers | None = None
        self._ledger: Ledger | None = None
        self._plans: PlanBook | None = None
        self._allowance: Allowance | None = None
        self._unrecorded: dict[int, tuple[Call, Timer | None]] = {}  # by number; concluded, and not told
        self._tell: Callable[[AttemptSettled], None] | None = None  # who has this gateway's state

    def add_pool(self, transport: Transport) -> int:
        """Backends that this transport reaches: the number of their pool, the first one 0."""
        self._transports.append(transport)
        return len(self._transports) - 1

    def carry_with(self, pool: int, transport: Transport) -> None:
        """This one in place of the pool's transport, whose backends it knows; before any request."""
        self._transports[pool] = transport

    def count_with(self, counter: Counter) -> None:
        """The counter, where the settings say that there is one."""
        self._counter = counter

    def tell_by(self, peers: Peers) -> None:
        """The way to other gateways, where there is one; without it nothing is told."""
        self._peers = peers

    def record_with(self, ledger: Ledger) -> None:
        """Use is written down there from now on, before an answer counts as given."""
        self._ledger = ledger

    def reserve_with(self, allowance: Allowance) -> None:
        """Requests take their units there first, from now on."""
        self._allowance = allowance

    def tell(self, gateway: int, body: bytes) -> None:
        """Bytes to another gateway, for what stands beside the decision module; lost if there is no way."""
        if self._peers is not None:
            self._peers.tell(gateway, body)

    def plan_with(self, plans: PlanBook) -> None:
        """Assignments go before the plan that a request names, from now on."""
        self._plans = plans

    def assigned(self, customer: int, plan: str) -> bool:
        """A customer's plan is this one from now on; false if the settings have none of that name."""
        number = self._plan_number(plan)
        if number is not None:
            self._handle(PlanAssigned(customer, number))
        return number is not None

    @property
    def settings(self) -> Settings:
        """Those that hold now."""
        settings: Settings = self._gateway.settings
        return settings

    def plan_of(self, customer: int) -> str | None:
        """The plan that is assigned to a customer now; None: its requests say."""
        return None if self._plans is None else self._plans.plan_of(customer, self.clock.now())

    def _plan_number(self, plan: str) -> int | None:
        return next((n for n, p in enumerate(self._gateway.settings.plans) if p.name == plan), None)

    def _assign(self, event: RequestArrived | RequestQueued, now: float) -> None:
        """Its customer's plan, where one is assigned and there."""
        if self._plans is not None and (plan := self._plans.plan_of(event.customer, now)) is not None:
            number = self._plan_number(plan)
            event.plan = event.plan if number is None else number

    @property
    def open(self) -> int:
        """The calls that still owe their final answer."""
        return len(self._calls) + len(self._unrecorded)

    # ---- events

    def hand_over(self, tell: Callable[[AttemptSettled], None]) -> dict[str, Any]:
        """What the decision module knows, for a successor; from here on nothing new is let in.

        tell: what comes of the attempts that are out, each in its turn.
        """
        from troutdock.admission import snapshot

        self._tell = tell
        return snapshot.take(self._gateway)

    def take_back(self, untouched: Any = None) -> None:
        """The other process has died: go on. untouched: the state, where it is known that nobody used it."""
        from troutdock.admission import snapshot

        snapshot.resume(self._gateway, self.clock.now(), untouched)

    def take_over(self, state: Any) -> list[str]:
        """Go on from a predecessor's state: what of it is not known here.

        ValueError if it is none, and nothing is taken from it.
        """
        from troutdock.admission import snapshot

        return snapshot.restore(self._gateway, state)

    def settle(self, settled: AttemptSettled) -> None:
        """What an attempt of the predecessor has come to."""
        self._handle(settled)

    def predecessor_ended(self) -> None:
        """What the predecessor has not told is not waited for."""
        from troutdock.admission import snapshot

        snapshot.forget(self._gateway)

    def reconfigure(self, settings: Settings) -> None:
        """Other settings from now on, made by merge_settings; open calls keep the rules they came under."""
        self._most_units = settings.most_units
        self._handle(SettingsChanged(settings))

    def fleet(self, update: FleetUpdate, endpoints: Mapping[BackendId, Any]) -> None:
        """The list of backends has changed."""
        transport = self._transports[update.pool]
        for entry in update.entries:
            transport.place(entry.backend, endpoints[entry.backend], entry.up_since_ms)
        self._handle(update)
        transport.follow(update)
        self.ready = self.ready or bool(endpoints)

    def watched(self, heard: bool) -> None:
        """Discovery was heard by the last call to it, or was not."""
        self._handle(DiscoveryStatus(heard))

    def inform(self, event: Event) -> None:
        """Something that the decision module is to know, and may act on."""
        self._handle(event)

    def count_answered(self, event: CounterReply) -> None:
        """The counter's answer to one call."""
        self._handle(event)

    def heard(self, gateway: int, body: bytes) -> None:
        """Bytes of another gateway's, by its number."""
        if self._allowance is None or not self._allowance.heard(gateway, body):
            self._handle(PeerMessage(gateway, body))

    def arrive(self, request: Request, exchange: Exchange) -> Call:
        """A client's request: it gets its one final answer before its time is over, perhaps in this call.

        BadRequest if its id is that of an open one: backends would take it for a second copy.
        """
        if self._ledger is not None and (wait_ms := self._ledger.admits()) > 0:
            self.tally.taken += 1
            self.tally.refused += 1
            exchange.refused(wait_ms)
            return Call(0, request, exchange, 0.0, self._transports[request.arrival.pool])
        if request.id:
            if request.id in self._open_ids:
                raise BadRequest(409, "a request of this id is open")
            self._open_ids.add(request.id)
        self._last_number += 1
        self.tally.taken += 1
        now = self.clock.now()
        arrival = request.arrival
        arrival.request = self._last_number
        self.tally.retries += arrival.retry
        self._assign(arrival, now)
        # the gateway's deadline lies before the client's, so that it tries nothing in between
        arrival.time_left_ms = max(1.0, request.timeout_ms - (now - exchange.arrived) - MARGIN_MS)
        call = Call(
            arrival.request, request, exchange, now + arrival.time_left_ms, self._transports[arrival.pool]
        )
        if self._allowance is not None:
            cls = self._gateway.settings.classes[arrival.cls].name
            call.reserved = self._allowance.take(arrival.customer, cls, arrival.units)
            arrival.reserved = call.reserved is not None
        self._calls[call.number] = call
        self._handle(arrival)
        if call.number in self._calls:
            # one millisecond more, as the loop's timers may be that much early
            left_s = arrival.time_left_ms / 1000 + 0.001
            call.deadline = self._timers.call_later(left_s, self._time_is_up, call)
        return call

    def turn_away(self, event: RequestQueued, exchange: Exchange) -> bool:
        """Refuse a request that has waited too long for this process; false: it may go the ordinary way.

        The cheap way: no call, no timers, no counter. The gateway decides.
        """
        refusal, now = None, self.clock.now()
        self._assign(event, now)
        for action in self._gateway.handle(now, event):
            if isinstance(action, Refuse):
                refusal = action
            else:  # what peers are told goes out with any event
                self._carry_out(action)
        if refusal is None:
            return False
        self.tally.taken += 1
        self.tally.refused += 1
        self.tally.turned_away += 1
        self.tally.retries += event.retry
        exchange.refused(refusal.retry_after_ms)
        return True

    def withdraw(self, call: Call) -> None:
        """The client has left; harmless once the call is concluded."""
        if self._forget_unrecorded(call):
            self.tally.withdrawn += 1
        elif self._conclude(call):
            self.tally.withdrawn += 1
            self._handle(RequestWithdrawn(call.number))
            self._settle(call)

    def abandon(self, call: Call) -> None:
        """Fail a call, as what would answer it closes; harmless once it is concluded."""
        if self._forget_unrecorded(call):
            self._fail(call, Failure.CLOSED, call.begun is not None)
        elif self._conclude(call):
            self._handle(RequestWithdrawn(call.number))
            self._fail(call, Failure.CLOSED, call.begun is not None)

    def close(self) -> None:
        """Fail every call that is still open, and wait for nothing more."""
        for call in [*self._calls.values(), *(call for call, _ in self._unrecorded.values())]:
            self.abandon(call)

    # ---- reports of the transport

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool:
        """A streamed answer begins: true if it is the client's from now on.

        With a flow its pieces come by answer_more, and the deadline holds for its beginning only.
        """
        if attempt.over:
            return False
        call: Call = attempt.owner
        if call.begun is not None or call.number not in self._calls:
            return False
        call.begun = attempt
        self._cancel_timers(call)  # of copies: nothing more may run
        elapsed_ms = self.clock.now() - attempt.started
        self._handle(
            ResponseStarted(
                call.number, attempt.index, attempt.backend, elapsed_ms, flow is not None, attempt.lag_ms
            )
        )
        for other in call.attempts:
            if other is not attempt:
                self._cancel(call, other)
        if flow is not None:
            if call.deadline is not None:
                call.deadline.cancel()
            cast(StreamingExchange, call.exchange).began(head, flow)
        return True

    def answer_more(self, attempt: Attempt, data: bytes) -> None:
        """A piece of an answer that has begun."""
        if not attempt.over:
            cast(StreamingExchange, attempt.owner.exchange).more(data)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        """The one outcome of an attempt."""
        call: Call = attempt.owner
        if outcome is Outcome.ERROR and answer is not None and self.relays_failures:
            call.failure = answer
        units = 0.0
        ends = call.number in self._calls and (outcome is Outcome.OK or call.begun is attempt)
        if ends:
            self._conclude(call)
            if outcome is Outcome.OK and answer is not None:
                if 0 < answer.true_units <= self._most_units:  # else it is no number that a request can have
                    units = answer.true_units
                if self._allowance is not None:
                    self._allowance.served(units or call.request.arrival.units)
                    if call.reserved is not None and units:
                        self._allowance.settle(call.reserved, units - call.request.arrival.units)
                if self._ledger is None:
                    self.tally.served += 1
                    call.exchange.served(answer)
                else:
                    self._record(self._ledger, call, answer, units or call.request.arrival.units)
            else:
                self.tally.failed += 1
                call.exchange.broken()
        self._tell_end(call, attempt, outcome, units)
        if ends:
            self._settle(call)

    # ---- what is written down first

    def _record(self, ledger: Ledger, call: Call, answer: Answer, units: float) -> None:
        arrival, settings = call.request.arrival, self._gateway.settings
        self._unrecorded[call.number] = call, None
        ledger.record(
            arrival.customer,
            settings.plans[arrival.plan].name,
            settings.classes[arrival.cls].name,
            units,
            partial(self._recorded, call, answer),
        )
        if call.number in self._unrecorded:
            left_s = max(0.0, call.give_up - self.clock.now()) / 1000
            self._unrecorded[call.number] = call, self._timers.call_later(left_s, self._unrecorded_late, call)

    def _recorded(self, call: Call, answer: Answer, sure: bool) -> bool:
        """Its use is written down, or can't be; whether the answer leaves."""
        if not self._forget_unrecorded(call):
            return False
        if sure:
            self.tally.served += 1
            call.exchange.served(answer)
            return True
        cls = self._gateway.settings.classes[call.request.arrival.cls]
        known = cls.effect is Effect.KEYED and cls.group is Group.ALL  # by any backend that sees it again
        if call.begun is None and (cls.effect is Effect.SAFE or known):
            self.tally.refused += 1
            call.exchange.refused(self._ledger.admits() if self._ledger is not None else 0.0)
        else:
            self._fail(call, Failure.UNRECORDED, call.begun is not None)
        return False

    def _unrecorded_late(self, call: Call) -> None:
        if self._forget_unrecorded(call):
            self._fail(call, Failure.UNRECORDED, call.begun is not None)

    def _forget_unrecorded(self, call: Call) -> bool:
        """It waits for its record no more; false if it did not."""
        known = self._unrecorded.pop(call.number, None)
        if known is not None and known[1] is not None:
            known[1].cancel()
        return known is not None

    # ---- the ends of calls

    def _time_is_up(self, call: Call) -> None:
        """What is still out has timed out; the gateway then words the answer."""
        begun = call.begun is not None
        if begun and self._conclude(call):
            self._fail(call, Failure.ATTEMPT, begun, Outcome.TIMEOUT)
            return
        for attempt in call.attempts:
            if not attempt.over:
                call.transport.give_up(attempt)
                self._tell_end(call, attempt, Outcome.TIMEOUT)
        if self._conclude(call):
            log.error("request %d: the gateway left it without an answer", call.number)
            self._fail(call, Failure.UNANSWERED)

    def _fail(
        self, call: Call, why: Failure, begun: bool = False, outcome: Outcome = Outcome.CANCELLED
    ) -> None:
        """The final answer to a request that was concluded just now and is not served."""
        self.tally.failed += 1
        if begun:
            call.exchange.broken()
        elif call.failure is not None:
            call.exchange.served(call.failure)
        else:
            call.exchange.failed(why)
        self._settle(call, outcome)

    def _tell_end(self, call: Call, attempt: Attempt, outcome: Outcome, units: float = 0.0) -> None:
        elapsed_ms = self.clock.now() - attempt.started
        over = call.number not in self._calls
        self._handle(
            AttemptEnded(
                call.number,
                attempt.index,
                attempt.backend,
                outcome,
                elapsed_ms,
                over,
                true_units=units,
                lag_ms=attempt.lag_ms,
            )
        )

    def _conclude(self, call: Call) -> bool:
        """Nothing is owed any more; false if that was so before."""
        if self._calls.pop(call.number, None) is None:
            return False
        self._open_ids.discard(call.request.id)
        if self._allowance is not None and call.reserved is not None and not call.attempts:
            self._allowance.settle(call.reserved, -call.request.arrival.units)  # nothing was sent
        return True

    def _settle(self, call: Call, outcome: Outcome = Outcome.CANCELLED) -> None:
        """A request is concluded: nothing more is waited for."""
        if call.deadline is not None:
            call.deadline.cancel()
        self._cancel_timers(call)
        for attempt in call.attempts:
            self._cancel(call, attempt, outcome)
            attempt.owner = None  # no cycle, so that what has ended goes without the collector of cycles

    def _cancel_timers(self, call: Call) -> None:
        """What the decision module has asked for on its behalf is due no more."""
        if call.timers is not None:
            for timer in call.timers:
                timer.cancel()
            call.timers = None

    def _cancel(self, call: Call, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Stop waiting for an attempt, if that has not ended."""
        if not attempt.over:
            call.transport.give_up(attempt)
            self._tell_end(call, attempt, outcome)

    # ---- actions

    def _handle(self, event: Event) -> None:
        """Give the gateway an event and do what it says."""
        about: Event | Action = event
        try:
            actions: Actions = self._gateway.handle(self.clock.now(), event)
            for action in actions:
                about = action
                self._carry_out(action)
        except Exception:
            # guards the other requests: only the one that the event or the action is about fails
            log.exception("%s, on %s", about, event)
            number = getattr(about, "request", None) or getattr(event, "request", None)
            call = self._calls.get(number or 0)
            if call is not None and call.begun is None and self._conclude(call):
                self._fail(call, Failure.INTERNAL)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case Refuse(number, retry_after_ms):
                call = self._calls[number]
                if self._conclude(call):
                    self.tally.refused += 1
                    call.exchange.refused(retry_after_ms)
                    self._settle(call)
            case Fail(number):
                call = self._calls[number]
                if self._conclude(call):
                    self._fail(call, Failure.ATTEMPT)
            case Cancel(number, index):
                if (open_call := self._calls.get(number)) is not None:  # else all that is out ends with it
                    self._cancel(open_call, open_call.attempts[index])
            case SetTimer(after_ms, label, number):
                self._set_timer(after_ms, label, number)
            case CounterAdd(name, amount, ttl_ms):
                if self._counter is None:
                    raise RuntimeError("the gateway calls a counter that the settings do not name")
                self._counter.call(name, amount, ttl_ms)
            case SendToPeer(gateway, body):
                if self._peers is not None:
                    self._peers.tell(gateway, body)
            case Log(text):
                log.warning("%s", text)
            case AttemptSettled():
                if self._tell is not None:
                    self._tell(action)
            case _:
                raise NotImplementedError(f"the gateway asks for {action}")

    def _set_timer(self, after_ms: float, label: int, number: int) -> None:
        """A timer on behalf of a call ends with it."""
        if not number:
            self._timers.call_later(after_ms / 1000, self._handle, TimerFired(label))
        elif (call := self._calls.get(number)) is not None:
            timer = self._timers.call_later(after_ms / 1000, self._handle, TimerFired(label))
            if call.timers is None:
                call.timers = [timer]
            else:
                call.timers.append(timer)

    def _send(self, action: Send) -> None:
        call, now = self._calls[action.request], self.clock.now()
        request = call.request
        attempt = call.transport.new_attempt(
            call,
            len(call.attempts),
            action.backend,
            request.message_to(action.backend, call.give_up - now),
            now,
            request.repeatable,
        )
        attempt.streams = call.exchange.streams
        call.attempts.append(attempt)
        if call.begun is not None:  # the answer is the client's already: nothing more may run
            attempt.over = True
            # not as moot: that is what a backend says in whose place another one stands
            self._tell_end(call, attempt, Outcome.CANCELLED)
            return
        call.transport.start(attempt)
