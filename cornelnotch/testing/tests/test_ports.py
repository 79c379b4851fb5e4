"""Tests of the port selection for test processes."""

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from cornelnotch.testing import ports as port_module
from cornelnotch.testing.ports import ADDRESS, find_free_port, reserve_port

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
BIND_PROGRAM = (
    "import socket, sys; socket.socket().bind((sys.argv[1], int(sys.argv[2])))"
)


@pytest.mark.skipif(
    not EPHEMERAL_RANGE_FILE.exists(),
    reason="the ephemeral port range is only known on Linux",
)
def test_listener_ports_are_outside_ephemeral_range():
    first, last = (int(number) for number in EPHEMERAL_RANGE_FILE.read_text().split())
    ports = [find_free_port() for _ in range(300)]
    assert [port for port in ports if first <= port <= last] == []
    assert len(set(ports)) > 250


def test_a_port_is_not_returned_twice_before_its_listener_starts(monkeypatch):
    monkeypatch.setattr(port_module, "LAST_PORT", port_module.FIRST_PORT + 60)
    ports = [find_free_port() for _ in range(20)]
    assert len(set(ports)) == len(ports)


def test_other_processes_cannot_take_a_port_before_its_listener_starts():
    command = [sys.executable, "-c", BIND_PROGRAM, ADDRESS, str(find_free_port())]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert "Address already in use" in result.stderr


def test_listener_starts_twice_on_a_reserved_port():
    async def run():
        with reserve_port() as reserved:
            port = reserved.getsockname()[1]
            for _ in range(2):
                server = await asyncio.start_server(lambda *_: None, ADDRESS, port)
                server.close()
                await server.wait_closed()

    asyncio.run(run())
