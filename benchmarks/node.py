"""A backend of the benchmarks that answers each request at once. Its only argument is its port."""

from __future__ import annotations

import asyncio
import sys

import uvloop

from benchmarks.processes import ANSWER


class _Node(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):  # the benchmark's requests have no body
            self._transport.write(ANSWER)  # type: ignore[attr-defined]


async def _serve(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(_Node, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(_serve(int(sys.argv[1])))
