"""Number of cases and seed of the tests that mutate input."""

import os

__all__ = ["SEED", "read_case_count"]

SEED = int(os.environ.get("CORNELNOTCH_SEED", "20261204"))


def read_case_count(default: int) -> int:
    """Return the number of mutated inputs of a test; long searches raise it."""
    return int(os.environ.get("CORNELNOTCH_FUZZ", default))
