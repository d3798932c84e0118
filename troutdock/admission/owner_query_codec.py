"""The bytes of questions to a customer's home and of its answers; see bucket_owner.py (no I/O).

A question: kind (u8), number (u16, one more each time), the customer's mark (3 bytes), what its burst fills
in a second (f16, parts of the burst), what was used and not told before (i16, thousandths of the burst),
what is asked for (u16, thousandths), what is to stay for others (u8, hundredths), what the asker knows the
store to hold at most (u8, STEPS of the burst), and the home that stands in for this one (u16). An answer:
kind, the question's number, the level after it (i16, thousandths), and how long not to ask again (u8, HOLD_MS
each).
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from struct import Struct

from troutdock.admission.bucket_replication import NOBODY

ASK, GRANTED, REFUSED = (
    18,
    19,
    20,
)  # kinds, beside those of backend_gossip.py; a digest's version stands in their place
PARTS = 1000  # of the burst: what uses and levels are told in
HOLD_MS = 20.0  # the unit of how long not to ask again; 5.1 s at most
STEPS = 250  # of the burst: what bounds are told in
_QUESTION, _ANSWER = Struct("<BHHBehHBBH"), Struct("<BHhB")
KINDS = (bytes([ASK]), bytes([GRANTED]), bytes([REFUSED]))


@dataclass(frozen=True, slots=True)
class Question:
    """What is told and asked of one customer; told, need: thousandths of its burst, kept: hundredths.

    fill: what the burst gets back in a second, as a part of it, over 0 and 1,000 at most. most: the level
    that the store can have at most by what the asker was told last, 1 where it knows nothing. other: the
    gateway that is asked if this one is silent, or was before it.
    """

    mark: int
    fill: float
    told: int
    need: int
    kept: int
    most: float = 1.0
    other: int = NOBODY

    def bytes(self, number: int) -> bytes:
        """As a datagram."""
        told, need = max(-32768, min(32767, self.told)), min(65535, self.need)
        return _QUESTION.pack(
            ASK,
            number,
            self.mark & 0xFFFF,
            self.mark >> 16,
            self.fill,
            told,
            need,
            min(100, self.kept),
            round(max(0.0, min(1.0, self.most)) * STEPS),
            self.other,
        )


def read_question(body: bytes) -> tuple[int, Question]:
    """Its number and what it says; ValueError if it is none."""
    if len(body) != _QUESTION.size or body[0] != ASK:
        raise ValueError(f"{len(body)} bytes are no question")
    _, number, low, high, fill, told, need, kept, most, other = _QUESTION.unpack(body)
    if not (isfinite(fill) and 0 < fill <= 1000) or kept > 100 or most > STEPS:
        raise ValueError(f"a question of a burst that fills {fill} times a second, {kept} of 100 kept")
    return number, Question(high << 16 | low, fill, told, need, kept, most / STEPS, other)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a home says: whether the units asked for are taken, and the level then, in parts of the burst."""

    granted: bool
    level: float
    hold_ms: float = 0.0

    def bytes(self, number: int) -> bytes:
        """As a datagram."""
        level = max(-32768, min(32767, int(self.level * PARTS // 1)))
        hold = max(0, min(255, round(self.hold_ms / HOLD_MS)))
        return _ANSWER.pack(GRANTED if self.granted else REFUSED, number, level, hold)


def read_answer(body: bytes) -> tuple[int, Answer]:
    """The question's number and what is said to it; ValueError if it is no answer."""
    if len(body) != _ANSWER.size or body[0] not in (GRANTED, REFUSED):
        raise ValueError(f"{len(body)} bytes are no answer")
    kind, number, level, hold = _ANSWER.unpack(body)
    if level > PARTS:
        raise ValueError("a level beyond the rim")
    return number, Answer(kind == GRANTED, level / PARTS, hold * HOLD_MS)
