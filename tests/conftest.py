"""The front that the tests of the rules meet: `--front daemon` (the default), `middleware` or `grpc`."""

from __future__ import annotations

import os

import loopback
import pytest
from hypothesis import settings

# CI gives the same verdict every time; elsewhere each run looks at other examples
settings.register_profile("ci", derandomize=True)
if os.environ.get("CI"):
    settings.load_profile("ci")


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--front", choices=sorted(loopback.FRONTS), default="daemon", help="what tests/rules/ is run against"
    )


def pytest_configure(config: pytest.Config) -> None:
    loopback.front = config.getoption("--front")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """How many tests of the rules met this front: the figure is the same for each of them."""
    ran = [
        r
        for outcome in ("passed", "failed")
        for r in terminalreporter.getreports(outcome)
        if r.when == "call" and "tests/rules/" in r.nodeid
    ]
    if ran:
        terminalreporter.write_line(f"rules: {len(ran)} tests ran against the {loopback.front}")
