"""Apply the settings file again when it has changed, with or without a signal."""

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from cornelnotch.exceptions import SettingsError
from cornelnotch.gateway.settings import HostSettings, read_host_settings
from cornelnotch.kernel.events import Event, EventLog

__all__ = ["SettingsWatch"]

# Period at which a change without a signal is noticed.
CHECK_PERIOD_S = 2.0


@dataclass(frozen=True, slots=True)
class FileVersion:
    """What tells two contents of a file apart without reading them."""

    changed_ns: int
    size: int
    number: int


def find_file_version(path: Path) -> FileVersion | None:
    """Return the version of a file, or None if there is none."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)


class SettingsWatch:
    """Watch the settings file of a host; invalid settings leave the former in force."""

    def __init__(
        self, path: Path, events: EventLog, apply: Callable[[HostSettings], None]
    ) -> None:
        self._path = path
        self._events = events
        self._apply = apply
        # A change between the first read and this one is applied at the first check.
        self._version: FileVersion | None = None
        self._signalled = asyncio.Event()

    def note_signal(self) -> None:
        """Read the file as soon as possible."""
        self._signalled.set()

    async def run(self) -> None:
        """Check the file until cancelled."""
        while True:
            self.check()
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self._signalled.wait()

    def check(self) -> None:
        """Apply the file if it has changed, or if a signal says so."""
        version = find_file_version(self._path)
        if version == self._version and not self._signalled.is_set():
            return
        self._signalled.clear()
        self._version = version
        try:
            settings = read_host_settings(self._path)
        except SettingsError as error:
            self._events.record(Event.SETTINGS_REFUSED, error=error)
            return
        self._apply(settings)
