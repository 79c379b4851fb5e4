"""Tests of callers that keep their connections while a host drains."""

import asyncio
import socket
from dataclasses import dataclass, field

import h11
import orjson

from cornelnotch.kernel import create_clock, create_identifier
from cornelnotch.load.embedded import Deployment, InProcessFleet
from cornelnotch.standins.platform import PlatformStandin
from cornelnotch.web import parse_address

READ_BYTES = 65536
ENTRY_TTL_MS = 50
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


def encode_request(target, labels, content, key=None):
    body = orjson.dumps(content)
    headers = {
        "host": "h",
        "cornelnotch-workspace": "heelmark",
        "cornelnotch-labels": labels,
        "content-length": str(len(body)),
    }
    if key is not None:
        headers["idempotency-key"] = key
    protocol = h11.Connection(h11.CLIENT)
    head = h11.Request(method="POST", target=target, headers=list(headers.items()))
    events = [head, h11.Data(data=body), h11.EndOfMessage()]
    return b"".join(protocol.send(event) or b"" for event in events)


def encode_booking(reference, key=None):
    target = "/v1/services/counter-desk/book"
    content = {"reference": reference}
    key = key or create_identifier()
    return encode_request(target, "kind=booking", content, key)


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
        self.node = fleet.nodes["host-1"]
        self.desk = fleet.services["desk-1"]
        self.engine = fleet.engines["cobbler-1"]
        self.connections = []
        self._set_timing(entry_ttl_ms=ENTRY_TTL_MS)

    def _set_timing(self, **values):
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
            self._set_timing(drain_limit_ms=limit_ms)
        self.node.start_drain()
        return asyncio.create_task(self._stop_when_drained())

    async def _stop_when_drained(self):
        await self.node.stopped.wait()
        await self.node.stop()


def run_scenario(scenario):
    async def run():
        clock = create_clock()
        fleet = InProcessFleet(DEPLOYMENT, clock, PlatformStandin(clock))
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
