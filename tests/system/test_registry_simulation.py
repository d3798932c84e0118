"""Simulated registries under partitions, crashes, failing disks and power losses; injected bugs are detected."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest
from simulated_registries import SimulatedCore, Violation, run_schedule
from standstills import StandstillCore, run_standstills
from local_system import Backend, LocalSystem, call, success, until

from troutdock.rpc.messages import GONE, InstancesAck, Silence
from troutdock.registry.storage import InstanceStorage
from troutdock.registry.registry import FaultTolerance, RequestCompleted, Registry, Send

SCHEDULES = int(os.environ.get("REGISTRY_SCHEDULES", "600"))  # in total; set a higher number for long runs
PARTS = 4
TOPOLOGIES = [
    (3, 3, FaultTolerance(1)),
    (4, 2, FaultTolerance(1, 1)),
    (5, 5, FaultTolerance(2)),
    (4, 4, FaultTolerance(0, 0, 1, {"z0": "a", "z1": "a", "z2": "b", "z3": "b"})),
]


def simulation(seed: int, make: type[Registry] = Registry) -> SimulatedCore:
    machines, zones, tolerance = TOPOLOGIES[seed % len(TOPOLOGIES)]
    return SimulatedCore(seed, machines, zones, tolerance, make)


@pytest.mark.parametrize("part", range(PARTS))
def test_acknowledged_states_survive_every_tolerated_fault(part: int) -> None:
    acknowledged = failed = 0
    for seed in range(part, SCHEDULES, PARTS):
        core = simulation(seed)
        run_schedule(core)
        acknowledged, failed = acknowledged + core.acknowledged_calls, failed + core.failed_calls
    assert acknowledged > SCHEDULES / PARTS and failed  # the schedules exercise both outcomes


class AcknowledgesBeforeSecondDisk(Registry):
    def _is_replicated(self, now, synced_by):
        return True


class AcknowledgesBeforeOwnDisk(Registry):
    def _complete_ready(self, now):
        premature = [n for n, request in self._pending.items() if self._is_replicated(now, request.synced_by)]
        for number in premature:
            del self._pending[number]
        return [*(RequestCompleted(number, True) for number in premature), *super()._complete_ready(now)]


class PeerAcknowledgesBeforeSync(Registry):
    def _on_instances(self, now, connection, message):
        premature = (
            [Send(connection, InstancesAck(message.number, message.life, self.contact))]
            if message.number
            else []
        )
        return [*premature, *super()._on_instances(now, connection, message)]


class AcknowledgesOutOfContact(Registry):
    contact = property(lambda self: True)  # type: ignore[assignment]


class ReplicatesInOneDomain(Registry):
    def _is_replicated(self, now, synced_by):
        self._tolerance = FaultTolerance(1)
        return super()._is_replicated(now, synced_by)


class IgnoresRepeatedCalls(Registry):
    def heartbeat(self, now, update, count):
        known = self.endpoints.entries.get(update.id)
        if (
            known is not None
            and 0 <= count <= self.heartbeat_counts.get(update.id, -1)
            and update.state <= known.state
        ):
            return 0, []
        return super().heartbeat(now, update, count)


class IgnoresUnknownDeregistrations(Registry):
    def heartbeat(self, now, update, count):
        return (
            (0, [])
            if update.state == GONE and update.id not in self.endpoints.entries
            else super().heartbeat(now, update, count)
        )


class LosesTombstonesAtRestart(Registry):
    def restore(self, now, entries):
        return super().restore(now, [entry for entry in entries if entry.state != GONE])


class CountsFailedSaves(Registry):
    def on_saved(self, now, ok):
        return super().on_saved(now, True)


class KeepsFirstBody(Registry):
    def apply_config(self, config, from_primary=False):
        return super().apply_config(config)


class FreshWithoutConfiguration(Registry):
    fresh = property(lambda self: self.contact)  # type: ignore[assignment]


INJECTED_BUGS = [
    (KeepsFirstBody, 200),
    (FreshWithoutConfiguration, 40),
    (AcknowledgesBeforeSecondDisk, 40),
    (AcknowledgesBeforeOwnDisk, 120),
    (PeerAcknowledgesBeforeSync, 40),
    (AcknowledgesOutOfContact, 200),
    (ReplicatesInOneDomain, 80),
    (IgnoresRepeatedCalls, 120),
    (IgnoresUnknownDeregistrations, 40),
    (LosesTombstonesAtRestart, 200),
    (CountsFailedSaves, 200),
]


@pytest.mark.parametrize(
    ("bug", "max_seeds"), INJECTED_BUGS, ids=lambda value: getattr(value, "__name__", "")
)
def test_injected_bug_is_detected(bug: type[Registry], max_seeds: int) -> None:
    with pytest.raises(Violation):
        for seed in range(max_seeds):
            run_schedule(simulation(seed, bug))


STANDSTILL_SEEDS = int(os.environ.get("STANDSTILL_SEEDS", "24"))


# guards against: a registry that had stood still declared all backends gone, for good, at all others
def test_live_backends_are_in_use_after_any_series_of_standstills() -> None:
    for seed in range(STANDSTILL_SEEDS):
        run_standstills(StandstillCore(seed, machines=3 + seed % 3, backends=6))


class JudgesItsOwnStandstill(Registry):
    def _judge_silence(self, now):
        self._observed_since = 0.0
        return super()._judge_silence(now)


class TakesExpiryForAnEnd(Registry):
    def _judge_silence(self, now):
        self._observed_since = 0.0
        actions = super()._judge_silence(now)
        for entry in self.endpoints.entries.values():
            if entry.expired:
                self.endpoints._advance(now, entry, GONE)
        return [action for action in actions if not isinstance(action.message, Silence)]


class RevivesByAnyHeartbeat(Registry):
    def heartbeat(self, now, update, count):
        entry = self.endpoints.entries.get(update.id)
        if entry is not None and update.state < entry.state:
            self.endpoints.remove(entry)
        return super().heartbeat(now, update, count)


@pytest.mark.parametrize("bug", [JudgesItsOwnStandstill, TakesExpiryForAnEnd, RevivesByAnyHeartbeat])
def test_injected_bug_is_detected_by_standstills(bug: type[Registry]) -> None:
    with pytest.raises(Violation):
        for seed in range(STANDSTILL_SEEDS):
            run_standstills(StandstillCore(seed, machines=3 + seed % 3, backends=6, make=bug))


def test_daemons_store_acknowledged_states_on_two_disks_and_revive_no_instance(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        system = LocalSystem(tmp_path)
        try:
            await system.start()
            assert await system.put_configuration() == 200
            backend = Backend("i-1", success)
            await backend.start()
            await until(
                lambda: all(
                    sum(o.connection is not None for o in r.registry.peers.values()) == 2
                    for r in system.registries.values()
                )
            )
            assert await system.send_heartbeat(backend) == 200
            assert await system.send_heartbeat(backend, "draining", 2, system.core_ips[1]) == 200
            for id in ("i-1", "i-never"):
                async with asyncio.timeout(10):
                    while (
                        await call(
                            system.control_address(system.core_ips[2]), "POST", f"/instances/{id}/deregister"
                        )
                    )[0] != 200:
                        await asyncio.sleep(0.01)
            for ip in system.core_ips:
                system.registries.pop(ip).close()
            stored = {}
            for ip in system.core_ips:
                memory = InstanceStorage(tmp_path / ip)
                stored[ip] = {entry.id: entry.state for entry in memory.load() or []}
                memory.close()
            assert all(
                sum(disk.get(id) == GONE for disk in stored.values()) >= 2 for id in ("i-1", "i-never")
            )
            for ip in system.core_ips:
                await system.start_registry(ip)
            await system.send_heartbeat(backend, "available", 1)
            await until(
                lambda: all(
                    {e.state for e in r.registry.endpoints.entries.values()} == {GONE}
                    and len(r.registry.endpoints.entries) == 2
                    for r in system.registries.values()
                )
            )
        finally:
            await system.close()

    asyncio.run(asyncio.wait_for(scenario(), 50))
