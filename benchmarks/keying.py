"""Compare stages keyed alike with stages keyed apart.

Run with ``python -m benchmarks.keying``. The idea of keying neighbouring stages
by the same key, so that one instance serves them, is that of CBP (docs/design/
keying.md cites it). Stages of a request: entry, limits and permit at the shard's
dispatcher, and for a share of requests the claim at its stream's writer.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.kernel import create_identifier, hash_text, rank_owners, select_owner
from cornelnotch.wire import encode_message
from cornelnotch.wire.messages import (
    ClaimAnswer,
    ClaimAsk,
    PermitAsk,
    PermitFinish,
    PermitFirstToken,
    PermitGrant,
)

REQUESTS = 20_000
SEED = 3
CLAIM_SHARE = 0.1
LARGE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Fleet:
    """Hold the sizes of one comparison."""

    hosts: int
    shards: int
    streams: int
    workspaces: int
    large: int


@dataclass(frozen=True, slots=True)
class Placement:
    """Name the hosts that serve one request."""

    entry: str
    dispatcher: str
    writer: str


@dataclass(frozen=True, slots=True)
class Comparison:
    """Hold what one way of keying costs."""

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


def list_message_bytes() -> tuple[int, int]:
    """Return the bytes of a permit's messages and of a claim's."""
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
        PermitFinish(request_id, shard, "server-1", "done", 900.5, 50.5, 20.5, 40),
    )
    claim = (
        ClaimAsk(request_id, "host-000", 1, b"x" * 150, 1000.0),
        ClaimAnswer(request_id, "won", "", b""),
        ClaimAsk(request_id, "host-000", 1, b"x" * 250, 1000.0),
        ClaimAnswer(request_id, "kept", "", b""),
    )
    return (
        sum(len(encode_message(m)) for m in permit),
        sum(len(encode_message(m)) for m in claim),
    )


def choose_workspace(generator: random.Random, fleet: Fleet) -> str:
    """Return a workspace; a few large ones send half of the traffic."""
    count = fleet.large if generator.random() < LARGE_SHARE else fleet.workspaces
    return f"w{generator.randrange(count)}"


def place_apart(fleet: Fleet, names: list[str], workspace: str, key: str) -> Placement:
    """Key entry by workspace, permits by shard and claims by key."""
    shard = rank_owners(workspace, [f"s{n}" for n in range(fleet.shards)])[0]
    stream = hash_text(key) % fleet.streams
    return Placement(
        select_owner(f"entry/{workspace}", names) or "",
        select_owner(shard, names) or "",
        select_owner(f"claims/{stream}", names) or "",
    )


def place_alike(fleet: Fleet, names: list[str], workspace: str, key: str) -> Placement:
    """Key every stage by the workspace's shard."""
    shard = rank_owners(workspace, [f"s{n}" for n in range(fleet.shards)])[0]
    owner = select_owner(shard, names) or ""
    return Placement(owner, owner, owner)


Place = Callable[[Fleet, list[str], str, str], Placement]


def compare(fleet: Fleet, place: Place) -> Comparison:
    """Return what one way of keying costs over seeded requests."""
    generator = random.Random(SEED)
    names = [f"host-{n:03d}" for n in range(fleet.hosts)]
    fewer = names[:-1]
    permit_bytes, claim_bytes = list_message_bytes()
    known: dict[str, Placement] = {}
    after: dict[str, Placement] = {}
    messages = 0
    size = 0
    moved = 0
    load: Counter[str] = Counter()
    for number in range(REQUESTS):
        workspace = choose_workspace(generator, fleet)
        key = f"{workspace}/{number % 64}"
        if key not in known:
            known[key] = place(fleet, names, workspace, key)
            after[key] = place(fleet, fewer, workspace, key)
        placement = known[key]
        load[placement.entry] += 1
        if placement.dispatcher != placement.entry:
            messages += 4
            size += permit_bytes
        claimed = generator.random() < CLAIM_SHARE
        if claimed and placement.writer != placement.entry:
            messages += 4
            size += claim_bytes
        moved += placement != after[key]
    return Comparison(
        messages / REQUESTS,
        size / REQUESTS,
        max(load.values()) / (REQUESTS / fleet.hosts),
        moved / REQUESTS,
    )


def print_comparison() -> None:
    """Print both ways for every size."""
    print("hosts shards | keyed   | messages bytes per request | busiest entry host,")
    print("times the mean | requests whose placement changes when one host goes")
    for fleet in FLEETS:
        for name, place in (("apart", place_apart), ("alike", place_alike)):
            row = compare(fleet, place)
            print(
                f"{fleet.hosts:5d} {fleet.shards:6d} | {name:7} | {row.messages:5.2f} "
                f"{row.bytes:6.0f} | {row.imbalance:5.1f} | {row.moved:.3f}"
            )


if __name__ == "__main__":
    print_comparison()
