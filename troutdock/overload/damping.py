"""Switches of the measures against retry storms, so that an operator can disable and measure each."""

from __future__ import annotations

from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Damping:
    """The measures that are enabled; all by default."""

    turn_away: bool = True  # reject unread requests that have waited too long for this process
    drop_departed: bool = True  # do no work for clients whose connection the kernel reports closed
    polite_closing: bool = True  # close connections with a response while connection slots are scarce
    pace_accepts: bool = True  # accept only a few new connections in each pass of the event loop


ALL_ENABLED = Damping()


def read_damping(raw: object) -> Damping:
    """Parses the configuration's "damping" object; raises ValueError if it is invalid."""
    if not isinstance(raw, dict):
        raise ValueError("damping: expected an object of switches")
    known = {field.name for field in fields(Damping)}
    for name, on in raw.items():
        if name not in known:
            raise ValueError(f"damping.{name}: no such switch; known switches: {', '.join(sorted(known))}")
        if not isinstance(on, bool):
            raise ValueError(f"damping.{name}: {on!r} is neither true nor false")
    return Damping(**raw)
