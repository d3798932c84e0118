"""Whom an ingress follows and which configuration it serves: every order of events, in virtual time."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from itertools import permutations, product
from pathlib import Path
from random import Random

import msgspec
import pytest
from test_three_programs import play
from whole import CONFIGURATION, Backend, Whole, call, good, until

from troutdock.proxy.daemon import Ingress
from troutdock.proxy.registry_watch import (
    AGAIN_S,
    BETTER_S,
    OTHERS_MOST,
    PATIENCE_S,
    SETTLE_S,
    SOON_S,
    STEP_S,
    Act,
    Cut,
    Dial,
    Follow,
    Following,
    Note,
    Ready,
    Serve,
    Serving,
    Shed,
    Step,
)
from troutdock.proxy.registry_connections import BEFORE_MOST, _Before
from troutdock.rpc.connection import CONNECT_TIMEOUT_S
from troutdock.rpc.messages import Config, Fresh, Silence, body_digest

WAY_S = 0.01  # a message's time, in the test's world
TICK_S = 0.05


@dataclass
class Site:
    """A registry. state: up, refuses or hangs."""

    zone: str
    state: str = "up"
    contact: bool = True
    links: set[int] = field(default_factory=set)


class World:
    """One ingress among registries; events at virtual times."""

    def __init__(self, sites: dict[str, Site], zone: str = "a", seeds: list[str] | None = None) -> None:
        self.now, self.sites = 100.0, sites
        self.following = Following("e-1", zone, seeds or list(sites))
        self.following.registries.update({ip: site.zone for ip, site in sites.items()})
        self.queue: list[tuple[float, int, str, int, str]] = []
        self.at: dict[int, str] = {}  # addresses by link
        self.kept: set[int] = set()  # links whose words are kept until they are followed
        self.followed: list[tuple[float, str]] = []
        self.dialled: list[tuple[float, str]] = []
        self.most = 0
        self._count = 0

    def later(self, seconds: float, what: str, number: int, ip: str) -> None:
        self._count += 1
        self.queue.append((self.now + seconds, self._count, what, number, ip))

    def do(self, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case Dial(number, ip):
                    self.at[number] = ip
                    self.kept.add(number)
                    self.dialled.append((self.now, ip))
                    if (state := self.sites[ip].state) != "hangs":
                        self.later(WAY_S, "met" if state == "up" else "ended", number, ip)
                case Follow(number):
                    assert number in self.kept, "what it said is gone"
                    self.followed.append((self.now, self.at[number]))
                case Shed(number):
                    self.kept.discard(number)
                case Cut(number):
                    self.sites[self.at.pop(number)].links.discard(number)
        self.most = max(self.most, len(self.at))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.queue.sort()
            ticks = self.now + TICK_S
            if self.queue and self.queue[0][0] <= min(ticks, until):
                self.now, _, what, number, ip = self.queue.pop(0)
                self.event(what, number, ip)
            else:
                self.now = min(ticks, until)
                self.do(self.following.tick(self.now))

    def event(self, what: str, number: int, ip: str) -> None:
        if number not in self.at:
            return
        site = self.sites[ip]
        if what == "met":
            if site.state != "up":
                return
            site.links.add(number)
            self.later(WAY_S, "told", number, ip)
            self.do(self.following.met(self.now, number, ip, site.zone))
        elif what == "told":
            self.do(self.following.told(self.now, number, site.contact))
        elif what == "ended":
            self.at.pop(number)
            self.do(self.following.ended(self.now, number))

    def contact(self, ip: str, contact: bool) -> None:
        site = self.sites[ip]
        site.contact = contact
        for number in site.links:
            self.later(WAY_S, "told", number, ip)

    def die(self, ip: str, state: str = "refuses") -> None:
        site = self.sites[ip]
        site.state = state
        for number in list(site.links):
            self.later(WAY_S, "ended", number, ip)
        site.links.clear()

    @property
    def place(self) -> str:
        return self.at.get(self.following.followed, "") if self.following.followed is not None else ""


def world(zones: str, states: str = "", contacts: str = "") -> World:
    """Registries 1, 2 and so on, by zone; u, r, h: up, refuses, hangs; y, n: in contact or not."""
    named = {"u": "up", "r": "refuses", "h": "hangs"}
    return World(
        {
            str(n + 1): Site(zone, named[(states or "u" * 9)[n]], (contacts or "y" * 9)[n] == "y")
            for n, zone in enumerate(zones)
        }
    )


# ---- whom to follow


def test_a_near_one_is_followed_at_once() -> None:
    w = world("bcad")
    w.run(0.1)
    assert w.place == "3" and len(w.dialled) == 1


@pytest.mark.parametrize("contacts", ["".join(c) for c in product("yn", repeat=4) if "y" in c])
@pytest.mark.parametrize("states", ["uuuu", "uhhu", "uhru", "hhhu", "uuhh"])
def test_one_out_of_contact_is_left_for_one_in_contact_in_the_stated_time(contacts: str, states: str) -> None:
    w = world("abcd", states)
    w.run(1.0)
    start = w.place
    for n, c in enumerate(contacts):
        w.contact(str(n + 1), c == "y")
    there = [str(n + 1) for n in range(4) if contacts[n] == "y" and states[n] == "u"]
    stated = PATIENCE_S + STEP_S * 2 + 3 * WAY_S + SETTLE_S + 3 * TICK_S
    w.run(WAY_S + stated)
    if start in there or not there:
        assert w.place == start and len(w.followed) == 1  # no good link is cut
    else:
        assert w.place in there


@pytest.mark.parametrize("states", ["".join(s) for s in product("uh", repeat=4) if "u" in s])
def test_addresses_that_hang_hold_up_no_look(states: str) -> None:
    w = world("abcd", states)
    w.run(STEP_S * 3 + 2 * WAY_S + 3 * TICK_S)
    assert w.place and w.sites[w.place].state == "up"


@pytest.mark.parametrize("states", ["uuuu", "uhhu", "uhru"])
def test_a_new_life_beside_one_out_of_contact_follows_one_in_contact_in_the_stated_time(states: str) -> None:
    w = world("abcd", states, "nnny")
    w.run(2 * WAY_S + SOON_S + 2 * STEP_S + 2 * WAY_S + SOON_S + 3 * TICK_S)
    assert w.place == "4"


def test_a_new_life_is_as_patient_as_others_once_it_has_followed_one_in_contact() -> None:
    w = world("ab")
    w.run(1.0)
    w.contact("1", False)
    w.run(PATIENCE_S - TICK_S)
    assert len(w.dialled) == 1
    w = world("ab", contacts="ny")
    w.run(1.0)
    assert w.place == "2" and len(w.dialled) == 2
    w.contact("2", False)
    w.run(PATIENCE_S - TICK_S)
    assert len(w.dialled) == 2


def test_while_none_is_in_contact_the_one_that_is_followed_stays_and_looks_are_cheap() -> None:
    w = world("abcd", contacts="nnnn")
    w.run(20.0)
    assert len(w.followed) == 1 and w.place == "1"
    assert len(w.dialled) == 4  # the others once: they stand by
    w.contact("3", True)
    w.run(WAY_S + SETTLE_S + 3 * WAY_S + 2 * TICK_S)
    assert w.place == "3" and len(w.at) == 1
    assert len(w.dialled) == 5  # it told its all anew, as nothing was kept of a standby


def test_dead_addresses_are_tried_once_a_second_while_none_is_in_contact() -> None:
    w = world("abcd", "urhr", "nnnn")
    w.run(10.0)
    tries = [ip for _, ip in w.dialled if ip != "1"]
    assert len(tries) <= 3 * (10.0 / AGAIN_S + 1)


def test_at_a_change_of_primaries_the_first_to_regain_contact_does_not_get_all_followers() -> None:
    w = world("abcd")
    w.run(1.0)
    for n in "1234":
        w.contact(n, False)
    w.run(1.5)
    w.contact("4", True)
    w.run(SETTLE_S / 2)
    for n in "123":
        w.contact(n, True)
    w.run(2.0)
    assert w.place == "1" and len(w.followed) == 1 and len(w.at) == 1


@pytest.mark.parametrize("contact", [True, False])
def test_a_link_to_another_zone_is_exchanged_for_a_near_one_only_if_that_is_in_contact(contact: bool) -> None:
    w = world("ab", "ru")
    w.run(1.0)
    assert w.place == "2"
    w.sites["1"].state, w.sites["1"].contact = "up", contact
    w.run(2 * BETTER_S + 1.0)
    assert (w.place == "1") is contact and len(w.at) == 1
    if not contact:
        assert len(w.followed) == 1
        w.contact("1", True)
        w.run(BETTER_S + 1.0)
        assert w.place == "1"


def test_one_that_dies_is_left_for_the_next_in_order_and_late_events_of_it_change_nothing() -> None:
    w = world("aabc")
    w.run(1.0)
    first = w.place
    number = w.following.followed
    assert number is not None
    w.die(first)
    w.run(0.3)
    assert w.place != first and w.sites[w.place].zone == "a"
    before = w.place
    for steps in (w.following.told(w.now, number, False), w.following.ended(w.now, number)):
        assert steps == []
    assert w.following.met(w.now, number, first, "a") == [Cut(number)]
    assert w.place == before


@pytest.mark.parametrize("seed", range(40))
def test_any_course_ends_at_one_in_contact_with_one_link_and_never_holds_many(seed: int) -> None:
    random = Random(seed)
    w = world("aabbccddeeff"[: random.randint(2, 12)], "u" * 12, "y" * 12)
    for _ in range(60):
        ip = random.choice(list(w.sites))
        match random.randrange(4):
            case 0:
                w.contact(ip, False)
            case 1:
                w.contact(ip, True)
            case 2:
                w.die(ip, random.choice(["refuses", "hangs"]))
            case 3:
                w.sites[ip].state = "up"
        w.run(random.random() * 2)
    assert w.most <= OTHERS_MOST + 2
    for ip, site in w.sites.items():
        site.state = "up"
        w.contact(ip, ip == "2")
    w.run(OTHERS_MOST * 0.3 + 15.0)
    assert w.place == "2" and w.sites["2"].contact
    for ip in w.sites:
        w.contact(ip, True)
    w.run(4 * BETTER_S)
    assert len(w.at) == 1 and w.sites[w.place].zone == "a"


def test_after_a_death_the_next_is_the_first_in_order_whatever_was_tried_before() -> None:
    w = world("aab")
    first, second, _ = w.following.order()
    w.die(first)
    w.run(5.0)
    assert w.place == second
    w.sites[first].state = "up"
    w.die(second)
    w.run(0.2)
    assert w.place == first


def test_a_near_address_that_hangs_is_tried_again_and_found() -> None:
    w = world("ab", "hu")
    w.run(3.0)
    assert w.place == "2"
    w.sites["1"].state = "up"
    w.run(CONNECT_TIMEOUT_S + BETTER_S + 0.5)
    assert w.place == "1"


def test_a_near_standby_that_regains_contact_with_the_followed_one_is_not_followed_on_words_that_are_gone() -> (
    None
):
    w = world("ab", "ru")
    w.run(1.0)
    w.sites["1"].state = "up"
    for ip in "12":
        w.contact(ip, False)
    w.run(1.0)
    assert len(w.at) == 2 and w.place == "2"
    w.contact("1", True)
    w.run(SETTLE_S / 2)
    w.contact("2", True)
    w.run(BETTER_S * 2 + 0.5)
    assert w.place == "1"  # after a look of its own


@pytest.mark.parametrize("which", range(2, 13))
def test_of_more_registries_than_may_be_linked_each_has_its_turn(which: int) -> None:
    w = world("abcdefghijkl", "u" * 12, "n" * 12)
    w.run(5.0)
    assert w.place == "1" and len(w.at) <= OTHERS_MOST + 1
    w.contact(str(which), True)
    w.run(12.0)
    assert w.place == str(which)


def test_in_contact_and_near_nothing_is_due_until_something_happens() -> None:
    w = world("abcd")
    w.run(1.0)
    assert w.following.wait(w.now) > 1e9
    w.contact("1", False)
    w.run(0.1)
    assert w.following.wait(w.now) <= STEP_S


def test_what_a_link_has_said_that_is_not_followed_is_bounded() -> None:
    before = _Before()
    for version in range(1000):
        assert before.add(Config(version, msgspec.Raw(b"{}")))
    assert before.messages == [Config(999, msgspec.Raw(b"{}"))]
    for _ in range(BEFORE_MOST - 1):
        assert before.add(Silence([], []))
    assert not before.add(Silence([], []))
    assert len(before.messages) == BEFORE_MOST


# ---- which configuration is served

CONTACT_S = 3.0


def config(version: int, digest: str = "") -> Config:
    return Config(version, msgspec.Raw(b"{}"), digest or f"d{version}")


class Life:
    """One life's Serving, with what it has served, logged and become."""

    def __init__(self) -> None:
        self.serving = Serving(0.0, CONTACT_S)
        self.served: list[tuple[int, str]] = []
        self.notes: list[str] = []

    def do(self, acts: list[Act], readable: bool = True) -> None:
        for act in acts:
            match act:
                case Serve(c):
                    assert c.version >= self.serving.version, "goes back"
                    if readable:
                        self.served.append((c.version, c.digest))
                    self.do(self.serving.served(c, readable))
                case Note(level, _):
                    self.notes.append(level)
                case Ready():
                    pass

    def config(self, at: float, version: int, digest: str = "", readable: bool = True) -> None:
        self.do(self.serving.config(at, config(version, digest)), readable)

    def fresh(self, at: float, contact: bool, version: int, digest: str = "") -> None:
        self.do(self.serving.fresh(at, Fresh(contact, version, digest or f"d{version}")))

    def tick(self, at: float) -> None:
        self.do(self.serving.tick(at))


def test_in_contact_it_is_ready_and_serves_as_soon_as_it_is_told() -> None:
    life = Life()
    life.config(0.1, 5)
    assert not life.served and not life.serving.ready  # it may be old
    life.fresh(0.1, True, 5)
    assert life.served == [(5, "d5")] and life.serving.ready
    life.config(0.2, 6)
    assert life.served[-1] == (6, "d6")


def test_out_of_contact_nothing_is_served_until_contact_s_after_the_start_and_it_is_said_once() -> None:
    life = Life()
    life.config(0.1, 5)
    life.fresh(0.1, False, 5)
    life.tick(CONTACT_S - 0.01)
    assert life.served == []
    life.tick(CONTACT_S)
    life.tick(CONTACT_S + 1)
    life.config(CONTACT_S + 1, 6)
    assert life.served == [(5, "d5"), (6, "d6")] and life.notes == ["warning"] and not life.serving.ready
    life.fresh(CONTACT_S + 2, True, 6)
    assert life.serving.ready


def test_the_highest_that_any_registry_told_is_what_is_served_then() -> None:
    life = Life()
    for version in (4, 7, 5):
        life.serving.followed()
        life.config(0.5, version)
        life.fresh(0.5, False, version)
        life.serving.lost()
    life.tick(CONTACT_S)
    assert life.served == [(7, "d7")]


def test_a_held_one_that_a_registry_in_contact_does_not_know_is_not_served() -> None:
    life = Life()
    life.config(0.1, 9)
    life.fresh(0.1, False, 9)
    life.serving.followed()
    life.config(0.2, 8)
    life.fresh(0.2, True, 8)
    assert life.served == [(8, "d8")] and life.serving.ready
    life.tick(CONTACT_S + 1)
    assert life.served == [(8, "d8")]


def test_once_in_contact_it_never_serves_what_is_told_out_of_contact() -> None:
    life = Life()
    life.config(0.1, 5)
    life.fresh(0.1, True, 5)
    life.fresh(4.0, False, 5)
    life.config(4.1, 6)
    life.tick(9.0)
    assert life.served == [(5, "d5")] and life.serving.ready
    life.fresh(9.1, True, 6)
    assert life.served == [(5, "d5"), (6, "d6")]


def test_who_has_served_an_old_one_serves_nothing_more_of_that_kind_once_in_contact() -> None:
    life = Life()
    life.config(0.1, 5)
    life.tick(CONTACT_S)
    life.fresh(4.0, True, 5)
    life.fresh(5.0, False, 5)
    life.config(5.1, 6)
    assert life.served == [(5, "d5")]


def test_one_that_is_below_the_newest_is_not_served_while_the_newest_is_on_its_way() -> None:
    life = Life()
    life.config(0.1, 5)
    life.fresh(0.1, True, 6)
    assert life.served == [] and not life.serving.ready
    life.config(0.3, 6)
    assert life.served == [(6, "d6")] and life.serving.ready


@pytest.mark.parametrize("order", list(permutations(["old", "stale", "new", "contact", "time"])))
def test_every_order_of_a_new_lifes_events(order: tuple[str, ...]) -> None:
    """old and stale are one registry's word, new and contact another's; each time it is followed anew."""
    life, at, now, heard = Life(), 0.0, "", False
    for event in order:
        at += 0.1
        source = {"old": "a", "stale": "a", "new": "b", "contact": "b"}.get(event, now)
        if source != now:
            life.serving.followed()
            now = source
        if event == "old":
            life.config(at, 5)
        elif event == "stale":
            life.fresh(at, False, 5)
        elif event == "new":
            life.config(at, 6)
        elif event == "contact":
            life.fresh(at, True, 6)
            heard = True
        else:
            at += CONTACT_S
            life.tick(at)
        versions = [version for version, _ in life.served]
        assert versions == sorted(versions)
        if at < CONTACT_S and not heard:
            assert not versions  # old words alone serve nothing that early
        assert not life.serving.ready or life.serving.version == 6
    assert life.notes.count("warning") <= 1


def test_the_same_version_and_digest_changes_nothing_and_another_digest_is_taken_once_and_in_contact_only() -> (
    None
):
    life = Life()
    life.config(0.1, 5, "x")
    life.fresh(0.1, True, 5, "x")
    life.config(0.2, 5, "x")
    assert life.served == [(5, "x")] and not life.notes
    life.fresh(1.0, False, 5, "x")
    life.config(1.1, 5, "y")
    assert life.served == [(5, "x")] and life.notes == ["error"]
    life.fresh(1.2, True, 5, "y")
    assert life.served == [(5, "x"), (5, "y")]
    for digest in ("x", "y", "x"):  # not back and forth
        life.config(2.0, 5, digest)
        life.fresh(2.0, True, 5, digest)
    assert life.served == [(5, "x"), (5, "y")]
    life.config(3.0, 6)
    assert life.served[-1] == (6, "d6")


def test_who_has_another_body_of_the_newest_version_is_not_ready() -> None:
    life = Life()
    life.config(0.1, 5, "x")
    life.fresh(0.1, False, 5, "x")
    life.tick(CONTACT_S)
    life.fresh(4.0, True, 5, "y")
    assert not life.serving.ready and "error" in life.notes
    life.config(4.1, 5, "y")
    assert life.serving.ready and life.served == [(5, "x"), (5, "y")]


def test_digests_that_are_not_told_match_any() -> None:
    serving = Serving(0.0, CONTACT_S)
    assert serving.config(0.1, Config(5, msgspec.Raw(b"{}"))) == []
    (serve,) = serving.fresh(0.1, Fresh(True, 5))
    assert isinstance(serve, Serve)
    assert serving.served(serve.config, True) == [Ready(5)]
    assert serving.config(0.2, config(5)) == [] and serving.fresh(0.2, Fresh(True, 5, "d5")) == []


def test_what_can_not_be_read_is_tried_once_and_does_not_make_ready() -> None:
    life = Life()
    life.config(0.1, 5)
    life.fresh(0.1, True, 5)
    life.config(0.2, 6, readable=False)
    life.fresh(0.2, True, 6)
    assert life.serving.config(0.3, config(6)) == [] and life.served == [(5, "d5")]
    fresh = Life()
    fresh.config(0.1, 6, readable=False)
    fresh.do(fresh.serving.fresh(0.1, Fresh(True, 6, "d6")), readable=False)
    assert not fresh.serving.ready and fresh.served == []


def test_who_stood_still_wants_no_clients_until_one_in_contact_is_heard_or_contact_s_is_over() -> None:
    for heard in (True, False):
        life = Life()
        life.config(0.1, 5)
        life.fresh(0.1, True, 5)
        life.serving.woke(30.0)
        assert not life.serving.ready
        life.fresh(30.1, False, 5)
        life.tick(30.1)
        assert not life.serving.ready
        if heard:
            life.fresh(30.2, True, 5)
        else:
            life.tick(30.0 + CONTACT_S)  # the core is gone: to refuse all helps nobody
        assert life.serving.ready and life.served == [(5, "d5")]


def test_stated_times_lie_within_contact_s() -> None:
    assert PATIENCE_S + 3 * STEP_S + SETTLE_S + CONNECT_TIMEOUT_S < CONTACT_S / 2


# ---- the loop round it, over sockets


def cut_off(w: Whole, ip: str, contact: bool = False) -> None:
    """That registry loses its primary, or has one again."""
    registry = w.registries[ip]
    config = registry.registry.config
    told = Fresh(True, config.version, config.digest) if contact and config is not None else None
    registry._perform(registry.registry.set_primary_status(registry._loop.time(), told))


async def whole_and_served(w: Whole) -> None:
    assert await w.put() == 200
    await w.ready()
    await until(lambda: all(len(i.feed.registries) == 3 for i in w.ingresses.values()))


def follows(ingress: Ingress) -> str:
    link = ingress.feed._link
    return link.peer.ip if link is not None and link.peer is not None else ""


async def backend_there(w: Whole) -> Backend:
    backend = Backend("i-1", good)
    await backend.start()
    assert await w.beat(backend) == 200
    return backend


def test_a_registry_out_of_contact_is_left_and_what_was_learnt_stays(tmp_path: Path) -> None:
    async def story(w: Whole) -> None:
        await backend_there(w)
        await whole_and_served(w)
        ingress = w.ingresses[w.edge[0]]
        before = follows(ingress)
        cut_off(w, before)
        await until(lambda: follows(ingress) not in ("", before), 3.0)
        assert ingress.ready and ingress.serving.contact and ingress.book.entries["i-1"].state == 0
        await until(lambda: len(ingress.feed._links) == 1, 3.0)

    play(tmp_path, story)


def test_with_none_in_contact_the_link_stays_and_a_configuration_waits_for_contact(tmp_path: Path) -> None:
    async def story(w: Whole) -> None:
        await backend_there(w)
        await whole_and_served(w)
        ingress = w.ingresses[w.edge[0]]
        link = ingress.feed._link
        for ip in w.core:
            cut_off(w, ip)
        await until(lambda: len(ingress.feed._links) == 3, 3.0)  # the others stand by
        assert ingress.feed._link is link and not ingress.feed._before
        # word of a newer order, by a registry that has lost the majority: it may never have been kept
        registry = w.registries[follows(ingress)]
        registry._perform(
            registry.registry.apply_config(
                Config(9, msgspec.Raw(json.dumps({**CONFIGURATION, "revision": "r9"}).encode()))
            )
        )
        await until(lambda: ingress.serving._held is not None, 3.0)
        assert ingress.reader.table is not None and ingress.reader.table.version == 5 and ingress.ready
        cut_off(w, follows(ingress), True)
        await until(lambda: ingress.reader.table.version == 9, 3.0)

    play(tmp_path, story)


def test_a_new_life_in_a_cut_off_place_refuses_until_contact_s_is_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("troutdock.proxy.daemon.DOOR_S", 0.05)

    async def story(w: Whole) -> None:
        await backend_there(w)
        await whole_and_served(w)
        for ip in w.core:
            cut_off(w, ip)
            for store in w.registries[ip]._stores.values():
                store.close()
            cut_off(w, ip)
        ingress = w.ingresses.pop(w.edge[1])
        ingress.server.drain_accept_s = ingress.server.drain_most_s = 0.0
        await ingress.end(5.0)
        again = await w.start_ingress(w.edge[1])
        await until(lambda: again.serving._held is not None and "i-1" in again.book.entries)
        asked = ("GET", "/read/", b"", "Key: key", "Attempt-Id: c1")
        status, headers, _ = await call(w.http(w.edge[1]), *asked)
        assert status == 503 and float(headers["retry-after"]) > 0
        again.serving.began_at -= again.serving.contact_s  # its time is over
        again._tick_serving()
        assert (await call(w.http(w.edge[1]), *asked))[0] == 200
        assert not again.ready
        cut_off(w, follows(again), True)
        await until(lambda: again.ready, 3.0)

    play(tmp_path, story)


def test_who_stood_still_has_new_links_and_is_ready_once_it_has_heard(tmp_path: Path) -> None:
    async def story(w: Whole) -> None:
        await backend_there(w)
        await whole_and_served(w)
        ingress = w.ingresses[w.edge[0]]
        await until(lambda: ingress.mesh._links)
        old = [ingress.feed._link, *ingress.mesh._links]
        ingress._sampled_at -= 20.0  # as a sample after a freeze finds it
        ingress._sample()
        assert not any(link.open for link in old if link is not None) and not ingress.ready
        await until(lambda: ingress.ready and ingress.mesh._links, 5.0)
        assert ingress.feed._link not in old and ingress.serving.contact

    play(tmp_path, story)


def test_two_bodies_of_one_version_are_mended_by_the_one_in_contact_and_told_apart_before_they_are_read(
    tmp_path: Path,
) -> None:
    async def story(w: Whole) -> None:
        await backend_there(w)
        await whole_and_served(w)
        ingress = w.ingresses[w.edge[0]]
        ingress.serving.digest = "another"
        body = msgspec.Raw(
            json.dumps(
                {
                    **CONFIGURATION,
                    "routes": {**CONFIGURATION["routes"], "rows": CONFIGURATION["routes"]["rows"][:1]},
                }
            ).encode()
        )
        digest = body_digest(body)
        ingress._heard(Config(5, msgspec.Raw(b"not even JSON"), "another"))  # the same: not read at all
        ingress._heard(Fresh(True, 5, digest))
        ingress._heard(Config(5, body, digest))
        assert (
            ingress.reader.table is not None
            and len(ingress.reader.table.settings.classes) < 3
            and ingress.serving.digest == digest
        )
        ingress._heard(Config(5, msgspec.Raw(json.dumps(CONFIGURATION).encode()), "third"))
        assert ingress.serving.digest == digest and ingress.ready

    play(tmp_path, story)
