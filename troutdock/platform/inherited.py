"""What the platform hands to a process by its environment: the clients' socket, the operators' address."""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping

from troutdock.address import Address, parse_address
from troutdock.platform.config import ConfigError


def inherited_socket(environ: Mapping[str, str]) -> socket.socket | None:
    """The listening socket that RELAY_SOCKET_FD names by its descriptor; None where it names none.

    ConfigError if it is no listening TCP socket: whoever started this process meant another one.
    """
    if not (text := environ.get("RELAY_SOCKET_FD")):
        return None
    try:
        fd = int(text)
        os.fstat(fd)
        held = socket.socket(fileno=fd)
    except (ValueError, OSError) as error:
        raise ConfigError(f"RELAY_SOCKET_FD: {text!r} is no socket: {error}") from error
    try:
        listens = held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if held.type != socket.SOCK_STREAM or not listens:
        held.detach()
        raise ConfigError(f"RELAY_SOCKET_FD: {text} is no listening socket")
    return held


def management_address(text: str) -> Address:
    """The operators' address of RELAY_MANAGEMENT; ConfigError if it is none."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"RELAY_MANAGEMENT: {error}") from error
