"""Changes of plan in service: told once and in time, whatever the order in which they are heard of."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from loopback import answer, request, run, until, world

from troutdock.plans.schedule import COMPACT_AFTER_MS, PlanSchedule
from troutdock.plans.files import read, write
from troutdock.plans.history import Assignment, ConflictError, AssignmentHistory
from troutdock.plans.service import Plans


class Gateways(RuleBasedStateMachine):
    """Gateways that hear of assignments late, in any order, twice or not yet, by clocks that differ, and start anew."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.made = 0.0, list[Assignment]()
        self.books = [PlanSchedule() for _ in range(3)]
        self.off = [0.0, 4.0, -4.0]  # of their clocks
        self.told: list[dict[int, str]] = [{}, {}, {}]

    def tell(self, gateway: int, changes: list[tuple[int, str]]) -> None:
        for customer, plan in changes:
            assert self.told[gateway].get(customer) != plan  # a change is told once
            self.told[gateway][customer] = plan

    @rule(customer=st.integers(1, 2), plan=st.sampled_from(["basis", "plus"]), ahead=st.integers(-10, 20))
    def assign(self, customer: int, plan: str, ahead: int) -> None:
        self.made.append(Assignment(max(0.0, self.now + ahead), f"a{len(self.made)}", customer, plan))

    @rule(gateway=st.integers(0, 2), data=st.data())
    def hear(self, gateway: int, data: st.DataObject) -> None:
        if self.made:
            news = data.draw(st.lists(st.sampled_from(self.made), max_size=4))
            self.tell(gateway, self.books[gateway].add(max(0.0, self.now + self.off[gateway]), news))

    @rule(ms=st.integers(1, 15))
    def time(self, ms: int) -> None:
        self.now += ms
        for n, book in enumerate(self.books):
            self.tell(n, book.take_due(max(0.0, self.now + self.off[n])))

    @rule(gateway=st.integers(0, 2))
    def restart(self, gateway: int) -> None:
        self.books[gateway], self.told[gateway] = PlanSchedule(), {}

    @invariant()
    def what_was_told_is_what_holds_by_each_one_s_own_clock(self) -> None:
        for n, book in enumerate(self.books):
            now = max(0.0, self.now + self.off[n])
            assert (
                self.told[n] == {c: plan for c in (1, 2) if (plan := book.plan_of(c, now)) is not None}
                or book.next_change_at <= now
            )

    def teardown(self) -> None:
        """All have heard of all, and their clocks are right again: they agree."""
        end = self.now + 100
        for n, book in enumerate(self.books):
            self.tell(n, book.add(max(0.0, self.now + self.off[n]), self.made))
            self.tell(n, book.take_due(end))
        assert self.told[0] == self.told[1] == self.told[2]
        late = AssignmentHistory().assign(self.made).compact(end)  # gateways fold at their own times
        assert [book.history.compact(end) for book in self.books] == [late] * 3
        assert self.told[0] == {
            c: held.plan
            for c in (1, 2)
            if (held := AssignmentHistory().assign(self.made).at(c, end)) is not None
        }


Gateways.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestGateways = Gateways.TestCase


def test_a_change_made_ahead_is_told_when_it_is_due_and_old_ones_are_folded() -> None:
    book = PlanSchedule()
    assert book.add(0.0, [Assignment(0.0, "a", 9, "basis"), Assignment(100.0, "b", 9, "plus")]) == [
        (9, "basis")
    ]
    assert (book.next_change_at, book.take_due(99.0), book.take_due(100.0), book.take_due(101.0)) == (
        100.0,
        [],
        [(9, "plus")],
        [],
    )
    assert book.plan_of(9, 100.0) == "plus" and book.plan_of(8, 100.0) is None
    late = 100.0 + COMPACT_AFTER_MS + 1
    book.add(0.0, [Assignment(late, "c", 7, "plus")])
    book.take_due(late)
    assert len(book.history) == 2
    assert book.add(late, [Assignment(0.0, "a", 9, "basis")]) == []  # heard again: it changes nothing
    with pytest.raises(ConflictError):
        book.add(late, [Assignment(5.0, "d", 5, "plus"), Assignment(1.0, "b", 9, "plus")])
    assert book.plan_of(5, late) is None


def spent(w: object, customer: int) -> float:
    return w.gateway.customers[customer].plan.burst  # type: ignore[attr-defined]


def test_an_assigned_plan_goes_before_what_requests_say_and_changes_in_service(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = tmp_path / "plans.jsonl"
    write(file, AssignmentHistory().assign([Assignment(0.0, "a", 9, "basis")]))

    async def test() -> None:
        async with world(answer()) as w:
            plans = Plans(file, 0.05)
            plans.start(w.engine)
            assert (await w.ask(request("ledger-read", 1)))[0] == 200  # it says plus
            assert spent(w, 9) == 8.0  # basis
            write(file, read(file).assign([Assignment(1.0, "b", 9, "plus")]))
            await until(lambda: spent(w, 9) == 1000.0)
            file.write_text(file.read_text() + "nonsense\n")
            await until(lambda: "keeping the known history" in caplog.text)
            assert "plans.jsonl:3" in caplog.text and spent(w, 9) == 1000.0
            write(
                file,
                AssignmentHistory().assign(
                    [
                        Assignment(0.0, "a", 9, "basis"),
                        Assignment(2.0, "c", 9, "gold"),
                        Assignment(3.0, "d", 8, "basis"),
                    ]
                ),
            )
            await until(lambda: "no 'gold'" in caplog.text)
            assert (await w.ask(request("ledger-read", 2, Client_Retry="1")))[0] == 200  # its own word counts
            assert spent(w, 9) == 1000.0
            await plans.close()

    with caplog.at_level(logging.INFO, "troutdock"):
        run(test())


def test_a_change_that_is_due_soon_is_told_by_a_timer(tmp_path: Path) -> None:
    file = tmp_path / "plans.jsonl"

    async def test() -> None:
        async with world(answer()) as w:
            plans = Plans(file, 60.0)  # there is no file yet
            plans.start(w.engine)
            assert (await w.ask(request("ledger-read", 1)))[0] == 200
            now = w.engine.clock.now()
            assert plans.schedule.add(now, [Assignment(now + 60, "a", 9, "basis")]) == []
            plans._schedule_timer()
            assert spent(w, 9) == 1000.0
            await until(lambda: spent(w, 9) == 8.0)
            assert w.engine.clock.now() >= now + 60
            await plans.close()

    run(test())


def test_a_bad_history_at_the_start_is_named(tmp_path: Path) -> None:
    file = tmp_path / "plans.jsonl"
    file.write_text('[1,"a",9,"basis","",""]\n[1,"a",9,"plus","",""]\n')
    with pytest.raises(ValueError, match=r"plans.jsonl:2: .* is known as"):
        Plans(file, 1.0)
