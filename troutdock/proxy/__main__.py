"""Runs the proxy with its signal handling: python -m troutdock.proxy.

The environment variable TROUTDOCK_BOOT names the settings file.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from troutdock.settings.boot import Boot
from troutdock.settings.process import new_incarnation, run_daemon
from troutdock.proxy.daemon import Ingress
from troutdock.proxy.peer_connections import PORT_INDEX


async def main(boot: Boot, path: str) -> int:
    """Runs until SIGTERM or SIGINT, then completes the accepted requests."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ingress = Ingress(boot, path, new_incarnation())
    loop.add_signal_handler(signal.SIGHUP, ingress.reload)
    await ingress.start(boot.listen["http"], boot.listen["readiness"], (boot.ip, boot.port(PORT_INDEX)))
    await stop.wait()
    await ingress.shut_down(boot.values["bounds.graceS"])
    return 0


if __name__ == "__main__":
    sys.exit(run_daemon("espalier", main))
