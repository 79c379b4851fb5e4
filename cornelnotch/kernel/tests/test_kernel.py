"""Check events, hashing, identifiers and the registry."""

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
    rank_owners,
    read_key_time,
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


def test_few_keys_move_when_a_name_goes():
    names = [f"h{n}" for n in range(10)]
    keys = [f"k{n}" for n in range(1000)]
    moved = [k for k in keys if select_owner(k, names) != select_owner(k, names[1:])]
    assert all(select_owner(k, names) == "h0" for k in moved)
    assert rank_owners("k", names)[0] == select_owner("k", names)


def test_keys_tell_their_time():
    assert read_key_time(create_identifier()).unwrap() > 1.6e12
    assert read_key_time("x").failure().kind == "bad-key"


def test_an_unknown_plugin_names_the_known_ones():
    with pytest.raises(SettingsError, match="use one of"):
        create_plugin("discipline", "none")


def test_time_for_which_the_machine_is_suspended_counts(monkeypatch):
    clock = create_clock()
    before = clock.read()
    usual = time.clock_gettime

    def wake(kind):
        return usual(kind) + (5.0 if kind == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", wake)
    assert clock.read() - before >= 5000.0
