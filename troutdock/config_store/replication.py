"""Replication of committed configurations from the primary to its backups (no I/O, no clock).

At the start of an epoch the primary sends each backup a snapshot, and then batches of writes. The next batch
is sent once every backup has the previous one on disk. The body is left out of a snapshot if the backup has
reported the same version and digest. An acknowledgement counts only for the incarnation, the epoch and the
batch number that it names.
"""

from __future__ import annotations

from collections.abc import Iterable

from troutdock.rpc.messages import NO_BODY, Replicate, ReplicateAck
from troutdock.config_store.replica_state import ReplicaState, merge_digests, raw_body

REPLICATE_TIMEOUT_S = 0.8  # for a backup to store a batch; a slow fsync takes about 140 ms
MIN_BYTES_PER_S = 2e6  # slowest expected transfer of a body to a backup's disk; extends the timeout


class BackupSet:
    """Backups of a primary in the epoch that it leads or tries to lead."""

    body_size = staticmethod(len)  # in bytes; simulations replace it to model large bodies

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self.backups: list[str] = []
        self.pending: dict[str, None] = {}  # backups that have not acknowledged the last batch
        self._number = 0
        self._last_batch: Replicate | None = None  # None after a snapshot
        self._sent_at = state.now
        self._timeout_s = REPLICATE_TIMEOUT_S

    @property
    def timed_out(self) -> bool:
        """Whether a backup has not acknowledged the last batch in time."""
        return bool(self.pending) and self._state.now - self._sent_at > self._timeout_s

    def timeout_s(self, body: bytes) -> float:
        """Time that a backup has to store a body, in seconds."""
        return REPLICATE_TIMEOUT_S + self.body_size(body) / MIN_BYTES_PER_S

    def _start_batch(self, backups: Iterable[str], body: bytes) -> None:
        self._number += 1
        self._sent_at = self._state.now
        self._timeout_s = self.timeout_s(body)
        self.pending = dict.fromkeys(backups)

    def send_snapshots(self, backups: list[str]) -> None:
        """Makes these machines the backups and sends them the whole state."""
        self.backups, self._last_batch = list(backups), None
        self._start_batch(backups, self._state.durable.body)
        for backup in backups:
            self._send_snapshot(backup, self._has_body(backup))

    def remove(self, backup: str) -> None:
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
        """Sends a batch to all backups and saves it here; version is the newest one after the batch."""
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
        """Sends the last batch again over a new connection; it may have been lost with the previous one."""
        if peer in self.pending:
            if self._last_batch is not None:
                self._state.send(peer, self._last_batch)
            else:
                self._send_snapshot(peer, False)

    def on_ack(self, sender: str, answer: ReplicateAck) -> bool:
        """Handles an acknowledgement; returns whether it belongs to the last batch.

        A backup that lacks the body gets the snapshot with the body.
        """
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
    """Applies a batch or a snapshot on a backup and answers it.

    Args:
        is_leader: whether this replica leads the epoch itself, or tries to.

    Returns:
        Whether the message was applied.
    """
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
        # a blank machine may store a replica, but makes no promise by that
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
