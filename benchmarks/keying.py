"""Compare co-partitioned request stages with independently partitioned ones.

Run with ``python -m benchmarks.keying``. Partitioning adjacent stages by the same key,
so that one instance serves them, follows CBP (docs/design/keying.md cites it). The
stages of a request are the entry, the limits and the permit at the dispatcher of the
shard and, for a fraction of requests, the claim at the writer of its stream.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.kernel import create_identifier, hash_text, rank_owners, select_owner
from cornelnotch.wire import encode_message
from cornelnotch.wire.messages import (
    ClaimRequest,
    ClaimResponse,
    PermitAsk,
    PermitFirstToken,
    PermitGrant,
    PermitRelease,
)

REQUESTS = 20_000
SEED = 3
CLAIM_SHARE = 0.1
LARGE_WORKSPACE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size of a fleet; `large` is the number of large workspaces."""

    hosts: int
    shards: int
    streams: int
    workspaces: int
    large: int


@dataclass(frozen=True, slots=True)
class Placement:
    """Hosts that serve the entry, the permit and the claim of a request."""

    entry: str
    dispatcher: str
    writer: str


@dataclass(frozen=True, slots=True)
class Comparison:
    """Mean costs per request of a partitioning of the stages over hosts.

    `moved` is the fraction of requests whose hosts change when one host leaves, and
    `imbalance` the highest load of a host relative to the mean.
    """

    messages: float
    bytes: float
    imbalance: float
    moved: float


FLEETS = (
    Fleet(9, 1, 4, 10, 2),
    Fleet(9, 4, 4, 10, 2),
    Fleet(80, 50, 16, 475, 25),
    Fleet(320, 200, 32, 1900, 100),
)


def measure_message_bytes() -> tuple[int, int]:
    """Return the bytes of the messages of a permit and of a claim."""
    request_id = f"host-000.{create_identifier()}"
    shard = "cobbler-assist/north-tw/0"
    permit = (
        PermitAsk(
            request_id, "host-000", shard, "quote", 1, "w", "f" * 16, 1.5, 8e3, [], 0
        ),
        PermitGrant(
            request_id, shard, "server-1", "10.0.0.1:80", "host-001", 0.5, "tier", 1.5
        ),
        PermitFirstToken(request_id, shard, 50.5),
        PermitRelease(request_id, shard, "server-1", "done", 900.5, 50.5, 20.5, 40),
    )
    claim = (
        ClaimRequest(request_id, "host-000", 1, b"x" * 150, 1000.0),
        ClaimResponse(request_id, "won", "", b""),
        ClaimRequest(request_id, "host-000", 1, b"x" * 250, 1000.0),
        ClaimResponse(request_id, "kept", "", b""),
    )
    return (
        sum(len(encode_message(m)) for m in permit),
        sum(len(encode_message(m)) for m in claim),
    )


def choose_workspace(generator: random.Random, fleet: Fleet) -> str:
    """Return a random workspace; a few large ones send half of the traffic."""
    count = (
        fleet.large if generator.random() < LARGE_WORKSPACE_SHARE else fleet.workspaces
    )
    return f"w{generator.randrange(count)}"


def place_independently(
    fleet: Fleet, names: list[str], workspace: str, key: str
) -> Placement:
    """Partition entry by workspace, permits by shard and claims by key."""
    shard = rank_owners(workspace, [f"s{n}" for n in range(fleet.shards)])[0]
    stream = hash_text(key) % fleet.streams
    return Placement(
        select_owner(f"entry/{workspace}", names) or "",
        select_owner(shard, names) or "",
        select_owner(f"claims/{stream}", names) or "",
    )


def place_together(
    fleet: Fleet, names: list[str], workspace: str, key: str
) -> Placement:
    """Partition all stages by the shard of the workspace."""
    shard = rank_owners(workspace, [f"s{n}" for n in range(fleet.shards)])[0]
    owner = select_owner(shard, names) or ""
    return Placement(owner, owner, owner)


PlaceFunction = Callable[[Fleet, list[str], str, str], Placement]


def compare(fleet: Fleet, place: PlaceFunction) -> Comparison:
    """Return the mean costs of a partitioning over seeded requests."""
    generator = random.Random(SEED)
    names = [f"host-{n:03d}" for n in range(fleet.hosts)]
    remaining_names = names[:-1]
    permit_bytes, claim_bytes = measure_message_bytes()
    placements: dict[str, Placement] = {}
    placements_after_leave: dict[str, Placement] = {}
    messages = 0
    size = 0
    moved = 0
    load: Counter[str] = Counter()
    for number in range(REQUESTS):
        workspace = choose_workspace(generator, fleet)
        key = f"{workspace}/{number % 64}"
        if key not in placements:
            placements[key] = place(fleet, names, workspace, key)
            placements_after_leave[key] = place(fleet, remaining_names, workspace, key)
        placement = placements[key]
        load[placement.entry] += 1
        if placement.dispatcher != placement.entry:
            messages += 4
            size += permit_bytes
        claimed = generator.random() < CLAIM_SHARE
        if claimed and placement.writer != placement.entry:
            messages += 4
            size += claim_bytes
        moved += placement != placements_after_leave[key]
    return Comparison(
        messages / REQUESTS,
        size / REQUESTS,
        max(load.values()) / (REQUESTS / fleet.hosts),
        moved / REQUESTS,
    )


def print_comparison() -> None:
    """Print both partitionings for each fleet size."""
    print("hosts shards | keyed   | messages bytes per request | load of the busiest")
    print("entry host over the mean | share of requests moved when one host leaves")
    for fleet in FLEETS:
        for name, place in (("apart", place_independently), ("alike", place_together)):
            row = compare(fleet, place)
            print(
                f"{fleet.hosts:5d} {fleet.shards:6d} | {name:7} | {row.messages:5.2f} "
                f"{row.bytes:6.0f} | {row.imbalance:5.1f} | {row.moved:.3f}"
            )


if __name__ == "__main__":
    print_comparison()
