"""Replica of the configuration store: leader election, replication and membership (no I/O, no clock).

Theory of operation. The newest configuration is stored on some machines, a primary and its backups, one more
than the number of losses to tolerate. A write is acknowledged once it is synced on all of them. A membership
*record* names them: (epoch, primary, backups, voters). Voters store only the highest epoch that they have
promised and the newest record; a voter that is neither primary nor backup is a witness. A record is valid
once more than half of the voters have it on disk. There is no replicated log of configurations: the primary
sends each one to its backups.

    bootstrap  at the very first start, with empty disks, every seed stores the record (1, first seed, other
               seeds)
    IDLE       not the primary
    PREPARING  candidate: has asked voters to promise a higher epoch; more than half of them must
    COPYING    sends the backups a snapshot of the whole state under that epoch
    ACCEPTING  the voters store the new record
    ACTIVE     the record is valid: accepts writes, one batch at a time

The parts are free of I/O, and each uses only those before it: replica_state (durable state, peers, pending
actions), quorum_contact (whether the primary reaches a majority), voter_changes (selection of voters and
backups), replication (sending and applying data), configuration_requests (writes and reads). This module
handles the transitions between the stages and passes each event to its part.

Safety rules; each guards against a loss that is covered by tests:

1. Only a machine named as primary or backup by the newest record that a majority reports may lead the next
   epoch. All of these store everything committed before, because each commit needed all of them.
2. A backup that has promised a higher epoch rejects the messages of the old primary, so that the old primary
   cannot commit any more.
3. A machine without its disk (`blank`) promises nothing until enough voters have reported what they promised:
   every majority that its forgotten promise was part of must have a voter among them. It then continues above
   any epoch that it can have promised to a candidate of which they had not heard (MAX_UNSEEN_EPOCHS). It does
   not lead until a primary has sent it a snapshot.
4. A configuration is committed once it is on every replica. What a new primary finds on its own disk reaches
   every replica with the snapshots. Whether it had been acknowledged is unknown; from then on it is
   committed.
5. A read of the newest configuration is answered only after more than half of the voters have confirmed that
   the epoch is the newest, which a deposed primary cannot achieve. A primary that reaches no majority
   acknowledges no writes and does not claim to lead (quorum_contact).
6. A voter that hears the active primary promises nothing to other candidates. A machine does not become a
   candidate unless it hears more than half of the voters, nor while it hears an active primary. Guards
   against a primary and backup that are deposed again and again by a machine that merely cannot hear them,
   or that was away.
7. A record that was only reported in a status, and that no active primary claims, does not take leadership
   away from a machine that stores everything under the record it knows: the voters decide when it asks.

Promises, records and configurations are synced before the answer is sent (Save comes before Send). A failed
save stops the replica until it is restarted from disk. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict, replace
from enum import Enum
from math import inf
from typing import Any

import msgspec

from troutdock.rpc.messages import (
    Accept,
    Accepted,
    Message,
    Prepare,
    Probe,
    ProbeAck,
    Promise,
    Read,
    Record,
    Replicate,
    ReplicateAck,
    Status,
    Write,
    body_digest,
)
from troutdock.config_store import replication
from troutdock.config_store import voter_changes
from troutdock.config_store.quorum_contact import QuorumContact
from troutdock.config_store.replication import BackupSet
from troutdock.config_store.configuration_requests import ClientRequests, reject_read, reject_write
from troutdock.config_store.replica_state import (
    PEER_TIMEOUT_S,
    Action,
    FaultTolerance,
    DurableState,
    Peer,
    ReplicaState,
)

BOOTSTRAP_WAIT_S = 3.0  # from the very first start until a seed other than the first may lead
STATUS_INTERVAL_S = 0.3
# until a primary that is heard, but not active, is replaced; later backups wait longer
PRIMARY_TIMEOUT_S = 2.0
SUCCESSION_STEP_S = 0.3  # added for each backup in the order of succession
# for all answers of one phase; a slow fsync takes about 140 ms, and a client waits 5 s in all
PHASE_TIMEOUT_S = 0.8
RESEND_INTERVAL_S = 0.15  # until a request without an answer is sent again
# after a failed phase, before the next attempt; the machine's index in the voter list adds to it
ELECTION_BACKOFF_S = 0.35
# between changes of membership, as each one stops writes for some hundredths of a second
MIN_MEMBERSHIP_INTERVAL_S = 0.3
REBALANCE_DELAY_S = 2.0  # until a new epoch is started only for better placement
MAX_UNSEEN_EPOCHS = 64  # epochs that candidates may have asked for unnoticed, one per attempt


EVENTS = ("tick", "hear", "linked", "meet", "leave", "take")  # methods of Replica that traces record


def trace_header(
    me: str,
    seeds: Sequence[str],
    durable: DurableState | None,
    first_start: bool,
    now: float,
    tolerance: FaultTolerance,
    incarnation: int,
) -> dict[str, Any]:
    """Returns the first line of a replica's trace; replica_from_trace() is its inverse."""
    stored = (
        msgspec.to_builtins({**asdict(durable), "body": durable.body.decode()})
        if durable is not None
        else None
    )
    header = {"me": me, "seeds": list(seeds), "kept": stored, "first": first_start, "now": now}
    return {"machine": "rootstock", **header, "bounds": asdict(tolerance), "life": incarnation}


def replica_from_trace(header: Mapping[str, Any]) -> Replica:
    """Creates the replica in the state at the beginning of a trace.

    Raises:
        ValueError, KeyError: The header is not that of a replica.
    """
    stored = header["kept"]
    if stored is not None:
        stored = msgspec.convert({**stored, "body": b""}, DurableState, strict=False)
        stored = replace(stored, body=header["kept"]["body"].encode())
    tolerance = msgspec.convert(header["bounds"], FaultTolerance)
    return Replica(
        header["me"], header["seeds"], stored, header["first"], header["now"], tolerance, header["life"]
    )


class Stage(Enum):
    """Stage of leadership; see the module documentation."""

    IDLE = "idle"
    PREPARING = "asks"
    COPYING = "recruits"
    ACCEPTING = "seals"
    ACTIVE = "active"


class Replica:
    """State machine of one replica.

    Each method that takes an event and its time returns actions, which the caller executes in order.
    """

    def __init__(
        self,
        me: str,
        seeds: Sequence[str],
        durable: DurableState | None,
        first_start: bool,
        now: float,
        tolerance: FaultTolerance | None = None,
        incarnation: int = 0,
    ) -> None:
        """Creates a replica.

        Args:
            me: address of this machine.
            seeds: addresses of the seed machines.
            durable: state on disk, None if there is none.
            first_start: whether this is the very first start of the whole system.
            now: time of the monotonic clock, in seconds.
            tolerance: losses to tolerate, and times.
            incarnation: number that identifies this start of the process.
        """
        self.me = me
        state = self._state = ReplicaState(
            me, tolerance or FaultTolerance(), incarnation, durable or DurableState(), now
        )
        self._contact = QuorumContact(state)
        self._backup_set = BackupSet(state)
        self._requests = ClientRequests(state, self._contact)
        self.stage = Stage.IDLE
        self.left = False  # after leave(): the handover is complete and the process may end
        self._leaving = False
        self._last_active_epoch = 0  # in which this incarnation was active last
        self._accept_sent_at = self._active_since = -inf
        self._logged_gaps: list[str] = []  # losses not tolerated, as logged last
        self._next_voters: list[str] = []  # voters of the next record, if they change
        # voters that promised or accepted, with the record each reported
        self._votes: dict[str, Record | None] = {}
        self._prepare_sent_to: set[str] = set()
        self._phase_deadline = self._resend_at = -inf
        self._election_not_before = now + PEER_TIMEOUT_S
        self._status_sent_at = -inf
        self._last_promise = 0, "", 0  # by this incarnation: epoch, candidate and its incarnation
        self._excluded_backups: list[str] = []  # that did not answer in this attempt
        self._backup_failed_at: dict[str, float] = {}  # time of the last failure to answer
        # since the start, from machines that have not lost their disk
        self._peer_statuses: dict[str, Status] = {}
        self._logged_contact = False  # contact with a majority, as logged last
        self._primary_seen_at = now  # last status of an active primary, or start of this incarnation
        if durable is not None:
            if durable.version and not durable.digest:  # written before digests were stored
                state.durable = replace(durable, taken=((durable.version, body_digest(durable.body)),))
            if durable.record is not None and durable.record.primary == me:
                self._election_not_before = now  # no other machine takes precedence
        elif first_start and seeds:
            founders = list(dict.fromkeys(seeds))
            record = Record(1, founders[0], founders[1:], founders)
            state.durable = DurableState(voters=tuple(founders), blank=False)
            state.save(promised=1, record=record, given=int(me in founders))
            if me == founders[0]:
                self._election_not_before = now
            else:
                self._election_not_before = now + BOOTSTRAP_WAIT_S  # the first seed may start a little later
            state.log(f"Bootstrapped: {', '.join(founders)}.")
        else:
            state.log("No stored state: no promises are made until the other voters have reported theirs.")
        tolerance = state.tolerance
        state.log(
            f"Tolerates losses: {tolerance.losses}; {tolerance.replica_count} replicas,"
            f" {tolerance.voter_count} voters."
        )

    # ---- events

    def take(self) -> list[Action]:
        """Returns and clears the pending actions."""
        state = self._state
        actions, state.actions = state.actions, []
        return actions

    def tick(self, now: float) -> list[Action]:
        """Handles the passing of time; to be called ten times a second or more often."""
        self._state.now = now
        if now - self._status_sent_at >= STATUS_INTERVAL_S:
            self._send_status()
        self._requests.tick()
        if self.stage is Stage.ACTIVE:
            self._contact.tick()
            self._log_contact()
            self._check_members()
        elif self.stage is Stage.COPYING:
            if self._backup_set.timed_out or not self._backup_set.backups:
                self._replace_late_backups()
        elif self.stage in (Stage.PREPARING, Stage.ACCEPTING):
            if now > self._phase_deadline:
                self._back_off()
            elif now > self._resend_at:
                self._send_phase_requests()
        self._start_election_if_due()
        self._update_left()
        return self.take()

    def hear(self, now: float, sender: str, message: Message) -> list[Action]:
        """Handles a message of another replica or a client; ignores messages that are out of place."""
        state = self._state
        state.now = now
        match message:
            case Status():
                self._on_status(sender, message)
            case Prepare():
                self._on_prepare(sender, message)
            case Promise():
                self._on_promise(sender, message)
            case Replicate():
                applied = replication.apply_replicate(state, sender, message, self._claims(message.epoch))
                if applied and message.whole and self.stage is not Stage.IDLE:
                    self._step_down(f"{sender} leads epoch {message.epoch}")
            case ReplicateAck():
                self._on_replicate_ack(sender, message)
            case Accept():
                self._on_accept(sender, message)
            case Accepted():
                self._on_accepted(sender, message)
            case Probe(epoch, number, incarnation):
                ok = not state.durable.blank and state.durable.promised <= epoch
                state.send(sender, ProbeAck(epoch, number, ok, incarnation))
            case ProbeAck():
                if self.stage is Stage.ACTIVE:
                    self._contact.on_probe_ack(sender, message)
                    self._requests.answer_proven_reads()
                    self._log_contact()
            case Write():
                if self.stage is Stage.ACTIVE:
                    self._requests.write(sender, message)
                    self._replicate_next_batch()
                else:
                    reject_write(state, sender, message, "not the primary")
            case Read(number, incarnation):
                if self.stage is Stage.ACTIVE:
                    self._requests.read(sender, message)
                else:
                    reject_read(state, (sender, number, incarnation), "not the primary")
            case _:
                pass
        return self.take()

    def linked(self, now: float, peer: str) -> list[Action]:
        """Handles a new connection to a peer: sends it the status and any request without an answer."""
        self._state.now = now
        self.meet(peer)
        self._state.send(peer, self.status)
        if self.stage in (Stage.PREPARING, Stage.ACCEPTING):
            self._send_phase_requests()
        elif self.stage is not Stage.IDLE:
            self._backup_set.resend(peer)
        return self.take()

    def meet(self, peer: str, domain: str = "") -> None:
        """Registers a machine of the store; or the failure domain (zone or region) of a machine."""
        state = self._state
        if domain:
            state.domains[peer] = domain
        if peer != self.me:
            state.peers.setdefault(peer, Peer(discovered_at=state.now))

    def leave(self, now: float) -> list[Action]:
        """Starts an orderly exit: leadership, data and vote are handed over.

        The replica continues as a voter and a backup until `left` is true, or its grace period is over.
        """
        self._state.now = now
        self._leaving = True
        if self.stage is not Stage.IDLE:
            self._step_down("this process is shutting down")
        self._send_status()
        self._update_left()
        return self.take()

    @property
    def status(self) -> Status:
        """Status as sent to the peers."""
        state, durable = self._state, self._state.durable
        leads = self.stage is Stage.ACTIVE
        return Status(
            durable.promised,
            durable.record,
            durable.version,
            leads and self._contact.established,
            durable.blank,
            state.is_up_to_date,
            self.voters,
            self._leaving,
            durable.digest,
            state.incarnation,
            self.stage in (Stage.COPYING, Stage.ACCEPTING),
        )

    @property
    def durable(self) -> DurableState:
        """State on disk."""
        return self._state.durable

    @property
    def epoch(self) -> int:
        """Epoch that this replica leads or tries to lead."""
        return self._state.epoch

    @property
    def voters(self) -> list[str]:
        """Voters of the newest known record."""
        return self._state.voters

    @property
    def backups(self) -> list[str]:
        """Backups of the newest known record."""
        record = self.durable.record
        return list(record.backups) if record is not None else []

    @property
    def members(self) -> list[str]:
        """Machines named by the newest known record; they must be reached even if they are not seeds."""
        return self._state.members

    # ---- status exchange

    def _send_status(self) -> None:
        state, status = self._state, self.status
        self._status_sent_at = state.now
        for peer in state.peers:
            state.send(peer, status)

    def _on_status(self, sender: str, status: Status) -> None:
        state = self._state
        peer = state.peers.setdefault(sender, Peer(discovered_at=state.now))
        if peer.status is not None and peer.status.life != status.life and self.stage is Stage.PREPARING:
            self._votes.pop(sender, None)  # the promise of its previous incarnation may be forgotten
        if status.active or peer.active_at == -inf:
            peer.active_at = state.now
        if status.active:
            self._primary_seen_at = state.now
        peer.status, peer.status_at = status, state.now
        if not state.durable.voters and status.voters:
            state.durable = replace(state.durable, voters=tuple(status.voters))  # stored with the next save
        if not status.blank:
            self._peer_statuses[sender] = status
        if state.durable.blank:
            self._recover_promise()
        self._adopt_newer_record(status)
        if self.stage is Stage.ACTIVE:
            record = status.record
            if status.active and record is not None and record.epoch > state.epoch:
                self._step_down(f"{sender} leads epoch {record.epoch}")
            elif sender in self._backup_set.backups and self._statuses_are_current() and not status.holds:
                # it lost its disk and restarted before its silence was noticed
                self._start_new_epoch(f"backup {sender} has lost its data")
        elif self.stage is Stage.COPYING and not self._backup_set.backups:
            self._copy_to_backups()
        self._start_election_if_due()
        self._update_left()

    def _statuses_are_current(self) -> bool:
        """Whether statuses received now were sent after the peers had the record of this epoch."""
        return self._state.now - self._active_since > PEER_TIMEOUT_S

    def _adopt_newer_record(self, status: Status) -> None:
        """Adopts a newer reported record, unless rule 7 forbids it."""
        state, record, durable = self._state, status.record, self._state.durable
        if (
            record is None
            or durable.blank
            or (durable.record is not None and record.epoch <= durable.record.epoch)
        ):
            return
        if status.active or (
            record.epoch >= durable.promised and (state.is_complete_for(record) or not state.is_up_to_date)
        ):
            state.save(promised=max(durable.promised, record.epoch), record=record)
            self._mark_active(record.primary)

    def _mark_active(self, peer: str) -> None:
        """Treats the primary of a newly adopted record as if it had just reported to be active."""
        if (known := self._state.peers.get(peer)) is not None:
            known.active_at = self._state.now

    def _recover_promise(self) -> None:
        """Leaves the blank state once enough voters have reported their promises (rule 3)."""
        state, durable = self._state, self._state.durable
        if not durable.voters:
            return
        statuses = [status for peer, status in self._peer_statuses.items() if peer != self.me]
        record = max(
            (s.record for s in statuses if s.record is not None), key=lambda r: r.epoch, default=None
        )
        votes = False
        for voters in state.voter_lists(record):
            if self.me in voters:
                votes = True
                others = sum(v != self.me and v in self._peer_statuses for v in voters)
                if others < len(voters) - len(voters) // 2:  # a majority may exist of which none has reported
                    return
        if record is None and not votes:
            state.durable = replace(durable, blank=False)  # this machine was never a voter
            return
        promised = max((s.promised for s in statuses), default=0)
        if votes:
            promised += MAX_UNSEEN_EPOCHS
            state.log(f"Voters have reported their promises: epoch {promised} was promised at most.")
        state.save(promised=promised, record=record, blank=False)

    # ---- election

    def _start_election_if_due(self) -> None:
        if self.stage is Stage.IDLE and self._state.now >= self._election_not_before and self._should_lead():
            self._start_election()

    def _should_lead(self) -> bool:
        state = self._state
        record = state.durable.record
        if self._leaving or record is None or not state.is_up_to_date or state.leader() is not None:
            return False
        alive = [self.me, *(p for p in state.peers if state.is_alive(p))]
        if not state.has_quorum(alive, record) or self._peer_is_elected(alive):
            return False
        if state.now - state.started_at < PEER_TIMEOUT_S * 2 and any(
            status is not None and status.record is not None and status.record.epoch > record.epoch
            for status in (state.peers[p].status for p in alive if p != self.me)
        ):
            return False  # this machine was away, and the current primary may not have been heard yet
        rank = record.replicas.index(self.me)
        if rank == 0:
            return True
        primary = state.peers.get(record.primary)
        primary_lost = (
            primary is None or state.now - primary.active_at > PRIMARY_TIMEOUT_S + rank * SUCCESSION_STEP_S
        )
        holds = primary is not None and primary.status is not None and primary.status.holds
        if state.is_available(record.primary) and holds and not primary_lost:
            return False  # otherwise it is alive but lost its data, or has not become active in time
        return primary_lost or not any(state.is_available(b) for b in record.replicas[1:rank])

    def _peer_is_elected(self, alive: list[str]) -> bool:
        """Whether a candidate with promises of a majority is still within its time to copy the state."""
        state = self._state
        statuses = [state.peers[p].status for p in alive if p != self.me]
        allowed_s = PRIMARY_TIMEOUT_S + 3 * self._backup_set.timeout_s(state.durable.body)
        return state.now - self._primary_seen_at <= allowed_s and any(
            s is not None and s.elected for s in statuses
        )

    def _start_election(self, *excluded: str) -> None:
        """Becomes a candidate for a new epoch; the excluded machines are not chosen as backups."""
        state, durable = self._state, self._state.durable
        promised = [known.status.promised for known in state.peers.values() if known.status is not None]
        state.epoch = max([durable.promised, *promised]) + 1
        self.stage, self._phase_deadline = Stage.PREPARING, state.now + PHASE_TIMEOUT_S
        self._excluded_backups, self._prepare_sent_to = list(excluded), set()
        state.save(promised=state.epoch)
        self._votes = {self.me: durable.record}
        self._send_phase_requests()
        self._check_promises()

    def _phase_participants(self) -> list[str]:
        """Voters whose answers count in the current phase."""
        state = self._state
        known = (
            [state.durable.record, *self._votes.values()]
            if self.stage is Stage.PREPARING
            else [state.durable.record]
        )
        return list(
            dict.fromkeys(v for record in known for voters in state.voter_lists(record) for v in voters)
        )

    def _send_phase_requests(self) -> None:
        """Sends the request of the current phase to all that have not answered."""
        state = self._state
        self._resend_at = state.now + RESEND_INTERVAL_S
        record = state.durable.record
        recipients = self._phase_participants()
        if self.stage is Stage.ACCEPTING:
            recipients += self._backup_set.backups
        for voter in dict.fromkeys(recipients):
            if voter != self.me and voter not in self._votes:
                if self.stage is Stage.PREPARING:
                    self._prepare_sent_to.add(voter)
                    state.send(voter, Prepare(state.epoch, state.incarnation))
                elif record is not None:
                    state.send(voter, Accept(record, state.incarnation))

    def _on_prepare(self, sender: str, request: Prepare) -> None:
        state, durable, epoch = self._state, self._state.durable, request.epoch
        if durable.blank:
            return
        record = durable.record
        if record is not None and sender != record.primary:
            leads = record.primary == self.me and self.stage is Stage.ACTIVE and self._contact.established
            known = state.peers.get(record.primary)
            status = known.status if known is not None and state.is_alive(record.primary) else None
            if leads or (status is not None and status.active and not status.leaving):  # rule 6
                state.send(sender, Promise(epoch, False, 0, record, request.life))
                return
        if (epoch, sender, request.life) == self._last_promise and epoch == durable.promised:
            state.send(sender, Promise(epoch, True, epoch, record, request.life))  # the answer was lost
            return
        if epoch <= durable.promised:
            state.send(sender, Promise(epoch, False, durable.promised, record, request.life))
            return
        if self.stage is not Stage.IDLE:
            self._step_down(f"{sender} requests epoch {epoch}")
        state.save(promised=epoch)
        self._last_promise = epoch, sender, request.life
        self._election_not_before = max(self._election_not_before, state.now + PHASE_TIMEOUT_S * 2)
        state.send(sender, Promise(epoch, True, epoch, record, request.life))

    def _on_promise(self, sender: str, answer: Promise) -> None:
        state = self._state
        if self.stage is not Stage.PREPARING or (answer.epoch, answer.life) != (
            state.epoch,
            state.incarnation,
        ):
            return
        if not answer.ok:
            if answer.promised > state.epoch:
                self._step_down(f"epoch {answer.promised} was promised to another")
            return
        self._votes[sender] = answer.record
        for voter in self._phase_participants():  # voters that only an answer has named
            if voter not in self._prepare_sent_to and voter != self.me:
                self._prepare_sent_to.add(voter)
                state.send(voter, Prepare(state.epoch, state.incarnation))
        self._check_promises()

    def _check_promises(self) -> None:
        state = self._state
        newest = max((r for r in self._votes.values() if r is not None), key=lambda r: r.epoch, default=None)
        if self.stage is not Stage.PREPARING or not state.has_quorum(self._votes, newest):
            return
        if newest is None or not state.is_complete_for(newest):
            # rule 1: others took over, and what they committed may not be stored here
            state.save(record=newest)
            self._step_down("other machines store newer data")
            return
        if newest != state.durable.record:
            state.save(record=newest)  # its voters decide from now on
        self.stage = Stage.COPYING
        self._copy_to_backups()

    # ---- replication

    def _copy_to_backups(self) -> None:
        """Sends snapshots to backups: the previous ones if they are available, else others."""
        state = self._state
        chosen = voter_changes.choose_backups(state, self._excluded_backups)
        if len(chosen) + 1 < voter_changes.required_replicas(state):
            if state.now > self._phase_deadline + PHASE_TIMEOUT_S:
                self._back_off()
                return
            self._excluded_backups, chosen = [], []
            self._backup_set.backups = []
            return
        self._phase_deadline = state.now + PHASE_TIMEOUT_S
        self._backup_set.send_snapshots(chosen)
        if not chosen:
            self._propose_record()

    def _replace_late_backups(self) -> None:
        """Continues without the backups that did not answer if enough are left, else chooses others."""
        state, backup_set = self._state, self._backup_set
        for backup in list(backup_set.pending):
            self._excluded_backups.append(backup)
            self._backup_failed_at[backup] = state.now
            backup_set.remove(backup)
        if backup_set.backups and len(backup_set.backups) + 1 >= voter_changes.required_replicas(state):
            self._propose_record()
        else:
            self._copy_to_backups()

    def _on_replicate_ack(self, sender: str, answer: ReplicateAck) -> None:
        state, backup_set = self._state, self._backup_set
        if self.stage not in (Stage.COPYING, Stage.ACTIVE) or not backup_set.on_ack(sender, answer):
            return
        if not answer.ok and not answer.lacks:
            if answer.promised > state.epoch:
                self._step_down(f"{sender} has promised epoch {answer.promised}")
            elif self.stage is Stage.ACTIVE:
                self._start_new_epoch(f"backup {sender} rejects replication")
            return
        if backup_set.pending:
            return
        if self.stage is Stage.COPYING:
            self._propose_record()
        else:
            self._requests.on_committed()
            self._replicate_next_batch()

    def _replicate_next_batch(self) -> None:
        """Sends the next batch of writes once the previous one is on every replica."""
        while not self._backup_set.pending and (batch := self._requests.next_batch()) is not None:
            self._backup_set.replicate(*batch)
            if not self._backup_set.pending:  # this is the only replica
                self._requests.on_committed()

    # ---- the record

    def _propose_record(self) -> None:
        state = self._state
        former = state.durable.record
        assert former is not None
        voters, before = former.voters or list(state.durable.voters), former.before
        # it was active under this machine, so its voters decide alone
        if former.epoch == self._last_active_epoch:
            voters, before = self._next_voters or voters, state.voters if self._next_voters else []
        self._next_voters = []
        record = Record(state.epoch, self.me, list(self._backup_set.backups), voters, before)
        self.stage, self._phase_deadline = Stage.ACCEPTING, state.now + PHASE_TIMEOUT_S
        self._accept_sent_at = state.now
        state.save(record=record, given=state.epoch)
        self._votes = {self.me: record}
        self._send_phase_requests()
        self._check_accepted()

    def _on_accept(self, sender: str, request: Accept) -> None:
        state, durable, record = self._state, self._state.durable, request.record
        if durable.blank:
            return
        if record.epoch < durable.promised or self._claims(record.epoch):
            state.send(sender, Accepted(record.epoch, False, durable.promised, request.life))
            return
        if self.stage is not Stage.IDLE:
            self._step_down(f"{record.primary} leads epoch {record.epoch}")
        state.save(promised=record.epoch, record=record)
        self._mark_active(record.primary)
        state.send(sender, Accepted(record.epoch, True, record.epoch, request.life))

    def _claims(self, epoch: int) -> bool:
        return self.stage is not Stage.IDLE and self._state.epoch >= epoch

    def _on_accepted(self, sender: str, answer: Accepted) -> None:
        state = self._state
        if self.stage is not Stage.ACCEPTING or (answer.epoch, answer.life) != (
            state.epoch,
            state.incarnation,
        ):
            return
        if not answer.ok:
            if answer.promised > state.epoch:
                self._step_down(f"{sender} has promised epoch {answer.promised}")
            return
        self._votes[sender] = None
        self._check_accepted()

    def _check_accepted(self) -> None:
        state = self._state
        if self.stage is not Stage.ACCEPTING or not state.has_quorum(self._votes, state.durable.record):
            return
        self.stage, self._active_since = Stage.ACTIVE, state.now
        self._last_active_epoch = state.epoch
        self._contact.begin(self._accept_sent_at)
        backups = ", ".join(self._backup_set.backups) or "none"
        state.log(f"Primary of epoch {state.epoch}, backup {backups}, version {state.durable.version}.")
        self._log_unmet_tolerance()
        self._requests.begin_epoch()
        self._contact.tick()
        self._log_contact()
        self._send_status()

    def _log_unmet_tolerance(self) -> None:
        """Logs changes of the losses that the current replicas and voters do not tolerate."""
        gaps = voter_changes.unmet_tolerance(self._state, [self.me, *self._backup_set.backups])
        if gaps != self._logged_gaps:
            self._logged_gaps = gaps
            text = (
                f"Fault tolerance reduced: {'; '.join(gaps)}."
                if gaps
                else "All configured losses are tolerated."
            )
            self._state.log(text)

    def _log_contact(self) -> None:
        established = self._contact.established
        if established != self._logged_contact:
            self._logged_contact = established
            if not established:
                self._state.log(
                    "No contact with a majority of voters: writes are not acknowledged until it is restored."
                )
                self._send_status()
            elif self._state.now - self._active_since > PEER_TIMEOUT_S:
                self._state.log("Contact with a majority of voters is restored.")
                self._send_status()

    # ---- supervision by the active primary

    def _check_members(self) -> None:
        """Replaces lost backups and voters, so that the next loss is tolerated as well."""
        state = self._state
        alive = [self.me, *(p for p in state.peers if state.is_alive(p))]
        if not state.has_quorum(alive, state.durable.record):
            return  # a candidate without a majority would only stop writes that can be committed later
        age = state.now - self._active_since
        for backup in self._backup_set.backups:
            if not state.is_alive(backup) and age > PEER_TIMEOUT_S:
                self._start_new_epoch(f"backup {backup} is silent", backup)
                return
            if state.is_alive(backup) and not state.is_available(backup):
                self._start_new_epoch(f"backup {backup} is leaving", backup)
                return
        if self._backup_set.pending:
            if self._backup_set.timed_out:
                self._start_new_epoch(
                    f"backup {next(iter(self._backup_set.pending))} does not answer",
                    *self._backup_set.pending,
                )
            return
        if age <= MIN_MEMBERSHIP_INTERVAL_S:
            return
        record = state.durable.record
        assert record is not None
        higher = [p for p in alive if p in state.members and p != self.me and self._has_promised_higher(p)]
        if record.before:
            self._start_new_epoch("the new voters decide alone from now on")
        elif higher:
            self._start_new_epoch(f"{higher[0]} has promised a higher epoch")
        elif not self._contact.established:
            if state.now - self._contact.proven_at > PRIMARY_TIMEOUT_S:
                self._start_new_epoch("no majority confirms this epoch")
        elif (change := voter_changes.next_voters(state)) is not None and (
            age > REBALANCE_DELAY_S or voter_changes.lost_voters(state)
        ):
            self._next_voters = change[0]
            self._start_new_epoch(change[1])
        elif age > REBALANCE_DELAY_S:
            self._improve_placement()

    def _has_promised_higher(self, peer: str) -> bool:
        status = self._state.peers[peer].status
        return status is not None and not status.blank and status.promised > self._state.epoch

    def _improve_placement(self) -> None:
        """Starts a new epoch if more backups, or better placed ones, are available."""
        state = self._state
        failed = [
            p for p, at in self._backup_failed_at.items() if state.now - at < state.tolerance.sync_s * 2
        ]
        current, best = (
            self._backup_set.backups,
            voter_changes.choose_backups(state, [p for p in failed if p not in self.backups]),
        )
        if len(best) > len(current):
            self._start_new_epoch("another backup is available")
        elif state.tolerance.requires_spread and voter_changes.count_domains(
            state, [self.me, *best]
        ) > voter_changes.count_domains(state, [self.me, *current]):
            self._start_new_epoch("replicas can be spread over more failure domains")

    def _start_new_epoch(self, reason: str, *lost: str) -> None:
        """Starts a new epoch with other members; clients retry the writes that are pending."""
        state = self._state
        state.log(f"New epoch: {reason}.")
        record = state.durable.record
        if not self._next_voters and record is not None and not record.before:
            lost_voters = voter_changes.lost_voters(state)
            change = voter_changes.next_voters(state) if lost_voters else None
            if change is not None:  # replaces a lost voter in the same epoch
                self._next_voters = change[0]
        self._requests.abort("a backup was lost")
        self.stage = Stage.IDLE
        self._start_election(*lost)

    def _back_off(self) -> None:
        state, voters = self._state, self.voters
        self.stage = Stage.IDLE
        self._next_voters = []
        self._requests.abort("no majority answered in time")
        index = voters.index(self.me) if self.me in voters else len(voters)
        self._election_not_before = state.now + ELECTION_BACKOFF_S + index * 0.15

    def _step_down(self, reason: str) -> None:
        state, was = self._state, self.stage
        if was is Stage.ACTIVE:
            state.log(f"Stepping down from epoch {state.epoch}: {reason}.")
        self._logged_contact = False
        self._next_voters = []
        self._requests.abort("no longer the primary")
        self._back_off()
        if was is Stage.ACTIVE:
            self._election_not_before = max(self._election_not_before, state.now + PEER_TIMEOUT_S)

    # ---- orderly exit

    def _update_left(self) -> None:
        """Sets `left` once others store all data, the record names them, and they have a majority."""
        if self._leaving and not self.left:
            self.left = self._may_leave()

    def _may_leave(self) -> bool:
        state = self._state
        others = [p for p in state.peers if state.is_available(p)]
        if not state.has_quorum(others, state.durable.record):
            return True  # no machine is left to hand over to, so staying is of no use
        leader = state.leader()
        if leader is None or leader not in others:
            return False
        status = state.peers[leader].status
        record = status.record if status is not None else None
        if record is None or self.me in record.replicas or record.before:
            return False
        if self.me not in record.voters:
            return True
        free = [p for p in others if p not in record.voters]
        return all((known := state.peers[p].status) is None or known.blank for p in free)
