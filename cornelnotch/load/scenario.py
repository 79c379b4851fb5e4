"""Scenarios of load tests: traffic classes, bursts and scheduled faults."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from cornelnotch.configuration.fold import parse_sections
from cornelnotch.exceptions import SettingsError

__all__ = [
    "FaultEvent",
    "Scenario",
    "TrafficClass",
    "list_bundled_scenarios",
    "read_scenario",
]

Positive = Annotated[float, Field(gt=0)]
Seconds = Annotated[float, Field(ge=0)]


class ScenarioSection(BaseModel):
    """Base class of sections, which rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class General(ScenarioSection):
    """Duration, seed and workspaces of the scenario."""

    name: str = Field(min_length=1)
    duration_s: Positive = 20
    seed: int = 1
    workspaces: int = Field(default=10, ge=1, le=10_000)
    large_share: float = Field(default=0.5, ge=0, le=1)


class TrafficClass(ScenarioSection):
    """Traffic of one class; rates are per second, times in ms.

    `kind` is `chat`, `once` for calls with an idempotency key, or `call` for calls that
    may be repeated. `leave_share` is the share of callers that disconnect early.
    """

    labels: str
    kind: Literal["chat", "once", "call"] = "chat"
    service: str = ""
    path: str = "/"
    rate: Positive
    burst_rate: Positive | None = None
    burst_start_s: Seconds = 0
    burst_end_s: Seconds = 0
    tokens: Positive = 40
    spread: float = Field(default=0.4, ge=0, le=2)
    first_token_ms: Positive | None = None
    between_tokens_ms: Positive | None = None
    whole_ms: Positive | None = None
    deadline_ms: int = Field(default=10_000, gt=0)
    attempts: int = Field(default=3, ge=1, le=10)
    leave_share: float = Field(default=0, ge=0, le=1)


class FaultEvent(ScenarioSection):
    """Fault to inject into a simulated server; `set` has ``name=value`` pairs."""

    at_s: Seconds
    target: str
    set: str


class Scenario(ScenarioSection):
    """A complete scenario."""

    general: General
    classes: dict[str, TrafficClass]
    faults: dict[str, FaultEvent] = Field(default_factory=dict)


def list_bundled_scenarios() -> dict[str, Path]:
    """Return the scenarios bundled with the program, by name."""
    folder = Path(__file__).parent / "scenarios"
    return {path.stem: path for path in sorted(folder.glob("*.ini"))}


def _create_error(path: Path, error: ValidationError) -> SettingsError:
    first = error.errors()[0]
    location = ".".join(str(part) for part in first["loc"])
    return SettingsError(f"{path}: {location}: {first['msg']}", "correct the key")


def read_scenario(path: Path) -> Result[Scenario, SettingsError]:
    """Return the validated scenario in `path`, or the bundled one of that name."""
    bundled = list_bundled_scenarios()
    source = bundled.get(str(path), path)
    try:
        text = source.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        names = ", ".join(bundled)
        return Failure(
            SettingsError(
                f"{path}: {error}", f"give the path of a file or one of {names}"
            )
        )
    parsed = parse_sections(text)
    if isinstance(parsed, Failure):
        problem = parsed.failure()
        return Failure(SettingsError(f"{path}: {problem.problem}", problem.remedy))
    content: dict[str, object] = {}
    classes: dict[str, object] = {}
    faults: dict[str, object] = {}
    for name, values in parsed.unwrap().items():
        kind, _, label = name.partition(" ")
        if kind == "class":
            classes[label] = values
        elif kind == "fault":
            faults[label] = values
        else:
            content[name] = values
    try:
        return Success(
            Scenario.model_validate({**content, "classes": classes, "faults": faults})
        )
    except ValidationError as error:
        return Failure(_create_error(path, error))
