"""Start, signals and the end of the store: python -m troutdock.config_store.

The settings are those that TROUTDOCK_BOOT names.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from troutdock.settings.boot import Boot
from troutdock.settings.process import new_incarnation, run_daemon
from troutdock.config_store.daemon import PORT, Store


async def main(boot: Boot, path: str) -> int:
    """Until SIGTERM or SIGINT."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # nothing here follows the file
    store = Store(boot, new_incarnation())
    await store.start((boot.ip, boot.port(PORT)))
    await stop.wait()
    await store.leave()
    store.close()
    return 0


if __name__ == "__main__":
    sys.exit(run_daemon("rootstock", main))
