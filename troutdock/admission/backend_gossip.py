"""Queries to peers about the list of backends while discovery does not answer (no I/O, no clock).

Theory of operation. Discovery may refuse a gateway or not answer for seconds, most of all after many gateways
have started at once with cached lists. Peers may have a newer list:

    current   the last call to discovery succeeded: sends no queries, answers them, suspects no backend
    isolated  queries a few random peers twice a second, and suspects a backend that MIN_REPORTERS of them
              report as draining or gone; this ends SUSPECT_MS after the last report, and at once when
              discovery answers

Invariants. A report neither adds a backend to the list nor removes one: a suspect is only avoided while
others are available. If more than half of the backends are suspected, none is, as a malicious or faulty peer
would report just that. A reply states the sender's current list, so that old reports don't circulate.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from troutdock.admission.backend_gossip_codec import REPLY, QUERY, MAX_BACKENDS, decode, encode

PEERS_PER_QUERY, QUERY_MS = 4, 500.0  # if a third of the peers are current, two replies arrive within 1 s
MIN_REPORTERS = 2  # that must agree: a single one may be wrong
SUSPECT_MS = 3000.0  # without a report for this long, the backend is back or no peer knows about it
REMOVED_MS = 20_000.0  # how long a removed backend is reported: by then old lists have been replaced
MAX_SUSPECT_SHARE = 0.5  # of the backends: above it the reports are ignored


class BackendGossip:
    """What one gateway asks its peers, answers them and suspects; all times are milliseconds."""

    def __init__(self, gateways: int, index: int, allowed: bool, random: Random) -> None:
        """allowed: whether datagrams to peers are permitted."""
        self._peers = [n for n in range(gateways) if n != index] if allowed else []
        self._min_reporters = min(MIN_REPORTERS, len(self._peers))
        self._random = random
        self.isolated = False
        self.version = 0  # of the known list
        self._queried_at = 0.0
        self.removed: dict[int, float] = {}  # backends that left the list: when, the oldest first
        self._reports: dict[int, dict[int, float]] = {}  # by short backend id: time by reporting peer

    # ---- discovery

    def set_discovery(self, now: float, reachable: bool) -> None:
        """Records whether discovery answered; the first query waits QUERY_MS, as failures may be brief."""
        if not (reachable or self.isolated):
            self._queried_at = now
        self.isolated = not reachable
        if reachable:
            self._reports.clear()

    def record_removed(self, now: float, backend: int) -> None:
        """Records that a backend has left the list."""
        self.removed.pop(backend, None)
        self.removed[backend] = now
        while now - self.removed[next(iter(self.removed))] > REMOVED_MS:
            del self.removed[next(iter(self.removed))]

    def record_listed(self, backend: int) -> None:
        """Records that a backend is on the list."""
        self.removed.pop(backend, None)

    # ---- peers

    def query(self, now: float) -> tuple[list[int], bytes]:
        """Returns the peers to query now, possibly none, and the datagram."""
        if not self.isolated or not self._peers or now - self._queried_at < QUERY_MS:
            return [], b""
        self._queried_at = now
        peers = self._random.sample(self._peers, min(PEERS_PER_QUERY, len(self._peers)))
        return peers, encode(QUERY, self.version, [])

    def reply(self, now: float, draining: Iterable[int]) -> bytes:
        """Returns the reply to an isolated peer, empty if there is nothing to report.

        draining: draining backends on the own list; recently removed ones are added.
        """
        removed = [backend for backend, at in self.removed.items() if now - at <= REMOVED_MS]
        rows = [*draining, *reversed(removed)][:MAX_BACKENDS]
        return encode(REPLY, self.version, rows) if rows else b""

    def receive(self, now: float, sender: int, body: bytes) -> bool:
        """Applies a query or a reply; returns whether to reply. ValueError if malformed."""
        kind, version, backends = decode(body)
        if kind == QUERY:
            return not self.isolated and version <= self.version
        if self.isolated and version >= self.version:
            for backend in backends:
                self._reports.setdefault(backend, {})[sender] = now
            if len(self._reports) > 4 * MAX_BACKENDS:  # more than a fleet has: some are fabricated
                self._reports.clear()
        return False

    def suspects(self, now: float, backends: int) -> frozenset[int]:
        """Returns the short ids of the backends to avoid; backends: how many the list has."""
        suspected = frozenset(
            backend
            for backend, reports in self._reports.items()
            if sum(now - at <= SUSPECT_MS for at in reports.values()) >= self._min_reporters
        )
        return suspected if len(suspected) <= MAX_SUSPECT_SHARE * backends else frozenset()
