"""A crowd of impatient clients, as a process: it asks at a given pace whatever becomes of its requests.

    python -m benchmarks.crowd PORTS RATE SECONDS SEED HONOUR

PORTS with commas; HONOUR: the part that heeds Retry-After. A request is tried up to three times within its
deadline: after a refusal at the time told or, by those that don't heed, after 20 to 80 ms; after an error or
SILENCE_S without an answer at once. It prints a line of JSON: for each second, by the request's first try,
how many there were, and how many were served within AIM_S; and the tries.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import uvloop

AIM_S, DEADLINE_S, SILENCE_S, TRIES = 1.5, 4.0, 1.3, 3  # the class's aim and limit, and a patience between


class _Connection(asyncio.Protocol):
    def __init__(self, pool: deque[_Connection]) -> None:
        self.pool, self.told, self.pending = pool, None, b""
        self.told: Callable[[int, float], None] | None
        self.open = False

    def connection_made(self, transport: Any) -> None:
        self.transport, self.open = transport, True

    def ask(self, message: bytes, told: Callable[[int, float], None]) -> None:
        self.told, self.pending = told, b""
        self.transport.write(message)

    def data_received(self, data: bytes) -> None:
        self.pending += data
        head, end, rest = self.pending.partition(b"\r\n\r\n")
        if not end:
            return
        lowered = head.lower()
        if len(rest) < int(lowered.partition(b"content-length: ")[2].partition(b"\r\n")[0]):
            return
        wait = lowered.partition(b"retry-after: ")[2].partition(b"\r\n")[0]
        if b"connection: close" in lowered:
            self.open = False
            self.transport.close()
        else:
            self.pool.append(self)
        self._tell(int(head[9:12]), float(wait or 0))

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self._tell(0, 0.0)

    def _tell(self, status: int, wait_s: float) -> None:
        told, self.told = self.told, None
        if told is not None:
            told(status, wait_s)

    def leave(self) -> None:
        self.told, self.open = None, False
        self.transport.abort()


class Crowd:
    def __init__(self, ports: list[int], rate: float, seconds: int, seed: int, honour: float) -> None:
        self.ports, self.rate, self.seconds, self.honour = ports, rate, seconds, honour
        self.random, self.seed = Random(seed), seed
        self.loop = asyncio.get_running_loop()
        self.pools: dict[int, deque[_Connection]] = {port: deque() for port in ports}
        self.asked, self.served = [0] * seconds, [0] * seconds
        self.tries = self.number = 0

    async def run(self) -> None:
        began = self.loop.time()
        due = began
        while (now := self.loop.time()) - began < self.seconds:
            while due <= now:
                second = int(due - began)
                due += self.random.expovariate(self.rate)
                if second < self.seconds:
                    self.asked[second] += 1
                    self._try(second, self.loop.time(), 1)
            await asyncio.sleep(0.002)
        await asyncio.sleep(DEADLINE_S)

    def _try(self, second: int, began: float, number: int) -> None:
        self.tries += 1
        self.loop.create_task(self._ask(second, began, number))

    async def _ask(self, second: int, began: float, number: int) -> None:
        port = self.random.choice(self.ports)
        pool, connection = self.pools[port], None
        while pool and connection is None:
            connection = pool.pop()
            if not connection.open:
                connection = None
        if connection is None:
            try:
                _, connection = await asyncio.wait_for(
                    self.loop.create_connection(lambda: _Connection(pool), "127.0.0.1", port), SILENCE_S
                )
            except (OSError, TimeoutError):
                self._again(second, began, number, 0.0)
                return
        self.number += 1
        customer = self.random.randrange(2000)
        left = DEADLINE_S - (self.loop.time() - began)
        if left <= 0 or not connection.open:
            self._again(second, began, number, 0.0)
            return
        mark = b"Client-Retry: 1\r\n" if number > 1 else b""
        message = (
            b"GET /ledger-read/7 HTTP/1.1\r\nHost: x\r\nRequest-Id: %08x%08x\r\nPlan: open\r\n"
            b"Account: %016x\r\nRequest-Timeout: %.3f\r\n"
            b"Quota-Info: units=1,spread=1,first=0\r\n%b\r\n" % (self.seed, self.number, customer, left, mark)
        )
        asked = connection

        def told(status: int, wait_s: float) -> None:
            timer.cancel()
            if status == 200:
                self.served[second] += self.loop.time() - began <= AIM_S
            elif status == 429 and wait_s and self.random.random() < self.honour:
                self._again(second, began, number, wait_s)
            else:
                self._again(second, began, number, 0.02 + 0.06 * self.random.random() if status else 0.0)

        def silent() -> None:
            asked.leave()
            self._again(second, began, number, 0.0)

        timer = self.loop.call_later(min(SILENCE_S, left), silent)
        connection.ask(message, told)

    def _again(self, second: int, began: float, number: int, after_s: float) -> None:
        if number < TRIES and self.loop.time() + after_s - began < DEADLINE_S:
            self.loop.call_later(after_s, self._try, second, began, number + 1)


async def _main(words: list[str]) -> None:
    ports = [int(port) for port in words[0].split(",")]
    crowd = Crowd(ports, float(words[1]), int(words[2]), int(words[3]), float(words[4]))
    await crowd.run()
    print(json.dumps({"asked": crowd.asked, "served": crowd.served, "tries": crowd.tries}))


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1:]))
