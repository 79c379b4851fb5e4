"""Define the settings of a node."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Result

from cornelnotch.exceptions import SettingsError
from cornelnotch.settings.ini import read_ini

__all__ = [
    "LoggingSettings",
    "MembershipSettings",
    "NodeSection",
    "NodeSettings",
    "PlatformSettings",
    "SettingsSection",
    "TimingSettings",
    "read_node_settings",
]

Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
Milliseconds = Annotated[float, Field(gt=0, le=86_400_000)]


class SettingsSection(BaseModel):
    """Refuse unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSection(SettingsSection):
    """Name the host and its addresses."""

    name: str = Field(
        pattern=r"^[A-Za-z0-9_-]{1,64}$", description="name of the host, unique"
    )
    place: str = Field(min_length=1, description="failure domain of the host")
    http: Address = Field(description="address for callers and operators")
    peer: Address = Field(description="address for other hosts")
    peer_advertised: Address | None = Field(
        default=None, description="address that other hosts use instead of `peer`"
    )
    unpack: str | None = Field(
        default=None, description="folder that the one-file program unpacks to"
    )
    seed: int = Field(default=0, description="seed of the host's random choices")


class PlatformSettings(SettingsSection):
    """Tell where the platform's services are."""

    log: Address = Field(description="address of the log service")
    hosts: Address = Field(description="address of the host list")
    retention_ms: Milliseconds = Field(
        default=3_600_000, description="how long the log keeps records"
    )


class TimingSettings(SettingsSection):
    """Set the node's periods."""

    entry_ttl_ms: Milliseconds = Field(
        default=5000, description="how long callers may keep an entry answer"
    )
    isolation_ms: Milliseconds = Field(
        default=4000,
        description="time without log and peers after which work is refused",
    )
    stale_limit_ms: float = Field(
        default=0,
        ge=0,
        description="age of news from the log above which work is refused; 0: never",
    )
    drain_limit_ms: Milliseconds = Field(
        default=600_000, description="longest wait for streams while draining"
    )
    log_poll_ms: Milliseconds = Field(
        default=2000, description="longest wait of one read of the log"
    )


class MembershipSettings(SettingsSection):
    """Set the pace of probes."""

    period_ms: Milliseconds = Field(default=500, description="time between probes")
    timeout_ms: Milliseconds = Field(
        default=200, description="time after which a probe is unanswered"
    )
    suspicion_ms: Milliseconds = Field(
        default=1500, description="time from suspicion to death"
    )
    listing_ms: Milliseconds = Field(
        default=1000, description="time between readings of the host list"
    )
    seeds: str = Field(
        default="",
        pattern=r"^[0-9a-fA-F.:\[\], ]*$",
        description="peer addresses to try first, for a start without the platform",
    )


class LoggingSettings(SettingsSection):
    """Set form and detail of the log."""

    style: Literal["text", "json"] = Field(
        default="text", description="form of each line"
    )
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="lowest level written"
    )


class LimitSettings(SettingsSection):
    """Bound what one caller may use."""

    body_bytes: int = Field(
        default=1_048_576, ge=1024, description="largest body of a request"
    )


class NodeSettings(SettingsSection):
    """Hold all settings of a node."""

    node: NodeSection
    platform: PlatformSettings
    timing: TimingSettings = TimingSettings()
    membership: MembershipSettings = MembershipSettings()
    limits: LimitSettings = LimitSettings()
    logging: LoggingSettings = LoggingSettings()


def read_node_settings(path: Path) -> Result[NodeSettings, SettingsError]:
    """Return the validated settings in `path`."""
    return read_ini(path, NodeSettings)
