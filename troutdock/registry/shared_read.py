"""One read of the store for all callers that wait for it, so that many reads need the memory of one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

_Result = TypeVar("_Result")


class SharedRead(Generic[_Result]):
    """Runs a read for several callers, at most one at a time.

    A caller takes part only in a read that begins after its call, so that each result is as new as that of a
    read of its own.
    """

    def __init__(self, read: Callable[[], Awaitable[_Result]]) -> None:
        """read: performs one read."""
        self._read = read
        self._running: asyncio.Task[_Result] | None = None
        self._next: asyncio.Task[_Result] | None = None  # not begun; callers may still join

    async def result(self) -> _Result:
        """Returns the result of a read that begins after this call."""
        loop = asyncio.get_running_loop()
        if self._running is None or self._running.done():
            self._running = loop.create_task(self._begin())
            return await asyncio.shield(self._running)
        if self._next is None:
            self._next = loop.create_task(self._begin_after(self._running))
        return await asyncio.shield(self._next)

    async def _begin(self) -> _Result:
        return await self._read()

    async def _begin_after(self, running: asyncio.Task[_Result]) -> _Result:
        await asyncio.wait([running])
        self._running, self._next = self._next, None
        return await self._read()
