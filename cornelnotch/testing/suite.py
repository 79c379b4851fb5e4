"""Run the tests without the known failures of KNOWN-RED.txt, and print these."""

import subprocess
import sys
from pathlib import Path

__all__ = ["list_known_red", "run_suite"]

KNOWN_FAILURES_FILE = Path("KNOWN-RED.txt")
TEST_FIELD = "test: "


def list_known_red(text: str) -> list[str]:
    """Return the test names listed in the text of KNOWN-RED.txt."""
    lines = [line.strip() for line in text.splitlines()]
    return [x.removeprefix(TEST_FIELD) for x in lines if x.startswith(TEST_FIELD)]


def run_suite(arguments: list[str]) -> int:
    """Run pytest without the known failures and return its exit code."""
    text = KNOWN_FAILURES_FILE.read_text() if KNOWN_FAILURES_FILE.exists() else ""
    known = list_known_red(text)
    options = [option for name in known for option in ("--deselect", name)]
    command = [sys.executable, "-m", "pytest", "--durations=5", *options, *arguments]
    exit_code = subprocess.run(command, check=False).returncode
    print(f"known red: {len(known)}")
    if known:
        print(text.rstrip())
    return exit_code


if __name__ == "__main__":
    sys.exit(run_suite(sys.argv[1:]))
