"""Command that checks a configuration file before it is put in force."""

import configparser
from pathlib import Path

import msgspec
import orjson
import typer

from cornelnotch.configuration import (
    Change as SectionChange,
    ConfigurationState,
    encode_record,
)
from cornelnotch.configuration.fold import apply_record
from cornelnotch.exceptions import ConfigurationError, SettingsError
from cornelnotch.kernel import create_identifier
from cornelnotch.platform.review import PlatformConfigurationReader
from cornelnotch.review.changes import describe_changes
from cornelnotch.review.check import SMALLEST_MEMORY_MB, check_configuration
from cornelnotch.review.host_settings import review_host_settings
from cornelnotch.review.models import (
    Change,
    Finding,
    Report,
    ReviewedConfiguration,
)

__all__ = ["check_file"]

EXIT_FINDINGS = 1
FILE = typer.Argument(
    ...,
    help="configuration of the platform (JSON), settings of a host (INI), or a complete"
    " configuration (INI)",
)
AGAINST = typer.Option(None, "--against", help="the file that is in force")
JSON = typer.Option(False, "--json", help="print JSON")
MEMORY = typer.Option(
    SMALLEST_MEMORY_MB, "--memory-mb", help="memory of the smallest host", min=1.0
)


def check_file(
    path: Path = FILE,
    against: Path = AGAINST,
    as_json: bool = JSON,
    memory_mb: float = MEMORY,
) -> None:
    """Check a configuration without publishing it; exit with 1 on findings."""
    text = _read_text(path)
    summary = ""
    if text.lstrip().startswith("{"):
        report = _review_platform(path, against, memory_mb)
    elif _is_host_settings(text):
        report = review_host_settings(path, against)
    else:
        state = _apply_sections(path, text)
        changes = () if against is None else tuple(_compare_sections(against, state))
        report = Report(str(path), (), changes)
        summary = _summarize(state)
    _print_report(report, summary, as_json)
    raise typer.Exit(EXIT_FINDINGS if report.findings else 0)


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}", "give the path of a readable file"
        ) from error


def _is_host_settings(text: str) -> bool:
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    try:
        parser.read_string(text)
    except configparser.Error:
        return False
    return parser.has_section("host") and parser.has_section("listen")


def _review_platform(path: Path, against: Path | None, memory_mb: float) -> Report:
    in_force = _read_configuration(against) if against is not None else None
    try:
        configuration = _read_configuration(path)
    except ConfigurationError as error:
        finding = Finding(str(path), error.problem, error.remedy)
        return Report(str(path), (finding,))
    findings = check_configuration(configuration, memory_mb, in_force)
    changes = [] if in_force is None else describe_changes(in_force, configuration)
    return Report(str(path), tuple(findings), tuple(changes))


def _read_configuration(path: Path) -> ReviewedConfiguration:
    text = _read_text(path).encode()
    try:
        return PlatformConfigurationReader().read(text)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error.problem}", error.remedy) from error


def _apply_sections(path: Path, text: str) -> ConfigurationState:
    change = SectionChange(create_identifier(), -1, text)
    verdict = apply_record(ConfigurationState(), 0, encode_record(change))
    if verdict.error is not None:
        raise ConfigurationError(
            f"{path}: {verdict.error.problem}", verdict.error.remedy
        )
    return verdict.state


def _summarize(state: ConfigurationState) -> str:
    configuration = state.configuration
    return (
        f"{len(configuration.classes)} classes, "
        f"{len(configuration.selectors)} selectors, "
        f"{len(configuration.servers)} servers; valid"
    )


def _compare_sections(against: Path, state: ConfigurationState) -> list[Change]:
    old_state = _apply_sections(against, _read_text(against))
    changes = []
    for name in sorted(old_state.sections.keys() | state.sections.keys()):
        old, new = old_state.sections.get(name), state.sections.get(name)
        if old is None or new is None:
            changes.append(Change(f"[{name}]", "new" if old is None else "removed"))
            continue
        for key in sorted(old.values.keys() | new.values.keys()):
            before, after = old.values.get(key), new.values.get(key)
            if before != after:
                changes.append(Change(f"[{name}] {key}", f"{before}, now {after}"))
    return changes


def _print_report(report: Report, summary: str, as_json: bool) -> None:
    if as_json:
        content = msgspec.to_builtins(report)
        print(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())
        return
    for finding in report.findings:
        print(f"{finding.path}: {finding.problem}; {finding.remedy}")
    for change in report.changes:
        print(f"{change.subject}: {change.text}")
    if not report.findings:
        print(f"{report.file}: {summary or 'valid'}")
