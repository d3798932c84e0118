"""A backend of the benchmarks with limited concurrency and a queue; answers 503 when the queue is full.

Arguments: port, concurrent requests, milliseconds of work per request, queue length.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque

import uvloop

from benchmarks.processes import ANSWER

FULL = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class Work:
    """The worker slots and the queue, shared by all connections of a node."""

    def __init__(self, concurrency: int, work_ms: float, queue: int) -> None:
        self.free, self.work_s, self.max_queue = concurrency, work_ms / 1000, queue
        self.queue: deque[_Node] = deque()

    def submit(self, connection: _Node) -> None:
        if self.free:
            self.free -= 1
            asyncio.get_running_loop().call_later(self.work_s, self._done, connection)
        elif len(self.queue) < self.max_queue:
            self.queue.append(connection)
        else:
            connection.write(FULL)

    def _done(self, connection: _Node) -> None:
        connection.write(ANSWER)
        self.free += 1
        while self.queue:
            following = self.queue.popleft()
            if not following.gone:
                self.submit(following)
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
            self.work.submit(self)

    def write(self, data: bytes) -> None:
        if not self.gone:
            self._transport.write(data)  # type: ignore[attr-defined]


async def _serve(port: int, work: Work) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Node(work), "127.0.0.1", port, backlog=1024)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(_serve(int(sys.argv[1]), Work(int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4]))))
