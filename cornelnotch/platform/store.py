"""Client of the keyed topics of the platform's store."""

import asyncio
import base64
import struct
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from cornelnotch.crashes.log import CrashLog, StoredCrashes, StoredPosition
from cornelnotch.exceptions import (
    LogResponseError,
    LogTrimmedError,
    LogUnavailableError,
    MalformedInputError,
    UpstreamError,
)
from cornelnotch.gateway.host_registry import HostRegistry
from cornelnotch.gateway.origin_log import OriginBatch, OriginHistory, OriginLog
from cornelnotch.gateway.records import Record, RecordPage, RecordSource
from cornelnotch.kernel.parsing import Count, decode, parse_address, parse_count
from cornelnotch.web import HttpClient

__all__ = [
    "APPENDED",
    "READ_TIMEOUT_MS",
    "STATUS_OK",
    "AppendResponse",
    "PlatformStore",
    "frame_keyed_record",
]

STATUS_OK = 200
STATUS_GONE = 410
STATUS_MOVED = 412
ANSWERED = frozenset({STATUS_OK, STATUS_GONE})
APPENDED = frozenset({STATUS_OK, STATUS_MOVED})
# The store responds within 4 ms; two hundred times as long indicates a fault.
READ_TIMEOUT_MS = 800.0
PAGE_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
# Header with the number of the store's timeline, which increases by one each time the
# store is restored from an older copy.
TIMELINE_HEADER = "store-era"
# The platform's documentation prefixes the keys of these topics: `op/config` and
# `servers/ID`.
TOPICS = {"configuration": "keyed.op", "servers": "keyed.servers"}
PARTITION = 0
ORIGINS_TOPIC = "stream-origins"
HOSTS_TOPIC = "keyed.hosts"
CRASHES_TOPIC = "keyed.crashes"
CRASHES_KEY = "evidence"
MAX_ORIGIN_PAGES = 64
MAX_LISTED_HOSTS = 64
MAX_KEY_BYTES = 255


class NewestEntry(msgspec.Struct):
    """Schema of the newest record of a key; `value` is base64-encoded."""

    key: str
    value: str = ""
    offset: Count = 0


class NewestPage(msgspec.Struct):
    """Schema of one page of newest records."""

    entries: list[NewestEntry]
    end_offset: Count
    has_more: bool = False


class AppendResponse(msgspec.Struct):
    """Schema of the response to an append."""

    end_offset: Count


class TrimmedResponse(msgspec.Struct):
    """Schema of the response to a read of trimmed records."""

    earliest_offset: Count = 0


_newest_decoder = msgspec.json.Decoder(NewestPage)
_trimmed_decoder = msgspec.json.Decoder(TrimmedResponse)
_append_decoder = msgspec.json.Decoder(AppendResponse)
_record_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(OriginBatch)
_crashes_decoder = msgspec.msgpack.Decoder(StoredCrashes)


def parse_timeline(headers: dict[str, str]) -> int | None:
    """Return the timeline in `headers`, or None if it is missing or malformed."""
    return parse_count(headers.get(TIMELINE_HEADER, "").strip())


def frame_keyed_record(name: str, value: bytes) -> bytes:
    """Return a record of a keyed topic as the body of an append has it."""
    key = name.encode()[:MAX_KEY_BYTES]
    record = bytes([len(key)]) + key + value
    return RECORD_LENGTH.pack(len(record)) + record


def split_records(body: bytes, start: int, timeline: int | None = None) -> RecordPage:
    """Return the records in the response to a read from offset `start`."""
    end, first = PAGE_HEADER.unpack_from(body, 0)
    records = []
    position = PAGE_HEADER.size
    offset = start
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            break
        position += length
        records.append(_parse_record(content, offset))
        offset += 1
    return RecordPage(records, offset, max(end, offset), timeline)


def _parse_entry(entry: NewestEntry) -> Record:
    try:
        value = base64.b64decode(entry.value)
    except ValueError:
        # Whoever decodes the value rejects this record alone, not the whole page.
        value = entry.value.encode()
    return Record(entry.key, value, entry.offset)


def _parse_record(content: bytes, offset: int) -> Record:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return Record(key, content[1 + size :], offset)


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """A response of the store; `timeline` is None if the header is missing."""

    status: int
    body: bytes
    timeline: int | None


@dataclass(frozen=True, slots=True)
class RawPage:
    """Records of a topic without keys."""

    values: list[bytes]
    end_offset: int


def split_raw_records(response: StoreResponse) -> RawPage:
    """Return the records in a response; raise LogResponseError if it is malformed."""
    body = response.body
    if len(body) < PAGE_HEADER.size:
        raise LogResponseError(
            "store response is truncated", "read again", response.timeline
        )
    end, _ = PAGE_HEADER.unpack_from(body, 0)
    values = []
    position = PAGE_HEADER.size
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        value = body[position : position + length]
        if len(value) < length:
            break
        position += length
        values.append(value)
    return RawPage(values, end)


class PlatformStore(RecordSource, OriginLog, CrashLog, HostRegistry):
    """Read records from the store over HTTP.

    The origins of streams, the evidence of crashes and the addresses of hosts are kept
    there, too.
    """

    def __init__(self, address: str, client: HttpClient) -> None:
        self._address = address
        self._client = client
        self.calls = 0

    def set_address(self, address: str) -> None:
        """Replace the address of the store."""
        self._address = address

    async def read_newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key; raise LogUnavailableError."""
        return await self.read_topic(TOPICS[topic])

    async def read_topic(self, name: str) -> RecordPage:
        """Return the newest record of each key; raise LogUnavailableError."""
        records: list[Record] = []
        after = ""
        end: int | None = None
        first: int | None = None
        while True:
            target = f"/log-newest?topic={name}&part={PARTITION}"
            if after:
                target += f"&after={quote(after, safe='')}"
            response = await self.call(target, READ_TIMEOUT_MS)
            first = first if after else response.timeline
            if response.timeline != first:
                raise LogUnavailableError(
                    "store was restored between two pages",
                    "read again",
                    response.timeline,
                )
            page = self._decode(_newest_decoder, response)
            records.extend(map(_parse_entry, page.entries))
            # Pages do not form a consistent snapshot, so later reads must start at the
            # end offset of the first page.
            end = page.end_offset if end is None else end
            if not page.has_more or not page.entries:
                return RecordPage(records, end, end, first)
            if page.entries[-1].key == after:
                raise LogResponseError(
                    "store repeated a page", "read again", response.timeline
                )
            after = page.entries[-1].key

    async def read_from(self, topic: str, start: int, wait_ms: float) -> RecordPage:
        """Return records from offset `start`, waiting up to `wait_ms` for the first."""
        target = f"/log-read?topic={TOPICS[topic]}&part={PARTITION}&from={start}"
        if wait_ms > 0:
            target += f"&wait_ms={wait_ms:.0f}"
        response = await self.call(target, READ_TIMEOUT_MS + wait_ms)
        if response.status == STATUS_GONE:
            earliest = self._decode(_trimmed_decoder, response).earliest_offset
            raise LogTrimmedError(earliest, response.timeline)
        if len(response.body) < PAGE_HEADER.size:
            raise LogResponseError(
                "store response is truncated", "read again", response.timeline
            )
        page = split_records(response.body, start, response.timeline)
        if not page.records and len(response.body) > PAGE_HEADER.size:
            # Reading on from here would get the same part of a record each time.
            raise LogResponseError(
                "store response ends within its first record",
                "read again",
                response.timeline,
            )
        return page

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder, response: StoreResponse):
        try:
            return decode(decoder, response.body)
        except MalformedInputError as error:
            raise LogResponseError(
                f"malformed store response: {error.problem}",
                "read again",
                response.timeline,
            ) from error

    async def register_host(self, name: str, address: str) -> None:
        """List a host and its address for other hosts; raise LogUnavailableError."""
        body = frame_keyed_record(name, address.encode())
        target = f"/log-append?topic={HOSTS_TOPIC}&part={PARTITION}"
        await self.call(target, READ_TIMEOUT_MS, "POST", body)

    async def list_host_addresses(self) -> list[str]:
        """Return the addresses for other hosts; raise LogUnavailableError.

        Those that were listed last come first, and odd ones are left out.
        """
        page = await self.read_topic(HOSTS_TOPIC)
        newest = sorted(page.records, key=lambda record: -record.offset)
        texts = [record.value.decode("utf-8", "replace") for record in newest]
        return [text for text in texts if parse_address(text)][:MAX_LISTED_HOSTS]

    async def append_origins(self, batch: OriginBatch) -> None:
        """Append a batch; raise LogUnavailableError, after which it may be there."""
        record = _record_encoder.encode(batch)
        body = RECORD_LENGTH.pack(len(record)) + record
        target = f"/log-append?topic={ORIGINS_TOPIC}&part={PARTITION}"
        await self.call(target, READ_TIMEOUT_MS, "POST", body)

    async def read_origins(self) -> OriginHistory:
        """Return all batches that the log has; raise LogUnavailableError."""
        batches: list[OriginBatch] = []
        malformed = 0
        start = 0
        for _ in range(MAX_ORIGIN_PAGES):
            target = f"/log-read?topic={ORIGINS_TOPIC}&part={PARTITION}&from={start}"
            response = await self.call(target, READ_TIMEOUT_MS)
            if response.status == STATUS_GONE:
                start = self._find_earliest(response, start)
                continue
            page = split_raw_records(response)
            for value in page.values:
                try:
                    batches.append(decode(_batch_decoder, value))
                except MalformedInputError:
                    malformed += 1
            start += len(page.values)
            if not page.values or start >= page.end_offset:
                return OriginHistory(batches, page.end_offset == 0, malformed)
        raise LogResponseError("the log of origins has no end", "read again")

    async def read_crashes(self) -> StoredPosition:
        """Return what is stored; raise LogUnavailableError."""
        page = await self.read_topic(CRASHES_TOPIC)
        for record in page.records:
            if record.key != CRASHES_KEY:
                continue
            try:
                crashes = decode(_crashes_decoder, record.value)
            except MalformedInputError:
                return StoredPosition(None, page.next_offset, is_malformed=True)
            return StoredPosition(crashes, page.next_offset)
        return StoredPosition(None, page.next_offset)

    async def write_crashes(self, crashes: StoredCrashes | None, at: int) -> int | None:
        """Replace what is stored, or delete it, if the log ends at offset `at`.

        Return the offset of the end, or None if another host has written. Raise
        LogUnavailableError, after which it may be there.
        """
        value = b"" if crashes is None else _record_encoder.encode(crashes)
        body = frame_keyed_record(CRASHES_KEY, value)
        target = f"/log-append?topic={CRASHES_TOPIC}&part={PARTITION}&at={at}"
        response = await self.call(target, READ_TIMEOUT_MS, "POST", body, APPENDED)
        if response.status == STATUS_MOVED:
            return None
        return self._decode(_append_decoder, response).end_offset

    def _find_earliest(self, response: StoreResponse, start: int) -> int:
        earliest = self._decode(_trimmed_decoder, response).earliest_offset
        if earliest <= start:
            raise LogResponseError(
                "store refuses the offset that it named", "read again"
            )
        return earliest

    async def call(
        self,
        target: str,
        timeout_ms: float,
        method: str = "GET",
        body: bytes = b"",
        accepted: frozenset[int] = ANSWERED,
    ) -> StoreResponse:
        """Return a response with an accepted status; raise LogUnavailableError."""
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                response = await self._client.request(
                    self._address, method, target, body=body
                )
                content = await response.read()
        except (UpstreamError, TimeoutError) as error:
            raise LogUnavailableError(
                f"store did not respond: {error!r}", "read again later"
            ) from error
        timeline = parse_timeline(response.headers)
        if response.status not in accepted:
            raise LogUnavailableError(
                f"store returned status {response.status}", "read again later", timeline
            )
        return StoreResponse(response.status, content, timeline)
