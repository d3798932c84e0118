"""Parses client requests by their route: class, pool, customer, and the forwarded request."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from troutdock.admission.interface import Effect, RequestArrived, RequestQueued, Settings
from troutdock.engine import BadRequest
from troutdock.http.body_limits import UNBUDGETED_BODY_BYTES
from troutdock.http.request import (
    ACCOUNT,
    SECONDS,
    Headers,
    HttpRequest,
    forwarded_head,
    key_number,
    single_valued,
)
from troutdock.routing.route import Request
from troutdock.routing.split import choose_pool, select_mirrors
from troutdock.routing.table import RouteTable
from troutdock.routing.target import InvalidTarget, normalize_target, normalize_host

_UNITS = re.compile(rb"\d{1,6}(\.\d{1,9})?")
# without HEAD, whose responses have a length but no body
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))


@dataclass(frozen=True, slots=True)
class CustomerHeaders:
    """Header names that identify the customer, in lower case. default_plan: for requests without a plan."""

    account: bytes = b"account"
    plan: bytes = b"plan"
    units: bytes = b"units"
    default_plan: str = ""


class RoutingSnapshot(NamedTuple):
    """The routes in effect: one value, so that a reload replaces it atomically. pools: numbers by name."""

    table: RouteTable
    pools: Mapping[str, int]


Mirror = Callable[[str, HttpRequest], None]


def customer_number(account: bytes) -> int:
    """Returns a 33-bit number for an account: the value of 16 hex digits if it fits, else a hash."""
    if ACCOUNT.fullmatch(account) and (number := int(account, 16)) < 1 << 33:
        return number
    return int.from_bytes(blake2b(account, digest_size=8).digest(), "big") & ((1 << 33) - 1)


class _DecodedHeaders(Mapping[str, str]):
    """Headers decoded on access, as routes look at few of them."""

    __slots__ = ("_seen",)

    def __init__(self, seen: dict[bytes, bytes]) -> None:
        self._seen = seen

    def __getitem__(self, name: str) -> str:
        return self._seen[name.encode("latin-1")].decode("latin-1")

    def __iter__(self) -> Iterator[str]:
        return (name.decode("latin-1") for name in self._seen)

    def __len__(self) -> int:
        return len(self._seen)


class RoutedReader:
    """Replaces http.request.Reader if the operator's file has routes."""

    def __init__(
        self, view: RoutingSnapshot, settings: Settings, customers: CustomerHeaders, mirror: Mirror
    ) -> None:
        self.view, self._settings, self._customers, self._mirror = view, settings, customers, mirror
        self._classes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self._plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes | list[bytes]) -> HttpRequest:
        """Parses a request; BadRequest if no route matches, or a part is missing or invalid."""
        view, settings, names = self.view, self._settings, self._customers
        length = len(body) if isinstance(body, bytes) else sum(map(len, body))
        if isinstance(body, list) and length <= UNBUDGETED_BODY_BYTES:
            body = b"".join(body)
        seen = single_valued(
            headers, (b"host", b"idempotency-key", b"request-id", names.account, names.plan, names.units)
        )
        if method not in METHODS:
            raise BadRequest(405, "no such method here")
        try:
            target = normalize_target(url.decode("latin-1"))
            host = normalize_host(seen.get(b"host", b"").decode("latin-1"))
        except InvalidTarget as error:
            raise BadRequest(400, str(error)) from error
        decoded = _DecodedHeaders(seen)
        found = view.table.find(Request(method.decode(), host, target.path, target.query, decoded))
        if found is None:
            raise BadRequest(404, "no route")
        route = found.route
        number = self._classes[route.cls]
        cls = settings.classes[number]
        key = seen.get(b"idempotency-key")
        if cls.effect is Effect.SAFE and (method != b"GET" or body):
            raise BadRequest(400, "a request of this class is a GET without a body")
        if cls.effect is Effect.KEYED and key is None:
            raise BadRequest(400, "Idempotency-Key is missing")
        account = seen.get(names.account, b"")
        if not account:
            raise BadRequest(400, f"{names.account.decode()} is missing")
        plan = self._plans.get(seen.get(names.plan, names.default_plan.encode()))
        if plan is None:
            raise BadRequest(400, "no such plan")
        raw = seen.get(names.units, b"1")
        units = float(raw) if _UNITS.fullmatch(raw) else 0.0
        if not 0 < units <= settings.most_units:
            raise BadRequest(400, f"{names.units.decode()} is senseless or out of range")
        left = seen.get(b"request-timeout")
        if left is not None and (not SECONDS.fullmatch(left) or float(left) <= 0):
            raise BadRequest(400, "request-timeout is senseless")
        left_ms = cls.deadline_ms if left is None else float(left) * 1000
        pool = choose_pool(route.to, account.decode("latin-1"))
        arrival = RequestArrived(
            0,
            customer_number(account),
            plan,
            number,
            units,
            0,
            settings.gateways,
            left_ms,
            seen.get(b"client-retry") == b"1",
            view.pools[pool],
        )
        if key is not None and cls.effect is Effect.KEYED:
            arrival.key = key_number(key)
        path, rewrite = target.path, route.rewrite
        if rewrite.prefix is not None:
            path = rewrite.path(path, found.path)
        if rewrite.set or rewrite.remove:
            headers = rewrite.headers(list(headers))
        onward = (path + "?" + target.query if target.query else path).encode("latin-1")
        head = forwarded_head(method, onward, headers, length)
        repeatable = cls.effect is not Effect.UNSAFE
        request = HttpRequest(seen.get(b"request-id", b""), head, body, arrival, repeatable)
        if route.mirrors and cls.effect is Effect.SAFE:
            whose = (seen.get(b"request-id", b"") + account).decode("latin-1")
            for mirror in select_mirrors(route.mirrors, whose):
                self._mirror(mirror, request)
        return request

    def waited(self, url: bytes, headers: Headers, waited_ms: float) -> RequestQueued | None:
        """Returns None: the class depends on the route, so a request is parsed before it is rejected."""
        return None
