"""Keep some engines for streams with short pauses; pure.

A step that reads a chunk of a long prompt takes several times as long as one that
does not, and every stream on that engine pauses for it. It answers days on which
long prompts and chats share a service: chats go to engines that read short prompts.
"""

from collections.abc import Iterable, Mapping

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.kernel.hashing import rank_owners

__all__ = ["choose_reserved", "find_tight_gap"]

RESERVED_SHARE = 0.15
# A region with fewer engines keeps none apart.
MIN_SERVERS = 4
# A route is tight when its pauses are this much shorter than the longest allowed.
TIGHT_RATIO = 0.5


def choose_reserved(
    records: Iterable[ServerRecord], regions: Mapping[str, str]
) -> frozenset[str]:
    """Return the names of the engines that all hosts keep for tight streams."""
    by_region: dict[str, list[str]] = {}
    for record in records:
        region = regions.get(record.domain, record.domain)
        by_region.setdefault(region, []).append(record.name)
    chosen: list[str] = []
    for region, names in by_region.items():
        if len(names) >= MIN_SERVERS:
            count = max(round(len(names) * RESERVED_SHARE), 1)
            chosen += rank_owners(f"reserved {region}", names)[:count]
    return frozenset(chosen)


def find_tight_gap(gaps_ms: Iterable[float]) -> float:
    """Return the longest pause that counts as tight, 0 when none does."""
    known = [gap for gap in gaps_ms if gap > 0]
    if not known or min(known) > max(known) * TIGHT_RATIO:
        return 0.0
    return min(known)
