"""The plans file in an ingress: rereads it when it changes and applies each assignment when it is due."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from math import inf
from pathlib import Path
from typing import Protocol

from troutdock import jsonlines
from troutdock.plans.schedule import PlanSchedule
from troutdock.plans.files import append, parse, read
from troutdock.plans.history import ConflictError

log = logging.getLogger("troutdock")

Call = Callable[[bytes], Awaitable[tuple[int, bytes]]]  # request body to status and response body


class Engine(Protocol):
    """The engine that applies plans."""

    def set_plan_book(self, plans: PlanSchedule) -> None:
        """Sets the schedule that is asked for the plan of each request."""

    def assign_plan(self, customer: int, plan: str) -> bool:
        """Changes a customer's plan now; returns false if there is no plan of that name."""


class Plans:
    """Plan assignments of an ingress; bound to the event loop that runs when it is started."""

    def __init__(self, file: Path, reread_s: float) -> None:
        """Reads the file for the first time; raises ValueError or OSError if that fails."""
        self._file, self._reread_s = file, reread_s
        self.schedule = PlanSchedule()
        self._file_mark = jsonlines.file_stamp(self._file)
        self.schedule.add(_now(), read(file))
        self._failed_mark: object = None
        self._logged_plans: set[str] = set()  # unknown plans that have been logged
        self._engine: Engine | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reread_task: asyncio.Task[None] | None = None

    def start(self, engine: Engine) -> None:
        """Sets the engine's plans, and applies changes from now on."""
        self._engine = engine
        engine.set_plan_book(self.schedule)
        self._reread_task = asyncio.create_task(self._reread())
        self._schedule_timer()

    async def close(self) -> None:
        """Stops reading the file and applying changes."""
        if self._timer is not None:
            self._timer.cancel()
        if self._reread_task is not None:
            self._reread_task.cancel()
            await asyncio.wait({self._reread_task})

    # ---- management calls

    def books(self) -> dict[tuple[bytes, bytes], Call]:
        """Returns the management calls that show the history and add to it, as JSON lines."""
        path = b"/control/plans"
        return {(b"GET", path): self._show, (b"POST", path): self._add}

    async def _show(self, body: bytes) -> tuple[int, bytes]:
        return 200, jsonlines.encode(self.schedule.history)

    async def _add(self, body: bytes) -> tuple[int, bytes]:
        """Adds assignments to the file, then applies them. Other new lines follow when it is reread."""
        if self._engine is None:
            return 503, b"not started\n"
        try:
            assignments = parse(body)
            await asyncio.to_thread(append, self._file, assignments)
            self._apply(self.schedule.add(_now(), assignments))
        except ConflictError as error:
            return 409, f"{error}\n".encode()
        except ValueError as error:
            return 400, f"{error}\n".encode()
        except OSError as error:
            return 503, f"{error}\n".encode()
        self._schedule_timer()
        return 200, b'{"assignments":%d}' % len(self.schedule.history)

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self.schedule.next_change_at) < inf:
            wait_s = min(3600.0, max(0.0, (at - _now()) / 1000) + 0.001)
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._apply_due)

    def _apply_due(self) -> None:
        self._apply(self.schedule.take_due(_now()))
        self._schedule_timer()

    def _apply(self, changes: list[tuple[int, str]]) -> None:
        assert self._engine is not None
        for customer, plan in changes:
            if not self._engine.assign_plan(customer, plan) and plan not in self._logged_plans:
                self._logged_plans.add(plan)
                log.error(
                    "plans: the settings have no %r: requests of its customers keep the plan they name", plan
                )

    async def _reread(self) -> None:
        """Reads the file when it changes. An unreadable version changes nothing and is logged once."""
        while True:
            await asyncio.sleep(self._reread_s)
            mark = jsonlines.file_stamp(self._file)
            if mark == self._file_mark:
                continue
            try:
                history = await asyncio.to_thread(read, self._file)
                changes = self.schedule.add(_now(), history)
            except (ValueError, OSError) as error:
                if self._failed_mark != mark:
                    log.error("plans: file not applied, keeping the known history: %s", error)
                self._failed_mark = mark
                continue
            self._file_mark = mark
            log.info(
                "plans: %d assignments known, the plans of %d customers changed",
                len(self.schedule.history),
                len(changes),
            )
            self._apply(changes)
            self._schedule_timer()


def _now() -> float:
    return time.time() * 1000
