"""The tests of the rules over gRPC: what they say in HTTP/1.1, told to the ingress and by its nodes as calls.

A request of theirs becomes a call of /rules.Ledger/<class>; what a script answers becomes how a node ends a call,
and the call's end a status of HTTP again: 200 for OK, 429 for a refusal with its return time, 502 for the rest.
"""

from __future__ import annotations

import asyncio
import json
import re
from contextlib import AsyncExitStack
from typing import Any

from h2_peers import Call, H2Node, Headers, Wire, connect, message

PATH = b"/rules.Ledger/"
GRPC: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


class _Abort:
    def __init__(self, writer: _Writer) -> None:
        self._writer = writer

    def abort(self) -> None:
        self._writer.ended = "abort"


class _Writer:
    """What a script writes to."""

    def __init__(self) -> None:
        self.data, self.ended = b"", ""
        self.transport = _Abort(self)

    def write(self, data: bytes) -> None:
        self.data += data

    def close(self) -> None:
        self.ended = self.ended or "close"


class GrpcPeer(H2Node):
    """A node that does with each call what its script says; the same to look at as loopback.Peer."""

    def __init__(self, script: Any, read: Any = None) -> None:
        super().__init__(script)
        self.requests: list[bytes] = []
        self.closed = 0

    @property
    def connections(self) -> int:
        return len(self.wires)

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
        call.ended.clear()  # from here on it tells that the ingress has given the call up
        watch = asyncio.get_running_loop().create_task(self._watch(call))
        self.tasks.add(watch)
        watch.add_done_callback(self.tasks.discard)
        writer = _Writer()
        await self.script(self, request, writer)
        self._answer(call, writer)

    async def _watch(self, call: Call) -> None:
        await call.ended.wait()
        if call.reset is not None:
            self.closed += 1

    def _answer(self, call: Call, writer: _Writer) -> None:
        wire = call.wire
        if writer.ended == "abort":
            wire.transport.abort()
            return
        data = writer.data
        while (interim := re.match(rb"HTTP/1.1 (100) .*?\r\n\r\n", data, re.S)) is not None:
            wire.h2.send_headers(call.id, [(b":status", b"103")])
            data = data[interim.end() :]
        found = re.match(rb"HTTP/1.1 (\d+) .*?\r\n(.*?)\r\n\r\n", data, re.S) or re.match(
            rb"HTTP/1.1 (\d+) [^\r]*\r\n()\r\n", data
        )
        if found is None:
            if data.startswith(b"HTTP/1.1 200"):  # a head without end: one beyond every bound
                call.send([*GRPC, *((b"x-%d" % n, b"x" * 1000) for n in range(70))])
            elif data:  # no HTTP at all
                wire.raw = True
                wire.transport.write(data + b" " * 64)
            if writer.ended:
                wire.transport.close()
            return
        status, body = int(found[1]), data[found.end() :]
        head = [tuple(line.split(b": ", 1)) for line in found[2].lower().split(b"\r\n") if line]
        names = dict(head)
        if status != 200:
            self._bad(call, status, names.get(b"not-started", b""))
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
        whole = length is not None and int(length) == len(body)
        if whole:
            call.send([*GRPC, *metadata], message(body), [(b"grpc-status", b"0")])
        elif length is None:  # its end can't be told: no trailers
            call.send([*GRPC, *metadata], message(body), end=True)
        else:
            call.send([*GRPC, *metadata], message(body + b"..")[:-2])
            wire.transport.close()

    def _bad(self, call: Call, status: int, not_started: bytes) -> None:
        if status == 503 and not_started == b"1":
            call.cancel(7)  # REFUSED_STREAM
        elif not_started:
            told = (
                [(b"grpc-status", b"14"), (b"not-started", not_started)]
                if status != 500
                else [(b"grpc-status", b"13"), (b"not-started", not_started)]
            )
            call.send([*GRPC, *told], end=True)
        elif status == 500:
            call.send([*GRPC, (b"grpc-status", b"13"), (b"grpc-message", b"failed")], end=True)
        else:
            call.send([(b":status", b"%d" % (status if status != 101 else 426))], end=True)


class _Reader:
    """Whether anything stands behind the answer."""

    def __init__(self, client: GrpcClient) -> None:
        self._client = client

    async def read(self, most: int) -> bytes:
        wire, call = self._client.wire, self._client.call
        while not (call is not None and call.surplus):
            if wire.closed.is_set():
                return b""
            await asyncio.sleep(0.005)
        return b"surplus"


class _Asked:
    """The writing half of a client's connection."""

    def __init__(self, client: GrpcClient) -> None:
        self._client = client

    def write(self, data: bytes) -> None:
        self._client.begin(data)

    def close(self) -> None:
        self._client.wire.transport.close()


class GrpcClient:
    """The same to look at as loopback.Client."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.call: Call | None = None
        self.reader, self.writer = _Reader(self), _Asked(self)

    def begin(self, data: bytes) -> None:
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        target = first.split()[1]
        headers = dict(line.lower().split(b": ", 1) for line in lines)
        for name in (b"host", b"content-length"):
            headers.pop(name, None)
        told = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", PATH + target.split(b"/")[1].split(b"?")[0]),
            (b":authority", b"service.internal"),
            (b"content-type", b"application/grpc"),
            (b"te", b"trailers"),
            (b"x-target", target),
        ]
        if (timeout := headers.pop(b"request-timeout", None)) is not None:
            told.append((b"grpc-timeout", b"%dm" % round(float(timeout) * 1000)))
        self.call = self.wire.open([*told, *headers.items()], message(body))

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
        unknown = status == "12" and call["grpc-message"].startswith("no such")  # the ingress's own word
        code = 200 if status == "0" else 429 if refused else 404 if unknown else 400 if status == "3" else 502
        return code, b"\r\n".join(lines) + b"\r\n", call.data[5:]


async def grpc(w: Any, stack: AsyncExitStack, config: str) -> None:
    """The daemon with gRPC at the platform's one address."""
    from loopback import daemon

    from troutdock.grpc.methods import MethodRule
    from troutdock.grpc.service import GrpcComponent, GrpcOptions

    names = [category["name"] for category in json.loads(config)["settings"]["categories"]]
    part = GrpcComponent(GrpcOptions(tuple(MethodRule(PATH.decode() + name, name) for name in names)))
    await daemon(w, stack, config, [part])
    w.grpc = part

    async def client() -> GrpcClient:
        wire = await connect(w.address)
        stack.callback(lambda: wire.transport.abort())
        return GrpcClient(wire)

    w.client = client
