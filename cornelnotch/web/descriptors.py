"""Share the descriptors of a process among its listeners."""

import resource
from dataclasses import dataclass

__all__ = ["DescriptorShares", "count_usable_descriptors", "share_descriptors"]

# The rest is for connections to servers, the store and other hosts. With 4,100
# descriptors, 200 of them reserved, callers have 3,120 and other hosts 331.
CALLERS_SHARE = 0.80
PEERS_SHARE = 0.085
DIRECTORY_SHARE = 0.01
READINESS_SHARE = 0.005
METRICS_SHARE = 0.005
LEAST_CONNECTIONS = 4
# Used where the system sets no limit.
MAX_DESCRIPTORS = 1_000_000


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """Most connections of each listener."""

    callers: int
    peers: int
    directory: int
    readiness: int
    metrics: int


def count_usable_descriptors(reserved: int) -> int:
    """Return how many descriptors connections may take."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = MAX_DESCRIPTORS
    return max(limit - reserved, 0)


def share_descriptors(usable: int) -> DescriptorShares:
    """Return the most connections of each listener; no sockets, no clock."""

    def find_bound(share: float) -> int:
        return max(int(usable * share), LEAST_CONNECTIONS)

    return DescriptorShares(
        find_bound(CALLERS_SHARE),
        find_bound(PEERS_SHARE),
        find_bound(DIRECTORY_SHARE),
        find_bound(READINESS_SHARE),
        find_bound(METRICS_SHARE),
    )
