"""Read settings files, good and bad."""

import pytest

from cornelnotch.settings import read_node_settings

GOOD = (
    "[node]\nname = a\nplace = p\nhttp = 127.0.0.1:80\npeer = [::1]:81\n"
    "[platform]\nlog = 10.0.0.1:1\nhosts = 10.0.0.1:2\n"
)


def read(tmp_path, text):
    path = tmp_path / "node.ini"
    path.write_text(text)
    return read_node_settings(path)


def test_good_settings_have_defaults(tmp_path):
    settings = read(tmp_path, GOOD).unwrap()
    assert settings.timing.entry_ttl_ms == 5000
    assert settings.node.peer == "[::1]:81"


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (GOOD.replace("name = a", "name = a b"), "[node] name"),
        (GOOD + "[limits]\nbody_bytes = 1\n", "[limits] body_bytes"),
        (GOOD + "[logging]\nstyle = xml\n", "[logging] style"),
        (GOOD + "[membership]\nseeds = here\n", "[membership] seeds"),
        (GOOD.replace("[platform]", "[platforms]"), "platform"),
        (GOOD + "name = twice\nname = twice\n", "already exists"),
    ],
)
def test_bad_settings_name_the_key_and_a_remedy(tmp_path, text, named):
    error = read(tmp_path, text).failure()
    assert named in str(error)
    assert error.remedy
