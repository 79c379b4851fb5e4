"""Claims and windows of usage in the platform's store."""

import msgspec

from cornelnotch.duties.claims import ObservedLog, StoredClaim
from cornelnotch.duties.models import UsageWindow
from cornelnotch.duties.store import AppendResult, DutyStore, StoredDuties
from cornelnotch.duties.windows import STORED_WINDOWS, WrittenWindow
from cornelnotch.exceptions import LogResponseError, MalformedInputError
from cornelnotch.kernel.parsing import Count, decode
from cornelnotch.platform.store import (
    APPENDED,
    READ_TIMEOUT_MS,
    STATUS_OK,
    AppendResponse,
    PlatformStore,
    frame_keyed_record,
)

__all__ = ["PlatformDutyStore"]

FIRST_TIMELINE = 0
TOPIC = "keyed.duties"
PARTITION = 0
HOLDER_KEY = "holder"
WINDOW_PREFIX = "window/"


class ClaimRecord(msgspec.Struct):
    """Schema of the record of the claim."""

    host: str
    boot_ms: Count
    token: Count
    timeline: Count
    skip_through: Count = 0


class WindowRecord(msgspec.Struct):
    """Schema of the record of a window."""

    window: Count
    counts: dict[str, Count]
    timeline: Count


_claim_decoder = msgspec.json.Decoder(ClaimRecord)
_window_decoder = msgspec.json.Decoder(WindowRecord)
_append_decoder = msgspec.json.Decoder(AppendResponse)
_encoder = msgspec.json.Encoder()


def create_window_key(window: int) -> str:
    """Return the key of a window's record; it is used again by a later window."""
    return f"{WINDOW_PREFIX}{window % STORED_WINDOWS}"


class PlatformDutyStore(DutyStore):
    """Conditional appends to, and reads of, one topic of the platform's store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self._names_timelines = False

    def _find_timeline(self, timeline: int | None) -> int:
        """Return the timeline of a response; raise LogResponseError if it is lost.

        A store that has never named one is in its first.
        """
        if timeline is not None:
            self._names_timelines = True
            return timeline
        if self._names_timelines:
            raise LogResponseError("a store response names no timeline", "read again")
        return FIRST_TIMELINE

    async def append_claim(self, claim: StoredClaim, at: int) -> AppendResult:
        """Write a claim if the log ends at `at`; raise LogUnavailableError."""
        record = ClaimRecord(
            claim.host, claim.boot_ms, claim.token, claim.timeline, claim.skip_through
        )
        return await self._append(HOLDER_KEY, _encoder.encode(record), at)

    async def append_window(self, window: WrittenWindow, at: int) -> AppendResult:
        """Write the content of a report if the log ends at `at`."""
        usage = window.usage
        record = WindowRecord(usage.window, usage.counts, window.timeline)
        key = create_window_key(usage.window)
        return await self._append(key, _encoder.encode(record), at)

    async def _append(self, key: str, value: bytes, at: int) -> AppendResult:
        target = f"/log-append?topic={TOPIC}&part={PARTITION}&at={at}"
        body = frame_keyed_record(key, value)
        response = await self._store.call(
            target, READ_TIMEOUT_MS, "POST", body, APPENDED
        )
        try:
            end = decode(_append_decoder, response.body).end_offset
        except MalformedInputError as error:
            raise LogResponseError(
                f"malformed store response: {error.problem}", "read again"
            ) from error
        is_written = response.status == STATUS_OK
        return AppendResult(is_written, end, self._find_timeline(response.timeline))

    async def read(self) -> StoredDuties:
        """Return the newest claim and windows; raise LogUnavailableError."""
        page = await self._store.read_topic(TOPIC)
        timeline = self._find_timeline(page.timeline)
        claim: StoredClaim | None = None
        windows = []
        malformed = 0
        for record in page.records:
            try:
                if record.key == HOLDER_KEY:
                    claim = _decode_claim(record.value)
                elif record.key.startswith(WINDOW_PREFIX):
                    windows.append(_decode_window(record.value))
            except MalformedInputError:
                malformed += 1
        return StoredDuties(
            ObservedLog(claim, timeline, page.end_offset), windows, malformed
        )


def _decode_claim(value: bytes) -> StoredClaim:
    found = decode(_claim_decoder, value)
    return StoredClaim(
        found.host, found.boot_ms, found.token, found.timeline, found.skip_through
    )


def _decode_window(value: bytes) -> WrittenWindow:
    found = decode(_window_decoder, value)
    counts = dict(sorted(found.counts.items()))
    return WrittenWindow(UsageWindow(found.window, counts), found.timeline)
