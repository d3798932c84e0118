"""The shards that one proxy owns: how ownership is acquired, handed over and ended (no I/O, no clock)."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from troutdock.rpc.messages import QuotaHandover
from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.owner import ShardOwner
from troutdock.quota.routes import shard_of

BOOTSTRAP_WINDOW_S = 5.0  # an owner of the first moments of a whole fleet begins with full buckets
HANDOVER_TTL_S = 2.0  # so long what was handed over waits for its receiver to become owner
MIN_HANDOVER_TERM_S = 1.0  # an owner of less than this that was handed nothing has nothing worth handing over
TERM_INCARNATION_MODULUS = 1 << 20  # a term names its owner's life by the last bits


@dataclass(frozen=True, slots=True)
class _Handover:
    received_at: float
    message: QuotaHandover


class OwnedShards:
    """One proxy's terms as owner, and the limits that it keeps."""

    def __init__(self, life: int, now: float, bootstrap: bool) -> None:
        """Own nothing.

        Args:
            life: Of this process; names its terms.
            now: Seconds.
            bootstrap: The whole fleet starts for the first time, so that no quota is used yet.
        """
        self._life, self._began_at, self._bootstrap = life, now, bootstrap
        self.limits: dict[str, QuotaLimit] = {}
        self._has_limits = False
        self._owners: dict[int, ShardOwner] = {}
        self._had_other_owner: set[int] = set()
        self._handed: dict[int, _Handover] = {}
        self._last_term = 0
        self._near, self._fleet_size = 1, 0

    def __contains__(self, shard: int) -> bool:
        return shard in self._owners

    def __iter__(self) -> Iterator[int]:
        return iter(list(self._owners))

    def get(self, shard: int) -> ShardOwner | None:
        """The term as owner of a shard; none where another proxy owns it."""
        return self._owners.get(shard)

    def set_limits(self, now: float, limits: Mapping[str, QuotaLimit]) -> set[str]:
        """The limits of all limited tenants; gives those that have none any more."""
        added = {name: limit for name, limit in limits.items() if name not in self.limits}
        removed = set(self.limits) - set(limits)
        first, self._has_limits = not self._has_limits, True
        self.limits = dict(limits)
        for shard, owner in self._owners.items():
            if not first:
                owner.add_tenants(now, {n: limit for n, limit in added.items() if shard_of(n) == shard})
            owner.drop_tenants(removed)
        return removed

    # ---- terms

    def _new_term(self, now: float, full: bool) -> ShardOwner:
        self._last_term += 1
        return ShardOwner(f"{self._life % TERM_INCARNATION_MODULUS:x}.{self._last_term:x}", now, full)

    def end_terms(self, now: float) -> None:
        """Begin all anew, with empty buckets and without votes: another proxy may have owned meanwhile."""
        for shard in self:
            self._owners[shard] = self._new_term(now, full=False)

    def note_other_owner(self, shard: int) -> None:
        """Another proxy is taken for the owner: tokens may be spent that are not known here."""
        self._had_other_owner.add(shard)

    def acquire(self, now: float, shard: int) -> None:
        """Own a shard from now on, with what was handed over for it of late."""
        is_founding = self._bootstrap and now - self._began_at <= BOOTSTRAP_WINDOW_S
        full = is_founding and shard not in self._had_other_owner
        owner = self._owners[shard] = self._new_term(now, full)
        owner.update_backing(now, self._near, self._fleet_size)
        handed = self._handed.pop(shard, None)
        if handed is not None and now - handed.received_at <= HANDOVER_TTL_S:
            self._adopt(now, owner, handed.message)

    def release(self, now: float, shard: int) -> QuotaHandover | None:
        """Own a shard no more; what its next owner is to be handed, if that is worth it."""
        owner = self._owners.pop(shard)
        if owner.has_adopted or now - owner.started_at >= MIN_HANDOVER_TERM_S:
            return QuotaHandover(shard, *owner.levels(now))
        return None

    def receive_handover(self, now: float, message: QuotaHandover) -> None:
        """An owner has ended in order, or has yielded: it grants nothing any more."""
        owner = self._owners.get(message.shard)
        if owner is None:
            self._handed[message.shard] = _Handover(now, message)
        elif now - owner.started_at <= HANDOVER_TTL_S:
            self._adopt(now, owner, message)

    def _adopt(self, now: float, owner: ShardOwner, message: QuotaHandover) -> None:
        if not self._has_limits:  # the levels could not be kept apart from what is new
            return
        levels = {tenant: level for tenant, level in message.levels.items() if level == level}  # no NaN
        owner.adopt(now, max(0.0, message.backed_s), levels, self.limits)

    # ---- who backs them

    def set_fleet(self, near: int, fleet_size: int) -> None:
        """How many proxies are linked in this zone, this one included, and how many there are."""
        self._near, self._fleet_size = near, fleet_size

    def update_backing(self, now: float) -> None:
        """Work out anew which part of the fleet backs each; see ShardOwner.back."""
        for owner in self._owners.values():
            owner.update_backing(now, self._near, self._fleet_size)

    def vote(self, now: float, shard: int, zone: str, weight: int, voter: str) -> None:
        """A zone backs this proxy as owner of one of its shards; see ShardOwner.vote."""
        owner = self._owners[shard]
        owner.vote(now, zone, weight, voter)
        owner.update_backing(now, self._near, self._fleet_size)

    def withdraw(self, shard: int, voter: str) -> None:
        """A peer's votes for one shard count no more."""
        if (owner := self._owners.get(shard)) is not None:
            owner.forget_voter(voter)

    def forget_voter(self, voter: str) -> None:
        """The peer's link has ended, and its votes count no more."""
        for owner in self._owners.values():
            owner.forget_voter(voter)
