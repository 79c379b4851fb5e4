"""Models of the configuration sections published by operators."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

from cornelnotch.exceptions import ConfigurationError

__all__ = [
    "SECTION_MODELS",
    "ClaimSettings",
    "Configuration",
    "PlaceSection",
    "PoolSection",
    "SelectorSection",
    "ServerSection",
    "ServiceClass",
    "WorkspaceSection",
    "parse_labels",
]

HIGHEST_TIER = 1
LOWEST_TIER = 7

Milliseconds = Annotated[float, Field(gt=0, le=3_600_000)]
Labels = dict[str, str]


def parse_labels(text: str) -> Labels:
    """Return the labels in ``name=value, name=value``; raise ValueError if invalid."""
    labels: Labels = {}
    for part in text.split(","):
        if not part.strip():
            continue
        name, separator, value = part.partition("=")
        if not separator or not name.strip() or not value.strip():
            raise ValueError(f"{part.strip()!r} is not of the form name=value")
        labels[name.strip()] = value.strip()
    return labels


def _parse_label_field(value: object) -> object:
    return parse_labels(value) if isinstance(value, str) else value


class Section(BaseModel):
    """Base class of all sections; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PlaceSection(Section):
    """Assign a failure domain to a region."""

    region: str = Field(min_length=1)


class ServiceClass(Section):
    """Define the latency targets and priority tier of a request class; times in ms.

    Tier 1 is the highest. `floor` is the share of a pool reserved for the class.
    `repeat` states whether its work may run more than once: `allowed`, `once`, or
    `deduplicated` if the service itself discards repeated keys.
    """

    tier: int = Field(ge=HIGHEST_TIER, le=LOWEST_TIER)
    first_token_ms: Milliseconds | None = None
    between_tokens_ms: Milliseconds | None = None
    whole_ms: Milliseconds | None = None
    deadline_ms: Milliseconds = 30_000
    longest_wait_ms: Milliseconds = 20_000
    floor: float = Field(default=0.02, ge=0, le=0.5)
    objective: float = Field(default=0.95, gt=0, lt=1)
    repeat: Literal["allowed", "once", "deduplicated"] = "allowed"


class PoolSection(Section):
    """Define a pool of interchangeable servers."""

    protocol: Literal["engine", "service"]
    discipline: str = "tiered"
    balancer: str = "adaptive"
    shard_servers: int = Field(default=16, ge=1, le=64)
    queue_per_slot: float = Field(default=6.0, gt=0, le=100)
    expected_ms: Milliseconds = 500


class ServerSection(Section):
    """Define one server."""

    pool: str
    address: str = Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d+$")
    place: str
    slots: int = Field(default=8, ge=1, le=4096)
    state: Literal["ready", "leaving"] = "ready"
    labels: Labels = Field(default_factory=dict)

    _labels = field_validator("labels", mode="before")(_parse_label_field)


class WorkspaceSection(Section):
    """Define the labels and rate limits of a workspace."""

    labels: Labels = Field(default_factory=dict)
    requests_per_second: float | None = Field(default=None, gt=0)
    burst: int = Field(default=20, ge=1)
    concurrent: int | None = Field(default=None, ge=1)

    _labels = field_validator("labels", mode="before")(_parse_label_field)


class SelectorSection(Section):
    """Map labelled traffic to a class and a pool; the lowest order takes precedence."""

    order: int = 100
    labels: Labels = Field(default_factory=dict)
    workspace: str | None = None
    workspace_labels: Labels = Field(default_factory=dict)
    service: str | None = None
    class_name: str = Field(alias="class")
    tier: int | None = Field(default=None, ge=HIGHEST_TIER, le=LOWEST_TIER)
    pool: str

    _labels = field_validator("labels", "workspace_labels", mode="before")(
        _parse_label_field
    )


class ClaimSettings(Section):
    """Configure claims on work that must not be repeated; times in ms.

    `appends_per_second` is the append rate of all hosts together, divided among
    the streams; each append contains all pending operations.
    """

    streams: int = Field(default=4, ge=1, le=64)
    appends_per_second: float = Field(default=200.0, gt=0, le=10_000)
    horizon_ms: float = Field(default=1_800_000, gt=0)
    skew_ms: float = Field(default=5_000, ge=0)


SECTION_MODELS: dict[str, type[Section]] = {
    "place": PlaceSection,
    "class": ServiceClass,
    "pool": PoolSection,
    "server": ServerSection,
    "workspace": WorkspaceSection,
    "selector": SelectorSection,
    "claims": ClaimSettings,
}


@dataclass(frozen=True, slots=True)
class Configuration:
    """The validated configuration of one version."""

    version: int = -1
    places: dict[str, PlaceSection] = field(default_factory=dict)
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    pools: dict[str, PoolSection] = field(default_factory=dict)
    servers: dict[str, ServerSection] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceSection] = field(default_factory=dict)
    selectors: tuple[tuple[str, SelectorSection], ...] = ()
    claims: ClaimSettings = field(default_factory=ClaimSettings)

    def find_region(self, place: str) -> str:
        """Return the region of `place`, or `place` itself if it is not listed."""
        section = self.places.get(place)
        return section.region if section else place

    def check_references(self) -> None:
        """Raise ConfigurationError if a section refers to one that does not exist."""
        for name, server in self.servers.items():
            self._check_reference(f"server {name}", "pool", server.pool, self.pools)
            self._check_reference(f"server {name}", "place", server.place, self.places)
        for name, selector in self.selectors:
            section = f"selector {name}"
            self._check_reference(section, "class", selector.class_name, self.classes)
            self._check_reference(section, "pool", selector.pool, self.pools)

    @staticmethod
    def _check_reference(section: str, key: str, value: str, sections: dict) -> None:
        if value in sections:
            return
        raise ConfigurationError(
            f"[{section}] {key} = {value}: section [{key} {value}] does not exist",
            f"add [{key} {value}] or change the key",
        )
