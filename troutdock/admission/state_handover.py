"""Hand-over from one gateway to its successor, and from old settings to new ones (no I/O).

A retired gateway reports the outcomes of its attempts, and its successor applies them to loads and quotas.
The states are those of snapshot.py. This module selects no backend, retries nothing and refuses nothing.
"""

from __future__ import annotations

from copy import copy
from dataclasses import replace
from typing import TYPE_CHECKING

from troutdock.admission.backend_health import Backend, OpenAttempt, Slowness
from troutdock.admission.interface import (
    AttemptEnded,
    Outcome,
    AttemptSettled,
    SettingsChanged,
    previous_indexes,
)

if TYPE_CHECKING:
    from troutdock.admission.gateway import Gateway
    from troutdock.admission.request_records import Call


def settlement(
    gateway: Gateway,
    event: AttemptEnded,
    call: Call | None,
    backend: Backend | None,
    sent: OpenAttempt | None,
) -> AttemptSettled:
    """Returns the report of an attempt's end for the gateway that took over this one's state."""
    report = AttemptSettled(
        event.request,
        event.attempt,
        event.outcome,
        event.backend,
        elapsed_ms=event.elapsed_ms,
        lag_ms=event.lag_ms,
    )
    if backend and sent:
        report.up_since_ms = backend.entry.up_since_ms
        report.sent_at, report.work, report.pile, number, report.due_at = sent
        report.cls = gateway.settings.classes[number].name
    if call and event.outcome is Outcome.OK:
        report.customer, report.plan = call.customer.number, call.customer.plan.name
        report.true_units = event.true_units or call.event.units
        report.units = report.true_units - call.event.units
    return report


def apply_settled(gateway: Gateway, now: float, event: AttemptSettled) -> None:
    """Applies a report on an attempt of the predecessor: load while it is pending, then a health sample."""
    own_key = gateway.inherited.get((event.request, event.attempt))
    if event.outcome is None and own_key is None:
        own_key = adopt_attempt(gateway, event.request, event.attempt)
    if gateway.retired:  # the successor knows the attempt by this gateway's number, or not at all
        number, attempt = own_key or (0, min(event.attempt, 0))
        gateway.actions.append(replace(event, request=number, attempt=attempt))
    if event.attempt < 0:
        return gateway.keyed.never_ran(now, event.key)
    backend = gateway.backends.get(event.backend)
    if backend and backend.entry.up_since_ms != event.up_since_ms:
        backend = None  # restarted since
    cls = next((n for n, c in enumerate(gateway.settings.classes) if c.name == event.cls), None)
    sent = event.sent_at, event.work, event.pile, cls or 0, event.due_at
    if event.outcome is None:
        gateway.keyed.record(event.sent_at, event.key, event.group)
        if backend and own_key:
            backend.out[own_key] = sent
            backend.load += event.work
        return
    gateway.inherited.pop((event.request, event.attempt), None)
    known = backend.out.pop(own_key, None) if backend and own_key else None
    if backend and known:
        backend.load = max(0.0, backend.load - known[1]) if backend.out else 0.0
    if backend and known and cls is not None:  # a removed class is not measured
        ended = AttemptEnded(0, 0, event.backend, event.outcome, event.elapsed_ms, True, lag_ms=event.lag_ms)
        gateway.learn(now, backend, ended, sent)
    customer = gateway.customers.get(event.customer)
    if customer and event.true_units and customer.plan.name == event.plan:
        customer.refill(now)
        customer.record_units(event.units, event.true_units)


def adopt_attempt(gateway: Gateway, request: int, attempt: int) -> tuple[int, int]:
    """Assigns a negative number of this gateway to an attempt of its predecessor."""
    gateway.last_inherited -= 1
    gateway.inherited[request, attempt] = gateway.last_inherited, 0
    return gateway.last_inherited, 0


def apply_settings(gateway: Gateway, now: float, event: SettingsChanged) -> None:
    """Applies new settings; keeps measurements, and pending requests keep their class's rules."""
    before, after = gateway.settings.classes, event.settings.classes
    # a class removed too long ago has None: only its measurements would be affected
    moved = [n or 0 for n in previous_indexes(after, before)]
    gateway.use_settings(event.settings)
    gateway.timeouts_ms.clear()
    for pool in gateway.pools.values():
        pool.renumber(before, after)
    for call in gateway.calls.values():
        call.event.cls = moved[call.event.cls]
    for backend in gateway.backends.values():
        backend.slowness = [
            Slowness() if n is None else copy(backend.slowness[n]) for n in previous_indexes(before, after)
        ]
        backend.out = {
            key: (at, work, pile, moved[cls], due) for key, (at, work, pile, cls, due) in backend.out.items()
        }
    plans = {plan.name: plan for plan in event.settings.plans}
    for customer in gateway.customers.values():
        customer.change_plan(now, plans.get(customer.plan.name, customer.plan))
