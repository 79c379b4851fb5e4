"""Tests of the judgement of the rates that servers name."""

from collections import defaultdict
from pathlib import Path
from unittest.mock import Mock

from cornelnotch.soak.attempts import Attempt, Work
from cornelnotch.soak.fleet import HostLife
from cornelnotch.soak.judge import Check, StopJudge
from cornelnotch.soak.limits import find_fullest_window
from cornelnotch.standins.worker import RateLimit, WorkerRun

WORK = Work("read", 20.0)
# Allows 11 requests in 4 s.
LIMIT = RateLimit(1.0, 10.0, 60.0)


def create_runs(*arrivals):
    """Return attempts and a ledger of (host, time) pairs at one server."""
    attempts, ledger = {}, defaultdict(list)
    for number, (host, at_s) in enumerate(arrivals):
        attempt = Attempt(f"c-{number}", WORK, host, at_s, at_s + 5.0)
        attempts[attempt.request_id] = attempt
        run = WorkerRun("server-1", at_s, executed=True, ended_s=at_s + 0.02)
        ledger[attempt.request_id].append(run)
    return attempts, ledger


def create_lives(**pauses):
    names = ("host-1", "host-2")
    return {
        name: HostLife(
            name, Mock(), Path(name), 0.0, 1.0, pauses=pauses.get("pauses", [])
        )
        for name in names
    }


def find(*arrivals, lives=None):
    attempts, ledger = create_runs(*arrivals)
    return find_fullest_window(
        attempts.values(), ledger, lives or create_lives(), {"server-1": [LIMIT]}
    )


def repeat(host, since_s, count, gap_s):
    return [(host, since_s + number * gap_s) for number in range(count)]


def test_requests_of_all_hosts_that_know_the_limit_count_together():
    known = [("host-1", 10.0), ("host-2", 10.0)]
    each = repeat("host-1", 20.0, 8, 0.4), repeat("host-2", 20.1, 8, 0.4)
    window = find(*known, *each[0], *each[1])
    assert (window.requests, window.allowed) == (16, 11.0)
    attempts, ledger = create_runs(*known, *each[0], *each[1])
    judge = StopJudge(5.0, 20.0, ledger)
    judge.judge_limits(attempts, create_lives(), {"server-1": [LIMIT]})
    assert judge.verdict.count() == {Check.LIMIT: 1}


def test_requests_before_hosts_have_to_know_are_excused():
    early = repeat("host-1", 10.0, 30, 0.1)
    assert find(*early) is None
    # The second host has passed on no response that names the limit.
    window = find(("host-1", 10.0), *repeat("host-2", 20.0, 20, 0.02))
    assert window is None or window.requests == 0


def test_requests_outside_the_time_of_the_limit_do_not_count():
    later = repeat("host-1", 60.1, 30, 0.1)
    assert find(("host-1", 10.0), *later) is None


def test_a_pause_of_the_host_excuses_it():
    arrivals = [("host-1", 10.0), *repeat("host-1", 20.0, 20, 0.1)]
    assert find(*arrivals).is_excessive
    assert find(*arrivals, lives=create_lives(pauses=[(19.0, 24.0)])) is None


def test_a_rate_within_the_limit_is_no_finding():
    window = find(("host-1", 10.0), *repeat("host-1", 15.0, 30, 1.0))
    assert window.requests == 4
    assert not window.is_excessive
