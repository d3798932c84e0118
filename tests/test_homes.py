"""Quotas over large fleets: homes that are asked and told, judged by the customers' true stores."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import pytest
from build import START, gateway, request
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from lab.gateways import Counter
from lab.quotas import PLANS, Account, Quotas, customers
from troutdock.admission import Gateway, snapshot
from troutdock.admission.owner_query_codec import PARTS, STEPS, Answer, Question, read_answer, read_question
from troutdock.admission.bucket_replication import COPY_MS, FRESH, NOBODY, Copies
from troutdock.admission.usage_digest_codec import write
from troutdock.admission.bucket_owner import CROWD, REPEAT_MS, Homes
from troutdock.admission.interface import (
    CounterAdd,
    PeerMessage,
    Plan,
    Refuse,
    RequestWithdrawn,
    Send,
    Settings,
    AttemptSettled,
    SendToPeer,
)
from troutdock.admission.owner_queries import DEAF, PROBE_MS, RANKS, TRIES, Questions

PLAN = Plan(1.6, 16.0, name="basis")
FILL = PLAN.rate / PLAN.burst


class Alone(Gateway):
    """A gateway that reaches no home."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.queries.on = False


# ---- fleets, judged by the true stores


@pytest.mark.parametrize(
    ("gateways", "count", "counter"), [(40, 50, None), (200, 60, None), (200, 60, Counter(500, 40.0))]
)
def test_quotas_are_used_and_held_for_few_bytes_and_without_the_counter(
    gateways: int, count: int, counter: Counter | None
) -> None:
    """Silent or slow, it is hardly asked."""
    f = Quotas(gateways, customers(gateways, count, Random(1)), 1, counter=counter)
    f.play(20)
    j = f.judgement(20)
    assert j.over_use < 0.03 and j.wrong_refusals < 0.06 and j.served_of_fair > 0.93 and not j.ceiling_passed
    assert j.bytes_per_try < 4 * 15 and j.calls_per_try < 0.01 and j.most_taken_in_per_s < 100


def test_the_same_fleet_without_homes_passes_its_quotas() -> None:
    """The judgement can fail, both ways: the counter is silent, so each gateway goes by what it knows itself."""
    f = Quotas(200, customers(200, 60, Random(1)), 1, make=Alone)
    f.play(20)
    j = f.judgement(20)
    assert j.over_use > 0.05 and j.wrong_refusals > 0.2 and j.served_of_fair < 0.9


def hard(gateways: int, width: int, times: float = 4.0) -> list[Account]:
    return [Account(n * 7919, 0, n * 3 % gateways, width, times) for n in range(1, 9)]


def mass_death(f: Quotas) -> None:
    f.play(10)
    dead = range(0, 100, 10)
    for index in [n for tens in dead for n in range(tens, tens + 7)]:
        f.kill(index)
    f.play(3)
    for index in [n for tens in dead for n in range(tens, tens + 7)]:
        f.restart(index)
    f.play(10)


def cut_in_two(f: Quotas) -> None:
    f.play(10)
    f.reaches = lambda sender, other: sender % 2 == other % 2
    f.play(6)
    f.reaches = lambda sender, other: True
    f.play(7)


@pytest.mark.parametrize(
    ("trouble", "bursts", "rates"),
    [
        (mass_death, 3.0, 0.0),  # a burst more at each move of a home: away, and back; RANKS of them at most
        (cut_in_two, 3.0, 6.0),  # and while there are two halves, what one more quota gives
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_moves_of_homes_let_through_no_more_than_is_stated(
    trouble: object, bursts: float, rates: float, seed: int
) -> None:
    f = Quotas(100, hard(100, 80), seed, counter=Counter(500))
    trouble(f)  # type: ignore[operator]
    for account in f.accounts:
        plan = PLANS[account.plan]
        assert account.beyond <= bursts * plan.burst + rates * plan.rate + 0.05 * account.inside
        assert account.inside > 0.8 * (plan.burst + 23 * plan.rate)


@pytest.mark.parametrize("way_ms", [1.0, 40.0])
def test_calls_of_the_counter_after_a_mass_death_are_those_of_tries_that_reach_no_home(way_ms: float) -> None:
    """A try whose homes are all dead, and what it settles afterwards, also where the counter answers just in time."""
    f = Quotas(100, customers(100, 120, Random(3)), 1, counter=Counter(500, way_ms))
    mass_death(f)
    assert 0 < f.judgement(23).most_calls_per_s < 2 * 0.7**RANKS * f.tries / 23


@examples(max_examples=12)
@given(
    st.integers(0, 10_000),
    st.floats(0.0, 0.6),
    st.lists(st.tuples(st.integers(0, 19), st.booleans()), max_size=6),
)
def test_no_loss_or_restart_loses_quota_or_passes_a_ceiling(
    seed: int, loss: float, moves: list[tuple[int, bool]]
) -> None:
    """Whatever is lost, a customer at half of its rate is served, and one far beyond it gets what it has at least."""
    calm, plus = Account(1, 0, 18, 20, 0.5), Account(2, 2, 19, 4, 3.0)  # both sets wrap round the last number
    f = Quotas(20, [calm, plus], seed, counter=Counter(500), loss=loss)
    for index, dies in moves:
        f.play(1)
        f.kill(index) if dies else f.restart(index)
    f.play(10 - len(moves))
    f.time.run(f.time.now + 5000)
    assert f.judgement(10).ceiling_passed <= 0
    assert calm.beyond <= 0.2 * calm.asked + 6 and calm.refused_with_room <= 0.35 * calm.asked + 6
    assert plus.inside + plus.beyond >= 0.2 * min(plus.asked, 10 * PLANS[2].rate)


# ---- one gateway


def one(index: int = 0, gateways: int = 200, **changes: object) -> Gateway:
    return gateway(
        *range(1, 41),
        gateways=gateways,
        index=index,
        plans=(PLAN,),
        counter=True,
        counter_timeout_ms=50.0,
        **{"peers": True, "peer_in_per_s": 100.0, "most_units": 8, **changes},
    )


@pytest.mark.parametrize(
    ("gateways", "intake", "on"),
    [
        (1, 100.0, False),
        (3, 100.0, False),
        (16, 100.0, False),
        (18, 100.0, True),
        (40, 100.0, True),
        (1000, 100.0, True),
        (200, 0.0, False),
    ],
)
def test_homes_are_asked_where_digests_would_be_late(gateways: int, intake: float, on: bool) -> None:
    g = one(gateways=gateways, peer_in_per_s=intake)
    assert g.queries.on == on and (g.usage.every_ms == float("inf")) == (on or gateways == 1 or not intake)


def test_a_customer_of_one_gateway_has_its_home_there() -> None:
    g = one()
    told = [a for n in range(9) for a in g.handle(START, request(n + 1, units=4.0, width=1))]
    assert not [a for a in told if isinstance(a, SendToPeer | CounterAdd)]
    assert len([a for a in told if isinstance(a, Send)]) == 4  # 16 units


def ask_of(actions: list[object]) -> tuple[int, int, Question]:
    (tell,) = [a for a in actions if isinstance(a, SendToPeer)]
    number, question = read_question(tell.body)
    return tell.gateway, number, question


@pytest.mark.parametrize(("granted", "level", "then"), [(True, 0.5, Send), (False, 0.1, Refuse)])
def test_a_held_try_goes_by_the_answer_and_nothing_is_asked_until_there_can_be_room(
    granted: bool, level: float, then: type
) -> None:
    g = one()
    home, number, question = ask_of(g.handle(START, request(1, units=4.0, width=150)))
    assert question.need == PARTS * 4 // 16 and question.told == 0 and question.most == 1.0
    done = g.handle(START + 20, PeerMessage(home, Answer(granted, level).bytes(number)))
    assert [type(a) for a in done] == [then]
    assert not g.handle(START + 21, PeerMessage(home, Answer(True, 1.0).bytes(number)))  # it came twice
    again = g.handle(START + 100, request(2, units=4.0, width=150))
    asked = [a for a in again if isinstance(a, SendToPeer)]
    assert bool(asked) == granted and bool([a for a in again if isinstance(a, Refuse)]) != granted
    assert [a for a in g.handle(START + 2000, request(3, units=4.0, width=150)) if isinstance(a, SendToPeer)]


def test_a_home_that_is_silent_is_asked_twice_then_the_next_and_last_the_counter() -> None:
    g = one()
    g.handle(START, PeerMessage(7, b"\x10\x00\x00\x00\x00"))
    seen, now = [], START
    actions = g.handle(now, request(1, units=4.0, width=150, left=4000.0))
    while not (counted := [a for a in actions if isinstance(a, CounterAdd)]) and now < START + 1500:
        seen += [(a.gateway, read_question(a.body)[0]) for a in actions if isinstance(a, SendToPeer)]
        now += 60.0
        actions = g.handle(
            now, PeerMessage(7, b"\x10\x00\x00\x00\x00")
        )  # others are heard, so it is not deaf
    homes = [home for home, _ in seen]
    assert counted and len(dict.fromkeys(homes)) == RANKS and len(homes) == RANKS * TRIES
    assert len(dict.fromkeys(seen)) == RANKS  # the same question at each home


def test_a_gateway_that_has_been_replaced_keeps_no_stores_and_ends_what_it_held() -> None:
    g = one()
    home, number, question = ask_of(g.handle(START, request(1, units=4.0, width=150)))
    snapshot.take(g)  # an upgrade: the state is another process's from here on
    assert not g.handle(START + 5, PeerMessage(9, question.bytes(5)))
    done = g.handle(START + 20, PeerMessage(home, Answer(True, 0.5).bytes(number)))
    assert [type(a) for a in done] == [Send, AttemptSettled]  # its units were taken: nobody else may use them
    assert [type(a) for a in g.handle(START + 30, request(2, units=4.0, width=150))] == [Refuse]
    successor = one()
    snapshot.restore(successor, snapshot.take(g))
    assert (
        ask_of(successor.handle(START + 60, request(3, units=4.0, width=150)))[2].most < 1.0
    )  # what it was told is known


def test_a_client_that_leaves_while_its_home_is_asked_has_its_units_given_back() -> None:
    g = one()
    home, number, _ = ask_of(g.handle(START, request(1, units=4.0, width=150)))
    g.handle(START + 5, RequestWithdrawn(1))
    back_home, _, back = ask_of(g.handle(START + 20, PeerMessage(home, Answer(True, 0.5).bytes(number))))
    assert back_home == home and back.told == -PARTS * 4 // 16 and back.need == 0


def test_a_width_that_changes_asks_the_new_home_with_what_the_old_one_told() -> None:
    g = one()
    home, number, _ = ask_of(g.handle(START, request(1, units=4.0, width=150)))
    g.handle(START + 20, PeerMessage(home, Answer(True, 0.3).bytes(number)))
    other, _, question = ask_of(g.handle(START + 100, request(2, units=1.0, width=90)))
    assert other != home and question.most == pytest.approx(0.3, abs=0.02)


def test_digests_of_an_older_version_change_nothing_in_a_large_fleet() -> None:
    g = one()
    g.handle(START, PeerMessage(5, write(3, [(77, 100, 0.0)])))
    assert not g.usage.hearing(START) and ask_of(g.handle(START, request(1, units=4.0, width=150)))


# ---- a home


def question(
    told: float = 0.0, need: float = 0.0, kept: int = 0, mark: int = 77, most: float = 1.0
) -> Question:
    return Question(mark, FILL, round(told * PARTS), round(need * PARTS), kept, most)


def test_a_question_that_comes_twice_counts_once() -> None:
    home = Homes(100.0)
    body = question(0.25, 0.25).bytes(9)
    said = [home.asked(START + n * 60, 3, body) for n in range(4)]
    assert len(dict.fromkeys(said)) == 1 and read_answer(said[0])[1].level == pytest.approx(0.5, abs=0.002)
    home.asked(START, 4, body)  # another's question of that number is another one
    assert read_answer(home.asked(START + REPEAT_MS + 300, 3, question().bytes(10)))[1].level < 0.5
    assert len(home.said) == 1  # what is old is forgotten


@pytest.mark.parametrize(
    ("asked", "granted"),
    [
        (question(need=1.0), True),
        (question(need=0.5, kept=60), False),
        (question(told=0.7, need=0.4), False),
        (question(told=-0.5, need=1.0), True),
        (question(need=0.5, most=0.4), False),
        (question(need=0.3, most=0.4), True),
    ],
)
def test_a_home_lets_in_what_is_there_beside_what_is_to_stay(asked: Question, granted: bool) -> None:
    answer = Homes(100.0).take(START, asked)
    assert answer.granted == granted
    assert answer.level == pytest.approx(
        min(1.0, min(asked.most, 1.0) - asked.told / PARTS) - asked.need / PARTS * granted, abs=0.01
    )


def test_what_askers_knew_counts_only_until_the_store_has_filled() -> None:
    home = Homes(100.0)
    assert home.take(START, question(most=0.0)).level == 0.0
    later = START + 1100 / FILL
    assert home.take(later, question(most=0.2)).level == pytest.approx(1.0, abs=0.01)


def test_those_refused_stay_away_while_too_many_ask_and_come_back_when_they_are_few() -> None:
    home, now = Homes(100.0), START
    home.take(now, question(1.0))
    holds = []
    for per_s in (2 * CROWD * 100, 5.0):
        for _ in range(int(per_s * 8)):
            now += 1000 / per_s
            hold = home.take(now, question(need=0.9)).hold_ms
        holds.append(hold)
    assert holds[0] > 500 and holds[1] < holds[0] / 4


# ---- datagrams


@given(st.binary(max_size=40) | st.binary(min_size=14, max_size=14).map(lambda b: b"\x12" + b[1:]))
def test_any_bytes_are_a_question_an_answer_or_neither(body: bytes) -> None:
    for read in (read_question, read_answer):
        with suppress(ValueError):
            number, _ = read(body)
            assert 0 <= number < 1 << 16
    g = one()
    g.handle(START, PeerMessage(3, body))  # harmless
    assert not g.queries.open


@given(
    st.integers(0, 0xFFFFFF),
    st.floats(0.001, 900),
    st.integers(-30_000, 30_000),
    st.integers(0, 60_000),
    st.integers(0, 100),
    st.floats(0, 1),
    st.integers(0, 65_535),
)
def test_questions_are_read_as_they_were_written(
    mark: int, fill: float, told: int, need: int, kept: int, most: float, number: int
) -> None:
    read_number, read = read_question(Question(mark, fill, told, need, kept, most).bytes(number))
    assert (read_number, read.mark, read.told, read.need, read.kept) == (number, mark, told, need, kept)
    assert read.fill == pytest.approx(fill, rel=0.001) and read.most == pytest.approx(most, abs=1 / STEPS)


def test_deaf_gateways_probe_now_and_then_and_hear_again() -> None:
    asks: Questions[None] = Questions(200, 0, 100.0, Random(1))
    now, asked = START, 0
    for _ in range(600):
        now += 10.0
        list(asks.overdue(now))
        if (home := asks.home(now, int(now) * 31, 1, 199)) is not None:
            asks.ask(now, home, question(), None)
            asked += 1
    assert DEAF <= asked <= 6000 / PROBE_MS + 2 * DEAF + 8
    asks.heard(5)
    assert sum(asks.home(now, n * 7919, 1, 199) is not None for n in range(50)) == 50


# ---- copies


class Forgetful(Gateway):
    """A gateway that tells no other home of its stores."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.owned.copies.touched = lambda mark, level, other: None  # type: ignore[method-assign]


def rolled(make: type[Gateway], seed: int) -> float:
    """Over-use while a fleet is restarted, a tenth at a time."""
    f = Quotas(100, customers(100, 120, Random(seed)), seed, make=make)
    f.play(3)
    for tenth in range(0, 100, 10):
        for index in range(tenth, tenth + 10):
            f.kill(index)
        f.play(1.0)
        for index in range(tenth, tenth + 10):
            f.restart(index)
        f.play(0.4)
    return f.judgement(17).over_use


def test_copies_keep_a_rolling_restart_from_filling_stores_anew() -> None:
    with_copies, without = (
        sum(rolled(make, seed) for seed in (1, 2, 3)) / 3 for make in (Gateway, Forgetful)
    )
    assert with_copies < 0.8 * without and with_copies < 0.03


def test_a_fresh_gateway_is_told_what_others_hold_of_it_with_its_age() -> None:
    home, buddy, fresh = Copies(), Copies(), Copies()
    assert list(home.due(START)) == [(None, FRESH)]
    home.touched(77, 0.25, 4)
    home.touched(78, 0.9, 4)  # nearly full: not worth telling
    home.touched(79, 0.5, NOBODY)
    assert not list(home.due(START + COPY_MS / 2))
    ((to, body),) = home.due(START + COPY_MS)
    assert to == 4 and not list(buddy.hear(START + COPY_MS, 9, body))
    assert not list(buddy.hear(START + COPY_MS, 3, FRESH))  # another's
    (back,) = buddy.hear(START + 3 * COPY_MS, 9, FRESH)
    fresh.hear(START + 3 * COPY_MS, 4, back)
    assert fresh.missing(START + 3 * COPY_MS, 77, 0.0001) == pytest.approx(0.75 - 0.2, abs=0.01)
    assert fresh.missing(START + 3 * COPY_MS, 77, 0.0001) == 0.0  # once
    assert not list(buddy.hear(START + 60 * COPY_MS, 9, FRESH))  # too old to be worth anything


@given(st.binary(max_size=300) | st.binary(max_size=40).map(lambda b: b"\x15" + b))
def test_any_bytes_are_copies_or_none(body: bytes) -> None:
    copies = Copies()
    with suppress(ValueError):
        list(copies.hear(START, 1, body))
    assert 0 <= copies.missing(START, 77, 0.001) <= 1
