"""Settings of a node."""

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

Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Milliseconds = Annotated[float, Field(gt=0, le=86_400_000)]


class SettingsSection(BaseModel):
    """Base class of sections, which rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSection(SettingsSection):
    """Name, failure domain and addresses of the host."""

    name: str = Field(
        pattern=r"^[A-Za-z0-9_-]{1,64}$", description="unique name of the host"
    )
    place: str = Field(min_length=1, description="failure domain of the host")
    http: Address = Field(description="address for callers and operators")
    peer: Address = Field(description="address for other hosts")
    peer_advertised: Address | None = Field(
        default=None, description="address that other hosts use instead of `peer`"
    )
    unpack: str | None = Field(
        default=None, description="directory that the single-file executable unpacks to"
    )
    seed: int = Field(default=0, description="seed of the random number generator")


class PlatformSettings(SettingsSection):
    """Addresses and limits of the platform's services."""

    log: Address = Field(description="address of the log service")
    hosts: Address = Field(description="address of the host list")
    retention_ms: Milliseconds = Field(
        default=3_600_000, description="retention period of records in the log"
    )


class TimingSettings(SettingsSection):
    """Time limits and intervals of the node."""

    entry_ttl_ms: Milliseconds = Field(
        default=5000, description="time for which callers may cache an entry response"
    )
    isolation_ms: Milliseconds = Field(
        default=4000,
        description="time without contact to log and peers until requests are refused",
    )
    stale_limit_ms: float = Field(
        default=0,
        ge=0,
        description="age of the last log read above which requests are refused; 0: off",
    )
    drain_limit_ms: Milliseconds = Field(
        default=600_000, description="longest wait for running streams while draining"
    )
    log_poll_ms: Milliseconds = Field(
        default=2000, description="timeout of one long-polling read of the log"
    )


class MembershipSettings(SettingsSection):
    """Intervals and timeouts of membership probes."""

    period_ms: Milliseconds = Field(default=500, description="time between probes")
    timeout_ms: Milliseconds = Field(
        default=200, description="time after which a probe counts as failed"
    )
    suspicion_ms: Milliseconds = Field(
        default=1500, description="time until a suspected host is declared dead"
    )
    listing_ms: Milliseconds = Field(
        default=1000, description="time between reads of the host list"
    )
    seeds: str = Field(
        default="",
        pattern=r"^[0-9a-fA-F.:\[\], ]*$",
        description="peer addresses to contact at startup if the platform is down",
    )


class LoggingSettings(SettingsSection):
    """Format and level of log lines."""

    style: Literal["text", "json"] = Field(
        default="text", description="format of each line"
    )
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="lowest level that is logged"
    )


class LimitSettings(SettingsSection):
    """Limits on the requests of callers."""

    body_bytes: int = Field(
        default=1_048_576, ge=1024, description="largest request body in bytes"
    )


class NodeSettings(SettingsSection):
    """All settings of a node."""

    node: NodeSection
    platform: PlatformSettings
    timing: TimingSettings = TimingSettings()
    membership: MembershipSettings = MembershipSettings()
    limits: LimitSettings = LimitSettings()
    logging: LoggingSettings = LoggingSettings()


def read_node_settings(path: Path) -> Result[NodeSettings, SettingsError]:
    """Return the validated settings in `path`."""
    return read_ini(path, NodeSettings)
