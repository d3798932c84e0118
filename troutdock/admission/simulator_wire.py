"""Encoding of the simulator's binary protocol: frames, records and the settings text (no I/O)."""

from __future__ import annotations

import math
from collections.abc import Callable
from struct import Struct
from typing import Any

from troutdock.admission.interface import (
    Action,
    ResponseStarted,
    AttemptEnded,
    BackendEntry,
    BackendState,
    Cancel,
    CounterAdd,
    CounterReply,
    Effect,
    Event,
    Fail,
    FleetUpdate,
    Group,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Plan,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestWithdrawn,
    Send,
    SetTimer,
    Settings,
    AttemptSettled,
    SendToPeer,
    TimerFired,
)


class WireError(ValueError):
    """Malformed input; the message states what is wrong and where."""


PROVISION, STOPPED = 1000, 1080
BATCH_HEAD = Struct("<IdI")
REPLY_HEAD = Struct("<I")
RECORD = Struct("<HI")
INSTANCE = Struct("<I")
_PROVISION = Struct("<IQI")
_VIEW = Struct("<IBQI")
_ENTRY = Struct("<IHHHHBfd")
_ACCEPT = Struct("<IQfffBdQHB")
_BEGUN = Struct("<IQHIHd")
_ENDED = Struct("<IQHIHBdBHHB")
_WITHDRAWN = Struct("<IQ")
_FIRED = Struct("<IQ")
_PROBED = Struct("<IIHBdB")
_PEER = Struct("<IHH")
_COUNTED = Struct("<IQBdf")

_OUT_SEND = Struct("<HIIQdIH")
_OUT_CANCEL = Struct("<HIIQH")
_OUT_REFUSE = Struct("<HIIQd")
_OUT_FAIL = Struct("<HIIQ")
_OUT_TIMER = Struct("<HIIdQ")
_OUT_PROBE = Struct("<HIIIH")
_OUT_TELL = Struct("<HIIIH")
_OUT_COUNT = Struct("<HIIQfd")
_OUT_TEXT = Struct("<HIIH")
LOG_CODE, FAULT_CODE = 1030, 1090
ALL_PEERS = 0xFFFFFFFF
RETRY_BIT = 2


def _backend_id(address: int, port: int) -> int:
    return address << 16 | port


def _unpack_fixed(shape: Struct, body: bytes, what: str) -> tuple[Any, ...]:
    """Unpacks a record without a variable part."""
    if len(body) != shape.size:
        raise WireError(f"{what}: {len(body)} bytes of fields, {shape.size} expected")
    return shape.unpack(body)


def _unpack_counted(shape: Struct, body: bytes, item_size: int, what: str) -> tuple[tuple[Any, ...], bytes]:
    """Unpacks a record whose last fixed field counts the items that follow."""
    if len(body) < shape.size:
        raise WireError(f"{what}: {len(body)} bytes of fields, at least {shape.size} expected")
    head = shape.unpack_from(body)
    rest = body[shape.size :]
    if len(rest) != head[-1] * item_size:
        raise WireError(f"{what}: {len(rest)} bytes follow, {head[-1]} items of {item_size} bytes announced")
    return head, rest


def _check_number(value: float, what: str, minimum: float = 0.0) -> float:
    if not (math.isfinite(value) and value >= minimum):
        raise WireError(f"{what}: {value!r} is not a finite number of at least {minimum:g}")
    return value


def _parse_enum(kind: Callable[[Any], Any], value: Any, what: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{what}: {value!r} is unknown") from None


def _unpack_floats(data: bytes, what: str) -> tuple[float, ...]:
    values = Struct(f"<{len(data) // 4}f").unpack(data)
    for value in values:
        _check_number(value, what, -math.inf)
    return values


def _read_view(body: bytes) -> Event:
    (_, form, serial, _), rest = _unpack_counted(_VIEW, body, _ENTRY.size, "VIEW")
    entries = []
    for address, port, zone, kind, cell, state, size, up_since in _ENTRY.iter_unpack(rest):
        ready = _parse_enum(BackendState, state, "VIEW availability")
        entries.append(
            BackendEntry(
                _backend_id(address, port),
                ready,
                zone,
                kind,
                cell,
                _check_number(size, "VIEW size"),
                _check_number(up_since, "VIEW up_since"),
            )
        )
    return FleetUpdate(_parse_enum(ListKind, form, "VIEW form"), entries, serial)


def _read_accept(body: bytes) -> Event:
    _, call, units, first, width, cls, time_left, customer, plan, bits = _unpack_fixed(
        _ACCEPT, body, "ACCEPT"
    )
    return RequestArrived(
        call,
        customer,
        plan,
        cls,
        _check_number(units, "ACCEPT price_units"),
        int(_check_number(first, "ACCEPT set_from")),
        int(_check_number(width, "ACCEPT width", 1)),
        _check_number(time_left, "ACCEPT time_left"),
        bool(bits & RETRY_BIT),
    )


def _read_begun(body: bytes) -> Event:
    _, call, attempt, address, port, elapsed = _unpack_fixed(_BEGUN, body, "BEGUN")
    return ResponseStarted(call, attempt, _backend_id(address, port), _check_number(elapsed, "BEGUN spent"))


def _read_ended(body: bytes) -> Event:
    head, rest = _unpack_counted(_ENDED, body, 4, "COMPLETED")
    _, call, attempt, address, port, verdict, elapsed, over, used, units, _ = head
    return AttemptEnded(
        call,
        attempt,
        _backend_id(address, port),
        _parse_enum(Outcome, verdict, "COMPLETED verdict"),
        _check_number(elapsed, "COMPLETED spent"),
        bool(over),
        used - 1.0 if used else None,
        float(units),
        _unpack_floats(rest, "COMPLETED telemetry"),
    )


def _read_withdrawn(body: bytes) -> Event:
    return RequestWithdrawn(_unpack_fixed(_WITHDRAWN, body, "WITHDRAWN")[1])


def _read_fired(body: bytes) -> Event:
    return TimerFired(_unpack_fixed(_FIRED, body, "DEADLINE_HIT")[1])


def _read_probed(body: bytes) -> Event:
    (_, address, port, verdict, elapsed, _), rest = _unpack_counted(_PROBED, body, 4, "STATUS_BACK")
    return ProbeEnded(
        _backend_id(address, port),
        _parse_enum(Outcome, verdict, "STATUS_BACK verdict"),
        _check_number(elapsed, "STATUS_BACK spent"),
        _unpack_floats(rest, "STATUS_BACK telemetry"),
    )


def _read_peer(body: bytes) -> Event:
    (_, author, _), rest = _unpack_counted(_PEER, body, 1, "MESSAGE")
    return PeerMessage(author, rest)


def _read_counted(body: bytes) -> Event:
    _, key, verdict, elapsed, reading = _unpack_fixed(_COUNTED, body, "LEDGER_REPLY")
    outcome = _parse_enum(Outcome, verdict, "LEDGER_REPLY verdict")
    if outcome is Outcome.OK:
        _check_number(reading, "LEDGER_REPLY reading", -math.inf)
    return CounterReply(key, outcome, _check_number(elapsed, "LEDGER_REPLY spent"), reading)


_READERS: dict[int, Callable[[bytes], Event]] = {
    1050: _read_view,
    1060: _read_accept,
    1070: _read_begun,
    1030: _read_ended,
    1020: _read_withdrawn,
    1090: _read_fired,
    1010: _read_probed,
    1040: _read_peer,
    1100: _read_counted,
}


def read_event(code: int, body: bytes, settings: Settings) -> Event:
    """Decodes the event of a record that neither starts nor stops an instance."""
    reader = _READERS.get(code)
    if reader is None:
        raise WireError(f"unknown event code {code}")
    event = reader(body)
    if isinstance(event, RequestArrived):
        for what, number, known in (
            ("band", event.cls, len(settings.classes)),
            ("tariff", event.plan, len(settings.plans)),
        ):
            if number >= known:
                raise WireError(f"ACCEPT {what}: {number} is not below {known}")
    return event


def read_provision(body: bytes) -> tuple[int, Settings]:
    """Decodes the seed and the settings of an instance to start."""
    (_, seed, _), text = _unpack_counted(_PROVISION, body, 1, "PROVISION")
    try:
        return seed, parse_settings(text.decode())
    except UnicodeDecodeError:
        raise WireError("PROVISION settings: not UTF-8 text") from None


def write_action(instance: int, action: Action) -> bytes:
    """Encodes an action as a record."""
    match action:
        case Send(call, backend, timeout):
            return _OUT_SEND.pack(1070, 26, instance, call, timeout, backend >> 16, backend & 0xFFFF)
        case Refuse(call, retry_after):
            return _OUT_REFUSE.pack(1100, 20, instance, call, retry_after)
        case CounterAdd(name, amount, ttl):
            return _OUT_COUNT.pack(1020, 24, instance, name, amount, ttl)
        case SetTimer(after, label):
            return _OUT_TIMER.pack(1050, 20, instance, after, label)
        case Fail(call):
            return _OUT_FAIL.pack(1010, 12, instance, call)
        case Cancel(call, attempt):
            return _OUT_CANCEL.pack(1080, 14, instance, call, attempt)
        case Probe(backend):
            return _OUT_PROBE.pack(1000, 10, instance, backend >> 16, backend & 0xFFFF)
        case SendToPeer(gateway, message):
            target = ALL_PEERS if gateway is None else gateway
            return _OUT_TELL.pack(1120, 10 + len(message), instance, target, len(message)) + message
        case Log(text):
            return write_text(LOG_CODE, instance, text)
        case AttemptSettled():
            raise WireError("the simulator protocol has no record for AttemptSettled actions")


def write_text(code: int, instance: int, text: str) -> bytes:
    """Encodes a log line or a fault as a record."""
    data = text.encode()[:60_000]
    return _OUT_TEXT.pack(code, 6 + len(data), instance, len(data)) + data


# ---- settings

_EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}


class _SettingsReader:
    """Typed look-ups in the settings text; errors name the missing or malformed key."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), 1):
            key, equals, value = line.partition("=")
            if not equals:
                raise WireError(f"settings line {number}: no '=' in {line[:40]!r}")
            self.values[key] = value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            raise WireError(f"settings: {key} is missing")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        value = self.text(key, None if default is None else str(default))
        try:
            return float(value)
        except ValueError:
            raise WireError(f"settings: {key}: {value!r} is not a number") from None

    def integer(self, key: str, default: int | None = None) -> int:
        value = self.number(key, default)
        if not value.is_integer():
            raise WireError(f"settings: {key}: {value!r} is not a whole number")
        return int(value)

    def boolean(self, key: str) -> bool:
        value = self.text(key, "false")
        if value not in ("true", "false"):
            raise WireError(f"settings: {key}: {value!r} is neither true nor false")
        return value == "true"

    def prefixes(self, key: str) -> list[str]:
        return [f"{key}.{i}." for i in range(self.integer(f"{key}.count"))]


def parse_settings(text: str) -> Settings:
    """Parses the settings text; unknown keys are ignored."""
    reader = _SettingsReader(text)
    classes = []
    for c in reader.prefixes("categories"):
        effect = reader.text(c + "idempotency")
        if effect not in _EFFECTS:
            raise WireError(f"settings: {c}idempotency: {effect!r} is unknown")
        classes.append(
            RequestClass(
                reader.number(c + "aim"),
                reader.number(c + "hard_limit"),
                reader.number(c + "points"),
                _EFFECTS[effect],
                _parse_enum(Group, reader.text(c + "group", "all"), f"settings: {c}group"),
                reader.number(c + "dedup_window", 0),
                reader.number(c + "late_worth", 0),
                reader.text(c + "name", ""),
            )
        )
    plans = [
        Plan(
            reader.number(p + "per_second"),
            reader.number(p + "peak_units"),
            reader.integer(p + "at_once", 0),
            reader.number(p + "price", 1),
            reader.number(p + "over_worth", 0),
            reader.number(p + "excess_cost", 0),
            reader.number(p + "cap_rate", 0),
            reader.number(p + "ceiling_burst", 0),
            reader.number(p + "tolerance", 0),
            reader.text(p + "name", ""),
        )
        for p in reader.prefixes("plans")
    ]
    reported = reader.text("telemetry.via", "off") != "off" and reader.text("telemetry.fields", "")
    return Settings(
        gateways=reader.integer("balancers"),
        index=reader.integer("index"),
        classes=tuple(classes),
        plans=tuple(plans),
        max_attempts=reader.integer("permissions.most_tries"),
        start_capacity=reader.number("safety.start_capacity"),
        cold_ms=reader.number("safety.cold"),
        fall_multiple=reader.number("safety.fall_multiple"),
        overload_ms=reader.number("safety.overload_for"),
        drain_grace_ms=reader.number("safety.stop_sending_within"),
        answer_grace_ms=reader.number("safety.grace_to_answer", 0),
        zone=reader.integer("locality", 0),
        tick_ms=reader.number("quantum", 1),
        most_units=reader.number("extra.units_top", 1),
        marks_retry=reader.boolean("clients.marks_retry"),
        retry_after=reader.boolean("permissions.retry_after"),
        max_retry_after_ms=reader.number("permissions.max_retry_after", 0),
        second_copies=reader.boolean("permissions.parallel_tries"),
        cancel=reader.boolean("permissions.cancel"),
        probes=reader.boolean("permissions.probes"),
        peers=reader.boolean("permissions.may_tell"),
        peer_in_per_s=reader.number("extra.peer_intake", 0),
        counter=reader.boolean("extra.has_counter"),
        counter_timeout_ms=reader.number("extra.count_wait", 0),
        counter_price=reader.number("extra.counter_price", 0),
        meter_ms=reader.number("extra.meter", 0),
        settled_after=reader.boolean("extra.cost_after"),
        report_fields=tuple(reported.split(",")) if reported else (),
    )
