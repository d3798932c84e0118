"""What gateways tell one another for reserved customers: datagrams a request, and what is refused wrongly.

    python -m benchmarks.reserved_calls [--requests 20000] [--seed 1]

Simulated: a reservation over a set of gateways is used up by requests that come to the gateways evenly or
unevenly, with a third of the datagrams lost or not, and a save each 250 ms at the earliest. A request that
finds nothing here goes its customer's ordinary way; it counts as wrong while another gateway has its units.
"""

from __future__ import annotations

import argparse
from heapq import heappop, heappush
from random import Random

from troutdock.reservations.entries import Entry, Kind
from troutdock.reservations.escrow import MILLIUNITS_PER_UNIT, TransferRequest, Escrow, Transfer

WAY_MS = 12.0  # of a datagram
SAVE_MS, SAVED_MS = 250.0, 15.0  # a service's tick, and what a save takes
EVERY_MS = 5.0  # between requests, over all gateways


def play(width: int, skew: float, loss: float, requests: int, random: Random) -> tuple[float, ...]:
    """Datagrams a request, the parts of all requests that went another way wrongly and rightly, and of the
    units those that are left and those that are lost.

    skew: the second gateway gets so much of what the first one gets, and so on.
    """
    units = requests * 2.0
    entry = Entry("r", Kind.RESERVE, "r", 9, units, 0.0, 1e12, (), 0, width, width)
    fleet = [Escrow(n, n) for n in range(width)]
    for escrow in fleet:
        escrow.add_entries([entry])
    weights = [skew**n for n in range(width)]
    under_way: list[tuple[float, int, int, int, TransferRequest | Transfer]] = []  # when, order, from, to
    saving = [SAVED_MS] * width
    for escrow in fleet:
        escrow.begin_save(0.0)
    told = wrong = rightly = order = 0
    now = 0.0
    for _ in range(round(requests * 1.05)):
        now += EVERY_MS
        while under_way and under_way[0][0] <= now:
            _, _, sender, to, what = heappop(under_way)
            if isinstance(what, Transfer):
                fleet[to].accept_transfer(sender, what)
            elif (give := fleet[to].handle_request(sender, what, now)) is not None:
                told, order = told + 1, order + 1
                if random.random() >= loss:
                    heappush(under_way, (now + WAY_MS, order, to, sender, give))
        for n, escrow in enumerate(fleet):
            if saving[n] <= now and saving[n] > 0:
                escrow.finish_save(True)
                saving[n] = -now
            if saving[n] < 0 and escrow.save_due(now) and now + saving[n] > SAVE_MS / 10:
                escrow.begin_save(now)
                saving[n] = now + SAVED_MS
        (at,) = random.choices(range(width), weights)
        here = fleet[at]
        found = here.consume(9, "x", 2.0, now)
        if (ask := here.request_transfer(9, "x", 2.0, now)) is not None:
            told, order = told + 1, order + 1
            if random.random() >= loss:
                heappush(under_way, (now + WAY_MS, order, at, ask.to, ask))
        if found is None:
            if max(e.parts["r"].remaining for e in fleet) >= 2 * MILLIUNITS_PER_UNIT:
                wrong += 1
            else:
                rightly += 1
    unused = sum(e.parts["r"].remaining for e in fleet) / MILLIUNITS_PER_UNIT / units
    used = sum(e.parts["r"].used for e in fleet) / MILLIUNITS_PER_UNIT / units
    return told / requests, wrong / requests, rightly / requests, unused, 1 - unused - used


def main() -> None:
    """A row for each kind of set."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for width in (1, 2, 5, 20):
        for skew, loss in ((1.0, 0.0), (0.5, 0.0), (0.5, 0.3)):
            told, wrong, rightly, left, gone = play(width, skew, loss, args.requests, Random(args.seed))
            print(
                f"{width:3} gateways, each {skew:.0%} of the one before, {loss:.0%} lost: "
                f"{told:.4f} datagrams a request, {wrong:.2%} another way with units elsewhere, "
                f"{rightly:.2%} with none; {left:.2%} of the units left, {gone:.2%} lost"
            )


if __name__ == "__main__":
    main()
