"""Tests that tests with random input give the same verdict on every run."""

import re
from pathlib import Path

from hypothesis import settings

import cornelnotch

PACKAGE = Path(cornelnotch.__file__).parent
# Calls that draw from a generator without a seed of its own.
UNSEEDED = re.compile(
    r"\bRandom\(\)|\b(?<!\.)random\.[a-z]+\(|\burandom\(|\bsecrets\.|"
    r"use_true_random=True|derandomize=False"
)


def test_property_tests_draw_the_same_examples_on_every_run():
    profile = settings()
    assert (profile.derandomize, profile.deadline) == (True, None)
    assert profile.max_examples >= 200


def test_no_test_draws_from_an_unseeded_generator():
    files = [path for path in PACKAGE.glob("**/tests/*.py") if path != Path(__file__)]
    assert files
    assert [str(f) for f in files if UNSEEDED.search(f.read_text())] == []
