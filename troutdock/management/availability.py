"""Whether this process wants clients, and what an operator may change about that.

Theory of operation. A process goes through these:

    state           clients are       event            next
    STARTING        not taken yet     opened           IN_SERVICE
    IN_SERVICE      taken             take out         OUT_OF_SERVICE
    OUT_OF_SERVICE  sent away         put back         IN_SERVICE
    any             sent away         end (SIGTERM)    ENDING, for good

To ask for the state that holds already is a yes that changes nothing: an operator's script may repeat itself.
Whatever is sent while clients are sent away is served all the same; they are told to leave with the answer.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """What this process is at."""

    STARTING = "starting"
    IN_SERVICE = "in service"
    OUT_OF_SERVICE = "out of service"
    ENDING = "ending"


class Availability:
    """The state, and since when it holds (seconds of the clock that the caller uses)."""

    def __init__(self) -> None:
        self.state, self.since_s = State.STARTING, 0.0

    @property
    def sends_away(self) -> bool:
        """Clients are to leave with their next answer."""
        return self.state in (State.OUT_OF_SERVICE, State.ENDING)

    @property
    def takes_clients(self) -> bool:
        """New clients are welcome."""
        return self.state is State.IN_SERVICE

    def opened(self, now_s: float) -> None:
        """The clients' door is open."""
        if self.state is State.STARTING:
            self._turn(State.IN_SERVICE, now_s)

    def take_out(self, now_s: float) -> bool:
        """Send clients away; false where that can't be promised: not open yet."""
        if self.state is State.IN_SERVICE:
            self._turn(State.OUT_OF_SERVICE, now_s)
        return self.state is not State.STARTING

    def put_back(self, now_s: float) -> bool:
        """Take clients again; false where the process is about to end, or has not begun."""
        if self.state is State.OUT_OF_SERVICE:
            self._turn(State.IN_SERVICE, now_s)
        return self.state is State.IN_SERVICE

    def end(self, now_s: float) -> None:
        """The process ends once it has answered what it took."""
        self._turn(State.ENDING, now_s)

    def _turn(self, state: State, now_s: float) -> None:
        self.state, self.since_s = state, now_s
