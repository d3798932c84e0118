"""Applies updates of the list of backends to a gateway (no I/O)."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from troutdock.admission.backend_health import Backend
from troutdock.admission.interface import BackendState, FleetUpdate, Group, ListKind

if TYPE_CHECKING:
    from troutdock.admission.gateway import Gateway


def apply_list_update(gateway: Gateway, now: float, event: FleetUpdate) -> None:
    """Applies a list update; backends not listed as ready get nothing new from now on."""
    pool = gateway.pool(event.pool)
    if event.kind is ListKind.FAILED:
        return  # a failed query is no information, whatever entries it has
    if event.kind in (ListKind.FULL, ListKind.CACHED):
        listed = {entry.backend: entry for entry in event.entries}
        for gone in [n for n, b in gateway.backends.items() if b.pool is pool and n not in listed]:
            update_rings(gateway.backends.pop(gone), False)
            gateway.gossip.record_removed(now, gone)
    if pool is gateway.pools[0]:  # peers exchange the version of this list
        gateway.gossip.version = event.version
    for entry in event.entries:
        if (known := gateway.backends.pop(entry.backend, None)) is not None:
            update_rings(known, False)
        if known is None or entry.up_since_ms > known.entry.up_since_ms:
            known = Backend(entry, pool)
        known.entry = entry
        if entry.state is BackendState.GONE:
            gateway.gossip.record_removed(now, entry.backend)
        else:
            gateway.gossip.record_listed(entry.backend)
            gateway.backends[entry.backend] = known
            update_rings(known, entry.state is BackendState.READY)


def update_rings(backend: Backend, ready: bool) -> None:
    """Adds a backend to, or removes it from, the sorted rings of its dedup groups."""
    entry, rings = backend.entry, backend.pool.rings
    for key in ((Group.ALL, 0), (Group.ZONE, entry.zone), (Group.CELL, entry.cell)):
        ring = rings.setdefault(key, [])
        at = bisect_left(ring, entry.backend)
        present = ring[at : at + 1] == [entry.backend]
        ring[at : at + present] = [entry.backend] * ready
        if not ring and key[0] is not Group.ALL:
            del rings[key]
