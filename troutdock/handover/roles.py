"""Who owns what during an upgrade: the older process's part and its successor's (no I/O).

Theory of operation. The older process is the owner of all budgets and connections until it is told to end.

    Predecessor   event                          next       effects
    ALONE         hello                          AWAITED    Welcome (Sorry if no version is common); told to
                                                            end before that: as AWAITED, end, at once
    AWAITED       hello of another               AWAITED    Sorry, superseded, to the first; Welcome
    AWAITED       wish                           AWAITED    Wished
    AWAITED       cut                            ALONE      -
    AWAITED       end                            GIVING     Retire; the host answers with state()
    GIVING        took                           FOLLOWED   Owned: connections may be given
    GIVING        late                           GIVING     Shut: what has been sent to it is still read
    GIVING        cut                            ALONE      Lost, untouched
    FOLLOWED      ack                            FOLLOWED   more of what waits
    FOLLOWED      done() and all acknowledged    OVER       Done
    FOLLOWED      cut                            ALONE      Lost, with the connections that nobody has

    Successor     event                          next       effects
    ASKING        welcome                        STANDBY    Ready
    ASKING        sorry, cut, late               ALONE      Alone; the host may ask anew, on another link
    STANDBY       sorry, superseded              SUPERSEDED Superseded
    STANDBY       cut                            ASKING     Again: the host asks anew, and if nobody listens
                                                            there any more the predecessor has died
    STANDBY       state, state_end               TAKING     Take; the host answers with took()
    TAKING        took() could be sent           OWNER      Owner
    TAKING        it could not                   ASKING     Again
    OWNER         passed, told                   OWNER      Adopt, Settle
    OWNER         done, cut                      ALONE      Ended

Two rules. A budget changes hands by Took and by nothing else, a connection by its Ack: both are Decide, sent
at once or not at all, and what they decide is done only once they are. And who gives up on a link shuts its
receiving side first and then takes in what is there, so that a Took or an Ack has come or can't be sent.
What was sent and not acknowledged has not been read from, and goes back to whom it came from.

Links and connections are the host's; here they are only passed through.
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


# ---- effects: what the host is to do, in order


@dataclass(frozen=True, slots=True)
class Send:
    """Write a message to a link, with a connection's descriptor or none."""

    link: Link
    message: Message
    connection: Any = None


@dataclass(frozen=True, slots=True)
class SendOrAbort:
    """Write a message now or never, and answer with Successor.said; if it can't be, give up on the link."""

    link: Link
    message: Message


@dataclass(frozen=True, slots=True)
class Close:
    """End a link."""

    link: Link


@dataclass(frozen=True, slots=True)
class Abort:
    """Give up on a link: take nothing more from it, but read what it holds already; then it is cut."""

    link: Link


@dataclass(frozen=True, slots=True)
class OutOfServiceRequested:
    """The operator of the successor wants the ingress out of service, or back."""

    out_of_service: bool


@dataclass(frozen=True, slots=True)
class BeginHandover:
    """Let nothing new in, and answer with Predecessor.state."""


@dataclass(frozen=True, slots=True)
class OwnershipTransferred:
    """The successor is the owner of all budgets. error: why it could not use the state."""

    error: str
    left_out: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReleaseConnection:
    """The other side has the connection: the descriptor here may be closed."""

    connection: Any


@dataclass(frozen=True, slots=True)
class SuccessorLost:
    """There is no successor any more. untouched: it never had the state. returned: nobody has these."""

    state_unused: bool
    returned: tuple[TransferredConnection, ...]


@dataclass(frozen=True, slots=True)
class StandingBy:
    """The successor stands by."""

    program: str


@dataclass(frozen=True, slots=True)
class ImportState:
    """Go on from this state, and answer with Successor.took."""

    data: bytes
    holds: PredecessorStatus


@dataclass(frozen=True, slots=True)
class BecomeOwner:
    """All budgets are this process's: take clients."""


@dataclass(frozen=True, slots=True)
class ProceedAlone:
    """The predecessor gives nothing."""

    why: str


@dataclass(frozen=True, slots=True)
class Reconnect:
    """The link to the predecessor has ended: ask anew; if it has died, all is this process's."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another successor stands by in place of this one, which is not needed."""


@dataclass(frozen=True, slots=True)
class AdoptConnection:
    """A client's connection, and what it has sent of a message or more."""

    item: TransferredConnection


@dataclass(frozen=True, slots=True)
class SettleAttempt:
    """What an attempt of the predecessor has come to."""

    settled: AttemptSettled


@dataclass(frozen=True, slots=True)
class PredecessorEnded:
    """The predecessor has ended. done: it had said all."""

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
    """A connection to be given, with what it has sent."""

    connection: Any
    data: bytes = b""
    began_ms: float = 0.0
    arrived_ms: float = 0.0


class PredecessorPhase(Enum):
    """What the older process is at."""

    STANDALONE = "alone"
    SUCCESSOR_READY = "a successor stands by"
    SENDING_STATE = "the state is on its way"
    SUCCESSOR_OWNS = "the successor is the owner"
    FINISHED = "all is given"


@dataclass(slots=True)
class Predecessor:
    """The older process's part. Each method returns what is to be done."""

    program: str = ""
    phase: PredecessorPhase = PredecessorPhase.STANDALONE
    successor: Link = None
    _waiting: deque[TransferredConnection] = field(default_factory=deque)
    _unacked: deque[TransferredConnection] = field(default_factory=deque)  # not acknowledged
    _acked_count: int = 0  # connections acknowledged
    _ending_requested: bool = False  # told to end
    _all_submitted: bool = False  # nothing more will be given or told

    @property
    def has_pending(self) -> bool:
        """Something is still to be given or acknowledged."""
        return bool(self._waiting or self._unacked)

    def receive(self, link: Link, message: Message | str) -> list[Effect]:
        """A message has come; ProtocolError if it makes no sense now: the host then closes the link."""
        match message:
            case Hello():
                return self._hello(link, message)
            case SetOutOfService(out) if (
                link == self.successor and self.phase is PredecessorPhase.SUCCESSOR_READY
            ):
                return [OutOfServiceRequested(out)]
            case SetOutOfService() | str() if link == self.successor:
                return []  # too late, or of a newer program
            case StateAck(error, left_out) if (
                link == self.successor and self.phase is PredecessorPhase.SENDING_STATE
            ):
                self.phase = PredecessorPhase.SUCCESSOR_OWNS
                return [OwnershipTransferred(error, left_out), *self._more()]
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
                return closed + self._more()
        raise ProtocolError(f"{message!r:.60} while {self.phase.value}")

    def _hello(self, link: Link, hello: Hello) -> list[Effect]:
        version = common_version(hello)
        if self.phase not in (PredecessorPhase.STANDALONE, PredecessorPhase.SUCCESSOR_READY):
            return [Send(link, Rejection("another one takes over")), Close(link)]
        if version is None:
            theirs = f"no common version with {hello.oldest} to {hello.version}"
            return [Send(link, Rejection(theirs)), Close(link)]
        before, self.successor, self.phase = self.successor, link, PredecessorPhase.SUCCESSOR_READY
        told: list[Effect] = []
        if before is not None and before != link:
            told = [Send(before, Rejection("another successor stands by", superseded=True)), Close(before)]
        told.append(Send(link, Welcome(version, self.program)))
        return told + self.end() if self._ending_requested else told

    def end(self) -> list[Effect]:
        """This process has been told to end."""
        self._ending_requested = True
        if self.phase is not PredecessorPhase.SUCCESSOR_READY:
            return []
        self.phase = PredecessorPhase.SENDING_STATE
        return [BeginHandover()]

    def send_state(self, data: bytes, holds: PredecessorStatus) -> list[Effect]:
        """The state, in answer to Retire."""
        pieces = [
            Send(self.successor, StateChunk(data[at : at + CHUNK_BYTES]))
            for at in range(0, len(data), CHUNK_BYTES)
        ]
        return [*pieces, Send(self.successor, StateEnd(len(data), checksum(data), holds))]

    def timed_out(self) -> list[Effect]:
        """The successor has not said in time that it has the state."""
        return [Abort(self.successor)] if self.phase is PredecessorPhase.SENDING_STATE else []

    def pass_connection(self, item: TransferredConnection) -> list[Effect]:
        """Pass a connection on, after those before it; only while FOLLOWED."""
        assert self.phase is PredecessorPhase.SUCCESSOR_OWNS
        self._waiting.append(item)
        return self._more()

    def report_attempt(self, settled: AttemptSettled) -> list[Effect]:
        """What an attempt has come to; nobody is told where there is no successor."""
        return (
            [Send(self.successor, AttemptReport(settled))]
            if self.phase in (PredecessorPhase.SENDING_STATE, PredecessorPhase.SUCCESSOR_OWNS)
            else []
        )

    def finish(self) -> list[Effect]:
        """Nothing more will be given or told."""
        self._all_submitted = True
        return self._more()

    def link_closed(self, link: Link) -> list[Effect]:
        """A link has ended."""
        if link != self.successor or self.phase is PredecessorPhase.FINISHED:
            return []
        before, self.phase, self.successor = self.phase, PredecessorPhase.STANDALONE, None
        if before not in (PredecessorPhase.SENDING_STATE, PredecessorPhase.SUCCESSOR_OWNS):
            return []
        returned = (*self._unacked, *self._waiting)
        self._unacked.clear()
        self._waiting.clear()
        return [SuccessorLost(before is PredecessorPhase.SENDING_STATE, returned)]

    def _more(self) -> list[Effect]:
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
    """What the successor is at."""

    CONNECTING = "asking"
    STANDBY = "standing by"
    IMPORTING = "taking the state"
    OWNER = "the owner, and the predecessor still finishes"
    STANDALONE = "alone"
    SUPERSEDED = "not needed"


@dataclass(slots=True)
class Successor:
    """The newer process's part, on its one link. Each method returns what is to be done."""

    program: str = ""
    phase: SuccessorPhase = SuccessorPhase.CONNECTING
    link: Link = "predecessor"
    _state: bytearray = field(default_factory=bytearray)
    _data: bytearray = field(default_factory=bytearray)
    _received_count: int = 0
    _unconfirmed: TransferredConnection | None = None  # it is this process's once its Ack is sent

    def connected(self) -> list[Effect]:
        """The link is up."""
        return [Send(self.link, Hello(program=self.program))]

    def request_out_of_service(self, out_of_service: bool) -> list[Effect]:
        """The operator's word while the predecessor still serves."""
        return (
            [Send(self.link, SetOutOfService(out_of_service))] if self.phase is SuccessorPhase.STANDBY else []
        )

    def receive(self, message: Message | str, connection: Any = None) -> list[Effect]:
        """A message has come; ProtocolError if it makes no sense now: the host then closes the link."""
        match message:
            case str():
                return []  # of a newer program: to be left out
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
                return [*self._alone(reason), Close(self.link)]
            case StateChunk(data) if self.phase is SuccessorPhase.STANDBY:
                self._state += data
                if len(self._state) > MAX_STATE_BYTES:
                    raise ProtocolError(f"a state of over {MAX_STATE_BYTES} bytes")
                return []
            case StateEnd(length, check, holds) if self.phase is SuccessorPhase.STANDBY:
                data = bytes(self._state)
                self._state.clear()
                if (length, check) != (len(data), checksum(data)):
                    raise ProtocolError(f"the state is not whole: {len(data)} of {length} bytes")
                self.phase = SuccessorPhase.IMPORTING
                return [ImportState(data, holds)]
            case DataChunk(data) if self.phase is SuccessorPhase.OWNER:
                self._data += data
                if len(self._data) > MAX_MESSAGE_BYTES:
                    raise ProtocolError(f"a message of over {MAX_MESSAGE_BYTES} bytes")
                return []
            case PassedConnection(length, began_ms, arrived_ms) if (
                self.phase is SuccessorPhase.OWNER and connection is not None
            ):
                data = bytes(self._data)
                self._data.clear()
                if length != len(data):
                    raise ProtocolError(f"a connection with {len(data)} of {length} bytes")
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
        """The host's answer to Take."""
        return [SendOrAbort(self.link, StateAck(error, left_out))]

    def send_result(self, there: bool) -> list[Effect]:
        """The host's answer to Decide: whether it could be sent."""
        item, self._unconfirmed = self._unconfirmed, None
        if self.phase is SuccessorPhase.IMPORTING and there:
            self.phase = SuccessorPhase.OWNER
            return [BecomeOwner()]
        if item is not None:
            return [AdoptConnection(item) if there else ReleaseConnection(item.connection)]
        return []

    def timed_out(self) -> list[Effect]:
        """The predecessor has not answered in time."""
        if self.phase is not SuccessorPhase.CONNECTING:
            return []
        return [*self._alone("it did not answer in time"), Close(self.link)]

    def link_closed(self) -> list[Effect]:
        """The link has ended."""
        if self.phase is SuccessorPhase.OWNER:
            self.phase = SuccessorPhase.STANDALONE
            return [PredecessorEnded(False)]
        if self.phase is SuccessorPhase.CONNECTING:
            return self._alone("it has ended")
        if self.phase in (SuccessorPhase.STANDBY, SuccessorPhase.IMPORTING):
            self.phase = SuccessorPhase.CONNECTING
            return [Reconnect()]
        return []

    def _alone(self, why: str) -> list[Effect]:
        self.phase = SuccessorPhase.STANDALONE
        return [ProceedAlone(why)]
