"""Measures CPU per unary gRPC call, through the daemon and a plain grpcio proxy, and per HTTP/1.1 call.

    python -m benchmarks.grpc_cost [--calls 4000] [--rounds 5] [--streams 1000]

Both paths use one node and one client on grpcio in separate processes. The process in the middle is measured,
the paths in turn, round by round. First measures the memory of idle connections and of open streams.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from benchmarks.processes import cpu_s, daemon, free_port, load, memory_mb, node, process

PATH = "/ledger.Ledger/Read"
METADATA = (("account", "0000000000000009"), ("plan", "open"), ("quota-info", "units=1,spread=1,first=0"))


async def serve_node(port: int) -> None:
    """Serves 64-byte responses, or a stream with one message that never ends."""
    import grpc

    async def answer(request: bytes, context: Any) -> bytes:
        return b"y" * 64

    async def hang(request: bytes, context: Any) -> Any:
        yield b"y" * 64
        await asyncio.sleep(3600)

    class All(grpc.GenericRpcHandler):
        def service(self, details: Any) -> Any:
            if details.method.endswith("Hang"):
                return grpc.unary_stream_rpc_method_handler(hang)
            return grpc.unary_unary_rpc_method_handler(answer)

    server = grpc.aio.server()
    server.add_generic_rpc_handlers((All(),))
    server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    await server.wait_for_termination()


async def serve_proxy(port: int, to: int) -> None:
    """Serves a plain proxy: one channel; forwards each call with its metadata and the remaining time."""
    import grpc

    channel = grpc.aio.insecure_channel(f"127.0.0.1:{to}")

    async def forward(request: bytes, context: Any) -> bytes:
        call = channel.unary_unary(PATH)
        answer: bytes = await call(
            request, timeout=context.time_remaining(), metadata=tuple(context.invocation_metadata())
        )
        return answer

    class All(grpc.GenericRpcHandler):
        def service(self, details: Any) -> Any:
            return grpc.unary_unary_rpc_method_handler(forward)

    server = grpc.aio.server()
    server.add_generic_rpc_handlers((All(),))
    server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    await server.wait_for_termination()


async def calls(port: int, number: int, at_once: int) -> int:
    """Sends unary calls; returns the number served."""
    import grpc

    served = 0
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary(PATH)

        async def one(first: int) -> None:
            nonlocal served
            for n in range(number // at_once):
                told = (*METADATA, ("request-id", f"{first:08x}{n:08x}"))
                try:
                    await call(b"x" * 64, timeout=2.0, metadata=told)
                    served += 1
                except grpc.aio.AioRpcError:
                    pass

        await asyncio.gather(*(one(n) for n in range(at_once)))
    return served


@contextmanager
def ingress(to: int) -> Iterator[tuple[int, int]]:
    """Runs the daemon with gRPC and one node; yields its process id and port."""
    rows = [
        {"path": PATH, "class": "ledger-read"},
        {"path": "/ledger.Ledger/Hang", "class": "ledger-read", "kind": "server-streaming"},
    ]
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder) / "operator.yaml"
        operator.write_text(json.dumps({"grpc": {"methods": rows}}))
        with daemon([to], TROUTDOCK_OPERATOR=str(operator)) as found:
            yield found


def compare(number: int, rounds: int, at_once: int, ways: dict[str, tuple[int, int, str]]) -> None:
    """Prints the microseconds per call of each path: median of the rounds, and ratio to the first."""
    took: dict[str, list[float]] = {name: [] for name in ways}
    for turn in range(rounds + 1):
        for name, (pid, port, kind) in ways.items():
            before = cpu_s(pid)
            served = (
                load(port, number, at_once).get(200, 0)
                if kind == "http"
                else asyncio.run(calls(port, number, at_once))
            )
            if turn:  # the first round warms up
                took[name].append((cpu_s(pid) - before) / max(1, served) * 1e6)
    first = statistics.median(next(iter(took.values())))
    for name, row in took.items():
        middle = statistics.median(row)
        print(f"  {at_once:3} at once  {name:16} {middle:6.0f} us, {middle / first:.2f} of the first")


def memory(pid: int, port: int, idle: int, streams: int) -> None:
    """Measures memory per idle connection, and of open streams whose clients have read all messages."""
    import grpc

    async def hold_open() -> None:
        began = memory_mb(pid)
        channels = []
        for _ in range(idle):
            options = [("grpc.use_local_subchannel_pool", 1)]  # a connection of its own
            channels.append(grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=options))
            await channels[-1].unary_unary(PATH)(b"x", metadata=METADATA, timeout=5)
        grown = (memory_mb(pid) - began) * 1024 / idle
        print(f"  {idle} idle connections, one call made on each: {grown:.1f} KiB each")
        began, open_streams = memory_mb(pid), []
        for n in range(streams):
            call = channels[n % idle].unary_stream("/ledger.Ledger/Hang")(b"x", metadata=METADATA)
            open_streams.append(call)
            await call.read()
        print(f"  {streams} open streams: {memory_mb(pid) - began:.1f} MB")
        for call in open_streams:
            call.cancel()
        for channel in channels:
            await channel.close()

    asyncio.run(hold_open())


def main() -> None:
    """Runs all measurements; `node` and `proxy` are the processes that it starts."""
    if sys.argv[1:2] == ["node"]:
        asyncio.run(serve_node(int(sys.argv[2])))
        return
    if sys.argv[1:2] == ["proxy"]:
        asyncio.run(serve_proxy(int(sys.argv[2]), int(sys.argv[3])))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--idle", type=int, default=100)
    parser.add_argument("--streams", type=int, default=1000)
    args = parser.parse_args()
    to, through = free_port(), free_port()
    words = ["-m", "benchmarks.grpc_cost"]
    with (
        process([*words, "node", str(to)], to),
        node() as (_, http_node),
        daemon([http_node]) as http,
        process([*words, "proxy", str(through), str(to)], through) as proxy,
        ingress(to) as ours,
    ):
        print(
            f"  resident: proxy {memory_mb(proxy):.1f} MB, troutdock gRPC {memory_mb(ours[0]):.1f} MB, "
            f"HTTP {memory_mb(http[0]):.1f} MB"
        )
        memory(ours[0], ours[1], args.idle, args.streams)
        for at_once in (1, 8, 32):
            compare(
                args.calls,
                args.rounds,
                at_once,
                {
                    "grpcio proxy": (proxy, through, "grpc"),
                    "troutdock gRPC": (*ours, "grpc"),
                    "troutdock HTTP": (*http, "http"),
                },
            )
        print(
            f"  resident: proxy {memory_mb(proxy):.1f} MB, troutdock gRPC {memory_mb(ours[0]):.1f} MB, "
            f"HTTP {memory_mb(http[0]):.1f} MB"
        )


if __name__ == "__main__":
    main()
