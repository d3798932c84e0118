"""Owner side of shared quotas in a large fleet: one gateway keeps a customer's bucket (no I/O, no clock).

Theory of operation. The traffic of digests to all peers grows with gateways times requests. As a gateway
takes in a limited number of datagrams a second, digests of a large fleet would be seconds apart. There,
each customer has one owner instead (owner_queries.py selects it). A gateway reports to the owner what it
admitted from its local slice, and queries it before it admits more than its slice holds. The level in the
reply plus the refill since then is an upper bound: no query is sent until that bound allows the request.

Invariants. A repeated query counts once. A bucket without history starts full, but until it had time to
refill it is capped at the level that askers know. A change of owner admits again any use unknown to them.
"""

from __future__ import annotations

from collections import deque

from troutdock.admission.owner_query_codec import OwnerReply, OwnerQuery, decode_query
from troutdock.admission.bucket_replication import BucketReplicas
from troutdock.admission.shared_bucket import SharedBucket
from troutdock.admission.usage_gossip import MAX_BUCKETS

REPLY_CACHE_MS = 2000.0  # longer than a query is repeated
REJECTION_SHARE, REJECTION_WINDOW_MS = 0.4, 1000.0  # of the intake: above it rejections carry a hold-off
MIN_HOLD_MS, MAX_HOLD_MS, HOLD_STEP = 20.0, 5000.0, 1.05  # the hold-off; its factor at each rejection


class BucketOwner:
    """The buckets that one gateway owns."""

    def __init__(self, intake_per_s: float) -> None:
        """intake_per_s: datagrams that a gateway can take in."""
        self.max_rejections = REJECTION_SHARE * intake_per_s
        self.buckets: dict[int, tuple[SharedBucket, float]] = {}  # by key: bucket, first query; LRU order
        self.replies: dict[tuple[int, int], OwnerReply] = {}  # by sender and query number
        self.reply_times: deque[tuple[float, tuple[int, int]]] = deque()
        self.replicas = BucketReplicas()
        self.rejection_rate, self.rejection_rate_at, self.hold_ms = 0.0, 0.0, MIN_HOLD_MS  # rate: per second

    def reply(self, now: float, sender: int, body: bytes) -> bytes:
        """Returns the reply to a peer's query, the same one if it is repeated; ValueError if malformed."""
        number, query = decode_query(body)
        while self.reply_times and now - self.reply_times[0][0] > REPLY_CACHE_MS:
            self.replies.pop(self.reply_times.popleft()[1], None)
        if (reply := self.replies.get((sender, number))) is None:
            reply = self.replies[sender, number] = self.apply(now, query)
            self.reply_times.append((now, (sender, number)))
        return reply.encode(number)

    def apply(self, now: float, query: OwnerQuery) -> OwnerReply:
        """Deducts the reported use, and the requested units if the reserve for others remains."""
        key, fill_rate, requested = query.key, query.fill_rate / 1000, query.requested / 1000
        bucket, first_seen = self.buckets.pop(key, (None, now))
        if bucket is None:
            bucket = SharedBucket(now, fill_rate, 0.0)
            bucket.deficit = self.replicas.take_deficit(now, key, fill_rate)
        self.buckets[key] = bucket, first_seen
        if len(self.buckets) > MAX_BUCKETS:
            del self.buckets[next(iter(self.buckets))]
        bucket.level(now)
        bucket.fill_rate = fill_rate
        if now - first_seen < 1 / fill_rate:
            bucket.deficit = max(bucket.deficit, 1 - query.level_bound)
        bucket.consume(now, query.used / 1000)
        granted = bucket.level(now) - query.reserve / 100 >= requested
        bucket.consume(now, requested * granted)
        self.replicas.record(key, bucket.level(now), query.standby)
        return OwnerReply(granted, bucket.level(now), 0.0 if granted else self.next_hold_ms(now))

    def next_hold_ms(self, now: float) -> float:
        """Limits the intake: returns how long a rejected asker sends no query, even if tokens return."""
        self.rejection_rate, self.rejection_rate_at = (
            max(0.0, self.rejection_rate * (1 - (now - self.rejection_rate_at) / REJECTION_WINDOW_MS)) + 1,
            now,
        )
        over = self.rejection_rate > self.max_rejections
        self.hold_ms = min(MAX_HOLD_MS, max(MIN_HOLD_MS, self.hold_ms * HOLD_STEP ** (1 if over else -1)))
        return self.hold_ms if self.hold_ms > MIN_HOLD_MS else 0.0
