"""Keep the origins of streams, and the versions that served, in the store's log."""

import asyncio
from contextlib import suppress

from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.context import NO_VERSION, GatewayContext
from cornelnotch.gateway.follower import SERVERS
from cornelnotch.gateway.origin_log import OriginBatch, OriginLog, SoftwareSeen
from cornelnotch.gateway.record_reads import RecordReads
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.gateway.stream_origins import (
    StreamOrigin,
    create_origin,
    group_streams,
    list_streams,
)
from cornelnotch.kernel.events import Event

__all__ = ["OriginKeeper"]

# Period of appends while one version serves. If all hosts are killed, streams that are
# not in the log go on, as they can only have begun there.
TICK_MS = 800.0
# Period while several do: these streams are refused.
MIXED_TICK_MS = 80.0
# A batch is appended at least this often, so that its age tells how long no host ran.
MAX_APPEND_PERIOD_MS = 4000.0
# The last batch says which versions served before it only if it is not older.
MAX_BATCH_AGE_MS = 12_000.0
RETRY_PERIOD_MS = 1000.0
# A host that starts reads the log as soon as it has a configuration.
LOAD_PERIOD_MS = 50.0
MAX_BATCH_STREAMS = 8192
# The second reader keeps what the first may not have appended yet.
STANDBY_MS = 2000.0


class OriginKeeper:
    """Append origins as the first reader of the store, and read them as a reader.

    A host that starts alone is a reader, so after all hosts were killed each of them
    learns what the log has.
    """

    def __init__(
        self,
        context: GatewayContext,
        plan: RelayPlan,
        log: OriginLog,
        reads: RecordReads,
    ) -> None:
        self._context = context
        self._plan = plan
        self._log = log
        self._reads = reads
        self._skips = 0
        self._unsaved: dict[int, StreamOrigin] = {}
        self._unsaved_since_ms = 0.0
        self._appended_ms = float("-inf")
        self._next_read_ms = float("-inf")
        self._is_failing = False
        self._loaded = asyncio.Event()
        self._must_append = asyncio.Event()
        self._appended_versions: frozenset[StreamOrigin] = frozenset()

    def is_loaded(self) -> bool:
        """Return whether this host is a reader and knows what the log has."""
        return self._loaded.is_set()

    async def wait_until_loaded(self, timeout_ms: float) -> None:
        """Wait until this host knows what the log has, but not longer."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000.0):
                await self._loaded.wait()

    def add(self, streams: dict[int, StreamOrigin]) -> None:
        """Add streams that began at this host or that another one reports."""
        now = self._context.clock.read()
        for id_hash, origin in streams.items():
            self._context.origins.add(id_hash, origin, now)
            self._context.software_history.hear(origin, now)
            self._context.software_history.note(origin, now)
        readers = self._plan.list_readers(now)
        if self._plan.name not in readers:
            return
        if not self._unsaved:
            self._unsaved_since_ms = now
        self._unsaved.update(streams)
        if readers[0] == self._plan.name and self._is_urgent(streams):
            self._must_append.set()

    def _is_urgent(self, streams: dict[int, StreamOrigin]) -> bool:
        """Return whether these streams must be in the log at once.

        Without them, the log may name too few versions, or they will be refused.
        """
        if self._is_failing:
            return False
        if not self._appended_versions.issuperset(streams.values()):
            return True
        elapsed_ms = self._context.clock.read() - self._appended_ms
        return elapsed_ms >= MIXED_TICK_MS and self.is_mixed()

    async def run(self) -> None:
        """Observe versions, read and append, until cancelled."""
        while True:
            self._must_append.clear()
            self.observe()
            if self._context.table.find_longest_stream_ms() > 0:
                await self._exchange_with_log()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._choose_period_ms() / 1000.0):
                    await self._must_append.wait()

    def _choose_period_ms(self) -> float:
        if self._is_failing:
            return RETRY_PERIOD_MS
        if self._must_load():
            return LOAD_PERIOD_MS
        return MIXED_TICK_MS if self._unsaved and self.is_mixed() else TICK_MS

    def _must_load(self) -> bool:
        """Return whether this host does not know yet what the log has, but should."""
        table = self._context.table
        if table.version != NO_VERSION and table.find_longest_stream_ms() == 0:
            return False
        readers = self._plan.list_readers(self._context.clock.read())
        return not self.is_loaded() and (not readers or self._plan.name in readers)

    def is_mixed(self) -> bool:
        """Return whether several versions of a service served of late."""
        since_ms = self._context.find_first_stream_ms()
        return self._context.software_history.has_several(since_ms)

    def observe(self) -> None:
        """Note the versions that serve now; forget what no caller can resume."""
        now = self._context.clock.read()
        history = self._context.software_history
        skips = self._reads.count_skips()
        if skips > self._skips or self._plan.is_stale(SERVERS, now):
            self._skips = skips
            history.restart(now)
        for view in self._context.pool.servers.values():
            history.note(create_origin(view.record), now)
        history.confirm(self._reads.find_latest_ms())
        since_ms = self._context.find_first_stream_ms()
        history.expire(since_ms)
        self._context.origins.expire(since_ms)

    async def _exchange_with_log(self) -> None:
        now = self._context.clock.read()
        readers = self._plan.list_readers(now)
        if self._plan.name not in readers:
            self._unsaved.clear()
            self._loaded.clear()
            return
        if not self.is_loaded():
            if now >= self._next_read_ms:
                await self._load()
            return
        if readers[0] == self._plan.name:
            if self._unsaved or now - self._appended_ms >= MAX_APPEND_PERIOD_MS:
                await self._append(now)
        elif now - self._unsaved_since_ms > STANDBY_MS:
            self._unsaved.clear()

    async def _load(self) -> None:
        self._next_read_ms = self._context.clock.read() + RETRY_PERIOD_MS
        try:
            found = await self._log.read_origins()
        except LogUnavailableError as error:
            self._note_failure(error)
            return
        now = self._context.clock.read()
        history = self._context.software_history
        for batch in found.batches:
            for id_hash, origin in list_streams(batch.groups).items():
                if self._context.origins.find(id_hash) is None:
                    self._context.origins.add(id_hash, origin, now)
                history.hear(origin, now)
                history.note(origin, now)
            for seen in batch.seen:
                origin = StreamOrigin(seen.service, seen.software)
                history.hear(origin, now)
                history.note(origin, now)
        if found.is_first:
            history.extend(float("-inf"))
        elif found.batches and self._is_recent(found.batches[-1]):
            history.extend(now - found.batches[-1].known_ms)
        self._loaded.set()
        self._is_failing = False
        self._context.events.record(
            Event.STREAM_ORIGINS_READ,
            batches=len(found.batches),
            malformed=found.malformed,
            streams=self._context.origins.count(),
            known_ms=min(round(history.measure_known_ms(now), 1), 1e9),
        )

    def _is_recent(self, batch: OriginBatch) -> bool:
        age_ms = self._context.clock.read_wall() - batch.written_ms
        return abs(age_ms) <= MAX_BATCH_AGE_MS

    async def _append(self, now: float) -> None:
        streams = dict(list(self._unsaved.items())[:MAX_BATCH_STREAMS])
        history = self._context.software_history
        since_ms = self._context.find_first_stream_ms()
        versions = history.list_since(since_ms)
        seen = [SoftwareSeen(v.service, v.software) for v in versions]
        known_ms = min(history.measure_known_ms(now), now - since_ms)
        written_ms = self._context.clock.read_wall()
        batch = OriginBatch(written_ms, known_ms, seen, group_streams(streams))
        self._appended_ms = now
        try:
            await self._log.append_origins(batch)
        except LogUnavailableError as error:
            self._note_failure(error)
            return
        self._is_failing = False
        self._appended_versions = frozenset(versions)
        for id_hash in streams:
            self._unsaved.pop(id_hash, None)

    def _note_failure(self, error: LogUnavailableError) -> None:
        if not self._is_failing:
            self._context.events.record(
                Event.STREAM_ORIGINS_UNSAVED, problem=error.problem
            )
        self._is_failing = True
