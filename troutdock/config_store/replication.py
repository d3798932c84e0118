"""Who keeps what is confirmed: copies that a primary gives, and that a backup takes (no I/O, no clock).

A primary gives a snapshot when it recruits, and each further batch of orders after that; the next batch
leaves when every backup has the one before on its disk. A backup that tells the digest of what it has is not
sent that body again. An answer counts only for the life, the epoch and the batch that it names.
"""

from __future__ import annotations

from collections.abc import Iterable

from troutdock.rpc.messages import NO_BODY, Replicate, ReplicateAck
from troutdock.config_store.replica_state import ReplicaState, merge_digests, raw_body

REPLICATE_TIMEOUT_S = 0.8  # for a backup to have a batch on its disk: a slow sync is some 140 ms
MIN_BYTES_PER_S = 2e6  # a body's way to a backup's disk, bytes a second at the least: it has so much longer


class BackupSet:
    """A primary's view of its backups, for the epoch that it leads or tries to."""

    body_size = staticmethod(len)  # of a body, in bytes; simulations of large ones have another

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self.backups: list[str] = []
        self.pending: dict[str, None] = {}  # backups that have not answered for the batch that was sent last
        self._number = 0
        self._last_batch: Replicate | None = None  # the batch that was sent last; none: a snapshot was
        self._sent_at = state.now
        self._timeout_s = REPLICATE_TIMEOUT_S

    @property
    def timed_out(self) -> bool:
        """A backup has had its time for the batch."""
        return bool(self.pending) and self._state.now - self._sent_at > self._timeout_s

    def timeout_s(self, body: bytes) -> float:
        """For a backup to have that body on its disk."""
        return REPLICATE_TIMEOUT_S + self.body_size(body) / MIN_BYTES_PER_S

    def _start_batch(self, backups: Iterable[str], body: bytes) -> None:
        self._number += 1
        self._sent_at = self._state.now
        self._timeout_s = self.timeout_s(body)
        self.pending = dict.fromkeys(backups)

    def send_snapshots(self, backups: list[str]) -> None:
        """Give these machines all that is here; they are the backups from now on."""
        self.backups, self._last_batch = list(backups), None
        self._start_batch(backups, self._state.durable.body)
        for backup in backups:
            self._send_snapshot(backup, self._has_body(backup))

    def remove(self, backup: str) -> None:
        """It is no backup any more."""
        self.backups = [b for b in self.backups if b != backup]
        self.pending.pop(backup, None)

    def _has_body(self, backup: str) -> bool:
        status, durable = self._state.peers[backup].status, self._state.durable
        return (
            status is not None
            and bool(durable.digest)
            and (status.version, status.digest)
            == (
                durable.version,
                durable.digest,
            )
        )

    def _send_snapshot(self, backup: str, without_body: bool) -> None:
        state, durable = self._state, self._state.durable
        body = NO_BODY if without_body else raw_body(durable.body)
        digest, taken = durable.digest, list(durable.taken)
        number, incarnation = self._number, state.incarnation
        state.send(
            backup, Replicate(state.epoch, durable.version, body, True, digest, taken, number, incarnation)
        )

    def replicate(self, version: int, body: bytes, taken: list[tuple[int, str]]) -> None:
        """Give all backups one batch, and keep it here. version: the newest configuration with it."""
        state = self._state
        is_newer = version > state.durable.version
        self._start_batch(self.backups, body if is_newer else b"")
        digest = dict(taken).get(version, "")
        sent = raw_body(body) if is_newer else NO_BODY
        self._last_batch = Replicate(
            state.epoch, version, sent, False, digest, taken, self._number, state.incarnation
        )
        for backup in self.backups:
            state.send(backup, self._last_batch)
        changes: dict[str, object] = {"version": version, "body": body} if is_newer else {}
        state.save(taken=merge_digests(state.durable.taken, taken), **changes)

    def resend(self, peer: str) -> None:
        """A new way to that machine: what it has not answered may be lost with the one before."""
        if peer in self.pending:
            if self._last_batch is not None:
                self._state.send(peer, self._last_batch)
            else:
                self._send_snapshot(peer, False)

    def on_ack(self, sender: str, answer: ReplicateAck) -> bool:
        """A backup has it, or lacks the body; false: it is no answer to what was sent last."""
        state = self._state
        if (answer.epoch, answer.number, answer.life) != (state.epoch, self._number, state.incarnation):
            return False
        if sender not in self.pending:
            return False
        if answer.ok:
            del self.pending[sender]
        elif answer.lacks:
            self._send_snapshot(sender, False)
        return True


def apply_replicate(state: ReplicaState, sender: str, request: Replicate, is_leader: bool) -> bool:
    """The backup's side: keep it, or say why not; true once it is kept. leads: this one leads that epoch."""
    durable = state.durable
    acceptable = (
        request.epoch >= max(durable.promised, durable.given)
        if request.whole
        else request.epoch == durable.given
    )
    if is_leader or not acceptable or request.epoch < durable.promised:
        _answer(state, sender, request, False)
        return False
    changes: dict[str, object] = {}
    if request.whole:
        body = b"" if request.body == NO_BODY else bytes(request.body)
        if request.version and not body:
            if (durable.version, durable.digest) != (request.version, request.digest):
                _answer(state, sender, request, False, lacks=True)
                return False
            body = durable.body
        # a blank machine may hold a copy: it promises nothing by that
        changes = {} if durable.blank else {"promised": request.epoch}
        taken = merge_digests((), request.taken)
        changes |= {"version": request.version, "body": body, "given": request.epoch, "taken": taken}
    else:
        if request.version > durable.version:
            changes = {"version": request.version, "body": bytes(request.body)}
        changes["taken"] = merge_digests(durable.taken, request.taken)
    state.save(**changes)
    _answer(state, sender, request, True)
    return True


def _answer(state: ReplicaState, sender: str, request: Replicate, ok: bool, lacks: bool = False) -> None:
    state.send(
        sender,
        ReplicateAck(
            request.epoch, request.version, ok, state.durable.promised, request.number, request.life, lacks
        ),
    )
