"""Test valid and invalid settings files."""

import pytest

from cornelnotch.settings import read_node_settings

VALID_SETTINGS = (
    "[node]\nname = a\nplace = p\nhttp = 127.0.0.1:80\npeer = [::1]:81\n"
    "[platform]\nlog = 10.0.0.1:1\nhosts = 10.0.0.1:2\n"
)


def read_settings(tmp_path, text):
    path = tmp_path / "node.ini"
    path.write_text(text)
    return read_node_settings(path)


def test_valid_settings_get_defaults(tmp_path):
    settings = read_settings(tmp_path, VALID_SETTINGS).unwrap()
    assert settings.timing.entry_ttl_ms == 5000
    assert settings.node.peer == "[::1]:81"


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (VALID_SETTINGS.replace("name = a", "name = a b"), "[node] name"),
        (VALID_SETTINGS + "[limits]\nbody_bytes = 1\n", "[limits] body_bytes"),
        (VALID_SETTINGS + "[logging]\nstyle = xml\n", "[logging] style"),
        (VALID_SETTINGS + "[membership]\nseeds = here\n", "[membership] seeds"),
        (VALID_SETTINGS.replace("[platform]", "[platforms]"), "platform"),
        (VALID_SETTINGS + "name = twice\nname = twice\n", "already exists"),
    ],
)
def test_error_of_invalid_settings_names_key_and_remedy(tmp_path, text, named):
    error = read_settings(tmp_path, text).failure()
    assert named in str(error)
    assert error.remedy
