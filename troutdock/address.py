"""Network addresses in the form host:port."""

from __future__ import annotations

Address = tuple[str, int]


def parse_address(text: object) -> Address:
    """Parses an address such as "10.0.0.4:8081"; raises ValueError for anything else."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} is not an address")
    return host, int(port)
