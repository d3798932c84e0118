"""Registries under cuts, kills, full disks and losses of power, in simulated time; planted faults are found."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest
from registries import Core, Violation, play
from whole import Backend, Whole, call, good, until

from troutdock.rpc.messages import GONE, InstancesAck
from troutdock.registry.storage import InstanceStorage
from troutdock.registry.registry import FaultTolerance, RequestCompleted, Registry, Send

SCHEDULES = int(os.environ.get("REGISTRY_SCHEDULES", "600"))  # in all; more by hand
PARTS = 4
SITES = [
    (3, 3, FaultTolerance(1)),
    (4, 2, FaultTolerance(1, 1)),
    (5, 5, FaultTolerance(2)),
    (4, 4, FaultTolerance(0, 0, 1, {"z0": "a", "z1": "a", "z2": "b", "z3": "b"})),
]


def site(seed: int, make: type[Registry] = Registry) -> Core:
    machines, zones, tolerance = SITES[seed % len(SITES)]
    return Core(seed, machines, zones, tolerance, make)


@pytest.mark.parametrize("part", range(PARTS))
def test_what_was_acknowledged_outlives_every_loss_that_is_to_be_borne(part: int) -> None:
    served = refused = 0
    for seed in range(part, SCHEDULES, PARTS):
        core = site(seed)
        play(core)
        served, refused = served + core.served, refused + core.refused
    assert served > SCHEDULES / PARTS and refused  # the courses do ask


class BeforeTheSecondDisk(Registry):
    def _is_replicated(self, now, synced_by):
        return True


class BeforeTheOwnDisk(Registry):
    def _complete_ready(self, now):
        early = [n for n, request in self._pending.items() if self._is_replicated(now, request.synced_by)]
        for number in early:
            del self._pending[number]
        return [*(RequestCompleted(number, True) for number in early), *super()._complete_ready(now)]


class BeforeThePeersDisk(Registry):
    def _on_instances(self, now, connection, message):
        early = (
            [Send(connection, InstancesAck(message.number, message.life, self.contact))]
            if message.number
            else []
        )
        return [*early, *super()._on_instances(now, connection, message)]


class OutOfContact(Registry):
    contact = property(lambda self: True)  # type: ignore[assignment]


class InOnePlace(Registry):
    def _is_replicated(self, now, synced_by):
        self._tolerance = FaultTolerance(1)
        return super()._is_replicated(now, synced_by)


class ARepeatIsTakenForKnown(Registry):
    def heartbeat(self, now, update, count):
        known = self.endpoints.entries.get(update.id)
        if (
            known is not None
            and 0 <= count <= self.heartbeat_counts.get(update.id, -1)
            and update.state <= known.state
        ):
            return 0, []
        return super().heartbeat(now, update, count)


class AStrangerIsGoneOutOfHand(Registry):
    def heartbeat(self, now, update, count):
        return (
            (0, [])
            if update.state == GONE and update.id not in self.endpoints.entries
            else super().heartbeat(now, update, count)
        )


class NoTombstoneIsReadBack(Registry):
    def restore(self, now, entries):
        return super().restore(now, [entry for entry in entries if entry.state != GONE])


class AFailedSaveCounts(Registry):
    def on_saved(self, now, ok):
        return super().on_saved(now, True)


class TheFirstBodyStays(Registry):
    def apply_config(self, config, from_primary=False):
        return super().apply_config(config)


class FreshByContact(Registry):
    fresh = property(lambda self: self.contact)  # type: ignore[assignment]


PLANTED = [
    (TheFirstBodyStays, 200),
    (FreshByContact, 40),
    (BeforeTheSecondDisk, 40),
    (BeforeTheOwnDisk, 120),
    (BeforeThePeersDisk, 40),
    (OutOfContact, 200),
    (InOnePlace, 80),
    (ARepeatIsTakenForKnown, 120),
    (AStrangerIsGoneOutOfHand, 40),
    (NoTombstoneIsReadBack, 200),
    (AFailedSaveCounts, 200),
]


@pytest.mark.parametrize(("fault", "within"), PLANTED, ids=lambda value: getattr(value, "__name__", ""))
def test_a_planted_fault_is_found(fault: type[Registry], within: int) -> None:
    with pytest.raises(Violation):
        for seed in range(within):
            play(site(seed, fault))


def test_what_the_real_programs_acknowledged_lies_on_two_disks_and_nobody_is_brought_back(
    tmp_path: Path,
) -> None:
    async def story() -> None:
        w = Whole(tmp_path)
        try:
            await w.start()
            assert await w.put() == 200
            backend = Backend("i-1", good)
            await backend.start()
            await until(
                lambda: all(
                    sum(o.connection is not None for o in r.registry.peers.values()) == 2
                    for r in w.registries.values()
                )
            )
            assert await w.beat(backend) == 200
            assert await w.beat(backend, "draining", 2, w.core[1]) == 200
            for id in ("i-1", "i-never"):
                async with asyncio.timeout(10):
                    while (await call(w.control(w.core[2]), "POST", f"/instances/{id}/deregister"))[0] != 200:
                        await asyncio.sleep(0.01)
            for ip in w.core:
                w.registries.pop(ip).close()
            kept = {}
            for ip in w.core:
                memory = InstanceStorage(tmp_path / ip)
                kept[ip] = {entry.id: entry.state for entry in memory.load() or []}
                memory.close()
            assert all(sum(disk.get(id) == GONE for disk in kept.values()) >= 2 for id in ("i-1", "i-never"))
            for ip in w.core:
                await w.start_registry(ip)
            await w.beat(backend, "available", 1)
            await until(
                lambda: all(
                    {e.state for e in r.registry.endpoints.entries.values()} == {GONE}
                    and len(r.registry.endpoints.entries) == 2
                    for r in w.registries.values()
                )
            )
        finally:
            await w.close()

    asyncio.run(asyncio.wait_for(story(), 50))
