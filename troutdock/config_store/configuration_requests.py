"""Client requests at the primary: writes of configurations and reads of the newest one (no I/O, no clock).

A configuration is identified by its version and the digest of its body. At most one body is ever committed
under a version: every replica stores the committed versions with their digests next to the newest
configuration. A write

- whose version and digest are already committed is acknowledged again, by whichever machine leads;
- whose version is committed with another body is rejected permanently (conflict). If the other body is still
  being replicated, the rejection waits until that body is on every replica, because it could still be lost
  with this machine;
- below the newest version is acknowledged once its version and digest are stored; it does not change the
  newest configuration. Versions that are so old that their digests were discarded are acknowledged without a
  check;
- above the newest version becomes the newest configuration.

Queued writes are replicated as one batch: the highest version becomes the newest configuration, the others
are superseded. A write that cannot be decided now (no contact with a majority, a backup lost) fails at once
with a temporary error, and the client may retry at any machine.

A read is answered once a majority of voters has confirmed the epoch in reply to a probe that was sent after
the read arrived.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from troutdock.rpc.messages import Read, ReadAck, Write, WriteAck, body_digest
from troutdock.config_store.quorum_contact import QuorumContact
from troutdock.config_store.replica_state import MAX_STORED_DIGESTS, Committed, ReplicaState, raw_body

READ_TIMEOUT_S = 0.8  # for a majority to answer a probe; clients wait 1 s
MAX_QUEUED_WRITES = 64

Caller = tuple[str, int, int]  # name, request number, incarnation


@dataclass(slots=True)
class _PendingWrite:
    """A queued configuration, its callers, and the callers that sent another body under the same version.

    The body is dropped as soon as a higher version is queued: the batch that contains both stores only the
    body of the highest.
    """

    version: int
    digest: str
    body: bytes
    callers: list[Caller] = field(default_factory=list)
    conflicting: list[Caller] = field(default_factory=list)


class ClientRequests:
    """Requests of clients at one replica; used only while the replica is the active primary."""

    def __init__(self, state: ReplicaState, contact: QuorumContact) -> None:
        self._state, self._contact = state, contact
        self.committed_version = 0
        self._committed_body = b""
        self._committed_digests: dict[int, str] = {}  # by version; stored on every replica
        self._queue: list[_PendingWrite] = []
        self._batch: list[_PendingWrite] = []  # being replicated
        self._pending_reads: list[tuple[Caller, float]] = []  # with the time of arrival

    # ---- writes

    def begin_epoch(self) -> None:
        """Starts an epoch as the active primary: the stored state of this machine is on every replica."""
        durable = self._state.durable
        self._committed_digests = dict(durable.taken)
        self._commit(durable.version, durable.body)

    def write(self, sender: str, write: Write) -> None:
        """Queues a write, or answers it at once if it is a duplicate, conflicts or cannot be accepted."""
        caller = sender, write.number, write.life
        body = bytes(write.body)
        digest = body_digest(body)
        if write.digest not in ("", digest):
            self._answer(caller, "body does not match its digest")
            return
        if not self._contact.established:
            self._answer(caller, "no contact with a majority of voters")
            return
        committed_digest = self._committed_digests.get(write.version)
        if committed_digest is not None:
            self._answer_duplicate(caller, digest, committed_digest)
            return
        for pending in (*self._batch, *self._queue):
            if pending.version == write.version:
                (pending.callers if pending.digest == digest else pending.conflicting).append(caller)
                return
        if (
            write.version < self.committed_version
            and len(self._committed_digests) >= MAX_STORED_DIGESTS
            and write.version < min(self._committed_digests)
        ):
            self._answer(caller)
        elif len(self._queue) >= MAX_QUEUED_WRITES:
            self._answer(caller, "write queue is full")
        else:
            self._enqueue(_PendingWrite(write.version, digest, body, [caller]))

    def _enqueue(self, write: _PendingWrite) -> None:
        """Appends a write; only the highest version of the queue keeps its body."""
        for queued in self._queue:
            if queued.version < write.version:
                queued.body = b""
            else:
                write.body = b""
        self._queue.append(write)

    def next_batch(self) -> tuple[int, bytes, list[tuple[int, str]]] | None:
        """Takes all queued writes as the next batch to replicate.

        Returns the newest version with its body once the batch is applied, and the versions of the batch with
        their digests; None if a batch is in progress or nothing is queued.
        """
        if self._batch or not self._queue:
            return None
        self._batch, self._queue = self._queue, []
        newest = max(self._batch, key=lambda write: write.version)
        durable = self._state.durable
        taken = [(write.version, write.digest) for write in self._batch]
        if newest.version <= durable.version:
            return durable.version, durable.body, taken
        return newest.version, newest.body, taken

    def on_committed(self) -> None:
        """Commits the batch, which is stored on every replica now, and answers its callers."""
        batch, self._batch = self._batch, []
        durable = self._state.durable
        self._committed_digests = dict(durable.taken)
        self._commit(durable.version, durable.body)
        for write in batch:
            for caller in write.callers:
                self._acknowledge(caller)
            for caller in write.conflicting:
                self._reject_conflict(caller, write.digest)

    def _commit(self, version: int, body: bytes) -> None:
        if version > self.committed_version:
            self.committed_version, self._committed_body = version, body
            self._state.actions.append(Committed(version, body))

    def _answer_duplicate(self, caller: Caller, digest: str, committed_digest: str) -> None:
        if digest == committed_digest:
            self._acknowledge(caller)
        else:
            self._reject_conflict(caller, committed_digest)

    def _acknowledge(self, caller: Caller) -> None:
        """Answers a committed write; without contact with a majority, only with a temporary error."""
        self._answer(caller, "" if self._contact.established else "no contact with a majority of voters")

    def _reject_conflict(self, caller: Caller, committed_digest: str) -> None:
        if not self._contact.established:
            self._answer(caller, "no contact with a majority of voters")
            return
        to, number, incarnation = caller
        reason = f"version is already committed with another body, digest {committed_digest}"
        self._state.send(to, WriteAck(number, False, reason, incarnation, True, committed_digest))

    def _answer(self, caller: Caller, reason: str = "") -> None:
        to, number, incarnation = caller
        self._state.send(to, WriteAck(number, not reason, reason, incarnation))

    # ---- reads

    def read(self, sender: str, request: Read) -> None:
        """Queues a read until the epoch is confirmed, and probes the voters at once."""
        self._pending_reads.append(((sender, request.number, request.life), self._state.now))
        self._contact.probe()
        self.answer_proven_reads()

    def answer_proven_reads(self) -> None:
        """Answers the reads that arrived at or before the time for which the epoch is confirmed."""
        proven_at = self._contact.proven_at
        body = raw_body(self._committed_body)
        for (to, number, incarnation), _ in [r for r in self._pending_reads if r[1] <= proven_at]:
            self._state.send(to, ReadAck(number, self.committed_version, body, life=incarnation))
        self._pending_reads = [r for r in self._pending_reads if r[1] > proven_at]

    def tick(self) -> None:
        """Rejects reads that were not confirmed in time."""
        now = self._state.now
        expired = [r for r in self._pending_reads if now - r[1] > READ_TIMEOUT_S]
        for caller, _ in expired:
            reject_read(self._state, caller, "no majority confirmed the epoch in time")
        self._pending_reads = [r for r in self._pending_reads if r not in expired]

    # ---- the end of an epoch

    def abort(self, reason: str) -> None:
        """Fails all pending requests with a temporary error."""
        for write in (*self._batch, *self._queue):
            for caller in (*write.callers, *write.conflicting):
                self._answer(caller, reason)
        for caller, _ in self._pending_reads:
            reject_read(self._state, caller, reason)
        self._queue, self._batch, self._pending_reads = [], [], []


def reject_read(state: ReplicaState, caller: Caller, reason: str) -> None:
    """Fails a read with a temporary error."""
    to, number, incarnation = caller
    state.send(to, ReadAck(number, -1, why=reason, life=incarnation))


def reject_write(state: ReplicaState, sender: str, write: Write, reason: str) -> None:
    """Fails a write with a temporary error."""
    state.send(sender, WriteAck(write.number, False, reason, write.life))
