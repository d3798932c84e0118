"""Measures the memory of an ingress while many clients read long responses slowly.

    python -m benchmarks.slow_readers [--clients 150] [--megabytes 4] [--seconds 6]

One daemon, nine nodes that write as fast as they are read, clients that read 64 KiB a second each. Prints the
daemon's resident memory before and at its peak, and the number of responses that started.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import resource
import socket
from pathlib import Path

from benchmarks.processes import daemon

CHUNK = b"x" * 65536


async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, megabytes: int) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (megabytes * 16 * len(CHUNK)))
            for _ in range(megabytes * 16):
                writer.write(CHUNK)
                await writer.drain()
    writer.close()


async def client(port: int, number: int, until: float, began: list[int]) -> None:
    """Connects shortly after the previous client; retries if rejected."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(number * 0.01)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", port))
    while loop.time() < until:
        number += 1_000_000
        await loop.sock_sendall(
            sock,
            (
                f"GET /ledger-read/7 HTTP/1.1\r\nHost: x\r\nRequest-Id: {number:016x}\r\nPlan: open\r\n"
                f"Account: {number % 1_000_000:016x}\r\nRequest-Timeout: 4.000\r\n"
                f"Quota-Info: units=1,spread=1,first=0\r\n\r\n"
            ).encode(),
        )
        if (await loop.sock_recv(sock, 1024)).startswith(b"HTTP/1.1 200"):
            began.append(number)
            break
        await asyncio.sleep(0.1)
    while loop.time() < until:
        await loop.sock_recv(sock, 32 * 1024)
        await asyncio.sleep(0.5)
    sock.close()


def resident_kib(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--clients", type=int, default=150)
    parser.add_argument("--megabytes", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=6)
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))
    nodes = [
        await asyncio.start_server(lambda r, w: node(r, w, options.megabytes), "127.0.0.1", 0)
        for _ in range(9)
    ]
    with daemon([n.sockets[0].getsockname()[1] for n in nodes]) as (pid, port):
        before = peak = resident_kib(pid)
        began: list[int] = []
        loop = asyncio.get_running_loop()
        until = loop.time() + options.seconds
        clients = [asyncio.create_task(client(port, n + 1, until, began)) for n in range(options.clients)]
        while loop.time() < until:
            await asyncio.sleep(0.1)
            peak = max(peak, resident_kib(pid))
        await asyncio.wait(clients, timeout=2)
        print(
            f"{len(began)} of {options.clients} answers began; resident {before / 1024:.0f} MiB before, "
            f"{peak / 1024:.0f} at its highest"
        )


if __name__ == "__main__":
    asyncio.run(main())
