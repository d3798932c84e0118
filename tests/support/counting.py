"""The client of the shared counter and a parser of its calls."""

from __future__ import annotations

import asyncio

from loopback import Peer, until

from troutdock.admission.interface import CounterReply, Outcome
from troutdock.platform.counter import Counter


async def read_call(reader: asyncio.StreamReader) -> bytes:
    """Reads a RESP2 array of bulk strings."""
    parts = []
    for _ in range(int((await reader.readuntil())[1:])):
        size = int((await reader.readuntil())[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return b" ".join(parts)


class Counting:
    """A counter client that records its replies."""

    def __init__(self, peer: Peer, timeout_s: float = 5.0) -> None:
        self.answers: list[CounterReply] = []
        self.counter = Counter(("127.0.0.1", peer.port), timeout_s, self.answers.append)
        self.tried = asyncio.Event()
        self.task = asyncio.create_task(self.counter.run(self.tried))

    async def outcomes(self, count: int) -> list[tuple[int, Outcome, float]]:
        await until(lambda: len(self.answers) >= count)
        return [(a.name, a.outcome, a.total) for a in self.answers]
