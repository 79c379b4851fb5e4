"""Results of runs, their summaries and the check of the guarantees."""

from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

import orjson

from cornelnotch.exceptions import SettingsError

__all__ = [
    "ClassSummary",
    "GuaranteeSummary",
    "RunResult",
    "Sample",
    "check_guarantees",
    "read_result",
    "summarize_classes",
    "write_result",
]


@dataclass(frozen=True, slots=True)
class Sample:
    """One call; times are in ms, `reference` identifies work to run at most once."""

    class_name: str
    at_ms: float
    result: str
    attained: bool
    wrong: bool
    outcome: str = "unknown"
    reference: str = ""
    outcomes: tuple[str, ...] = ()
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    whole_ms: float = 0.0
    tokens: int = 0


@dataclass(slots=True)
class RunResult:
    """All measurements of one run."""

    name: str
    seed: int
    samples: list[Sample] = field(default_factory=list)
    versions: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    ledgers: dict[str, dict[str, int]] = field(default_factory=dict)
    tokens_generated: int = 0
    notes: list[str] = field(default_factory=list)
    queued: list[tuple[float, dict[str, int]]] = field(default_factory=list)
    generated: list[tuple[float, int]] = field(default_factory=list)

    def add_version(self, host: str, at_ms: float, version: int) -> None:
        """Record the configuration version of a host."""
        self.versions.setdefault(host, []).append((at_ms, version))


@dataclass(frozen=True, slots=True)
class ClassSummary:
    """Attainment and latency of one class."""

    class_name: str
    calls: int
    complete: int
    attained: int
    attainment: float
    first_token_p95_ms: float
    whole_p95_ms: float


@dataclass(frozen=True, slots=True)
class GuaranteeSummary:
    """Violated guarantees, wasted tokens and goodput of a run."""

    doubled: int
    lost: int
    wrong_answers: int
    false_not_run: int
    version_reversals: int
    tokens_generated: int
    tokens_delivered: int
    wasted_share: float
    goodput_per_second: float

    @property
    def violations(self) -> int:
        """Return the number of violated guarantees."""
        return (
            self.doubled
            + self.lost
            + self.wrong_answers
            + self.false_not_run
            + self.version_reversals
        )


def _find_percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def summarize_classes(result: RunResult) -> list[ClassSummary]:
    """Return a summary of every class, without callers that disconnected."""
    rows = []
    for name in sorted({s.class_name for s in result.samples}):
        mine = [s for s in result.samples if s.class_name == name]
        mine = [s for s in mine if s.result != "left"]
        complete = [s for s in mine if s.result == "complete"]
        attained = sum(s.attained for s in mine)
        firsts = [s.first_token_ms for s in complete if s.first_token_ms]
        rows.append(
            ClassSummary(
                name,
                len(mine),
                len(complete),
                attained,
                attained / len(mine) if mine else 0.0,
                _find_percentile(firsts, 0.95),
                _find_percentile([s.whole_ms for s in complete], 0.95),
            )
        )
    return rows


def check_guarantees(result: RunResult) -> GuaranteeSummary:
    """Compare the outcomes given to callers with the ledgers of the services."""
    ran: Counter[str] = Counter()
    for ledger in result.ledgers.values():
        ran.update(ledger)
    once = [s for s in result.samples if s.reference]
    delivered = sum(s.tokens for s in result.samples if s.result == "complete")
    generated = result.tokens_generated
    span_ms = max((s.at_ms for s in result.samples), default=1.0)
    reversals = sum(
        later[1] < earlier[1]
        for track in result.versions.values()
        for earlier, later in zip(track, track[1:], strict=False)
    )
    return GuaranteeSummary(
        sum(ran[s.reference] > 1 for s in once),
        sum(ran[s.reference] == 0 for s in once if s.outcome == "ran"),
        sum(s.wrong for s in result.samples),
        sum(ran[s.reference] > 0 for s in once if s.outcome == "not-run"),
        reversals,
        generated,
        delivered,
        max(generated - delivered, 0) / generated if generated else 0.0,
        delivered / span_ms * 1000.0,
    )


def write_result(result: RunResult, path: Path) -> None:
    """Write a run to a JSON file."""
    path.write_bytes(orjson.dumps(asdict(result)))


def read_result(path: Path) -> RunResult:
    """Read a run; raise SettingsError if the file is not a result file."""
    try:
        content = orjson.loads(path.read_bytes())
        content["samples"] = [
            Sample(**{**s, "outcomes": tuple(s["outcomes"])})
            for s in content["samples"]
        ]
        content["versions"] = {
            host: [(at, version) for at, version in track]
            for host, track in content["versions"].items()
        }
        content["queued"] = [(at, counts) for at, counts in content["queued"]]
        content["generated"] = [(at, total) for at, total in content["generated"]]
        return RunResult(**content)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SettingsError(
            f"{path} is no result file: {error!r}", "write one with `cornelnotch load`"
        ) from error
