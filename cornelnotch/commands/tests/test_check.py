"""Test the command that checks configurations, by its output and exit code."""

import json

import pytest
import typer
from typer.testing import CliRunner

from cornelnotch.commands.config import register_commands
from cornelnotch.commands.tests.test_program import run_command
from cornelnotch.exceptions import SettingsError
from cornelnotch.review.tests.test_check import SOUND, change

HOST_SETTINGS = """\
[host]
name = h
domain = a
region = north
[listen]
callers = 127.0.0.1:8001
readiness = 127.0.0.1:8002
directory = 127.0.0.1:8003
peers = 127.0.0.1:8004
[store]
address = 127.0.0.1:9000
[regions]
a = north
"""
SECTIONS = "[workspace big]\nconcurrent = 9\n"


def run_check(*arguments):
    program = typer.Typer()
    register_commands(program)
    return CliRunner().invoke(program, ["config", "check", *map(str, arguments)])


def write(folder, name, content):
    path = folder / name
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return path


def test_a_sound_configuration_exits_with_0(tmp_path):
    """Guards against a check that stops every deployment."""
    done = run_check(write(tmp_path, "a.json", SOUND))
    assert done.exit_code == 0
    assert "valid" in done.output


@pytest.mark.parametrize(
    ("content", "part"),
    [
        (change(("routes", 1, "path_prefix", "/chat/")), "routes[1]: "),
        (change(("routes", 1, "timeout_ms", "x")), "$.routes[1].timeout_ms"),
    ],
)
def test_findings_exit_with_1(tmp_path, content, part):
    """Guards against a script that goes on after findings."""
    done = run_check(write(tmp_path, "a.json", content))
    assert done.exit_code == 1
    assert part in done.output


def test_an_unreadable_file_exits_with_2_and_names_the_line(tmp_path):
    """Guards against taking an unreadable file for one with findings."""
    path = write(tmp_path, "a.json", '{"version": 1,\n"routes": }')
    done = run_command("config", "check", str(path))
    assert done.returncode == 2
    assert "line 2" in done.stderr
    assert done.stderr.count("\n") == 1
    missing = run_check(write(tmp_path, "b.json", SOUND), "--against", "/none")
    assert isinstance(missing.exception, SettingsError)


def test_changes_are_printed_and_are_no_findings(tmp_path):
    """Guards against an exit code of 1 for every change."""
    old = write(tmp_path, "old.json", SOUND)
    content = change(("version", 5), ("routes", 1, "timeout_ms", 5000))
    done = run_check(write(tmp_path, "new.json", content), "--against", old)
    assert done.exit_code == 0
    assert "route book: timeout 4000 ms, now 5000 ms" in done.output


def test_json_output_holds_the_findings_and_changes(tmp_path):
    """Guards against output that programs cannot read."""
    old = write(tmp_path, "old.json", SOUND)
    new = write(tmp_path, "new.json", change(("routes", 1, "timeout_ms", 0)))
    done = run_check(new, "--against", old, "--json")
    content = json.loads(done.output)
    assert done.exit_code == 1
    assert {f["path"] for f in content["findings"]} == {"version", "routes[1]"}
    assert content["changes"][0]["subject"] == "route book"


def test_host_settings_are_checked_and_compared(tmp_path):
    """Guards against settings that stop a host at its start."""
    old = write(tmp_path, "old.ini", HOST_SETTINGS)
    assert run_check(old).exit_code == 0
    doubled = HOST_SETTINGS.replace("8002", "8001")
    done = run_check(write(tmp_path, "new.ini", doubled), "--against", old)
    assert done.exit_code == 1
    assert "[listen] readiness: 127.0.0.1:8001 is also the address" in done.output
    far = run_check(write(tmp_path, "far.ini", HOST_SETTINGS.replace("a = n", "b = n")))
    assert "[regions]" in far.output
    bad = run_check(write(tmp_path, "bad.ini", HOST_SETTINGS.replace("peers", "pers")))
    assert bad.exit_code == 1
    assert "peers" in bad.output


def test_whole_configurations_are_compared_by_section(tmp_path):
    """Guards against a comparison that only the platform's files have."""
    old = write(tmp_path, "old.ini", SECTIONS)
    done = run_check(
        write(tmp_path, "new.ini", SECTIONS.replace("9", "4")), "--against", old
    )
    assert done.exit_code == 0
    assert "[workspace big] concurrent: 9, now 4" in done.output
