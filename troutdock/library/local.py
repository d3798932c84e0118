"""An ingress in the program's own process: one typed call for one request."""

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
from troutdock.library.facts import Facts, FactsReader

IDLE_POLL_S = 0.005  # how often a drain looks whether all calls have their answers
_ID_BYTES = 128  # the longest id and key


class IngressClosed(RuntimeError):
    """The ingress is not open, closes, or belongs to another event loop; the request was not taken."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request for a ledger node.

    target: path and query, its first part the class's name. facts: see Facts; facts.cls must be that name.
    headers: further ones, passed on, names in any case. body: nothing where the class is safe.
    """

    target: str
    facts: Facts
    headers: Sequence[tuple[str, str]] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Served:
    """A node's good answer. headers: names in lower case. true_units: 0 where the node told none."""

    body: bytes
    headers: dict[bytes, bytes]
    true_units: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Trying again is harmless; not before retry_after_s seconds, where that is more than 0."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing is promised: the request may have run."""

    why: Failure


Result = Served | Refused | Failed


class Waiting:
    """An exchange whose one final answer a coroutine waits for."""

    __slots__ = ("arrived", "future")
    streams = False

    def __init__(self, loop: asyncio.AbstractEventLoop, arrived: float) -> None:
        self.arrived = arrived
        self.future: asyncio.Future[Result | None] = loop.create_future()  # None: the client has left

    def _tell(self, result: Result) -> None:
        if not self.future.done():  # else the waiting coroutine is being cancelled
            self.future.set_result(result)

    def leave(self) -> None:
        """The client has left: nobody is told anything any more."""
        if not self.future.done():
            self.future.set_result(None)

    def served(self, answer: Response) -> None:
        self._tell(Served(answer.body, answer.headers, answer.true_units))

    def refused(self, retry_after_ms: float) -> None:
        self._tell(Refused(retry_after_ms / 1000))

    def failed(self, why: Failure) -> None:
        self._tell(Failed(why))

    def broken(self) -> None:
        self._tell(Failed(Failure.ATTEMPT))


def compose(
    reader: FactsReader,
    method: bytes,
    target: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body: bytes,
    facts: Facts,
) -> HttpRequest:
    """A request for a node from its facts; BadRequest if any part makes no sense.

    headers: names in lower case; those that the protocol gives a meaning are worded anew from the facts.
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
    if b" " in target or any(not value or len(value) > _ID_BYTES for _, value in named):
        raise BadRequest(400, "the target, the id or the key can't be sent")
    head = forwarded_head(method, target, [*named, *kept], len(body))
    return HttpRequest(id, head, body, arrival, cls.effect is not Effect.UNSAFE)


class Ingress:
    """An in-process ingress: `async with Ingress(deployment) as ingress: await ingress.call(request)`.

    Everything happens in the event loop that opens it. Leaving the block drains: what was taken gets its
    answer, which its deadline bounds.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.facts = FactsReader(deployment.config.settings)
        self._core: Core | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._taking = False

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def open(self) -> None:
        """Connect to what the deployment names; IngressClosed if it is open already."""
        if self._core is not None:
            raise IngressClosed("the ingress is open already")
        self._loop = asyncio.get_running_loop()
        self._core = Core(self.deployment.config)
        try:
            await self._core.start()
        except BaseException:
            await self._end()
            raise
        self._taking = True

    async def close(self, grace_s: float | None = None) -> None:
        """Take nothing more, let what was taken end, and close all connections.

        grace_s: what has no answer after so many seconds is failed; None: each has until its deadline.
        Harmless on an ingress that is closed.
        """
        if self._core is None:
            return
        self._taking = False
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
        """Final answers since it was opened."""
        return self.core.engine.tally

    @property
    def ready(self) -> bool:
        """There is a node to send to, and requests are taken."""
        return self._taking and self.core.engine.ready

    @property
    def core(self) -> Core:
        """The parts; IngressClosed if it is not open."""
        if self._core is None:
            raise IngressClosed("the ingress is not open")
        return self._core

    def check_taking(self) -> Core:
        """The parts, if a request may be taken here and now; else IngressClosed."""
        if not self._taking or self._core is None:
            raise IngressClosed("the ingress is not open, or it is being closed")
        if asyncio.get_running_loop() is not self._loop:
            raise IngressClosed("the ingress belongs to another event loop")
        return self._core

    async def call(self, request: Request) -> Result:
        """One request, and its one final answer before its time is over.

        BadRequest: it makes no sense, or one of its id is open. IngressClosed: it was not taken. If the
        caller is cancelled the request is withdrawn: its attempts are given up and nothing is repeated.
        """
        engine = self.check_taking().engine
        effect = self.facts.request_class(request.facts.cls)[1].effect
        headers = [(name.lower().encode(), value.encode()) for name, value in request.headers]
        composed = compose(
            self.facts,
            b"GET" if effect is Effect.SAFE else b"POST",
            request.target.encode(),
            headers,
            request.body,
            request.facts,
        )
        exchange = Waiting(asyncio.get_running_loop(), engine.clock.now())
        call: Call = engine.arrive(composed, exchange)
        try:
            result = await exchange.future
            assert result is not None  # nobody but the host's own cancelling makes a caller leave
            return result
        finally:
            engine.withdraw(call)
