"""Interface of the daemon to additional fronts and transports."""

from __future__ import annotations

from typing import Protocol

from troutdock.engine import Engine
from troutdock.http.listener import Server
from troutdock.http.transport import HttpTransport
from troutdock.overload.lag import EventLoopLag


class Host(Protocol):
    """The part of the daemon that additional fronts and transports use."""

    @property
    def engine(self) -> Engine:
        """The engine shared by all fronts."""

    @property
    def server(self) -> Server:
        """The listener for clients."""

    @property
    def transport(self) -> HttpTransport:
        """The HTTP transport to the platform's backends."""

    @property
    def lag(self) -> EventLoopLag:
        """The measured event loop lag of this process."""

    @property
    def times_s(self) -> tuple[float, float]:
        """Connect timeout, and the time after which a backend closes an idle connection, in seconds."""
