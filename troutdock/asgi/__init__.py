"""ASGI 3 middleware: ForwardMiddleware proxies requests to nodes, GuardMiddleware admits them to handlers."""

from troutdock.asgi.forward import ForwardMiddleware
from troutdock.asgi.guard import Admission, GuardMiddleware

__all__ = ["Admission", "ForwardMiddleware", "GuardMiddleware"]
