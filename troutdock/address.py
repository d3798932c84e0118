"""Addresses as the platform and discovery write them."""

from __future__ import annotations

Address = tuple[str, int]


def parse_address(text: object) -> Address:
    """Host and port of "10.0.0.4:8081"; ValueError for anything else."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} is not an address")
    return host, int(port)
