"""Test the commands with valid and invalid input."""

import asyncio
import socket
import subprocess
import sys

import pytest

from cornelnotch.node.tests.conftest import start_sample_fleet
from cornelnotch.testing.processes import ProcessFleet

NODE_SETTINGS = (
    "[node]\nname = a\nplace = p\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\n"
    "[platform]\nlog = 127.0.0.1:1\nhosts = 127.0.0.1:1\n"
)


def run_command(*arguments):
    """Run the program and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "cornelnotch", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (NODE_SETTINGS + "[timing]\nspeed = 3\n", "[timing] speed is unknown"),
        (NODE_SETTINGS.replace("place = p\n", ""), "[node] place is missing"),
        (NODE_SETTINGS.replace("127.0.0.1:1", "nowhere"), "[platform] log"),
        (NODE_SETTINGS + "[timing]\nentry_ttl_ms = fast\n", "[timing] entry_ttl_ms"),
        (NODE_SETTINGS + "[node]\n", "already exists"),
        ("name = a\n", "no section headers"),
    ],
)
def test_invalid_settings_exit_with_code_2_and_one_line(tmp_path, text, named):
    path = tmp_path / "node.ini"
    path.write_text(text)
    done = run_command("node", str(path))
    assert done.returncode == 2
    assert named in done.stderr
    assert done.stderr.count("\n") == 1


def test_address_in_use_exits_with_code_2(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        path = tmp_path / "node.ini"
        path.write_text(
            NODE_SETTINGS.replace("http = 127.0.0.1:0", f"http = 127.0.0.1:{port}")
        )
        done = run_command("node", str(path))
    assert done.returncode == 2
    assert "cannot listen" in done.stderr
    assert "Traceback" not in done.stderr


def test_missing_files_exit_with_code_2(tmp_path):
    for arguments in (("node",), ("config", "check"), ("load",)):
        done = run_command(*arguments, str(tmp_path / "none"))
        assert done.returncode == 2, arguments
        assert "none" in done.stderr
        assert done.stderr.count("\n") == 1


def test_config_check_error_names_section_and_key(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[class x]\ntier = 99\n")
    done = run_command("config", "check", str(path))
    assert done.returncode == 2
    assert "[class x] tier" in done.stderr


def test_commands_on_running_fleet(tmp_path):
    async def scenario():
        fleet = ProcessFleet(tmp_path)
        try:
            await start_sample_fleet(fleet, hosts=2, engines=1)
            await check_commands(fleet, tmp_path)
        finally:
            await fleet.stop()

    asyncio.run(scenario())


async def check_commands(fleet, folder):
    """Check publish, show, explain, entry and burn on a running fleet."""
    platform = ("--platform", fleet.platform.http)
    change = folder / "change.ini"
    change.write_text("[workspace big]\nconcurrent = 9\n")
    published = await asyncio.to_thread(
        run_command, "config", "publish", str(change), *platform
    )
    assert published.returncode == 0, published.stderr
    assert published.stdout.count("in force") == 2
    stale = await asyncio.to_thread(
        run_command, "config", "publish", str(change), *platform, "--base", "0"
    )
    assert stale.returncode == 2
    assert "changed at version" in stale.stderr
    shown = await asyncio.to_thread(run_command, "config", "show", *platform)
    assert "[workspace big]\nconcurrent = 9" in shown.stdout
    for command in ("status", "history"):
        done = await asyncio.to_thread(run_command, "config", command, *platform)
        assert done.returncode == 0, done.stderr
    result = await fleet.create_caller().chat("boots", 4, "kind=quote")
    explained = await asyncio.to_thread(
        run_command, "explain", result.request_id, *platform
    )
    assert "classified" in explained.stdout
    assert "slots busy" in explained.stdout
    unknown = await asyncio.to_thread(run_command, "explain", "x.y", *platform)
    assert unknown.returncode == 2
    entry = await asyncio.to_thread(run_command, "entry", "w", *platform)
    assert fleet.hosts["host-0"].http in entry.stdout
    burn = await asyncio.to_thread(run_command, "burn", *platform, "--format", "json")
    assert '"class_name": "quote"' in burn.stdout
    assert burn.returncode == 0
    await check_load_commands(fleet, folder, platform)
    killed = fleet.hosts["host-1"]
    killed.process.kill()
    await killed.process.wait()
    partial = await asyncio.to_thread(run_command, "burn", *platform)
    assert partial.returncode == 1
    assert "did not respond" in partial.stdout


SCENARIO = """
[general]
name = small
duration_s = 2
[class quote]
labels = kind=quote
rate = 10
tokens = 5
first_token_ms = 460
[class booking]
labels = kind=booking
kind = once
service = counter-desk
path = /book
rate = 10
[fault slow]
at_s = 1
target = engine-0
set = slowdown=2
"""


async def check_load_commands(fleet, folder, platform):
    """Check a load run on the fleet and compare it with itself."""
    scenario = folder / "small.ini"
    scenario.write_text(SCENARIO)
    names = {name: server.http for name, server in fleet.servers.items()}
    done = await asyncio.to_thread(
        run_command,
        "load",
        str(scenario),
        *platform,
        "--engine",
        f"engine-0={names['engine-0']}",
        "--service",
        f"desk-0={names['desk-0']}",
        "--output",
        str(folder / "run.json"),
        "--page",
        str(folder / "run.html"),
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "doubled 0, lost 0" in done.stdout
    assert "<svg" in (folder / "run.html").read_text()
    compared = await asyncio.to_thread(
        run_command, "compare", str(folder / "run.json"), str(folder / "run.json")
    )
    assert compared.stdout.count("small, seed 1") == 2
