"""Read the operator's configuration for a review."""

import re

import msgspec

from cornelnotch.exceptions import (
    ConfigurationError,
    MalformedInputError,
    SettingsError,
)
from cornelnotch.gateway.models import ServiceShare
from cornelnotch.kernel.parsing import Amount, decode
from cornelnotch.platform.records import (
    WORK_KINDS,
    ConfigModel,
    RouteModel,
    decode_table,
)
from cornelnotch.review.models import (
    ConfigurationReader,
    ReviewedConfiguration,
    ReviewedRoute,
    ReviewedService,
    ReviewedWorkspace,
)

__all__ = ["PlatformConfigurationReader"]

MALFORMED_BYTE = re.compile(r"\(byte (\d+)\)")


class ScalingModel(msgspec.Struct):
    """Bounds on the number of servers of a service."""

    min: Amount | None = None
    max: Amount | None = None


class ScaledServiceModel(msgspec.Struct):
    """The part of a service's schema that bounds its servers."""

    autoscaling: ScalingModel | None = None


class ScaledConfigModel(msgspec.Struct):
    """The part of the configuration's schema that bounds servers."""

    services: list[ScaledServiceModel] = []


_config_decoder = msgspec.json.Decoder(ConfigModel)
_scaled_decoder = msgspec.json.Decoder(ScaledConfigModel)


class PlatformConfigurationReader(ConfigurationReader):
    """Read configurations as operators write them to the store."""

    def read(self, text: bytes) -> ReviewedConfiguration:
        """Return the configuration in `text`.

        Raise SettingsError if it cannot be parsed at all, ConfigurationError if hosts
        would reject it.
        """
        _check_syntax(text)
        table = decode_table(text)
        try:
            model = decode(_config_decoder, text)
            scaled = decode(_scaled_decoder, text)
        except MalformedInputError as error:
            raise ConfigurationError(error.problem, "correct the value") from error
        workspaces = None
        if model.tenants is not None:
            workspaces = tuple(
                ReviewedWorkspace(
                    f"tenants[{index}]", t.name, tuple(t.api_keys), t.priority
                )
                for index, t in enumerate(model.tenants)
            )
        bounds = [service.autoscaling for service in scaled.services]
        services = tuple(
            ReviewedService(
                f"services[{index}]",
                entry.name,
                table.services[entry.name].engine,
                bound.min if bound is not None else None,
                bound.max if bound is not None else None,
            )
            for index, (entry, bound) in enumerate(
                zip(model.services, bounds, strict=True)
            )
        )
        routes = tuple(
            _create_route(f"routes[{index}]", entry)
            for index, entry in enumerate(model.routes)
        )
        return ReviewedConfiguration(
            model.version, routes, services, workspaces, table.limits
        )


def _check_syntax(text: bytes) -> None:
    """Raise SettingsError with the line if the text is not JSON."""
    try:
        decode(msgspec.json.Decoder(msgspec.Raw), text)
    except MalformedInputError as error:
        found = MALFORMED_BYTE.search(error.problem)
        line = text[: int(found[1])].count(b"\n") + 1 if found else 1
        raise SettingsError(
            f"line {line}: {error.problem}", "write valid JSON"
        ) from error


def _create_route(path: str, model: RouteModel) -> ReviewedRoute:
    split = tuple(ServiceShare(s.service, s.weight) for s in model.traffic_split)
    return ReviewedRoute(
        path,
        model.name,
        model.hostname.lower(),
        model.path_prefix,
        WORK_KINDS.get(model.route_type),
        model.timeout_ms,
        model.target_latency_ms,
        model.target_itl_ms,
        model.max_attempts,
        model.priority,
        split or (ServiceShare(model.service, 1.0),),
        model.anonymous,
        model.stream_resume,
    )
