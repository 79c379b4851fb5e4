"""Test which requests are recognized as the same request."""

from dataclasses import replace

import pytest

from cornelnotch.gateway.fingerprints import (
    create_fingerprints,
    find_content_fingerprint,
    is_fingerprint,
)
from cornelnotch.gateway.models import CallerRequest, PromptPart, Workspace

REQUEST = CallerRequest(
    "id-1",
    "POST",
    "/read/1?page=2",
    "h",
    "/read/1",
    [(b"x-attempt-id", b"id-1")],
    prompt=(PromptPart("aa", 10), PromptPart("bb", 5)),
    body=b"text",
)
ACME = Workspace("acme")


def test_a_request_repeated_under_a_new_id_has_the_same_fingerprints():
    repeated = replace(
        REQUEST,
        request_id="id-2",
        headers=[(b"x-attempt-id", b"id-2")],
        deadline_ms=70.0,
        last_event_id="3",
    )
    assert create_fingerprints(repeated, ACME) == create_fingerprints(REQUEST, ACME)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "GET"},
        {"target": "/read/1?page=3"},
        {"host": "other"},
        {"body": b"texts"},
        {"target": "/read/1?page=2t", "body": b"ext"},
    ],
)
def test_another_content_has_other_fingerprints(change):
    changed = create_fingerprints(replace(REQUEST, **change), ACME)
    assert not set(changed) & set(create_fingerprints(REQUEST, ACME))


@pytest.mark.parametrize("workspace", [None, Workspace("other")])
def test_the_same_request_of_another_caller_has_other_fingerprints(workspace):
    found = create_fingerprints(REQUEST, workspace)
    assert not set(found) & set(create_fingerprints(REQUEST, ACME))


def test_another_prompt_changes_only_the_fingerprint_of_the_whole_request():
    other = replace(REQUEST, prompt=(PromptPart("aa", 10), PromptPart("cc", 5)))
    content, whole = create_fingerprints(REQUEST, ACME)
    assert create_fingerprints(other, ACME)[0] == content
    assert create_fingerprints(other, ACME)[1] != whole
    assert find_content_fingerprint(whole) == content
    assert find_content_fingerprint(content) == content


def test_no_prompt_part_is_taken_for_a_fingerprint():
    assert all(is_fingerprint(name) for name in create_fingerprints(REQUEST, ACME))
    assert not any(is_fingerprint(name) for name in ("aa", "content", ""))
