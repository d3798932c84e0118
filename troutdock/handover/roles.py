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
    MAX_MESSAGE,
    MAX_STATE,
    PIECE,
    WINDOW,
    Ack,
    Bytes,
    Done,
    Hello,
    Holds,
    Message,
    Passed,
    ProtocolError,
    Sorry,
    State,
    StateEnd,
    Told,
    Took,
    Welcome,
    Wish,
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
class Decide:
    """Write a message now or never, and answer with Successor.said; if it can't be, give up on the link."""

    link: Link
    message: Message


@dataclass(frozen=True, slots=True)
class Close:
    """End a link."""

    link: Link


@dataclass(frozen=True, slots=True)
class Shut:
    """Give up on a link: take nothing more from it, but read what it holds already; then it is cut."""

    link: Link


@dataclass(frozen=True, slots=True)
class Wished:
    """The operator of the successor wants the ingress out of service, or back."""

    out_of_service: bool


@dataclass(frozen=True, slots=True)
class Retire:
    """Let nothing new in, and answer with Predecessor.state."""


@dataclass(frozen=True, slots=True)
class Owned:
    """The successor is the owner of all budgets. error: why it could not use the state."""

    error: str
    left_out: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Given:
    """The other side has the connection: the descriptor here may be closed."""

    connection: Any


@dataclass(frozen=True, slots=True)
class Lost:
    """There is no successor any more. untouched: it never had the state. returned: nobody has these."""

    untouched: bool
    returned: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Ready:
    """The successor stands by."""

    program: str


@dataclass(frozen=True, slots=True)
class Take:
    """Go on from this state, and answer with Successor.took."""

    data: bytes
    holds: Holds


@dataclass(frozen=True, slots=True)
class Owner:
    """All budgets are this process's: take clients."""


@dataclass(frozen=True, slots=True)
class Alone:
    """The predecessor gives nothing."""

    why: str


@dataclass(frozen=True, slots=True)
class Again:
    """The link to the predecessor has ended: ask anew; if it has died, all is this process's."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another successor stands by in place of this one, which is not needed."""


@dataclass(frozen=True, slots=True)
class Adopt:
    """A client's connection, and what it has sent of a message or more."""

    item: Item


@dataclass(frozen=True, slots=True)
class Settle:
    """What an attempt of the predecessor has come to."""

    settled: AttemptSettled


@dataclass(frozen=True, slots=True)
class Ended:
    """The predecessor has ended. done: it had said all."""

    done: bool


Effect = (
    Send
    | Decide
    | Close
    | Shut
    | Wished
    | Retire
    | Owned
    | Given
    | Lost
    | Ready
    | Take
    | Owner
    | Alone
    | Again
    | Superseded
    | Adopt
    | Settle
    | Ended
)


@dataclass(frozen=True, slots=True)
class Item:
    """A connection to be given, with what it has sent."""

    connection: Any
    data: bytes = b""
    began_ms: float = 0.0
    arrived_ms: float = 0.0


class Giving(Enum):
    """What the older process is at."""

    ALONE = "alone"
    AWAITED = "a successor stands by"
    GIVING = "the state is on its way"
    FOLLOWED = "the successor is the owner"
    OVER = "all is given"


@dataclass(slots=True)
class Predecessor:
    """The older process's part. Each method returns what is to be done."""

    program: str = ""
    at: Giving = Giving.ALONE
    successor: Link = None
    _waiting: deque[Item] = field(default_factory=deque)
    _sent: deque[Item] = field(default_factory=deque)  # not acknowledged
    _given: int = 0  # connections acknowledged
    _finishing: bool = False  # told to end
    _complete: bool = False  # nothing more will be given or told

    @property
    def giving(self) -> bool:
        """Something is still to be given or acknowledged."""
        return bool(self._waiting or self._sent)

    def receive(self, link: Link, message: Message | str) -> list[Effect]:
        """A message has come; ProtocolError if it makes no sense now: the host then closes the link."""
        match message:
            case Hello():
                return self._hello(link, message)
            case Wish(out) if link == self.successor and self.at is Giving.AWAITED:
                return [Wished(out)]
            case Wish() | str() if link == self.successor:
                return []  # too late, or of a newer program
            case Took(error, left_out) if link == self.successor and self.at is Giving.GIVING:
                self.at = Giving.FOLLOWED
                return [Owned(error, left_out), *self._more()]
            case Ack(count) if link == self.successor and self.at is Giving.FOLLOWED:
                most = self._given + len(self._sent)
                if not self._given <= count <= most:
                    raise ProtocolError(f"{count} connections acknowledged, of {most}")
                closed: list[Effect] = [
                    Given(self._sent.popleft().connection) for _ in range(count - self._given)
                ]
                self._given = count
                return closed + self._more()
        raise ProtocolError(f"{message!r:.60} while {self.at.value}")

    def _hello(self, link: Link, hello: Hello) -> list[Effect]:
        version = common_version(hello)
        if self.at not in (Giving.ALONE, Giving.AWAITED):
            return [Send(link, Sorry("another one takes over")), Close(link)]
        if version is None:
            theirs = f"no common version with {hello.oldest} to {hello.version}"
            return [Send(link, Sorry(theirs)), Close(link)]
        before, self.successor, self.at = self.successor, link, Giving.AWAITED
        told: list[Effect] = []
        if before is not None and before != link:
            told = [Send(before, Sorry("another successor stands by", superseded=True)), Close(before)]
        told.append(Send(link, Welcome(version, self.program)))
        return told + self.end() if self._finishing else told

    def end(self) -> list[Effect]:
        """This process has been told to end."""
        self._finishing = True
        if self.at is not Giving.AWAITED:
            return []
        self.at = Giving.GIVING
        return [Retire()]

    def state(self, data: bytes, holds: Holds) -> list[Effect]:
        """The state, in answer to Retire."""
        pieces = [Send(self.successor, State(data[at : at + PIECE])) for at in range(0, len(data), PIECE)]
        return [*pieces, Send(self.successor, StateEnd(len(data), checksum(data), holds))]

    def late(self) -> list[Effect]:
        """The successor has not said in time that it has the state."""
        return [Shut(self.successor)] if self.at is Giving.GIVING else []

    def give(self, item: Item) -> list[Effect]:
        """Pass a connection on, after those before it; only while FOLLOWED."""
        assert self.at is Giving.FOLLOWED
        self._waiting.append(item)
        return self._more()

    def tell(self, settled: AttemptSettled) -> list[Effect]:
        """What an attempt has come to; nobody is told where there is no successor."""
        return [Send(self.successor, Told(settled))] if self.at in (Giving.GIVING, Giving.FOLLOWED) else []

    def done(self) -> list[Effect]:
        """Nothing more will be given or told."""
        self._complete = True
        return self._more()

    def cut(self, link: Link) -> list[Effect]:
        """A link has ended."""
        if link != self.successor or self.at is Giving.OVER:
            return []
        before, self.at, self.successor = self.at, Giving.ALONE, None
        if before not in (Giving.GIVING, Giving.FOLLOWED):
            return []
        returned = (*self._sent, *self._waiting)
        self._sent.clear()
        self._waiting.clear()
        return [Lost(before is Giving.GIVING, returned)]

    def _more(self) -> list[Effect]:
        effects: list[Effect] = []
        while self._waiting and len(self._sent) < WINDOW:
            item = self._waiting.popleft()
            self._sent.append(item)
            data, length = item.data, len(item.data)
            effects += [Send(self.successor, Bytes(data[at : at + PIECE])) for at in range(0, length, PIECE)]
            passed = Passed(length, item.began_ms, item.arrived_ms)
            effects.append(Send(self.successor, passed, item.connection))
        if self._complete and not self.giving and self.at is Giving.FOLLOWED:
            self.at = Giving.OVER
            effects += [Send(self.successor, Done()), Close(self.successor)]
        return effects


class Taking(Enum):
    """What the successor is at."""

    ASKING = "asking"
    STANDBY = "standing by"
    TAKING = "taking the state"
    OWNER = "the owner, and the predecessor still finishes"
    ALONE = "alone"
    SUPERSEDED = "not needed"


@dataclass(slots=True)
class Successor:
    """The newer process's part, on its one link. Each method returns what is to be done."""

    program: str = ""
    at: Taking = Taking.ASKING
    link: Link = "predecessor"
    _state: bytearray = field(default_factory=bytearray)
    _bytes: bytearray = field(default_factory=bytearray)
    _came: int = 0
    _item: Item | None = None  # it is this process's once its Ack is sent

    def ask(self) -> list[Effect]:
        """The link is up."""
        return [Send(self.link, Hello(program=self.program))]

    def wish(self, out_of_service: bool) -> list[Effect]:
        """The operator's word while the predecessor still serves."""
        return [Send(self.link, Wish(out_of_service))] if self.at is Taking.STANDBY else []

    def receive(self, message: Message | str, connection: Any = None) -> list[Effect]:
        """A message has come; ProtocolError if it makes no sense now: the host then closes the link."""
        match message:
            case str():
                return []  # of a newer program: to be left out
            case Welcome(_, program) if self.at is Taking.ASKING:
                self.at = Taking.STANDBY
                return [Ready(program)]
            case Sorry(reason, superseded) if self.at in (Taking.ASKING, Taking.STANDBY):
                if superseded:
                    self.at = Taking.SUPERSEDED
                    return [Superseded(), Close(self.link)]
                return [*self._alone(reason), Close(self.link)]
            case State(data) if self.at is Taking.STANDBY:
                self._state += data
                if len(self._state) > MAX_STATE:
                    raise ProtocolError(f"a state of over {MAX_STATE} bytes")
                return []
            case StateEnd(length, check, holds) if self.at is Taking.STANDBY:
                data = bytes(self._state)
                self._state.clear()
                if (length, check) != (len(data), checksum(data)):
                    raise ProtocolError(f"the state is not whole: {len(data)} of {length} bytes")
                self.at = Taking.TAKING
                return [Take(data, holds)]
            case Bytes(data) if self.at is Taking.OWNER:
                self._bytes += data
                if len(self._bytes) > MAX_MESSAGE:
                    raise ProtocolError(f"a message of over {MAX_MESSAGE} bytes")
                return []
            case Passed(length, began_ms, arrived_ms) if self.at is Taking.OWNER and connection is not None:
                data = bytes(self._bytes)
                self._bytes.clear()
                if length != len(data):
                    raise ProtocolError(f"a connection with {len(data)} of {length} bytes")
                self._came += 1
                self._item = Item(connection, data, began_ms, arrived_ms)
                return [Decide(self.link, Ack(self._came))]
            case Told(settled) if self.at is Taking.OWNER:
                return [Settle(settled)]
            case Done() if self.at is Taking.OWNER:
                self.at = Taking.ALONE
                return [Ended(True), Close(self.link)]
        raise ProtocolError(f"{message!r:.60} while {self.at.value}")

    def took(self, error: str, left_out: tuple[str, ...]) -> list[Effect]:
        """The host's answer to Take."""
        return [Decide(self.link, Took(error, left_out))]

    def said(self, there: bool) -> list[Effect]:
        """The host's answer to Decide: whether it could be sent."""
        item, self._item = self._item, None
        if self.at is Taking.TAKING and there:
            self.at = Taking.OWNER
            return [Owner()]
        if item is not None:
            return [Adopt(item) if there else Given(item.connection)]
        return []

    def late(self) -> list[Effect]:
        """The predecessor has not answered in time."""
        if self.at is not Taking.ASKING:
            return []
        return [*self._alone("it did not answer in time"), Close(self.link)]

    def cut(self) -> list[Effect]:
        """The link has ended."""
        if self.at is Taking.OWNER:
            self.at = Taking.ALONE
            return [Ended(False)]
        if self.at is Taking.ASKING:
            return self._alone("it has ended")
        if self.at in (Taking.STANDBY, Taking.TAKING):
            self.at = Taking.ASKING
            return [Again()]
        return []

    def _alone(self, why: str) -> list[Effect]:
        self.at = Taking.ALONE
        return [Alone(why)]
