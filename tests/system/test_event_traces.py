"""Replay of traces that were recorded from the real programs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from troutdock.cli.app import app
from troutdock.config_store.replica import EVENTS, replica_from_trace
from troutdock.config_store.replica_state import Committed, Log, Save, Send
from troutdock.rpc.event_trace import read_trace
from troutdock.rpc.messages import Status

TRACES = Path(__file__).parent / "traces"


def replay(path: Path) -> tuple[int, str]:
    result = CliRunner().invoke(app, ["system", "replay", str(path)])
    return result.exit_code, result.output


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        # the primary fails after r5; its backup becomes primary under a new epoch and answers the write of r9;
        # the first machine returns without its disk and promises nothing until the others have reported
        (
            "store-first-primary",
            ["Bootstrapped", "Tolerates losses: 1", "Primary of epoch 2", "In force: r5.", ": kept."],
        ),
        (
            "store-backup-takes-over",
            [
                "Bootstrapped",
                "Tolerates losses: 1",
                "Primary of epoch 3",
                "In force: r5.",
                "In force: r9.",
                ": kept.",
                "has promised a higher epoch",
                "Primary of epoch 68",
                "In force: r12.",
                ": kept.",
            ],
        ),
        (
            "store-wiped",
            ["No stored state", "Tolerates losses: 1", "Voters have reported their promises: epoch 67"],
        ),
    ],
)
def test_replaying_a_recorded_failure_gives_the_same_actions(name: str, expected: list[str]) -> None:
    code, text = replay(TRACES / f"{name}.jsonl")
    lines = text.splitlines()[:-1]
    assert (
        code == 0
        and len(lines) == len(expected)
        and all(s in line for s, line in zip(expected, lines, strict=True))
    ), text


@pytest.mark.parametrize("name", ["store-first-primary", "store-backup-takes-over", "store-wiped"])
def test_nothing_is_sent_before_it_is_stored(name: str) -> None:
    parameters, events = read_trace(TRACES / f"{name}.jsonl")
    replica, saved = replica_from_trace(parameters), None
    for method, args in events:
        assert method in EVENTS
        for action in getattr(replica, method)(*args) or ():
            if isinstance(action, Save):
                assert saved is None or action.durable.promised >= saved.promised
                saved = action.durable
            elif isinstance(action, Send) and isinstance(action.message, Status) and saved is not None:
                assert action.message.promised <= saved.promised
            elif isinstance(action, Committed):
                assert saved is not None and saved.version >= action.version
            else:
                assert isinstance(action, Send | Log)


@pytest.mark.parametrize(
    ("change", "location"),
    [
        (lambda lines: [], "line 1"),
        (lambda lines: [b"[]"], "line 1"),
        (lambda lines: [b'{"machine":"other"}'], "line 1"),
        (lambda lines: [*lines[:3], b'["hear",1.0,"x",{"Nobody":{}}]', *lines[3:]], "line 4"),
        (lambda lines: [*lines[:3], b'["hear",1.0,"x",{"Status":{"promised":"x"}}]', *lines[3:]], "line 4"),
        (lambda lines: [lines[0], b'["close"]'], "close"),
        (lambda lines: [lines[0], b"no", lines[1]], "line 2"),
    ],
)
def test_an_invalid_trace_is_reported_with_its_location(tmp_path: Path, change, location: str) -> None:  # type: ignore[no-untyped-def]
    path = tmp_path / "trace"
    path.write_bytes(b"\n".join(change((TRACES / "store-wiped.jsonl").read_bytes().splitlines())))
    code, text = replay(path)
    assert code == 2 and location in text and text.count("\n") == 1


def test_a_trace_with_an_incomplete_last_line_is_replayed_up_to_it(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    data = (TRACES / "store-wiped.jsonl").read_bytes()
    path.write_bytes(data[:-12])
    code, text = replay(path)
    events = len(data.splitlines()) - 2
    assert (
        code == 0
        and text.endswith(f"{events} events\n")
        and json.loads(data.splitlines()[0])["machine"] == "rootstock"
    )
