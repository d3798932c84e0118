"""Checks the five safety rules from outside one gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from troutdock.admission.interface import (
    Action,
    AttemptEnded,
    BackendState,
    Cancel,
    Effect,
    Event,
    Fail,
    FleetUpdate,
    Group,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestWithdrawn,
    Send,
    Settings,
)


class RuleBroken(AssertionError):
    """An action broke a rule; the message names the rule and the request."""


@dataclass
class ObservedRequest:
    """A request as observed from outside the gateway."""

    event: RequestArrived
    cls: RequestClass
    give_up: float
    sends: list[tuple[float, int, Outcome | None]] = field(default_factory=list)
    closed: bool = False


class Checker:
    """Feeds one gateway and raises as soon as an action breaks a rule."""

    def __init__(self, handle: Callable[[float, Event], list[Action]], settings: Settings) -> None:
        self.handle, self.settings = handle, settings
        self.requests: dict[int, ObservedRequest] = {}
        self.unavailable: dict[int, float] = {}  # by backend: draining or removed since
        self.known: dict[int, tuple[int, int]] = {}
        self.ceilings: dict[int, tuple[float, float]] = {}

    def need(self, good: bool, what: str) -> None:
        if not good:
            raise RuleBroken(what)

    def feed(self, now: float, event: Event) -> list[Action]:
        self.observe(now, event)
        actions = self.handle(now, event)
        for action in actions:
            self.judge(now, action)
        return actions

    def observe(self, now: float, event: Event) -> None:
        match event:
            case RequestArrived():
                self.requests[event.request] = ObservedRequest(
                    event, self.settings.classes[event.cls], now + event.time_left_ms
                )
            case RequestWithdrawn():
                self.requests[event.request].closed = True
            case AttemptEnded() if event.request in self.requests:
                t = self.requests[event.request]
                sent, backend, _ = t.sends[event.attempt]
                t.sends[event.attempt] = (sent, backend, event.outcome)
                t.closed |= event.over
            case FleetUpdate() if event.kind is not ListKind.FAILED:
                ready = {e.backend for e in event.entries if e.state is BackendState.READY}
                for e in event.entries:
                    self.known[e.backend] = (e.zone, e.cell)
                    if e.state is not BackendState.READY:
                        self.unavailable.setdefault(e.backend, now)
                if event.kind is not ListKind.CHANGES:
                    for b in self.known.keys() - ready:
                        self.unavailable.setdefault(b, now)
                for b in ready:
                    self.unavailable.pop(b, None)

    def group(self, backend: int, cls: RequestClass) -> int:
        zone, cell = self.known[backend]
        return {Group.ALL: 0, Group.ZONE: zone, Group.CELL: cell}[cls.group]

    def judge(self, now: float, action: Action) -> None:
        if not isinstance(action, Send | Refuse | Fail | Cancel):
            return
        t = self.requests[action.request]
        risky = [(sent, b) for sent, b, o in t.sends if o is None or not o.never_ran]
        if isinstance(action, Cancel):
            return
        self.need(not t.closed, f"request {action.request}: {action} after its end")
        if isinstance(action, Send):
            self.judge_send(now, action, t, risky)
            return
        self.need(
            now <= t.give_up + self.settings.answer_grace_ms, f"request {action.request}: answered too late"
        )
        if isinstance(action, Refuse) and risky:
            good = t.cls.effect is Effect.SAFE or (t.cls.effect is Effect.KEYED and t.cls.group is Group.ALL)
            self.need(good, f"request {action.request}: refused though it may have run")
        t.closed = True

    def judge_send(
        self, now: float, action: Send, t: ObservedRequest, risky: list[tuple[float, int]]
    ) -> None:
        out = any(o is None for _, _, o in t.sends)
        self.need(not out or self.settings.second_copies, f"request {action.request}: two attempts at once")
        self.need(len(t.sends) < self.settings.max_attempts, f"request {action.request}: too many attempts")
        self.need(action.backend in self.known, f"request {action.request}: to an unknown backend")
        since = self.unavailable.get(action.backend)
        self.need(
            since is None or now <= since + self.settings.drain_grace_ms,
            f"request {action.request}: to a draining backend",
        )
        if risky and t.cls.effect is Effect.UNSAFE:
            raise RuleBroken(f"request {action.request}: unsafe, sent again though it may have run")
        if risky and t.cls.effect is Effect.KEYED:
            sent, first = risky[0]
            self.need(now < sent + t.cls.window_ms, f"request {action.request}: keyed, past its window")
            self.need(
                self.group(action.backend, t.cls) == self.group(first, t.cls),
                f"request {action.request}: keyed, outside its group",
            )
        if not t.sends:
            self.draw_ceiling(now, t.event)
        t.sends.append((now, action.backend, None))

    def draw_ceiling(self, now: float, event: RequestArrived) -> None:
        """Charges this gateway's share of the customer's ceiling, which persists over a restart of the gateway."""
        plan = self.settings.plans[event.plan]
        if not plan.ceiling_rate:
            return
        at, level = self.ceilings.get(event.customer, (now, plan.ceiling_burst / event.width))
        fill = (now - at) / 1000 * plan.ceiling_rate / event.width
        level = min(plan.ceiling_burst / event.width, level + fill) - event.units
        self.need(level >= -1e-6, f"customer {event.customer}: ceiling exceeded by {-level}")
        self.ceilings[event.customer] = now, level

    def finish(self) -> None:
        """Checks that every request was answered."""
        for number, t in self.requests.items():
            self.need(t.closed, f"request {number}: never answered")
