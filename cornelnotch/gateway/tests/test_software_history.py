"""Test when a host knows that only one software version can have begun streams."""

from cornelnotch.gateway.software_history import SoftwareHistory
from cornelnotch.gateway.stream_origins import StreamOrigin, StreamOrigins

V1, V2 = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")
OTHER = StreamOrigin("desk", "v9")


def test_one_version_is_known_only_once_the_whole_span_was_observed():
    history = SoftwareHistory(0.0)
    history.note(V1, 500.0)
    history.note(OTHER, 500.0)
    assert history.find_only("llm", -100.0) is None
    assert history.find_only("llm", 100.0) == V1


def test_a_version_counts_until_none_of_its_streams_can_be_resumed():
    history = SoftwareHistory(0.0)
    history.note(V1, 500.0)
    history.note(V2, 900.0)
    assert history.find_only("llm", 400.0) is None
    assert history.find_only("llm", 501.0) == V2


def test_versions_that_served_unseen_may_have_begun_streams():
    history = SoftwareHistory(0.0)
    history.note(V1, 500.0)
    history.restart(600.0)
    history.note(V1, 700.0)
    assert history.find_only("llm", 500.0) is None
    assert history.find_only("llm", 650.0) == V1


def test_what_the_log_knows_extends_the_known_span():
    history = SoftwareHistory(1000.0)
    history.note(V1, 1000.0)
    history.extend(-500.0)
    assert history.find_only("llm", 0.0) == V1
    assert history.measure_known_ms(1000.0) == 1500.0
    history.extend(900.0)
    assert history.measure_known_ms(1000.0) == 1500.0


def test_no_version_is_known_of_a_service_that_never_served():
    history = SoftwareHistory(0.0)
    history.note(V1, 500.0)
    assert history.find_only("desk", 100.0) is None


def test_streams_are_forgotten_in_the_order_in_which_they_began(monkeypatch):
    monkeypatch.setattr("cornelnotch.gateway.stream_origins.MAX_STREAMS", 3)
    origins = StreamOrigins()
    for number in range(5):
        origins.add(number, V1, 100.0 * number)
    assert [origins.find(n) is not None for n in range(5)] == [False] * 2 + [True] * 3
    origins.expire(301.0)
    assert [origins.find(n) is not None for n in range(5)] == [False] * 4 + [True]
    assert origins.count() == 1
