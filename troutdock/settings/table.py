"""Tables of settings: each value by its dotted name, with type, default and check.

A table reads any nested mapping. What is missing takes its default, what has none or does not pass its check
is an error that names the place; what the table does not name is left alone.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any


class SettingsError(ValueError):
    """A value is missing or senseless; the text names the place."""


@dataclass(frozen=True, slots=True)
class NoDefault:
    """Why a setting has no default."""

    reason: str


REQUIRED = NoDefault("it must be set")

Check = Callable[[Any], str | None]


def _number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)


def number(least: float = 0.0) -> Check:
    """A finite number of at least this."""
    return lambda value: None if _number(value) and value >= least else f"not a number of at least {least:g}"


def integer(least: int = 0) -> Check:
    """A whole number of at least this."""
    return lambda value: (
        None
        if isinstance(value, int) and not isinstance(value, bool) and value >= least
        else f"not a whole number of at least {least}"
    )


def string(value: Any) -> str | None:
    """Some text that is not empty."""
    return None if isinstance(value, str) and value else "not a text"


def boolean(value: Any) -> str | None:
    """True or false."""
    return None if isinstance(value, bool) else "neither true nor false"


def address(value: Any) -> str | None:
    """As in 10.0.0.4:8080."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    return (
        None
        if host and colon and port.isascii() and port.isdigit() and int(port) < 65536
        else "not an address"
    )


def one_of(*known: Any) -> Check:
    """One of these values."""
    return lambda value: None if value in known else f"none of {', '.join(map(str, known))}"


def list_of(check: Check, least: int = 0) -> Check:
    """A list of so many at least, each of which passes the check."""

    def checked(value: Any) -> str | None:
        if not isinstance(value, Sequence) or isinstance(value, str) or len(value) < least:
            return f"not a list of at least {least}" if least else "not a list"
        return next(
            (f"{number}: {wrong}" for number, item in enumerate(value) if (wrong := check(item))), None
        )

    return checked


def map_of(check: Check) -> Check:
    """A mapping from texts to what passes the check."""

    def checked(value: Any) -> str | None:
        if not isinstance(value, Mapping):
            return "not a mapping"
        return next(
            (f"{key}: {wrong}" for key, item in value.items() if (wrong := string(key) or check(item))), None
        )

    return checked


def or_none(check: Check) -> Check:
    """Nothing, or what passes the check."""
    return lambda value: None if value is None else check(value)


@dataclass(frozen=True, slots=True)
class Setting:
    """One value: its dotted name, its check, its default (REQUIRED: none), and what it is for."""

    name: str
    check: Check
    default: Any = REQUIRED
    about: str = ""


class SettingsTable:
    """Settings by name."""

    def __init__(self, *settings: Setting) -> None:
        self.settings = settings

    def read(self, given: Any) -> dict[str, Any]:
        """Every setting's value by its dotted name; SettingsError names the first that is wrong."""
        if not isinstance(given, Mapping):
            raise SettingsError("not a mapping")
        found: dict[str, Any] = {}
        for setting in self.settings:
            value: Any = given
            for part in setting.name.split("."):
                value = value.get(part, REQUIRED) if isinstance(value, Mapping) else REQUIRED
            if value is REQUIRED:
                if setting.default is REQUIRED:
                    raise SettingsError(f"{setting.name}: {REQUIRED.reason}")
                value = setting.default
            elif wrong := setting.check(value):
                raise SettingsError(f"{setting.name}: {value!r:.80} is {wrong}")
            found[setting.name] = value
        return found
