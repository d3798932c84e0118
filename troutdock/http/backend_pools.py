"""Connections by backend, as the list of backends has them; every transport's."""

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
        """The backend has left: what is under way goes on, nothing is kept for later."""


P = TypeVar("P", bound=RetirablePool)


class BackendPools(Generic[P]):
    """One for each backend that is there."""

    def __init__(self, make: Callable[[Address, float], P]) -> None:
        """make: of an address, and since when its backend is up, in milliseconds of Unix time."""
        self._make = make
        self.by_backend: dict[BackendId, P] = {}

    def place(self, backend: BackendId, endpoint: Address, up_since_ms: float) -> None:
        """A backend is at this address, perhaps a new one, or one that has started anew."""
        known = self.by_backend.get(backend)
        if known is None or known.endpoint != endpoint or known.up_since_ms < up_since_ms:
            if known is not None:
                known.retire()
            self.by_backend[backend] = self._make(endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """Whatever the list says has left, or a whole one does not name, has left."""
        gone = [e.backend for e in update.entries if e.state is BackendState.GONE]
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            named = {e.backend for e in update.entries}
            gone += [b for b in self.by_backend if b not in named]
        for backend in gone:
            if (pool := self.by_backend.pop(backend, None)) is not None:
                pool.retire()
