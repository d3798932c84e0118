"""Common parts of both modes: settings, lifespan, and the selection of requests by path."""

from __future__ import annotations

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable, Sequence

from troutdock.asgi.scope import below_root
from troutdock.asgi.types import App, Message, Receive, Scope, Send
from troutdock.engine import BadRequest, Call, Engine
from troutdock.library import shared
from troutdock.library.deployment import Deployment
from troutdock.library.facts import Facts
from troutdock.library.local import IDLE_POLL_S, Ingress, IngressClosed
from troutdock.platform.config import ConfigError

log = logging.getLogger("troutdock")

FactsOf = Callable[[Scope], Facts | Awaitable[Facts | None] | None]
ADMITTED = "troutdock.admitted"  # scope key: names of the deployments that have counted this request
_MAX_DEPTH = 100  # nested applications that are searched for a duplicate


class Middleware:
    """Pure ASGI 3 middleware over a shared ingress; see ForwardMiddleware and GuardMiddleware."""

    def __init__(
        self,
        app: App,
        deployment: Deployment,
        paths: Sequence[str],
        facts: FactsOf | None,
        shutdown_grace_s: float | None,
    ) -> None:
        if not isinstance(deployment, Deployment):
            raise ConfigError(f"deployment: {deployment!r} is not a Deployment")
        if not callable(app):
            raise ConfigError(f"app: {app!r} is not an ASGI application")
        if (
            isinstance(paths, str)
            or not paths
            or not all(isinstance(p, str) and p.startswith("/") for p in paths)
        ):
            raise ConfigError(f"paths: {paths!r} is not a list of paths that begin with '/'")
        if facts is not None and not callable(facts):
            raise ConfigError(f"facts: {facts!r} is not callable")
        if shutdown_grace_s is not None and not 0 <= shutdown_grace_s < 3600:
            raise ConfigError(f"shutdown_grace_s: {shutdown_grace_s!r} is not from 0 to 3,600 seconds")
        self.app, self.deployment = app, deployment
        self._paths = tuple(path.rstrip("/") for path in paths)
        self._facts, self._grace_s = facts, shutdown_grace_s
        self._reject_duplicate()
        self._ingress: Ingress | None = None
        self._starting: asyncio.Task[None] | None = None
        self.closing = False
        self.calls: set[Call] = set()  # accepted here, and not yet returned to the host's server

    def _reject_duplicate(self) -> None:
        """Rejects a middleware that is in an application twice: each request would be counted twice."""
        inner = self.app
        for _ in range(_MAX_DEPTH):
            if (
                type(inner) is type(self)
                and inner.deployment == self.deployment
                and (set(inner._paths) & set(self._paths))
            ):
                raise ConfigError(
                    f"{type(self).__name__} for deployment {self.deployment.name!r} is in this "
                    "application twice, for the same paths"
                )
            inner = getattr(inner, "app", None)  # type: ignore[assignment]
            if inner is None:
                return

    # ---- lifespan

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one ASGI scope."""
        if scope["type"] == "lifespan":
            await self._lifespan(scope, receive, send)
        elif scope["type"] != "http" or not self._is_mounted(scope):
            await self.app(scope, receive, send)
        else:
            if self._ingress is None:  # the host's server runs no lifespan
                await self.start()
            await self.handle(scope, receive, send)

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one request of the mounted paths."""
        raise NotImplementedError

    def _is_mounted(self, scope: Scope) -> bool:
        path = below_root(scope)
        return any(path == own or path.startswith(own + "/") for own in self._paths)

    async def start(self) -> None:
        """Opens or joins the deployment; called by the lifespan, or else by the first request.

        Only a program that runs the middleware without lifespan needs to call it, to get errors at its start.

        Raises:
            ConfigError, DeploymentInUse: see library.shared.
        """
        if self._starting is None or (self._starting.done() and self._ingress is None):
            self._starting = asyncio.get_running_loop().create_task(self._open())
        await asyncio.shield(self._starting)

    async def _open(self) -> None:
        self._ingress = await shared.join(self.deployment)
        self.closing = False
        self.opened(self._ingress)

    async def close(self) -> None:
        """Stops accepting requests, waits up to shutdown_grace_s for open ones, and leaves the deployment."""
        ingress, self.closing = self._ingress, True
        if ingress is None:
            return
        loop = asyncio.get_running_loop()
        until = None if self._grace_s is None else loop.time() + self._grace_s
        while self.calls and (until is None or loop.time() < until):
            await asyncio.sleep(IDLE_POLL_S)
        for call in list(self.calls):
            ingress.core.engine.fail_call(call)
        self.closed(ingress)
        self._ingress = None
        await shared.leave(ingress, self._grace_s)

    def opened(self, ingress: Ingress) -> None:
        """Called when the ingress is open."""

    def closed(self, ingress: Ingress) -> None:
        """Called before the middleware leaves the ingress."""

    async def _lifespan(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Opens before the application starts, drains before it ends, and reports a failed start."""
        first = await receive()
        try:
            await self.start()
        except Exception as error:
            await send({"type": "lifespan.startup.failed", "message": f"troutdock: {error}"})
            return
        started = startup_failed = False
        first_delivered = False

        async def receive_with_first() -> Message:
            nonlocal first_delivered
            if not first_delivered:
                first_delivered = True
                return first
            message = await receive()
            if message["type"] == "lifespan.shutdown":
                await self.close()
            return message

        async def send_tracked(message: Message) -> None:
            nonlocal started, startup_failed
            started = started or message["type"].startswith("lifespan.startup")
            startup_failed = startup_failed or message["type"] == "lifespan.startup.failed"
            await send(message)

        try:
            await self.app(scope, receive_with_first, send_tracked)
        except Exception:
            if started or first_delivered:
                await self.close()
                raise
            log.debug("the application does not support lifespan", exc_info=True)
        if startup_failed:
            await self.close()
        elif not started:  # the application does not support lifespan: the middleware answers for it
            await send({"type": "lifespan.startup.complete"})
            while (await receive())["type"] != "lifespan.shutdown":
                pass
            await self.close()
            await send({"type": "lifespan.shutdown.complete"})

    # ---- used by the subclasses

    async def facts_of(self, scope: Scope, default: Callable[[Scope], Facts]) -> Facts | None:
        """Returns the facts from the host's function, or the default; None: the request is not counted."""
        if self._facts is None:
            return default(scope)
        found = self._facts(scope)
        if inspect.isawaitable(found):
            found = await found
        if found is not None and not isinstance(found, Facts):
            raise TypeError(f"the facts function returned {found!r}, which is neither Facts nor None")
        return found

    def open_engine(self) -> tuple[Ingress, Engine]:
        """Returns the ingress and its engine; raises IngressClosed if a request can't be accepted now."""
        if self._ingress is None or self.closing:
            raise IngressClosed("the ingress is being closed")
        return self._ingress, self._ingress.require_open().engine

    @staticmethod
    def mark_counted(scope: Scope, name: str) -> bool:
        """Marks a request as counted for a deployment; returns False if it was marked already."""
        seen: frozenset[str] = scope.get(ADMITTED, frozenset())
        scope[ADMITTED] = seen | {name}
        return name not in seen


async def send_response(
    send: Send, status: int, body: bytes = b"", headers: Sequence[tuple[bytes, bytes]] = ()
) -> None:
    """Sends a complete response."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-length", b"%d" % len(body)), *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_bad_request(send: Send, error: BadRequest) -> None:
    """Sends the status and reason of a bad request."""
    await send_response(send, error.status, error.reason.encode(), ((b"content-type", b"text/plain"),))


async def send_refused(send: Send, retry_after_s: float) -> None:
    """Sends 429, with Retry-After if the time is known."""
    headers = ((b"retry-after", b"%.3f" % retry_after_s),) if retry_after_s > 0 else ()
    await send_response(send, 429, b"", headers)
