"""One copy of the store: who keeps the configurations, and when one counts as kept (no I/O, no clock).

Theory of operation. The newest configuration lies on two machines, a primary and its backup; an
acknowledgement means that it is synced on both. A *record* names them: (epoch, primary, backup). Voters,
the seeds of the first start, keep nothing but the highest epoch that they have promised and the newest
record; a record holds once more than half of them have it on disk. Configurations go through no log: the
primary hands each to its backup.

    founding  at the first start, with empty disks, every seed writes down (1, first seed, second seed)
    idle      not the primary, or not yet
    asks      has asked voters to promise a higher epoch; more than half must
    recruits  gives a backup all that it has, whole, under that epoch
    seals     the record is being written down by the voters
    active    the record holds: takes configurations, one after the other

Who votes may change, by one machine at a time: an active primary seals a record that names the new voters
and those before. Promises for a higher epoch and the sealing need more than half of each list in the newest
record that is told of; the old list is dropped only by a later record of a primary that was active, so that
of any two lists that can decide, one was written down by more than half of the other.

Rules that make it safe, each against a loss that was borne in tests:

1. Only the primary or the backup of the newest record that a majority tells of may lead the next epoch: both
   hold all that was acknowledged before, as each acknowledgement needed both.
2. A backup that has promised a higher epoch takes nothing from the old primary, so that this acknowledges
   no more.
3. A machine without its disk (`blank`) promises nothing until so many voters have told it what they
   promised that
   every majority which its forgotten promise was part of has a voter among them. It never leads until
   recruited.
4. A configuration is in force once it is kept twice. What a new primary finds on its own disk is kept twice
   with
   the recruiting; whether it was acknowledged is not known, and from then on it stays.
5. What the newest configuration is, is told after more than half of the voters have said that the epoch is
   the
   newest: a deposed primary can't.
6. A voter that hears the primary promises nobody else anything: guards against an active pair that is deposed
   again and again by a machine that merely can't hear it.

What was promised, recorded or kept goes to the disk before the answer leaves (Save comes before Send). A
failed save ends the replica's part until it has been started anew. Times are seconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field, replace
from enum import Enum
from math import inf
from typing import Any

import msgspec

from furrow.messages import (
    NOTHING,
    Accept,
    Accepted,
    ReplicateAck,
    Replicate,
    WriteAck,
    Message,
    Prepare,
    Promise,
    Probe,
    ProbeAck,
    Write,
    Read,
    ReadAck,
    Record,
    Status,
)

FOUNDING_S = 3.0  # from the first start until another than the first seed may lead
STATUS_S = 0.3  # between two tellings of what one is
SILENT_S = 1.0  # a primary or backup that was not heard for so long is taken for lost: three tellings
PATIENCE_S = 2.5  # for a primary that is heard to be active again
STEP_S = 0.8  # for all answers of one step: a slow sync is some 140 ms, and a call has 5 s in all
AGAIN_S = 0.15  # until who has not answered is asked again
REST_S = 0.35  # after a step that failed, before the next try; the machine's place in the order adds to it
VOTER_LOST_S = 8.0  # a voter that was not heard for so long is replaced: longer than a restart or a short cut
BETTER_S = 2.0  # for a backup in another place to be heard, until it takes the place of one that is near
VOTERS = 3  # of the store: with fewer, a core machine that joins votes as well
PUT_S = 0.8  # for a backup to keep a configuration, until another is recruited
QUEUE = 64  # configurations that wait their turn


@dataclass(frozen=True, slots=True)
class Kept:
    """What is on the disk. version 0: no configuration yet.

    blank: a disk was lost, and what this one promised is not known yet. given: the epoch under which all that
    was acknowledged before lies here; a record of a later one names this machine in vain.
    """

    promised: int = 0
    record: Record | None = None
    version: int = 0
    body: bytes = b""
    voters: tuple[str, ...] = ()
    blank: bool = True
    given: int = 0
    taken: tuple[tuple[int, str], ...] = ()


@dataclass(slots=True)
class Save:
    """Write this down and sync it, before any later action is carried out."""

    kept: Kept


@dataclass(slots=True)
class Send:
    """To another replica, or back to who has called."""

    to: str
    message: Message


@dataclass(slots=True)
class InForce:
    """This configuration is kept twice from now on; the version only rises."""

    version: int
    body: bytes


@dataclass(slots=True)
class Log:
    """A change that operators should see."""

    text: str


Action = Save | Send | InForce | Log


EVENTS = ("tick", "hear", "linked", "meet", "leave", "take")  # a replica's methods that change it


def made_of(
    me: str, seeds: Sequence[str], kept: Kept | None, first_start: bool, now: float, apart: bool
) -> dict[str, Any]:
    """The first line of a replica's trace; again() makes the replica of it."""
    disk = msgspec.to_builtins({**asdict(kept), "body": kept.body.decode()}) if kept is not None else None
    made = {"me": me, "seeds": list(seeds), "kept": disk, "first": first_start, "now": now, "apart": apart}
    return {"machine": "rootstock", **made}


def again(made: Mapping[str, Any]) -> Replica:
    """The replica that a trace begins with. ValueError, KeyError if its first line is no replica's."""
    disk = made["kept"]
    if disk is not None:
        disk = msgspec.convert({**disk, "body": b""}, Kept, strict=False)
        disk = replace(disk, body=made["kept"]["body"].encode())
    return Replica(made["me"], made["seeds"], disk, made["first"], made["now"], made.get("apart", False))


class Stage(Enum):
    """What this replica is at."""

    IDLE = "idle"
    ASKS = "asks"
    RECRUITS = "recruits"
    SEALS = "seals"
    ACTIVE = "active"


@dataclass(slots=True)
class _Peer:
    """What was heard of another replica."""

    status: Status | None = None
    heard_at: float = -inf
    met_at: float = -inf
    led_at: float = -inf  # when it last said that it is the active primary, or was met


@dataclass(slots=True)
class _Waiting:
    """A configuration that is to be kept, and who waits for that."""

    version: int
    body: bytes
    callers: list[tuple[str, int]] = field(default_factory=list)


class Replica:
    """Hand it every event with the time; carry out what it gives back, in order."""

    def __init__(
        self,
        me: str,
        seeds: Sequence[str],
        kept: Kept | None,
        first_start: bool,
        now: float,
        apart: bool = False,
    ) -> None:
        """kept: what the disk holds, None for nothing. first_start: of the whole system.

        apart: the copies are to lie in two places, as the loss of one place is to be borne.
        """
        self.me, self._apart = me, apart
        self._places: dict[str, str] = {}
        self._now = self._began = now
        self._sealed_epoch = 0  # the record under which this life was active last
        self._lacks: list[str] = []  # what operators were told is not borne
        self._voters_next: list[str] = []  # who is to vote under the next record, where that changes
        self.left = False  # after leave(): the process may end now
        self.actions: list[Action] = []
        self.peers: dict[str, _Peer] = {}
        self.stage = Stage.IDLE
        self.epoch = 0  # under which this one leads, or tries to
        self.backup = ""
        self._yes: dict[str, Record | None] = {}
        self._asked_of: set[str] = set()
        self._step_until = self._again_at = -inf
        self._rest_until = now + SILENT_S
        self._told_at = -inf
        self._promised_to = 0, ""  # the epoch that was promised last in this life, and to whom
        self._tried: list[str] = []  # backups that did not answer in this try
        self._in_force, self._body_in_force = 0, b""
        self._queue: list[_Waiting] = []
        self._copying_since = self._backup_since = -inf
        self._questions: dict[int, tuple[str, int, dict[str, bool], float]] = {}
        self._last_question = 0
        self._told: dict[str, Status] = {}  # since the start, by voters that have not lost their disk
        if kept is not None:
            self.kept = kept
            if kept.record is not None and kept.record.primary == me:
                self._rest_until = now  # nobody else is to be waited for
        elif first_start and seeds:
            founders = tuple(dict.fromkeys(seeds))
            record = Record(1, founders[0], founders[1] if len(founders) > 1 else "", list(founders))
            self.kept = Kept(voters=founders, blank=False)
            self._save(promised=1, record=record, given=int(me in (record.primary, record.backup)))
            if me == founders[0]:
                self._rest_until = now
            else:
                self._rest_until = now + FOUNDING_S  # the first seed may start somewhat later
            self._log(f"Founded: {', '.join(founders)}.")
        else:
            self.kept = Kept()
            self._log("No disk of before: nothing is promised until the others have told.")

    # ---- what is asked of it

    def take(self) -> list[Action]:
        """What is to be done since the last time."""
        actions, self.actions = self.actions, []
        return actions

    def tick(self, now: float) -> list[Action]:
        """Time has gone by: some ten times a second."""
        self._now = now
        if now - self._told_at >= STATUS_S:
            self._tell(now)
        if self.stage is Stage.ACTIVE:
            self._watch_backup(now)
            self._watch_voters(now)
        elif self.stage is not Stage.IDLE and now > self._step_until:
            self._next_try(now)
        elif self.stage in (Stage.ASKS, Stage.SEALS) and now > self._again_at:
            self._ask_again(now)
        if self.stage is Stage.IDLE and now >= self._rest_until and self._should_lead(now):
            self._ask(now)
        for number, (to, call, _, until) in list(self._questions.items()):
            if now > until:
                del self._questions[number]
                self._send(to, ReadAck(call, -1, why="the epoch could not be proven"))
        return self.take()

    def hear(self, now: float, sender: str, message: Message) -> list[Action]:
        """Another replica's word, or a call of a registry; what is out of place changes nothing."""
        self._now = now
        match message:
            case Status():
                self._status(now, sender, message)
            case Prepare(epoch):
                self._prepare(now, sender, epoch)
            case Promise():
                self._promised(now, sender, message)
            case Replicate():
                self._copy(sender, message)
            case ReplicateAck():
                self._copied(now, sender, message)
            case Accept(record):
                self._accept(sender, record)
            case Accepted(epoch, ok, promised):
                self._accepted(now, sender, epoch, ok, promised)
            case Probe(epoch, number):
                ok = not self.kept.blank and self.kept.promised <= epoch
                self._send(sender, ProbeAck(epoch, number, ok))
            case ProbeAck(epoch, number, ok):
                self._proven(sender, epoch, number, ok)
            case Write():
                self._put(now, sender, message)
            case Read(number):
                self._read(now, sender, number)
            case _:
                pass
        return self.take()

    def linked(self, now: float, peer: str) -> list[Action]:
        """There is a way to another replica now: it is told at once what this one is, and is asked."""
        self.meet(peer)
        self._send(peer, self.status)
        if self.stage in (Stage.ASKS, Stage.SEALS):
            self._ask_again(now)
        return self.take()

    def leave(self, now: float) -> list[Action]:
        """The process ends in order: the backup need not wait for its silence to lead."""
        if self.stage is not Stage.IDLE:
            self._step_down(now, "this process ends")
        self._rest_until, self.left = inf, True
        told = msgspec.structs.replace(self.status, leaving=True)
        for peer in self.peers:
            self._send(peer, told)
        return self.take()

    @property
    def status(self) -> Status:
        """What this replica is."""
        kept = self.kept
        version = self._in_force if self.stage is Stage.ACTIVE else kept.version
        return Status(
            kept.promised,
            kept.record,
            version,
            self.stage is Stage.ACTIVE,
            kept.blank,
            self._holds_data(),
            self.voters,
        )

    # ---- helpers

    def _save(self, **changes: object) -> None:
        self.kept = replace(self.kept, **changes)  # type: ignore[arg-type]
        self.actions.append(Save(self.kept))

    def _send(self, to: str, message: Message) -> None:
        self.actions.append(Send(to, message))

    def _log(self, text: str) -> None:
        self.actions.append(Log(text))

    def _lists(self, record: Record | None) -> list[list[str]]:
        """More than half of each of these decides, where that record is the newest."""
        voters = record.voters if record is not None and record.voters else list(self.kept.voters)
        before = record.before if record is not None else []
        return [voters, before] if before and before != voters else [voters]

    @property
    def voters(self) -> list[str]:
        """Whose promises count, by the newest record known here."""
        return self._lists(self.kept.record)[0]

    @property
    def core(self) -> list[str]:
        """Whom the newest record names: those that this one has to reach, whatever the seeds are now."""
        record = self.kept.record
        named = [record.primary, record.backup] if record is not None else []
        voters = [v for voters in self._lists(record) for v in voters]
        return [ip for ip in dict.fromkeys([*voters, *named]) if ip]

    def _enough(self, yes: Collection[str], lists: Iterable[list[str]]) -> bool:
        return all(sum(v in yes for v in voters) > len(voters) // 2 for voters in lists)

    def _asked_all(self) -> list[str]:
        """Everyone whose word can count in the step that is under way."""
        known = [self.kept.record, *self._yes.values()] if self.stage is Stage.ASKS else [self.kept.record]
        return list(dict.fromkeys(v for record in known for voters in self._lists(record) for v in voters))

    def _heard(self, now: float, peer: str) -> bool:
        known = self.peers.get(peer)
        return known is not None and now - known.heard_at <= SILENT_S

    def _tell(self, now: float) -> None:
        self._told_at = now
        for peer in self.peers:
            self._send(peer, self.status)

    def meet(self, peer: str, place: str = "") -> None:
        """Another core machine is there, or may be; or where this one stands: a zone, or a region."""
        if place:
            self._places[peer] = place
        if peer != self.me:
            self.peers.setdefault(peer, _Peer(met_at=self._now))

    # ---- who leads

    def _status(self, now: float, sender: str, status: Status) -> None:
        peer = self.peers.setdefault(sender, _Peer(met_at=now))
        if status.leaving:
            peer.heard_at = -inf
            return
        if status.active or peer.led_at == -inf:
            peer.led_at = now
        peer.status, peer.heard_at = status, now
        if not self.kept.voters and status.voters:
            self.kept = replace(self.kept, voters=tuple(status.voters))  # on disk with the next save
        if not status.blank:
            self._told[sender] = status
        if self.kept.blank:
            self._learn()
        if (
            self.stage is Stage.ACTIVE
            and sender == self.backup
            and not status.holds
            and (now - self._backup_since > SILENT_S)
        ):
            # its disk was lost and it was back before its silence was noticed
            self._reform(now, f"backup {sender} has lost what it was given")
        elif self.stage is not Stage.IDLE and status.promised > self.epoch and not status.blank:
            self._step_down(now, f"epoch {status.promised} was promised elsewhere")
        self._learn_record(status)
        if self.stage is Stage.RECRUITS and not self.backup:
            self._recruit(now)

    def _learn_record(self, status: Status) -> None:
        """A newer record than the one here: who watches knows whom to watch, and a member that it is one."""
        record, kept = status.record, self.kept
        if (
            record is not None
            and not kept.blank
            and record.epoch >= kept.promised
            and (kept.record is None or record.epoch > kept.record.epoch)
        ):
            self._save(promised=record.epoch, record=record)

    def _learn(self) -> None:
        """Without a disk of before: enough voters have told what they promised (rule 3)."""
        if not self.kept.voters:
            return
        told = [status for peer, status in self._told.items() if peer != self.me]
        record = max((s.record for s in told if s.record is not None), key=lambda r: r.epoch, default=None)
        for voters in self._lists(record):
            if self.me in voters:
                others = sum(v != self.me and v in self._told for v in voters)
                if others < len(voters) - len(voters) // 2:  # some majority may not have told
                    return
        if record is None and self.me not in self.kept.voters:
            self.kept = replace(self.kept, blank=False)  # it never was one whose promise counted
            return
        promised = max((s.promised for s in told), default=0)
        if any(self.me in voters for voters in self._lists(record)):
            self._log(f"The others have told: epoch {promised} was promised last.")
        self._save(promised=promised, record=record, blank=False)

    def _holds_data(self) -> bool:
        """This machine has all that was acknowledged under the newest record it knows of."""
        record = self.kept.record
        return not self.kept.blank and record is not None and self._member(record)

    def _member(self, record: Record) -> bool:
        """All that was acknowledged under it, and before it, is here."""
        return self.me in (record.primary, record.backup) and self.kept.given >= record.epoch

    def _should_lead(self, now: float) -> bool:
        record = self.kept.record
        if record is None or not self._holds_data():
            return False
        if record.primary == self.me or not self._heard(now, record.primary):
            return True
        primary = self.peers[record.primary]
        assert primary.status is not None
        # it is there, and can't lead (its disk was lost) or has not come to it for long
        return not primary.status.holds or now - primary.led_at > PATIENCE_S

    def _ask(self, now: float) -> None:
        highest = max([self.kept.promised] + [p.status.promised for p in self.peers.values() if p.status])
        self.epoch = highest + 1
        self.stage, self._step_until = Stage.ASKS, now + STEP_S
        self._yes, self._tried, self.backup, self._asked_of = {}, [], "", set()
        record = self.kept.record
        self._save(promised=self.epoch)
        self._yes[self.me] = record
        self._ask_again(now)
        self._asked(now)

    def _ask_again(self, now: float) -> None:
        """Who has not answered may not have been linked yet."""
        self._again_at = now + AGAIN_S
        record = self.kept.record
        to = self._asked_all()
        if self.stage is Stage.SEALS:
            to.append(self.backup)
        for voter in dict.fromkeys(to):
            if voter != self.me and voter not in self._yes:
                if self.stage is Stage.ASKS:
                    self._asked_of.add(voter)
                    self._send(voter, Prepare(self.epoch))
                elif record is not None:
                    self._send(voter, Accept(record))

    def _prepare(self, now: float, sender: str, epoch: int) -> None:
        kept = self.kept
        if kept.blank:
            return
        record = kept.record
        if record is not None and sender != record.primary:
            lives = (record.primary == self.me and self.stage is Stage.ACTIVE) or (
                self._heard(now, record.primary) and self._leads(record.primary)
            )
            if lives:  # rule 6
                self._send(sender, Promise(epoch, False, 0, record))
                return
        if (epoch, sender) == self._promised_to and epoch == kept.promised:
            self._send(sender, Promise(epoch, True, epoch, record))  # the answer was lost
            return
        if epoch <= kept.promised:
            self._send(sender, Promise(epoch, False, kept.promised, record))
            return
        if self.stage is not Stage.IDLE:
            self._step_down(now, f"{sender} asks for epoch {epoch}")
        self._save(promised=epoch)
        self._promised_to = epoch, sender
        self._rest_until = max(self._rest_until, now + STEP_S * 2)
        self._send(sender, Promise(epoch, True, epoch, record))

    def _leads(self, peer: str) -> bool:
        known = self.peers.get(peer)
        return known is not None and known.status is not None and known.status.active

    def _promised(self, now: float, sender: str, answer: Promise) -> None:
        if self.stage is not Stage.ASKS or answer.epoch != self.epoch:
            return
        if not answer.ok:
            if answer.promised > self.epoch:
                self._step_down(now, f"epoch {answer.promised} was promised to another")
            return
        self._yes[sender] = answer.record
        self._ask_newcomers()
        self._asked(now)

    def _ask_newcomers(self) -> None:
        """Those whom an answer has named as voters."""
        for voter in self._asked_all():
            if voter not in self._asked_of and voter != self.me:
                self._asked_of.add(voter)
                self._send(voter, Prepare(self.epoch))

    def _asked(self, now: float) -> None:
        if self.stage is not Stage.ASKS:
            return
        newest = max((r for r in self._yes.values() if r is not None), key=lambda r: r.epoch, default=None)
        if not self._enough(self._yes, self._lists(newest)):
            return
        if newest is None or not self._member(newest):
            # rule 1: another pair took over, and what it acknowledged may not be here
            self._save(record=newest)
            self._step_down(now, "another pair holds the newest")
            return
        if newest != self.kept.record:
            self._save(record=newest)  # its voters are those who count from here on
        self.stage = Stage.RECRUITS
        self._recruit(now)

    def _recruit(self, now: float) -> None:
        """Give all that is here to a backup: that of before if it is there, else one in another zone."""
        record = self.kept.record
        assert record is not None
        former = [p for p in (record.backup, record.primary) if p != self.me]
        voters = self.voters
        there = [p for p in self.peers if self._heard(now, p) and p not in self._tried]
        there.sort(
            key=lambda p: (self._apart and self._near(p), p not in former, p not in voters, self._near(p), p)
        )
        if not there:
            self._tried, self.backup = [], ""
            self._step_until = now + REST_S
            return
        self.backup = there[0]
        self._step_until = now + STEP_S
        kept = self.kept
        self._send(self.backup, Replicate(self.epoch, kept.version, _raw(kept.body), True))

    def _copy(self, sender: str, copy: Replicate) -> None:
        kept = self.kept
        body = bytes(copy.body) if copy.version else b""
        if copy.whole:
            # a blank machine may hold a copy: it promises nothing by that
            if copy.epoch < max(kept.promised, kept.given) or self._leading(copy.epoch):
                self._send(sender, ReplicateAck(copy.epoch, copy.version, False, kept.promised))
                return
            if self.stage is not Stage.IDLE:
                self._step_down(0.0, f"{sender} leads under epoch {copy.epoch}")
            changes: dict[str, object] = {} if kept.blank else {"promised": copy.epoch}
            self._save(version=copy.version, body=body, given=copy.epoch, **changes)
        else:
            if copy.epoch < kept.promised or kept.given != copy.epoch or self._leading(copy.epoch):
                self._send(sender, ReplicateAck(copy.epoch, copy.version, False, kept.promised))
                return
            if copy.version > kept.version:
                self._save(version=copy.version, body=body)
        self._send(sender, ReplicateAck(copy.epoch, copy.version, True, self.kept.promised))

    def _leading(self, epoch: int) -> bool:
        return self.stage is not Stage.IDLE and self.epoch >= epoch

    def _copied(self, now: float, sender: str, answer: ReplicateAck) -> None:
        if answer.epoch != self.epoch or sender != self.backup or self.stage is Stage.IDLE:
            return
        if not answer.ok:
            if answer.promised > self.epoch:
                self._step_down(now, f"{sender} has promised epoch {answer.promised}")
            elif self.stage is Stage.ACTIVE:
                self._reform(now, f"{sender} does not keep what it is given")
            return
        if self.stage is Stage.RECRUITS:
            self._seal(now)
        elif self.stage is Stage.ACTIVE and self._queue and self._queue[0].version == answer.version:
            self._kept_twice(now)

    def _near(self, peer: str) -> bool:
        """It stands where this machine does, and may be lost with it."""
        place = self._places.get(self.me)
        return place is not None and self._places.get(peer) == place

    def _seal(self, now: float) -> None:
        former = self.kept.record
        assert former is not None
        voters, before = former.voters or list(self.kept.voters), former.before
        if former.epoch == self._sealed_epoch:  # its voters decide alone: it was active under this machine
            voters, before = self._voters_next or voters, self.voters if self._voters_next else []
        self._voters_next = []
        record = Record(self.epoch, self.me, self.backup, voters, before)
        self.stage, self._step_until, self._yes = Stage.SEALS, now + STEP_S, {}
        self._save(record=record, given=self.epoch)
        self._yes[self.me] = record
        self._ask_again(now)
        self._sealed(now)

    def _accept(self, sender: str, record: Record) -> None:
        kept = self.kept
        if kept.blank:
            return
        if record.epoch < kept.promised or self._leading(record.epoch):
            self._send(sender, Accepted(record.epoch, False, kept.promised))
            return
        if self.stage is not Stage.IDLE:
            self._step_down(0.0, f"{record.primary} leads under epoch {record.epoch}")
        self._save(promised=record.epoch, record=record)
        self._send(sender, Accepted(record.epoch, True, record.epoch))

    def _accepted(self, now: float, sender: str, epoch: int, ok: bool, promised: int) -> None:
        if self.stage is not Stage.SEALS or epoch != self.epoch:
            return
        if not ok:
            if promised > self.epoch:
                self._step_down(now, f"{sender} has promised epoch {promised}")
            return
        self._yes[sender] = None
        self._sealed(now)

    def _sealed(self, now: float) -> None:
        if self.stage is Stage.SEALS and self._enough(self._yes, self._lists(self.kept.record)):
            self.stage = Stage.ACTIVE
            self._sealed_epoch = self.epoch
            self._say_what_is_borne()
            self._queue = []
            self._backup_since = now
            self._log(f"Primary under epoch {self.epoch}, backup {self.backup}, version {self.kept.version}.")
            self._force(self.kept.version, self.kept.body)
            self._tell(now)

    def _say_what_is_borne(self) -> None:
        """Operators are told, once for each state, what the places of copies and voters do not bear."""
        voters = self.voters
        places = [self._places.get(v, v) for v in voters]
        lacks = []
        if self._apart and self._near(self.backup):
            lacks.append(f"both copies lie in {self._places[self.me]}")
        if self._apart and any(places.count(p) * 2 > len(places) for p in places):
            lacks.append("more than half of the voters stand in one place")
        if len(voters) < 3:
            lacks.append(f"{len(voters)} voters: the loss of one stops changes")
        if lacks != self._lacks:
            self._lacks = lacks
            self._log(f"Not borne: {'; '.join(lacks)}." if lacks else "All that is to be borne is borne.")

    def _force(self, version: int, body: bytes) -> None:
        if version > self._in_force:
            self._in_force, self._body_in_force = version, body
            self.actions.append(InForce(version, body))

    def _watch_backup(self, now: float) -> None:
        if not self._heard(now, self.backup) and now - self._backup_since > SILENT_S:
            self._reform(now, f"backup {self.backup} is silent")
        elif self._queue and now - self._copying_since > PUT_S:
            self._reform(now, f"backup {self.backup} does not answer")

        elif self._apart and self._near(self.backup) and now - self._backup_since > BETTER_S:
            there = [p for p in self.peers if self._heard(now, p)]
            if any(not self._near(p) for p in there) and self._enough([self.me, *there], [self.voters]):
                self._reform(now, f"backup {self.backup} stands where this one does")
                self._tried = []

    def _watch_voters(self, now: float) -> None:
        """A voter that is gone makes room for a core machine that is there: the next loss is borne too."""
        if self.stage is not Stage.ACTIVE or self._queue or now - self._backup_since < BETTER_S:
            return
        record = self.kept.record
        there = [self.me, *(p for p in self.peers if self._heard(now, p))]
        if not self._enough(there, self._lists(record)):
            return  # who goes on asking for a new epoch in vain would stop changes that can be kept now
        if record is not None and record.before:
            self._reform(now, "the new voters decide alone from now on")
            self._tried = []
            return
        voters = self.voters
        lost = [v for v in voters if v != self.me and now - self._last_heard(v) > VOTER_LOST_S]
        spare = [
            p for p, known in self.peers.items()
            if p not in voters and self._heard(now, p) and known.status is not None and not known.status.blank
        ]
        if self.me not in voters:
            spare.append(self.me)
        if not spare or (not lost and len(voters) >= VOTERS):
            return
        taken = [self._places.get(v) for v in voters if v not in lost[:1]]
        joins = min(spare, key=lambda p: (taken.count(self._places.get(p)), p))
        self._voters_next = [joins if v in lost[:1] else v for v in voters] + ([] if lost else [joins])
        if lost:
            self._reform(now, f"voter {lost[0]} is gone, {joins} votes in its place")
        else:
            self._reform(now, f"{joins} votes as well")
        self._tried = []

    def _last_heard(self, peer: str) -> float:
        known = self.peers.get(peer)
        return max(known.heard_at, known.met_at) if known is not None else self._began

    def _reform(self, now: float, why: str) -> None:
        """Lead a new epoch with another backup; what waits to be kept is asked for again by its callers."""
        self._log(f"New epoch: {why}.")
        self._answer_queue("the backup was lost")
        self.stage, lost = Stage.IDLE, self.backup
        self._ask(now)
        self._tried = [lost]

    def _next_try(self, now: float) -> None:
        if self.stage is Stage.RECRUITS:
            if self.backup:
                self._tried.append(self.backup)
            self._recruit(now)
            return
        self._rest(now)

    def _rest(self, now: float) -> None:
        self.stage = Stage.IDLE
        voters = self.voters
        place = voters.index(self.me) if self.me in voters else len(voters)
        self._rest_until = now + REST_S + place * 0.15

    def _step_down(self, now: float, why: str) -> None:
        if self.stage is Stage.ACTIVE:
            self._log(f"Steps down from epoch {self.epoch}: {why}.")
        self._voters_next = []
        self._answer_queue("not the primary any more")
        for to, call, _, _ in self._questions.values():
            self._send(to, ReadAck(call, -1, why="not the primary any more"))
        self._questions.clear()
        self._rest(now)
        self._rest_until = max(self._rest_until, now + SILENT_S)

    def _answer_queue(self, why: str) -> None:
        for waiting in self._queue:
            for to, number in waiting.callers:
                self._send(to, WriteAck(number, False, why))
        self._queue = []

    # ---- calls of registries

    def _put(self, now: float, sender: str, put: Write) -> None:
        if self.stage is not Stage.ACTIVE:
            self._send(sender, WriteAck(put.number, False, "not the primary"))
            return
        if put.version <= self._in_force:
            self._send(sender, WriteAck(put.number, True))
            return
        for waiting in self._queue:
            if waiting.version >= put.version:  # kept with it, or overtaken by it
                waiting.callers.append((sender, put.number))
                return
        if len(self._queue) >= QUEUE:
            self._send(sender, WriteAck(put.number, False, "too many at once"))
            return
        self._queue.append(_Waiting(put.version, bytes(put.body), [(sender, put.number)]))
        if len(self._queue) == 1:
            self._replicate(now)

    def _replicate(self, now: float) -> None:
        waiting = self._queue[0]
        self._copying_since = now
        self._send(self.backup, Replicate(self.epoch, waiting.version, _raw(waiting.body), False))
        self._save(version=waiting.version, body=waiting.body)

    def _kept_twice(self, now: float) -> None:
        waiting = self._queue.pop(0)
        self._force(waiting.version, waiting.body)
        for to, number in waiting.callers:
            self._send(to, WriteAck(number, True))
        if self._queue:
            self._replicate(now)

    def _read(self, now: float, sender: str, number: int) -> None:
        if self.stage is not Stage.ACTIVE:
            self._send(sender, ReadAck(number, -1, why="not the primary"))
            return
        self._last_question += 1
        yes = {self.me: True}
        self._questions[self._last_question] = sender, number, yes, now + STEP_S
        for voter in self.voters:
            if voter != self.me:
                self._send(voter, Probe(self.epoch, self._last_question))
        self._answer_read(self._last_question)

    def _proven(self, sender: str, epoch: int, number: int, ok: bool) -> None:
        question = self._questions.get(number)
        if question is not None and ok and epoch == self.epoch:
            question[2][sender] = True
            self._answer_read(number)

    def _answer_read(self, number: int) -> None:
        to, call, yes, _ = self._questions[number]
        if not self._enough(yes, [self.voters]):
            return
        del self._questions[number]
        self._send(to, ReadAck(call, self._in_force, _raw(self._body_in_force)))


def _raw(body: bytes) -> msgspec.Raw:
    return msgspec.Raw(body) if body else NOTHING
