"""An HTTP/2 connection on a socket: feeds received bytes to the state machine and writes its output."""

from __future__ import annotations

import asyncio
from typing import cast

from troutdock.http2.connection import Connection
from troutdock.http2.frames import H2ConnectionError


class SocketConnection(asyncio.Protocol):
    """Base of the connections of clients and backends; the subclass is the http2.Handler."""

    h2: Connection
    transport: asyncio.Transport | None = None
    _feeding = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's class does not derive from asyncio.Transport
        self.transport = cast(asyncio.Transport, transport)

    def feed(self, data: bytes, now: float) -> str:
        """Processes received bytes and writes the output.

        Returns:
            The reason if the bytes caused a connection error, else "".
        """
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
        """Writes pending output; during feed() this is left to its end."""
        if not self._feeding and self.h2.out and self.transport is not None:
            data = self.h2.data_to_send()
            if not self.transport.is_closing():
                self.transport.write(data)
