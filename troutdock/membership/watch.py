"""Schedule of a discovery client: when to call, from which version, and the timeout (no I/O, no clock).

Theory of operation. Discovery is one service for a whole fleet with a limited rate of calls. Continuing a
watch is free, starting one costs a call, and a rejected call costs as much. Many clients may act at the same
moment, so each limits its own calls to its share of the fleet's rate.

    STARTING      no response since the start or a change of address: the first call is made at once, as
                  discovery counts its changes up to then as delivered to every client that could have called
    CURRENT       the last call was answered: the next one follows at once, as a watch lasts 200 ms only
    UNREACHABLE   the call failed or the response was invalid: one retry within those 200 ms, then backoff;
                  calls to a discovery that is down cost it nothing
    REJECTED      discovery rejected the call: backoff of a slot for each gateway, longer with each rejection

Bound: a rejected gateway calls once in MAX_FIRST_BACKOFF_S to MAX_BACKOFF_S, or once in its slots in a small
fleet. So all gateways together call at most 1 / CALL_SLOT_S times a second up to
MAX_FIRST_BACKOFF_S / CALL_SLOT_S gateways, and beyond that number at most once in MAX_FIRST_BACKOFF_S each.
Longer backoff would miss drains, see MAX_BACKOFF_S.

The version is kept while it is valid: with it the response holds only changes, without it the complete list,
which is the most expensive call. It is discarded if a response is inconsistent with it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

POLL_HOLD_MS = 1000  # long poll; only its end reveals a dead connection
# Beyond the hold time: discovery answers accepted calls within 2 s, and an abandoned call costs it too.
# Changes that a held call should have returned count as delivered 2 s after the hold time and take effect
# 0.5 s later. The next call must be complete by then, hence at most 2.2; with 2.5 a gateway was about 50 ms
# too late.
RESPONSE_TIMEOUT_S = 2.2
EFFECTIVE_S = 2.5  # beyond the hold time of an unanswered call: its changes take effect
RETRY_DELAY_S = 0.1  # first retry; with the time to connect it stays within the 200 ms
MAX_RETRY_DELAY_S = 2.0  # unreachable: calls cost nothing, and recovery must be noticed
# Per gateway, after a rejection: first and longest backoff.
CALL_SLOT_S, MAX_CALL_SLOT_S = 0.05, 0.25
MAX_FIRST_BACKOFF_S = 2.0  # a discovery that rejects calls has work for 2 s
MAX_BACKOFF_S = 4.0  # with the 2 s for a response, changes are received within the allowed 6 s
BACKOFF_GROWTH = 3.0  # decorrelated jitter: drawn between the minimum and 3 times the previous delay


class WatchState(Enum):
    """State of the client with respect to discovery."""

    STARTING = "behind"
    CURRENT = "current"
    UNREACHABLE = "lost"
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class NextCall:
    """The next call: delay, the version after which changes are requested (None: complete list), timeout."""

    delay_s: float
    version: int | None
    hold_ms: int  # 0 without a version: no long poll
    timeout_s: float  # from the request to its response


class WatchSchedule:
    """Schedule of one client: receives the result of each call and returns the next call."""

    def __init__(self, gateways: int, version: int | None, random: Random) -> None:
        """gateways: number that use the same discovery, including this one. version: of the known list."""
        self._random = random
        self.version, self.state, self._pause_s = version, WatchState.STARTING, 0.0
        self.set_gateways(gateways)

    def set_gateways(self, gateways: int) -> None:
        """Sets the number of gateways that share discovery."""
        self._first_s = min(MAX_FIRST_BACKOFF_S, gateways * CALL_SLOT_S)
        self._longest_s = min(MAX_BACKOFF_S, gateways * MAX_CALL_SLOT_S)

    def source_changed(self) -> None:
        """Handles a change to another discovery, where the known version is meaningless."""
        self.version, self.state, self._pause_s = None, WatchState.STARTING, 0.0

    def next_call(self) -> NextCall:
        """Returns the next call."""
        hold_ms = 0 if self.version is None else POLL_HOLD_MS
        return NextCall(self._pause_s, self.version, hold_ms, hold_ms / 1000 + RESPONSE_TIMEOUT_S)

    def answered(self, version: int) -> None:
        """Handles a response with a list of this version."""
        self.state, self.version, self._pause_s = WatchState.CURRENT, version, 0.0

    def closed(self) -> None:
        """Handles a connection closed after a response: reconnect within the 200 ms of the watch."""
        self._pause_s = RETRY_DELAY_S

    def rejected(self) -> None:
        """Handles a rejected call: discovery is overloaded."""
        if self.state is not WatchState.REJECTED:
            self.state, self._pause_s = WatchState.REJECTED, self._first_s
        self._pause_s = self._random.uniform(
            self._first_s, min(self._longest_s, BACKOFF_GROWTH * self._pause_s)
        )

    def failed(self) -> None:
        """Handles a timeout or a broken connection."""
        if self.state is not WatchState.UNREACHABLE:
            self.state, self._pause_s = WatchState.UNREACHABLE, RETRY_DELAY_S
        else:
            self._pause_s = self._random.uniform(
                RETRY_DELAY_S, min(MAX_RETRY_DELAY_S, BACKOFF_GROWTH * self._pause_s)
            )

    def inconsistent(self) -> None:
        """Handles a response that is inconsistent or was not applied: requests the complete list next."""
        self.version = None
        self.failed()
