"""Validates and interprets a client's request, and builds the message for a backend."""

from __future__ import annotations

import re
from hashlib import blake2b
from collections.abc import Iterable, Sequence

from troutdock.admission.interface import Effect, RequestArrived, RequestQueued, Settings
from troutdock.engine import BadRequest, Request
from troutdock.http.body_limits import UNBUDGETED_BODY_BYTES

ACCOUNT = re.compile(rb"[0-9a-fA-F]{16}")
SECONDS = re.compile(rb"\d{1,6}(\.\d{1,9})?")
QUOTA = re.compile(rb"units=(\d{1,6}(?:\.\d{1,9})?),spread=(\d{1,6}),first=(\d{1,6})")
_ID = re.compile(rb"[\x21-\x7e]{1,128}")

INTERPRETED_HEADERS = frozenset(
    (
        b"request-id",
        b"account",
        b"plan",
        b"request-timeout",
        b"quota-info",
        b"client-retry",
        b"idempotency-key",
    )
)
# hop-by-hop fields, and fields that the ingress sets itself
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"transfer-encoding",
        b"expect",
        b"content-length",
    )
)
_NOT_FORWARDED = HOP_BY_HOP | {b"request-timeout"}

Headers = Sequence[tuple[bytes, bytes]]  # names in lower case
Message = bytes | list[bytes]  # in one piece; a long one in several, to avoid copies


class HttpRequest(Request):
    """An HTTP/1.1 request and its message for a backend."""

    __slots__ = ("_head", "body")

    def __init__(
        self, id: bytes, head: bytes, body: bytes | list[bytes], arrival: RequestArrived, repeatable: bool
    ) -> None:
        super().__init__(id, arrival, repeatable)
        self._head, self.body = head, body

    def message(self, left_ms: float) -> Message:
        """Returns the message for a backend; Request-Timeout states the time left."""
        seconds = max(left_ms, 1.0) / 1000
        if isinstance(self.body, list):
            return [b"%bRequest-Timeout: %.3f\r\n\r\n" % (self._head, seconds), *self.body]
        return b"%bRequest-Timeout: %.3f\r\n\r\n%b" % (self._head, seconds, self.body)


class Reader:
    """Checks requests against the settings.

    With retired, classes that were removed still accept requests that fit them.
    """

    def __init__(self, settings: Settings, retired: bool = False) -> None:
        self._classes: dict[bytes, list[tuple[int, Effect]]] = {}
        known = len(settings.classes) if retired else settings.live_classes or len(settings.classes)
        for number, cls in enumerate(settings.classes[:known]):
            self._classes.setdefault(b"/" + cls.name.encode(), []).append((number, cls.effect))
        self._plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}
        self._gateways, self._most_units = settings.gateways, settings.most_units

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes | list[bytes]) -> HttpRequest:
        """Returns the request; a long body may stay in pieces.

        Raises:
            BadRequest: a part is missing or invalid.
        """
        length = len(body) if isinstance(body, bytes) else sum(map(len, body))
        if isinstance(body, list) and length <= UNBUDGETED_BODY_BYTES:
            body = b"".join(body)
        seen = single_valued(headers, INTERPRETED_HEADERS)
        path = url.partition(b"?")[0]
        cut = path.find(b"/", 1)
        found = self._classes.get(path if cut < 0 else path[:cut])
        if found is None:
            raise BadRequest(404, "no such class of requests")
        cls, effect = (
            found[0] if len(found) == 1 else _matching_class(found, method, b"idempotency-key" in seen)
        )
        if method != (b"GET" if effect is Effect.SAFE else b"POST"):
            raise BadRequest(400, "the method does not fit the class")
        if (b"idempotency-key" in seen) != (effect is Effect.KEYED):
            raise BadRequest(400, "Idempotency-Key does not fit the class")
        if effect is Effect.SAFE and body:
            raise BadRequest(400, "a request of this class has no body")
        _required(_ID, seen, b"request-id")
        plan = self._plans.get(seen.get(b"plan", b""))
        if plan is None:
            raise BadRequest(400, "no such plan")
        customer = int(_required(ACCOUNT, seen, b"account")[0], 16)
        seconds = float(_required(SECONDS, seen, b"request-timeout")[0])
        quota = _required(QUOTA, seen, b"quota-info")
        units, width, first = float(quota[1]), int(quota[2]), int(quota[3])
        if customer >= 1 << 33:
            raise BadRequest(400, "account out of range")
        if not (
            seconds > 0
            and 0 < units <= self._most_units
            and 1 <= width <= self._gateways
            and first < self._gateways
        ):
            # an impossible value would distort what the gateway learns about the customer and all work
            raise BadRequest(400, "request-timeout or quota-info out of range")
        arrival = RequestArrived(
            0, customer, plan, cls, units, first, width, seconds * 1000, seen.get(b"client-retry") == b"1"
        )
        if effect is Effect.KEYED:
            arrival.key = key_number(seen[b"idempotency-key"])
        head = forwarded_head(method, url, headers, length)
        return HttpRequest(seen[b"request-id"], head, body, arrival, effect is not Effect.UNSAFE)

    def waited(self, url: bytes, headers: Headers, waited_ms: float) -> RequestQueued | None:
        """Returns the data for rejecting a request unread; None if it has to be read."""
        seen = dict(headers)
        found = self._classes.get(url[: max(0, url.find(b"/", 1))] or url.partition(b"?")[0])
        plan = self._plans.get(seen.get(b"plan", b""))
        account = ACCOUNT.fullmatch(seen.get(b"account", b""))
        quota = QUOTA.fullmatch(seen.get(b"quota-info", b""))
        if found is None or plan is None or account is None or quota is None:
            return None
        if len(found) > 1 or len(seen) < len(headers):
            return None
        customer, units, width = int(account[0], 16), float(quota[1]), int(quota[2])
        if customer >= 1 << 33 or not (0 < units <= self._most_units and 1 <= width <= self._gateways):
            return None
        retry = seen.get(b"client-retry") == b"1"
        key = key_number(seen[b"idempotency-key"]) if b"idempotency-key" in seen else 0
        return RequestQueued(customer, plan, found[0][0], units, width, retry, waited_ms, key)


def single_valued(headers: Headers, names: Iterable[bytes]) -> dict[bytes, bytes]:
    """Returns the values by name.

    Raises:
        BadRequest: one of the given names is repeated.
    """
    seen = dict(headers)
    if len(seen) < len(headers):
        given = [name for name, _ in headers]
        for name in names:
            if given.count(name) > 1:
                raise BadRequest(400, f"{name.decode()} comes twice")
    return seen


def _matching_class(found: list[tuple[int, Effect]], method: bytes, keyed: bool) -> tuple[int, Effect]:
    """Returns the first class of this name whose method and key the request matches, else the current one."""
    for number, effect in found:
        if method == (b"GET" if effect is Effect.SAFE else b"POST") and keyed == (effect is Effect.KEYED):
            return number, effect
    return found[0]


def key_number(key: bytes) -> int:
    """Returns a 64-bit number for an idempotency key; never 0, and equal in every process."""
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "big") or 1


def _required(pattern: re.Pattern[bytes], seen: dict[bytes, bytes], name: bytes) -> re.Match[bytes]:
    found = pattern.fullmatch(seen.get(name, b""))
    if found is None:
        raise BadRequest(400, f"{name.decode()} is missing or senseless")
    return found


def forwarded_head(
    method: bytes,
    url: bytes,
    headers: Headers,
    length: int,
    dropped: frozenset[bytes] = _NOT_FORWARDED,
    meant: frozenset[bytes] = INTERPRETED_HEADERS,
) -> bytes:
    """Returns the request line and end-to-end headers unchanged, with Content-Length if a body is possible.

    Args:
        dropped: names of headers that are not forwarded.
        meant: names of headers that the client's Connection header cannot remove.
    """
    if named := b",".join([value for name, value in headers if name == b"connection"]):
        dropped |= {part.strip().lower() for part in named.split(b",")} - meant
    lines = [b"%b %b HTTP/1.1" % (method, url)]
    lines += [b"%b: %b" % pair for pair in headers if pair[0] not in dropped]
    if method != b"GET" or length:
        lines.append(b"Content-Length: %d" % length)
    lines.append(b"")
    return b"\r\n".join(lines)
