"""Run the tests without the known failures of KNOWN-RED.txt, and print these.

Most tests run in parallel workers. Those with the marker `alone`, whose bounds of time
or memory other tests would break, run one after another when the workers have ended.
"""

import os
import subprocess
import sys
from pathlib import Path

__all__ = ["choose_workers", "list_known_red", "merge_exit_codes", "run_suite"]

KNOWN_FAILURES_FILE = Path("KNOWN-RED.txt")
TEST_FIELD = "test: "
EXIT_NO_TESTS = 5
# Processors left to the hosts and servers that tests start.
SPARE_PROCESSORS = 2


def list_known_red(text: str) -> list[str]:
    """Return the test names listed in the text of KNOWN-RED.txt."""
    lines = [line.strip() for line in text.splitlines()]
    return [x.removeprefix(TEST_FIELD) for x in lines if x.startswith(TEST_FIELD)]


def choose_workers(processors: int) -> int:
    """Return the number of parallel test workers for a number of processors."""
    return max(processors - SPARE_PROCESSORS, 1)


def merge_exit_codes(codes: list[int]) -> int:
    """Return the first failure; a group without tests fails only if all are empty."""
    ran = [code for code in codes if code != EXIT_NO_TESTS]
    return next((code for code in ran if code), 0) if ran else EXIT_NO_TESTS


def run_suite(arguments: list[str]) -> int:
    """Run pytest without the known failures and return its exit code."""
    text = KNOWN_FAILURES_FILE.read_text() if KNOWN_FAILURES_FILE.exists() else ""
    known = list_known_red(text)
    options = [option for name in known for option in ("--deselect", name)]
    command = [sys.executable, "-m", "pytest", "--durations=5", *options, *arguments]
    workers = str(choose_workers(os.cpu_count() or 1))
    groups = [
        ["-m", "not alone", "--numprocesses", workers, "--dist", "worksteal"],
        ["-m", "alone"],
    ]
    codes = [subprocess.run(command + g, check=False).returncode for g in groups]
    print(f"known red: {len(known)}")
    if known:
        print(text.rstrip())
    return merge_exit_codes(codes)


if __name__ == "__main__":
    sys.exit(run_suite(sys.argv[1:]))
