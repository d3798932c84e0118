"""Which pool of a split a customer has, so that a change of weights moves no more than it must (no I/O).

Weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005): each part
draws a number for the customer, which depends on nothing else, and the least of -ln(u) / weight has it. A
weight that grows takes customers from the others, and moves none among them.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import log

from xxhash import xxh3_64_intdigest

from troutdock.routing.route import WeightedPool


def _hash_fraction(name: str, key: str) -> float:
    """Above 0, below 1."""
    return (xxh3_64_intdigest(f"{key}\0{name}".encode()) + 0.5) / 2**64


def choose_pool(parts: Sequence[WeightedPool], key: str) -> str:
    """The pool of whoever has this key: a customer, or a request's id where there is none."""
    if len(parts) == 1:
        return parts[0].pool
    live = [part for part in parts if part.weight > 0]
    return min(live, key=lambda part: (-log(_hash_fraction(part.pool, key)) / part.weight, part.pool)).pool


def select_mirrors(mirrors: Sequence[WeightedPool], request_id: str) -> list[str]:
    """Pools that get a copy of this request."""
    return [
        part.pool for part in mirrors if 100 * _hash_fraction("mirror " + part.pool, request_id) < part.weight
    ]
