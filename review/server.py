"""Stand-in of a server, as a process of its own.

It answers as PROTOCOL.md says: it echoes X-Attempt-Id, signs what it runs, refuses
requests for another server with 421 and what exceeds its places with 503 and
X-Not-Executed, stops its work when the connection closes or the deadline has passed,
and reports when it was started. The query of a request sets its work: `work` is the
time to the answer in ms, `size` the bytes of a body, `events` the number of events of a
stream and `gap` the time between them in ms.

Commands come as JSON lines on standard input and set attributes, for example
{"limit": "5"}. What it runs goes to a ledger file, one JSON line for each step.
"""

import asyncio
import json
import sys
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

LOOPBACK = "127.0.0.1"
READ_BYTES = 65536


class Connection:
    """One connection of a host."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.closed = False

    async def read_request(self):
        """Return method, target, headers and body, or None at the end."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return None
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if int(headers.get("content-length", "0")):
            body = await self.reader.readexactly(int(headers["content-length"]))
        return method, target, headers, body

    def is_closed(self):
        """Return whether the host has closed the connection."""
        return self.closed or self.reader.at_eof() or self.writer.is_closing()

    async def write(self, data):
        """Send bytes; raise OSError if the host has closed the connection."""
        if self.is_closed():
            raise ConnectionResetError
        self.writer.write(data)
        await self.writer.drain()


class Server:
    """State of one server."""

    def __init__(self, name, capacity, ledger):
        self.name = name
        self.capacity = capacity
        self.ledger = ledger
        self.started_ms = int(time.time() * 1000)
        self.running = 0
        self.limit = ""
        self.babble = ""
        self.silent_until_s = 0.0
        self.version = "v1"
        self.tasks = set()

    def note(self, step, request_id, **details):
        """Write one line of the ledger."""
        line = {"t": time.monotonic(), "server": self.name, "step": step}
        self.ledger.write(json.dumps({**line, "id": request_id, **details}) + "\n")
        self.ledger.flush()

    async def accept(self, reader, writer):
        """Serve one connection."""
        connection = Connection(reader, writer)
        try:
            while await self.serve(connection):
                pass
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def serve(self, connection):
        """Serve one request; return whether another one may follow."""
        request = await connection.read_request()
        if request is None:
            return False
        _, target, headers, _ = request
        request_id = headers.get("x-attempt-id", "")
        parts = urlsplit(target)
        if parts.path == "/report":
            body = json.dumps({"born": self.started_ms, "phase": "combined"}).encode()
            await self.answer(connection, 200, {}, body)
            return True
        common = {"X-Attempt-Id": request_id}
        if self.limit:
            common["Server-Limit"] = self.limit
        self.note("arrived", request_id, path=parts.path)
        if headers.get("x-target-instance", self.name) != self.name:
            common["X-Not-Executed"] = "1"
            await self.answer(connection, 421, common, b"")
            return True
        if self.running >= self.capacity:
            common["X-Not-Executed"] = "1"
            await self.answer(connection, 503, common, b"")
            return True
        self.running += 1
        self.note("begun", request_id, tenant=headers.get("x-tenant", ""))
        watch = asyncio.create_task(self.watch(connection))
        ended = "broken"
        try:
            common["X-Server-Load"] = f"{self.running},0,{self.capacity}"
            common["X-Server-Signature"] = f"{self.name}.{request_id}"
            query = dict(parse_qsl(parts.query))
            limit_s = float(headers.get("x-deadline-ms", "600000")) / 1000.0
            async with asyncio.timeout(limit_s):
                ended = await self.run(connection, request_id, headers, query, common)
        except TimeoutError:
            ended = "deadline"
        finally:
            watch.cancel()
            await asyncio.wait({watch})
            self.running -= 1
            self.note("ended", request_id, how=ended)
        return ended == "done"

    async def watch(self, connection):
        """Note that the host has closed the connection."""
        with suppress(OSError):
            if await connection.reader.read(READ_BYTES):
                return
        connection.closed = True

    async def work(self, connection, work_ms):
        """Work for a time; raise OSError once the host has closed the connection."""
        end_s = time.monotonic() + work_ms / 1000.0
        while (left_s := max(end_s, self.silent_until_s) - time.monotonic()) > 0:
            if connection.is_closed():
                raise ConnectionResetError
            await asyncio.sleep(min(left_s, 0.02))

    async def run(self, connection, request_id, headers, query, common):
        """Run one request and return how it ended."""
        if self.babble:
            return await self.talk_without_end(connection, common)
        await self.work(connection, float(query.get("work", "20")))
        events = int(query.get("events", "0"))
        if not events:
            body = request_id.encode().ljust(int(query.get("size", "800")), b".")
            await self.answer(connection, 200, common, body)
            return "done"
        common |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        await connection.write(create_head(200, common))
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            event = f"id: {number}\ndata: {self.version} piece {number}\n\n".encode()
            await connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            await self.work(connection, float(query.get("gap", "20")))
        await connection.write(b"0\r\n\r\n")
        return "done"

    async def talk_without_end(self, connection, common):
        """Send a body without end until the caller closes."""
        common["Transfer-Encoding"] = "chunked"
        await connection.write(create_head(200, common))
        piece = int(self.babble)
        chunk = b"%x\r\n%s\r\n" % (piece, b"." * piece)
        data = chunk * max(READ_BYTES // len(chunk), 1)
        while True:
            await connection.write(data)
            await asyncio.sleep(0)

    async def answer(self, connection, status, headers, body):
        """Send a whole answer."""
        headers = {**headers, "Content-Length": str(len(body))}
        await connection.write(create_head(status, headers) + body)

    async def follow_commands(self):
        """Apply the commands of standard input until it ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            for name, value in json.loads(line).items():
                setattr(self, name, value)


def create_head(status, headers):
    """Return the bytes of the head of an answer."""
    lines = [f"HTTP/1.1 {status} x", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def run(name, capacity, ledger):
    """Run one server until standard input ends."""
    server = Server(name, capacity, ledger)
    listener = await asyncio.start_server(server.accept, LOOPBACK, 0)
    port = listener.sockets[0].getsockname()[1]
    print(json.dumps({"port": port, "born": server.started_ms}), flush=True)
    await server.follow_commands()


def main():
    """Run the server that the arguments name."""
    name, capacity, path = sys.argv[1], int(sys.argv[2]), Path(sys.argv[3])
    with path.open("a") as ledger:
        asyncio.run(run(name, capacity, ledger))


if __name__ == "__main__":
    main()
