"""Read INI files into validated models."""

import configparser
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from cornelnotch.exceptions import SettingsError

__all__ = ["read_ini"]

Model = TypeVar("Model", bound=BaseModel)


def _create_error(error: ValidationError, path: Path) -> SettingsError:
    first = error.errors()[0]
    location = [str(part) for part in first["loc"]]
    section = location[0] if location else "?"
    key = ".".join(location[1:])
    location_text = f"[{section}] {key}".rstrip()
    if first["type"] == "extra_forbidden":
        return SettingsError(
            f"{path}: {location_text} is unknown", "remove or rename it"
        )
    if first["type"] == "missing":
        return SettingsError(f"{path}: {location_text} is missing", "add it")
    return SettingsError(
        f"{path}: {location_text}: {first['msg']}", "correct the value"
    )


def read_ini(path: Path, model: type[Model]) -> Result[Model, SettingsError]:
    """Return the validated content of `path`; sections map to fields of `model`."""
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section="\x00none"
    )
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        problem = f"{path} cannot be read: {error.strerror}"
        return Failure(SettingsError(problem, "give the path of a readable file"))
    except (configparser.Error, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        return Failure(SettingsError(f"{path}: {message}", "correct the line"))
    content = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        return Success(model.model_validate(content))
    except ValidationError as error:
        return Failure(_create_error(error, path))
