"""Faults that are planted in the store, to show that a check finds each."""

from __future__ import annotations

import pytest

from troutdock.config_store.quorum_contact import QuorumContact
from troutdock.config_store.replica import Replica
from troutdock.config_store.replica_state import ReplicaState


def forgets(patch: pytest.MonkeyPatch) -> None:
    """Who has lost its disk promises at once, and passes for a copy."""
    patch.setattr(Replica, "_recover_promise", lambda self: self._state.save(blank=False))
    patch.setattr(ReplicaState, "is_complete_for", lambda self, record: self.me in record.replicas)


def old_voters(patch: pytest.MonkeyPatch) -> None:
    """A new list of voters counts without those who voted before."""
    lists = ReplicaState.voter_lists
    patch.setattr(ReplicaState, "voter_lists", lambda self, record: lists(self, record)[:1])


def unwatched(patch: pytest.MonkeyPatch) -> None:
    """A primary that misses nobody: its proofs stand behind that, so it does no harm."""
    patch.setattr(Replica, "_check_members", lambda self: None)


def unproven(patch: pytest.MonkeyPatch) -> None:
    """A primary that takes its epoch for the newest without asking anybody."""
    unwatched(patch)
    patch.setattr(QuorumContact, "proven_at", property(lambda self: self._state.now))
