"""Hypothesis state machine of the store: writes, reads, crashes, cuts and exits of one machine at a time."""

from __future__ import annotations

from cluster import Cluster
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from test_store_schedules import check_settled


class Store(RuleBasedStateMachine):
    """Random operations; the cluster checks the invariants after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster, self.down, self.version, self.healed_at = Cluster(0), "", 0, 0.0
        self.callers: list[str] = []
        self.removed: set[str] = set()  # permanently

    @initialize(seed=st.integers(0, 1000), machines=st.sampled_from([3, 4]))
    def found(self, seed: int, machines: int) -> None:
        self.cluster = Cluster(seed, machines)
        self.callers = [self.cluster.caller(ip) for ip in list(self.cluster.machines)[:3]]
        self.cluster.run(2.0)

    @rule(at=st.integers(0, 3), step=st.integers(1, 3), wait=st.sampled_from([0.0, 0.004, 0.012, 0.3]))
    def write(self, at: int, step: int, wait: float) -> None:
        self.version += step
        names = list(self.cluster.machines)
        self.cluster.put(self.cluster.primary or names[at % len(names)], self.version)
        self.cluster.run(wait)

    @rule(at=st.integers(0, 3))
    def read(self, at: int) -> None:
        names = list(self.cluster.machines)
        self.cluster.read(names[at % len(names)])
        self.cluster.run(0.1)

    @rule(at=st.integers(0, 8), back=st.integers(0, 5), which=st.integers(0, 2))
    def send_again(self, at: int, back: int, which: int) -> None:
        """A registry repeats an earlier write unchanged at any machine."""
        names = list(self.cluster.machines)
        version = max(1, self.version - back)
        if (version, b'{"v":%d}' % version) in self.cluster.sent:
            self.cluster.write(names[at % len(names)], version, b'{"v":%d}' % version, self.callers[which])
        self.cluster.run(0.004)

    @rule(which=st.integers(0, 2))
    def restart_caller(self, which: int) -> None:
        """A registry restarts, and its new incarnation reads at once."""
        self.cluster.restart_caller(self.callers[which])
        if self.cluster.primary is not None:
            self.cluster.send_read(self.cluster.primary, self.callers[which])

    @precondition(
        lambda self: not self.down and len(self.cluster.machines) < 7 and self.cluster.now >= self.healed_at
    )
    @rule(leaves=st.booleans())
    def grow(self, leaves: bool) -> None:
        """Adds a machine, or replaces one that exits in order."""
        if leaves:
            removed = self.cluster.primary or next(iter(self.cluster.machines))
            self.cluster.leave(removed)
            self.cluster.run(6.0)
            self.removed.add(removed)
        self.cluster.add()
        self.healed_at = self.cluster.now + (20.0 if leaves else 4.0)

    @precondition(lambda self: not self.down and self.cluster.now >= self.healed_at)
    @rule(at=st.integers(0, 4), how=st.sampled_from(["kill", "wipe", "leave", "cut", "out", "in", "hang"]))
    def lose(self, at: int, how: str) -> None:
        names = [ip for ip in self.cluster.machines if ip not in self.removed]
        self.down = (self.cluster.primary or names[0]) if at >= len(names) else names[at]
        if how == "hang":
            self.cluster.machines[self.down].hangs_until = self.cluster.now + 2.0
        elif how in ("kill", "wipe", "leave"):
            getattr(self.cluster, how)(self.down)
        for other in names:
            if other != self.down:
                self.cluster.cut[self.down, other] = how in ("cut", "out")
                self.cluster.cut[other, self.down] = how in ("cut", "in")

    @precondition(lambda self: self.down)
    @rule()
    def come_back(self) -> None:
        if not self.cluster.up(self.down):
            self.cluster.start(self.down)
        self.cluster.cut.clear()
        self.down, self.healed_at = "", self.cluster.now + 4.0

    @rule(seconds=st.sampled_from([0.05, 0.4, 1.5, 4.0]))
    def wait(self, seconds: float) -> None:
        self.cluster.run(seconds)

    def teardown(self) -> None:
        if self.down:
            self.come_back()
        self.cluster.run(8.0)
        check_settled(self.cluster)


TestStore = Store.TestCase
TestStore.settings = settings(max_examples=120, stateful_step_count=25, deadline=None, derandomize=True)
