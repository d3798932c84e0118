"""Connection pools by backend, kept in step with the list of backends; used by every transport."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from troutdock.admission.interface import BackendId, BackendState, FleetUpdate, ListKind
from troutdock.address import Address


class RetirablePool(Protocol):
    """The connections to one backend."""

    endpoint: Address
    up_since_ms: float

    def retire(self) -> None:
        """Handles the removal of the backend: active requests continue, idle connections are closed."""


P = TypeVar("P", bound=RetirablePool)


class BackendPools(Generic[P]):
    """One connection pool for each known backend."""

    def __init__(self, make: Callable[[Address, float], P]) -> None:
        """Creates an empty set of pools.

        Args:
            make: creates a pool from an address and the backend's start time in milliseconds of Unix time.
        """
        self._make = make
        self.by_backend: dict[BackendId, P] = {}

    def place(self, backend: BackendId, endpoint: Address, up_since_ms: float) -> None:
        """Adds a backend, or replaces its pool if it has moved or restarted."""
        known = self.by_backend.get(backend)
        if known is None or known.endpoint != endpoint or known.up_since_ms < up_since_ms:
            if known is not None:
                known.retire()
            self.by_backend[backend] = self._make(endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """Retires the pools of backends that are listed as gone or missing from a full list."""
        gone = [e.backend for e in update.entries if e.state is BackendState.GONE]
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            named = {e.backend for e in update.entries}
            gone += [b for b in self.by_backend if b not in named]
        for backend in gone:
            if (pool := self.by_backend.pop(backend, None)) is not None:
                pool.retire()
