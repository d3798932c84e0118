"""The operator's table of methods: what class of request a call is, and how it streams (no I/O)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from troutdock.admission.interface import Effect, Settings


class MethodType(Enum):
    """Who sends more than one message."""

    UNARY = "unary"
    SERVER_STREAMING = "server-streaming"  # its answer is passed on as it comes
    CLIENT_STREAMING = "client-streaming"
    BIDIRECTIONAL = "bidirectional"

    @property
    def client_streams(self) -> bool:
        """The client's messages are passed on as they come: once, to one node."""
        return self in (MethodType.CLIENT_STREAMING, MethodType.BIDIRECTIONAL)

    @property
    def server_streams(self) -> bool:
        """The node's messages are passed on as they come."""
        return self in (MethodType.SERVER_STREAMING, MethodType.BIDIRECTIONAL)


@dataclass(frozen=True, slots=True)
class MethodRule:
    """path: `/service/method`, `/service/*` or `*`. units: of calls whose metadata name none, if not 0."""

    path: str
    cls: str
    method_type: MethodType = MethodType.UNARY
    units: float = 0.0


@dataclass(frozen=True, slots=True)
class Method:
    """A row with its class by number."""

    cls: int
    effect: Effect
    method_type: MethodType
    units: float
    deadline_ms: float


class MethodTable:
    """The most exact row counts: the method's own, its service's, the one for all."""

    def __init__(self, rules: Iterable[MethodRule], settings: Settings) -> None:
        """ValueError names the row that can't be."""
        live_classes = settings.classes[: settings.live_classes or len(settings.classes)]
        classes = {cls.name: n for n, cls in enumerate(live_classes)}
        self._methods: dict[bytes, Method] = {}
        for rule in rules:
            if rule.path != "*" and (not rule.path.startswith("/") or rule.path.count("/") != 2):
                raise ValueError(f"{rule.path}: neither /service/method nor /service/* nor *")
            if rule.path.encode() in self._methods:
                raise ValueError(f"{rule.path}: it is there twice")
            if rule.cls not in classes:
                raise ValueError(f"{rule.path}: {rule.cls!r} is no class: {', '.join(classes)}")
            number = classes[rule.cls]
            cls = settings.classes[number]
            if rule.method_type.client_streams and cls.effect is not Effect.UNSAFE:
                detail = f"{rule.method_type.value} calls are sent once, and {rule.cls} may be repeated"
                raise ValueError(f"{rule.path}: {detail}")
            if not 0 <= rule.units <= settings.most_units:
                raise ValueError(f"{rule.path}: {rule.units:g} units are beyond {settings.most_units:g}")
            self._methods[rule.path.encode()] = Method(
                number, cls.effect, rule.method_type, rule.units, cls.deadline_ms
            )

    @classmethod
    def with_valid_rules(
        cls, rules: Iterable[MethodRule], settings: Settings
    ) -> tuple[MethodTable, list[str]]:
        """With the rows that can be, and why the others can't."""
        valid: list[MethodRule] = []
        errors: list[str] = []
        for rule in rules:
            try:
                cls([rule], settings)
                valid.append(rule)
            except ValueError as error:
                errors.append(str(error))
        return cls(valid, settings), errors

    def find(self, path: bytes) -> Method | None:
        """The row of a call; None: there is none."""
        return (
            self._methods.get(path)
            or self._methods.get(path[: path.rfind(b"/") + 1] + b"*")
            or self._methods.get(b"*")
        )
