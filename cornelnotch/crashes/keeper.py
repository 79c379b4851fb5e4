"""Keep what all hosts know of crashes in the platform's store."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from cornelnotch.crashes.log import (
    CrashLog,
    StoredCrashes,
    StoredPosition,
    create_notice,
    create_stored_crashes,
)
from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.kernel.events import Event

__all__ = ["CrashKeeper"]

# Period at which a host notes that it became the writer.
TICK_MS = 1000.0
# Shortest time between two exchanges with the store, and the pause after a failure.
MIN_PERIOD_MS = 200.0
RETRY_PERIOD_MS = 1000.0
# Evidence is written again so often, and is ignored by hosts that start if it is older
# than MAX_AGE_MS: blame ends if no host has run for so long.
REFRESH_PERIOD_MS = 60_000.0
MAX_AGE_MS = 600_000.0


class CrashKeeper:
    """Read the evidence once a host starts, and write it as the first reader.

    All hosts may be killed at the same moment. Without a record, servers would crash
    until each request or prompt part that causes it is known again.
    """

    def __init__(
        self,
        context: GatewayContext,
        plan: RelayPlan,
        log: CrashLog,
        get_timeline: Callable[[], int],
    ) -> None:
        self._context = context
        self._plan = plan
        self._log = log
        self._get_timeline = get_timeline
        self._is_restored = False
        self._has_tried = False
        self._is_failing = False
        self._position: StoredPosition | None = None
        self._timeline = 0
        self._written_ms = float("-inf")
        self._changed = asyncio.Event()
        context.crashes.note_change = self._changed.set

    async def run(self) -> None:
        """Read and write until cancelled."""
        clock = self._context.clock
        while True:
            self._changed.clear()
            try:
                await self._exchange()
                self._is_failing = False
            except LogUnavailableError as error:
                self._note_failure(error)
                await clock.sleep(RETRY_PERIOD_MS)
                continue
            ended_ms = clock.read()
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_MS / 1000.0):
                    await self._changed.wait()
            elapsed_ms = clock.read() - ended_ms
            if elapsed_ms < MIN_PERIOD_MS:
                await clock.sleep(MIN_PERIOD_MS - elapsed_ms)

    async def _exchange(self) -> None:
        readers = self._plan.list_readers(self._context.clock.read())
        is_writer = readers[:1] == [self._plan.name]
        if not self._is_restored and (not self._has_tried or not readers or is_writer):
            self._has_tried = True
            await self._read()
        if readers and not is_writer:
            self._position = None
        if not is_writer:
            return
        if self._position is None or self._timeline != self._get_timeline():
            await self._read()
        await self._write_changes()

    async def _read(self) -> None:
        """Read what is stored, and learn from it.

        What an older copy of the store has may have been cleared meanwhile.
        """
        timeline = self._get_timeline()
        is_outdated = self._is_restored and timeline != self._timeline
        self._position = None
        position = await self._log.read_crashes()
        self._position = position
        self._timeline = timeline
        if not is_outdated:
            self._restore(position)
        self._is_restored = True

    def _restore(self, position: StoredPosition) -> None:
        stored = position.crashes
        if stored is None:
            if position.is_malformed:
                self._record_read(None, 0.0, is_used=False)
            return
        age_ms = max(self._context.clock.read_wall() - stored.written_ms, 0.0)
        is_used = age_ms <= MAX_AGE_MS
        if is_used:
            self._context.restore_crash_evidence(create_notice(stored, age_ms))
        self._written_ms = self._context.clock.read() - age_ms
        self._record_read(stored, age_ms, is_used)

    def _record_read(
        self, stored: StoredCrashes | None, age_ms: float, is_used: bool
    ) -> None:
        self._context.events.record(
            Event.CRASH_EVIDENCE_READ,
            crashes=0 if stored is None else len(stored.crashes),
            blamed=0 if stored is None else len(stored.blamed),
            age_ms=round(age_ms, 1),
            used=is_used,
            malformed=stored is None,
        )

    async def _write_changes(self) -> None:
        """Write the evidence if it differs from what is stored or is to be renewed."""
        position = self._position
        if position is None:
            return
        context = self._context
        now = context.clock.read()
        notice = context.crashes.create_snapshot(now)
        evidence = create_stored_crashes(notice, context.clock.read_wall())
        if not self._must_write(evidence, position.crashes, now):
            return
        self._position = None
        end_offset = await self._log.write_crashes(evidence, position.end_offset)
        if end_offset is None:
            # Another host has written: its evidence is read before the next attempt.
            self._changed.set()
            return
        self._written_ms = now
        self._position = StoredPosition(evidence, end_offset)

    def _must_write(
        self, evidence: StoredCrashes | None, stored: StoredCrashes | None, now: float
    ) -> bool:
        if evidence is not None and now - self._written_ms >= REFRESH_PERIOD_MS:
            return True
        return _find_content(evidence) != _find_content(stored)

    def _note_failure(self, error: LogUnavailableError) -> None:
        if not self._is_failing:
            self._context.events.record(
                Event.CRASH_EVIDENCE_UNSAVED, problem=error.problem
            )
        self._is_failing = True


def _find_content(stored: StoredCrashes | None) -> object:
    """Return what two equal records of evidence have in common at any time."""
    if stored is None:
        return None
    crashes = {
        (c.server, c.boot_ms, frozenset(c.parts), frozenset(c.known))
        for c in stored.crashes
    }
    return crashes, {(frozenset(b.parts), b.confirmed) for b in stored.blamed}
