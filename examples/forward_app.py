"""A FastAPI application that forwards the ledger's requests to its nodes and handles all others itself.

RELAY_CONFIG=config.json uvicorn --factory examples.forward_app:from_environment
"""

from __future__ import annotations

import os

from fastapi import FastAPI, Response

from troutdock.asgi import ForwardMiddleware
from troutdock.library import Deployment


def make_app(deployment: Deployment) -> FastAPI:
    """Creates the application; the name of each class of the deployment is the first segment of a path."""
    app = FastAPI()

    @app.get("/healthz")
    async def healthz() -> Response:
        return Response(status_code=200)

    paths = [f"/{cls.name}" for cls in deployment.config.settings.classes]
    app.add_middleware(ForwardMiddleware, deployment=deployment, paths=paths)
    return app


def from_environment() -> FastAPI:
    """Creates the application from the platform's configuration file, named by RELAY_CONFIG."""
    return make_app(Deployment.from_file(os.environ["RELAY_CONFIG"]))
