"""Reads an operator's file: YAML by ruamel.yaml, checked by pydantic, every error with its line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pydantic import ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from troutdock.operator.model import OperatorFile

MOST_BYTES = 4 << 20  # of a file: no operator writes more by hand


class OperatorError(Exception):
    """The file can't be used; one line that names file, line and key."""


def read_operator(path: Path) -> OperatorFile:
    """The file's settings; OperatorError, and nothing of it is taken, if it is not whole or not right."""
    try:
        if path.stat().st_size > MOST_BYTES:
            raise OperatorError(f"{path}: larger than {MOST_BYTES} bytes")
        raw = YAML(typ="rt", pure=True).load(path.read_text(encoding="utf-8"))
    except MarkedYAMLError as error:
        line = f":{error.problem_mark.line + 1}" if error.problem_mark is not None else ""
        raise OperatorError(f"{path}{line}: {error.problem}") from error
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        raise OperatorError(f"{path}: {' '.join(str(error).split())}") from error
    if not isinstance(raw, dict):
        raise OperatorError(f"{path}: no sections in it")
    try:
        return OperatorFile.model_validate(_plain(raw))
    except ValidationError as error:
        first = error.errors()[0]
        keys = list(first["loc"])
        said = first["msg"].removeprefix("Value error, ")
        raise OperatorError(
            f"{path}:{_line(raw, keys)}: {'.'.join(map(str, keys)) or 'the file'}: {said}"
        ) from error


def _plain(raw: Any) -> Any:
    """Without the marks of where it stood."""
    if isinstance(raw, dict):
        return {str(key): _plain(value) for key, value in raw.items()}
    if isinstance(raw, list):
        return [_plain(value) for value in raw]
    for kind in (bool, int, float, str):
        if isinstance(raw, kind):
            return kind(raw)
    return raw


def _line(raw: Any, keys: list[Any]) -> int:
    """The line of the last of these keys that is there, from 1."""
    line = 1
    for key in keys:
        if not isinstance(raw, dict | list) or (isinstance(raw, dict) and key not in raw):
            break
        marks: Any = raw  # ruamel's own kinds of dict and list
        place = marks.lc.key(key) if isinstance(raw, dict) else marks.lc.item(key)
        line, raw = place[0] + 1, raw[key]
    return line
