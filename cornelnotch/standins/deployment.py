"""Write the platform's records and callers' requests for a simulated deployment."""

from collections.abc import Mapping

import h11
import orjson

__all__ = [
    "TARGET_MS",
    "WORK_ROUTES",
    "create_configuration_record",
    "create_copy_configuration_record",
    "create_prompt_headers",
    "create_request",
    "create_server_record",
]

HOST_NAME = "soak.example"
KEY = "soak-key"
SERVICE = "work"
TARGET_MS = 1000.0
# Longest gap between events for which a stream is on time.
TARGET_GAP_MS = 120.0
MAX_BODY_BYTES = 4 * 1024 * 1024
# Targets of streams whose runs are copied, and tokens in the memory of an engine.
COPY_TARGET_MS = 400.0
COPY_GAP_MS = 250.0
COPY_TIMEOUT_MS = 15_000.0
COPY_CAPACITY_TOKENS = 200_000
# Type of each route of a deployment, and whether its streams may be resumed.
WORK_ROUTES = {
    "read": ("idempotent", False),
    "book": ("non_idempotent", False),
    "chat": ("streaming", True),
    "draft": ("streaming", False),
}


def _create_route(name: str, timeout_ms: float) -> dict[str, object]:
    kind, resumable = WORK_ROUTES[name]
    return {
        "name": name,
        "hostname": HOST_NAME,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "stream_resume": resumable,
        "timeout_ms": timeout_ms,
        "target_latency_ms": TARGET_MS,
        "target_itl_ms": TARGET_GAP_MS if kind == "streaming" else 0.0,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 3,
    }


def create_configuration_record(version: int, timeout_ms: float) -> bytes:
    """Return a configuration with one route for each kind of work."""
    content = {
        "version": version,
        "routes": [_create_route(name, timeout_ms) for name in WORK_ROUTES],
        "services": [{"name": SERVICE}],
        "tenants": [{"name": "soak", "api_keys": [KEY, f"key-{version}"]}],
        "limits": {"max_body_bytes": MAX_BODY_BYTES, "idle_timeout_ms": 20_000},
    }
    return orjson.dumps(content)


def create_copy_configuration_record(version: int) -> bytes:
    """Return a configuration whose engines keep copies of each other's runs.

    Streams have tight targets, as chats have.
    """
    routes = [
        {
            **_create_route(name, COPY_TIMEOUT_MS),
            "target_latency_ms": COPY_TARGET_MS,
            "target_itl_ms": COPY_GAP_MS if kind == "streaming" else 0.0,
            "max_attempts": 2 if resumable else 1,
        }
        for name, (kind, resumable) in WORK_ROUTES.items()
    ]
    engine = {"kv_capacity": COPY_CAPACITY_TOKENS, "backups": True}
    content = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "engine": engine}],
        "tenants": [{"name": "soak", "api_keys": [KEY]}],
        "limits": {"max_body_bytes": MAX_BODY_BYTES, "idle_timeout_ms": 20_000},
    }
    return orjson.dumps(content)


def create_server_record(
    address: str, is_leaving: bool, sequence: int, capacity: int, born: int = 0
) -> bytes:
    """Return the entry of a server."""
    content = {
        "service": SERVICE,
        "address": address,
        "zone": "north-a",
        "version": "v1",
        "capacity": capacity,
        "state": "draining" if is_leaving else "ready",
        "warmup_left_ms": 0,
        "sequence": sequence,
        "born": born,
    }
    return orjson.dumps(content)


def create_prompt_headers(
    parts: Mapping[str, int], output_tokens: int
) -> dict[str, str]:
    """Return the headers of a prompt with these parts and their tokens, in order."""
    listed = ",".join(f"{name}:{tokens}" for name, tokens in parts.items())
    return {
        "x-token-usage": f"{sum(parts.values())},{output_tokens}",
        "x-prompt-prefix": listed,
    }


def create_request(
    request_id: str,
    target: str,
    deadline_ms: float,
    body_bytes: int | None,
    prompt_headers: Mapping[str, str],
) -> h11.Request:
    """Return the head of a caller's request; a body without a size is in chunks."""
    framing = ("transfer-encoding", "chunked")
    if body_bytes is not None:
        framing = ("content-length", str(body_bytes))
    headers = [
        ("host", HOST_NAME),
        ("x-attempt-id", request_id),
        ("x-key", KEY),
        ("x-deadline-ms", str(round(deadline_ms))),
        framing,
        *prompt_headers.items(),
    ]
    return h11.Request(method="POST", target=target, headers=headers)
