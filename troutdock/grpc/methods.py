"""The operator's table of gRPC methods: request class and streaming type of each method (no I/O)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from troutdock.admission.interface import Effect, Settings


class MethodType(Enum):
    """Which side sends a stream of messages."""

    UNARY = "unary"
    SERVER_STREAMING = "server-streaming"  # the response is forwarded as it arrives
    CLIENT_STREAMING = "client-streaming"
    BIDIRECTIONAL = "bidirectional"

    @property
    def client_streams(self) -> bool:
        """Whether the client's messages are forwarded as they arrive, once and to one backend."""
        return self in (MethodType.CLIENT_STREAMING, MethodType.BIDIRECTIONAL)

    @property
    def server_streams(self) -> bool:
        """Whether the backend's messages are forwarded as they arrive."""
        return self in (MethodType.SERVER_STREAMING, MethodType.BIDIRECTIONAL)


@dataclass(frozen=True, slots=True)
class MethodRule:
    """A configured rule.

    Attributes:
        path: `/service/method`, `/service/*` or `*`.
        cls: Name of the request class.
        method_type: Streaming type.
        units: Units of calls whose metadata has no quota; 0 requires the metadata.
    """

    path: str
    cls: str
    method_type: MethodType = MethodType.UNARY
    units: float = 0.0


@dataclass(frozen=True, slots=True)
class Method:
    """A rule resolved against the settings; `cls` is the index of the request class."""

    cls: int
    effect: Effect
    method_type: MethodType
    units: float
    deadline_ms: float


class MethodTable:
    """Finds the most specific rule of a path: that of the method, of its service, or the default."""

    def __init__(self, rules: Iterable[MethodRule], settings: Settings) -> None:
        """Resolves the rules.

        Raises:
            ValueError: A rule is invalid; the message names it.
        """
        live_classes = settings.classes[: settings.live_classes or len(settings.classes)]
        classes = {cls.name: n for n, cls in enumerate(live_classes)}
        self._methods: dict[bytes, Method] = {}
        for rule in rules:
            if rule.path != "*" and (not rule.path.startswith("/") or rule.path.count("/") != 2):
                raise ValueError(f"{rule.path}: path is neither /service/method nor /service/* nor *")
            if rule.path.encode() in self._methods:
                raise ValueError(f"{rule.path}: path is configured twice")
            if rule.cls not in classes:
                raise ValueError(f"{rule.path}: no class {rule.cls!r}; known classes: {', '.join(classes)}")
            number = classes[rule.cls]
            cls = settings.classes[number]
            if rule.method_type.client_streams and cls.effect is not Effect.UNSAFE:
                detail = f"{rule.method_type.value} calls are sent only once, but {rule.cls} may be repeated"
                raise ValueError(f"{rule.path}: {detail}")
            if not 0 <= rule.units <= settings.most_units:
                raise ValueError(
                    f"{rule.path}: {rule.units:g} units are beyond the maximum of {settings.most_units:g}"
                )
            self._methods[rule.path.encode()] = Method(
                number, cls.effect, rule.method_type, rule.units, cls.deadline_ms
            )

    @classmethod
    def with_valid_rules(
        cls, rules: Iterable[MethodRule], settings: Settings
    ) -> tuple[MethodTable, list[str]]:
        """Returns a table of the valid rules, and an error message for each of the others."""
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
        """Returns the rule of a path, or None."""
        return (
            self._methods.get(path)
            or self._methods.get(path[: path.rfind(b"/") + 1] + b"*")
            or self._methods.get(b"*")
        )
