"""Create and run one host on the platform."""

import asyncio
import gc
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from cornelnotch.gateway.host import GatewayHost
from cornelnotch.gateway.settings import HostSettings, read_host_settings
from cornelnotch.gateway.settings_watch import SettingsWatch
from cornelnotch.kernel.clock import create_clock
from cornelnotch.kernel.events import create_event_log
from cornelnotch.kernel.log_output import LogOutput
from cornelnotch.platform.decoder import PlatformDecoder
from cornelnotch.platform.endpoints import (
    MetricsEndpoint,
    ReadinessEndpoint,
    ResolutionEndpoint,
)
from cornelnotch.platform.header_codec import PlatformHeaderCodec
from cornelnotch.platform.identity import PlatformServerIdentity
from cornelnotch.platform.store import PlatformStore
from cornelnotch.web import HttpClient, HttpServer, ServerLimits, parse_address

if TYPE_CHECKING:
    from cornelnotch.duties.api import DutyHolder
    from cornelnotch.duties.joining import HostDuties

__all__ = ["run_host"]

# Reference counting frees nearly all objects of a request, so a high threshold avoids
# needless scans of the youngest generation for reference cycles.
GC_YOUNG_THRESHOLD_OBJECTS = 10_000
# Name of the duty in the settings, and how often its services are looked for.
AUTOSCALING = "autoscaling"
SCALING_CHECK_MS = 1000.0
# Time in which current requests of the directory, readiness and metrics may end.
ENDPOINT_CLOSE_TIMEOUT_S = 0.05


def watch_settings(
    path: Path, host: GatewayHost, store: PlatformStore
) -> SettingsWatch:
    """Return a watch that applies changes of the settings file to a host."""

    def apply_settings(changed: HostSettings) -> None:
        host.apply_settings(changed)
        store.set_address(changed.store.address)

    return SettingsWatch(path, host.events, apply_settings)


def start_duties(
    host: GatewayHost, store: PlatformStore, client: HttpClient
) -> "HostDuties | None":
    """Start the duties that the settings name, or return None if there are none."""
    duties = host.settings.duties
    if not duties.api or not duties.list_names():
        return None
    from cornelnotch.duties.joining import HostDuties, needs_holder
    from cornelnotch.platform.duty_api import DutyApi, PlatformUsageApi
    from cornelnotch.platform.duty_store import PlatformDutyStore

    if not needs_holder(duties.list_names()):
        return None
    api = DutyApi(duties.api, client)
    joined = HostDuties(host, PlatformDutyStore(store), PlatformUsageApi(api))
    joined.start()
    host.tasks.start("autoscaling", run_scaling(host, joined.keeper))
    return joined


async def run_scaling(host: GatewayHost, holder: "DutyHolder") -> None:
    """Start autoscaling once it is a duty in force and a service has bounds."""
    duties = host.settings.duties
    if not duties.api or AUTOSCALING not in duties.list_names():
        return
    while not any(s.autoscaling for s in host.context.table.services.values()):
        await host.clock.sleep(SCALING_CHECK_MS)
    # Hosts that scale nothing do not load these modules.
    from cornelnotch.platform.scaling_api import PlatformScalingApi
    from cornelnotch.scaling.start import start_scaling

    start_scaling(host, holder, PlatformScalingApi(duties.api, host.context.client))


async def serve_host(
    settings: HostSettings, output: LogOutput, path: Path | None = None
) -> None:
    """Run a host until it has drained; SIGTERM starts draining.

    Changes of the settings file at `path`, if there is one, are applied.
    """
    clock = create_clock()
    store = PlatformStore(settings.store.address, HttpClient())
    client = HttpClient()
    host = GatewayHost(
        settings,
        clock,
        create_event_log(settings.host.name),
        PlatformHeaderCodec(),
        store,
        PlatformDecoder(),
        client,
        store,
        PlatformServerIdentity(client),
        store,
        store,
    )
    host.context.metrics.register_state_gauge(
        "dropped_log_lines", lambda: output.dropped
    )
    memory, shares = host.context.memory, host.shares
    directory = HttpServer(
        ResolutionEndpoint(host.directory).handle,
        ServerLimits(connections=shares.directory),
        memory,
        "directory",
    )
    readiness = HttpServer(
        ReadinessEndpoint(host.is_ready).handle,
        ServerLimits(connections=shares.readiness),
        memory,
        "readiness",
    )
    metrics = HttpServer(
        MetricsEndpoint(host.render_metrics).handle,
        ServerLimits(connections=shares.metrics),
        memory,
        "metrics",
    )

    watch = watch_settings(path, host, store) if path else None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, host.start_drain)
    loop.add_signal_handler(signal.SIGINT, host.stopped.set)
    loop.add_signal_handler(signal.SIGHUP, watch.note_signal if watch else lambda: None)
    await directory.start(*parse_address(settings.listen.directory))
    await readiness.start(*parse_address(settings.listen.readiness))
    if settings.listen.metrics:
        await metrics.start(*parse_address(settings.listen.metrics))
    await host.start()
    duties = start_duties(host, store, client)
    if watch is not None:
        host.tasks.start_supervised("settings", watch.run)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD_OBJECTS)
    await host.stopped.wait()
    if duties is not None:
        await duties.stop()
    endpoints = (directory, readiness, metrics)
    await asyncio.gather(*(e.shut_down(ENDPOINT_CLOSE_TIMEOUT_S) for e in endpoints))
    await host.stop()


def run_host(path: Path) -> None:
    """Run a host with the settings file `path`; raise SettingsError if malformed."""
    settings = read_host_settings(path)
    with LogOutput(settings.host.name) as output:
        asyncio.run(serve_host(settings, output, path))
