"""What a review looks at, in the words of this product, and what it finds."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cornelnotch.gateway.models import CallerLimits, Engine, ServiceShare, WorkKind

__all__ = [
    "Change",
    "ConfigurationReader",
    "Finding",
    "Report",
    "ReviewedConfiguration",
    "ReviewedRoute",
    "ReviewedService",
    "ReviewedWorkspace",
]


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem at a place of the file, and its remedy."""

    path: str
    problem: str
    remedy: str


@dataclass(frozen=True, slots=True)
class Change:
    """A difference from the version in force, in an operator's words."""

    subject: str
    text: str


@dataclass(frozen=True, slots=True)
class Report:
    """Everything that a review found."""

    file: str
    findings: tuple[Finding, ...] = ()
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True, slots=True)
class ReviewedRoute:
    """A route as written; `kind` is None if its type is unknown. Times are in ms."""

    path: str
    name: str
    host: str
    prefix: str
    kind: WorkKind | None
    timeout_ms: float
    target_ms: float
    target_itl_ms: float
    attempts: int
    priority: int
    shares: tuple[ServiceShare, ...]
    is_anonymous: bool = False
    resumable: bool = False


@dataclass(frozen=True, slots=True)
class ReviewedService:
    """A service as written; `least` and `most` are the servers per failure domain."""

    path: str
    name: str
    engine: Engine | None = None
    least: float | None = None
    most: float | None = None


@dataclass(frozen=True, slots=True)
class ReviewedWorkspace:
    """A workspace as written; its keys are not shown."""

    path: str
    name: str
    keys: tuple[str, ...] = field(repr=False, default=())
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ReviewedConfiguration:
    """A configuration as written, with doubles and entries that hosts ignore.

    `workspaces` is None if no request needs a key.
    """

    version: int
    routes: tuple[ReviewedRoute, ...]
    services: tuple[ReviewedService, ...]
    workspaces: tuple[ReviewedWorkspace, ...] | None
    limits: CallerLimits
    limits_path: str = "limits"


class ConfigurationReader(ABC):
    """Decode a file with the decoder and validators that hosts use."""

    @abstractmethod
    def read(self, text: bytes) -> ReviewedConfiguration:
        """Return the configuration in `text`.

        Raise SettingsError if it cannot be parsed at all, ConfigurationError if hosts
        would reject it.
        """
