"""Contact of a primary with a majority of voters, established by probes (no I/O, no clock).

A voter accepts a probe as long as it has promised no higher epoch. If more than half of the voters have
accepted probes that were sent at or after time t, no higher epoch could be led at time t. The same
acknowledgements therefore show that the primary is not cut off, and serve as the barrier before a read is
answered. Only the time at which a probe was *sent* counts: a process that was suspended finds old
acknowledgements in its sockets, and these prove nothing about the present.
"""

from __future__ import annotations

from math import inf

from troutdock.rpc.messages import Probe, ProbeAck
from troutdock.config_store.replica_state import ReplicaState

PROBE_INTERVAL_S = 0.3  # between two rounds
CONTACT_TIMEOUT_S = (
    1.0  # without a confirmation this recent, a primary acknowledges no writes and does not claim to lead
)
_MAX_PENDING_PROBES = 32  # rounds whose acknowledgements still count


class QuorumContact:
    """Probes of one primary in the epoch that it leads."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._last_number = 0
        self._probe_times: dict[int, float] = {}  # by round: when it was sent
        # by voter: when the newest probe that it accepted was sent
        self._probe_ack_times: dict[str, float] = {}
        self._probed_at = -inf
        self.accept_sent_at = -inf  # when the current epoch's Accept was sent

    def begin(self, accept_sent_at: float) -> None:
        """Starts an epoch whose record a majority has stored in reply to requests sent at accept_sent_at."""
        self._probe_times.clear()
        self._probe_ack_times.clear()
        self._probed_at, self.accept_sent_at = -inf, accept_sent_at

    def tick(self) -> None:
        """Sends a round of probes if one is due."""
        if self._state.now - self._probed_at >= PROBE_INTERVAL_S:
            self.probe()

    def probe(self) -> None:
        """Sends a round of probes to all voters."""
        state = self._state
        self._last_number += 1
        self._probed_at = self._probe_times[self._last_number] = state.now
        self._probe_times.pop(self._last_number - _MAX_PENDING_PROBES, None)
        voters = dict.fromkeys(v for voters in state.voter_lists(state.durable.record) for v in voters)
        for voter in voters:
            if voter != state.me:
                state.send(voter, Probe(state.epoch, self._last_number, state.incarnation))

    def on_probe_ack(self, sender: str, answer: ProbeAck) -> None:
        """Records the acknowledgement of a voter."""
        state = self._state
        if answer.ok and answer.epoch == state.epoch and answer.life == state.incarnation:
            sent_at = self._probe_times.get(answer.number)
            if sent_at is not None:
                self._probe_ack_times[sender] = max(sent_at, self._probe_ack_times.get(sender, -inf))

    @property
    def proven_at(self) -> float:
        """The latest time at which this epoch is known to have been the newest, in seconds."""
        state = self._state
        ack_times = {**self._probe_ack_times, state.me: state.now}
        voter_lists = state.voter_lists(state.durable.record)
        times = [
            sorted((ack_times.get(v, self.accept_sent_at) for v in voters), reverse=True)
            for voters in voter_lists
        ]
        return min(times_desc[len(times_desc) // 2] for times_desc in times)

    @property
    def established(self) -> bool:
        """Whether a majority confirmed the epoch within CONTACT_TIMEOUT_S."""
        return self._state.now - self.proven_at <= CONTACT_TIMEOUT_S
