"""Interface of the admission state machines: settings, events and actions. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from enum import Enum, IntEnum
from math import inf

BackendId = int


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    WRONG_INSTANCE = 8

    @property
    def never_ran(self) -> bool:
        """True if the outcome proves that the backend did not run the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.WRONG_INSTANCE)


class Effect(Enum):
    """What running a request twice would do: nothing, nothing within its dedup window, or damage."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Dedup group: the backends among which duplicates of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(IntEnum):
    """What a fleet update contains."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class BackendState(IntEnum):
    """A backend's state in the list of backends."""

    GONE = 0
    READY = 1
    DRAINING = 2


# ---- settings


def _check(instance: object, minimums: dict[str, float]) -> None:
    """Raises ValueError, naming the first field that is not a number or below its minimum."""
    for name, minimum in minimums.items():
        value = getattr(instance, name)
        if type(value) is float and minimum <= value < inf:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < inf:
            raise ValueError(
                f"{type(instance).__name__}.{name}: {value!r} is not a number of at least {minimum:g}"
            )


def _check_types(instance: object, kinds: dict[str, type]) -> None:
    for name, kind in kinds.items():
        value = getattr(instance, name)
        if not isinstance(value, kind):
            raise ValueError(f"{type(instance).__name__}.{name}: {value!r} is not a {kind.__name__}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with a common latency target (aim_ms), deadline, priority (worth) and effect."""

    aim_ms: float
    deadline_ms: float
    worth: float
    effect: Effect
    group: Group = Group.ALL
    window_ms: float = 0.0
    late_worth: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _check(self, {"aim_ms": 1e-3, "deadline_ms": 1e-3, "worth": 0, "window_ms": 0, "late_worth": 0})
        _check_types(self, {"effect": Effect, "group": Group})


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits of a customer with this plan over all gateways; 0 means no limit."""

    rate: float
    burst: float
    open_limit: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _check(self, _PLAN_MINIMUMS)


_PLAN_MINIMUMS: dict[str, float] = {f.name: 0 for f in fields(Plan) if f.name != "name"}


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment's configuration, as one gateway receives it at start."""

    gateways: int
    index: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int
    start_capacity: float
    cold_ms: float
    fall_multiple: float
    overload_ms: float
    drain_grace_ms: float
    answer_grace_ms: float = 0.0
    zone: int = 0
    tick_ms: float = 1.0
    most_units: float = 1.0
    marks_retry: bool = False
    retry_after: bool = True
    max_retry_after_ms: float = 0.0
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    peer_in_per_s: float = 0.0
    counter: bool = False
    counter_timeout_ms: float = 0.0
    counter_price: float = 0.0
    meter_ms: float = 0.0
    settled_after: bool = False
    report_fields: tuple[str, ...] = ()
    live_classes: int = 0  # how many are in force; the rest serve pending requests only; 0: all

    def __post_init__(self) -> None:
        _check(
            self,
            {
                "gateways": 1,
                "index": 0,
                "max_attempts": 1,
                "start_capacity": 1e-6,
                "cold_ms": 0,
                "fall_multiple": 1e-6,
                "overload_ms": 1e-3,
                "drain_grace_ms": 0,
                "answer_grace_ms": 0,
                "zone": 0,
                "tick_ms": 0,
                "most_units": 1e-6,
                "max_retry_after_ms": 0,
                "meter_ms": 0,
                "peer_in_per_s": 0,
                "counter_timeout_ms": 0,
                "counter_price": 0,
            },
        )
        if self.index >= self.gateways:
            raise ValueError(f"Settings.index: {self.index} is not below gateways ({self.gateways})")
        for name in ("classes", "plans"):
            if not getattr(self, name):
                raise ValueError(f"Settings.{name}: at least one is needed")


MAX_RETIRED_CLASSES = 16  # removed classes still kept; reloads within one deadline remove far fewer


def merge_settings(before: Settings, after: Settings) -> Settings:
    """Returns the new settings, with removed classes appended to its own, the most recent first.

    Classes are identified by name, effect and group; of the same class, the new figures apply.
    """

    def identity(cls: RequestClass) -> tuple[str, Effect, Group]:
        return cls.name, cls.effect, cls.group

    kept = {identity(cls) for cls in after.classes}
    gone = [cls for cls in before.classes if identity(cls) not in kept][:MAX_RETIRED_CLASSES]
    return replace(after, classes=after.classes + tuple(gone), live_classes=len(after.classes))


def previous_indexes(before: tuple[RequestClass, ...], after: tuple[RequestClass, ...]) -> list[int | None]:
    """Returns for each class its index in before: of the same class, else by name, else None."""
    same = {(cls.name, cls.effect, cls.group): n for n, cls in reversed(list(enumerate(before)))}
    named = {cls.name: n for n, cls in reversed(list(enumerate(before)))}
    return [same.get((cls.name, cls.effect, cls.group), named.get(cls.name)) for cls in after]


# ---- events


@dataclass(slots=True)
class BackendEntry:
    """An entry of the list of backends; up_since_ms 0 means long ago."""

    backend: BackendId
    state: BackendState = BackendState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0
    warm_at_ms: float = 0.0  # when it reaches full speed, if it reports that


@dataclass(slots=True)
class FleetUpdate:
    """An update of a pool's list of backends; a backend belongs to one pool."""

    kind: ListKind
    entries: list[BackendEntry]
    version: int = 0
    pool: int = 0


@dataclass(slots=True)
class DiscoveryStatus:
    """Whether discovery answered the last call; its answer follows as a FleetUpdate."""

    answered: bool


@dataclass(slots=True)
class SettingsChanged:
    """New settings, made by merge_settings; pending requests keep the rules they arrived under."""

    settings: Settings


@dataclass(slots=True)
class PlanAssigned:
    """From now on the customer has this plan, and its requests name it; ignored for unknown customers."""

    customer: int
    plan: int


@dataclass(slots=True)
class RequestArrived:
    """A client's request; the gateway has to give one final answer within time_left_ms.

    pool: the pool whose backends may serve it. max_attempts: limit of attempts; 0: that of the settings.
    key: a number for its idempotency key, the same in the client's retries; 0: none given.
    reserved: its units were reserved and are charged to the reservation, not to the bucket.
    priority: its rank if the fleet is overloaded; 0 is the highest.
    """

    request: int
    customer: int
    plan: int
    cls: int
    units: float
    first_gateway: int
    width: int
    time_left_ms: float
    retry: bool = False
    pool: int = 0
    max_attempts: int = 0
    key: int = 0
    reserved: bool = False
    priority: int = 0


@dataclass(slots=True)
class RequestQueued:
    """A client's request waited for this process, and no work was spent on it yet.

    The answer is a Refuse of request 0, which is final, or nothing, and RequestArrived may follow. The fields
    are those of RequestArrived.
    """

    customer: int
    plan: int
    cls: int
    units: float
    width: int
    retry: bool
    waited_ms: float
    key: int = 0


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has started, and is being passed on to the client.

    work_done: the backend has finished its work, only transfer is left; lag_ms as in AttemptEnded.
    """

    request: int
    attempt: int
    backend: BackendId
    elapsed_ms: float
    work_done: bool = False
    lag_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of an attempt, once per attempt; over: the request is concluded.

    lag_ms: the part of elapsed_ms that was not the backend's work, but a delay of the gateway or the transfer
    of a long message. Infinite if that part is unknown: then the time is not used as a sample.
    """

    request: int
    attempt: int
    backend: BackendId
    outcome: Outcome
    elapsed_ms: float
    over: bool
    used_percent: float | None = None
    true_units: float = 0.0
    report: tuple[float, ...] = ()
    lag_ms: float = 0.0


@dataclass(slots=True)
class RequestWithdrawn:
    """The client has gone; no answer is needed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    label: int


@dataclass(slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    backend: BackendId
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    body: bytes


@dataclass(slots=True)
class CounterReply:
    """The answer to one counter call; total is valid with OK."""

    name: int
    outcome: Outcome
    elapsed_ms: float
    total: float


@dataclass(slots=True)
class AttemptSettled:
    """The progress of an attempt of a gateway whose state was handed over.

    An action of the retired gateway, and an event of its successor, where the request number only identifies
    the attempt. outcome None: it was just sent. Attempt -1: the request was refused, and no attempt of it has
    run. cls, plan: names, as the numbers may differ between the two. work, pile, due_at: values at the time
    of the send: ms on an idle backend, the backend's queueing factor, and the time when it is overdue.
    units: true units minus the estimate, only if true_units is above 0.
    """

    request: int
    attempt: int
    outcome: Outcome | None = None
    backend: BackendId = 0
    up_since_ms: float = 0.0
    cls: str = ""
    sent_at: float = 0.0
    work: float = 0.0
    pile: float = 1.0
    due_at: float = 0.0
    elapsed_ms: float = 0.0
    lag_ms: float = 0.0
    customer: int = 0
    plan: str = ""
    units: float = 0.0
    true_units: float = 0.0
    key: int = 0
    group: tuple[Group, int] | None = None


# ---- events of an ingress that knows its peers


@dataclass(slots=True)
class IngressMembership:
    """Number of ingresses including this one, and of those that it receives messages from."""

    ingresses: int
    reachable: int


@dataclass(slots=True)
class PeerLoad:
    """Current pending attempts of another ingress by backend; complete: the list is complete."""

    origin: str
    out: dict[BackendId, int]
    complete: bool = False


@dataclass(slots=True)
class LeasesDue:
    """Quota grants may have arrived, or time has passed, so the leases have to be checked."""


@dataclass(slots=True)
class BackendSuspected:
    """A backend has not sent heartbeats for a while (silent), or sends them again."""

    backend: BackendId
    silent: bool


Event = (
    FleetUpdate
    | IngressMembership
    | PeerLoad
    | LeasesDue
    | BackendSuspected
    | DiscoveryStatus
    | SettingsChanged
    | PlanAssigned
    | RequestArrived
    | RequestQueued
    | ResponseStarted
    | AttemptEnded
    | RequestWithdrawn
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | CounterReply
    | AttemptSettled
)


# ---- actions


@dataclass(slots=True)
class Send:
    """Starts an attempt; timeout_ms 0: until the client gives up."""

    request: int
    backend: BackendId
    timeout_ms: float = 0.0


@dataclass(slots=True)
class Cancel:
    """Stops waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; a retry by the client is safe."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Requests TimerFired after after_ms; cancelled when the given request ends, 0 for none."""

    after_ms: float
    label: int
    request: int = 0


@dataclass(slots=True)
class Probe:
    """Probes a backend."""

    backend: BackendId


@dataclass(slots=True)
class SendToPeer:
    """Sends bytes to one gateway, or to all others (None)."""

    gateway: int | None
    body: bytes


@dataclass(slots=True)
class CounterAdd:
    """Adds to a named total of the shared counter; CounterReply returns the total."""

    name: int
    amount: float
    ttl_ms: float


@dataclass(slots=True)
class Log:
    """A log line for operators; rare state changes only."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | SendToPeer | CounterAdd | Log | AttemptSettled
Actions = list[Action]
