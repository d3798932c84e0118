"""An HTTP/2 connection on a socket: bytes read go to its state machine, what that has to say is written."""

from __future__ import annotations

import asyncio
from typing import cast

from troutdock.http2.connection import Connection
from troutdock.http2.frames import H2ConnectionError


class SocketConnection(asyncio.Protocol):
    """A client's or a node's; the subclass is the state machine's handler."""

    h2: Connection
    transport: asyncio.Transport | None = None
    _feeding = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by name

    def feed(self, data: bytes, now: float) -> str:
        """Take in bytes, and write what that calls for; why the connection has ended by them, if it has."""
        self._feeding = True
        try:
            self.h2.receive(data, now)
        except H2ConnectionError as error:
            self.h2.goaway(error.code, error.reason)
            return error.reason
        finally:
            self._feeding = False
            self.flush()
        return ""

    def flush(self) -> None:
        """Write what has gathered; while bytes are read, once they are."""
        if not self._feeding and self.h2.out and self.transport is not None:
            data = self.h2.data_to_send()
            if not self.transport.is_closing():
                self.transport.write(data)
