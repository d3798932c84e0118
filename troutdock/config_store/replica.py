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
from troutdock.config_store.quorum_contact import Contact
from troutdock.config_store.replication import Copies
from troutdock.config_store.configuration_requests import Orders, refuse_read, refuse_write
from troutdock.config_store.replica_state import SILENT_S, Action, Bounds, Kept, Peer, State

FOUNDING_S = 3.0  # from the first start until another than the first seed may lead
STATUS_S = 0.3  # between two tellings of what one is
PATIENCE_S = 2.0  # for a primary that is heard to be active again; each further backup in turn has more
TURN_S = 0.3  # between two backups that might lead
STEP_S = 0.8  # for all answers of one step: a slow sync is some 140 ms, and a call has 5 s in all
AGAIN_S = 0.15  # until who has not answered is asked again
REST_S = 0.35  # after a step that failed, before the next try; the machine's place in the order adds to it
SETTLE_S = 0.3  # between two changes of members, each of which stops changes for some hundredths
BETTER_S = 2.0  # until an epoch is begun only because another one would be better placed
UNHEARD = 64  # epochs that candidates may have asked for while nobody heard of it: one a try


EVENTS = ("tick", "hear", "linked", "meet", "leave", "take")  # a replica's methods that change it


def made_of(
    me: str, seeds: Sequence[str], kept: Kept | None, first_start: bool, now: float, bounds: Bounds, life: int
) -> dict[str, Any]:
    """The first line of a replica's trace; again() makes the replica of it."""
    disk = msgspec.to_builtins({**asdict(kept), "body": kept.body.decode()}) if kept is not None else None
    made = {"me": me, "seeds": list(seeds), "kept": disk, "first": first_start, "now": now}
    return {"machine": "rootstock", **made, "bounds": asdict(bounds), "life": life}


def again(made: Mapping[str, Any]) -> Replica:
    """The replica that a trace begins with. ValueError, KeyError if its first line is no replica's."""
    disk = made["kept"]
    if disk is not None:
        disk = msgspec.convert({**disk, "body": b""}, Kept, strict=False)
        disk = replace(disk, body=made["kept"]["body"].encode())
    bounds = msgspec.convert(made["bounds"], Bounds)
    return Replica(made["me"], made["seeds"], disk, made["first"], made["now"], bounds, made["life"])


class Stage(Enum):
    """What this replica is at."""

    IDLE = "idle"
    ASKS = "asks"
    RECRUITS = "recruits"
    SEALS = "seals"
    ACTIVE = "active"


class Replica:
    """Hand it every event with the time; carry out what it gives back, in order."""

    def __init__(
        self,
        me: str,
        seeds: Sequence[str],
        kept: Kept | None,
        first_start: bool,
        now: float,
        bounds: Bounds | None = None,
        life: int = 0,
    ) -> None:
        """kept: what the disk holds, None for nothing. first_start: of the whole system."""
        self.me = me
        state = self._state = State(me, bounds or Bounds(), life, kept or Kept(), now)
        self._contact = Contact(state)
        self._copies = Copies(state)
        self._orders = Orders(state, self._contact)
        self.stage = Stage.IDLE
        self.left = False  # after leave(): what was here is elsewhere, the process may end
        self._leaving = False
        self._sealed_epoch = 0  # the record under which this life was active last
        self._sealing_since = self._active_since = -inf
        self._lacks: list[str] = []  # what operators were told is not borne
        self._voters_next: list[str] = []  # who is to vote under the next record, where that changes
        self._yes: dict[str, Record | None] = {}  # who has promised or accepted, and the record each told
        self._asked_of: set[str] = set()
        self._step_until = self._again_at = -inf
        self._rest_until = now + SILENT_S
        self._told_at = -inf
        self._promised_to = 0, "", 0  # the epoch that was promised last in this life, to whom, and its life
        self._tried: list[str] = []  # backups that did not answer in this try
        self._failed: dict[str, float] = {}  # and when each did not
        self._told: dict[str, Status] = {}  # since the start, by voters that have not lost their disk
        self._in_contact = False  # as operators were told
        self._led_at = now  # an active primary was heard last, or this life began
        if kept is not None:
            if kept.version and not kept.digest:  # a disk of before digests were kept
                state.kept = replace(kept, taken=((kept.version, body_digest(kept.body)),))
            if kept.record is not None and kept.record.primary == me:
                self._rest_until = now  # nobody else is to be waited for
        elif first_start and seeds:
            founders = list(dict.fromkeys(seeds))
            record = Record(1, founders[0], founders[1:], founders)
            state.kept = Kept(voters=tuple(founders), blank=False)
            state.save(promised=1, record=record, given=int(me in founders))
            if me == founders[0]:
                self._rest_until = now
            else:
                self._rest_until = now + FOUNDING_S  # the first seed may start somewhat later
            state.log(f"Founded: {', '.join(founders)}.")
        else:
            state.log("No disk of before: nothing is promised until the others have told.")
        bounds = state.bounds
        state.log(f"To be borne: {bounds.losses}; {bounds.copies} copies, {bounds.voters} voters.")

    # ---- what is asked of it

    def take(self) -> list[Action]:
        """What is to be done since the last time."""
        state = self._state
        actions, state.actions = state.actions, []
        return actions

    def tick(self, now: float) -> list[Action]:
        """Time has gone by: some ten times a second."""
        self._state.now = now
        if now - self._told_at >= STATUS_S:
            self._tell()
        self._orders.tick()
        if self.stage is Stage.ACTIVE:
            self._contact.tick()
            self._say_contact()
            self._watch()
        elif self.stage is Stage.RECRUITS:
            if self._copies.late or not self._copies.backups:
                self._recruit_others()
        elif self.stage in (Stage.ASKS, Stage.SEALS):
            if now > self._step_until:
                self._rest()
            elif now > self._again_at:
                self._ask_again()
        self._lead_if_due()
        self._go_if_free()
        return self.take()

    def hear(self, now: float, sender: str, message: Message) -> list[Action]:
        """Another replica's word, or a call of a registry; what is out of place changes nothing."""
        state = self._state
        state.now = now
        match message:
            case Status():
                self._status(sender, message)
            case Prepare():
                self._prepare(sender, message)
            case Promise():
                self._promised(sender, message)
            case Replicate():
                kept = replication.take(state, sender, message, self._leading(message.epoch))
                if kept and message.whole and self.stage is not Stage.IDLE:
                    self._step_down(f"{sender} leads under epoch {message.epoch}")
            case ReplicateAck():
                self._replicated(sender, message)
            case Accept():
                self._accept(sender, message)
            case Accepted():
                self._accepted(sender, message)
            case Probe(epoch, number, life):
                ok = not state.kept.blank and state.kept.promised <= epoch
                state.send(sender, ProbeAck(epoch, number, ok, life))
            case ProbeAck():
                if self.stage is Stage.ACTIVE:
                    self._contact.hear(sender, message)
                    self._orders.proven()
                    self._say_contact()
            case Write():
                if self.stage is Stage.ACTIVE:
                    self._orders.write(sender, message)
                    self._replicate()
                else:
                    refuse_write(state, sender, message, "not the primary")
            case Read(number, life):
                if self.stage is Stage.ACTIVE:
                    self._orders.read(sender, message)
                else:
                    refuse_read(state, (sender, number, life), "not the primary")
            case _:
                pass
        return self.take()

    def linked(self, now: float, peer: str) -> list[Action]:
        """There is a way to another replica now: it is told at once what this one is, and is asked."""
        self._state.now = now
        self.meet(peer)
        self._state.send(peer, self.status)
        if self.stage in (Stage.ASKS, Stage.SEALS):
            self._ask_again()
        elif self.stage is not Stage.IDLE:
            self._copies.again(peer)
        return self.take()

    def meet(self, peer: str, place: str = "") -> None:
        """Another core machine is there, or may be; or where this one stands: a zone, or a region."""
        state = self._state
        if place:
            state.places[peer] = place
        if peer != self.me:
            state.peers.setdefault(peer, Peer(met_at=state.now))

    def leave(self, now: float) -> list[Action]:
        """The process ends in order: its duty, its copy and its vote are handed over.

        It goes on taking part, as a voter and a backup, until `left`, or until its grace is over.
        """
        self._state.now = now
        self._leaving = True
        if self.stage is not Stage.IDLE:
            self._step_down("this process ends")
        self._tell()
        self._go_if_free()
        return self.take()

    @property
    def status(self) -> Status:
        """What this replica is."""
        state, kept = self._state, self._state.kept
        leads = self.stage is Stage.ACTIVE
        return Status(
            kept.promised,
            kept.record,
            kept.version,
            leads and self._contact.there,
            kept.blank,
            state.holds,
            self.voters,
            self._leaving,
            kept.digest,
            state.life,
            self.stage in (Stage.RECRUITS, Stage.SEALS),
        )

    @property
    def kept(self) -> Kept:
        """What is on the disk."""
        return self._state.kept

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
        record = self.kept.record
        return list(record.backups) if record is not None else []

    @property
    def core(self) -> list[str]:
        """Whom the newest record names: those that this one has to reach, whatever the seeds are now."""
        return self._state.core

    # ---- what others tell

    def _tell(self) -> None:
        state, status = self._state, self.status
        self._told_at = state.now
        for peer in state.peers:
            state.send(peer, status)

    def _status(self, sender: str, status: Status) -> None:
        state = self._state
        peer = state.peers.setdefault(sender, Peer(met_at=state.now))
        if peer.status is not None and peer.status.life != status.life and self.stage is Stage.ASKS:
            self._yes.pop(sender, None)  # what its earlier life promised may be forgotten
        if status.active or peer.led_at == -inf:
            peer.led_at = state.now
        if status.active:
            self._led_at = state.now
        peer.status, peer.heard_at = status, state.now
        if not state.kept.voters and status.voters:
            state.kept = replace(state.kept, voters=tuple(status.voters))  # on disk with the next save
        if not status.blank:
            self._told[sender] = status
        if state.kept.blank:
            self._learn()
        self._learn_record(status)
        if self.stage is Stage.ACTIVE:
            record = status.record
            if status.active and record is not None and record.epoch > state.epoch:
                self._step_down(f"{sender} leads under epoch {record.epoch}")
            elif sender in self._copies.backups and self._told_after_active() and not status.holds:
                # its disk was lost and it was back before its silence was noticed
                self._reform(f"backup {sender} has lost what it was given")
        elif self.stage is Stage.RECRUITS and not self._copies.backups:
            self._recruit()
        self._lead_if_due()
        self._go_if_free()

    def _told_after_active(self) -> bool:
        """What others tell now was said after they had the record of this epoch."""
        return self._state.now - self._active_since > SILENT_S

    def _learn_record(self, status: Status) -> None:
        """A newer record than the one here, for who watches and for who is a member by it (rule 7)."""
        state, record, kept = self._state, status.record, self._state.kept
        if record is None or kept.blank or (kept.record is not None and record.epoch <= kept.record.epoch):
            return
        if status.active or (record.epoch >= kept.promised and (state.member(record) or not state.holds)):
            state.save(promised=max(kept.promised, record.epoch), record=record)
            self._led(record.primary)

    def _led(self, peer: str) -> None:
        """It leads under a record that was just learnt: it has the time of one that was heard to lead."""
        if (known := self._state.peers.get(peer)) is not None:
            known.led_at = self._state.now

    def _learn(self) -> None:
        """Without a disk of before: enough voters have told what they promised (rule 3)."""
        state, kept = self._state, self._state.kept
        if not kept.voters:
            return
        told = [status for peer, status in self._told.items() if peer != self.me]
        record = max((s.record for s in told if s.record is not None), key=lambda r: r.epoch, default=None)
        votes = False
        for voters in state.lists(record):
            if self.me in voters:
                votes = True
                others = sum(v != self.me and v in self._told for v in voters)
                if others < len(voters) - len(voters) // 2:  # some majority may not have told
                    return
        if record is None and not votes:
            state.kept = replace(kept, blank=False)  # it never was one whose promise counted
            return
        promised = max((s.promised for s in told), default=0)
        if votes:
            promised += UNHEARD
            state.log(f"The others have told: epoch {promised} was promised at most.")
        state.save(promised=promised, record=record, blank=False)

    # ---- who leads

    def _lead_if_due(self) -> None:
        if self.stage is Stage.IDLE and self._state.now >= self._rest_until and self._should_lead():
            self._ask()

    def _should_lead(self) -> bool:
        state = self._state
        record = state.kept.record
        if self._leaving or record is None or not state.holds or state.leader() is not None:
            return False
        there = [self.me, *(p for p in state.peers if state.heard(p))]
        if not state.enough(there, record) or self._another_is_elected(there):
            return False
        if state.now - state.began < SILENT_S * 2 and any(
            status is not None and status.record is not None and status.record.epoch > record.epoch
            for status in (state.peers[p].status for p in there if p != self.me)
        ):
            return False  # this one was away; who leads now has not been heard yet
        turn = record.replicas.index(self.me)
        if turn == 0:
            return True
        first = state.peers.get(record.primary)
        long_ago = first is None or state.now - first.led_at > PATIENCE_S + turn * TURN_S
        holds = first is not None and first.status is not None and first.status.holds
        if state.stays(record.primary) and holds and not long_ago:
            return False  # else it is there and can't lead (its disk was lost) or has not come to it for long
        return long_ago or not any(state.stays(b) for b in record.replicas[1:turn])

    def _another_is_elected(self, there: list[str]) -> bool:
        """A majority has promised an epoch to somebody else, who has time for the copies that it gives."""
        state = self._state
        heard = [state.peers[p].status for p in there if p != self.me]
        time = PATIENCE_S + 3 * self._copies.allowed_s(state.kept.body)
        return state.now - self._led_at <= time and any(s is not None and s.elected for s in heard)

    def _ask(self, *tried: str) -> None:
        """Lead a new epoch. tried: machines that are not worth recruiting now."""
        state, kept = self._state, self._state.kept
        told = [known.status.promised for known in state.peers.values() if known.status is not None]
        state.epoch = max([kept.promised, *told]) + 1
        self.stage, self._step_until = Stage.ASKS, state.now + STEP_S
        self._tried, self._asked_of = list(tried), set()
        state.save(promised=state.epoch)
        self._yes = {self.me: kept.record}
        self._ask_again()
        self._asked()

    def _asked_all(self) -> list[str]:
        """Everyone whose word can count in the step that is under way."""
        state = self._state
        known = [state.kept.record, *self._yes.values()] if self.stage is Stage.ASKS else [state.kept.record]
        return list(dict.fromkeys(v for record in known for voters in state.lists(record) for v in voters))

    def _ask_again(self) -> None:
        """Who has not answered may not have been linked yet."""
        state = self._state
        self._again_at = state.now + AGAIN_S
        record = state.kept.record
        to = self._asked_all()
        if self.stage is Stage.SEALS:
            to += self._copies.backups
        for voter in dict.fromkeys(to):
            if voter != self.me and voter not in self._yes:
                if self.stage is Stage.ASKS:
                    self._asked_of.add(voter)
                    state.send(voter, Prepare(state.epoch, state.life))
                elif record is not None:
                    state.send(voter, Accept(record, state.life))

    def _prepare(self, sender: str, asked: Prepare) -> None:
        state, kept, epoch = self._state, self._state.kept, asked.epoch
        if kept.blank:
            return
        record = kept.record
        if record is not None and sender != record.primary:
            leads = record.primary == self.me and self.stage is Stage.ACTIVE and self._contact.there
            known = state.peers.get(record.primary)
            status = known.status if known is not None and state.heard(record.primary) else None
            if leads or (status is not None and status.active and not status.leaving):  # rule 6
                state.send(sender, Promise(epoch, False, 0, record, asked.life))
                return
        if (epoch, sender, asked.life) == self._promised_to and epoch == kept.promised:
            state.send(sender, Promise(epoch, True, epoch, record, asked.life))  # the answer was lost
            return
        if epoch <= kept.promised:
            state.send(sender, Promise(epoch, False, kept.promised, record, asked.life))
            return
        if self.stage is not Stage.IDLE:
            self._step_down(f"{sender} asks for epoch {epoch}")
        state.save(promised=epoch)
        self._promised_to = epoch, sender, asked.life
        self._rest_until = max(self._rest_until, state.now + STEP_S * 2)
        state.send(sender, Promise(epoch, True, epoch, record, asked.life))

    def _promised(self, sender: str, answer: Promise) -> None:
        state = self._state
        if self.stage is not Stage.ASKS or (answer.epoch, answer.life) != (state.epoch, state.life):
            return
        if not answer.ok:
            if answer.promised > state.epoch:
                self._step_down(f"epoch {answer.promised} was promised to another")
            return
        self._yes[sender] = answer.record
        for voter in self._asked_all():  # those whom an answer has named as voters
            if voter not in self._asked_of and voter != self.me:
                self._asked_of.add(voter)
                state.send(voter, Prepare(state.epoch, state.life))
        self._asked()

    def _asked(self) -> None:
        state = self._state
        newest = max((r for r in self._yes.values() if r is not None), key=lambda r: r.epoch, default=None)
        if self.stage is not Stage.ASKS or not state.enough(self._yes, newest):
            return
        if newest is None or not state.member(newest):
            # rule 1: others took over, and what they confirmed may not be here
            state.save(record=newest)
            self._step_down("others hold the newest")
            return
        if newest != state.kept.record:
            state.save(record=newest)  # its voters are those who count from here on
        self.stage = Stage.RECRUITS
        self._recruit()

    # ---- copies

    def _recruit(self) -> None:
        """Give all that is here to backups: those of before if they are there, else others."""
        state = self._state
        chosen = voter_changes.backups(state, self._tried)
        if len(chosen) + 1 < voter_changes.required(state):
            if state.now > self._step_until + STEP_S:
                self._rest()
                return
            self._tried, chosen = [], []
            self._copies.backups = []
            return
        self._step_until = state.now + STEP_S
        self._copies.recruit(chosen)
        if not chosen:
            self._seal()

    def _recruit_others(self) -> None:
        """Some backup did not answer: go on with the others if they are enough, else with further ones."""
        state, copies = self._state, self._copies
        for backup in list(copies.waits):
            self._tried.append(backup)
            self._failed[backup] = state.now
            copies.drop(backup)
        if copies.backups and len(copies.backups) + 1 >= voter_changes.required(state):
            self._seal()
        else:
            self._recruit()

    def _replicated(self, sender: str, answer: ReplicateAck) -> None:
        state, copies = self._state, self._copies
        if self.stage not in (Stage.RECRUITS, Stage.ACTIVE) or not copies.hear(sender, answer):
            return
        if not answer.ok and not answer.lacks:
            if answer.promised > state.epoch:
                self._step_down(f"{sender} has promised epoch {answer.promised}")
            elif self.stage is Stage.ACTIVE:
                self._reform(f"{sender} does not keep what it is given")
            return
        if copies.waits:
            return
        if self.stage is Stage.RECRUITS:
            self._seal()
        else:
            self._orders.kept()
            self._replicate()

    def _replicate(self) -> None:
        """The next batch of orders, once the one before is on every copy."""
        while not self._copies.waits and (batch := self._orders.batch()) is not None:
            self._copies.replicate(*batch)
            if not self._copies.waits:  # the only copy is this one
                self._orders.kept()

    # ---- the record

    def _seal(self) -> None:
        state = self._state
        former = state.kept.record
        assert former is not None
        voters, before = former.voters or list(state.kept.voters), former.before
        if former.epoch == self._sealed_epoch:  # its voters decide alone: it was active under this machine
            voters, before = self._voters_next or voters, state.voters if self._voters_next else []
        self._voters_next = []
        record = Record(state.epoch, self.me, list(self._copies.backups), voters, before)
        self.stage, self._step_until = Stage.SEALS, state.now + STEP_S
        self._sealing_since = state.now
        state.save(record=record, given=state.epoch)
        self._yes = {self.me: record}
        self._ask_again()
        self._sealed()

    def _accept(self, sender: str, asked: Accept) -> None:
        state, kept, record = self._state, self._state.kept, asked.record
        if kept.blank:
            return
        if record.epoch < kept.promised or self._leading(record.epoch):
            state.send(sender, Accepted(record.epoch, False, kept.promised, asked.life))
            return
        if self.stage is not Stage.IDLE:
            self._step_down(f"{record.primary} leads under epoch {record.epoch}")
        state.save(promised=record.epoch, record=record)
        self._led(record.primary)
        state.send(sender, Accepted(record.epoch, True, record.epoch, asked.life))

    def _leading(self, epoch: int) -> bool:
        return self.stage is not Stage.IDLE and self._state.epoch >= epoch

    def _accepted(self, sender: str, answer: Accepted) -> None:
        state = self._state
        if self.stage is not Stage.SEALS or (answer.epoch, answer.life) != (state.epoch, state.life):
            return
        if not answer.ok:
            if answer.promised > state.epoch:
                self._step_down(f"{sender} has promised epoch {answer.promised}")
            return
        self._yes[sender] = None
        self._sealed()

    def _sealed(self) -> None:
        state = self._state
        if self.stage is not Stage.SEALS or not state.enough(self._yes, state.kept.record):
            return
        self.stage, self._active_since = Stage.ACTIVE, state.now
        self._sealed_epoch = state.epoch
        self._contact.begin(self._sealing_since)
        backups = ", ".join(self._copies.backups) or "none"
        state.log(f"Primary under epoch {state.epoch}, backup {backups}, version {state.kept.version}.")
        self._say_what_is_borne()
        self._orders.begin()
        self._contact.tick()
        self._say_contact()
        self._tell()

    def _say_what_is_borne(self) -> None:
        """Operators are told, once for each state, what the places of copies and voters do not bear."""
        lacks = voter_changes.not_borne(self._state, [self.me, *self._copies.backups])
        if lacks != self._lacks:
            self._lacks = lacks
            text = f"Not borne: {'; '.join(lacks)}." if lacks else "All that is to be borne is borne."
            self._state.log(text)

    def _say_contact(self) -> None:
        there = self._contact.there
        if there != self._in_contact:
            self._in_contact = there
            if not there:
                self._state.log("No contact with a majority: nothing is confirmed here until there is.")
                self._tell()
            elif self._state.now - self._active_since > SILENT_S:
                self._state.log("In contact with a majority again.")
                self._tell()

    # ---- what an active primary watches

    def _watch(self) -> None:
        """Copies and voters that are lost are replaced, so that the next loss is borne as well."""
        state = self._state
        there = [self.me, *(p for p in state.peers if state.heard(p))]
        if not state.enough(there, state.kept.record):
            return  # who goes on asking for a new epoch in vain would stop changes that can be kept later
        age = state.now - self._active_since
        for backup in self._copies.backups:
            if not state.heard(backup) and age > SILENT_S:
                self._reform(f"backup {backup} is silent", backup)
                return
            if state.heard(backup) and not state.stays(backup):
                self._reform(f"backup {backup} leaves", backup)
                return
        if self._copies.waits:
            if self._copies.late:
                self._reform(f"backup {next(iter(self._copies.waits))} does not answer", *self._copies.waits)
            return
        if age <= SETTLE_S:
            return
        record = state.kept.record
        assert record is not None
        higher = [p for p in there if p in state.core and p != self.me and self._promises_higher(p)]
        if record.before:
            self._reform("the new voters decide alone from now on")
        elif higher:
            self._reform(f"{higher[0]} has promised a higher epoch")
        elif not self._contact.there:
            if state.now - self._contact.proven_at > PATIENCE_S:
                self._reform("no majority stands by this epoch")
        elif (change := voter_changes.next_voters(state)) is not None and (
            age > BETTER_S or voter_changes.lost(state)
        ):
            self._voters_next = change[0]
            self._reform(change[1])
        elif age > BETTER_S:
            self._watch_places()

    def _promises_higher(self, peer: str) -> bool:
        status = self._state.peers[peer].status
        return status is not None and not status.blank and status.promised > self._state.epoch

    def _watch_places(self) -> None:
        """More copies, or better places for them, can be had."""
        state = self._state
        failed = [p for p, at in self._failed.items() if state.now - at < state.bounds.sync_s * 2]
        now, best = (
            self._copies.backups,
            voter_changes.backups(state, [p for p in failed if p not in self.backups]),
        )
        if len(best) > len(now):
            self._reform("another copy can be kept")
        elif state.bounds.apart and voter_changes.places_of(
            state, [self.me, *best]
        ) > voter_changes.places_of(state, [self.me, *now]):
            self._reform("copies can stand further apart")

    def _reform(self, why: str, *lost: str) -> None:
        """Lead a new epoch with other members; what waits to be kept is asked for again by its callers."""
        state = self._state
        state.log(f"New epoch: {why}.")
        record = state.kept.record
        if not self._voters_next and record is not None and not record.before:
            gone = voter_changes.lost(state)
            change = voter_changes.next_voters(state) if gone else None
            if change is not None:  # one step for both
                self._voters_next = change[0]
        self._orders.drop("a backup was lost")
        self.stage = Stage.IDLE
        self._ask(*lost)

    def _rest(self) -> None:
        state, voters = self._state, self.voters
        self.stage = Stage.IDLE
        self._voters_next = []
        self._orders.drop("no majority answers")
        place = voters.index(self.me) if self.me in voters else len(voters)
        self._rest_until = state.now + REST_S + place * 0.15

    def _step_down(self, why: str) -> None:
        state, was = self._state, self.stage
        if was is Stage.ACTIVE:
            state.log(f"Steps down from epoch {state.epoch}: {why}.")
        self._in_contact = False
        self._voters_next = []
        self._orders.drop("not the primary any more")
        self._rest()
        if was is Stage.ACTIVE:
            self._rest_until = max(self._rest_until, state.now + SILENT_S)

    # ---- the end in order

    def _go_if_free(self) -> None:
        """Who leaves may go once others hold all, the record names them, and a majority stands without it."""
        if self._leaving and not self.left:
            self.left = self._free()

    def _free(self) -> bool:
        state = self._state
        others = [p for p in state.peers if state.stays(p)]
        if not state.enough(others, state.kept.record):
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
