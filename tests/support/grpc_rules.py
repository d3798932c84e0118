"""Adapter that runs the tests in tests/rules over gRPC: translates HTTP/1.1 on both sides of the ingress.

A request becomes a call of /rules.Ledger/<class>. The HTTP response of a backend script becomes the end of
the call, and the end of the call at the client becomes an HTTP status again: 200 for OK, 429 for a rejection with
a retry time, 400 for INVALID_ARGUMENT, 404 for an unknown method, and 502 for the rest.
"""

from __future__ import annotations

import asyncio
import json
import re
from contextlib import AsyncExitStack
from typing import Any

from h2_peers import Call, H2Backend, Headers, H2Peer, connect, message

PATH = b"/rules.Ledger/"
RESPONSE_HEADERS: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


class _AbortRecorder:
    def __init__(self, writer: _ResponseRecorder) -> None:
        self._writer = writer

    def abort(self) -> None:
        self._writer.ended = "abort"


class _ResponseRecorder:
    """Records what a script writes, in place of a StreamWriter."""

    def __init__(self) -> None:
        self.data, self.ended = b"", ""
        self.transport = _AbortRecorder(self)

    def write(self, data: bytes) -> None:
        self.data += data

    def close(self) -> None:
        self.ended = self.ended or "close"


class GrpcPeer(H2Backend):
    """A gRPC backend with the interface of loopback.Peer; runs the script for each call."""

    def __init__(self, script: Any, read: Any = None) -> None:
        super().__init__(script)
        self.requests: list[bytes] = []
        self.closed = 0

    @property
    def connections(self) -> int:
        return len(self.peers)

    async def _serve(self, call: Call) -> None:
        await call.ended.wait()
        if call.reset is not None:
            return
        cls = call[":path"].removeprefix(PATH.decode())
        lines = [f"{'GET' if cls == 'ledger-read' else 'POST'} {call['x-target']} HTTP/1.1".encode()]
        lines += [
            name + b": " + value for name, value in call.headers if name[:1] != b":" and name != b"x-target"
        ]
        timeout = call["grpc-timeout"]
        seconds = int(timeout[:-1]) * {"u": 1e-6, "m": 1e-3, "S": 1.0}[timeout[-1]]
        lines += [b"request-timeout: %.3f" % seconds, b"", call.data[5:]]
        request = b"\r\n".join(lines)
        self.requests.append(request)
        call.ended.clear()  # set again if the ingress cancels the call
        watch = asyncio.get_running_loop().create_task(self._watch(call))
        self.tasks.add(watch)
        watch.add_done_callback(self.tasks.discard)
        writer = _ResponseRecorder()
        await self.script(self, request, writer)
        self._answer(call, writer)

    async def _watch(self, call: Call) -> None:
        await call.ended.wait()
        if call.reset is not None:
            self.closed += 1

    def _answer(self, call: Call, writer: _ResponseRecorder) -> None:
        peer = call.peer
        if writer.ended == "abort":
            peer.transport.abort()
            return
        data = writer.data
        while (interim_responses := re.match(rb"HTTP/1.1 (100) .*?\r\n\r\n", data, re.S)) is not None:
            peer.h2.send_headers(call.stream_id, [(b":status", b"103")])
            data = data[interim_responses.end() :]
        match = re.match(rb"HTTP/1.1 (\d+) .*?\r\n(.*?)\r\n\r\n", data, re.S) or re.match(
            rb"HTTP/1.1 (\d+) [^\r]*\r\n()\r\n", data
        )
        if match is None:
            if data.startswith(b"HTTP/1.1 200"):  # an endless head: headers above the size limit
                call.send([*RESPONSE_HEADERS, *((b"x-%d" % n, b"x" * 1000) for n in range(70))])
            elif data:  # not HTTP
                peer.ignore_input = True
                peer.transport.write(data + b" " * 64)
            if writer.ended:
                peer.transport.close()
            return
        status, body = int(match[1]), data[match.end() :]
        head = [tuple(line.split(b": ", 1)) for line in match[2].lower().split(b"\r\n") if line]
        names = dict(head)
        if status != 200:
            self._answer_error(call, status, names.get(b"not-started", b""))
            return
        metadata = [
            (b"x-content-type" if name == b"content-type" else name, value)
            for name, value in head
            if name not in (b"content-length", b"transfer-encoding")
        ]
        length = names.get(b"content-length")
        if b"transfer-encoding" in names:
            chunk = re.match(rb"([0-9a-f]+)\r\n(.*)", body, re.S)
            assert chunk is not None
            length, body = b"%d" % int(chunk[1], 16), chunk[2].removesuffix(b"\r\n0\r\n\r\n")
        complete = length is not None and int(length) == len(body)
        if complete:
            call.send([*RESPONSE_HEADERS, *metadata], message(body), [(b"grpc-status", b"0")])
        elif length is None:  # a body without a known end: no trailers
            call.send([*RESPONSE_HEADERS, *metadata], message(body), end=True)
        else:
            call.send([*RESPONSE_HEADERS, *metadata], message(body + b"..")[:-2])
            peer.transport.close()

    def _answer_error(self, call: Call, status: int, not_started: bytes) -> None:
        if status == 503 and not_started == b"1":
            call.cancel(7)  # REFUSED_STREAM
        elif not_started:
            call_headers = (
                [(b"grpc-status", b"14"), (b"not-started", not_started)]
                if status != 500
                else [(b"grpc-status", b"13"), (b"not-started", not_started)]
            )
            call.send([*RESPONSE_HEADERS, *call_headers], end=True)
        elif status == 500:
            call.send([*RESPONSE_HEADERS, (b"grpc-status", b"13"), (b"grpc-message", b"failed")], end=True)
        else:
            call.send([(b":status", b"%d" % (status if status != 101 else 426))], end=True)


class _TrailingDataReader:
    """Reads b"surplus" if events follow the end of the response, b"" if the connection is closed."""

    def __init__(self, client: GrpcClient) -> None:
        self._client = client

    async def read(self, most: int) -> bytes:
        peer, call = self._client.peer, self._client.call
        while not (call is not None and call.events_after_end):
            if peer.closed.is_set():
                return b""
            await asyncio.sleep(0.005)
        return b"surplus"


class _RequestWriter:
    """The writing half of a client connection, in place of a StreamWriter."""

    def __init__(self, client: GrpcClient) -> None:
        self._client = client

    def write(self, data: bytes) -> None:
        self._client.begin(data)

    def close(self) -> None:
        self._client.peer.transport.close()


class GrpcClient:
    """A gRPC client with the interface of loopback.Client."""

    def __init__(self, peer: H2Peer) -> None:
        self.peer = peer
        self.call: Call | None = None
        self.reader, self.writer = _TrailingDataReader(self), _RequestWriter(self)

    def begin(self, data: bytes) -> None:
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        target = first.split()[1]
        headers = dict(line.lower().split(b": ", 1) for line in lines)
        for name in (b"host", b"content-length"):
            headers.pop(name, None)
        call_headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", PATH + target.split(b"/")[1].split(b"?")[0]),
            (b":authority", b"service.internal"),
            (b"content-type", b"application/grpc"),
            (b"te", b"trailers"),
            (b"x-target", target),
        ]
        if (timeout := headers.pop(b"request-timeout", None)) is not None:
            call_headers.append((b"grpc-timeout", b"%dm" % round(float(timeout) * 1000)))
        self.call = self.peer.open([*call_headers, *headers.items()], message(body))

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        self.begin(data)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, bytes]:
        call = self.call
        assert call is not None
        await call.ended.wait()
        status = call["grpc-status"]
        if not status:
            raise asyncio.IncompleteReadError(b"", None)
        lines = [
            name.removeprefix(b"x-")
            if name == b"x-content-type"
            else name + b": " + value
            if name != b"content-type"
            else b""
            for name, value in (*call.headers, *call.trailers)
        ]
        lines += [b"content-type: " + value for name, value in call.headers if name == b"x-content-type"]
        refused = status == "8" and call["grpc-status-details-bin"]
        # status of the ingress itself
        unknown = status == "12" and call["grpc-message"].startswith("no such")
        code = 200 if status == "0" else 429 if refused else 404 if unknown else 400 if status == "3" else 502
        return code, b"\r\n".join(lines) + b"\r\n", call.data[5:]


async def grpc_frontend(world: Any, stack: AsyncExitStack, config: str) -> None:
    """Starts the daemon with gRPC on the platform's listening address."""
    from loopback import daemon

    from troutdock.grpc.methods import MethodRule
    from troutdock.grpc.service import GrpcComponent, GrpcOptions

    names = [category["name"] for category in json.loads(config)["settings"]["categories"]]
    component = GrpcComponent(GrpcOptions(tuple(MethodRule(PATH.decode() + name, name) for name in names)))
    await daemon(world, stack, config, [component])
    world.grpc = component

    async def client() -> GrpcClient:
        peer = await connect(world.address)
        stack.callback(lambda: peer.transport.abort())
        return GrpcClient(peer)

    world.client = client
