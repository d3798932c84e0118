"""Plan changes at run time: reported once and in time, in whatever order assignments arrive."""

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


class GatewayMachine(RuleBasedStateMachine):
    """Gateways that receive assignments late, in any order or twice, with differing clocks and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.made = 0.0, list[Assignment]()
        self.schedules = [PlanSchedule() for _ in range(3)]
        self.clock_offsets = [0.0, 4.0, -4.0]  # offsets of their clocks
        self.reported: list[dict[int, str]] = [{}, {}, {}]

    def record_changes(self, gateway: int, changes: list[tuple[int, str]]) -> None:
        for customer, plan in changes:
            assert self.reported[gateway].get(customer) != plan  # a change is reported once
            self.reported[gateway][customer] = plan

    @rule(customer=st.integers(1, 2), plan=st.sampled_from(["basis", "plus"]), ahead=st.integers(-10, 20))
    def assign(self, customer: int, plan: str, ahead: int) -> None:
        self.made.append(Assignment(max(0.0, self.now + ahead), f"a{len(self.made)}", customer, plan))

    @rule(gateway=st.integers(0, 2), data=st.data())
    def receive(self, gateway: int, data: st.DataObject) -> None:
        if self.made:
            assignments = data.draw(st.lists(st.sampled_from(self.made), max_size=4))
            self.record_changes(
                gateway,
                self.schedules[gateway].add(max(0.0, self.now + self.clock_offsets[gateway]), assignments),
            )

    @rule(ms=st.integers(1, 15))
    def time(self, ms: int) -> None:
        self.now += ms
        for n, schedule in enumerate(self.schedules):
            self.record_changes(n, schedule.take_due(max(0.0, self.now + self.clock_offsets[n])))

    @rule(gateway=st.integers(0, 2))
    def restart(self, gateway: int) -> None:
        self.schedules[gateway], self.reported[gateway] = PlanSchedule(), {}

    @invariant()
    def reported_plans_match_each_gateways_clock(self) -> None:
        for n, schedule in enumerate(self.schedules):
            now = max(0.0, self.now + self.clock_offsets[n])
            assert (
                self.reported[n]
                == {c: plan for c in (1, 2) if (plan := schedule.plan_of(c, now)) is not None}
                or schedule.next_change_at <= now
            )

    def teardown(self) -> None:
        """Once all gateways have all assignments and correct clocks, they agree."""
        end = self.now + 100
        for n, schedule in enumerate(self.schedules):
            self.record_changes(n, schedule.add(max(0.0, self.now + self.clock_offsets[n]), self.made))
            self.record_changes(n, schedule.take_due(end))
        assert self.reported[0] == self.reported[1] == self.reported[2]
        late = AssignmentHistory().assign(self.made).compact(end)  # gateways compact at different times
        assert [schedule.history.compact(end) for schedule in self.schedules] == [late] * 3
        assert self.reported[0] == {
            c: assignment.plan
            for c in (1, 2)
            if (assignment := AssignmentHistory().assign(self.made).at(c, end)) is not None
        }


GatewayMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestGatewayMachine = GatewayMachine.TestCase


def test_future_change_is_reported_when_due_and_old_ones_are_compacted() -> None:
    schedule = PlanSchedule()
    assert schedule.add(0.0, [Assignment(0.0, "a", 9, "basis"), Assignment(100.0, "b", 9, "plus")]) == [
        (9, "basis")
    ]
    assert (
        schedule.next_change_at,
        schedule.take_due(99.0),
        schedule.take_due(100.0),
        schedule.take_due(101.0),
    ) == (
        100.0,
        [],
        [(9, "plus")],
        [],
    )
    assert schedule.plan_of(9, 100.0) == "plus" and schedule.plan_of(8, 100.0) is None
    late = 100.0 + COMPACT_AFTER_MS + 1
    schedule.add(0.0, [Assignment(late, "c", 7, "plus")])
    schedule.take_due(late)
    assert len(schedule.history) == 2
    assert schedule.add(late, [Assignment(0.0, "a", 9, "basis")]) == []  # a duplicate changes nothing
    with pytest.raises(ConflictError):
        schedule.add(late, [Assignment(5.0, "d", 5, "plus"), Assignment(1.0, "b", 9, "plus")])
    assert schedule.plan_of(5, late) is None


def burst_of(w: object, customer: int) -> float:
    return w.gateway.customers[customer].plan.burst  # type: ignore[attr-defined]


def test_assigned_plan_overrides_the_requested_one_and_changes_at_run_time(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = tmp_path / "plans.jsonl"
    write(file, AssignmentHistory().assign([Assignment(0.0, "a", 9, "basis")]))

    async def test() -> None:
        async with world(answer()) as w:
            plans = Plans(file, 0.05)
            plans.start(w.engine)
            assert (await w.ask(request("ledger-read", 1)))[0] == 200  # the request names plus
            assert burst_of(w, 9) == 8.0  # basis
            write(file, read(file).assign([Assignment(1.0, "b", 9, "plus")]))
            await until(lambda: burst_of(w, 9) == 1000.0)
            file.write_text(file.read_text() + "nonsense\n")
            await until(lambda: "keeping the known history" in caplog.text)
            assert "plans.jsonl:3" in caplog.text and burst_of(w, 9) == 1000.0
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
            assert (await w.ask(request("ledger-read", 2, Client_Retry="1")))[
                0
            ] == 200  # the plan named by the request applies
            assert burst_of(w, 9) == 1000.0
            await plans.close()

    with caplog.at_level(logging.INFO, "troutdock"):
        run(test())


def test_timer_applies_a_future_change(tmp_path: Path) -> None:
    file = tmp_path / "plans.jsonl"

    async def test() -> None:
        async with world(answer()) as w:
            plans = Plans(file, 60.0)  # the file does not exist yet
            plans.start(w.engine)
            assert (await w.ask(request("ledger-read", 1)))[0] == 200
            now = w.engine.clock.now()
            assert plans.schedule.add(now, [Assignment(now + 60, "a", 9, "basis")]) == []
            plans._schedule_timer()
            assert burst_of(w, 9) == 1000.0
            await until(lambda: burst_of(w, 9) == 8.0)
            assert w.engine.clock.now() >= now + 60
            await plans.close()

    run(test())


def test_invalid_history_at_start_is_named(tmp_path: Path) -> None:
    file = tmp_path / "plans.jsonl"
    file.write_text('[1,"a",9,"basis","",""]\n[1,"a",9,"plus","",""]\n')
    with pytest.raises(ValueError, match=r"plans.jsonl:2: .* is known as"):
        Plans(file, 1.0)
