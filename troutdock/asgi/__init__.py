"""ASGI 3 middleware: Forward sends requests on to ledger nodes, Guard admits them to the host's handlers."""

from troutdock.asgi.forward import ForwardMiddleware
from troutdock.asgi.guard import Admission, GuardMiddleware

__all__ = ["Admission", "ForwardMiddleware", "GuardMiddleware"]
