"""What a gateway knows, as plain data for JSON, and a gateway that goes on from it (no I/O).

Theory of operation. One gateway owns each budget (buckets, ceilings, cold backends) at any time:

    owner     take               -> retired, and its state is the other's
    retired   lets nothing new in; what is open goes on, further attempts go to warm backends only
    retired   resume             -> owner again: the other has died; ceilings start empty, as what it spent is
                                    unknown
    fresh     restore            -> owner of the state

Restoring is whole or not at all: ValueError leaves the gateway as it was. What the gateway itself knows
better (which backends there are, its settings) is not taken from the state. All times are Unix time in
milliseconds, so what goes by between take and restore counts as time gone by.
"""

from __future__ import annotations

from collections import deque
from math import inf
from typing import Any

from tamarindfold.choice import KEYS, Customer, Gateway, Slowness
from tamarindfold.interface import Group

VERSION = 1
_NUMBERS = ("even", "share", "tokens", "cap_tokens", "filled_at", "end_of_queue_time", "answers", "unit_sum",
            "unit_squares", "debt", "store", "told_at", "followed_at")  # of a customer


def take(gateway: Gateway) -> dict[str, Any]:
    """The state; the gateway lets nothing new in from here on."""
    gateway.retired = True
    state = {
        "version": VERSION, "classes": [c.name for c in gateway.settings.classes],
        "started": gateway.started, "asking": gateway.asking, "crowded_at": gateway.crowded_at,
        "customers": [[c.number, c.plan.name, c.dry, list(c.appointments or ()),
                       *(getattr(c, name) for name in _NUMBERS)] for c in gateway.customers.values()],
        "pools": [[number, _slowness(p.slowness), p.retries, p.unit_ms, p.mean_work]
                  for number, p in gateway.pools.items()],
        "backends": [[number, b.entry.up_since_ms, b.heard_at, b.cold_turn, b.cold_left,
                      [_slowness(s) for s in b.slowness]] for number, b in gateway.backends.items()],
        "booked": [[key, at, None if group is None else [group[0].value, group[1]], requests]
                   for key, (at, group, requests) in gateway.booked.first.items()]}
    for customer in gateway.customers.values():
        customer.debt = 0.0  # the other reports it
    return state


def resume(gateway: Gateway) -> None:
    """The other has died: go on, and spend nothing of a ceiling that it may have spent."""
    gateway.retired = False
    for customer in gateway.customers.values():
        customer.cap_tokens = 0.0


def restore(gateway: Gateway, state: Any) -> None:
    """Go on from a state; ValueError if it is none, and then nothing is taken from it."""
    try:
        if state["version"] != VERSION:
            raise ValueError(f"a state of version {state['version']!r}, not {VERSION}")
        names = [str(name) for name in state["classes"]]
        came_from = [names.index(c.name) if c.name in names else None for c in gateway.settings.classes]
        customers = {c.number: c for raw in state["customers"] if (c := _customer(gateway, raw)) is not None}
        pools = [(int(number), _read_slowness(slow), _number(retries), [_number(ms, 1e-6) for ms in unit_ms],
                  _number(work, 1e-6)) for number, slow, retries, unit_ms, work in state["pools"]]
        backends = [(int(number), [_number(t) for t in times], [_read_slowness(s) for s in slow])
                    for number, *times, slow in state["backends"]]
        booked = {int(key): (_number(at), _read_group(group), int(requests))
                  for key, at, group, requests in state["booked"][-KEYS:]}
        started, asking, crowded_at = (_number(state[n]) for n in ("started", "asking", "crowded_at"))
        for *_, unit_ms, _ in pools:
            _check_length(unit_ms, names)
        for _, times, slow in backends:
            _check_length(slow, names)
            _check_length(times, ["up", "heard", "turn", "left"])
    except (KeyError, TypeError, AttributeError, IndexError, OverflowError) as error:
        raise ValueError(f"no state of a gateway: {error!r}") from error
    gateway.started, gateway.asking, gateway.crowded_at = started, min(1.0, asking), crowded_at
    gateway.customers.update(customers)
    gateway.booked.first.update(booked)
    for number, slowness, retries, unit_ms, work in pools:
        pool = gateway.pool(number)
        pool.slowness, pool.retries, pool.mean_work, pool.patience_for = slowness, retries, work, []
        pool.unit_ms = [mine if at is None else unit_ms[at]
                        for mine, at in zip(pool.unit_ms, came_from, strict=True)]
    for number, (up, heard, turn, left), slow in backends:
        known = gateway.backends.get(number)
        if known is not None and known.entry.up_since_ms == up:
            known.heard_at, known.cold_turn, known.cold_left = heard, turn, left
            known.slowness = [mine if at is None else slow[at]
                              for mine, at in zip(known.slowness, came_from, strict=True)]


def _check_length(found: list[Any], names: list[str]) -> None:
    if len(found) != len(names):
        raise ValueError(f"{len(found)} figures for {len(names)}: {', '.join(names)}")


def _number(raw: Any, least: float = -inf) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not raw >= least:
        raise ValueError(f"{raw!r} is no number of at least {least}")
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


def _customer(gateway: Gateway, raw: Any) -> Customer | None:
    """None: its plan is gone."""
    number, plan_name, dry, appointments, *numbers = raw
    plan = next((p for p in gateway.settings.plans if p.name == plan_name), None)
    if plan is None:
        return None
    customer = Customer(plan, 1, 0.0, int(number))
    for name, value in zip(_NUMBERS, numbers, strict=True):
        setattr(customer, name, _number(value))
    if not 0 < customer.even <= 1 or not 0 < customer.share <= 1:
        raise ValueError(f"a customer with shares {customer.even!r} and {customer.share!r}")
    customer.dry = bool(dry)
    customer.appointments = deque(_number(at) for at in appointments) if appointments else None
    customer.cap_tokens = min(customer.cap_tokens, plan.ceiling_burst * customer.even)
    return customer
