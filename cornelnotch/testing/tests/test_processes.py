"""Check the ports that tests give to processes."""

from pathlib import Path

import pytest

from cornelnotch.testing.processes import find_free_port

RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.mark.skipif(not RANGE_FILE.exists(), reason="only Linux tells the range")
def test_ports_for_listeners_are_never_those_of_outgoing_connections():
    first, last = (int(number) for number in RANGE_FILE.read_text().split())
    ports = [find_free_port() for _ in range(300)]
    assert [port for port in ports if first <= port <= last] == []
    assert len(set(ports)) > 250
