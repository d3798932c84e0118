"""Quotas in seeded fault scenarios: admissions stay within the operators' bound, and clients get their quota.

    python tests/system/test_quota_scenarios.py 4000 0      runs 4000 scenarios, starting at number 0

The command uses QUOTA_COURSE_PROCESSES (default 4) processes and prints every scenario that violates the
bound, with its seed and kind; run_scenario(seed, kind) repeats it. QUOTA_COURSE_SEEDS is the number of seeds
of each kind under pytest.
"""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

if __name__ == "__main__":
    root = Path(__file__).parents[2]
    sys.path[:0] = [str(root), str(root / "tests" / "support")]

import pytest
from quota_scenarios import KINDS, Outcome, run_scenario
from quota_fleet import Fleet, Load


from troutdock.quota import owner as owner_module
from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.node import QuotaNode
from troutdock.quota.owner import Answer, ShardOwner

SEEDS_IN_CI = int(os.environ.get("QUOTA_COURSE_SEEDS", "1"))  # scenarios of each kind
MAX_SEEDS = 12  # seeds within which an injected fault must be found


def check(outcome: Outcome) -> None:
    assert outcome.ratio <= 1.0, str(outcome)


def finds_fault(kind: str, first_seed: int = 0) -> bool:
    """Returns whether one of the scenarios from first_seed on violates the bound."""
    return any(run_scenario(seed, kind).ratio > 1.0 for seed in range(first_seed, first_seed + MAX_SEEDS))


@pytest.mark.parametrize("seed", range(SEEDS_IN_CI))
@pytest.mark.parametrize("kind", sorted(set(KINDS) - {"calm"}))
def test_admissions_stay_within_the_bound(kind: str, seed: int) -> None:
    check(run_scenario(seed, kind))


@pytest.mark.parametrize("seed", range(1, 5))
def test_calm_clients_get_as_much_as_from_one_bucket(seed: int) -> None:
    outcome = run_scenario(seed, "calm")
    check(outcome)
    assert outcome.missed <= 1, str(
        outcome
    )  # one token may be leased by another proxy; at least 0.99 otherwise


@pytest.mark.parametrize(
    ("zones", "rate"), [({"a": 2}, 0.5), ({"a": 3, "b": 2}, 20.0), ({"a": 3, "b": 3, "c": 2}, 200.0)]
)
def test_a_busy_tenant_gets_its_rate_and_a_quiet_tenant_everything(
    zones: dict[str, int], rate: float
) -> None:
    fleet = Fleet(1, zones, {"hot": QuotaLimit(rate, max(1.0, rate)), "quiet": QuotaLimit(50.0, 50.0)})
    fleet.clock.run(1.0)
    hot, quiet = fleet.offer(Load("hot", min(2000.0, 100 * rate))), fleet.offer(Load("quiet", 35.0))
    fleet.clock.run(13.0)
    assert hot.admitted >= 0.95 * rate * 12
    assert quiet.admitted >= 0.99 * quiet.offered
    assert fleet.worst_window().admitted <= fleet.worst_window().allowed


@pytest.mark.parametrize("in_each_zone", [int(os.environ.get("QUOTA_PROXIES_IN_EACH_ZONE", "4"))])
def test_a_larger_fleet_stays_within_the_bound_when_the_owner_fails(in_each_zone: int) -> None:
    """With QUOTA_PROXIES_IN_EACH_ZONE=33, the fleet has 198 proxies and the test takes about ten seconds."""
    fleet = Fleet(2, dict.fromkeys("abcdef", in_each_zone), {"hot": QuotaLimit(100.0, 100.0)})
    fleet.clock.run(0.8)
    hot = fleet.offer(Load("hot", 600.0))
    fleet.clock.run(2.0)
    for owner in fleet.owners("hot"):
        fleet.kill(owner)
    fleet.clock.run(4.0)
    assert fleet.worst_window().admitted <= fleet.worst_window().allowed
    assert hot.admitted >= 0.95 * 100 * 2


# ---- injected faults: the same check must find each of them


def test_the_scenarios_find_an_owner_that_starts_with_full_buckets(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = ShardOwner.__init__
    monkeypatch.setattr(ShardOwner, "__init__", lambda self, term, now, full: begin(self, term, now, True))
    assert finds_fault("kills")


def test_the_scenarios_find_a_lease_that_is_granted_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    grant = ShardOwner.grant

    def grant_without_deduction(
        self: ShardOwner, now: float, requester: str, tenant: str, *demand: object
    ) -> Answer:
        bucket = self._buckets.get(tenant)
        level = bucket.level if bucket is not None else 0.0
        answer = grant(self, now, requester, tenant, *demand)  # type: ignore[arg-type]
        if bucket is not None and bucket.level < level:
            bucket.level = level  # the owner does not deduct the tokens
        return answer

    monkeypatch.setattr(ShardOwner, "grant", grant_without_deduction)
    assert finds_fault("calm", 1)


def test_the_scenarios_find_returned_tokens_that_are_added_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    put_back = ShardOwner.put_back
    monkeypatch.setattr(
        ShardOwner, "put_back", lambda self, tenant, limit, tokens: put_back(self, tenant, limit, 2 * tokens)
    )
    assert finds_fault("impatient")


def test_the_scenarios_find_an_owner_that_keeps_its_term_after_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(QuotaNode, "_observe", lambda self, now: None)
    assert finds_fault("stalls", 2)


def test_the_scenarios_find_votes_that_never_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    """With the fault, a zone that has switched to another owner keeps backing the first one."""
    monkeypatch.setattr(owner_module, "VOTE_LIFETIME_S", 1e9)
    monkeypatch.setattr(ShardOwner, "forget_voter", lambda self, voter: None)
    assert finds_fault("cuts", 4)


# ---- command line


def _run(seed: int) -> Outcome:
    kinds = sorted(KINDS)
    return run_scenario(seed // len(kinds), kinds[seed % len(kinds)])


def main(count: int, first: int) -> int:
    """Runs scenarios; returns how many of them violate the bound or starve a calm client."""
    broken, worst, requests = 0, 0.0, 0
    with ProcessPoolExecutor(int(os.environ.get("QUOTA_COURSE_PROCESSES", "4"))) as pool:
        for outcome in pool.map(_run, range(first, first + count), chunksize=8):
            worst, requests = max(worst, outcome.ratio), requests + outcome.requests
            starved = outcome.kind == "calm" and outcome.missed > 1
            if outcome.ratio > 1 or starved:
                broken += 1
                print("STARVED" if starved else "BROKEN", outcome, flush=True)
    print(f"scenarios {count} broken {broken} worst {worst:.3f} of the bound, requests {requests}")
    return broken


if __name__ == "__main__":
    numbers = [int(argument) for argument in sys.argv[1:]]
    sys.exit(bool(main(*(numbers + [1000, 0][len(numbers) :]))))
