"""Exports to a consumer over HTTP, until it acknowledges them.

When to try, and what its answers mean (no I/O).

Theory of operation. Exports go in their order, one at a time. Each is two messages, PUT file and PUT
manifest, both with the manifest's digest as Idempotency-Key; the answer to the second acknowledges that
digest.

    due        the next try is at a time drawn anew after each failure, from nought to twice the last bound
    held       the consumer says that the message is wrong: a person has to look, tries go on once in an hour
    delivered  it has acknowledged, now or before ("already had it"): the next export is due

Rule. Only an answer that names the digest acknowledges: a proxy's 200, or one for another export, does not.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec

FIRST_RETRY_MS, MAX_RETRY_MS = 1000.0, 300_000.0  # bounds of the first and of the longest pause
REJECTED_RETRY_MS = 3_600_000.0
RESPONSE_TIMEOUT_MS = 30_000.0  # for one message; a consumer may be slow, and nobody waits here


class DeliveryResult(Enum):
    """What an answer means."""

    DELIVERED = "delivered"
    RETRY = "again"
    REJECTED = "wrong"


class _Acknowledgement(msgspec.Struct):
    acknowledged: str


def classify_response(status: int, body: bytes, digest: str) -> tuple[DeliveryResult, str]:
    """What the answer to a manifest means, and why; status 0: no answer came."""
    if status == 0:
        return DeliveryResult.RETRY, "no answer"
    if status in (200, 201, 202, 409):
        try:
            acknowledged_digest = msgspec.json.decode(body, type=_Acknowledgement).acknowledged
        except msgspec.MsgspecError:
            return DeliveryResult.RETRY, f"answered {status} and acknowledges nothing"
        if acknowledged_digest == digest:
            return DeliveryResult.DELIVERED, "already had it" if status == 409 else "acknowledged"
        return (
            DeliveryResult.REJECTED,
            f"acknowledges {acknowledged_digest[:12]!r} in place of {digest[:12]!r}",
        )
    if 400 <= status < 500 and status not in (408, 425, 429):
        return DeliveryResult.REJECTED, f"answered {status}"
    return DeliveryResult.RETRY, f"answered {status}"


@dataclass(slots=True)
class RetrySchedule:
    """When the next try is made. All times are milliseconds."""

    random: Random
    due_at: float = 0.0
    failures: int = 0
    held: bool = False
    delivered: list[int] = field(default_factory=list)

    def record_result(
        self, now: float, number: int, result: DeliveryResult, retry_after_ms: float = 0.0
    ) -> None:
        """What became of a try with an export."""
        if result is DeliveryResult.DELIVERED:
            self.failures, self.held, self.due_at = 0, False, now
            self.delivered.append(number)
            return
        self.failures += 1
        self.held = result is DeliveryResult.REJECTED
        bound = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** min(30, self.failures - 1))
        pause = (
            REJECTED_RETRY_MS
            if self.held
            else self.random.uniform(0, bound) + min(MAX_RETRY_MS, retry_after_ms)
        )
        self.due_at = now + pause
