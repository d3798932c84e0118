"""Start, signals and the end of the store: python -m rootstock, by the settings that TROUTDOCK_BOOT names."""

from __future__ import annotations

import asyncio
import signal
import sys

from almanac.boot import Boot
from almanac.program import life_of_now, run
from rootstock.daemon import PORT, Store


async def main(boot: Boot, path: str) -> int:
    """Until SIGTERM or SIGINT."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # nothing here follows the file
    store = Store(boot, life_of_now())
    await store.start((boot.ip, boot.port(PORT)))
    await stop.wait()
    await store.leave()
    store.close()
    return 0


if __name__ == "__main__":
    sys.exit(run("rootstock", main))
