"""A gateway follows the list of backends; it decides nothing about them (no I/O)."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from troutdock.admission.backend_health import Backend
from troutdock.admission.interface import BackendState, FleetUpdate, Group, ListKind

if TYPE_CHECKING:
    from troutdock.admission.gateway import Gateway


def followed(gateway: Gateway, now: float, event: FleetUpdate) -> None:
    """Follow the list; what it does not name as ready gets nothing new from this moment on."""
    pool = gateway.pool(event.pool)
    if event.kind is ListKind.FAILED:
        return  # it tells nothing, whatever entries it brings
    if event.kind in (ListKind.FULL, ListKind.CACHED):
        named = {entry.backend: entry for entry in event.entries}
        for gone in [n for n, b in gateway.backends.items() if b.pool is pool and n not in named]:
            place(gateway.backends.pop(gone), False)
            gateway.news.record_removed(now, gone)
    if pool is gateway.pools[0]:  # whose list it is that peers tell of
        gateway.news.version = event.version
    for entry in event.entries:
        if (known := gateway.backends.pop(entry.backend, None)) is not None:
            place(known, False)
        if known is None or entry.up_since_ms > known.entry.up_since_ms:
            known = Backend(entry, pool)
        known.entry = entry
        if entry.state is BackendState.GONE:
            gateway.news.record_removed(now, entry.backend)
        else:
            gateway.news.record_listed(entry.backend)
            gateway.backends[entry.backend] = known
            place(known, entry.state is BackendState.READY)


def place(backend: Backend, ready: bool) -> None:
    """Keep the rings of ready backends, for each group that drops its repeats."""
    entry, rings = backend.entry, backend.pool.rings
    for key in ((Group.ALL, 0), (Group.ZONE, entry.zone), (Group.CELL, entry.cell)):
        ring = rings.setdefault(key, [])
        at = bisect_left(ring, entry.backend)
        there = ring[at : at + 1] == [entry.backend]
        ring[at : at + there] = [entry.backend] * ready
        if not ring and key[0] is not Group.ALL:
            del rings[key]
