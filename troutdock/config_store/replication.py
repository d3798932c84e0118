"""Who keeps what is confirmed: copies that a primary gives, and that a backup takes (no I/O, no clock).

A primary gives a snapshot when it recruits, and each further batch of orders after that; the next batch
leaves when every backup has the one before on its disk. A backup that tells the digest of what it has is not
sent that body again. An answer counts only for the life, the epoch and the batch that it names.
"""

from __future__ import annotations

from collections.abc import Iterable

from troutdock.rpc.messages import NO_BODY, Replicate, ReplicateAck
from troutdock.config_store.replica_state import State, ledger, raw

REPLICATE_S = 0.8  # for a backup to have a batch on its disk: a slow sync is some 140 ms
BYTES_S = 2e6  # a body's way to a backup's disk, bytes a second at the least: it has so much longer


class Copies:
    """A primary's view of its backups, for the epoch that it leads or tries to."""

    size = staticmethod(len)  # of a body, in bytes; simulations of large ones have another

    def __init__(self, state: State) -> None:
        self._state = state
        self.backups: list[str] = []
        self.waits: dict[str, None] = {}  # backups that have not answered for the batch that was sent last
        self._number = 0
        self._sent: Replicate | None = None  # the batch that was sent last; none: a snapshot was
        self._since = state.now
        self._allowed_s = REPLICATE_S

    @property
    def late(self) -> bool:
        """A backup has had its time for the batch."""
        return bool(self.waits) and self._state.now - self._since > self._allowed_s

    def allowed_s(self, body: bytes) -> float:
        """For a backup to have that body on its disk."""
        return REPLICATE_S + self.size(body) / BYTES_S

    def _begin(self, backups: Iterable[str], body: bytes) -> None:
        self._number += 1
        self._since = self._state.now
        self._allowed_s = self.allowed_s(body)
        self.waits = dict.fromkeys(backups)

    def recruit(self, backups: list[str]) -> None:
        """Give these machines all that is here; they are the backups from now on."""
        self.backups, self._sent = list(backups), None
        self._begin(backups, self._state.kept.body)
        for backup in backups:
            self._snapshot(backup, self._has(backup))

    def drop(self, backup: str) -> None:
        """It is no backup any more."""
        self.backups = [b for b in self.backups if b != backup]
        self.waits.pop(backup, None)

    def _has(self, backup: str) -> bool:
        status, kept = self._state.peers[backup].status, self._state.kept
        return (
            status is not None
            and bool(kept.digest)
            and (status.version, status.digest)
            == (
                kept.version,
                kept.digest,
            )
        )

    def _snapshot(self, backup: str, without_body: bool) -> None:
        state, kept = self._state, self._state.kept
        body = NO_BODY if without_body else raw(kept.body)
        digest, taken = kept.digest, list(kept.taken)
        number, life = self._number, state.life
        state.send(backup, Replicate(state.epoch, kept.version, body, True, digest, taken, number, life))

    def replicate(self, version: int, body: bytes, taken: list[tuple[int, str]]) -> None:
        """Give all backups one batch, and keep it here. version: the newest configuration with it."""
        state = self._state
        rises = version > state.kept.version
        self._begin(self.backups, body if rises else b"")
        digest = dict(taken).get(version, "")
        sent = raw(body) if rises else NO_BODY
        self._sent = Replicate(state.epoch, version, sent, False, digest, taken, self._number, state.life)
        for backup in self.backups:
            state.send(backup, self._sent)
        changes: dict[str, object] = {"version": version, "body": body} if rises else {}
        state.save(taken=ledger(state.kept.taken, taken), **changes)

    def again(self, peer: str) -> None:
        """A new way to that machine: what it has not answered may be lost with the one before."""
        if peer in self.waits:
            if self._sent is not None:
                self._state.send(peer, self._sent)
            else:
                self._snapshot(peer, False)

    def hear(self, sender: str, answer: ReplicateAck) -> bool:
        """A backup has it, or lacks the body; false: it is no answer to what was sent last."""
        state = self._state
        if (answer.epoch, answer.number, answer.life) != (state.epoch, self._number, state.life):
            return False
        if sender not in self.waits:
            return False
        if answer.ok:
            del self.waits[sender]
        elif answer.lacks:
            self._snapshot(sender, False)
        return True


def take(state: State, sender: str, given: Replicate, leads: bool) -> bool:
    """The backup's side: keep it, or say why not; true once it is kept. leads: this one leads that epoch."""
    kept = state.kept
    fits = given.epoch >= max(kept.promised, kept.given) if given.whole else given.epoch == kept.given
    if leads or not fits or given.epoch < kept.promised:
        _answer(state, sender, given, False)
        return False
    changes: dict[str, object] = {}
    if given.whole:
        body = b"" if given.body == NO_BODY else bytes(given.body)
        if given.version and not body:
            if (kept.version, kept.digest) != (given.version, given.digest):
                _answer(state, sender, given, False, lacks=True)
                return False
            body = kept.body
        # a blank machine may hold a copy: it promises nothing by that
        changes = {} if kept.blank else {"promised": given.epoch}
        taken = ledger((), given.taken)
        changes |= {"version": given.version, "body": body, "given": given.epoch, "taken": taken}
    else:
        if given.version > kept.version:
            changes = {"version": given.version, "body": bytes(given.body)}
        changes["taken"] = ledger(kept.taken, given.taken)
    state.save(**changes)
    _answer(state, sender, given, True)
    return True


def _answer(state: State, sender: str, given: Replicate, ok: bool, lacks: bool = False) -> None:
    state.send(
        sender,
        ReplicateAck(given.epoch, given.version, ok, state.kept.promised, given.number, given.life, lacks),
    )
