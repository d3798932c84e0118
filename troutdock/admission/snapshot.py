"""Exports a gateway's state as plain data and restores it in a successor (no I/O).

Theory of operation. At any time one gateway owns each budget (buckets, ceilings, cold backends):

    owner     take               -> retired; the successor owns the state
    retired   admits nothing new; pending requests continue, with further attempts to warm backends only, and
              the progress of each attempt is reported to the successor by an action, AttemptSettled
    retired   resume             -> owner again, if the successor never took the state or has died; if it has
                                    died, ceilings start empty, as its usage is unknown
    new       restore            -> owner of the state; pending attempts count as load until settled
    owner     forget             -> the predecessor has ended; attempts not settled by then are dropped

The state is self-describing: each section lists its fields, and sections may be missing. So a program can
restore the state of an older or a newer version; unknown names are skipped and reported. Restoring is
atomic: on ValueError the gateway is unchanged. The list of backends and the settings are the gateway's own,
not taken from the state. All times are Unix time in milliseconds, so the time between take and restore
counts as elapsed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from copy import copy
from math import inf
from typing import Any

from troutdock.admission.gateway import Gateway
from troutdock.admission.backend_health import OpenAttempt, Slowness
from troutdock.admission.interface import Group
from troutdock.admission.customer_quota import Customer
from troutdock.admission.request_records import MAX_KEYS
from troutdock.admission.state_handover import adopt_attempt

VERSION = 2
OLDEST = 2  # oldest readable version: earlier ones have rows without a list of fields
_NUMBERS = (
    "even",
    "share",
    "tokens",
    "cap_tokens",
    "filled_at",
    "end_of_queue_time",
    "answers",
    "unit_sum",
    "unit_squares",
    "debt",
    "store",
    "told_at",
    "followed_at",
)  # of a customer
_CUSTOMER = ("number", "plan", "dry", "appointments", *_NUMBERS)
_POOL = ("number", "slowness", "retries", "unit_ms", "mean_work")
_BACKEND = ("number", "up_since", "heard_at", "cold_turn", "cold_left", "slowness")
_ATTEMPT = ("backend", "up_since", "request", "attempt", "sent_at", "work", "pile", "class", "due_at")
_BOOKED = ("key", "at", "group", "requests")
_GATEWAY = ("started", "asking", "crowded_at")
_SECTIONS = {
    "customers": _CUSTOMER,
    "pools": _POOL,
    "backends": _BACKEND,
    "attempts": _ATTEMPT,
    "booked": _BOOKED,
}


def take(gateway: Gateway) -> dict[str, Any]:
    """Returns the state and retires the gateway: it admits nothing new from now on."""
    gateway.retired = True
    rows: dict[str, list[list[Any]]] = {
        "customers": [
            [
                c.number,
                c.plan.name,
                c.dry,
                list(c.appointments or ()),
                *(getattr(c, name) for name in _NUMBERS),
            ]
            for c in gateway.customers.values()
        ],
        "pools": [
            [number, _slowness(p.slowness), p.retries, p.unit_ms, p.mean_work]
            for number, p in gateway.pools.items()
        ],
        "backends": [
            [
                number,
                b.entry.up_since_ms,
                b.heard_at,
                b.cold_turn,
                b.cold_left,
                [_slowness(s) for s in b.slowness],
            ]
            for number, b in gateway.backends.items()
        ],
        "attempts": [
            [number, b.entry.up_since_ms, *key, *sent]
            for number, b in gateway.backends.items()
            for key, sent in b.out.items()
        ],
        "booked": [
            [key, at, None if group is None else [group[0].value, group[1]], requests]
            for key, (at, group, requests) in gateway.keyed.entries.items()
        ],
    }
    state = {
        "version": VERSION,
        "classes": [c.name for c in gateway.settings.classes],
        **{name: getattr(gateway, name) for name in _GATEWAY},
        **{name: {"fields": list(fields), "rows": rows[name]} for name, fields in _SECTIONS.items()},
    }
    for customer in gateway.customers.values():
        customer.debt = 0.0  # the successor reports it
    return state


def resume(gateway: Gateway, now: float, untouched: Any = None) -> None:
    """Makes a retired gateway the owner again, with empty ceilings, as the successor may have spent them.

    Also used by a gateway that has waited for a predecessor's state in vain, whose usage is unknown.

    Args:
        untouched: the state that was taken, if the successor is known to have spent nothing of it.
    """
    gateway.retired = False
    debts: dict[int, float] = {}
    if untouched is not None:
        at = {name: n for n, name in enumerate(_CUSTOMER)}
        debts = {row[at["number"]]: row[at["debt"]] for row in untouched["customers"]["rows"]}
    if untouched is None:
        gateway.started = now  # usage of new customers is unknown too
    for customer in gateway.customers.values():
        if untouched is None:
            customer.cap_tokens, customer.filled_at = 0.0, max(customer.filled_at, now)
        customer.debt += debts.get(customer.number, 0.0)


def forget(gateway: Gateway) -> None:
    """Drops the predecessor's unsettled attempts from the load, once it has ended."""
    numbers = {*gateway.inherited.values()}
    gateway.inherited.clear()
    for backend in gateway.backends.values():
        for key in [key for key in backend.out if key in numbers]:
            backend.load -= backend.out.pop(key)[1]
        backend.load = max(0.0, backend.load) if backend.out else 0.0


class _Unknown:
    """Collects the names that this program does not know, or misses, in a state."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def rows(self, state: dict[str, Any], section: str) -> Iterator[dict[str, Any]]:
        """Yields the rows of a section as dicts of the known fields."""
        known = _SECTIONS[section]
        if section not in state:
            self.names.append(f"no {section}")
            return
        field_names = [str(name) for name in state[section]["fields"]]
        self.names += [f"{section}.{name}" for name in field_names if name not in known]
        self.names += [f"no {section}.{name}" for name in known if name not in field_names]
        for row in state[section]["rows"]:
            yield {name: value for name, value in zip(field_names, row, strict=True) if name in known}


def restore(gateway: Gateway, state: Any) -> list[str]:
    """Restores a state.

    Returns:
        Names in the state that are unknown here and were skipped, and "no ..." for names that it lacks.

    Raises:
        ValueError: it is not a valid state; the gateway is unchanged.
    """
    unknown = _Unknown()
    try:
        if not _number(state["version"]) >= OLDEST:
            raise ValueError(
                f"state version {state['version']!r} is not supported; the oldest supported one is {OLDEST}"
            )
        names = [str(name) for name in state["classes"]]
        unknown.names += sorted(
            str(name) for name in state if name not in ("version", "classes", *_GATEWAY, *_SECTIONS)
        )
        came_from = [names.index(c.name) if c.name in names else None for c in gateway.settings.classes]
        customers = {
            c.number: c
            for row in unknown.rows(state, "customers")
            if (c := _customer(gateway, row)) is not None
        }
        pools = [_pool(row, names) for row in unknown.rows(state, "pools")]
        backends = [_backend(row, names) for row in unknown.rows(state, "backends")]
        attempts = [_attempt(row, names) for row in unknown.rows(state, "attempts")]
        booked = {
            int(row["key"]): (
                _number(row["at"]),
                _read_group(row["group"]),
                int(row.get("requests", 2)),
            )  # 2: it may have run
            for row in unknown.rows(state, "booked")
        }
        figures = {name: _number(state[name]) for name in _GATEWAY if name in state}
    except (KeyError, TypeError, AttributeError, IndexError, OverflowError) as error:
        raise ValueError(f"not a gateway state: {error!r}") from error
    for name, value in figures.items():
        setattr(gateway, name, min(1.0, value) if name == "asking" else value)
    gateway.customers.update(customers)
    for key in list(booked)[-MAX_KEYS:]:
        gateway.keyed.entries[key] = booked[key]
    for row in pools:
        pool = gateway.pool(row["number"])
        pool.max_wait_for = []
        for name in row.keys() & {"slowness", "retries", "mean_work"}:
            setattr(pool, name, row[name])
        if "unit_ms" in row:
            pool.unit_ms = [
                own if at is None else row["unit_ms"][at]
                for own, at in zip(pool.unit_ms, came_from, strict=True)
            ]
    for row in backends:
        known = gateway.backends.get(row["number"])
        if known is not None and known.entry.up_since_ms == row["up_since"]:
            for name in row.keys() & {"heard_at", "cold_turn", "cold_left"}:
                setattr(known, name, row[name])
            if "slowness" in row:
                known.slowness = [
                    own if at is None else copy(row["slowness"][at])
                    for own, at in zip(known.slowness, came_from, strict=True)
                ]
    for number, up_since, predecessor_key, (at, work, pile, cls, due) in attempts:
        known, own = gateway.backends.get(number), adopt_attempt(gateway, *predecessor_key)
        if known is not None and known.entry.up_since_ms == up_since:
            known.out[own] = at, work, pile, came_from.index(cls) if cls in came_from else 0, due
            known.load += work
    return unknown.names


def _pool(row: dict[str, Any], names: list[str]) -> dict[str, Any]:
    read: dict[str, Any] = {"number": int(row["number"])}
    if "slowness" in row:
        read["slowness"] = _read_slowness(row["slowness"])
    if "retries" in row:
        read["retries"] = _number(row["retries"])
    if "mean_work" in row:
        read["mean_work"] = _number(row["mean_work"], 1e-6)
    if "unit_ms" in row:
        read["unit_ms"] = _per_class([_number(ms, 1e-6) for ms in row["unit_ms"]], names)
    return read


def _backend(row: dict[str, Any], names: list[str]) -> dict[str, Any]:
    read = {name: _number(value) for name, value in row.items() if name not in ("number", "slowness")}
    read["number"], read["up_since"] = int(row["number"]), _number(row["up_since"])
    if "slowness" in row:
        return {**read, "slowness": _per_class([_read_slowness(s) for s in row["slowness"]], names)}
    return read


def _attempt(row: dict[str, Any], names: list[str]) -> tuple[int, float, tuple[int, int], OpenAttempt]:
    cls = int(row["class"])
    if not 0 <= cls < len(names):
        raise ValueError(f"attempt of class {cls}, but the state has {len(names)} classes")
    sent = (
        _number(row["sent_at"]),
        _number(row["work"], 0),
        _number(row["pile"], 1e-6),
        cls,
        _number(row["due_at"]),
    )
    return int(row["backend"]), _number(row["up_since"]), (int(row["request"]), int(row["attempt"])), sent


def _per_class(values: list[Any], names: list[str]) -> list[Any]:
    if len(values) != len(names):
        raise ValueError(f"{len(values)} values for {len(names)} classes: {', '.join(names)}")
    return values


def _number(raw: Any, least: float = -inf) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not raw >= least:
        raise ValueError(f"{raw!r} is not a number of at least {least}")
    return raw


def _read_group(raw: Any) -> tuple[Group, int] | None:
    return None if raw is None else (Group(raw[0]), int(raw[1]))


def _slowness(slowness: Slowness) -> list[float]:
    return [slowness.value, slowness.at, slowness.memory_ms]


def _read_slowness(raw: Any) -> Slowness:
    slowness = Slowness()
    value, at, memory_ms = raw
    slowness.value, slowness.at, slowness.memory_ms = _number(value, 0), _number(at), _number(memory_ms, 1e-6)
    return slowness


def _customer(gateway: Gateway, row: dict[str, Any]) -> Customer | None:
    """Returns None if its plan no longer exists."""
    plan = next((p for p in gateway.settings.plans if p.name == row["plan"]), None)
    if plan is None:
        return None
    customer = Customer(plan, 1, 0.0, int(row["number"]))
    for name in _NUMBERS:
        if name in row:
            setattr(customer, name, _number(row[name]))
    if not 0 < customer.even <= 1 or not 0 < customer.share <= 1:
        raise ValueError(f"customer with shares {customer.even!r} and {customer.share!r} outside (0, 1]")
    customer.dry = bool(row.get("dry"))
    appointments = row.get("appointments")
    customer.appointments = deque(_number(at) for at in appointments) if appointments else None
    customer.cap_tokens = min(customer.cap_tokens, plan.ceiling_burst * customer.even)
    return customer
