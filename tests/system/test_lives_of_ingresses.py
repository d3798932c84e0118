"""What an ingress tells counts for the life and the connection that it belongs to, and for no other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from proxy_fleet import TwoServices

from troutdock.settings.boot import parse_boot
from troutdock.proxy.peer_connections import ROLE, Mesh
from troutdock.proxy.load_exchange import LoadExchange, LoadUpdate
from troutdock.rpc.messages import Hello, Member, Members, Message, QuotaStatus, Share, Shares, decode
from troutdock.quota.routes import Peers


class Wire:
    """A link as the mesh sees it."""

    def __init__(self, mesh: Mesh, name: str, life: int, zone: str = "a", ip: str = "10.0.0.9") -> None:
        self.mesh, self.peer = mesh, Hello(ROLE, name, ip, zone, life)
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
            self.mesh._down(self)  # type: ignore[arg-type]

    def up(self, expected: str = "") -> Wire:
        self.mesh._up(self, expected)  # type: ignore[arg-type]
        return self

    def says(self, message: Message) -> None:
        self.mesh._heard(self, message)  # type: ignore[arg-type]


class Other:
    """Another ingress's exchange, and what it tells."""

    def __init__(self, name: str, life: int, **out: int) -> None:
        self.exchange = LoadExchange(name, "10.0.0.9", "a", life, TwoServices())
        for instance, count in out.items():
            self.exchange.set_load(instance.removeprefix("i"), count)

    def full(self) -> Shares:
        return self.exchange.full_state(0.0, "a-1", False)

    def change(self, instance: str, count: int) -> Shares:
        self.exchange.set_load(instance, count)
        shares = self.exchange.zone_update()
        assert shares is not None
        return shares


def play(story: Callable[[Mesh, list[LoadUpdate]], None]) -> None:
    async def whole() -> None:
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
        heard: list[LoadUpdate] = []
        mesh = Mesh(
            boot, Hello(ROLE, "a-1", "10.0.0.1", "a", 50), heard.append, lambda *_: None, TwoServices()
        )
        mesh._closed = True  # nobody is dialled
        story(mesh, heard)

    asyncio.run(whole())


def out_of(mesh: Mesh, name: str = "a-2") -> dict[str, int]:
    return dict(mesh.exchange.zone_peers[name].loads) if name in mesh.exchange.zone_peers else {}


# ---- connections


def test_the_late_end_of_a_former_lifes_link_takes_nothing_of_the_new_life_away() -> None:
    def story(mesh: Mesh, _: list[LoadUpdate]) -> None:
        old = Wire(mesh, "a-2", 1).up()
        old.says(Other("a-2", 1, i1=4).full())
        new = Wire(mesh, "a-2", 2).up()
        new.says(Other("a-2", 2, i1=1, i2=3).full())
        old.abort()  # silent for a second, by then
        assert out_of(mesh) == {"1": 1, "2": 3} == mesh.exchange.zone_loads

    play(story)


def test_the_end_of_one_of_two_links_of_a_life_takes_nothing_away_and_the_last_ones_does() -> None:
    def story(mesh: Mesh, _: list[LoadUpdate]) -> None:
        links = [Wire(mesh, "a-2", 1).up() for _ in range(2)]  # both have dialled
        other = Other("a-2", 1, i1=4)
        for link in links:
            link.says(other.full())
        links[0].abort()
        assert out_of(mesh) == {"1": 4}
        links[1].abort()
        assert out_of(mesh) == {} == mesh.exchange.zone_loads

    play(story)


def test_words_on_a_former_lifes_link_are_dropped_and_the_link_ends() -> None:
    def story(mesh: Mesh, _: list[LoadUpdate]) -> None:
        before, now = Other("a-2", 1, i1=4), Other("a-2", 2, i2=2)
        old = Wire(mesh, "a-2", 1).up()
        old.says(before.full())
        new = Wire(mesh, "a-2", 2).up()
        assert not old.open and new.open
        new.says(now.full())
        old.says(before.change("3", 9))
        old.says(before.full())
        assert out_of(mesh) == {"2": 2}
        new.says(now.change("1", 1))
        assert out_of(mesh) == {"1": 1, "2": 2}

    play(story)


def test_a_connection_of_a_former_life_that_comes_late_does_not_displace_the_life_that_is_listed() -> None:
    def story(mesh: Mesh, _: list[LoadUpdate]) -> None:
        mesh.exchange.update_members(0.0, [Member("a-2", "10.0.0.9", 7000, "a", 2)], (), True)
        new = Wire(mesh, "a-2", 2).up()
        new.says(Other("a-2", 2, i2=2).full())
        late = Wire(mesh, "a-2", 1).up()
        late.says(Other("a-2", 1, i1=7).full())
        assert new.open and not late.open and out_of(mesh) == {"2": 2}

    play(story)


def test_a_new_life_whose_clock_was_set_back_is_taken_once_the_former_link_or_its_listing_is_gone() -> None:
    def story(mesh: Mesh, _: list[LoadUpdate]) -> None:
        mesh.exchange.update_members(0.0, [Member("a-2", "10.0.0.9", 7000, "a", 9)], (), True)
        old = Wire(mesh, "a-2", 9).up()
        old.says(Other("a-2", 9, i1=4).full())
        assert not Wire(mesh, "a-2", 5).up().open  # it may be late; it tries again
        mesh.listed(Members([Member("a-2", "10.0.0.9", 7000, "a", 5)], [], True))
        new = Wire(mesh, "a-2", 5).up()
        new.says(Other("a-2", 5, i2=1).full())
        assert new.open and not old.open and out_of(mesh) == {"2": 1}

    play(story)


def test_another_ingress_at_the_address_that_was_dialled_is_not_taken_for_the_one_that_was() -> None:
    def story(mesh: Mesh, _: list[LoadUpdate]) -> None:
        taken = Wire(mesh, "a-7", 3)
        taken.up("a-2")
        assert not taken.open and taken not in mesh._links
        own = Wire(mesh, "a-7", 3).up("a-7")
        own.says(Other("a-7", 3, i1=2).full())
        assert own.open and out_of(mesh, "a-7") == {"1": 2} and "a-2" not in mesh.exchange.zone_peers

    play(story)


def test_a_link_of_ones_own_name_is_a_former_lifes_and_ends() -> None:
    def story(mesh: Mesh, _: list[LoadUpdate]) -> None:
        link = Wire(mesh, "a-1", 49).up()
        link.says(Other("a-1", 49, i1=2).full())
        assert not link.open and not mesh._links and not mesh.exchange.zone_loads

    play(story)


def test_who_stood_still_cuts_every_link_and_counts_nothing_that_it_had_heard() -> None:
    def story(mesh: Mesh, heard: list[LoadUpdate]) -> None:
        links = [Wire(mesh, name, 1).up() for name in ("a-2", "a-3")]
        for link in links:
            link.says(Other(link.peer.name, 1, i1=4).full())
        mesh.renew()
        assert not any(link.open for link in links) and not mesh._links and not mesh.exchange.zone_loads
        assert [news.loads for news in heard[-2:]] == [{"a-2": {"1": 0}}, {"a-3": {"1": 0}}]

    play(story)


# ---- lives and tables


def exchange() -> LoadExchange:
    return LoadExchange("a-1", "10.0.0.1", "a", 50, TwoServices())


def test_another_lifes_word_of_itself_on_a_link_is_dropped() -> None:
    e = exchange()
    e.receive(0.0, Other("a-2", 2, i1=1).full(), "a-2", "a", 2)
    e.receive(0.1, Other("a-2", 1, i1=9).full(), "a-2", "a", 2)
    assert e.zone_peers["a-2"].loads == {"1": 1} and e.zone_peers["a-2"].incarnation == 2


def test_second_hand_word_of_a_former_life_with_a_higher_number_does_not_displace_ones_own_neighbour() -> (
    None
):
    """a-2 has restarted with its clock set back; a-3 has not noticed, and links up with us."""
    e, before, now = exchange(), Other("a-2", 9_000, i1=7), Other("a-2", 4_000, i2=1)
    third = LoadExchange("a-3", "10.0.0.3", "a", 9, TwoServices())
    third.receive(0.0, before.full(), "a-2", "a", 9_000)
    e.receive(0.0, before.full(), "a-2", "a", 9_000)
    e.receive(0.1, now.full(), "a-2", "a", 4_000)
    now.change("2", 2)  # the first change names its life, those after it the last digits only
    e.receive(0.2, third.full_state(0.2, "a-1", False), "a-3", "a", 9)
    assert e.zone_peers["a-2"].loads == {"2": 1}
    e.receive(0.3, now.change("2", 5), "a-2", "a", 4_000)
    assert e.zone_peers["a-2"].loads == {"2": 5} == e.zone_loads


def test_of_who_is_not_linked_any_more_others_word_is_taken() -> None:
    e, other = exchange(), Other("a-2", 1, i1=7)
    e.receive(0.0, other.full(), "a-2", "a", 1)
    e.expire(0.1, "a-2")
    third = LoadExchange("a-3", "10.0.0.3", "a", 9, TwoServices())
    third.receive(0.0, other.full(), "a-2", "a", 1)
    e.receive(0.2, third.full_state(0.2, "a-1", False), "a-3", "a", 9)
    assert e.zone_peers["a-2"].loads == {"1": 7}


def test_a_new_lifes_table_begins_anew_and_numbers_of_the_former_ones_name_nothing() -> None:
    e = exchange()
    e.receive(0.0, Other("a-2", 1, i1=1, i2=2, i3=3).full(), "a-2", "a", 1)
    late = Shares([Share(0, 2, [1, 8, 2, 8, 3, 8], life=2)])  # before its table has come
    e.receive(0.1, late, "a-2", "a", 2)
    assert all(count != 8 for count in e.zone_loads.values())


def test_names_beyond_a_gap_in_the_table_are_not_taken_for_others() -> None:
    e = exchange()
    e.receive(0.0, Shares([Share(0, 1, [1, 4], life=1)], 0, ["a-2", "1"], True), "a-2", "a", 1)
    e.receive(0.1, Shares([Share(0, 1, [4, 6])], 4, ["3"]), "a-2", "a", 1)  # 2 and 3 were never told here
    e.receive(0.2, Shares([Share(0, 1, [2, 9])]), "a-2", "a", 1)
    assert e.zone_peers["a-2"].loads == {"1": 4, "3": 6}


def test_a_second_links_full_does_not_take_names_away_that_the_first_has_told() -> None:
    e, other = exchange(), Other("a-2", 1, i1=1)
    e.receive(0.0, other.full(), "a-2", "a", 1)
    second = other.full()  # on its way
    e.receive(0.1, other.change("2", 2), "a-2", "a", 1)
    e.receive(0.2, second, "a-2", "a", 1)
    e.receive(0.3, other.change("2", 5), "a-2", "a", 1)
    assert e.zone_peers["a-2"].loads["2"] == 5


# ---- quotas among processes of different versions


def test_processes_of_before_the_leases_are_heard_and_take_no_part_in_them() -> None:
    def story(mesh: Mesh, heard: list[LoadUpdate]) -> None:
        told: list[Peers] = []
        mesh._peers_changed = told.append
        before = Wire(mesh, "a-2", 5).up()
        after = Wire(mesh, "a-3", 6)
        after.peer = Hello(ROLE, "a-3", "10.0.0.9", "a", 6, leases=True)
        after.up()
        assert told[-1].zone_peers == {"a-3"}
        mesh.set_busy(True)
        assert QuotaStatus(True) in after.sent and not any(isinstance(m, QuotaStatus) for m in before.sent)
        old = b'{"t":"shares","entries":[[0,5,[1,3],[2,70],5,0]],"base":0,"names":["a-2","1","t"],"full":true,"level":{"t":3.5}}'
        before.says(decode(old))
        assert out_of(mesh) == {"1": 3}

    play(story)


def test_a_busy_ingress_is_known_to_be_so_for_a_while_after_its_link_has_ended() -> None:
    def story(mesh: Mesh, heard: list[LoadUpdate]) -> None:
        told: list[Peers] = []
        mesh._peers_changed = told.append
        wire = Wire(mesh, "a-2", 5)
        wire.peer = Hello(ROLE, "a-2", "10.0.0.9", "a", 5, leases=True)
        wire.up().says(QuotaStatus(True))
        assert told[-1].busy == {"a-2"}
        wire.abort()
        assert told[-1].busy == {"a-2"} and told[-1].zone_peers == frozenset()
        again = Wire(mesh, "a-2", 6)
        again.peer = Hello(ROLE, "a-2", "10.0.0.9", "a", 6, leases=True)
        again.up()
        assert told[-1].busy == frozenset() and told[-1].zone_peers == {"a-2"}

    play(story)
