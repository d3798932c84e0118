"""What both modes share: their settings, the lifespan, and which requests are theirs."""

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
ADMITTED = "troutdock.admitted"  # in the scope: names of the deployments that have counted this request
_DEPTH = 100  # how many applications that wrap one another are looked at


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
            raise ConfigError(f"deployment: {deployment!r} is no Deployment")
        if not callable(app):
            raise ConfigError(f"app: {app!r} is no ASGI application")
        if (
            isinstance(paths, str)
            or not paths
            or not all(isinstance(p, str) and p.startswith("/") for p in paths)
        ):
            raise ConfigError(f"paths: {paths!r} is not a list of paths that begin with '/'")
        if facts is not None and not callable(facts):
            raise ConfigError(f"facts: {facts!r} can't be called")
        if shutdown_grace_s is not None and not 0 <= shutdown_grace_s < 3600:
            raise ConfigError(f"shutdown_grace_s: {shutdown_grace_s!r} is not from 0 to 3,600 seconds")
        self.app, self.deployment = app, deployment
        self._paths = tuple(path.rstrip("/") for path in paths)
        self._facts, self._grace_s = facts, shutdown_grace_s
        self._refuse_twin()
        self._ingress: Ingress | None = None
        self._starting: asyncio.Task[None] | None = None
        self.closing = False
        self.calls: set[Call] = set()  # taken here, and not returned to the host's server yet

    def _refuse_twin(self) -> None:
        """Guards against one middleware put into an application twice: each request would count twice."""
        inner = self.app
        for _ in range(_DEPTH):
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
        """One connection's scope, as ASGI says."""
        if scope["type"] == "lifespan":
            await self._lifespan(scope, receive, send)
        elif scope["type"] != "http" or not self._mine(scope):
            await self.app(scope, receive, send)
        else:
            if self._ingress is None:  # the host's server told of no start
                await self.start()
            await self.handle(scope, receive, send)

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One request of the mounted paths."""
        raise NotImplementedError

    def _mine(self, scope: Scope) -> bool:
        path = below_root(scope)
        return any(path == own or path.startswith(own + "/") for own in self._paths)

    async def start(self) -> None:
        """Open the deployment, or share it; the lifespan does it, or else the first request.

        ConfigError, DeploymentInUse: see library.shared. Only a program that runs the middleware without
        lifespan needs to call it, to have such errors at its start.
        """
        if self._starting is None or (self._starting.done() and self._ingress is None):
            self._starting = asyncio.get_running_loop().create_task(self._open())
        await asyncio.shield(self._starting)

    async def _open(self) -> None:
        self._ingress = await shared.join(self.deployment)
        self.closing = False
        self.opened(self._ingress)

    async def close(self) -> None:
        """Take nothing more, let what was taken end within shutdown_grace_s, and leave the deployment."""
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
        """The ingress is there."""

    def closed(self, ingress: Ingress) -> None:
        """The ingress is about to be left."""

    async def _lifespan(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Open before the application starts, drain before it ends, and say so if that fails."""
        first = await receive()
        try:
            await self.start()
        except Exception as error:
            await send({"type": "lifespan.startup.failed", "message": f"troutdock: {error}"})
            return
        started = ended = False
        handed = False

        async def receive_after() -> Message:
            nonlocal handed
            if not handed:
                handed = True
                return first
            message = await receive()
            if message["type"] == "lifespan.shutdown":
                await self.close()
            return message

        async def send_noted(message: Message) -> None:
            nonlocal started, ended
            started = started or message["type"].startswith("lifespan.startup")
            ended = ended or message["type"] == "lifespan.startup.failed"
            await send(message)

        try:
            await self.app(scope, receive_after, send_noted)
        except Exception:
            if started or handed:
                await self.close()
                raise
            log.debug("the application has no lifespan of its own", exc_info=True)
        if ended:
            await self.close()
        elif not started:  # the application knows no lifespan: the middleware has one all the same
            await send({"type": "lifespan.startup.complete"})
            while (await receive())["type"] != "lifespan.shutdown":
                pass
            await self.close()
            await send({"type": "lifespan.shutdown.complete"})

    # ---- for the modes

    async def facts_of(self, scope: Scope, default: Callable[[Scope], Facts]) -> Facts | None:
        """What the host's function says of a request, or the default; None: it is not to be counted."""
        if self._facts is None:
            return default(scope)
        found = self._facts(scope)
        if inspect.isawaitable(found):
            found = await found
        if found is not None and not isinstance(found, Facts):
            raise TypeError(f"the facts function returned {found!r}, which is neither Facts nor None")
        return found

    def taking(self) -> tuple[Ingress, Engine]:
        """The ingress and its engine, if a request may be taken here and now; else IngressClosed."""
        if self._ingress is None or self.closing:
            raise IngressClosed("the ingress is being closed")
        return self._ingress, self._ingress.require_open().engine

    @staticmethod
    def first_time(scope: Scope, name: str) -> bool:
        """Mark a request as counted for a deployment; false if it was."""
        seen: frozenset[str] = scope.get(ADMITTED, frozenset())
        scope[ADMITTED] = seen | {name}
        return name not in seen


async def answer(
    send: Send, status: int, body: bytes = b"", headers: Sequence[tuple[bytes, bytes]] = ()
) -> None:
    """A whole answer."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-length", b"%d" % len(body)), *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def answer_bad(send: Send, error: BadRequest) -> None:
    """What the client sent makes no sense."""
    await answer(send, error.status, error.reason.encode(), ((b"content-type", b"text/plain"),))


async def answer_refused(send: Send, retry_after_s: float) -> None:
    """429, with the time to come back."""
    headers = ((b"retry-after", b"%.3f" % retry_after_s),) if retry_after_s > 0 else ()
    await answer(send, 429, b"", headers)
