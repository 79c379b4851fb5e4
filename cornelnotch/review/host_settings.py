"""Review the settings file of a host."""

from collections.abc import Iterator
from pathlib import Path

import msgspec

from cornelnotch.exceptions import SettingsError
from cornelnotch.gateway.settings import HostSettings, read_host_settings
from cornelnotch.review.models import Change, Finding, Report

__all__ = ["review_host_settings"]


def review_host_settings(path: Path, against: Path | None) -> Report:
    """Return the findings in a settings file, and its changes from another one.

    Raise SettingsError if the other one is invalid.
    """
    in_force = read_host_settings(against) if against is not None else None
    try:
        settings = read_host_settings(path)
    except SettingsError as error:
        finding = Finding(str(path), error.problem, error.remedy)
        return Report(str(path), (finding,))
    changes = () if in_force is None else tuple(_compare(in_force, settings))
    return Report(str(path), tuple(_check(settings)), changes)


def _check(settings: HostSettings) -> Iterator[Finding]:
    listeners: dict[str, str] = {}
    addresses = msgspec.structs.asdict(settings.listen)
    del addresses["seeds"]
    for name, address in addresses.items():
        known = listeners.setdefault(address, name)
        if address and known != name and not address.endswith(":0"):
            yield Finding(
                f"[listen] {name}",
                f"{address} is also the address of {known}",
                "give each listener its own port",
            )
    host = settings.host
    if settings.regions.get(host.domain, host.region) != host.region:
        yield Finding(
            "[host] region",
            f"the domain {host.domain!r} is in {settings.regions[host.domain]!r} by"
            f" [regions], but in {host.region!r} by [host]",
            "write the same region",
        )
    if settings.regions and host.domain not in settings.regions:
        yield Finding(
            "[regions]",
            f"the domain {host.domain!r} of the host is not listed, so all others"
            " count as far",
            "list it with its region",
        )


def _compare(in_force: HostSettings, settings: HostSettings) -> Iterator[Change]:
    old_sections = msgspec.to_builtins(in_force)
    new_sections = msgspec.to_builtins(settings)
    for section, content in new_sections.items():
        old = old_sections[section]
        for key in sorted(old.keys() | content.keys()):
            before, after = old.get(key), content.get(key)
            if before != after:
                yield Change(f"[{section}] {key}", f"{before!r}, now {after!r}")
