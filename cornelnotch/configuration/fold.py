"""Fold configuration records into a state with one pure function.

A change replaces or removes whole sections. It is accepted if the result is valid
and none of its sections has changed since its base version; its offset becomes the
new version. All hosts fold the same records in offset order and therefore accept
the same changes.
"""

import configparser
from dataclasses import dataclass, field, replace
from typing import Any

import orjson
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from cornelnotch.configuration.models import (
    SECTION_MODELS,
    ClaimSettings,
    Configuration,
)
from cornelnotch.exceptions import ConfigurationError

__all__ = [
    "Change",
    "ConfigurationState",
    "RecordResult",
    "SectionState",
    "Snapshot",
    "apply_record",
    "choose_snapshot",
    "create_snapshot",
    "decode_record",
    "decode_snapshot",
    "encode_record",
    "parse_sections",
    "restore_snapshot",
]

NO_OFFSET = -1
REMOVE_KEY = "remove"
REMOVE_VALUE = "yes"


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change: INI text relative to a base version."""

    change_id: str
    base: int
    text: str
    author: str = ""


@dataclass(frozen=True, slots=True)
class SectionState:
    """The values of a section and the version that set them."""

    version: int
    values: dict[str, str]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All sections as of offset `covers`."""

    covers: int
    version: int
    sections: dict[str, SectionState]


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The result of folding all records up to offset `covers`.

    `removed` keeps the versions at which sections were removed, so that a change
    based on an older version still conflicts with the removal.
    """

    covers: int = NO_OFFSET
    version: int = NO_OFFSET
    sections: dict[str, SectionState] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    models: dict[str, Any] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)


@dataclass(frozen=True, slots=True)
class RecordResult:
    """The state after one record and whether the record was accepted."""

    state: ConfigurationState
    accepted: bool
    error: ConfigurationError | None = None


def encode_record(record: Change | Snapshot) -> bytes:
    """Return `record` in the encoding used in the log."""
    kind = "change" if isinstance(record, Change) else "snapshot"
    return orjson.dumps({"kind": kind, "record": record})


def decode_record(body: bytes) -> Result[Change | Snapshot, ConfigurationError]:
    """Return the record in `body`, or a Failure if it is malformed."""
    try:
        content = orjson.loads(body)
        record = content["record"]
        if content["kind"] == "change":
            change = Change(
                str(record["change_id"]),
                int(record["base"]),
                str(record["text"]),
                str(record.get("author", "")),
            )
            return Success(change)
        sections = {
            str(name): SectionState(int(s["version"]), dict(s["values"]))
            for name, s in record["sections"].items()
        }
        return Success(
            Snapshot(int(record["covers"]), int(record["version"]), sections)
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Failure(
            ConfigurationError(
                f"malformed record: {error!r}",
                "publish with the config command",
            )
        )


def decode_snapshot(offset: int, body: bytes) -> Snapshot | None:
    """Return the snapshot in the record at `offset`, or None if there is none.

    A snapshot that claims to cover its own offset or later ones is malformed.
    """
    record = decode_record(body).value_or(None)
    if not isinstance(record, Snapshot) or record.covers >= offset:
        return None
    return record


def parse_sections(
    text: str,
) -> Result[dict[str, dict[str, str]], ConfigurationError]:
    """Return the sections of an INI text, or a Failure if it cannot be parsed."""
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section="\x00none"
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        message = " ".join(str(error).split())
        return Failure(ConfigurationError(message, "correct the line"))
    return Success({name: dict(parser.items(name)) for name in parser.sections()})


def _build_model(name: str, values: dict[str, str]) -> Any:
    kind, _, label = name.partition(" ")
    model = SECTION_MODELS.get(kind)
    if model is None:
        raise ConfigurationError(
            f"[{name}] is not a known section type",
            f"start it with one of {', '.join(SECTION_MODELS)}",
        )
    if (kind == "claims") == bool(label.strip()):
        remedy = "write [claims]" if label else f"write [{kind} NAME]"
        raise ConfigurationError(f"[{name}] is not a valid section name", remedy)
    try:
        return model.model_validate(values)
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"]) or "?"
        raise ConfigurationError(
            f"[{name}] {key}: {first['msg']}", "correct or remove the key"
        ) from error


def _build_configuration(models: dict[str, Any], version: int) -> Configuration:
    groups: dict[str, dict[str, Any]] = {kind: {} for kind in SECTION_MODELS}
    for name, model in models.items():
        kind, _, label = name.partition(" ")
        groups[kind][label] = model
    selectors = sorted(
        groups["selector"].items(), key=lambda item: (item[1].order, item[0])
    )
    return Configuration(
        version,
        groups["place"],
        groups["class"],
        groups["pool"],
        groups["server"],
        groups["workspace"],
        tuple(selectors),
        groups["claims"].get("", ClaimSettings()),
    )


def _find_conflict(state: ConfigurationState, change: Change, names: Any) -> str | None:
    for name in names:
        section = state.sections.get(name)
        version = section.version if section else state.removed.get(name, NO_OFFSET)
        if version > change.base:
            return f"[{name}] changed at version {version}, after base {change.base}"
    return None


def _apply_change(
    state: ConfigurationState, change: Change, offset: int
) -> ConfigurationState:
    """Return the state after `change`; raise ConfigurationError if it is rejected."""
    parsed = parse_sections(change.text)
    if isinstance(parsed, Failure):
        raise parsed.failure()
    changed = parsed.unwrap()
    if not changed:
        raise ConfigurationError("the change is empty", "add a section")
    conflict = _find_conflict(state, change, changed)
    if conflict is not None:
        raise ConfigurationError(conflict, "fetch the current version and retry")
    sections = dict(state.sections)
    models = dict(state.models)
    removed = dict(state.removed)
    for name, values in changed.items():
        if values == {REMOVE_KEY: REMOVE_VALUE}:
            sections.pop(name, None)
            models.pop(name, None)
            removed[name] = offset
            continue
        models[name] = _build_model(name, values)
        sections[name] = SectionState(offset, values)
        removed.pop(name, None)
    configuration = _build_configuration(models, offset)
    configuration.check_references()
    _check_stream_count(state, configuration)
    return ConfigurationState(offset, offset, sections, removed, models, configuration)


def _check_stream_count(state: ConfigurationState, after: Configuration) -> None:
    """Reject a new number of claim streams, which would move keys to other streams."""
    before = state.configuration.claims.streams
    if state.version == NO_OFFSET or after.claims.streams == before:
        return
    raise ConfigurationError(
        f"[claims] streams is {before} and cannot change",
        "keep it; existing keys would be looked up in other streams",
    )


def apply_record(state: ConfigurationState, offset: int, body: bytes) -> RecordResult:
    """Return the state after the record at `offset`; older offsets are ignored."""
    if offset <= state.covers:
        return RecordResult(state, False)
    skipped = replace(state, covers=offset)
    decoded = decode_record(body)
    if isinstance(decoded, Failure):
        return RecordResult(skipped, False, decoded.failure())
    record = decoded.unwrap()
    if isinstance(record, Snapshot):
        return RecordResult(skipped, False)
    try:
        return RecordResult(_apply_change(state, record, offset), True)
    except ConfigurationError as error:
        return RecordResult(skipped, False, error)


def create_snapshot(state: ConfigurationState) -> Snapshot:
    """Return a snapshot of `state`."""
    sections = dict(state.sections)
    for name, version in state.removed.items():
        sections[name] = SectionState(version, {REMOVE_KEY: REMOVE_VALUE})
    return Snapshot(state.covers, state.version, sections)


def restore_snapshot(snapshot: Snapshot) -> ConfigurationState:
    """Return the state stored in `snapshot`.

    Raise ConfigurationError if the snapshot is invalid.
    """
    sections: dict[str, SectionState] = {}
    removed: dict[str, int] = {}
    for name, section in snapshot.sections.items():
        if section.values == {REMOVE_KEY: REMOVE_VALUE}:
            removed[name] = section.version
        else:
            sections[name] = section
    models = {name: _build_model(name, s.values) for name, s in sections.items()}
    configuration = _build_configuration(models, snapshot.version)
    return ConfigurationState(
        snapshot.covers, snapshot.version, sections, removed, models, configuration
    )


def choose_snapshot(
    snapshots: list[Snapshot], earliest: int
) -> ConfigurationState | None:
    """Return the state of the newest snapshot after which no record was trimmed.

    Snapshots are ordered by the offset they cover, not by their own offset: one
    appended late by a paused host may cover less than an earlier one.
    """
    usable = [s for s in snapshots if s.covers >= earliest - 1]
    for snapshot in sorted(usable, key=lambda s: s.covers, reverse=True):
        try:
            return restore_snapshot(snapshot)
        except ConfigurationError:
            # An invalid snapshot must not hide the valid ones before it.
            continue
    return None
