"""Kernel state of a TCP connection: age of the last data, unread data, and close by the peer."""

from __future__ import annotations

import socket
import struct
from typing import Protocol

_LAST_DATA_RECEIVED = 52  # offset of tcpi_last_data_recv (ms) in Linux's struct tcp_info, linux/tcp.h
_SIZE = _LAST_DATA_RECEIVED + 4
_UNSIGNED = struct.Struct("=I")
_ENDED = (7, 8)  # tcpi_state, the first byte: TCP_CLOSE after a reset, TCP_CLOSE_WAIT after a FIN
_MOST_MS = 60_000  # larger values do not refer to received data


class Socket(Protocol):
    """A socket, or an event loop's wrapper of one."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """As socket.getsockopt."""


def peer_closed(sock: Socket) -> bool:
    """Returns whether the peer has closed its side, even if not yet read; false if unknown."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, AttributeError):
        return False
    return state[0] in _ENDED


def has_unread_data(sock: socket.socket) -> bool:
    """Returns whether the peer has sent data that the event loop has not read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:  # no data, or the connection has ended
        return False


def ms_since_last_data(sock: Socket) -> float:
    """Returns the time since the last data arrived, with a resolution of a few ms; 0 if unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE)
    except (OSError, AttributeError):
        return 0.0
    if len(info) < _SIZE:
        return 0.0
    ago: int = _UNSIGNED.unpack_from(info, _LAST_DATA_RECEIVED)[0]
    return float(ago) if ago < _MOST_MS else 0.0
