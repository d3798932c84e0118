"""The operator's table of methods: what class of request a call is, and how it streams (no I/O)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from troutdock.admission.interface import Effect, Settings


class Kind(Enum):
    """Who sends more than one message."""

    UNARY = "unary"
    SERVER = "server-streaming"  # its answer is passed on as it comes
    CLIENT = "client-streaming"
    BOTH = "bidirectional"

    @property
    def uploads(self) -> bool:
        """The client's messages are passed on as they come: once, to one node."""
        return self in (Kind.CLIENT, Kind.BOTH)

    @property
    def streams(self) -> bool:
        """The node's messages are passed on as they come."""
        return self in (Kind.SERVER, Kind.BOTH)


@dataclass(frozen=True, slots=True)
class Row:
    """path: `/service/method`, `/service/*` or `*`. units: of calls whose metadata name none, if not 0."""

    path: str
    cls: str
    kind: Kind = Kind.UNARY
    units: float = 0.0


@dataclass(frozen=True, slots=True)
class Method:
    """A row with its class by number."""

    cls: int
    effect: Effect
    kind: Kind
    units: float
    deadline_ms: float


class Methods:
    """The most exact row counts: the method's own, its service's, the one for all."""

    def __init__(self, rows: Iterable[Row], settings: Settings) -> None:
        """ValueError names the row that can't be."""
        live = settings.classes[: settings.live_classes or len(settings.classes)]
        classes = {cls.name: n for n, cls in enumerate(live)}
        self._rows: dict[bytes, Method] = {}
        for row in rows:
            if row.path != "*" and (not row.path.startswith("/") or row.path.count("/") != 2):
                raise ValueError(f"{row.path}: neither /service/method nor /service/* nor *")
            if row.path.encode() in self._rows:
                raise ValueError(f"{row.path}: it is there twice")
            if row.cls not in classes:
                raise ValueError(f"{row.path}: {row.cls!r} is no class: {', '.join(classes)}")
            number = classes[row.cls]
            cls = settings.classes[number]
            if row.kind.uploads and cls.effect is not Effect.UNSAFE:
                what = f"{row.kind.value} calls are sent once, and {row.cls} may be repeated"
                raise ValueError(f"{row.path}: {what}")
            if not 0 <= row.units <= settings.most_units:
                raise ValueError(f"{row.path}: {row.units:g} units are beyond {settings.most_units:g}")
            self._rows[row.path.encode()] = Method(number, cls.effect, row.kind, row.units, cls.deadline_ms)

    @classmethod
    def fitting(cls, rows: Iterable[Row], settings: Settings) -> tuple[Methods, list[str]]:
        """With the rows that can be, and why the others can't."""
        kept: list[Row] = []
        wrong: list[str] = []
        for row in rows:
            try:
                cls([row], settings)
                kept.append(row)
            except ValueError as error:
                wrong.append(str(error))
        return cls(kept, settings), wrong

    def find(self, path: bytes) -> Method | None:
        """The row of a call; None: there is none."""
        return (
            self._rows.get(path)
            or self._rows.get(path[: path.rfind(b"/") + 1] + b"*")
            or self._rows.get(b"*")
        )
