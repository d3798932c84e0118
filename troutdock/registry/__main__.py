"""Entry point of the registry process: python -m troutdock.registry."""

from __future__ import annotations

import asyncio
import signal
import sys

from troutdock.settings.boot import Boot
from troutdock.settings.process import new_incarnation, run_daemon
from troutdock.registry.daemon import PORT_OFFSET, Daemon


async def main(boot: Boot, path: str) -> int:
    """Runs the registry until SIGTERM or SIGINT."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    daemon = Daemon(boot, new_incarnation())
    await daemon.start(boot.listen["controlPlane"], (boot.ip, boot.port(PORT_OFFSET)))
    await stop.wait()
    daemon.close()
    return 0


if __name__ == "__main__":
    sys.exit(run_daemon("hedgerow", main))
