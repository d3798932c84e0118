"""The documents name only paths, modules and links that exist, so that a reader can follow them."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted((ROOT / "docs").rglob("*.md"))]
SOURCES = ("troutdock", "tests", "benchmarks", "lab", "examples", "deploy", "docs", ".ci")
FILES = [
    path.relative_to(ROOT).as_posix() for top in SOURCES for path in (ROOT / top).rglob("*") if path.is_file()
]
ENDINGS = "py|toml|yaml|md|json|jsonl"


def exists(path: str) -> bool:
    """A path from the root, or the last components of one (`routing/table.py`); * matches within a name."""
    pattern = re.escape(path.rstrip("/")).replace(r"\*", "[^/]*")
    return any(re.search(rf"(?:^|/){pattern}(?:/|$)", file) for file in FILES)


def named_paths(text: str) -> set[str]:
    """Files that a page names in code, and folders of the project's own tops."""
    code = " ".join(re.findall(r"`([^`\n]+)`", text)) + " " + " ".join(re.findall(r"^    .*$", text, re.M))
    files = re.findall(rf"(?<![\w./<-])([\w.*-]+(?:/[\w.*-]+)*\.(?:{ENDINGS}))(?![\w/])", code)
    folders = re.findall(rf"(?<![\w./-])((?:{'|'.join(SOURCES[:-1])})/[\w/-]*)(?![\w.*-])", code)
    return {*files, *folders}


def named_modules(text: str) -> set[str]:
    """Dotted names below the project's packages, and what `python -m` starts."""
    return {
        *re.findall(r"\b((?:troutdock|benchmarks|lab)(?:\.\w+)+)", text),
        *re.findall(r"python3?(?: -\w)* -m (\w+(?:\.\w+)*)", text),
    }


def module_exists(name: str) -> bool:
    """A module of the project, or a name in one; modules of others are not looked for."""
    parts = name.split(".")
    if not (ROOT / parts[0]).is_dir():
        return parts[0] not in FORMER_PACKAGES
    for end in range(len(parts), 0, -1):
        place = ROOT.joinpath(*parts[:end])
        if place.is_dir() or place.with_suffix(".py").is_file():
            file = place.with_suffix(".py") if place.with_suffix(".py").is_file() else place / "__init__.py"
            rest = parts[end:]
            return not rest or (file.is_file() and re.search(rf"\b{rest[0]}\b", file.read_text()) is not None)
    return False


FORMER_PACKAGES = {"espalier", "hedgerow", "rootstock", "furrow", "pollen", "almanac", "tamarindfold"}
# files that a page names and that stand elsewhere: an operator's own, or what a program writes
OUTSIDE = {
    "boot.yaml",
    "config.json",
    "demo.yaml",
    "deployment.yaml",
    "operator.yaml",
    "parts.json",
    "plans.jsonl",
}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_paths_and_modules_that_a_page_names_exist(page: Path) -> None:
    text = page.read_text(encoding="utf-8")
    missing = sorted(
        name for name in named_paths(text) - OUTSIDE if not exists(name) and not (ROOT / name).exists()
    )
    missing += sorted(name for name in named_modules(text) if not module_exists(name))
    for link in re.findall(r"\]\(([^)#\s]+)(?:#[^)]*)?\)", text):
        if "://" not in link and not (page.parent / link).exists():
            missing.append(link)
    assert not missing
