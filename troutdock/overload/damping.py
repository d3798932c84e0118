"""What damps storms, each with a switch, so that its worth can be measured and an operator can do without."""

from __future__ import annotations

from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Damping:
    """Which are on; all, if nobody says otherwise."""

    turn_away: bool = True  # refuse unread what has waited too long for this process
    drop_departed: bool = True  # do nothing for clients that have left, as far as the kernel knows
    polite_closing: bool = True  # end connections with an answer while places are short
    pace_accepts: bool = True  # a few new connections in each pass of the loop


ALL_ENABLED = Damping()


def read_damping(raw: object) -> Damping:
    """From the configuration's "damping"; ValueError names what is wrong."""
    if not isinstance(raw, dict):
        raise ValueError("damping: an object of switches is expected")
    known = {field.name for field in fields(Damping)}
    for name, on in raw.items():
        if name not in known:
            raise ValueError(f"damping.{name}: no such switch; there are {', '.join(sorted(known))}")
        if not isinstance(on, bool):
            raise ValueError(f"damping.{name}: {on!r} is neither true nor false")
    return Damping(**raw)
