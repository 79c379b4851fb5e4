"""Tests of the single-file executable that `make binary` builds."""

import os
import subprocess
import time
from pathlib import Path

from cornelnotch.testing.ports import find_free_port

BINARY = Path("dist/cornelnotch")
OBSERVATION_S = 2.0
START_TIMEOUT_S = 30.0


def create_environment(folder):
    home = str(folder)
    return {"PATH": os.environ["PATH"], "CORNELNOTCH_HOME": home, "HOME": home}


def list_child_process_ids(process_id):
    """Return the child process ids of all threads of a process."""
    tasks = Path(f"/proc/{process_id}/task")
    return [c for t in tasks.iterdir() for c in (t / "children").read_text().split()]


def test_binary_lists_every_command(tmp_path):
    done = subprocess.run(
        [BINARY, "--help"],
        env=create_environment(tmp_path),
        capture_output=True,
        text=True,
        check=True,
    )
    for command in ("node", "config", "entry", "explain", "drain", "burn", "demo"):
        assert command in done.stdout
    assert [path.name for path in tmp_path.iterdir()][0].startswith(
        ("cornelnotch", ".")
    )


def test_node_from_binary_runs_without_child_processes(tmp_path):
    port = find_free_port()
    folder = tmp_path / "unpacked"
    settings = tmp_path / "node.ini"
    settings.write_text(
        f"[node]\nname = a\nplace = p\nunpack = {folder}\nhttp = 127.0.0.1:{port}\n"
        f"peer = 127.0.0.1:{find_free_port()}\n"
        "[platform]\nlog = 127.0.0.1:1\nhosts = 127.0.0.1:1\n"
    )
    log = (tmp_path / "log").open("wb")
    process = subprocess.Popen(
        [BINARY, "node", str(settings)],
        env=create_environment(tmp_path / "home"),
        stdout=log,
        stderr=log,
    )
    try:
        deadline = time.monotonic() + START_TIMEOUT_S
        while b"1001" not in (tmp_path / "log").read_bytes():
            assert time.monotonic() < deadline
            time.sleep(0.05)
        end = time.monotonic() + OBSERVATION_S
        while time.monotonic() < end:
            assert list_child_process_ids(process.pid) == []
            time.sleep(0.01)
        assert process.poll() is None
        assert len(list(folder.iterdir())) >= 1
        assert not (tmp_path / "home").exists()
    finally:
        process.kill()
        process.wait()
        log.close()
