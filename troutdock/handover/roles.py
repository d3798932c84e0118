"""Ownership during an upgrade: the state machines of the predecessor and of its successor (no I/O).

Theory of operation. The predecessor owns all budgets and connections until it is told to end.

    Predecessor      event                      next             effects
    STANDALONE       hello                      SUCCESSOR_READY  Welcome (Rejection without a common version);
                                                                 then end() at once if it was called before
    SUCCESSOR_READY  hello on another link      SUCCESSOR_READY  Rejection (superseded) to the first, Welcome
    SUCCESSOR_READY  wish                       SUCCESSOR_READY  OutOfServiceRequested
    SUCCESSOR_READY  link closed                STANDALONE       -
    SUCCESSOR_READY  end()                      SENDING_STATE    BeginHandover; the host calls send_state()
    SENDING_STATE    took                       SUCCESSOR_OWNS   OwnershipTransferred
    SENDING_STATE    timed_out()                SENDING_STATE    Abort: data received so far is still read
    SENDING_STATE    link closed                STANDALONE       SuccessorLost, state unused
    SUCCESSOR_OWNS   ack                        SUCCESSOR_OWNS   sends more of the waiting connections
    SUCCESSOR_OWNS   finish(), all acknowledged FINISHED         Done
    SUCCESSOR_OWNS   link closed                STANDALONE       SuccessorLost, unacked connections

    Successor        event                      next             effects
    CONNECTING       welcome                    STANDBY          StandingBy
    CONNECTING       sorry, closed, timed_out() STANDALONE       ProceedAlone; the host may retry
    STANDBY          sorry, superseded          SUPERSEDED       Superseded
    STANDBY          link closed                CONNECTING       Reconnect: if nobody listens any more, the
                                                                 predecessor has died
    STANDBY          state, state_end           IMPORTING        ImportState; the host calls state_imported()
    IMPORTING        StateAck sent              OWNER            BecomeOwner
    IMPORTING        StateAck could not be sent CONNECTING       Reconnect
    OWNER            passed, told               OWNER            AdoptConnection, SettleAttempt
    OWNER            done, link closed          STANDALONE       PredecessorEnded

Invariants. The budgets change their owner only by StateAck, and a connection only by its ConnectionAck. Both
are sent by SendOrAbort, immediately or not at all, and the successor acts on them only after they are sent.
A side that abandons a link shuts down its receiving direction first and then reads the remaining data, so a
StateAck or ConnectionAck has either been received or cannot be sent any more. A connection that was sent and
not acknowledged has not been read from; it returns to the predecessor.

Links and connections belong to the host and are opaque here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from troutdock.admission.interface import AttemptSettled
from troutdock.handover.protocol import (
    MAX_MESSAGE_BYTES,
    MAX_STATE_BYTES,
    CHUNK_BYTES,
    MAX_UNACKED_CONNECTIONS,
    ConnectionAck,
    DataChunk,
    Done,
    Hello,
    PredecessorStatus,
    Message,
    PassedConnection,
    ProtocolError,
    Rejection,
    StateChunk,
    StateEnd,
    AttemptReport,
    StateAck,
    Welcome,
    SetOutOfService,
    checksum,
    common_version,
)

Link = Hashable


# ---- effects: actions that the host performs, in order


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on a link, optionally with the descriptor of a connection."""

    link: Link
    message: Message
    connection: Any = None


@dataclass(frozen=True, slots=True)
class SendOrAbort:
    """Send a message immediately and report by Successor.send_result; if that fails, abort the link."""

    link: Link
    message: Message


@dataclass(frozen=True, slots=True)
class Close:
    """Close a link after its pending messages."""

    link: Link


@dataclass(frozen=True, slots=True)
class Abort:
    """Abandon a link: shut down its receiving direction, read the data that has arrived, then close it."""

    link: Link


@dataclass(frozen=True, slots=True)
class OutOfServiceRequested:
    """An operator call at the successor takes the ingress out of service, or puts it back."""

    out_of_service: bool


@dataclass(frozen=True, slots=True)
class BeginHandover:
    """Stop accepting connections and requests, and answer by Predecessor.send_state."""


@dataclass(frozen=True, slots=True)
class OwnershipTransferred:
    """The successor owns all budgets. error: why it could not use the state. left_out: its unknown parts."""

    error: str
    left_out: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReleaseConnection:
    """The other process owns the connection: close the descriptor here."""

    connection: Any


@dataclass(frozen=True, slots=True)
class SuccessorLost:
    """The successor is gone. state_unused: it never owned the state. returned: unacknowledged connections."""

    state_unused: bool
    returned: tuple[TransferredConnection, ...]


@dataclass(frozen=True, slots=True)
class StandingBy:
    """This process stands by as successor. program: version of the predecessor's build."""

    program: str


@dataclass(frozen=True, slots=True)
class ImportState:
    """Import this state, and answer by Successor.state_imported."""

    data: bytes
    holds: PredecessorStatus


@dataclass(frozen=True, slots=True)
class BecomeOwner:
    """This process owns all budgets: accept clients."""


@dataclass(frozen=True, slots=True)
class ProceedAlone:
    """There is no hand-over from the predecessor. why: the reason."""

    why: str


@dataclass(frozen=True, slots=True)
class Reconnect:
    """The link to the predecessor was closed: reconnect; if it has died, this process becomes the owner."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another successor has replaced this process."""


@dataclass(frozen=True, slots=True)
class AdoptConnection:
    """Take over a client connection with its received bytes."""

    item: TransferredConnection


@dataclass(frozen=True, slots=True)
class SettleAttempt:
    """Apply the outcome of an attempt of the predecessor."""

    settled: AttemptSettled


@dataclass(frozen=True, slots=True)
class PredecessorEnded:
    """The predecessor has ended. done: it had sent everything."""

    done: bool


Effect = (
    Send
    | SendOrAbort
    | Close
    | Abort
    | OutOfServiceRequested
    | BeginHandover
    | OwnershipTransferred
    | ReleaseConnection
    | SuccessorLost
    | StandingBy
    | ImportState
    | BecomeOwner
    | ProceedAlone
    | Reconnect
    | Superseded
    | AdoptConnection
    | SettleAttempt
    | PredecessorEnded
)


@dataclass(frozen=True, slots=True)
class TransferredConnection:
    """A client connection to be passed to the successor, with its received bytes."""

    connection: Any
    data: bytes = b""
    began_ms: float = 0.0
    arrived_ms: float = 0.0


class PredecessorPhase(Enum):
    """State of the hand-over in the predecessor."""

    STANDALONE = "alone"
    SUCCESSOR_READY = "a successor stands by"
    SENDING_STATE = "the state is on its way"
    SUCCESSOR_OWNS = "the successor is the owner"
    FINISHED = "all is given"


@dataclass(slots=True)
class Predecessor:
    """State machine of the predecessor. Each method returns the effects to perform."""

    program: str = ""
    phase: PredecessorPhase = PredecessorPhase.STANDALONE
    successor: Link = None
    _waiting: deque[TransferredConnection] = field(default_factory=deque)
    _unacked: deque[TransferredConnection] = field(default_factory=deque)  # sent, not acknowledged
    _acked_count: int = 0  # number of acknowledged connections
    _ending_requested: bool = False  # end() was called
    _all_submitted: bool = False  # finish() was called

    @property
    def has_pending(self) -> bool:
        """True while a connection waits to be sent or acknowledged."""
        return bool(self._waiting or self._unacked)

    def receive(self, link: Link, message: Message | str) -> list[Effect]:
        """Handles a message. ProtocolError if it is invalid in this phase: the host then closes the link."""
        match message:
            case Hello():
                return self._hello(link, message)
            case SetOutOfService(out) if (
                link == self.successor and self.phase is PredecessorPhase.SUCCESSOR_READY
            ):
                return [OutOfServiceRequested(out)]
            case SetOutOfService() | str() if link == self.successor:
                return []  # too late, or sent by a newer build
            case StateAck(error, left_out) if (
                link == self.successor and self.phase is PredecessorPhase.SENDING_STATE
            ):
                self.phase = PredecessorPhase.SUCCESSOR_OWNS
                return [OwnershipTransferred(error, left_out), *self._send_waiting()]
            case ConnectionAck(count) if (
                link == self.successor and self.phase is PredecessorPhase.SUCCESSOR_OWNS
            ):
                most = self._acked_count + len(self._unacked)
                if not self._acked_count <= count <= most:
                    raise ProtocolError(f"{count} connections acknowledged, of {most}")
                closed: list[Effect] = [
                    ReleaseConnection(self._unacked.popleft().connection)
                    for _ in range(count - self._acked_count)
                ]
                self._acked_count = count
                return closed + self._send_waiting()
        raise ProtocolError(f"{message!r:.60} while {self.phase.value}")

    def _hello(self, link: Link, hello: Hello) -> list[Effect]:
        version = common_version(hello)
        if self.phase not in (PredecessorPhase.STANDALONE, PredecessorPhase.SUCCESSOR_READY):
            return [Send(link, Rejection("another one takes over")), Close(link)]
        if version is None:
            reason = f"no common version with {hello.oldest} to {hello.version}"
            return [Send(link, Rejection(reason)), Close(link)]
        before, self.successor, self.phase = self.successor, link, PredecessorPhase.SUCCESSOR_READY
        effects: list[Effect] = []
        if before is not None and before != link:
            effects = [
                Send(before, Rejection("another successor stands by", superseded=True)),
                Close(before),
            ]
        effects.append(Send(link, Welcome(version, self.program)))
        return effects + self.end() if self._ending_requested else effects

    def end(self) -> list[Effect]:
        """Starts the hand-over, now or once there is a successor: this process is to end."""
        self._ending_requested = True
        if self.phase is not PredecessorPhase.SUCCESSOR_READY:
            return []
        self.phase = PredecessorPhase.SENDING_STATE
        return [BeginHandover()]

    def send_state(self, data: bytes, holds: PredecessorStatus) -> list[Effect]:
        """Sends the state, in answer to BeginHandover."""
        pieces = [
            Send(self.successor, StateChunk(data[at : at + CHUNK_BYTES]))
            for at in range(0, len(data), CHUNK_BYTES)
        ]
        return [*pieces, Send(self.successor, StateEnd(len(data), checksum(data), holds))]

    def timed_out(self) -> list[Effect]:
        """Handles that no StateAck arrived in time."""
        return [Abort(self.successor)] if self.phase is PredecessorPhase.SENDING_STATE else []

    def pass_connection(self, item: TransferredConnection) -> list[Effect]:
        """Passes a connection on, in order; only in SUCCESSOR_OWNS."""
        assert self.phase is PredecessorPhase.SUCCESSOR_OWNS
        self._waiting.append(item)
        return self._send_waiting()

    def report_attempt(self, settled: AttemptSettled) -> list[Effect]:
        """Reports the outcome of an attempt to the successor, if there is one."""
        return (
            [Send(self.successor, AttemptReport(settled))]
            if self.phase in (PredecessorPhase.SENDING_STATE, PredecessorPhase.SUCCESSOR_OWNS)
            else []
        )

    def finish(self) -> list[Effect]:
        """Announces that no connection and no report will follow."""
        self._all_submitted = True
        return self._send_waiting()

    def link_closed(self, link: Link) -> list[Effect]:
        """Handles the end of a link."""
        if link != self.successor or self.phase is PredecessorPhase.FINISHED:
            return []
        before, self.phase, self.successor = self.phase, PredecessorPhase.STANDALONE, None
        if before not in (PredecessorPhase.SENDING_STATE, PredecessorPhase.SUCCESSOR_OWNS):
            return []
        returned = (*self._unacked, *self._waiting)
        self._unacked.clear()
        self._waiting.clear()
        return [SuccessorLost(before is PredecessorPhase.SENDING_STATE, returned)]

    def _send_waiting(self) -> list[Effect]:
        effects: list[Effect] = []
        while self._waiting and len(self._unacked) < MAX_UNACKED_CONNECTIONS:
            item = self._waiting.popleft()
            self._unacked.append(item)
            data, length = item.data, len(item.data)
            effects += [
                Send(self.successor, DataChunk(data[at : at + CHUNK_BYTES]))
                for at in range(0, length, CHUNK_BYTES)
            ]
            passed = PassedConnection(length, item.began_ms, item.arrived_ms)
            effects.append(Send(self.successor, passed, item.connection))
        if self._all_submitted and not self.has_pending and self.phase is PredecessorPhase.SUCCESSOR_OWNS:
            self.phase = PredecessorPhase.FINISHED
            effects += [Send(self.successor, Done()), Close(self.successor)]
        return effects


class SuccessorPhase(Enum):
    """State of the hand-over in the successor."""

    CONNECTING = "asking"
    STANDBY = "standing by"
    IMPORTING = "taking the state"
    OWNER = "the owner, and the predecessor still finishes"
    STANDALONE = "alone"
    SUPERSEDED = "not needed"


@dataclass(slots=True)
class Successor:
    """State machine of the successor, on one link. Each method returns the effects to perform."""

    program: str = ""
    phase: SuccessorPhase = SuccessorPhase.CONNECTING
    link: Link = "predecessor"
    _state: bytearray = field(default_factory=bytearray)
    _data: bytearray = field(default_factory=bytearray)
    _received_count: int = 0
    _unconfirmed: TransferredConnection | None = None  # owned by this process once its ConnectionAck is sent

    def connected(self) -> list[Effect]:
        """Handles that the link is established."""
        return [Send(self.link, Hello(program=self.program))]

    def request_out_of_service(self, out_of_service: bool) -> list[Effect]:
        """Forwards an operator call while the predecessor still serves."""
        return (
            [Send(self.link, SetOutOfService(out_of_service))] if self.phase is SuccessorPhase.STANDBY else []
        )

    def receive(self, message: Message | str, connection: Any = None) -> list[Effect]:
        """Handles a message. ProtocolError if it is invalid in this phase: the host then closes the link."""
        match message:
            case str():
                return []  # sent by a newer build
            case Welcome(_, program) if self.phase is SuccessorPhase.CONNECTING:
                self.phase = SuccessorPhase.STANDBY
                return [StandingBy(program)]
            case Rejection(reason, superseded) if self.phase in (
                SuccessorPhase.CONNECTING,
                SuccessorPhase.STANDBY,
            ):
                if superseded:
                    self.phase = SuccessorPhase.SUPERSEDED
                    return [Superseded(), Close(self.link)]
                return [*self._proceed_alone(reason), Close(self.link)]
            case StateChunk(data) if self.phase is SuccessorPhase.STANDBY:
                self._state += data
                if len(self._state) > MAX_STATE_BYTES:
                    raise ProtocolError(f"state exceeds {MAX_STATE_BYTES} bytes")
                return []
            case StateEnd(length, check, holds) if self.phase is SuccessorPhase.STANDBY:
                data = bytes(self._state)
                self._state.clear()
                if (length, check) != (len(data), checksum(data)):
                    raise ProtocolError(f"state incomplete: {len(data)} of {length} bytes")
                self.phase = SuccessorPhase.IMPORTING
                return [ImportState(data, holds)]
            case DataChunk(data) if self.phase is SuccessorPhase.OWNER:
                self._data += data
                if len(self._data) > MAX_MESSAGE_BYTES:
                    raise ProtocolError(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
                return []
            case PassedConnection(length, began_ms, arrived_ms) if (
                self.phase is SuccessorPhase.OWNER and connection is not None
            ):
                data = bytes(self._data)
                self._data.clear()
                if length != len(data):
                    raise ProtocolError(f"connection with {len(data)} of {length} bytes")
                self._received_count += 1
                self._unconfirmed = TransferredConnection(connection, data, began_ms, arrived_ms)
                return [SendOrAbort(self.link, ConnectionAck(self._received_count))]
            case AttemptReport(settled) if self.phase is SuccessorPhase.OWNER:
                return [SettleAttempt(settled)]
            case Done() if self.phase is SuccessorPhase.OWNER:
                self.phase = SuccessorPhase.STANDALONE
                return [PredecessorEnded(True), Close(self.link)]
        raise ProtocolError(f"{message!r:.60} while {self.phase.value}")

    def state_imported(self, error: str, left_out: tuple[str, ...]) -> list[Effect]:
        """Handles the result of ImportState. error: why the import failed, or empty."""
        return [SendOrAbort(self.link, StateAck(error, left_out))]

    def send_result(self, sent: bool) -> list[Effect]:
        """Handles the result of SendOrAbort: whether the message could be sent."""
        item, self._unconfirmed = self._unconfirmed, None
        if self.phase is SuccessorPhase.IMPORTING and sent:
            self.phase = SuccessorPhase.OWNER
            return [BecomeOwner()]
        if item is not None:
            return [AdoptConnection(item) if sent else ReleaseConnection(item.connection)]
        return []

    def timed_out(self) -> list[Effect]:
        """Handles that the predecessor did not respond in time."""
        if self.phase is not SuccessorPhase.CONNECTING:
            return []
        return [*self._proceed_alone("it did not respond in time"), Close(self.link)]

    def link_closed(self) -> list[Effect]:
        """Handles the end of the link."""
        if self.phase is SuccessorPhase.OWNER:
            self.phase = SuccessorPhase.STANDALONE
            return [PredecessorEnded(False)]
        if self.phase is SuccessorPhase.CONNECTING:
            return self._proceed_alone("it has ended")
        if self.phase in (SuccessorPhase.STANDBY, SuccessorPhase.IMPORTING):
            self.phase = SuccessorPhase.CONNECTING
            return [Reconnect()]
        return []

    def _proceed_alone(self, why: str) -> list[Effect]:
        self.phase = SuccessorPhase.STANDALONE
        return [ProceedAlone(why)]
