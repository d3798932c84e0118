"""What the engine needs of the world, each as a small interface, and what it offers in return.

    front      gives requests to Engine.arrive, and is told the one final answer through an Exchange
    transport  carries attempts to backends, and tells what came of them through Reports
    counter    adds to the shared numbers, and gives the answers to Engine.count_answered
    list       gives every change of the fleet to a FleetListener, which is Engine.fleet
    clock, timers: the time; an asyncio event loop is a Timers as it stands

Nothing here blocks, and nothing that the engine calls may call it back before it has returned, but for
Exchange, whose methods may bring in the next request.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from troutdock.admission.interface import Actions, BackendId, Event, FleetUpdate, Outcome, Settings
from troutdock.engine.attempt import Attempt


class Clock(Protocol):
    """Milliseconds that never step back, on the scale of Unix time.

    The decision module names counters after the minute it is, and all ingresses must name them alike.
    """

    def now(self) -> float:
        """The time."""


class DecisionModule(Protocol):
    """The decision module: gateway.Gateway, or proxy_admission.Fabric where ingresses know one another."""

    @property
    def settings(self) -> Settings:
        """Those that hold now."""

    def handle(self, now: float, event: Event) -> Actions:
        """Take in one event; the actions are to be carried out in order."""


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> object:
        """It is not made any more; harmless afterwards."""


class Timers(Protocol):
    """Calls that are due later."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Call back after so many seconds."""


class Answer(Protocol):
    """A backend's whole answer; only front and transport know what else is in it."""

    @property
    def true_units(self) -> float:
        """The units that the request has truly taken; 0 where the answer does not say."""


class Exchange(Protocol):
    """The client's side of a request: it is told exactly one of served, refused, failed and broken."""

    @property
    def arrived(self) -> float:
        """When the request's last byte was read, in milliseconds of the engine's clock."""

    @property
    def streams(self) -> bool:
        """It passes an answer on as it comes: began, more, and at the end served with what is left of it."""

    def served(self, answer: Any) -> None:
        """A backend's good answer, of the kind that the pool's transport makes."""

    def refused(self, retry_after_ms: float) -> None:
        """Trying again is harmless; after so long, where that is more than 0."""

    def failed(self, why: Any) -> None:
        """Nothing is promised: why is a Failure."""

    def broken(self) -> None:
        """A streamed answer that had begun can't be finished: the client must be able to tell."""


class Flow(Protocol):
    """The backend's side of an answer that is passed on as it comes."""

    def pause(self) -> None:
        """Read nothing more until resume: the client is slower than its backend."""

    def resume(self) -> None:
        """Read on; harmless where it was not paused."""


class StreamingExchange(Exchange, Protocol):
    """One whose streams is true."""

    def began(self, head: Any, flow: Flow) -> None:
        """A long answer is this request's from now on; head: as served, without its body."""

    def more(self, data: bytes) -> None:
        """A piece of it."""


class Transport(Protocol):
    """Carries attempts to the backends of a pool; it is given back only attempts that it has made."""

    @property
    def new_attempt(self) -> Callable[[Any, int, BackendId, Any, float, bool], Attempt]:
        """Makes an attempt, of the arguments of engine.Attempt, in the transport's own kind."""

    def place(self, backend: BackendId, endpoint: Any, up_since_ms: float) -> None:
        """A backend is there, perhaps a new one, or one that has started anew; told before the gateway."""

    def follow(self, update: FleetUpdate) -> None:
        """The list has changed, and the decision module knows; what has left gets nothing new."""

    def start(self, attempt: Any) -> None:
        """Begin an attempt; what comes of it is reported later, never within this call."""

    def give_up(self, attempt: Any) -> None:
        """Stop waiting: from here on the attempt is over, and nothing is reported of it."""


class Reports(Protocol):
    """What a transport tells of its attempts."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool:
        """A streamed answer begins; false: another one is the client's, and this attempt is over.

        With a flow its pieces come by answer_more, only for an attempt that streams. The deadline holds for
        its beginning then; the transport sees to it that it ends.
        """

    def answer_more(self, attempt: Attempt, data: bytes) -> None:
        """A piece of an answer that has begun."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        """The one outcome of an attempt that has not been given up, marked as over before."""


class Counter(Protocol):
    """The shared counter."""

    def call(self, name: int, amount: float, ttl_ms: float) -> None:
        """Add to a number; exactly one answer comes later, never within this call, in order for each name."""


class Peers(Protocol):
    """The way to other gateways: what is told may come late, twice or not at all."""

    def tell(self, gateway: int | None, body: bytes) -> None:
        """Send bytes to one gateway, by its number, or to all others (None)."""


class Ledger(Protocol):
    """Where use is written down before an answer counts as given."""

    def admits(self) -> float:
        """0, or how long a client is to stay away because its use could not be written down.

        In milliseconds.
        """

    def record(self, customer: int, plan: str, cls: str, units: float, told: Callable[[bool], bool]) -> None:
        """Use of a good answer. told is called once, in here or later: whether the answer may leave.

        It gives whether the answer has left. plan, cls: by name.
        """


class PlanBook(Protocol):
    """Which plan a customer has, whatever its requests say."""

    def plan_of(self, customer: int, now: float) -> str | None:
        """By name, at a time in milliseconds of the engine's clock; None: the request's own word counts."""


class Allowance(Protocol):
    """Units that were reserved for customers."""

    def take(self, customer: int, cls: str, units: float) -> str | None:
        """Units for a request, and off which reservation; None: none has them here. cls: by name."""

    def settle(self, reservation: str, more: float) -> None:
        """A request of it has taken so many units more than its guess; below nought: less."""

    def served(self, units: float) -> None:
        """A good answer, of whatever customer, has taken so many units."""

    def heard(self, gateway: int, body: bytes) -> bool:
        """Another gateway's word; false if it is about something else."""


class FleetListener(Protocol):
    """Who is told of the list of backends."""

    def __call__(self, update: FleetUpdate, endpoints: Mapping[BackendId, Any]) -> None:
        """The list has changed; endpoints: where each entry's backend is, as its transport writes it."""
