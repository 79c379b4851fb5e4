"""Simulated store of the platform, with keyed topics and faults."""

import asyncio
import base64
import struct
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from cornelnotch.web import Exchange, HttpServer

__all__ = ["StoreStandin", "StoreTopic"]

PAGE_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
MAX_PAGE_ENTRIES = 3
MAX_APPEND_BYTES = 2 * 1024 * 1024
KEYED_PREFIX = "keyed."
STATUS_GONE = 410
STATUS_MOVED = 412
STATUS_UNAVAILABLE = 503
POLL_INTERVAL_S = 0.005


@dataclass(slots=True)
class StoreTopic:
    """Records of one topic; reads before `earliest` fail as trimmed.

    Records of topics that are not keyed have empty keys.
    """

    records: list[tuple[str, bytes]] = field(default_factory=list)
    earliest: int = 0

    def write(self, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value deletes the key."""
        self.records.append((key, value))
        return len(self.records) - 1

    def list_newest(self) -> dict[str, tuple[bytes, int]]:
        """Return the newest value and offset of each key."""
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(self.records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return newest


class StoreStandin:
    """Simulated store of the platform.

    With the `fault` `busy` it responds that it is unavailable, and with `silent` not at
    all; an empty `fault` means none. Reads of `silent_topics` get no response. Every
    response includes `timeline`, unless it is empty. The next `lost_appends`
    conditional appends get no response, and are executed after `late_append_s`.
    """

    def __init__(self) -> None:
        self.server = HttpServer(self._handle)
        self.topics: defaultdict[str, StoreTopic] = defaultdict(StoreTopic)
        self.fault = ""
        self.silent_topics: set[str] = set()
        self.timeline = "1"
        self.calls = 0
        self.lost_appends = 0
        self.late_append_s = 0.0
        self.topic_calls: Counter[str] = Counter()
        self.paths: set[str] = set()

    def create_backup(self) -> dict[str, int]:
        """Return a backup: the current number of records of each topic."""
        return {name: len(topic.records) for name, topic in self.topics.items()}

    def restore(self, backup: dict[str, int]) -> None:
        """Restore a backup and start the next timeline."""
        for name, size in backup.items():
            del self.topics[name].records[size:]
        self.timeline = str(int(self.timeline) + 1)

    def _create_headers(self) -> dict[str, str]:
        return {"store-era": self.timeline} if self.timeline else {}

    @property
    def address(self) -> str:
        """Return the address that the store listens on."""
        return f"127.0.0.1:{self.server.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop immediately."""
        await self.server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(MAX_APPEND_BYTES)
        self.calls += 1
        self.paths.add(exchange.path)
        self.topic_calls[exchange.query["topic"]] += 1
        if self.fault == "silent" or exchange.query["topic"] in self.silent_topics:
            await exchange.disconnected.wait()
            exchange.abort()
            return
        if self.fault == "busy":
            headers = self._create_headers()
            await exchange.respond_json(STATUS_UNAVAILABLE, {}, headers)
            return
        topic = self.topics[exchange.query["topic"]]
        if exchange.path == "/log-append":
            await self._append(exchange, topic, body)
        elif exchange.path == "/log-newest":
            await self._answer_newest(exchange, topic)
        else:
            await self._answer_read(exchange, topic)

    async def _append(self, exchange: Exchange, topic: StoreTopic, body: bytes) -> None:
        is_conditional = "at" in exchange.query
        if is_conditional and self.lost_appends:
            self.lost_appends -= 1
            await asyncio.sleep(self.late_append_s)
            if int(exchange.query["at"]) == len(topic.records):
                self._write_records(exchange, topic, body)
            exchange.abort()
            return
        if is_conditional and int(exchange.query["at"]) != len(topic.records):
            content = {"end_offset": len(topic.records)}
            await exchange.respond_json(STATUS_MOVED, content, self._create_headers())
            return
        offset = len(topic.records)
        self._write_records(exchange, topic, body)
        response = {"offset": offset, "end_offset": len(topic.records)}
        await exchange.respond_json(200, response, self._create_headers())

    @staticmethod
    def _write_records(exchange: Exchange, topic: StoreTopic, body: bytes) -> None:
        while body:
            (length,) = RECORD_LENGTH.unpack_from(body)
            end = RECORD_LENGTH.size + length
            content = body[RECORD_LENGTH.size : end]
            if exchange.query["topic"].startswith(KEYED_PREFIX):
                key = content[1 : 1 + content[0]].decode()
                topic.write(key, content[1 + content[0] :])
            else:
                topic.write("", content)
            body = body[end:]

    async def _answer_newest(self, exchange: Exchange, topic: StoreTopic) -> None:
        after = exchange.query.get("after", "")
        rows = sorted(topic.list_newest().items())
        rows = [row for row in rows if row[0] > after]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in rows[:MAX_PAGE_ENTRIES]
        ]
        content = {
            "entries": entries,
            "has_more": len(rows) > MAX_PAGE_ENTRIES,
            "end_offset": len(topic.records),
        }
        await exchange.respond_json(200, content, self._create_headers())

    async def _answer_read(self, exchange: Exchange, topic: StoreTopic) -> None:
        start = int(exchange.query["from"])
        wait_s = float(exchange.query.get("wait_ms", "0")) / 1000.0
        while start == len(topic.records) and wait_s > 0:
            await asyncio.sleep(POLL_INTERVAL_S)
            wait_s -= POLL_INTERVAL_S
        headers = self._create_headers()
        if start < topic.earliest or start > len(topic.records):
            content = {"earliest_offset": topic.earliest}
            await exchange.respond_json(STATUS_GONE, content, headers)
            return
        body = PAGE_HEADER.pack(len(topic.records), topic.earliest)
        for key, value in topic.records[start:]:
            name = key.encode()
            is_keyed = exchange.query["topic"].startswith(KEYED_PREFIX)
            content_bytes = bytes([len(name)]) + name + value if is_keyed else value
            body += RECORD_LENGTH.pack(len(content_bytes)) + content_bytes
        headers["content-type"] = "application/octet-stream"
        await exchange.respond(200, headers, body)
