"""What a gateway is told and what it may do: settings, events, actions. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from enum import Enum, IntEnum

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
        """True where the outcome proves that the backend did not run the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.WRONG_INSTANCE)


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which backends drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(IntEnum):
    """What a fleet update holds."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class BackendState(IntEnum):
    """What the list of backends knows of one."""

    GONE = 0
    READY = 1
    DRAINING = 2


# ---- settings


def _check(what: object, at_least: dict[str, float]) -> None:
    """Raise ValueError naming the first field that is not a number of at least the given size."""
    for name, least in at_least.items():
        value = getattr(what, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < float("inf"):
            raise ValueError(f"{type(what).__name__}.{name}: {value!r} is not a number of at least {least:g}")


def _check_types(what: object, kinds: dict[str, type]) -> None:
    for name, kind in kinds.items():
        value = getattr(what, name)
        if not isinstance(value, kind):
            raise ValueError(f"{type(what).__name__}.{name}: {value!r} is not a {kind.__name__}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request."""

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
    """What a customer of this plan may use over all gateways; 0 means no such limit."""

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
        _check(self, {f.name: 0 for f in fields(self) if f.name != "name"})


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment as one gateway is told it at start."""

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
    live_classes: int = 0  # the first so many are in force, those behind only for what is open; 0: all are

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


MAX_RETIRED_CLASSES = 16  # removed classes still kept: far more than reloads within one deadline remove


def merge_settings(before: Settings, after: Settings) -> Settings:
    """The new settings, with the classes that are gone kept behind its own, the latest first.

    A class is the same one if name, effect and group are; with other figures its new ones hold.
    """

    def identity(cls: RequestClass) -> tuple[str, Effect, Group]:
        return cls.name, cls.effect, cls.group

    kept = {identity(cls) for cls in after.classes}
    gone = [cls for cls in before.classes if identity(cls) not in kept][:MAX_RETIRED_CLASSES]
    return replace(after, classes=after.classes + tuple(gone), live_classes=len(after.classes))


def previous_indexes(before: tuple[RequestClass, ...], after: tuple[RequestClass, ...]) -> list[int | None]:
    """For each class its number in before: the same one, else one of its name, else None."""
    same = {(cls.name, cls.effect, cls.group): n for n, cls in reversed(list(enumerate(before)))}
    named = {cls.name: n for n, cls in reversed(list(enumerate(before)))}
    return [same.get((cls.name, cls.effect, cls.group), named.get(cls.name)) for cls in after]


# ---- events


@dataclass(slots=True)
class BackendEntry:
    """One line of the list of backends; up_since_ms 0 means long ago."""

    backend: BackendId
    state: BackendState = BackendState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0
    warm_at_ms: float = 0.0  # when it is as quick as ever, where it tells so itself


@dataclass(slots=True)
class FleetUpdate:
    """News from the list of a pool's backends; a backend belongs to one pool."""

    kind: ListKind
    entries: list[BackendEntry]
    version: int = 0
    pool: int = 0


@dataclass(slots=True)
class DiscoveryStatus:
    """Whether discovery was heard by the last call to it; what it said comes as a FleetUpdate."""

    heard: bool


@dataclass(slots=True)
class SettingsChanged:
    """New settings, made by merge_settings; what is open keeps the rules that it came under."""

    settings: Settings


@dataclass(slots=True)
class PlanAssigned:
    """From now on the customer has this plan, and its requests name it; nothing where it is not known yet."""

    customer: int
    plan: int


@dataclass(slots=True)
class RequestArrived:
    """A client's try; the gateway owes it one final answer within time_left_ms.

    pool: whose backends may take it. max_attempts: at most so many, 0 for as many as the settings say.
    key: a number for what nodes know a keyed request by, the same in the client's retries; 0: not told.
    reserved: its units are kept ahead for it and taken off that; the bucket bears none of them.
    priority: its rank where the fleet is pressed, 0 the highest.
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
    """A client's try has waited so long for this process, before any work was spent on it.

    The answer is a Refuse of request 0: its final answer; or nothing: RequestArrived may follow. The fields
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
    """A streamed answer has begun; from now on it is the client's.

    work_done: the backend has done its work, and the rest is the answer's way; lag_ms as in AttemptEnded.
    """

    request: int
    attempt: int
    backend: BackendId
    elapsed_ms: float
    work_done: bool = False
    lag_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The one outcome of an attempt; over: the request is concluded.

    lag_ms: the part of elapsed_ms that was not the backend's work: the gateway itself was late, or a long
    message was on its way. Infinite where that part can't be told: then its time is no sign of anything.
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
    """The client left; nothing more is owed."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    label: int


@dataclass(slots=True)
class ProbeEnded:
    """What one probe found."""

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
    """What has become of an attempt at a gateway whose state another one has.

    An action of the retired gateway, and an event of the other: its number of the request means nothing
    there but the same attempt. outcome None: it has been sent just now. Attempt -1: the request was refused,
    and nothing of it has run. cls, plan: by name, as the two may number them differently. work, pile and
    due_at as they were at the send, in milliseconds of an idle backend's time, as a multiple, and as a time.
    units: the true ones less the guess, only with true_units over 0.
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


# ---- events of the whole gateway, where ingresses know one another


@dataclass(slots=True)
class IngressMembership:
    """How many ingresses there are, this one among them, and how many of them it hears."""

    ingresses: int
    heard: int


@dataclass(slots=True)
class PeerLoad:
    """Open attempts of another ingress by backend, as they are now; whole: it has no others."""

    origin: str
    out: dict[BackendId, int]
    whole: bool = False


@dataclass(slots=True)
class LeasesDue:
    """Grants of the fleet's quotas may have come, or time has gone by."""


@dataclass(slots=True)
class BackendSuspected:
    """A backend has not called for a while, or does again."""

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
    """Start an attempt; timeout_ms 0: until the client gives up."""

    request: int
    backend: BackendId
    timeout_ms: float = 0.0


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, coming back is harmless."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for TimerFired after so long; request: whose end ends the timer too, 0 for none."""

    after_ms: float
    label: int
    request: int = 0


@dataclass(slots=True)
class Probe:
    """Examine a backend."""

    backend: BackendId


@dataclass(slots=True)
class SendToPeer:
    """Send bytes to one gateway, or to all others (None)."""

    gateway: int | None
    body: bytes


@dataclass(slots=True)
class CounterAdd:
    """Add to a named number of the shared counter and learn its total."""

    name: int
    amount: float
    ttl_ms: float


@dataclass(slots=True)
class Log:
    """A line for the operators; rare state changes only."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | SendToPeer | CounterAdd | Log | AttemptSettled
Actions = list[Action]
