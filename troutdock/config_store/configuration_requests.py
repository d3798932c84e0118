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
from troutdock.config_store.quorum_contact import Contact
from troutdock.config_store.replica_state import LEDGER, InForce, State, raw

READ_S = 0.8  # for a majority to answer: callers wait a second
QUEUE = 64  # orders that wait their turn

Caller = tuple[str, int, int]  # name, number of its call, its life


@dataclass(slots=True)
class _Order:
    """A configuration that is to be kept, who waits for that, and who sent another body under its number."""

    version: int
    digest: str
    body: bytes
    callers: list[Caller] = field(default_factory=list)
    rivals: list[Caller] = field(default_factory=list)


class Orders:
    """Those of one replica; it takes them while it is the active primary."""

    def __init__(self, state: State, contact: Contact) -> None:
        self._state, self._contact = state, contact
        self.in_force = 0
        self._body = b""
        self._taken: dict[int, str] = {}  # numbers that are taken on every copy
        self._queue: list[_Order] = []
        self._batch: list[_Order] = []  # on its way to the backups
        self._reads: list[tuple[Caller, float]] = []  # and when each came

    # ---- orders

    def begin(self) -> None:
        """This machine is the active primary: what lies here lies on every copy."""
        kept = self._state.kept
        self._taken = dict(kept.taken)
        self._force(kept.version, kept.body)

    def write(self, sender: str, order: Write) -> None:
        """Keep a configuration."""
        caller = sender, order.number, order.life
        body = bytes(order.body)
        digest = body_digest(body)
        if order.digest not in ("", digest):
            self._answer(caller, "the body does not fit its digest")
            return
        if not self._contact.there:
            self._answer(caller, "no contact with a majority")
            return
        held = self._taken.get(order.version)
        if held is not None:
            self._settle(caller, digest, held)
            return
        for waiting in (*self._batch, *self._queue):
            if waiting.version == order.version:
                (waiting.callers if waiting.digest == digest else waiting.rivals).append(caller)
                return
        if order.version < self.in_force and len(self._taken) >= LEDGER and order.version < min(self._taken):
            self._answer(caller)
        elif len(self._queue) >= QUEUE:
            self._answer(caller, "too many at once")
        else:
            self._queue.append(_Order(order.version, digest, body, [caller]))

    def batch(self) -> tuple[int, bytes, list[tuple[int, str]]] | None:
        """What is to be replicated next: the newest configuration then, and the numbers that are taken."""
        if self._batch or not self._queue:
            return None
        self._batch, self._queue = self._queue, []
        newest = max(self._batch, key=lambda order: order.version)
        kept = self._state.kept
        taken = [(order.version, order.digest) for order in self._batch]
        if newest.version <= kept.version:
            return kept.version, kept.body, taken
        return newest.version, newest.body, taken

    def kept(self) -> None:
        """The batch is on every copy."""
        batch, self._batch = self._batch, []
        kept = self._state.kept
        self._taken = dict(kept.taken)
        self._force(kept.version, kept.body)
        for order in batch:
            for caller in order.callers:
                self._confirm(caller)
            for caller in order.rivals:
                self._conflict(caller, order.digest)

    def _force(self, version: int, body: bytes) -> None:
        if version > self.in_force:
            self.in_force, self._body = version, body
            self._state.actions.append(InForce(version, body))

    def _settle(self, caller: Caller, digest: str, held: str) -> None:
        if digest == held:
            self._confirm(caller)
        else:
            self._conflict(caller, held)

    def _confirm(self, caller: Caller) -> None:
        """It is on every copy; a machine that reaches no majority says nothing for good all the same."""
        self._answer(caller, "" if self._contact.there else "no contact with a majority")

    def _conflict(self, caller: Caller, held: str) -> None:
        if not self._contact.there:
            self._answer(caller, "no contact with a majority")
            return
        to, number, life = caller
        why = f"its number is taken by another body, {held}"
        self._state.send(to, WriteAck(number, False, why, life, True, held))

    def _answer(self, caller: Caller, why: str = "") -> None:
        to, number, life = caller
        self._state.send(to, WriteAck(number, not why, why, life))

    # ---- reads

    def read(self, sender: str, question: Read) -> None:
        """Tell the newest once the epoch has been proven."""
        self._reads.append(((sender, question.number, question.life), self._state.now))
        self._contact.probe()
        self.proven()

    def proven(self) -> None:
        """More may be known of the epoch: answer the reads that it is enough for."""
        proven_at = self._contact.proven_at
        body = raw(self._body)
        for (to, number, life), _ in [r for r in self._reads if r[1] <= proven_at]:
            self._state.send(to, ReadAck(number, self.in_force, body, life=life))
        self._reads = [r for r in self._reads if r[1] > proven_at]

    def tick(self) -> None:
        """Reads that could not be proven in time."""
        now = self._state.now
        late = [r for r in self._reads if now - r[1] > READ_S]
        for caller, _ in late:
            refuse_read(self._state, caller, "the epoch could not be proven")
        self._reads = [r for r in self._reads if r not in late]

    # ---- the end of an epoch

    def drop(self, why: str) -> None:
        """Nothing that waits can be answered here now; none of it is refused for good."""
        for order in (*self._batch, *self._queue):
            for caller in (*order.callers, *order.rivals):
                self._answer(caller, why)
        for caller, _ in self._reads:
            refuse_read(self._state, caller, why)
        self._queue, self._batch, self._reads = [], [], []


def refuse_read(state: State, caller: Caller, why: str) -> None:
    """Not here, or not now."""
    to, number, life = caller
    state.send(to, ReadAck(number, -1, why=why, life=life))


def refuse_write(state: State, sender: str, order: Write, why: str) -> None:
    """Not here; never for good."""
    state.send(sender, WriteAck(order.number, False, why, order.life))
