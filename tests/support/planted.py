"""Faults injected into the store, to show that the checks detect each of them."""

from __future__ import annotations

import pytest

from troutdock.config_store.quorum_contact import QuorumContact
from troutdock.config_store.replica import Replica
from troutdock.config_store.replica_state import ReplicaState


def forgets(patch: pytest.MonkeyPatch) -> None:
    """A machine that lost its disk makes promises at once, and counts as a complete replica."""
    patch.setattr(Replica, "_recover_promise", lambda self: self._state.save(blank=False))
    patch.setattr(ReplicaState, "is_complete_for", lambda self, record: self.me in record.replicas)


def old_voters(patch: pytest.MonkeyPatch) -> None:
    """A new voter list decides without a majority of the previous voters."""
    lists = ReplicaState.voter_lists
    patch.setattr(ReplicaState, "voter_lists", lambda self, record: lists(self, record)[:1])


def unwatched(patch: pytest.MonkeyPatch) -> None:
    """A primary that does not supervise its members; harmless, as reads still need confirmation."""
    patch.setattr(Replica, "_check_members", lambda self: None)


def unproven(patch: pytest.MonkeyPatch) -> None:
    """A primary that takes its epoch for the newest without probes."""
    unwatched(patch)
    patch.setattr(QuorumContact, "proven_at", property(lambda self: self._state.now))
