"""Reads an operator's file: parsed by ruamel.yaml, validated by pydantic; each error names its line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pydantic import ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from troutdock.operator.model import OperatorFile

MAX_FILE_BYTES = 4 << 20  # more than an operator writes by hand


class OperatorError(Exception):
    """The file can't be used; the message is one line with file, line and key."""


def read_operator(path: Path) -> OperatorFile:
    """Returns the file's settings; raises OperatorError if any part of it is missing or invalid."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise OperatorError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        raw = YAML(typ="rt", pure=True).load(path.read_text(encoding="utf-8"))
    except MarkedYAMLError as error:
        line = f":{error.problem_mark.line + 1}" if error.problem_mark is not None else ""
        raise OperatorError(f"{path}{line}: {error.problem}") from error
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        raise OperatorError(f"{path}: {' '.join(str(error).split())}") from error
    if not isinstance(raw, dict):
        raise OperatorError(f"{path}: no sections in it")
    try:
        return OperatorFile.model_validate(_to_plain(raw))
    except ValidationError as error:
        first = error.errors()[0]
        keys = list(first["loc"])
        message = first["msg"].removeprefix("Value error, ")
        raise OperatorError(
            f"{path}:{_line_number(raw, keys)}: {'.'.join(map(str, keys)) or 'the file'}: {message}"
        ) from error


def _to_plain(raw: Any) -> Any:
    """Returns the value as plain dicts, lists and scalars, without ruamel's position marks."""
    if isinstance(raw, dict):
        return {str(key): _to_plain(value) for key, value in raw.items()}
    if isinstance(raw, list):
        return [_to_plain(value) for value in raw]
    for kind in (bool, int, float, str):
        if isinstance(raw, kind):
            return kind(raw)
    return raw


def _line_number(raw: Any, keys: list[Any]) -> int:
    """Returns the line (from 1) of the last of these keys that exists."""
    line = 1
    for key in keys:
        if not isinstance(raw, dict | list) or (isinstance(raw, dict) and key not in raw):
            break
        marks: Any = raw  # ruamel's subclasses of dict and list
        position = marks.lc.key(key) if isinstance(raw, dict) else marks.lc.item(key)
        line, raw = position[0] + 1, raw[key]
    return line
