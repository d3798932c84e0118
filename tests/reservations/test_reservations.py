"""Reservations: units are never used twice under message loss and restarts, nor committed beyond the limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from troutdock.reservations import messages
from troutdock.reservations.entries import ConflictError, Entries, Entry, Kind, Reservation, validate
from troutdock.reservations.escrow import (
    PREFETCH_REQUESTS,
    MIN_REQUEST_INTERVAL_MS,
    FREE_DIVISOR,
    MIN_FREE_MILLIUNITS,
    MILLIUNITS_PER_UNIT,
    PREPARE_AHEAD_MS,
    TransferRequest,
    Escrow,
    Transfer,
    SavedParts,
    even_part,
)
from troutdock.reservations.commitment_limit import (
    MAX_COMMITTED_FRACTION,
    MAX_PLAN_RATE_MULTIPLE,
    CommitmentBounds,
    decide,
    reserved_rate,
    peak_rate,
)


def reserve_entry(
    id: str = "r", units: float = 10.0, begins: float = 0.0, ends: float = 100_000.0, **changes: Any
) -> Entry:
    return Entry(id, Kind.RESERVE, id, 9, units, begins, ends, **changes)


def saved_escrow(index: int = 0, *entries: Entry, now: float = 0.0, **how: Any) -> Escrow:
    """Returns a gateway that knows the entries and has saved its parts."""
    escrow = Escrow(index, **how)
    escrow.add_entries(entries)
    escrow.begin_save(now)
    escrow.finish_save(True)
    return escrow


class FleetMachine(RuleBasedStateMachine):
    """Gateways that share reservations, each with a disk, over a network that loses, duplicates and delays.

    They crash at any moment, also during a save, which then may or may not be on disk.
    """

    GATEWAYS = 4

    @initialize(width=st.integers(1, 4), first=st.integers(0, 3))
    def start(self, width: int, first: int) -> None:
        self.now, self.set, self.incarnations = 1000.0, (first, width), 0
        self.disks: list[SavedParts] = [{} for _ in range(self.GATEWAYS)]
        self.writing: list[SavedParts | None] = [None] * self.GATEWAYS
        self.fleet = [self.new_escrow(n) for n in range(self.GATEWAYS)]
        self.made: dict[str, float] = {}
        self.entries: list[Entry] = []
        self.used: dict[str, int] = {}
        self.in_transit: list[tuple[int, int, TransferRequest | Transfer]] = []  # sender, receiver, message

    def new_escrow(self, gateway: int) -> Escrow:
        self.incarnations += 1
        return Escrow(gateway, self.incarnations, self.incarnations * 10_000, self.disks[gateway])

    @rule(
        units=st.floats(0.5, 400),
        lasts=st.floats(100, 5000),
        ahead=st.sampled_from([0.0, 0.0, 3000.0, 9000.0]),
    )
    def reserve(self, units: float, lasts: float, ahead: float) -> None:
        id, begins = f"r{len(self.entries)}", self.now + ahead
        first, width = self.set
        self.entries.append(
            Entry(id, Kind.RESERVE, id, 9, units, begins, begins + lasts, (), first, width, self.GATEWAYS)
        )
        self.made[id] = units

    @rule(data=st.data(), units=st.floats(0, 20), release=st.booleans())
    def change(self, data: st.DataObject, units: float, release: bool) -> None:
        if self.made:
            of = data.draw(st.sampled_from(sorted(self.made)))
            kind = Kind.RELEASE if release else Kind.EXTEND
            self.entries.append(
                Entry(
                    f"e{len(self.entries)}", kind, of, 9, 0.0 if release else units, self.now, self.now + 3000
                )
            )
            self.made[of] += 0.0 if release else units

    @rule(gateway=st.integers(0, 3), data=st.data())
    def receive_entries(self, gateway: int, data: st.DataObject) -> None:
        if self.entries:
            self.fleet[gateway].add_entries(data.draw(st.lists(st.sampled_from(self.entries), max_size=4)))

    @rule(gateway=st.integers(0, 3), units=st.floats(0.1, 40), times=st.integers(1, 4))
    def use(self, gateway: int, units: float, times: int) -> None:
        escrow = self.fleet[gateway]
        for _ in range(times):
            before = sum(p.used for p in escrow.parts.values())
            found = escrow.consume(9, "ledger-read", units, self.now)
            if (ask := escrow.request_transfer(9, "ledger-read", units, self.now)) is not None:
                assert ask.to != gateway
                self.in_transit.append((gateway, ask.to, ask))
            if found is None:
                return
            reservation = escrow.entries.get(found)
            assert reservation is not None and reservation.from_ms <= self.now < reservation.ends_ms
            self.used[found] = self.used.get(found, 0) + sum(p.used for p in escrow.parts.values()) - before

    @rule(gateway=st.integers(0, 3), units=st.floats(-3, 3), data=st.data())
    def settle(self, gateway: int, units: float, data: st.DataObject) -> None:
        known = sorted(self.fleet[gateway].parts)
        if known:
            id = data.draw(st.sampled_from(known))
            part = self.fleet[gateway].parts[id]
            before = part.used
            self.fleet[gateway].settle(id, units)
            assert part.remaining >= 0 and part.used >= 0 and (not part.debt or part.free == 0)
            self.used[id] = self.used.get(id, 0) + part.used - before

    @rule(data=st.data(), again=st.booleans())
    def arrive(self, data: st.DataObject, again: bool) -> None:
        if self.in_transit:
            message = data.draw(st.sampled_from(self.in_transit))
            sender, to, what = message
            if not again:
                self.in_transit.remove(message)
            if isinstance(what, Transfer):
                give = what
                self.track_usage(to, lambda: self.fleet[to].accept_transfer(sender, give))
            elif (give := self.fleet[to].handle_request(sender, what, self.now)) is not None:
                assert give.milliunits >= what.missing
                self.in_transit.append((to, sender, give))

    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        if self.in_transit:
            self.in_transit.remove(data.draw(st.sampled_from(self.in_transit)))

    @rule(ms=st.floats(1, 1500))
    def time(self, ms: float) -> None:
        self.now += ms

    def track_usage(self, gateway: int, work: Callable[[], object]) -> None:
        """Counts the debt that work settles as usage."""
        before = {id: p.used for id, p in self.fleet[gateway].parts.items()}
        work()
        for id, used in before.items():
            self.used[id] = self.used.get(id, 0) + self.fleet[gateway].parts[id].used - used

    @rule(gateway=st.integers(0, 3))
    def save(self, gateway: int) -> None:
        if self.writing[gateway] is None:
            self.fleet[gateway].save_due(self.now)
            self.writing[gateway] = self.fleet[gateway].begin_save(self.now)

    @rule(gateway=st.integers(0, 3), good=st.booleans(), written=st.booleans())
    def saved(self, gateway: int, good: bool, written: bool) -> None:
        rows, self.writing[gateway] = self.writing[gateway], None
        if rows is not None:
            if good or written:
                self.disks[gateway] = rows
            self.track_usage(gateway, lambda: self.fleet[gateway].finish_save(good))

    @rule(gateway=st.integers(0, 3), written=st.booleans(), data=st.data())
    def restart(self, gateway: int, written: bool, data: st.DataObject) -> None:
        """Restarts from the saved parts; some of the entries are received again, others later."""
        rows, self.writing[gateway] = self.writing[gateway], None
        if rows is not None and written:
            self.disks[gateway] = rows
        self.fleet[gateway] = self.new_escrow(gateway)
        if self.entries:
            self.fleet[gateway].add_entries(data.draw(st.lists(st.sampled_from(self.entries))))

    @rule(gateway=st.integers(0, 3))
    def end(self, gateway: int) -> None:
        """An orderly shutdown, which loses nothing."""
        if self.writing[gateway] is None:
            ended = self.fleet[gateway]
            self.disks[gateway] = ended.begin_save(self.now, close=True)
            self.track_usage(gateway, lambda: ended.finish_save(True))
            self.fleet[gateway] = self.new_escrow(gateway)
            self.fleet[gateway].add_entries(ended.entries)
            assert {k: p.remaining for k, p in self.fleet[gateway].parts.items()} == {
                k: p.remaining for k, p in ended.parts.items()
            }

    @invariant()
    def no_unit_is_used_twice(self) -> None:
        for id, units in self.made.items():
            total = round(units * MILLIUNITS_PER_UNIT) + len(self.entries)
            parts = sum(e.parts[id].remaining for e in self.fleet if id in e.parts)
            assert self.used.get(id, 0) <= total
            assert self.used.get(id, 0) + parts <= total  # the sum only decreases
        for escrow in self.fleet:
            assert all(0 <= p.free <= p.remaining for p in escrow.parts.values())


FleetMachine.TestCase.settings = examples(max_examples=80, stateful_step_count=50)
TestFleetMachine = FleetMachine.TestCase


class DuplicateAcceptingEscrow(Escrow):
    """A gateway that accepts duplicate transfers."""

    def accept_transfer(self, sender: int, give: Transfer) -> bool:
        self.parts[give.reservation].remaining += give.milliunits
        return True


def test_invariant_detects_duplicate_transfers() -> None:
    fleet = [saved_escrow(0, reserve_entry(width=2, gateways=2)), DuplicateAcceptingEscrow(1)]
    fleet[1].add_entries([reserve_entry(width=2, gateways=2)])
    give = fleet[0].handle_request(1, TransferRequest(0, "r", 2000), 0.0)
    assert give is not None
    for _ in range(3):
        fleet[1].accept_transfer(0, give)
    assert sum(e.parts["r"].remaining for e in fleet) > 10 * MILLIUNITS_PER_UNIT


@given(st.floats(0.001, 1e6), st.integers(1, 50), st.integers(0, 60), st.integers(1, 60))
def test_even_parts_add_up_and_differ_by_at_most_one_milliunit(
    units: float, width: int, first: int, gateways: int
) -> None:
    width, first = min(width, gateways), first % gateways
    entry = reserve_entry(units=units, first=first, width=width, gateways=gateways)
    parts = [even_part(entry, n) for n in range(gateways + 3)]  # also for gateways added later
    assert sum(parts) == int(units * MILLIUNITS_PER_UNIT) and sum(p > 0 for p in parts) <= width
    set_parts = [parts[(first + n) % gateways] for n in range(width)]
    assert max(set_parts) - min(set_parts) <= 1


def test_reservation_that_ends_first_is_used_first_and_only_by_its_classes() -> None:
    escrow = saved_escrow(
        0,
        reserve_entry("late", 5.0, ends=900.0),
        reserve_entry("soon", 2.0, ends=500.0),
        reserve_entry("reads", 9.0, ends=100.0, classes=("ledger-read",)),
    )
    assert [escrow.consume(9, "vat-filing", 2.0, 50.0) for _ in range(4)] == ["soon", "late", "late", None]
    assert (
        escrow.consume(9, "ledger-read", 9.0, 99.0) == "reads"
        and escrow.consume(9, "ledger-read", 1.0, 101.0) == "late"
    )
    assert (
        escrow.consume(8, "ledger-read", 1.0, 50.0) is None
        and escrow.consume(9, "vat-filing", 0.5, 950.0) is None
    )
    assert not escrow.has_reservation(9)  # all have ended
    escrow.add_entries([Entry("more", Kind.EXTEND, "late", 9, 3.0, 0.0, 2000.0)])
    assert (
        escrow.has_reservation(9) and escrow.consume(9, "vat-filing", 1.0, 950.0) is None
    )  # not free until saved
    escrow.begin_save(950.0)
    escrow.finish_save(True)
    assert escrow.consume(9, "vat-filing", 3.0, 950.0) == "late"


def test_transfer_requests_go_to_the_other_gateways_in_turn_with_backoff() -> None:
    of = reserve_entry(units=4.0, first=2, width=3, gateways=4)  # gateways 2, 3 and 0
    escrow = saved_escrow(3, of, incarnation=5)
    asks = [
        escrow.request_transfer(9, "x", 3.0, at * MIN_REQUEST_INTERVAL_MS) for at in (0, 0.5, 1, 2, 3, 4, 6)
    ]
    assert [a and (a.to, a.missing, a.incarnation) for a in asks] == [
        (0, 1667, 5),
        None,
        (2, 1667, 5),
        (0, 1667, 5),
        None,
        (2, 1667, 5),
        (0, 1667, 5),
    ]
    other = saved_escrow(0, of)
    assert (
        other.handle_request(3, TransferRequest(0, "r", 9000, 5), 0.0) is None
    )  # it has fewer units and keeps them
    give = other.handle_request(3, TransferRequest(0, "r", 500, 5), 0.0)
    assert give is not None and (give.milliunits, other.parts["r"].remaining) == (666, 667)
    assert other.handle_request(3, TransferRequest(0, "r", 1, 5), 200_000.0) is None  # it has ended
    assert escrow.accept_transfer(0, give) and not escrow.accept_transfer(0, give)
    assert not saved_escrow(3, of, incarnation=6).accept_transfer(
        0, give
    )  # the requesting incarnation has ended
    assert (
        escrow.request_transfer(9, "x", 1.99 / PREFETCH_REQUESTS, 7 * MIN_REQUEST_INTERVAL_MS) is None
    )  # enough units for PREFETCH_REQUESTS requests
    assert escrow.request_transfer(
        9, "x", 2.01 / PREFETCH_REQUESTS, 7 * MIN_REQUEST_INTERVAL_MS
    ) == TransferRequest(2, "r", 503, 5)  # below that


def test_lost_transfer_is_sent_again() -> None:
    sender, receiver = (
        saved_escrow(0, reserve_entry(width=2, gateways=2)),
        saved_escrow(1, reserve_entry(width=2, gateways=2), incarnation=4),
    )
    asks = [receiver.request_transfer(9, "x", 6.0, at) for at in (0.0, 1000.0)]
    gives = [sender.handle_request(1, ask, 0.0) for ask in asks if ask is not None]
    assert len(gives) == 2 and gives[0] is gives[1] is not None and sender.parts["r"].remaining == 2500
    assert (
        receiver.accept_transfer(0, gives[0])
        and not receiver.accept_transfer(0, gives[0])
        and receiver.parts["r"].remaining == 7500
    )
    more = receiver.request_transfer(9, "x", 8.0, 2000.0)
    assert more is not None and more.last_received == gives[0].number
    other = sender.handle_request(1, more, 0.0)
    assert other is not None and other.number > gives[0].number and receiver.accept_transfer(0, other)
    assert (
        sender.handle_request(1, TransferRequest(0, "r", 100, 5), 0.0) is not other
    )  # the requesting gateway has restarted
    assert not receiver.accept_transfer(0, gives[0])


def test_crash_loses_only_free_units_and_orderly_shutdown_none() -> None:
    big, small = reserve_entry("big", 1000.0), reserve_entry("small", 5.0, begins=50_000.0)
    escrow = Escrow(0)
    assert escrow.add_entries([big, small]) == ["big", "small"]
    assert escrow.consume(9, "x", 1.0, 0.0) is None and escrow.save_due(
        0.0
    )  # nothing is free before the first save
    rows = escrow.begin_save(0.0)
    assert escrow.consume(9, "x", 1.0, 0.0) is None  # the save is in progress
    escrow.finish_save(True)
    assert rows == {"big": (1_000_000 - 1_000_000 // FREE_DIVISOR, ("big",)), "small": (5000, ("small",))}
    escrow.begin_save(0.0)
    escrow.finish_save(True)
    assert not escrow.save_due(50_000.0 - PREPARE_AHEAD_MS - 1) and escrow.save_due(
        50_000.0 - PREPARE_AHEAD_MS
    )
    assert [escrow.consume(9, "x", 25.0, 1.0) for _ in range(6)] == ["big"] * 5 + [
        None
    ] and escrow.save_needed
    again = Escrow(0, saved=rows)
    again.add_entries([small, big])
    assert {id: p.remaining for id, p in again.parts.items()} == {"big": 875_000, "small": 5000}
    failed = escrow.begin_save(2.0)
    escrow.finish_save(False)  # it may be on disk: only units free under both values are free
    assert escrow.consume(9, "x", 1.0, 2.0) is None and failed["big"][0] < 875_000
    escrow.begin_save(3.0)
    escrow.finish_save(True)
    assert escrow.consume(9, "x", 100.0, 3.0) == "big"
    closed = escrow.begin_save(4.0, close=True)
    escrow.finish_save(True)
    assert closed["big"][0] == 775_000 and escrow.consume(9, "x", 1.0, 4.0) is None
    assert escrow.consume(9, "x", 4.0, 0.0) is None
    more = saved_escrow(0, reserve_entry("more", 300.0))
    assert [more.consume(9, "x", 10.0, 1.0) for _ in range(3)] == ["more"] * 3
    more.settle("more", 10.0)  # 7.5 are free
    assert (more.parts["more"].used, more.parts["more"].debt, more.save_needed) == (37_500, 2500, True)
    more.begin_save(2.0)
    more.finish_save(True)
    assert (more.parts["more"].used, more.parts["more"].debt, more.parts["more"].free) == (40_000, 0, 32_812)
    assert MIN_FREE_MILLIUNITS // MILLIUNITS_PER_UNIT == 20  # smaller parts are completely free


def test_adding_entries_of_many_customers_is_linear(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    looks, get = [], Entries.get
    monkeypatch.setattr(Entries, "get", lambda self, id: (looks.append(id), get(self, id))[1])
    Escrow(0).add_entries([reserve_entry(f"r{n}")._replace(customer=n) for n in range(500)])
    assert len(looks) <= 4 * 500


def test_ended_reservations_that_left_the_file_are_removed() -> None:
    escrow = saved_escrow(0, reserve_entry("a", ends=10.0), reserve_entry("b"))
    escrow.forget(["a"])
    assert list(escrow.parts) == ["b"] and len(escrow.entries) == 1 and list(escrow.begin_save(0.0)) == ["b"]
    assert not escrow.add_entries(
        [Entry("x", Kind.EXTEND, "a", 9, 2.0, 0.0, 200_000.0)]
    )  # the reservation is not restored
    assert escrow.consume(9, "x", 1.0, 20.0) == "b"


@pytest.mark.parametrize("bad", [b"", b"\x28", b"\x29" + b"x" * 20, b"\x01" + b"x" * 16, b"\x28" + b"x" * 25])
def test_invalid_messages_are_rejected(bad: bytes) -> None:
    with pytest.raises(ValueError, match="not a reservation message"):
        messages.decode(bad)


def test_messages_round_trip() -> None:
    assert messages.decode(messages.encode_request("r", 7, 1 << 40, 1 << 50)) == (
        messages.REQUEST,
        messages.reservation_key("r"),
        7,
        0xFFFFFFFF,
        1 << 50,
    )
    assert messages.decode(messages.encode_transfer("r", 7, 12, 1 << 50)) == (
        messages.TRANSFER,
        messages.reservation_key("r"),
        7,
        12,
        1 << 50,
    )


# ---- entries


@given(
    st.permutations(
        [
            reserve_entry("a"),
            Entry("b", Kind.EXTEND, "a", 9, 5.0, 0.0, 200_000.0),
            Entry("c", Kind.RELEASE, "a", 9, 0.0, 700.0),
            Entry("d", Kind.RELEASE, "a", 9, 0.0, 600.0),
            reserve_entry("e", 3.0),
        ]
    )
)
def test_order_of_entries_does_not_matter(order: list[Entry]) -> None:
    one, other = Entries().add(order), Entries().add(order[:2]).add(reversed(order))
    assert one == other and one.get("a") == Reservation("a", 9, 15.0, 0.0, 200_000.0, 600.0, (), 0, 1, 1)
    assert [r.id for r in one.reservations()] == ["a", "e"] and one.get("b") is None


@pytest.mark.parametrize(
    ("bad", "field"),
    [
        (reserve_entry(units=0.0), "units"),
        (reserve_entry(units=float("nan")), "units"),
        (reserve_entry(ends=0.0), "until_ms"),
        (reserve_entry(id=""), "id"),
        (reserve_entry()._replace(of="x"), "id"),
        (reserve_entry(width=0), "width"),
        (reserve_entry()._replace(customer=2**33), "customer"),
        (reserve_entry(who="x" * 201), "who"),
        (Entry("e", Kind.EXTEND, "e"), "id"),
        (reserve_entry(begins=float("inf"), ends=float("inf")), "from_ms"),
    ],
)
def test_invalid_entry_names_its_field_and_changes_nothing(bad: Entry, field: str) -> None:
    with pytest.raises(ValueError, match=field):
        validate(bad)
    escrow = Escrow(0)
    with pytest.raises(ValueError, match=field):
        escrow.add_entries([reserve_entry("good"), bad])
    assert not escrow.parts and len(escrow.entries) == 0


def test_same_id_with_different_content_is_a_conflict() -> None:
    with pytest.raises(ConflictError, match="is known as"):
        Entries().add([reserve_entry(units=1.0), reserve_entry(units=2.0)])


# ---- commitment limits


def make_reservation(id: str, units: float, begins: float, ends: float, customer: int = 9) -> Reservation:
    return Reservation(id, customer, units, begins, ends, float("inf"), (), 0, 1, 1)


BOUNDS = CommitmentBounds(fleet=100.0, rate=5.0)  # limits: 30 units/s in total, 20 units/s per customer


@pytest.mark.parametrize(
    ("wanted", "others", "granted", "why", "units", "begins"),
    [
        (make_reservation("w", 200, 0, 10_000), [], True, "", 200.0, 0.0),
        (make_reservation("w", 201, 0, 10_000), [], False, "plan", 200.0, float("inf")),
        (
            make_reservation("w", 200, 0, 1),
            [],
            True,
            "",
            200.0,
            0.0,
        ),  # the rate of a short window is computed over 10 s
        (
            make_reservation("w", 100, 0, 10_000),
            [make_reservation("o", 250, 0, 10_000, 8)],
            False,
            "fleet",
            50.0,
            10_000.0,
        ),
        (
            make_reservation("w", 50, 0, 10_000),
            [make_reservation("o", 250, 0, 10_000, 8)],
            True,
            "",
            50.0,
            0.0,
        ),
        (
            make_reservation("w", 100, 0, 10_000),
            [make_reservation("o", 250, 10_000, 20_000, 8)],
            True,
            "",
            100.0,
            0.0,
        ),  # consecutive windows
        (
            make_reservation("w", 300, 0, 20_000),
            [make_reservation("w", 100, 0, 20_000)],
            True,
            "",
            300.0,
            0.0,
        ),  # an earlier version of the same reservation
        (
            make_reservation("w", 100, 0, 10_000),
            [make_reservation("o", 150, 0, 15_000)],
            True,
            "",
            100.0,
            0.0,
        ),
        (
            make_reservation("w", 150, 0, 10_000),
            [make_reservation("o", 150, 0, 15_000)],
            False,
            "plan",
            100.0,
            15_000.0,
        ),
    ],
)
def test_decision_and_alternatives(
    wanted: Reservation, others: list[Reservation], granted: bool, why: str, units: float, begins: float
) -> None:
    verdict = decide(wanted, others, BOUNDS)
    assert (verdict.granted, verdict.from_ms) == (granted, begins) and why in verdict.why
    assert verdict.units == pytest.approx(units)


def test_reservations_never_exceed_the_ceiling() -> None:
    assert not decide(
        make_reservation("w", 160, 0, 10_000), [], CommitmentBounds(100.0, 5.0, ceiling=15.0)
    ).granted
    assert decide(
        make_reservation("w", 150, 0, 10_000), [], CommitmentBounds(100.0, 5.0, ceiling=15.0)
    ).granted


@given(
    st.lists(
        st.tuples(st.floats(1, 400), st.integers(0, 50), st.integers(1, 30), st.integers(1, 3)), max_size=20
    )
)
def test_granted_reservations_stay_within_the_limits(wanted: list[tuple[float, int, int, int]]) -> None:
    granted_reservations: list[Reservation] = []
    for n, (units, begins, lasts, customer) in enumerate(wanted):
        reservation = make_reservation(str(n), units, begins * 1000.0, (begins + lasts) * 1000.0, customer)
        verdict = decide(reservation, granted_reservations, BOUNDS)
        if verdict.granted:
            granted_reservations.append(reservation)
        elif verdict.units > 0.01:  # the alternative that is offered would be granted
            assert decide(reservation._replace(units=verdict.units), granted_reservations, BOUNDS).granted
    for at in range(90):
        now = [r for r in granted_reservations if r.from_ms <= at * 1000 < r.ends_ms]
        assert sum(map(reserved_rate, now)) <= MAX_COMMITTED_FRACTION * BOUNDS.fleet + 1e-6
        assert (
            max([sum(reserved_rate(r) for r in now if r.customer == c) for c in (1, 2, 3)])
            <= MAX_PLAN_RATE_MULTIPLE * BOUNDS.rate + 1e-6
        )
    assert peak_rate(granted_reservations, 0, 1e6) <= MAX_COMMITTED_FRACTION * BOUNDS.fleet + 1e-6
