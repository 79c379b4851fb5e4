"""Test when a host claims the duties, and for how long it may use its claim."""

from cornelnotch.duties.claims import (
    MAX_TOKEN,
    TOKENS_PER_TIMELINE,
    ClaimTracker,
    ObservedLog,
    StoredClaim,
    choose_token,
)

LEASE_MS = 3000.0


def create_tracker(started_ms=0.0):
    return ClaimTracker("a", 1, LEASE_MS, started_ms)


def create_log(host="b", token=TOKENS_PER_TIMELINE + 7, timeline=1, end=8):
    claim = StoredClaim(host, 1, token, timeline, 5)
    return ObservedLog(claim, timeline, end)


def claim_at(tracker, now, sent_ms=None):
    claim = tracker.create_claim(0, 0.0)
    end = tracker.observed.end_offset + 1
    tracker.note_claimed(claim, end, now if sent_ms is None else sent_ms, now)
    return claim


# Guards against a token that another host has sent before the store was restored.
def test_tokens_of_a_later_timeline_are_higher():
    old = choose_token(0, 1, 2**32 - 1)
    assert choose_token(0, 2, 0) > old
    assert choose_token(old, 1, 0) == old + 1


# Guards against the token of a lost claim when its record was overwritten.
def test_tokens_of_two_offsets_differ_when_the_claim_between_is_unknown():
    assert choose_token(0, 1, 5) != choose_token(0, 1, 6)


def test_tokens_stay_below_the_limit():
    assert choose_token(MAX_TOKEN, 2**40, 2**40, 2**52) == MAX_TOKEN


# Guards against two hosts that act in the first seconds after a restart.
def test_no_host_claims_in_its_first_lease():
    tracker = create_tracker(started_ms=1000.0)
    tracker.observe(ObservedLog(None, 1, 0), 1100.0)
    assert not tracker.may_claim(0, False, 3999.0)
    assert not tracker.may_claim(0, False, 4099.0)
    assert tracker.may_claim(0, False, 4100.0)


# Guards against claims that overlap the lease of a holder that still acts.
def test_a_lost_holder_is_succeeded_once_the_log_was_still_for_a_lease():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(create_log(), 0.0)
    assert not tracker.may_claim(0, True, 2999.0)
    assert tracker.may_claim(0, True, 3000.0)
    tracker.observe(create_log(end=9), 3000.0)
    assert not tracker.may_claim(0, True, 5999.0)


# Guards against the loss of the claim by a holder that is alive.
def test_a_holder_that_sends_heartbeats_is_not_succeeded():
    tracker = create_tracker(started_ms=-10_000.0)
    for now in range(0, 20_000, 1000):
        tracker.hear(create_log(), False, float(now))
        assert not tracker.may_claim(0, False, now + 999.0)


# Guards against an isolated host that takes the duties from a sound holder.
def test_an_isolated_host_waits_for_a_write_of_the_holder():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.hear(create_log(), False, 0.0)
    assert not tracker.may_claim(0, True, 12_999.0, isolated_ms=10_000.0)
    assert tracker.may_claim(0, True, 13_000.0, isolated_ms=10_000.0)


# Guards against duties that no host performs when the holder is cut from other hosts.
def test_a_silent_holder_is_succeeded_after_two_leases():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.hear(create_log(), False, 0.0)
    assert not tracker.may_claim(0, False, 5999.0)
    assert tracker.may_claim(0, False, 6000.0)


# Guards against a slow handover at a planned stop.
def test_a_released_claim_is_taken_at_once():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.hear(create_log(), False, 0.0)
    tracker.hear(create_log(end=9), True, 100.0)
    assert tracker.may_claim(0, False, 101.0)
    other = create_tracker(started_ms=-10_000.0)
    other.observe(create_log(host=""), 0.0)
    assert other.may_claim(0, False, 1.0)


def test_later_candidates_wait_for_earlier_ones():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(create_log(host=""), 0.0)
    assert not tracker.may_claim(1, False, 1.0)
    assert not tracker.may_claim(1, False, 600.0)
    assert tracker.may_claim(1, False, 801.0)


# Guards against a host that was suspended and acts on its old claim.
def test_a_claim_ends_a_lease_after_its_last_write_was_sent():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(ObservedLog(None, 1, 0), 0.0)
    claim_at(tracker, 500.0, sent_ms=100.0)
    assert tracker.find_current(3099.0) is not None
    assert tracker.find_current(3100.0) is None
    tracker.note_written(2, 3200.0, 3210.0)
    assert tracker.find_current(6199.0) is not None


# Guards against the order of holders A, B, A within a lease.
def test_a_former_holder_waits_a_lease():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(ObservedLog(None, 1, 0), 0.0)
    claim = claim_at(tracker, 0.0)
    later = create_log(token=claim.token + 1, end=2)
    tracker.hear(later, False, 1000.0)
    assert tracker.own is None
    tracker.hear(create_log(token=claim.token + 1, end=3), True, 1500.0)
    assert not tracker.may_claim(0, False, 3999.0)
    assert tracker.may_claim(0, False, 4000.0)


# Guards against calls with a token that the API has refused.
def test_a_refused_token_is_not_used_again_and_the_next_one_skips_ahead():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(ObservedLog(None, 1, 0), 0.0)
    first = claim_at(tracker, 0.0)
    tracker.note_conflict(first.token)
    assert tracker.find_current(1.0) is None
    second = claim_at(tracker, 2.0)
    assert second.token > first.token + 2**27
    assert tracker.find_current(3.0).token == second.token
    tracker.note_conflict(second.token)
    third = claim_at(tracker, 4.0)
    assert third.token - second.token > 1.9 * (second.token - first.token)


# Guards against a claim whose response was lost, and that no host would use.
def test_a_claim_whose_response_was_lost_is_claimed_again():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(create_log(host="a"), 0.0)
    assert tracker.may_claim(0, False, 1.0)
    assert tracker.create_claim(0, 0.0).token == TOKENS_PER_TIMELINE + 8


# Guards against a claim that is used in a timeline that does not have it.
def test_a_claim_of_an_earlier_timeline_is_not_valid():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(create_log(), 0.0)
    log = ObservedLog(create_log().claim, 2, 8)
    tracker.observe(log, 10.0)
    assert tracker.find_holder() is None
    assert not tracker.may_claim(0, False, 3009.0)
    assert tracker.may_claim(0, False, 3010.0)
    claim = tracker.create_claim(77, 0.0)
    assert claim.token == 2 * TOKENS_PER_TIMELINE + 8
    assert claim.skip_through == 77


def test_a_claim_keeps_what_an_earlier_one_of_its_timeline_skips():
    tracker = create_tracker(started_ms=-10_000.0)
    tracker.observe(create_log(), 0.0)
    assert tracker.create_claim(77, 0.0).skip_through == 5


# Guards against an outdated heartbeat that takes back a newer claim.
def test_a_heartbeat_with_a_lower_token_is_ignored():
    tracker = create_tracker(started_ms=-10_000.0)
    newer = create_log(token=TOKENS_PER_TIMELINE + 9, end=10)
    tracker.observe(newer, 0.0)
    tracker.hear(create_log(host="c"), True, 1.0)
    assert tracker.observed == newer
