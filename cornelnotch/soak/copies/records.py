"""Record the runs of an engine in a file of JSON lines, by monotonic time."""

import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

__all__ = ["EngineRun", "RunBegin", "RunEnd", "RunLog", "read_runs"]


class RunBegin(msgspec.Struct, frozen=True, tag="begin"):
    """Begin of a run; `after` is the event after which it goes on."""

    engine: str
    born: int
    number: int
    request_id: str
    route: str
    at_s: float
    is_copied: bool = False
    after: int = 0


class RunEnd(msgspec.Struct, frozen=True, tag="end"):
    """End of a run; `has_left` is true if its connection was closed before."""

    engine: str
    born: int
    number: int
    at_s: float
    events: int
    is_finished: bool
    has_left: bool


_decoder: msgspec.json.Decoder[RunBegin | RunEnd] = msgspec.json.Decoder(
    RunBegin | RunEnd
)


class RunLog:
    """File to which an engine adds a line at once, as it may be killed."""

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, record: RunBegin | RunEnd) -> None:
        """Add a record."""
        os.write(self._descriptor, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


@dataclass(slots=True)
class EngineRun:
    """One run of a request at an engine; times in monotonic seconds.

    The end of a run whose engine was killed is unknown to the engine: `end_s` is
    infinite.
    """

    engine: str
    born: int
    request_id: str
    route: str
    begin_s: float
    is_copied: bool = False
    after: int = 0
    end_s: float = float("inf")
    events: int = 0
    is_finished: bool = False
    has_left: bool = False
    was_killed: bool = False


def read_runs(paths: Iterable[Path]) -> list[EngineRun]:
    """Return the runs in the files of all engines, in the order of their begins."""
    runs: dict[tuple[str, int, int], EngineRun] = {}
    for path in paths:
        for line in path.read_bytes().splitlines():
            record = _decoder.decode(line)
            key = (record.engine, record.born, record.number)
            if isinstance(record, RunBegin):
                runs[key] = EngineRun(
                    record.engine,
                    record.born,
                    record.request_id,
                    record.route,
                    record.at_s,
                    record.is_copied,
                    record.after,
                )
            else:
                run = runs[key]
                run.end_s, run.events = record.at_s, record.events
                run.is_finished, run.has_left = record.is_finished, record.has_left
    return sorted(runs.values(), key=lambda run: run.begin_s)
