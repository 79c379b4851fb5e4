"""Test when a host knows that only one software version can have begun streams."""

from cornelnotch.gateway.software_history import SoftwareHistory
from cornelnotch.gateway.stream_origins import (
    OriginAnswer,
    StreamOrigin,
    StreamOrigins,
    combine_answers,
)

V1, V2 = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")
OTHER = StreamOrigin("desk", "v9")
NOW = 1000.0


def create_history(since_ms, until_ms=NOW):
    history = SoftwareHistory(since_ms)
    history.confirm(until_ms)
    return history


def test_one_version_is_known_only_once_the_whole_span_was_observed():
    history = create_history(0.0)
    history.note(V1, 500.0)
    history.note(OTHER, 500.0)
    assert history.find_only("llm", -100.0, NOW) is None
    assert history.find_only("llm", 100.0, NOW) == V1


def test_a_version_counts_until_none_of_its_streams_can_be_resumed():
    history = create_history(0.0)
    history.note(V1, 500.0)
    history.note(V2, 900.0)
    assert history.find_only("llm", 400.0, NOW) is None
    assert history.find_only("llm", 501.0, NOW) == V2


def test_versions_that_served_unseen_may_have_begun_streams():
    history = create_history(0.0)
    history.note(V1, 500.0)
    history.restart(600.0)
    history.note(V1, 700.0)
    assert history.find_only("llm", 500.0, NOW) is None
    assert history.find_only("llm", 650.0, NOW) == V1


def test_what_the_log_knows_extends_the_known_span():
    history = create_history(1000.0)
    history.note(V1, 1000.0)
    history.extend(-500.0)
    assert history.find_only("llm", 0.0, NOW) == V1
    assert history.measure_known_ms(1000.0) == 1500.0
    history.extend(900.0)
    assert history.measure_known_ms(1000.0) == 1500.0


def test_no_version_is_known_of_a_service_that_never_served():
    history = create_history(0.0)
    history.note(V1, 500.0)
    assert history.find_only("desk", 100.0, NOW) is None


def test_streams_are_forgotten_in_the_order_in_which_they_began(monkeypatch):
    monkeypatch.setattr("cornelnotch.gateway.stream_origins.MAX_STREAMS", 3)
    origins = StreamOrigins()
    for number in range(5):
        origins.add(number, V1, 100.0 * number)
    assert [origins.find(n) is not None for n in range(5)] == [False] * 2 + [True] * 3
    origins.expire(301.0)
    assert [origins.find(n) is not None for n in range(5)] == [False] * 4 + [True]
    assert origins.count() == 1


def test_a_version_may_have_joined_since_the_records_were_read():
    history = create_history(0.0, until_ms=700.0)
    history.note(V1, 900.0)
    assert history.find_only("llm", 100.0, 700.0) == V1
    assert history.find_only("llm", 100.0, 701.0) is None
    assert history.find_only_seen("llm", 100.0) == V1
    history.confirm(600.0)
    assert history.find_only("llm", 100.0, 700.0) == V1
    history.confirm(701.0)
    assert history.find_only("llm", 100.0, 701.0) == V1


def test_answers_are_final_once_all_who_may_know_have_answered():
    unknown, known = OriginAnswer(None, True), OriginAnswer(V1, False)
    assert combine_answers([unknown, unknown], 0) == unknown
    assert combine_answers([unknown, unknown], 1) == OriginAnswer(None, False)
    assert combine_answers([unknown, OriginAnswer(None, False)], 0).is_final is False
    assert combine_answers([], 0) == OriginAnswer(None, False)
    assert combine_answers([unknown, known], 0) == known
