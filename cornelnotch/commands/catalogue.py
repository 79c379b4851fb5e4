"""Command that generates or checks the docs of events and settings."""

import logging
from pathlib import Path
from types import NoneType, UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin, get_type_hints

import msgspec
import typer
from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from cornelnotch.configuration.models import SECTION_MODELS
from cornelnotch.exceptions import SettingsError
from cornelnotch.gateway.settings import HostSettings
from cornelnotch.kernel import Event
from cornelnotch.load.scenario import FaultEvent, General, TrafficClass
from cornelnotch.settings import NodeSettings

__all__ = ["create_event_catalogue", "create_settings_catalogue", "register_commands"]

EVENTS_FILE = "EVENTS.md"
SETTINGS_FILE = "SETTINGS.md"
GENERATED = "This page is written by `make docs` and checked in CI.\n"


def create_event_catalogue() -> str:
    """Return the documentation page of log events."""
    rows = [
        f"| {e.number} | {e.name} | {logging.getLevelName(e.level)} | {e.meaning} |"
        for e in sorted(Event, key=lambda event: event.number)
    ]
    head = "# Events\n\n" + GENERATED + "\n| number | name | level | meaning |\n"
    return head + "| --- | --- | --- | --- |\n" + "\n".join(rows) + "\n"


def _format_type(annotation: Any) -> str:
    """Return the name of a type without its validation constraints."""
    if isinstance(annotation, type) and get_origin(annotation) is None:
        return annotation.__name__
    origin = get_origin(annotation)
    names = [
        _format_type(part) for part in get_args(annotation) if part is not NoneType
    ]
    if origin is Annotated:
        return names[0]
    if origin is Literal:
        return " or ".join(str(part) for part in get_args(annotation))
    if origin in {Union, UnionType}:
        return " or ".join(names)
    return f"{getattr(origin, '__name__', origin)} of {', '.join(names)}"


def _format_default(default: Any) -> str:
    if default is PydanticUndefined:
        return "required"
    return "-" if default is None else f"`{default}`"


def _format_field_default(field: Any) -> str:
    if field.default_factory is not None:
        return "empty"
    return _format_default(field.default)


def _describe_model(title: str, model: type[BaseModel]) -> str:
    text = f"\n## [{title}]\n\n{(model.__doc__ or '').strip()}\n\n"
    text += "| key | type | default | meaning |\n| --- | --- | --- | --- |\n"
    for name, field in model.model_fields.items():
        type_text = _format_type(field.annotation).replace("|", "or")
        meaning = field.description or ""
        key = field.alias or name
        text += (
            f"| {key} | {type_text} | {_format_field_default(field)} | {meaning} |\n"
        )
    return text


def _describe_struct(title: str, struct: type[msgspec.Struct]) -> str:
    text = f"\n## [{title}]\n\n{(struct.__doc__ or '').strip()}\n\n"
    text += "| key | type | default | meaning |\n| --- | --- | --- | --- |\n"
    hints = get_type_hints(struct, include_extras=True)
    for field in msgspec.structs.fields(struct):
        required = field.default is msgspec.NODEFAULT
        default = "required" if required else _format_default(field.default)
        meaning = hints[field.name].__metadata__[0].description
        type_text = _format_type(hints[field.name])
        text += f"| {field.name} | {type_text} | {default} | {meaning} |\n"
    return text


def _describe_host_settings() -> str:
    text = ""
    for field in msgspec.structs.fields(HostSettings):
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            text += _describe_struct(field.name, field.type)
    text += "\n## [regions]\n\nMap each failure domain to its region.\n"
    return text


def create_settings_catalogue() -> str:
    """Return the documentation page of settings, configuration and scenarios."""
    text = "# Settings\n\n" + GENERATED
    text += "\n# Node settings\n"
    for name, field in NodeSettings.model_fields.items():
        annotation = field.annotation
        assert isinstance(annotation, type)
        text += _describe_model(name, annotation)
    text += "\n# Settings of a host on the platform\n"
    text += _describe_host_settings()
    text += "\n# Configuration published by operators\n"
    for kind, model in SECTION_MODELS.items():
        title = kind if kind == "claims" else f"{kind} NAME"
        text += _describe_model(title, model)
    text += "\n# Scenarios of `cornelnotch load`\n"
    text += _describe_model("general", General)
    text += _describe_model("class NAME", TrafficClass)
    text += _describe_model("fault NAME", FaultEvent)
    return text


def handle_catalogues(
    folder: Path = typer.Argument(Path("docs"), help="directory of the docs"),
    write: bool = typer.Option(
        False, "--write", help="write the pages instead of checking them"
    ),
) -> None:
    """Check that the generated pages of the docs match the code, or write them."""
    pages = {
        EVENTS_FILE: create_event_catalogue(),
        SETTINGS_FILE: create_settings_catalogue(),
    }
    for name, text in pages.items():
        path = folder / name
        if write:
            path.write_text(text, encoding="utf-8")
        elif not path.exists() or path.read_text(encoding="utf-8") != text:
            raise SettingsError(f"{path} differs from the code", "run `make docs`")


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    program.command("catalogue")(handle_catalogues)
