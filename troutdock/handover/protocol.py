"""Messages between a process and its successor at an upgrade (no I/O).

The socket is SOCK_SEQPACKET: each message is one packet, delivered complete and in order. A message is a
tagged struct in MessagePack. Unknown fields are ignored, missing fields have defaults, and a message with an
unknown tag is skipped and logged. So either side may run the newer build.

    from the successor (tag)                      sent
    Hello (hello)                 identification  first
    SetOutOfService (wish)        operator call   at any time while it stands by
    StateAck (took)               state imported  once, after StateEnd; the sender then owns the budgets
    ConnectionAck (ack)           connections     after StateAck, each time it has received some
                                  received

    from the predecessor (tag)
    Welcome (welcome)             may stand by    once, after Hello
    Rejection (sorry)             may not         instead of Welcome, or later; the link is closed after it
    StateChunk (state)            part of state   once the process is told to end, as many as needed
    StateEnd (state_end)          end of state    once, with length and checksum
    DataChunk (bytes)             received bytes  before the PassedConnection that they belong to
    PassedConnection (passed)     a connection    with one file descriptor
    AttemptReport (told)          attempt result  at any time after the state
    Done (done)                   end             last

    limit                                         value
    one message                                   CHUNK_BYTES + 512 bytes
    the state                                     MAX_STATE_BYTES
    unacknowledged connections                    MAX_UNACKED_CONNECTIONS
    bytes passed with one connection              MAX_MESSAGE_BYTES
    Hello to Welcome, StateEnd to StateAck        RESPONSE_TIMEOUT_S

VERSION is incremented when a peer that does not know a change would act wrongly on it. Two builds understand
each other if their ranges OLDEST_VERSION to VERSION overlap. Version 1 was untyped; there is no hand-over
between its build and this one, and the newer process starts as after a crash.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from troutdock.admission.interface import AttemptSettled

VERSION, OLDEST_VERSION = 2, 2
CHUNK_BYTES = 32 * 1024  # payload of one packet; several packets fit into the socket's buffer
MAX_PACKET_BYTES = CHUNK_BYTES + 512
MAX_STATE_BYTES = (
    16 * 1024 * 1024
)  # 20,000 remembered idempotent requests and 40,000 customers take about 9 MB
MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # no request body budget is larger
MAX_UNACKED_CONNECTIONS = 32  # open in both processes at once, which share one limit on descriptors
RESPONSE_TIMEOUT_S = 1.0  # the platform waits 6 s until a successor is ready, and 3 s for a process to end


class ProtocolError(Exception):
    """The peer sent a message that no known protocol version allows."""


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """A process asks to become the successor. version, oldest: the range of versions that it supports."""

    version: int = VERSION
    oldest: int = OLDEST_VERSION
    program: str = ""


class SetOutOfService(msgspec.Struct, frozen=True, tag="wish"):
    """An operator call at the successor: takes the ingress out of service, or puts it back."""

    out_of_service: bool


class StateAck(msgspec.Struct, frozen=True, tag="took"):
    """The successor owns the budgets. error: why it could not import the state and started without it."""

    error: str = ""
    left_out: tuple[str, ...] = ()


class ConnectionAck(msgspec.Struct, frozen=True, tag="ack"):
    """Total number of connections received."""

    count: int


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """The successor may stand by. version: the version that both sides use from here on."""

    version: int = VERSION
    program: str = ""


class Rejection(msgspec.Struct, frozen=True, tag="sorry"):
    """The successor may not stand by. superseded: another process has replaced it as successor."""

    reason: str = ""
    superseded: bool = False


class StateChunk(msgspec.Struct, frozen=True, tag="state"):
    """A part of the state."""

    data: bytes


class PredecessorStatus(msgspec.Struct, frozen=True):
    """Status of the predecessor that is not part of the state.

    out_of_service: an operator has taken the ingress out of service. bodies, streams: bytes of long request
    bodies and number of streamed responses that the predecessor holds until it ends. They count against
    budgets that both processes share.
    """

    out_of_service: bool = False
    bodies: int = 0
    streams: int = 0


class StateEnd(msgspec.Struct, frozen=True, tag="state_end"):
    """End of the state: its length, its CRC-32 checksum, and the status of the predecessor."""

    length: int
    checksum: int
    holds: PredecessorStatus = PredecessorStatus()


class DataChunk(msgspec.Struct, frozen=True, tag="bytes"):
    """A part of the bytes received from a client."""

    data: bytes


class PassedConnection(msgspec.Struct, frozen=True, tag="passed"):
    """A client connection. The DataChunks before it hold its received, unanswered bytes.

    began_ms: when the incomplete message began. arrived_ms: when the complete ones arrived. 0: there is none.
    """

    length: int = 0
    began_ms: float = 0.0
    arrived_ms: float = 0.0


class AttemptReport(msgspec.Struct, frozen=True, tag="told"):
    """The outcome of an attempt of the predecessor."""

    settled: AttemptSettled


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The predecessor has sent everything."""


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
    """Encodes a message as one packet."""
    return _encode(message)


def decode(packet: bytes) -> Message | str:
    """Decodes a packet. Returns the tag, cut to 40 characters, if the message type is unknown.

    Raises:
        ProtocolError: the packet is not a message.
    """
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
        raise ProtocolError(f"invalid message: {error}") from error


def common_version(hello: Hello) -> int | None:
    """Returns the newest version that both sides support, or None."""
    newest = min(VERSION, hello.version)
    return newest if newest >= max(OLDEST_VERSION, hello.oldest) else None


def pack_state(state: Any) -> bytes:
    """Encodes the state."""
    return msgspec.msgpack.encode(state)


def unpack_state(data: bytes) -> Any:
    """Decodes the state; raises ProtocolError if that is not possible."""
    try:
        return _any.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the state can't be read: {error}") from error


def checksum(data: bytes) -> int:
    """Returns the CRC-32 checksum."""
    return zlib.crc32(data)
