"""Stand in for the platform's store: keyed topics, with faults."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from cornelnotch.web import Exchange, HttpServer

__all__ = ["StoreStandin", "StoreTopic"]

HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
PAGE_ENTRIES = 3
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
POLL_S = 0.005


@dataclass(slots=True)
class StoreTopic:
    """Hold the records of one keyed topic; those before `earliest` are gone."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    earliest: int = 0

    def write(self, key: str, value: bytes) -> int:
        """Append a record; an empty value drops the key. Return its offset."""
        self.records.append((key, value))
        return len(self.records) - 1

    def list_newest(self) -> dict[str, tuple[bytes, int]]:
        """Return value and offset of each key."""
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(self.records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return newest


class StoreStandin:
    """Answer reads of keyed topics; `fault` is empty, `busy` or `silent`.

    Reads of `silent_topics` get no answer. Every answer names `timeline`, unless that
    is empty.
    """

    def __init__(self) -> None:
        self.server = HttpServer(self._handle)
        self.topics = {"keyed.op": StoreTopic(), "keyed.servers": StoreTopic()}
        self.fault = ""
        self.silent_topics: set[str] = set()
        self.timeline = "1"
        self.calls = 0
        self.paths: set[str] = set()

    def copy(self) -> dict[str, int]:
        """Return how much of each topic a copy made now would hold."""
        return {name: len(topic.records) for name, topic in self.topics.items()}

    def restore(self, copy: dict[str, int]) -> None:
        """Come back from a copy, in the next timeline."""
        for name, size in copy.items():
            del self.topics[name].records[size:]
        self.timeline = str(int(self.timeline) + 1)

    def _create_headers(self) -> dict[str, str]:
        return {"store-era": self.timeline} if self.timeline else {}

    @property
    def address(self) -> str:
        """Return where the store listens."""
        return f"127.0.0.1:{self.server.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop at once."""
        await self.server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        await exchange.read_body(0)
        self.calls += 1
        self.paths.add(exchange.path)
        if self.fault == "silent" or exchange.query["topic"] in self.silent_topics:
            await exchange.gone.wait()
            exchange.abort()
            return
        if self.fault == "busy":
            headers = self._create_headers()
            await exchange.respond_json(STATUS_UNAVAILABLE, {}, headers)
            return
        topic = self.topics[exchange.query["topic"]]
        if exchange.path == "/log-newest":
            await self._answer_newest(exchange, topic)
        else:
            await self._answer_read(exchange, topic)

    async def _answer_newest(self, exchange: Exchange, topic: StoreTopic) -> None:
        after = exchange.query.get("after", "")
        rows = sorted(topic.list_newest().items())
        rows = [row for row in rows if row[0] > after]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in rows[:PAGE_ENTRIES]
        ]
        content = {
            "entries": entries,
            "has_more": len(rows) > PAGE_ENTRIES,
            "end_offset": len(topic.records),
        }
        await exchange.respond_json(200, content, self._create_headers())

    async def _answer_read(self, exchange: Exchange, topic: StoreTopic) -> None:
        start = int(exchange.query["from"])
        wait_s = float(exchange.query.get("wait_ms", "0")) / 1000.0
        while start == len(topic.records) and wait_s > 0:
            await asyncio.sleep(POLL_S)
            wait_s -= POLL_S
        headers = self._create_headers()
        if start < topic.earliest or start > len(topic.records):
            content = {"earliest_offset": topic.earliest}
            await exchange.respond_json(STATUS_GONE, content, headers)
            return
        body = HEAD.pack(len(topic.records), topic.earliest)
        for key, value in topic.records[start:]:
            name = key.encode()
            content_bytes = bytes([len(name)]) + name + value
            body += LENGTH.pack(len(content_bytes)) + content_bytes
        headers["content-type"] = "application/octet-stream"
        await exchange.respond(200, headers, body)
