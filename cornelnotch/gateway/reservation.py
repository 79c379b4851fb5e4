"""Reserve engines for latency-sensitive streams; no I/O.

An engine step that prefills a chunk of a long prompt takes several times as long as one
that does not, and delays every stream on that engine. Where long prompts and chats
share a service, chats go to engines that prefill only short prompts, as many as the
running chats need.
"""

import math
from collections.abc import Iterable, Mapping

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.kernel.hashing import rank_owners

__all__ = ["choose_reserved", "count_reserved", "find_latency_sensitive_gap_ms"]

# A region with fewer engines reserves none.
MIN_SERVERS = 2
# Reserved engines per engine that latency-sensitive streams would fill, and the minimum
# and maximum share of all engines.
HEADROOM = 2.0
MIN_SHARE = 0.12
MAX_SHARE = 0.5
# Streams are latency-sensitive if their accepted inter-token gap is at most this share
# of the longest accepted one.
LATENCY_SENSITIVE_RATIO = 0.5


def count_reserved(servers: int, slots: int, latency_sensitive: int) -> int:
    """Return the number of engines to reserve for `latency_sensitive` streams."""
    if servers < MIN_SERVERS:
        return 0
    needed = math.ceil(latency_sensitive * HEADROOM / slots)
    minimum = max(round(servers * MIN_SHARE), 1)
    return max(min(needed, int(servers * MAX_SHARE)), minimum)


def choose_reserved(
    records: Iterable[ServerRecord],
    regions: Mapping[str, str],
    latency_sensitive: Mapping[str, int],
) -> frozenset[str]:
    """Return the names of the engines reserved for latency-sensitive streams.

    `latency_sensitive` maps servers to the number of such streams. The engines are
    ranked by hash, so hosts with different counts differ only in the last ones.
    """
    by_region: dict[str, list[ServerRecord]] = {}
    for record in records:
        region = regions.get(record.domain, record.domain)
        by_region.setdefault(region, []).append(record)
    chosen: list[str] = []
    for region, members in by_region.items():
        names = [record.name for record in members]
        streams = sum(latency_sensitive.get(name, 0) for name in names)
        count = count_reserved(len(names), members[0].slots, streams)
        chosen += rank_owners(f"reserved {region}", names)[:count]
    return frozenset(chosen)


def find_latency_sensitive_gap_ms(gaps_ms: Iterable[float]) -> float:
    """Return the shortest accepted gap if it is latency-sensitive, otherwise 0."""
    known = [gap for gap in gaps_ms if gap > 0]
    if not known or min(known) > max(known) * LATENCY_SENSITIVE_RATIO:
        return 0.0
    return min(known)
