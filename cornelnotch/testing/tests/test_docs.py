"""Keep examples running and the repository's lists readable."""

import subprocess
import sys
from pathlib import Path

import pytest

from cornelnotch.testing.suite import list_known_red

EXAMPLES = sorted(Path("examples").glob("*.py"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_run_as_they_stand(path):
    done = subprocess.run(
        [sys.executable, str(path)],
        env={"PYTHONPATH": ".", "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout


def test_known_failures_are_listed_by_test():
    text = "test: a/b.py::c\ncommand: pytest\nseen: x\nissue: 4\n"
    assert list_known_red(text) == ["a/b.py::c"]
    assert list_known_red("") == []


def test_links_in_the_docs_lead_somewhere():
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
