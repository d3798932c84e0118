"""Validation of the operator's configurations, long ones one at a time and beside the event loop.

Validating a long configuration takes some tenths of a second of processor time, and memory in proportion to
its length. So that several orders at once need no more memory than one, they wait for one worker thread, in
the order of their arrival. Heartbeats, reads and short orders do not wait: they never enter that thread.
"""

from __future__ import annotations

import asyncio
import concurrent.futures

from troutdock.settings.configuration import RejectedConfiguration, check_configuration

MAX_INLINE_BYTES = 64 * 1024  # validated in the event loop, within some 10 ms


class OrderValidator:
    """Validates configurations until close() is called."""

    def __init__(self) -> None:
        self._worker = concurrent.futures.ThreadPoolExecutor(1, "validation")

    async def validate(self, body: bytes) -> int | RejectedConfiguration:
        """Returns the version of a valid configuration, or why it is rejected.

        Args:
            body: JSON as the operator sent it.
        """
        if len(body) <= MAX_INLINE_BYTES:
            return check_configuration(body)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._worker, check_configuration, body)

    def close(self) -> None:
        """Cancels the orders that still wait; the one under way is completed in its thread."""
        self._worker.shutdown(wait=False, cancel_futures=True)
