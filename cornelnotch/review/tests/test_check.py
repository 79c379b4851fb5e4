"""Test that a review finds each mistake, and nothing in a sound configuration."""

import copy
from typing import Any

import orjson
import pytest

from cornelnotch.exceptions import ConfigurationError, SettingsError
from cornelnotch.platform.review import PlatformConfigurationReader
from cornelnotch.review.changes import describe_changes
from cornelnotch.review.check import check_configuration

SOUND: dict[str, Any] = {
    "version": 4,
    "routes": [
        {
            "name": "chat",
            "hostname": "App.example",
            "path_prefix": "/chat/",
            "route_type": "streaming",
            "timeout_ms": 30_000,
            "target_latency_ms": 900,
            "target_itl_ms": 150,
            "traffic_split": [
                {"service": "llm", "weight": 3},
                {"service": "llm-new", "weight": 1},
            ],
        },
        {
            "name": "book",
            "hostname": "app.example",
            "path_prefix": "/",
            "route_type": "non_idempotent",
            "timeout_ms": 4000,
            "service": "desk",
        },
    ],
    "services": [
        {"name": "llm", "engine": {"kv_capacity": 575_000}},
        {"name": "llm-new", "autoscaling": {"min": 1, "max": 3}},
        {"name": "desk"},
    ],
    "tenants": [
        {"name": "acme", "api_keys": ["key-secret-1"]},
        {"name": "zebra", "api_keys": ["key-secret-2"]},
    ],
}


def read(content):
    return PlatformConfigurationReader().read(orjson.dumps(content))


def change(*steps):
    """Return a copy of the sound configuration with values set at paths."""
    content = copy.deepcopy(SOUND)
    for *path, value in steps:
        place: Any = content
        for key in path[:-1]:
            place = place[key]
        place[path[-1]] = value
    return content


def find(content, **options):
    return check_configuration(read(content), **options)


def test_a_sound_configuration_has_no_findings():
    """Guards against warnings that operators learn to ignore."""
    assert find(SOUND) == []


@pytest.mark.parametrize(
    ("steps", "path", "part"),
    [
        (
            [("routes", 1, "path_prefix", "/chat/")],
            "routes[1]",
            "never matches: 'chat' at routes[0]",
        ),
        ([("routes", 0, "path_prefix", "chat")], "routes[0]", "no path begins"),
        ([("routes", 0, "hostname", "")], "routes[0]", "host name ''"),
        ([("routes", 0, "hostname", "a.example:80")], "routes[0]", "host name"),
        ([("routes", 0, "route_type", "stream")], "routes[0]", "unknown type"),
        ([("routes", 0, "timeout_ms", 600)], "routes[0]", "below its target of 900"),
        ([("routes", 0, "timeout_ms", 0)], "routes[0]", "no time"),
        ([("routes", 0, "target_itl_ms", -1)], "routes[0]", "negative"),
        ([("routes", 0, "max_attempts", 0)], "routes[0]", "0 attempts"),
        ([("routes", 1, "max_attempts", 3)], "routes[1]", "at most once"),
        (
            [("routes", 0, "traffic_split", 1, "weight", 0)],
            "routes[0]",
            "gets no requests",
        ),
        ([("routes", 1, "service", "dsk")], "routes[1]", "'dsk', which is not listed"),
        ([("services", 1, "autoscaling", "min", 5)], "services[1]", "at least 5"),
        ([("services", 0, "engine", "kv_capacity", 0)], "services[0]", "no cache"),
        ([("services", 2, "name", "llm")], "services[2]", "stands at services[0]"),
        (
            [("tenants", 1, "api_keys", ["key-secret-1"])],
            "tenants[1]",
            "also a key of 'acme'",
        ),
        ([("tenants", 0, "api_keys", [])], "tenants[0]", "has no key"),
        ([("limits", {"max_body_bytes": 10**9})], "limits", "for all bodies"),
        ([("limits", {"idle_timeout_ms": 0})], "limits", "no request is served"),
    ],
)
def test_each_mistake_is_found_at_its_path(steps, path, part):
    """Guards against mistakes that show only as refused or lost requests."""
    findings = find(change(*steps))
    matching = [f for f in findings if f.path == path and part in f.problem]
    assert len(matching) == 1, findings
    assert matching[0].remedy


def test_keys_are_never_shown():
    """Guards against secrets in the output of a command."""
    other = change(("tenants", 1, "api_keys", ["key-secret-1", "key-secret-3"]))
    text = str(find(other)) + str(describe_changes(read(SOUND), read(other)))
    text += str(read(other))
    assert "key-secret" not in text


def test_a_body_limit_is_compared_with_the_hosts_memory():
    """Guards against a limit that a small host cannot hold."""
    content = change(("limits", {"max_body_bytes": 100_000_000}))
    assert len(find(content)) == 1
    assert find(content, memory_mb=1000.0) == []


def test_a_version_that_hosts_ignore_is_found():
    """Guards against a change that is written and never takes effect."""
    in_force = read(change(("version", 4)))
    findings = check_configuration(read(SOUND), in_force=in_force)
    assert [f.path for f in findings] == ["version"]
    newer = read(change(("version", 5)))
    assert check_configuration(newer, in_force=in_force) == []


@pytest.mark.parametrize(
    ("steps", "subject", "text"),
    [
        ([("routes", 1, "timeout_ms", 5000)], "route book", "timeout 4000 ms, now"),
        ([("routes", 1, "name", "buy")], "route buy", "new, for app.example/"),
        ([("routes", 1, "name", "buy")], "route book", "removed"),
        (
            [("routes", 0, "traffic_split", 1, "weight", 3)],
            "route chat",
            "services llm 75.0%, llm-new 25.0%, now llm 50.0%, llm-new 50.0%",
        ),
        (
            [("services", 1, "autoscaling", "max", 9)],
            "service llm-new",
            "most servers 3",
        ),
        (
            [("services", 0, "engine", "kv_capacity", 9)],
            "service llm",
            "cache memory 575000 tokens, now 9 tokens",
        ),
        ([("services", 2, "engine", {})], "service desk", "engines no, now yes"),
        ([("tenants", 0, "api_keys", ["x"])], "workspace acme", "1 keys are refused"),
        ([("tenants", 0, "name", "apex")], "workspace acme", "removed"),
        ([("tenants", None)], "workspaces", "keys are now unused"),
        ([("limits", {"max_body_bytes": 9})], "limits", "body 4194304 bytes, now 9"),
        ([("routes", [])], "host name app.example", "no route is left"),
    ],
)
def test_changes_are_described_for_operators(steps, subject, text):
    """Guards against a change that is not seen before it is in force."""
    changes = describe_changes(read(SOUND), read(change(*steps)))
    assert [c for c in changes if c.subject == subject and text in c.text], changes


def test_the_same_configuration_has_no_changes():
    """Guards against noise that hides changes."""
    assert describe_changes(read(SOUND), read(SOUND)) == []


def test_malformed_text_is_unreadable_and_names_the_line():
    """Guards against a traceback, and errors without a place."""
    reader = PlatformConfigurationReader()
    with pytest.raises(SettingsError, match="line 3"):
        reader.read(b'{\n"version": 3,\n"routes" []}')
    for text in (b"", b"[" * 100_000, b"\xff"):
        with pytest.raises(SettingsError):
            reader.read(text)


@pytest.mark.parametrize(
    "steps",
    [
        [("routes", 0, "timeout_ms", "long")],
        [("services", 0, "engine", {"kv_capacity": "9"})],
        [("services", 1, "autoscaling", {"min": "one"})],
        [("tenants", 0, "name", "\n")],
    ],
)
def test_values_that_hosts_reject_are_rejected(steps):
    """Guards against a check that is laxer than the hosts."""
    with pytest.raises(ConfigurationError):
        read(change(*steps))
