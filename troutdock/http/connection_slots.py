"""Lines of connections: who has stood how long, for what."""

from __future__ import annotations

import time
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutdock.http.connection import ClientConnection


class ConnectionQueue:
    """Connections in the order of their coming here: each is added, found or dropped in constant time."""

    def __init__(self) -> None:
        self._since: dict[ClientConnection, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def __contains__(self, connection: ClientConnection) -> bool:
        return connection in self._since

    def add(self, connection: ClientConnection) -> None:
        self._since.pop(connection, None)  # else it would keep its old place
        self._since[connection] = time.monotonic()

    def remove(self, connection: ClientConnection) -> bool:
        """False if it was not here."""
        return self._since.pop(connection, None) is not None

    def oldest(self, before: float = inf, without_request: bool = False) -> ClientConnection | None:
        """The one that has been here longest, if it came before that; silent: of those that ask nothing."""
        for connection, since in self._since.items():
            if since >= before:
                return None
            if not (without_request and connection.has_request):
                return connection
        return None

    def added_before(self, before: float = inf) -> list[ClientConnection]:
        """All that came before that time."""
        return [connection for connection, since in self._since.items() if since < before]
