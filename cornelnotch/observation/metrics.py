"""Prometheus metrics of a host."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from cornelnotch.kernel import Clock
from cornelnotch.observation.windows import AttainmentWindows

__all__ = ["NodeMetrics"]

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.46,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    float("inf"),
)


class NodeMetrics:
    """Metrics registry of one host."""

    def __init__(self, host: str, clock: Clock) -> None:
        self.windows = AttainmentWindows(clock)
        self._registry = Registry()
        self._state_readers: dict[str, Callable[[], float]] = {}
        labels = {"host": host}
        self._requests = Counter(
            "cornelnotch_requests_total",
            "Requests by class, result and outcome.",
            labels,
            registry=self._registry,
        )
        self._tokens = Counter(
            "cornelnotch_tokens_total",
            "Tokens received from engines, by fate.",
            labels,
            registry=self._registry,
        )
        self._retries = Counter(
            "cornelnotch_retries_total",
            "Repeated dispatches by cause.",
            labels,
            registry=self._registry,
        )
        self._limited_dispatches = Counter(
            "cornelnotch_limited_dispatches_total",
            "Requests sent to servers that have a rate limit, by server.",
            labels,
            registry=self._registry,
        )
        self._cut = Counter(
            "cornelnotch_requests_cut_total",
            "Requests without a complete response when the host stopped, by class.",
            labels,
            registry=self._registry,
        )
        self._stream_moves = Counter(
            "cornelnotch_stream_moves_total",
            "Streams sent on from a silent server, by outcome.",
            labels,
            registry=self._registry,
        )
        self._server_crashes = Counter(
            "cornelnotch_server_crashes_total",
            "Servers that crashed while they served requests of this host.",
            labels,
            registry=self._registry,
        )
        self._server_orders = Counter(
            "cornelnotch_server_orders_total",
            "Orders of servers by service, domain, kind and outcome.",
            labels,
            registry=self._registry,
        )
        self._reclaimed_servers = Counter(
            "cornelnotch_reclaimed_servers_total",
            "Spot servers that the platform took back, by service and domain.",
            labels,
            registry=self._registry,
        )
        self._memory_crashes = Counter(
            "cornelnotch_server_memory_crashes_total",
            "Server crashes that the bytes of the requests there explain.",
            labels,
            registry=self._registry,
        )
        self._slow_callers = Counter(
            "cornelnotch_slow_callers_ended_total",
            "Responses ended as their callers read too slowly for the host's memory.",
            labels,
            registry=self._registry,
        )
        self._closed_connections = Counter(
            "cornelnotch_closed_connections_total",
            "Connections closed to keep within the machine, by listener and reason.",
            labels,
            registry=self._registry,
        )
        self._first_token = Histogram(
            "cornelnotch_first_token_seconds",
            "Time to first token by class.",
            labels,
            self._registry,
            LATENCY_BUCKETS_S,
        )
        self._queued = Histogram(
            "cornelnotch_queued_seconds",
            "Time from arrival to permit by class.",
            labels,
            self._registry,
            LATENCY_BUCKETS_S,
        )
        self._window = Gauge(
            "cornelnotch_attainment_window",
            "Requests that ended within a window of minutes, by class and result.",
            labels,
            registry=self._registry,
        )
        self._state = Gauge(
            "cornelnotch_state",
            "State of the host by name.",
            labels,
            registry=self._registry,
        )

    def count_request(self, class_name: str, result: str, outcome: str) -> None:
        """Count one finished request."""
        self._requests.inc({"class": class_name, "result": result, "outcome": outcome})

    def count_tokens(self, fate: str, tokens: int) -> None:
        """Count tokens by fate, delivered or wasted."""
        self._tokens.add({"fate": fate}, tokens)

    def count_retry(self, cause: str) -> None:
        """Count one repeated dispatch."""
        self._retries.inc({"cause": cause})

    def count_limited_dispatch(self, server: str) -> None:
        """Count one request sent to a server that has a rate limit."""
        self._limited_dispatches.inc({"server": server})

    def count_cut(self, class_name: str) -> None:
        """Count one request without a complete response when the host stopped."""
        self._cut.inc({"class": class_name})

    def count_stream_move(self, outcome: str) -> None:
        """Count one stream that was sent on from a silent server."""
        self._stream_moves.inc({"outcome": outcome})

    def count_server_crash(self) -> None:
        """Count one server that crashed while it served requests of this host."""
        self._server_crashes.inc({})

    def count_server_order(
        self, service: str, domain: str, kind: str, outcome: str
    ) -> None:
        """Count one order of servers."""
        self._server_orders.inc(
            {"service": service, "domain": domain, "kind": kind, "outcome": outcome}
        )

    def count_reclaimed_servers(self, service: str, domain: str, count: int) -> None:
        """Count spot servers that the platform took back."""
        self._reclaimed_servers.add({"service": service, "domain": domain}, count)

    def count_memory_crash(self) -> None:
        """Count one server whose requests exceeded its memory."""
        self._memory_crashes.inc({})

    def count_slow_caller(self) -> None:
        """Count one response that was ended as its caller read too slowly."""
        self._slow_callers.inc({})

    def count_closed_connection(self, listener: str, reason: str) -> None:
        """Count one connection that was closed to keep within the machine."""
        self._closed_connections.inc({"listener": listener, "reason": reason})

    def observe_first_token(self, class_name: str, duration_ms: float) -> None:
        """Observe the time to first token in ms."""
        self._first_token.observe({"class": class_name}, duration_ms / 1000.0)

    def observe_queued(self, class_name: str, duration_ms: float) -> None:
        """Observe the time in ms that a request waited before its dispatch."""
        self._queued.observe({"class": class_name}, duration_ms / 1000.0)

    def set_state(self, name: str, value: float) -> None:
        """Set the gauge of one state of the host."""
        self._state.set({"name": name}, value)

    def register_state_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a function that is called for a state on each scrape."""
        self._state_readers[name] = read

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        for name, read in self._state_readers.items():
            self.set_state(name, read())
        for row in self.windows.count():
            window = str(row.minutes)
            labels = {"class": row.class_name, "minutes": window}
            self._window.set({**labels, "result": "attained"}, row.attained)
            self._window.set({**labels, "result": "total"}, row.total)
        content, _ = render(self._registry, ["text/plain"])
        return content
