"""Fits figures over sizes by a power law and by a quadratic curve, each with its residual."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from math import exp, inf, log, sqrt


@dataclass(frozen=True, slots=True)
class Power:
    """y = factor n^exponent. error: the exponent's standard deviation; residual: mean, as a fraction of y."""

    factor: float
    exponent: float
    error: float
    residual: float

    def at(self, n: float) -> float:
        return self.factor * n**self.exponent


@dataclass(frozen=True, slots=True)
class Curve:
    """y = a + b n + c n n, by least squares of relative errors. residual: mean, as a fraction of y."""

    a: float
    b: float
    c: float
    residual: float

    def at(self, n: float) -> float:
        return self.a + self.b * n + self.c * n * n


def power(sizes: Sequence[float], figures: Sequence[float]) -> Power | None:
    """Fits a power law; None if a figure is not above 0 or there are fewer than two sizes."""
    if len(sizes) < 2 or min(figures) <= 0:
        return None
    x, y = [log(n) for n in sizes], [log(f) for f in figures]
    count = len(x)
    mx, my = sum(x) / count, sum(y) / count
    variance_x = sum((v - mx) ** 2 for v in x)
    slope = sum((v - mx) * (w - my) for v, w in zip(x, y, strict=True)) / variance_x
    residuals = [w - my - slope * (v - mx) for v, w in zip(x, y, strict=True)]
    square_sum = sum(o * o for o in residuals)
    error = sqrt(square_sum / (count - 2) / variance_x) if count > 2 else inf
    return Power(exp(my - slope * mx), slope, error, exp(sqrt(square_sum / count)) - 1)


def curve(sizes: Sequence[float], figures: Sequence[float]) -> Curve | None:
    """Fits a quadratic curve; None if a figure is not above 0 or there are fewer than four sizes."""
    if len(sizes) < 4 or min(figures) <= 0:
        return None
    top = max(sizes)
    rows = [[1 / f, n / top / f, (n / top) ** 2 / f] for n, f in zip(sizes, figures, strict=True)]
    table = [[sum(r[i] * r[j] for r in rows) for j in range(3)] + [sum(r[i] for r in rows)] for i in range(3)]
    for i in range(3):
        pivot = max(range(i, 3), key=lambda k, i=i: abs(table[k][i]))
        table[i], table[pivot] = table[pivot], table[i]
        for k in range(3):
            if k != i:
                part = table[k][i] / table[i][i]
                table[k] = [v - part * w for v, w in zip(table[k], table[i], strict=True)]
    a, b, c = (table[i][3] / table[i][i] for i in range(3))
    found = Curve(a, b / top, c / top / top, 0.0)
    square_sum = sum(((found.at(n) - f) / f) ** 2 for n, f in zip(sizes, figures, strict=True))
    return Curve(found.a, found.b, found.c, sqrt(square_sum / len(sizes)))


def crossing(sizes: Sequence[float], figures: Sequence[float], bound: float) -> float:
    """Returns the size at which the figure exceeds the bound, interpolated by a power law.

    Returns 0 if the smallest size exceeds it. Beyond the largest size, extrapolates from the last two sizes,
    up to 100 times the largest; returns inf if the bound is not reached by then.
    """
    if figures[0] > bound:
        return 0.0
    pairs = list(zip(sizes, figures, strict=True))
    for (n, f), (m, g) in pairwise(pairs):
        if g > bound:
            return exp(log(n) + (log(m) - log(n)) * (log(bound) - log(f)) / (log(g) - log(f)))
    law = power(sizes[-2:], figures[-2:])
    if law is None or law.exponent <= 0:
        return inf
    found = (bound / law.factor) ** (1 / law.exponent)
    return found if found <= 100 * sizes[-1] else inf
