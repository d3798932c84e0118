"""The store under seeded schedules of losses: what was acknowledged is there, nobody goes back, one leads."""

from __future__ import annotations

import os
from random import Random

import pytest
from cluster import Cluster, Violation

from rootstock.replica import Replica, Stage

SCHEDULES = int(os.environ.get("SCHEDULES", "600"))


def play(seed: int, machines: int = 3) -> Cluster:
    """One schedule within what is to be borne: one machine at a time is lost, cut, wiped or hangs."""
    random = Random(seed)
    cluster = Cluster(seed, machines)
    cluster.run(2.0)
    names = list(cluster.machines)
    version, down, healed_at = 0, "", 0.0
    for _ in range(random.randint(6, 14)):
        what = random.random()
        if what < 0.45:
            version += random.randint(1, 3)
            for ip in random.sample(names, random.randint(1, 2)):
                cluster.put(ip if random.random() < 0.3 else cluster.primary or ip, version)
            if random.random() < 0.5:  # something happens while it is on its way
                cluster.run(random.choice([0.001, 0.004, 0.008, 0.015]))
        if what >= 0.3 and not down and cluster.now > healed_at:
            down = random.choice([cluster.primary or names[0], random.choice(names)])
            how = random.choice(["kill", "wipe", "cut", "out", "in", "hang", "back", "leave"])
            others = [ip for ip in names if ip != down]
            if how == "kill":
                cluster.kill(down)
            elif how == "leave":
                cluster.leave(down)
            elif how == "wipe":
                cluster.wipe(down)
            elif how == "back":  # killed, and there again at once
                cluster.kill(down)
                cluster.run(0.05)
                cluster.start(down)
            elif how == "hang":
                cluster.machines[down].hangs_until = cluster.now + random.uniform(0.3, 4.0)
            for other in others:
                cluster.cut[down, other] = how in ("cut", "out")
                cluster.cut[other, down] = how in ("cut", "in")
        elif down and random.random() < 0.6:
            if cluster.machines[down].replica is None:
                cluster.start(down)
            cluster.cut.clear()
            down, healed_at = "", cluster.now + 4.0  # it counts as lost until it has caught up
        cluster.run(random.choice([0.05, 0.3, 1.0, 2.5]))
        for ip in (cluster.primary, random.choice(names), down):
            if ip:
                cluster.read(ip)
    cluster.cut.clear()
    for ip in names:
        if cluster.machines[ip].replica is None:
            cluster.start(ip)
    cluster.run(6.0)
    if random.random() < 0.5:  # everything loses power, and one machine its disk, once the others have caught up
        cluster.put(cluster.primary or names[0], version + 1)
        cluster.run(random.choice([0.02, 0.2]))
        for ip in names:
            cluster.kill(ip)
        if random.random() < 0.7:
            cluster.wipe(random.choice(names))
        cluster.run(1.0)
        for ip in names:
            cluster.start(ip)
        cluster.run(6.0)
    return cluster


def settled(cluster: Cluster) -> None:
    """Somebody leads, and tells the newest."""
    primary = cluster.primary
    if primary is None:
        raise Violation("nobody leads")
    number = cluster.read(primary)
    cluster.run(1.0)
    answer = next((a for a in cluster.answers if a.number == number), None)
    if answer is None or answer.version < cluster.acknowledged:
        raise Violation(f"read back {answer}, {cluster.acknowledged} was acknowledged")


@pytest.mark.parametrize("part", range(6))
@pytest.mark.parametrize("machines", [3, 4])
def test_schedules(part: int, machines: int) -> None:
    for seed in range(part, SCHEDULES, 6):
        try:
            settled(play(seed, machines))
        except Violation as error:
            raise AssertionError(f"play({seed}, {machines}): {error}") from error


def deposed(seed: int) -> Cluster:
    """The primary stands still, or is cut off, while another takes over; it is asked meanwhile."""
    cluster = Cluster(seed)
    cluster.run(2.0)
    old = cluster.primary
    assert old is not None
    cluster.put(old, 1)
    cluster.run(0.5)
    if seed % 2:
        cluster.machines[old].hangs_until = cluster.now + 4.0
    else:
        cluster.cut = {(x, y): True for x in cluster.machines for y in cluster.machines if old in (x, y)}
    cluster.run(2.5)
    new = next(m.ip for m in cluster.machines.values() if m.ip != old and m.replica.stage is Stage.ACTIVE)
    cluster.put(new, 2)
    cluster.run(0.5)
    assert cluster.acknowledged == 2
    cluster.read(old)
    cluster.run(2.0)
    cluster.cut = {}
    cluster.run(4.0)
    return cluster


@pytest.mark.parametrize("seed", range(20))
def test_a_primary_that_slept_tells_nothing_old(seed: int) -> None:
    settled(deposed(seed))


@pytest.mark.parametrize("seed", range(5))
def test_a_primary_that_ends_in_order_leaves_no_gap(seed: int) -> None:
    cluster = Cluster(seed)
    cluster.run(4.0)
    old = cluster.primary
    assert old is not None
    cluster.leave(old)
    cluster.run(0.3)
    assert cluster.primary not in (None, old)


def first_violation(seeds: range) -> str:
    for seed in seeds:
        try:
            settled(play(seed))
            settled(deposed(seed))
        except Violation as error:
            return str(error)
    return ""


@pytest.mark.parametrize("fault", ["forgets", "alone", "unproven"])
def test_the_checks_find_planted_faults(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each invariant's check fails on a store that breaks it."""
    if fault == "forgets":  # who has lost its disk promises at once
        learn = Replica._learn
        monkeypatch.setattr(Replica, "_learn", lambda self: self._save(blank=False) or learn(self))
        monkeypatch.setattr(Replica, "_member", lambda self, record: self.me in (record.primary, record.backup))
    elif fault == "alone":  # an acknowledgement without the backup
        replicate = Replica._replicate

        def at_once(self: Replica, now: float) -> None:
            replicate(self, now)
            self._kept_twice(now)

        monkeypatch.setattr(Replica, "_replicate", at_once)
    else:  # a read that asks nobody, of a primary that does not miss its backup
        monkeypatch.setattr(Replica, "_watch_backup", lambda self, now: None)
        settled(deposed(0))  # that alone does no harm: the proof stands behind it
        monkeypatch.setattr(Replica, "_majority", property(
            lambda self: 1 if self.stage.value == "active" else len(self.kept.voters) // 2 + 1))
    assert first_violation(range(400))
