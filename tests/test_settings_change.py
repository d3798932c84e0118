"""Changes of settings in a running gateway: in the admission module, and by SIGHUP over loopback."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from build import KEYED_ALL, START, ended, gateway, request, settings
from hypothesis import given
from hypothesis import strategies as st
from loopback import Peer, answer, run, silence, until, world
from loopback import request as message

from troutdock.admission import Gateway
from troutdock.admission.interface import (
    MAX_RETIRED_CLASSES,
    Effect,
    Fail,
    Group,
    Outcome,
    Plan,
    Refuse,
    RequestClass,
    Send,
    Settings,
    SettingsChanged,
    TimerFired,
    merge_settings,
    previous_indexes,
)
from troutdock.platform.config import ConfigError, require_keys_of, key_paths, read_config

READ = RequestClass(1500, 4000, 2, Effect.SAFE, name="read")
BOOK = RequestClass(1000, 4000, 5, Effect.KEYED, Group.ALL, 3000, name="book")
FILE = RequestClass(750, 1500, 5, Effect.UNSAFE, name="file")
NEW = RequestClass(500, 1000, 9, Effect.SAFE, name="new")


def change(g: Gateway, now: float, **changes: Any) -> Settings:
    merged = merge_settings(g.settings, settings(**changes))
    g.handle(now, SettingsChanged(merged))
    return merged


# ---- numbering of request classes


def test_removed_classes_follow_the_current_ones_and_at_most_retired_most_are_kept() -> None:
    merged = merge_settings(settings(classes=(READ, BOOK)), settings(classes=(NEW, BOOK)))
    assert merged.classes == (NEW, BOOK, READ) and merged.live_classes == 2
    for n in range(3 * MAX_RETIRED_CLASSES):
        merged = merge_settings(merged, settings(classes=(replace(NEW, name=f"c{n}"),)))
    assert (
        len(merged.classes) == 1 + MAX_RETIRED_CLASSES
        and merged.classes[1].name == f"c{3 * MAX_RETIRED_CLASSES - 2}"
    )


def test_a_class_with_another_effect_is_new_and_one_with_other_limits_is_not() -> None:
    unsafe, slower = replace(READ, effect=Effect.UNSAFE), replace(BOOK, deadline_ms=9000)
    merged = merge_settings(settings(classes=(READ, BOOK)), settings(classes=(unsafe, slower)))
    assert merged.classes == (unsafe, slower, READ)
    assert previous_indexes((READ, BOOK), merged.classes) == [0, 1, 0]  # the cost estimate follows the name
    assert previous_indexes(merged.classes, (READ, BOOK)) == [2, 1]


@given(
    st.lists(
        st.lists(
            st.sampled_from([READ, BOOK, FILE, NEW, replace(READ, effect=Effect.UNSAFE)]),
            min_size=1,
            max_size=4,
            unique=True,
        ),
        min_size=1,
        max_size=6,
    )
)
def test_open_requests_keep_their_class_over_any_change(turns: list[list[RequestClass]]) -> None:
    g = gateway(classes=(READ, BOOK, FILE))
    number = 0
    for turn, classes in enumerate(turns):
        now = START + 1000 * (turn + 1)
        for cls in range(g.settings.live_classes or 3):
            number += 1
            g.handle(now, request(number, cls, left=60_000.0))
        change(g, now + 1, classes=tuple(classes))
        for call in g.calls.values():
            current = g.settings.classes[call.event.cls]
            assert (current.name, current.effect) == (call.cls.name, call.cls.effect)
        for backend in g.backends.values():
            assert len(backend.slowness) == len(g.settings.classes)
            for (call_number, _), sent in backend.out.items():
                assert sent[3] == g.calls[call_number].event.cls
        for open_number in list(g.calls)[:3]:  # a response finds its class
            for backend in g.backends.values():
                if (open_number, 0) in backend.out:
                    g.handle(now + 100, ended(open_number, backend.entry.backend))
                    break


# ---- open requests


def test_an_open_request_keeps_the_old_effect_and_a_new_request_gets_the_new_one() -> None:
    for effect_before, effect_after in ((Effect.SAFE, Effect.UNSAFE), (Effect.UNSAFE, Effect.SAFE)):
        g = gateway(classes=(replace(READ, effect=effect_before),))
        before = g.handle(START, request(1))[0]
        change(g, START, classes=(replace(READ, effect=effect_after),))
        after = g.handle(START, request(2))[0]
        assert isinstance(before, Send) and isinstance(after, Send)
        for number, sent, effect in ((1, before, effect_before), (2, after, effect_after)):
            (then, *_) = g.handle(START + 50, ended(number, sent.backend, Outcome.RESET))
            assert isinstance(then, Send if effect is Effect.SAFE else Fail), (number, effect)


def test_a_lower_attempt_limit_applies_to_new_requests_only() -> None:
    g = gateway(max_attempts=3)
    sent = g.handle(START, request(1))[0]
    change(g, START, max_attempts=1)
    assert isinstance(sent, Send)
    assert isinstance(g.handle(START + 10, ended(1, sent.backend, Outcome.CONNECT_FAILED))[0], Send)
    sent = g.handle(START, request(2))[0]
    assert isinstance(sent, Send)
    assert isinstance(g.handle(START + 10, ended(2, sent.backend, Outcome.CONNECT_FAILED))[0], Refuse)


def test_a_timer_set_before_a_change_finds_its_attempt() -> None:
    g = gateway(second_copies=True, max_attempts=3)
    sent, timer = g.handle(START, request(1))[:2]
    change(g, START, max_attempts=2, second_copies=True)
    (again, *_) = g.handle(START + timer.after_ms, TimerFired(timer.label))
    assert isinstance(again, Send) and again.request == 1 and again.backend != sent.backend


def test_a_smaller_plan_reduces_the_saved_tokens_of_its_customer() -> None:
    g = gateway(plans=(Plan(1, 50, name="basis"),))
    assert isinstance(g.handle(START, request(1, width=1))[0], Send)
    change(g, START, plans=(Plan(1, 2, name="basis"),))
    customer = g.customers[9]
    assert customer.tokens <= 2 and customer.store <= 2 and customer.plan.burst == 2


def test_a_lower_ceiling_applies_at_once() -> None:
    wide = Plan(100, 100, ceiling_rate=100, ceiling_burst=100, name="plus")
    g = gateway(plans=(wide,))
    g.handle(START + 60_000, request(1, width=1))
    change(g, START + 60_000, plans=(replace(wide, ceiling_rate=1, ceiling_burst=4),))
    sent = sum(isinstance(g.handle(START + 60_000, request(n, width=1))[0], Send) for n in range(2, 60))
    assert sent <= 4


def test_cost_estimates_are_kept_per_class_and_derived_from_the_others_for_a_new_class() -> None:
    g = gateway(classes=(READ, BOOK))
    g.pools[0].unit_ms = [15.0, 10.0]  # a hundredth of the latency target
    change(g, START, classes=(NEW, BOOK))
    assert g.pools[0].unit_ms == pytest.approx([5.0, 10.0, 15.0])
    for n in range(1, 4):
        assert g.handle(START, request(n, n - 1))


# ---- over loopback


def changed(w: Any, **changes: Any) -> dict[str, Any]:
    return w.config | {"settings": json.loads(json.dumps(w.config["settings"])) | changes}


def category(name: str, idempotency: str) -> dict[str, Any]:
    return {
        "name": name,
        "aim": 500.0,
        "hard_limit": 2000.0,
        "points": 9.0,
        "idempotency": idempotency,
        "group": "all",
        "dedup_window": 3000.0,
        "late_worth": 0.0,
        "streaming": False,
    }


def test_a_class_is_added_and_a_removed_one_is_accepted_under_its_old_rules_for_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("troutdock.daemon.RETIRED_CLASS_GRACE_S", 0.2)

    async def test() -> None:
        async with world(answer()) as w:
            assert (await w.ask(message("audit", method="GET", body="", Content_Length=None)))[0] == 404
            _read, book, file = w.config["settings"]["categories"]
            file = file | {"idempotency": "token"}  # vat-filing may be retried from now on
            new = changed(w, categories=[category("audit", "pure"), book, file])
            w.service.reload(read_config(json.dumps(new)))
            assert (await w.ask(message("audit", method="GET", body="", Content_Length=None)))[0] == 200
            assert (await w.ask(message("ledger-read", 2)))[0] == 200  # removed, but still accepted
            assert (await w.ask(message("vat-filing", 3)))[0] == 200  # under its old rules
            assert (await w.ask(message("vat-filing", 4, Idempotency_Key="ab" * 16)))[0] == 200
            await asyncio.sleep(0.25)
            assert (await w.ask(message("ledger-read", 5)))[0] == 404
            assert (await w.ask(message("vat-filing", 6)))[0] == 400
            assert (await w.ask(message("vat-filing", 7, Idempotency_Key="cd" * 16)))[0] == 200

    run(test())


def test_an_open_unsafe_request_is_not_retried_when_its_class_becomes_safe() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def disconnect(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.transport.abort()

        async with world(disconnect, disconnect) as w:
            client = await w.client()
            client.writer.write(message("vat-filing"))
            await until(lambda: sum(len(b.requests) for b in w.backends) == 1)
            read, book, file = w.config["settings"]["categories"]
            new = changed(w, categories=[read, book, file | {"idempotency": "token"}])
            w.service.reload(read_config(json.dumps(new)))
            release.set()
            assert (await client.answer())[0] == 502
            assert sum(len(b.requests) for b in w.backends) == 1

    run(test())


def invalid_files(config: dict[str, Any]) -> list[tuple[str, str]]:
    text = json.dumps(config)
    cases = [("", "Expecting value"), (text[: len(text) // 2], "line 1"), (text[:-1], "line 1")]
    for path in (
        "settings.permissions.most_tries",
        "settings.categories",
        "settings.plans",
        "discovery",
        "listen",
        "settings.safety.cold",
        "settings.clients.marks_retry",
        "limits",
        "settings.permissions.retry_after",
    ):
        incomplete = json.loads(text)
        *parents, last = path.split(".")
        inner = incomplete
        for parent in parents:
            inner = inner[parent]
        del inner[last]
        cases.append((json.dumps(incomplete), last))
    for path, value in (("most_tries", 0), ("most_tries", -1)):
        invalid = json.loads(text)
        invalid["settings"]["permissions"][path] = value
        cases.append((json.dumps(invalid), "max_attempts"))
    for value in (0, -5.0):
        invalid = json.loads(text)
        invalid["settings"]["categories"][1]["hard_limit"] = value
        cases.append((json.dumps(invalid), "deadline_ms"))
    incomplete = json.loads(text)
    del incomplete["settings"]["categories"][0]["points"]
    cases.append((json.dumps(incomplete), "points"))
    return cases


def test_an_incomplete_file_changes_nothing_and_the_error_names_the_missing_key() -> None:
    async def test() -> None:
        async with world(silence) as w:
            before = w.engine._gateway.settings
            for text, expected in invalid_files(w.config):
                with pytest.raises(ConfigError, match=expected):
                    w.service.reload(read_config(text))
                assert w.engine._gateway.settings is before

    run(test())


def test_keys_of_a_list_are_those_common_to_all_its_objects() -> None:
    assert set(key_paths({"a": [{"x": 1, "y": {"z": 2}}, {"x": 3}], "b": [1, 2], "c": []})) == {
        "a",
        "a[].x",
        "b",
        "c",
    }


def test_a_complete_file_may_have_more_keys_than_the_running_one() -> None:
    async def test() -> None:
        async with world(silence) as w:
            running = read_config(json.dumps(w.config))
            extended = changed(w, news={"x": 1})
            assert require_keys_of(read_config(json.dumps(extended)), running).settings == running.settings

    run(test())


def test_requests_with_an_idempotency_key_keep_their_window_over_a_change() -> None:
    g = gateway(classes=(KEYED_ALL,))
    sent = g.handle(START, request(1))[0]
    change(g, START + 100, classes=(replace(KEYED_ALL, window_ms=60_000),))
    assert isinstance(sent, Send)
    assert isinstance(g.handle(START + 3500, ended(1, sent.backend, Outcome.RESET, took=3500))[0], Refuse)
