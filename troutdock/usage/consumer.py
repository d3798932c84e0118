"""Sends the two requests of a delivery with http.client; blocking, for the exporter thread."""

from __future__ import annotations

import http.client
from collections.abc import Callable
from random import Random
from urllib.parse import urlsplit

from troutdock.usage.delivery import RESPONSE_TIMEOUT_MS, RetrySchedule, DeliveryResult, classify_response
from troutdock.usage.files import Files
from troutdock.usage.manifest import decode, digest_of
from troutdock.usage.store import Store

MAX_RESPONSE_BYTES = 64 * 1024  # of an acknowledgement


class Consumer:
    """HTTP client of the service that receives exports."""

    def __init__(self, url: str, response_timeout_ms: float = RESPONSE_TIMEOUT_MS) -> None:
        """url: http://host:port/path, to which file names are appended. ValueError for another form."""
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname or parts.query or parts.fragment:
            raise ValueError(f"{url!r} is not an http URL of a folder")
        self._host, self._port, self._path = parts.hostname, parts.port or 80, parts.path.rstrip("/")
        self._response_timeout_s = response_timeout_ms / 1000

    def put(self, name: str, body: bytes, digest: str, kind: str) -> tuple[int, bytes, float]:
        """Sends a file; returns status (0: no response), body and Retry-After in ms."""
        connection = http.client.HTTPConnection(self._host, self._port, timeout=self._response_timeout_s)
        try:
            connection.request(
                "PUT", f"{self._path}/{name}", body, {"Content-Type": kind, "Idempotency-Key": digest}
            )
            response = connection.getresponse()
            wait = response.getheader("Retry-After", "0")
            return (
                response.status,
                response.read(MAX_RESPONSE_BYTES),
                1000 * float(wait) if wait.replace(".", "", 1).isdigit() else 0.0,
            )
        except (OSError, http.client.HTTPException):
            return 0, b"", 0.0
        finally:
            connection.close()

    def deliver(self, files: Files, stem: str) -> tuple[DeliveryResult, str, float]:
        """Attempts to deliver an export; returns result, reason and the requested retry delay in ms."""
        data = files.read(f"{stem}.json")
        digest = digest_of(data)
        body = files.read(decode(data, f"{stem}.json").file)
        status, _, wait_ms = self.put(f"{stem}.parquet", body, digest, "application/vnd.apache.parquet")
        if status not in (200, 201, 202, 204, 409):
            result, why = classify_response(status, b"", digest)
            return result, f"file: {why}", wait_ms
        status, response, wait_ms = self.put(f"{stem}.json", data, digest, "application/json")
        result, why = classify_response(status, response, digest)
        return result, why, wait_ms


class Deliveries:
    """Delivers unacknowledged exports to the consumer, in order."""

    def __init__(
        self, store: Store, files: Files, consumer: Consumer, random: Random, log: Callable[[str], object]
    ) -> None:
        self._store, self._files, self._consumer, self._log = store, files, consumer, log
        self.schedule = RetrySchedule(random)

    def run(self, now: Callable[[], float]) -> int:
        """Delivers due exports until the first failure; returns the number acknowledged. now: clock in ms."""
        count = 0
        for export in self._store.exports():
            if export.acknowledged:
                continue
            if now() < self.schedule.due_at:
                break
            result, why, wait_ms = self._consumer.deliver(self._files, export.stem)
            if result is DeliveryResult.DELIVERED:
                self._store.acknowledge(export.number)
                count += 1
            elif self.schedule.failures == 0 or result is DeliveryResult.REJECTED:
                self._log(f"usage: export {export.stem} is not acknowledged: {why}")
            self.schedule.record_result(now(), export.number, result, wait_ms)
        return count
