"""Forward mode: sends requests of the mounted paths to ledger nodes, as the daemon does."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from troutdock.asgi.base import FactsOf, Middleware, send_response, send_bad_request, send_refused
from troutdock.asgi.scope import facts_from_headers, target_of
from troutdock.asgi.types import App, Receive, Scope, Send
from troutdock.engine import BadRequest
from troutdock.http.request import HttpRequest, Reader
from troutdock.http.response import MAX_BODY
from troutdock.http.status import FAILURE_STATUS, FORWARDED_HEADERS
from troutdock.library.deployment import Deployment
from troutdock.library.local import IngressClosed, Refused, Served, PendingExchange, build_request
from troutdock.platform.config import ConfigError


async def no_app(scope: Scope, receive: Receive, send: Send) -> None:
    """The inner application of a stand-alone ForwardMiddleware: answers 404 to every request."""
    if scope["type"] == "http":
        await send_response(send, 404)
    elif scope["type"] == "websocket":
        await send({"type": "websocket.close", "code": 1000})
    else:
        raise NotImplementedError(scope["type"])


class ForwardMiddleware(Middleware):
    """Sends requests of the mounted paths to ledger nodes through the engine; all others reach the app.

    Args:
        app: the inner application; without one the middleware can be mounted by itself.
        deployment: nodes, plans and classes; instances of one name in a process share the quota counts.
        paths: path prefixes below the application's root, in whole segments; the first segment below the
            root must be the class's name. Default: every path.
        facts: function, sync or async, that returns the facts of a request, or None to pass it to the app.
            Default: the protocol's headers, validated as by the daemon.
        body_timeout_s: time-out of a request's body, from the end of its head. max_body: limit in bytes.
        shutdown_grace_s: at shutdown, requests without an answer fail after it; None: at their deadlines.

    Raises:
        ConfigError: a setting is invalid.
    """

    def __init__(
        self,
        app: App = no_app,
        *,
        deployment: Deployment,
        paths: Sequence[str] = ("/",),
        facts: FactsOf | None = None,
        body_timeout_s: float = 2.0,
        max_body: int = MAX_BODY,
        shutdown_grace_s: float | None = None,
    ) -> None:
        super().__init__(app, deployment, paths, facts, shutdown_grace_s)
        if not 0 < body_timeout_s < 3600:
            raise ConfigError(f"body_timeout_s: {body_timeout_s!r} is not a number of seconds up to 3,600")
        if not 0 <= max_body <= MAX_BODY:
            raise ConfigError(f"max_body: {max_body!r} is not a number of bytes up to {MAX_BODY}")
        self._body_timeout_s, self._max_body = body_timeout_s, max_body
        self._reader = Reader(deployment.config.settings)

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reads the body, passes the request to the engine, and sends the single answer."""
        try:
            facts = await self.facts_of(scope, facts_from_headers) if self._facts is not None else None
            if self._facts is not None and facts is None:
                await self.app(scope, receive, send)
                return
            body = await self._read_body(scope, receive)
            if body is None:
                return  # the client disconnected before its request was complete
            ingress, engine = self.open_engine()
            method, target = scope["method"].encode(), target_of(scope)
            headers = [(name.lower(), value) for name, value in scope["headers"]]
            request: HttpRequest = (
                self._reader.read(method, target, headers, body)
                if facts is None
                else build_request(ingress.facts, method, target, headers, body, facts)
            )
            exchange = PendingExchange(asyncio.get_running_loop(), engine.clock.now())
            call = engine.arrive(request, exchange)
            self.calls.add(call)
        except BadRequest as error:
            await send_bad_request(send, error)
            return
        except IngressClosed as error:
            await send_response(send, 503, str(error).encode(), ((b"content-type", b"text/plain"),))
            return
        watcher: asyncio.Task[None] | None = None
        try:
            if not exchange.future.done():
                watcher = asyncio.get_running_loop().create_task(_wait_for_disconnect(receive, exchange))
            result = await exchange.future
            if result is None:
                return  # the client disconnected; the request is withdrawn below
        finally:
            engine.withdraw(call)
            self.calls.discard(call)
            if watcher is not None:
                watcher.cancel()
        match result:
            case Served(body, found, _):
                await send_response(send, 200, body, [(n, found[n]) for n in FORWARDED_HEADERS if n in found])
            case Refused(retry_after_s):
                await send_refused(send, retry_after_s)
            case _:
                await send_response(send, FAILURE_STATUS[result.why])

    async def _read_body(self, scope: Scope, receive: Receive) -> bytes | None:
        """Returns the body, or None if the client disconnects; BadRequest if it is too long or late."""
        for name, value in scope["headers"]:
            if name.lower() == b"content-length" and value.isdigit() and int(value) > self._max_body:
                raise BadRequest(413, "the body is too long")
        parts: list[bytes] = []
        size, more = 0, True
        try:
            async with asyncio.timeout(self._body_timeout_s):
                while more:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return None
                    part = message.get("body", b"")
                    size += len(part)
                    if size > self._max_body:
                        raise BadRequest(413, "the body is too long")
                    parts.append(part)
                    more = message.get("more_body", False)
        except TimeoutError:
            raise BadRequest(408, "the body did not come in time") from None
        return b"".join(parts)


async def _wait_for_disconnect(receive: Receive, exchange: PendingExchange) -> None:
    """Waits until the client disconnects: after a complete request, the next message or a receive error."""
    with suppress(Exception):
        while (await receive())["type"] != "http.disconnect":
            pass
    exchange.client_left()
