"""The daemon: an ingress behind a listening socket, from its start to the end of its drain."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import tempfile
import time
from collections.abc import Callable

from tamarindfold.interface import Settings
from troutdock.address import Address
from troutdock.handover.channel import Giver, Taker
from troutdock.http.bodies import Budget
from troutdock.http.request import Reader
from troutdock.http.server import Server
from troutdock.management.availability import State
from troutdock.management.door import Door
from troutdock.ingress import SWEEP_S, Ingress, half_of_sockets
from troutdock.platform.background import Background
from troutdock.platform.config import Config, complete

log = logging.getLogger("troutdock")

RETIRED_S = 3.0  # a class that is gone is still taken for so long, as clients hear of it later


class Service:
    """One daemon."""

    def __init__(self, config: Config, listener: socket.socket | None = None) -> None:
        """listener: the clients' listening socket, where the platform holds it."""
        self._config, self._listener = config, listener
        self.ingress = Ingress(config)
        self._server = Server(self.ingress.engine, Reader(config.settings), half_of_sockets(config),
                              self.ingress.lag, config.damping, Budget(config.bodies),
                              config.streams)
        if config.listen is None:
            raise ValueError("a daemon needs an address to listen on")
        self.address = self._listen = config.listen
        away = self._server.availability
        self._door = Door({
            b"/control/ready": (b"GET", lambda: self._server.healthy),
            b"/control/out-of-service": (b"POST", lambda: away.take_out(time.monotonic())),
            b"/control/in-service": (b"POST", lambda: away.put_back(time.monotonic()))})
        self.management: Address | None = None
        self._retiring: asyncio.TimerHandle | None = None
        self._giver: Giver | None = None

    async def run(self, stop: asyncio.Event, serving: Callable[[Service], object]) -> None:
        """Serve until stop is set, then drain; serving is told once the door is open."""
        if self._config.management is not None:
            self.management = await self._door.listen(self._config.management)
        await self.ingress.start()
        taker = await self._take_over() if self._listener is not None else None
        self.address = self._server.listen(self._listen, self._listener)
        if taker is not None:
            taker.follow()
        if self._listener is not None:
            self._await_heir()
        sweep = Background("the sweep of clients", self._sweep)
        serving(self)
        log.info("%s: serving on %s:%d, %d backends known", self._config.name, *self.address,
                 len(self._config.known[1]))
        await stop.wait()
        log.info("draining")
        await self._server.drain()
        self._door.close()
        if self._giver is not None:
            while self._giver.giving:
                await asyncio.sleep(0.005)
            self._giver.close()
        if taker is not None:
            taker.close()
        await sweep.stop()
        await self.ingress.close()
        log.info("drained")

    async def _take_over(self) -> Taker:
        """Ask a predecessor at the same socket for what it knows; without one there is nothing to take."""
        taker = Taker(self._server.adopt)
        state = await taker.take(tempfile.gettempdir())
        if state is not None:
            try:
                self.ingress.engine.take_over(json.loads(state))
                log.info("took over from a predecessor: %d bytes of state", len(state))
            except ValueError as error:
                log.warning("the predecessor's state is of no use: %s", error)
        return taker

    def _await_heir(self) -> None:
        try:
            self._giver = Giver(tempfile.gettempdir(), self._hand_over, self._leave, self._take_back)
        except OSError as error:
            log.warning("a successor can take nothing over: %s", error)

    def _hand_over(self) -> bytes:
        log.info("a successor takes over")
        return json.dumps(self.ingress.engine.hand_over()).encode()

    def _leave(self) -> None:
        assert self._giver is not None
        self._server.leave_to(self._giver)

    def _take_back(self) -> None:
        if self._server.availability.state is not State.ENDING:
            log.warning("the successor has ended; going on")
        self._server.take_back()
        self.ingress.engine.take_back()

    def reload(self, config: Config) -> None:
        """Go over to a new configuration as a whole; ConfigError if it is not whole, and nothing changes."""
        settings = self.ingress.reload(complete(config, self._config))
        self._config = config
        self._server.reader = Reader(settings, retired=True)
        if self._retiring is not None:
            self._retiring.cancel()
        self._retiring = asyncio.get_running_loop().call_later(RETIRED_S, self._retire, settings)
        log.info("configured anew: %d classes, %d plans, %d attempts", settings.live_classes,
                 len(settings.plans), settings.max_attempts)

    def _retire(self, settings: Settings) -> None:
        self._server.reader = Reader(settings)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._server.sweep()


async def serve(config: Config, stop: asyncio.Event,
                serving: Callable[[Service], object] = lambda service: None,
                listener: socket.socket | None = None) -> None:
    """Serve until stop is set, then drain."""
    await Service(config, listener).run(stop, serving)
