"""Tests of the command `troutdock system` with a running registry and with the directory of a stopped store."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from typer.testing import CliRunner
from local_system import CONFIGURATION, Backend, LocalSystem, success, until

from troutdock.config_store.storage import FILE
from troutdock.cli.app import app


def run(*args: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, ["system", *args])
    return result.exit_code, result.output


def test_status_and_members_of_a_running_system_and_history_of_a_stopped_store(tmp_path: Path) -> None:
    async def scenario() -> None:
        system = LocalSystem(tmp_path)
        try:
            await system.start()
            assert await system.put_configuration() == 200
            backend = Backend("i-1", success)
            await backend.start()
            await system.send_heartbeat(backend)
            await system.wait_until_ready()
            at = "{}:{}".format(*system.control_address(system.core_ips[0]))
            registry = system.registries[system.core_ips[0]].registry
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
            assert await system.put_configuration() == 200  # an older revision is repeated
            code, text = await asyncio.to_thread(run, "members", "--at", at, "--json")
            assert {m["ip"] for m in json.loads(text)} == set(system.ingress_ips)
        finally:
            await system.close()

    asyncio.run(asyncio.wait_for(scenario(), 50))
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
    "args",
    [
        ("status", "--at", "127.0.0.1:1"),
        ("status", "--at", "nowhere"),
        ("history", "--data", "/nowhere"),
        ("export", "--data", "/nowhere"),
    ],
)
def test_unreachable_or_unreadable_targets_give_one_line_and_exit_code_2(args: tuple[str, ...]) -> None:
    code, text = run(*args)
    assert code == 2 and text.count("\n") == 1


CASES = [
    ("a.example/read/x?y=1", "key", 0, "tenant      t"),
    ("A.example:80/open/", "", 0, "route       open"),
    ("a.example/read/", "other", 1, "the key is nobody's"),
    ("b.example/read/", "key", 1, "no route"),
]


@pytest.mark.parametrize(("url", "key", "code", "message"), CASES)
def test_explain_reports_route_and_tenant_of_a_request(
    tmp_path: Path, url: str, key: str, code: int, message: str
) -> None:
    file = tmp_path / "c.json"
    file.write_text(json.dumps(CONFIGURATION))
    exit_code, text = run("explain", str(file), url, "--key", key)
    assert exit_code == code and message in text
    assert (
        json.loads(run("explain", str(file), url, "--key", key, "--json")[1])["status"]
        == {0: 0, 1: 401 if "key" in message else 404}[code]
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
    assert run("check", str(file))[0] == 1  # valid, but longer than a core machine accepts
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
