"""HTTP status codes and headers of final responses, common to all HTTP fronts."""

from __future__ import annotations

from troutdock.engine import Failure
from troutdock.http.response import Response

FORWARDED_HEADERS = (b"content-type", b"content-encoding")  # needed to interpret the body
# neither 429 nor 503: those are refusals, which promise that a retry is harmless
FAILURE_STATUS = {
    Failure.ATTEMPT: 502,
    Failure.UNANSWERED: 504,
    Failure.INTERNAL: 500,
    Failure.CLOSED: 500,
    Failure.UNRECORDED: 500,
}


def forwarded_headers(answer: Response) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers of a backend's response that are forwarded to the client."""
    return tuple((name, answer.headers[name]) for name in FORWARDED_HEADERS if name in answer.headers)
