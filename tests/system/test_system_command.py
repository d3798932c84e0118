"""troutdock system: against a running registry, and a store's folder at rest."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from typer.testing import CliRunner
from whole import CONFIGURATION, Backend, Whole, good, until

from rootstock.disk import FILE
from troutdock.cli.app import app


def run(*words: str) -> tuple[int, str]:
    done = CliRunner().invoke(app, ["system", *words])
    return done.exit_code, done.output


def test_status_and_members_of_a_running_system_and_its_store_at_rest(tmp_path: Path) -> None:
    async def story() -> None:
        w = Whole(tmp_path)
        try:
            await w.start()
            assert await w.put() == 200
            backend = Backend("i-1", good)
            await backend.start()
            await w.beat(backend)
            await w.ready()
            at = "{}:{}".format(*w.control(w.core[0]))
            registry = w.registries[w.core[0]].registry
            await until(lambda: len(registry.status()["members"]) == 2)  # type: ignore[arg-type]
            code, text = await asyncio.to_thread(run, "status", "--at", at)
            assert code == 0 and "in force   r5" in text and "s: 1 available" in text and "none is known" not in text
            code, text = await asyncio.to_thread(run, "members", "--at", at, "--json")
            assert {m["ip"] for m in json.loads(text)} == set(w.edge)
        finally:
            await w.close()

    asyncio.run(asyncio.wait_for(story(), 50))
    (folder,) = [f for f in tmp_path.iterdir() if (f / FILE).exists() and "primary" in run("history", "--data", str(f))[1]
                 and "r5" in run("history", "--data", str(f))[1]][:1]
    code, text = run("history", "--data", str(folder), "--json")
    assert code == 0 and json.loads(text)["newest"] == 5
    code, text = run("export", "--data", str(folder))
    assert code == 0 and json.loads(text) == CONFIGURATION


@pytest.mark.parametrize("words", [("status", "--at", "127.0.0.1:1"), ("status", "--at", "nowhere"), ("history", "--data", "/nowhere"),
                                   ("export", "--data", "/nowhere")])
def test_what_can_not_be_reached_or_read_is_one_line_and_exit_2(words: tuple[str, ...]) -> None:
    code, text = run(*words)
    assert code == 2 and text.count("\n") == 1
