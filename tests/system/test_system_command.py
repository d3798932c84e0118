"""troutdock system: against a running registry, and a store's folder at rest."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from typer.testing import CliRunner
from whole import CONFIGURATION, Backend, Whole, good, until

from troutdock.config_store.storage import FILE
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
            assert (
                code == 0
                and "in force   r5" in text
                and "s: 1 available" in text
                and "none is known" not in text
            )
            newer = tmp_path / "newer.json"
            newer.write_text(json.dumps({**CONFIGURATION, "revision": "r6"}))
            code, text = await asyncio.to_thread(run, "put", str(newer), "--at", "127.0.0.1:1", "--at", at)
            assert (code, text) == (0, "r6 is kept\n")
            assert await w.put() == 200  # an older one comes again
            code, text = await asyncio.to_thread(run, "members", "--at", at, "--json")
            assert {m["ip"] for m in json.loads(text)} == set(w.edge)
        finally:
            await w.close()

    asyncio.run(asyncio.wait_for(story(), 50))
    (folder,) = [
        f
        for f in tmp_path.iterdir()
        if (f / FILE).exists()
        and "primary" in run("history", "--data", str(f))[1]
        and "r5" in run("history", "--data", str(f))[1]
    ][:1]
    code, text = run("history", "--data", str(folder), "--json")
    assert code == 0 and json.loads(text)["newest"] == 6
    code, text = run("export", "--data", str(folder), "--version", "5")
    assert code == 0 and json.loads(text) == CONFIGURATION


@pytest.mark.parametrize(
    "words",
    [
        ("status", "--at", "127.0.0.1:1"),
        ("status", "--at", "nowhere"),
        ("history", "--data", "/nowhere"),
        ("export", "--data", "/nowhere"),
    ],
)
def test_what_can_not_be_reached_or_read_is_one_line_and_exit_2(words: tuple[str, ...]) -> None:
    code, text = run(*words)
    assert code == 2 and text.count("\n") == 1


CASES = [
    ("a.example/read/x?y=1", "key", 0, "tenant      t"),
    ("A.example:80/open/", "", 0, "route       open"),
    ("a.example/read/", "other", 1, "the key is nobody's"),
    ("b.example/read/", "key", 1, "no route"),
]


@pytest.mark.parametrize(("url", "key", "code", "says"), CASES)
def test_explain_tells_what_a_request_takes(tmp_path: Path, url: str, key: str, code: int, says: str) -> None:
    file = tmp_path / "c.json"
    file.write_text(json.dumps(CONFIGURATION))
    found, text = run("explain", str(file), url, "--key", key)
    assert found == code and says in text
    assert (
        json.loads(run("explain", str(file), url, "--key", key, "--json")[1])["status"]
        == {0: 0, 1: 401 if "key" in says else 404}[code]
    )


def test_check_and_settings(tmp_path: Path) -> None:
    file, boot = tmp_path / "c.json", tmp_path / "boot.yaml"
    file.write_text(json.dumps(CONFIGURATION))
    assert run("check", str(file)) == (0, f"{file}: r5, 3 routes, 1 services, 1 tenants\n")
    file.write_text(
        json.dumps({**CONFIGURATION, "tenants": {"columns": ["name", "apiKeys"], "rows": [["t", "k"]]}})
    )
    code, text = run("check", str(file))
    assert code == 2 and "tenants.rows[0]: apiKeys" in text
    file.write_text(json.dumps({**CONFIGURATION, "filler": "x" * (5 << 20)}))
    assert run("check", str(file))[0] == 1  # sound, and longer than a core takes
    boot.write_text("nodeName: n\nipAddress: 10.0.0.1\nzone: a\ninternalPortRange: [7000, 7003]\n")
    assert run("check", str(boot))[0] == 0
    boot.write_text("nodeName: n\nipAddress: 10.0.0.1\nzone: a\ninternalPortRange: [7000]\n")
    code, text = run("check", str(boot))
    assert code == 2 and "internalPortRange" in text
    rows = {row["name"]: row for row in json.loads(run("settings", "--json")[1])}
    assert (
        rows["nodeName"]["required"]
        and rows["heartbeatS"]["default"] == 1.5
        and all(row["about"] for row in rows.values())
    )
    assert "must be set" in run("settings")[1]
