"""Select the class, tier and pool of a request."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from cornelnotch.configuration.models import (
    Configuration,
    SelectorSection,
    ServiceClass,
)
from cornelnotch.exceptions import RequestError

__all__ = ["Selection", "select_class"]


@dataclass(frozen=True, slots=True)
class Selection:
    """The classification of a request and the selector that produced it."""

    selector: str
    class_name: str
    service_class: ServiceClass
    tier: int
    pool: str
    version: int


def _matches(
    selector: SelectorSection,
    configuration: Configuration,
    workspace: str,
    labels: dict[str, str],
    service: str | None,
) -> bool:
    if selector.service != service:
        return False
    if selector.workspace is not None and selector.workspace != workspace:
        return False
    if any(labels.get(n) != v for n, v in selector.labels.items()):
        return False
    if not selector.workspace_labels:
        return True
    section = configuration.workspaces.get(workspace)
    workspace_labels = section.labels if section else {}
    return all(
        workspace_labels.get(n) == v for n, v in selector.workspace_labels.items()
    )


def select_class(
    configuration: Configuration,
    workspace: str,
    labels: dict[str, str],
    service: str | None,
) -> Result[Selection, RequestError]:
    """Return the result of the first matching selector.

    `service` is None for model traffic.
    """
    for name, selector in configuration.selectors:
        if not _matches(selector, configuration, workspace, labels, service):
            continue
        service_class = configuration.classes[selector.class_name]
        return Success(
            Selection(
                name,
                selector.class_name,
                service_class,
                selector.tier or service_class.tier,
                selector.pool,
                configuration.version,
            )
        )
    return Failure(
        RequestError(
            f"no selector matches workspace {workspace!r} with labels {labels}",
            "send labels that match a selector, or publish a selector for them",
            422,
            "no-selector",
        )
    )
