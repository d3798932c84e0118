"""Effect of a plan change on an active customer, at one gateway and across several."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from build import SAFE, START, ended, gateway, request
from hypothesis import given
from hypothesis import strategies as st

from troutdock.admission.gateway import Customer
from troutdock.admission.interface import CounterAdd, CounterReply, Outcome, Plan, PlanAssigned, Refuse, Send

BASE = Plan(8, 16, ceiling_rate=20, ceiling_burst=40, name="base")


def changed(
    tokens: float, cap: float, plan: Plan, before: Plan = BASE, after_ms: float = 0.0
) -> tuple[float, float, float]:
    """Returns tokens, ceiling tokens and estimated shared tokens of a customer with the whole plan."""
    customer = Customer(before, 1, START)
    customer.tokens, customer.cap_tokens, customer.store = tokens, cap, 10.0
    customer.change_plan(START + 1000, plan)
    customer.refill(START + 1000 + after_ms)
    return customer.tokens, customer.cap_tokens, customer.store


@pytest.mark.parametrize(
    ("change", "after_ms", "left"),
    [
        ({}, 0, (9, 22, 10)),  # one second at the old rates
        ({"rate": 80}, 0, (9, 22, 10)),
        ({"rate": 80}, 50, (13, 23, 10)),
        ({"rate": 0.8}, 1000, (9.8, 40, 10)),
        ({"burst": 160}, 0, (9, 22, 10)),
        ({"burst": 160}, 4000, (41, 40, 10)),
        ({"burst": 4}, 0, (4, 22, 4)),
        ({"ceiling_rate": 200}, 50, (9.4, 32, 10)),
        ({"ceiling_rate": 2}, 1000, (16, 24, 10)),
        ({"ceiling_burst": 400}, 0, (9, 22, 10)),
        ({"ceiling_burst": 4}, 0, (9, 4, 10)),
        ({"ceiling_rate": 0, "ceiling_burst": 0}, 0, (9, 0, 10)),
    ],
)
def test_increase_and_decrease_of_each_plan_value(
    change: dict[str, float], after_ms: float, left: tuple[float, float, float]
) -> None:
    assert changed(1.0, 2.0, replace(BASE, name="new", **change), after_ms=after_ms) == pytest.approx(left)


def test_new_ceiling_starts_with_an_empty_bucket() -> None:
    assert changed(1.0, 0.0, BASE, before=Plan(8, 16, name="free"))[1] == pytest.approx(0.0)


@given(
    st.lists(
        st.tuples(st.sampled_from(["up", "down", "ask", "wait"]), st.integers(0, 2), st.integers(1, 9)),
        max_size=40,
    )
)
def test_ceiling_holds_while_gateways_learn_of_changes_at_different_times(
    steps: list[tuple[str, int, int]],
) -> None:
    """Three gateways with a third each never admit more in total than the bucket of the higher ceiling."""
    low = Plan(0, 0, ceiling_rate=3, ceiling_burst=12, name="low")
    high = Plan(0, 0, ceiling_rate=30, ceiling_burst=60, name="high")
    gateways = [
        gateway(*range(1, 20), classes=(SAFE,), plans=(low, high), gateways=3, index=n) for n in range(3)
    ]
    now, number, store = START + 30_000.0, 0, 60.0
    for what, at, amount in steps:
        g = gateways[at]
        if what == "wait":
            now += 100.0 * amount
            store = min(60.0, store + 0.1 * amount * 30)
        elif what != "ask":
            g.handle(now, PlanAssigned(9, what == "up"))
        else:
            for _ in range(amount):
                number += 1
                for action in g.handle(now, request(number, width=3)):
                    if isinstance(action, Send):
                        store -= 1
                        g.handle(now, ended(number, action.backend, took=5.0))
        assert store >= 0


def test_downgrade_starts_a_new_count_without_debt_from_the_old_plan() -> None:
    """Usage at 40 units/s, evaluated with a rate of 3 units/s, would wrongly give a debt of 158 units."""
    rich, poor = Plan(40, 80, name="rich"), Plan(3, 16, name="poor")
    g = gateway(*range(1, 20), plans=(rich, poor), gateways=1, counter=True, counter_timeout_ms=50)
    names: dict[int, float] = {}
    sent: list[tuple[float, str]] = []

    def ask(now: float, number: int) -> None:
        todo: list[Any] = g.handle(now, request(number, width=1))
        while todo:
            action = todo.pop(0)
            if isinstance(action, CounterAdd):
                names[action.name] = names.get(action.name, 0.0) + action.amount
                todo += g.handle(now, CounterReply(action.name, Outcome.OK, 1.0, names[action.name]))
            elif isinstance(action, Send):
                sent.append((now, g.customers[9].plan.name))
                todo += g.handle(now, ended(number, action.backend, took=5.0))
            else:
                assert isinstance(action, Refuse)

    for n in range(1200):  # 30 s at the old rate
        ask(START + 25.0 * n, n + 1)
    g.handle(START + 30_000, PlanAssigned(9, 1))
    for n in range(1200):
        ask(START + 30_000 + 25.0 * n, 5000 + n)
        assert g.customers[9].store > -16
    after = sum(plan == "poor" for _, plan in sent)
    assert sum(plan == "rich" for _, plan in sent) > 1000
    assert (
        95 <= after <= 16 + 3 * 30 + 20
    )  # usage is counted in batches: a few units are admitted before that
