"""When a client of discovery calls, for what, and how long it waits (no I/O, no clock).

Theory of operation. Discovery is one service for a whole fleet, and serves so many calls a second. To go on
with a watch costs it nothing, to begin one is a call, and a call that it turns away costs it as well. What
one client does at once, many do together: so each keeps its own calls to a part of what the fleet may make.

    behind     no answer yet since the start or another address: the first call is made at once, as what
               discovery had to tell by then counts as told to who could have asked
    current    the last call was answered: the next one follows at once, as a watch goes on for 200 ms only
    lost       the call failed, or what came made no sense: once more within those 200 ms, then in longer and
               longer pauses; discovery may be down, and calls to one that is down cost it nothing
    refused    discovery turned the call away: pauses of a slot for each gateway, longer with each refusal

Bound: a gateway that is refused calls once in FIRST_S to LONGEST_S, or in its slots where the fleet is small;
so all together call no more than 1 / SLOT_S times a second up to FIRST_S / SLOT_S gateways, and beyond that
number no more than one in FIRST_S each. Longer pauses would leave drains unheard, see LONGEST_S.

The version is kept as long as it is worth something: with it the answer holds what has changed, without it
the whole list, which is the dearest call of all. It is given up where an answer does not fit to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

POLL_HOLD_MS = 1000  # how long a call of the watch waits for news: only its end shows a silent connection
# Beyond the wait: discovery answers what it takes on within 2 s, and what is left costs it too. What a call
# that waits was to bring counts as told 2 s after that wait, and binds 0.5 s later: by then the next call has
# to be through, so no more than 2.2. With 2.5 a gateway was blind for some 50 ms too long.
RESPONSE_TIMEOUT_S = 2.2
EFFECTIVE_S = 2.5  # beyond the wait of a call that is never answered: what it was to bring
RETRY_DELAY_S = 0.1  # after a failure of a current watch; with the time to connect it stays within the 200 ms
MAX_RETRY_DELAY_S = (
    2.0  # the longest pause where discovery is silent: it costs nothing, and its return is to be seen
)
CALL_SLOT_S, MAX_CALL_SLOT_S = (
    0.05,
    0.25,
)  # of the fleet's calls after a refusal: the first pause, the longest
MAX_FIRST_BACKOFF_S = 2.0  # the most that the first pause may be: a discovery that refuses has work for 2 s
MAX_BACKOFF_S = (
    4.0  # and the longest: with the 2 s for an answer, what is told 6 s late at most is heard in time
)
BACKOFF_GROWTH = (
    3.0  # decorrelated jitter: the next pause is drawn from the shortest to so many times the one before
)


class WatchState(Enum):
    """What the client knows of discovery."""

    STARTING = "behind"
    CURRENT = "current"
    UNREACHABLE = "lost"
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class NextCall:
    """The next call: after a pause, for what is newer than a version (None: the whole list)."""

    delay_s: float
    version: int | None
    hold_ms: int  # 0: without a version nothing is waited for
    timeout_s: float  # from the call to its answer


class WatchSchedule:
    """One client's course; tell it what became of each call, then ask it for the next."""

    def __init__(self, gateways: int, version: int | None, random: Random) -> None:
        """gateways: that call the same discovery, this one among them. version: of the list that is known."""
        self._random = random
        self.version, self.state, self._pause_s = version, WatchState.STARTING, 0.0
        self.set_gateways(gateways)

    def set_gateways(self, gateways: int) -> None:
        """Other settings: so many gateways share discovery."""
        self._first_s = min(MAX_FIRST_BACKOFF_S, gateways * CALL_SLOT_S)
        self._longest_s = min(MAX_BACKOFF_S, gateways * MAX_CALL_SLOT_S)

    def source_changed(self) -> None:
        """Another discovery: versions of the one before mean nothing there."""
        self.version, self.state, self._pause_s = None, WatchState.STARTING, 0.0

    def next_call(self) -> NextCall:
        """The next call."""
        hold_ms = 0 if self.version is None else POLL_HOLD_MS
        return NextCall(self._pause_s, self.version, hold_ms, hold_ms / 1000 + RESPONSE_TIMEOUT_S)

    def answered(self, version: int) -> None:
        """A list came, and this is its version."""
        self.state, self.version, self._pause_s = WatchState.CURRENT, version, 0.0

    def closed(self) -> None:
        """The connection ended with the answer: a new one is made within the watch's 200 ms."""
        self._pause_s = RETRY_DELAY_S

    def rejected(self) -> None:
        """Discovery turned the call away: all who call are too many."""
        if self.state is not WatchState.REJECTED:
            self.state, self._pause_s = WatchState.REJECTED, self._first_s
        self._pause_s = self._random.uniform(
            self._first_s, min(self._longest_s, BACKOFF_GROWTH * self._pause_s)
        )

    def failed(self) -> None:
        """No answer, or the connection broke."""
        if self.state is not WatchState.UNREACHABLE:
            self.state, self._pause_s = WatchState.UNREACHABLE, RETRY_DELAY_S
        else:
            self._pause_s = self._random.uniform(
                RETRY_DELAY_S, min(MAX_RETRY_DELAY_S, BACKOFF_GROWTH * self._pause_s)
            )

    def inconsistent(self) -> None:
        """What came does not fit to what is known, or was not taken in: the whole list holds what it said."""
        self.version = None
        self.failed()
