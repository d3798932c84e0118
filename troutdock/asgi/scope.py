"""Reads a request's scope: the target to send to nodes, and the facts from the protocol's headers."""

from __future__ import annotations

from urllib.parse import quote

from troutdock.asgi.types import Scope
from troutdock.engine import BadRequest
from troutdock.http.request import ACCOUNT, INTERPRETED_HEADERS, QUOTA, SECONDS
from troutdock.library.facts import Facts

_SAFE_IN_PATH = "/~!$&'()*+,;=:@%"


def target_of(scope: Scope) -> bytes:
    """Returns path and query below the application's root, in raw form if the server provides it."""
    raw: bytes | None = scope.get("raw_path")
    path = raw.partition(b"?")[0] if raw else quote(scope["path"], safe=_SAFE_IN_PATH).encode()
    root = quote(scope.get("root_path", ""), safe=_SAFE_IN_PATH).rstrip("/").encode()
    if root and (path == root or path.startswith(root + b"/")):
        path = path[len(root) :] or b"/"
    query: bytes = scope.get("query_string", b"")
    return path + b"?" + query if query else path


def below_root(scope: Scope) -> str:
    """Returns the path below the application's root."""
    path, root = str(scope["path"]), str(scope.get("root_path", "")).rstrip("/")
    return path[len(root) :] or "/" if root and (path == root or path.startswith(root + "/")) else path


def single_headers(scope: Scope) -> dict[bytes, bytes]:
    """Returns the headers by name; raises BadRequest if a header that the protocol interprets is repeated."""
    found: dict[bytes, bytes] = {}
    for name, value in scope["headers"]:
        if name in found and name in INTERPRETED_HEADERS:
            raise BadRequest(400, f"{name.decode()} comes twice")
        found[name] = value
    return found


def _text(value: bytes) -> str:
    return value.decode("latin-1")


def facts_from_headers(scope: Scope) -> Facts:
    """Default facts of guard mode: class from the first path segment, the rest from the protocol's headers.

    Plan and Account are required. Without Request-Timeout the class's deadline applies; without Quota-Info
    the request counts one unit and its customer uses every ingress. Raises BadRequest for invalid headers.
    """
    headers = single_headers(scope)
    for name, pattern in ((b"account", ACCOUNT), (b"request-timeout", SECONDS), (b"quota-info", QUOTA)):
        if not pattern.fullmatch(headers.get(name, b"")) and (name in headers or name == b"account"):
            raise BadRequest(400, f"{name.decode()} is missing or senseless")
    seconds, quota = headers.get(b"request-timeout"), QUOTA.fullmatch(headers.get(b"quota-info", b""))
    if quota is not None and not int(quota[2]):
        raise BadRequest(400, "quota-info is out of range")
    return Facts(
        cls=below_root(scope).lstrip("/").partition("/")[0],
        customer=int(headers[b"account"], 16),
        plan=_text(headers.get(b"plan", b"")),
        units=float(quota[1]) if quota else 1.0,
        timeout_s=float(seconds) if seconds is not None else None,
        retry=headers.get(b"client-retry") == b"1",
        first=int(quota[3]) if quota else 0,
        spread=int(quota[2]) if quota else 0,
        request_id=_text(headers.get(b"request-id", b"")),
        key=_text(headers.get(b"idempotency-key", b"")),
    )
