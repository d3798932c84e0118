"""How a final answer is worded in HTTP, by every front that speaks it."""

from __future__ import annotations

from troutdock.engine import Failure
from troutdock.http.response import Response

FORWARDED_HEADERS = (
    b"content-type",
    b"content-encoding",
)  # of a backend's answer: what tells how to read its body
# no 429 or 503: those are refusals, and promise that trying again is harmless
FAILURE_STATUS = {
    Failure.ATTEMPT: 502,
    Failure.UNANSWERED: 504,
    Failure.INTERNAL: 500,
    Failure.CLOSED: 500,
    Failure.UNRECORDED: 500,
}


def forwarded_headers(answer: Response) -> tuple[tuple[bytes, bytes], ...]:
    """The headers of a backend's answer that its client gets."""
    return tuple((name, answer.headers[name]) for name in FORWARDED_HEADERS if name in answer.headers)
