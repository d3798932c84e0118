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


GC_THRESHOLD = 10_000  # objects more than before: requests leave no cycles, as under RELAY_CONFIG
GC_SWITCH_S = 0.001  # how long the thread that reads keeps the interpreter from the loop


_reload_lock = asyncio.Lock()  # for reloads: each reads what the file is when its turn comes


class ReloadedDeployment(Protocol):
    """A deployment that has been read again."""

    @property
    def terms(self) -> RoutingOptions: ...


def run(config: Config, terms: RoutingOptions, reread: Callable[[], ReloadedDeployment | list[str]]) -> None:
    """Serve until SIGTERM or SIGINT. reread: the deployment for SIGHUP, or what is wrong with it."""
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
    """Routes and pools of the file as it is now, read beside the loop; a bad one changes nothing."""
    async with _reload_lock:
        await _reload(routed, reread)


async def _reload(routed: RoutingFrontend, reread: Callable[[], ReloadedDeployment | list[str]]) -> None:
    switch = sys.getswitchinterval()
    gc.disable()  # of many routes the objects are many, and looking for cycles among them would stop the loop
    sys.setswitchinterval(GC_SWITCH_S)
    try:
        found = await asyncio.to_thread(reread)
    finally:
        sys.setswitchinterval(switch)
        gc.freeze()  # what was made meanwhile lasts; the next look for cycles would go through it at once
        gc.enable()
    if isinstance(found, list):
        for line in found:
            log.error("the old deployment stays: %s", line)
        return
    routed.reload(found.terms)
    log.info("reloaded: %d routes, %d pools", len(found.terms.table.routes), len(found.terms.pools))
