"""Run the one-file program that `make binary` builds."""

import os
import subprocess
import time
from pathlib import Path

from cornelnotch.testing.processes import find_free_port

BINARY = Path("dist/cornelnotch")
WATCH_S = 2.0
START_LIMIT_S = 30.0


def create_environment(folder):
    home = str(folder)
    return {"PATH": os.environ["PATH"], "CORNELNOTCH_HOME": home, "HOME": home}


def list_children(process_id):
    """Return the children of every thread of a process."""
    tasks = Path(f"/proc/{process_id}/task")
    return [c for t in tasks.iterdir() for c in (t / "children").read_text().split()]


def test_the_binary_runs_every_command(tmp_path):
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


def test_a_node_from_the_binary_is_one_process(tmp_path):
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
        limit = time.monotonic() + START_LIMIT_S
        while b"1001" not in (tmp_path / "log").read_bytes():
            assert time.monotonic() < limit
            time.sleep(0.05)
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            assert list_children(process.pid) == []
            time.sleep(0.01)
        assert process.poll() is None
        assert len(list(folder.iterdir())) >= 1
        assert not (tmp_path / "home").exists()
    finally:
        process.kill()
        process.wait()
        log.close()
