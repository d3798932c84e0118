"""Simulates a discovery service with limited throughput and the fleet of clients that shares it.

The model follows the protocol and the operators' documentation: continuing a watch costs nothing, starting
one costs a call and its lines. A call that would wait longer than a time-out is rejected, and so are the
calls that arrive while the queue is that long. A rejected call costs the service work as well, as a measured
queue showed: see docs/design/fleet-scale.md.
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

WATCH_GRACE_S = 0.2  # a watch continues if the next call follows the last answer within this time


class Client(Protocol):
    """The client under test: decides when to call and is notified of the result of each call."""

    def next_call(self) -> NextCall: ...

    def answered(self, version: int) -> None: ...

    def rejected(self) -> None: ...

    def failed(self) -> None: ...


class FixedIntervalClient:
    """The former client, for comparison: retries every 0.1 s and asks for the full list after a rejection."""

    def __init__(self, gateways: int, random: Random) -> None:
        """Has the parameters of Watch and uses neither."""
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
class ServiceModel:
    """Throughput and cost model of a discovery service; its work is counted in lines."""

    lines_per_s: float = 360.0  # served; one watch call from each of 40 gateways takes 4.4 s
    call_lines: float = 40.0  # cost of each call, also of a rejected one
    list_lines: float = 60.0  # cost of the full list, in addition to its call
    timeout_s: float = 2.0  # a call that would be answered later is rejected
    rejected_gateways: frozenset[int] = frozenset()  # gateways whose calls are always rejected


class Discovery:
    """The service, the version of its list, and counts of the calls it received."""

    def __init__(self, time: Timeline, service: ServiceModel) -> None:
        self.time, self.service = time, service
        self.busy_until = 0.0
        self.version = 0
        self.down = False
        # calls that start a watch or ask for the full list, by second
        self.new_calls: Counter[int] = Counter()
        self.rejected_calls: Counter[int] = Counter()  # those of them that were rejected, by second

    def start_call(self, gateway: int, ask: NextCall) -> tuple[float, bool] | None:
        """Starts a call that does not continue a watch.

        Returns the seconds until the answer and whether it is a rejection; None if the service is down.
        """
        if self.down:
            return None
        now, service = self.time.now, self.service
        second = int(now)
        self.new_calls[second] += 1
        lines = service.call_lines + (service.list_lines if ask.version is None else 0.0)
        wait = max(0.0, self.busy_until - now)
        refused = (
            gateway in service.rejected_gateways or wait + lines / service.lines_per_s > service.timeout_s
        )
        if refused:
            self.rejected_calls[second] += 1
            lines = min(service.call_lines, service.lines_per_s * max(0.0, service.timeout_s - wait))
        self.busy_until = max(now, self.busy_until) + lines / service.lines_per_s
        return (0.001, True) if refused else (self.busy_until - now, False)


class Member:
    """The calls of one gateway process during its lifetime."""

    def __init__(self, fleet: Fleet, number: int, client: Client) -> None:
        self._fleet, self._time, self.number, self.client = fleet, fleet.time, number, client
        self.dead = False
        self.known_version: int | None = None  # version of the last list received from discovery
        self._watched_at = -inf  # time of the last answer of the current watch
        self._next()

    def _next(self) -> None:
        self._time.after(self.client.next_call().delay_s, self._call)

    def _call(self) -> None:
        if self.dead:
            return
        ask, discovery = self.client.next_call(), self._fleet.discovery
        if not discovery.down and self._time.now - self._watched_at <= WATCH_GRACE_S:
            self._time.after(ask.hold_ms / 1000 or 0.001, self._answered)
            return
        result = discovery.start_call(self.number, ask)
        if result is None or result[0] > ask.timeout_s:
            self._time.after(ask.timeout_s, self._failed)
        else:
            self._time.after(result[0], self._refused if result[1] else self._answered)

    def _answered(self) -> None:
        if self._fleet.discovery.down:  # the agent does not answer: the call times out
            self._time.after(self.client.next_call().timeout_s, self._failed)
        elif not self.dead:
            self._watched_at, self.known_version = self._time.now, self._fleet.discovery.version
            self.client.answered(self.known_version)
            self._next()

    def _refused(self) -> None:
        self._end_watch(self.client.rejected)

    def _failed(self) -> None:
        self._end_watch(self.client.failed)

    def _end_watch(self, notify_client: Callable[[], None]) -> None:
        if not self.dead:
            self._watched_at = -inf
            notify_client()
            self._next()


class Fleet:
    """Gateways that start, are killed and restart, with one shared discovery service."""

    def __init__(
        self,
        gateways: int,
        service: ServiceModel,
        seed: int,
        make: Callable[[int, Random], Client] | None = None,
    ) -> None:
        self.time = Timeline()
        self.discovery = Discovery(self.time, service)
        self._random = Random(seed)
        self._make = make or (lambda gateways, random: WatchSchedule(gateways, 0, random))
        self.members = [self._member(n, gateways) for n in range(gateways)]

    def _member(self, number: int, gateways: int) -> Member:
        return Member(self, number, self._make(gateways, Random(self._random.random())))

    def restart(self, numbers: range) -> None:
        """Kills these gateways and restarts all of them at once with an outdated list."""
        for number in numbers:
            self.members[number].dead = True
            self.members[number] = self._member(number, len(self.members))

    def publish(self) -> None:
        """Publishes a new version of the list."""
        self.discovery.version += 1

    def current_count(self) -> int:
        """Returns the number of gateways that have the current list."""
        return sum(member.known_version == self.discovery.version for member in self.members)

    def convergence_time(self, max_s: float, allowed_stale: int = 0) -> float:
        """Returns the seconds until all gateways but allowed_stale have the current list; inf after max_s."""
        started = self.time.now
        while self.time.now < started + max_s:
            self.time.run(self.time.now + 0.1)
            if self.current_count() >= len(self.members) - allowed_stale:
                return self.time.now - started
        return inf
