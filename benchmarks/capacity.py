"""Print how the costs of a node scale with size, for docs/CAPACITY.md.

Run with ``python -m benchmarks.capacity``. Each line gives the size, processor time
and memory of one component of a node at one of three or more sizes; the page
extrapolates from them.
"""

import gc
import os
import random
import sys
import tracemalloc
from collections.abc import Callable

from cornelnotch.claims import (
    ClaimLedger,
    ClaimOperation,
    OperationKind,
    encode_operations,
)
from cornelnotch.configuration import (
    Change,
    ConfigurationState,
    apply_record,
    create_snapshot,
    encode_record,
    plan_shards,
    select_class,
)
from cornelnotch.kernel import create_clock, create_identifier
from cornelnotch.membership import MemberTable
from cornelnotch.observation import TraceStore
from cornelnotch.queueing import create_shard
from cornelnotch.queueing.models import ClassConfig, ServerConfig, ShardConfig
from cornelnotch.testing.samples import (
    create_sample_configuration,
    create_server_section,
)
from cornelnotch.wire import decode_message, encode_message
from cornelnotch.wire.messages import (
    HeldPermit,
    HeldPermits,
    MemberUpdate,
    PermitAsk,
    PermitFirstToken,
    PermitGrant,
    PermitRelease,
    Ping,
)

MS_PER_SECOND = 1000.0
KILOBYTE = 1024.0
REPEATS = 5


def measure_min_ms(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the least time of `work` over the repeats, in ms."""
    best = float("inf")
    for _ in range(repeats):
        before = os.times()
        started = create_clock().read()
        work()
        elapsed = create_clock().read() - started
        after = os.times()
        spent = (after.user - before.user + after.system - before.system) * 1000.0
        best = min(best, max(elapsed, spent) if elapsed < 20 else elapsed)
    return best


def measure_kilobytes(create: Callable[[], object]) -> float:
    """Return the memory of the result of `create` in KB."""
    gc.collect()
    tracemalloc.start()
    held = create()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size / KILOBYTE


def create_text(servers: int, workspaces: int) -> str:
    """Return a configuration with the given numbers of servers and workspaces."""
    sections = "".join(
        create_server_section(
            f"server-{n}", "cobbler-assist", f"127.0.0.1:{n % 60000 + 1}"
        )
        for n in range(servers)
    )
    sections += "".join(
        f"[workspace w{n}]\nlabels = size=small\nconcurrent = 50\n"
        for n in range(workspaces)
    )
    return create_sample_configuration(sections)


def print_configuration() -> None:
    """Print the cost of following the configuration."""
    print("configuration reader: servers, workspaces, KB of memory, ms to fold all")
    print("sections, ms to fold one change, ms to plan shards, KB of a snapshot")
    for servers, workspaces in ((100, 68), (700, 475), (2800, 1900)):
        text = create_text(servers, workspaces)
        body = encode_record(Change("id", -1, text))
        state = apply_record(ConfigurationState(), 0, body).state
        change = encode_record(Change("id", 0, "[workspace w1]\nconcurrent = 9\n"))
        held = measure_kilobytes(
            lambda b=body: apply_record(ConfigurationState(), 0, b)
        )
        fold_all_ms = measure_min_ms(
            lambda b=body: apply_record(ConfigurationState(), 0, b), 2
        )
        one = measure_min_ms(lambda s=state, c=change: apply_record(s, 1, c))
        plan = measure_min_ms(lambda s=state: plan_shards(s.configuration))
        size = len(encode_record(create_snapshot(state))) / KILOBYTE
        print(
            f"  {servers:5d} {workspaces:5d} {held:8.0f} {fold_all_ms:8.1f} {one:8.2f} "
            f"{plan:8.2f} {size:8.0f}"
        )
    configuration = state.configuration
    spent = measure_min_ms(
        lambda: [
            select_class(configuration, "w1", {"kind": "quote"}, None)
            for _ in range(1000)
        ]
    )
    print(f"  classification: {spent:.2f} us per request")


def create_member(number: int) -> MemberUpdate:
    """Return the membership update of a host."""
    return MemberUpdate(
        f"host-{number:03d}",
        f"10.0.{number // 256}.{number % 256}:8080",
        f"10.0.{number // 256}.{number % 256}:8081",
        f"place-{number % 8}",
        "alive",
        1_780_000_000_000 + number,
    )


def print_membership() -> None:
    """Print the cost of membership."""
    print(
        "membership: hosts, KB of memory, us to encode and decode one probe, bytes of"
    )
    print("a probe with all updates, bytes of a probe with one update")
    for count in (9, 80, 320):
        members = [create_member(n) for n in range(count)]

        def build(members: list[MemberUpdate] = members) -> MemberTable:
            table = MemberTable(members[0], 0.0)
            for member in members[1:]:
                table.merge(member, 0.0)
            return table

        table = build()
        held = measure_kilobytes(build)
        full = Ping(1, "host-000", 7, 3.0, table.pop_updates(), [])
        minimal = Ping(1, "host-000", 7, 3.0, members[:1], [])
        data = encode_message(full)

        def probe(message: Ping = full, body: bytes = data[4:]) -> None:
            for _ in range(200):
                encode_message(message)
                decode_message(body)

        spent = measure_min_ms(probe) * 1000.0 / 200
        print(
            f"  {count:5d} {held:8.0f} {spent:8.1f} {len(data):8d} "
            f"{len(encode_message(minimal)):8d}"
        )


def create_rule(servers: int) -> ShardConfig:
    """Return a shard configuration with the given number of servers."""
    classes = {
        f"class-{tier}": ClassConfig(f"class-{tier}", tier, 460.0, None, 8000.0, 0.02)
        for tier in range(1, 8)
    }
    return ShardConfig(
        "pool/region/0",
        "tiered",
        "adaptive",
        True,
        6.0,
        500.0,
        classes,
        {
            f"server-{n}": ServerConfig(f"server-{n}", f"127.0.0.1:{n + 1}", 16, False)
            for n in range(servers)
        },
        {},
    )


def process_permits(servers: int, requests: int) -> None:
    """Process requests of seven tiers in a shard that is nearly full."""
    shard = create_shard(create_rule(servers))
    generator = random.Random(1)
    now = 0.0
    running: list[str] = []
    for number in range(requests):
        now += 1.0
        tier = generator.randint(1, 7)
        ask = PermitAsk(
            f"host-000.{number}",
            "host-000",
            "pool/region/0",
            f"class-{tier}",
            tier,
            f"w{generator.randrange(100)}",
            f"{generator.randrange(1000):016x}",
            0.0,
            10_000.0,
            [],
            0,
        )
        shard.request_permit(ask, now)
        running.append(ask.request_id)
        if len(running) > servers * 17:
            request_id = running.pop(0)
            held = shard.running.get(request_id)
            if held is not None:
                finish = PermitRelease(
                    request_id, "s", held.server, "done", 400.0, 50.0, 20.0, 20
                )
                shard.finish_request(finish, now)


def print_dispatcher() -> None:
    """Print the cost of dispatching."""
    print("dispatcher: servers of a shard, us of decisions per request")
    requests = 4000
    for servers in (4, 8, 16):
        spent = measure_min_ms(lambda s=servers: process_permits(s, requests), 2)
        print(f"  {servers:5d} {spent * 1000.0 / requests:8.1f}")
    request_id = f"host-000.{create_identifier()}"
    shard = "cobbler-assist/north-tw/0"
    messages = [
        PermitAsk(
            request_id, "host-000", shard, "quote", 1, "w", "f" * 16, 1.5, 8e3, [], 0
        ),
        PermitGrant(
            request_id,
            shard,
            "server-1",
            "10.0.0.1:80",
            "host-001",
            0.5,
            "tier",
            1.5,
        ),
        PermitFirstToken(request_id, shard, 50.5),
        PermitRelease(request_id, shard, "server-1", "done", 900.5, 50.5, 20.5, 40),
    ]
    sizes = [len(encode_message(m)) for m in messages]

    def encode_and_decode() -> None:
        for _ in range(100):
            for message in messages:
                decode_message(encode_message(message)[4:])

    spent = measure_min_ms(encode_and_decode) * 10.0
    print(f"  bytes of the messages of one request: {sum(sizes)} {sizes}")
    print(f"  encoding and decoding them: {spent:.1f} us per request")
    permits = [HeldPermit(request_id, "server-1", "quote", 1, "w") for _ in range(100)]
    held = len(encode_message(HeldPermits("host-000", shard, permits)))
    print(f"  bytes of a held permit in the periodic report: {held / 100:.0f}")


def print_claims() -> None:
    """Print the cost of storing claims."""
    print("claim writer: claims, KB of memory, us to fold one claim, bytes in the log")
    print("of one claim with its outcome")
    for count in (1000, 10_000, 50_000):
        operations = [
            ClaimOperation(
                OperationKind.CLAIM,
                f"w/{create_identifier()}",
                create_identifier(),
                "f",
            )
            for n in range(count)
        ]

        def build(operations: list[ClaimOperation] = operations) -> ClaimLedger:
            ledger = ClaimLedger()
            for offset, operation in enumerate(operations):
                ledger.apply(operation, offset, 0, 0.0)
            return ledger

        held = measure_kilobytes(build)
        spent = measure_min_ms(build, 2) * 1000.0 / count
        outcome = ClaimOperation(
            OperationKind.OUTCOME,
            operations[0].key,
            operations[0].attempt,
            "",
            200,
            "application/json",
            b"x" * 100,
        )
        size = len(encode_operations([operations[0], outcome]))
        print(f"  {count:6d} {held:8.0f} {spent:8.2f} {size:6d}")


def print_traces() -> None:
    """Print the memory of the traces of recent requests."""
    print("decision log: traces, KB of memory")
    clock = create_clock()
    for count in (500, 1000, 5000):

        def build(count: int = count) -> TraceStore:
            log = TraceStore(clock)
            for number in range(count):
                trace = log.start_trace(f"host-000.{create_identifier()}")
                trace.note(
                    "classified",
                    selector="quotes",
                    class_name="quote",
                    tier=1,
                    pool="cobbler-assist",
                    version=7,
                )
                trace.note(
                    "permit",
                    server=f"server-{number % 16}",
                    dispatcher="host-001",
                    queued_ms=number * 0.5,
                    reason="tier",
                )
                trace.note(
                    "answered", attained=True, whole_ms=number * 1.5, tokens=number
                )
            return log

        print(f"  {count:6d} {measure_kilobytes(build):8.0f}")


def print_costs() -> None:
    """Print the costs of all components."""
    print(f"python {sys.version.split()[0]}")
    print_configuration()
    print_membership()
    print_dispatcher()
    print_claims()
    print_traces()


if __name__ == "__main__":
    print_costs()
