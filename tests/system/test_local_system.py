"""Config store, registry and proxy together over loopback sockets, with scripted backends."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from local_system import CONFIGURATION, Backend, LocalSystem, call, success, until

from troutdock.rpc.messages import Instances, Silence

KEY = ("Key: key", "Deadline-Ms: 4000")


def play(folder: Path, scenario: Callable[[LocalSystem], Awaitable[None]]) -> None:
    async def run() -> None:
        system = LocalSystem(folder)
        try:
            await system.start()
            await scenario(system)
        finally:
            await system.close()

    asyncio.run(asyncio.wait_for(run(), 50))


async def start_system(system: LocalSystem, *backends: Backend) -> None:
    """Applies a configuration and registers the backends."""
    assert await system.put_configuration() == 200
    await until(
        lambda: all(
            sum(p.connection is not None for p in r.registry.peers.values()) == 2
            for r in system.registries.values()
        )
    )
    for backend in backends:
        await backend.start()
        assert await system.send_heartbeat(backend) == 200
    await system.wait_until_ready()
    ids = {backend.id for backend in backends}
    await until(lambda: all(ids <= i.endpoints.entries.keys() for i in system.ingresses.values()))


def test_request_is_forwarded_as_documented(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        backend = Backend("i-1", success)
        await start_system(system, backend)
        http = system.http_address(system.ingress_ips[0])
        status, headers, body = await call(
            http,
            "POST",
            "/write/x?y=1",
            b"payload",
            *KEY,
            "Attempt-Id: a1",
            "Tenant-Name: other",
            "X-More: kept",
        )
        assert (
            (status, body) == (200, b"whole")
            and headers["response-signature"] == "s"
            and headers["attempt-id"] == "a1"
        )
        await until(
            lambda: (
                set(system.ingresses[system.ingress_ips[0]].registry_client.registries)
                == set(system.core_ips)
            )
        )  # also those that are not seeds
        (request,) = backend.seen
        assert (
            request[":first"] == "POST /write/x?y=1 HTTP/1.1"
            and request[":body"] == "payload"
            and request["x-more"] == "kept"
        )
        assert (
            request["tenant-name"] == "t" and request["expected-instance"] == "i-1" and "key" not in request
        )
        assert 0 < int(request["deadline-ms"]) < 4000
        for path, key, expected in (
            ("/read/", "nobody", 401),
            ("/nowhere/", "key", 404),
            ("/open/", "nobody", 200),
        ):
            assert (await call(http, "GET", path, b"", f"Key: {key}", "Attempt-Id: a2"))[0] == expected
        assert backend.seen[-1].get("tenant-name") is None

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    ("respond", "path", "status"),
    [
        (lambda _: (503, {"Not-Executed": "1"}, b""), "/write/", 200),  # declined: the other backend runs it
        (lambda _: (421, {}, b""), "/write/", 200),
        (lambda _: None, "/write/", 502),  # it may have run: not repeated
        (lambda _: None, "/read/", 200),
        (lambda _: (200, {}, b"no stamp"), "/read/", 200),
        (lambda _: (200, {}, b"no stamp"), "/write/", 502),
        (lambda _: (200, {"Response-Signature": "s", "Content-Encoding": "gzip"}, b"x"), "/write/", 502),
        (lambda _: (500, {"Response-Signature": "s"}, b"its own"), "/write/", 500),  # forwarded unchanged
        (lambda h: (200, {"Response-Signature": "s", "Attempt-Id": "stale"}, b"late"), "/read/", 200),
    ],
)
def test_outcomes_over_two_backends(tmp_path: Path, respond: Callable, path: str, status: int) -> None:
    async def scenario(system: LocalSystem) -> None:
        failing, working = Backend("i-bad", respond), Backend("i-fine", success)
        await start_system(system, failing, working)
        ingress = system.ingresses[system.ingress_ips[0]]
        number = {id: n for n, id in ingress._instance_of.items()}
        ingress.admission.backends[
            number[b"i-fine"]
        ].latency_factor = 3.0  # so that the failing backend is selected first
        for pool in ingress.admission.pools.values():
            pool.retry_budget = 5.0
        result, _, body = await call(
            system.http_address(system.ingress_ips[0]),
            "POST" if path == "/write/" else "GET",
            path,
            b"",
            *KEY,
            "Attempt-Id: a1",
        )
        assert len(failing.seen) == 1
        assert result == status
        if status == 200:
            assert body == b"whole" and len(working.seen) == 1
        else:
            assert not working.seen

    play(tmp_path, scenario)


def test_acknowledged_drain_applies_at_every_ingress(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        one, two = Backend("i-1", success), Backend("i-2", success)
        await start_system(system, one, two)
        assert await system.send_heartbeat(one, "draining", 2, system.core_ips[0]) == 200
        system.registries[system.core_ips[0]].close()  # it fails immediately after
        await until(lambda: all(e.endpoints.entries["i-1"].state == 1 for e in system.ingresses.values()))
        for n in range(6):
            assert (
                await call(
                    system.http_address(system.ingress_ips[n % 2]),
                    "GET",
                    "/read/",
                    b"",
                    *KEY,
                    f"Attempt-Id: b{n}",
                )
            )[0] == 200
        assert not one.seen

    play(tmp_path, scenario)


def test_client_before_first_configuration_waits(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        backend = Backend("i-1", success)
        await start_system(system, backend)
        ingress = system.ingresses.pop(system.ingress_ips[1])
        ingress.server.drain_accept_s = ingress.server.drain_most_s = 0.0
        await ingress.shut_down(5.0)
        again = await system.start_ingress(system.ingress_ips[1])
        assert not again.ready
        assert (
            await call(
                system.http_address(system.ingress_ips[1]), "GET", "/read/", b"", *KEY, "Attempt-Id: c1"
            )
        )[0] == 200

    play(tmp_path, scenario)


# guards against: a backend whose heartbeats had been missing for a minute was never used again
def test_backend_that_was_silent_for_long_is_forgotten_and_used_again_once_it_is_announced(
    tmp_path: Path,
) -> None:
    async def scenario(system: LocalSystem) -> None:
        backend = Backend("i-1", success)
        await start_system(system, backend)
        ingress = system.ingresses[system.ingress_ips[0]]
        address = system.http_address(system.ingress_ips[0])
        assert (await call(address, "GET", "/read/", b"", *KEY, "Attempt-Id: e1"))[0] == 200
        known = ingress.endpoints.entries["i-1"].to_instance(0.0)
        ingress._handle_registry_message(Silence(["i-1"], []))
        ingress._remove_expired()
        assert "i-1" in ingress._backend_numbers  # not yet
        ingress._silent_since["i-1"] -= 1000.0
        ingress._remove_expired()
        assert not ingress._backend_numbers and not ingress._silent_since
        assert "i-1" not in ingress.endpoints.entries and not ingress.endpoints._by_address
        assert (await call(address, "GET", "/read/", b"", *KEY, "Attempt-Id: e2"))[0] == 429
        ingress._handle_registry_message(Instances([known]))
        assert (await call(address, "GET", "/read/", b"", *KEY, "Attempt-Id: e3"))[0] == 200

    play(tmp_path, scenario)


def test_acknowledged_configuration_survives_loss_of_primary(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        assert await system.put_configuration() == 200
        leader = next(ip for ip, s in system.stores.items() if s._fresh)
        # ingresses have one seed: without another known registry they cannot reconnect when it is lost
        await until(
            lambda: all(
                set(i.registry_client.registries) == set(system.core_ips) for i in system.ingresses.values()
            )
        )
        system.stores.pop(leader).close()
        system.registries.pop(leader).close()
        other = next(ip for ip in system.core_ips if ip != leader)
        newer = {**CONFIGURATION, "revision": "r9"}
        assert await system.put_configuration(newer, other) == 200
        await until(
            lambda: all(i.reader.table and i.reader.table.version == 9 for i in system.ingresses.values())
        )
        status, _, body = await call(system.control_address(other), "GET", "/configuration/describe")
        assert (status, json.loads(body)) == (200, newer)
        assert (
            await system.put_configuration(CONFIGURATION, other) == 200
        )  # an older version is sent again: no effect
        assert (
            json.loads((await call(system.control_address(other), "GET", "/configuration/describe"))[2])
            == newer
        )
        assert await system.put_configuration({**CONFIGURATION, "revision": "r10", "routes": 5}, other) == 400

    play(tmp_path, scenario)


def test_stores_with_replaced_seeds_reconnect_from_disk(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        assert await system.put_configuration() == 200
        for ip in system.core_ips:
            system.stores.pop(ip).close()
        for ip in system.core_ips:
            await system.start_store(ip, seeds=("127.9.9.9",))
        await until(lambda: any(s._fresh for s in system.stores.values()))
        assert (
            json.loads(
                (await call(system.control_address(system.core_ips[0]), "GET", "/configuration/describe"))[2]
            )
            == CONFIGURATION
        )

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    "garbage", [b"5:hello,", b"GET / HTTP/1.1\r\n\r\n", b"99999999:", b'14:{"t":"ping","x"},']
)
def test_garbage_on_internal_port_closes_only_that_connection(tmp_path: Path, garbage: bytes) -> None:
    async def scenario(system: LocalSystem) -> None:
        backend = Backend("i-1", success)
        await start_system(system, backend)
        for ip in (system.core_ips[0], system.ingress_ips[0]):
            reader, writer = await asyncio.open_connection(ip, system.first_port)
            writer.write(garbage)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                while True:
                    await reader.readexactly(1)
            writer.close()
        assert (
            await call(
                system.http_address(system.ingress_ips[0]), "GET", "/read/", b"", *KEY, "Attempt-Id: d1"
            )
        )[0] == 200

    play(tmp_path, scenario)


def test_bodies_beyond_registry_buffer_limit_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(system: LocalSystem) -> None:
        control = system.control_address(system.core_ips[0])
        server = system.registries[system.core_ips[0]]._control_server
        monkeypatch.setattr(server, "max_buffered_bytes", 100_000)
        _, writer = await asyncio.open_connection(*control)
        writer.write(b"POST /configuration/replace HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + b"x" * 80_000)
        await until(lambda: server.buffered_bytes == 80_000)
        assert (await call(control, "POST", "/configuration/replace", b"y" * 50_000))[0] == 503
        writer.close()
        await until(lambda: server.buffered_bytes == 0)
        monkeypatch.undo()
        status, _, body = await call(
            control, "POST", "/configuration/replace", b"z" * (server.max_body_bytes + 1)
        )
        assert status == 413 and b"bytes at most" in body and server.buffered_bytes == 0
        assert await system.put_configuration(CONFIGURATION, system.core_ips[0]) == 200

    play(tmp_path, scenario)


def test_settings_file_is_reloaded_and_invalid_one_ignored(
    tmp_path: Path,
) -> None:
    async def scenario(system: LocalSystem) -> None:
        await start_system(system, Backend("i-1", success))
        ingress = system.ingresses[system.ingress_ips[0]]
        file = tmp_path / "boot.yaml"
        ingress._path = str(file)
        base = {
            "nodeName": "n",
            "ipAddress": system.ingress_ips[0],
            "zone": "a",
            "internalPortRange": [system.first_port, system.first_port + 2],
            "bindAddresses": {},
            "bootstrap": False,
        }

        def change(text: str) -> None:
            file.write_text(text)
            ingress._poll_settings()

        change(json.dumps({**base, "seedNodes": ["127.9.9.1:81"]}))
        assert (
            "127.9.9.1" not in ingress.registry_client.registries
        )  # the first version of the file is not reloaded
        change(json.dumps({**base, "seedNodes": ["127.9.9.2:8181"]}))
        assert "127.9.9.2" in ingress.registry_client.registries
        for failing in ("a: [", json.dumps({**base, "seedNodes": ["127.9.9.3:x", "127.9.9.4:80"]}), ""):
            change(failing)
        assert not {"127.9.9.3", "127.9.9.4"} & set(ingress.registry_client.registries)
        file.unlink()
        ingress._poll_settings()
        assert ingress.ready
        assert (
            await call(
                system.http_address(system.ingress_ips[0]), "GET", "/read/", b"", *KEY, "Attempt-Id: g1"
            )
        )[0] == 200

    play(tmp_path, scenario)


def test_shutdown_completes_accepted_requests(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        release = asyncio.Event()

        async def slow(_: dict[str, str]) -> tuple[int, dict[str, str], bytes]:
            await release.wait()
            return 200, {"Response-Signature": "s"}, b"whole"

        backend = Backend("i-1", slow)  # type: ignore[arg-type]
        await start_system(system, backend)
        ingress = system.ingresses.pop(system.ingress_ips[0])
        response_task = asyncio.create_task(
            call(system.http_address(system.ingress_ips[0]), "POST", "/write/", b"", *KEY, "Attempt-Id: e1")
        )
        await until(lambda: backend.seen)
        ingress.server.drain_accept_s = ingress.server.drain_most_s = 0.0
        ending = asyncio.create_task(ingress.shut_down(10.0))
        await until(lambda: not ingress.ready)
        assert not ending.done()
        release.set()
        assert (await response_task)[0] == 200
        await ending

    play(tmp_path, scenario)


def test_header_size_limit_follows_configuration(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        backend = Backend("i-1", success)
        await start_system(system, backend)
        await system.put_configuration(
            {**CONFIGURATION, "revision": "r6", "limits": {"maxHeaderBytes": 20_000}}
        )
        await until(
            lambda: all(i.reader.table and i.reader.table.version == 6 for i in system.ingresses.values())
        )
        for size, status in ((17_000, b"200"), (21_000, b"431")):
            reader, writer = await asyncio.open_connection(*system.http_address(system.ingress_ips[0]))
            writer.write(
                b"GET /read/ HTTP/1.1\r\nHost: a.example\r\nKey: key\r\nAttempt-Id: f1\r\nX-Long: "
                + b"x" * size
            )
            await until(
                lambda: (
                    any(c._received > size for c in system.ingresses[system.ingress_ips[0]].server._clients)
                    or status == b"431"
                )
            )
            if status == b"200":
                writer.write(b"\r\n\r\n")
            assert status in await reader.readline()
            writer.close()

    play(tmp_path, scenario)
