"""An ingress's reports apply only to the incarnation and the connection that they belong to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from proxy_fleet import TwoServices

from troutdock.settings.boot import parse_boot
from troutdock.proxy.peer_connections import INGRESS_ROLE, PeerMesh
from troutdock.proxy.load_exchange import LoadExchange, LoadUpdate
from troutdock.rpc.messages import Hello, Member, Members, Message, QuotaStatus, Share, Shares, decode
from troutdock.quota.routes import Peers


class FakeConnection:
    """A peer connection without a socket."""

    def __init__(
        self, mesh: PeerMesh, name: str, incarnation: int, zone: str = "a", ip: str = "10.0.0.9"
    ) -> None:
        self.mesh, self.peer = mesh, Hello(INGRESS_ROLE, name, ip, zone, incarnation)
        self.open, self.sent = True, []  # type: ignore[var-annotated]

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        return self.open

    def send_payload(self, payload: bytes) -> bool:
        self.sent.append(payload)
        return self.open

    def abort(self) -> None:
        if self.open:
            self.open = False
            self.mesh._connection_down(self)  # type: ignore[arg-type]

    def connect(self, expected: str = "") -> FakeConnection:
        self.mesh._connection_up(self, expected)  # type: ignore[arg-type]
        return self

    def receive(self, message: Message) -> None:
        self.mesh._receive(self, message)  # type: ignore[arg-type]


class PeerIngress:
    """Another ingress's load exchange and the messages that it sends."""

    def __init__(self, name: str, incarnation: int, **out: int) -> None:
        self.exchange = LoadExchange(name, "10.0.0.9", "a", incarnation, TwoServices())
        for instance, count in out.items():
            self.exchange.set_load(instance.removeprefix("i"), count)

    def full(self) -> Shares:
        return self.exchange.full_state(0.0, "a-1", False)

    def change(self, instance: str, count: int) -> Shares:
        self.exchange.set_load(instance, count)
        shares = self.exchange.zone_update()
        assert shares is not None
        return shares


def run(scenario: Callable[[PeerMesh, list[LoadUpdate]], None]) -> None:
    async def start() -> None:
        boot = parse_boot(
            {
                "nodeName": "a-1",
                "ipAddress": "10.0.0.1",
                "zone": "a",
                "internalPortRange": [7000, 7002],
                "bindAddresses": {},
                "seedNodes": [],
                "bootstrap": False,
            }
        )
        updates: list[LoadUpdate] = []
        mesh = PeerMesh(
            boot,
            Hello(INGRESS_ROLE, "a-1", "10.0.0.1", "a", 50),
            updates.append,
            lambda *_: None,
            TwoServices(),
        )
        mesh._closed = True  # no connections are opened
        scenario(mesh, updates)

    asyncio.run(start())


def peer_load(mesh: PeerMesh, name: str = "a-2") -> dict[str, int]:
    return dict(mesh.exchange.zone_peers[name].loads) if name in mesh.exchange.zone_peers else {}


# ---- connections


def test_late_close_of_old_incarnation_keeps_loads_of_new_one() -> None:
    def scenario(mesh: PeerMesh, _: list[LoadUpdate]) -> None:
        old = FakeConnection(mesh, "a-2", 1).connect()
        old.receive(PeerIngress("a-2", 1, i1=4).full())
        new = FakeConnection(mesh, "a-2", 2).connect()
        new.receive(PeerIngress("a-2", 2, i1=1, i2=3).full())
        old.abort()  # closed by its silence time-out
        assert peer_load(mesh) == {"1": 1, "2": 3} == mesh.exchange.zone_loads

    run(scenario)


def test_loads_are_removed_with_last_connection_of_an_incarnation() -> None:
    def scenario(mesh: PeerMesh, _: list[LoadUpdate]) -> None:
        connections = [
            FakeConnection(mesh, "a-2", 1).connect() for _ in range(2)
        ]  # both sides have connected
        other = PeerIngress("a-2", 1, i1=4)
        for connection in connections:
            connection.receive(other.full())
        connections[0].abort()
        assert peer_load(mesh) == {"1": 4}
        connections[1].abort()
        assert peer_load(mesh) == {} == mesh.exchange.zone_loads

    run(scenario)


def test_messages_of_old_incarnation_are_dropped() -> None:
    def scenario(mesh: PeerMesh, _: list[LoadUpdate]) -> None:
        before, now = PeerIngress("a-2", 1, i1=4), PeerIngress("a-2", 2, i2=2)
        old = FakeConnection(mesh, "a-2", 1).connect()
        old.receive(before.full())
        new = FakeConnection(mesh, "a-2", 2).connect()
        assert not old.open and new.open
        new.receive(now.full())
        old.receive(before.change("3", 9))
        old.receive(before.full())
        assert peer_load(mesh) == {"2": 2}
        new.receive(now.change("1", 1))
        assert peer_load(mesh) == {"1": 1, "2": 2}

    run(scenario)


def test_late_connection_of_old_incarnation_does_not_replace_listed_one() -> None:
    def scenario(mesh: PeerMesh, _: list[LoadUpdate]) -> None:
        mesh.exchange.update_members(0.0, [Member("a-2", "10.0.0.9", 7000, "a", 2)], (), True)
        new = FakeConnection(mesh, "a-2", 2).connect()
        new.receive(PeerIngress("a-2", 2, i2=2).full())
        late = FakeConnection(mesh, "a-2", 1).connect()
        late.receive(PeerIngress("a-2", 1, i1=7).full())
        assert new.open and not late.open and peer_load(mesh) == {"2": 2}

    run(scenario)


def test_incarnation_with_clock_set_back_is_accepted_once_listed() -> None:
    def scenario(mesh: PeerMesh, _: list[LoadUpdate]) -> None:
        mesh.exchange.update_members(0.0, [Member("a-2", "10.0.0.9", 7000, "a", 9)], (), True)
        old = FakeConnection(mesh, "a-2", 9).connect()
        old.receive(PeerIngress("a-2", 9, i1=4).full())
        assert (
            not FakeConnection(mesh, "a-2", 5).connect().open
        )  # it may be an old connection; the peer connects again
        mesh.update_members(Members([Member("a-2", "10.0.0.9", 7000, "a", 5)], [], True))
        new = FakeConnection(mesh, "a-2", 5).connect()
        new.receive(PeerIngress("a-2", 5, i2=1).full())
        assert new.open and not old.open and peer_load(mesh) == {"2": 1}

    run(scenario)


def test_other_ingress_at_expected_address_is_rejected() -> None:
    def scenario(mesh: PeerMesh, _: list[LoadUpdate]) -> None:
        taken = FakeConnection(mesh, "a-7", 3)
        taken.connect("a-2")
        assert not taken.open and taken not in mesh._connections
        own = FakeConnection(mesh, "a-7", 3).connect("a-7")
        own.receive(PeerIngress("a-7", 3, i1=2).full())
        assert own.open and peer_load(mesh, "a-7") == {"1": 2} and "a-2" not in mesh.exchange.zone_peers

    run(scenario)


def test_connection_with_own_name_is_aborted() -> None:
    def scenario(mesh: PeerMesh, _: list[LoadUpdate]) -> None:
        connection = FakeConnection(mesh, "a-1", 49).connect()
        connection.receive(PeerIngress("a-1", 49, i1=2).full())
        assert not connection.open and not mesh._connections and not mesh.exchange.zone_loads

    run(scenario)


def test_after_stall_connections_are_aborted_and_loads_removed() -> None:
    def scenario(mesh: PeerMesh, updates: list[LoadUpdate]) -> None:
        connections = [FakeConnection(mesh, name, 1).connect() for name in ("a-2", "a-3")]
        for connection in connections:
            connection.receive(PeerIngress(connection.peer.name, 1, i1=4).full())
        mesh.abort_connections()
        assert (
            not any(connection.open for connection in connections)
            and not mesh._connections
            and not mesh.exchange.zone_loads
        )
        assert [news.loads for news in updates[-2:]] == [{"a-2": {"1": 0}}, {"a-3": {"1": 0}}]

    run(scenario)


# ---- incarnations and name tables


def exchange() -> LoadExchange:
    return LoadExchange("a-1", "10.0.0.1", "a", 50, TwoServices())


def test_report_of_another_incarnation_on_a_connection_is_dropped() -> None:
    e = exchange()
    e.receive(0.0, PeerIngress("a-2", 2, i1=1).full(), "a-2", "a", 2)
    e.receive(0.1, PeerIngress("a-2", 1, i1=9).full(), "a-2", "a", 2)
    assert e.zone_peers["a-2"].loads == {"1": 1} and e.zone_peers["a-2"].incarnation == 2


def test_relayed_report_of_old_incarnation_does_not_replace_direct_one() -> None:
    """a-2 has restarted with its clock set back; a-3 has not noticed and connects to a-1."""
    e, before, now = exchange(), PeerIngress("a-2", 9_000, i1=7), PeerIngress("a-2", 4_000, i2=1)
    third = LoadExchange("a-3", "10.0.0.3", "a", 9, TwoServices())
    third.receive(0.0, before.full(), "a-2", "a", 9_000)
    e.receive(0.0, before.full(), "a-2", "a", 9_000)
    e.receive(0.1, now.full(), "a-2", "a", 4_000)
    now.change("2", 2)  # the first change has the full incarnation, later ones its last digits only
    e.receive(0.2, third.full_state(0.2, "a-1", False), "a-3", "a", 9)
    assert e.zone_peers["a-2"].loads == {"2": 1}
    e.receive(0.3, now.change("2", 5), "a-2", "a", 4_000)
    assert e.zone_peers["a-2"].loads == {"2": 5} == e.zone_loads


def test_relayed_report_is_accepted_for_disconnected_ingress() -> None:
    e, other = exchange(), PeerIngress("a-2", 1, i1=7)
    e.receive(0.0, other.full(), "a-2", "a", 1)
    e.expire(0.1, "a-2")
    third = LoadExchange("a-3", "10.0.0.3", "a", 9, TwoServices())
    third.receive(0.0, other.full(), "a-2", "a", 1)
    e.receive(0.2, third.full_state(0.2, "a-1", False), "a-3", "a", 9)
    assert e.zone_peers["a-2"].loads == {"1": 7}


def test_name_table_of_old_incarnation_is_not_used_for_new_one() -> None:
    e = exchange()
    e.receive(0.0, PeerIngress("a-2", 1, i1=1, i2=2, i3=3).full(), "a-2", "a", 1)
    late = Shares([Share(0, 2, [1, 8, 2, 8, 3, 8], life=2)])  # arrives before the name table
    e.receive(0.1, late, "a-2", "a", 2)
    assert all(count != 8 for count in e.zone_loads.values())


def test_names_after_a_gap_in_the_table_are_not_confused() -> None:
    e = exchange()
    e.receive(0.0, Shares([Share(0, 1, [1, 4], life=1)], 0, ["a-2", "1"], True), "a-2", "a", 1)
    e.receive(0.1, Shares([Share(0, 1, [4, 6])], 4, ["3"]), "a-2", "a", 1)  # 2 and 3 were never received
    e.receive(0.2, Shares([Share(0, 1, [2, 9])]), "a-2", "a", 1)
    assert e.zone_peers["a-2"].loads == {"1": 4, "3": 6}


def test_full_report_on_second_connection_keeps_names_of_first() -> None:
    e, other = exchange(), PeerIngress("a-2", 1, i1=1)
    e.receive(0.0, other.full(), "a-2", "a", 1)
    second = other.full()  # in transit
    e.receive(0.1, other.change("2", 2), "a-2", "a", 1)
    e.receive(0.2, second, "a-2", "a", 1)
    e.receive(0.3, other.change("2", 5), "a-2", "a", 1)
    assert e.zone_peers["a-2"].loads["2"] == 5


# ---- quotas between processes of different versions


def test_ingress_without_lease_support_is_excluded_from_leases() -> None:
    def scenario(mesh: PeerMesh, updates: list[LoadUpdate]) -> None:
        reported: list[Peers] = []
        mesh._peers_changed = reported.append
        before = FakeConnection(mesh, "a-2", 5).connect()
        after = FakeConnection(mesh, "a-3", 6)
        after.peer = Hello(INGRESS_ROLE, "a-3", "10.0.0.9", "a", 6, leases=True)
        after.connect()
        assert reported[-1].zone_peers == {"a-3"}
        mesh.set_busy(True)
        assert QuotaStatus(True) in after.sent and not any(isinstance(m, QuotaStatus) for m in before.sent)
        old = b'{"t":"shares","entries":[[0,5,[1,3],[2,70],5,0]],"base":0,"names":["a-2","1","t"],"full":true,"level":{"t":3.5}}'
        before.receive(decode(old))
        assert peer_load(mesh) == {"1": 3}

    run(scenario)


def test_busy_status_is_retained_after_disconnect() -> None:
    def scenario(mesh: PeerMesh, updates: list[LoadUpdate]) -> None:
        reported: list[Peers] = []
        mesh._peers_changed = reported.append
        connection = FakeConnection(mesh, "a-2", 5)
        connection.peer = Hello(INGRESS_ROLE, "a-2", "10.0.0.9", "a", 5, leases=True)
        connection.connect().receive(QuotaStatus(True))
        assert reported[-1].busy == {"a-2"}
        connection.abort()
        assert reported[-1].busy == {"a-2"} and reported[-1].zone_peers == frozenset()
        again = FakeConnection(mesh, "a-2", 6)
        again.peer = Hello(INGRESS_ROLE, "a-2", "10.0.0.9", "a", 6, leases=True)
        again.connect()
        assert reported[-1].busy == frozenset() and reported[-1].zone_peers == {"a-2"}

    run(scenario)
