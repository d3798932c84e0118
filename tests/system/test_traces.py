"""Recorded traces of the real programs, played against the state machines again."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from troutdock.cli.app import app
from troutdock.config_store.replica import EVENTS, again
from troutdock.config_store.replica_state import InForce, Log, Save, Send
from troutdock.rpc.event_trace import read_trace
from troutdock.rpc.messages import Status

TRACES = Path(__file__).parent / "traces"


def replay(path: Path) -> tuple[int, str]:
    done = CliRunner().invoke(app, ["system", "replay", str(path)])
    return done.exit_code, done.output


@pytest.mark.parametrize(
    ("name", "seen"),
    [
        # a primary that is lost after r5; its backup leads under a new epoch, and the call of r9 is answered there;
        # the first machine comes back without its disk and promises nothing until the others have told
        (
            "store-first-primary",
            ["Founded", "To be borne: 1", "Primary under epoch 2", "In force: r5.", ": kept."],
        ),
        (
            "store-backup-takes-over",
            [
                "Founded",
                "To be borne: 1",
                "Primary under epoch 3",
                "In force: r5.",
                "In force: r9.",
                ": kept.",
                "has promised a higher epoch",
                "Primary under epoch 68",
                "In force: r12.",
                ": kept.",
            ],
        ),
        ("store-wiped", ["No disk of before", "To be borne: 1", "The others have told: epoch 67"]),
    ],
)
def test_a_recorded_loss_plays_out_as_it_did(name: str, seen: list[str]) -> None:
    code, text = replay(TRACES / f"{name}.jsonl")
    lines = text.splitlines()[:-1]
    assert (
        code == 0 and len(lines) == len(seen) and all(s in line for s, line in zip(seen, lines, strict=True))
    ), text


@pytest.mark.parametrize("name", ["store-first-primary", "store-backup-takes-over", "store-wiped"])
def test_nothing_is_said_before_it_is_kept(name: str) -> None:
    made, events = read_trace(TRACES / f"{name}.jsonl")
    replica, kept = again(made), None
    for method, args in events:
        assert method in EVENTS
        for action in getattr(replica, method)(*args) or ():
            if isinstance(action, Save):
                assert kept is None or action.kept.promised >= kept.promised
                kept = action.kept
            elif isinstance(action, Send) and isinstance(action.message, Status) and kept is not None:
                assert action.message.promised <= kept.promised
            elif isinstance(action, InForce):
                assert kept is not None and kept.version >= action.version
            else:
                assert isinstance(action, Send | Log)


@pytest.mark.parametrize(
    ("change", "place"),
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
def test_what_is_no_trace_names_the_place(tmp_path: Path, change, place: str) -> None:  # type: ignore[no-untyped-def]
    path = tmp_path / "trace"
    path.write_bytes(b"\n".join(change((TRACES / "store-wiped.jsonl").read_bytes().splitlines())))
    code, text = replay(path)
    assert code == 2 and place in text and text.count("\n") == 1


def test_a_trace_that_ends_in_the_middle_of_a_line_is_played_so_far(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    whole = (TRACES / "store-wiped.jsonl").read_bytes()
    path.write_bytes(whole[:-12])
    code, text = replay(path)
    events = len(whole.splitlines()) - 2
    assert (
        code == 0
        and text.endswith(f"{events} events\n")
        and json.loads(whole.splitlines()[0])["machine"] == "rootstock"
    )
