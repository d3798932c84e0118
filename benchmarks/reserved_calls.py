"""Simulates the transfer of reserved units between gateways: datagrams per request and wrong misses.

    python -m benchmarks.reserved_calls [--requests 20000] [--seed 1]

A reservation over a set of gateways is used up by requests that reach the gateways evenly or unevenly, with
30 % of the datagrams lost or none, and saves at least 250 ms apart. A request that finds no units at its
gateway is handled without the reservation; this counts as wrong while another gateway has enough units.
"""

from __future__ import annotations

import argparse
from heapq import heappop, heappush
from random import Random

from troutdock.reservations.entries import Entry, Kind
from troutdock.reservations.escrow import MILLIUNITS_PER_UNIT, TransferRequest, Escrow, Transfer

LATENCY_MS = 12.0  # of a datagram, one way
SAVE_MS, SAVE_DURATION_MS = 250.0, 15.0  # save interval, and duration of a save
REQUEST_INTERVAL_MS = 5.0  # between requests, over all gateways


def simulate(width: int, skew: float, loss: float, requests: int, random: Random) -> tuple[float, ...]:
    """Returns datagrams per request, the fractions of requests that missed the reservation wrongly and
    rightly, and the fractions of units left over and lost.

    skew: ratio of the load of each gateway to that of the one before.
    """
    units = requests * 2.0
    entry = Entry("r", Kind.RESERVE, "r", 9, units, 0.0, 1e12, (), 0, width, width)
    fleet = [Escrow(n, n) for n in range(width)]
    for escrow in fleet:
        escrow.add_entries([entry])
    weights = [skew**n for n in range(width)]
    in_flight: list[
        tuple[float, int, int, int, TransferRequest | Transfer]
    ] = []  # arrival time, order, sender, receiver
    saving = [SAVE_DURATION_MS] * width
    for escrow in fleet:
        escrow.begin_save(0.0)
    datagrams = wrong = rightly = order = 0
    now = 0.0
    for _ in range(round(requests * 1.05)):
        now += REQUEST_INTERVAL_MS
        while in_flight and in_flight[0][0] <= now:
            _, _, sender, to, what = heappop(in_flight)
            if isinstance(what, Transfer):
                fleet[to].accept_transfer(sender, what)
            elif (give := fleet[to].handle_request(sender, what, now)) is not None:
                datagrams, order = datagrams + 1, order + 1
                if random.random() >= loss:
                    heappush(in_flight, (now + LATENCY_MS, order, to, sender, give))
        for n, escrow in enumerate(fleet):
            if saving[n] <= now and saving[n] > 0:
                escrow.finish_save(True)
                saving[n] = -now
            if saving[n] < 0 and escrow.save_due(now) and now + saving[n] > SAVE_MS / 10:
                escrow.begin_save(now)
                saving[n] = now + SAVE_DURATION_MS
        (at,) = random.choices(range(width), weights)
        here = fleet[at]
        found = here.consume(9, "x", 2.0, now)
        if (ask := here.request_transfer(9, "x", 2.0, now)) is not None:
            datagrams, order = datagrams + 1, order + 1
            if random.random() >= loss:
                heappush(in_flight, (now + LATENCY_MS, order, at, ask.to, ask))
        if found is None:
            if max(e.parts["r"].remaining for e in fleet) >= 2 * MILLIUNITS_PER_UNIT:
                wrong += 1
            else:
                rightly += 1
    unused = sum(e.parts["r"].remaining for e in fleet) / MILLIUNITS_PER_UNIT / units
    used = sum(e.parts["r"].used for e in fleet) / MILLIUNITS_PER_UNIT / units
    return datagrams / requests, wrong / requests, rightly / requests, unused, 1 - unused - used


def main() -> None:
    """Prints a row for each set of gateways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for width in (1, 2, 5, 20):
        for skew, loss in ((1.0, 0.0), (0.5, 0.0), (0.5, 0.3)):
            datagrams, wrong, rightly, left, gone = simulate(
                width, skew, loss, args.requests, Random(args.seed)
            )
            print(
                f"{width:3} gateways, each {skew:.0%} of the one before, {loss:.0%} lost: "
                f"{datagrams:.4f} datagrams a request, {wrong:.2%} another way with units elsewhere, "
                f"{rightly:.2%} with none; {left:.2%} of the units left, {gone:.2%} lost"
            )


if __name__ == "__main__":
    main()
