"""What a call means: its metadata checked and read for the gateway, its form for a node (no I/O)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from troutdock.admission.interface import Effect, RequestArrived, Settings
from troutdock.engine import BadRequest, Request
from troutdock.grpc.methods import Method, Methods
from troutdock.grpc.protocol import Ended, Metadata, format_timeout, parse_timeout
from troutdock.http.request import ACCOUNT, QUOTA, key_number, single_valued

REPLAY = 64 * 1024  # bytes of a client's stream that are kept, as its first node may never have run it
# what the ingress words itself; :authority and user-agent go on as they are
_OWN = frozenset((b"te", b"grpc-timeout", b"content-length"))


@dataclass(frozen=True, slots=True)
class Names:
    """Under which names the metadata hold what the gateway needs."""

    account: bytes = b"account"
    plan: bytes = b"plan"
    quota: bytes = b"quota-info"
    id: bytes = b"request-id"
    key: bytes = b"idempotency-key"
    retry: bytes = b"client-retry"


class Sink(Protocol):
    """Where a client's stream goes: a stream to a node."""

    def send(self, data: bytes, end: bool) -> None:
        """More of it; end: and that is all."""

    @property
    def full(self) -> bool:
        """It has not taken what it got; Upload.more is called once it has."""


class Upload:
    """A client's stream of messages, passed on as it comes, to one node.

    What has come is kept, up to REPLAY bytes, so that a node that never ran it costs nothing. After that it
    belongs to the node that has it, and the client is let send more only as that takes it.
    """

    __slots__ = ("_credit", "_ended", "_pieces", "_sent", "_sink", "_size", "_spoilt")

    def __init__(self, credit: Callable[[int], None]) -> None:
        """credit: who lets the client send so many bytes more."""
        self._credit = credit
        self._sink: Sink | None = None
        self._pieces: list[tuple[bytes, bool]] = []  # and whether they are credited
        self._sent = 0  # of them, to the sink
        self._size = 0  # bytes that have come
        self._ended = self._spoilt = False  # all has come; what was sent is not here any more

    def push(self, data: bytes, end: bool) -> None:
        """More has come."""
        self._ended = self._ended or end
        self._size += len(data)
        early = self._size <= REPLAY
        if data:
            self._pieces.append((data, early))
            if early:
                self._credit(len(data))
        self.more()

    def attach(self, sink: Sink) -> bool:
        """Send it there from its beginning; false if that is not here any more."""
        if self._spoilt:
            return False
        self._sink, self._sent = sink, 0
        self.more()
        return True

    def detach(self) -> None:
        """It is not sent anywhere for now."""
        self._sink = None

    def more(self) -> None:
        """Send what there is, as far as the sink takes it."""
        sink = self._sink
        if sink is None:
            return
        while self._sent < len(self._pieces) and not sink.full:
            data, credited = self._pieces[self._sent]
            self._pieces[self._sent] = data, True
            self._sent += 1
            sink.send(data, self._ended and self._sent == len(self._pieces))
            if not credited:
                self._credit(len(data))
        if self._ended and self._sent == len(self._pieces):
            sink.send(b"", True)  # harmless where the end went with the last piece
        if self._size > REPLAY and self._sent:
            self._spoilt = True
            del self._pieces[: self._sent]
            self._sent = 0


class GrpcMessage:
    """A call as one node gets it."""

    __slots__ = ("left_ms", "request")

    def __init__(self, request: GrpcRequest, left_ms: float) -> None:
        self.request, self.left_ms = request, left_ms

    def headers(self) -> Metadata:
        """Its first block."""
        r = self.request
        return [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", r.path),
            (b":authority", r.authority),
            (b"te", b"trailers"),
            (b"grpc-timeout", format_timeout(self.left_ms)),
            *r.metadata,
        ]


class GrpcRequest(Request):
    """A call: all of its messages, or its first ones and a stream of more.

    last: how its last node has ended it. timed: its client has named an end.
    """

    __slots__ = ("authority", "body", "kind", "last", "metadata", "path", "timed", "upload")

    def __init__(
        self,
        id: bytes,
        arrival: RequestArrived,
        method: Method,
        path: bytes,
        authority: bytes,
        metadata: Metadata,
    ) -> None:
        super().__init__(id, arrival, method.effect is not Effect.UNSAFE)
        self.kind, self.path, self.authority, self.metadata = method.kind, path, authority, metadata
        self.body: list[bytes] = []
        self.upload: Upload | None = None
        self.last: Ended | None = None
        self.timed = False

    def message(self, left_ms: float) -> GrpcMessage:
        """What a node gets; left_ms: how long its answer is waited for."""
        return GrpcMessage(self, left_ms)


class Reader:
    """Checks calls against the settings and the operator's table."""

    def __init__(self, methods: Methods, settings: Settings, names: Names = Names()) -> None:
        self.settings, self._names, self._methods = settings, names, methods
        self._plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}

    def read(self, path: bytes, authority: bytes, metadata: Metadata) -> GrpcRequest:
        """The call by its first block; BadRequest if any part is missing or senseless."""
        method, names, settings = self._methods.find(path), self._names, self.settings
        if method is None:
            raise BadRequest(404, "no such method")
        seen = single_valued(
            metadata, (names.account, names.plan, names.quota, names.id, names.key, b"grpc-timeout")
        )
        account = ACCOUNT.fullmatch(seen.get(names.account, b""))
        if account is None:
            raise BadRequest(400, f"{names.account.decode()} is missing or senseless")
        customer = int(account[0], 16)
        plan = self._plans.get(seen.get(names.plan, b""))
        if plan is None:
            raise BadRequest(400, "no such plan")
        units, width, first = self._share(seen.get(names.quota), method)
        if customer >= 1 << 33 or not (
            0 < units <= settings.most_units and 1 <= width <= settings.gateways and first < settings.gateways
        ):
            raise BadRequest(400, f"{names.account.decode()} or {names.quota.decode()} out of range")
        try:
            raw = seen.get(b"grpc-timeout")
            timeout_ms = method.deadline_ms if raw is None else parse_timeout(raw)
        except ValueError as error:
            raise BadRequest(400, str(error)) from error
        key = seen.get(names.key)
        if key is None and method.effect is Effect.KEYED:
            raise BadRequest(400, f"{names.key.decode()} is missing")
        arrival = RequestArrived(
            0,
            customer,
            plan,
            method.cls,
            units,
            first,
            width,
            timeout_ms,
            seen.get(names.retry) == b"1" or b"grpc-previous-rpc-attempts" in seen,
        )
        if key is not None and method.effect is Effect.KEYED:
            arrival.key = key_number(key)
        rest = [pair for pair in metadata if pair[0] not in _OWN]
        request = GrpcRequest(seen.get(names.id, b""), arrival, method, path, authority, rest)
        request.timed = raw is not None
        return request

    def _share(self, raw: bytes | None, method: Method) -> tuple[float, int, int]:
        """Units, and the gateways that share the customer; by the row where the metadata don't say."""
        if raw is None and method.units:
            return method.units, self.settings.gateways, 0
        found = QUOTA.fullmatch(raw or b"")
        if found is None:
            raise BadRequest(400, f"{self._names.quota.decode()} is missing or senseless")
        return float(found[1]), int(found[2]), int(found[3])
