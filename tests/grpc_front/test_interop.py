"""Cases of the gRPC interoperability tests, with grpcio as client and servers, through the ingress.

Messages are bytes: the options of a request are encoded as JSON instead of protobuf.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import grpc
import pytest
from loopback import FRONTS, daemon, run, target, world
import loopback

from troutdock.grpc.methods import MethodType, MethodRule
from troutdock.grpc.service import GrpcComponent, GrpcOptions

SERVICE = "/grpc.testing.TestService/"
RULES = (
    MethodRule(SERVICE + "EmptyCall", "payment-book"),
    MethodRule(SERVICE + "UnaryCall", "vat-filing"),
    MethodRule(SERVICE + "Unimplemented", "vat-filing"),
    MethodRule(SERVICE + "StreamingOutputCall", "vat-filing", MethodType.SERVER_STREAMING),
    MethodRule(SERVICE + "StreamingInputCall", "vat-filing", MethodType.CLIENT_STREAMING),
    MethodRule(SERVICE + "FullDuplexCall", "vat-filing", MethodType.BIDIRECTIONAL),
    MethodRule("/grpc.testing.UnimplementedService/*", "vat-filing"),
)
SPECIAL = "\t\ntest with whitespace\r\nand Unicode BMP ☺ and non-BMP \U0001f608\t\n"
METADATA = (
    ("account", "0000000000000009"),
    ("plan", "plus"),
    ("quota-info", "units=0.1,spread=2,first=0"),
    ("idempotency-key", "k"),
)
ECHO_KEYS = "x-grpc-test-echo-initial", "x-grpc-test-echo-trailing-bin"


async def echo_metadata(context: Any) -> None:
    """Returns custom metadata to the client: one field as initial, one as trailing metadata."""
    metadata = dict(context.invocation_metadata())
    if ECHO_KEYS[0] in metadata:
        await context.send_initial_metadata(((ECHO_KEYS[0], metadata[ECHO_KEYS[0]]),))
    if ECHO_KEYS[1] in metadata:
        context.set_trailing_metadata(((ECHO_KEYS[1], metadata[ECHO_KEYS[1]]),))


class Service(grpc.GenericRpcHandler):
    """Implements the methods of grpc.testing.TestService that the cases need."""

    def __init__(self) -> None:
        self.cancelled = 0

    async def unary(self, request: bytes, context: Any) -> bytes:
        await echo_metadata(context)
        options = json.loads(request.partition(b"\0")[0] or b"{}")
        if "code" in options:
            await context.abort(
                next(c for c in grpc.StatusCode if c.value[0] == options["code"]), options["message"]
            )
        return b"y" * options.get("size", 0)

    async def output(self, request: bytes, context: Any) -> AsyncIterator[bytes]:
        for size in json.loads(request)["sizes"]:
            yield b"y" * size

    async def input(self, requests: Any, context: Any) -> bytes:
        return b"%d" % sum([len(r) async for r in requests])

    async def duplex(self, requests: Any, context: Any) -> AsyncIterator[bytes]:
        await echo_metadata(context)
        try:
            async for request in requests:
                options = json.loads(request.partition(b"\0")[0])
                if "code" in options:
                    await context.abort(
                        next(c for c in grpc.StatusCode if c.value[0] == options["code"]), options["message"]
                    )
                await asyncio.sleep(options.get("sleep", 0))
                yield b"y" * options["size"]
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def service(self, details: Any) -> Any:
        return {
            SERVICE + "EmptyCall": grpc.unary_unary_rpc_method_handler(self.unary),
            SERVICE + "UnaryCall": grpc.unary_unary_rpc_method_handler(self.unary),
            SERVICE + "StreamingOutputCall": grpc.unary_stream_rpc_method_handler(self.output),
            SERVICE + "StreamingInputCall": grpc.stream_unary_rpc_method_handler(self.input),
            SERVICE + "FullDuplexCall": grpc.stream_stream_rpc_method_handler(self.duplex),
        }.get(details.method)


@asynccontextmanager
async def interop() -> AsyncIterator[tuple[Any, Service, Any]]:
    """Yields a channel to an ingress with two servers, the first service, and the environment."""
    services, servers, ports = [Service(), Service()], [], []
    for service in services:
        server = grpc.aio.server()
        server.add_generic_rpc_handlers((service,))
        ports.append(server.add_insecure_port("127.0.0.1:0"))
        await server.start()
        servers.append(server)

    async def start_daemon(w: Any, stack: Any, config: str) -> None:
        raw = json.loads(config)
        raw["known"]["targets"] = [
            target(type("At", (), {"address": f"127.0.0.1:{p}"})(), f"s-{n}") for n, p in enumerate(ports)
        ]  # type: ignore[arg-type]
        await daemon(w, stack, json.dumps(raw), [GrpcComponent(GrpcOptions(RULES))])

    front, FRONTS["interop"] = loopback.front, start_daemon
    loopback.front = "interop"
    try:
        async with world() as w, grpc.aio.insecure_channel("{}:{}".format(*w.address)) as channel:
            yield channel, services[0], w
    finally:
        loopback.front = front
        FRONTS.pop("interop")
        for server in servers:
            await server.stop(0)


CASES: dict[str, Any] = {}


def case(test: Any) -> Any:
    CASES[test.__name__] = test
    return test


async def code(call: Any) -> int:
    return int((await call.code()).value[0])


@case
async def client_streaming(channel: Any, services: Any) -> None:
    sizes = [27182, 8, 1828, 45904]
    assert await channel.stream_unary(SERVICE + "StreamingInputCall")(
        (b"x" * n for n in sizes), metadata=METADATA, timeout=5
    ) == b"%d" % sum(sizes)


@case
async def server_streaming(channel: Any, services: Any) -> None:
    sizes = [31415, 9, 2653, 58979]
    call = channel.unary_stream(SERVICE + "StreamingOutputCall")(
        json.dumps({"sizes": sizes}).encode(), metadata=METADATA, timeout=5
    )
    assert [len(m) async for m in call] == sizes


@case
async def ping_pong(channel: Any, services: Any) -> None:
    call = channel.stream_stream(SERVICE + "FullDuplexCall")(metadata=METADATA, timeout=5)
    for request_size, size in zip([27182, 8, 1828, 45904], [31415, 9, 2653, 58979], strict=True):
        await call.write(json.dumps({"size": size}).encode() + b"\0" * request_size)
        assert len(await call.read()) == size
    await call.done_writing()
    assert await call.read() is grpc.aio.EOF and await code(call) == 0


@case
async def empty_stream(channel: Any, services: Any) -> None:
    call = channel.stream_stream(SERVICE + "FullDuplexCall")(metadata=METADATA, timeout=5)
    await call.done_writing()
    assert await call.read() is grpc.aio.EOF and await code(call) == 0


@case
async def cancel_after_begin(channel: Any, services: Any) -> None:
    call = channel.stream_unary(SERVICE + "StreamingInputCall")(metadata=METADATA, timeout=5)
    await asyncio.sleep(0.05)
    call.cancel()
    assert await code(call) == 1


@case
async def cancel_after_first_response(channel: Any, services: Any) -> None:
    call = channel.stream_stream(SERVICE + "FullDuplexCall")(metadata=METADATA, timeout=5)
    await call.write(json.dumps({"size": 31415}).encode())
    assert len(await call.read()) == 31415
    call.cancel()
    assert await code(call) == 1


@case
async def timeout_on_sleeping_server(channel: Any, services: Any) -> None:
    call = channel.stream_stream(SERVICE + "FullDuplexCall")(metadata=METADATA, timeout=0.6)
    await call.write(json.dumps({"size": 1, "sleep": 3}).encode())
    assert await code(call) == 4


@case
async def custom_metadata(channel: Any, services: Any) -> None:
    metadata = (*METADATA, (ECHO_KEYS[0], "test_initial_metadata_value"), (ECHO_KEYS[1], b"\xab\xab\xab"))
    call = channel.unary_unary(SERVICE + "UnaryCall")(b'{"size": 5}', metadata=metadata, timeout=5)
    assert await call == b"yyyyy"
    duplex = channel.stream_stream(SERVICE + "FullDuplexCall")(metadata=metadata, timeout=5)
    await duplex.write(b'{"size": 5}')
    assert await duplex.read() == b"yyyyy"
    await duplex.done_writing()
    assert await duplex.read() is grpc.aio.EOF
    for one in (call, duplex):
        assert dict(await one.initial_metadata())[ECHO_KEYS[0]] == "test_initial_metadata_value"
        assert dict(await one.trailing_metadata())[ECHO_KEYS[1]] == b"\xab\xab\xab"


@case
async def status_code_and_message(channel: Any, services: Any) -> None:
    options = b'{"code": 2, "message": "test status message"}'
    unary = channel.unary_unary(SERVICE + "UnaryCall")(options, metadata=METADATA, timeout=5)
    duplex = channel.stream_stream(SERVICE + "FullDuplexCall")(metadata=METADATA, timeout=5)
    await duplex.write(options)
    await duplex.done_writing()
    for call in (unary, duplex):
        assert (await code(call), await call.details()) == (2, "test status message")


LARGE = json.dumps({"size": 314_159}).encode() + b"\0" * 271_828
UNARY = {  # path, request, compression, status, and the response or the status message
    "empty_unary": (SERVICE + "EmptyCall", b"", None, 0, b""),
    "large_unary": (SERVICE + "UnaryCall", LARGE, None, 0, b"y" * 314_159),
    "client_compressed_unary": (SERVICE + "UnaryCall", LARGE, grpc.Compression.Gzip, 0, b"y" * 314_159),
    "special_status_message": (
        SERVICE + "UnaryCall",
        json.dumps({"code": 2, "message": SPECIAL}).encode(),
        None,
        2,
        SPECIAL,
    ),
    "unimplemented_method": (SERVICE + "Unimplemented", b"", None, 12, None),
    "not_in_the_table": (SERVICE + "NotInTheTable", b"", None, 12, None),
    "unimplemented_service": ("/grpc.testing.UnimplementedService/X", b"", None, 12, None),
}


async def unary(channel: Any, name: str) -> None:
    path, options, compression, status, expected = UNARY[name]
    call = channel.unary_unary(path)(options, metadata=METADATA, timeout=5, compression=compression)
    assert await code(call) == status and expected in (None, await call.details() if status else await call)


@pytest.mark.parametrize("name", [*CASES, *UNARY])
def test_interoperability_case(name: str) -> None:
    async def test() -> None:
        async with interop() as (channel, services, w):
            await (CASES[name](channel, services) if name in CASES else unary(channel, name))
            await loopback.until(lambda: w.engine.open == 0)

    run(test())


def test_rejected_call_gives_grpcio_client_a_retry_time() -> None:
    async def test() -> None:
        async with interop() as (channel, _, _):
            metadata = tuple(
                (k, "basis" if k == "plan" else "units=2,spread=2,first=0" if k == "quota-info" else v)
                for k, v in METADATA
            )
            calls = [
                channel.unary_unary(SERVICE + "UnaryCall")(b"", metadata=metadata, timeout=2)
                for _ in range(6)
            ]
            codes = [await code(call) for call in calls]
            assert sorted(dict.fromkeys(codes)) == [0, 8]
            refused = dict(await calls[codes.index(8)].trailing_metadata())
            assert (
                int(refused["grpc-retry-pushback-ms"]) > 0
                and b"RetryInfo" in refused["grpc-status-details-bin"]
            )

    run(test())
