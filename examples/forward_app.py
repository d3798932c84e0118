"""A FastAPI application that sends the ledger's requests on to its nodes, and answers all others itself.

RELAY_CONFIG=config.json uvicorn --factory examples.forward_app:from_environment
"""

from __future__ import annotations

import os

from fastapi import FastAPI, Response

from troutdock.asgi import ForwardMiddleware
from troutdock.library import Deployment


def make_app(deployment: Deployment) -> FastAPI:
    """The application over a deployment: each class of it is the first part of a path."""
    app = FastAPI()

    @app.get("/healthz")
    async def healthz() -> Response:
        return Response(status_code=200)

    paths = [f"/{cls.name}" for cls in deployment.config.settings.classes]
    app.add_middleware(ForwardMiddleware, deployment=deployment, paths=paths)
    return app


def from_environment() -> FastAPI:
    """As the platform tells an ingress: by the file that RELAY_CONFIG names."""
    return make_app(Deployment.from_file(os.environ["RELAY_CONFIG"]))
