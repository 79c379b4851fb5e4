"""Test what brittle servers get, and whom their falls accuse."""

import random

import pytest

from cornelnotch.gateway.crash_evidence import CrashEvidence
from cornelnotch.gateway.rejections import RejectionTable
from cornelnotch.gateway.server_room import MAX_PAUSE_MS, ServerRoom
from cornelnotch.platform.header_codec import PlatformHeaderCodec


def create_room(slots, rejections_borne):
    room = ServerRoom(random.Random(1))
    room.set_bounds(slots, rejections_borne)
    return room


def test_only_few_requests_go_beyond_room_that_is_proven():
    room = create_room(8, 4.0)
    assert [room.may_grant(n, 0, 0.0) for n in range(5)] == [True] * 3 + [False] * 2
    assert room.may_grant(5, 3, 300.0)
    assert not room.may_grant(6, 3, 300.0)
    assert not room.may_grant(8, 8, 600.0)
    assert room.may_grant(7, 1, 600.0)


@pytest.mark.parametrize("rejections_borne", [0.0, 0.3, 1.0])
def test_a_server_that_bears_nothing_gets_one_request_at_a_time(rejections_borne):
    room = create_room(8, rejections_borne)
    assert room.may_grant(0, 0, 0.0)
    assert not room.may_grant(1, 0, 0.0)


def test_a_rejection_pauses_grants_ever_longer():
    room = create_room(8, 10.0)
    pauses_ms = []
    now = 0.0
    for _ in range(8):
        room.note_rejection(0, now)
        pauses_ms.append(room.estimate_wait_ms(0, 0, now))
        assert not room.may_grant(0, 0, now)
        now += pauses_ms[-1] + 1.0
    assert pauses_ms[0] <= 375.0
    assert pauses_ms[-1] >= 0.5 * MAX_PAUSE_MS


def test_a_fall_after_rejections_accuses_no_request():
    table = RejectionTable()
    evidence = CrashEvidence()
    for boot_ms in (1, 2, 3):
        now = 10_000.0 * boot_ms
        assert not table.explains_fall("s", boot_ms, now)
        evidence.record_crash("s", boot_ms, [(f"a{boot_ms}",)], now)
        table.record("s", boot_ms, now - 500.0)
        assert table.explains_fall("s", boot_ms, now)
        evidence.forget_fall("s", boot_ms, table.explains_fall)
    assert evidence.count_crashes() == 0


def test_hosts_tell_one_another_of_rejections():
    own, other = RejectionTable(), RejectionTable()
    own.record("s", 1, 1000.0)
    other.merge(own.list_notices(1200.0), 5000.0)
    assert other.explains_fall("s", 1, 5000.0)
    assert not other.explains_fall("s", 2, 5000.0)
    assert own.list_notices(60_000.0) == []


@pytest.mark.parametrize("text", ["", "many", "-1", "1e3", "nan", "1,2"])
def test_malformed_brittleness_is_no_value(text):
    headers = [(b"server-brittle", text.encode())]
    head = PlatformHeaderCodec().read_response(200, headers)
    assert head.rejections_borne is None
    assert head.brittle_malformed


def test_brittleness_is_a_number_of_rejections_per_second():
    headers = [(b"Server-Brittle", b"2.5")]
    head = PlatformHeaderCodec().read_response(503, headers)
    assert head.rejections_borne == 2.5
    assert not head.brittle_malformed
    assert PlatformHeaderCodec().read_response(200, []).rejections_borne is None


def test_the_room_of_an_abandoned_request_is_not_granted_at_once():
    room = create_room(2, 0.0)
    assert room.may_grant(0, 0, 0.0)
    room.note_end(400.0)
    assert room.may_grant(1, 1, 400.0)
    room.note_abandoned(400.0, 500.0)
    assert not room.may_grant(1, 1, 510.0)
    assert room.estimate_wait_ms(1, 0, 510.0) > 0.0
    assert not room.may_grant(1, 1, 801.0)
    assert room.may_grant(1, 1, 1200.0)


def test_an_abandoned_request_keeps_its_room_until_the_server_notices():
    room = create_room(1, 0.0)
    room.note_abandoned(0.0, 5000.0)
    assert not room.may_grant(0, 0, 5010.0)
    assert room.may_grant(0, 0, 6000.0)


def test_the_next_process_is_known_to_hold_requests_as_long():
    former = create_room(1, 0.0)
    former.note_end(2000.0)
    room = former.create_successor()
    room.set_bounds(1, 0.0)
    room.note_abandoned(0.0, 100.0)
    assert not room.may_grant(0, 0, 1900.0)
    assert room.may_grant(0, 0, 2500.0)
