"""Long configurations: memory of many orders at once, what goes on meanwhile, and the parser."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import pytest
from local_system import call
from long_configurations import MEMORY_MB, CoreMachine, long_configuration

from troutdock.proxy.route_table import RouteTable
from troutdock.settings.configuration import (
    Configuration,
    RejectedConfiguration,
    check_configuration,
    read_configuration,
)

ORDERS_AT_ONCE = 8  # the operators' pages: "up to eight orders may be under way at once"
HEARTBEAT_TIMEOUT_S = 1.0  # the operators' pages: an acknowledgement counts within a second
HEARTBEAT = {"service": "s", "address": "127.0.0.1:9", "zone": "a", "capacity": 2, "state": "available"}


async def send_order(control: tuple[str, int], body: bytes) -> None:
    """Sends an order until it is acknowledged, as an operator does."""
    while (await call(control, "POST", "/configuration/replace", body))[0] != 200:
        await asyncio.sleep(0.1)


async def first_contact(core: CoreMachine) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                await send_order(core.control, long_configuration(1, 10))
                return
            except OSError:
                await asyncio.sleep(0.05)


# guards against: eight long orders at once ended registries by their memory (docs/incidents, long orders)
def test_eight_long_orders_at_once_stay_within_memory_and_delay_no_heartbeat(tmp_path: Path) -> None:
    async def scenario(core: CoreMachine) -> None:
        await first_contact(core)
        bodies = [long_configuration(version) for version in range(100, 100 + ORDERS_AT_ONCE)]
        orders = asyncio.gather(*(send_order(core.control, body) for body in bodies))
        latencies = []
        while not orders.done():
            started = time.monotonic()
            heartbeat = json.dumps(HEARTBEAT | {"callCount": len(latencies)}).encode()
            assert (await call(core.control, "POST", "/instances/i-1/heartbeat", heartbeat))[0] == 200
            latencies.append(time.monotonic() - started)
            await asyncio.sleep(0.05)
        await orders
        assert max(latencies) < HEARTBEAT_TIMEOUT_S
        status, _, newest = await call(core.control, "GET", "/configuration/describe")
        assert status == 200 and newest == bodies[-1]

    with CoreMachine(tmp_path) as core:
        asyncio.run(asyncio.wait_for(scenario(core), 60))
        assert core.peak_mb("registry") < MEMORY_MB and core.peak_mb("config_store") < MEMORY_MB


# guards against: each read of a long configuration held copies of its own in registry and store
def test_sixty_reads_at_once_stay_within_memory(tmp_path: Path) -> None:
    async def scenario(core: CoreMachine) -> None:
        await first_contact(core)
        body = long_configuration(100)
        await send_order(core.control, body)
        reads = await asyncio.gather(
            *(call(core.control, "GET", "/configuration/describe") for _ in range(60))
        )
        assert all(answer == body for status, _, answer in reads if status == 200)
        assert {status for status, _, _ in reads} <= {200, 503}
        assert sum(status == 200 for status, _, _ in reads) >= 30

    with CoreMachine(tmp_path) as core:
        asyncio.run(asyncio.wait_for(scenario(core), 60))
        assert core.peak_mb("registry") < MEMORY_MB and core.peak_mb("config_store") < MEMORY_MB


def test_validation_and_parsing_agree_and_unchanged_rows_are_shared() -> None:
    first, second = (read_configuration(long_configuration(version, 500)) for version in (1, 2))
    assert isinstance(first, Configuration) and isinstance(second, Configuration)
    shared = read_configuration(long_configuration(2, 500), first)
    assert shared == second and check_configuration(long_configuration(2, 500)) == 2
    assert isinstance(shared, Configuration) and shared.tenants is not None and first.tenants is not None
    assert all(map(lambda a, b: a is b, shared.tenants, first.tenants))
    assert shared.routes[0] is first.routes[0]
    table = RouteTable(shared, {}, RouteTable(first, {}))
    assert table.settings == RouteTable(second, {}).settings
    owner = table.key_owner(b"key-0000000000000007")
    assert owner is not None and owner.tenant.name == "t00000007" and table.settings.plans[owner.plan].name
    assert table.key_owner(b"key-7") is None and table.key_owner(b"\xff") is None


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        (b'"r1"', b'"r' + b"9" * 30 + b'"', "revision"),
        (b"63,63", b"1" * 400 + b",63", r"tenants.rows\[0\]: ratePerS"),
        (b'"t00000001"', b'"t00000000"', r"tenants.rows\[1\]: same name as tenants.rows\[0\]"),
        (
            b"key-0000000000000003",
            b"key-0000000000000002",
            r"rows\[3\]: API key is used in tenants.rows\[2\]",
        ),
        (b'"apiKeys"', b'"unknown"', "apiKeys: must be set"),
        (b'["key-0000000000000004"]', b'["\xff"]', "body: 'utf-8'"),
        (b'"ratePerS"', b'"burst"', "tenants.columns: duplicate"),
        (b"],1,63,63]", b"],1,63]", r"tenants.rows\[0\]: not a list of 5 values"),
        (b"],1,63,63]", b"],1.5,63,63]", r"tenants.rows\[0\]: priority"),
        (b"],1,63,63]", b"],true,63,63]", r"tenants.rows\[0\]: priority"),
        (b"{", b"[", "body"),
    ],
)
def test_errors_name_the_row_in_a_long_table(old: bytes, new: bytes, place: str) -> None:
    body = long_configuration(1, 20)
    changed = body.replace(old, new, 1)
    results = [read_configuration(changed), check_configuration(changed)]
    assert check_configuration(body) == 1
    for result in results:
        assert isinstance(result, RejectedConfiguration)
        with pytest.raises(ValueError, match=place):
            raise ValueError(str(result))
