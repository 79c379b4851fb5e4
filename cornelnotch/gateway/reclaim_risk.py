"""Tell which servers the platform may take back together; pure.

It takes back all spot servers of a domain at once.
"""

from collections.abc import Iterable

from cornelnotch.gateway.servers import ServerView

__all__ = ["list_safe_from_reclaim"]


def list_safe_from_reclaim(
    server: ServerView, others: Iterable[ServerView]
) -> list[ServerView]:
    """Return the servers that do not leave along with `server`, or all if all may.

    A copy of a stream's KV cache that leaves with its engine is of no use.
    """
    known = list(others)
    if not server.record.reclaimable:
        return known
    safe = [
        other
        for other in known
        if not other.record.reclaimable or other.record.domain != server.record.domain
    ]
    return safe or known
