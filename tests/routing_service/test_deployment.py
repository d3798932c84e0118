"""A deployment file: its errors, its effect in service, and its reload."""

from __future__ import annotations

import asyncio
import gc
import json
import re
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import Client, Peer, Script, answer, free_address, run, silence, until
from typer.testing import CliRunner

from troutdock.cli.app import app
from troutdock.daemon import Service, serve
from troutdock.operator.compiled import Compiled, differences, read_deployment
from troutdock.operator.yaml_tree import MOST_NODES, load
from troutdock.routing_service import service as routed_service
from troutdock.routing_service.reader import customer_number
from troutdock.routing_service.run import reload_deployment
from troutdock.routing_service.service import RoutingFrontend

ROOT = Path(__file__).parent.parent.parent
GOOD = """version: 1
listen: 127.0.0.1:8080
classes:
  read: {effect: safe}
  pay: {effect: keyed, window_ms: 3000}
plans:
  basis: {rate: 1, burst: 8}
  plus: {rate: 100, burst: 1000}
pools:
  a: {servers: ["127.0.0.1:9001"]}
  b: {servers: ["127.0.0.1:9002"]}
customers: {default_plan: basis}
routes:
  - {name: one, match: {prefix: /a}, class: read, to: a}
  - {name: two, match: {prefix: /b}, class: read, to: b}
  - {name: pay, match: {prefix: /pay, methods: [POST]}, class: pay, to: a}
"""


def cli(*words: object) -> tuple[int, str]:
    done = CliRunner().invoke(app, [str(word) for word in words])
    return done.exit_code, done.output


def problems(tmp_path: Path, text: str, **environment: str) -> list[str]:
    file = tmp_path / "x.yaml"
    file.write_text(text)
    found = read_deployment(file, environment)
    assert isinstance(found, list)
    return [str(problem).removeprefix(f"{tmp_path}/") for problem in found]


CHANGES = [
    (
        "listen: 127.0.0.1:8080",
        "listn: 127.0.0.1:8080",
        ["x.yaml:1:1: listen: Field required", "x.yaml:2:1: listn: no such key; is 'listen' meant?"],
    ),
    (
        "effect: safe",
        "effect: sfae",
        ["x.yaml:4:10: classes.read.effect: not one of 'safe', 'keyed' or 'unsafe'"],
    ),
    ("burst: 8", "burst: -8", ["x.yaml:7:20: plans.basis.burst: Input should be greater than or equal to 0"]),
    (
        "{rate: 1, burst: 8}",
        "{rate: no, bursts: 8}",
        [
            "x.yaml:7:3: plans.basis.burst: Field required",
            "x.yaml:7:11: plans.basis.rate: Input should be a valid number",
            "x.yaml:7:21: plans.basis.bursts: no such key; is 'burst' meant?",
        ],
    ),
    (
        "class: read, to: b",
        "class: reed, to: c",
        [
            "x.yaml:15:38: routes[1].class: 'reed' is no class; is 'read' meant?",
            "x.yaml:15:51: routes[1].to: 'c' is no pool; there are a, b",
        ],
    ),
    ("name: two", "name: one", ["x.yaml:15:6: routes[1].name: 'one' is there already, at x.yaml:14:6"]),
    (
        "prefix: /b",
        "prefix: /a",
        ["x.yaml:15:17: routes[1].match: no request can take it: 'one' takes all of its own"],
    ),
    (
        "prefix: /b",
        "prefix: /b/../c",
        ["x.yaml:15:17: routes[1].match: '/b/../c' can never match: its plain form is '/c'"],
    ),
    ("{prefix: /b}", "{pattern: '/(b'}", ["x.yaml:15:17: routes[1].match: pattern '/(b': missing ): /(b"]),
    ("{prefix: /b}", "{hosts: [X.de]}", ["x.yaml:15:17: routes[1].match: match: no path, prefix or pattern"]),
    (
        "127.0.0.1:9002",
        "127.0.0.1:9001",
        [
            "x.yaml:11:17: pools.b.servers[0]: 127.0.0.1:9001 stands in 'a' already: a server belongs to one pool"
        ],
    ),
    ('["127.0.0.1:9002"]', "[]", ["x.yaml:11:7: pools.b.servers: a pool without servers"]),
    (
        "default_plan: basis",
        "default_plan: bassis",
        ["x.yaml:12:13: customers.default_plan: 'bassis' is no plan; is 'basis' meant?"],
    ),
    ("127.0.0.1:9001", "nowhere", ["x.yaml:10:7: pools.a.servers: 'nowhere' is not an address"]),
    (
        "class: pay, to: a",
        "class: pay, to: a, mirror: [{pool: b, percent: 5}]",
        ["x.yaml:16:76: routes[2].mirror: only safe requests are copied, and pay is not"],
    ),
    (
        "listen: 127.0.0.1:8080",
        "listen: 127.0.0.1:8080\nmanagement: 127.0.0.1:8080",
        ["x.yaml:3:1: management: the clients' address is the same"],
    ),
    (
        "version: 1",
        "version: 1\nversion: 1",
        ['x.yaml:2:1: found duplicate key "version" with value "1" (original value: "1")'],
    ),
    ("  read:", "\tread:", ["x.yaml:4:1: found character '\\t' that cannot start any token"]),
    ("version: 1", "version: ${VERSION}", ["x.yaml:1:1: version: the environment has no VERSION"]),
    (GOOD, "- 1\n", ["x.yaml:1:1: no keys in it"]),
    (GOOD, "", None),
    (GOOD, "a: &a [1]\nb: " + "[*a, " * 4 + "1" + "]" * 4, None),
]


@pytest.mark.parametrize(("old", "new", "said"), CHANGES, ids=[str(n) for n in range(len(CHANGES))])
def test_each_error_has_its_place_and_what_was_expected(
    tmp_path: Path, old: str, new: str, said: list[str] | None
) -> None:
    assert old in GOOD
    found = problems(tmp_path, GOOD.replace(old, new, 1))
    if said is None:
        assert found and all(line.startswith("x.yaml:") for line in found)
    else:
        assert [line.replace(f"{tmp_path}/", "") for line in found] == said


def test_all_errors_come_at_once(tmp_path: Path) -> None:
    found = problems(
        tmp_path,
        GOOD.replace("effect: safe", "effect: x")
        .replace("burst: 8", "burst: x")
        .replace("name: two", "name: 't o'"),
    )
    assert [line.split(": ")[1] for line in found] == [
        "classes.read.effect",
        "plans.basis.burst",
        "routes[1].name",
    ]


def test_includes_are_joined_circles_and_contradictions_named_and_variables_put_in(tmp_path: Path) -> None:
    (tmp_path / "pools.yaml").write_text(
        "pools:\n  c: {servers: ['${HOST:-127.0.0.1}:${PORT}']}\nroutes:\n  - {name: c, match: {prefix: /c}, class: read, to: c}\n"
    )
    file = tmp_path / "x.yaml"
    file.write_text("include: [pools.yaml]\n" + GOOD.replace("burst: 8", "burst: '${BURST}'"))
    found = read_deployment(file, {"PORT": "7", "BURST": "9"})
    assert isinstance(found, Compiled)
    assert [p.servers for p in found.terms.pools if p.name == "c"] == [("127.0.0.1:7",)] and found.file.plans[
        "basis"
    ].burst == 9
    assert [r.id for r in found.terms.table.routes.values() if r.order == 0] == ["c"]
    (tmp_path / "pools.yaml").write_text(
        "include: [x.yaml]\nlisten: 127.0.0.1:1\npools: {c: {servers: [x]}}\n"
    )
    said = problems(tmp_path, "include: [pools.yaml, none.yaml]\n" + GOOD)
    assert len(said) == 3 and "it includes itself" in "".join(said) and "No such file" in "".join(said)
    assert any("listen: it is there already, at" in line and "pools.yaml:2:1" in line for line in said)


def test_anchors_that_blow_up_are_bounded(tmp_path: Path) -> None:
    text = "a: &a [x, x, x, x, x, x, x, x, x, x]\n" + "".join(
        f"{n}: &{n} [{', '.join(['*' + p] * 10)}]\n" for p, n in zip("abcdef", "bcdefg", strict=True)
    )
    file = tmp_path / "x.yaml"
    file.write_text(text)
    assert any(f"more than {MOST_NODES}" in p.said for p in load(file, {}).problems)


@given(st.text(max_size=60))
def test_no_file_does_anything_but_be_refused(tmp_path_factory: pytest.TempPathFactory, text: str) -> None:
    file = tmp_path_factory.mktemp("x") / "x.yaml"
    file.write_text(text, encoding="utf-8", errors="surrogatepass")
    found = read_deployment(file, {})
    assert isinstance(found, list) and found


# ---- commands


def test_commands_on_files(tmp_path: Path) -> None:
    example = ROOT / "deploy" / "examples" / "two-services.yaml"
    assert cli("check", example) == (0, f"{example}: good: 4 routes, 3 pools, 4 servers\n")
    assert json.loads(cli("check", example, "--json")[1])["problems"] == []
    code, out = cli("explain", example, "GET", "https://x.de/ledger/7", "-H", "X-Account: eva")
    assert (
        (code, out.splitlines()[0].split()[:2]) == (0, ["no", "payments"])
        and "class read, to ledger" in out
        and "header x-preview present" in out
    )
    code, out = cli("explain", example, "POST", "http://a.filing.example.de/2026/Q4", "--json")
    assert (code, json.loads(out)["route"], json.loads(out)["pool"]) == (0, "filing", "filing")
    assert cli("explain", example, "GET", "http://x.de/other")[0] == 1
    for words, said in (
        (("GET", "http://x.de/a%2fb"), "encoded slash"),
        (("GET", "http://x.de/", "-H", "X"), "no 'Name: value'"),
    ):
        code, out = cli("explain", example, *words)
        assert code == 2 and said in out
    schema = json.loads(cli("schema")[1])
    assert {"pools", "routes", "include"} <= set(schema["properties"]) and schema["$schema"]
    old, new = tmp_path / "old.yaml", tmp_path / "new.yaml"
    old.write_text(GOOD)
    new.write_text(
        GOOD.replace("prefix: /b", "prefix: /bb")
        .replace("127.0.0.1:9002", "127.0.0.1:9003")
        .replace("burst: 8", "burst: 9")
        .replace("name: pay", "name: paid")
    )
    code, out = cli("diff", old, new)
    assert (code, out.splitlines()) == (
        1,
        [
            "route two: other paths",
            "route paid: new",
            "route pay: gone",
            "pool b: + 127.0.0.1:9003",
            "pool b: - 127.0.0.1:9002, drains",
            "plans: changed, with a restart only",
        ],
    )
    assert cli("diff", old, old) == (0, "nothing would change\n")
    new.write_text("version: 2\n")
    code, out = cli("check", new, "--json")
    assert code == 2 and {p["key"] for p in json.loads(out)["problems"]} >= {"version", "pools"}
    assert cli("serve", new)[0] == 2


def test_the_demo_runs_and_ends_by_itself() -> None:
    code, out = cli("demo", "--json", "--seconds", 2)
    found = json.loads(out)
    told = found["customers"]
    assert code == 0 and found["servers"]["server 1"]["killed"] and found["attempts"] > 50
    assert told["greedy"]["refused"] > 0 and told["calm"]["served"] + told["pays"]["served"] > 30
    assert all(c["served"] + c["refused"] + c["failed"] > 0 for c in told.values())


# ---- in service


class World:
    service: Service
    routed: RoutingFrontend
    pools: dict[str, list[Peer]]

    async def ask(self, path: str, method: str = "GET", **headers: str) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(*self.service.address)
        told = {
            "Host": "x.de",
            "Account": "eva",
            "Plan": "plus",
            "Content-Length": "0",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in told.items() if v), "", ""]
        status, _, body = await Client(reader, writer).ask("\r\n".join(lines).encode())
        writer.close()
        return status, body

    def sent(self, pool: str) -> int:
        return sum(len(peer.requests) for peer in self.pools[pool])


@asynccontextmanager
async def deployed(tmp_path: Path, text: str, **pools: list[Script]) -> AsyncIterator[World]:
    """Starts servers by pool and the deployment; {a} in the text stands for the server list of pool a."""
    w = World()
    w.pools = {name: [Peer(script) for script in scripts] for name, scripts in pools.items()}
    for peers in w.pools.values():
        for peer in peers:
            await peer.start()
    file = tmp_path / "x.yaml"

    def write(new: str) -> Compiled:
        for name, peers in w.pools.items():
            new = new.replace("{" + name + "}", json.dumps([p.address for p in peers]))
        file.write_text(new.replace("127.0.0.1:8080", "127.0.0.1:0"))
        found = read_deployment(file)
        assert isinstance(found, Compiled), [str(p) for p in found]
        return found

    w.write = write  # type: ignore[attr-defined]
    found = write(text)
    w.routed = RoutingFrontend(found.terms, found.config.sockets)
    stop, serving = asyncio.Event(), asyncio.get_running_loop().create_future()
    task = asyncio.create_task(serve(found.config, stop, serving.set_result, components=[w.routed]))
    await asyncio.wait({task, serving}, return_when=asyncio.FIRST_COMPLETED)
    w.service = await serving
    try:
        yield w
    finally:
        stop.set()
        await task
        for peers in w.pools.values():
            for peer in peers:
                peer.stop()


POOLS = GOOD.replace('["127.0.0.1:9001"]', "{a}").replace('["127.0.0.1:9002"]', "{b}")


def test_requests_go_to_their_pool_and_one_quota_holds_over_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with deployed(tmp_path, POOLS, a=[answer(b"a")], b=[answer(b"b"), answer(b"b")]) as w:
            assert [
                (await w.ask(p))[1]
                for p in ("/a", "/a/x?y=1", "/b/x", "//b///x", "/a/../b/x", "http://x.de/b")
            ] == [b"a", b"a", b"b", b"b", b"b", b"b"]
            assert b"GET /a/x?y=1 HTTP/1.1" in w.pools["a"][0].requests[1]
            assert all(
                b"GET /b" in r.split(b"\r\n")[0] for peer in w.pools["b"] for r in peer.requests
            )  # as they were matched
            assert [
                (await w.ask(p, **h))[0]
                for p, h in (
                    ("/c", {}),
                    ("/a%2fb", {}),
                    ("/../a", {}),
                    ("/a", {"Host": "x y"}),
                    ("/a", {"Account": ""}),
                    ("/a", {"Plan": "gold"}),
                    ("/a", {"Units": "many"}),
                    ("/a", {"Request_Timeout": "soon"}),
                )
            ] == [404, 400, 400, 400, 400, 400, 400, 400]
            assert (
                (await w.ask("/a", "HEAD"))[0] == 405
                and (await w.ask("/pay", "POST"))[0] == 400
                and (await w.ask("/a", "POST"))[0] == 400
            )
            assert (await w.ask("/pay", "POST", Idempotency_Key="k"))[0] == 200
            statuses = [
                (await w.ask(("/a", "/b")[n % 2], Account="tom", Plan="basis", Units="2"))[0]
                for n in range(8)
            ]
            assert statuses.count(200) in (3, 4) and set(statuses) == {200, 429}  # 8 units, whichever pool

    run(test())


def test_a_pool_that_stands_still_neither_delays_nor_refuses_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with deployed(tmp_path, POOLS, a=[silence], b=[answer(b"b")]) as w:
            stuck = [
                asyncio.create_task(w.ask("/a", Account=f"s{n}", Request_Timeout="2.0")) for n in range(30)
            ]
            await until(lambda: w.sent("a") > 0)
            for n in range(40):
                began = loop.time()
                assert await w.ask("/b", Account=f"c{n}") == (200, b"b") and loop.time() - began < 0.5
            assert not w.sent("b") < 40
            assert {status for status, _ in await asyncio.gather(*stuck)} <= {429, 502}

    run(test())


def test_a_reload_loses_nothing_and_a_bad_file_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def slow(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.3)
        await answer(b"old")(peer, data, writer)

    async def test() -> None:
        async with deployed(tmp_path, POOLS, a=[slow], b=[answer(b"b")]) as w:
            under_way = asyncio.create_task(w.ask("/a"))
            await until(lambda: w.sent("a") == 1)
            health = w.service.engine._gateway.backends
            moved = w.write(
                POOLS.replace("prefix: /a}, class: read, to: a", "prefix: /z}, class: read, to: b")
                .replace("class: pay, to: a", "class: pay, to: b")
                .replace("  a: {servers: {a}}\n", "")
            )  # type: ignore[attr-defined]
            kept = dict(health)
            await reload_deployment(w.routed, lambda: moved)
            assert (await w.ask("/z"))[1] == b"b" and (await w.ask("/a"))[0] == 404
            assert await under_way == (200, b"old")  # it ended under the old table
            assert all(
                health.get(id) is b for id, b in kept.items() if id in health
            )  # b's server is the same one
            before = w.routed.reader.view  # type: ignore[union-attr]
            (tmp_path / "x.yaml").write_text("version: 9\n")
            await reload_deployment(w.routed, lambda: [str(p) for p in read_deployment(tmp_path / "x.yaml")])  # type: ignore[union-attr]
            both = [moved, w.write(POOLS)]  # type: ignore[attr-defined]
            switch = sys.getswitchinterval()
            await asyncio.gather(
                *(reload_deployment(w.routed, lambda one=one: (time.sleep(0.05), one)[1]) for one in both)
            )  # type: ignore[misc]
            assert (sys.getswitchinterval(), gc.isenabled()) == (switch, True) and (await w.ask("/a"))[
                0
            ] == 200
            await reload_deployment(w.routed, lambda: moved)
            assert w.routed.reader.view.table is before.table and "keeping the old deployment" in caplog.text  # type: ignore[union-attr]

    run(test())


def test_splits_stick_rewrites_hold_and_mirrors_count_for_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(routed_service, "MIRROR_TIMEOUT_S", 0.2)
    text = POOLS.replace(
        "- {name: one, match: {prefix: /a}, class: read, to: a}",
        """- name: one
    match: {prefix: /a}
    class: read
    to: [{pool: a, weight: 50}, {pool: b, weight: 50}]
    rewrite: {prefix: /v1, set: {X-From: t}, remove: [X-Old]}
    mirror: [{pool: m, percent: 100}]""",
    ).replace("  b: {servers: {b}}", "  b: {servers: {b}}\n  m: {servers: {m}}")

    async def test() -> None:
        async with deployed(tmp_path, text, a=[answer(b"a")], b=[answer(b"b")], m=[silence]) as w:
            told = {
                n: {(await w.ask("/a/x", Account=f"c{n}", X_Old="1"))[1] for _ in range(3)} for n in range(20)
            }
            assert all(len(bodies) == 1 for bodies in told.values()) and {
                b for bodies in told.values() for b in bodies
            } == {b"a", b"b"}
            head = w.pools["a"][0].requests[0].lower()
            assert head.startswith(b"get /v1/x http/1.1") and b"x-from: t" in head and b"x-old" not in head
            await until(lambda: w.sent("m") >= 16)
            assert (w.service.engine.tally.taken, w.service.engine.tally.served) == (60, 60)
            await until(lambda: w.routed._pools["m"].mirrors_in_flight == 0)

    run(test())


def test_an_ingress_started_by_the_command_reloads_on_sighup_and_drains(tmp_path: Path) -> None:
    async def test() -> None:
        peer = Peer(answer(b"x"))
        await peer.start()
        address = free_address()
        file, log = tmp_path / "x.yaml", tmp_path / "log"
        text = GOOD.replace("127.0.0.1:8080", "{}:{}".format(*address)).replace(
            "127.0.0.1:9001", peer.address
        )
        file.write_text(text)
        with log.open("w") as out:
            child = subprocess.Popen(
                [sys.executable, "-c", "from troutdock.cli import main; main()", "serve", str(file)],
                cwd=ROOT,
                stderr=out,
            )
        try:
            w = World()
            w.service = type("At", (), {"address": address})()  # type: ignore[assignment]

            async def ask(path: str) -> int:
                try:
                    return (await w.ask(path))[0]
                except OSError:
                    return 0

            await until_true(lambda: ask("/a"), 200)
            file.write_text(text.replace("prefix: /a", "prefix: /n"))
            child.send_signal(signal.SIGHUP)
            await until_true(lambda: ask("/n"), 200)
            assert await ask("/a") == 404 and "route one: other paths" in log.read_text()
            file.write_text("nonsense: 1\n")
            child.send_signal(signal.SIGHUP)
            while "keeping the old deployment" not in log.read_text():
                await asyncio.sleep(0.02)
            assert await ask("/n") == 200
            child.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(child.wait, 20) == 0
        finally:
            if child.poll() is None:
                child.kill()
                child.wait(20)
            peer.stop()

    run(test())


async def until_true(ask: Any, wanted: int) -> None:
    while await ask() != wanted:
        await asyncio.sleep(0.02)


def test_every_key_of_the_model_is_in_the_operators_page() -> None:
    page = (ROOT / "docs" / "configuration.md").read_text()

    def keys(part: Any) -> list[str]:
        inner = (
            [keys(v) for v in part.values()]
            if isinstance(part, dict)
            else [keys(v) for v in part]
            if isinstance(part, list)
            else []
        )
        return [
            *(part.get("properties", {}) if isinstance(part, dict) else ()),
            *(k for found in inner for k in found),
        ]

    missing = [
        key
        for key in dict.fromkeys(keys(json.loads(cli("schema")[1])))
        if not re.search(rf"[`.]{key}\b", page)
    ]
    assert missing == []


def test_accounts_are_numbers_of_33_bits() -> None:
    assert customer_number(b"0000000000000009") == 9 and 0 <= customer_number(b"eva") < 1 << 33
    assert customer_number(b"f" * 16) < 1 << 33 and customer_number(b"eva") != customer_number(b"tom")
    assert differences.__doc__
