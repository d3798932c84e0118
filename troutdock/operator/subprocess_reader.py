"""Reads a deployment file in a subprocess, while the ingress keeps serving.

Reading ten thousand routes of YAML takes ten seconds and allocates millions of objects. In a thread of the
ingress, creating these objects, and freeing them all at once, would block the event loop for 0.1 s. The
subprocess validates the file and returns plain values, which are compiled in the ingress.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec

from troutdock.operator.compiled import Compiled, compile_deployment
from troutdock.operator.deployment import validate
from troutdock.operator.yaml_tree import Tree, load

TIMEOUT_S = 120.0  # for the whole subprocess


def read_in_subprocess(path: Path) -> Compiled | list[str]:
    """Returns the deployment, or its problems, one per line.

    Blocks the calling thread without holding the GIL. The routes of the deployment are only in its table,
    not in its file.
    """
    try:
        command = [sys.executable, "-m", "troutdock.operator.subprocess_reader", str(path)]
        process = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=False)
        result = msgspec.json.decode(process.stdout)
    except (OSError, subprocess.TimeoutExpired, msgspec.DecodeError) as error:
        return [f"{path}: reading it in a subprocess failed: {error}"]
    if result["problems"]:
        return [str(line) for line in result["problems"]]
    tree = Tree(result["value"])
    file = validate(tree)
    deployment = None if file is None else compile_deployment(file, tree)
    for rows in (result["value"]["routes"], [] if file is None else file.routes):
        while rows:  # one by one: freeing all of them at once would hold the GIL
            rows.pop()
    return (
        [str(p) for p in tree.problems] or [f"{path}: validate in the subprocess, but not valid here"]
        if deployment is None
        else deployment
    )


def main() -> None:
    """Prints the values of the file named on the command line, or its problems, as JSON."""
    tree = load(Path(sys.argv[1]), os.environ)
    file = validate(tree)
    if file is not None:
        compile_deployment(file, tree)
    problems = [str(problem) for problem in sorted(dict.fromkeys(tree.problems))]
    print(json.dumps({"problems": problems, "value": None if problems else tree.value}))


if __name__ == "__main__":
    main()
