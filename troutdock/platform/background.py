"""Tasks that have to go on for as long as the program does."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

log = logging.getLogger("troutdock")

RESTART_DELAY_S = 0.1  # before a task that has failed is started anew


class Background:
    """Keeps a task running: guards against work that ends in silence, whatever ended it."""

    def __init__(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._name, self._work = name, work
        self._loop = asyncio.get_running_loop()
        self._stopped = False
        self._start()

    def _start(self) -> None:
        if not self._stopped:
            self._task = self._loop.create_task(self._work())
            self._task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._stopped:
            return
        log.error("%s has ended and is started anew", self._name, exc_info=task.exception())
        self._loop.call_later(RESTART_DELAY_S, self._restart_after, task)

    def _restart_after(self, ended: asyncio.Task[None]) -> None:
        if ended is self._task:  # else it was restarted meanwhile
            self._start()

    def restart(self) -> None:
        """Drop what is under way and begin anew at once."""
        before = self._task
        self._start()
        before.cancel()

    async def stop(self) -> None:
        """End for good; returns once the task has."""
        self._stopped = True
        self._task.cancel()
        await asyncio.wait({self._task})
