"""Exchange of customers' quota use between gateways of a small fleet (no I/O, no clock).

Theory of operation. Where many gateways share a customer, one gateway's slice of the quota is smaller than a
request, and the counter cannot take a call per request. So each gateway keeps its own estimate of the
customer's shared bucket: its own use is deducted at once, and peers report theirs shortly afterwards in
digests of a few bytes per customer.

    isolated   no digest for SILENCE_LIMIT_MS: the counter and the slices decide, as without peers
    receiving  digests arrive, but the bucket was followed for less than its fill time: reported use is
               deducted, and a level reported by a synchronised peer is adopted
    synced     the bucket was followed since it was full, or a synchronised peer reported its level: further
               reported levels only correct it a little, so that lost digests don't add up

Invariants. A peer can cause a customer to be refused, as the quota is shared, but it never selects a backend
and never admits what the ceiling forbids. Digests are rate-limited so that no gateway is sent more than it
takes in, and are at most MAX_DATAGRAM_BYTES long.
"""

from __future__ import annotations

from collections import deque
from math import inf
from random import Random

from troutdock.admission.usage_digest_codec import MAX_ENTRIES, MAX_ENTRY_USE, customer_key
from troutdock.admission.usage_digest_codec import decode_digest, encode_digest
from troutdock.admission.shared_bucket import SharedBucket

SILENCE_LIMIT_MS = 10_000.0  # without digests for this long, peers count as unreachable; idle ones send none
INTAKE_SHARE = 0.8  # of a gateway's intake: the rest absorbs random variation
MIN_INTERVAL_MS = 200.0  # between digests: a report this late admits two extra requests at most
MIN_USE = 0.02  # of the burst, to be reported; buckets start at a random debt so that the sum is unbiased
LEVEL_GAIN = 0.2  # weight of a reported level in a synced bucket: averages the noise of a few digests
MAX_BUCKETS = 20_000  # at some 250 bytes each
SEEN_NUMBERS = 64  # digest numbers remembered per sender to drop duplicates


class UsageGossip:
    """What one gateway reports to its peers and learns from them."""

    def __init__(self, gateways: int, intake_per_s: float, random: Random) -> None:
        """intake_per_s: digests that a gateway can take in; 0: reports are not allowed."""
        self.random = random
        self.interval_ms = (
            inf
            if gateways < 2 or intake_per_s <= 0
            else max(MIN_INTERVAL_MS, 1000 * (gateways - 1) / intake_per_s / INTAKE_SHARE)
        )
        self.number = random.randrange(1 << 16)
        self.buckets: dict[int, SharedBucket] = {}  # by customer key, least recently used first
        self.received_at, self.receiving_since = -inf, inf
        self.sent_at = -inf
        self.due_reports: dict[int, SharedBucket] = {}  # buckets with use to report, by customer key
        self.seen_numbers: dict[int, deque[int]] = {}  # by sender
        self.malformed: dict[int, int] = {}  # count of malformed digests, by sender

    def is_receiving(self, now: float) -> bool:
        """Whether this fleet uses digests and a recent one has arrived."""
        return self.interval_ms < inf and now - self.received_at < SILENCE_LIMIT_MS

    def bucket(self, now: float, customer: int, fill_rate: float = 0.0) -> SharedBucket:
        """Returns a customer's bucket; fill_rate: fractions of the burst per ms, 0 if the plan is unknown."""
        return self._bucket(now, customer_key(customer), fill_rate)

    def _bucket(self, now: float, key: int, fill_rate: float = 0.0) -> SharedBucket:
        bucket = self.buckets.pop(key, None) or SharedBucket(now, fill_rate, -MIN_USE * self.random.random())
        self.buckets[key] = bucket
        bucket.fill_rate = fill_rate or bucket.fill_rate
        if len(self.buckets) > MAX_BUCKETS:
            del self.buckets[next(iter(self.buckets))]
        return bucket

    def record_use(self, now: float, customer: int, fill_rate: float, amount: float) -> None:
        """Deducts own use and queues its report; negative if the actual use was below the estimate."""
        if self.interval_ms == inf or not amount:
            return
        key = customer_key(customer)
        bucket = self._bucket(now, key, fill_rate)
        bucket.consume(now, amount)
        bucket.unreported += amount
        if abs(bucket.unreported) >= MIN_USE:
            self.due_reports[key] = bucket

    def due(self, now: float) -> bool:
        """Whether there is use to report and the rate limit allows a digest."""
        return bool(self.due_reports) and now - self.sent_at >= self.interval_ms

    def next_digest(self, now: float) -> bytes:
        """Returns the digest to send now, largest use first; what does not fit waits for the next one."""
        rows = sorted(self.due_reports.items(), key=lambda row: -abs(row[1].unreported))[:MAX_ENTRIES]
        self.number = (self.number + 1) % (1 << 16)
        entries: list[tuple[int, int, float | None]] = []
        for key, bucket in rows:
            percent = max(-MAX_ENTRY_USE, min(MAX_ENTRY_USE, round(bucket.unreported * 100)))
            bucket.unreported -= percent / 100
            if abs(bucket.unreported) < MIN_USE:
                del self.due_reports[key]
            entries.append((key, percent, max(0.0, bucket.level(now)) if self.synced(now, bucket) else None))
        # jitter keeps the digests of many gateways from arriving at the same moment
        self.sent_at = now + self.random.uniform(-0.1, 0.1) * self.interval_ms
        return encode_digest(self.number, entries)

    def synced(self, now: float, bucket: SharedBucket) -> bool:
        """Whether the bucket was followed since it was full or since a synchronised peer's report."""
        return bucket.fill_rate > 0 and (bucket.synced or now - self.receiving_since >= 1 / bucket.fill_rate)

    def receive(self, now: float, sender: int, body: bytes) -> None:
        """Applies a peer's digest; ValueError if malformed, and then nothing is applied."""
        number, rows = decode_digest(body)
        numbers = self.seen_numbers.setdefault(sender, deque(maxlen=SEEN_NUMBERS))
        if number in numbers:
            return  # duplicate
        numbers.append(number)
        if not self.is_receiving(now):
            self.receiving_since = now
            for bucket in self.buckets.values():
                bucket.synced = False
        self.received_at = now
        for key, percent, level in rows:
            bucket = self._bucket(now, key)
            bucket.consume(now, percent / 100)
            if level is not None:
                bucket.deficit += (1 - level - bucket.deficit) * (
                    LEVEL_GAIN if self.synced(now, bucket) else 1.0
                )
                bucket.synced = True
