"""Guard mode: the wrapped application acts as the node; its handler runs at most once per request.

Theory of operation. The engine decides as for nodes on sockets. Each middleware instance is a pool of one
backend, and an attempt on it runs the handler in a separate task. Events that end a request:

    engine       refuses or fails the request before the handler has started its response: the client gets
                 this answer at once, the handler is cancelled, and its later messages are dropped
    handler      responds: from its response start on, messages are passed to the client as they come. If
                 the deadline passes after that, the response is aborted: an exception makes the server
                 close the connection, so that the client can detect it
    exception    of the handler: propagates to the host, as without the middleware
    client       disconnects: the request is withdrawn, the handler is cancelled
    host         cancels the middleware's coroutine: the same, and the end of the handler is awaited

A single task reads the host's receive, ahead of the handler by at most READ_AHEAD_BYTES and one message, so
a disconnect of the client is noticed even while the handler does not read.
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
from troutdock.asgi.base import FactsOf, Middleware, send_response, send_bad_request, send_refused
from troutdock.asgi.scope import facts_from_headers
from troutdock.asgi.types import App, Message, Receive, Scope, Send
from troutdock.engine import Attempt, BadRequest, Call, Engine, Failure, Request
from troutdock.http.status import FAILURE_STATUS
from troutdock.library.deployment import Deployment
from troutdock.library.facts import Facts
from troutdock.library.local import Ingress, IngressClosed
from troutdock.platform.config import ConfigError

log = logging.getLogger("troutdock")

ADMISSION = "troutdock"  # scope key of the handler's Admission
LOCAL_BACKENDS = 1 << 52  # first id of backends in this process: above the ids that are derived from names
READ_AHEAD_BYTES = 64 * 1024  # of a body that the handler has not read yet
_FINAL_MESSAGES = (
    "http.response.pathsend",
    "http.response.zerocopysend",
)  # ASGI extensions whose message ends a response


class Admission:
    """The admission of a request, for its handler: `request.scope["troutdock"]`.

    facts: the inputs of the admission decision. deadline: time of the event loop's clock, in seconds, by
    which the response must be complete. units: the handler may set it to the true units; otherwise a
    Billed-Units header gives them, otherwise the estimate stays.
    """

    __slots__ = ("deadline", "facts", "units")

    def __init__(self, facts: Facts, deadline: float) -> None:
        self.facts, self.deadline = facts, deadline
        self.units: float | None = None


class AnswerBroken(RuntimeError):
    """A response that has started can't be completed; the server must close the connection."""


class _HandlerResponse:
    """The end of a handler's response, as the engine reads it."""

    __slots__ = ("true_units",)

    def __init__(self, true_units: float) -> None:
        self.true_units = true_units


class _ReadAheadReceiver:
    """Reads the host's receive ahead of the handler, so that a disconnect is noticed early."""

    def __init__(self, receive: Receive, client_left: Callable[[], None]) -> None:
        self._receive, self._on_disconnect = receive, client_left
        self._buffer: deque[Message] = deque()
        self._buffered_bytes = 0  # bytes of body in the buffered messages
        self._disconnect: Message | None = None  # set when the client has disconnected
        self._wakeup: asyncio.Future[None] | None = None  # set while the handler or the reader waits
        self._reader = asyncio.get_running_loop().create_task(self._read())
        self._reader.add_done_callback(self._ended)

    async def next(self) -> Message:
        """Returns the next message; the receive function of the handler."""
        while not self._buffer:
            if self._disconnect is not None:
                return self._disconnect
            if self._reader.done():
                self._reader.result()  # raises the error of the host's receive
            await self._wait()
        message = self._buffer.popleft()
        self._buffered_bytes -= len(message.get("body", b""))
        self._wake()
        return message

    async def _read(self) -> None:
        while True:
            while self._buffered_bytes >= READ_AHEAD_BYTES:
                await self._wait()
            message = await self._receive()
            if message["type"] == "http.disconnect":
                self._disconnect = message
                self._on_disconnect()
                return
            self._buffered_bytes += len(message.get("body", b""))
            self._buffer.append(message)
            self._wake()

    async def _wait(self) -> None:
        # Only one side waits at a time: the handler for a message, or the reader for free buffer space.
        self._wakeup = asyncio.get_running_loop().create_future()
        await self._wakeup

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def _ended(self, reader: asyncio.Task[None]) -> None:
        if not reader.cancelled():
            reader.exception()  # marks it as retrieved; next() raises it to the handler
        self._wake()

    def close(self) -> None:
        """Stops reading."""
        self._reader.cancel()


class _GuardRequest(Request):
    """A request whose message is its handler run: an attempt runs the handler."""

    __slots__ = ("run",)

    def __init__(self, id: bytes, arrival: Any, repeatable: bool, run: _HandlerRun) -> None:
        super().__init__(id, arrival, repeatable)
        self.run = run

    def message(self, left_ms: float) -> _HandlerRun:
        self.run.left_ms = left_ms
        return self.run


class _HandlerRun:
    """The exchange of one request and the run of its handler."""

    def __init__(self, engine: Engine, loop: asyncio.AbstractEventLoop) -> None:
        self.engine, self.arrived = engine, engine.clock.now()
        self.call: Call | None = None
        self.attempt: Attempt | None = None
        self.left_ms = 0.0
        # state of the response: started, last message passed to the host, last message accepted by the host
        self.response_started = self.last_message_passed = self.response_sent = False
        self.handler_done = False  # it ended before the engine ended the attempt
        self.late_verdict: float | Failure | None = None  # the engine's result after the handler was admitted
        self.units = 0.0
        self.outcome = Outcome.OK
        self.task: asyncio.Task[None] | None = None
        # awaited by the middleware's coroutine; None: the handler may run
        self.verdict: asyncio.Future[float | Failure | None] = loop.create_future()
        self.over: asyncio.Future[None] = loop.create_future()

    # ---- the exchange

    def _set_verdict(self, verdict: float | Failure) -> None:
        if not self.verdict.done():
            self.verdict.set_result(verdict)
        elif self.late_verdict is None:
            self.late_verdict = verdict
        self._end()

    streams = False  # the handler's response bypasses the engine

    def served(self, answer: Any) -> None:
        """The handler's response is complete."""

    def refused(self, retry_after_ms: float) -> None:
        self._set_verdict(retry_after_ms / 1000)

    def failed(self, why: Failure) -> None:
        self._set_verdict(why)

    def broken(self) -> None:
        self._set_verdict(Failure.ATTEMPT)

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
        """The engine has abandoned the attempt."""
        if self.task is not None:
            self.task.cancel()

    def report(self, outcome: Outcome) -> None:
        """Reports the end of the handler to the engine."""
        if self.attempt is not None and not self.attempt.over:
            self.attempt.over = True
            self.engine.attempt_ended(self.attempt, outcome, _HandlerResponse(self.units))

    def client_left(self) -> None:
        """The client has disconnected."""
        if self.last_message_passed:
            # The response is complete, and background work of the handler may go on. Some hosts
            # (Starlette's BaseHTTPMiddleware) report a disconnect as soon as they have the last message.
            return
        if self.call is not None:
            self.engine.withdraw(self.call)
        self._end()

    # ---- the handler's side

    def handler_ended(self, task: asyncio.Task[None]) -> None:
        """Completes the attempt if the handler ended without a complete response."""
        if self.attempt is not None and not self.attempt.over:
            self.handler_done = True
            if not self.response_started:
                self.engine.answer_began(self.attempt)  # its end counts as the response
            self.report(Outcome.ERROR if not self.response_started else Outcome.RESET)
        elif not task.cancelled() and (error := task.exception()) is not None:
            log.warning("a handler ended after its request did: %r", error)
        self._end()


class _GuardTransport:
    """The engine's transport: attempts on the wrapped application."""

    new_attempt = Attempt

    def place(self, backend: BackendId, endpoint: Any, up_since_ms: float) -> None:
        """Does nothing: the single backend has no address."""

    def follow(self, update: FleetUpdate) -> None:
        """Does nothing: there is no state to update."""

    def start(self, attempt: Attempt) -> None:
        """Lets the middleware's coroutine run the handler."""
        attempt.message.admitted(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Cancels the handler."""
        attempt.over = True
        attempt.message.given_up()


class GuardMiddleware(Middleware):
    """Admits or refuses requests of the mounted paths by quota, and runs the app's handler at most once.

    A refused request is answered with 429 and Retry-After. If the handler misses the deadline, the answer is
    429 if a retry is safe by the request's class, else 502.

    Args:
        app: the wrapped application.
        deployment: plans and classes; instances of one name in a process share the quota counts, in either
            mode.
        paths: path prefixes below the application's root, in whole segments; other requests reach the app
            uncounted.
        facts: function, sync or async, that returns the facts of a request, or None to pass it uncounted.
            Default: class from the first path segment, the rest from the protocol's headers.
        concurrency: initial estimate of how many requests the app serves at once without slowing down; it
            is refined by the measured response times.
        shutdown_grace_s: at shutdown, time for handlers to end; None: until their deadlines.

    Raises:
        ConfigError: a setting is invalid.
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
        self._handler_tasks: set[asyncio.Task[None]] = (
            set()
        )  # running handlers, also those that go on after they were cancelled

    def opened(self, ingress: Ingress) -> None:
        """Registers the application as a separate pool."""
        engine = ingress.core.engine
        self._pool = engine.add_pool(_GuardTransport())
        self._announce(engine, BackendState.READY)

    def closed(self, ingress: Ingress) -> None:
        """Removes the application's backend."""
        self._announce(ingress.core.engine, BackendState.GONE)

    def _announce(self, engine: Engine, state: BackendState) -> None:
        backend = LOCAL_BACKENDS + self._pool
        update = FleetUpdate(
            ListKind.CHANGES, [BackendEntry(backend, state, size=self._concurrency)], pool=self._pool
        )
        engine.fleet_updated(update, {backend: None})

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Admits the request, runs the handler and passes on its response."""
        if not self.mark_counted(scope, self.deployment.name):
            await self.app(scope, receive, send)  # already counted by an outer instance
            return
        try:
            facts = await self.facts_of(scope, facts_from_headers)
            if facts is None:
                await self.app(scope, receive, send)
                return
            ingress, engine = self.open_engine()
            arrival = ingress.facts.arrival(facts)
            arrival.pool, arrival.max_attempts = self._pool, 1
            loop = asyncio.get_running_loop()
            run = _HandlerRun(engine, loop)
            id = facts.request_id.encode()
            run.call = engine.arrive(_GuardRequest(id, arrival, False, run), run)
            self.calls.add(run.call)
        except BadRequest as error:
            await send_bad_request(send, error)
            return
        except IngressClosed as error:
            await send_response(send, 503, str(error).encode(), ((b"content-type", b"text/plain"),))
            return
        try:
            verdict = await run.verdict
            if verdict is None:
                scope[ADMISSION] = Admission(facts, loop.time() + run.left_ms / 1000)
                verdict = await self._run(scope, receive, send, run)
            if verdict is not None:
                await self._send_verdict(send, verdict)
        finally:
            engine.withdraw(run.call)
            self.calls.discard(run.call)

    async def _send_verdict(self, send: Send, verdict: float | Failure) -> None:
        if isinstance(verdict, Failure):
            await send_response(send, FAILURE_STATUS[verdict])
        else:
            await send_refused(send, verdict)

    async def _run(
        self, scope: Scope, receive: Receive, send: Send, run: _HandlerRun
    ) -> float | Failure | None:
        """Runs the handler; returns the engine's answer if it replaces that of the handler."""
        loop = asyncio.get_running_loop()
        if run.over.done():
            return run.late_verdict  # the deadline passed before the handler started
        receiver = _ReadAheadReceiver(receive, run.client_left)

        async def pass_on(message: Message) -> None:
            await self._pass_on(message, send, run, scope[ADMISSION])

        task = run.task = loop.create_task(_as_task(self.app, scope, receiver.next, pass_on))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)
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
            receiver.close()
        if run.response_sent or run.handler_done:
            if not task.cancelled() and (error := task.exception()) is not None:
                raise error
            if run.response_started and not run.response_sent:
                raise AnswerBroken("the handler ended before its response was complete")
            if not run.response_started:
                log.error("the handler of %s ended without a response", scope["path"])
                await send_response(send, 500)
            return None
        if run.response_started and run.late_verdict is not None:
            raise AnswerBroken("the response was not complete at its deadline")
        return run.late_verdict

    async def _pass_on(self, message: Message, send: Send, run: _HandlerRun, admission: Admission) -> None:
        """Passes on one message of the handler's response."""
        kind = message["type"]
        if run.last_message_passed or (kind == "http.response.start" and run.response_started):
            raise RuntimeError(f"the handler answers twice: {kind}")
        attempt = run.attempt
        if attempt is None or attempt.over:
            return  # the client got another answer, or has disconnected
        if kind == "http.response.start":
            if not run.engine.answer_began(attempt):
                return
            run.response_started = True
            run.units, run.outcome = _parse_response_start(message)
        run.last_message_passed = kind in _FINAL_MESSAGES or (
            kind == "http.response.body" and not message.get("more_body", False)
        )
        await send(message)
        if run.last_message_passed:
            if admission.units is not None:
                run.units = float(admission.units)
            run.response_sent = True
            run.report(run.outcome)


async def _as_task(app: App, scope: Scope, receive: Receive, send: Send) -> None:
    await app(scope, receive, send)


def _parse_response_start(start: Message) -> tuple[float, Outcome]:
    """Returns units and outcome from a response start; a status of 500 or more is an error."""
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
