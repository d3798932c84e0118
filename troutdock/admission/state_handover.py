"""One gateway after the other, and one set of settings after the other (no I/O).

What a retired gateway tells of its attempts, and what the next one does with it: the states are those of
snapshot.py. What stands here settles loads and quotas; it chooses no backend, tries nothing again and turns
nobody away.
"""

from __future__ import annotations

from copy import copy
from dataclasses import replace
from typing import TYPE_CHECKING

from troutdock.admission.backend_health import Backend, Sent, Slowness
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
    gateway: Gateway, event: AttemptEnded, call: Call | None, backend: Backend | None, sent: Sent | None
) -> AttemptSettled:
    """What the gateway that has this one's state is to know of an attempt's end."""
    told = AttemptSettled(
        event.request,
        event.attempt,
        event.outcome,
        event.backend,
        elapsed_ms=event.elapsed_ms,
        lag_ms=event.lag_ms,
    )
    if backend and sent:
        told.up_since_ms = backend.entry.up_since_ms
        told.sent_at, told.work, told.pile, number, told.due_at = sent
        told.cls = gateway.settings.classes[number].name
    if call and event.outcome is Outcome.OK:
        told.customer, told.plan = call.customer.number, call.customer.plan.name
        told.true_units = event.true_units or call.event.units
        told.units = told.true_units - call.event.units
    return told


def settled(gateway: Gateway, now: float, event: AttemptSettled) -> None:
    """An attempt of the gateway before this one: load while it is out, and then a sign like any other."""
    mine = gateway.foreign.get((event.request, event.attempt))
    if event.outcome is None and mine is None:
        mine = adopt(gateway, event.request, event.attempt)
    if gateway.retired:  # the next one knows the attempt by this one's number, or not at all
        number, attempt = mine or (0, min(event.attempt, 0))
        gateway.actions.append(replace(event, request=number, attempt=attempt))
    if event.attempt < 0:
        return gateway.booked.never_ran(now, event.key)
    backend = gateway.backends.get(event.backend)
    if backend and backend.entry.up_since_ms != event.up_since_ms:
        backend = None  # started anew since
    cls = next((n for n, c in enumerate(gateway.settings.classes) if c.name == event.cls), None)
    sent = event.sent_at, event.work, event.pile, cls or 0, event.due_at
    if event.outcome is None:
        gateway.booked.note(event.sent_at, event.key, event.group)
        if backend and mine:
            backend.out[mine] = sent
            backend.load += event.work
        return
    gateway.foreign.pop((event.request, event.attempt), None)
    known = backend.out.pop(mine, None) if backend and mine else None
    if backend and known:
        backend.load = max(0.0, backend.load - known[1]) if backend.out else 0.0
    if backend and known and cls is not None:  # a class that is gone teaches nothing
        ended = AttemptEnded(0, 0, event.backend, event.outcome, event.elapsed_ms, True, lag_ms=event.lag_ms)
        gateway.learn(now, backend, ended, sent)
    customer = gateway.customers.get(event.customer)
    if customer and event.true_units and customer.plan.name == event.plan:
        customer.refill(now)
        customer.took(event.units, event.true_units)


def adopt(gateway: Gateway, request: int, attempt: int) -> tuple[int, int]:
    """A number of this gateway's own, below nought, for an attempt of the one before."""
    gateway.adopted -= 1
    gateway.foreign[request, attempt] = gateway.adopted, 0
    return gateway.adopted, 0


def configured(gateway: Gateway, now: float, event: SettingsChanged) -> None:
    """Take over new settings as a whole; what was learnt stays, and what is open keeps its rules."""
    before, after = gateway.settings.classes, event.settings.classes
    # a class removed too long ago has None: only its measurements would be affected
    moved = [n or 0 for n in previous_indexes(after, before)]
    gateway.follow(event.settings)
    gateway.usual_ms.clear()
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
        customer.change(now, plans.get(customer.plan.name, customer.plan))
