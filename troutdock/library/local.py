"""An ingress in the program's own process: one typed call per request."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from secrets import token_hex
from types import TracebackType
from typing import Self

from troutdock.admission.interface import Effect
from troutdock.engine import BadRequest, Call, Failure, Tally
from troutdock.http.request import HttpRequest, forwarded_head, key_number
from troutdock.http.response import MAX_BODY, Response
from troutdock.ingress import Ingress as Core
from troutdock.library.deployment import Deployment
from troutdock.library.facts import Facts, FactsValidator

IDLE_POLL_S = 0.005  # how often a drain checks whether all calls are answered
_MAX_ID_BYTES = 128  # maximum length of the request id and of the idempotency key


class IngressClosed(RuntimeError):
    """The ingress is not open, is closing, or belongs to another event loop; the request was not accepted."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request for a ledger node.

    target: path and query; the first path segment is the class's name. facts: see Facts; facts.cls must be
    that name. headers: further headers to forward, names in any case. body: empty if the class is safe.
    """

    target: str
    facts: Facts
    headers: Sequence[tuple[str, str]] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Served:
    """A node's successful response. headers: names in lower case. true_units: 0 if the node reported none."""

    body: bytes
    headers: dict[bytes, bytes]
    true_units: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was rejected and a retry is safe, not before retry_after_s seconds if that is above 0."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Failed:
    """The outcome is unknown: the request may have run."""

    why: Failure


Result = Served | Refused | Failed


class PendingExchange:
    """An exchange whose single final result is awaited by a coroutine."""

    __slots__ = ("arrived", "future")
    streams = False

    def __init__(self, loop: asyncio.AbstractEventLoop, arrived: float) -> None:
        self.arrived = arrived
        self.future: asyncio.Future[Result | None] = loop.create_future()  # None: the client has disconnected

    def _resolve(self, result: Result) -> None:
        if not self.future.done():  # otherwise the waiting coroutine is being cancelled
            self.future.set_result(result)

    def client_left(self) -> None:
        """The client has disconnected: no result is reported any more."""
        if not self.future.done():
            self.future.set_result(None)

    def served(self, answer: Response) -> None:
        self._resolve(Served(answer.body, answer.headers, answer.true_units))

    def refused(self, retry_after_ms: float) -> None:
        self._resolve(Refused(retry_after_ms / 1000))

    def failed(self, why: Failure) -> None:
        self._resolve(Failed(why))

    def broken(self) -> None:
        self._resolve(Failed(Failure.ATTEMPT))


def build_request(
    reader: FactsValidator,
    method: bytes,
    target: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body: bytes,
    facts: Facts,
) -> HttpRequest:
    """Builds the request to a node from its facts; raises BadRequest if any part is invalid.

    headers: names in lower case; headers that the protocol interprets are generated from the facts.
    """
    arrival = reader.arrival(facts)
    _, cls = reader.request_class(facts.cls)
    path = target.partition(b"?")[0].split(b"/")
    if not target.startswith(b"/") or path[1] != facts.cls.encode():
        raise BadRequest(404, "the path does not begin with the request's class")
    if method != (b"GET" if cls.effect is Effect.SAFE else b"POST"):
        raise BadRequest(400, "the method does not fit the class")
    if body and cls.effect is Effect.SAFE:
        raise BadRequest(400, "a request of this class has no body")
    if len(body) > MAX_BODY:
        raise BadRequest(413, "the body is too long")
    id = (facts.request_id or token_hex(8)).encode()
    named = [(b"request-id", id)]
    if cls.effect is Effect.KEYED:
        key = (facts.key or token_hex(16)).encode()
        named.append((b"idempotency-key", key))
        arrival.key = key_number(key)
    kept = [pair for pair in headers if pair[0] not in (b"request-id", b"idempotency-key")]
    for text in (target, *(part for pair in (*named, *kept) for part in pair)):
        if any(byte < 32 or byte == 127 for byte in text):
            raise BadRequest(400, "a control character in the head")
    if b" " in target or any(not value or len(value) > _MAX_ID_BYTES for _, value in named):
        raise BadRequest(400, "the target, the id or the key can't be sent")
    head = forwarded_head(method, target, [*named, *kept], len(body))
    return HttpRequest(id, head, body, arrival, cls.effect is not Effect.UNSAFE)


class Ingress:
    """An in-process ingress: `async with Ingress(deployment) as ingress: await ingress.call(request)`.

    It runs in the event loop that opens it. Leaving the block drains it: accepted requests get their answers,
    bounded by their deadlines.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.facts = FactsValidator(deployment.config.settings)
        self._core: Core | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._accepting = False

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def open(self) -> None:
        """Connects to the nodes and services of the deployment; IngressClosed if it is open already."""
        if self._core is not None:
            raise IngressClosed("the ingress is open already")
        self._loop = asyncio.get_running_loop()
        self._core = Core(self.deployment.config)
        try:
            await self._core.start()
        except BaseException:
            await self._end()
            raise
        self._accepting = True

    async def close(self, grace_s: float | None = None) -> None:
        """Stops accepting requests, waits for accepted ones to end, and closes all connections.

        grace_s: requests without an answer after this time fail; None: each has until its deadline.
        Does nothing if the ingress is closed.
        """
        if self._core is None:
            return
        self._accepting = False
        until = None if grace_s is None else asyncio.get_running_loop().time() + grace_s
        try:
            while self._core.engine.open and (until is None or asyncio.get_running_loop().time() < until):
                await asyncio.sleep(IDLE_POLL_S)
        finally:
            await self._end()

    async def _end(self) -> None:
        core, self._core = self._core, None
        if core is not None:
            core.engine.close()
            await core.close()

    @property
    def tally(self) -> Tally:
        """Counts of final answers since the ingress was opened."""
        return self.core.engine.tally

    @property
    def ready(self) -> bool:
        """Whether requests are accepted and a node is available."""
        return self._accepting and self.core.engine.ready

    @property
    def core(self) -> Core:
        """The running ingress; raises IngressClosed if it is not open."""
        if self._core is None:
            raise IngressClosed("the ingress is not open")
        return self._core

    def require_open(self) -> Core:
        """Returns the running ingress; IngressClosed if it can't accept a request in this event loop."""
        if not self._accepting or self._core is None:
            raise IngressClosed("the ingress is not open, or it is being closed")
        if asyncio.get_running_loop() is not self._loop:
            raise IngressClosed("the ingress belongs to another event loop")
        return self._core

    async def call(self, request: Request) -> Result:
        """Sends one request and returns its single final result before its deadline.

        If the caller is cancelled, the request is withdrawn: its attempts are abandoned and not repeated.

        Raises:
            BadRequest: the request is invalid, or a request with its id is in progress.
            IngressClosed: the request was not accepted.
        """
        engine = self.require_open().engine
        effect = self.facts.request_class(request.facts.cls)[1].effect
        headers = [(name.lower().encode(), value.encode()) for name, value in request.headers]
        composed = build_request(
            self.facts,
            b"GET" if effect is Effect.SAFE else b"POST",
            request.target.encode(),
            headers,
            request.body,
            request.facts,
        )
        exchange = PendingExchange(asyncio.get_running_loop(), engine.clock.now())
        call: Call = engine.arrive(composed, exchange)
        try:
            result = await exchange.future
            assert result is not None  # only client_left() gives None, and it is not called here
            return result
        finally:
            engine.withdraw(call)
