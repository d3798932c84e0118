"""Loads YAML files as plain values with file, line and column; resolves includes and environment variables.

All problems are reported together: duplicate keys, tabs, excessive expansion of anchors, circular includes,
unset variables. A file is read in one call, so a file that is replaced meanwhile is read either old or new.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError

MAX_FILE_BYTES = 4 << 20  # per file; more than an operator writes by hand
MAX_VALUES = 500_000  # over all files, with expanded aliases
_VARIABLE = re.compile(r"\$(?:\$|\{([A-Za-z_][A-Za-z0-9_]*)(?::-([^}]*))?\})")

Keys = tuple[str | int, ...]


class Location(NamedTuple):
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Problem(NamedTuple):
    """A problem in a file, with its location and key."""

    location: Location
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.key + ': ' if self.key else ''}{self.message}"


@dataclass(slots=True)
class Tree:
    """The values of a file merged with those of its includes, and the problems found."""

    value: dict[str, Any] = field(default_factory=dict)
    locations: dict[Keys, Location] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def location(self, keys: Keys) -> Location:
        """Returns the location of these keys, or of the nearest parent that exists."""
        while keys and keys not in self.locations:
            keys = keys[:-1]
        return self.locations.get(keys, Location("", 1, 1))


def format_keys(keys: Keys) -> str:
    """Returns the keys in the notation of an operator, such as `routes[1].match`."""
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in keys).lstrip(".")


def load(path: Path, environment: Mapping[str, str]) -> Tree:
    """Loads the file and its includes; problems are in the returned tree."""
    tree = Tree()
    _Loader(tree, environment).file(path, ())
    tree.locations.setdefault((), Location(str(path), 1, 1))
    return tree


class _Loader:
    def __init__(self, tree: Tree, environment: Mapping[str, str]) -> None:
        self._tree, self._environment, self._value_count = tree, environment, 0

    def _add_problem(self, location: Location, message: str, key: str = "") -> None:
        self._tree.problems.append(Problem(location, key, message))

    def file(self, path: Path, parents: tuple[Path, ...]) -> None:
        """Loads the included files, then merges the values of this file."""
        start = Location(str(path), 1, 1)
        if path.resolve() in parents:
            cycle = " -> ".join(str(p) for p in (*parents, path.resolve()))
            self._add_problem(start, f"it includes itself: {cycle}")
            return
        try:
            with path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            if len(data) > MAX_FILE_BYTES:
                self._add_problem(start, f"larger than {MAX_FILE_BYTES} bytes")
                return
            raw = YAML(typ="rt", pure=True).load(data.decode())
        except MarkedYAMLError as error:
            mark = error.problem_mark
            location = start if mark is None else Location(str(path), mark.line + 1, mark.column + 1)
            self._add_problem(location, " ".join(f"{error.problem}".split()))
            return
        except (OSError, UnicodeDecodeError, YAMLError, RecursionError) as error:
            self._add_problem(start, " ".join(str(error).split())[:200] or type(error).__name__)
            return
        if raw is None:
            raw = {}
        if not isinstance(raw, dict):
            self._add_problem(start, "no keys in it")
            return
        includes = raw.get("include", [])
        if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
            self._add_problem(self._location(path, raw, "include"), "a list of files", "include")
            includes = []
        for name in includes:
            self.file(path.parent / str(name), (*parents, path.resolve()))
        value = {
            str(key): self._convert(path, raw, key, item, (str(key),))
            for key, item in raw.items()
            if key != "include"
        }
        self._merge(value, self._tree.value, (), path, raw)

    def _location(self, path: Path, raw: Any, key: Any) -> Location:
        is_list = isinstance(raw, list)
        try:
            marks: Any = raw.lc
            line, column = marks.item(key) if is_list else marks.key(key)
        except (AttributeError, KeyError, TypeError):
            line, column = 0, 0
        return Location(str(path), line + 1, column + 1)

    def _convert(self, path: Path, holder: Any, key: Any, item: Any, keys: Keys) -> Any:
        location = self._location(path, holder, key)
        self._tree.locations.setdefault(keys, location)
        self._value_count += 1
        if self._value_count > MAX_VALUES:
            if self._value_count == MAX_VALUES + 1:
                self._add_problem(
                    location, f"more than {MAX_VALUES} values, with what anchors repeat", format_keys(keys)
                )
            return None
        if isinstance(item, dict):
            return {str(k): self._convert(path, item, k, v, (*keys, str(k))) for k, v in item.items()}
        if isinstance(item, list):
            return [self._convert(path, item, n, v, (*keys, n)) for n, v in enumerate(item)]
        for kind in (bool, int, float):
            if isinstance(item, kind):
                return kind(item)
        return self._substitute(str(item), location, keys) if isinstance(item, str) else item

    def _substitute(self, text: str, location: Location, keys: Keys) -> Any:
        """Substitutes variables; a value that is one variable may become a number or boolean."""

        def value(found: re.Match[str]) -> str:
            name, default = found[1], found[2]
            if name is None:
                return "$"
            if name not in self._environment and default is None:
                self._add_problem(location, f"the environment has no {name}", format_keys(keys))
            return self._environment.get(name, default or "")

        single = _VARIABLE.fullmatch(text)
        result = _VARIABLE.sub(value, text)
        if single is not None and single[1] is not None and re.fullmatch(r"-?\d+(\.\d+)?|true|false", result):
            return YAML(typ="safe", pure=True).load(result)
        return result

    def _merge(self, new: dict[str, Any], known: dict[str, Any], keys: Keys, path: Path, raw: Any) -> None:
        """Merges mappings and concatenates lists; a value that is already set is a problem."""
        for key, item in new.items():
            here = (*keys, key)
            if key not in known:
                known[key] = item
            elif isinstance(item, dict) and isinstance(known[key], dict):
                self._merge(item, known[key], here, path, raw.get(key))
            elif isinstance(item, list) and isinstance(known[key], list):
                for number in range(len(item)):
                    location = self._location(path, raw.get(key) if isinstance(raw, dict) else None, number)
                    self._tree.locations[(*here, len(known[key]) + number)] = location
                known[key].extend(item)
            else:
                before = self._tree.location(here)
                self._add_problem(
                    self._location(path, raw, key), f"it is there already, at {before}", format_keys(here)
                )
