"""The proxy's loader: long configurations are compiled beside the event loop, the newest one next."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from local_system import until
from long_configurations import long_configuration
from msgspec import Raw

from troutdock.proxy.config_loader import ConfigLoader, LoadedConfig
from troutdock.proxy.route_table import RouteTable
from troutdock.rpc.messages import Config, body_digest
from troutdock.settings.configuration import RejectedConfiguration


def run_loader(scenario: Callable[[ConfigLoader, list[tuple[int, LoadedConfig]]], Awaitable[None]]) -> None:
    async def run() -> None:
        loaded: list[tuple[int, LoadedConfig]] = []
        loader = ConfigLoader(lambda config, table: loaded.append((config.version, table)), {})
        try:
            await scenario(loader, loaded)
        finally:
            loader.close()

    asyncio.run(asyncio.wait_for(run(), 20))


def make_config(version: int, tenants: int = 5000) -> Config:
    body = long_configuration(version, tenants)
    return Config(version, Raw(body), body_digest(body))


# guards against: a long configuration stalled a proxy for seconds, and its peers disconnected it
def test_of_configurations_that_arrive_while_one_is_compiled_only_the_newest_is() -> None:
    async def scenario(loader: ConfigLoader, loaded: list[tuple[int, LoadedConfig]]) -> None:
        for version in (5, 6, 9, 7, 5):
            loader.load(make_config(version))
        loader.load(make_config(8, 1))  # short, but an earlier one is being compiled
        assert not loaded
        await until(lambda: len(loaded) == 2)
        assert [version for version, _ in loaded] == [5, 9]
        loader.load(make_config(10, 1))
        assert [version for version, _ in loaded] == [5, 9, 10]
        assert all(isinstance(table, RouteTable) for _, table in loaded)

    run_loader(scenario)


def test_an_invalid_configuration_keeps_the_loader_going() -> None:
    async def scenario(loader: ConfigLoader, loaded: list[tuple[int, LoadedConfig]]) -> None:
        invalid = Config(5, Raw(long_configuration(5, 5000).replace(b"t00000001", b"t00000000", 1)), "d")
        loader.load(invalid)
        loader.load(make_config(6))
        await until(lambda: len(loaded) == 2)
        assert isinstance(loaded[0][1], RejectedConfiguration) and isinstance(loaded[1][1], RouteTable)

    run_loader(scenario)
