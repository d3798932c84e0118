"""Start, signals and the end: python -m troutdock, configured by the file that RELAY_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable

import uvloop

from troutdock.address import Address
from troutdock.config import Config, ConfigError, load_config
from troutdock.discovery import Discovery
from troutdock.ingress import Ingress, half_of_sockets
from troutdock.request import Reader
from troutdock.server import Server

log = logging.getLogger("troutdock")

SWEEP_S = 1.0


async def serve(config: Config, stop: asyncio.Event,
                serving: Callable[[Address], object] = lambda address: None) -> None:
    """Serve until stop is set, then drain; serving is told the address once the door is open."""
    ingress = Ingress(config)
    known, endpoints = config.known
    ingress.fleet(known, endpoints)
    discovery = Discovery(config.discovery, config.lists, known.version, ingress.fleet)
    tasks = [asyncio.create_task(discovery.run())]
    if ingress.counter is not None:
        tried = asyncio.Event()
        tasks.append(asyncio.create_task(ingress.counter.run(tried)))
        await tried.wait()
    server = Server(ingress, Reader(config.settings), half_of_sockets(config))
    host, port = server.listen(config.listen)
    serving((host, port))
    log.info("%s: serving on %s:%d, %d backends known", config.name, host, port, len(endpoints))
    tasks.append(asyncio.create_task(_sweep(ingress, server)))
    await stop.wait()
    log.info("draining")
    await server.drain()
    for task in tasks:
        task.cancel()
    ingress.backends.close()
    log.info("drained")


async def _sweep(ingress: Ingress, server: Server) -> None:
    while True:
        await asyncio.sleep(SWEEP_S)
        ingress.backends.sweep()
        server.sweep()


async def _run(config: Config) -> None:
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop.set)
    await serve(config, stop)


def main() -> int:
    """Exit 0 after a drain, 2 with one plain line on a bad configuration, 1 if it can't serve."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    try:
        config = load_config(os.environ["RELAY_CONFIG"])
    except KeyError:
        print("troutdock: RELAY_CONFIG is not set", file=sys.stderr)
        return 2
    except ConfigError as error:
        print(f"troutdock: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    try:
        uvloop.run(_run(config))
    except OSError as error:
        print(f"troutdock: can't serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
