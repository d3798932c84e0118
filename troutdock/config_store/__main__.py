"""Entry point of the configuration store: python -m troutdock.config_store.

Reads the settings file named by TROUTDOCK_BOOT and runs until a signal ends the process.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from troutdock.settings.boot import Boot
from troutdock.settings.process import new_incarnation, run_daemon
from troutdock.config_store.daemon import PORT, Store


async def main(boot: Boot, path: str) -> int:
    """Runs the store until SIGTERM or SIGINT; returns the exit status."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # ignored: the store does not reload its settings
    store = Store(boot, new_incarnation())
    await store.start((boot.ip, boot.port(PORT)))
    await stop.wait()
    await store.leave()
    store.close()
    return 0


if __name__ == "__main__":
    sys.exit(run_daemon("rootstock", main))
