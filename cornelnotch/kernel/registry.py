"""Registry of plug-ins by kind and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from cornelnotch.exceptions import SettingsError

__all__ = ["create_plugin", "list_plugins", "register_plugin"]

Factory = TypeVar("Factory", bound=Callable[..., Any])

_factories: dict[str, dict[str, Callable[..., Any]]] = {}


def register_plugin(kind: str, name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers a factory under `kind` and `name`."""

    def register_factory(factory: Factory) -> Factory:
        _factories.setdefault(kind, {})[name] = factory
        return factory

    return register_factory


def list_plugins(kind: str) -> list[str]:
    """Return the names registered under `kind`, sorted."""
    return sorted(_factories.get(kind, {}))


def create_plugin(kind: str, name: str, *arguments: Any) -> Any:
    """Return a new plug-in `name`; raise SettingsError if it is unknown."""
    factory = _factories.get(kind, {}).get(name)
    if factory is None:
        raise SettingsError(
            f"there is no {kind} named {name!r}",
            f"use one of {', '.join(list_plugins(kind))}",
        )
    return factory(*arguments)
