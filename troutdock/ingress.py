"""The core of an ingress: the engine, its transport, the list of backends and the counter.

Clients reach it through the listening sockets of the daemon, or through method calls of the library.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from random import Random

from troutdock.admission.interface import Settings, merge_settings
from troutdock.engine import Engine
from troutdock.http.transport import HttpTransport
from troutdock.membership.datagrams import PeerSocket
from troutdock.membership.watch import WatchSchedule
from troutdock.overload.lag import SAMPLE_INTERVAL_S, EventLoopLag
from troutdock.overload.storm import StormDetector, RequestCounts
from troutdock.platform.background import Background
from troutdock.platform.clock import SystemClock
from troutdock.platform.config import Config
from troutdock.platform.counter import Counter
from troutdock.platform.discovery import Discovery

log = logging.getLogger("troutdock")

SWEEP_INTERVAL_S = 0.25  # interval of the check for expired connections
RESERVED_SOCKETS = 48  # listening, discovery, counter, event loop, standard streams


def max_connections_per_side(config: Config) -> int:
    """Returns the limit on client connections, which is also the limit on backend connections."""
    return (config.sockets - RESERVED_SOCKETS) // 2


class Ingress:
    """Core of an ingress. It belongs to the event loop that runs when it is created."""

    def __init__(self, config: Config) -> None:
        self._config, self.settings = config, config.settings
        settings = config.settings
        self.engine = Engine(settings, config.seed, SystemClock(), asyncio.get_running_loop())
        self.lag = EventLoopLag(self.engine.clock.now)
        self.transport = HttpTransport(
            max_connections_per_side(config),
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
        self.peers: PeerSocket | None = None
        self._peers_unavailable = False  # the address could not be bound yet
        if config.peers is not None and settings.peers and settings.gateways > 1:
            self.peers = PeerSocket(
                config.peers, settings.index, settings.peer_in_per_s, self.engine.peer_message_received
            )
            self.engine.set_peers(self.peers)
        known, endpoints = config.known
        self.engine.fleet_updated(known, endpoints)
        self._discovery: Discovery | None = None  # None: the list is fixed
        if config.discovery is not None:
            self._watch_schedule = WatchSchedule(settings.gateways, known.version, Random(config.seed))
            self._discovery = Discovery(
                config.discovery,
                config.list_reader,
                self._watch_schedule,
                self.engine.fleet_updated,
                self.engine.discovery_polled,
            )
        self.storm = StormDetector(self.engine.clock.now(), max_connections_per_side(config), log.warning)
        self._discovery_task: Background | None = None
        self._counter_task: Background | None = None
        self._sweep_task: Background | None = None
        self._sampler: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Starts discovery and connects to the counter; returns after the first connection attempt."""
        self._open_peers()
        if self._discovery is not None:
            self._discovery_task = Background("discovery watch", self._discovery.run)
        if (counter := self.counter) is not None:
            attempted = asyncio.Event()
            self._counter_task = Background("counter connection", lambda: counter.run(attempted))
            await attempted.wait()
        self._sweep_task = Background("connection sweep", self._sweep_connections)
        self._sample()

    def reload(self, config: Config) -> Settings:
        """Applies a new configuration. Returns the settings in effect."""
        before, self._config = self._config, config
        settings = config.settings
        if settings.counter != self.settings.counter:
            log.warning("reload: adding or removing the counter needs a restart")
            settings = replace(settings, counter=self.settings.counter)
        if config.sockets != before.sockets or config.listen != before.listen:
            log.warning("reload: a change of limits or of the listening address needs a restart")
        self.settings = merge_settings(self.settings, settings)
        self.engine.reconfigure(self.settings)
        self.transport.set_timeouts(config.connect_timeout_s, config.idle_s)
        if self._discovery is not None:
            self._watch_schedule.set_gateways(settings.gateways)
        if (
            self._discovery is not None
            and config.discovery is not None
            and ((config.discovery, config.list_reader) != (before.discovery, before.list_reader))
        ):
            log.info("reload: discovery at %s:%d", *config.discovery)
            self._discovery.set_source(config.discovery, config.list_reader)
            if self._discovery_task is not None:
                self._discovery_task.restart()
        if self.counter is not None and config.counter != before.counter:
            self.counter.set_address(config.counter)
            if self._counter_task is not None:
                self._counter_task.restart()
        return self.settings

    async def close(self) -> None:
        """Stops the background tasks and closes idle connections."""
        for task in (self._discovery_task, self._counter_task, self._sweep_task):
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
        """Binds the address for peers; called repeatedly, as a predecessor may hold it until it ends."""
        if self.peers is not None and not self.peers.is_open:
            try:
                self.peers.open()
            except OSError as error:
                if not self._peers_unavailable:
                    log.warning("peers: cannot send or receive digests yet: %s", error)
                self._peers_unavailable = True
            else:
                if self._peers_unavailable:
                    log.info("peers: receiving digests")
                self._peers_unavailable = False

    def _sample(self) -> None:
        self.lag.sample()
        self._sampler = asyncio.get_running_loop().call_later(SAMPLE_INTERVAL_S, self._sample)

    async def _sweep_connections(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._open_peers()
            self.transport.sweep()
            t = self.engine.tally
            sums = RequestCounts(t.taken, t.refused, t.rejected_early, t.retries, t.connections)
            self.storm.update(self.engine.clock.now(), sums, self.lag.now_ms)
