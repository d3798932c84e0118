"""The measures by role, each with its unit and its bound."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from benchmarks.hollow.model import CHANGES_A_DAY, CORE, DAY_S, RESTARTS_A_DAY
from troutdock.rpc.connection import SILENCE_TIMEOUT_S  # connections of a blocked process are closed after it

# bounds of the control work of an ingress, and of a change
CPU, STATE_MB, KB_S, IN_FORCE_S = 0.033, 32.0, 27.0, 11.0
# fraction of the day in which a process answers late as it applies a change: 99 in 100 are in time
STALLED_FRACTION = 0.01
CORE_MACHINE_CPU = 1.0  # a process on a core machine has one event loop


@dataclass(frozen=True, slots=True)
class Measure:
    """One figure of the results.

    bound: None if there is none. timed: a processor time, which differs from run to run. real: measured on
    the real programs.
    """

    role: str
    name: str
    unit: str
    of: Callable[[dict[str, Any]], float]
    bound: float | None = None
    timed: bool = False
    real: bool = False


def _sent(phase: str, sender: str, to: str, which: int) -> Callable[[dict[str, Any]], float]:
    return lambda r: r["core"]["said"].get(f"{phase} / {sender} / {to}", [0, 0])[which]


def _per_ingress(phase: str, which: int = 1) -> Callable[[dict[str, Any]], float]:
    """Messages or bytes sent to one ingress in a phase."""
    sent = _sent(phase, "hedgerow", "espalier", which)
    return lambda r: sent(r) / r["ingresses"]


def _per_registry(phase: str, to: str, which: int = 1) -> Callable[[dict[str, Any]], float]:
    """Messages or bytes sent by one registry in a phase."""
    sent = _sent(phase, "hedgerow", to, which)
    return lambda r: sent(r) / CORE


def _per_store(phase: str, which: int) -> Callable[[dict[str, Any]], float]:
    to_stores, to_registries = (_sent(phase, "rootstock", to, which) for to in ("rootstock", "hedgerow"))
    return lambda r: (to_stores(r) + to_registries(r)) / CORE


def _cpu(phase: str, role: str, processes: int) -> Callable[[dict[str, Any]], float]:
    return lambda r: r["core"]["times"]["cpu s"].get(f"{phase} / {role}", 0.0) / processes


def _per_s(
    of: Callable[[dict[str, Any]], float], phase: str, unit: float = 1.0
) -> Callable[[dict[str, Any]], float]:
    return lambda r: of(r) / r["core"]["spans s"][phase] / unit


def _in_unit(of: Callable[[dict[str, Any]], float], unit: float) -> Callable[[dict[str, Any]], float]:
    return lambda r: of(r) / unit


def _exchange(which: str, index: int, *kinds: str) -> Callable[[dict[str, Any]], float]:
    return lambda r: sum(r["zone"][which][k][index] for k in kinds)


ALL = ("zone", "away", "passed on")
E, H, R, HOMES = "espalier", "hedgerow", "rootstock", "homes"
_exchange_bytes = _exchange("sent a second", 1, *ALL)
MEASURES = (
    Measure(
        E,
        "state for control",
        "MB",
        lambda r: (r["core"]["state"][E] + r["zone"]["exchange bytes"]) / 1e6,
        STATE_MB,
    ),
    Measure(E, "of it, book of backends", "MB", lambda r: r["core"]["state"]["espalier, book"] / 1e6),
    Measure(
        E,
        "of it, routes and tenants",
        "MB",
        lambda r: r["core"]["state"]["espalier, routes and tenants"] / 1e6,
    ),
    Measure(E, "of it, numbers of other ingresses", "MB", lambda r: r["zone"]["exchange bytes"] / 1e6),
    Measure(E, "links to ingresses, mean", "links", lambda r: r["zone"]["links"][0]),
    Measure(
        E,
        "sent to ingresses, with signs of life",
        "KB/s",
        lambda r: (_exchange_bytes(r) + r["zone"]["signs of life B/s"]) / 1e3,
        KB_S,
    ),
    Measure(E, "of it, signs of life", "KB/s", lambda r: r["zone"]["signs of life B/s"] / 1e3),
    Measure(
        E, "of it, own numbers to its zone", "KB/s", _in_unit(_exchange("sent a second", 1, "zone"), 1e3)
    ),
    Measure(E, "messages sent to ingresses", "1/s", _exchange("sent a second", 0, *ALL)),
    Measure(
        E,
        "processor, numbers of ingresses",
        "core",
        lambda r: sum(r["zone"]["times"]["cpu s a second"].values()),
        CPU,
        True,
    ),
    Measure(
        E,
        "of it, whose duty is whose, each 40 ms",
        "core",
        lambda r: r["zone"]["times"]["cpu s a second"].get("tell other zones", 0.0),
        None,
        True,
    ),
    Measure(E, "start: told to one ingress", "MB", _in_unit(_per_ingress("start"), 1e6)),
    Measure(E, "start: messages to one ingress", "messages", _per_ingress("start", 0)),
    Measure(
        E, "start: until the last ingress has all", "s", lambda r: r["core"]["start until all have it s"]
    ),
    Measure(E, "start: processor of one ingress", "s", _cpu("start", E, 1), None, True),
    Measure(E, "one change: told to one ingress", "MB", lambda r: r["core"]["configuration bytes"] / 1e6),
    Measure(
        E,
        "changes of a day: told to one ingress",
        "KB/s",
        lambda r: r["core"]["configuration bytes"] * CHANGES_A_DAY / DAY_S / 1e3,
        KB_S,
    ),
    Measure(E, "one change: in force everywhere", "s", lambda r: r["core"]["change in force s"], IN_FORCE_S),
    Measure(E, "one change: processor, in one piece", "s", _cpu("change", E, 1), SILENCE_TIMEOUT_S, True),
    Measure(
        E,
        "changes of a day: processor",
        "core",
        lambda r: _cpu("change", E, 1)(r) * CHANGES_A_DAY / DAY_S,
        CPU,
        True,
    ),
    Measure(
        E,
        "changes of a day: part of it stalled",
        "part",
        lambda r: _cpu("change", E, 1)(r) * CHANGES_A_DAY / DAY_S,
        STALLED_FRACTION,
        True,
    ),
    Measure(E, "one restart: told, to all ingresses", "MB", _in_unit(_sent("one restart", H, E, 1), 1e6)),
    Measure(
        E,
        "restarts of a day: told, to all ingresses",
        "KB/s",
        lambda r: _sent("one restart", H, E, 1)(r) * RESTARTS_A_DAY / DAY_S / 1e3,
    ),
    Measure(
        E,
        "one in 20 restarts at once: until all have it",
        "s",
        lambda r: r["core"]["restarts until all have it s"],
        IN_FORCE_S,
    ),
    Measure(
        E, "one in 20 restarts at once: told to all", "MB", _in_unit(_sent("restarts at once", H, E, 1), 1e6)
    ),
    Measure(E, "zone lost: told to one ingress, 70 s", "KB", _in_unit(_per_ingress("zone lost"), 1e3)),
    Measure(E, "zone lost: messages to one ingress, 70 s", "messages", _per_ingress("zone lost", 0)),
    Measure(HOMES, "duties of the busiest", "duties", lambda r: r["zone"]["duties"]),
    Measure(HOMES, "links of the busiest", "links", lambda r: r["zone"]["links"][1]),
    Measure(HOMES, "sent to other zones, mean", "KB/s", _in_unit(_exchange("sent a second", 1, "away"), 1e3)),
    Measure(
        HOMES,
        "passed on to neighbours, mean",
        "KB/s",
        _in_unit(_exchange("sent a second", 1, "passed on"), 1e3),
    ),
    Measure(HOMES, "the busiest sends", "KB/s", lambda r: r["zone"]["busiest sends B/s"] / 1e3, KB_S),
    Measure(H, "state", "MB", lambda r: r["core"]["state"][H] / 1e6),
    Measure(
        H, "connections of the busiest, without backends'", "links", lambda r: r["core"]["connections"][H]
    ),
    Measure(
        H,
        "calm: beats taken by one",
        "1/s",
        _per_s(lambda r: _sent("calm", "backend", H, 0)(r) / CORE, "calm"),
    ),
    Measure(H, "calm: told to other registries", "KB/s", _per_s(_per_registry("calm", H), "calm", 1e3)),
    Measure(
        H,
        "calm: processor without HTTP",
        "core",
        _per_s(_cpu("calm", H, CORE), "calm"),
        CORE_MACHINE_CPU,
        True,
    ),
    Measure(H, "start: told by one to ingresses", "MB", _in_unit(_per_registry("start", E), 1e6)),
    Measure(H, "start: messages by one to ingresses", "messages", _per_registry("start", E, 0)),
    Measure(H, "start: told by one to registries", "MB", _in_unit(_per_registry("start", H), 1e6)),
    Measure(H, "start: processor", "s", _cpu("start", H, CORE), None, True),
    Measure(H, "one change: told by one", "MB", _in_unit(_per_registry("change", E), 1e6)),
    Measure(H, "one change: processor, in one piece", "s", _cpu("change", H, CORE), SILENCE_TIMEOUT_S, True),
    Measure(H, "zone lost: processor, 70 s", "s", _cpu("zone lost", H, CORE - 1), None, True),
    Measure(R, "state of the primary", "MB", lambda r: r["core"]["state"][R] / 1e6),
    Measure(R, "connections", "links", lambda r: r["core"]["connections"][R]),
    Measure(R, "calm: messages of one", "1/s", _per_s(_per_store("calm", 0), "calm")),
    Measure(R, "calm: bytes of one", "KB/s", _per_s(_per_store("calm", 1), "calm", 1e3)),
    Measure(R, "calm: processor", "core", _per_s(_cpu("calm", R, CORE), "calm"), CORE_MACHINE_CPU, True),
    Measure(R, "one change: told by all", "MB", lambda r: _per_store("change", 1)(r) * CORE / 1e6),
    Measure(R, "one change: acknowledged", "s", lambda r: r["core"]["change acknowledged s"]),
    Measure(R, "one change: processor of all", "s", _cpu("change", R, 1), None, True),
    Measure(
        E, "real program without requests: processor", "core", lambda r: r[E]["core, mean"], CPU, True, True
    ),
    Measure(E, "real program without requests: memory", "MB", lambda r: r[E]["MB, most"], None, True, True),
    Measure(
        H,
        "real program, a third of the beats: processor",
        "core",
        lambda r: r[H]["core, mean"],
        CORE_MACHINE_CPU,
        True,
        True,
    ),
)
