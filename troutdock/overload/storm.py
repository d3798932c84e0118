"""Storms: recognised from what passes anyway, and told to the operator in one line.

Theory of operation. Once a second the watch compares the sums that the ingress keeps with those of a second
before. A second is stormy if one of the signs below stands out, each of which clients that come back too
often, or all at once, bring about. The first stormy second begins a storm; CALM_S seconds without a sign end
it.

    sign                  a storm where
    turned away unread    over TURNED_PART of the requests had waited too long for this process
    refused               over REFUSED_PART of the requests were refused, for whatever reason
    marked retries        over RETRIES_PART of the requests were a client's retry
    mass return           this ingress is FRESH_S old at most, and has over RETURN_PART of its places taken
                          anew within the second

    calm   a stormy second        -> storm: "storm begins", with each sign and its figure
    storm  every TOLD_S seconds   -> "storm for", what is refused, and when it should end
    storm  CALM_S calm seconds    -> calm: "storm over", with the sums

When it should end is where the refused part of the last seconds leads, if it goes on falling as it does;
while it does not fall nothing is promised. The watch only tells: what damps a storm (the bound on waits, the
pace of accepts, connections that end with an answer) acts on each message and connection by itself, storm or
not.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

LOOK_MS = 1000.0  # between two looks: some hundred requests on a busy ingress, so that parts mean something
LEAST = 50  # requests in a second: fewer are no storm, whatever their parts
TURNED_PART, REFUSED_PART, RETRIES_PART = 0.05, 0.5, 0.4
RETURN_PART = 0.5  # of the places for clients
FRESH_S = 10.0
CALM_S = 3  # looks
TOLD_S = 5  # looks between two lines


@dataclass(slots=True)
class Sums:
    """What has been since the start of the ingress."""

    taken: int = 0
    refused: int = 0
    turned_away: int = 0
    retries: int = 0
    connections: int = 0

    def since(self, before: Sums) -> Sums:
        """What has come since then."""
        return Sums(
            self.taken - before.taken,
            self.refused - before.refused,
            self.turned_away - before.turned_away,
            self.retries - before.retries,
            self.connections - before.connections,
        )


class StormWatch:
    """Tells of storms; places: how many connections of clients there may be."""

    def __init__(self, now_ms: float, places: int, tell: Callable[[str], object]) -> None:
        self._started, self._looked, self._places, self._tell = now_ms, now_ms, places, tell
        self._last, self._first = Sums(), Sums()  # at the last look, and when the storm began
        self._since: float | None = None  # when the storm began
        self._calm = self._quiet = 0  # looks without a sign, and without a line
        self._part = self._fall = 0.0  # refused of late, and what goes off it in a second

    @property
    def on(self) -> bool:
        """There is a storm."""
        return self._since is not None

    def look(self, now_ms: float, sums: Sums, lag_ms: float) -> None:
        """Once in LOOK_MS, or more often; lag_ms: how late the process is."""
        gone_s = (now_ms - self._looked) / 1000
        if gone_s * 1000 < LOOK_MS:
            return
        before, self._last, self._looked = self._last, sums, now_ms
        lately = sums.since(before)
        signs = self._signs(lately, gone_s, now_ms)
        part = lately.refused / lately.taken if lately.taken else 0.0
        self._fall = (self._part - part) / gone_s * 0.5 + self._fall * 0.5
        self._part = part
        if self._since is None:
            if signs:
                self._since, self._first = now_ms - gone_s * 1000, before
                self._calm = self._quiet = 0
                self._fall = 0.0
                self._tell(f"storm begins: {', '.join(signs)}; {lag_ms:.0f} ms late")
            return
        self._calm = 0 if signs else self._calm + 1
        self._quiet += 1
        lasted_s = (now_ms - self._since) / 1000
        if self._calm >= CALM_S:
            total = sums.since(self._first)
            self._since = None
            self._tell(
                f"storm over after {lasted_s:.0f} s: {total.taken} requests, {total.refused} refused, "
                f"{total.turned_away} of them unread"
            )
        elif self._quiet >= TOLD_S:
            self._quiet = 0
            all_taken = max(1, lately.taken)
            self._tell(
                f"storm for {lasted_s:.0f} s: {lately.taken / gone_s:.0f} requests a second, "
                f"{part:.0%} refused, {lately.turned_away / all_taken:.0%} unread, "
                f"{lately.retries / all_taken:.0%} retries, {lag_ms:.0f} ms late; {self._end()}"
            )

    def _signs(self, lately: Sums, gone_s: float, now_ms: float) -> list[str]:
        signs = []
        if lately.taken >= LEAST * gone_s:
            for count, most, what in (
                (lately.turned_away, TURNED_PART, "turned away unread"),
                (lately.refused, REFUSED_PART, "refused"),
                (lately.retries, RETRIES_PART, "retries"),
            ):
                if count > most * lately.taken:
                    signs.append(f"{count / lately.taken:.0%} {what}")
        fresh = now_ms - self._started < FRESH_S * 1000
        if fresh and lately.connections > RETURN_PART * self._places * gone_s:
            signs.append(f"{lately.connections / gone_s:.0f} new connections a second after the start")
        return signs

    def _end(self) -> str:
        """When the refused part comes to nothing as it falls now; the calm seconds that end it included."""
        if self._part == 0:
            return f"should end in {CALM_S - self._calm} s"
        if self._fall < 0.005:
            return "not falling yet"
        return f"should end in {min(999.0, self._part / self._fall) + CALM_S:.0f} s"
