"""Guard mode: the wrapped application is itself the node; its handler runs at most once for a request.

Theory of operation. The engine decides as it does for nodes on sockets; the middleware's instance is a pool
of one backend, and an attempt on it is a run of the handler, in a task of its own. Who may say what:

    the engine      refuses or fails the request, before the handler has begun its answer: then the client
                    is told at once, the handler is cancelled, and what it still sends is dropped
    the handler     answers; from its response start on the answer is the client's, passed on as it comes.
                    If time runs out now the answer is broken off: an exception tells the server, which
                    ends the connection, so that the client can tell
    an exception    is the host's to word, as without the middleware: it goes on to whoever is above
    the client      leaves: the request is withdrawn, the handler is cancelled
    the host        cancels the middleware's coroutine: likewise, and the handler's end is waited for

One task alone reads the host's receive, ahead of the handler by READ_AHEAD bytes and a message at most: so
a client that leaves is heard though the handler does not ask.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from troutdock.admission.interface import (
    BackendEntry,
    BackendId,
    BackendState,
    FleetUpdate,
    ListKind,
    Outcome,
)
from troutdock.asgi.base import FactsOf, Middleware, answer, answer_bad, answer_refused
from troutdock.asgi.scope import facts_from_headers
from troutdock.asgi.types import App, Message, Receive, Scope, Send
from troutdock.engine import Attempt, BadRequest, Call, Engine, Failure, Request
from troutdock.http.status import FAILURE_STATUS
from troutdock.library.deployment import Deployment
from troutdock.library.facts import Facts
from troutdock.library.local import Ingress, IngressClosed
from troutdock.platform.config import ConfigError

log = logging.getLogger("troutdock")

ADMISSION = "troutdock"  # in the scope: the handler's Admission
LOCAL_BACKENDS = 1 << 52  # numbers of backends in this process: above those that are made of names
READ_AHEAD = 64 * 1024  # bytes of a body that are kept for a handler that has not asked for them yet
_LAST = ("http.response.pathsend", "http.response.zerocopysend")  # extensions that end an answer


class Admission:
    """What the handler may know and say of its admission: `request.scope["troutdock"]`.

    facts: on which it was admitted. deadline: seconds of the event loop's clock by which the answer must be
    whole. units: set it to the true units; else a Billed-Units header tells them, else the guess stays.
    """

    __slots__ = ("deadline", "facts", "units")

    def __init__(self, facts: Facts, deadline: float) -> None:
        self.facts, self.deadline = facts, deadline
        self.units: float | None = None


class AnswerBroken(RuntimeError):
    """An answer that has begun can't be finished; the server must end the connection."""


class _Answered:
    """The end of a handler's answer, for the engine."""

    __slots__ = ("true_units",)

    def __init__(self, true_units: float) -> None:
        self.true_units = true_units


class _Inbox:
    """The one reader of the host's receive: it reads ahead of the handler, and so hears the client leave."""

    def __init__(self, receive: Receive, left: Callable[[], None]) -> None:
        self._receive, self._left = receive, left
        self._kept: deque[Message] = deque()
        self._size = 0  # bytes of the bodies that are kept
        self._last: Message | None = None  # the client has left
        self._changed: asyncio.Future[None] | None = None  # somebody waits for the other side
        self._pump = asyncio.get_running_loop().create_task(self._read())
        self._pump.add_done_callback(self._ended)

    async def next(self) -> Message:
        """The next message, for the handler."""
        while not self._kept:
            if self._last is not None:
                return self._last
            if self._pump.done():
                self._pump.result()  # what the host's receive raised
            await self._wait()
        message = self._kept.popleft()
        self._size -= len(message.get("body", b""))
        self._wake()
        return message

    async def _read(self) -> None:
        while True:
            while self._size >= READ_AHEAD:
                await self._wait()
            message = await self._receive()
            if message["type"] == "http.disconnect":
                self._last = message
                self._left()
                return
            self._size += len(message.get("body", b""))
            self._kept.append(message)
            self._wake()

    async def _wait(self) -> None:
        # one of the two sides waits at a time: the handler for more, or the pump for less
        self._changed = asyncio.get_running_loop().create_future()
        await self._changed

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def _ended(self, pump: asyncio.Task[None]) -> None:
        if not pump.cancelled():
            pump.exception()  # the handler hears of it, if it asks
        self._wake()

    def close(self) -> None:
        """Nothing more is read."""
        self._pump.cancel()


class _GuardRequest(Request):
    """A request whose message is its exchange: an attempt is a run of its handler."""

    __slots__ = ("run",)

    def __init__(self, id: bytes, arrival: Any, repeatable: bool, run: _Run) -> None:
        super().__init__(id, arrival, repeatable)
        self.run = run

    def message(self, left_ms: float) -> _Run:
        self.run.left_ms = left_ms
        return self.run


class _Run:
    """The exchange of one request, and the run of its handler."""

    def __init__(self, engine: Engine, loop: asyncio.AbstractEventLoop) -> None:
        self.engine, self.arrived = engine, engine.clock.now()
        self.call: Call | None = None
        self.attempt: Attempt | None = None
        self.left_ms = 0.0
        # the answer: begun, its last message handed to the host, taken by the host
        self.begun = self.ending = self.finished = False
        self.handler_done = False  # before the engine had a word
        self.after: float | Failure | None = None  # what the engine says once the handler has been admitted
        self.units = 0.0
        self.outcome = Outcome.OK
        self.task: asyncio.Task[None] | None = None
        # what the middleware's coroutine waits for: None: the handler may run
        self.verdict: asyncio.Future[float | Failure | None] = loop.create_future()
        self.over: asyncio.Future[None] = loop.create_future()

    # ---- the exchange

    def _tell(self, verdict: float | Failure) -> None:
        if not self.verdict.done():
            self.verdict.set_result(verdict)
        elif self.after is None:
            self.after = verdict
        self._end()

    streams = False  # the handler's answer passes by

    def served(self, answer: Any) -> None:
        """The handler's answer is whole."""

    def refused(self, retry_after_ms: float) -> None:
        self._tell(retry_after_ms / 1000)

    def failed(self, why: Failure) -> None:
        self._tell(why)

    def broken(self) -> None:
        self._tell(Failure.ATTEMPT)

    def _end(self) -> None:
        if not self.over.done():
            self.over.set_result(None)

    # ---- the attempt

    def admitted(self, attempt: Attempt) -> None:
        """The handler may run."""
        self.attempt = attempt
        if not self.verdict.done():
            self.verdict.set_result(None)

    def given_up(self) -> None:
        """The engine waits for the handler no longer."""
        if self.task is not None:
            self.task.cancel()

    def report(self, outcome: Outcome) -> None:
        """The handler has come to an end, well or badly."""
        if self.attempt is not None and not self.attempt.over:
            self.attempt.over = True
            self.engine.attempt_ended(self.attempt, outcome, _Answered(self.units))

    def left(self) -> None:
        """The client has left."""
        if self.ending:
            # it has its answer; what the handler still does in the background is its own. Some hosts say so
            # (Starlette's BaseHTTPMiddleware) as soon as they have the last message
            return
        if self.call is not None:
            self.engine.withdraw(self.call)
        self._end()

    # ---- the handler's side

    def handler_ended(self, task: asyncio.Task[None]) -> None:
        """What the handler has not said is said for it."""
        if self.attempt is not None and not self.attempt.over:
            self.handler_done = True
            if not self.begun:
                self.engine.answer_began(self.attempt)  # its end is the answer, whoever words it
            self.report(Outcome.ERROR if not self.begun else Outcome.RESET)
        elif not task.cancelled() and (error := task.exception()) is not None:
            log.warning("a handler ended after its request did: %r", error)
        self._end()


class _GuardTransport:
    """Attempts on the wrapped application."""

    new_attempt = Attempt

    def place(self, backend: BackendId, endpoint: Any, up_since_ms: float) -> None:
        """There is but one, and it needs no address."""

    def follow(self, update: FleetUpdate) -> None:
        """Nothing is kept for it."""

    def start(self, attempt: Attempt) -> None:
        """The middleware's coroutine takes it from here."""
        attempt.message.admitted(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Cancel the handler."""
        attempt.over = True
        attempt.message.given_up()


class GuardMiddleware(Middleware):
    """Admits or refuses requests of the mounted paths by quota, and runs the app's handler at most once.

    app: the application behind. deployment: its plans and classes; instances of one name in a process share
    the quota counts, whatever their mode. paths: prefixes of paths below the application's root, by whole
    parts; others reach the app uncounted. facts: what a request is admitted on, sync or async; None from it
    lets the request pass uncounted. Default: class from the first part of the path, the rest from the
    protocol's headers. concurrency: how many requests the app works on at once without slowing down, as a
    first guess; what its answers take tells better. shutdown_grace_s: at the end, handlers have so long;
    None: until their deadlines.

    A refused request is answered 429 with Retry-After; one whose handler is late 429 where trying again is
    harmless by its class, else 502.

    ConfigError, when it is built, for a setting that can't be used.
    """

    def __init__(
        self,
        app: App,
        *,
        deployment: Deployment,
        paths: Sequence[str] = ("/",),
        facts: FactsOf | None = None,
        concurrency: float = 16.0,
        shutdown_grace_s: float | None = None,
    ) -> None:
        super().__init__(app, deployment, paths, facts, shutdown_grace_s)
        if not 0 < concurrency < 1e6:
            raise ConfigError(f"concurrency: {concurrency!r} is not a number above 0")
        self._concurrency = concurrency
        self._pool = 0
        self._strays: set[asyncio.Task[None]] = set()  # handlers that go on although they were cancelled

    def opened(self, ingress: Ingress) -> None:
        """The application becomes a pool of its own."""
        engine = ingress.core.engine
        self._pool = engine.add_pool(_GuardTransport())
        self._list(engine, BackendState.READY)

    def closed(self, ingress: Ingress) -> None:
        """Nothing reaches the application any more."""
        self._list(ingress.core.engine, BackendState.GONE)

    def _list(self, engine: Engine, state: BackendState) -> None:
        backend = LOCAL_BACKENDS + self._pool
        update = FleetUpdate(
            ListKind.CHANGES, [BackendEntry(backend, state, size=self._concurrency)], pool=self._pool
        )
        engine.fleet_updated(update, {backend: None})

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Admit the request, run the handler, pass its answer on."""
        if not self.first_time(scope, self.deployment.name):
            await self.app(scope, receive, send)  # counted by another instance on its way here
            return
        try:
            facts = await self.facts_of(scope, facts_from_headers)
            if facts is None:
                await self.app(scope, receive, send)
                return
            ingress, engine = self.taking()
            arrival = ingress.facts.arrival(facts)
            arrival.pool, arrival.max_attempts = self._pool, 1
            loop = asyncio.get_running_loop()
            run = _Run(engine, loop)
            id = facts.request_id.encode()
            run.call = engine.arrive(_GuardRequest(id, arrival, False, run), run)
            self.calls.add(run.call)
        except BadRequest as error:
            await answer_bad(send, error)
            return
        except IngressClosed as error:
            await answer(send, 503, str(error).encode(), ((b"content-type", b"text/plain"),))
            return
        try:
            verdict = await run.verdict
            if verdict is None:
                scope[ADMISSION] = Admission(facts, loop.time() + run.left_ms / 1000)
                verdict = await self._run(scope, receive, send, run)
            if verdict is not None:
                await self._word(send, verdict)
        finally:
            engine.withdraw(run.call)
            self.calls.discard(run.call)

    async def _word(self, send: Send, verdict: float | Failure) -> None:
        if isinstance(verdict, Failure):
            await answer(send, FAILURE_STATUS[verdict])
        else:
            await answer_refused(send, verdict)

    async def _run(self, scope: Scope, receive: Receive, send: Send, run: _Run) -> float | Failure | None:
        """Run the handler; what the engine says in its place, if it does."""
        loop = asyncio.get_running_loop()
        if run.over.done():
            return run.after  # its time was up before the handler had its turn
        inbox = _Inbox(receive, run.left)

        async def pass_on(message: Message) -> None:
            await self._pass_on(message, send, run, scope[ADMISSION])

        task = run.task = loop.create_task(_as_task(self.app, scope, inbox.next, pass_on))
        self._strays.add(task)
        task.add_done_callback(self._strays.discard)
        task.add_done_callback(run.handler_ended)
        try:
            await run.over
        except asyncio.CancelledError:
            if run.call is not None:
                run.engine.withdraw(run.call)
            task.cancel()
            await asyncio.wait({task})
            raise
        finally:
            inbox.close()
        if run.finished or run.handler_done:
            if not task.cancelled() and (error := task.exception()) is not None:
                raise error
            if run.begun and not run.finished:
                raise AnswerBroken("the handler ended within its answer")
            if not run.begun:
                log.error("the handler of %s ended without an answer", scope["path"])
                await answer(send, 500)
            return None
        if run.begun and run.after is not None:
            raise AnswerBroken("the answer could not be finished in its time")
        return run.after

    async def _pass_on(self, message: Message, send: Send, run: _Run, admission: Admission) -> None:
        """One message of the handler's answer."""
        kind = message["type"]
        if run.ending or (kind == "http.response.start" and run.begun):
            raise RuntimeError(f"the handler answers twice: {kind}")
        attempt = run.attempt
        if attempt is None or attempt.over:
            return  # the client has another answer, or has left
        if kind == "http.response.start":
            if not run.engine.answer_began(attempt):
                return
            run.begun = True
            run.units, run.outcome = _told(message)
        run.ending = kind in _LAST or (kind == "http.response.body" and not message.get("more_body", False))
        await send(message)
        if run.ending:
            if admission.units is not None:
                run.units = float(admission.units)
            run.finished = True
            run.report(run.outcome)


async def _as_task(app: App, scope: Scope, receive: Receive, send: Send) -> None:
    await app(scope, receive, send)


def _told(start: Message) -> tuple[float, Outcome]:
    """Units and outcome that a response start tells: what is 500 or more is a sign against the node."""
    status, units, idle = int(start["status"]), 0.0, False
    for name, value in start.get("headers", ()):
        match name.lower():
            case b"billed-units":
                try:
                    units = float(value)
                except ValueError:
                    units = 0.0
            case b"not-started":
                idle = value == b"1"
    if status in (503, 504) and idle:
        return 0.0, Outcome.FULL
    return units, Outcome.ERROR if status >= 500 else Outcome.OK
