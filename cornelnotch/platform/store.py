"""Read and write the keyed topics of the platform's store."""

import asyncio
import base64
import struct
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from cornelnotch.exceptions import (
    LogTrimmedError,
    LogUnavailableError,
    UpstreamError,
)
from cornelnotch.gateway.records import Record, RecordPage, RecordSource
from cornelnotch.web import HttpClient

__all__ = ["PlatformStore"]

STATUS_OK = 200
STATUS_GONE = 410
# The store answers within 4 ms; fifty times that is a store in trouble.
READ_TIMEOUT_MS = 800.0
HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
# Rises by one each time that the store comes back from an older copy.
TIMELINE = "store-era"
TOPICS = {"configuration": "keyed.op", "servers": "keyed.servers"}
# The page's names of what lasts: `op/config`, `servers/ID`.
PART = 0


class NewestEntry(msgspec.Struct):
    """Validate the newest record of a key; `value` is in base64."""

    key: str
    value: str = ""
    offset: int = 0


class NewestPage(msgspec.Struct):
    """Validate one page of newest records."""

    entries: list[NewestEntry]
    end_offset: int
    has_more: bool = False


class TrimmedAnswer(msgspec.Struct):
    """Validate the answer to a read of records that are gone."""

    earliest_offset: int = 0


_newest_decoder = msgspec.json.Decoder(NewestPage)
_trimmed_decoder = msgspec.json.Decoder(TrimmedAnswer)


def read_timeline(headers: dict[str, str]) -> int | None:
    """Return the timeline that an answer names, None if it names none to be read."""
    text = headers.get(TIMELINE, "").strip()
    return int(text) if text.isascii() and text.isdigit() else None


def split_records(body: bytes, start: int, timeline: int | None = None) -> RecordPage:
    """Return the records of a read that began at offset `start`."""
    end, first = HEAD.unpack_from(body, 0)
    records = []
    position = HEAD.size
    offset = start
    while position + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            break
        position += length
        records.append(_read_keyed(content, offset))
        offset += 1
    return RecordPage(records, offset, max(end, offset), timeline)


def _read_keyed(content: bytes, offset: int) -> Record:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return Record(key, content[1 + size :], offset)


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Hold an answer of the store; `timeline` is None where it names none."""

    status: int
    body: bytes
    timeline: int | None


class PlatformStore(RecordSource):
    """Call the store over HTTP."""

    def __init__(self, address: str, client: HttpClient) -> None:
        self._address = address
        self._client = client
        self.calls = 0

    async def read_newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""
        records: list[Record] = []
        after = ""
        end: int | None = None
        first: int | None = None
        while True:
            target = f"/log-newest?topic={TOPICS[topic]}&part={PART}"
            if after:
                target += f"&after={quote(after, safe='')}"
            answer = await self._call(target, READ_TIMEOUT_MS)
            first = first if after else answer.timeline
            if answer.timeline != first:
                raise LogUnavailableError(
                    "the store was restored between two pages",
                    "read again",
                    answer.timeline,
                )
            page = self._decode(_newest_decoder, answer)
            for entry in page.entries:
                value = base64.b64decode(entry.value)
                records.append(Record(entry.key, value, entry.offset))
            # Pages are no snapshot, so reading goes on from the end of the first.
            end = page.end_offset if end is None else end
            if not page.has_more or not page.entries:
                return RecordPage(records, end, end, first)
            after = page.entries[-1].key

    async def read_from(self, topic: str, start: int, wait_ms: float) -> RecordPage:
        """Return the records from `start` on, waiting for the first."""
        target = f"/log-read?topic={TOPICS[topic]}&part={PART}&from={start}"
        if wait_ms > 0:
            target += f"&wait_ms={wait_ms:.0f}"
        answer = await self._call(target, READ_TIMEOUT_MS + wait_ms)
        if answer.status == STATUS_GONE:
            earliest = self._decode(_trimmed_decoder, answer).earliest_offset
            raise LogTrimmedError(earliest, answer.timeline)
        if len(answer.body) < HEAD.size:
            raise LogUnavailableError(
                "the store's answer is cut", "read again", answer.timeline
            )
        return split_records(answer.body, start, answer.timeline)

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder, answer: StoreAnswer):
        try:
            return decoder.decode(answer.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise LogUnavailableError(
                f"the store's answer is malformed: {error}",
                "read again",
                answer.timeline,
            ) from error

    async def _call(self, target: str, timeout_ms: float) -> StoreAnswer:
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                answer = await self._client.request(self._address, "GET", target)
                body = await answer.read()
        except (UpstreamError, TimeoutError) as error:
            raise LogUnavailableError(
                f"the store does not answer: {error!r}", "read again later"
            ) from error
        timeline = read_timeline(answer.headers)
        if answer.status not in {STATUS_OK, STATUS_GONE}:
            raise LogUnavailableError(
                f"the store answered {answer.status}", "read again later", timeline
            )
        return StoreAnswer(answer.status, body, timeline)
