"""What an older process and its successor say to one another at an upgrade (no I/O).

The socket is SOCK_SEQPACKET: a message is a packet, whole and in order, or there is none. Each is a tagged
struct in MessagePack; unknown fields are skipped, missing ones have defaults, and a message of an unknown
tag is left out and said in the log. So each side may be the newer program.

    from the successor                       when
    Hello      who it is                     first
    Wish       its operator's word           any time while it stands by
    Took       it has the state, or not      once, after StateEnd; from a Took without error it is the owner
    Ack        how many connections it has   after Took, each time it has read some

    from the older process
    Welcome    it may stand by               once, after Hello
    Sorry      it may not, and why           in place of Welcome, or later; then the end
    State      a piece of the state          once it is told to end, as often as it takes
    StateEnd   the state is whole            once, with length and checksum to prove it
    Bytes      a piece of a message          before the Passed that they belong to
    Passed     a client's connection         with one descriptor
    Told       what an attempt has come to   any time after Took
    Done       nothing more comes            last

    limit                                    value
    one message                              PIECE + 512 bytes
    the state                                MAX_STATE bytes
    connections not acknowledged             WINDOW
    a message's bytes with its connection    MAX_MESSAGE bytes
    Hello to Welcome, StateEnd to Took       ANSWER_S seconds

VERSION grows when a side that does not know of a change would act wrongly on it; two programs understand
each other if the ranges OLDEST to VERSION meet. Version 1 was untyped; its program and this one take nothing
over from one another, and the newer starts as after a crash.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from troutdock.admission.interface import AttemptSettled

VERSION, OLDEST_VERSION = 2, 2
CHUNK_BYTES = (
    32 * 1024
)  # bytes of the state or of a message in one packet: a few fit into the socket's buffer
MAX_PACKET_BYTES = CHUNK_BYTES + 512
MAX_STATE_BYTES = 16 * 1024 * 1024  # bytes: 20,000 remembered payments and 40,000 customers take some 9 MB
MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # bytes: no budget for clients' bodies is larger
MAX_UNACKED_CONNECTIONS = (
    32  # descriptors that two processes hold at once; more would strain the one limit on both
)
RESPONSE_TIMEOUT_S = 1.0  # the platform waits 6 s for a successor's yes, and for 3 s at an end


class ProtocolError(Exception):
    """The other side said what no program of a known version says."""


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """A process that would be the successor; versions that it speaks."""

    version: int = VERSION
    oldest: int = OLDEST_VERSION
    program: str = ""


class SetOutOfService(msgspec.Struct, frozen=True, tag="wish"):
    """The successor's operator takes the ingress out of service, or puts it back."""

    out_of_service: bool


class StateAck(msgspec.Struct, frozen=True, tag="took"):
    """The state has been taken; or not: then the successor has started from nothing, for that reason."""

    error: str = ""
    left_out: tuple[str, ...] = ()


class ConnectionAck(msgspec.Struct, frozen=True, tag="ack"):
    """Connections that have come, in all."""

    count: int


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """The successor may stand by; the version that both speak from here on."""

    version: int = VERSION
    program: str = ""


class Rejection(msgspec.Struct, frozen=True, tag="sorry"):
    """The successor may not stand by any longer. superseded: another one does in its place."""

    reason: str = ""
    superseded: bool = False


class StateChunk(msgspec.Struct, frozen=True, tag="state"):
    """A piece of the state."""

    data: bytes


class PredecessorStatus(msgspec.Struct, frozen=True):
    """What else the older process has, which the successor is to know.

    out_of_service: an operator has taken the ingress out. bodies, streams: bytes of clients' long bodies and
    long answers that it holds to its end, of budgets that are one for both.
    """

    out_of_service: bool = False
    bodies: int = 0
    streams: int = 0


class StateEnd(msgspec.Struct, frozen=True, tag="state_end"):
    """The state is whole: its length, its CRC-32, and what else the older process has."""

    length: int
    checksum: int
    holds: PredecessorStatus = PredecessorStatus()


class DataChunk(msgspec.Struct, frozen=True, tag="bytes"):
    """A piece of what a client has sent."""

    data: bytes


class PassedConnection(msgspec.Struct, frozen=True, tag="passed"):
    """A client's connection; the bytes before it are the beginning of its next message, or more.

    began_ms: when the message began that is not whole. arrived_ms: when those came that are. 0: none.
    """

    length: int = 0
    began_ms: float = 0.0
    arrived_ms: float = 0.0


class AttemptReport(msgspec.Struct, frozen=True, tag="told"):
    """What an attempt has come to."""

    settled: AttemptSettled


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The older process has nothing more to give."""


Message = (
    Hello
    | SetOutOfService
    | StateAck
    | ConnectionAck
    | Welcome
    | Rejection
    | StateChunk
    | StateEnd
    | DataChunk
    | PassedConnection
    | AttemptReport
    | Done
)
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Message)
_any = msgspec.msgpack.Decoder()


def encode(message: Message) -> bytes:
    """One packet."""
    return _encode(message)


def decode(packet: bytes) -> Message | str:
    """The message, or the tag of one that is not known here; ProtocolError if it is neither."""
    try:
        return _decoder.decode(packet)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        try:
            raw = _any.decode(packet)
        except (msgspec.DecodeError, UnicodeDecodeError):
            raw = None
        tag = raw.get("type") if isinstance(raw, dict) else None
        if isinstance(tag, str) and not any(tag == kind.__struct_config__.tag for kind in Message.__args__):
            return tag[:40]
        raise ProtocolError(f"no message: {error}") from error


def common_version(hello: Hello) -> int | None:
    """The newest version that both sides speak."""
    newest = min(VERSION, hello.version)
    return newest if newest >= max(OLDEST_VERSION, hello.oldest) else None


def pack_state(state: Any) -> bytes:
    """The state as bytes."""
    return msgspec.msgpack.encode(state)


def unpack_state(data: bytes) -> Any:
    """And back; ProtocolError if it is none."""
    try:
        return _any.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the state can't be read: {error}") from error


def checksum(data: bytes) -> int:
    """CRC-32."""
    return zlib.crc32(data)
