"""The library: one typed call, its results, closing, and sharing of ingresses."""

from __future__ import annotations

import asyncio
import logging
import signal
import threading
from typing import Any

import pytest
import uvloop
from asgi_host import NAMES, cancelled_at, deployment, nodes
from counting import read_call
from loopback import Peer, answer, sends, silence, until
from loopback import run as run_on_uvloop
from simulated import assert_settled

from troutdock.admission.interface import Effect, Plan, RequestClass
from troutdock.library import (
    BadRequest,
    ConfigError,
    Deployment,
    DeploymentInUse,
    Facts,
    Failed,
    Failure,
    Ingress,
    IngressClosed,
    Refused,
    Request,
    Served,
    customer_number,
    shared,
)


def run(test: Any) -> None:
    """Runs the test on uvloop and on the standard event loop; hosts use both."""
    run_on_uvloop(test())
    asyncio.run(asyncio.wait_for(test(), 30))


def ask(
    cls: str = "vat-filing",
    number: int = 1,
    plan: str = "plus",
    timeout_s: float | None = 1.5,
    units: float = 0.1,
    **changes: Any,
) -> Request:
    facts = Facts(
        cls=cls,
        customer="of " + plan,
        plan=plan,
        units=units,
        timeout_s=timeout_s,
        request_id=f"{number:016x}",
    )
    body = b"" if cls == "ledger-read" else b"receipt"
    return Request(**{"target": f"/{cls}/7?year=3", "facts": facts, "body": body, **changes})


def test_a_call_is_served_refused_or_failed() -> None:
    async def test() -> None:
        async with nodes(answer(b"done", head=b"Billed-Units: 3\r\nX-Y: z\r\n")) as peers:
            async with Ingress(deployment(*peers)) as ingress:
                assert ingress.ready
                served = await ingress.call(ask("payment-book"))
                assert isinstance(served, Served)
                assert (served.body, served.true_units, served.headers[b"x-y"]) == (b"done", 3.0, b"z")
                sent = peers[0].requests[0].lower()
                assert sent.startswith(b"post /payment-book/7?year=3 http/1.1\r\n") and sent.endswith(
                    b"\r\n\r\nreceipt"
                )
                assert b"request-id: 0000000000000001\r\n" in sent and b"idempotency-key: " in sent
                refused = [
                    r
                    for n in range(8)
                    if isinstance(r := await ingress.call(ask("ledger-read", n, "basis", units=2)), Refused)
                ]
                assert refused and all(r.retry_after_s > 0 for r in refused)
                peers[0].script = answer(b"", 500)
                assert await ingress.call(ask()) == Failed(Failure.ATTEMPT)
                assert_settled(ingress.core.engine)
            with pytest.raises(IngressClosed):
                await ingress.call(ask())

    run(test)


def test_the_headers_of_a_call_go_on_and_those_of_the_protocol_are_generated_anew() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers, Ingress(deployment(*peers)) as ingress:
            await ingress.call(
                ask("ledger-read", headers=[("X-Trace", "7"), ("Request-Id", "false"), ("Connection", "x")])
            )
            lines = peers[0].requests[0].lower().split(b"\r\n")
            assert b"x-trace: 7" in lines and b"request-id: 0000000000000001" in lines
            assert not any(b"false" in line or line.startswith(b"connection") for line in lines)

    run(test)


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"target": "/elsewhere"}, "404"),
        ({"target": "ledger-read"}, "404"),
        ({"target": "/vat-filing/ x"}, "400"),
        ({"target": "/vat-filing/\r\nX: y"}, "400"),
        ({"headers": [("X", "a\r\nb: c")]}, "400"),
        ({"body": b"x" * 65537}, "413"),
        ({"facts": Facts("nothing", 9, "plus")}, "404"),
        ({"facts": Facts("vat-filing", 9, "gold")}, "no such plan"),
        ({"facts": Facts("vat-filing", 1 << 33, "plus")}, "customer"),
        ({"facts": Facts("vat-filing", 9, "plus", units=9)}, "400"),
        ({"facts": Facts("vat-filing", 9, "plus", units=0)}, "400"),
        ({"facts": Facts("vat-filing", 9, "plus", timeout_s=-1)}, "400"),
        ({"facts": Facts("vat-filing", 9, "plus", spread=2)}, "400"),
        ({"facts": Facts("vat-filing", 9, "plus", first=1)}, "400"),
        ({"facts": Facts("vat-filing", 9, "plus", request_id="a\nb")}, "400"),
        ({"facts": Facts("vat-filing", 9, "plus", request_id="x" * 200)}, "400"),
        ({"facts": Facts("vat-filing", 9, "plus", units=float("nan"))}, "400"),
        ({"facts": Facts("ledger-read", 9, "plus"), "target": "/ledger-read"}, "no body"),
    ],
)
def test_an_invalid_call_is_not_accepted(changes: dict[str, Any], said: str) -> None:
    async def test() -> None:
        async with nodes(answer()) as peers, Ingress(deployment(*peers)) as ingress:
            with pytest.raises(BadRequest, match=said):
                await ingress.call(ask(**changes))
            assert peers[0].requests == [] and ingress.tally.taken == 0

    run_on_uvloop(test())


def test_an_id_is_in_progress_only_once() -> None:
    async def test() -> None:
        async with nodes(silence) as peers, Ingress(deployment(*peers)) as ingress:
            first = asyncio.create_task(ingress.call(ask(timeout_s=0.3)))
            await until(lambda: len(peers[0].requests) == 1)
            with pytest.raises(BadRequest, match="409"):
                await ingress.call(ask())
            assert isinstance(await first, Failed)

    run(test)


# ---- cancelled


@pytest.mark.parametrize("cls", NAMES)
@pytest.mark.parametrize("script", [answer(), silence, sends(b""), answer(b"", 503, b"Not-Started: 1\r\n")])
def test_a_call_that_is_cancelled_at_any_wait_leaves_nothing_behind(cls: str, script: Any) -> None:
    async def test() -> None:
        async with nodes(script, script) as peers, Ingress(deployment(*peers)) as ingress:
            at, ended = 1, False
            while not ended:
                before = ingress.tally.taken
                cancelled, waits = await cancelled_at(lambda: ingress.call(ask(cls, timeout_s=0.2)), at)
                ended, at = waits < at, at + 1
                assert cancelled is not ended
                assert ingress.tally.taken == before + 1
                assert_settled(ingress.core.engine)
            assert at > 2  # at least one wait was cancelled
            sent = sum(len(p.requests) for p in peers)
            await asyncio.sleep(0.03)
            assert sum(len(p.requests) for p in peers) == sent

    run(test)


@pytest.mark.parametrize("cls", NAMES)
def test_a_call_cancelled_after_any_event_repeats_nothing_beyond_its_class(cls: str) -> None:
    """Before the first attempt, during one, between two, and while the response arrives."""

    async def test() -> None:
        async with nodes(sends(b""), sends(b""), sends(b"")) as peers, Ingress(deployment(*peers)) as ingress:
            engine, number, met = ingress.core.engine, 0, True
            while met:
                number += 1
                met, events = False, 0
                task = asyncio.create_task(ingress.call(ask(cls, number)))
                handle = engine._gateway.handle

                def counted(now: float, event: Any) -> Any:
                    nonlocal met, events
                    events += 1
                    if events == number and not met:
                        met = True
                        asyncio.get_running_loop().call_soon(task.cancel)
                    return handle(now, event)

                engine._gateway.handle = counted  # type: ignore[method-assign]
                await asyncio.wait({task})
                engine._gateway.handle = handle  # type: ignore[method-assign]
                sent = [sum(b"%016x" % number in r for r in p.requests) for p in peers]
                assert sum(sent) <= (1 if cls == "vat-filing" else 3)
                await asyncio.sleep(0.02)
                assert sent == [sum(b"%016x" % number in r for r in p.requests) for p in peers]
                assert_settled(engine)
            assert number > 2

    run(test)


def test_a_call_cancelled_before_its_first_attempt_is_never_sent() -> None:
    """The request waits for the counter; the later answer of the counter has no effect."""

    async def test() -> None:
        asked: list[tuple[bytes, asyncio.StreamWriter]] = []

        async def late(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            asked.append((call, writer))

        counter = Peer(late, read_call)
        await counter.start()
        async with nodes(answer()) as peers:
            made = deployment(*peers, counter=counter.address, counter_timeout_s=0.3)
            async with Ingress(made) as ingress:
                held = None
                for number in range(60):
                    task = asyncio.create_task(ingress.call(ask("ledger-read", number, "basis", units=2)))
                    await asyncio.sleep(0.002)
                    calls = list(ingress.core.engine._calls.values())
                    if calls and not calls[0].attempts:
                        held = task
                        break
                    await task
                assert held is not None
                sent = len(peers[0].requests)
                held.cancel()
                await asyncio.wait({held})
                assert held.cancelled() and ingress.tally.withdrawn == 1
                for _, writer in asked:
                    writer.write(b"$3\r\n0.0\r\n")
                await asyncio.sleep(0.02)
                assert len(peers[0].requests) == sent
                assert_settled(ingress.core.engine)
        counter.stop()

    run(test)


# ---- closing


def test_closing_waits_for_accepted_requests() -> None:
    async def test() -> None:
        async def slow(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            await answer()(peer, data, writer)

        async with nodes(slow) as peers:
            ingress = Ingress(deployment(*peers))
            await ingress.open()
            out = [asyncio.create_task(ingress.call(ask("vat-filing", n))) for n in range(5)]
            await until(lambda: len(peers[0].requests) == 5)
            await ingress.close()
            assert all(isinstance(task.result(), Served) for task in out)
            await ingress.close()  # a second close has no effect

    run(test)


def test_closing_fails_requests_without_an_answer_after_the_grace_period() -> None:
    async def test() -> None:
        async with nodes(silence) as peers:
            ingress = Ingress(deployment(*peers))
            await ingress.open()
            out = asyncio.create_task(ingress.call(ask()))
            await until(lambda: len(peers[0].requests) == 1)
            engine = ingress.core.engine
            await ingress.close(grace_s=0.05)
            assert await out == Failed(Failure.CLOSED)
            await until(lambda: peers[0].closed == 1)
            assert_settled(engine)

    run(test)


def test_no_task_is_left_and_the_process_is_as_before() -> None:
    async def test() -> None:
        before = (
            asyncio.all_tasks(),
            [signal.getsignal(n) for n in signal.valid_signals()],
            list(logging.getLogger().handlers),
            list(logging.getLogger("troutdock").handlers),
            logging.getLogger("troutdock").level,
            asyncio.get_running_loop().get_debug(),
        )
        discovery, counter = Peer(silence), Peer(silence)
        await discovery.start()
        await counter.start()
        async with nodes(answer()) as peers:
            made = deployment(
                *peers, discovery=discovery.address, counter=counter.address, counter_timeout_s=0.02
            )
            tasks = asyncio.all_tasks()
            async with Ingress(made) as ingress:
                assert isinstance(await ingress.call(ask()), Served)
            await until(
                lambda: discovery.closed == discovery.connections and counter.closed == counter.connections
            )
            await until(
                lambda: asyncio.all_tasks() <= tasks | {t for t in asyncio.all_tasks() if "Peer" in repr(t)}
            )
        discovery.stop()
        counter.stop()
        after = (
            before[0],
            [signal.getsignal(n) for n in signal.valid_signals()],
            list(logging.getLogger().handlers),
            list(logging.getLogger("troutdock").handlers),
            logging.getLogger("troutdock").level,
            asyncio.get_running_loop().get_debug(),
        )
        assert before == after and not shared._entries

    run(test)


def test_an_ingress_belongs_to_its_loop_and_opens_once() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers, Ingress(deployment(*peers)) as ingress:
            with pytest.raises(IngressClosed, match="already"):
                await ingress.open()
            said: list[str] = []

            def elsewhere() -> None:
                try:
                    asyncio.run(ingress.call(ask()))
                except IngressClosed as error:
                    said.append(str(error))

            await asyncio.to_thread(elsewhere)
            assert said == ["the ingress belongs to another event loop"]

    run(test)


# ---- sharing


def test_two_users_of_one_name_share_its_quota() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            one = await shared.join(deployment(*peers))
            other = await shared.join(deployment(*peers))
            assert one is other
            served = [
                await i.call(ask("ledger-read", n, "basis", units=2)) for n in range(8) for i in (one, other)
            ]
            assert sum(isinstance(r, Served) for r in served) == 4  # the burst of 8, in requests of 2
            await shared.leave(one)
            assert isinstance(await other.call(ask()), Served)
            await shared.leave(other)
            with pytest.raises(IngressClosed):
                await other.call(ask())
            assert not shared._entries

    run(test)


def test_a_name_that_is_open_with_other_settings_is_an_error() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            one = await shared.join(deployment(*peers))
            with pytest.raises(ConfigError, match="'tests' is open in this process with other settings"):
                await shared.join(deployment(*peers, marks_retry=True))
            await shared.leave(one)
            changed = await shared.join(deployment(*peers, marks_retry=True))
            await shared.leave(changed)

    run(test)


def test_a_second_loop_is_refused_with_a_clear_error() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            made = deployment(*peers)
            one = await shared.join(made)
            said: list[BaseException] = []

            def elsewhere() -> None:
                try:
                    asyncio.run(shared.join(made))  # type: ignore[arg-type]
                except DeploymentInUse as error:
                    said.append(error)

            thread = threading.Thread(target=elsewhere)
            thread.start()
            await asyncio.to_thread(thread.join)
            assert len(said) == 1 and "another event loop" in str(said[0])
            assert isinstance(await one.call(ask()), Served)
            await shared.leave(one)
            await asyncio.to_thread(lambda: asyncio.run(open_and_leave(made)))  # free again

    run(test)


async def open_and_leave(made: Deployment) -> None:
    await shared.leave(await shared.join(made))


def test_a_closed_loop_does_not_keep_the_name() -> None:
    made = deployment()
    loop = uvloop.new_event_loop()
    loop.run_until_complete(shared.join(made))
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()
    asyncio.run(open_and_leave(made))
    assert not shared._entries


def test_joins_at_once_open_one_ingress_and_a_cancelled_one_keeps_none_open() -> None:
    async def test() -> None:
        made = deployment()
        joined = await asyncio.gather(*(shared.join(made) for _ in range(5)))
        assert len({id(i) for i in joined}) == 1
        for ingress in joined:
            await shared.leave(ingress)
        assert not shared._entries
        task = asyncio.create_task(shared.join(made))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        assert not shared._entries

    run(test)


# ---- settings


SAFE = RequestClass(name="read", aim_ms=1, deadline_ms=1, worth=1, effect=Effect.SAFE)


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"classes": ()}, "classes"),
        ({"plans": ()}, "plans"),
        ({"classes": (SAFE, SAFE)}, "class 'read' is there twice"),
        ({"classes": (RequestClass(1, 1, 1, Effect.SAFE),)}, "class 0: ''"),
        ({"plans": (Plan(1, 1, name="a b"),)}, "plan 0: 'a b'"),
        ({"nodes": ["nowhere"]}, "nodes: 'nowhere'"),
        ({"nodes": ["a:1", "a:1"]}, "twice"),
        ({"discovery": ":1"}, "discovery"),
        ({"counter": "x"}, "counter"),
        ({"ingresses": 2}, "counter"),
        ({"index": 1}, "index"),
        ({"sockets": 3}, "sockets"),
        ({"max_answer_bytes": 1}, "max_answer_bytes"),
        ({"connect_timeout_s": 0}, "connect_timeout_s"),
        ({"idle_s": float("nan")}, "idle_s"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"cold_s": -1}, "cold_ms"),
        ({"most_units": "8"}, "most_units"),
    ],
)
def test_a_bad_setting_is_named_when_the_deployment_is_created(changes: dict[str, Any], said: str) -> None:
    with pytest.raises(ConfigError, match=said) as error:
        deployment(**changes)
    assert "\n" not in str(error.value)


def test_a_deployment_from_the_platforms_file_has_its_name(tmp_path: Any) -> None:
    with pytest.raises(ConfigError, match=r"none\.json"):
        Deployment.from_file(str(tmp_path / "none.json"))
    with pytest.raises(ConfigError, match="needs a name"):
        Deployment("", deployment().config)


def test_a_customers_name_has_the_same_number_everywhere() -> None:
    assert customer_number("acme") == customer_number("acme") != customer_number("acne")
    assert 0 <= customer_number("Zürich") < 1 << 33
