"""Whether this process accepts clients, and how an operator changes that.

Theory of operation. The states and transitions of a process:

    state           clients           event            next state
    STARTING        not yet accepted  opened           IN_SERVICE
    IN_SERVICE      accepted          take_out         OUT_OF_SERVICE
    OUT_OF_SERVICE  drained           put_back         IN_SERVICE
    any             drained           end (SIGTERM)    ENDING (final)

A request for the current state succeeds and changes nothing, so an operator's script may repeat a command.
Requests that arrive while clients are drained are still served; the response asks the client to close its
connection.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """Life-cycle state of the process."""

    STARTING = "starting"
    IN_SERVICE = "in service"
    OUT_OF_SERVICE = "out of service"
    ENDING = "ending"


class Availability:
    """The state, and the time since when it holds (seconds of the caller's clock)."""

    def __init__(self) -> None:
        self.state, self.since_s = State.STARTING, 0.0

    @property
    def drains_clients(self) -> bool:
        """Whether the next response to each client closes its connection."""
        return self.state in (State.OUT_OF_SERVICE, State.ENDING)

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are accepted."""
        return self.state is State.IN_SERVICE

    def opened(self, now_s: float) -> None:
        """Records that the client listener is open."""
        if self.state is State.STARTING:
            self._transition(State.IN_SERVICE, now_s)

    def take_out(self, now_s: float) -> bool:
        """Starts to drain clients; returns False if the client listener is not open yet."""
        if self.state is State.IN_SERVICE:
            self._transition(State.OUT_OF_SERVICE, now_s)
        return self.state is not State.STARTING

    def put_back(self, now_s: float) -> bool:
        """Accepts clients again; returns False if the process is starting or ending."""
        if self.state is State.OUT_OF_SERVICE:
            self._transition(State.IN_SERVICE, now_s)
        return self.state is State.IN_SERVICE

    def end(self, now_s: float) -> None:
        """Drains clients for good; the process ends once all accepted requests are answered."""
        self._transition(State.ENDING, now_s)

    def _transition(self, state: State, now_s: float) -> None:
        self.state, self.since_s = state, now_s
