"""The ledger in an ingress: answers wait for the disk, a full disk rejects requests, and no deadline is missed."""

from __future__ import annotations

import asyncio
import re
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from loopback import Peer, World, answer, request, run, until, world

from troutdock.operator.reader import OperatorError, read_operator
from troutdock.operator.usage import usage_options
from troutdock.usage.ledger import Promise
from troutdock.usage.memory import MemoryStore
from troutdock.usage.store import StoreError
from troutdock.usage.record import Batch, State
from troutdock.usage.service import UsageOptions, Usage

BILLED = answer(head=b"Billed-Units: 3\r\n")


class FaultyStore(MemoryStore):
    """A store whose commits can be blocked and can fail."""

    def __init__(self) -> None:
        super().__init__()
        self.writable = threading.Event()
        self.writable.set()
        self.full = False
        self.commits = 0

    def commit(self, batch: Batch) -> None:
        self.writable.wait(10)
        if self.full:
            raise StoreError("no space left")
        self.commits += not batch.empty
        super().commit(batch)

    def states(self) -> list[State]:
        return [r.state for r in self._of[1].records.values()]


@asynccontextmanager
async def ledger(w: World, promise: Promise = Promise.SYNC, at_risk_ms: float = 50.0) -> AsyncIterator[Any]:
    """Records usage; writes all of it to disk at the end."""
    disk = FaultyStore()
    usage = Usage("n0", UsageOptions(promise, at_risk_ms=at_risk_ms), disk)
    usage.start(w.engine)
    try:
        yield disk, usage
    finally:
        disk.full = False
        disk.writable.set()
        await usage.close()


def with_ledger(*scripts: Any, **changes: Any) -> Callable[[Callable[..., Any]], None]:
    """Runs a scenario on an ingress with a ledger."""

    def decorate(course: Callable[..., Any]) -> None:
        async def test() -> None:
            async with world(*scripts) as w, ledger(w, **changes) as (disk, usage):
                await course(w, disk, usage)

        run(test())

    return decorate


def test_answer_is_given_once_its_record_is_on_disk() -> None:
    @with_ledger(BILLED)
    async def _(w: World, disk: FaultyStore, usage: Usage) -> None:
        disk.writable.clear()
        client = await w.client()
        asking = asyncio.create_task(client.ask(request("ledger-read")))
        await until(lambda: len(w.backends[0].requests) == 1 and usage.ledger.waiting == 1)
        await asyncio.sleep(0.05)
        assert not asking.done() and w.engine.open == 1
        disk.writable.set()
        assert (await asking)[0] == 200
        await until(lambda: disk.states() == [State.GIVEN])
        (record,) = disk.select(9).records
        assert record.use[:4] == (9, "plus", "ledger-read", 3.0)


def test_bounded_answers_are_given_before_their_records_are_on_disk() -> None:
    @with_ledger(BILLED, promise=Promise.BOUNDED)
    async def _(w: World, disk: FaultyStore, usage: Usage) -> None:
        await until(lambda: usage.ledger.reserved > 0)
        disk.writable.clear()
        assert (await w.ask(request("ledger-read")))[0] == 200
        assert not disk.states() and usage.ledger.units_at_risk == 3.0
        disk.writable.set()
        await until(lambda: disk.states() == [State.GIVEN] and usage.ledger.units_at_risk == 0)


def test_full_disk_rejects_requests_until_it_recovers() -> None:
    @with_ledger(BILLED)
    async def _(w: World, disk: FaultyStore, usage: Usage) -> None:
        disk.full = True
        status, head, _ = await w.ask(request("ledger-read", 1))
        assert status == 429 and b"Retry-After" in head  # it was executed, and may safely be repeated
        sent = len(w.backends[0].requests)
        for number, cls in ((2, "ledger-read"), (3, "vat-filing")):
            status, head, _ = await w.ask(request(cls, number))
            assert status == 429 and b"Retry-After" in head
        assert len(w.backends[0].requests) == sent == 1  # requests that could not be billed were not sent
        disk.full = False
        await until(lambda: not usage.ledger.stuck)
        assert (await w.ask(request("vat-filing", 4)))[0] == 200
        await until(lambda: disk.states() == [State.VOID, State.GIVEN])


@pytest.mark.parametrize(
    ("cls", "status"), [("ledger-read", 429), ("payment-book", 429), ("vat-filing", 500)]
)
def test_unrecorded_answer_is_retryable_only_for_repeatable_classes(cls: str, status: int) -> None:
    @with_ledger(BILLED)
    async def _(w: World, disk: FaultyStore, usage: Usage) -> None:
        disk.full = True
        assert (await w.ask(request(cls)))[0] == status


def test_unacknowledged_exports_are_limited_and_then_requests_are_rejected(
    tmp_path: Path,
) -> None:
    available = False

    async def consumer(peer: Peer, received: bytes, writer: asyncio.StreamWriter) -> None:
        key = re.search(rb"idempotency-key: (\w+)", received, re.I)
        assert key is not None
        body = b'{"acknowledged": "%b"}' % key[1]
        await (answer(body) if available else answer(status=503))(peer, received, writer)

    async def test() -> None:
        nonlocal available
        consumer_server = Peer(consumer)
        await consumer_server.start()
        async with world(BILLED) as w:
            usage = Usage(
                "n0",
                UsageOptions(
                    Promise.SYNC,
                    tmp_path,
                    export_interval_s=0.05,
                    consumer_url=f"http://{consumer_server.address}/use",
                    max_unacknowledged_bytes=10_000,
                ),
            )
            usage.start(w.engine)
            number = 0
            while not usage.ledger.full:  # each export has a few kilobytes
                number += 1
                assert (await w.ask(request("ledger-read", number)))[0] in (200, 429)
                await asyncio.sleep(0.02)
            kept = sum(f.stat().st_size for f in (tmp_path / "exports").iterdir())
            assert 10_000 < kept < 40_000
            status, head, _ = await w.ask(request("ledger-read", 1000))
            assert status == 429 and b"Retry-After" in head and usage.ledger.last_sequence <= number
            available = True
            await until(lambda: not usage.ledger.full)
            assert (await w.ask(request("ledger-read", 1001)))[0] == 200
            await usage.close()
        consumer_server.stop()

    run(test())


def test_stalled_disk_does_not_delay_answers_beyond_their_deadline() -> None:
    @with_ledger(BILLED)
    async def _(w: World, disk: FaultyStore, usage: Usage) -> None:
        disk.writable.clear()
        began = asyncio.get_running_loop().time()
        status, _, _ = await w.ask(request("vat-filing", Request_Timeout="0.400"))
        assert status == 500 and asyncio.get_running_loop().time() - began < 0.4
        assert w.engine.open == 0
        disk.writable.set()
        await until(lambda: disk.states() == [State.VOID])


def test_client_that_disconnects_during_the_commit_is_not_billed() -> None:
    @with_ledger(BILLED)
    async def _(w: World, disk: FaultyStore, usage: Usage) -> None:
        disk.writable.clear()
        client = await w.client()
        client.writer.write(request("ledger-read"))
        await until(lambda: usage.ledger.waiting == 1)
        client.writer.close()
        await until(lambda: w.engine.open == 0)
        disk.writable.set()
        await until(lambda: disk.states() == [State.VOID])
        assert w.engine.tally.withdrawn == 1 and w.engine.tally.served == 0


def test_concurrent_answers_share_a_commit() -> None:
    @with_ledger(*[BILLED] * 6)
    async def _(w: World, disk: FaultyStore, usage: Usage) -> None:
        disk.writable.clear()
        asking = []
        for n in range(1, 13):  # one by one, as a new ingress admits few concurrent requests
            client = await w.client()
            asking.append(asyncio.create_task(client.ask(request("ledger-read", n, Account=f"{n:016x}"))))
            await until(lambda n=n: usage.ledger.waiting >= n)
        disk.writable.set()
        assert [status for status, _, _ in await asyncio.gather(*asking)] == [200] * 12
        await until(lambda: disk.states() == [State.GIVEN] * 12)
        assert disk.commits <= 4  # the first record, all others, and the state updates


def test_close_writes_the_remaining_records() -> None:
    async def test() -> None:
        async with world(BILLED) as w:
            async with ledger(w, Promise.BOUNDED, at_risk_ms=5000.0) as (disk, usage):
                await until(lambda: usage.ledger.reserved > 0)
                assert (await w.ask(request("ledger-read")))[0] == 200
                assert not disk.states()
            assert disk.states() == [State.GIVEN] and disk.select(9).unknown == ()

    run(test())


# ---- operator file


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("usage:\n  promise: sync\n", ":1: usage: promise sync needs a folder"),
        ("usage:\n  promise: often\n  folder: x\n", ":2: usage.promise"),
        ("usage:\n  folder: x\n  at_risk_ms: soon\n", ":3: usage.at_risk_ms"),
        ("usage:\n  folder: x\n  exports:\n    rows: 0\n", ":4: usage.exports.rows"),
        (
            "usage:\n  folder: x\n  exports:\n    deliver_to: ftp://x\n",
            ":4: usage.exports.deliver_to: not an http:// URL",
        ),
        ("usage:\n  folder: x\nrouting: {}\n", ":3: routing: Extra inputs"),
        ("usage: [\n", ":2:"),
        ("- 1\n", "no sections"),
        ("usage:\n  folder: x\n  folder: y\n", ":3:"),
    ],
)
def test_invalid_operator_file_names_line_and_key(tmp_path: Path, text: str, expected: str) -> None:
    file = tmp_path / "operator.yaml"
    file.write_text(text)
    with pytest.raises(OperatorError) as error:
        read_operator(file)
    assert expected in str(error.value) and "\n" not in str(error.value)


def test_example_operator_file_is_valid() -> None:
    section = read_operator(Path(__file__).parent.parent.parent / "deploy" / "operator.example.yaml").usage
    assert section is not None
    terms = usage_options(section)
    assert (
        terms.promise is Promise.SYNC
        and terms.max_unacknowledged_bytes == 1 << 30
        and terms.retention_s == 7 * 86_400
    )
    with pytest.raises(OperatorError, match="No such file"):
        read_operator(Path("nowhere.yaml"))
