"""Tests of callers that keep their connections while a host drains."""

import asyncio
import socket
from dataclasses import dataclass, field, replace

import h11
import orjson

from cornelnotch.kernel import create_clock, create_identifier
from cornelnotch.load.embedded import Deployment, InProcessFleet
from cornelnotch.node import create_node
from cornelnotch.standins.platform import PlatformStandin
from cornelnotch.web import parse_address

READ_BYTES = 65536
ENTRY_TTL_MS = 50
DESK_SHARD = "counter-desk/north-tw/0"
BODY_BYTES = 900_000
DEPLOYMENT = Deployment(
    "heelmark",
    {"host-1": "taipei-a", "host-2": "taipei-a"},
    {"cobbler-1": "taipei-a"},
    "cobbler-assist",
    {"desk-1": "taipei-a"},
    "counter-desk",
)


@dataclass
class Reply:
    """A response; `whole` is false if the connection ended before its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


def encode_request(target, labels, content, **more_headers):
    body = orjson.dumps(content)
    headers = {
        "host": "h",
        "cornelnotch-workspace": "heelmark",
        "cornelnotch-labels": labels,
        "content-length": str(len(body)),
    }
    headers.update({k.replace("_", "-"): v for k, v in more_headers.items()})
    protocol = h11.Connection(h11.CLIENT)
    head = h11.Request(method="POST", target=target, headers=list(headers.items()))
    events = [head, h11.Data(data=body), h11.EndOfMessage()]
    return b"".join(protocol.send(event) or b"" for event in events)


def encode_booking(reference, **more_headers):
    target = "/v1/services/counter-desk/book"
    headers = {"idempotency_key": create_identifier(), **more_headers}
    return encode_request(target, "kind=booking", {"reference": reference}, **headers)


def encode_lookup(reference="shelf"):
    target = "/v1/services/counter-desk/shelf"
    return encode_request(target, "kind=shelf", {"reference": reference})


def encode_chat(tokens):
    content = {
        "messages": [{"role": "user", "content": "boots"}],
        "max_tokens": tokens,
        "stream": True,
    }
    return encode_request("/v1/chat/completions", "kind=draft", content)


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


class KeptConnection:
    """A connection that is used again whatever the responses say of it."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send_now(self, data):
        """Write to the kernel before the event loop runs again."""
        self.writer.get_extra_info("socket")._sock.sendall(data)

    async def ask(self, data):
        self.writer.write(data)
        return await self.read()

    async def read(self):
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        protocol.send(h11.EndOfMessage())
        reply = Reply()
        while True:
            try:
                event = protocol.next_event()
            except h11.RemoteProtocolError:
                return reply
            if event is h11.NEED_DATA:
                try:
                    protocol.receive_data(await self.reader.read(READ_BYTES))
                    continue
                except OSError:
                    return reply
            if isinstance(event, h11.Response):
                reply.status = event.status_code
                reply.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                reply.body += event.data
            else:
                reply.whole = isinstance(event, h11.EndOfMessage)
                return reply


class DrainScenario:
    """A fleet of one host, and the connections of its callers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ranking = fleet.nodes["host-1"].fleet.rank_dispatchers(DESK_SHARD)
        # Drains the host that grants no permits.
        self.node = fleet.nodes[self.ranking[-1]]
        self.desk = fleet.services["desk-1"]
        self.engine = fleet.engines["cobbler-1"]
        self.connections = []
        self.set_timing(entry_ttl_ms=ENTRY_TTL_MS)

    def set_timing(self, **values):
        settings = self.node.settings
        timing = settings.timing.model_copy(update=values)
        self.node.settings = settings.model_copy(update={"timing": timing})

    async def connect(self, buffer_bytes=None):
        """Open a connection; `buffer_bytes` limits what the system buffers for it."""
        caller = socket.socket()
        if buffer_bytes is not None:
            (listener,) = self.node.server._server.sockets
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        caller.connect(parse_address(self.node.settings.node.http))
        connection = KeptConnection(*await asyncio.open_connection(sock=caller))
        self.connections.append(connection)
        return connection

    def start_drain(self, limit_ms=None):
        """Start to drain like a process that gets SIGTERM; return its task."""
        if limit_ms is not None:
            self.set_timing(drain_limit_ms=limit_ms)
        self.node.start_drain()
        return asyncio.create_task(self._stop_when_drained())

    async def _stop_when_drained(self):
        await self.node.stopped.wait()
        await self.node.stop()


def run_scenario(scenario, hosts=2):
    async def run():
        clock = create_clock()
        names = list(DEPLOYMENT.hosts)[:hosts]
        chosen = {name: DEPLOYMENT.hosts[name] for name in names}
        deployment = replace(DEPLOYMENT, hosts=chosen)
        fleet = InProcessFleet(deployment, clock, PlatformStandin(clock))
        await fleet.start()
        drained = DrainScenario(fleet)
        try:
            async with asyncio.timeout(30.0):
                await scenario(drained)
        finally:
            for connection in drained.connections:
                connection.writer.close()
            await fleet.stop()

    asyncio.run(run())


def test_request_that_crosses_the_close_of_its_connection_is_completed(monkeypatch):
    async def scenario(s):
        s.desk.profile.work_ms = 1800.0
        connection = await s.connect()
        start_draining = s.node.server.start_draining

        def send_and_start():
            connection.send_now(encode_booking("late"))
            start_draining()

        monkeypatch.setattr(s.node.server, "start_draining", send_and_start)
        stopping = s.start_drain()
        reply = await connection.read()
        assert (reply.status, reply.whole) == (200, True)
        await stopping

    run_scenario(scenario)


def test_draining_host_asks_callers_to_close_their_connections():
    async def scenario(s):
        connection = await s.connect()
        before = await connection.ask(encode_lookup())
        assert "connection" not in before.headers
        stopping = s.start_drain()
        during = await connection.ask(encode_lookup())
        assert (during.status, during.headers["connection"]) == (200, "close")
        await stopping

    run_scenario(scenario)


def test_call_that_waits_for_a_permit_at_the_drain_limit_is_refused_as_not_run():
    async def scenario(s):
        s.desk.profile.frozen_ms = 4000.0
        busy = [await s.connect() for _ in range(8)]
        for connection in busy:
            connection.send_now(encode_lookup("filler"))
        await wait_until(lambda: s.desk.ledger["filler"] == 8)
        connection = await s.connect()
        connection.send_now(encode_booking("waiting"))
        stopping = s.start_drain(limit_ms=300)
        reply = await connection.read()
        assert (reply.status, reply.whole) == (503, True)
        assert reply.headers["cornelnotch-outcome"] == "not-run"
        assert "retry-after" in reply.headers
        await stopping
        assert s.desk.ledger["waiting"] == 0

    run_scenario(scenario)


def test_call_that_is_being_refused_at_the_drain_limit_is_answered():
    async def scenario(s):
        s.desk.profile.frozen_ms = 4000.0
        busy = [await s.connect() for _ in range(8)]
        for connection in busy:
            connection.send_now(encode_lookup("filler"))
        await wait_until(lambda: s.desk.ledger["filler"] == 8)
        connection = await s.connect()
        repeat = {"cornelnotch_attempt": "2", "cornelnotch_deadline_ms": "1300"}
        connection.send_now(encode_booking("waiting", **repeat))
        await asyncio.sleep(0.1)
        # The release of the key takes its whole time limit.
        s.fleet.platform.faults.slow_ms = 5000.0
        stopping = s.start_drain(limit_ms=300)
        reply = await connection.read()
        assert (reply.status, reply.whole) == (503, True)
        assert reply.headers["cornelnotch-outcome"] == "unknown"
        await stopping

    run_scenario(scenario)


def test_call_without_a_response_at_the_drain_limit_is_answered_as_unknown():
    async def scenario(s):
        s.desk.profile.frozen_ms = 4000.0
        connection = await s.connect()
        connection.send_now(encode_booking("running"))
        await wait_until(lambda: s.desk.ledger["running"])
        stopping = s.start_drain(limit_ms=300)
        reply = await connection.read()
        assert (reply.status, reply.whole) == (504, True)
        assert reply.headers["cornelnotch-outcome"] == "unknown"
        await stopping

    run_scenario(scenario)


def test_request_whose_body_is_incomplete_at_the_drain_limit_is_refused():
    async def scenario(s):
        connection = await s.connect()
        connection.send_now(encode_booking("half")[:-5])
        await wait_until(lambda: s.node.front.active == 1)
        stopping = s.start_drain(limit_ms=300)
        reply = await connection.read()
        assert (reply.status, reply.whole) == (503, True)
        assert reply.headers["cornelnotch-outcome"] == "not-run"
        await stopping

    run_scenario(scenario)


def test_call_that_waits_for_its_claim_at_the_drain_limit_is_answered():
    async def scenario(s):
        s.fleet.platform.faults.slow_ms = 5000.0
        connection = await s.connect()
        connection.send_now(encode_booking("claiming"))
        stopping = s.start_drain(limit_ms=300)
        reply = await connection.read()
        assert (reply.status, reply.whole) == (503, True)
        await stopping
        assert s.desk.ledger["claiming"] == 0

    run_scenario(scenario)


def test_stream_that_outlasts_the_drain_limit_ends_with_an_error_event():
    async def scenario(s):
        connection = await s.connect()
        connection.send_now(encode_chat(400))
        stopping = s.start_drain(limit_ms=300)
        reply = await connection.read()
        assert (reply.status, reply.whole) == (200, True)
        assert b"[DONE]" not in reply.body
        last = reply.body.strip().rpartition(b"data: ")[2]
        assert orjson.loads(last)["error"]["outcome"] == "unknown"
        await stopping

    run_scenario(scenario)


def test_response_in_the_write_buffer_of_a_draining_host_is_delivered(monkeypatch):
    monkeypatch.setattr("cornelnotch.web.server.WRITE_BUFFER_HIGH_BYTES", BODY_BYTES)

    async def scenario(s):
        connection = await s.connect(buffer_bytes=4096)
        connection.writer.write(encode_lookup("x" * BODY_BYTES))
        await wait_until(lambda: s.node.server.count_unsent_bytes() > BODY_BYTES // 2)
        stopping = s.start_drain()
        await asyncio.wait({stopping}, timeout=3.5)
        # The rest of the response would be lost with the process.
        assert not stopping.done()
        reply = await connection.read()
        assert (reply.status, reply.whole) == (200, True)
        await stopping

    run_scenario(scenario)


def test_last_host_serves_requests_while_it_drains_and_then_stops():
    async def scenario(s):
        s.desk.profile.work_ms = 500.0
        connection, other = await s.connect(), await s.connect()
        connection.send_now(encode_booking("running"))
        await wait_until(lambda: s.desk.ledger["running"])
        stopping = s.start_drain()
        late = await other.ask(encode_booking("late"))
        assert (late.status, (await connection.read()).status) == (200, 200)
        async with asyncio.timeout(6.0):
            await stopping

    run_scenario(scenario, hosts=1)


def test_running_requests_keep_their_slots_when_their_dispatcher_drains():
    async def scenario(s):
        s.node = s.fleet.nodes[s.ranking[0]]
        s.set_timing(entry_ttl_ms=ENTRY_TTL_MS)
        s.desk.profile.frozen_ms = 2500.0
        busy = [await s.connect() for _ in range(8)]
        for connection in busy:
            connection.send_now(encode_booking("filler"))
        await wait_until(lambda: s.desk.ledger["filler"] == 8)
        s.desk.profile.frozen_ms = 0.0
        waiting = await s.connect()
        waiting.send_now(encode_booking("waiting"))
        await asyncio.sleep(0.3)
        stopping = s.start_drain()
        replies = [asyncio.create_task(c.read()) for c in busy]
        await asyncio.wait(replies, return_when=asyncio.FIRST_COMPLETED)
        assert s.desk.ledger["waiting"] == 0
        assert (await waiting.read()).status == 200
        await stopping

    run_scenario(scenario)


def test_host_that_drains_before_and_while_it_starts_stops():
    async def scenario(s):
        await s.node.stop()
        early = create_node(s.node.settings, s.node.clock)
        early.start_drain()
        await early.start()
        early.start_drain()
        async with asyncio.timeout(6.0):
            await early.stopped.wait()
        await early.stop()

    run_scenario(scenario)
