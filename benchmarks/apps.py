"""ASGI applications of the benchmarks, for uvicorn's --factory."""

from __future__ import annotations

import os

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from troutdock.asgi import ForwardMiddleware, GuardMiddleware
from troutdock.asgi.types import App
from troutdock.library import Deployment


async def _read(request: Request) -> PlainTextResponse:
    return PlainTextResponse("done")


def bare() -> Starlette:
    """Returns an application that answers reads itself."""
    return Starlette(routes=[Route("/ledger-read/{n}", _read)])


def guarded() -> App:
    """Returns the same application in guard mode."""
    return GuardMiddleware(bare(), deployment=Deployment.from_file(os.environ["RELAY_CONFIG"]))


def forwarding() -> App:
    """Returns an application with only the forwarding middleware."""
    return ForwardMiddleware(deployment=Deployment.from_file(os.environ["RELAY_CONFIG"]))
