"""Helpers of the commands: one-line errors, accounts and times as text, requests to management addresses."""

from __future__ import annotations

import http.client
import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from typing import NoReturn

import typer

MAX_BATCH_BYTES = 128 * 1024  # per request; a management server accepts 256 KiB
REQUEST_TIMEOUT_S = 10.0  # for one request; the server itself allows 5 s


@contextmanager
def plain_errors(*kinds: type[Exception]) -> Iterator[None]:
    """Turns bad input, I/O errors and errors of these kinds into a one-line message and exit code 2."""
    caught: tuple[type[Exception], ...] = (ValueError, OSError, *kinds)
    try:
        yield
    except caught as error:
        exit_with_error(str(error))


def exit_with_error(why: str, code: int = 2) -> NoReturn:
    """Prints a one-line error and exits."""
    typer.echo(f"troutdock: {why}", err=True)
    raise typer.Exit(code)


def parse_account(account: str) -> int:
    """Parses an account, as requests name it, into the customer number."""
    try:
        if len(account) == 16:
            return int(account, 16)
    except ValueError:
        pass
    raise ValueError(f"{account!r} is not an account of 16 hex digits")


def parse_time_ms(text: str) -> float:
    """Parses `now` or an ISO 8601 time (UTC if it has no zone) into Unix time in milliseconds."""
    if text == "now":
        return time.time() * 1000
    parsed = datetime.fromisoformat(text)
    return (parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp() * 1000


def format_time(at_ms: float) -> str:
    """Formats Unix time in milliseconds in ISO 8601, UTC."""
    return datetime.fromtimestamp(at_ms / 1000, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def send_request(door: str, method: str, path: str, body: bytes = b"") -> bytes:
    """Sends one request to a management address (host:port).

    Returns:
        The body of the response.

    Raises:
        OSError: the address can't be reached; the message names it.
        ValueError: the address is malformed, or the status is not 200; the message names the address.
    """
    host, _, port = door.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{door!r} is no host:port")
    connection = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise OSError(f"{door}: {error or type(error).__name__}") from error
    finally:
        connection.close()
    if response.status == 404:
        raise ValueError(f"{door}: this ingress has no {path.split('/')[-1]}: its operator's file names none")
    if response.status != 200:
        raise ValueError(f"{door}: {data.decode(errors='replace').strip()}")
    return data


def send_to_all(doors: list[str], path: str, lines: bytes, retry_hint: str) -> None:
    """Sends the lines to each door in batches.

    Prints an error for each door that did not accept them, and then exits with 1.

    Args:
        doors: management addresses, host:port.
        path: path of the requests.
        lines: JSON lines to add.
        retry_hint: advice on how to repeat the command, for the final error.
    """
    failures = 0
    for door in doors:
        remaining = lines
        try:
            while remaining:
                end = (
                    len(remaining)
                    if len(remaining) <= MAX_BATCH_BYTES
                    else remaining.rindex(b"\n", 0, MAX_BATCH_BYTES) + 1
                )
                send_request(door, "POST", path, remaining[:end])
                remaining = remaining[end:]
        except (OSError, ValueError) as error:
            failures += 1
            typer.echo(f"troutdock: not sent: {error}", err=True)
    if failures:
        exit_with_error(f"{failures} ingresses have not heard: {retry_hint}", 1)


def require_file_or_doors(file: object, doors: list[str]) -> None:
    """Raises ValueError unless either a file or doors are given."""
    if (file is None) == (not doors):
        raise ValueError("either --file or --door is needed, not both")
