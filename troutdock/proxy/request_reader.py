"""Reads client requests by route and API key, and classifies the responses of backends."""

from __future__ import annotations

import re
from collections.abc import Callable
from random import Random

from troutdock.proxy.route_table import RouteTable, pick_service
from troutdock.admission.interface import BackendId, Outcome, RequestArrived, RequestQueued
from troutdock.engine import BadRequest, ProtocolTraits
from troutdock.http.body_limits import UNBUDGETED_BODY_BYTES
from troutdock.http.request import HOP_BY_HOP, Headers, HttpRequest, Message, forwarded_head, single_valued
from troutdock.http.response import Response
from troutdock.http.transport import HttpAttempt

_INTERPRETED_HEADERS = frozenset(
    (b"host", b"attempt-id", b"deadline-ms", b"key", b"tenant-name", b"expected-instance")
)
# headers that the ingress sets itself; a client's values are dropped
_REPLACED_HEADERS = HOP_BY_HOP | {b"key", b"deadline-ms", b"tenant-name", b"expected-instance"}
_DEADLINE_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,6})?")
_ATTEMPT_ID_PATTERN = re.compile(rb"[\x21-\x7e]{1,128}")
SUPPORTED_METHODS = frozenset(
    (b"GET", b"POST", b"PUT", b"PATCH", b"DELETE")
)  # no HEAD: its responses have a length but no body
NOT_EXECUTED_STATUSES = (
    408,
    429,
    503,
)  # to a client they promise that its request has not run and never will
_CONNECTION_HEADERS = HOP_BY_HOP | {b"content-length"}


class RoutedRequest(HttpRequest):
    """A request of a route, with the headers for the selected backend."""

    __slots__ = ("_instance_of",)
    # only Not-Executed and 421 prove that nothing has run: a partly sent request may have run
    traits = ProtocolTraits(
        starts_after_last_byte=False, responses_name_request=True, stall_timeout_applies=False
    )

    def __init__(
        self,
        id: bytes,
        head: bytes,
        body: bytes | list[bytes],
        arrival: RequestArrived,
        repeatable: bool,
        instance_of: Callable[[BackendId], bytes],
    ) -> None:
        super().__init__(id, head, body, arrival, repeatable)
        self._instance_of = instance_of

    def message_to(self, backend: BackendId, left_ms: float) -> Message:
        """Returns the message with its remaining time and the only instance that may run it."""
        head = b"%bDeadline-Ms: %d\r\nExpected-Instance: %b\r\n\r\n" % (
            self._head,
            max(1, int(left_ms)),
            self._instance_of(backend),
        )
        return [head, *self.body] if isinstance(self.body, list) else head + self.body


class RoutedRequestReader:
    """Implements listener.RequestParser with routes and API keys, in place of http.request.Reader."""

    def __init__(
        self, pool_of: Callable[[str], int], instance_of: Callable[[BackendId], bytes], random: Random
    ) -> None:
        self.table: RouteTable | None = None  # replaced as a whole
        self._pool_of, self._instance_of, self._random = pool_of, instance_of, random

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes | list[bytes]) -> HttpRequest:
        """Returns the request.

        Raises:
            BadRequest: No route matches, the API key is unknown, or the request is malformed.
        """
        table = self.table
        if table is None:
            raise BadRequest(503, "no configuration yet")
        length = len(body) if isinstance(body, bytes) else sum(map(len, body))
        if isinstance(body, list) and length <= UNBUDGETED_BODY_BYTES:
            body = b"".join(body)
        values = single_valued(headers, _INTERPRETED_HEADERS)
        if method not in SUPPORTED_METHODS:
            raise BadRequest(405, "no such method here")
        host = values.get(b"host", b"").partition(b":")[0].lower()
        matched = table.find(host, url.partition(b"?")[0])
        if matched is None:
            raise BadRequest(404, "no route")
        route = matched.route
        tenant_number = plan = 0
        priority = route.priority
        extra = b""
        if table.needs_key and not route.public:
            key_owner = table.key_owner(values.get(b"key", b""))
            if key_owner is None:
                raise BadRequest(401, "the key is nobody's")
            tenant_number, plan = key_owner.tenant_number, key_owner.plan
            if key_owner.tenant.priority is not None:
                priority = key_owner.tenant.priority
            extra = b"Tenant-Name: %b\r\n" % key_owner.tenant.name.encode()
        if length > table.configuration.limits.body_bytes:
            raise BadRequest(413, "the body is too long")
        id = values.get(b"attempt-id", b"")
        if not _ATTEMPT_ID_PATTERN.fullmatch(id):
            raise BadRequest(400, "attempt-id is missing or senseless")
        left_ms = route.timeout_ms
        if (deadline := values.get(b"deadline-ms")) is not None:
            if not _DEADLINE_PATTERN.fullmatch(deadline):
                raise BadRequest(400, "deadline-ms is senseless")
            left_ms = min(left_ms, float(deadline))
        arrival = RequestArrived(
            0,
            tenant_number,
            plan,
            matched.class_number,
            1.0,
            0,
            1,
            max(1.0, left_ms),
            False,
            self._pool_of(pick_service(route.split, self._random)),
            route.max_attempts,
            priority=priority,
        )
        head = forwarded_head(method, url, headers, length, _REPLACED_HEADERS, _INTERPRETED_HEADERS) + extra
        return RoutedRequest(id, head, body, arrival, route.read_only, self._instance_of)

    def waited(self, url: bytes, headers: Headers, waited_ms: float) -> RequestQueued | None:
        """Returns None: a request has to be read before it can be rejected, as its route sets its class."""
        return None


def classify_backend_response(attempt: HttpAttempt | None, response: Response) -> Outcome | None:
    """Returns the outcome of a backend's response; None for a late response to an earlier request.

    After None, the attempt's own response is still expected. Only Not-Executed and 421 prove that nothing
    has run, and only for the request whose id the response carries; a response without an id may belong to
    any request. A success without the backend's signature, in a content coding that was not requested, or
    with Not-Executed is not accepted as the backend's response, and its request may have run. The same
    holds for a 408, 429 or 503 without Not-Executed: forwarded, it would promise the client that the
    request has not run.
    """
    headers = response.headers
    id = headers.get(b"attempt-id")
    if (
        attempt is not None
        and id is not None
        and attempt.owner is not None
        and id != attempt.owner.request.id
    ):
        return None
    status = response.status
    if id is None:
        return Outcome.RESET
    if 200 <= status < 300:
        valid = (
            b"response-signature" in headers
            and b"content-encoding" not in headers
            and b"not-executed" not in headers
        )
        return Outcome.OK if valid else Outcome.RESET
    if b"not-executed" in headers:
        return Outcome.FULL
    if status == 421:
        return Outcome.WRONG_INSTANCE
    if status in NOT_EXECUTED_STATUSES:
        return Outcome.RESET
    return Outcome.ERROR if status >= 500 else Outcome.OK  # the backend's own response


def forwarded_response_headers(answer: Response) -> tuple[tuple[bytes, bytes], ...]:
    """Returns all response headers except those that belong to one connection."""
    pairs = tuple(pair for pair in answer.headers.items() if pair[0] not in _CONNECTION_HEADERS)
    if len(answer.cookies) < 2:
        return pairs
    others = tuple(pair for pair in pairs if pair[0] != b"set-cookie")
    return others + tuple((b"set-cookie", cookie) for cookie in answer.cookies)
