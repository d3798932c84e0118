"""Reservations in an ingress: used before the quota, within the ceiling, across crashes and upgrades."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
from build import settings
from loopback import SETTINGS, Client, answer, request, run, sends, until, world
from typer.testing import CliRunner

from troutdock import jsonlines
from troutdock.cli.app import app
from troutdock.operator.components import parts_of
from troutdock.operator.reader import OperatorError, read_operator
from troutdock.reservations import files, messages
from troutdock.reservations.entries import Entry, Kind
from troutdock.reservations.service import Reservations, ReservationOptions

COSTS = answer(head=b"Billed-Units: 3\r\n")


def reserve_entry(
    id: str = "r", units: float = 100.0, starts_s: float = 0.0, lasts_s: float = 600.0, **changes: Any
) -> Entry:
    now = time.time() * 1000
    return Entry(
        id, Kind.RESERVE, id, 9, units, now + starts_s * 1000, now + (starts_s + lasts_s) * 1000, **changes
    )


def write_entries(file: Path, *entries: Entry) -> Path:
    file.write_bytes(jsonlines.encode(entries))
    return file


@asynccontextmanager
async def running_reservations(w: Any, folder: Path, **changes: Any) -> AsyncIterator[Reservations]:
    """Runs the reservations of folder/entries.jsonl."""
    service = Reservations(ReservationOptions(folder / "entries.jsonl", folder / "own", 0.05, **changes))
    service.start(w.engine)
    try:
        yield service
    finally:
        await service.close()


async def wait_until_free(service: Reservations, id: str = "r") -> None:
    await until(
        lambda: (
            service.escrow is not None and id in service.escrow.parts and service.escrow.parts[id].free > 0
        )
    )


async def status_of(w: Any, number: int, plan: str = "basis", **more: Any) -> int:
    return int((await w.ask(request("ledger-read", number, Plan=plan, **more)))[0])


def test_reserved_units_are_used_before_the_quota(tmp_path: Path) -> None:
    write_entries(tmp_path / "entries.jsonl", reserve_entry(units=18.0))

    async def test() -> None:
        async with world(COSTS) as w, running_reservations(w, tmp_path) as service:
            await wait_until_free(service)
            assert [await status_of(w, n) for n in range(1, 7)] == [
                200
            ] * 6  # the quota has a burst of 8 units and 1 unit/s
            part = service.escrow.parts["r"]
            assert (part.used, part.remaining) == (18_000, 0)  # the actual units, not the estimate of 2
            assert w.gateway.customers[9].tokens == 4.0  # the full share of the burst
            assert [await status_of(w, n) for n in range(11, 15)].count(200) in (
                1,
                2,
            )  # then admitted by its quota
            assert (
                await status_of(w, 20, Account="0000000000000008") == 200
            )  # the quota of another customer is unaffected
            assert [await status_of(w, n, Account="0000000000000008") for n in range(21, 24)].count(200) <= 1

    run(test())


def test_ceiling_limits_reserved_requests(tmp_path: Path) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    settings["balancers"] = 1
    settings["plans"][1] |= {"cap_rate": 1.0, "ceiling_burst": 8.0}
    write_entries(tmp_path / "entries.jsonl", reserve_entry(units=1000.0))

    async def test() -> None:
        async with world(COSTS, settings=settings) as w, running_reservations(w, tmp_path) as service:
            await wait_until_free(service)
            plan = w.gateway.settings.plans[1]
            assert (plan.ceiling_rate, plan.ceiling_burst) == (1.0, 8.0)
            got = [await status_of(w, n, "plus", Quota_Info="units=2,spread=1,first=0") for n in range(1, 12)]
            units = 3 * got.count(200)
            assert 429 in got or 503 in got
            assert units <= plan.ceiling_burst + plan.ceiling_rate * 2 + 3  # rejected requests used no units
            assert service.escrow.parts["r"].used == 1000 * units

    run(test())


def test_units_of_unsent_and_failed_requests_are_refunded(tmp_path: Path) -> None:
    write_entries(tmp_path / "entries.jsonl", reserve_entry(units=30.0))

    async def test() -> None:
        async with world(sends(b"nonsense\r\n\r\n")) as w, running_reservations(w, tmp_path) as service:
            await wait_until_free(service)
            w.backends[0].stop()  # connections are refused
            await asyncio.sleep(0)
            assert await status_of(w, 1, Request_Timeout="0.200") != 200
            assert service.escrow.parts["r"].used <= 2000

    run(test())


def test_gateway_that_runs_short_receives_units_of_another(tmp_path: Path) -> None:
    """Two ingresses whose datagrams the test carries; all requests go to the second one."""
    own = [tmp_path / "a", tmp_path / "b"]
    for folder in own:
        folder.mkdir()
        write_entries(folder / "entries.jsonl", reserve_entry(units=40.0, width=2, gateways=2))

    async def test() -> None:
        async with (
            world(COSTS) as a,
            world(COSTS) as b,
            running_reservations(a, own[0]) as first,
            running_reservations(b, own[1]) as second,
        ):
            services, sent = [first, second], list[bytes]()

            def carry(sender: int) -> Any:
                def tell(gateway: int, body: bytes) -> None:
                    sent.append(body)
                    asyncio.get_running_loop().call_later(0.005, services[gateway].heard, sender, body)

                return tell

            a.engine.send_to_peer, b.engine.send_to_peer = carry(0), carry(1)
            await wait_until_free(first)
            second.escrow._index = 1  # both worlds have index 0
            await wait_until_free(second)
            served = 0
            for n in range(1, 13):
                served += await status_of(b, n) == 200
                await asyncio.sleep(0.03)
            assert served >= 11 and second.escrow.parts["r"].used > 20_000  # more than its even share
            assert first.transfers_sent >= 1 and second.requests_sent <= 6
            assert {messages.decode(body)[0] for body in sent} == {messages.REQUEST, messages.TRANSFER}
            total = sum(s.escrow.parts["r"].remaining + s.escrow.parts["r"].used for s in services)
            assert total <= 40_000
            assert not second.heard(0, b"\x01abc") and second.heard(
                0, b"\x28bad"
            )  # a message of the decision module; a truncated one

    run(test())


def test_shutdown_keeps_all_units_and_upgrade_hands_the_parts_over(tmp_path: Path) -> None:
    write_entries(tmp_path / "entries.jsonl", reserve_entry(units=8000.0))

    async def test() -> None:
        async with world(COSTS) as w:
            async with running_reservations(w, tmp_path) as service:
                await wait_until_free(service)
                assert await status_of(w, 1) == 200
                second = Reservations(ReservationOptions(tmp_path / "entries.jsonl", tmp_path / "own", 0.05))
                second.start(w.engine)  # an upgrade: the newer process does not own the parts yet
                await asyncio.sleep(0.02)
                assert second.escrow is None and second.take(9, "ledger-read", 2.0) is None
                assert second.heard(1, messages.encode_request("r", 1, 5, 0))
            await until(lambda: second.escrow is not None)  # after the older process has ended
            assert second.escrow.parts["r"].remaining == 7_997_000
            await wait_until_free(second)
            saved = files.PartsFolder(tmp_path / "own").load(0)
            assert saved["r"][0] == 7_997_000 - 7_997_000 // 8
            await second.close()

    run(test())


def test_failed_saves_free_no_units_and_an_invalid_file_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    write_entries(tmp_path / "entries.jsonl", reserve_entry(units=30.0))

    async def test() -> None:
        async with world(COSTS) as w, running_reservations(w, tmp_path) as service:
            original_save = service._folder.save

            def full(index: int, parts: Any) -> None:
                raise OSError("no space left")

            service._folder.save = full  # type: ignore[method-assign]
            await until(lambda: "can't be saved" in caplog.text)
            assert [await status_of(w, n) for n in range(1, 6)].count(200) <= 4 and service.escrow.parts[
                "r"
            ].used == 0
            service._folder.save = original_save  # type: ignore[method-assign]
            await wait_until_free(service)
            (tmp_path / "entries.jsonl").write_bytes(b"[1]\n")
            await until(lambda: "entries.jsonl:1" in caplog.text)
            assert service.escrow.parts["r"].remaining == 30_000
            write_entries(tmp_path / "entries.jsonl", reserve_entry("other", 5.0))
            await wait_until_free(service, "other")
            assert "r" in service.escrow.parts  # it is active: only ended reservations are removed

    run(test())


@pytest.mark.parametrize(
    ("content", "expected"),
    [(b"what\n", "parts.json: not a parts file"), (b'{"version":1,"index":3,"parts":{}}', "gateway 3's")],
)
def test_parts_folder_of_another_gateway_disables_reservations(
    tmp_path: Path, content: bytes, expected: str, caplog: pytest.LogCaptureFixture
) -> None:
    write_entries(tmp_path / "entries.jsonl", reserve_entry())
    (tmp_path / "own").mkdir()
    (tmp_path / "own" / "parts.json").write_bytes(content)

    async def test() -> None:
        async with world(COSTS) as w, running_reservations(w, tmp_path) as service:
            await until(lambda: expected in caplog.text)
            assert await status_of(w, 1) == 200 and service.escrow is None

    run(test())


# ---- management calls and commands


def cli(*words: str) -> tuple[int, str]:
    done = CliRunner().invoke(app, list(words))
    return done.exit_code, done.output


@asynccontextmanager
async def ingresses(tmp_path: Path, number: int) -> AsyncIterator[list[Any]]:
    """Runs ingresses with a management endpoint, plans and reservations."""
    async with AsyncExitStack() as stack:
        found = []
        for n in range(number):
            folder = tmp_path / str(n)
            folder.mkdir()
            operator = folder / "operator.yaml"
            operator.write_text(
                json.dumps(
                    {
                        "plans": {"file": str(folder / "plans.jsonl"), "reread_s": 0.05},
                        "reservations": {
                            "file": str(folder / "entries.jsonl"),
                            "folder": str(folder / "own"),
                            "fleet_units_per_s": 1000.0,
                            "reread_s": 0.05,
                        },
                    }
                )
            )
            parts = parts_of("n0", read_operator(operator), settings())
            w = await stack.enter_async_context(world(COSTS, management="127.0.0.1:0", settings={"index": n}))
            for part in parts:
                part.start(w.engine)
                stack.push_async_callback(part.close)
                w.service._management_server.books |= part.books()
            w.parts, w.door = parts, "{}:{}".format(*w.service.management)
            found.append(w)
        yield found


def test_commands_promise_at_one_ingress_and_inform_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with ingresses(tmp_path, 2) as (a, b):

            async def run_command(*words: str, of: tuple[Any, ...] = (a, b)) -> tuple[int, str]:
                more = [word for w in of for word in ("--door", w.door)]
                return await asyncio.to_thread(cli, *words, *more)

            end = "2099-01-01T00:00:00Z"
            got = await run_command(
                "reserve",
                "0000000000000009",
                "500",
                "--until",
                end,
                "--id",
                "r1",
                "--width",
                "1",
                "--plan",
                "basis",
            )
            assert got[0] == 0 and "500 units" in got[1]
            for w in (a, b):
                assert w.parts[1].escrow.entries.get("r1").units == 500
                assert files.read(w.parts[1]._options.file).get("r1") is not None
            await wait_until_free(a.parts[1], "r1")
            assert [await status_of(a, n) for n in range(1, 8)] == [200] * 7
            code, out = await run_command("reservations", "0000000000000009")
            assert code == 0 and "500 units" in out and "479 left and 21 used at 1 of 1 gateways" in out
            # an excessive reservation is rejected with an alternative
            code, out = await run_command(
                "reserve",
                "0000000000000009",
                "1e6",
                "--until",
                "2026-12-31T00:00:00Z",
                "--from",
                "2026-12-30T23:59:00Z",
                "--plan",
                "basis",
            )
            assert code == 1 and "the customer's plan" in out and "units would be" in out
            assert (await run_command("reserve", "0000000000000009", "5", "--until", end, "--plan", "gold"))[
                0
            ] == 2
            assert (
                "'mail' is not a request class"
                in (
                    await run_command(
                        "reserve",
                        "0000000000000009",
                        "5",
                        "--until",
                        end,
                        "--plan",
                        "basis",
                        "--class",
                        "mail",
                    )
                )[1]
            )
            assert (
                "has ended"
                in (
                    await run_command(
                        "reserve",
                        "0000000000000009",
                        "5",
                        "--until",
                        "2001-01-01",
                        "--from",
                        "2000-01-01",
                        "--plan",
                        "basis",
                    )
                )[1]
            )
            # one ingress that lacks an entry
            assert (await run_command("extend", "r1", "--units", "7", "--plan", "basis", of=(b,)))[0] == 0
            assert a.parts[1].escrow.entries.get("r1").units == 500
            code, out = await run_command("reservations")
            assert (
                code == 0
                and "507 units" in out
                and f"told to those that had not heard of all: {a.door}" in out
            )
            assert a.parts[1].escrow.entries.get("r1").units == 507
            # assigning a plan that allows less than is reserved prints a warning
            assert (
                await run_command(
                    "reserve",
                    "0000000000000009",
                    "500",
                    "--until",
                    "2099-01-01T00:00:10Z",
                    "--from",
                    end,
                    "--id",
                    "r2",
                    "--plan",
                    "plus",
                )
            )[0] == 0
            code, out = await run_command("plans", "assign", "0000000000000009", "basis", "--id", "p1")
            assert code == 0 and "beware" in out and "basis bears 4" in out
            await until(lambda: all(w.engine.plan_of(9) == "basis" for w in (a, b)))
            code, out = await run_command("plans", "assign", "0000000000000009", "gold")
            assert code == 2 and "no plan there" in out
            assert (
                (await run_command("plans", "show", "0000000000000009"))[1]
                .strip()
                .startswith("0000000000000009: basis")
            )
            assert (await run_command("plans", "assign", "0000000000000009", "plus", "--id", "p1"))[
                0
            ] == 1  # the id is known with other content
            assert "p1" in (await run_command("plans", "history", "0000000000000009"))[1]
            # after a release, requests use the ordinary quota
            code, out = await run_command("release", "r1")
            assert code == 0 and not a.parts[1].escrow.consume(9, "ledger-read", 1.0, time.time() * 1000 + 1)
            assert "released" in (await run_command("reservations", "--all"))[1]
            assert (await run_command("release", "nothing"))[0] == 2
            gone = b.door
            b.service._management_server.close()
            code, out = await run_command(
                "reserve", "0000000000000009", "5", "--until", end, "--plan", "basis", "--id", "r3"
            )
            assert code == 1 and "1 ingresses have not heard" in out and "--id r3" in out and gone in out

    run(test())


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ("POST /control/reservations HTTP/1.1\r\nContent-Length: 6\r\n\r\n[1,2]\n", 400),
        ("POST /control/plans HTTP/1.1\r\nContent-Length: 6\r\n\r\n[1,2]\n", 400),
        ("POST /control/reservations/promise HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400),
        ("PUT /control/plans HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        ("GET /control/plans HTTP/1.1\r\n\r\n", 200),
        ("POST /control/plans HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" + "x" * 300_000, 413),
        ("GET /control/usage HTTP/1.1\r\n\r\n", 404),
    ],
)
def test_invalid_management_calls_are_rejected_and_change_nothing(
    tmp_path: Path, call: str, status: int
) -> None:
    async def test() -> None:
        async with ingresses(tmp_path, 1) as (w,):
            reader, writer = await asyncio.open_connection(*w.service.management)
            assert (await Client(reader, writer).ask(call.encode()))[0] == status
            writer.close()
            assert len(w.parts[0].schedule.history) == 0 and len(w.parts[1].escrow.entries) == 0

    run(test())


def test_commands_on_a_file(tmp_path: Path) -> None:
    file = str(tmp_path / "entries.jsonl")
    bears = ("--file", file, "--fleet", "1000", "--rate", "10")
    code, out = cli(
        "reserve",
        "0000000000000009",
        "100",
        "--until",
        "2000-01-02",
        "--from",
        "2000-01-01",
        "--id",
        "old",
        *bears,
    )
    assert code == 0 and "2000-01-01" in out
    assert (
        cli(
            "reserve",
            "0000000000000009",
            "100",
            "--until",
            "2099-01-02",
            "--id",
            "new",
            "--first",
            "2",
            "--width",
            "2",
            "--gateways",
            "3",
            *bears,
        )[0]
        == 0
    )
    assert (
        cli(
            "reserve",
            "0000000000000009",
            "100",
            "--until",
            "2000-01-02",
            "--from",
            "2000-01-01",
            "--id",
            "old",
            *bears,
        )[0]
        == 0
    )  # again
    assert (
        cli(
            "reserve",
            "0000000000000009",
            "101",
            "--until",
            "2000-01-02",
            "--from",
            "2000-01-01",
            "--id",
            "old",
            *bears,
        )[0]
        == 2
    )
    assert cli("extend", "new", "--units", "5", "--id", "x", *bears)[0] == 0
    reservation = files.read(Path(file)).get("new")
    assert reservation is not None and (
        reservation.units,
        reservation.first,
        reservation.width,
        reservation.gateways,
    ) == (105.0, 2, 2, 3)
    assert (
        "105 units" in cli("reservations", "--file", file)[1]
        and "old  " not in cli("reservations", "--file", file)[1]
    )
    assert (
        "1 reservations are taken out"
        in cli("reservations", "--file", file, "--prune-before", "2001-01-01")[1]
    )
    assert [r.id for r in files.read(Path(file)).reservations()] == ["new"]
    assert (
        cli("release", "new", "--file", file)[0] == 0
        and "released" in cli("reservations", "--all", "--file", file)[1]
    )
    for words, expected in (
        (("reserve", "9", "1", "--until", "2099-01-01", *bears), "16 hex digits"),
        (("reserve", "0000000000000009", "1", "--until", "soon", *bears), "soon"),
        (("reserve", "0000000000000009", "1", "--until", "2099-01-01", "--file", file), "--fleet and --rate"),
        (("reserve", "0000000000000009", "1", "--until", "2099-01-01"), "either --file or --door"),
        (("reservations", "--door", "nowhere"), "no host:port"),
    ):
        code, out = cli(*words)
        assert code == 2 and expected in out


def test_operator_section_is_validated_and_an_invalid_file_gives_one_line(tmp_path: Path) -> None:
    operator = tmp_path / "operator.yaml"
    operator.write_text("reservations:\n  file: x.jsonl\n")
    with pytest.raises(OperatorError, match=r"reservations.folder"):
        read_operator(operator)
    file = write_entries(tmp_path / "entries.jsonl", reserve_entry(), reserve_entry(units=3.0))
    operator.write_text(f"reservations:\n  file: {file}\n  folder: {tmp_path / 'own'}\n")
    with pytest.raises(OperatorError, match=r"entries.jsonl:2: entry 'r' is known as"):
        parts_of("n0", read_operator(operator), settings())


def test_concurrent_promises_on_one_file_stay_within_the_limit(tmp_path: Path) -> None:
    from concurrent.futures import ThreadPoolExecutor

    from troutdock.reservations.commitment_limit import CommitmentBounds

    file = tmp_path / "entries.jsonl"

    def one(n: int) -> bool:
        entry = reserve_entry(f"r{n}", 600.0, 1000.0, 60.0)._replace(
            customer=n
        )  # 10 units/s each, the limit is 30
        return files.promise(
            file, entry._replace(from_ms=1e12, until_ms=1e12 + 60_000), CommitmentBounds(100.0, 10.0)
        )[1].granted

    with ThreadPoolExecutor(8) as pool:
        assert sum(pool.map(one, range(12))) == 3
    assert len(files.read(file)) == 3
    assert msgspec.json.decode(file.read_bytes().splitlines()[0])[1] == "reserve"
