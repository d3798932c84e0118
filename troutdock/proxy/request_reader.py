"""A client's request read by its route and key, its form for a backend, and what a backend's answer means."""

from __future__ import annotations

import re
from collections.abc import Callable
from random import Random

from troutdock.proxy.route_table import Table, pick
from troutdock.admission.interface import BackendId, Outcome, RequestArrived, RequestQueued
from troutdock.engine import BadRequest, ProtocolTraits
from troutdock.http.body_limits import UNBUDGETED_BODY_BYTES
from troutdock.http.request import HOP_BY_HOP, Headers, HttpRequest, Message, forwarded_head, single_valued
from troutdock.http.response import Response
from troutdock.http.transport import HttpAttempt

_MEANT = frozenset((b"host", b"attempt-id", b"deadline-ms", b"key", b"tenant-name", b"expected-instance"))
# what the ingress words itself, whatever the client has sent
_DROPPED = HOP_BY_HOP | {b"key", b"deadline-ms", b"tenant-name", b"expected-instance"}
_DEADLINE = re.compile(rb"\d{1,9}(\.\d{1,6})?")
_ID = re.compile(rb"[\x21-\x7e]{1,128}")
METHODS = frozenset(
    (b"GET", b"POST", b"PUT", b"PATCH", b"DELETE")
)  # HEAD's answers have lengths and no bodies
PROMISES = (408, 429, 503)  # to a client they say that its request has not run and never will
_KEPT_BACK = HOP_BY_HOP | {b"content-length"}


class SystemRequest(HttpRequest):
    """A request, and its form for the backend that it goes to."""

    __slots__ = ("_instance_of",)
    # only Not-Executed and 421 say that nothing has run: a request that was sent in part may have
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
        """With what is left of its time, and the instance that alone may run it."""
        head = b"%bDeadline-Ms: %d\r\nExpected-Instance: %b\r\n\r\n" % (
            self._head,
            max(1, int(left_ms)),
            self._instance_of(backend),
        )
        return [head, *self.body] if isinstance(self.body, list) else head + self.body


class SystemReader:
    """In place of http.request.Reader: listener.RequestParser."""

    def __init__(
        self, pool_of: Callable[[str], int], instance_of: Callable[[BackendId], bytes], random: Random
    ) -> None:
        self.table: Table | None = None  # swapped as one
        self._pool_of, self._instance_of, self._random = pool_of, instance_of, random

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes | list[bytes]) -> HttpRequest:
        """The request; BadRequest if it takes no route, its key is nobody's, or a part is senseless."""
        table = self.table
        if table is None:
            raise BadRequest(503, "no configuration yet")
        length = len(body) if isinstance(body, bytes) else sum(map(len, body))
        if isinstance(body, list) and length <= UNBUDGETED_BODY_BYTES:
            body = b"".join(body)
        seen = single_valued(headers, _MEANT)
        if method not in METHODS:
            raise BadRequest(405, "no such method here")
        host = seen.get(b"host", b"").partition(b":")[0].lower()
        found = table.find(host, url.partition(b"?")[0])
        if found is None:
            raise BadRequest(404, "no route")
        route = found.route
        number = plan = 0
        priority = route.priority
        extra = b""
        if table.needs_key and not route.public:
            holder = table.holder(seen.get(b"key", b""))
            if holder is None:
                raise BadRequest(401, "the key is nobody's")
            number, plan = holder.number, holder.plan
            if holder.tenant.priority is not None:
                priority = holder.tenant.priority
            extra = b"Tenant-Name: %b\r\n" % holder.tenant.name.encode()
        if length > table.configuration.limits.body_bytes:
            raise BadRequest(413, "the body is too long")
        id = seen.get(b"attempt-id", b"")
        if not _ID.fullmatch(id):
            raise BadRequest(400, "attempt-id is missing or senseless")
        left_ms = route.timeout_ms
        if (told := seen.get(b"deadline-ms")) is not None:
            if not _DEADLINE.fullmatch(told):
                raise BadRequest(400, "deadline-ms is senseless")
            left_ms = min(left_ms, float(told))
        arrival = RequestArrived(
            0,
            number,
            plan,
            found.cls,
            1.0,
            0,
            1,
            max(1.0, left_ms),
            False,
            self._pool_of(pick(route.split, self._random)),
            route.max_attempts,
            priority=priority,
        )
        head = forwarded_head(method, url, headers, length, _DROPPED, _MEANT) + extra
        return SystemRequest(id, head, body, arrival, route.read_only, self._instance_of)

    def waited(self, url: bytes, headers: Headers, waited_ms: float) -> RequestQueued | None:
        """None: a request is read before it is turned away, as its class is its route's."""
        return None


def verdict(attempt: HttpAttempt | None, response: Response) -> Outcome | None:
    """What an answer means; None: it is an earlier request's, come late, and the attempt's is still to come.

    Only Not-Executed and 421 say that nothing has run, and only of the request that the answer names: one
    that names none may be anybody's. A success without the backend's stamp, in a coding that nobody asked
    for, or one that says it has not run, is not the backend's answer, and its request may have run. Neither
    is a refusal without Not-Executed: passed on, it would promise what nobody has said.
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
        sound = (
            b"response-signature" in headers
            and b"content-encoding" not in headers
            and b"not-executed" not in headers
        )
        return Outcome.OK if sound else Outcome.RESET
    if b"not-executed" in headers:
        return Outcome.FULL
    if status == 421:
        return Outcome.WRONG_INSTANCE
    if status in PROMISES:
        return Outcome.RESET
    return Outcome.ERROR if status >= 500 else Outcome.OK  # the backend's own answer to what was asked


def passes(answer: Response) -> tuple[tuple[bytes, bytes], ...]:
    """All headers but those of one connection: what the backend says is the client's."""
    given = tuple(pair for pair in answer.headers.items() if pair[0] not in _KEPT_BACK)
    if len(answer.cookies) < 2:
        return given
    rest = tuple(pair for pair in given if pair[0] != b"set-cookie")
    return rest + tuple((b"set-cookie", cookie) for cookie in answer.cookies)
