"""The plans' file at work in an ingress: read again when it changes, and each change told when it is due."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from math import inf
from pathlib import Path
from typing import Protocol

from troutdock import jsonlines
from troutdock.plans.schedule import PlanBook
from troutdock.plans.files import join, parse, read
from troutdock.plans.history import Conflict

log = logging.getLogger("troutdock")

Call = Callable[[bytes], Awaitable[tuple[int, bytes]]]  # of the door: a body to status and body


class Engine(Protocol):
    """Who wants to know."""

    def set_plan_book(self, plans: PlanBook) -> None:
        """Ask there for each request's plan."""

    def assign_plan(self, customer: int, plan: str) -> bool:
        """A customer's plan is this one from now on; false if there is none of that name."""


class Plans:
    """It belongs to the event loop that is running when it is started."""

    def __init__(self, file: Path, reread_s: float) -> None:
        """The file is read here for the first time; ValueError or OSError if it can't be."""
        self._file, self._reread_s = file, reread_s
        self.book = PlanBook()
        self._seen = jsonlines.file_stamp(self._file)
        self.book.learn(_now(), read(file))
        self._bad: object = None
        self._named: set[str] = set()  # plans that the settings don't have
        self._engine: Engine | None = None
        self._due: asyncio.TimerHandle | None = None
        self._reading: asyncio.Task[None] | None = None

    def start(self, engine: Engine) -> None:
        """Tell what holds, and from now on what changes."""
        self._engine = engine
        engine.set_plan_book(self.book)
        self._reading = asyncio.create_task(self._reread())
        self._wait()

    async def close(self) -> None:
        """Nothing is read or told any more."""
        if self._due is not None:
            self._due.cancel()
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.wait({self._reading})

    # ---- the operators' door

    def books(self) -> dict[tuple[bytes, bytes], Call]:
        """The history is shown and added to, as JSON lines."""
        path = b"/control/plans"
        return {(b"GET", path): self._show, (b"POST", path): self._add}

    async def _show(self, body: bytes) -> tuple[int, bytes]:
        return 200, jsonlines.encode(self.book.history)

    async def _add(self, body: bytes) -> tuple[int, bytes]:
        """On disk first, then told. The file's other news are told when it is read again."""
        if self._engine is None:
            return 503, b"not started\n"
        try:
            news = parse(body)
            await asyncio.to_thread(join, self._file, news)
            self._tell(self.book.learn(_now(), news))
        except Conflict as error:
            return 409, f"{error}\n".encode()
        except ValueError as error:
            return 400, f"{error}\n".encode()
        except OSError as error:
            return 503, f"{error}\n".encode()
        self._wait()
        return 200, b'{"assignments":%d}' % len(self.book.history)

    def _wait(self) -> None:
        if self._due is not None:
            self._due.cancel()
            self._due = None
        if (at := self.book.next_at) < inf:
            wait_s = min(3600.0, max(0.0, (at - _now()) / 1000) + 0.001)
            self._due = asyncio.get_running_loop().call_later(wait_s, self._changes)

    def _changes(self) -> None:
        self._tell(self.book.due(_now()))
        self._wait()

    def _tell(self, changes: list[tuple[int, str]]) -> None:
        assert self._engine is not None
        for customer, plan in changes:
            if not self._engine.assign_plan(customer, plan) and plan not in self._named:
                self._named.add(plan)
                log.error("plans: the settings have no %r: its customers keep what requests say", plan)

    async def _reread(self) -> None:
        """A file that can't be read changes nothing, and is named once."""
        while True:
            await asyncio.sleep(self._reread_s)
            mark = jsonlines.file_stamp(self._file)
            if mark == self._seen:
                continue
            try:
                history = await asyncio.to_thread(read, self._file)
                changes = self.book.learn(_now(), history)
            except (ValueError, OSError) as error:
                if self._bad != mark:
                    log.error("plans: the history stays as it was: %s", error)
                self._bad = mark
                continue
            self._seen = mark
            log.info(
                "plans: %d assignments, %d customers have another plan now",
                len(self.book.history),
                len(changes),
            )
            self._tell(changes)
            self._wait()


def _now() -> float:
    return time.time() * 1000
