"""The code blocks of the integration page run unchanged."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

from asgi_host import deployment, nodes
from loopback import answer, run
from test_hosts import served

ROOT = Path(__file__).parent.parent.parent
GUARD, FORWARD, CALL = re.findall(r"```python\n(.*?)```", (ROOT / "docs" / "library.md").read_text(), re.S)


def load(code: str) -> dict[str, Any]:
    names: dict[str, Any] = {"__name__": "example"}
    exec(compile(code, "docs/library.md", "exec"), names)
    return names


def test_the_guarded_application_serves_the_burst_and_then_refuses() -> None:
    async def test() -> None:
        async with served(load(GUARD)["app"]) as w:
            client = await w.client()
            ask = b"GET /ledger-read/7 HTTP/1.1\r\nHost: x\r\nX-Customer: acme\r\n\r\n"
            told = [await client.ask(ask) for _ in range(6)]
            assert [status for status, _, _ in told] == [200] * 4 + [429] * 2
            assert b"retry-after: " in told[-1][1].lower()
            file = b"POST /vat-filing/3 HTTP/1.1\r\nHost: x\r\nX-Customer: b\r\nX-Plan: plus\r\nContent-Length: 2\r\n\r\nhi"
            assert (await client.ask(file))[::2] == (200, b'{"quarter":3}')

    run(test())


def test_the_plain_call() -> None:
    async def test() -> None:
        async with nodes(answer(b"entry 7")) as peers:
            assert await load(CALL)["read_entry"](deployment(*peers)) == b"entry 7"

    run(test())
    asyncio.run(test())


def test_the_forwarding_application_is_built_from_a_file(tmp_path: Path, monkeypatch: Any) -> None:
    import json

    from loopback import SETTINGS

    config = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(json.dumps(config))
    monkeypatch.chdir(tmp_path)
    (forward,) = [m for m in load(FORWARD)["app"].user_middleware if m.cls.__name__ == "ForwardMiddleware"]
    assert forward.kwargs["deployment"].name == "n0"
