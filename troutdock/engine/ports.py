"""Interfaces between the engine and its environment.

    front          passes requests to Engine.arrive and receives the final answer through an Exchange
    transport      carries attempts to backends and reports their results through Reports
    counter        adds to shared counters and passes the results to Engine.count_answered
    backend list   passes every change of the backends to a FleetListener, which is Engine.fleet_updated
    clock, timers  the time; an asyncio event loop implements Timers

No method blocks. Nothing that the engine calls may call the engine before it has returned, except Exchange,
whose methods may pass in the next request.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from troutdock.admission.interface import Actions, BackendId, Event, FleetUpdate, Outcome, Settings
from troutdock.engine.attempt import Attempt


class Clock(Protocol):
    """Monotonic time in milliseconds, on the scale of Unix time.

    The decision module derives counter names from the minute, and they must be equal on all ingresses.
    """

    def now(self) -> float:
        """Returns the time in milliseconds."""


class DecisionModule(Protocol):
    """The decision module: gateway.Gateway, or proxy_admission.ProxyAdmission in a fleet of proxies."""

    @property
    def settings(self) -> Settings:
        """The settings in force."""

    def handle(self, now: float, event: Event) -> Actions:
        """Handles one event. Returns the actions to carry out, in order."""


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> object:
        """Cancels the call; no effect after it was made."""


class Timers(Protocol):
    """Schedules calls."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Calls callback(*args) after delay seconds."""


class Answer(Protocol):
    """A backend's complete answer; its other contents are known only to front and transport."""

    @property
    def true_units(self) -> float:
        """The units that the request actually consumed; 0 if the answer does not state them."""


class Exchange(Protocol):
    """The client's side of a request; exactly one of served, refused, failed and broken is called."""

    @property
    def arrived(self) -> float:
        """When the request's last byte was read, in milliseconds of the engine's clock."""

    @property
    def streams(self) -> bool:
        """It can stream an answer: began, then more, and at the end served with the rest of the body."""

    def served(self, answer: Any) -> None:
        """Gives a backend's answer, of the type that the pool's transport creates."""

    def refused(self, retry_after_ms: float) -> None:
        """Refuses the request: it has not run and may be repeated, after this delay if it is above 0."""

    def failed(self, why: Any) -> None:
        """Fails the request, which may or may not have run; why is a Failure."""

    def broken(self) -> None:
        """Ends a streamed answer that cannot be completed, so that the client detects the truncation."""


class Flow(Protocol):
    """Flow control for the backend's side of a streamed answer."""

    def pause(self) -> None:
        """Stops reading until resume, because the client is slower than the backend."""

    def resume(self) -> None:
        """Resumes reading; no effect if not paused."""


class StreamingExchange(Exchange, Protocol):
    """An exchange whose streams is true."""

    def began(self, head: Any, flow: Flow) -> None:
        """Begins a streamed answer; head is an answer as for served, without its body."""

    def more(self, data: bytes) -> None:
        """Sends a piece of the body."""


class Transport(Protocol):
    """Carries attempts to the backends of a pool; it receives only attempts that it created."""

    @property
    def new_attempt(self) -> Callable[[Any, int, BackendId, Any, float, bool], Attempt]:
        """Factory for the transport's subclass of engine.Attempt, with the same arguments."""

    def place(self, backend: BackendId, endpoint: Any, up_since_ms: float) -> None:
        """Adds or updates a backend, which may have restarted. Called before the decision module is told."""

    def follow(self, update: FleetUpdate) -> None:
        """Handles a change of the list, after the decision module; removed backends get no new attempts."""

    def start(self, attempt: Any) -> None:
        """Starts an attempt; its result is reported later, never within this call."""

    def give_up(self, attempt: Any) -> None:
        """Cancels an attempt: it is over, and nothing more is reported of it."""


class Reports(Protocol):
    """Receives the reports of a transport about its attempts."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool:
        """Reports that a streamed answer begins. Returns false if the attempt is over or another was chosen.

        With a flow, allowed only for an attempt that streams, the body follows by answer_more. The deadline
        then applies to the begin of the answer only, and the transport must bound the rest.
        """

    def answer_more(self, attempt: Attempt, data: bytes) -> None:
        """Reports a piece of the body of a streamed answer."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        """Reports the single outcome of an attempt that was not cancelled; the caller has set over."""


class Counter(Protocol):
    """The shared counter."""

    def call(self, name: int, amount: float, ttl_ms: float) -> None:
        """Adds to a counter. Exactly one answer follows, never within this call, in order for each name."""


class Peers(Protocol):
    """Channel to other gateways; messages may be delayed, duplicated or lost."""

    def tell(self, gateway: int | None, body: bytes) -> None:
        """Sends a message to one gateway, by its number, or to all others (None)."""


class Ledger(Protocol):
    """Records usage before an answer is given."""

    def admits(self) -> float:
        """Returns 0, or the retry delay in milliseconds if usage cannot be recorded now."""

    def record(
        self, customer: int, plan: str, cls: str, units: float, on_recorded: Callable[[bool], bool]
    ) -> None:
        """Records the usage of a served request.

        Args:
            plan: name of the plan.
            cls: name of the request class.
            on_recorded: called once, within this call or later, with whether the usage was recorded; returns
                whether the answer was given to the client.
        """


class PlanBook(Protocol):
    """Plans assigned to customers, which override the plan that a request names."""

    def plan_of(self, customer: int, now: float) -> str | None:
        """Returns the name of the plan assigned at now, in ms; None: the request names the plan."""


class Allowance(Protocol):
    """Units reserved for customers."""

    def take(self, customer: int, cls: str, units: float) -> str | None:
        """Takes units for a request of a class, given by name.

        Returns the reservation that they were taken from; None if none has them on this gateway.
        """

    def settle(self, reservation: str, more: float) -> None:
        """Corrects a reservation by the actual minus the estimated units of a request."""

    def served(self, units: float) -> None:
        """Reports the units of a served request of any customer."""

    def heard(self, gateway: int, body: bytes) -> bool:
        """Handles a message of another gateway. Returns false if it concerns something else."""


class FleetListener(Protocol):
    """Receives changes of the list of backends."""

    def __call__(self, update: FleetUpdate, endpoints: Mapping[BackendId, Any]) -> None:
        """Handles a change of the list; endpoints has the address of each entry in its transport's form."""
