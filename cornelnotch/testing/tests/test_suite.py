"""Guard the way the suite is split into groups."""

import pytest

from cornelnotch.testing.suite import choose_workers, merge_exit_codes


@pytest.mark.parametrize(("processors", "workers"), [(1, 1), (2, 1), (7, 5), (8, 6)])
def test_processors_are_left_to_the_processes_that_tests_start(processors, workers):
    assert choose_workers(processors) == workers


@pytest.mark.parametrize(
    ("codes", "merged"),
    [
        ([0, 0], 0),
        ([1, 0], 1),
        ([0, 1], 1),
        ([0, 5], 0),
        ([5, 2], 2),
        ([5, 5], 5),
    ],
)
def test_a_failure_in_one_group_is_not_hidden_by_the_other(codes, merged):
    assert merge_exit_codes(codes) == merged
