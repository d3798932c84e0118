"""An open-loop load generator: sends requests at a given rate, whatever their results.

    python -m benchmarks.crowd PORTS RATE SECONDS SEED HONOUR

PORTS with commas; HONOUR: the fraction of clients that honour Retry-After. A request is attempted up to
three times within its deadline. After a rejection, the retry follows at the time of Retry-After, or after
20 to 80 ms from clients that ignore it; after an error or RESPONSE_TIMEOUT_S without a response, at once.
Prints a line of JSON: for each second, by the first attempt, the number of requests and of those served
within TARGET_LATENCY_S; and the number of attempts.
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

# the class's latency target and deadline, and a client time-out shorter than both
TARGET_LATENCY_S, DEADLINE_S, RESPONSE_TIMEOUT_S, MAX_ATTEMPTS = 1.5, 4.0, 1.3, 3


class _Connection(asyncio.Protocol):
    def __init__(self, pool: deque[_Connection]) -> None:
        self.pool, self.on_response, self.pending = pool, None, b""
        self.on_response: Callable[[int, float], None] | None
        self.open = False

    def connection_made(self, transport: Any) -> None:
        self.transport, self.open = transport, True

    def send(self, message: bytes, on_response: Callable[[int, float], None]) -> None:
        self.on_response, self.pending = on_response, b""
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
        self._report(int(head[9:12]), float(wait or 0))

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self._report(0, 0.0)

    def _report(self, status: int, wait_s: float) -> None:
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(status, wait_s)

    def abort(self) -> None:
        self.on_response, self.open = None, False
        self.transport.abort()


class LoadGenerator:
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
                    self._start_attempt(second, self.loop.time(), 1)
            await asyncio.sleep(0.002)
        await asyncio.sleep(DEADLINE_S)

    def _start_attempt(self, second: int, began: float, number: int) -> None:
        self.tries += 1
        self.loop.create_task(self._attempt(second, began, number))

    async def _attempt(self, second: int, began: float, number: int) -> None:
        port = self.random.choice(self.ports)
        pool, connection = self.pools[port], None
        while pool and connection is None:
            connection = pool.pop()
            if not connection.open:
                connection = None
        if connection is None:
            try:
                _, connection = await asyncio.wait_for(
                    self.loop.create_connection(lambda: _Connection(pool), "127.0.0.1", port),
                    RESPONSE_TIMEOUT_S,
                )
            except (OSError, TimeoutError):
                self._retry(second, began, number, 0.0)
                return
        self.number += 1
        customer = self.random.randrange(2000)
        left = DEADLINE_S - (self.loop.time() - began)
        if left <= 0 or not connection.open:
            self._retry(second, began, number, 0.0)
            return
        mark = b"Client-Retry: 1\r\n" if number > 1 else b""
        message = (
            b"GET /ledger-read/7 HTTP/1.1\r\nHost: x\r\nRequest-Id: %08x%08x\r\nPlan: open\r\n"
            b"Account: %016x\r\nRequest-Timeout: %.3f\r\n"
            b"Quota-Info: units=1,spread=1,first=0\r\n%b\r\n" % (self.seed, self.number, customer, left, mark)
        )
        asked = connection

        def on_response(status: int, wait_s: float) -> None:
            timer.cancel()
            if status == 200:
                self.served[second] += self.loop.time() - began <= TARGET_LATENCY_S
            elif status == 429 and wait_s and self.random.random() < self.honour:
                self._retry(second, began, number, wait_s)
            else:
                self._retry(second, began, number, 0.02 + 0.06 * self.random.random() if status else 0.0)

        def on_timeout() -> None:
            asked.abort()
            self._retry(second, began, number, 0.0)

        timer = self.loop.call_later(min(RESPONSE_TIMEOUT_S, left), on_timeout)
        connection.send(message, on_response)

    def _retry(self, second: int, began: float, number: int, after_s: float) -> None:
        if number < MAX_ATTEMPTS and self.loop.time() + after_s - began < DEADLINE_S:
            self.loop.call_later(after_s, self._start_attempt, second, began, number + 1)


async def _main(arguments: list[str]) -> None:
    ports = [int(port) for port in arguments[0].split(",")]
    generator = LoadGenerator(
        ports, float(arguments[1]), int(arguments[2]), int(arguments[3]), float(arguments[4])
    )
    await generator.run()
    print(json.dumps({"asked": generator.asked, "served": generator.served, "tries": generator.tries}))


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1:]))
