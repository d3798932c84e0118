"""Instances and drains: word in any order comes to the same, and an acknowledged drain outlives its machine."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from furrow.messages import DRAINING, GONE, READY, Beats, Config, Fresh, Instance, Instances, Member, Members, Silence, digest_of
from hedgerow.registry import Confirmed, Registry, Tell
from pollen.instances import Book

IDS = ["i-1", "i-2", "i-3"]


def instance(id: str, state: int = READY) -> Instance:
    return Instance(id, "s", "10.0.0.9:80", "a", 2, state)


class Registries(RuleBasedStateMachine):
    """Three registries whose machines die one at a time; each has an ingress that follows it."""

    @initialize()
    def begin(self) -> None:
        self.now = 0.0
        self.books = {n: Registry(0.0, 1.5) for n in range(3)}
        self.alive = dict.fromkeys(range(3), True)
        self.acknowledged: dict[str, int] = {}
        self.followers = {n: Book() for n in range(3)}
        self.waiting: list[tuple[int, int, object]] = []  # from, to, message
        self.pending: dict[tuple[int, int], tuple[str, int]] = {}
        for n in range(3):
            for m in range(3):
                if n != m:
                    self.do(n, self.books[n].registry_up(0.0, m, f"10.0.0.{m}", "abc"[m]))
            self.do(n, self.books[n].primary(0.0, Fresh(True, 0)))
            self.do(n, self.books[n].ingress_up(0.0, "ingress", Member(f"e{n}", "10.1.0.1", 1, "a", 1)))
        self.deliver_all()

    def do(self, n: int, actions: list) -> None:
        if self.books[n].urgent and self.books[n].take_save(self.now) is not None:
            actions = [*actions, *self.books[n].saved(self.now, True)]
        for action in actions:
            if isinstance(action, Confirmed):
                told = self.pending.pop((n, action.number), None)
                if action.ok and told is not None:
                    self.acknowledged[told[0]] = max(told[1], self.acknowledged.get(told[0], 0))
            elif isinstance(action, Tell):
                if action.to is None or action.to == "ingress":
                    if isinstance(action.message, Instances):
                        self.followers[n].hear(self.now, action.message.entries)
                else:
                    self.waiting.append((n, action.to, action.message))

    def deliver_all(self) -> None:
        while self.waiting:
            sender, to, message = self.waiting.pop(0)
            if self.alive[to] and self.alive[sender]:
                self.do(to, self.books[to].hear(self.now, sender, message))

    @rule(n=st.integers(0, 2), id=st.sampled_from(IDS), state=st.sampled_from([READY, DRAINING, GONE]),
          count=st.integers(-1, 9))
    def call(self, n: int, id: str, state: int, count: int) -> None:
        if self.alive[n]:
            number, actions = self.books[n].beat(self.now, instance(id, state), count)
            if number:
                self.pending[n, number] = id, state
            self.do(n, actions)

    @rule(at=st.integers(0, 20))
    def deliver(self, at: int) -> None:
        if self.waiting:
            sender, to, message = self.waiting[at % len(self.waiting)]
            # in order on each way, as on a connection
            first = next(i for i, (s, t, _) in enumerate(self.waiting) if (s, t) == (sender, to))
            sender, to, message = self.waiting.pop(first)
            if self.alive[to]:
                self.do(to, self.books[to].hear(self.now, sender, message))

    @precondition(lambda self: all(self.alive.values()))
    @rule(n=st.integers(0, 2))
    def die(self, n: int) -> None:
        self.alive[n] = False
        self.waiting = [w for w in self.waiting if n not in w[:2]]
        self.pending = {k: v for k, v in self.pending.items() if k[0] != n}
        for m in range(3):
            if m != n:
                self.books[m].registry_down(self.now, n)
        self.deliver_all()  # what was on its way between the others comes
        known = [b for m, b in self.books.items() if m != n]
        for id, state in self.acknowledged.items():
            for book in known:
                assert book.book.entries[id].state >= state
            for m in range(3):
                if m != n and id in self.followers[m].entries:
                    assert self.followers[m].entries[id].state >= state

    @precondition(lambda self: not all(self.alive.values()))
    @rule()
    def back(self) -> None:
        n = next(m for m, alive in self.alive.items() if not alive)
        self.books[n], self.alive[n], self.followers[n] = Registry(self.now, 1.5), True, Book()
        for m in range(3):
            if m != n:
                self.do(n, self.books[n].registry_up(self.now, m, f"10.0.0.{m}", "abc"[m]))
                self.do(m, self.books[m].registry_up(self.now, n, f"10.0.0.{n}", "abc"[n]))
        self.do(n, self.books[n].primary(self.now, Fresh(True, 0)))
        self.do(n, self.books[n].ingress_up(self.now, "ingress", Member(f"e{n}", "10.1.0.1", 1, "a", 1)))
        self.deliver_all()

    @rule(gone=st.floats(0.05, 1.0))
    def wait(self, gone: float) -> None:
        self.now += gone
        for n in range(3):
            if self.alive[n]:
                self.do(n, self.books[n].tick(self.now))

    @invariant()
    def an_acknowledged_state_is_known_to_two(self) -> None:
        for id, state in getattr(self, "acknowledged", {}).items():
            knowing = [n for n in range(3) if id in self.books[n].book.entries
                       and self.books[n].book.entries[id].state >= state]
            assert len(knowing) >= 2 or not all(self.alive.values())


TestRegistries = Registries.TestCase
TestRegistries.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_without_a_second_registry_a_drain_is_not_acknowledged() -> None:
    registry = Registry(0.0, 1.5, seeds=["10.0.0.2"])
    registry.primary(0.0, Fresh(True, 0))
    number, _ = registry.beat(0.0, instance("i-1", DRAINING), 3)
    assert registry.take_save(0.0) is not None and registry.saved(0.0, True) == []
    assert Confirmed(number, False) in registry.tick(1.0)


def test_silence_is_told_once_and_taken_back_by_a_beat_anywhere() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.beat(0.0, instance("i-1"), 1)
    told = [a.message for s in range(1, 12) for a in registry.tick(s * 0.5) if isinstance(a, Tell)
            and isinstance(a.message, Silence)]
    assert told == [Silence(["i-1"], [])]
    assert Tell(None, Silence([], ["i-1"])) in registry.hear(6.0, "r", Beats(["i-1"]))


def test_one_that_is_cut_off_takes_nobody_for_silent() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.beat(0.0, instance("i-1"), 1)
    registry.registry_down(0.5, "r")
    assert not [a for s in range(1, 12) for a in registry.tick(s * 0.5) if isinstance(a, Tell)
                and isinstance(a.message, Silence)]


def test_a_late_call_changes_nothing() -> None:
    registry = Registry(0.0, 1.5)
    registry.beat(0.0, instance("i-1", DRAINING), 5)
    registry.beat(0.1, instance("i-1", READY), 4)
    assert registry.book.entries["i-1"].state == DRAINING


def test_configurations_only_rise_and_newcomers_hear_of_freshness_last() -> None:
    import msgspec
    registry = Registry(0.0, 1.5)
    new, old = Config(9, msgspec.Raw(b"{}")), Config(7, msgspec.Raw(b"{}"))
    assert registry.take_config(new)
    assert registry.take_config(old) == []
    told = [a.message for a in registry.ingress_up(0.0, "e", Member("e", "10.1.0.1", 1, "a", 1)) if a.to == "e"]
    digest = digest_of(b"{}")
    assert told[0] == Config(9, msgspec.Raw(b"{}"), digest) and told[-1] == Fresh(False, 9, digest)


def test_members_are_all_that_are_linked_anywhere() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.ingress_up(0.0, "x", Member("e1", "10.1.0.1", 1, "a", 1))
    actions = registry.hear(0.1, "r", Members([Member("e2", "10.1.0.2", 1, "b", 1)], [], True))
    assert actions == [Tell(None, Members([Member("e2", "10.1.0.2", 1, "b", 1)], []))]
    registry.registry_down(1.0, "r")
    assert not any(isinstance(a.message, Members) for a in registry.tick(2.0) if isinstance(a, Tell))
    gone = [a.message for a in registry.tick(5.5) if isinstance(a, Tell)]
    assert Members([], ["e2"]) in gone


def test_one_whose_address_another_serves_at_has_ended() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.beat(0.0, instance("i-1"), 1)
    _, actions = registry.beat(5.0, instance("i-2"), 1)
    told = next(a.message for a in actions if isinstance(a, Tell) and a.to is None and isinstance(a.message, Instances))
    assert {(e.id, e.state) for e in told.entries} == {("i-1", GONE), ("i-2", READY)}
    registry.hear(6.0, "r", Instances([instance("i-1")]))  # late word changes nothing
    assert registry.book.entries["i-1"].state == GONE


def test_many_ingresses_that_start_at_once_are_told_together() -> None:
    """Each to each would be bytes by the square of their number; in the end all know all."""
    registry, sent = Registry(0.0, 1.0), 0
    known: dict[str, set[str]] = {}

    def do(actions: list) -> None:
        nonlocal sent
        for action in actions:
            if isinstance(action, Tell) and isinstance(action.message, Members):
                for link in [action.to] if action.to is not None else list(registry.ingresses):
                    names = {m.name for m in action.message.entries}
                    known[str(link)] = names if action.message.full else (known.get(str(link), set()) | names) - set(action.message.gone)
                    sent += len(action.message.entries)

    count, now = 200, 0.0
    for n in range(count):
        now = n / count
        do(registry.ingress_up(now, f"l{n}", Member(f"e{n}", f"10.1.0.{n}", 1, "a", n)))
        do(registry.tick(now))
    do(registry.tick(now + 0.2))
    assert all(names == {f"e{n}" for n in range(count)} for names in known.values()) and len(known) == count
    assert sent < count * count * 1.2  # the list once to each, whole or in parts: not a message for each start
    do(registry.ingress_down(now + 1, "l7"))
    assert "e7" not in known["l3"]  # one alone is told at once
