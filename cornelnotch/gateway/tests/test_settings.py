"""Test that settings with odd values are refused when a host starts."""

import pytest
from hypothesis import given, strategies as st

from cornelnotch.exceptions import SettingsError
from cornelnotch.gateway.settings import read_host_settings
from cornelnotch.kernel.parsing import parse_address as find_address
from cornelnotch.testing.odd_input import FUZZ, addresses, number_texts
from cornelnotch.web import parse_address

SETTINGS = (
    "[host]\nname = a\ndomain = d\nregion = r\n"
    "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
    "directory = 127.0.0.1:3\npeers = 127.0.0.1:4\nseeds = 127.0.0.1:4,[::1]:5\n"
    "[store]\naddress = 127.0.0.1:6\n[bounds]\ngrace_s = 8\n"
)


def read(path, old, new):
    assert old in SETTINGS
    path = path / "host.ini"
    path.write_text(SETTINGS.replace(old, new), encoding="utf-8")
    return read_host_settings(path)


def test_valid_settings_are_read(tmp_path):
    assert read(tmp_path, "grace_s = 8", "grace_s = 4").bounds.grace_s == 4.0


def test_odd_seed_is_no_reason_not_to_start(tmp_path):
    assert read(tmp_path, "127.0.0.1:4,", "127.0.0.1:x,").listen.seeds


@pytest.mark.parametrize("text", ["::1:80", "[::ffff:1.2.3.4]:80", "localhost:80"])
def test_addresses_of_all_kinds_are_accepted(text):
    assert parse_address(text)[1] == 80


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("grace_s = 8", "grace_s = nan"),
        ("grace_s = 8", "grace_s = inf"),
        ("grace_s = 8", "grace_s = 1e300"),
        ("grace_s = 8", "grace_s = " + "9" * 5000),
        ("127.0.0.1:6", "127.0.0.1:\u00b2"),
        ("127.0.0.1:6", "127.0.0.1:" + "9" * 5000),
        ("127.0.0.1:6", "a..b:6"),
        ("127.0.0.1:1", "127.0.0.1:65536"),
    ],
)
def test_settings_with_odd_values_are_refused(tmp_path, old, new):
    with pytest.raises(SettingsError):
        read(tmp_path, old, new)


@FUZZ
@given(st.one_of(addresses(), number_texts()))
def test_odd_addresses_raise_only_settings_errors(text):
    try:
        host, port = parse_address(text)
    except SettingsError:
        assert find_address(text) is None
        return
    assert 0 <= port <= 65535
    host.encode("idna")


def test_a_deployment_without_duties_has_empty_sections(tmp_path):
    """Guard against a part that starts on deployments that do not ask for it."""
    path = tmp_path / "host.ini"
    path.write_text(SETTINGS + "[duties]\napi = \nnames = \nfenced = \nwindow_s = \n")
    settings = read_host_settings(path)
    assert settings.duties.api == ""
    assert settings.duties.list_names() == ()
    assert settings.placement.prefix_cache == "off"


def test_duties_are_read(tmp_path):
    path = tmp_path / "host.ini"
    path.write_text(
        SETTINGS + "[duties]\napi = 127.0.0.1:9\nnames = metering,autoscaling\n"
        "fenced = true\nlease_ms = 3000\n"
    )
    duties = read_host_settings(path).duties
    assert duties.list_names() == ("metering", "autoscaling")
    assert duties.fenced
    assert duties.lease_ms == 3000.0
