"""Tell reclaimed spot servers from those that an order released; no I/O."""

from collections.abc import Iterable

from cornelnotch.gateway.models import ServerRecord

__all__ = ["ReclaimWatch"]


class ReclaimWatch:
    """The spot servers that leave, by their boot."""

    def __init__(self) -> None:
        self._leaving: set[tuple[str, int]] = set()

    def list_new(self, records: Iterable[ServerRecord]) -> list[ServerRecord]:
        """Return the reclaimable servers that began to leave since the last call."""
        leaving = {
            (record.name, record.boot_ms): record
            for record in records
            if record.reclaimable and record.leaving
        }
        new = [record for key, record in leaving.items() if key not in self._leaving]
        self._leaving = set(leaving)
        return new
