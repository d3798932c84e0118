"""Parses and compiles configurations for the proxy, long ones in a thread beside the event loop.

A long configuration takes some tenths of a second to compile. In the event loop that would delay every
request, and peers and registries would take the process for a stalled one. Configurations are compiled one at
a time. Of those that arrive meanwhile only the newest is kept, so that a series of changes needs the memory
of two.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Callable

from troutdock.proxy.route_table import RouteTable
from troutdock.rpc.messages import Config
from troutdock.settings.configuration import RejectedConfiguration, read_configuration

MAX_INLINE_BYTES = 64 * 1024  # compiled in the event loop, within some 10 ms

LoadedConfig = RouteTable | RejectedConfiguration


class ConfigLoader:
    """Compiles configurations in the order of their versions until close() is called."""

    def __init__(
        self, on_loaded: Callable[[Config, LoadedConfig], None], tenant_numbers: dict[str, int]
    ) -> None:
        """Starts without a configuration.

        Args:
            on_loaded: Called in the event loop with each compiled or rejected configuration.
            tenant_numbers: Tenant numbers by name, which grow with each configuration.
        """
        self._on_loaded, self._tenant_numbers = on_loaded, tenant_numbers
        self._worker = concurrent.futures.ThreadPoolExecutor(1, "configuration")
        self._current: RouteTable | None = None
        self._loading: Config | None = None
        self._next: Config | None = None
        self._closed = False

    def load(self, config: Config) -> None:
        """Compiles a configuration, at once if it is short and no other one is being compiled."""
        if self._loading is not None:
            if not _is_same(config, self._loading) and (
                self._next is None or config.version >= self._next.version
            ):
                self._next = config
        elif len(bytes(config.body)) <= MAX_INLINE_BYTES:
            self._finish(config, self._compile(bytes(config.body), self._current))
        else:
            self._start(config)

    def _start(self, config: Config) -> None:
        self._loading = config
        loop = asyncio.get_running_loop()
        compiling = loop.run_in_executor(self._worker, self._compile, bytes(config.body), self._current)
        compiling.add_done_callback(lambda result: self._on_compiled(config, result))

    def _compile(self, body: bytes, previous: RouteTable | None) -> LoadedConfig:
        earlier = previous.configuration if previous is not None else None
        configuration = read_configuration(body, earlier)
        if isinstance(configuration, RejectedConfiguration):
            return configuration
        return RouteTable(configuration, self._tenant_numbers, previous)

    def _on_compiled(self, config: Config, result: asyncio.Future[LoadedConfig]) -> None:
        self._loading = None
        if self._closed or result.cancelled():
            return
        self._finish(config, result.result())
        upcoming, self._next = self._next, None
        if upcoming is not None and upcoming.version >= config.version:
            self.load(upcoming)

    def _finish(self, config: Config, loaded: LoadedConfig) -> None:
        if isinstance(loaded, RouteTable):
            self._current = loaded
        self._on_loaded(config, loaded)

    def close(self) -> None:
        """Stops; a configuration that is being compiled is not reported."""
        self._closed = True
        self._worker.shutdown(wait=False, cancel_futures=True)


def _is_same(config: Config, other: Config) -> bool:
    return (config.version, config.digest) == (other.version, other.digest)
