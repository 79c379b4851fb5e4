"""Define the messages that hosts send each other.

All times on the wire are durations in ms, since hosts share no clock.
"""

from dataclasses import dataclass, field
from typing import Literal

__all__ = [
    "Ack",
    "ClaimAnswer",
    "ClaimAsk",
    "ConfigurationFetch",
    "ConfigurationOffer",
    "EnginePace",
    "HeldPermit",
    "HeldPermits",
    "Hello",
    "LoadReport",
    "LoadSummary",
    "MemberUpdate",
    "Occupancy",
    "PermitAsk",
    "PermitCancel",
    "PermitFinish",
    "PermitFirstToken",
    "PermitGrant",
    "PermitMoved",
    "PermitPause",
    "PermitQueued",
    "PermitRefusal",
    "Ping",
    "PingRequest",
    "PromptPart",
    "RecordFetch",
    "RecordItem",
    "RecordNews",
    "ServerLeaving",
    "ServerUpdate",
    "ServerUse",
    "StreamProgress",
    "TurnAsk",
    "TurnEnd",
    "TurnGrant",
    "TurnStage",
    "TurnWait",
    "list_message_types",
]


MemberStateName = Literal["joining", "alive", "leaving", "suspect", "dead"]


@dataclass(frozen=True, slots=True)
class Hello:
    """Name the sender of everything that follows on a connection."""

    host: str
    boot: int


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Tell the state of a host; the higher incarnation wins."""

    host: str
    http: str
    peer: str
    place: str
    state: MemberStateName
    incarnation: int


@dataclass(frozen=True, slots=True)
class ServerUpdate:
    """Tell that the platform lists a server as leaving or live."""

    server: str
    state: str
    sequence: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask whether a host is alive; carry news."""

    sequence: int
    host: str
    version: int
    log_age_ms: float
    members: list[MemberUpdate]
    servers: list[ServerUpdate]


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer a ping; carry news."""

    sequence: int
    host: str
    version: int
    log_age_ms: float
    members: list[MemberUpdate]
    servers: list[ServerUpdate]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask another host to ping `target` for `host`."""

    sequence: int
    host: str
    target: str


@dataclass(frozen=True, slots=True)
class ConfigurationFetch:
    """Ask for the configuration when the receiver is ahead of `version`."""

    host: str
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Carry a folded configuration as a snapshot record."""

    version: int
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class Occupancy:
    """Tell how many places a class holds in a shard."""

    class_name: str
    tier: int
    waiting: int
    running: int
    floor_places: int


@dataclass(frozen=True, slots=True)
class PermitAsk:
    """Ask for a place on a server of `shard`."""

    request_id: str
    holder: str
    shard: str
    class_name: str
    tier: int
    workspace: str
    affinity: str
    waited_ms: float
    deadline_in_ms: float
    excluded: list[str]
    hops: int


@dataclass(frozen=True, slots=True)
class PermitQueued:
    """Confirm that a request waits in a queue."""

    request_id: str
    shard: str
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Bind a request to a server."""

    request_id: str
    shard: str
    server: str
    address: str
    dispatcher: str
    queued_ms: float
    reason: str
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class PermitRefusal:
    """Refuse a request and name what held the places."""

    request_id: str
    shard: str
    reason: str
    retry_after_ms: float
    occupancy: list[Occupancy]
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class PermitMoved:
    """Say that the receiver should ask another dispatcher."""

    request_id: str
    shard: str


@dataclass(frozen=True, slots=True)
class PermitPause:
    """Say whether a running request waits in its engine for higher tiers."""

    request_id: str
    shard: str
    paused: bool


@dataclass(frozen=True, slots=True)
class PermitCancel:
    """Give up a request that waits or runs."""

    request_id: str
    shard: str


@dataclass(frozen=True, slots=True)
class PermitFirstToken:
    """Report the time from grant to first token."""

    request_id: str
    shard: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class PermitFinish:
    """Return a permit with what the holder saw."""

    request_id: str
    shard: str
    server: str
    outcome: str
    elapsed_ms: float
    first_token_ms: float
    between_tokens_ms: float
    tokens: int


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """Describe one permit that a host holds."""

    request_id: str
    server: str
    class_name: str
    tier: int
    workspace: str


@dataclass(frozen=True, slots=True)
class HeldPermits:
    """List every permit of `shard` that `holder` holds."""

    holder: str
    shard: str
    permits: list[HeldPermit]


@dataclass(frozen=True, slots=True)
class ClaimAsk:
    """Ask the writer of a claim stream to append one operation and judge it."""

    ask_id: str
    host: str
    stream: int
    operation: bytes
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Tell what the claim stream says about an operation."""

    ask_id: str
    state: str
    attempt: str
    outcome: bytes


@dataclass(frozen=True, slots=True)
class RecordItem:
    """Carry one record of the platform's store; the value is deflated."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class RecordNews:
    """Carry the records of a topic between two offsets.

    `age_ms` tells how long ago `origin` read the store. The receiver passes
    the message on to `targets`. `whole` says that keys not listed are gone. `held`
    carries what the origin knows of timelines before `timeline`.
    """

    origin: str
    topic: str
    start: int
    end: int
    age_ms: float
    whole: bool
    items: list[RecordItem]
    targets: list[str]
    timeline: int = -1
    held: list[RecordItem] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RecordFetch:
    """Ask a host for what it knows of a topic beyond offset `head`."""

    host: str
    topic: str
    head: int
    timeline: int = -1


@dataclass(frozen=True, slots=True)
class ServerUse:
    """Tell what is under way at a server.

    `waiting` counts what has no first piece, `tight` the streams with short pauses.
    `sent` holds the prompt tokens that the server has and has not read, `backlog`
    those that wait for their turn, indexed by priority, `failures` how many
    dispatches in a row have failed lately.
    """

    server: str
    running: int
    waiting: int
    failures: int
    tight: int
    sent: int
    backlog: list[int]


@dataclass(frozen=True, slots=True)
class EnginePace:
    """Tell how fast an engine is.

    `read_rate` counts the prompt tokens read in a ms as callers see it, `chunk_rate`
    those read while a stream pauses for them. `event_ms` is the time between two events
    of a stream beside which nothing is read. `ease` says how much more may be read in a
    pause than these rates tell.
    """

    server: str
    read_rate: float
    chunk_rate: float
    event_ms: float
    ease: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell what one host has under way, and of engines whose turns it keeps."""

    host: str
    uses: list[ServerUse]
    paces: list[EnginePace]


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Tell what all hosts have under way; passed on to `targets`.

    `paces` holds engines of which there is news.
    """

    origin: str
    uses: list[ServerUse]
    paces: list[EnginePace]
    targets: list[str]


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """Tell that a server said in an answer that it leaves; passed on to `targets`.

    `boot_ms` names the life of the server that ends.
    """

    server: str
    boot_ms: int
    targets: list[str]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt; requests with the same first parts share them."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StreamProgress:
    """Tell how many events of a stream came in how many ms, and its longest pause."""

    events: int
    spent_ms: float
    longest_ms: float


TurnStage = Literal["waiting", "sent", "begun"]


@dataclass(frozen=True, slots=True)
class TurnAsk:
    """Tell what a host has for an engine; asked again until it has ended.

    `stage` is "waiting" until the host has sent the request and "begun" once the
    engine has read it. A stream that must not pause for longer tells `gap_ms`, one
    that should begin within a time of its arrival `target_ms`.
    """

    request_id: str
    server: str
    priority: int
    shared: list[PromptPart]
    own_tokens: int
    waited_ms: float
    stage: TurnStage
    gap_ms: float = 0.0
    progress: StreamProgress | None = None
    target_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class TurnWait:
    """Confirm that a request waits, and tell for how long it may."""

    request_id: str
    server: str
    unread: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class TurnGrant:
    """Tell a host to send a request now; `unread` tokens are to be read."""

    request_id: str
    server: str
    unread: int


@dataclass(frozen=True, slots=True)
class TurnEnd:
    """Tell that a request has ended or was given up."""

    request_id: str
    server: str
    progress: StreamProgress | None = None


def list_message_types() -> list[type]:
    """Return the message types; the position of each is its number."""
    return [
        Hello,
        Ping,
        Ack,
        PingRequest,
        ConfigurationFetch,
        ConfigurationOffer,
        PermitAsk,
        PermitQueued,
        PermitGrant,
        PermitRefusal,
        PermitMoved,
        PermitPause,
        PermitCancel,
        PermitFirstToken,
        PermitFinish,
        HeldPermits,
        ClaimAsk,
        ClaimAnswer,
        RecordNews,
        RecordFetch,
        LoadReport,
        LoadSummary,
        TurnAsk,
        TurnWait,
        TurnGrant,
        TurnEnd,
        ServerLeaving,
    ]
