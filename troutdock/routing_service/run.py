"""The daemon with routes and pools, from its start to the end of its drain."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import uvloop

from troutdock.daemon import Service, serve
from troutdock.platform.config import Config
from troutdock.routing_service.service import RoutingFrontend, RoutingOptions

log = logging.getLogger("troutdock")


GC_THRESHOLD = 10_000  # allocations until a collection: requests leave no reference cycles, see __main__
GC_SWITCH_S = 0.001  # longest time for which the reading thread blocks the event loop


_reload_lock = asyncio.Lock()  # serializes reloads; each reads the file when it starts


class ReloadedDeployment(Protocol):
    """A deployment that has been read again at a reload."""

    @property
    def terms(self) -> RoutingOptions: ...


def run(config: Config, terms: RoutingOptions, reread: Callable[[], ReloadedDeployment | list[str]]) -> None:
    """Serves until SIGTERM or SIGINT. reread: returns the deployment for SIGHUP, or its errors."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    uvloop.run(_run(config, terms, reread))


async def _run(
    config: Config, terms: RoutingOptions, reread: Callable[[], ReloadedDeployment | list[str]]
) -> None:
    loop, stop, routed = asyncio.get_running_loop(), asyncio.Event(), RoutingFrontend(terms, config.sockets)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    reading: list[asyncio.Task[None]] = []

    def serving(service: Service) -> None:
        def again() -> None:
            reading.append(loop.create_task(reload_deployment(routed, reread)))

        loop.add_signal_handler(signal.SIGHUP, again)

    await serve(config, stop, serving, components=[routed])


async def reload_deployment(
    routed: RoutingFrontend, reread: Callable[[], ReloadedDeployment | list[str]]
) -> None:
    """Reloads routes and pools, reading the file in a thread; an invalid file changes nothing."""
    async with _reload_lock:
        await _reload(routed, reread)


async def _reload(routed: RoutingFrontend, reread: Callable[[], ReloadedDeployment | list[str]]) -> None:
    switch = sys.getswitchinterval()
    gc.disable()  # a collection over the objects of many routes would block the event loop
    sys.setswitchinterval(GC_SWITCH_S)
    try:
        found = await asyncio.to_thread(reread)
    finally:
        sys.setswitchinterval(switch)
        gc.freeze()  # the new objects are long-lived; the next collection would scan them
        gc.enable()
    if isinstance(found, list):
        for line in found:
            log.error("keeping the old deployment: %s", line)
        return
    routed.reload(found.terms)
    log.info("reloaded: %d routes, %d pools", len(found.terms.table.routes), len(found.terms.pools))
