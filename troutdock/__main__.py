"""Entry point and signal handling: python -m troutdock, configured by the file that RELAY_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path

import uvloop

from troutdock.daemon import Component, Service, serve
from troutdock.platform.config import Config, ConfigError, load_config
from troutdock.platform.inherited import inherited_socket, management_address

log = logging.getLogger("troutdock")

# Allocations until a garbage collection. Requests and connections leave no reference cycles, so it finds
# little; with a far higher threshold the few cycles of others (failed tasks, for example) would accumulate.
GC_THRESHOLD = 10_000


class ReloadHandler:
    """Reloads the configuration on SIGHUP, also if the signal arrives before the service runs."""

    def __init__(self) -> None:
        self._service: Service | None = None
        self._path = ""
        self._requested = False
        signal.signal(signal.SIGHUP, lambda *_: self.request())

    def request(self) -> None:
        """Reloads the file now, or once the service runs; an invalid file changes nothing."""
        self._requested = self._service is None
        if self._service is None:
            return
        try:
            self._service.reload(load_config(self._path))
        except ConfigError as error:
            log.error("keeping the old configuration: %s", error)

    def attach(self, service: Service, path: str) -> None:
        """Sets the service to reload."""
        self._service, self._path = service, path
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.request)
        if self._requested:
            self.request()


async def _run(
    config: Config,
    path: str,
    reloads: ReloadHandler,
    listener: socket.socket | None,
    components: list[Component],
) -> None:
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop.set)
    await serve(config, stop, lambda service: reloads.attach(service, path), listener, components)


def _components(config: Config, path: str | None) -> list[Component]:
    """Returns the components of the operator's file; without a file nothing is imported."""
    if not path:
        return []
    try:
        from troutdock.operator.components import parts_of
        from troutdock.operator.reader import OperatorError, read_operator
    except ImportError as error:
        raise ConfigError(
            f"TROUTDOCK_OPERATOR needs the extra operator: module {error.name} not found"
        ) from error
    try:
        return parts_of(config.name, read_operator(Path(path)), config.settings)
    except OperatorError as error:
        raise ConfigError(str(error)) from error


def main() -> int:
    """Runs the daemon. Exit status 0 after a drain, 2 for an invalid configuration, 1 if it cannot serve."""
    reloads = ReloadHandler()
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    try:
        path = os.environ["RELAY_CONFIG"]
        config = load_config(path)
        if config.management is None and (address := os.environ.get("RELAY_MANAGEMENT")):
            config = replace(config, management=management_address(address))
        listener = inherited_socket(os.environ)
        components = _components(config, os.environ.get("TROUTDOCK_OPERATOR"))
    except KeyError:
        print("troutdock: RELAY_CONFIG is not set", file=sys.stderr)
        return 2
    except ConfigError as error:
        print(f"troutdock: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"troutdock: can't serve: {error}", file=sys.stderr)
        return 1
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    try:
        uvloop.run(_run(config, path, reloads, listener, components))
    except OSError as error:
        print(f"troutdock: can't serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
