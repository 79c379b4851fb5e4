"""Read the settings of a gateway host on the platform."""

import configparser
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from cornelnotch.exceptions import SettingsError
from cornelnotch.kernel.parsing import MAX_AMOUNT, parse_address

__all__ = ["HostSettings", "read_host_settings"]


def describe(meaning: str) -> msgspec.Meta:
    """Return metadata with the description of a setting."""
    return msgspec.Meta(description=meaning)


def describe_amount(meaning: str) -> msgspec.Meta:
    """Return metadata of a setting whose value must not be negative."""
    return msgspec.Meta(ge=0, le=MAX_AMOUNT, description=meaning)


def describe_count(meaning: str) -> msgspec.Meta:
    """Return metadata of a setting that counts, of which there is at least one."""
    return msgspec.Meta(ge=1, le=int(MAX_AMOUNT), description=meaning)


class HostSection(msgspec.Struct):
    """Name and location of the host."""

    name: Annotated[str, describe("name of the host, unique")]
    domain: Annotated[str, describe("failure domain of the host")]
    region: Annotated[str, describe("region of the host")]


class ListenSection(msgspec.Struct):
    """Addresses that the host listens on."""

    callers: Annotated[str, describe("address for callers")]
    readiness: Annotated[str, describe("address for the platform's readiness checks")]
    directory: Annotated[
        str, describe("address of the directory that lists hosts for callers")
    ]
    peers: Annotated[str, describe("address for other hosts")]
    metrics: Annotated[str, describe("address for metrics; none when empty")] = ""
    seeds: Annotated[str, describe("addresses of other hosts, separated by commas")] = (
        ""
    )


class StoreSection(msgspec.Struct):
    """Location of the platform's store."""

    address: Annotated[str, describe("address of the store")]


class BoundsSection(msgspec.Struct):
    """Limits set by the deployment."""

    grace_s: Annotated[float, describe_amount("time from SIGTERM to SIGKILL")] = 8.0
    retry_share: Annotated[
        float, describe_amount("retries that all hosts together may send, per request")
    ] = 0.2
    retry_window_s: Annotated[
        float, describe_amount("length of the window in which retries are counted")
    ] = 10.0
    retry_extra: Annotated[
        float, describe_amount("retries allowed beyond the share")
    ] = 10.0
    memory_mb: Annotated[
        float,
        describe_amount("memory of the process in MB; that of the machine when 0"),
    ] = 0.0
    header_fields: Annotated[
        int, describe_count("most header fields of a request from a caller")
    ] = 512
    reserved_descriptors: Annotated[
        int, describe_count("descriptors of the process that no connection takes")
    ] = 200


class DutiesSection(msgspec.Struct):
    """Calls to the platform's API that one host makes at a time."""

    api: Annotated[str, describe("address of the platform's API; none when empty")] = ""
    names: Annotated[str, describe("duties in force, separated by commas")] = ""
    calls_per_s: Annotated[
        float, describe_amount("calls per second accepted from all hosts together")
    ] = 1.0
    fenced: Annotated[
        bool, describe("whether the API refuses calls with an outdated fencing token")
    ] = False
    lease_ms: Annotated[
        float, describe_amount("time for which the claim to a duty holds")
    ] = 3000.0
    wake_slack_ms: Annotated[
        float, describe_amount("time after a suspension in which calls may still end")
    ] = 300.0
    window_s: Annotated[float, describe_amount("length of a window of usage")] = 5.0
    usage_delay_s: Annotated[
        float, describe_amount("time after its end until the usage of a window is due")
    ] = 10.0

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the duties in force."""
        return tuple(name.strip() for name in self.names.split(",") if name.strip())


class PlacementSection(msgspec.Struct):
    """How servers are chosen for prompts."""

    prefix_cache: Annotated[
        Literal["off", "weighed"],
        describe("whether cached prefixes are weighed against the wait at a server"),
    ] = "off"


class HostSettings(msgspec.Struct):
    """All settings sections; `regions` maps failure domains to regions."""

    host: HostSection
    listen: ListenSection
    store: StoreSection
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    regions: dict[str, str] = {}
    duties: DutiesSection = msgspec.field(default_factory=DutiesSection)
    placement: PlacementSection = msgspec.field(default_factory=PlacementSection)

    def list_seeds(self) -> tuple[str, ...]:
        """Return the addresses of the other hosts that are named."""
        seeds = self.listen.seeds.split(",")
        return tuple(seed for seed in seeds if seed and seed != self.listen.peers)


def read_host_settings(path: Path) -> HostSettings:
    """Return the validated settings; raise SettingsError if they are invalid."""
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section="\x00none", delimiters=("=",)
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"{path} cannot be read: {error.strerror}",
            "name a readable file",
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        raise SettingsError(f"{path}: {message}", "correct the line") from error
    content = {name: _drop_empty(parser, name) for name in parser.sections()}
    try:
        settings = msgspec.convert(content, HostSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}", "correct the value") from error
    for name, address in _list_addresses(settings):
        if parse_address(address) is None:
            raise SettingsError(
                f"{path}: {name} is not a valid address", "write it as 127.0.0.1:8080"
            )
    return settings


def _list_addresses(settings: HostSettings) -> list[tuple[str, str]]:
    """Return the names and values of the addresses without which no host can run."""
    listen = msgspec.structs.asdict(settings.listen)
    found = [(f"[listen] {key}", text) for key, text in listen.items()]
    found.append(("[store] address", settings.store.address))
    found.append(("[duties] api", settings.duties.api))
    return [(name, text) for name, text in found if text and "seeds" not in name]


def _drop_empty(parser: configparser.ConfigParser, section: str) -> dict[str, str]:
    """Return the keys that have a value; the others use their default."""
    return {key: value for key, value in parser.items(section) if value}
