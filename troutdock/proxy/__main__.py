"""Start, signals and the end of the proxy: python -m troutdock.proxy.

The settings are those that TROUTDOCK_BOOT names.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from troutdock.settings.boot import Boot
from troutdock.settings.process import new_incarnation, run_daemon
from troutdock.proxy.daemon import Ingress
from troutdock.proxy.peer_connections import PORT


async def main(boot: Boot, path: str) -> int:
    """Until SIGTERM or SIGINT, and to the end of what was taken by then."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ingress = Ingress(boot, path, new_incarnation())
    loop.add_signal_handler(signal.SIGHUP, ingress.reload)
    await ingress.start(boot.listen["http"], boot.listen["readiness"], (boot.ip, boot.port(PORT)))
    await stop.wait()
    await ingress.end(boot.values["bounds.graceS"])
    return 0


if __name__ == "__main__":
    sys.exit(run_daemon("espalier", main))
