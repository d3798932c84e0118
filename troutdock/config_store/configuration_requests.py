"""What registries ask: orders to keep a configuration, and reads of the newest (no I/O, no clock).

A configuration is its number and the digest of its body. Of two bodies under one number one at most is ever
confirmed: numbers with their digests are kept with the configuration, on every copy. An order

- whose number and digest are taken is confirmed again, by whichever machine leads;
- whose number is taken by another body is told so for good (conflict), as soon as that body is on every
  copy: while its rival only waits, so does it, as the rival may yet be lost with this machine;
- below the newest is confirmed once its number is taken for it, and changes nothing; of numbers so old that
  the ledger has forgotten them it is confirmed without that;
- above the newest comes into force.

Orders that wait go together in one batch: the highest comes into force, the others are overtaken. What can't
be said now (no contact, a backup lost) is answered at once, without refusing: the caller asks again,
anywhere.

A read is answered once a majority has said that the epoch is the newest, to a probe that was sent after it
came.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from troutdock.rpc.messages import Read, ReadAck, Write, WriteAck, body_digest
from troutdock.config_store.quorum_contact import QuorumContact
from troutdock.config_store.replica_state import MAX_STORED_DIGESTS, Committed, ReplicaState, raw_body

READ_TIMEOUT_S = 0.8  # for a majority to answer: callers wait a second
MAX_QUEUED_WRITES = 64  # orders that wait their turn

Caller = tuple[str, int, int]  # name, number of its call, its life


@dataclass(slots=True)
class _PendingWrite:
    """A configuration that is to be kept, who waits for that, and who sent another body under its number."""

    version: int
    digest: str
    body: bytes
    callers: list[Caller] = field(default_factory=list)
    conflicting: list[Caller] = field(default_factory=list)


class ClientRequests:
    """Those of one replica; it takes them while it is the active primary."""

    def __init__(self, state: ReplicaState, contact: QuorumContact) -> None:
        self._state, self._contact = state, contact
        self.committed_version = 0
        self._committed_body = b""
        self._committed_digests: dict[int, str] = {}  # numbers that are taken on every copy
        self._queue: list[_PendingWrite] = []
        self._batch: list[_PendingWrite] = []  # on its way to the backups
        self._pending_reads: list[tuple[Caller, float]] = []  # and when each came

    # ---- orders

    def begin_epoch(self) -> None:
        """This machine is the active primary: what lies here lies on every copy."""
        durable = self._state.durable
        self._committed_digests = dict(durable.taken)
        self._commit(durable.version, durable.body)

    def write(self, sender: str, write: Write) -> None:
        """Keep a configuration."""
        caller = sender, write.number, write.life
        body = bytes(write.body)
        digest = body_digest(body)
        if write.digest not in ("", digest):
            self._answer(caller, "the body does not fit its digest")
            return
        if not self._contact.established:
            self._answer(caller, "no contact with a majority")
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
            self._answer(caller, "too many at once")
        else:
            self._queue.append(_PendingWrite(write.version, digest, body, [caller]))

    def next_batch(self) -> tuple[int, bytes, list[tuple[int, str]]] | None:
        """What is to be replicated next: the newest configuration then, and the numbers that are taken."""
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
        """The batch is on every copy."""
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
        """It is on every copy; a machine that reaches no majority says nothing for good all the same."""
        self._answer(caller, "" if self._contact.established else "no contact with a majority")

    def _reject_conflict(self, caller: Caller, committed_digest: str) -> None:
        if not self._contact.established:
            self._answer(caller, "no contact with a majority")
            return
        to, number, incarnation = caller
        why = f"its number is taken by another body, {committed_digest}"
        self._state.send(to, WriteAck(number, False, why, incarnation, True, committed_digest))

    def _answer(self, caller: Caller, why: str = "") -> None:
        to, number, incarnation = caller
        self._state.send(to, WriteAck(number, not why, why, incarnation))

    # ---- reads

    def read(self, sender: str, request: Read) -> None:
        """Tell the newest once the epoch has been proven."""
        self._pending_reads.append(((sender, request.number, request.life), self._state.now))
        self._contact.probe()
        self.answer_proven_reads()

    def answer_proven_reads(self) -> None:
        """More may be known of the epoch: answer the reads that it is enough for."""
        proven_at = self._contact.proven_at
        body = raw_body(self._committed_body)
        for (to, number, incarnation), _ in [r for r in self._pending_reads if r[1] <= proven_at]:
            self._state.send(to, ReadAck(number, self.committed_version, body, life=incarnation))
        self._pending_reads = [r for r in self._pending_reads if r[1] > proven_at]

    def tick(self) -> None:
        """Reads that could not be proven in time."""
        now = self._state.now
        expired = [r for r in self._pending_reads if now - r[1] > READ_TIMEOUT_S]
        for caller, _ in expired:
            reject_read(self._state, caller, "the epoch could not be proven")
        self._pending_reads = [r for r in self._pending_reads if r not in expired]

    # ---- the end of an epoch

    def abort(self, why: str) -> None:
        """Nothing that waits can be answered here now; none of it is refused for good."""
        for write in (*self._batch, *self._queue):
            for caller in (*write.callers, *write.conflicting):
                self._answer(caller, why)
        for caller, _ in self._pending_reads:
            reject_read(self._state, caller, why)
        self._queue, self._batch, self._pending_reads = [], [], []


def reject_read(state: ReplicaState, caller: Caller, why: str) -> None:
    """Not here, or not now."""
    to, number, incarnation = caller
    state.send(to, ReadAck(number, -1, why=why, life=incarnation))


def reject_write(state: ReplicaState, sender: str, write: Write, why: str) -> None:
    """Not here; never for good."""
    state.send(sender, WriteAck(write.number, False, why, write.life))
