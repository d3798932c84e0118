"""Model test of predecessor and successor: with any lost link or process, everything has one owner."""

from __future__ import annotations

from collections import deque
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from troutdock.admission.interface import Outcome, AttemptSettled
from troutdock.handover import roles
from troutdock.handover.protocol import (
    MAX_STATE_BYTES,
    CHUNK_BYTES,
    VERSION,
    MAX_UNACKED_CONNECTIONS,
    ConnectionAck,
    DataChunk,
    Done,
    Hello,
    PredecessorStatus,
    PassedConnection,
    ProtocolError,
    Rejection,
    StateChunk,
    StateEnd,
    StateAck,
    Welcome,
    SetOutOfService,
    checksum,
    decode,
    encode,
)
from troutdock.handover.roles import (
    PredecessorPhase,
    TransferredConnection,
    Predecessor,
    Successor,
    SuccessorPhase,
)

STATE = bytes(range(256)) * 300  # three chunks


class Upgrade(RuleBasedStateMachine):
    """The two hosts and a link as a Unix socket is one: in order, lossless, and cut from either side.

    Who gives up shuts its receiving side: sends toward it fail from then on, what has come is read, then the
    other side sees the end behind what was sent to it. A death is the same without the reading.
    """

    def __init__(self) -> None:
        super().__init__()
        self.older, self.newer = Predecessor(), Successor()
        self.to_older: deque[Any] = deque()
        self.to_newer: deque[Any] = deque()
        self.alive = {"older": True, "newer": True}
        self.shut = {"older": False, "newer": False}
        self.retired = self.owns = False
        self.took = False  # the successor has become the owner, dead or alive
        self.link = 0
        self.asks = True  # the successor has to connect
        self.names = 0
        self.told: list[int] = []
        self.heard: list[int] = []
        self.at_older: dict[int, bytes] = {}  # connections that it reads from, and their received bytes
        self.at_newer: dict[int, bytes] = {}
        self.all: dict[int, bytes] = {}
        self.asked: dict[int, str] = {}  # unanswered requests by connection: who has read it, "" for nobody
        self.answered: dict[int, int] = {}
        self.requests: dict[int, int] = {}
        self.find()

    # ---- the hosts

    @precondition(lambda self: self.asks and self.alive["newer"])
    @rule()
    def find(self) -> None:
        """Connects on a new link; if nobody listens, the predecessor has died."""
        self.asks = False
        if not self.alive["older"]:
            self.owns = True
            return
        self.link += 1
        self.newer = Successor()
        self.to_newer.clear()
        self.shut = {"older": False, "newer": False}
        while self.to_older:  # of the previous link
            self.read_older(self.link - 1)
        self.done_older(self.older.link_closed(self.link - 1))
        self.newer_does(self.newer.connected())

    def done_older(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case roles.Send(link, message, connection):
                    if link == self.link and self.alive["newer"] and not self.shut["newer"]:
                        self.to_newer.append((decode(encode(message)), connection))
                case roles.BeginHandover():
                    self.retired = True
                    self.done_older(self.older.send_state(STATE, PredecessorStatus()))
                case roles.OwnershipTransferred(error, _):
                    assert not error and self.took
                case roles.ReleaseConnection(connection):
                    assert connection in self.at_newer or not self.alive["newer"]
                case roles.SuccessorLost(state_unused, returned):
                    assert state_unused != self.took
                    self.retired = self.took = False
                    for item in returned:
                        assert item.connection not in self.at_older
                        self.at_older[item.connection] = item.data
                    self.owns = False  # as if it had died; otherwise the predecessor's ceilings are empty
                case roles.Abort(link) | roles.Close(link):
                    if link == self.link:
                        self.give_up("older")
                case roles.OutOfServiceRequested():
                    assert not self.retired

    def newer_does(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case roles.Send(_, message) | roles.SendOrAbort(_, message):
                    there = self.alive["older"] and not self.shut["older"]
                    if there:
                        self.to_older.append(decode(encode(message)))
                    if isinstance(effect, roles.SendOrAbort):
                        self.newer_does(self.newer.send_result(there))
                        if not there:
                            self.give_up("newer")
                case roles.ImportState(state, _):
                    assert state == STATE
                    self.newer_does(self.newer.state_imported("", ()))
                case roles.BecomeOwner():
                    self.owns = self.took = True
                case roles.ProceedAlone() | roles.Reconnect():
                    self.asks = True
                case roles.AdoptConnection(item):
                    assert item.connection not in self.at_newer
                    self.at_newer[item.connection] = item.data
                case roles.SettleAttempt(settled):
                    self.heard.append(settled.request)
                case roles.Close():
                    self.give_up("newer")

    def give_up(self, side: str) -> None:
        """Shuts down the receiving direction, reads the remaining messages, and closes the link."""
        if self.shut[side]:
            return
        self.shut[side] = True
        if side == "older":
            while self.to_older:
                self.read_older()
            self.done_older(self.older.link_closed(self.link))
        else:
            self.to_newer.clear()  # unacknowledged connections return
            self.newer_does(self.newer.link_closed())

    def read_older(self, link: int = 0) -> None:
        if self.to_older:
            self.done_older(self.older.receive(link or self.link, self.to_older.popleft()))
        elif self.shut["newer"] or not self.alive["newer"]:
            self.give_up("older")

    def read_newer(self) -> None:
        if self.to_newer:
            self.newer_does(self.newer.receive(*self.to_newer.popleft()))
        elif self.shut["older"] or not self.alive["older"]:
            self.give_up("newer")

    # ---- events

    @rule(times=st.integers(1, 12))
    def older_reads(self, times: int) -> None:
        for _ in range(times * self.alive["older"] * (not self.shut["older"])):
            if not self.shut["older"]:
                self.read_older()

    @rule(times=st.integers(1, 12))
    def newer_reads(self, times: int) -> None:
        for _ in range(times * self.alive["newer"] * (not self.shut["newer"])):
            if not self.shut["newer"]:
                self.read_newer()

    @precondition(lambda self: self.alive["older"])
    @rule()
    def a_client_comes(self) -> None:
        self.names += 1
        self.all[self.names] = self.at_older[self.names] = b"x" * (self.names % 3) * (CHUNK_BYTES - 1)

    @precondition(lambda self: self.all)
    @rule(pick=st.integers(0, 1000))
    def a_client_asks(self, pick: int) -> None:
        """A client sends the next request only after the response."""
        name = sorted(self.all)[pick % len(self.all)]
        if name not in self.asked:
            self.asked[name] = ""
            self.requests[name] = self.requests.get(name, 0) + 1

    @rule(side=st.sampled_from(["older", "newer"]))
    def requests_are_read(self, side: str) -> None:
        """By the owner of the connection; a predecessor that has begun the hand-over leaves them unread."""
        if self.alive[side] and not (side == "older" and self.retired):
            for name in self.asked.keys() & (self.at_older if side == "older" else self.at_newer).keys():
                assert self.asked[name] in ("", side)
                self.asked[name] = side

    @rule(side=st.sampled_from(["older", "newer"]))
    def requests_are_answered(self, side: str) -> None:
        for name in [n for n, reader in self.asked.items() if reader == side and self.alive[side]]:
            del self.asked[name]
            self.answered[name] = self.answered.get(name, 0) + 1

    @precondition(lambda self: self.alive["older"] and not self.retired)
    @rule()
    def told_to_end(self) -> None:
        self.done_older(self.older.end())

    @precondition(
        lambda self: (
            self.alive["older"] and self.older.phase is PredecessorPhase.SUCCESSOR_OWNS and self.at_older
        )
    )
    @rule(many=st.booleans())
    def pass_connection(self, many: bool) -> None:
        owes = [name for name, reader in self.asked.items() if reader == "older"]
        for name in [n for n in self.at_older if n not in owes][: None if many else 1]:
            if self.older.phase is PredecessorPhase.SUCCESSOR_OWNS:
                self.done_older(
                    self.older.pass_connection(TransferredConnection(name, self.at_older.pop(name)))
                )

    @precondition(lambda self: self.alive["older"] and self.retired)
    @rule()
    def an_attempt_ends(self) -> None:
        if self.older.phase is PredecessorPhase.SUCCESSOR_OWNS:
            self.told.append(len(self.told) + 1)
            self.done_older(self.older.report_attempt(AttemptSettled(len(self.told), 0, Outcome.OK)))

    @precondition(lambda self: self.alive["older"])
    @rule()
    def waits_no_longer(self) -> None:
        self.done_older(self.older.timed_out())

    @precondition(lambda self: self.alive["older"] and self.retired and not self.at_older)
    @rule()
    def nothing_left(self) -> None:
        self.done_older(self.older.finish())

    @rule(side=st.sampled_from(["older", "newer"]))
    def breaks(self, side: str) -> None:
        if self.alive[side]:
            self.give_up(side)

    @rule(side=st.sampled_from(["older", "newer"]))
    def dies(self, side: str) -> None:
        if sum(self.alive.values()) == 2:
            self.alive[side] = False
            if side == "older":
                self.to_older.clear()
                self.at_older.clear()
            else:
                self.to_newer.clear()
                self.at_newer.clear()
                self.owns = False

    # ---- invariants

    @invariant()
    def one_owner_of_every_budget(self) -> None:
        if self.alive["older"]:  # otherwise the successor is, or will be once it reconnects
            # not retired, or the successor owns it, or its StateAck is unread, or the state is on its way
            on_the_way = self.older.phase is PredecessorPhase.SENDING_STATE
            died = self.took and not self.alive["newer"]  # not noticed by the predecessor yet
            assert (not self.retired) + self.owns == 1 or (on_the_way and not self.owns) or died

    @invariant()
    def one_owner_of_every_connection(self) -> None:
        assert not self.at_older.keys() & self.at_newer.keys()
        if all(self.alive.values()):
            on_the_way = {item.connection for item in (*self.older._unacked, *self.older._waiting)}
            assert self.at_older.keys() | self.at_newer.keys() | on_the_way == self.all.keys()
        for name, data in (*self.at_older.items(), *self.at_newer.items()):
            assert data == self.all[name]

    @invariant()
    def every_request_has_one_answer_or_one_who_owes_it(self) -> None:
        for name, count in self.requests.items():
            assert self.answered.get(name, 0) + (name in self.asked) == count
            reader = self.asked.get(name)
            if reader and self.alive[reader]:
                assert name in (self.at_older if reader == "older" else self.at_newer)

    @invariant()
    def reports_come_once_and_in_order(self) -> None:
        assert self.heard == self.told[: len(self.heard)]

    @invariant()
    def few_descriptors_are_held_twice(self) -> None:
        assert len(self.older._unacked) <= MAX_UNACKED_CONNECTIONS


TestUpgrade = Upgrade.TestCase


def test_an_upgrade_that_goes_well_leaves_nothing_behind() -> None:
    u = Upgrade()
    for name in range(100):
        u.a_client_comes()
        u.a_client_asks(name)
    u.requests_are_read("older")
    u.older_reads(9)
    u.newer_reads(9)
    assert u.newer.phase is SuccessorPhase.STANDBY and not u.owns
    u.told_to_end()
    u.newer_reads(9)
    assert u.owns and u.retired
    u.older_reads(9)
    u.pass_connection(True)
    assert len(u.at_older) == 100  # each owes a response
    u.requests_are_answered("older")
    u.pass_connection(True)
    u.an_attempt_ends()
    u.nothing_left()
    for _ in range(50):
        u.newer_reads(12)
        u.older_reads(12)
    assert u.older.phase is PredecessorPhase.FINISHED and u.newer.phase is SuccessorPhase.STANDALONE
    assert u.at_newer == u.all and u.heard == [1] and not u.at_older
    assert sum(u.answered.values()) == 100


CALLS = {
    PredecessorPhase.STANDALONE: [],
    PredecessorPhase.SUCCESSOR_READY: [Hello()],
    PredecessorPhase.SENDING_STATE: [Hello(), "end"],
    PredecessorPhase.SUCCESSOR_OWNS: [Hello(), "end", StateAck()],
}


@pytest.mark.parametrize(
    ("at", "message"),
    [
        (PredecessorPhase.STANDALONE, StateAck()),
        (PredecessorPhase.STANDALONE, SetOutOfService(True)),
        (PredecessorPhase.SUCCESSOR_READY, StateAck()),
        (PredecessorPhase.SUCCESSOR_READY, ConnectionAck(0)),
        (PredecessorPhase.SUCCESSOR_READY, Done()),
        (PredecessorPhase.SENDING_STATE, ConnectionAck(0)),
        (PredecessorPhase.SENDING_STATE, Welcome()),
        (PredecessorPhase.SUCCESSOR_OWNS, StateAck()),
        (PredecessorPhase.SUCCESSOR_OWNS, ConnectionAck(1)),
        (PredecessorPhase.SUCCESSOR_OWNS, StateChunk(b"")),
        (PredecessorPhase.STANDALONE, "new"),
    ],
)
def test_a_predecessor_takes_no_message_that_makes_no_sense(at: PredecessorPhase, message: Any) -> None:
    older = Predecessor()
    for call in CALLS[at]:
        older.end() if call == "end" else older.receive("link", call)
    assert older.phase is at
    with pytest.raises(ProtocolError):
        older.receive("link", message)


@pytest.mark.parametrize(
    ("before", "message"),
    [
        ([], StateChunk(b"")),
        ([], Done()),
        ([Welcome()], Welcome()),
        ([Welcome()], PassedConnection()),
        ([Welcome()], StateEnd(1, 0)),
        ([Welcome(), StateChunk(b"ab")], StateEnd(2, 0)),
        ([Welcome(), *[StateChunk(b"x" * CHUNK_BYTES)] * (MAX_STATE_BYTES // CHUNK_BYTES)], StateChunk(b"x")),
        ([Welcome(), StateEnd(0, checksum(b"")), "said"], PassedConnection()),
        ([Welcome(), StateEnd(0, checksum(b"")), "said"], StateChunk(b"")),
        ([Welcome(), StateEnd(0, checksum(b"")), "said", DataChunk(b"ab")], PassedConnection(3)),
    ],
)
def test_a_successor_takes_no_message_that_makes_no_sense(before: list[Any], message: Any) -> None:
    newer = Successor()
    for step in before:
        newer.send_result(True) if step == "said" else newer.receive(step)
    with pytest.raises(ProtocolError):
        newer.receive(message, 7 if message == PassedConnection(3) else None)


@pytest.mark.parametrize(
    ("hello", "answer"),
    [
        (Hello(VERSION + 5, VERSION), Welcome(VERSION)),
        (Hello(VERSION, 1), Welcome(VERSION)),
        (Hello(VERSION + 5, VERSION + 1), Rejection),
        (Hello(1, 1), Rejection),
    ],
)
def test_the_newest_version_that_both_speak_is_spoken(hello: Hello, answer: Any) -> None:
    (sent, *_) = Predecessor().receive("link", hello)
    assert isinstance(sent, roles.Send)
    assert sent.message == answer or isinstance(sent.message, answer)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_are_named_as_none(packet: bytes) -> None:
    try:
        assert decode(packet) is not None
    except ProtocolError as error:
        assert str(error)
