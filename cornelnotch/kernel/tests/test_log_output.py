"""Test that queued log lines are bounded and a stalled reader blocks nothing."""

import logging
import os
import subprocess
import sys
import time

import orjson
import pytest

from cornelnotch.kernel import Event, create_event_log
from cornelnotch.kernel.log_output import LogOutput

LIMIT = 50
LINES = 3000


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)
    logging.getLogger("cornelnotch").handlers.clear()


def read_lines(descriptor, last_event):
    """Return the lines up to the event of number `last_event`."""
    content = b""
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline:
        content += os.read(descriptor, 65536)
        lines = [orjson.loads(line) for line in content.splitlines(True) if line[-1:]]
        if lines and lines[-1]["event"] == last_event:
            return lines
    raise AssertionError("the last line was not received")


def test_lines_are_written_in_order_with_fields(pipe):
    reader, writer = pipe
    with LogOutput("h", descriptor=writer) as output:
        log = create_event_log("h")
        for number in range(5):
            log.record(Event.HOST_STARTED, number=number)
        log.record(Event.HOST_STOPPED)
    lines = read_lines(reader, Event.HOST_STOPPED.number)
    assert [line["fields"].get("number") for line in lines] == [0, 1, 2, 3, 4, None]
    assert output.dropped == 0


def test_unread_lines_beyond_the_limit_are_dropped_and_counted(pipe):
    reader, writer = pipe
    with LogOutput("h", descriptor=writer, limit=LIMIT) as output:
        log = create_event_log("h")
        for number in range(LINES):
            log.record(Event.HOST_STARTED, number=number, padding="x" * 100)
        assert output.dropped > 0
        before = output.dropped
        os.set_blocking(reader, False)
        kept = drain(reader)
        log.record(Event.HOST_STOPPED)
        os.set_blocking(reader, True)
        kept += read_lines(reader, Event.HOST_STOPPED.number)
    notices = [n for n in kept if n["event"] == Event.LOG_LINES_DROPPED.number]
    started = [n for n in kept if n["event"] == Event.HOST_STARTED.number]
    assert sum(notice["fields"]["lines"] for notice in notices) == before
    assert notices[-1]["fields"]["in_total"] == before
    assert len(started) == LINES - before


def drain(descriptor):
    """Read until no data has arrived for 0.2 s."""
    content = b""
    idle = 0
    while idle < 20:
        try:
            content += os.read(descriptor, 65536)
            idle = 0
        except BlockingIOError:
            idle += 1
            time.sleep(0.01)
    return [orjson.loads(line) for line in content.splitlines()]


def test_process_exits_while_its_lines_are_not_read():
    code = (
        "from cornelnotch.kernel.log_output import LogOutput\n"
        "from cornelnotch.kernel import Event, create_event_log\n"
        "with LogOutput('h', limit=50):\n"
        "    log = create_event_log('h')\n"
        "    for _ in range(3000):\n"
        "        log.record(Event.HOST_STARTED, padding='x' * 100)\n"
    )
    command = [sys.executable, "-c", code]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.wait(timeout=20) == 0
        finally:
            process.kill()
