"""A discovery that serves so many calls a second, and the fleet of clients that share it.

What it does is what the protocol and the operators' pages say of theirs: to go on with a watch costs nothing,
to begin one costs a call and its lines, a call that would wait longer than a time-out is turned away, and so
is one that comes while it is. A call that is turned away costs it as well, as a counted queue showed: see
docs/design/fleet-scale.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Protocol

from lab.timeline import Timeline
from troutdock.membership.watch import NextCall, WatchSchedule

GRACE_S = 0.2  # a watch goes on as long as the next call comes so soon after the last answer


class Client(Protocol):
    """What is tried: when to call, told what became of each call."""

    def next_call(self) -> NextCall: ...

    def answered(self, version: int) -> None: ...

    def rejected(self) -> None: ...

    def failed(self) -> None: ...


class Impatient:
    """The client as it once was, to compare with: each 0.1 s, for the whole list once it was told no."""

    def __init__(self, gateways: int, random: Random) -> None:
        """As Watch; neither matters to it."""
        self._version: int | None = 0
        self._pause_s = 0.0

    def next_call(self) -> NextCall:
        hold_ms = 0 if self._version is None else 1000
        return NextCall(self._pause_s, self._version, hold_ms, hold_ms / 1000 + 0.5)

    def answered(self, version: int) -> None:
        self._version, self._pause_s = version, 0.0

    def rejected(self) -> None:
        self._version, self._pause_s = None, 0.1

    def failed(self) -> None:
        self._pause_s = 0.1


@dataclass
class Service:
    """Figures of a discovery: lines are the unit of its work."""

    lines_per_s: float = 360.0  # served; a call of the watch from each of 40 gateways takes it 4.4 s
    call_lines: float = 40.0  # of each call, also of one that is turned away
    list_lines: float = 60.0  # of the whole list, beside those of its call
    timeout_s: float = 2.0  # a call that would be answered later is turned away
    refuses: frozenset[int] = frozenset()  # gateways that it always turns away


class Discovery:
    """The service, its versions, and what it was asked."""

    def __init__(self, time: Timeline, service: Service) -> None:
        self.time, self.service = time, service
        self.busy_until = 0.0
        self.version = 0
        self.down = False
        self.begun: Counter[int] = Counter()  # calls that begin a watch or ask for the whole list, by second
        self.turned_away: Counter[int] = Counter()  # those of them that got no, by second

    def begin(self, gateway: int, ask: NextCall) -> tuple[float, bool] | None:
        """A call that is no watch's next: when its answer comes, and whether it is a no. None: silence."""
        if self.down:
            return None
        now, service = self.time.now, self.service
        second = int(now)
        self.begun[second] += 1
        lines = service.call_lines + (service.list_lines if ask.version is None else 0.0)
        wait = max(0.0, self.busy_until - now)
        refused = gateway in service.refuses or wait + lines / service.lines_per_s > service.timeout_s
        if refused:
            self.turned_away[second] += 1
            lines = min(service.call_lines, service.lines_per_s * max(0.0, service.timeout_s - wait))
        self.busy_until = max(now, self.busy_until) + lines / service.lines_per_s
        return (0.001, True) if refused else (self.busy_until - now, False)


class Member:
    """One gateway's calls, from its start to its end."""

    def __init__(self, fleet: Fleet, number: int, client: Client) -> None:
        self._fleet, self._time, self.number, self.client = fleet, fleet.time, number, client
        self.dead = False
        self.known: int | None = None  # the version of the last list that discovery told it
        self._watched_at = -inf  # the last answer of a watch that goes on
        self._next()

    def _next(self) -> None:
        self._time.after(self.client.next_call().delay_s, self._call)

    def _call(self) -> None:
        if self.dead:
            return
        ask, discovery = self.client.next_call(), self._fleet.discovery
        if not discovery.down and self._time.now - self._watched_at <= GRACE_S:
            self._time.after(ask.hold_ms / 1000 or 0.001, self._answered)
            return
        came = discovery.begin(self.number, ask)
        if came is None or came[0] > ask.timeout_s:
            self._time.after(ask.timeout_s, self._failed)
        else:
            self._time.after(came[0], self._refused if came[1] else self._answered)

    def _answered(self) -> None:
        if self._fleet.discovery.down:  # the agent is silent: the call's patience ends
            self._time.after(self.client.next_call().timeout_s, self._failed)
        elif not self.dead:
            self._watched_at, self.known = self._time.now, self._fleet.discovery.version
            self.client.answered(self.known)
            self._next()

    def _refused(self) -> None:
        self._broken(self.client.rejected)

    def _failed(self) -> None:
        self._broken(self.client.failed)

    def _broken(self, tell: Callable[[], None]) -> None:
        if not self.dead:
            self._watched_at = -inf
            tell()
            self._next()


class Fleet:
    """Gateways that start, are killed and come back, before one discovery."""

    def __init__(
        self, gateways: int, service: Service, seed: int, make: Callable[[int, Random], Client] | None = None
    ) -> None:
        self.time = Timeline()
        self.discovery = Discovery(self.time, service)
        self._random = Random(seed)
        self._make = make or (lambda gateways, random: WatchSchedule(gateways, 0, random))
        self.members = [self._member(n, gateways) for n in range(gateways)]

    def _member(self, number: int, gateways: int) -> Member:
        return Member(self, number, self._make(gateways, Random(self._random.random())))

    def restart(self, numbers: range) -> None:
        """These are killed, and all of them come back at once with an old list."""
        for number in numbers:
            self.members[number].dead = True
            self.members[number] = self._member(number, len(self.members))

    def publish(self) -> None:
        """Something has changed."""
        self.discovery.version += 1

    def current(self) -> int:
        """How many know the list as it is."""
        return sum(member.known == self.discovery.version for member in self.members)

    def until_current(self, most_s: float, but: int = 0) -> float:
        """The seconds until all but so many know the list as it is; inf if that takes longer than most_s."""
        begun = self.time.now
        while self.time.now < begun + most_s:
            self.time.run(self.time.now + 0.1)
            if self.current() >= len(self.members) - but:
                return self.time.now - begun
        return inf
