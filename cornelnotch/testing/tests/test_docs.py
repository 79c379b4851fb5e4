"""Tests of the examples, the list of known failures and the links in the docs."""

import subprocess
import sys
from pathlib import Path

import pytest

from cornelnotch.testing.suite import list_known_red

EXAMPLES = sorted(Path("examples").glob("*.py"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_runs_unmodified(path):
    completed = subprocess.run(
        [sys.executable, str(path)],
        env={"PYTHONPATH": ".", "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout


def test_known_failures_are_parsed():
    text = "test: a/b.py::c\ncommand: pytest\nseen: x\nissue: 4\n"
    assert list_known_red(text) == ["a/b.py::c"]
    assert list_known_red("") == []


def test_relative_links_in_docs_resolve():
    broken = []
    for page in [
        Path("README.md"),
        Path("CONTRIBUTING.md"),
        *Path("docs").rglob("*.md"),
    ]:
        for part in page.read_text().split("](")[1:]:
            target = part.partition(")")[0].partition("#")[0]
            if target and "://" not in target and not (page.parent / target).exists():
                broken.append(f"{page}: {target}")
    assert broken == []
