"""Retry storms are detected by their signs, and their start and end are reported once; simulated time."""

from __future__ import annotations

from dataclasses import replace

from troutdock.overload.storm import CALM_CHECKS, STARTUP_S, CHECKS_PER_REPORT, StormDetector, RequestCounts


class Watch:
    """A detector of an ingress with 400 client connection slots, advanced by one second at a time."""

    def __init__(self, old: bool = True) -> None:
        self.lines: list[str] = []
        self.now, self.sums = 0.0, RequestCounts()
        self.watch = StormDetector(0.0, 400, self.lines.append)
        if old:
            self.now = STARTUP_S * 1000
            self.watch.update(self.now, self.sums, 0.0)

    def second(
        self,
        requests: int = 500,
        rejected: int = 0,
        turned: int = 0,
        retries: int = 0,
        connections: int = 5,
        times: int = 1,
    ) -> None:
        for _ in range(times):
            self.now += 1000
            s = self.sums
            self.sums = replace(
                s,
                requests=s.requests + requests,
                rejected=s.rejected + rejected,
                rejected_unread=s.rejected_unread + turned,
                retries=s.retries + retries,
                connections=s.connections + connections,
            )
            self.watch.update(self.now, self.sums, 40.0)


def test_an_ordinary_day_is_no_storm() -> None:
    w = Watch()
    for rejected in (0, 100, 200, 50, 0) * 10:
        w.second(rejected=rejected, retries=rejected // 2, turned=rejected // 20)
    assert w.lines == [] and not w.watch.active


def test_each_sign_begins_one_and_is_named() -> None:
    for sign, part in (
        ({"turned": 100}, "20% turned away unread"),
        ({"rejected": 400}, "80% refused"),
        ({"retries": 300}, "60% retries"),
    ):
        w = Watch()
        w.second()
        w.second(**sign)
        assert w.watch.active and len(w.lines) == 1
        assert w.lines[0].startswith("storm begins: ") and part in w.lines[0] and "40 ms late" in w.lines[0]


def test_a_mass_return_is_known_by_its_connections_but_only_after_a_start() -> None:
    fresh, old = Watch(old=False), Watch()
    fresh.second(requests=10, connections=300)
    old.second(requests=10, connections=300)
    assert fresh.watch.active and "300 new connections a second" in fresh.lines[0]
    assert not old.watch.active


def test_a_few_requests_are_no_storm() -> None:
    w = Watch()
    w.second(requests=20, rejected=20, retries=20, times=5)
    assert w.lines == []


def test_it_ends_after_calm_seconds_with_its_sums() -> None:
    w = Watch()
    w.second(rejected=400, turned=100, times=2)
    w.second(times=CALM_CHECKS - 1)
    assert w.watch.active
    w.second()
    assert not w.watch.active and len(w.lines) == 2
    assert (
        w.lines[-1]
        == f"storm over after {2 + CALM_CHECKS} s: {500 * (2 + CALM_CHECKS)} requests, 800 refused, 200 of them unread"
    )


def test_a_gap_in_the_storm_is_no_end_and_no_new_storm() -> None:
    w = Watch()
    for _ in range(6):
        w.second(rejected=400)
        w.second(times=CALM_CHECKS - 1)
    assert len([line for line in w.lines if line.startswith("storm begins")]) == 1
    assert not [line for line in w.lines if line.startswith("storm over")]


def test_it_is_told_again_every_few_seconds_with_the_end_that_is_to_be_expected() -> None:
    w = Watch()
    w.second(rejected=450, times=CHECKS_PER_REPORT + 1)
    assert "90% refused" in w.lines[-1] and "not falling yet" in w.lines[-1]
    for rejected in (420, 390, 360, 330, 300):
        w.second(rejected=rejected)
    assert len(w.lines) == 3 and "60% refused" in w.lines[-1]
    seconds = int(w.lines[-1].partition("should end in ")[2].split()[0])
    assert 8 <= seconds <= 20  # decreases by 6 points a second: 10 s, plus the calm checks


def test_looks_that_come_too_often_or_late_are_no_matter() -> None:
    w = Watch()
    before = w.sums
    w.watch.update(w.now + 10, replace(before, requests=400, rejected=400), 0.0)
    assert w.lines == []
    w.now += 4000  # the process was stopped
    w.sums = replace(before, requests=200 * 5, rejected=0)
    w.watch.update(w.now, w.sums, 0.0)
    assert w.lines == []
