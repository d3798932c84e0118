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
from troutdock.config_store.replica_state import State

PROBE_S = 0.3  # between two rounds of probes
CONTACT_S = 1.0  # a primary that has no newer proof than this confirms nothing and claims nothing
_ROUNDS = 32  # of probes whose answers are still waited for


class Contact:
    """One primary's, for the epoch that it leads."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._last = 0
        self._sent: dict[int, float] = {}  # by number of the round
        self._yes: dict[str, float] = {}  # by voter: when the newest probe that it said yes to was sent
        self._sent_at = -inf
        self.since = -inf  # when the voters were asked to seal the epoch that is led

    def begin(self, asked_at: float) -> None:
        """A new epoch is sealed: a majority has written it down after it was asked to, at that time."""
        self._sent.clear()
        self._yes.clear()
        self._sent_at, self.since = -inf, asked_at

    def tick(self) -> None:
        """Probe when it is time."""
        if self._state.now - self._sent_at >= PROBE_S:
            self.probe()

    def probe(self) -> None:
        """Ask all voters now."""
        state = self._state
        self._last += 1
        self._sent_at = self._sent[self._last] = state.now
        self._sent.pop(self._last - _ROUNDS, None)
        voters = dict.fromkeys(v for voters in state.lists(state.kept.record) for v in voters)
        for voter in voters:
            if voter != state.me:
                state.send(voter, Probe(state.epoch, self._last, state.life))

    def hear(self, sender: str, answer: ProbeAck) -> None:
        """A voter's answer."""
        state = self._state
        if answer.ok and answer.epoch == state.epoch and answer.life == state.life:
            sent_at = self._sent.get(answer.number)
            if sent_at is not None:
                self._yes[sender] = max(sent_at, self._yes.get(sender, -inf))

    @property
    def proven_at(self) -> float:
        """The latest moment at which this epoch is known to have been the newest."""
        state = self._state
        yes = {**self._yes, state.me: state.now}
        lists = state.lists(state.kept.record)
        times = [sorted((yes.get(v, self.since) for v in voters), reverse=True) for voters in lists]
        return min(proven[len(proven) // 2] for proven in times)

    @property
    def there(self) -> bool:
        """A majority was reached a moment ago."""
        return self._state.now - self.proven_at <= CONTACT_S
