"""What the kernel knows of a connection that is handled late: its last bytes, what is unread, its end."""

from __future__ import annotations

import socket
import struct
from typing import Protocol

_LAST_DATA_RECEIVED = 52  # byte at which Linux's struct tcp_info has tcpi_last_data_recv (linux/tcp.h), in ms
_SIZE = _LAST_DATA_RECEIVED + 4
_UNSIGNED = struct.Struct("=I")
_ENDED = (7, 8)  # in struct tcp_info's first byte: TCP_CLOSE after a reset, TCP_CLOSE_WAIT after a FIN
_MOST_MS = 60_000  # beyond that the kernel speaks of something else


class Socket(Protocol):
    """A socket, or what an event loop shows of one."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """As the system call."""


def peer_closed(sock: Socket) -> bool:
    """The peer has ended its side, which the loop has not read yet; false where the system does not tell."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, AttributeError):
        return False
    return state[0] in _ENDED


def has_unread_data(sock: socket.socket) -> bool:
    """Bytes of the peer's have come that the loop has not read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:  # none, or the connection has ended
        return False


def ms_since_last_data(sock: Socket) -> float:
    """Milliseconds since the last bytes arrived, in steps of a few; 0 where the system does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE)
    except (OSError, AttributeError):
        return 0.0
    if len(info) < _SIZE:
        return 0.0
    ago: int = _UNSIGNED.unpack_from(info, _LAST_DATA_RECEIVED)[0]
    return float(ago) if ago < _MOST_MS else 0.0
