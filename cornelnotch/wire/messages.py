"""Messages exchanged between hosts.

All times on the wire are durations in ms, because host clocks are not synchronized.
"""

from dataclasses import dataclass, field
from typing import Literal

__all__ = [
    "Ack",
    "AdmissionEnd",
    "AdmissionGrant",
    "AdmissionQueued",
    "AdmissionRequest",
    "AdmissionStage",
    "BegunStreams",
    "BlamedParts",
    "ClaimRequest",
    "ClaimResponse",
    "ClassOccupancy",
    "ConfigurationFetch",
    "ConfigurationOffer",
    "CrashEvidenceNotice",
    "CrashReport",
    "DemandRow",
    "DemandTotals",
    "DutyHeartbeat",
    "EngineRates",
    "HeldPermit",
    "HeldPermits",
    "Hello",
    "LinkNotice",
    "LinkQuery",
    "LinkReply",
    "LoadReport",
    "LoadSummary",
    "MemberUpdate",
    "PermitAsk",
    "PermitCancel",
    "PermitFirstToken",
    "PermitGrant",
    "PermitPreemption",
    "PermitQueued",
    "PermitRedirect",
    "PermitRefusal",
    "PermitRelease",
    "Ping",
    "PingRequest",
    "PromptPart",
    "RecordFetch",
    "RecordItem",
    "RecordUpdates",
    "ServerBytes",
    "ServerBytesReport",
    "ServerBytesSummary",
    "ServerLeaving",
    "ServerLoadNotice",
    "ServerLoadNotices",
    "ServerUpdate",
    "ServerUsage",
    "ServiceBytes",
    "StreamOriginQuery",
    "StreamOriginReply",
    "StreamOriginReport",
    "StreamProgress",
    "UsageReceipt",
    "UsageTotals",
    "WindowTotals",
    "list_message_types",
]


MemberStateName = Literal["joining", "alive", "leaving", "suspect", "dead"]


@dataclass(frozen=True, slots=True)
class Hello:
    """Identify the sender of all later messages on a connection."""

    host: str
    boot: int


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Announce the state of a host; the higher incarnation takes precedence."""

    host: str
    http: str
    peer: str
    place: str
    state: MemberStateName
    incarnation: int


@dataclass(frozen=True, slots=True)
class ServerUpdate:
    """Announce that the platform lists a server as leaving or live."""

    server: str
    state: str
    sequence: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe whether a host is alive; piggybacks membership updates."""

    sequence: int
    host: str
    version: int
    log_age_ms: float
    members: list[MemberUpdate]
    servers: list[ServerUpdate]


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledge a ping; piggybacks membership updates."""

    sequence: int
    host: str
    version: int
    log_age_ms: float
    members: list[MemberUpdate]
    servers: list[ServerUpdate]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request an indirect probe: the receiver pings `target` for `host`."""

    sequence: int
    host: str
    target: str


@dataclass(frozen=True, slots=True)
class ConfigurationFetch:
    """Request the configuration if the receiver has one newer than `version`."""

    host: str
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Send the current configuration as a snapshot record."""

    version: int
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class ClassOccupancy:
    """Report queued and running requests and reserved slots of a class in a shard."""

    class_name: str
    tier: int
    waiting: int
    running: int
    floor_places: int


@dataclass(frozen=True, slots=True)
class PermitAsk:
    """Request a slot on a server of `shard`."""

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
    """Confirm that a request has been queued."""

    request_id: str
    shard: str
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Assign a request to a server."""

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
    """Reject a request and report which classes occupied the slots."""

    request_id: str
    shard: str
    reason: str
    retry_after_ms: float
    occupancy: list[ClassOccupancy]
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class PermitRedirect:
    """Redirect the receiver to another dispatcher."""

    request_id: str
    shard: str


@dataclass(frozen=True, slots=True)
class PermitPreemption:
    """Report whether a running request is preempted in its engine by higher tiers."""

    request_id: str
    shard: str
    paused: bool


@dataclass(frozen=True, slots=True)
class PermitCancel:
    """Cancel a queued or running request."""

    request_id: str
    shard: str


@dataclass(frozen=True, slots=True)
class PermitFirstToken:
    """Report the time from the grant to the first token."""

    request_id: str
    shard: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class PermitRelease:
    """Release a permit and report the outcome and latencies of its request."""

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
    """Describe one permit held by a host."""

    request_id: str
    server: str
    class_name: str
    tier: int
    workspace: str


@dataclass(frozen=True, slots=True)
class HeldPermits:
    """List all permits of `shard` held by `holder`."""

    holder: str
    shard: str
    permits: list[HeldPermit]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask the writer of a claim stream to append and evaluate one operation."""

    ask_id: str
    host: str
    stream: int
    operation: bytes
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ClaimResponse:
    """Report the result of an operation on a claim stream."""

    ask_id: str
    state: str
    attempt: str
    outcome: bytes


@dataclass(frozen=True, slots=True)
class RecordItem:
    """A record of the platform's store; the value is DEFLATE-compressed."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class RecordUpdates:
    """Replicate the records of a topic between two offsets.

    `age_ms` is the time since `origin` read the store. The receiver forwards the
    message to `targets`. If `whole` is set, keys not listed have been deleted. `held`
    contains the records that the origin keeps from timelines before `timeline`; each
    restoration of the store from a backup starts a new timeline.
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
    """Request all records of a topic from a host that is not behind offset `head`."""

    host: str
    topic: str
    head: int
    timeline: int = -1


@dataclass(frozen=True, slots=True)
class ServerUsage:
    """Report the load of a server.

    `waiting` is the number of requests without a first chunk, `tight` the number of
    streams with a short inter-token gap limit. `sent` is the number of prompt tokens
    sent to the server and not yet prefilled. `backlog` is the number of prompt tokens
    waiting to be sent, indexed by priority. `failures` is the number of recent
    consecutive dispatch failures.
    """

    server: str
    running: int
    waiting: int
    failures: int
    tight: int
    sent: int
    backlog: list[int]


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Report the measured throughput of an engine.

    `read_rate` is the prefill rate observed by callers in prompt tokens per ms, and
    `chunk_rate` the rate while prefill stalls a decoding stream. `event_ms` is the time
    between two events of a stream while nothing is prefilled. `ease` states how much
    more may be prefilled during a stall than these rates predict.
    """

    server: str
    read_rate: float
    chunk_rate: float
    event_ms: float
    ease: float


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """Report the rate limit that a server announced `age_ms` ago.

    `per_second` is the number of requests per second that the server accepts from all
    hosts together, None if it withdrew its limit. `boot_ms` identifies the server
    process. `rejections_borne` is the number of requests per second that it can reject
    without falling over, None unless it is brittle.
    """

    server: str
    boot_ms: int
    per_second: float | None
    age_ms: float
    rejections_borne: float | None = None


@dataclass(frozen=True, slots=True)
class RejectionNotice:
    """Report that a brittle server rejected a request `age_ms` ago."""

    server: str
    boot_ms: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report the crash of a server `age_ms` ago, and the prompt parts accused of it.

    `boot_ms` identifies the server process; `known` are parts of responses that had
    ended whole before.
    """

    server: str
    boot_ms: int
    age_ms: float
    parts: list[str]
    known: list[str]


@dataclass(frozen=True, slots=True)
class BlamedParts:
    """Report prompt parts that together crash servers."""

    parts: list[str]
    confirmed: bool


@dataclass(frozen=True, slots=True)
class CrashEvidenceNotice:
    """Report crashes, prompt parts that were cleared of late, and blamed parts."""

    crashes: list[CrashReport] = field(default_factory=list)
    cleared: list[str] = field(default_factory=list)
    blamed: list[BlamedParts] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report one host's load and the throughput of the engines it schedules.

    `limits` contains the rate limits that differ from those of the last summary,
    `evidence` the crashes that the host observed of late.
    """

    host: str
    uses: list[ServerUsage]
    paces: list[EngineRates]
    limits: list[RateLimitNotice] = field(default_factory=list)
    evidence: CrashEvidenceNotice = field(default_factory=CrashEvidenceNotice)
    rejections: list[RejectionNotice] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Report the total load of all hosts; forwarded to `targets`.

    `paces` contains only engines whose throughput has changed, `limits` all known rate
    limits, `evidence` all that is known of crashes.
    """

    origin: str
    uses: list[ServerUsage]
    paces: list[EngineRates]
    targets: list[str]
    limits: list[RateLimitNotice] = field(default_factory=list)
    evidence: CrashEvidenceNotice = field(default_factory=CrashEvidenceNotice)
    rejections: list[RejectionNotice] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LinkNotice:
    """Announce the services whose servers a host cannot reach now.

    The receiver forwards the message to `targets`.
    """

    host: str
    services: list[str]
    targets: list[str]


@dataclass(frozen=True, slots=True)
class LinkQuery:
    """Ask whether a host reaches any server of a service."""

    number: int
    service: str


@dataclass(frozen=True, slots=True)
class LinkReply:
    """Answer the query of that number."""

    number: int
    reached: bool


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """Announce that a server declared in a response that it is shutting down.

    The receiver forwards the message to `targets`. `boot_ms` identifies the server
    process that is shutting down.
    """

    server: str
    boot_ms: int
    targets: list[str]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A segment of a prompt; requests with equal leading segments share a prefix."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StreamProgress:
    """Report a stream's event count, elapsed time and longest gap between events."""

    events: int
    spent_ms: float
    longest_ms: float


AdmissionStage = Literal["waiting", "sent", "begun"]


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Ask the scheduling host to admit a request to an engine.

    The message is repeated until the request ends. `stage` is "waiting" until the host
    has sent the request and "begun" once the engine has prefilled its prompt. `gap_ms`
    is the longest permitted gap between the events of a stream, `target_ms` the target
    time from arrival to its first event. `limit` is the rate limit of the server, if
    the sender knows of one.
    """

    request_id: str
    server: str
    priority: int
    shared: list[PromptPart]
    own_tokens: int
    waited_ms: float
    stage: AdmissionStage
    gap_ms: float = 0.0
    progress: StreamProgress | None = None
    target_ms: float = 0.0
    limit: RateLimitNotice | None = None


@dataclass(frozen=True, slots=True)
class AdmissionQueued:
    """Confirm that a request is queued, and for how long it may wait."""

    request_id: str
    server: str
    unread: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class AdmissionGrant:
    """Admit a request to its engine; `unread` is the number of tokens to prefill.

    `waited_ms` is that of the request's last message, which tells its sender how old
    the grant is.
    """

    request_id: str
    server: str
    unread: int
    waited_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmissionEnd:
    """Report that a request has ended, was cancelled or was rejected by the server.

    `abandoned` is true if its host left it, so the server may still hold it.
    """

    request_id: str
    server: str
    progress: StreamProgress | None = None
    rejected: bool = False
    abandoned: bool = False


@dataclass(frozen=True, slots=True)
class BegunStreams:
    """Hashes of the ids of requests whose streams one software version began."""

    service: str
    software: str
    id_hashes: list[int]


@dataclass(frozen=True, slots=True)
class StreamOriginReport:
    """Report streams that servers began to the hosts that remember them."""

    groups: list[BegunStreams]


@dataclass(frozen=True, slots=True)
class StreamOriginQuery:
    """Ask at which software version of a service the stream of a request began.

    `number` identifies the query among those of its sender, `id_hash` the request.
    """

    number: int
    service: str
    id_hash: int


@dataclass(frozen=True, slots=True)
class StreamOriginReply:
    """Answer a query; `service` and `software` are empty if the stream is unknown.

    `final` is set if the sender would know the stream if it had been reported.
    """

    number: int
    final: bool
    service: str = ""
    software: str = ""


@dataclass(frozen=True, slots=True)
class DutyHeartbeat:
    """Report the claim of the host that holds the duties, and the end of its log.

    With `gives_up`, the holder does not use this claim any more.
    """

    holder: str
    boot_ms: int
    token: int
    timeline: int
    skip_through: int
    end_offset: int
    gives_up: bool


@dataclass(frozen=True, slots=True)
class WindowTotals:
    """Requests of a window that servers began to run, one count for each workspace."""

    window: int
    workspaces: list[str]
    counts: list[int]


@dataclass(frozen=True, slots=True)
class UsageTotals:
    """Report the totals of some windows, and the wall clock of their host.

    Totals replace earlier ones of the same host and `boot_ms`.
    """

    host: str
    boot_ms: int
    wall_ms: float
    windows: list[WindowTotals]


@dataclass(frozen=True, slots=True)
class UsageReceipt:
    """Name the holder of the duties, and the time since 1970 that all hosts agree on.

    A host other than the holder passes on what it knows.
    """

    holder: str
    token: int
    wall_ms: float


@dataclass(frozen=True, slots=True)
class DemandRow:
    """Count the requests of one service and priority since the start of a host.

    `requests` counts those that callers sent, `refused` those among them that got
    nothing. `prompt_tokens` are all tokens of their prompts, `prefill_tokens` those
    that servers probably do not cache, `output_tokens` the most that they may generate.
    `served` requests took `served_ms` together from arrival to the end.
    """

    service: str
    priority: int
    requests: int
    refused: int
    prompt_tokens: int
    prefill_tokens: int
    output_tokens: int
    served: int
    served_ms: float


@dataclass(frozen=True, slots=True)
class DemandTotals:
    """Report what the callers of a host in `domain` have requested since its start.

    Newer totals of the same `boot_ms` have a higher `sequence` and replace older ones.
    """

    host: str
    boot_ms: int
    domain: str
    sequence: int
    rows: list[DemandRow]


@dataclass(frozen=True, slots=True)
class ServerLoadNotice:
    """State the load of a server process that a host observed `age_ms` ago.

    `running` and `waiting` count the requests of all hosts, `pace` is how many times
    its usual time work takes there.
    """

    server: str
    boot_ms: int
    running: int
    waiting: int
    slots: int
    pace: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class ServerLoadNotices:
    """State the loads of servers; the receiver forwards the message to `targets`."""

    loads: list[ServerLoadNotice]
    targets: list[str]


@dataclass(frozen=True, slots=True)
class ServerBytes:
    """State how many bytes of requests a server process holds, or held at its end."""

    server: str
    boot_ms: int
    size: int


@dataclass(frozen=True, slots=True)
class ServiceBytes:
    """State how many bytes servers of a service bore, and how many were fatal."""

    service: str
    borne: int
    fatal: int


@dataclass(frozen=True, slots=True)
class ServerBytesReport:
    """Report the bytes of a host's requests at servers, also at crashed ones."""

    host: str
    counts: list[ServerBytes]
    crashes: list[ServerBytes]


@dataclass(frozen=True, slots=True)
class ServerBytesSummary:
    """State the bytes of all hosts at servers, and crashes for want of memory.

    The receiver forwards the message to `targets`.
    """

    totals: list[ServerBytes]
    bounds: list[ServiceBytes]
    crashes: list[ServerBytes]
    targets: list[str]


def list_message_types() -> list[type]:
    """Return the message types; the index of each is its type id on the wire."""
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
        PermitRedirect,
        PermitPreemption,
        PermitCancel,
        PermitFirstToken,
        PermitRelease,
        HeldPermits,
        ClaimRequest,
        ClaimResponse,
        RecordUpdates,
        RecordFetch,
        LoadReport,
        LoadSummary,
        AdmissionRequest,
        AdmissionQueued,
        AdmissionGrant,
        AdmissionEnd,
        ServerLeaving,
        StreamOriginReport,
        StreamOriginQuery,
        StreamOriginReply,
        LinkNotice,
        LinkQuery,
        LinkReply,
        DutyHeartbeat,
        UsageTotals,
        UsageReceipt,
        DemandTotals,
        ServerLoadNotices,
        ServerBytesReport,
        ServerBytesSummary,
    ]
