"""Inherited from the platform by environment variables: the listening socket and the management address."""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping

from troutdock.address import Address, parse_address
from troutdock.platform.config import ConfigError


def inherited_socket(environ: Mapping[str, str]) -> socket.socket | None:
    """Returns the listening socket whose descriptor RELAY_SOCKET_FD names, or None if it is not set.

    Raises:
        ConfigError: it is not a listening TCP socket.
    """
    if not (text := environ.get("RELAY_SOCKET_FD")):
        return None
    try:
        fd = int(text)
        os.fstat(fd)
        sock = socket.socket(fileno=fd)
    except (ValueError, OSError) as error:
        raise ConfigError(f"RELAY_SOCKET_FD: {text!r} is no socket: {error}") from error
    try:
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if sock.type != socket.SOCK_STREAM or not listens:
        sock.detach()
        raise ConfigError(f"RELAY_SOCKET_FD: {text} is no listening socket")
    return sock


def management_address(text: str) -> Address:
    """Parses the management address of RELAY_MANAGEMENT; ConfigError if it is invalid."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"RELAY_MANAGEMENT: {error}") from error
