"""Assigns customers to the pools of a split, with minimal movement when weights change (no I/O).

Weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005): each pool
gets a hash u of its name and the customer, and the pool with the smallest -ln(u) / weight is chosen. A pool
whose weight grows gains customers from the others; none move among the others.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import log

from xxhash import xxh3_64_intdigest

from troutdock.routing.route import WeightedPool


def _hash_fraction(name: str, key: str) -> float:
    """Returns a hash as a fraction between 0 and 1, exclusive."""
    return (xxh3_64_intdigest(f"{key}\0{name}".encode()) + 0.5) / 2**64


def choose_pool(parts: Sequence[WeightedPool], key: str) -> str:
    """Returns the pool for a key: a customer, or a request ID without one."""
    if len(parts) == 1:
        return parts[0].pool
    live = [part for part in parts if part.weight > 0]
    return min(live, key=lambda part: (-log(_hash_fraction(part.pool, key)) / part.weight, part.pool)).pool


def select_mirrors(mirrors: Sequence[WeightedPool], request_id: str) -> list[str]:
    """Returns the pools that get a copy of this request."""
    return [
        part.pool for part in mirrors if 100 * _hash_fraction("mirror " + part.pool, request_id) < part.weight
    ]
