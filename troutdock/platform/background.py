"""Tasks that run as long as the process."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

log = logging.getLogger("troutdock")

RESTART_DELAY_S = 0.1  # before a failed task is restarted


class Background:
    """Keeps a task running: restarts it and logs an error when it ends for any reason."""

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
        log.error("%s ended unexpectedly and is restarted", self._name, exc_info=task.exception())
        self._loop.call_later(RESTART_DELAY_S, self._restart_after, task)

    def _restart_after(self, ended: asyncio.Task[None]) -> None:
        if ended is self._task:  # otherwise it has been restarted already
            self._start()

    def restart(self) -> None:
        """Cancels the running task and starts a new one immediately."""
        before = self._task
        self._start()
        before.cancel()

    async def stop(self) -> None:
        """Stops the task permanently; returns once it has ended."""
        self._stopped = True
        self._task.cancel()
        await asyncio.wait({self._task})
