"""Delivery of exports to a consumer over HTTP: retry schedule and meaning of responses (no I/O).

Theory of operation. Exports are delivered in order, one at a time. Each delivery consists of two requests,
PUT file and PUT manifest, both with the manifest's digest as Idempotency-Key. The response to the second
acknowledges that digest.

    due        the delay of the next attempt is random between 0 and a bound that doubles with each failure
    held       the consumer rejected the request: an operator must intervene; attempts continue once an hour
    delivered  the consumer acknowledged, now or earlier ("already had it"): the next export is due

Invariant. Only a response that contains the digest acknowledges: a 200 from a proxy, or one for another
export, does not.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec

FIRST_RETRY_MS, MAX_RETRY_MS = 1000.0, 300_000.0  # upper bounds of the first and of the longest delay
REJECTED_RETRY_MS = 3_600_000.0  # after a response that the request is invalid
RESPONSE_TIMEOUT_MS = 30_000.0  # per request; a consumer may be slow, and no client waits for it


class DeliveryResult(Enum):
    """Outcome of a delivery attempt."""

    DELIVERED = "delivered"
    RETRY = "again"
    REJECTED = "wrong"


class _Acknowledgement(msgspec.Struct):
    acknowledged: str


def classify_response(status: int, body: bytes, digest: str) -> tuple[DeliveryResult, str]:
    """Classifies the response to a manifest and gives the reason; status 0: no response."""
    if status == 0:
        return DeliveryResult.RETRY, "no response"
    if status in (200, 201, 202, 409):
        try:
            acknowledged_digest = msgspec.json.decode(body, type=_Acknowledgement).acknowledged
        except msgspec.MsgspecError:
            return DeliveryResult.RETRY, f"status {status} without an acknowledgement"
        if acknowledged_digest == digest:
            return DeliveryResult.DELIVERED, "already had it" if status == 409 else "acknowledged"
        return (
            DeliveryResult.REJECTED,
            f"acknowledges {acknowledged_digest[:12]!r} instead of {digest[:12]!r}",
        )
    if 400 <= status < 500 and status not in (408, 425, 429):
        return DeliveryResult.REJECTED, f"status {status}"
    return DeliveryResult.RETRY, f"status {status}"


@dataclass(slots=True)
class RetrySchedule:
    """Time of the next attempt. All times are in milliseconds."""

    random: Random
    due_at: float = 0.0
    failures: int = 0
    held: bool = False
    delivered: list[int] = field(default_factory=list)

    def record_result(
        self, now: float, number: int, result: DeliveryResult, retry_after_ms: float = 0.0
    ) -> None:
        """Updates the schedule after an attempt to deliver an export."""
        if result is DeliveryResult.DELIVERED:
            self.failures, self.held, self.due_at = 0, False, now
            self.delivered.append(number)
            return
        self.failures += 1
        self.held = result is DeliveryResult.REJECTED
        max_delay = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** min(30, self.failures - 1))
        delay = (
            REJECTED_RETRY_MS
            if self.held
            else self.random.uniform(0, max_delay) + min(MAX_RETRY_MS, retry_after_ms)
        )
        self.due_at = now + delay
