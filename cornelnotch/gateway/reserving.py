"""Keep some engines for streams with short pauses; pure.

A step that reads a chunk of a long prompt takes several times as long as one that
does not, and every stream on that engine pauses for it. It answers days on which
long prompts and chats share a service: chats go to engines that read short prompts,
as many as the chats under way need.
"""

import math
from collections.abc import Iterable, Mapping

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.kernel.hashing import rank_owners

__all__ = ["choose_reserved", "count_reserved", "find_tight_gap"]

# A region with fewer engines keeps none apart.
MIN_SERVERS = 2
# Engines kept for each that tight streams would fill, and the least and most of all.
HEADROOM = 2.0
MIN_SHARE = 0.12
MAX_SHARE = 0.5
# A route is tight when its pauses are this much shorter than the longest allowed.
TIGHT_RATIO = 0.5


def count_reserved(servers: int, slots: int, tight: int) -> int:
    """Return how many of a region's engines are kept while `tight` streams run."""
    if servers < MIN_SERVERS:
        return 0
    wanted = math.ceil(tight * HEADROOM / slots)
    least = max(round(servers * MIN_SHARE), 1)
    return max(min(wanted, int(servers * MAX_SHARE)), least)


def choose_reserved(
    records: Iterable[ServerRecord],
    regions: Mapping[str, str],
    tight: Mapping[str, int],
) -> frozenset[str]:
    """Return the names of the engines that hosts keep for tight streams.

    `tight` counts such streams by server. Hosts that see other counts differ in the
    last engines only.
    """
    by_region: dict[str, list[ServerRecord]] = {}
    for record in records:
        region = regions.get(record.domain, record.domain)
        by_region.setdefault(region, []).append(record)
    chosen: list[str] = []
    for region, members in by_region.items():
        names = [record.name for record in members]
        streams = sum(tight.get(name, 0) for name in names)
        count = count_reserved(len(names), members[0].slots, streams)
        chosen += rank_owners(f"reserved {region}", names)[:count]
    return frozenset(chosen)


def find_tight_gap(gaps_ms: Iterable[float]) -> float:
    """Return the longest pause that counts as tight, 0 when none does."""
    known = [gap for gap in gaps_ms if gap > 0]
    if not known or min(known) > max(known) * TIGHT_RATIO:
        return 0.0
    return min(known)
