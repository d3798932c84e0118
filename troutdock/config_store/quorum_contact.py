"""Whether a primary reaches a majority, by probes that voters answer (no I/O, no clock).

A voter says yes to a probe while it has promised no higher epoch. More than half of the voters having said
yes to probes that were sent at or after some moment means: at that moment no higher epoch could be led. So
one and the same answer tells that this primary is not cut off, and is the barrier behind which a read is
answered. What counts is when a probe was *sent*: a process that stood still finds old answers waiting, and
they are old.
"""

from __future__ import annotations

from math import inf

from troutdock.rpc.messages import Probe, ProbeAck
from troutdock.config_store.replica_state import ReplicaState

PROBE_INTERVAL_S = 0.3  # between two rounds of probes
CONTACT_TIMEOUT_S = 1.0  # a primary that has no newer proof than this confirms nothing and claims nothing
_MAX_PENDING_PROBES = 32  # of probes whose answers are still waited for


class QuorumContact:
    """One primary's, for the epoch that it leads."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._last_number = 0
        self._probe_times: dict[int, float] = {}  # by number of the round
        self._probe_ack_times: dict[
            str, float
        ] = {}  # by voter: when the newest probe that it said yes to was sent
        self._probed_at = -inf
        self.accept_sent_at = -inf  # when the voters were asked to seal the epoch that is led

    def begin(self, asked_at: float) -> None:
        """A new epoch is sealed: a majority has written it down after it was asked to, at that time."""
        self._probe_times.clear()
        self._probe_ack_times.clear()
        self._probed_at, self.accept_sent_at = -inf, asked_at

    def tick(self) -> None:
        """Probe when it is time."""
        if self._state.now - self._probed_at >= PROBE_INTERVAL_S:
            self.probe()

    def probe(self) -> None:
        """Ask all voters now."""
        state = self._state
        self._last_number += 1
        self._probed_at = self._probe_times[self._last_number] = state.now
        self._probe_times.pop(self._last_number - _MAX_PENDING_PROBES, None)
        voters = dict.fromkeys(v for voters in state.voter_lists(state.durable.record) for v in voters)
        for voter in voters:
            if voter != state.me:
                state.send(voter, Probe(state.epoch, self._last_number, state.incarnation))

    def on_probe_ack(self, sender: str, answer: ProbeAck) -> None:
        """A voter's answer."""
        state = self._state
        if answer.ok and answer.epoch == state.epoch and answer.life == state.incarnation:
            sent_at = self._probe_times.get(answer.number)
            if sent_at is not None:
                self._probe_ack_times[sender] = max(sent_at, self._probe_ack_times.get(sender, -inf))

    @property
    def proven_at(self) -> float:
        """The latest moment at which this epoch is known to have been the newest."""
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
        """A majority was reached a moment ago."""
        return self._state.now - self.proven_at <= CONTACT_TIMEOUT_S
