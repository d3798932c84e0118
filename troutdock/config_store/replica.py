"""One copy of the store: who leads, and how its parts meet (no I/O, no clock).

Theory of operation. The newest configuration lies on some machines, a primary and its backups, one more than
losses are to be borne; a confirmation means that it is synced on all of them. A *record* names them: (epoch,
primary, backups). Voters keep nothing but the highest epoch that they have promised and the newest record; a
record holds once more than half of them have it on disk. Configurations go through no log: the primary hands
each to its backups.

    founding  at the first start, with empty disks, every seed writes down (1, first seed, other seeds)
    idle      not the primary, or not yet
    asks      has asked voters to promise a higher epoch; more than half must
    recruits  gives its backups all that it has, whole, under that epoch
    seals     the record is being written down by the voters
    active    the record holds: takes orders, a batch after the other

The parts, each pure, each using only those before it: replica_state (disk, peers, what is to be done),
quorum_contact (does the primary reach a majority), voter_changes (who should vote and keep copies),
replication (giving and taking them), configuration_requests (writes and reads); this module moves between
the stages and hands each event to its part.

Rules that make it safe, each against a loss that was borne in tests:

1. Only a machine that the newest record that a majority tells of names may lead the next epoch: all of them
   hold all that was confirmed before, as each confirmation needed all.
2. A backup that has promised a higher epoch takes nothing from the old primary, so that this confirms no
more.
3. A machine without its disk (`blank`) promises nothing until so many voters have told it what they promised
   that every majority which its forgotten promise was part of has a voter among them; then it begins above
   any epoch that it can have promised to somebody of whom they had not heard (UNHEARD). It never leads until
   recruited.
4. A configuration is in force once it is on every copy. What a new primary finds on its own disk gets there
with
   the recruiting; whether it was confirmed is not known, and from then on it stays.
5. What the newest configuration is, is told after more than half of the voters have said that the epoch is
the
   newest: a deposed primary can't. A primary that reaches no majority confirms and claims nothing (contact).
6. A voter that hears the active primary promises nobody else anything; and nobody asks for an epoch who does
not
   hear more than half of the voters, or who hears an active primary. Guards against a pair that is deposed
   again and again by a machine that merely can't hear it, or that was away.
7. What is merely told of a record that no active primary stands for doesn't take the lead from a machine that
   holds all under the record that it knows: the voters decide when it asks.

What was promised, recorded or kept goes to the disk before the answer leaves (Save comes before Send). A
failed save ends the replica's part until it has been started anew. Times are seconds of a steady clock.
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

BOOTSTRAP_WAIT_S = 3.0  # from the first start until another than the first seed may lead
STATUS_INTERVAL_S = 0.3  # between two tellings of what one is
PRIMARY_TIMEOUT_S = (
    2.0  # for a primary that is heard to be active again; each further backup in turn has more
)
SUCCESSION_STEP_S = 0.3  # between two backups that might lead
PHASE_TIMEOUT_S = 0.8  # for all answers of one step: a slow sync is some 140 ms, and a call has 5 s in all
RESEND_INTERVAL_S = 0.15  # until who has not answered is asked again
ELECTION_BACKOFF_S = (
    0.35  # after a step that failed, before the next try; the machine's place in the order adds to it
)
MIN_MEMBERSHIP_INTERVAL_S = (
    0.3  # between two changes of members, each of which stops changes for some hundredths
)
REBALANCE_DELAY_S = 2.0  # until an epoch is begun only because another one would be better placed
MAX_UNSEEN_EPOCHS = 64  # epochs that candidates may have asked for while nobody heard of it: one a try


EVENTS = ("tick", "hear", "linked", "meet", "leave", "take")  # a replica's methods that change it


def trace_header(
    me: str,
    seeds: Sequence[str],
    durable: DurableState | None,
    first_start: bool,
    now: float,
    tolerance: FaultTolerance,
    incarnation: int,
) -> dict[str, Any]:
    """The first line of a replica's trace; again() makes the replica of it."""
    stored = (
        msgspec.to_builtins({**asdict(durable), "body": durable.body.decode()})
        if durable is not None
        else None
    )
    header = {"me": me, "seeds": list(seeds), "kept": stored, "first": first_start, "now": now}
    return {"machine": "rootstock", **header, "bounds": asdict(tolerance), "life": incarnation}


def replica_from_trace(header: Mapping[str, Any]) -> Replica:
    """The replica that a trace begins with. ValueError, KeyError if its first line is no replica's."""
    stored = header["kept"]
    if stored is not None:
        stored = msgspec.convert({**stored, "body": b""}, DurableState, strict=False)
        stored = replace(stored, body=header["kept"]["body"].encode())
    tolerance = msgspec.convert(header["bounds"], FaultTolerance)
    return Replica(
        header["me"], header["seeds"], stored, header["first"], header["now"], tolerance, header["life"]
    )


class Stage(Enum):
    """What this replica is at."""

    IDLE = "idle"
    PREPARING = "asks"
    COPYING = "recruits"
    ACCEPTING = "seals"
    ACTIVE = "active"


class Replica:
    """Hand it every event with the time; carry out what it gives back, in order."""

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
        """kept: what the disk holds, None for nothing. first_start: of the whole system."""
        self.me = me
        state = self._state = ReplicaState(
            me, tolerance or FaultTolerance(), incarnation, durable or DurableState(), now
        )
        self._contact = QuorumContact(state)
        self._backup_set = BackupSet(state)
        self._requests = ClientRequests(state, self._contact)
        self.stage = Stage.IDLE
        self.left = False  # after leave(): what was here is elsewhere, the process may end
        self._leaving = False
        self._last_active_epoch = 0  # the record under which this life was active last
        self._accept_sent_at = self._active_since = -inf
        self._logged_gaps: list[str] = []  # what operators were told is not borne
        self._next_voters: list[str] = []  # who is to vote under the next record, where that changes
        self._votes: dict[str, Record | None] = {}  # who has promised or accepted, and the record each told
        self._prepare_sent_to: set[str] = set()
        self._phase_deadline = self._resend_at = -inf
        self._election_not_before = now + PEER_TIMEOUT_S
        self._status_sent_at = -inf
        self._last_promise = 0, "", 0  # the epoch that was promised last in this life, to whom, and its life
        self._excluded_backups: list[str] = []  # backups that did not answer in this try
        self._backup_failed_at: dict[str, float] = {}  # and when each did not
        self._peer_statuses: dict[
            str, Status
        ] = {}  # since the start, by voters that have not lost their disk
        self._logged_contact = False  # as operators were told
        self._primary_seen_at = now  # an active primary was heard last, or this life began
        if durable is not None:
            if durable.version and not durable.digest:  # a disk of before digests were kept
                state.durable = replace(durable, taken=((durable.version, body_digest(durable.body)),))
            if durable.record is not None and durable.record.primary == me:
                self._election_not_before = now  # nobody else is to be waited for
        elif first_start and seeds:
            founders = list(dict.fromkeys(seeds))
            record = Record(1, founders[0], founders[1:], founders)
            state.durable = DurableState(voters=tuple(founders), blank=False)
            state.save(promised=1, record=record, given=int(me in founders))
            if me == founders[0]:
                self._election_not_before = now
            else:
                self._election_not_before = now + BOOTSTRAP_WAIT_S  # the first seed may start somewhat later
            state.log(f"Founded: {', '.join(founders)}.")
        else:
            state.log("No disk of before: nothing is promised until the others have told.")
        tolerance = state.tolerance
        state.log(
            f"Tolerates losses: {tolerance.losses}; {tolerance.replica_count} replicas,"
            f" {tolerance.voter_count} voters."
        )

    # ---- what is asked of it

    def take(self) -> list[Action]:
        """What is to be done since the last time."""
        state = self._state
        actions, state.actions = state.actions, []
        return actions

    def tick(self, now: float) -> list[Action]:
        """Time has gone by: some ten times a second."""
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
        """Another replica's word, or a call of a registry; what is out of place changes nothing."""
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
                    self._step_down(f"{sender} leads under epoch {message.epoch}")
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
        """There is a way to another replica now: it is told at once what this one is, and is asked."""
        self._state.now = now
        self.meet(peer)
        self._state.send(peer, self.status)
        if self.stage in (Stage.PREPARING, Stage.ACCEPTING):
            self._send_phase_requests()
        elif self.stage is not Stage.IDLE:
            self._backup_set.resend(peer)
        return self.take()

    def meet(self, peer: str, domain: str = "") -> None:
        """Another core machine is there, or may be; or where this one stands: a zone, or a region."""
        state = self._state
        if domain:
            state.domains[peer] = domain
        if peer != self.me:
            state.peers.setdefault(peer, Peer(discovered_at=state.now))

    def leave(self, now: float) -> list[Action]:
        """The process ends in order: its duty, its copy and its vote are handed over.

        It goes on taking part, as a voter and a backup, until `left`, or until its grace is over.
        """
        self._state.now = now
        self._leaving = True
        if self.stage is not Stage.IDLE:
            self._step_down("this process ends")
        self._send_status()
        self._update_left()
        return self.take()

    @property
    def status(self) -> Status:
        """What this replica is."""
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
        """What is on the disk."""
        return self._state.durable

    @property
    def epoch(self) -> int:
        """Under which this one leads, or tries to."""
        return self._state.epoch

    @property
    def voters(self) -> list[str]:
        """Whose promises count, by the newest record known here."""
        return self._state.voters

    @property
    def backups(self) -> list[str]:
        """Who keeps copies beside the primary, by the newest record known here."""
        record = self.durable.record
        return list(record.backups) if record is not None else []

    @property
    def members(self) -> list[str]:
        """Whom the newest record names: those that this one has to reach, whatever the seeds are now."""
        return self._state.members

    # ---- what others tell

    def _send_status(self) -> None:
        state, status = self._state, self.status
        self._status_sent_at = state.now
        for peer in state.peers:
            state.send(peer, status)

    def _on_status(self, sender: str, status: Status) -> None:
        state = self._state
        peer = state.peers.setdefault(sender, Peer(discovered_at=state.now))
        if peer.status is not None and peer.status.life != status.life and self.stage is Stage.PREPARING:
            self._votes.pop(sender, None)  # what its earlier life promised may be forgotten
        if status.active or peer.active_at == -inf:
            peer.active_at = state.now
        if status.active:
            self._primary_seen_at = state.now
        peer.status, peer.status_at = status, state.now
        if not state.durable.voters and status.voters:
            state.durable = replace(state.durable, voters=tuple(status.voters))  # on disk with the next save
        if not status.blank:
            self._peer_statuses[sender] = status
        if state.durable.blank:
            self._recover_promise()
        self._adopt_newer_record(status)
        if self.stage is Stage.ACTIVE:
            record = status.record
            if status.active and record is not None and record.epoch > state.epoch:
                self._step_down(f"{sender} leads under epoch {record.epoch}")
            elif sender in self._backup_set.backups and self._statuses_are_current() and not status.holds:
                # its disk was lost and it was back before its silence was noticed
                self._start_new_epoch(f"backup {sender} has lost what it was given")
        elif self.stage is Stage.COPYING and not self._backup_set.backups:
            self._copy_to_backups()
        self._start_election_if_due()
        self._update_left()

    def _statuses_are_current(self) -> bool:
        """What others tell now was said after they had the record of this epoch."""
        return self._state.now - self._active_since > PEER_TIMEOUT_S

    def _adopt_newer_record(self, status: Status) -> None:
        """A newer record than the one here, for who watches and for who is a member by it (rule 7)."""
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
        """It leads under a record that was just learnt: it has the time of one that was heard to lead."""
        if (known := self._state.peers.get(peer)) is not None:
            known.active_at = self._state.now

    def _recover_promise(self) -> None:
        """Without a disk of before: enough voters have told what they promised (rule 3)."""
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
                if others < len(voters) - len(voters) // 2:  # some majority may not have told
                    return
        if record is None and not votes:
            state.durable = replace(durable, blank=False)  # it never was one whose promise counted
            return
        promised = max((s.promised for s in statuses), default=0)
        if votes:
            promised += MAX_UNSEEN_EPOCHS
            state.log(f"The others have told: epoch {promised} was promised at most.")
        state.save(promised=promised, record=record, blank=False)

    # ---- who leads

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
            return False  # this one was away; who leads now has not been heard yet
        rank = record.replicas.index(self.me)
        if rank == 0:
            return True
        primary = state.peers.get(record.primary)
        primary_lost = (
            primary is None or state.now - primary.active_at > PRIMARY_TIMEOUT_S + rank * SUCCESSION_STEP_S
        )
        holds = primary is not None and primary.status is not None and primary.status.holds
        if state.is_available(record.primary) and holds and not primary_lost:
            return False  # else it is there and can't lead (its disk was lost) or has not come to it for long
        return primary_lost or not any(state.is_available(b) for b in record.replicas[1:rank])

    def _peer_is_elected(self, alive: list[str]) -> bool:
        """A majority has promised an epoch to somebody else, who has time for the copies that it gives."""
        state = self._state
        heard = [state.peers[p].status for p in alive if p != self.me]
        allowed_s = PRIMARY_TIMEOUT_S + 3 * self._backup_set.timeout_s(state.durable.body)
        return state.now - self._primary_seen_at <= allowed_s and any(
            s is not None and s.elected for s in heard
        )

    def _start_election(self, *excluded: str) -> None:
        """Lead a new epoch. tried: machines that are not worth recruiting now."""
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
        """Everyone whose word can count in the step that is under way."""
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
        """Who has not answered may not have been linked yet."""
        state = self._state
        self._resend_at = state.now + RESEND_INTERVAL_S
        record = state.durable.record
        to = self._phase_participants()
        if self.stage is Stage.ACCEPTING:
            to += self._backup_set.backups
        for voter in dict.fromkeys(to):
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
            self._step_down(f"{sender} asks for epoch {epoch}")
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
        for voter in self._phase_participants():  # those whom an answer has named as voters
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
            # rule 1: others took over, and what they confirmed may not be here
            state.save(record=newest)
            self._step_down("others hold the newest")
            return
        if newest != state.durable.record:
            state.save(record=newest)  # its voters are those who count from here on
        self.stage = Stage.COPYING
        self._copy_to_backups()

    # ---- copies

    def _copy_to_backups(self) -> None:
        """Give all that is here to backups: those of before if they are there, else others."""
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
        """Some backup did not answer: go on with the others if they are enough, else with further ones."""
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
                self._start_new_epoch(f"{sender} does not keep what it is given")
            return
        if backup_set.pending:
            return
        if self.stage is Stage.COPYING:
            self._propose_record()
        else:
            self._requests.on_committed()
            self._replicate_next_batch()

    def _replicate_next_batch(self) -> None:
        """The next batch of orders, once the one before is on every copy."""
        while not self._backup_set.pending and (batch := self._requests.next_batch()) is not None:
            self._backup_set.replicate(*batch)
            if not self._backup_set.pending:  # the only copy is this one
                self._requests.on_committed()

    # ---- the record

    def _propose_record(self) -> None:
        state = self._state
        former = state.durable.record
        assert former is not None
        voters, before = former.voters or list(state.durable.voters), former.before
        if (
            former.epoch == self._last_active_epoch
        ):  # its voters decide alone: it was active under this machine
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
            self._step_down(f"{record.primary} leads under epoch {record.epoch}")
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
        state.log(f"Primary under epoch {state.epoch}, backup {backups}, version {state.durable.version}.")
        self._log_unmet_tolerance()
        self._requests.begin_epoch()
        self._contact.tick()
        self._log_contact()
        self._send_status()

    def _log_unmet_tolerance(self) -> None:
        """Operators are told, once for each state, what the places of copies and voters do not bear."""
        gaps = voter_changes.unmet_tolerance(self._state, [self.me, *self._backup_set.backups])
        if gaps != self._logged_gaps:
            self._logged_gaps = gaps
            text = f"Not borne: {'; '.join(gaps)}." if gaps else "All that is to be borne is borne."
            self._state.log(text)

    def _log_contact(self) -> None:
        established = self._contact.established
        if established != self._logged_contact:
            self._logged_contact = established
            if not established:
                self._state.log("No contact with a majority: nothing is confirmed here until there is.")
                self._send_status()
            elif self._state.now - self._active_since > PEER_TIMEOUT_S:
                self._state.log("In contact with a majority again.")
                self._send_status()

    # ---- what an active primary watches

    def _check_members(self) -> None:
        """Copies and voters that are lost are replaced, so that the next loss is borne as well."""
        state = self._state
        alive = [self.me, *(p for p in state.peers if state.is_alive(p))]
        if not state.has_quorum(alive, state.durable.record):
            return  # who goes on asking for a new epoch in vain would stop changes that can be kept later
        age = state.now - self._active_since
        for backup in self._backup_set.backups:
            if not state.is_alive(backup) and age > PEER_TIMEOUT_S:
                self._start_new_epoch(f"backup {backup} is silent", backup)
                return
            if state.is_alive(backup) and not state.is_available(backup):
                self._start_new_epoch(f"backup {backup} leaves", backup)
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
                self._start_new_epoch("no majority stands by this epoch")
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
        """More copies, or better places for them, can be had."""
        state = self._state
        failed = [
            p for p, at in self._backup_failed_at.items() if state.now - at < state.tolerance.sync_s * 2
        ]
        now, best = (
            self._backup_set.backups,
            voter_changes.choose_backups(state, [p for p in failed if p not in self.backups]),
        )
        if len(best) > len(now):
            self._start_new_epoch("another copy can be kept")
        elif state.tolerance.requires_spread and voter_changes.count_domains(
            state, [self.me, *best]
        ) > voter_changes.count_domains(state, [self.me, *now]):
            self._start_new_epoch("copies can stand further apart")

    def _start_new_epoch(self, reason: str, *lost: str) -> None:
        """Lead a new epoch with other members; what waits to be kept is asked for again by its callers."""
        state = self._state
        state.log(f"New epoch: {reason}.")
        record = state.durable.record
        if not self._next_voters and record is not None and not record.before:
            gone = voter_changes.lost_voters(state)
            change = voter_changes.next_voters(state) if gone else None
            if change is not None:  # one step for both
                self._next_voters = change[0]
        self._requests.abort("a backup was lost")
        self.stage = Stage.IDLE
        self._start_election(*lost)

    def _back_off(self) -> None:
        state, voters = self._state, self.voters
        self.stage = Stage.IDLE
        self._next_voters = []
        self._requests.abort("no majority answers")
        domain = voters.index(self.me) if self.me in voters else len(voters)
        self._election_not_before = state.now + ELECTION_BACKOFF_S + domain * 0.15

    def _step_down(self, reason: str) -> None:
        state, was = self._state, self.stage
        if was is Stage.ACTIVE:
            state.log(f"Steps down from epoch {state.epoch}: {reason}.")
        self._logged_contact = False
        self._next_voters = []
        self._requests.abort("not the primary any more")
        self._back_off()
        if was is Stage.ACTIVE:
            self._election_not_before = max(self._election_not_before, state.now + PEER_TIMEOUT_S)

    # ---- the end in order

    def _update_left(self) -> None:
        """Who leaves may go once others hold all, the record names them, and a majority stands without it."""
        if self._leaving and not self.left:
            self.left = self._may_leave()

    def _may_leave(self) -> bool:
        state = self._state
        others = [p for p in state.peers if state.is_available(p)]
        if not state.has_quorum(others, state.durable.record):
            return True  # nobody is left to hand over to: staying on helps nobody
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
