"""Queues of client connections, ordered by the time they were added."""

from __future__ import annotations

import time
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutdock.http.connection import ClientConnection


class ConnectionQueue:
    """Connections in the order in which they were added; add, lookup and remove take constant time."""

    def __init__(self) -> None:
        self._since: dict[ClientConnection, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def __contains__(self, connection: ClientConnection) -> bool:
        return connection in self._since

    def add(self, connection: ClientConnection) -> None:
        self._since.pop(connection, None)  # else it would keep its old position
        self._since[connection] = time.monotonic()

    def remove(self, connection: ClientConnection) -> bool:
        """Returns false if the connection was not in the queue."""
        return self._since.pop(connection, None) is not None

    def oldest(self, before: float = inf, without_request: bool = False) -> ClientConnection | None:
        """Returns the connection that was added first, if that was before the given time.

        Args:
            before: time on the monotonic clock.
            without_request: skip connections that are receiving a request or have unread data.
        """
        for connection, since in self._since.items():
            if since >= before:
                return None
            if not (without_request and connection.has_request):
                return connection
        return None

    def added_before(self, before: float = inf) -> list[ClientConnection]:
        """Returns all connections that were added before the given time."""
        return [connection for connection, since in self._since.items() if since < before]
