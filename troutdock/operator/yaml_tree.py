"""YAML files as plain values, each with its place: file, line and column; with includes and the environment.

Bad input gives Problems, all at once: duplicate keys, tabs, anchors that blow up, includes in a circle,
variables that are not set. A file is read in one go, so one that is replaced meanwhile is the old or the new.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError

MOST_BYTES = 4 << 20  # of one file: no operator writes more by hand
MOST_NODES = 500_000  # of all, with what aliases repeat
_VARIABLE = re.compile(r"\$(?:\$|\{([A-Za-z_][A-Za-z0-9_]*)(?::-([^}]*))?\})")

Keys = tuple[str | int, ...]


class Place(NamedTuple):
    """Line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Problem(NamedTuple):
    """What is wrong, where, and by which key."""

    place: Place
    key: str
    said: str

    def __str__(self) -> str:
        return f"{self.place}: {self.key + ': ' if self.key else ''}{self.said}"


@dataclass(slots=True)
class Tree:
    """A file's values, those of its includes joined in, and what was wrong with them."""

    value: dict[str, Any] = field(default_factory=dict)
    places: dict[Keys, Place] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def place(self, keys: Keys) -> Place:
        """Of these keys, or of the nearest that are there."""
        while keys and keys not in self.places:
            keys = keys[:-1]
        return self.places.get(keys, Place("", 1, 1))


def named(keys: Keys) -> str:
    """Keys as an operator writes them."""
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in keys).lstrip(".")


def load(path: Path, environment: Mapping[str, str]) -> Tree:
    """The file's tree; problems stand in it."""
    tree = Tree()
    _Loader(tree, environment).file(path, ())
    tree.places.setdefault((), Place(str(path), 1, 1))
    return tree


class _Loader:
    def __init__(self, tree: Tree, environment: Mapping[str, str]) -> None:
        self._tree, self._environment, self._nodes = tree, environment, 0

    def _wrong(self, place: Place, said: str, key: str = "") -> None:
        self._tree.problems.append(Problem(place, key, said))

    def file(self, path: Path, above: tuple[Path, ...]) -> None:
        """This file's values, behind those of the files that it includes."""
        start = Place(str(path), 1, 1)
        if path.resolve() in above:
            circle = " -> ".join(str(p) for p in (*above, path.resolve()))
            self._wrong(start, f"it includes itself: {circle}")
            return
        try:
            with path.open("rb") as file:
                data = file.read(MOST_BYTES + 1)
            if len(data) > MOST_BYTES:
                self._wrong(start, f"larger than {MOST_BYTES} bytes")
                return
            raw = YAML(typ="rt", pure=True).load(data.decode())
        except MarkedYAMLError as error:
            mark = error.problem_mark
            place = start if mark is None else Place(str(path), mark.line + 1, mark.column + 1)
            self._wrong(place, " ".join(f"{error.problem}".split()))
            return
        except (OSError, UnicodeDecodeError, YAMLError, RecursionError) as error:
            self._wrong(start, " ".join(str(error).split())[:200] or type(error).__name__)
            return
        if raw is None:
            raw = {}
        if not isinstance(raw, dict):
            self._wrong(start, "no keys in it")
            return
        includes = raw.get("include", [])
        if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
            self._wrong(self._at(path, raw, "include"), "a list of files", "include")
            includes = []
        for name in includes:
            self.file(path.parent / str(name), (*above, path.resolve()))
        value = {
            str(key): self._plain(path, raw, key, item, (str(key),))
            for key, item in raw.items()
            if key != "include"
        }
        self._join(value, self._tree.value, (), path, raw)

    def _at(self, path: Path, raw: Any, key: Any) -> Place:
        several = isinstance(raw, list)
        try:
            marks: Any = raw.lc
            line, column = marks.item(key) if several else marks.key(key)
        except (AttributeError, KeyError, TypeError):
            line, column = 0, 0
        return Place(str(path), line + 1, column + 1)

    def _plain(self, path: Path, holder: Any, key: Any, item: Any, keys: Keys) -> Any:
        place = self._at(path, holder, key)
        self._tree.places.setdefault(keys, place)
        self._nodes += 1
        if self._nodes > MOST_NODES:
            if self._nodes == MOST_NODES + 1:
                self._wrong(place, f"more than {MOST_NODES} values, with what anchors repeat", named(keys))
            return None
        if isinstance(item, dict):
            return {str(k): self._plain(path, item, k, v, (*keys, str(k))) for k, v in item.items()}
        if isinstance(item, list):
            return [self._plain(path, item, n, v, (*keys, n)) for n, v in enumerate(item)]
        for kind in (bool, int, float):
            if isinstance(item, kind):
                return kind(item)
        return self._text(str(item), place, keys) if isinstance(item, str) else item

    def _text(self, text: str, place: Place, keys: Keys) -> Any:
        """With variables in place; one that is all of a value has the kind that its text has in YAML."""

        def value(found: re.Match[str]) -> str:
            name, other = found[1], found[2]
            if name is None:
                return "$"
            if name not in self._environment and other is None:
                self._wrong(place, f"the environment has no {name}", named(keys))
            return self._environment.get(name, other or "")

        whole = _VARIABLE.fullmatch(text)
        put = _VARIABLE.sub(value, text)
        if whole is not None and whole[1] is not None and re.fullmatch(r"-?\d+(\.\d+)?|true|false", put):
            return YAML(typ="safe", pure=True).load(put)
        return put

    def _join(self, new: dict[str, Any], known: dict[str, Any], keys: Keys, path: Path, raw: Any) -> None:
        """Mappings are joined, lists follow one another; a value that is there already is a problem."""
        for key, item in new.items():
            here = (*keys, key)
            if key not in known:
                known[key] = item
            elif isinstance(item, dict) and isinstance(known[key], dict):
                self._join(item, known[key], here, path, raw.get(key))
            elif isinstance(item, list) and isinstance(known[key], list):
                for number in range(len(item)):
                    place = self._at(path, raw.get(key) if isinstance(raw, dict) else None, number)
                    self._tree.places[(*here, len(known[key]) + number)] = place
                known[key].extend(item)
            else:
                before = self._tree.place(here)
                self._wrong(self._at(path, raw, key), f"it is there already, at {before}", named(here))
