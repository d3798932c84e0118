"""The route table equals its reference implementation; targets normalize uniquely; splits are sticky."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from troutdock.routing.route import (
    InvalidRoute,
    Comparison,
    WeightedPool,
    Path,
    PathKind,
    Request,
    Rewrite,
    Route,
    Condition,
    validate_route,
    exact,
    pattern,
    prefix,
)
from troutdock.routing.split import choose_pool, select_mirrors
from troutdock.routing.table import RouteTable, explain
from troutdock.routing.target import InvalidTarget, Target, normalize_target, normalize_host, normalize_path

TO = (WeightedPool("ledger"),)
PATHS = st.sampled_from(
    [
        exact("/a"),
        exact("/a/b"),
        exact("/a/"),
        prefix("/"),
        prefix("/a"),
        prefix("/a/b"),
        prefix("/b/"),
        pattern("/a/.*"),
        pattern("/[ab]"),
        pattern("/a/[0-9]+/b"),
    ]
)
HOSTS = st.sampled_from(["x.de", "api.x.de", "*.x.de", "*.api.x.de", "*.de"])
VALUES = st.sampled_from(
    [
        Condition("header", "v", Comparison.IS, "2"),
        Condition("header", "v", Comparison.PREFIX, "2"),
        Condition("header", "v", Comparison.ABSENT),
        Condition("header", "w", Comparison.PRESENT),
        Condition("query", "q", Comparison.IS, "1"),
        Condition("query", "q", Comparison.PATTERN, "[0-9]+"),
    ]
)


@st.composite
def routes(draw: st.DrawFn) -> list[Route]:
    made = []
    for n in range(draw(st.integers(0, 12))):
        values = draw(st.lists(VALUES, max_size=2, unique_by=lambda v: (v.where, v.name)))
        made.append(
            Route(
                f"r{n}",
                n,
                tuple(draw(st.lists(PATHS, min_size=1, max_size=3))),
                tuple(draw(st.lists(HOSTS, max_size=2))),
                draw(st.sampled_from([frozenset(), frozenset({"GET"}), frozenset({"GET", "POST"})])),
                tuple(values),
                TO,
            )
        )
    return made


REQUESTS = st.builds(
    Request,
    st.sampled_from(["GET", "POST", "PUT"]),
    st.sampled_from(["", "x.de", "api.x.de", "v.api.x.de", "y.de", "y.org"]),
    st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/7/b", "/b", "/b/c", "/ab", "/c"]),
    st.sampled_from(["", "q=1", "q=x&q=1", "z&q=12"]),
    st.sampled_from([{}, {"v": "2"}, {"v": "21", "w": ""}, {"w": "1"}]),
)


@examples(max_examples=400)
@given(routes(), st.lists(REQUESTS, min_size=1, max_size=5))
def test_the_compiled_table_is_what_the_plain_reading_says(
    made: list[Route], requests: list[Request]
) -> None:
    table = RouteTable.of(made)
    for request in requests:
        found, said = table.find(request), list(explain(made, request))
        taken = said[-1].route if said and not said[-1].why else None
        assert (found.route if found is not None else None) is taken
        if found is not None:
            assert found.path in found.route.paths and found.path.matches(request.path)


@given(routes(), routes(), st.integers(0, 99), REQUESTS)
def test_a_table_changed_step_by_step_is_the_one_made_at_once_and_the_old_one_stays(
    before: list[Route], after: list[Route], seed: int, request_: Request
) -> None:
    table = start = RouteTable.of(before)
    said = start.find(request_)
    for id in Random(seed).sample(sorted(start.routes), len(start.routes)):
        if all(id != r.id for r in after):
            table = table.without(id)
    for route in Random(seed).sample(after, len(after)):
        table = table.with_route(route)
    whole = RouteTable.of(after)
    assert dict(table.routes) == dict(whole.routes) and table.find(request_) == whole.find(request_)
    assert start.find(request_) == said and table.without("nobody") is table


def test_a_change_of_one_route_shares_the_rest() -> None:
    table = RouteTable.of(
        Route(f"r{n}", n, (exact(f"/{n}"),), (f"h{n % 50}.de",), to=TO) for n in range(2000)
    )
    other = table.with_route(Route("r7", 7, (exact("/new"),), ("h7.de",), to=TO))
    shared = [host for host in table._hosts if table._hosts[host] is other._hosts[host]]
    assert len(shared) == 49 and other.find(Request("GET", "h7.de", "/new")) is not None
    assert (
        other.find(Request("GET", "h7.de", "/7")) is None
        and table.find(Request("GET", "h7.de", "/7")) is not None
    )


def test_patterns_can_t_blow_up_and_prefixes_match_whole_segments() -> None:
    table = RouteTable.of(
        [Route("p", 0, (pattern("/(a+)+b"),), to=TO), Route("q", 1, (prefix("/api/"),), to=TO)]
    )
    assert table.find(Request("GET", "", "/" + "a" * 5000)) is None
    assert [
        table.find(Request("GET", "", path)) is not None for path in ("/api", "/api/", "/api/x", "/apix", "/")
    ] == [True] * 3 + [False] * 2


@pytest.mark.parametrize(
    ("route", "said"),
    [
        (Route("r", 0, (exact("/a"),)), "no pool"),
        (Route("r", 0, (), to=TO), "no path"),
        (Route("r", 0, (exact("/a"),), ("A.de",), to=TO), "written small"),
        (Route("r", 0, (exact("/a"),), ("a b",), to=TO), "host"),
        (Route("r", 0, (exact("/a"),), to=TO, mirrors=(WeightedPool("m", 101),)), "percentage"),
        (
            Route(
                "r",
                0,
                (exact("/a"),),
                values=(
                    Condition("header", "v", Comparison.IS, "1"),
                    Condition("header", "v", Comparison.IS, "2"),
                ),
                to=TO,
            ),
            "never match",
        ),
        (
            Route(
                "r",
                0,
                (exact("/a"),),
                values=(
                    Condition("header", "v", Comparison.PRESENT),
                    Condition("header", "v", Comparison.ABSENT),
                ),
                to=TO,
            ),
            "never match",
        ),
    ],
)
def test_a_route_that_can_t_be_is_named(route: Route, said: str) -> None:
    with pytest.raises(InvalidRoute, match=said):
        validate_route(route)
    with pytest.raises(InvalidRoute, match="twice"):
        RouteTable.of([Route("r", 0, (exact("/a"),), to=TO)] * 2)


@pytest.mark.parametrize(
    ("make", "said"),
    [
        (lambda: exact("/a//b"), "plain form is '/a/b'"),
        (lambda: exact("/a/../b"), "plain form"),
        (lambda: prefix("a"), "slash"),
        (lambda: prefix("/%61"), "plain form is '/a'"),
        (lambda: pattern("/(a"), "missing"),
        (lambda: pattern("a" * 2000), "1000"),
        (lambda: Condition("header", "v", Comparison.PATTERN, "["), "missing"),
    ],
)
def test_what_could_never_match_is_said_as_it_is_made(make: object, said: str) -> None:
    with pytest.raises(InvalidRoute, match=said):
        make()  # type: ignore[operator]


def test_routes_that_nothing_can_take_are_named() -> None:
    post = frozenset({"POST"})
    table = RouteTable.of(
        [
            Route("a", 0, (exact("/a"), prefix("/b")), to=TO),
            Route("b", 1, (exact("/a"),), to=TO),
            Route("c", 2, (exact("/a"),), methods=post, to=TO),
            Route("d", 3, (exact("/a"), exact("/c")), to=TO),
            Route("e", 4, (exact("/a"),), methods=post, to=TO),
        ]
    )
    assert table.unreachable() == [("b", "a"), ("e", "c")]


def test_explain_says_why_not_those_before() -> None:
    made = [
        Route("all", 0, (prefix("/"),), to=TO),
        Route("v2", 1, (prefix("/a"),), values=(Condition("header", "v", Comparison.IS, "2"),), to=TO),
        Route("other", 2, (exact("/z"),), ("x.de",), to=TO),
        Route("post", 3, (exact("/a/b"),), methods=frozenset({"POST"}), to=TO),
    ]
    said = [(v.route.id, v.why) for v in explain(made, Request("GET", "y.de", "/a/b"))]
    assert said == [
        ("post", "method GET is not POST"),
        ("v2", "condition not met: header v is 2"),
        ("all", ""),
    ]


def test_rewrites_change_path_and_headers() -> None:
    rewrite = Rewrite("/v2/", (("x-new", "1"),), ("x-old",))
    assert [rewrite.path(p, Path(PathKind.PREFIX, "/api")) for p in ("/api", "/api/", "/api/x")] == [
        "/v2/",
        "/v2/",
        "/v2/x",
    ]
    assert rewrite.path("/api", exact("/api")) == "/v2/" and Rewrite().path("/api", exact("/api")) == "/api"
    assert rewrite.headers([(b"x-old", b"1"), (b"a", b"b"), (b"x-new", b"0")]) == [
        (b"a", b"b"),
        (b"x-new", b"1"),
    ]


# ---- targets


@pytest.mark.parametrize(
    ("raw", "target"),
    [
        ("/", ("", "/", "")),
        ("/a/b?c=/../d", ("", "/a/b", "c=/../d")),
        ("http://X.de:80/a", ("x.de", "/a", "")),
        ("HTTPS://x.de", ("x.de", "/", "")),
        ("http://x.de?q", ("x.de", "/", "q")),
        ("//a", ("", "/a", "")),
        ("/a//b///", ("", "/a/b/", "")),
        ("/a/./b/.", ("", "/a/b/", "")),
        ("/a/../b", ("", "/b", "")),
        ("/a/b/..", ("", "/a/", "")),
        ("/%61%2d%7E", ("", "/a-~", "")),
        ("/%c3%bc", ("", "/%C3%BC", "")),
        ("/a/%2e%2e/b", ("", "/b", "")),
        ("/a;v=1/b", ("", "/a;v=1/b", "")),
        ("/...", ("", "/...", "")),
        ("/100%25", ("", "/100%25", "")),
    ],
)
def test_targets_have_one_plain_form(raw: str, target: tuple[str, str, str]) -> None:
    assert normalize_target(raw) == Target(*target)


@pytest.mark.parametrize(
    "raw",
    [
        "",
        "*",
        "a/b",
        "x.de:443",
        "/a%2fb",
        "/a%2Fb",
        "/a%5cb",
        "/a\\b",
        "/a%00",
        "/a%252fb",
        "/a%252e%252e/b",
        "/a%25%32%66",
        "/..",
        "/a/../../b",
        "/%2e%2e",
        "/a/..;/b",
        "/a/.;x/b",
        "/a#b",
        "/a b",
        "/a\r\nX: y",
        "/a\x7f",
        "/\u00fc",
        "/a%",
        "/a%4",
        "/a%zz",
        "http://",
        "http:///a",
        "http://u@x.de/",
        "http://x.de:port/",
        "http://x..de/",
        "ftp://x.de/",
    ],
)
def test_what_might_be_read_in_two_ways_is_refused(raw: str) -> None:
    with pytest.raises(InvalidTarget):
        normalize_target(raw)


@examples(max_examples=500)
@given(st.text(st.sampled_from("/ab.%2eEfF5cC;~-0"), max_size=20))
def test_a_plain_path_is_its_own_plain_form_and_climbs_nowhere(text: str) -> None:
    try:
        once = normalize_path("/" + text)
    except InvalidTarget:
        return
    assert normalize_path(once) == once and "//" not in once and "%2F" not in once
    assert not {".", ".."} & {segment.partition(";")[0] for segment in once.split("/")}


@pytest.mark.parametrize(
    ("host", "name"),
    [
        ("X.De", "x.de"),
        ("x.de.", "x.de"),
        ("x.de:8080", "x.de"),
        ("[::1]:80", "[::1]"),
        (" x.de ", "x.de"),
        ("", ""),
    ],
)
def test_hosts_are_plain(host: str, name: str) -> None:
    assert normalize_host(host) == name


# ---- splits of a route


def test_a_weight_that_changes_moves_its_share_and_nobody_else() -> None:
    keys = [f"{n:016x}" for n in range(20_000)]
    before, after = (
        [WeightedPool("a", 90), WeightedPool("b", 10), WeightedPool("c", 0)],
        [WeightedPool("a", 90), WeightedPool("b", 20), WeightedPool("c", 0)],
    )
    was, now = [choose_pool(before, k) for k in keys], [choose_pool(after, k) for k in keys]
    moved = [(x, y) for x, y in zip(was, now, strict=True) if x != y]
    assert set(moved) == {("a", "b")} and "c" not in was
    assert was.count("b") == pytest.approx(2000, rel=0.08) and len(moved) == pytest.approx(
        20_000 * (20 / 110 - 0.1), rel=0.1
    )
    assert [choose_pool(list(reversed(before)), k) for k in keys[:500]] == was[:500]
    copies = [select_mirrors([WeightedPool("m", 5), WeightedPool("n", 100)], k) for k in keys]
    assert all("n" in c for c in copies) and sum("m" in c for c in copies) == pytest.approx(1000, rel=0.12)
