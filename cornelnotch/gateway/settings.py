"""Read the settings of a host that runs on the platform."""

import configparser
from pathlib import Path

import msgspec

from cornelnotch.exceptions import SettingsError

__all__ = ["HostSettings", "read_host_settings"]


class HostSection(msgspec.Struct):
    """Name the host and where it stands."""

    name: str
    domain: str
    region: str
    memory_mb: float = 0.0


class ListenSection(msgspec.Struct):
    """Name the addresses that the host listens on."""

    callers: str
    readiness: str
    directory: str
    peers: str = ""
    metrics: str = ""
    seeds: str = ""


class StoreSection(msgspec.Struct):
    """Tell where the platform's store is."""

    address: str


class BoundsSection(msgspec.Struct):
    """Set what the deployment promises."""

    drain_ms: float = 3000.0
    grace_s: float = 8.0
    contact_ms: float = 4000.0
    configuration_ms: float = 3000.0
    address_ttl_s: float = 5.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 10.0
    heartbeat_ms: float = 1200.0
    prompt_reuse_s: float = 10.0


class HostSettings(msgspec.Struct):
    """Hold all sections; `regions` maps failure domains to regions."""

    host: HostSection
    listen: ListenSection
    store: StoreSection
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    regions: dict[str, str] = {}


def read_host_settings(path: Path) -> HostSettings:
    """Return the validated settings; raise SettingsError when they cannot be used."""
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section="\x00none", delimiters=("=",)
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"{path} cannot be read: {error.strerror}", "name a readable file"
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        raise SettingsError(f"{path}: {message}", "correct the line") from error
    content = {name: _drop_empty(parser, name) for name in parser.sections()}
    try:
        return msgspec.convert(content, HostSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}", "correct the value") from error


def _drop_empty(parser: configparser.ConfigParser, section: str) -> dict[str, str]:
    """Return the keys that have a value, so that others take their default."""
    return {key: value for key, value in parser.items(section) if value}
