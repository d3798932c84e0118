"""Normalization of the request target and host, so that all recipients interpret them alike (no I/O).

The normalized form is both matched and forwarded. A form that a server might interpret differently from this
ingress is either normalized or rejected:

    normalized   absolute form, empty segments, dot segments, percent-encoded unreserved characters, the case
                 of escapes and hosts, a trailing dot and the port of a host
    rejected     an encoded slash, backslash or NUL, also double-encoded; a backslash, a fragment, a control
                 character or a non-ASCII byte; dot segments above the root or followed by a semicolon;
                 invalid percent escapes
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import NamedTuple

_ABSOLUTE = re.compile(r"(?i:https?)://([^/?#]*)(.*)", re.S)
_FORBIDDEN = re.compile(r"[^!-~]|[\\#]")
# fast path for most targets: already normalized and valid
_NORMALIZED = re.compile(r"((?:/[A-Za-z0-9_~-][A-Za-z0-9_~.-]*)+/?|/)(?:\?([!-\"$-\[\]-~]*))?")
_PERCENT_ESCAPE = re.compile(r"%(..?)?", re.S)
_ENCODED_SEPARATOR = re.compile(r"%(?:2F|5C|00)|%25(?:2F|5C|2E|00|25)", re.I)
_HOST = re.compile(r"(?:[a-z0-9_](?:[a-z0-9_-]{0,62}\.)?)+|\[[0-9a-f:.]+\]")
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")


HOST_CACHE_SIZE = 1024


class InvalidTarget(ValueError):
    """The target or host is invalid or ambiguous."""


class Target(NamedTuple):
    """host: empty if the target has none. path: begins with a slash. query: without the question mark."""

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
    """Returns the normalized path; raises InvalidTarget if it is invalid."""
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
        if last:  # a trailing slash or dot segment leaves a trailing slash
            kept.append("")
    return "/" + "/".join(kept)


@lru_cache(HOST_CACHE_SIZE)
def normalize_host(host: str) -> str:
    """Returns the normalized host of a Host header or authority, without port; InvalidTarget if invalid."""
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
    """Normalizes a request target in origin or absolute form (RFC 9112, 3.2); InvalidTarget if invalid."""
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
