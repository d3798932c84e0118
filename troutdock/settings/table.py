"""Tables of settings: dotted name, check and default of each value.

A table reads any nested mapping. A missing value takes its default. A missing value without a default, or one
that fails its check, is an error that names the setting. Values that are not in the table are ignored.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any


class SettingsError(ValueError):
    """A value is missing or invalid; the message names the setting."""


@dataclass(frozen=True, slots=True)
class NoDefault:
    """Marks a setting without a default. reason: the error message if the value is missing."""

    reason: str


REQUIRED = NoDefault("must be set")

Check = Callable[[Any], str | None]


def _is_finite_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)


def number(minimum: float = 0.0) -> Check:
    """Accepts finite numbers of at least minimum."""
    return lambda value: (
        None if _is_finite_number(value) and value >= minimum else f"not a number of at least {minimum:g}"
    )


def integer(minimum: int = 0) -> Check:
    """Accepts integers of at least minimum."""
    return lambda value: (
        None
        if isinstance(value, int) and not isinstance(value, bool) and value >= minimum
        else f"not an integer of at least {minimum}"
    )


def string(value: Any) -> str | None:
    """Accepts non-empty strings."""
    return None if isinstance(value, str) and value else "not a non-empty string"


def boolean(value: Any) -> str | None:
    """Accepts true and false."""
    return None if isinstance(value, bool) else "not true or false"


def address(value: Any) -> str | None:
    """Accepts addresses such as 10.0.0.4:8080."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    return (
        None
        if host and colon and port.isascii() and port.isdigit() and int(port) < 65536
        else "not an address of the form host:port"
    )


def one_of(*allowed: Any) -> Check:
    """Accepts the given values."""
    return lambda value: None if value in allowed else f"not one of {', '.join(map(str, allowed))}"


def list_of(check: Check, minimum: int = 0) -> Check:
    """Accepts lists of at least minimum items that all pass the check."""

    def check_items(value: Any) -> str | None:
        if not isinstance(value, Sequence) or isinstance(value, str) or len(value) < minimum:
            return f"not a list of at least {minimum} items" if minimum else "not a list"
        return next(
            (f"item {index}: {problem}" for index, item in enumerate(value) if (problem := check(item))), None
        )

    return check_items


def map_of(check: Check) -> Check:
    """Accepts mappings from strings to values that pass the check."""

    def check_items(value: Any) -> str | None:
        if not isinstance(value, Mapping):
            return "not a mapping"
        return next(
            (f"{key}: {problem}" for key, item in value.items() if (problem := string(key) or check(item))),
            None,
        )

    return check_items


def or_none(check: Check) -> Check:
    """Accepts null and values that pass the check."""
    return lambda value: None if value is None else check(value)


@dataclass(frozen=True, slots=True)
class Setting:
    """A setting: dotted name, check, default (REQUIRED: none) and description."""

    name: str
    check: Check
    default: Any = REQUIRED
    about: str = ""


class SettingsTable:
    """A set of settings that is read from one mapping."""

    def __init__(self, *settings: Setting) -> None:
        self.settings = settings

    def read(self, given: Any) -> dict[str, Any]:
        """Returns the value of each setting by its dotted name.

        Raises:
            SettingsError: The first value that is missing or invalid.
        """
        if not isinstance(given, Mapping):
            raise SettingsError("not a mapping")
        values: dict[str, Any] = {}
        for setting in self.settings:
            value: Any = given
            for part in setting.name.split("."):
                value = value.get(part, REQUIRED) if isinstance(value, Mapping) else REQUIRED
            if value is REQUIRED:
                if setting.default is REQUIRED:
                    raise SettingsError(f"{setting.name}: {REQUIRED.reason}")
                value = setting.default
            elif problem := setting.check(value):
                raise SettingsError(f"{setting.name}: {value!r:.80} is {problem}")
            values[setting.name] = value
        return values
