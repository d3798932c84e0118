"""Parses and validates the metadata of a call, and builds the request to a backend (no I/O)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from troutdock.admission.interface import Effect, RequestArrived, Settings
from troutdock.engine import BadRequest, Request
from troutdock.grpc.methods import Method, MethodTable
from troutdock.grpc.protocol import GrpcResponse, Metadata, format_timeout, parse_timeout
from troutdock.http.request import ACCOUNT, QUOTA, key_number, single_valued

# bytes of a client's stream kept for another backend if the first one did not start the call
REPLAY_BYTES = 64 * 1024
# set by the ingress itself; :authority and user-agent are forwarded unchanged
_REPLACED_METADATA = frozenset((b"te", b"grpc-timeout", b"content-length"))


@dataclass(frozen=True, slots=True)
class MetadataNames:
    """Names of the metadata that the gateway reads."""

    account: bytes = b"account"
    plan: bytes = b"plan"
    quota: bytes = b"quota-info"
    id: bytes = b"request-id"
    key: bytes = b"idempotency-key"
    retry: bytes = b"client-retry"


class MessageSink(Protocol):
    """Receiver of a client's stream: the HTTP/2 stream to a backend."""

    def send(self, data: bytes, end: bool) -> None:
        """Sends data; `end` closes the direction."""

    @property
    def full(self) -> bool:
        """Whether its send queue is full; Upload.flush() is called once it has drained."""


class Upload:
    """A client's stream of messages, forwarded to one backend as it arrives.

    The first REPLAY_BYTES are kept, so that the stream can be sent to another backend if the first one did
    not start the call. Beyond that the stream is tied to its backend, and the client is granted flow-control
    credit only as the backend takes the data.
    """

    __slots__ = (
        "_chunks",
        "_ended",
        "_grant_credit",
        "_received_bytes",
        "_sent_count",
        "_sink",
        "_truncated",
    )

    def __init__(self, grant_credit: Callable[[int], None]) -> None:
        """grant_credit: Called with a number of bytes that the client may send in addition."""
        self._grant_credit = grant_credit
        self._sink: MessageSink | None = None
        self._chunks: list[tuple[bytes, bool]] = []  # data, and whether the client was granted credit for it
        self._sent_count = 0  # chunks passed to the sink
        self._received_bytes = 0  # total
        self._ended = self._truncated = False  # the client has ended the stream; sent chunks were dropped

    def push(self, data: bytes, end: bool) -> None:
        """Adds received data; `end` is the end of the client's stream."""
        self._ended = self._ended or end
        self._received_bytes += len(data)
        within_replay = self._received_bytes <= REPLAY_BYTES
        if data:
            self._chunks.append((data, within_replay))
            if within_replay:
                self._grant_credit(len(data))
        self.flush()

    def attach(self, sink: MessageSink) -> bool:
        """Sends the stream to this sink from its beginning.

        Returns:
            False if the beginning has been dropped.
        """
        if self._truncated:
            return False
        self._sink, self._sent_count = sink, 0
        self.flush()
        return True

    def detach(self) -> None:
        """Stops sending to the current sink."""
        self._sink = None

    def flush(self) -> None:
        """Sends pending chunks until the sink is full."""
        sink = self._sink
        if sink is None:
            return
        while self._sent_count < len(self._chunks) and not sink.full:
            data, credited = self._chunks[self._sent_count]
            self._chunks[self._sent_count] = data, True
            self._sent_count += 1
            sink.send(data, self._ended and self._sent_count == len(self._chunks))
            if not credited:
                self._grant_credit(len(data))
        if self._ended and self._sent_count == len(self._chunks):
            sink.send(b"", True)  # no effect if the end was sent with the last chunk
        if self._received_bytes > REPLAY_BYTES and self._sent_count:
            self._truncated = True
            del self._chunks[: self._sent_count]
            self._sent_count = 0


class GrpcMessage:
    """A call as it is sent to one backend."""

    __slots__ = ("left_ms", "request")

    def __init__(self, request: GrpcRequest, left_ms: float) -> None:
        self.request, self.left_ms = request, left_ms

    def headers(self) -> Metadata:
        """Returns the request headers."""
        request = self.request
        return [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", request.path),
            (b":authority", request.authority),
            (b"te", b"trailers"),
            (b"grpc-timeout", format_timeout(self.left_ms)),
            *request.metadata,
        ]


class GrpcRequest(Request):
    """A call with its complete body, or with an upload.

    Attributes:
        last_response: How the last backend ended the call.
        has_timeout: Whether the client sent grpc-timeout.
    """

    __slots__ = (
        "authority",
        "body",
        "has_timeout",
        "last_response",
        "metadata",
        "method_type",
        "path",
        "upload",
    )

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
        self.method_type, self.path, self.authority, self.metadata = (
            method.method_type,
            path,
            authority,
            metadata,
        )
        self.body: list[bytes] = []
        self.upload: Upload | None = None
        self.last_response: GrpcResponse | None = None
        self.has_timeout = False

    def message(self, left_ms: float) -> GrpcMessage:
        """Returns the call for a backend; left_ms: time until the deadline."""
        return GrpcMessage(self, left_ms)


class CallReader:
    """Validates calls against the settings and the operator's table of methods."""

    def __init__(
        self, method_table: MethodTable, settings: Settings, names: MetadataNames = MetadataNames()
    ) -> None:
        self.settings, self._metadata_names, self._method_table = settings, names, method_table
        self._plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}

    def read(self, path: bytes, authority: bytes, metadata: Metadata) -> GrpcRequest:
        """Returns the call for its request headers.

        Raises:
            BadRequest: A required field is missing or invalid.
        """
        method, names, settings = self._method_table.find(path), self._metadata_names, self.settings
        if method is None:
            raise BadRequest(404, "no such method")
        values = single_valued(
            metadata, (names.account, names.plan, names.quota, names.id, names.key, b"grpc-timeout")
        )
        account = ACCOUNT.fullmatch(values.get(names.account, b""))
        if account is None:
            raise BadRequest(400, f"{names.account.decode()} is missing or senseless")
        customer = int(account[0], 16)
        plan = self._plans.get(values.get(names.plan, b""))
        if plan is None:
            raise BadRequest(400, "no such plan")
        units, width, first = self._read_quota(values.get(names.quota), method)
        if customer >= 1 << 33 or not (
            0 < units <= settings.most_units and 1 <= width <= settings.gateways and first < settings.gateways
        ):
            raise BadRequest(400, f"{names.account.decode()} or {names.quota.decode()} out of range")
        try:
            raw = values.get(b"grpc-timeout")
            timeout_ms = method.deadline_ms if raw is None else parse_timeout(raw)
        except ValueError as error:
            raise BadRequest(400, str(error)) from error
        key = values.get(names.key)
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
            values.get(names.retry) == b"1" or b"grpc-previous-rpc-attempts" in values,
        )
        if key is not None and method.effect is Effect.KEYED:
            arrival.key = key_number(key)
        rest = [pair for pair in metadata if pair[0] not in _REPLACED_METADATA]
        request = GrpcRequest(values.get(names.id, b""), arrival, method, path, authority, rest)
        request.has_timeout = raw is not None
        return request

    def _read_quota(self, raw: bytes | None, method: Method) -> tuple[float, int, int]:
        """Returns units, number of gateways that share the customer, and the first of them.

        Without the metadata the units of the method's rule apply, shared by all gateways.
        """
        if raw is None and method.units:
            return method.units, self.settings.gateways, 0
        found = QUOTA.fullmatch(raw or b"")
        if found is None:
            raise BadRequest(400, f"{self._metadata_names.quota.decode()} is missing or senseless")
        return float(found[1]), int(found[2]), int(found[3])
