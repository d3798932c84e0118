"""Reads a deployment's file in a process of its own, for an ingress that serves meanwhile.

Reading ten thousand routes of YAML takes ten seconds and millions of objects; in a thread of the ingress
their making and, all at once, their end would stop its loop for a tenth of a second. What comes back are
plain values, which have been checked there, and are compiled here.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec

from troutdock.operator.compiled import Compiled, compiled
from troutdock.operator.deployment import validated
from troutdock.operator.yaml_tree import Tree, load

MOST_S = 120.0  # for all of it


def read_apart(path: Path) -> Compiled | list[str]:
    """The deployment, or what is wrong with it, a line each; blocks, but leaves the interpreter to others.

    Its routes are in its table only.
    """
    try:
        words = [sys.executable, "-m", "troutdock.operator.subprocess_reader", str(path)]
        done = subprocess.run(words, capture_output=True, timeout=MOST_S, check=False)
        found = msgspec.json.decode(done.stdout)
    except (OSError, subprocess.TimeoutExpired, msgspec.DecodeError) as error:
        return [f"{path}: it could not be read apart: {error}"]
    if found["problems"]:
        return [str(line) for line in found["problems"]]
    tree = Tree(found["value"])
    file = validated(tree)
    made = None if file is None else compiled(file, tree)
    for rows in (found["value"]["routes"], [] if file is None else file.routes):
        while rows:  # each by itself: the end of all of them at once would hold the interpreter
            rows.pop()
    return [str(p) for p in tree.problems] or [f"{path}: not as it was read"] if made is None else made


def main() -> None:
    """Print the values of the file that is named, or its problems."""
    tree = load(Path(sys.argv[1]), os.environ)
    file = validated(tree)
    if file is not None:
        compiled(file, tree)
    told = [str(problem) for problem in sorted(dict.fromkeys(tree.problems))]
    print(json.dumps({"problems": told, "value": None if told else tree.value}))


if __name__ == "__main__":
    main()
