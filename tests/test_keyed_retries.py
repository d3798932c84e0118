"""A client's retry of a keyed request never runs twice: at the gateway, and at backends that record runs."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest
from build import START, ended, fleet, gateway, request
from loopback import SETTINGS, Peer, run, silence, world
from loopback import request as message

from troutdock.admission import Gateway
from troutdock.admission.request_records import KEY_TTL_MS, MAX_KEYS
from troutdock.admission.interface import (
    Effect,
    Fail,
    Group,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestQueued,
    Send,
)

PAY = RequestClass(1000, 4000, 5, Effect.KEYED, Group.ALL, 3000)
CELL = RequestClass(1000, 4000, 5, Effect.KEYED, Group.CELL, 3000)
OLD = 5000.0  # uptime of the gateway, longer than any client waits


def made(cls: RequestClass = PAY, **changes: Any) -> Gateway:
    return gateway(classes=(cls,), marks_retry=True, **changes)


def ask(g: Gateway, now: float, number: int, key: int = 77, retry: bool = False) -> Any:
    arrival: RequestArrived = request(number, retry=retry)
    arrival.key = key
    return next(a for a in g.handle(now, arrival) if isinstance(a, Send | Refuse | Fail))


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET])
def test_a_request_that_may_have_run_is_retried_within_the_window_only(outcome: Outcome) -> None:
    for after, allowed in ((2000, True), (2650, True), (2750, False), (3500, False), (60_000, False)):
        g = made()
        sent = ask(g, START, 1)
        g.handle(START + 50, ended(1, sent.backend, outcome))
        again = ask(g, START + after, 2, retry=True)
        assert isinstance(again, Send) == allowed, after
        if not allowed:
            assert isinstance(again, Fail)


def test_a_pending_attempt_or_one_whose_client_left_counts_too() -> None:
    g = made()
    assert isinstance(ask(g, START, 1), Send)
    assert isinstance(ask(g, START + 2900, 2, retry=True), Fail)


def test_a_retry_of_a_request_refused_unsent_is_a_first_attempt() -> None:
    g = made()
    g.handle(START, fleet())  # no backend
    assert isinstance(ask(g, START + OLD, 1), Refuse)
    g.handle(START + OLD, fleet(1, 2))
    assert isinstance(ask(g, START + 2 * OLD, 2, retry=True), Send)


def test_a_retry_of_a_request_that_never_ran_is_a_first_attempt() -> None:
    g = made()
    sent = ask(g, START, 1)
    g.handle(START, fleet())  # no backend for a retry
    assert [
        a
        for a in g.handle(START + 9, ended(1, sent.backend, Outcome.CONNECT_FAILED))
        if isinstance(a, Refuse)
    ]
    g.handle(START + 9, fleet(1, 2))
    assert isinstance(ask(g, START + OLD, 2, retry=True), Send)


def test_the_window_counts_from_the_first_send_however_often_it_is_retried() -> None:
    g = made()
    for n, at in enumerate((0, 1000, 2000)):
        sent = ask(g, START + at, n + 1, retry=n > 0)
        g.handle(START + at + 20, ended(n + 1, sent.backend, Outcome.OK))
    assert isinstance(ask(g, START + 3000, 9, retry=True), Fail)


def test_a_retry_stays_in_its_dedup_group_and_is_not_refused_if_a_refusal_would_be_unsafe() -> None:
    for seed in range(8):
        g = made(CELL, seed=seed)
        sent = ask(g, START, 1)
        g.handle(START + 20, ended(1, sent.backend, Outcome.OK))
        again = ask(g, START + 500, 2, retry=True)
        assert isinstance(again, Send) and again.backend % 2 == sent.backend % 2  # same cell
        g.handle(START + 520, ended(2, again.backend, Outcome.OK))
        g.handle(START + 600, fleet(3 - sent.backend % 2))  # only the other cell is left
        assert isinstance(ask(g, START + 700, 3, retry=True), Fail)


def test_a_gateway_that_has_just_started_fails_a_marked_retry_with_an_unknown_key() -> None:
    g = made()
    assert isinstance(ask(g, START + 100, 1, retry=True), Fail)
    assert isinstance(ask(g, START + 100, 2, key=78), Send)  # not a retry
    # within its window, as PROTOCOL specifies
    assert isinstance(ask(g, START + OLD, 3, key=79, retry=True), Send)


def test_a_new_gateway_admits_retries_of_requests_that_it_refused_itself() -> None:
    """The refusal told the client that a retry is safe, whether or not the request was read."""
    g = made()
    g.handle(START, fleet())
    assert isinstance(ask(g, START, 1), Refuse)
    (unread,) = g.handle(START, RequestQueued(9, 0, 0, 1.0, 2, False, 900.0, 78))
    assert isinstance(unread, Refuse)
    # a retry: its earlier attempt is unknown
    g.handle(START, RequestQueued(9, 0, 0, 1.0, 2, True, 900.0, 79))
    g.handle(START, fleet(1, 2))
    assert isinstance(ask(g, START + 100, 2, key=77, retry=True), Send)
    assert isinstance(ask(g, START + 100, 3, key=78, retry=True), Send)
    assert isinstance(ask(g, START + 100, 4, key=79, retry=True), Fail)


def test_a_request_that_never_ran_keeps_the_record_of_another_with_its_key() -> None:
    g = made()
    first = ask(g, START, 1)
    again = ask(g, START + 10, 2, retry=True)
    g.handle(START + 30, ended(2, again.backend, Outcome.OK))
    g.handle(START + 40, fleet())
    # refused: its own attempt never ran
    g.handle(START + 50, ended(1, first.backend, Outcome.CONNECT_FAILED))
    g.handle(START + 50, fleet(1, 2))
    assert isinstance(ask(g, START + 3500, 3, retry=True), Fail)


def test_memory_is_bounded_and_the_oldest_are_dropped() -> None:
    g = made()
    for n in range(MAX_KEYS + 50):
        g.keyed.record(START, n + 1, (Group.ALL, 0))
    assert len(g.keyed.entries) == MAX_KEYS and 1 not in g.keyed.entries and MAX_KEYS + 50 in g.keyed.entries
    g.keyed.record(START + KEY_TTL_MS + 1, 1, (Group.ALL, 0))
    assert len(g.keyed.entries) == MAX_KEYS
    assert isinstance(ask(g, START + KEY_TTL_MS + 2, 2, key=MAX_KEYS, retry=True), Send)  # expired


WINDOW_MS = 600.0


class Ledger:
    """Backends that together run each payment once within the dedup window, and again after it."""

    def __init__(self, answers: bool) -> None:
        self.answers, self.runs, self.first = answers, 0, {}  # type: ignore[var-annotated]

    async def __call__(self, peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        key = request.partition(b"idempotency-key: ")[2].partition(b"\r\n")[0]
        now = time.monotonic() * 1000
        if now - self.first.get(key, -1e9) > WINDOW_MS:
            self.runs, self.first[key] = self.runs + 1, now
        if self.answers:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        else:
            writer.close()


def settings() -> dict[str, Any]:
    used = json.loads(json.dumps(SETTINGS))
    used["categories"][1]["dedup_window"] = WINDOW_MS
    return used


@pytest.mark.parametrize("answers", [True, False])
def test_backends_run_a_payment_once_however_late_its_client_retries(answers: bool) -> None:
    """Its earlier attempt was answered, or broke off after it had run."""

    async def test() -> None:
        ledger = Ledger(answers)
        async with world(ledger, ledger, settings=settings()) as w:
            status, _, _ = await w.ask(message("payment-book", 1))
            assert (status == 200) == answers
            for n, pause in enumerate((0.05, WINDOW_MS / 1000, 0.3)):
                await asyncio.sleep(pause)
                status, _, _ = await w.ask(message("payment-book", 2 + n, Client_Retry="1"))
                assert (status == 200) == (answers and n == 0)
            assert ledger.runs == 1
            if answers:  # another payment is not affected
                assert (await w.ask(message("payment-book", 9, Idempotency_Key="cd" * 16)))[0] == 200

    run(test())


def test_a_restarted_ingress_runs_no_retry_with_an_unknown_key() -> None:
    async def test() -> None:
        ledger = Ledger(True)
        async with world(silence, settings=settings()) as w:  # its ingress ends with the block
            client = await w.client()
            client.writer.write(message("payment-book", 1))
            await asyncio.sleep(0.05)
        async with world(ledger, settings=settings()) as w:
            assert (await w.ask(message("payment-book", 2, Client_Retry="1")))[0] not in (200, 429)
            assert ledger.runs == 0

    run(test())


@pytest.mark.parametrize(
    ("age_ms", "seen", "kind"),
    [(1200.0, True, Send), (1200.0, False, Fail), (2800.0, True, Fail), (0.0, True, Fail)],
)
def test_a_new_gateway_admits_a_retry_whose_time_out_shows_that_it_is_within_the_window(
    age_ms, seen, kind
) -> None:
    """In a fleet nearly every retry arrives at another gateway than its first attempt; 0: no age is known."""
    g = made()
    if seen:  # the usual time-out of first attempts here
        ask(g, START, 1, key=5)
    retry = request(2, retry=True, left=4000.0 - age_ms)
    retry.key = 77
    assert [a for a in g.handle(START + 50, retry) if isinstance(a, kind)]
