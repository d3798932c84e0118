"""Which registry an ingress subscribes to and which configuration it serves.

The state machines run in virtual time; the last section runs them over sockets.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from itertools import permutations, product
from pathlib import Path
from random import Random

import msgspec
import pytest
from test_local_system import play
from local_system import CONFIGURATION, Backend, LocalSystem, call, success, until

from troutdock.proxy.daemon import Ingress
from troutdock.proxy.registry_watch import (
    PROBE_RETRY_S,
    LOCAL_PROBE_INTERVAL_S,
    MAX_OTHER_CONNECTIONS,
    OUT_OF_CONTACT_TIMEOUT_S,
    STABLE_CONTACT_S,
    INITIAL_DELAY_S,
    PROBE_INTERVAL_S,
    ConfigAction,
    Disconnect,
    Connect,
    Subscribe,
    RegistrySelector,
    LogMessage,
    BecomeReady,
    ApplyConfig,
    ConfigSelector,
    DiscardMessages,
    ConnectionAction,
)
from troutdock.proxy.registry_connections import MAX_BUFFERED_MESSAGES, _MessageBuffer
from troutdock.rpc.connection import CONNECT_TIMEOUT_S
from troutdock.rpc.messages import Config, Fresh, Silence, body_digest

MESSAGE_DELAY_S = 0.01  # one-way delay of a message in virtual time
TICK_S = 0.05


@dataclass
class SimulatedRegistry:
    """A registry. state: up, refuses (connections fail) or hangs (connections time out)."""

    zone: str
    state: str = "up"
    contact: bool = True
    connections: set[int] = field(default_factory=set)


class World:
    """One ingress with several registries in virtual time."""

    def __init__(
        self, registries: dict[str, SimulatedRegistry], zone: str = "a", seeds: list[str] | None = None
    ) -> None:
        self.now, self.registries = 100.0, registries
        self.selector = RegistrySelector("e-1", zone, seeds or list(registries))
        self.selector.registries.update({ip: registry.zone for ip, registry in registries.items()})
        self.queue: list[tuple[float, int, str, int, str]] = []
        self.addresses: dict[int, str] = {}  # by connection
        self.buffered: set[int] = set()  # connections whose messages are buffered until subscribed to
        self.subscriptions: list[tuple[float, str]] = []
        self.attempts: list[tuple[float, str]] = []
        self.max_connections = 0
        self._count = 0

    def schedule(self, seconds: float, event: str, number: int, ip: str) -> None:
        self._count += 1
        self.queue.append((self.now + seconds, self._count, event, number, ip))

    def execute(self, actions: list[ConnectionAction]) -> None:
        for action in actions:
            match action:
                case Connect(number, ip):
                    self.addresses[number] = ip
                    self.buffered.add(number)
                    self.attempts.append((self.now, ip))
                    if (state := self.registries[ip].state) != "hangs":
                        self.schedule(MESSAGE_DELAY_S, "identified" if state == "up" else "ended", number, ip)
                case Subscribe(number):
                    assert number in self.buffered, "its messages were discarded"
                    self.subscriptions.append((self.now, self.addresses[number]))
                case DiscardMessages(number):
                    self.buffered.discard(number)
                case Disconnect(number):
                    self.registries[self.addresses.pop(number)].connections.discard(number)
        self.max_connections = max(self.max_connections, len(self.addresses))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.queue.sort()
            ticks = self.now + TICK_S
            if self.queue and self.queue[0][0] <= min(ticks, until):
                self.now, _, event, number, ip = self.queue.pop(0)
                self.handle(event, number, ip)
            else:
                self.now = min(ticks, until)
                self.execute(self.selector.tick(self.now))

    def handle(self, event: str, number: int, ip: str) -> None:
        if number not in self.addresses:
            return
        registry = self.registries[ip]
        if event == "identified":
            if registry.state != "up":
                return
            registry.connections.add(number)
            self.schedule(MESSAGE_DELAY_S, "contact", number, ip)
            self.execute(self.selector.peer_identified(self.now, number, ip, registry.zone))
        elif event == "contact":
            self.execute(self.selector.contact_reported(self.now, number, registry.contact))
        elif event == "ended":
            self.addresses.pop(number)
            self.execute(self.selector.connection_ended(self.now, number))

    def set_contact(self, ip: str, contact: bool) -> None:
        registry = self.registries[ip]
        registry.contact = contact
        for number in registry.connections:
            self.schedule(MESSAGE_DELAY_S, "contact", number, ip)

    def fail(self, ip: str, state: str = "refuses") -> None:
        registry = self.registries[ip]
        registry.state = state
        for number in list(registry.connections):
            self.schedule(MESSAGE_DELAY_S, "ended", number, ip)
        registry.connections.clear()

    @property
    def subscribed_ip(self) -> str:
        return (
            self.addresses.get(self.selector.subscribed_number, "")
            if self.selector.subscribed_number is not None
            else ""
        )


def make_world(zones: str, states: str = "", contacts: str = "") -> World:
    """Returns registries 1, 2 and so on, one per zone letter.

    Args:
        zones: The zone of each registry.
        states: u, r or h for each: up, refuses, hangs.
        contacts: y or n for each: in contact or not.
    """
    named = {"u": "up", "r": "refuses", "h": "hangs"}
    return World(
        {
            str(n + 1): SimulatedRegistry(
                zone, named[(states or "u" * 9)[n]], (contacts or "y" * 9)[n] == "y"
            )
            for n, zone in enumerate(zones)
        }
    )


# ---- which registry to subscribe to


def test_registry_of_own_zone_is_subscribed_to_at_once() -> None:
    world = make_world("bcad")
    world.run(0.1)
    assert world.subscribed_ip == "3" and len(world.attempts) == 1


@pytest.mark.parametrize("contacts", ["".join(c) for c in product("yn", repeat=4) if "y" in c])
@pytest.mark.parametrize("states", ["uuuu", "uhhu", "uhru", "hhhu", "uuhh"])
def test_registry_out_of_contact_is_replaced_by_one_in_contact_within_limit(
    contacts: str, states: str
) -> None:
    world = make_world("abcd", states)
    world.run(1.0)
    start = world.subscribed_ip
    for n, c in enumerate(contacts):
        world.set_contact(str(n + 1), c == "y")
    candidates = [str(n + 1) for n in range(4) if contacts[n] == "y" and states[n] == "u"]
    limit_s = (
        OUT_OF_CONTACT_TIMEOUT_S + PROBE_INTERVAL_S * 2 + 3 * MESSAGE_DELAY_S + STABLE_CONTACT_S + 3 * TICK_S
    )
    world.run(MESSAGE_DELAY_S + limit_s)
    if start in candidates or not candidates:
        assert (
            world.subscribed_ip == start and len(world.subscriptions) == 1
        )  # no working connection is closed
    else:
        assert world.subscribed_ip in candidates


@pytest.mark.parametrize("states", ["".join(s) for s in product("uh", repeat=4) if "u" in s])
def test_unresponsive_addresses_do_not_delay_probes(states: str) -> None:
    world = make_world("abcd", states)
    world.run(PROBE_INTERVAL_S * 3 + 2 * MESSAGE_DELAY_S + 3 * TICK_S)
    assert world.subscribed_ip and world.registries[world.subscribed_ip].state == "up"


@pytest.mark.parametrize("states", ["uuuu", "uhhu", "uhru"])
def test_new_process_finds_registry_in_contact_within_limit(states: str) -> None:
    world = make_world("abcd", states, "nnny")
    world.run(
        2 * MESSAGE_DELAY_S
        + INITIAL_DELAY_S
        + 2 * PROBE_INTERVAL_S
        + 2 * MESSAGE_DELAY_S
        + INITIAL_DELAY_S
        + 3 * TICK_S
    )
    assert world.subscribed_ip == "4"


def test_initial_delay_applies_only_until_first_contact() -> None:
    world = make_world("ab")
    world.run(1.0)
    world.set_contact("1", False)
    world.run(OUT_OF_CONTACT_TIMEOUT_S - TICK_S)
    assert len(world.attempts) == 1
    world = make_world("ab", contacts="ny")
    world.run(1.0)
    assert world.subscribed_ip == "2" and len(world.attempts) == 2
    world.set_contact("2", False)
    world.run(OUT_OF_CONTACT_TIMEOUT_S - TICK_S)
    assert len(world.attempts) == 2


def test_without_any_contact_subscription_stays_and_others_are_probed_once() -> None:
    world = make_world("abcd", contacts="nnnn")
    world.run(20.0)
    assert len(world.subscriptions) == 1 and world.subscribed_ip == "1"
    assert len(world.attempts) == 4  # the others once: they are standbys
    world.set_contact("3", True)
    world.run(MESSAGE_DELAY_S + STABLE_CONTACT_S + 3 * MESSAGE_DELAY_S + 2 * TICK_S)
    assert world.subscribed_ip == "3" and len(world.addresses) == 1
    assert len(world.attempts) == 5  # reconnected, as the messages of a standby are discarded


def test_dead_addresses_are_retried_once_per_second_without_any_contact() -> None:
    world = make_world("abcd", "urhr", "nnnn")
    world.run(10.0)
    tries = [ip for _, ip in world.attempts if ip != "1"]
    assert len(tries) <= 3 * (10.0 / PROBE_RETRY_S + 1)


def test_first_registry_to_regain_contact_does_not_get_all_subscribers() -> None:
    world = make_world("abcd")
    world.run(1.0)
    for n in "1234":
        world.set_contact(n, False)
    world.run(1.5)
    world.set_contact("4", True)
    world.run(STABLE_CONTACT_S / 2)
    for n in "123":
        world.set_contact(n, True)
    world.run(2.0)
    assert world.subscribed_ip == "1" and len(world.subscriptions) == 1 and len(world.addresses) == 1


@pytest.mark.parametrize("contact", [True, False])
def test_remote_registry_is_replaced_by_local_one_only_if_that_is_in_contact(contact: bool) -> None:
    world = make_world("ab", "ru")
    world.run(1.0)
    assert world.subscribed_ip == "2"
    world.registries["1"].state, world.registries["1"].contact = "up", contact
    world.run(2 * LOCAL_PROBE_INTERVAL_S + 1.0)
    assert (world.subscribed_ip == "1") is contact and len(world.addresses) == 1
    if not contact:
        assert len(world.subscriptions) == 1
        world.set_contact("1", True)
        world.run(LOCAL_PROBE_INTERVAL_S + 1.0)
        assert world.subscribed_ip == "1"


def test_failed_registry_is_replaced_by_next_and_its_late_events_are_ignored() -> None:
    world = make_world("aabc")
    world.run(1.0)
    first = world.subscribed_ip
    number = world.selector.subscribed_number
    assert number is not None
    world.fail(first)
    world.run(0.3)
    assert world.subscribed_ip != first and world.registries[world.subscribed_ip].zone == "a"
    previous = world.subscribed_ip
    for actions in (
        world.selector.contact_reported(world.now, number, False),
        world.selector.connection_ended(world.now, number),
    ):
        assert actions == []
    assert world.selector.peer_identified(world.now, number, first, "a") == [Disconnect(number)]
    assert world.subscribed_ip == previous


@pytest.mark.parametrize("seed", range(40))
def test_random_events_end_with_one_connection_to_registry_in_contact(seed: int) -> None:
    random = Random(seed)
    world = make_world("aabbccddeeff"[: random.randint(2, 12)], "u" * 12, "y" * 12)
    for _ in range(60):
        ip = random.choice(list(world.registries))
        match random.randrange(4):
            case 0:
                world.set_contact(ip, False)
            case 1:
                world.set_contact(ip, True)
            case 2:
                world.fail(ip, random.choice(["refuses", "hangs"]))
            case 3:
                world.registries[ip].state = "up"
        world.run(random.random() * 2)
    assert world.max_connections <= MAX_OTHER_CONNECTIONS + 2
    for ip, registry in world.registries.items():
        registry.state = "up"
        world.set_contact(ip, ip == "2")
    world.run(MAX_OTHER_CONNECTIONS * 0.3 + 15.0)
    assert world.subscribed_ip == "2" and world.registries["2"].contact
    for ip in world.registries:
        world.set_contact(ip, True)
    world.run(4 * LOCAL_PROBE_INTERVAL_S)
    assert len(world.addresses) == 1 and world.registries[world.subscribed_ip].zone == "a"


def test_after_failure_most_preferred_registry_is_tried_first() -> None:
    world = make_world("aab")
    first, second, _ = world.selector.preference_order()
    world.fail(first)
    world.run(5.0)
    assert world.subscribed_ip == second
    world.registries[first].state = "up"
    world.fail(second)
    world.run(0.2)
    assert world.subscribed_ip == first


def test_unresponsive_local_address_is_retried() -> None:
    world = make_world("ab", "hu")
    world.run(3.0)
    assert world.subscribed_ip == "2"
    world.registries["1"].state = "up"
    world.run(CONNECT_TIMEOUT_S + LOCAL_PROBE_INTERVAL_S + 0.5)
    assert world.subscribed_ip == "1"


def test_local_standby_is_reconnected_before_subscription() -> None:
    world = make_world("ab", "ru")
    world.run(1.0)
    world.registries["1"].state = "up"
    for ip in "12":
        world.set_contact(ip, False)
    world.run(1.0)
    assert len(world.addresses) == 2 and world.subscribed_ip == "2"
    world.set_contact("1", True)
    world.run(STABLE_CONTACT_S / 2)
    world.set_contact("2", True)
    world.run(LOCAL_PROBE_INTERVAL_S * 2 + 0.5)
    assert world.subscribed_ip == "1"  # after a probe


@pytest.mark.parametrize("which", range(2, 13))
def test_more_registries_than_connections_are_all_probed_in_turn(which: int) -> None:
    world = make_world("abcdefghijkl", "u" * 12, "n" * 12)
    world.run(5.0)
    assert world.subscribed_ip == "1" and len(world.addresses) <= MAX_OTHER_CONNECTIONS + 1
    world.set_contact(str(which), True)
    world.run(12.0)
    assert world.subscribed_ip == str(which)


def test_no_tick_is_needed_while_local_registry_is_in_contact() -> None:
    world = make_world("abcd")
    world.run(1.0)
    assert world.selector.seconds_to_tick(world.now) > 1e9
    world.set_contact("1", False)
    world.run(0.1)
    assert world.selector.seconds_to_tick(world.now) <= PROBE_INTERVAL_S


def test_messages_before_subscription_are_bounded() -> None:
    buffer = _MessageBuffer()
    for version in range(1000):
        assert buffer.add(Config(version, msgspec.Raw(b"{}")))
    assert buffer.messages == [Config(999, msgspec.Raw(b"{}"))]
    for _ in range(MAX_BUFFERED_MESSAGES - 1):
        assert buffer.add(Silence([], []))
    assert not buffer.add(Silence([], []))
    assert len(buffer.messages) == MAX_BUFFERED_MESSAGES


# ---- which configuration is served

CONTACT_S = 3.0


def config(version: int, digest: str = "") -> Config:
    return Config(version, msgspec.Raw(b"{}"), digest or f"d{version}")


class IngressProcess:
    """The ConfigSelector of one process, with the configurations served and the levels logged."""

    def __init__(self) -> None:
        self.selector = ConfigSelector(0.0, CONTACT_S)
        self.served: list[tuple[int, str]] = []
        self.log_levels: list[str] = []

    def execute(self, actions: list[ConfigAction], readable: bool = True) -> None:
        for action in actions:
            match action:
                case ApplyConfig(c):
                    assert c.version >= self.selector.version, "version goes back"
                    if readable:
                        self.served.append((c.version, c.digest))
                    self.execute(self.selector.config_applied(c, readable))
                case LogMessage(level, _):
                    self.log_levels.append(level)
                case BecomeReady():
                    pass

    def receive_config(self, at: float, version: int, digest: str = "", readable: bool = True) -> None:
        self.execute(self.selector.config_received(at, config(version, digest)), readable)

    def report_contact(self, at: float, contact: bool, version: int, digest: str = "") -> None:
        self.execute(self.selector.contact_reported(at, Fresh(contact, version, digest or f"d{version}")))

    def tick(self, at: float) -> None:
        self.execute(self.selector.tick(at))


def test_in_contact_configurations_are_served_at_once() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5)
    assert not process.served and not process.selector.ready  # it may be outdated
    process.report_contact(0.1, True, 5)
    assert process.served == [(5, "d5")] and process.selector.ready
    process.receive_config(0.2, 6)
    assert process.served[-1] == (6, "d6")


def test_out_of_contact_serves_after_contact_s_and_warns_once() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5)
    process.report_contact(0.1, False, 5)
    process.tick(CONTACT_S - 0.01)
    assert process.served == []
    process.tick(CONTACT_S)
    process.tick(CONTACT_S + 1)
    process.receive_config(CONTACT_S + 1, 6)
    assert (
        process.served == [(5, "d5"), (6, "d6")]
        and process.log_levels == ["warning"]
        and not process.selector.ready
    )
    process.report_contact(CONTACT_S + 2, True, 6)
    assert process.selector.ready


def test_out_of_contact_highest_received_version_is_served() -> None:
    process = IngressProcess()
    for version in (4, 7, 5):
        process.selector.registry_changed()
        process.receive_config(0.5, version)
        process.report_contact(0.5, False, version)
        process.selector.registry_lost()
    process.tick(CONTACT_S)
    assert process.served == [(7, "d7")]


def test_pending_configuration_unknown_to_registry_in_contact_is_not_served() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 9)
    process.report_contact(0.1, False, 9)
    process.selector.registry_changed()
    process.receive_config(0.2, 8)
    process.report_contact(0.2, True, 8)
    assert process.served == [(8, "d8")] and process.selector.ready
    process.tick(CONTACT_S + 1)
    assert process.served == [(8, "d8")]


def test_after_contact_nothing_received_out_of_contact_is_served() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5)
    process.report_contact(0.1, True, 5)
    process.report_contact(4.0, False, 5)
    process.receive_config(4.1, 6)
    process.tick(9.0)
    assert process.served == [(5, "d5")] and process.selector.ready
    process.report_contact(9.1, True, 6)
    assert process.served == [(5, "d5"), (6, "d6")]


def test_after_contact_stale_serving_ends() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5)
    process.tick(CONTACT_S)
    process.report_contact(4.0, True, 5)
    process.report_contact(5.0, False, 5)
    process.receive_config(5.1, 6)
    assert process.served == [(5, "d5")]


def test_older_pending_configuration_is_not_served_while_newest_is_awaited() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5)
    process.report_contact(0.1, True, 6)
    assert process.served == [] and not process.selector.ready
    process.receive_config(0.3, 6)
    assert process.served == [(6, "d6")] and process.selector.ready


@pytest.mark.parametrize("order", list(permutations(["old", "stale", "new", "contact", "time"])))
def test_every_order_of_a_new_process_events(order: tuple[str, ...]) -> None:
    """old and stale are messages of one registry, new and contact of another; each switch resubscribes."""
    process, at, now, in_contact = IngressProcess(), 0.0, "", False
    for event in order:
        at += 0.1
        source = {"old": "a", "stale": "a", "new": "b", "contact": "b"}.get(event, now)
        if source != now:
            process.selector.registry_changed()
            now = source
        if event == "old":
            process.receive_config(at, 5)
        elif event == "stale":
            process.report_contact(at, False, 5)
        elif event == "new":
            process.receive_config(at, 6)
        elif event == "contact":
            process.report_contact(at, True, 6)
            in_contact = True
        else:
            at += CONTACT_S
            process.tick(at)
        versions = [version for version, _ in process.served]
        assert versions == sorted(versions)
        if at < CONTACT_S and not in_contact:
            assert not versions  # a configuration received out of contact is not served that early
        assert not process.selector.ready or process.selector.version == 6
    assert process.log_levels.count("warning") <= 1


def test_other_body_of_served_version_is_accepted_once_and_only_in_contact() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5, "x")
    process.report_contact(0.1, True, 5, "x")
    process.receive_config(0.2, 5, "x")
    assert process.served == [(5, "x")] and not process.log_levels
    process.report_contact(1.0, False, 5, "x")
    process.receive_config(1.1, 5, "y")
    assert process.served == [(5, "x")] and process.log_levels == ["error"]
    process.report_contact(1.2, True, 5, "y")
    assert process.served == [(5, "x"), (5, "y")]
    for digest in ("x", "y", "x"):  # the bodies do not alternate
        process.receive_config(2.0, 5, digest)
        process.report_contact(2.0, True, 5, digest)
    assert process.served == [(5, "x"), (5, "y")]
    process.receive_config(3.0, 6)
    assert process.served[-1] == (6, "d6")


def test_not_ready_with_another_body_of_newest_version() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5, "x")
    process.report_contact(0.1, False, 5, "x")
    process.tick(CONTACT_S)
    process.report_contact(4.0, True, 5, "y")
    assert not process.selector.ready and "error" in process.log_levels
    process.receive_config(4.1, 5, "y")
    assert process.selector.ready and process.served == [(5, "x"), (5, "y")]


def test_unknown_digests_match_any() -> None:
    selector = ConfigSelector(0.0, CONTACT_S)
    assert selector.config_received(0.1, Config(5, msgspec.Raw(b"{}"))) == []
    (serve,) = selector.contact_reported(0.1, Fresh(True, 5))
    assert isinstance(serve, ApplyConfig)
    assert selector.config_applied(serve.config, True) == [BecomeReady(5)]
    assert (
        selector.config_received(0.2, config(5)) == []
        and selector.contact_reported(0.2, Fresh(True, 5, "d5")) == []
    )


def test_invalid_configuration_is_tried_once_and_does_not_make_ready() -> None:
    process = IngressProcess()
    process.receive_config(0.1, 5)
    process.report_contact(0.1, True, 5)
    process.receive_config(0.2, 6, readable=False)
    process.report_contact(0.2, True, 6)
    assert process.selector.config_received(0.3, config(6)) == [] and process.served == [(5, "d5")]
    fresh = IngressProcess()
    fresh.receive_config(0.1, 6, readable=False)
    fresh.execute(fresh.selector.contact_reported(0.1, Fresh(True, 6, "d6")), readable=False)
    assert not fresh.selector.ready and fresh.served == []


def test_not_ready_after_stall_until_contact_or_contact_s_passed() -> None:
    for in_contact in (True, False):
        process = IngressProcess()
        process.receive_config(0.1, 5)
        process.report_contact(0.1, True, 5)
        process.selector.resumed(30.0)
        assert not process.selector.ready
        process.report_contact(30.1, False, 5)
        process.tick(30.1)
        assert not process.selector.ready
        if in_contact:
            process.report_contact(30.2, True, 5)
        else:
            process.tick(30.0 + CONTACT_S)  # all registries are lost: rejecting every client would not help
        assert process.selector.ready and process.served == [(5, "d5")]


def test_failover_limits_are_within_contact_s() -> None:
    assert (
        OUT_OF_CONTACT_TIMEOUT_S + 3 * PROBE_INTERVAL_S + STABLE_CONTACT_S + CONNECT_TIMEOUT_S < CONTACT_S / 2
    )


# ---- RegistryClient and Ingress over sockets


def set_registry_contact(system: LocalSystem, ip: str, contact: bool = False) -> None:
    """Makes a registry lose its primary, or have one again."""
    registry = system.registries[ip]
    config = registry.registry.config
    report = Fresh(True, config.version, config.digest) if contact and config is not None else None
    registry._perform(registry.registry.set_primary_status(registry._loop.time(), report))


async def configure_and_wait(system: LocalSystem) -> None:
    assert await system.put_configuration() == 200
    await system.wait_until_ready()
    await until(lambda: all(len(i.registry_client.registries) == 3 for i in system.ingresses.values()))


def subscribed_to(ingress: Ingress) -> str:
    connection = ingress.registry_client._subscribed
    return connection.peer.ip if connection is not None and connection.peer is not None else ""


async def register_backend(system: LocalSystem) -> Backend:
    backend = Backend("i-1", success)
    await backend.start()
    assert await system.send_heartbeat(backend) == 200
    return backend


def test_registry_out_of_contact_is_replaced_and_state_is_kept(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        await register_backend(system)
        await configure_and_wait(system)
        ingress = system.ingresses[system.ingress_ips[0]]
        previous = subscribed_to(ingress)
        set_registry_contact(system, previous)
        await until(lambda: subscribed_to(ingress) not in ("", previous), 3.0)
        assert (
            ingress.ready and ingress.config_selector.contact and ingress.endpoints.entries["i-1"].state == 0
        )
        await until(lambda: len(ingress.registry_client._connections) == 1, 3.0)

    play(tmp_path, scenario)


def test_without_any_contact_configuration_stays_pending(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        await register_backend(system)
        await configure_and_wait(system)
        ingress = system.ingresses[system.ingress_ips[0]]
        connection = ingress.registry_client._subscribed
        for ip in system.core_ips:
            set_registry_contact(system, ip)
        await until(lambda: len(ingress.registry_client._connections) == 3, 3.0)  # the others are standbys
        assert ingress.registry_client._subscribed is connection and not ingress.registry_client._buffers
        # a newer configuration from a registry that has lost the majority: it may never have been committed
        registry = system.registries[subscribed_to(ingress)]
        registry._perform(
            registry.registry.apply_config(
                Config(9, msgspec.Raw(json.dumps({**CONFIGURATION, "revision": "r9"}).encode()))
            )
        )
        await until(lambda: ingress.config_selector._pending is not None, 3.0)
        assert ingress.reader.table is not None and ingress.reader.table.version == 5 and ingress.ready
        set_registry_contact(system, subscribed_to(ingress), True)
        await until(lambda: ingress.reader.table.version == 9, 3.0)

    play(tmp_path, scenario)


def test_new_process_in_partition_rejects_until_contact_s_passed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("troutdock.proxy.daemon.MAX_CONFIG_WAIT_S", 0.05)

    async def scenario(system: LocalSystem) -> None:
        await register_backend(system)
        await configure_and_wait(system)
        for ip in system.core_ips:
            set_registry_contact(system, ip)
            for store in system.registries[ip]._stores.values():
                store.close()
            set_registry_contact(system, ip)
        ingress = system.ingresses.pop(system.ingress_ips[1])
        ingress.server.drain_accept_s = ingress.server.drain_most_s = 0.0
        await ingress.shut_down(5.0)
        again = await system.start_ingress(system.ingress_ips[1])
        await until(lambda: again.config_selector._pending is not None and "i-1" in again.endpoints.entries)
        request = ("GET", "/read/", b"", "Key: key", "Attempt-Id: c1")
        status, headers, _ = await call(system.http_address(system.ingress_ips[1]), *request)
        assert status == 503 and float(headers["retry-after"]) > 0
        again.config_selector.started_at -= again.config_selector.contact_s  # contactS has passed
        again._tick_config_selector()
        assert (await call(system.http_address(system.ingress_ips[1]), *request))[0] == 200
        assert not again.ready
        set_registry_contact(system, subscribed_to(again), True)
        await until(lambda: again.ready, 3.0)

    play(tmp_path, scenario)


def test_after_stall_connections_are_reopened(tmp_path: Path) -> None:
    async def scenario(system: LocalSystem) -> None:
        await register_backend(system)
        await configure_and_wait(system)
        ingress = system.ingresses[system.ingress_ips[0]]
        await until(lambda: ingress.mesh._connections)
        old = [ingress.registry_client._subscribed, *ingress.mesh._connections]
        ingress._sampled_at -= 20.0  # as the first sample after a stall would find it
        ingress._sample_lag()
        assert not any(connection.open for connection in old if connection is not None) and not ingress.ready
        await until(lambda: ingress.ready and ingress.mesh._connections, 5.0)
        assert ingress.registry_client._subscribed not in old and ingress.config_selector.contact

    play(tmp_path, scenario)


def test_conflicting_body_is_replaced_in_contact_and_compared_by_digest(
    tmp_path: Path,
) -> None:
    async def scenario(system: LocalSystem) -> None:
        await register_backend(system)
        await configure_and_wait(system)
        ingress = system.ingresses[system.ingress_ips[0]]
        ingress.config_selector.digest = "another"
        body = msgspec.Raw(
            json.dumps(
                {
                    **CONFIGURATION,
                    "routes": {**CONFIGURATION["routes"], "rows": CONFIGURATION["routes"]["rows"][:1]},
                }
            ).encode()
        )
        digest = body_digest(body)
        ingress._handle_registry_message(
            Config(5, msgspec.Raw(b"not even JSON"), "another")
        )  # the same digest: not parsed
        ingress._handle_registry_message(Fresh(True, 5, digest))
        ingress._handle_registry_message(Config(5, body, digest))
        assert (
            ingress.reader.table is not None
            and len(ingress.reader.table.settings.classes) < 3
            and ingress.config_selector.digest == digest
        )
        ingress._handle_registry_message(Config(5, msgspec.Raw(json.dumps(CONFIGURATION).encode()), "third"))
        assert ingress.config_selector.digest == digest and ingress.ready

    play(tmp_path, scenario)
