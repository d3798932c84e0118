"""The daemon: an ingress behind a listening socket, from its start to the end of its drain."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from troutdock.http.request import Reader
from troutdock.http.server import Server
from troutdock.ingress import SWEEP_S, Ingress, half_of_sockets
from troutdock.platform.background import Background
from troutdock.platform.config import Config

log = logging.getLogger("troutdock")


class Service:
    """One daemon."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self.ingress = Ingress(config)
        self._server = Server(self.ingress.engine, Reader(config.settings), half_of_sockets(config),
                              self.ingress.lag, config.damping)
        if config.listen is None:
            raise ValueError("a daemon needs an address to listen on")
        self.address = self._listen = config.listen

    async def run(self, stop: asyncio.Event, serving: Callable[[Service], object]) -> None:
        """Serve until stop is set, then drain; serving is told once the door is open."""
        await self.ingress.start()
        self.address = self._server.listen(self._listen)
        sweep = Background("the sweep of clients", self._sweep)
        serving(self)
        log.info("%s: serving on %s:%d, %d backends known", self._config.name, *self.address,
                 len(self._config.known[1]))
        await stop.wait()
        log.info("draining")
        await self._server.drain()
        await sweep.stop()
        await self.ingress.close()
        log.info("drained")

    def reload(self, config: Config) -> None:
        """Go over to the addresses of a new configuration; all else in it needs a restart."""
        self.ingress.reload(config)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._server.sweep()


async def serve(config: Config, stop: asyncio.Event,
                serving: Callable[[Service], object] = lambda service: None) -> None:
    """Serve until stop is set, then drain."""
    await Service(config).run(stop, serving)
