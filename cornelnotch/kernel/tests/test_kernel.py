"""Test events, hashing, identifiers, the registry and the clock."""

import logging
import time
from pathlib import Path

import orjson
import pytest

import cornelnotch
from cornelnotch.exceptions import SettingsError
from cornelnotch.kernel import (
    Event,
    create_clock,
    create_event_log,
    create_identifier,
    create_plugin,
    parse_key_time,
    rank_owners,
    select_owner,
    set_up_logging,
)


def test_event_numbers_are_unique_and_every_event_is_recorded():
    numbers = [event.number for event in Event]
    assert len(numbers) == len(set(numbers))
    folder = Path(cornelnotch.__file__).parent
    code = "".join(
        p.read_text() for p in folder.rglob("*.py") if "tests" not in p.parts
    )
    assert [e.name for e in Event if f"Event.{e.name}" not in code] == []


@pytest.mark.parametrize("style", ["text", "json"])
def test_events_are_written_with_number_and_fields(style, capsys):
    set_up_logging(style)
    create_event_log("h").record(Event.HOST_STARTED, http="a:1")
    line = capsys.readouterr().err.strip()
    logging.getLogger("cornelnotch").handlers.clear()
    assert "1001" in line
    if style == "json":
        assert orjson.loads(line)["fields"] == {"http": "a:1"}


def test_removing_a_name_moves_only_its_own_keys():
    names = [f"h{n}" for n in range(10)]
    keys = [f"k{n}" for n in range(1000)]
    moved = [k for k in keys if select_owner(k, names) != select_owner(k, names[1:])]
    assert all(select_owner(k, names) == "h0" for k in moved)
    assert rank_owners("k", names)[0] == select_owner("k", names)


def test_key_contains_its_creation_time():
    assert parse_key_time(create_identifier()).unwrap() > 1.6e12
    assert parse_key_time("x").failure().kind == "bad-key"


def test_unknown_plugin_error_lists_registered_plugins():
    with pytest.raises(SettingsError, match="use one of"):
        create_plugin("discipline", "none")


def test_clock_includes_time_suspended(monkeypatch):
    clock = create_clock()
    before = clock.read()
    clock_gettime = time.clock_gettime

    def get_time_after_suspension(kind):
        return clock_gettime(kind) + (5.0 if kind == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", get_time_after_suspension)
    assert clock.read() - before >= 5000.0
