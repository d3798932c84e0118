"""A request's target and host in one plain form, so that no two readers of it can disagree (no I/O).

What is matched is what is sent on. A form that a server might read in another way than this ingress is
either made plain or refused:

    made plain   an absolute form, empty segments, dot segments, percent-codes of unreserved characters, the
                 case of codes and hosts, a host's last dot and port
    refused      an encoded slash, backslash or NUL, also encoded twice; a backslash, a fragment, a control or
                 a byte beyond ASCII; dot segments that climb above the root or hide behind a semicolon; codes
                 that are none
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import NamedTuple

_ABSOLUTE = re.compile(r"(?i:https?)://([^/?#]*)(.*)", re.S)
_FORBIDDEN = re.compile(r"[^!-~]|[\\#]")
# as most come: nothing to make plain, nothing to refuse
_NORMALIZED = re.compile(r"((?:/[A-Za-z0-9_~-][A-Za-z0-9_~.-]*)+/?|/)(?:\?([!-\"$-\[\]-~]*))?")
_PERCENT_ESCAPE = re.compile(r"%(..?)?", re.S)
_ENCODED_SEPARATOR = re.compile(r"%(?:2F|5C|00)|%25(?:2F|5C|2E|00|25)", re.I)
_HOST = re.compile(r"(?:[a-z0-9_](?:[a-z0-9_-]{0,62}\.)?)+|\[[0-9a-f:.]+\]")
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")


HOST_CACHE_SIZE = 1024  # whose plain form is remembered


class InvalidTarget(ValueError):
    """It might be read in more than one way."""


class Target(NamedTuple):
    """host: empty if the target names none. path: begins with a slash. query: without its question mark."""

    host: str
    path: str
    query: str


def _decode_escape(found: re.Match[str]) -> str:
    code = found[1] or ""
    if len(code) != 2 or not all(c in "0123456789abcdefABCDEF" for c in code):
        raise InvalidTarget("a percent sign with no code behind it")
    character = chr(int(code, 16))
    return character if character in _UNRESERVED else "%" + code.upper()


def normalize_path(path: str) -> str:
    """The path in its plain form; BadTarget if there is none."""
    if not path.startswith("/"):
        raise InvalidTarget("a path begins with a slash")
    path = _PERCENT_ESCAPE.sub(_decode_escape, path)
    if _ENCODED_SEPARATOR.search(path):
        raise InvalidTarget("an encoded slash, backslash, dot or NUL")
    kept: list[str] = []
    segments = path.split("/")[1:]
    for number, segment in enumerate(segments):
        last = number == len(segments) - 1
        name = segment.partition(";")[0]
        if name in (".", "..") and name != segment:
            raise InvalidTarget("a dot segment behind a semicolon")
        if segment == "..":
            if not kept:
                raise InvalidTarget("a path that climbs above its root")
            kept.pop()
        elif segment not in ("", "."):
            kept.append(segment)
            continue
        if last:  # what ended with a slash, or a dot segment, is a folder
            kept.append("")
    return "/" + "/".join(kept)


@lru_cache(HOST_CACHE_SIZE)
def normalize_host(host: str) -> str:
    """A Host header or an authority without its port; BadTarget if it is none."""
    name = host.strip().lower()
    if "@" in name:
        raise InvalidTarget("a host with somebody's name before it")
    if not name.startswith("["):
        name, _, port = name.partition(":")
    else:
        name, _, port = name.partition("]")
        name, port = name + "]", port.removeprefix(":")
    if port and not (port.isdigit() and len(port) <= 5):
        raise InvalidTarget("a port that is none")
    name = name.removesuffix(".")
    if name and (len(name) > 253 or not _HOST.fullmatch(name)):
        raise InvalidTarget("a host that is none")
    return name


def normalize_target(raw: str) -> Target:
    """A request's target, in origin or absolute form (RFC 9112, 3.2); BadTarget if it has no plain form."""
    if (simple := _NORMALIZED.fullmatch(raw)) is not None:
        return Target("", simple[1], simple[2] or "")
    if _FORBIDDEN.search(raw):
        raise InvalidTarget("a backslash, a fragment, a space, a control or a byte beyond ASCII")
    host = ""
    if (absolute := _ABSOLUTE.fullmatch(raw)) is not None:
        host, raw = normalize_host(absolute[1]), absolute[2] or "/"
        if not host:
            raise InvalidTarget("an absolute form without a host")
        if raw.startswith("?"):
            raw = "/" + raw
    path, _, query = raw.partition("?")
    return Target(host, normalize_path(path), query)
