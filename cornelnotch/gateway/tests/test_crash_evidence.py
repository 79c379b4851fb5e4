"""Test which prompt parts are blamed for crashes of servers."""

import pytest

from cornelnotch.gateway import crash_evidence
from cornelnotch.gateway.crash_evidence import CrashEvidence

BAD = ("shared", "bad")
SECOND_MS = 1000.0


def crash(evidence, number, *requests, at_ms=None):
    now = number * 2 * SECOND_MS if at_ms is None else at_ms
    return evidence.record_crash(f"s{number}", 1, requests, now)


def exchange(sender, receiver, now):
    return receiver.merge(sender.create_notice(now), now)


def test_the_part_at_three_crashes_is_blamed_and_no_other():
    evidence = CrashEvidence()
    evidence.record_sound(["shared"], 0.0)
    assert crash(evidence, 1, BAD, ("shared", "a")) == []
    assert crash(evidence, 2, BAD, ("shared", "b")) == []
    assert crash(evidence, 3, BAD, ("shared", "a")) == [frozenset({"bad"})]
    assert evidence.list_blamed(["bad", "other"])
    assert not evidence.list_blamed(["shared", "a", "b"])


def test_a_part_that_rode_along_at_explained_crashes_is_not_blamed():
    evidence = CrashEvidence()
    for number in range(3):
        crash(evidence, number, ("bad",), ("rare",))
    assert crash(evidence, 3, ("bad",)) == [frozenset({"bad"})]
    assert not evidence.list_blamed(["rare"])
    assert not evidence.is_suspected(["rare"])


def test_three_reports_of_one_crash_are_one_crash():
    evidence = CrashEvidence()
    for _ in range(3):
        assert crash(evidence, 1, BAD) == []
    assert evidence.count_crashes() == 1


def test_parts_that_cannot_be_told_apart_are_blamed_only_together():
    evidence = CrashEvidence()
    for number in range(3):
        crash(evidence, number, ("shared", "bad"))
    assert evidence.list_blamed(["bad", "shared", "x"])
    assert not evidence.list_blamed(["shared", "x"])
    assert evidence.record_sound(["shared", "x"], 9 * SECOND_MS) == ["shared"]
    assert evidence.list_blamed(["bad"])


def test_a_response_that_ends_whole_clears_its_parts_of_earlier_crashes():
    evidence = CrashEvidence()
    for number in range(2):
        crash(evidence, number, ("rare",))
    assert evidence.is_suspected(["rare"])
    evidence.record_sound(["rare"], 5 * SECOND_MS)
    assert not evidence.is_suspected(["rare"])
    assert crash(evidence, 5, ("rare",)) == []


def test_a_part_of_earlier_whole_responses_is_blamed_after_four_moments():
    evidence = CrashEvidence()
    evidence.record_sound(["turned"], 0.0)
    for number in range(1, 4):
        assert crash(evidence, number, ("turned",)) == []
    assert crash(evidence, 4, ("turned",)) == [frozenset({"turned"})]


def test_the_loss_of_many_servers_at_once_blames_no_shared_part():
    evidence = CrashEvidence()
    evidence.record_sound(["shared"], 0.0)
    for number in range(15):
        riders = [("shared", f"own-{number}"), ("shared", f"common-{number % 5}")]
        assert crash(evidence, number, *riders, at_ms=10.0 * number) == []


def test_a_part_is_not_blamed_if_most_servers_crashed_without_it():
    evidence = CrashEvidence()
    for number in range(12):
        riders = [("rare",)] if number % 4 == 0 else [(f"own-{number}",)]
        assert crash(evidence, number, *riders) == []


def test_only_weak_evidence_is_tried_again_and_then_rarely():
    weak, strong = CrashEvidence(), CrashEvidence()
    for number in range(3):
        crash(weak, number, ("bad",), at_ms=10.0 * number)
        crash(strong, number, ("bad",))
    (parts,) = weak.list_blamed(["bad"])
    assert not weak.try_acquire_trial(parts, SECOND_MS)
    assert weak.try_acquire_trial(parts, 3 * SECOND_MS)
    assert not weak.try_acquire_trial(parts, 3 * SECOND_MS)
    crash(weak, 9, ("bad",), at_ms=3.1 * SECOND_MS)
    assert not weak.try_acquire_trial(parts, 60 * SECOND_MS)
    assert not strong.try_acquire_trial(parts, 60 * SECOND_MS)


def test_hosts_that_saw_one_crash_each_blame_the_part_together():
    hosts = [CrashEvidence() for _ in range(3)]
    collector = CrashEvidence()
    found = []
    for number, evidence in enumerate(hosts):
        now = 2 * number * SECOND_MS
        crash(evidence, number, BAD, ("shared", f"own-{number}"))
        evidence.record_sound(["shared"], now)
        found += exchange(evidence, collector, now)
    assert found == [frozenset({"bad"})]
    late = CrashEvidence()
    exchange(collector, late, now + SECOND_MS)
    assert late.list_blamed(["bad"])


def test_a_host_that_saw_a_whole_response_clears_the_part_for_the_others():
    accuser, witness = CrashEvidence(), CrashEvidence()
    for number in range(3):
        crash(accuser, number, ("rare",))
    now = 4 * SECOND_MS
    exchange(accuser, witness, now)
    assert witness.record_sound(["rare"], now) == ["rare"]
    exchange(witness, accuser, now)
    assert not accuser.list_blamed(["rare"])
    exchange(accuser, witness, now)
    assert not witness.list_blamed(["rare"])


@pytest.mark.parametrize("limit", ["MAX_CRASHES", "MAX_PARTS_PER_CRASH"])
def test_memory_is_bounded_under_many_crashes_and_parts(limit):
    evidence = CrashEvidence()
    for number in range(100):
        parts = tuple(f"{number}-{n}" for n in range(400))
        crash(evidence, number, parts, at_ms=198 * SECOND_MS + number)
        evidence.record_sound(tuple(f"sound-{number}-{n}" for n in range(200)), 0.0)
    notice = evidence.create_notice(199 * SECOND_MS)
    sizes = {
        "MAX_CRASHES": len(notice.crashes),
        "MAX_PARTS_PER_CRASH": max(len(c.parts) + len(c.known) for c in notice.crashes),
    }
    assert sizes[limit] <= getattr(crash_evidence, limit)
    assert len(evidence._sound) <= crash_evidence.REMEMBERED_SOUND_PARTS


def create_request(content, prompt="p", parts=()):
    """Return the parts of a request with these fingerprints."""
    return (*parts, f"content,{content}", f"content,{content},{prompt}")


ONE = create_request("1", parts=("shared",))
TWO = create_request("2", parts=("shared",))


def test_a_request_at_three_crashes_is_blamed_and_others_with_its_parts_are_not():
    evidence = CrashEvidence()
    evidence.record_sound(create_request("9", parts=("shared",)), 0.0)
    for number in range(3):
        crash(evidence, number, ONE, create_request(f"rider-{number}"))
    assert evidence.list_blamed(ONE)
    assert not evidence.list_blamed(TWO)
    assert not evidence.list_blamed(create_request("rider-1"))


def test_requests_at_the_same_crashes_are_both_blamed_until_a_trial_tells():
    evidence = CrashEvidence()
    for number in range(3):
        crash(evidence, number, ONE, TWO)
    (one,), (two,) = evidence.list_blamed(ONE), evidence.list_blamed(TWO)
    assert not evidence.list_blamed(create_request("3", parts=("shared",)))
    assert evidence.try_acquire_trial(one, 9 * SECOND_MS)
    assert evidence.try_acquire_trial(two, 9 * SECOND_MS)
    evidence.record_sound(TWO, 9.1 * SECOND_MS)
    crash(evidence, 5, ONE)
    assert not evidence.list_blamed(TWO)
    assert evidence.list_blamed(ONE)
    assert not evidence.try_acquire_trial(one, 60 * SECOND_MS)


def test_requests_of_one_content_are_told_apart_by_their_prompts():
    evidence = CrashEvidence()
    deadly, sound = create_request("1", "a"), create_request("1", "b")
    for number in range(3):
        crash(evidence, number, deadly)
        evidence.record_sound(sound, number * 2 * SECOND_MS + 1.0)
    assert evidence.list_blamed(deadly)
    assert not evidence.list_blamed(sound)


def test_a_content_that_crashes_servers_with_any_prompt_is_blamed():
    evidence = CrashEvidence()
    for number in range(3):
        crash(evidence, number, create_request("1", f"prompt-{number}"))
    assert evidence.list_blamed(create_request("1", "another"))


def test_a_part_is_blamed_after_crashes_by_different_requests_with_it():
    evidence = CrashEvidence()
    for number in range(3):
        crash(evidence, number, ONE)
    assert not evidence.list_blamed(TWO)
    crash(evidence, 4, create_request("3", parts=("shared",)))
    assert evidence.list_blamed(TWO)


def test_memory_of_sound_requests_is_bounded():
    evidence = CrashEvidence()
    evidence.record_sound(["shared"], 0.0)
    for number in range(crash_evidence.REMEMBERED_SOUND_FINGERPRINTS):
        evidence.record_sound(create_request(str(number)), 0.0)
    limit = crash_evidence.REMEMBERED_SOUND_FINGERPRINTS
    assert len(evidence._sound_fingerprints) == limit
    assert "shared" in evidence._sound


def test_a_repeated_request_is_told_apart_from_one_with_changing_prompts():
    evidence = CrashEvidence()
    for number in range(3):
        crash(evidence, number, ONE, create_request("2", f"prompt-{number}"))
    assert evidence.list_blamed(ONE)
    assert evidence.list_blamed(create_request("2", "another"))
