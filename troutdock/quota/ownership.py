"""The shards owned by one proxy: acquiring, handing over and ending ownership (no I/O, no clock)."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from troutdock.rpc.messages import QuotaHandover
from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.owner import ShardOwner
from troutdock.quota.routes import shard_of

BOOTSTRAP_WINDOW_S = 5.0  # owners of a fleet's first start begin with full buckets within this time
HANDOVER_TTL_S = 2.0  # a handover is kept this long for its receiver to become owner
MIN_HANDOVER_TERM_S = 1.0  # a shorter term without an adopted handover is not handed over
TERM_INCARNATION_MODULUS = 1 << 20  # a term contains the low bits of its owner's incarnation


@dataclass(frozen=True, slots=True)
class _Handover:
    received_at: float
    message: QuotaHandover


class OwnedShards:
    """The terms of one proxy as owner, and the limits of the tenants."""

    def __init__(self, incarnation: int, now: float, bootstrap: bool) -> None:
        """Starts without ownership.

        Args:
            incarnation: Of this process; identifies its terms.
            now: Seconds.
            bootstrap: The whole fleet starts for the first time, so no quota has been used yet.
        """
        self._incarnation, self._started_at, self._bootstrap = incarnation, now, bootstrap
        self.limits: dict[str, QuotaLimit] = {}
        self._has_limits = False
        self._owners: dict[int, ShardOwner] = {}
        self._had_other_owner: set[int] = set()
        self._handovers: dict[int, _Handover] = {}
        self._last_term = 0
        self._zone_size, self._fleet_size = 1, 0

    def __contains__(self, shard: int) -> bool:
        return shard in self._owners

    def __iter__(self) -> Iterator[int]:
        return iter(list(self._owners))

    def get(self, shard: int) -> ShardOwner | None:
        """Returns the current term as owner of a shard, or None if another proxy owns it."""
        return self._owners.get(shard)

    def set_limits(self, now: float, limits: Mapping[str, QuotaLimit]) -> set[str]:
        """Sets the limits of all limited tenants, and returns the tenants whose limit was removed."""
        added = {name: limit for name, limit in limits.items() if name not in self.limits}
        removed = set(self.limits) - set(limits)
        first, self._has_limits = not self._has_limits, True
        self.limits = dict(limits)
        added_by_shard: dict[int, dict[str, QuotaLimit]] = {shard: {} for shard in self._owners}
        if not first and self._owners:
            for name, limit in added.items():
                if (tenants := added_by_shard.get(shard_of(name))) is not None:
                    tenants[name] = limit
        for shard, owner in self._owners.items():
            if not first:
                owner.add_tenants(now, added_by_shard[shard])
            owner.drop_tenants(removed)
        return removed

    # ---- terms

    def _new_term(self, now: float, full: bool) -> ShardOwner:
        self._last_term += 1
        return ShardOwner(f"{self._incarnation % TERM_INCARNATION_MODULUS:x}.{self._last_term:x}", now, full)

    def end_terms(self, now: float) -> None:
        """Replaces all terms by new ones, empty and without votes: another proxy may have been owner."""
        for shard in self:
            self._owners[shard] = self._new_term(now, full=False)

    def note_other_owner(self, shard: int) -> None:
        """Records that another proxy is considered the owner, so unknown tokens may have been spent."""
        self._had_other_owner.add(shard)

    def acquire(self, now: float, shard: int) -> None:
        """Starts a term as owner of a shard, with the levels of a recent handover."""
        is_bootstrap = self._bootstrap and now - self._started_at <= BOOTSTRAP_WINDOW_S
        full = is_bootstrap and shard not in self._had_other_owner
        owner = self._owners[shard] = self._new_term(now, full)
        owner.update_backing(now, self._zone_size, self._fleet_size)
        handover = self._handovers.pop(shard, None)
        if handover is not None and now - handover.received_at <= HANDOVER_TTL_S:
            self._adopt(now, owner, handover.message)

    def release(self, now: float, shard: int) -> QuotaHandover | None:
        """Ends the term as owner of a shard; returns the handover for the next owner, if it is useful."""
        owner = self._owners.pop(shard)
        if owner.has_adopted or now - owner.started_at >= MIN_HANDOVER_TERM_S:
            return QuotaHandover(shard, *owner.levels(now))
        return None

    def receive_handover(self, now: float, message: QuotaHandover) -> None:
        """Applies or keeps a handover from an owner that terminated or yielded and grants no more tokens."""
        owner = self._owners.get(message.shard)
        if owner is None:
            self._handovers[message.shard] = _Handover(now, message)
        elif now - owner.started_at <= HANDOVER_TTL_S:
            self._adopt(now, owner, message)

    def _adopt(self, now: float, owner: ShardOwner, message: QuotaHandover) -> None:
        if not self._has_limits:  # levels of known and of new tenants could not be distinguished
            return
        levels = {tenant: level for tenant, level in message.levels.items() if level == level}  # no NaN
        owner.adopt(now, max(0.0, message.backed_s), levels, self.limits)

    # ---- backing

    def set_fleet(self, zone_size: int, fleet_size: int) -> None:
        """Sets the number of linked proxies in this zone, including this one, and the fleet size."""
        self._zone_size, self._fleet_size = zone_size, fleet_size

    def update_backing(self, now: float) -> None:
        """Recomputes the backed fraction of each owned shard; see ShardOwner.update_backing."""
        for owner in self._owners.values():
            owner.update_backing(now, self._zone_size, self._fleet_size)

    def vote(self, now: float, shard: int, zone: str, weight: int, voter: str) -> None:
        """Records the vote of a zone for this proxy as owner of a shard; see ShardOwner.vote."""
        owner = self._owners[shard]
        owner.vote(now, zone, weight, voter)
        owner.update_backing(now, self._zone_size, self._fleet_size)

    def withdraw(self, shard: int, voter: str) -> None:
        """Drops the votes of a peer for one shard."""
        if (owner := self._owners.get(shard)) is not None:
            owner.forget_voter(voter)

    def forget_voter(self, voter: str) -> None:
        """Drops all votes of a peer whose link has closed."""
        for owner in self._owners.values():
            owner.forget_voter(voter)
