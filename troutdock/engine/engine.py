"""Drives each request from its arrival to its one final answer, and is the only user of the decision module.

Theory of operation. A call is in one of three states and passes through them at most once, in this order:

    open       owes its final answer; attempts may be outstanding, or the decision module holds the request
    committed  one attempt's answer is being streamed to the client; no other attempt can supply the answer
    concluded  the final answer was given, or the client has disconnected; outstanding attempts are cancelled

    state      event                               next state   method called on the exchange
    open       arrive; actions Send, Refuse, Fail  see below    -
    open       attempt ends with OK                concluded    served
    open       attempt ends with another outcome   open         - (the decision module retries or ends it)
    open       action Refuse / Fail                concluded    refused / failed
    open       answer_began                        committed    began, if the transport passes a flow
    committed  answer_more                         committed    more
    committed  its attempt ends with OK / not OK   concluded    served / broken
    open       deadline                            concluded    as the decision module decides
    committed  deadline                            concluded    broken; with a flow the deadline is cancelled
                                                                and the transport bounds the duration
    any        withdraw                            concluded    -
    any        fail_call                           concluded    failed; broken if committed

Who may call what:

    fronts         arrive, reject_waited, withdraw, fail_call
    transports     answer_began, answer_more, attempt_ended (engine.ports.Reports)
    counter        count_answered
    backend lists  fleet_updated, discovery_polled
    peers          peer_message_received

All calls come from one thread. A transport never reports within a call that the engine makes to it.

With a ledger, an OK answer reaches the exchange only after its usage has been recorded. The call is concluded
by then, and stays in `_unrecorded` until the record is confirmed, its deadline passes or its client
disconnects. If the usage cannot be recorded, the request is refused if the client may safely repeat it, and
fails otherwise.

Invariants:

- Only `_conclude` removes a call from `_calls`. Code that gives an exchange its final answer first calls it
  and proceeds only if it returned true. This guarantees at most one final answer for each request.
- The decision module receives exactly one AttemptEnded for each Send, also after the call is concluded, since
  its accounting depends on it.
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
    DecisionModule,
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

# Time reserved before the client's deadline. 99 % of answers leave within 0.7 ms after the backend's answer,
# within 2 ms under a profiler; the rest covers the network path to and from the client and a busy event loop.
DEADLINE_MARGIN_MS = 20.0


class Failure(Enum):
    """Why a request failed."""

    ATTEMPT = "the attempts failed, and one of them may have run"
    UNANSWERED = "the decision module left it without an answer"
    INTERNAL = "an error of the ingress"
    CLOSED = "the ingress was closed before the answer was there"
    UNRECORDED = "its use could not be written down"


@dataclass(slots=True)
class Tally:
    """Counts of final answers since the start.

    taken: accepted requests, the sum of served, refused, failed, withdrawn and the calls that are still open.
    rejected_early: the refused requests that were rejected before any work was spent on them.
    retries: the accepted requests that their clients marked as retries.
    connections: accepted client connections, where the front has connections.
    """

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    withdrawn: int = 0
    rejected_early: int = 0
    retries: int = 0
    connections: int = 0


class Call:
    """A request that still owes its final answer or has outstanding attempts."""

    __slots__ = (
        "attempts",
        "committed",
        "deadline_timer",
        "exchange",
        "expires_ms",
        "failure",
        "number",
        "request",
        "reserved",
        "timers",
        "transport",
    )

    def __init__(
        self, number: int, request: Request, exchange: Exchange, expires_ms: float, transport: Transport
    ) -> None:
        self.number, self.request, self.exchange, self.expires_ms = number, request, exchange, expires_ms
        self.transport = transport
        self.attempts: list[Attempt] = []
        self.committed: Attempt | None = None  # the attempt whose answer is streamed to the client
        self.failure: Answer | None = None  # the last error answer of a backend
        self.reserved: str | None = None  # the reservation that its units were taken from
        self.deadline_timer: Timer | None = None
        self.timers: list[Timer] | None = None  # set by the decision module for this request


class Engine:
    """Connects fronts, transports and the decision module of one gateway. Not thread-safe."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        timers: Timers,
        gateway: DecisionModule | None = None,
    ) -> None:
        """Creates an engine.

        Args:
            gateway: decision module; default is a new admission.gateway.Gateway.
        """
        self.clock, self._timers = clock, timers
        self.relay_backend_errors = False  # forward a backend's error answer if no attempt succeeds
        self.tally = Tally()
        self.ready = False  # true once a backend is known
        if gateway is None:
            from troutdock.admission.gateway import Gateway

            gateway = Gateway(settings, seed)
        self._gateway: Any = gateway  # a DecisionModule; state handover needs a gateway.Gateway
        self._max_units = settings.most_units
        self._calls: dict[int, Call] = {}
        self._open_ids: set[bytes] = set()
        self._last_number = 0
        self._transports: list[Transport] = []  # by pool
        self._counter: Counter | None = None
        self._peers: Peers | None = None
        self._ledger: Ledger | None = None
        self._plans: PlanBook | None = None
        self._allowance: Allowance | None = None
        self._unrecorded: dict[
            int, tuple[Call, Timer | None]
        ] = {}  # by number; concluded, answer not yet given
        self._on_settled: Callable[[AttemptSettled], None] | None = None  # tells the process that took over

    def add_pool(self, transport: Transport) -> int:
        """Adds a pool of backends reached by this transport. Returns its number; the first pool is 0."""
        self._transports.append(transport)
        return len(self._transports) - 1

    def replace_transport(self, pool: int, transport: Transport) -> None:
        """Replaces a pool's transport. Call it before any request, with the backends already known to it."""
        self._transports[pool] = transport

    def set_counter(self, counter: Counter) -> None:
        """Sets the shared counter; required if the settings name one."""
        self._counter = counter

    def set_peers(self, peers: Peers) -> None:
        """Sets the channel to other gateways; without one, messages to them are dropped."""
        self._peers = peers

    def set_ledger(self, ledger: Ledger) -> None:
        """From now on, records usage in this ledger before an answer is given."""
        self._ledger = ledger

    def set_allowance(self, allowance: Allowance) -> None:
        """From now on, takes the units of requests from reservations first."""
        self._allowance = allowance

    def send_to_peer(self, gateway: int, body: bytes) -> None:
        """Sends a message to another gateway, outside the decision module; dropped if there is no channel."""
        if self._peers is not None:
            self._peers.tell(gateway, body)

    def set_plan_book(self, plans: PlanBook) -> None:
        """From now on, assigned plans override the plan that a request names."""
        self._plans = plans

    def assign_plan(self, customer: int, plan: str) -> bool:
        """Assigns a plan to a customer. Returns false if the settings have no plan of that name."""
        number = self._plan_number(plan)
        if number is not None:
            self._handle(PlanAssigned(customer, number))
        return number is not None

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        settings: Settings = self._gateway.settings
        return settings

    def plan_of(self, customer: int) -> str | None:
        """The plan that is now assigned to a customer; None if its requests name the plan."""
        return None if self._plans is None else self._plans.plan_of(customer, self.clock.now())

    def _plan_number(self, plan: str) -> int | None:
        return next((n for n, p in enumerate(self._gateway.settings.plans) if p.name == plan), None)

    def _apply_assigned_plan(self, event: RequestArrived | RequestQueued, now: float) -> None:
        """Sets the event's plan to the assigned one, if one is assigned and the settings have it."""
        if self._plans is not None and (plan := self._plans.plan_of(event.customer, now)) is not None:
            number = self._plan_number(plan)
            event.plan = event.plan if number is None else number

    @property
    def open(self) -> int:
        """The calls that still owe their final answer."""
        return len(self._calls) + len(self._unrecorded)

    # ---- events

    def export_state(self, tell: Callable[[AttemptSettled], None]) -> dict[str, Any]:
        """Returns the decision module's state for a successor process; admits no requests afterwards.

        Args:
            tell: called with the result of each attempt that is still outstanding.
        """
        from troutdock.admission import snapshot

        self._on_settled = tell
        return snapshot.take(self._gateway)

    def resume(self, unused_state: Any = None) -> None:
        """Resumes after the other process of a handover has died.

        Args:
            unused_state: the exported state if it is known that the successor never used it.
        """
        from troutdock.admission import snapshot

        snapshot.resume(self._gateway, self.clock.now(), unused_state)

    def import_state(self, state: Any) -> list[str]:
        """Continues from a predecessor's state. Returns descriptions of the parts that are unknown here.

        Raises:
            ValueError: the state is invalid; nothing of it was applied.
        """
        from troutdock.admission import snapshot

        return snapshot.restore(self._gateway, state)

    def attempt_settled(self, settled: AttemptSettled) -> None:
        """Handles the result of an attempt that the predecessor sent."""
        self._handle(settled)

    def predecessor_ended(self) -> None:
        """Stops waiting for results that the predecessor has not reported."""
        from troutdock.admission import snapshot

        snapshot.forget(self._gateway)

    def reconfigure(self, settings: Settings) -> None:
        """Applies new settings, made by merge_settings; open calls keep their previous rules."""
        self._max_units = settings.most_units
        self._handle(SettingsChanged(settings))

    def fleet_updated(self, update: FleetUpdate, endpoints: Mapping[BackendId, Any]) -> None:
        """Handles a change of the list of backends."""
        transport = self._transports[update.pool]
        for entry in update.entries:
            transport.place(entry.backend, endpoints[entry.backend], entry.up_since_ms)
        self._handle(update)
        transport.follow(update)
        self.ready = self.ready or bool(endpoints)

    def discovery_polled(self, answered: bool) -> None:
        """Handles whether the last call to service discovery was answered."""
        self._handle(DiscoveryStatus(answered))

    def handle_event(self, event: Event) -> None:
        """Passes an event to the decision module and carries out its actions."""
        self._handle(event)

    def count_answered(self, event: CounterReply) -> None:
        """Handles the shared counter's answer to one call."""
        self._handle(event)

    def peer_message_received(self, gateway: int, body: bytes) -> None:
        """Handles a message from another gateway, identified by its number."""
        if self._allowance is None or not self._allowance.heard(gateway, body):
            self._handle(PeerMessage(gateway, body))

    def arrive(self, request: Request, exchange: Exchange) -> Call:
        """Accepts a request; it gets one final answer before its deadline, possibly within this call.

        Raises:
            BadRequest: a request with the same id is open; backends would take this one for a copy of it.
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
        self._apply_assigned_plan(arrival, now)
        # the decision module's deadline is before the client's, so that it starts no attempt in between
        arrival.time_left_ms = max(1.0, request.timeout_ms - (now - exchange.arrived) - DEADLINE_MARGIN_MS)
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
            # one millisecond more, since the event loop's timers may fire that much early
            left_s = arrival.time_left_ms / 1000 + 0.001
            call.deadline_timer = self._timers.call_later(left_s, self._deadline_reached, call)
        return call

    def reject_waited(self, event: RequestQueued, exchange: Exchange) -> bool:
        """Refuses a request that has waited too long to be read, if the decision module says so.

        Cheaper than arrive: no call, no timers, no counter. Returns false if the request may be processed.
        """
        refusal, now = None, self.clock.now()
        self._apply_assigned_plan(event, now)
        for action in self._gateway.handle(now, event):
            if isinstance(action, Refuse):
                refusal = action
            else:  # messages to peers are sent with any event
                self._carry_out(action)
        if refusal is None:
            return False
        self.tally.taken += 1
        self.tally.refused += 1
        self.tally.rejected_early += 1
        self.tally.retries += event.retry
        exchange.refused(refusal.retry_after_ms)
        return True

    def withdraw(self, call: Call) -> None:
        """Handles a client's disconnect; no effect once the call is concluded."""
        if self._pop_unrecorded(call):
            self.tally.withdrawn += 1
        elif self._conclude(call):
            self.tally.withdrawn += 1
            self._handle(RequestWithdrawn(call.number))
            self._cancel_outstanding(call)

    def fail_call(self, call: Call) -> None:
        """Fails a call because its front or connection closes; no effect once the call is concluded."""
        if self._pop_unrecorded(call):
            self._fail(call, Failure.CLOSED, call.committed is not None)
        elif self._conclude(call):
            self._handle(RequestWithdrawn(call.number))
            self._fail(call, Failure.CLOSED, call.committed is not None)

    def close(self) -> None:
        """Fails every call that is still open and cancels its attempts."""
        for call in [*self._calls.values(), *(call for call, _ in self._unrecorded.values())]:
            self.fail_call(call)

    # ---- reports of the transport

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool:
        """Handles the begin of a streamed answer. Returns true if the call is now committed to this attempt.

        With a flow, the body follows by answer_more and the deadline no longer applies.
        """
        if attempt.over:
            return False
        call: Call = attempt.owner
        if call.committed is not None or call.number not in self._calls:
            return False
        call.committed = attempt
        self._cancel_timers(call)  # timers for hedged attempts: no further attempt may run
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
            if call.deadline_timer is not None:
                call.deadline_timer.cancel()
            cast(StreamingExchange, call.exchange).began(head, flow)
        return True

    def answer_more(self, attempt: Attempt, data: bytes) -> None:
        """Handles a piece of the body of a streamed answer."""
        if not attempt.over:
            cast(StreamingExchange, attempt.owner.exchange).more(data)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        """Handles the single outcome of an attempt."""
        call: Call = attempt.owner
        if outcome is Outcome.ERROR and answer is not None and self.relay_backend_errors:
            call.failure = answer
        units = 0.0
        ends = call.number in self._calls and (outcome is Outcome.OK or call.committed is attempt)
        if ends:
            self._conclude(call)
            if outcome is Outcome.OK and answer is not None:
                if 0 < answer.true_units <= self._max_units:  # else not a valid figure
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
        self._report_attempt_end(call, attempt, outcome, units)
        if ends:
            self._cancel_outstanding(call)

    # ---- usage records

    def _record(self, ledger: Ledger, call: Call, answer: Answer, units: float) -> None:
        arrival, settings = call.request.arrival, self._gateway.settings
        self._unrecorded[call.number] = call, None
        ledger.record(
            arrival.customer,
            settings.plans[arrival.plan].name,
            settings.classes[arrival.cls].name,
            units,
            partial(self._record_finished, call, answer),
        )
        if call.number in self._unrecorded:
            left_s = max(0.0, call.expires_ms - self.clock.now()) / 1000
            self._unrecorded[call.number] = (
                call,
                self._timers.call_later(left_s, self._record_timed_out, call),
            )

    def _record_finished(self, call: Call, answer: Answer, recorded: bool) -> bool:
        """Handles the ledger's result. Returns whether the answer was given to the client."""
        if not self._pop_unrecorded(call):
            return False
        if recorded:
            self.tally.served += 1
            call.exchange.served(answer)
            return True
        cls = self._gateway.settings.classes[call.request.arrival.cls]
        known = cls.effect is Effect.KEYED and cls.group is Group.ALL  # any backend recognises a repeat
        if call.committed is None and (cls.effect is Effect.SAFE or known):
            self.tally.refused += 1
            call.exchange.refused(self._ledger.admits() if self._ledger is not None else 0.0)
        else:
            self._fail(call, Failure.UNRECORDED, call.committed is not None)
        return False

    def _record_timed_out(self, call: Call) -> None:
        if self._pop_unrecorded(call):
            self._fail(call, Failure.UNRECORDED, call.committed is not None)

    def _pop_unrecorded(self, call: Call) -> bool:
        """Stops waiting for a call's usage record. Returns false if it was not waiting."""
        known = self._unrecorded.pop(call.number, None)
        if known is not None and known[1] is not None:
            known[1].cancel()
        return known is not None

    # ---- conclusion of calls

    def _deadline_reached(self, call: Call) -> None:
        """Ends outstanding attempts as timed out; the decision module then determines the answer."""
        committed = call.committed is not None
        if committed and self._conclude(call):
            self._fail(call, Failure.ATTEMPT, committed, Outcome.TIMEOUT)
            return
        for attempt in call.attempts:
            if not attempt.over:
                call.transport.give_up(attempt)
                self._report_attempt_end(call, attempt, Outcome.TIMEOUT)
        if self._conclude(call):
            log.error("request %d: no answer from the decision module at the deadline", call.number)
            self._fail(call, Failure.UNANSWERED)

    def _fail(
        self, call: Call, why: Failure, committed: bool = False, outcome: Outcome = Outcome.CANCELLED
    ) -> None:
        """Gives the final answer to a request that was just concluded and was not served."""
        self.tally.failed += 1
        if committed:
            call.exchange.broken()
        elif call.failure is not None:
            call.exchange.served(call.failure)
        else:
            call.exchange.failed(why)
        self._cancel_outstanding(call, outcome)

    def _report_attempt_end(self, call: Call, attempt: Attempt, outcome: Outcome, units: float = 0.0) -> None:
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
        """Concludes a call: its final answer may now be given. Returns false if it was already concluded."""
        if self._calls.pop(call.number, None) is None:
            return False
        self._open_ids.discard(call.request.id)
        if self._allowance is not None and call.reserved is not None and not call.attempts:
            self._allowance.settle(call.reserved, -call.request.arrival.units)  # nothing was sent
        return True

    def _cancel_outstanding(self, call: Call, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Cancels the timers and outstanding attempts of a concluded call."""
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        self._cancel_timers(call)
        for attempt in call.attempts:
            self._cancel(call, attempt, outcome)
            attempt.owner = None  # breaks the reference cycle, so that no garbage collector run is needed

    def _cancel_timers(self, call: Call) -> None:
        """Cancels the timers that the decision module set for this call."""
        if call.timers is not None:
            for timer in call.timers:
                timer.cancel()
            call.timers = None

    def _cancel(self, call: Call, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Cancels an attempt if it has not ended."""
        if not attempt.over:
            call.transport.give_up(attempt)
            self._report_attempt_end(call, attempt, outcome)

    # ---- actions

    def _handle(self, event: Event) -> None:
        """Passes an event to the decision module and carries out its actions."""
        subject: Event | Action = event
        try:
            actions: Actions = self._gateway.handle(self.clock.now(), event)
            for action in actions:
                subject = action
                self._carry_out(action)
        except Exception:
            # protects the other requests: only the one that the event or the action refers to fails
            log.exception("failed to handle %s, caused by %s", subject, event)
            number = getattr(subject, "request", None) or getattr(event, "request", None)
            call = self._calls.get(number or 0)
            if call is not None and call.committed is None and self._conclude(call):
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
                    self._cancel_outstanding(call)
            case Fail(number):
                call = self._calls[number]
                if self._conclude(call):
                    self._fail(call, Failure.ATTEMPT)
            case Cancel(number, index):
                if (
                    open_call := self._calls.get(number)
                ) is not None:  # else its attempts were cancelled with it
                    self._cancel(open_call, open_call.attempts[index])
            case SetTimer(after_ms, label, number):
                self._set_timer(after_ms, label, number)
            case CounterAdd(name, amount, ttl_ms):
                if self._counter is None:
                    raise RuntimeError("the decision module uses a counter, but the settings name none")
                self._counter.call(name, amount, ttl_ms)
            case SendToPeer(gateway, body):
                if self._peers is not None:
                    self._peers.tell(gateway, body)
            case Log(text):
                log.warning("%s", text)
            case AttemptSettled():
                if self._on_settled is not None:
                    self._on_settled(action)
            case _:
                raise NotImplementedError(f"unknown action of the decision module: {action}")

    def _set_timer(self, after_ms: float, label: int, number: int) -> None:
        """Starts a timer; a timer that belongs to a call is cancelled when the call is concluded."""
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
            request.message_to(action.backend, call.expires_ms - now),
            now,
            request.repeatable,
        )
        attempt.streams = call.exchange.streams
        call.attempts.append(attempt)
        if call.committed is not None:  # committed to another attempt: no further attempt may run
            attempt.over = True
            # not Outcome.WRONG_INSTANCE: a backend reports that if another instance has taken its address
            self._report_attempt_end(call, attempt, Outcome.CANCELLED)
            return
        call.transport.start(attempt)
