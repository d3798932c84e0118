"""An ingress without its clients: the engine, its transport, the list of backends and the counter.

The daemon puts listening sockets before it, the library a method call.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from random import Random

from troutdock.admission.interface import Settings, merge_settings
from troutdock.engine import Engine
from troutdock.http.transport import HttpTransport
from troutdock.membership.datagrams import Datagrams
from troutdock.membership.watch import Watch
from troutdock.overload.lag import EVERY_S, Lag
from troutdock.overload.storm import StormWatch, Sums
from troutdock.platform.background import Background
from troutdock.platform.clock import SystemClock
from troutdock.platform.config import Config
from troutdock.platform.counter import Counter
from troutdock.platform.discovery import Discovery

log = logging.getLogger("troutdock")

SWEEP_S = 0.25  # how often connections that have stood too long are looked for
OTHER_SOCKETS = 48  # of the process: listening, discovery, counter, event loop, standard streams


def half_of_sockets(config: Config) -> int:
    """The bound on clients' connections, and that on backends' connections."""
    return (config.sockets - OTHER_SOCKETS) // 2


class Ingress:
    """It belongs to the event loop that is running when it is made."""

    def __init__(self, config: Config) -> None:
        self._config, self.settings = config, config.settings
        settings = config.settings
        self.engine = Engine(settings, config.seed, SystemClock(), asyncio.get_running_loop())
        self.lag = Lag(self.engine.clock.now)
        self.transport = HttpTransport(
            half_of_sockets(config),
            config.connect_timeout_s,
            config.idle_s,
            self.engine.attempt_ended,
            config.max_answer,
            self.lag,
            self.engine,
        )
        self.engine.add_pool(self.transport)
        self.counter: Counter | None = None
        if settings.counter:
            timeout_s = settings.counter_timeout_ms / 1000
            self.counter = Counter(config.counter, timeout_s, self.engine.count_answered)
            self.engine.set_counter(self.counter)
        self.peers: Datagrams | None = None
        self._deaf = False  # their address could not be had yet
        if config.peers is not None and settings.peers and settings.gateways > 1:
            self.peers = Datagrams(
                config.peers, settings.index, settings.peer_in_per_s, self.engine.peer_message_received
            )
            self.engine.set_peers(self.peers)
        known, endpoints = config.known
        self.engine.fleet_updated(known, endpoints)
        self._discovery: Discovery | None = None  # without one the list stays as it is
        if config.discovery is not None:
            self._calls = Watch(settings.gateways, known.version, Random(config.seed))
            self._discovery = Discovery(
                config.discovery,
                config.lists,
                self._calls,
                self.engine.fleet_updated,
                self.engine.discovery_polled,
            )
        self.storm = StormWatch(self.engine.clock.now(), half_of_sockets(config), log.warning)
        self._watch: Background | None = None
        self._count: Background | None = None
        self._sweep: Background | None = None
        self._sampler: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Watch the list and connect to the counter; returns once that has been tried."""
        self._open_peers()
        if self._discovery is not None:
            self._watch = Background("the watch of discovery", self._discovery.run)
        if (counter := self.counter) is not None:
            tried = asyncio.Event()
            self._count = Background("the counter's connection", lambda: counter.run(tried))
            await tried.wait()
        self._sweep = Background("the sweep", self._sweep_connections)
        self._sample()

    def reload(self, config: Config) -> Settings:
        """Go over to the settings and addresses of a new configuration; the settings as they hold now."""
        before, self._config = self._config, config
        settings = config.settings
        if settings.counter != self.settings.counter:
            log.warning("configured anew: whether there is a counter changes with a restart only")
            settings = replace(settings, counter=self.settings.counter)
        if config.sockets != before.sockets or config.listen != before.listen:
            log.warning("configured anew: limits and the clients' address change with a restart only")
        self.settings = merge_settings(self.settings, settings)
        self.engine.reconfigure(self.settings)
        self.transport.set_timeouts(config.connect_timeout_s, config.idle_s)
        if self._discovery is not None:
            self._calls.follow(settings.gateways)
        if (
            self._discovery is not None
            and config.discovery is not None
            and ((config.discovery, config.lists) != (before.discovery, before.lists))
        ):
            log.info("configured anew: discovery at %s:%d", *config.discovery)
            self._discovery.move(config.discovery, config.lists)
            if self._watch is not None:
                self._watch.restart()
        if self.counter is not None and config.counter != before.counter:
            self.counter.move(config.counter)
            if self._count is not None:
                self._count.restart()
        return self.settings

    async def close(self) -> None:
        """End what runs beside the calls, and drop idle connections."""
        for task in (self._watch, self._count, self._sweep):
            if task is not None:
                await task.stop()
        if self._sampler is not None:
            self._sampler.cancel()
        if self.counter is not None:
            self.counter.close()
        if self.peers is not None:
            self.peers.close()
        self.transport.close()

    def _open_peers(self) -> None:
        """Listen to peers; the address may be a predecessor's until that has ended, so it is tried for."""
        if self.peers is not None and not self.peers.is_open:
            try:
                self.peers.open()
            except OSError as error:
                if not self._deaf:
                    log.warning("peers: nothing is told or heard yet: %s", error)
                self._deaf = True
            else:
                if self._deaf:
                    log.info("peers: heard from now on")
                self._deaf = False

    def _sample(self) -> None:
        self.lag.sample()
        self._sampler = asyncio.get_running_loop().call_later(EVERY_S, self._sample)

    async def _sweep_connections(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._open_peers()
            self.transport.sweep()
            t = self.engine.tally
            sums = Sums(t.taken, t.refused, t.rejected_early, t.retries, t.connections)
            self.storm.look(self.engine.clock.now(), sums, self.lag.now_ms)
