"""Validate the sections of the configuration that operators publish."""

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
    """Return the labels of ``name=value, name=value``; raise ValueError."""
    labels: Labels = {}
    for part in text.split(","):
        if not part.strip():
            continue
        name, separator, value = part.partition("=")
        if not separator or not name.strip() or not value.strip():
            raise ValueError(f"{part.strip()!r} is not name=value")
        labels[name.strip()] = value.strip()
    return labels


def _read_labels(value: object) -> object:
    return parse_labels(value) if isinstance(value, str) else value


class Section(BaseModel):
    """Refuse unknown keys in every section."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PlaceSection(Section):
    """Put a failure domain into a region."""

    region: str = Field(min_length=1)


class ServiceClass(Section):
    """Set the targets and the rank of a class of requests; times in ms.

    Tier 1 is the highest. `floor` is the share of a pool kept for the class.
    `repeat` says whether its work may run twice: `allowed`, `once`, or
    `deduplicated` when the service itself drops repeated keys.
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
    """Describe a pool of servers that answer alike."""

    protocol: Literal["engine", "service"]
    discipline: str = "tiered"
    balancer: str = "adaptive"
    shard_servers: int = Field(default=16, ge=1, le=64)
    queue_per_slot: float = Field(default=6.0, gt=0, le=100)
    expected_ms: Milliseconds = 500


class ServerSection(Section):
    """Describe one back end."""

    pool: str
    address: str = Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d+$")
    place: str
    slots: int = Field(default=8, ge=1, le=4096)
    state: Literal["ready", "leaving"] = "ready"
    labels: Labels = Field(default_factory=dict)

    _labels = field_validator("labels", mode="before")(_read_labels)


class WorkspaceSection(Section):
    """Label a workspace and limit what it may use."""

    labels: Labels = Field(default_factory=dict)
    requests_per_second: float | None = Field(default=None, gt=0)
    burst: int = Field(default=20, ge=1)
    concurrent: int | None = Field(default=None, ge=1)

    _labels = field_validator("labels", mode="before")(_read_labels)


class SelectorSection(Section):
    """Map labelled traffic to a class and a pool; the lowest order wins."""

    order: int = 100
    labels: Labels = Field(default_factory=dict)
    workspace: str | None = None
    workspace_labels: Labels = Field(default_factory=dict)
    service: str | None = None
    class_name: str = Field(alias="class")
    tier: int | None = Field(default=None, ge=HIGHEST_TIER, le=LOWEST_TIER)
    pool: str

    _labels = field_validator("labels", "workspace_labels", mode="before")(_read_labels)


class ClaimSettings(Section):
    """Set how work that may not repeat is claimed; times in ms.

    `appends_per_second` is the whole fleet's share of the log, divided among
    the streams; each append carries every operation that waits.
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
    """Hold the validated configuration of one version."""

    version: int = -1
    places: dict[str, PlaceSection] = field(default_factory=dict)
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    pools: dict[str, PoolSection] = field(default_factory=dict)
    servers: dict[str, ServerSection] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceSection] = field(default_factory=dict)
    selectors: tuple[tuple[str, SelectorSection], ...] = ()
    claims: ClaimSettings = field(default_factory=ClaimSettings)

    def find_region(self, place: str) -> str:
        """Return the region of `place`, or the place itself when unlisted."""
        section = self.places.get(place)
        return section.region if section else place

    def check(self) -> None:
        """Raise ConfigurationError when a section names one that is missing."""
        for name, server in self.servers.items():
            self._require(f"server {name}", "pool", server.pool, self.pools)
            self._require(f"server {name}", "place", server.place, self.places)
        for name, selector in self.selectors:
            owner = f"selector {name}"
            self._require(owner, "class", selector.class_name, self.classes)
            self._require(owner, "pool", selector.pool, self.pools)

    @staticmethod
    def _require(owner: str, key: str, value: str, known: dict) -> None:
        if value in known:
            return
        raise ConfigurationError(
            f"[{owner}] {key} = {value}: there is no [{key} {value}]",
            f"add [{key} {value}] or change the key",
        )
