"""The command `troutdock`; no other package imports this one."""

from __future__ import annotations

import sys


def main() -> None:
    """Runs the command line; prints one line and exits with 2 if an optional dependency is not installed."""
    try:
        from troutdock.cli.app import app
    except ImportError as error:
        print(
            f"troutdock: the command line needs the extra `cli`: {error.name} is not installed",
            file=sys.stderr,
        )
        raise SystemExit(2) from error
    app()
