"""Tests of the registry: updates merge in any order, and acknowledged states survive the loss of a machine."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from troutdock.settings.boot import parse_boot
from troutdock.rpc.http_calls import HttpRequest, HttpResponse
from troutdock.rpc.connection import PeerConnection
from troutdock.rpc.messages import (
    DRAINING,
    GONE,
    READY,
    Beats,
    Config,
    Fresh,
    Hello,
    Instance,
    Instances,
    InstancesAck,
    Member,
    Members,
    Message,
    Read,
    ReadAck,
    Registries,
    Silence,
    Write,
    WriteAck,
    decode,
    body_digest,
    encode,
)
from troutdock.registry.daemon import Daemon
from troutdock.registry.storage import InstanceStorage
from troutdock.registry.registry import (
    FaultTolerance,
    RequestCompleted,
    RegistryRemoved,
    LogError,
    RegistriesFound,
    Registry,
    Send,
)
from troutdock.endpoints.endpoint_table import EXPIRY_INTERVALS, TOMBSTONE_TTL_S, EndpointTable, tombstone

IDS = ["i-1", "i-2", "i-3"]


def instance(id: str, state: int = READY, at: str = "10.0.0.9:80") -> Instance:
    return Instance(id, "s", at, "a", 2, state)


class ThreeRegistries(RuleBasedStateMachine):
    """Three registries that crash one at a time; each has an ingress that follows it."""

    @initialize()
    def begin(self) -> None:
        self.now = 0.0
        self.registries = {n: Registry(0.0, 1.5) for n in range(3)}
        self.alive = dict.fromkeys(range(3), True)
        self.acknowledged: dict[str, int] = {}
        self.followers = {n: EndpointTable() for n in range(3)}
        self.waiting: list[tuple[int, int, object]] = []  # from, to, message
        self.pending: dict[tuple[int, int], tuple[str, int]] = {}
        for n in range(3):
            for m in range(3):
                if n != m:
                    self.perform(n, self.registries[n].registry_up(0.0, m, f"10.0.0.{m}", "abc"[m]))
            self.perform(n, self.registries[n].set_primary_status(0.0, Fresh(True, 0)))
            self.perform(
                n, self.registries[n].ingress_up(0.0, "ingress", Member(f"e{n}", "10.1.0.1", 1, "a", 1))
            )
        self.deliver_all()

    def perform(self, n: int, actions: list) -> None:
        if self.registries[n].save_urgent and self.registries[n].next_batch(self.now) is not None:
            actions = [*actions, *self.registries[n].on_saved(self.now, True)]
        for action in actions:
            if isinstance(action, RequestCompleted):
                call = self.pending.pop((n, action.number), None)
                if action.ok and call is not None:
                    self.acknowledged[call[0]] = max(call[1], self.acknowledged.get(call[0], 0))
            elif isinstance(action, Send):
                if action.to is None or action.to == "ingress":
                    if isinstance(action.message, Instances):
                        self.followers[n].merge(self.now, action.message.entries)
                else:
                    self.waiting.append((n, action.to, action.message))

    def deliver_all(self) -> None:
        while self.waiting:
            sender, to, message = self.waiting.pop(0)
            if self.alive[to] and self.alive[sender]:
                self.perform(to, self.registries[to].receive(self.now, sender, message))

    @rule(
        n=st.integers(0, 2),
        id=st.sampled_from(IDS),
        state=st.sampled_from([READY, DRAINING, GONE]),
        count=st.integers(-1, 9),
    )
    def call(self, n: int, id: str, state: int, count: int) -> None:
        if self.alive[n]:
            number, actions = self.registries[n].heartbeat(self.now, instance(id, state), count)
            if number:
                self.pending[n, number] = id, state
            self.perform(n, actions)

    @rule(at=st.integers(0, 20))
    def deliver(self, at: int) -> None:
        if self.waiting:
            sender, to, message = self.waiting[at % len(self.waiting)]
            # in order per sender and receiver, as on a connection
            first = next(i for i, (s, t, _) in enumerate(self.waiting) if (s, t) == (sender, to))
            sender, to, message = self.waiting.pop(first)
            if self.alive[to]:
                self.perform(to, self.registries[to].receive(self.now, sender, message))

    @precondition(lambda self: all(self.alive.values()))
    @rule(n=st.integers(0, 2))
    def crash(self, n: int) -> None:
        self.alive[n] = False
        self.waiting = [w for w in self.waiting if n not in w[:2]]
        self.pending = {k: v for k, v in self.pending.items() if k[0] != n}
        for m in range(3):
            if m != n:
                self.registries[m].registry_down(self.now, n)
        self.deliver_all()  # messages in flight between the others arrive
        known = [b for m, b in self.registries.items() if m != n]
        for id, state in self.acknowledged.items():
            for registry in known:
                assert registry.endpoints.entries[id].state >= state
            for m in range(3):
                if m != n and id in self.followers[m].entries:
                    assert self.followers[m].entries[id].state >= state

    @precondition(lambda self: not all(self.alive.values()))
    @rule()
    def restart(self) -> None:
        n = next(m for m, alive in self.alive.items() if not alive)
        self.registries[n], self.alive[n], self.followers[n] = Registry(self.now, 1.5), True, EndpointTable()
        for m in range(3):
            if m != n:
                self.perform(n, self.registries[n].registry_up(self.now, m, f"10.0.0.{m}", "abc"[m]))
                self.perform(m, self.registries[m].registry_up(self.now, n, f"10.0.0.{n}", "abc"[n]))
        self.perform(n, self.registries[n].set_primary_status(self.now, Fresh(True, 0)))
        self.perform(
            n, self.registries[n].ingress_up(self.now, "ingress", Member(f"e{n}", "10.1.0.1", 1, "a", 1))
        )
        self.deliver_all()

    @rule(gone=st.floats(0.05, 1.0))
    def wait(self, gone: float) -> None:
        self.now += gone
        for n in range(3):
            if self.alive[n]:
                self.perform(n, self.registries[n].tick(self.now))

    @invariant()
    def acknowledged_state_is_known_to_two(self) -> None:
        for id, state in getattr(self, "acknowledged", {}).items():
            holders = [
                n
                for n in range(3)
                if id in self.registries[n].endpoints.entries
                and self.registries[n].endpoints.entries[id].state >= state
            ]
            assert len(holders) >= 2 or not all(self.alive.values())


TestRegistries = ThreeRegistries.TestCase
TestRegistries.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_drain_is_not_acknowledged_without_a_second_registry() -> None:
    registry = Registry(0.0, 1.5, seeds=["10.0.0.2"])
    registry.set_primary_status(0.0, Fresh(True, 0))
    number, _ = registry.heartbeat(0.0, instance("i-1", DRAINING), 3)
    assert registry.next_batch(0.0) is not None and registry.on_saved(0.0, True) == []
    assert RequestCompleted(number, False) in registry.tick(1.0)


def test_silence_is_sent_once_and_revoked_by_a_heartbeat_anywhere() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.heartbeat(0.0, instance("i-1"), 1)
    sent = [
        a.message
        for s in range(1, 12)
        for a in registry.tick(s * 0.5)
        if isinstance(a, Send) and isinstance(a.message, Silence)
    ]
    assert sent == [Silence(["i-1"], [])]
    assert Send(None, Silence([], ["i-1"])) in registry.receive(6.0, "r", Beats(["i-1"]))


def test_partitioned_registry_marks_no_instance_silent() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.heartbeat(0.0, instance("i-1"), 1)
    registry.registry_down(0.5, "r")
    assert not [
        a
        for s in range(1, 12)
        for a in registry.tick(s * 0.5)
        if isinstance(a, Send) and isinstance(a.message, Silence)
    ]


def test_delayed_heartbeat_changes_nothing() -> None:
    registry = Registry(0.0, 1.5)
    registry.heartbeat(0.0, instance("i-1", DRAINING), 5)
    registry.heartbeat(0.1, instance("i-1", READY), 4)
    assert registry.endpoints.entries["i-1"].state == DRAINING


def test_configuration_versions_only_increase_and_new_ingresses_receive_freshness_last() -> None:
    registry = Registry(0.0, 1.5)
    new, old = Config(9, msgspec.Raw(b"{}")), Config(7, msgspec.Raw(b"{}"))
    assert registry.apply_config(new)
    assert registry.apply_config(old) == []
    sent = [
        a.message for a in registry.ingress_up(0.0, "e", Member("e", "10.1.0.1", 1, "a", 1)) if a.to == "e"
    ]
    digest = body_digest(b"{}")
    assert sent[0] == Config(9, msgspec.Raw(b"{}"), digest) and sent[-1] == Fresh(False, 9, digest)


def test_members_are_all_ingresses_connected_to_any_registry() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.ingress_up(0.0, "x", Member("e1", "10.1.0.1", 1, "a", 1))
    actions = registry.receive(0.1, "r", Members([Member("e2", "10.1.0.2", 1, "b", 1)], [], True))
    assert actions == [Send(None, Members([Member("e2", "10.1.0.2", 1, "b", 1)], []))]
    registry.registry_down(1.0, "r")
    assert not any(isinstance(a.message, Members) for a in registry.tick(2.0) if isinstance(a, Send))
    gone = [a.message for a in registry.tick(5.5) if isinstance(a, Send)]
    assert Members([], ["e2"]) in gone


def test_new_instance_at_same_address_ends_the_old_one() -> None:
    registry = Registry(0.0, 1.5)
    registry.registry_up(0.0, "r", "10.0.0.2", "b")
    registry.heartbeat(0.0, instance("i-1"), 1)
    _, actions = registry.heartbeat(5.0, instance("i-2"), 1)
    sent = next(
        a.message
        for a in actions
        if isinstance(a, Send) and a.to is None and isinstance(a.message, Instances)
    )
    assert {(e.id, e.state) for e in sent.entries} == {("i-1", GONE), ("i-2", READY)}
    registry.receive(6.0, "r", Instances([instance("i-1")]))  # a delayed update changes nothing
    assert registry.endpoints.entries["i-1"].state == GONE


def test_ingresses_that_start_together_are_sent_in_batches() -> None:
    """The bytes sent do not grow as the square of their number, and all receive the complete list."""
    registry, sent = Registry(0.0, 1.0), 0
    known: dict[str, set[str]] = {}

    def perform(actions: list) -> None:
        nonlocal sent
        for action in actions:
            if isinstance(action, Send) and isinstance(action.message, Members):
                for connection in [action.to] if action.to is not None else list(registry.ingresses):
                    names = {m.name for m in action.message.entries}
                    known[str(connection)] = (
                        names
                        if action.message.full
                        else (known.get(str(connection), set()) | names) - set(action.message.gone)
                    )
                    sent += len(action.message.entries)

    count, now = 200, 0.0
    for n in range(count):
        now = n / count
        perform(registry.ingress_up(now, f"l{n}", Member(f"e{n}", f"10.1.0.{n}", 1, "a", n)))
        perform(registry.tick(now))
    perform(registry.tick(now + 0.2))
    assert all(names == {f"e{n}" for n in range(count)} for names in known.values()) and len(known) == count
    assert (
        sent < count * count * 1.2
    )  # the list once to each, complete or in parts, not a message for each start
    perform(registry.ingress_down(now + 1, "l7"))
    assert "e7" not in known["l3"]  # a single change is sent at once


# ---- acknowledgements


def in_contact(incarnation: int = 7, tolerance: FaultTolerance | None = None, peers: int = 2) -> Registry:
    """Returns a registry connected to the primary and to peers r1, r2, ... in zones b, c, ..."""
    registry = Registry(0.0, 1.5, incarnation, "a", ["10.0.0.2", "10.0.0.3"], tolerance or FaultTolerance(1))
    registry.set_primary_status(0.0, Fresh(True, 0))
    for n in range(1, peers + 1):
        registry.registry_up(0.0, f"r{n}", f"10.0.0.{n + 1}", "abcd"[n])
    return registry


def synced(registry: Registry, now: float = 0.0) -> list:
    return registry.on_saved(now, True) if registry.next_batch(now) is not None else []


@pytest.mark.parametrize(
    ("connection", "ack", "counts", "dropped"),
    [
        ("r1", InstancesAck(1, 7, True), True, 0),
        ("r1", InstancesAck(1, 7, False), False, 0),  # the peer is out of contact
        ("r1", InstancesAck(1, 6, True), False, 1),  # for the previous incarnation of this process
        ("r1", InstancesAck(1, 0, True), False, 1),
        ("r1", InstancesAck(2, 7, True), False, 1),  # never sent
        ("r9", InstancesAck(1, 7, True), False, 1),  # not on the connection of the request
    ],
)
def test_acknowledgement_counts_only_for_its_request(
    connection: str, ack: InstancesAck, counts: bool, dropped: int
) -> None:
    registry = in_contact()
    number, actions = registry.heartbeat(0.0, instance("i-1", DRAINING), 3)
    assert number == 1 and Send("r1", Instances([instance("i-1", DRAINING)], 1, 7)) in actions
    registry.registry_up(0.0, "r9", "10.0.0.3", "c")  # a later connection
    assert synced(registry) == []
    assert (RequestCompleted(1, True) in registry.receive(0.1, connection, ack)) == counts
    assert registry.dropped_acks == dropped


@pytest.mark.parametrize(
    ("tolerance", "zones", "enough"),
    [
        (FaultTolerance(1), "b", True),
        (FaultTolerance(0), "b", True),
        (FaultTolerance(2), "b", False),
        (FaultTolerance(2), "bc", True),
        (FaultTolerance(1, 1), "a", False),
        (FaultTolerance(1, 1), "ab", True),
        (FaultTolerance(1, 2), "bb", False),
        (FaultTolerance(1, 2), "bc", True),
        (FaultTolerance(0, 0, 1, {"a": "x", "b": "x", "c": "y"}), "b", False),
        (FaultTolerance(0, 0, 1, {"a": "x", "b": "x", "c": "y"}), "c", True),
    ],
)
def test_acknowledged_state_is_replicated_to_required_failure_domains(
    tolerance: FaultTolerance, zones: str, enough: bool
) -> None:
    registry = in_contact(tolerance=tolerance, peers=0)
    for n, zone in enumerate("abbc"):
        registry.registry_up(0.0, n, f"10.0.1.{n}", zone)
    registry.heartbeat(0.0, instance("i-1", DRAINING), 3)
    actions = synced(registry)
    free = {zone: [n for n, z in enumerate("abbc") if z == zone] for zone in "abc"}
    for zone in zones:
        actions += registry.receive(0.1, free[zone].pop(0), InstancesAck(1, 7, True))
    assert (RequestCompleted(1, True) in actions) == enough


def test_lost_registry_counts_towards_tolerance_and_single_machine_needs_no_replica() -> None:
    registry = in_contact(tolerance=FaultTolerance(2))
    registry.registry_down(1.0, "r2")
    for now, enough in ((2.0, False), (5.0, True)):  # contactS is 3
        number, _ = registry.heartbeat(now, instance(f"i-{now}", DRAINING), 3)
        synced(registry, now)
        assert (
            RequestCompleted(number, True) in registry.receive(now, "r1", InstancesAck(number, 7, True))
        ) == enough
    alone = Registry(0.0, 1.5)
    alone.set_primary_status(0.0, Fresh(True, 0))
    alone.heartbeat(0.0, instance("i-1", GONE), -1)
    assert RequestCompleted(1, True) in synced(alone)


def test_registry_acknowledges_after_its_own_sync_and_reports_its_contact() -> None:
    for contact in (True, False):
        registry = in_contact()
        if not contact:
            registry.set_primary_status(0.0, None)
        message = Instances([instance("i-1", DRAINING)], 5, 99)
        assert not any(
            isinstance(a.message, InstancesAck)
            for a in registry.receive(0.0, "r1", message)
            if isinstance(a, Send)
        )
        assert synced(registry) == [Send("r1", InstancesAck(5, 99, contact))]
        assert Send("r1", InstancesAck(6, 99, contact)) in registry.receive(
            0.1, "r1", Instances(message.entries, 6, 99)
        )  # already synced


def test_slow_or_failing_disk_fails_the_call_and_the_next_save_is_full() -> None:
    registry = in_contact()
    registry.heartbeat(0.0, instance("i-1", DRAINING), 3)
    registry.next_batch(0.0)
    registry.receive(0.0, "r1", InstancesAck(1, 7, True))
    assert RequestCompleted(1, False) in registry.tick(0.8)  # the disk hangs
    number, _ = registry.heartbeat(0.8, instance("i-1", DRAINING), 4)
    assert RequestCompleted(number, False) in registry.on_saved(0.9, False)
    assert registry.next_batch(0.95) is None  # delay before the retry
    registry.heartbeat(1.0, instance("i-2", at="10.0.0.8:80"), 1)
    batch = registry.next_batch(1.3)
    assert (
        batch is not None
        and batch.full
        and {(e.id, e.state) for e in batch.entries} == {("i-1", DRAINING), ("i-2", READY)}
    )


def test_repeated_drain_is_not_assumed_to_be_replicated() -> None:
    registry = in_contact(peers=0)
    first, _ = registry.heartbeat(0.0, instance("i-1", DRAINING), 5)
    synced(registry)
    assert RequestCompleted(first, False) in registry.tick(1.0)
    second, actions = registry.heartbeat(1.1, instance("i-1", DRAINING), 5)
    assert second and RequestCompleted(second, True) not in actions


def test_deregistration_of_unknown_instance_is_replicated_and_permanent() -> None:
    registry = in_contact()
    number, actions = registry.heartbeat(0.0, tombstone("i-9"), -1)
    assert (
        number
        and Send("r1", Instances([tombstone("i-9")], number, 7)) in actions
        and Send(None, Instances([tombstone("i-9")])) in actions
    )
    batch = registry.next_batch(0.0)
    assert batch is not None and batch.entries == [tombstone("i-9")]
    registry.on_saved(0.0, True)
    assert RequestCompleted(number, True) in registry.receive(0.1, "r1", InstancesAck(number, 7, True))
    for state, count in ((READY, 8), (DRAINING, 9)):
        registry.heartbeat(0.2, instance("i-9", state), count)
        # a peer that was disconnected reports its state, and receives the later one
        assert Send("r2", Instances([tombstone("i-9")])) in registry.receive(
            0.3, "r2", Instances([instance("i-9", state)])
        )
    assert (
        registry.endpoints.entries["i-9"].state == GONE
        and registry.endpoints.services() == []
        and registry.status()["services"] == {}
    )
    again = Registry(0.0, 1.5)
    again.restore(0.0, batch.entries)
    again.receive(1.0, "r", Instances([instance("i-9")]))
    assert again.endpoints.entries["i-9"].state == GONE and again.next_batch(1.0) is None


def test_ingress_that_missed_a_deregistration_receives_it_after_reporting_its_state() -> None:
    registry = in_contact()
    registry.heartbeat(0.0, instance("i-1"), 1)
    registry.heartbeat(0.1, instance("i-1", GONE), -1)
    registry.ingress_up(1.0, "e", Member("e", "10.1.0.1", 1, "a", 1))
    assert Send("e", Instances([instance("i-1", GONE)])) in registry.receive(
        1.0, "e", Instances([instance("i-1")])
    )


def test_saves_are_sequential_and_batch_all_changes() -> None:
    registry = in_contact()

    def drain(n: int) -> None:
        registry.heartbeat(0.0, instance(f"i-{n}", DRAINING, f"a{n}"), 1)

    drain(0)
    first = registry.next_batch(0.0)
    for n in range(1, 50):
        drain(n)
    assert first is not None and len(first.entries) == 1 and registry.next_batch(0.0) is None
    registry.on_saved(0.01, True)
    second = registry.next_batch(0.01)
    assert second is not None and len(second.entries) == 49 and registry.on_saved(0.02, True) == []
    confirmed = [registry.receive(0.03, "r1", InstancesAck(n, 7, True)) for n in range(1, 51)]
    assert confirmed == [[RequestCompleted(n, True)] for n in range(1, 51)]


# ---- contact


def test_registry_out_of_contact_confirms_nothing_and_floods_everything() -> None:
    registry = in_contact()
    pending_number, _ = registry.heartbeat(0.0, instance("i-1", DRAINING), 3)
    lost = registry.set_primary_status(1.0, None)
    assert (
        RequestCompleted(pending_number, False) in lost
        and Send(None, Fresh(False, 0)) in lost
        and Send("r1", Fresh(False, 0)) in lost
    )
    number, actions = registry.heartbeat(1.1, instance("i-2", GONE), -1)
    assert RequestCompleted(number, False) in actions and registry.endpoints.entries["i-2"].state == GONE
    assert {a.to for a in actions if isinstance(a, Send) and isinstance(a.message, Instances)} == {
        "r1",
        "r2",
        None,
    }
    found = registry.status()
    assert (found["contact"], found["fresh"], registry.contact_changed_at) == (False, False, 1.0)


@pytest.mark.parametrize(
    ("contact", "connected_peers", "peers_in_contact", "after", "is_isolated", "target"),
    [
        (True, 2, (), 9.0, False, ""),
        (False, 2, (), 9.0, False, ""),  # no primary anywhere; heartbeats reach all registries from here
        (False, 0, (), 0.5, False, ""),  # an election, or a start of all machines
        (False, 0, (), 1.5, True, ""),  # partitioned: the majority does not receive heartbeats from here
        (False, 1, ("r1",), 9.0, False, "10.0.0.2"),  # one connection is left
        (False, 2, ("r2",), 9.0, False, "10.0.0.3"),
        (False, 2, ("r2",), 0.5, False, ""),  # an election
        (True, 2, ("r1", "r2"), 9.0, False, ""),
    ],
)
def test_heartbeats_are_redirected_to_a_registry_in_the_majority(
    contact: bool,
    connected_peers: int,
    peers_in_contact: tuple[str, ...],
    after: float,
    is_isolated: bool,
    target: str,
) -> None:
    registry = in_contact()
    for connection in peers_in_contact:
        registry.receive(0.0, connection, Fresh(True, 0))
    for n in range(connected_peers + 1, 3):
        registry.registry_down(0.0, f"r{n}")
    if not contact:
        registry.set_primary_status(0.0, None)
    registry.heartbeat(after, instance("i-1"), 1)
    assert registry.is_isolated(after) == is_isolated and registry.redirect_target(after, "a") == target
    assert registry.endpoints.entries["i-1"].state == READY  # recorded in every case


def test_starting_registry_marks_no_instance_silent_before_its_first_connection() -> None:
    registry = Registry(0.0, 1.5, seeds=["10.0.0.2"])
    registry.restore(0.0, [instance("i-1")])
    assert not [a for s in range(1, 200) for a in registry.tick(s * 0.5) if isinstance(a, Send)]
    registry.set_primary_status(
        100.0, Fresh(True, 0)
    )  # its store has found the others, but it has not: they may receive heartbeats of i-1
    assert not [a for s in range(202, 400) for a in registry.tick(s * 0.5) if isinstance(a, Send)]
    registry.registry_up(200.0, "r", "10.0.0.2", "b")
    silence = Send(None, Silence(["i-1"], []))
    # only the time counts in which it would have received a heartbeat: 2.5 intervals from now on
    assert [s * 0.5 for s in range(400, 420) if silence in registry.tick(s * 0.5)] == [204.0]


# ---- the configuration


def config(version: int, body: bytes = b'{"a":1}', digest: str | None = None) -> Config:
    return Config(version, msgspec.Raw(body), body_digest(body) if digest is None else digest)


@pytest.mark.parametrize(
    ("reported", "from_primary", "expected", "error"),
    [
        (config(6), False, config(7), ""),
        (config(6, b"{}"), True, config(7), ""),
        (config(7), False, config(7), ""),
        (config(7, digest=""), True, config(7), ""),  # from a store of an earlier version
        (config(7, b"{}"), False, config(7), "Two bodies with revision r7"),
        (config(7, b"{}"), True, config(7, b"{}"), "Two bodies with revision r7"),
        (config(8, b"{}"), False, config(8, b"{}"), ""),
        (config(8, b"{}", "0" * 24), False, config(7), "does not match its digest"),
    ],
)
def test_configuration_is_identified_by_version_and_digest(
    reported: Config, from_primary: bool, expected: Config, error: str
) -> None:
    registry = in_contact()
    registry.apply_config(config(7))
    actions = registry.apply_config(reported, from_primary)
    assert registry.config == expected
    assert (
        [a.text for a in actions if isinstance(a, LogError)] == []
        if not error
        else error in next(a.text for a in actions if isinstance(a, LogError))
    )
    assert (Send(None, expected) in actions) == (expected != config(7))


@pytest.mark.parametrize(
    ("reported", "fresh"),
    [
        (None, False),
        (Fresh(True, 7), True),
        (Fresh(True, 6), True),
        (Fresh(True, 8), False),
        (Fresh(True, 7, body_digest(b'{"a":1}')), True),
        (Fresh(True, 7, body_digest(b"{}")), False),
    ],
)
def test_registry_is_fresh_with_the_primarys_newest_configuration(
    reported: Fresh | None, fresh: bool
) -> None:
    registry = in_contact()
    registry.apply_config(config(7))
    registry.set_primary_status(1.0, reported)
    assert registry.freshness == Fresh(fresh, 7, body_digest(b'{"a":1}'))
    if reported == Fresh(True, 8):
        assert Send(None, Fresh(True, 8, body_digest(b"{}"))) in registry.apply_config(config(8, b"{}"), True)


# ---- bounds


def test_memory_is_bounded_under_churn_of_instances_configurations_and_ingresses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    max_tombstones = 1000  # tombstones
    monkeypatch.setattr("troutdock.endpoints.endpoint_table.MAX_TOMBSTONES", max_tombstones)
    registry, disk, now = in_contact(), {}, 0.0  # type: ignore[var-annotated]

    def save() -> None:
        if (batch := registry.next_batch(now)) is not None:
            disk.update({e.id: e for e in batch.entries})
            for id in batch.deleted:
                disk.pop(id, None)
            for action in registry.on_saved(now, True):
                assert isinstance(action, RequestCompleted | Send)

    for n in range(6000):
        now += 0.02
        registry.heartbeat(now, instance(f"i-{n}", at=f"a{n % 30}"), 1)
        for state in (DRAINING, GONE):
            if n >= 20:
                number, _ = registry.heartbeat(
                    now, instance(f"i-{n - 20}", state, f"a{(n - 20) % 30}"), state
                )
                registry.receive(now, "r1", InstancesAck(number, 7, True))
        registry.receive(now, "r2", Instances([instance(f"i-{n}", at=f"a{n % 30}")], n + 1, 5))
        if n % 10 == 0:
            registry.ingress_up(now, f"l{n}", Member(f"e{n}", "10.1.0.1", 1, "a", n))
            registry.ingress_down(now, f"l{n - 50}")
            registry.apply_config(config(n))
            save()
            registry.tick(now)
            assert (
                len(registry.endpoints.entries) <= max_tombstones + 60
                and len(registry.heartbeat_counts) <= max_tombstones + 60
            )
            assert (
                len(registry._pending) + len(registry._pending_acks) <= 200
                and len(registry._sent_members) <= 260
                and len(disk) <= max_tombstones + 80
            )
    assert len(registry.endpoints.entries) > max_tombstones
    for connection in list(registry.ingresses):
        registry.ingress_down(now, connection)
    for _ in range(int(2 * (1.5 * EXPIRY_INTERVALS + TOMBSTONE_TTL_S + 2))):
        now += 0.5  # a longer step would be a stall, after which silence counts anew
        registry.tick(now)
    save()
    assert (
        not registry.endpoints.entries
        and not registry.heartbeat_counts
        and not disk
        and not registry._sent_members
    )
    assert not registry.endpoints._by_address and not registry.endpoints._by_service


@pytest.mark.parametrize(
    ("contact", "elsewhere", "left"), [(True, {}, 1), (True, {"10.0.0.3": "c"}, 2), (False, {}, 3)]
)
def test_removed_registry_is_dropped_only_in_contact(
    contact: bool, elsewhere: dict[str, str], left: int
) -> None:
    registry, removed = in_contact(peers=3), []
    registry.receive(
        0.0, "r1", Registries(elsewhere)
    )  # one that is connected elsewhere is only unreachable from here
    for connection in ("r2", "r3"):
        registry.registry_down(1.0, connection)
    if not contact:
        registry.set_primary_status(1.0, None)
    for now in (20.0, 40.0):
        removed += [a.ip for a in registry.tick(now) if isinstance(a, RegistryRemoved)]
    assert len(registry.peers) == left == 3 - len(removed)
    assert removed == [ip for ip in ("10.0.0.3", "10.0.0.4") if ip not in registry.peers]


def test_backends_of_a_registry_unreachable_only_from_here_are_not_expired() -> None:
    registry = in_contact()
    registry.receive(0.0, "r2", Instances([instance("i-1")]))
    registry.receive(0.0, "r1", Registries({"10.0.0.1": "a", "10.0.0.3": "c"}))
    registry.ip = "10.0.0.1"
    registry.registry_down(1.0, "r2")
    ticks = [a for s in range(4, 200) for a in registry.tick(s * 0.5) if isinstance(a, Send)]
    assert (
        not any(isinstance(a.message, Silence | Instances) for a in ticks)
        and registry.endpoints.entries["i-1"].state == READY
    )
    registry.receive(100.0, "r1", Registries({"10.0.0.1": "a"}))  # it is disconnected there too
    entry = registry.endpoints.entries["i-1"]
    expired = [s * 0.5 for s in range(200, 400) if [registry.tick(s * 0.5)] and entry.expired]
    assert expired[0] == 100.0 + 1.5 * EXPIRY_INTERVALS + 0.5
    assert Send("l", Instances([])) in registry.ingress_up(200.0, "l", Member("e", "10.1.0.1", 1, "a", 1))


# guards against: a registry that had been frozen for over 60 s declared all backends gone, for good, at all others
@pytest.mark.parametrize("stall_s", [1.5, 10.0, 30.0, 59.0, 61.0, 300.0])
@pytest.mark.parametrize("ends_with", ["timer", "heartbeats"])
def test_a_stalled_registry_does_not_take_its_own_standstill_for_silence(
    stall_s: float, ends_with: str
) -> None:
    registry = in_contact()
    registry.ip = "10.0.0.1"
    registry.receive(0.0, "r1", Registries({"10.0.0.1": "a", "10.0.0.3": "c"}))
    registry.receive(0.0, "r1", Instances([instance(f"i-{n}", at=f"a{n}") for n in range(5)]))
    ids = list(registry.endpoints.entries)
    now, sent = 0.0, []

    def run(seconds: float) -> None:
        nonlocal now
        for _ in range(int(seconds * 10)):
            now += 0.1
            sent.extend(registry.tick(now))
            if int(now * 10) % 15 == 0:
                sent.extend(registry.receive(now, "r1", Beats(ids)))

    run(70)
    now += stall_s
    if ends_with == "heartbeats":  # those that the kernel has kept
        sent.extend(registry.receive(now, "r1", Beats(ids[:2])))
    run(10)
    assert not [a for a in sent if isinstance(a, Send) and isinstance(a.message, Silence | Instances)]
    assert all(
        not e.silent and not e.expired and e.state == READY for e in registry.endpoints.entries.values()
    )
    ids.remove("i-3")  # one that is silent while the registry runs is still found
    run(5)
    assert Send(None, Silence(["i-3"], [])) in sent


# guards against: silence removed a backend for good, though its heartbeats were answered with 200
def test_the_next_heartbeat_of_an_expired_instance_announces_it_everywhere() -> None:
    registry = in_contact()
    registry.heartbeat(0.0, instance("i-1"), 1)
    registry.heartbeat(0.0, instance("i-2", at="a2"), 1)
    registry.heartbeat(0.0, instance("i-2", GONE, "a2"), -1)
    registry.heartbeat(0.0, instance("i-3", at="a3"), 1)
    registry.heartbeat(0.0, instance("i-3", DRAINING, "a3"), 2)
    disk: dict[str, Instance] = {}

    def save(now: float) -> None:
        while (batch := registry.next_batch(now)) is not None:
            disk.update({entry.id: entry for entry in batch.entries})
            for id in batch.deleted:
                disk.pop(id, None)
            registry.on_saved(now, True)

    for step in range(1, 140):
        registry.tick(step * 0.5)
    save(70.0)
    entries = registry.endpoints.entries
    assert entries["i-1"].expired and entries["i-1"].state == READY and "i-1" not in disk
    assert entries["i-2"].state == entries["i-3"].state == GONE and {"i-2", "i-3"} <= set(disk)
    for connection in ("l", "r9"):
        up = (
            registry.ingress_up(70.0, connection, Member("e", "10.1.0.1", 1, "a", 1))
            if connection == "l"
            else registry.registry_up(70.0, connection, "10.0.0.9", "d")
        )
        announced = [
            e.id
            for a in up
            if isinstance(a, Send) and isinstance(a.message, Instances)
            for e in a.message.entries
        ]
        assert "i-1" not in announced
    _, late = registry.heartbeat(70.0, instance("i-1"), 1)  # the same heartbeat again proves nothing
    assert not late and entries["i-1"].expired
    _, actions = registry.heartbeat(70.0, instance("i-1"), 2)
    message = Instances([instance("i-1")])
    assert {a.to for a in actions if isinstance(a, Send) and a.message == message} >= {None, "r1", "r2"}
    save(70.0)
    assert not entries["i-1"].expired and not entries["i-1"].silent and disk["i-1"].state == READY
    for id, at, count in (
        ("i-2", "a2", 7),
        ("i-3", "a3", 9),
    ):  # these said that they end: a late beat is nothing
        _, actions = registry.heartbeat(70.0, instance(id, at=at), count)
        assert entries[id].state == GONE and not actions


def test_registries_exchange_connected_peers_for_discovery() -> None:
    registry = Registry(0.0, 1.5, ip="10.0.0.1")
    registry.registry_up(0.0, "r1", "10.0.0.2", "b")
    up = registry.registry_up(0.0, "r2", "10.0.0.3", "c")
    both = Registries({"10.0.0.2": "b", "10.0.0.3": "c"})
    assert Send("r1", both) in up and Send("r2", both) in up
    message = Registries({"10.0.0.1": "a", "10.0.0.2": "b", "10.0.0.4": "d"})
    assert registry.receive(0.0, "r2", message) == [RegistriesFound(["10.0.0.4"])]
    assert registry.registry_down(1.0, "r1") == [Send("r2", Registries({"10.0.0.3": "c"}))]


def test_daemon_connects_to_discovered_machines_and_drops_removed_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connected: dict[tuple[str, int], bool] = {}

    class RecordingConnector:
        def __init__(self, address: tuple[str, int], *_: object) -> None:
            self.address = address
            connected[address] = True

        def close(self) -> None:
            connected[self.address] = False

    monkeypatch.setattr("troutdock.registry.daemon.Connector", RecordingConnector)

    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        daemon._perform([RegistriesFound(["10.0.0.4", "10.0.0.2"])])
        assert {address for address, up in connected.items() if up} == {
            (f"10.0.0.{n}", port) for n in (2, 4) for port in (7000, 7001)
        }
        daemon._perform(
            [RegistryRemoved("10.0.0.4"), RegistryRemoved("10.0.0.2")]
        )  # a seed may return at its address
        assert {address[0] for address, up in connected.items() if up} == {"10.0.0.2"} and set(
            daemon._stores
        ) == {"10.0.0.2"}
        lower = StubConnection()
        lower.peer = Hello("hedgerow", "lower", "10.0.0.0", "c", 4)
        daemon._on_connected(lower)
        assert not connected.get(("10.0.0.0", 7000))  # of two seeds, the one with the lower address connects
        daemon._on_disconnected(lower)
        assert connected["10.0.0.0", 7000]  # after a restart it may know no other machine

    with_daemon(scenario, seedNodes=["10.0.0.2:80", "10.0.0.1:80", "10.0.0.0:80"], ipAddress="10.0.0.1")


# ---- the disk


def test_saved_instances_are_read_back_and_a_damaged_file_is_recreated(tmp_path: Path) -> None:
    memory = InstanceStorage(tmp_path)
    assert memory.load() == []
    one, gone = instance("i-1"), tombstone("i-2")
    assert memory.save([one, gone, instance("i-3")], [], False) and memory.save(
        [instance("i-1", DRAINING)], ["i-3"], False
    )
    memory.close()
    again = InstanceStorage(tmp_path)
    assert again.load() == [gone, instance("i-1", DRAINING)]
    assert again.save([one], [], True)
    again.close()
    assert again.load() == [one]
    again.close()
    (tmp_path / "hedgerow.db").write_bytes(b"garbage" * 999)
    assert again.load() == [] and again.save([one], [], False)
    again.close()


def test_io_failure_is_retried_and_not_read_as_an_empty_table(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    folder.write_text("no folder")
    memory = InstanceStorage(folder)
    assert memory.load() is None and memory.save([instance("i-1")], [], False) is False
    folder.unlink()
    assert memory.load() == [] and memory.save([instance("i-1")], [], False)


# ---- the daemon: calls and responses of the store


class StubConnection(PeerConnection):
    """A connection that records the messages sent on it."""

    def __init__(self, name: str = "store") -> None:
        self.peer, self.open, self.sent = Hello("rootstock", name, "10.0.0.2", "b", 3), True, []  # type: ignore[var-annotated]

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        return self.open


def with_daemon(scenario: Callable[[Daemon, StubConnection], Awaitable[None]], **changes: Any) -> None:
    boot = parse_boot(
        {
            "nodeName": "n",
            "ipAddress": "10.0.0.1",
            "zone": "a",
            "internalPortRange": [7000, 7002],
            "faultTolerance": {"machines": 1},
            **changes,
        }
    )

    async def run() -> None:
        daemon, store = Daemon(boot, 7), StubConnection()
        daemon._on_store_message(store, Fresh(True, 0))
        try:
            await scenario(daemon, store)
        finally:
            daemon.close()

    asyncio.run(asyncio.wait_for(run(), 20))


async def run_loop() -> None:
    """Lets the event loop run a few times without waiting."""
    for _ in range(5):
        await asyncio.sleep(0)


async def control_call(daemon: Daemon, method: str, path: str, body: bytes = b"") -> HttpResponse:
    return await daemon._control_server.handler(HttpRequest(method.encode(), path.encode(), body))


CONFIGURATION = json.dumps(
    {
        "revision": "r9",
        "routes": {"columns": ["name"], "rows": []},
        "services": {"columns": ["name"], "rows": []},
    }
).encode()


def test_store_replyis_matched_to_its_call() -> None:
    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        call = asyncio.create_task(
            control_call(daemon, "POST", "/configuration/replace", CONFIGURATION + b"\n")
        )
        await run_loop()
        (write,) = store.sent
        assert write == Write(1, 9, msgspec.Raw(CONFIGURATION), 7, body_digest(CONFIGURATION))
        other = StubConnection("other")
        for connection, response in (
            (other, WriteAck(1, True, life=7)),
            (store, WriteAck(1, True, life=6)),
            (store, WriteAck(2, True, life=7)),
            (other, ReadAck(1, 9, life=7)),
            (store, WriteAck(1, True)),
        ):
            daemon._on_store_message(connection, response)
            await run_loop()
            assert not call.done()
        status = json.loads((await control_call(daemon, "GET", "/system/status")).body)
        assert (
            status["droppedAnswers"] == {"store": 5, "registries": 0}
            and status["contact"] is True
            and status["contactSinceS"] < 20
            and status["primary"] == "store"
        )
        daemon._on_store_message(store, WriteAck(1, True, life=7))
        assert (await call).status == 200

    with_daemon(scenario)


@pytest.mark.parametrize(
    "body",
    [
        CONFIGURATION + b" \r\n",
        b"\n\t" + CONFIGURATION,
        CONFIGURATION.replace(b", ", b" ,\n "),
        CONFIGURATION.replace(b"name", "n\u00e4me".encode()),
    ],
)
def test_digest_matches_the_body_that_the_store_receives(body: bytes) -> None:
    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        call = asyncio.create_task(daemon.store_configuration(9, body))
        await run_loop()
        read = decode(encode(store.sent[0]))
        assert (
            isinstance(read, Write)
            and read.digest == body_digest(read.body)
            and json.loads(bytes(read.body)) == json.loads(body)
        )
        daemon._on_store_message(store, WriteAck(1, True, life=7))
        assert await call is None

    with_daemon(scenario)


@pytest.mark.parametrize("ends", ["connection", "primary"])
def test_calls_fail_at_once_when_their_connection_ends_and_out_of_contact(ends: str) -> None:
    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        calls = [("POST", "/configuration/replace", CONFIGURATION), ("GET", "/configuration/describe", b"")]
        waiting = [asyncio.create_task(control_call(daemon, *call)) for call in calls]
        await run_loop()
        assert [type(message) for message in store.sent] == [Write, Read] and not any(
            call.done() for call in waiting
        )
        if ends == "connection":
            store.open = False
            daemon._on_store_disconnected(store)
        else:
            daemon._on_store_message(
                store, Fresh(False, 0)
            )  # the store still responds to earlier calls itself
            await run_loop()
            assert not any(call.done() for call in waiting)
            daemon._on_store_message(store, WriteAck(1, False, "not the primary any more", 7))
            daemon._on_store_message(store, ReadAck(2, 9, msgspec.Raw(CONFIGURATION), life=7))
        await run_loop()
        assert [call.done() and call.result().status for call in waiting] == [
            503,
            503 if ends == "connection" else 200,
        ]
        calls.append(("POST", "/instances/i-1/deregister", b""))
        again = [asyncio.create_task(control_call(daemon, *call)) for call in calls]
        await run_loop()
        assert [call.done() and call.result().status for call in again] == [503, 503, 503]
        assert daemon.registry.endpoints.entries["i-1"].state == GONE

    with_daemon(scenario)


@pytest.mark.parametrize(
    ("response", "status", "stored"),
    [
        (WriteAck(1, True, life=7), 200, None),
        (WriteAck(1, False, "the backup was lost", life=7), 503, None),
        (WriteAck(1, False, "", 7, True, "abc"), 409, {"revision": "r9", "digest": "abc"}),
    ],
)
def test_store_replydetermines_the_http_response(
    response: WriteAck, status: int, stored: dict | None
) -> None:
    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        call = asyncio.create_task(control_call(daemon, "POST", "/configuration/replace", CONFIGURATION))
        await run_loop()
        daemon._on_store_message(store, response)
        reply = await call
        assert reply.status == status and (json.loads(reply.body).get("held") if stored else None) == stored

    with_daemon(scenario)


def test_conflicting_body_of_a_later_primary_replaces_the_current_one() -> None:
    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        daemon._on_store_message(store, config(9))
        other = StubConnection("other")
        daemon._on_store_message(other, config(9, b"{}"))  # it is not the primary yet
        assert daemon.registry.config == config(9)
        daemon._on_store_message(other, Fresh(True, 9, body_digest(b"{}")))
        assert (
            daemon.registry.config == config(9, b"{}")
            and daemon.registry.fresh
            and not daemon._conflicting_configs
        )

    with_daemon(scenario)


def test_hanging_disk_blocks_no_other_call(tmp_path: Path) -> None:
    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        await daemon._load()
        release = threading.Event()
        daemon._storage.save = lambda *_: release.wait(10)  # type: ignore[method-assign]
        try:
            deregistration = asyncio.create_task(control_call(daemon, "POST", "/instances/i-1/deregister"))
            await run_loop()
            assert not deregistration.done()
            body = b'{"service": "s", "address": "10.0.0.9:80"}'
            assert (await control_call(daemon, "POST", "/instances/i-2/heartbeat", body)).status == 200
        finally:
            release.set()
        assert (await deregistration).status == 200

    with_daemon(scenario, dataDirectory=str(tmp_path))


def test_connections_are_set_up_while_the_disk_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    connected: list[tuple[str, int]] = []
    monkeypatch.setattr("troutdock.registry.daemon.Connector", lambda address, *_: connected.append(address))

    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        release = threading.Event()
        daemon._storage.load = lambda: [tombstone("i-1")] if release.wait(10) else None  # type: ignore[method-assign]
        starting = asyncio.create_task(daemon.start(("127.0.0.1", 0), ("127.0.0.1", 0)))
        try:
            async with asyncio.timeout(5):
                while not connected:
                    await asyncio.sleep(0)
            assert not starting.done() and not daemon.registry.endpoints.entries
        finally:
            release.set()
        await starting
        assert daemon.registry.endpoints.entries["i-1"].state == GONE
        daemon._registries.clear()
        daemon._stores.clear()

    with_daemon(scenario, dataDirectory=str(tmp_path), seedNodes=["10.0.0.2:80", "10.0.0.1:80"])


GOOD = {"service": "s", "address": "10.0.0.9:80"}


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "location"),
    [
        ("POST", "/instances/i-1/heartbeat", b'{"service": "s", "addr', 400, "body"),
        ("POST", "/instances/i-1/heartbeat", b"[]", 400, "not a mapping"),
        ("POST", "/instances/i-1/heartbeat", b"\xff", 400, "body"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "callCount": -1}, 400, "callCount"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "callCount": 10**30}, 400, "callCount"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "callCount": "4"}, 400, "callCount"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "capacity": 10**30}, 400, "capacity"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "capacity": 0}, 400, "capacity"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "warmupLeftS": 1e300}, 400, "warmupLeftS"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "state": "gone"}, 400, "state"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "address": "10.0.0.9:99999"}, 400, "address"),
        ("POST", "/instances/i-1/heartbeat", {**GOOD, "service": "x" * 5000}, 413, "4096"),
        ("POST", f"/instances/{'i' * 129}/heartbeat", GOOD, 400, "id"),
        ("POST", "/instances//deregister", b"", 400, "id"),
        ("POST", "/instances/i\x7f/deregister", b"", 400, "id"),
        ("GET", "/instances/i-1/deregister", b"", 405, "POST"),
        ("POST", "/instances/i-1/nothing", b"", 404, "call"),
        ("POST", "/configuration/replace", b'{"revision": "r9", "rou', 400, "body"),
        ("POST", "/configuration/replace", b"[1]", 400, "body"),
        ("POST", "/configuration/replace", CONFIGURATION.replace(b"r9", b"r-9"), 400, "revision"),
        (
            "POST",
            "/configuration/replace",
            CONFIGURATION.replace(b"r9", b"r0"),
            400,
            "revision",
        ),  # it would be indistinguishable from no configuration
        (
            "POST",
            "/configuration/replace",
            CONFIGURATION.replace(b"r9", b"r99999999999999999999"),
            400,
            "revision",
        ),
    ],
)
def test_invalid_calls_are_rejected_with_the_location_and_change_nothing(
    method: str, path: str, body: Any, status: int, location: str
) -> None:
    async def scenario(daemon: Daemon, store: StubConnection) -> None:
        reply = await control_call(
            daemon, method, path, body if isinstance(body, bytes) else json.dumps(body).encode()
        )
        assert reply.status == status and location in json.loads(reply.body)["error"]
        assert not daemon.registry.endpoints.entries and not store.sent

    with_daemon(scenario)
