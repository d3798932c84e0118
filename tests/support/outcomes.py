"""Collects the outcomes of a transport's attempts."""

from __future__ import annotations

from loopback import until

from troutdock.admission.interface import Outcome
from troutdock.http.response import Response
from troutdock.http.transport import HttpAttempt as Attempt
from troutdock.http.transport import HttpTransport

PAYLOAD = b"POST /vat-filing HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"


class Outcomes:
    """A transport with one backend, and the outcomes of its attempts."""

    def __init__(self, port: int, max_open: int = 10, idle_s: float = 30.0) -> None:
        self.ended: list[tuple[Attempt, Outcome, Response | None]] = []
        self.backends = HttpTransport(max_open, 0.25, idle_s, lambda *end: self.ended.append(end))
        self.backends.place(1, ("127.0.0.1", port))

    def start(self, payload: bytes = PAYLOAD) -> Attempt:
        attempt = Attempt(None, 0, 1, payload, 0.0)
        self.backends.start(attempt)
        assert not any(a is attempt for a, _, _ in self.ended)  # never reported within the call
        return attempt

    async def outcome(self, payload: bytes = PAYLOAD) -> tuple[Outcome, Response | None]:
        attempt = self.start(payload)
        await until(lambda: any(a is attempt for a, _, _ in self.ended))
        return next((o, r) for a, o, r in self.ended if a is attempt)
