"""How each daemon of the system begins and ends: settings, logs, the loop, signals."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import time
from collections.abc import Awaitable, Callable

import logbook
import uvloop

from troutdock.settings.boot import BOOT_FILE_VARIABLE, Boot, load_boot
from troutdock.settings.table import SettingsError

GC_THRESHOLD = 10_000  # objects more than before, until the collector of cycles looks: requests leave none


def new_incarnation() -> int:
    """A number for this life of the process, higher than those before unless the clock was set back."""
    return time.time_ns() // 1_000_000


def run_daemon(name: str, main: Callable[[Boot, str], Awaitable[int]]) -> int:
    """Run a daemon: exit code 2 with one plain line on bad settings, else what main gives."""
    path = os.environ.get(BOOT_FILE_VARIABLE)
    if not path:
        print(f"{name}: {BOOT_FILE_VARIABLE} is not set", file=sys.stderr)
        return 2
    try:
        boot = load_boot(path)
    except SettingsError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return 2
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.INFO, format_string="{record.level_name} {record.channel}: {record.message}"
    )
    handler.push_application()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)

    async def body() -> int:
        return await main(boot, path)

    try:
        return uvloop.run(body())
    except OSError as error:
        print(f"{name}: can't serve: {error}", file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        return 0
