"""Event loop lag in simulated time."""

from __future__ import annotations

from troutdock.overload.lag import SAMPLE_INTERVAL_S, SIGNIFICANT_MS, EventLoopLag

EVERY_MS = SAMPLE_INTERVAL_S * 1000


class Clockwork:
    """A loop whose sampler fires late by given amounts."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.lag = EventLoopLag(lambda: self.now)
        self.lag.sample()

    def fire(self, late_ms: float = 0.0) -> None:
        self.now += EVERY_MS + late_ms
        self.lag.sample()


def test_a_prompt_clockwork_has_no_lag() -> None:
    c = Clockwork()
    for _ in range(50):
        c.fire()
        assert c.lag.now_ms < 1e-6 and not c.lag.significant


def test_a_late_sample_is_the_lag_at_once_and_fades_in_a_tenth_of_a_second() -> None:
    c = Clockwork()
    c.fire(40)
    assert abs(c.lag.now_ms - 40) < 1e-6 and c.lag.significant
    for _ in range(11):
        c.fire()
    assert c.lag.now_ms < SIGNIFICANT_MS and not c.lag.significant


def test_an_overdue_sample_is_notable_before_it_fires() -> None:
    """Data read between a long pass and the next sample has waited for that pass."""
    c = Clockwork()
    c.now += EVERY_MS + 30
    assert c.lag.significant and c.lag.now_ms == 0
    c.now -= 30
    assert not c.lag.significant


def test_a_loop_that_stays_late_stays_notable() -> None:
    """Sawtooth: every second pass is short."""
    c = Clockwork()
    for n in range(40):
        c.fire(30 * (n % 2))
        assert n < 1 or c.lag.significant


def test_before_the_first_sample_nothing_is_said() -> None:
    assert not EventLoopLag().significant
