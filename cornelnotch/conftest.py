"""Profiles of the property tests: the same examples on every run, or a long search."""

import os

from hypothesis import HealthCheck, settings

EXAMPLES = 200

# The check of the speed of generation depends on the load of the machine.
settings.register_profile(
    "suite",
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "search",
    settings.get_profile("suite"),
    max_examples=int(os.environ.get("CORNELNOTCH_EXAMPLES", EXAMPLES)),
    derandomize=False,
    database=None,
    print_blob=True,
)
settings.load_profile("suite")
