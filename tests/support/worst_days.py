"""Seeded schedules of adverse operating conditions for the store; Violation if a requirement is not met.

Losses stay within the configured tolerance: one machine at a time, the next one `sync_s` after the previous
machine was repaired or its successor was added. The cluster checks the invariants at each step; the schedules
check the time limits.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cluster import Call, Cluster

from troutdock.rpc.messages import ReadAck, WriteAck

SYNC_S = 4.0  # setting of small sites; 6 s on large ones
COMMIT_TIMEOUT_S = 5.0  # from a loss until writes are acknowledged again
RETRY_INTERVAL_S = 0.25  # between two attempts of an operator
CUT_DURATION_S = 20.0


def body_of(version: int, which: int = 0) -> bytes:
    """One of several bodies for a version."""
    return b'{"v":%d,"which":%d}' % (version, which)


def until_committed(
    cluster: Cluster,
    timeout_s: float = COMMIT_TIMEOUT_S,
    ignored: str = "",
    step: float = 0.05,
    resend: float = RETRY_INTERVAL_S,
) -> float:
    """Sends a write to the primary repeatedly until it is acknowledged.

    Args:
        ignored: a machine whose claim to lead is ignored, as it is cut off.

    Returns:
        The seconds that it took; timeout_s if it was not acknowledged.
    """
    began, version = cluster.now, max(v for v, _ in cluster.sent | {(0, b"")}) + 1
    calls: list[Call] = []
    sent_at = -1.0
    while cluster.now - began < timeout_s:
        to = cluster.primary
        if to is not None and to != ignored and cluster.now - sent_at >= resend:
            sent_at = cluster.now
            calls.append(cluster.write(to, version, body_of(version)))
        cluster.run(step)
        if any(call.ok for call in calls):
            return cluster.now - began
    return timeout_s


def require_commit(
    cluster: Cluster, why: str, timeout_s: float = COMMIT_TIMEOUT_S, ignored: str = ""
) -> float:
    took = until_committed(cluster, timeout_s, ignored)
    if took >= timeout_s:
        cluster.report_violation("not acknowledged in time", f"{why}, {timeout_s:.0f} s")
    return took


def write_until_decided(cluster: Cluster, version: int, body: bytes) -> Call:
    """Sends a write to the primary, again after temporary errors, as it may be changing voters."""
    for _ in range(5):
        call = cluster.write(cluster.primary or cluster.seeds[0], version, body)
        cluster.run(1.0)
        if call.ok or (isinstance(call.answer, WriteAck) and call.answer.conflict):
            break
    return call


def check_settled(cluster: Cluster) -> None:
    """Checks that there is a primary, which returns the newest configuration and answers duplicate writes."""
    if cluster.primary is None:
        cluster.run(1.0)
    if cluster.primary is None:
        cluster.report_violation("no primary")
        return
    cluster.answer_loss_share = 0.0
    for _ in range(5):
        answer = cluster.send_read(cluster.primary or cluster.seeds[0])
        cluster.run(1.0)
        reply = answer.answer
        if isinstance(reply, ReadAck) and reply.version >= 0:
            break
    if not isinstance(reply, ReadAck) or reply.version < cluster.acknowledged:
        cluster.report_violation(
            "acknowledged write not read back", f"{reply}, {cluster.acknowledged} was acknowledged"
        )
        return
    newest, body = reply.version, bytes(reply.body)
    if not newest:
        return
    again = write_until_decided(cluster, newest, body)
    if not again.ok:
        cluster.report_violation("duplicate of the newest not acknowledged", f"{newest}: {again.answer}")
    unused = next((v for v in range(newest - 1, 0, -1) if not any(v == sent for sent, _ in cluster.sent)), 0)
    if unused:
        lower = write_until_decided(cluster, unused, body_of(unused))
        if not lower.ok:
            cluster.report_violation("a lower version not acknowledged", f"{unused}: {lower.answer}")


def lose(cluster: Cluster, ip: str, how: str, random: Random) -> None:
    machine = cluster.machines[ip]
    if how in ("kill", "wipe", "leave"):
        getattr(cluster, how)(ip)
    elif how == "back":  # killed and restarted at once
        cluster.kill(ip)
        cluster.run(0.05)
        cluster.start(ip)
    elif how == "crash":  # between two actions, such as a save and its answer
        machine.crash_after = random.randint(0, 5)
    elif how == "hang":
        machine.hangs_until = cluster.now + random.uniform(0.3, 4.0)
    elif how == "slow disk":
        machine.save_s = random.choice([0.02, 0.14, 0.3])
    elif how in ("cut", "out", "in"):
        cluster.cut_off({ip}, how)


def restore(cluster: Cluster, ip: str) -> None:
    cluster.heal()
    cluster.machines[ip].save_s, cluster.machines[ip].crash_after = 0.0, -1
    if not cluster.up(ip):
        cluster.start(ip)


LOSSES = ("kill", "wipe", "cut", "out", "in", "hang", "back", "leave", "crash", "slow disk")


def race(seed: int, machines: int = 3) -> Cluster:
    """Operators write concurrently under the same versions and retry; registries die; one machine at a time is lost."""
    random = Random(seed)
    cluster = Cluster(seed, machines)
    names = list(cluster.machines)
    callers = [cluster.caller(ip) for ip in names[:3]]
    cluster.answer_loss_share = random.choice([0.0, 0.0, 0.2])
    cluster.run(2.0)
    version, sent, down, healed_at = 0, [(1, body_of(1))], "", 0.0
    for _ in range(random.randint(6, 14)):
        if random.random() < 0.75:
            for _ in range(random.choice([1, 2, 2, 3, 8])):
                what = random.random()
                if what < 0.4:
                    version += random.randint(1, 3)
                    order = version, body_of(version)
                elif what < 0.65:
                    order = max(1, version), body_of(max(1, version), random.randint(0, 2))
                elif what < 0.9:
                    order = random.choice(sent[-6:])
                else:
                    older = max(1, version - random.randint(1, 4))
                    order = older, body_of(older, random.randint(0, 2))
                sent.append(order)
                to = cluster.primary if random.random() < 0.75 else None
                cluster.write(to or random.choice(names), *order, caller=random.choice(callers))
                if random.random() < 0.1:
                    cluster.restart_caller(random.choice(callers))
                cluster.run(random.choice([0.0, 0.0, 0.001, 0.004, 0.012]))
        if random.random() < 0.4 and not down and cluster.now > healed_at:
            down = random.choice([cluster.primary or names[0], random.choice(names)])
            lose(cluster, down, random.choice(LOSSES), random)
        elif down and random.random() < 0.6:
            restore(cluster, down)
            down, healed_at = "", cluster.now + SYNC_S
        cluster.run(random.choice([0.05, 0.3, 1.0, 2.5]))
        for ip in (cluster.primary, random.choice(names), down):
            if ip:
                cluster.send_read(ip, random.choice(callers))
    for ip in names:
        restore(cluster, ip)
    cluster.run(6.0)
    check_settled(cluster)
    return cluster


def late_answers(seed: int, machines: int = 3) -> Cluster:
    """A disk is slow while a call of a registry waits; the registry restarts and sends another request."""
    random = Random(seed)
    cluster = Cluster(seed, machines)
    names = list(cluster.machines)
    callers = [cluster.caller(ip) for ip in names]
    cluster.run(3.0)
    version = 1
    for _ in range(4):
        slow = random.choice([ip for ip in names if ip != cluster.primary])
        cluster.machines[slow].hangs_until = cluster.now + random.uniform(0.05, 0.7)
        caller = random.choice(callers)
        for life in range(3):
            to = cluster.primary or names[0]
            for _ in range(random.randint(1, 3)):
                version += random.randint(0, 2)
                cluster.write(to, version, body_of(version, life), caller=caller)
            if random.random() < 0.3:
                cluster.send_read(to, caller)
            cluster.run(random.uniform(0.0, 0.3))
            cluster.restart_caller(caller)
        cluster.run(1.0)
        cluster.run(SYNC_S)
    check_settled(cluster)
    return cluster


def contact(seed: int, machines: int = 3) -> Cluster:
    """One or two machines are cut off (in one or both directions) or suspended for 20 s; both sides get requests."""
    random = Random(seed)
    cluster = Cluster(seed, machines, models_connections=random.random() < 0.5)
    names = list(cluster.machines)
    cluster.run(4.0)
    version = random.randint(1, 3)
    cluster.write(cluster.primary or names[0], version, body_of(version))
    cluster.run(0.5)
    primary = cluster.primary or names[0]
    who = {random.choice([primary, random.choice(names)])}
    how = random.choice(["cut", "cut", "out", "in", "freeze"])
    # otherwise the state machines alone must cope with a link that is cut in one direction
    cluster.close_half_open = random.random() < 0.5
    if machines > 3 and how == "cut" and random.random() < 0.5:
        who.add(random.choice([ip for ip in names if ip not in who]))
    pending: list[tuple[int, bytes]] = []
    if random.random() < 0.7:  # writes are in progress
        for which in range(random.randint(1, 3)):
            version += random.randint(0, 1)
            pending.append((version, body_of(version, which)))
            cluster.write(primary, *pending[-1])
        cluster.run(random.choice([0.001, 0.003, 0.008]))
    if how == "freeze":
        cluster.machines[next(iter(who))].hangs_until = cluster.now + CUT_DURATION_S
    else:
        cluster.cut_off(who, how)
    began = cluster.now
    inside = [ip for ip, machine in cluster.machines.items() if machine.contact_lost_at >= 0]
    if how == "freeze":
        inside = list(who)
    healthy = [ip for ip in names if ip not in inside]
    # not within the tolerance: a cut-off pair, and a one-way cut in which the connections stay open
    if healthy and len(who) == 1 and (cluster.close_half_open or how not in ("in", "out")):
        ignored = next(iter(inside)) if len(inside) == 1 else ""
        require_commit(cluster, f"{how} of {len(who)}", ignored=ignored)
    while cluster.now - began < CUT_DURATION_S:
        version = max(v for v, _ in cluster.sent) + random.randint(0, 1)
        if random.random() < 0.4:
            pending.append((version, body_of(version, 5)))
            for ip in inside:
                cluster.write(ip, *pending[-1])
        if random.random() < 0.4:
            version += random.randint(0, 1)
            pending.append((version, body_of(version, 6)))
            leads = cluster.primary
            cluster.write(leads if leads in healthy else (healthy or names)[0], *pending[-1])
        if pending and random.random() < 0.3:
            cluster.write(random.choice(names), *random.choice(pending[-5:]))
        for ip in names:
            cluster.send_read(ip)
        cluster.run(random.choice([0.3, 1.0, 1.7]))
    cluster.heal()
    cluster.run(0.3)
    for ip in names:
        cluster.send_read(ip)
        for order in pending[-3:]:
            cluster.write(ip, *order)
    cluster.run(6.0)
    check_settled(cluster)
    return cluster


DELAYS_S = (0.0, 0.001, 0.004, 0.012, 0.5, 3.0)
EVENTS_BETWEEN = (
    "nothing",
    "the backup's disk waits",
    "the primary is lost",
    "the primary crashes",
    "the primary leaves",
    "the primary is cut off",
    "all power is lost",
    "higher numbers wait",
    "the primary was cut off before",
)


def rivals(seed: int, machines: int = 3, between: str | None = None, delay_s: float | None = None) -> Cluster:
    """Two operators write under one version; an event occurs between the two writes, and both are retried.

    In the end one of them is acknowledged, and the other is rejected permanently.
    """
    random = Random(seed)
    cluster = Cluster(seed, machines)
    names = list(cluster.machines)
    callers = [cluster.caller(ip) for ip in names[:2]]
    cluster.run(4.0)
    between = between or random.choice(EVENTS_BETWEEN)
    delay = random.choice(DELAYS_S) if delay_s is None else delay_s
    bodies = [body_of(5, 0), body_of(5, 1)]
    primary = cluster.primary or names[0]
    if between == "the primary crashes":
        cluster.machines[primary].crash_after = random.randint(0, 4)
    elif between == "the backup's disk waits":
        for ip in names:
            if ip != primary:
                cluster.machines[ip].hangs_until = cluster.now + random.uniform(0.1, 0.7)
    elif between == "higher numbers wait" and random.random() < 0.5:
        cluster.write(primary, 7, body_of(7), callers[0])
    # each is on one disk at most; one is rejected, the other is lost
    elif between == "the primary was cut off before":
        cluster.cut_off({primary})
        cluster.write(primary, 5, bodies[0])
        cluster.run(0.003)
        cluster.write(primary, 5, bodies[1])
    cluster.write(primary, 5, bodies[0], callers[0])
    if between == "higher numbers wait" and not any(version == 7 for version, _ in cluster.sent):
        cluster.write(primary, 7, body_of(7), callers[0])
    cluster.run(min(delay, 0.012))
    if between == "the primary is lost":
        cluster.kill(primary)
    elif between == "the primary leaves":
        cluster.leave(primary)
    elif between == "the primary is cut off":
        cluster.cut_off({primary})
    elif between == "all power is lost":
        for ip in names:
            cluster.kill(ip)
        for ip in names:
            cluster.start(ip)
    cluster.run(max(0.0, delay - 0.012))
    cluster.write(cluster.primary or primary, 5, bodies[1], callers[1])
    if random.random() < 0.3:
        cluster.restart_caller(callers[0])
    cluster.run(2.5)
    attempts: list[Call] = []
    for _ in range(3):
        for caller, body in zip(random.sample(callers, 2), bodies, strict=True):
            for ip in [cluster.primary or names[0], random.choice(names)]:
                attempts.append(cluster.write(ip, 5, body, caller))
        cluster.run(1.0)
    cluster.heal()
    for ip in names:
        if not cluster.up(ip):
            cluster.start(ip)
    cluster.run(6.0)
    check_settled(cluster)
    if cluster.newest == 5:
        ends = [write_until_decided(cluster, 5, body) for body in bodies]
        rejected = [isinstance(call.answer, WriteAck) and call.answer.conflict for call in ends]
        if sum(call.ok for call in ends) != 1 or sum(rejected) != 1:
            cluster.report_violation(
                "not one acknowledged and one rejected", f"{[call.answer for call in ends]}"
            )
    return cluster


FIRST_LOSSES = (
    "leaves for good",
    "replaced",
    "leaves and is replaced",
    "wiped and back",
    "killed and back",
    "leaves and is back",
    "cut and back",
    "frozen and woken",
)


def second_loss(
    seed: int,
    machines: int = 4,
    first: str | None = None,
    gap_s: float | None = None,
    second: str | None = None,
) -> Cluster:
    """The next loss occurs as early as allowed; writes are acknowledged again in time.

    If a machine is removed for good, a spare one exists already or is added.
    """
    random = Random(seed)
    cluster = Cluster(seed, machines, models_connections=random.random() < 0.5)
    cluster.close_half_open = True
    names = list(cluster.machines)
    # early on, peers have only just been discovered
    cluster.run(random.choice([2.0, 2.0, 4.0, random.uniform(3.0, 14.0)]))
    require_commit(cluster, "at the start")
    first = first or random.choice([f for f in FIRST_LOSSES if machines > 3 or f != "leaves for good"])
    gap = gap_s or random.choice([SYNC_S, SYNC_S, 4.5, 6.0, 6.5, 9.0])
    lost = random.choice([cluster.primary or names[0], random.choice(names)])
    if first.startswith("leaves"):
        cluster.leave(lost)
        while not first.endswith("good") and cluster.machines[lost].replica is not None:
            cluster.run(0.1)
    elif first.startswith("wiped"):
        cluster.wipe(lost)
    elif first.startswith("cut"):
        cluster.cut_off({lost}, random.choice(["cut", "out", "in"]))
    elif first.startswith("frozen"):
        cluster.machines[lost].hangs_until = cluster.now + 8.0
    else:
        cluster.kill(lost)
    if first.endswith("back"):
        cluster.run(random.choice([0.05, 0.5, 3.0, 12.0]))
        restore(cluster, lost)
    elif first.endswith("woken"):
        cluster.run(8.0)
    elif first.endswith("replaced"):
        cluster.run(random.choice([0.0, 0.05, 1.0]))
        cluster.add()
    gone = [lost] if first.endswith(("good", "replaced")) else []
    began = cluster.now
    if random.random() < 0.5:
        until_committed(cluster, min(2.0, gap))
    cluster.run(began + gap - cluster.now)
    others = [ip for ip in cluster.machines if ip not in gone]
    next_lost = random.choice([cluster.primary or others[0], random.choice(others)])
    second = second or random.choice(["kill", "cut", "wipe", "hang"])
    if second == "hang":
        cluster.machines[next_lost].hangs_until = cluster.now + 30.0
    else:
        lose(cluster, next_lost, second, random)
    require_commit(cluster, f"{first}, {gap:.1f} s later {second}", ignored=next_lost)
    cluster.machines[next_lost].hangs_until = 0.0
    restore(cluster, next_lost)
    cluster.run(6.0)
    check_settled(cluster)
    return cluster


def turnover(seed: int, machines: int = 3) -> Cluster:
    """A long series: members leave, are removed, added, wiped and lost, one after the other."""
    random = Random(seed)
    cluster = Cluster(seed, machines, models_connections=random.random() < 0.5)
    cluster.close_half_open = True
    cluster.run(4.0)
    for _ in range(random.randint(4, 8)):
        there = [ip for ip in cluster.machines if cluster.up(ip)]
        lost = random.choice([cluster.primary or there[0], random.choice(there)])
        what = random.choice(["replaced", "leaves and is replaced", "added", *LOSSES])
        if what == "added" and len(there) < 6:
            cluster.add()
        elif what.endswith("replaced"):
            cluster.leave(lost) if what.startswith("leaves") else cluster.kill(lost)
            while cluster.machines[lost].replica is not None:
                cluster.run(0.1)
            cluster.add()
        elif what != "added":
            lose(cluster, lost, what, random)
            if random.random() < 0.7:
                require_commit(cluster, what, ignored=lost if what in ("cut", "out", "in") else "")
            cluster.run(random.choice([0.0, 1.0, 9.0]))
            cluster.machines[lost].hangs_until = 0.0
            restore(cluster, lost)
        cluster.run(SYNC_S)
        require_commit(cluster, f"after {what}")
    check_settled(cluster)
    return cluster


def crashes(seed: int, machines: int = 3) -> Cluster:
    """Processes crash between a save and its answer, one at a time, and restart soon; all are read from."""
    random = Random(seed)
    cluster = Cluster(seed, machines)
    names = list(cluster.machines)
    cluster.run(3.0)
    for version in range(1, 25):
        at = random.choice(names)
        primary = cluster.primary or names[0]
        cluster.machines[at].crash_after = random.randint(0, 3)
        cluster.write(primary, version, body_of(version))
        cluster.run(random.choice([0.004, 0.02, 0.3]))
        if random.random() < 0.3:
            cluster.write(cluster.primary or primary, version, body_of(version))
            cluster.run(0.05)
        cluster.kill(at)
        if random.random() < 0.5:
            cluster.run(random.choice([0.05, 1.5]))
        cluster.start(at)
        for ip in names:
            cluster.send_read(ip)
        cluster.run(SYNC_S)
    check_settled(cluster)
    return cluster


def away(seed: int, machines: int = 3, changes: int = 200) -> Cluster:
    """Hundreds of writes while one machine is away; after its return one or all others may be lost."""
    random = Random(seed)
    cluster = Cluster(seed, machines)
    names = list(cluster.machines)
    cluster.run(4.0)
    require_commit(cluster, "at the start")
    lost = random.choice([cluster.primary or names[0], random.choice(names)])
    how = random.choice(["kill", "wipe", "leave", "cut"])
    lose(cluster, lost, how, random)
    cluster.run(2.0)
    version = max(v for v, _ in cluster.sent)
    for at in range(changes):
        version += random.choice([1, 1, 1, 7])
        cluster.write(cluster.primary or names[0], version, body_of(version))
        if at % 8 == 7:
            cluster.run(random.choice([0.05, 0.1, 0.3]))
    cluster.run(1.0)
    second = random.choice([ip for ip in names if ip != lost]) if random.random() < 0.3 else ""
    if second:  # beyond the tolerance: there may be no answer, but never a stale one
        cluster.kill(second)
        cluster.run(random.choice([0.0, 0.01, 2.0]))
    restore(cluster, lost)
    for _ in range(8 if second else 1):
        for ip in names:
            cluster.send_read(ip)
        cluster.run(0.5)
    if second:
        cluster.start(second)
    cluster.run(SYNC_S)
    if random.random() < 0.5:  # power loss of all machines at once
        for ip in names:
            cluster.kill(ip)
        cluster.run(0.5)
        for ip in names:
            cluster.start(ip)
        cluster.run(0.5)
        for ip in names:
            cluster.send_read(ip)
        require_commit(cluster, "after all power was lost")
    else:
        others = [ip for ip in names if ip != lost]
        gone = cluster.primary if cluster.primary in others else random.choice(others)
        assert gone is not None
        lose(cluster, gone, random.choice(["kill", "wipe", "cut"]), random)
        require_commit(cluster, f"{how}, {changes} changes, back, and the next loss", ignored=gone)
        restore(cluster, gone)
    cluster.run(6.0)
    check_settled(cluster)
    return cluster


def slow(seed: int, machines: int = 3, body_bytes: int = 0, bits: float = 0.0) -> Cluster:
    """Slow links and large bodies: writes, a loss, and writes again."""
    random = Random(seed)
    cluster = Cluster(seed, machines)
    cluster.body_bytes = body_bytes or random.choice([5_000, 100_000, 1_000_000, 11_000_000])
    cluster.bandwidth = (bits or random.choice([20e6, 100e6, 1000e6])) / 8
    names = list(cluster.machines)
    if random.random() < 0.3:
        cluster.latency = 0.03, 0.08  # the longest links
    if random.random() < 0.3:
        for machine in cluster.machines.values():
            machine.save_s = 0.14  # a slow fsync
    cluster.run(4.0)
    # transfers to the backup, to the next one, and a margin
    bound = COMMIT_TIMEOUT_S + 4 * cluster.body_bytes / cluster.bandwidth
    what = f"{cluster.body_bytes} bytes, {cluster.bandwidth * 8 / 1e6:.0f} Mbit/s, latency of {cluster.latency[1]} s"
    what += ", slow disks" if cluster.machines[names[0]].save_s else ""
    require_commit(cluster, f"{what}, the first", bound)
    require_commit(cluster, f"{what}, the second", bound)
    epochs = len(cluster.primaries)
    cluster.run(10.0)
    if len(cluster.primaries) > epochs:
        cluster.report_violation(
            "new epochs without a loss", f"{len(cluster.primaries) - epochs} in 10 s, {what}"
        )
    lost = random.choice([cluster.primary or names[0], random.choice(names)])
    how = random.choice(["kill", "wipe", "cut"])
    lose(cluster, lost, how, random)
    require_commit(cluster, f"{what}, {how}", bound, lost)
    restore(cluster, lost)
    cluster.run(bound)
    cluster.body_bytes = 0
    for machine in cluster.machines.values():
        machine.save_s = 0.0
    cluster.run(20.0)
    check_settled(cluster)
    return cluster


def sizes(seed: int, machines: int = 1) -> Cluster:
    """Any number of machines: a primary acknowledges writes; with three or more also after a loss."""
    random = Random(seed)
    cluster = Cluster(seed, machines, min(3, machines), models_connections=random.random() < 0.5)
    cluster.run(4.0)
    require_commit(cluster, f"{machines} machines")
    if machines >= 3:
        lost = random.choice([cluster.primary or cluster.seeds[0], random.choice(list(cluster.machines))])
        lose(cluster, lost, random.choice(["kill", "wipe", "cut", "leave"]), random)
        require_commit(cluster, f"{machines} machines, one lost", ignored=lost)
        restore(cluster, lost)
        cluster.run(SYNC_S)
    check_settled(cluster)
    return cluster


def two_at_once(seed: int, machines: int = 5) -> Cluster:
    """Tolerance of two simultaneous losses: any two, with or without their disks, then two more."""
    random = Random(seed)
    cluster = Cluster(seed, machines, losses=2, models_connections=random.random() < 0.5)
    cluster.close_half_open = True
    cluster.run(12.0)
    for _ in range(2):
        require_commit(cluster, f"{machines} machines")
        names = [ip for ip in cluster.machines if ip != cluster.primary]
        lost = (
            random.sample(names, 2)
            if random.random() < 0.3
            else [cluster.primary or "10.0.0.1", random.choice(names)]
        )
        how = random.choice(["kill", "wipe", "cut", "hang"])
        for ip in lost:
            if how == "hang":
                cluster.machines[ip].hangs_until = cluster.now + 6.0
            elif how != "cut":
                lose(cluster, ip, how, random)
        if how == "cut":
            cluster.cut_off(lost)
        require_commit(cluster, f"{machines} machines, two lost at once: {how}")
        cluster.run(1.0)
        for ip in lost:
            restore(cluster, ip)
        cluster.run(6.0)
    check_settled(cluster)
    return cluster


# by name: a schedule, and the numbers of machines to run it with
KINDS: dict[str, tuple[Callable[[int, int], Cluster], tuple[int, ...]]] = {
    "race": (race, (3, 4)),
    "rivals": (rivals, (3, 4)),
    "late answers": (late_answers, (3, 4)),
    "contact": (contact, (3, 4, 5)),
    "second loss": (second_loss, (3, 4, 5)),
    "turnover": (turnover, (3, 4)),
    "crashes": (crashes, (3, 4)),
    "away": (away, (3, 4)),
    "slow": (slow, (3, 4)),
    "two at once": (two_at_once, (5, 6, 9)),
    "sizes": (sizes, tuple(range(1, 10))),
}
