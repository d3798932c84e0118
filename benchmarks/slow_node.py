"""A node of the rigs whose work takes time: so many requests at once, a queue, and 503 when that is full.

Its arguments: port, requests at once, milliseconds of work for each, length of the queue.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque

import uvloop

from benchmarks.processes import ANSWER

FULL = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class Work:
    """What all connections of a node share."""

    def __init__(self, at_once: int, work_ms: float, queue: int) -> None:
        self.free, self.work_s, self.most = at_once, work_ms / 1000, queue
        self.queue: deque[_Node] = deque()

    def take(self, connection: _Node) -> None:
        if self.free:
            self.free -= 1
            asyncio.get_running_loop().call_later(self.work_s, self._done, connection)
        elif len(self.queue) < self.most:
            self.queue.append(connection)
        else:
            connection.write(FULL)

    def _done(self, connection: _Node) -> None:
        connection.write(ANSWER)
        self.free += 1
        while self.queue:
            following = self.queue.popleft()
            if not following.gone:
                self.take(following)
                return


class _Node(asyncio.Protocol):
    def __init__(self, work: Work) -> None:
        self.work, self.gone = work, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.gone = True

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self.work.take(self)

    def write(self, data: bytes) -> None:
        if not self.gone:
            self._transport.write(data)  # type: ignore[attr-defined]


async def _serve(port: int, work: Work) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Node(work), "127.0.0.1", port, backlog=1024)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(_serve(int(sys.argv[1]), Work(int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4]))))
