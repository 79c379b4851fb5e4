"""Recognize requests that are repeated under a new id; no I/O.

A request has two fingerprints: one of its content, which is what its server receives
besides the prompt parts, and one of its content and all prompt parts.
"""

import hashlib

from cornelnotch.gateway.models import CallerRequest, Workspace

__all__ = ["create_fingerprints", "find_content_fingerprint", "is_fingerprint"]

DIGEST_BYTES = 8
# Commas separate the parts of a prompt, so no part's name contains one.
SEPARATOR = ","
CONTENT_PREFIX = f"content{SEPARATOR}"


def create_fingerprints(
    request: CallerRequest, workspace: Workspace | None
) -> tuple[str, ...]:
    """Return the fingerprints of a request: of its content, and of all of it."""
    owner = workspace.name if workspace else ""
    head = (request.method, request.host, request.target, owner)
    content = _digest([*(text.encode() for text in head), request.body])
    prompt = _digest([part.name.encode() for part in request.prompt])
    content = f"{CONTENT_PREFIX}{content}"
    return content, f"{content}{SEPARATOR}{prompt}"


def is_fingerprint(name: str) -> bool:
    """Return whether `name` is a fingerprint and not the name of a prompt part."""
    return name.startswith(CONTENT_PREFIX)


def find_content_fingerprint(fingerprint: str) -> str:
    """Return the fingerprint of the content that `fingerprint` belongs to."""
    return SEPARATOR.join(fingerprint.split(SEPARATOR)[:2])


def _digest(fields: list[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
