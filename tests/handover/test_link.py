"""Hand-over on real sockets: a peer ends after any message, sends invalid data, is silent, or of another user."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from loopback import run, until

from troutdock.admission.interface import Outcome, AttemptSettled
from troutdock.handover import link
from troutdock.handover.link import SOCKET_NAME, PredecessorLink, SuccessorLink
from troutdock.handover.protocol import (
    CHUNK_BYTES,
    ConnectionAck,
    DataChunk,
    Done,
    Hello,
    PredecessorStatus,
    Message,
    PassedConnection,
    Rejection,
    StateChunk,
    StateEnd,
    AttemptReport,
    StateAck,
    Welcome,
    SetOutOfService,
    checksum,
    decode,
    encode,
)
from troutdock.handover.roles import PredecessorPhase, TransferredConnection, SuccessorPhase

STATE = os.urandom(3 * CHUNK_BYTES + 7)


class Older:
    """A fake predecessor host that records its calls."""

    def __init__(self, folder: Path, state: bytes = STATE) -> None:
        self.state, self.log, self.returned = state, [], []
        self.link = PredecessorLink(str(folder), self, "old")

    def begin_handover(self) -> tuple[bytes, PredecessorStatus]:
        self.log.append("retired")
        return self.state, PredecessorStatus(True, 7, 1)

    def ownership_transferred(self) -> None:
        self.log.append("owned")

    def successor_lost(self, state_unused: bool, returned: Iterable[TransferredConnection]) -> None:
        self.log.append("untouched" if state_unused else "lost")
        self.returned += returned

    def set_out_of_service(self, out_of_service: bool) -> None:
        self.log.append(("wished", out_of_service))


class Newer:
    """A fake successor host that records its calls."""

    def __init__(self) -> None:
        self.log: list[Any] = []
        self.items: list[TransferredConnection] = []
        self.link = SuccessorLink(self, "new")

    def import_state(self, state: bytes, holds: PredecessorStatus) -> tuple[str, tuple[str, ...]]:
        self.log.append((state, holds))
        return "", ()

    def become_owner(self, alone: bool) -> None:
        self.log.append("alone" if alone else "owner")

    def adopt(self, item: TransferredConnection) -> None:
        self.items.append(item)

    def settle(self, settled: AttemptSettled) -> None:
        self.log.append(settled)

    def predecessor_ended(self) -> None:
        self.log.append("ended")


async def packet(sock: socket.socket) -> Message | str | None:
    data = await asyncio.get_running_loop().sock_recv(sock, CHUNK_BYTES + 512)
    return decode(data) if data else None


def dialled(folder: Path) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    with link._short_path(str(folder)) as path:
        sock.connect(path)
    return sock


def test_a_whole_upgrade_over_a_long_path(tmp_path: Path) -> None:
    async def test() -> None:
        folder = tmp_path / ("x" * 100) / ("y" * 100)  # longer than the path of a Unix socket may be
        folder.mkdir(parents=True)
        older, newer = Older(folder), Newer()
        assert await newer.link.connect(str(folder))
        newer.link.request_out_of_service(True)
        await until(lambda: older.log == [("wished", True)])
        assert newer.log == [] and newer.link.standing_by
        assert await older.link.end()
        assert newer.log == [(STATE, PredecessorStatus(True, 7, 1)), "owner"] and older.log[1:] == [
            "retired",
            "owned",
        ]
        ends = [socket.socketpair() for _ in range(300)]
        for n, (_, given) in enumerate(ends):
            assert older.link.pass_connection(
                TransferredConnection(given, b"x" * (n % 3 * 40_000), float(n), 2.0)
            )
        for n in range(5):
            older.link.report_attempt(AttemptSettled(n, 0, Outcome.OK))
        await older.link.finish()
        await until(newer.link.finished.is_set)
        assert [told.request for told in newer.log[2:-1]] == [0, 1, 2, 3, 4] and newer.log[-1] == "ended"
        for n, ((mine, _), item) in enumerate(zip(ends, newer.items, strict=True)):
            mine.send(b"x")
            assert item.connection.recv(1) == b"x" and (len(item.data), item.began_ms) == (n % 3 * 40_000, n)
            mine.close()
            item.connection.close()
        assert not older.link.pass_connection(TransferredConnection(None)) and older.returned == []
        older.link.close()

    run(test())


# messages of a successor in order, and the predecessor's log if it ends after the first n of them
SAYS: list[tuple[Message, list[Any]]] = [
    (Hello(), []),
    (SetOutOfService(False), [("wished", False)]),
    (StateAck(), ["retired", "owned"]),
    (ConnectionAck(1), []),
    (ConnectionAck(3), []),
]
LEFT = [[], [], ["retired", "untouched"], ["lost"], ["lost"], ["lost"]]
RETURNED = [0, 0, 0, 3, 2, 0]


@pytest.mark.parametrize("said", range(len(SAYS) + 1))
def test_a_successor_that_ends_after_any_message_leaves_nothing_unowned(tmp_path: Path, said: int) -> None:
    async def test() -> None:
        older, expected = Older(tmp_path), []
        sock = dialled(tmp_path)
        ending, pairs = None, [socket.socketpair() for _ in range(3)]
        for message, logged in SAYS[:said]:
            expected += logged
            if isinstance(message, StateAck):
                ending = asyncio.create_task(older.link.end())
                while not isinstance(await packet(sock), StateEnd):
                    pass
            sock.send(encode(message))
            await until(lambda: older.log == expected)
            if isinstance(message, StateAck):
                for _, given in pairs:
                    older.link.pass_connection(TransferredConnection(given, b"begun"))
        if said == 2:  # it ends while the state is being sent
            ending = asyncio.create_task(older.link.end())
            await until(lambda: older.log[-1:] == ["retired"])
        await asyncio.sleep(0.01)
        sock.close()
        await until(lambda: older.link.role.phase is PredecessorPhase.STANDALONE)
        if ending is not None:
            assert await ending == (said > 2)
        assert older.log == [*expected, *LEFT[said]]
        assert [item.data for item in older.returned] == [b"begun"] * RETURNED[said]
        assert all(item.connection.fileno() >= 0 for item in older.returned)
        older.link.close()
        for mine, given in pairs:
            mine.close()
            given.close()

    run(test())


GIVES: list[Message] = [
    Welcome(),
    StateChunk(STATE[:CHUNK_BYTES]),
    StateChunk(STATE[CHUNK_BYTES : 2 * CHUNK_BYTES]),
    StateChunk(STATE[2 * CHUNK_BYTES : 3 * CHUNK_BYTES]),
    StateChunk(STATE[3 * CHUNK_BYTES :]),
    StateEnd(len(STATE), checksum(STATE)),
    AttemptReport(AttemptSettled(1, 0)),
    DataChunk(b"be"),
    DataChunk(b"gun"),
    PassedConnection(5),
    Done(),
]


@pytest.mark.parametrize("said", range(len(GIVES) + 1))
def test_a_predecessor_that_ends_after_any_message_leaves_its_successor_in_service(
    tmp_path: Path, said: int
) -> None:
    async def test() -> None:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        listener.bind(str(tmp_path / SOCKET_NAME))
        listener.listen()
        newer = Newer()
        asking = asyncio.create_task(newer.link.connect(str(tmp_path)))
        sock, _ = await asyncio.get_running_loop().sock_accept(listener)
        assert isinstance(await packet(sock), Hello)
        other, given = socket.socketpair()
        for message in GIVES[:said]:
            if isinstance(message, PassedConnection):
                socket.send_fds(sock, [encode(message)], [given.fileno()])
            else:
                sock.send(encode(message))
        if said:
            assert await asking
            await until(
                lambda: (
                    newer.link.role.phase
                    is (
                        SuccessorPhase.STANDBY
                        if said < 6
                        else SuccessorPhase.OWNER
                        if said < 11
                        else SuccessorPhase.STANDALONE
                    )
                )
            )
        listener.close()
        sock.close()
        await until(newer.link.finished.is_set)
        if said == 0:
            assert not await asking and newer.log == []  # there is no predecessor
        elif said < 6:
            await until(lambda: newer.log == ["alone"])
        else:
            assert newer.log == [
                (STATE, PredecessorStatus()),
                "owner",
                *[AttemptSettled(1, 0)] * (said > 6),
                "ended",
            ]
        assert [item.data for item in newer.items] == [b"begun"] * (said > 9)
        newer.link.close()
        for end in (other, given, *(item.connection for item in newer.items)):
            end.close()

    run(test())


@pytest.mark.parametrize(
    "nonsense",
    [b"take", b"\xff" * 2000, msgspec.msgpack.encode({"type": "took"}), encode(StateAck()), encode(Done())],
)
def test_nonsense_ends_its_link_and_nothing_else(tmp_path: Path, nonsense: bytes) -> None:
    async def test() -> None:
        older = Older(tmp_path)
        others = [dialled(tmp_path) for _ in range(link.MAX_PENDING_LINKS)]  # silent
        bad = dialled(tmp_path)
        bad.send(nonsense)
        assert await packet(bad) is None
        newer = Newer()
        assert await newer.link.connect(str(tmp_path))
        assert await older.link.end() and newer.log[-1] == "owner"
        late = Newer()
        asking = asyncio.create_task(late.link.connect(str(tmp_path)))
        await asyncio.sleep(0.05)
        older.link.close()  # as at the end of its process
        newer.link.close()
        assert not await asking and late.log == []
        for sock in [*others, bad]:
            sock.close()

    run(test())


def test_a_successor_that_does_not_take_the_state_in_time_is_not_the_owner(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The successor hangs, reconnects later, and then becomes the owner."""
    monkeypatch.setattr(link, "RESPONSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        older, newer = Older(tmp_path), Newer()
        assert await newer.link.connect(str(tmp_path))
        asyncio.get_running_loop().remove_reader(newer.link._socket.sock.fileno())  # it hangs
        assert not await older.link.end()
        assert older.log == ["retired", "untouched"]
        newer.link._socket._read()
        await until(lambda: newer.log[-1:] == ["owner"])
        await until(lambda: len(older.log) >= 4)  # the acknowledgement is read one turn of the loop later
        assert older.log[2:] == ["retired", "owned"]
        older.link.close()

    run(test())


def test_a_predecessor_that_says_nothing_is_waited_for_no_longer_than_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(link, "RESPONSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as mute:
            mute.bind(str(tmp_path / SOCKET_NAME))
            mute.listen()
            newer = Newer()
            assert not await newer.link.connect(str(tmp_path)) and newer.link.finished.is_set()
        assert not await Newer().link.connect(str(tmp_path))  # nobody listens there any more
        assert not await Newer().link.connect(str(tmp_path / "nowhere"))

    run(test())


def test_a_process_of_another_user_is_turned_away_at_either_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        older = Older(tmp_path)
        monkeypatch.setattr(link, "_same_user", lambda sock: False)
        assert not await Newer().link.connect(str(tmp_path))
        sock = dialled(tmp_path)
        assert await packet(sock) is None
        sock.close()
        older.link.close()

    run(test())


def test_a_message_of_a_newer_program_is_left_out(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        older = Older(tmp_path)
        sock = dialled(tmp_path)
        sock.send(msgspec.msgpack.encode({"type": "hello", "version": 7, "oldest": 2, "mood": "good"}))
        assert await packet(sock) == Welcome(2, "old")
        sock.send(msgspec.msgpack.encode({"type": "weather", "sky": "blue"}))
        sock.send(encode(SetOutOfService(True)))
        await until(lambda: older.log == [("wished", True)])
        sock.close()
        older.link.close()

    run(test())
    assert "ignored message 'weather' of a newer build" in caplog.text


def test_versions_without_a_common_one_part_with_a_reason(tmp_path: Path) -> None:
    async def test() -> None:
        older = Older(tmp_path)
        sock = dialled(tmp_path)
        sock.send(encode(Hello(9, 8)))
        assert await packet(sock) == Rejection("no common version with 8 to 9")
        assert await packet(sock) is None
        sock.close()
        older.link.close()

    run(test())
