"""Tests of the port selection for test processes."""

from pathlib import Path

import pytest

from cornelnotch.testing.processes import find_free_port

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.mark.skipif(
    not EPHEMERAL_RANGE_FILE.exists(),
    reason="the ephemeral port range is only known on Linux",
)
def test_listener_ports_are_outside_ephemeral_range():
    first, last = (int(number) for number in EPHEMERAL_RANGE_FILE.read_text().split())
    ports = [find_free_port() for _ in range(300)]
    assert [port for port in ports if first <= port <= last] == []
    assert len(set(ports)) > 250
