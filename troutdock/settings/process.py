"""Start and end of each daemon of the system: settings, logs, garbage collector, event loop."""

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

# allocations between runs of the cyclic garbage collector; high, since requests leave no reference cycles
GC_THRESHOLD = 10_000


def new_incarnation() -> int:
    """Returns an incarnation number for this process.

    It is higher than those of earlier processes unless the clock was set back in between.
    """
    return time.time_ns() // 1_000_000


def run_daemon(name: str, main: Callable[[Boot, str], Awaitable[int]]) -> int:
    """Runs a daemon.

    Args:
        name: The name of the program, for error messages.
        main: The body of the daemon; it gets the settings and the path of their file.

    Returns:
        The exit code: 2 for bad settings, reported in one line; 1 for an OSError; else that of main.
    """
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
        print(f"{name}: cannot serve: {error}", file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        return 0
