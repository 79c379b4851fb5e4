"""Exhaustive checks of the protocol models, and of the mutants they must detect."""

import pytest
from minicheck import check_liveness, check_safety

from cornelnotch.gateway.models import WorkKind
from cornelnotch.verification import (
    THREE_TIERS,
    Call,
    ClaimMutant,
    ConfigurationMutant,
    DutyMutant,
    HandoverMutant,
    LimitMutant,
    OrderMutant,
    OriginMutant,
    ReadMutant,
    RestorationMutant,
    StopMutant,
    create_claim_protocol,
    create_configuration_protocol,
    create_duty_protocol,
    create_handover_protocol,
    create_limit_protocol,
    create_order_protocol,
    create_origin_protocol,
    create_read_protocol,
    create_restoration_protocol,
    create_stop_protocol,
)

MAX_STATES = 300_000
CALL = Call(WorkKind.ONCE, usual=1.0, bound=2.0)
STREAM = Call(WorkKind.STREAM, usual=2.0, bound=3.0)
LIMITED_CALL = Call(WorkKind.REPEATABLE, usual=None, bound=None, limit=2)
UNBOUNDED_CALL = Call(WorkKind.ONCE, usual=1.0, bound=None)
UNBOUNDED_STREAM = Call(WorkKind.STREAM, usual=1.0, bound=None)
LONG_STREAM = Call(WorkKind.STREAM, usual=1.0, bound=6.0)
SILENT_CALL = Call(WorkKind.ONCE, usual=1.0, bound=2.0, silence=1)
SILENT_STREAM = Call(WorkKind.STREAM, usual=1.0, bound=2.0, silence=1)
LONG_SILENCE = Call(WorkKind.STREAM, usual=1.0, bound=1.0, silence=2)
LIMITED_STREAM = Call(WorkKind.STREAM, usual=1.0, bound=1.0, limit=3, silence=2)


def list_violations(protocol):
    result = check_safety(protocol, max_states=MAX_STATES)
    return [n for n, p in result["properties"].items() if p["holds"] is False]


def assert_exhaustively_safe(protocol):
    result = check_safety(protocol, max_states=MAX_STATES)
    assert result["exhaustive"]
    assert all(p["holds"] is True for p in result["properties"].values()), result


def test_claim_protocol_is_safe():
    assert_exhaustively_safe(create_claim_protocol())


@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        (ClaimMutant.NO_READ_BACK, "at_most_once"),
        (ClaimMutant.EARLY_AGE, "at_most_once"),
        (ClaimMutant.RUN_AFTER_RELEASE, "at_most_once"),
        (ClaimMutant.EARLY_NOT_RUN, "not_run_is_true"),
    ],
)
def test_claim_mutants_are_detected(mutant, broken):
    assert broken in list_violations(create_claim_protocol(mutant))


def test_configuration_protocol_is_safe():
    assert_exhaustively_safe(create_configuration_protocol())


@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        (ConfigurationMutant.NEWEST_SNAPSHOT, "same_everywhere"),
        (ConfigurationMutant.NO_BASE, "one_of_a_race"),
        (ConfigurationMutant.ANY_PEER, "never_reverts"),
    ],
)
def test_configuration_mutants_are_detected(mutant, broken):
    assert broken in list_violations(create_configuration_protocol(mutant))


def test_scheduling_of_two_tiers_is_safe():
    assert_exhaustively_safe(create_order_protocol(depth=6))


def test_scheduling_of_three_tiers_is_safe():
    assert_exhaustively_safe(create_order_protocol(depth=7, events=THREE_TIERS))


def test_queue_victim_rejected_before_lower_running_tier_is_detected():
    mutant = OrderMutant.NO_VICTIM_RESCUE
    protocol = create_order_protocol(mutant, depth=7, events=THREE_TIERS)
    assert "not_shed_for_lower" in list_violations(protocol)


@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        (OrderMutant.NO_VICTIM, "not_shed_for_lower"),
        (OrderMutant.NO_DISPLACEMENT, "not_shed_for_lower"),
        (OrderMutant.NO_LONGEST_WAIT, "no_starvation"),
        (OrderMutant.NO_QUEUE_FLOOR, "not_shut_out"),
    ],
)
def test_scheduling_mutants_are_detected(mutant, broken):
    assert broken in list_violations(create_order_protocol(mutant, depth=6))


@pytest.mark.parametrize(("timelines", "restarts"), [(2, 1), (3, 0)])
def test_restoration_protocol_is_safe(timelines, restarts):
    assert_exhaustively_safe(
        create_restoration_protocol(timelines=timelines, restarts=restarts)
    )


@pytest.mark.parametrize(
    ("mutant", "timelines", "broken"),
    [
        (RestorationMutant.NO_TIMELINE, 2, "never_forgets"),
        (RestorationMutant.NO_HOLD, 2, "never_forgets"),
        (RestorationMutant.COPY_FIRST, 3, "never_forgets"),
        (RestorationMutant.OLD_NEWS, 2, "misses_nothing"),
        (RestorationMutant.OLD_ANSWER, 2, "misses_nothing"),
        (RestorationMutant.ANY_VERSION, 2, "never_reverts"),
    ],
)
def test_restoration_mutants_are_detected(mutant, timelines, broken):
    protocol = create_restoration_protocol(mutant, timelines, restarts=0)
    assert broken in list_violations(protocol)


@pytest.mark.parametrize(("replacements", "freezes"), [(2, 0), (1, 1)])
def test_only_one_host_spends_a_rate_limit_at_a_time(replacements, freezes):
    assert_exhaustively_safe(
        create_limit_protocol(replacements=replacements, freezes=freezes)
    )


@pytest.mark.parametrize(
    "mutant",
    [LimitMutant.NO_TAKEOVER_DELAY, LimitMutant.NO_RELEASE, LimitMutant.NO_EXPIRY],
)
def test_limit_mutants_are_detected(mutant):
    assert "one_spender" in list_violations(create_limit_protocol(mutant))


@pytest.mark.parametrize("calls", [(CALL, STREAM), (STREAM, LIMITED_CALL)])
@pytest.mark.parametrize("max_pause", [0, 2])
def test_stop_protocol_is_safe(calls, max_pause):
    assert_exhaustively_safe(create_stop_protocol(calls=calls, max_pause=max_pause))


@pytest.mark.parametrize("call", [CALL, STREAM])
@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        (StopMutant.REFUSE_SOON, "served_if_it_can_end"),
        (StopMutant.NO_ESTIMATE, "not_cut_within_estimate"),
        (StopMutant.NO_FACTOR, "not_cut_within_estimate"),
        (StopMutant.LATE_AS_USUAL, "not_cut_within_estimate"),
        (StopMutant.LATE_BY_NOW, "served_if_it_can_end"),
        (StopMutant.ONE_DECISION, "not_cut_within_estimate"),
        (StopMutant.NO_LIMIT, "read_is_answered"),
        (StopMutant.OLD_LIMIT, "read_is_answered"),
        (StopMutant.REFUSE_ALL, "refusal_is_true"),
        (StopMutant.NO_CLOSE, "nothing_sent_after_close"),
        (StopMutant.NO_WAIT, "read_is_answered"),
        (StopMutant.NO_FLUSH, "read_is_answered"),
        (StopMutant.NO_MARGIN, "ends_within_grace"),
        (StopMutant.PAUSED_CLOCK, "ends_within_grace"),
    ],
)
def test_stop_mutants_are_detected(mutant, broken, call):
    protocol = create_stop_protocol(mutant, (call,), max_pause=2)
    assert broken in list_violations(protocol)


@pytest.mark.parametrize(
    "call", [SILENT_CALL, SILENT_STREAM, LONG_SILENCE, LIMITED_STREAM]
)
@pytest.mark.parametrize("max_pause", [0, 2])
def test_stop_protocol_is_safe_while_a_server_falls_silent(call, max_pause):
    assert_exhaustively_safe(create_stop_protocol(calls=(call,), max_pause=max_pause))


@pytest.mark.parametrize(
    "call", [SILENT_CALL, SILENT_STREAM, LONG_SILENCE, LIMITED_STREAM]
)
def test_late_requests_without_time_for_a_silence_are_cut(call):
    protocol = create_stop_protocol(StopMutant.NO_ALLOWANCE, (call,))
    assert "not_cut_within_estimate" in list_violations(protocol)


@pytest.mark.parametrize("call", [UNBOUNDED_CALL, UNBOUNDED_STREAM, LONG_STREAM])
def test_late_requests_that_only_past_durations_bound_are_cut(call):
    assert_exhaustively_safe(create_stop_protocol(calls=(call,)))
    protocol = create_stop_protocol(StopMutant.LONGEST_SEEN, (call,))
    assert "not_cut_within_estimate" in list_violations(protocol)


@pytest.mark.parametrize("call", [SILENT_STREAM, LONG_SILENCE, LIMITED_STREAM])
@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        (StopMutant.MOVE_SOON, "not_cut_by_a_move"),
        (StopMutant.MOVE_SILENT, "not_cut_by_a_move"),
        (StopMutant.KEEP_BOTH, "ends_at_one_server"),
        (StopMutant.FORGET_BACKUP, "refusal_is_true"),
    ],
)
def test_mutants_of_a_stop_with_two_servers_are_detected(mutant, broken, call):
    protocol = create_stop_protocol(mutant, (call,))
    assert broken in list_violations(protocol)


@pytest.mark.parametrize(("steps", "kills"), [(2, 2), (4, 1)])
def test_no_stream_goes_on_at_another_software_version(steps, kills):
    assert_exhaustively_safe(create_origin_protocol(steps=steps, kills=kills))


@pytest.mark.parametrize(
    "mutant", [mutant for mutant in OriginMutant if mutant is not OriginMutant.NONE]
)
def test_origin_mutants_are_detected(mutant):
    assert "not_joined" in list_violations(create_origin_protocol(mutant))


def test_no_stream_goes_on_at_another_version_at_a_host_out_of_step():
    assert_exhaustively_safe(create_read_protocol())


@pytest.mark.parametrize(
    "mutant",
    [
        ReadMutant.AGE,
        ReadMutant.EARLY_READ,
        ReadMutant.MESSAGES,
        ReadMutant.NO_SKIP,
        ReadMutant.FULL_READ,
        ReadMutant.LAST_RECORDS,
        ReadMutant.EARLY_END,
    ],
)
def test_mutants_of_reads_are_detected(mutant):
    assert "not_joined" in list_violations(create_read_protocol(mutant))


def test_a_stream_of_the_only_version_can_always_go_on_at_a_host_out_of_step():
    protocol = create_read_protocol(has_release=False)
    assert_exhaustively_safe(protocol)
    assert check_liveness(protocol)["holds"] is True


def test_a_host_whose_reads_do_not_count_is_detected():
    protocol = create_read_protocol(ReadMutant.ONLY_NEWS, has_release=False)
    assert check_liveness(protocol)["holds"] is False


@pytest.mark.parametrize(
    ("claims", "suspensions", "restorations"), [(3, 1, 0), (3, 0, 1), (2, 1, 1)]
)
def test_duty_protocol_is_safe(claims, suspensions, restorations):
    assert_exhaustively_safe(
        create_duty_protocol(DutyMutant.NONE, claims, suspensions, restorations)
    )


@pytest.mark.parametrize(
    ("mutant", "suspensions", "restorations", "broken"),
    [
        (DutyMutant.NO_CHECK, 1, 0, "ordered"),
        (DutyMutant.NO_TIMELINE, 0, 1, "one_host_for_each_token"),
        (DutyMutant.STOPPING_CLOCK, 1, 0, "ordered"),
        (DutyMutant.SENT_UNWRITTEN, 1, 0, "one_content"),
        (DutyMutant.WRITTEN_ANEW, 1, 0, "one_content"),
    ],
)
def test_duty_mutants_are_detected(mutant, suspensions, restorations, broken):
    protocol = create_duty_protocol(mutant, 3, suspensions, restorations)
    assert broken in list_violations(protocol)


def test_handover_protocol_is_safe():
    assert_exhaustively_safe(create_handover_protocol())


@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        (HandoverMutant.RACE, "one_server"),
        (HandoverMutant.RACE, "not_joined"),
        (HandoverMutant.NO_TIMER, "one_server"),
        (HandoverMutant.GO_BACK, "not_joined"),
        (HandoverMutant.NO_CHECK, "not_joined"),
        (HandoverMutant.NO_GIVE_BACK, "goes_on_if_refused"),
        (HandoverMutant.DRAIN_BACK, "not_joined"),
    ],
)
def test_handover_mutants_are_detected(mutant, broken):
    assert broken in list_violations(create_handover_protocol(mutant))
