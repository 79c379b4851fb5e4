"""HTTP endpoints for callers and operators."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure

from cornelnotch.configuration import select_class
from cornelnotch.exceptions import CallerDisconnectedError, RequestError
from cornelnotch.kernel import Event, create_identifier
from cornelnotch.node.status import StatusReader
from cornelnotch.observation import TraceStore
from cornelnotch.routing.context import FlowContext
from cornelnotch.routing.engine_flow import EngineFlow
from cornelnotch.routing.flow import RequestFlow
from cornelnotch.routing.requests import CallerRequest, parse_caller_request
from cornelnotch.routing.responses import (
    Outcome,
    Problem,
    create_response_headers,
    encode_problem,
)
from cornelnotch.routing.service_flow import ServiceFlow
from cornelnotch.settings import NodeSettings
from cornelnotch.web import Exchange
from cornelnotch.wire import PeerNetwork

__all__ = ["Frontend"]

SERVICE_PREFIX = "/v1/services/"
EXPLAIN_PREFIX = "/v1/explain/"
CHAT_PATH = "/v1/chat/completions"
REFUSAL_RETRY_MS = 1000.0
UNCLASSIFIED = "none"

Handler = Callable[[Exchange], Awaitable[None]]


class Frontend:
    """Dispatcher of HTTP exchanges to their handlers."""

    def __init__(
        self,
        settings: NodeSettings,
        context: FlowContext,
        status: StatusReader,
        decisions: TraceStore,
        dispatched: TraceStore,
        peers: PeerNetwork,
        start_drain: Callable[[], None],
    ) -> None:
        self.active = 0
        self._receiving: set[asyncio.Timeout] = set()
        self._settings = settings
        self._context = context
        self._status = status
        self._decisions = decisions
        self._dispatched = dispatched
        self._peers = peers
        self._start_drain = start_drain
        self._handlers: dict[str, Handler] = {
            "/v1/entry": self._answer_entry,
            "/healthz": self._answer_health,
            "/readyz": self._answer_ready,
            "/status": self._answer_status,
            "/metrics": self._answer_metrics,
            "/v1/drain": self._answer_drain,
            CHAT_PATH: self._route_chat,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one exchange."""
        self.active += 1
        try:
            await self._select_handler(exchange)(exchange)
        except RequestError as error:
            await self._reject_malformed(exchange, error)
        finally:
            self.active -= 1

    def _select_handler(self, exchange: Exchange) -> Handler:
        handler = self._handlers.get(exchange.path)
        if handler is not None:
            return handler
        if exchange.path.startswith(SERVICE_PREFIX):
            return self._route_service
        if exchange.path.startswith(EXPLAIN_PREFIX):
            return self._answer_explain
        return self._answer_unknown

    async def _reject_malformed(self, exchange: Exchange, error: RequestError) -> None:
        if exchange.response_started:
            raise CallerDisconnectedError(
                "the request ended early", "retry the request"
            )
        problem = Problem(error.status, error.kind, str(error), Outcome.NOT_RUN)
        self._context.events.record(
            Event.REQUEST_MALFORMED, kind=error.kind, path=exchange.path
        )
        self._context.metrics.count_request(
            UNCLASSIFIED, error.kind, problem.outcome.value
        )
        await self._send_problem(exchange, problem, create_identifier())

    @staticmethod
    async def _send_problem(
        exchange: Exchange, problem: Problem, request_id: str
    ) -> None:
        headers = create_response_headers(
            request_id, problem.outcome, problem.retry_after_ms
        )
        headers["content-type"] = "application/json"
        body = encode_problem(problem, request_id)
        await exchange.respond(problem.status, headers, body)

    async def _answer_entry(self, exchange: Exchange) -> None:
        workspace = exchange.query.get("workspace", "")
        place = exchange.query.get("place")
        addresses = self._status.list_entries(workspace, place)
        content = {
            "addresses": addresses,
            "ttl_ms": self._settings.timing.entry_ttl_ms,
            "version": self._context.fleet.configuration.version,
        }
        await exchange.respond_json(200 if addresses else 503, content)

    async def _answer_health(self, exchange: Exchange) -> None:
        await exchange.respond_json(200, {"alive": True})

    async def _answer_ready(self, exchange: Exchange) -> None:
        status = self._status.describe()
        code = 200 if status.ready else 503
        await exchange.respond_json(
            code, {"ready": status.ready, "reason": status.reason}
        )

    async def _answer_status(self, exchange: Exchange) -> None:
        content = self._status.describe_json()
        content["active"] = self.active
        content["unsettled_claims"] = self._context.claims.pending_count
        await exchange.respond_json(200, content)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        self._context.metrics.set_state("active", self.active)
        self._context.metrics.set_state(
            "version", self._context.fleet.configuration.version
        )
        self._context.metrics.set_state("peer_bytes", self._peers.sent_bytes)
        body = self._context.metrics.render()
        await exchange.respond(200, {"content-type": "text/plain; version=0.0.4"}, body)

    async def _answer_drain(self, exchange: Exchange) -> None:
        if exchange.method != "POST":
            raise RequestError("draining requires POST", "send POST", 405, "bad-method")
        self._start_drain()
        await exchange.respond_json(202, {"draining": True})

    async def _answer_explain(self, exchange: Exchange) -> None:
        request_id = exchange.path.removeprefix(EXPLAIN_PREFIX)
        trace = self._decisions.find(request_id)
        dispatched = self._dispatched.find(request_id)
        if trace is None and dispatched is None:
            raise RequestError(
                "this host has no trace of the request",
                "ask the host named in its id, soon after the request",
                404,
                "unknown-request",
            )
        content = {
            "request_id": request_id,
            "host": self._settings.node.name,
            "decisions": trace.describe() if trace else [],
            "dispatched": dispatched.describe() if dispatched else [],
        }
        await exchange.respond_json(200, content)

    async def _answer_unknown(self, exchange: Exchange) -> None:
        raise RequestError(
            f"there is no endpoint {exchange.path}",
            "use /v1/entry, /v1/chat/completions or /v1/services/SERVICE/PATH",
            404,
            "unknown-path",
        )

    async def _route_chat(self, exchange: Exchange) -> None:
        if exchange.method != "POST":
            raise RequestError(
                "a chat completion requires POST", "send POST", 405, "bad-method"
            )
        await self._route(exchange, None)

    async def _route_service(self, exchange: Exchange) -> None:
        rest = exchange.path.removeprefix(SERVICE_PREFIX)
        service, _, _ = rest.partition("/")
        if not service:
            raise RequestError("the path names no service", "use /v1/services/NAME/")
        await self._route(exchange, service)

    async def _route(self, exchange: Exchange, service: str | None) -> None:
        body = await self._receive_body(exchange)
        parsed = parse_caller_request(
            self._settings.node.name,
            exchange.method,
            exchange.target,
            service,
            exchange.headers,
            body,
        )
        if isinstance(parsed, Failure):
            raise parsed.failure()
        request = parsed.unwrap()
        trace = self._decisions.start_trace(request.request_id)
        refusal_reason = self._status.find_refusal_reason()
        if refusal_reason is not None:
            trace.note("refused", reason=refusal_reason)
            problem = self._create_refusal(refusal_reason, request)
            await self._send_problem(exchange, problem, request.request_id)
            return
        flow = self._create_flow(exchange, request)
        self._context.budget.record_request()
        await flow.run()

    async def _receive_body(self, exchange: Exchange) -> bytes:
        """Return the body; raise RequestError if the host stops before its end."""
        stopping = self._context.stopping.is_set()
        limit = asyncio.timeout(0.0 if stopping else None)
        self._receiving.add(limit)
        try:
            async with limit:
                return await exchange.read_body(self._settings.limits.body_bytes)
        except TimeoutError as error:
            raise RequestError(
                "the host stopped before the end of the body",
                "send the request to another host",
                503,
                "stopping",
            ) from error
        finally:
            self._receiving.discard(limit)

    def end_receiving(self) -> None:
        """Refuse the requests whose bodies have not arrived."""
        now = asyncio.get_running_loop().time()
        for limit in self._receiving:
            if not limit.expired():
                limit.reschedule(now)

    def _create_refusal(self, refusal_reason: str, request: CallerRequest) -> Problem:
        repeated = request.key is not None and not request.is_first_attempt
        return Problem(
            503,
            refusal_reason,
            "this host refuses requests now; ask /v1/entry for another",
            Outcome.UNKNOWN if repeated else Outcome.NOT_RUN,
            REFUSAL_RETRY_MS,
        )

    def _create_flow(self, exchange: Exchange, request: CallerRequest) -> RequestFlow:
        trace = self._decisions.find(request.request_id)
        assert trace is not None
        selected = select_class(
            self._context.fleet.configuration,
            request.workspace,
            request.labels,
            request.service,
        )
        if isinstance(selected, Failure):
            trace.note("refused", reason="no-selector")
            raise selected.failure()
        selection = selected.unwrap()
        trace.note(
            "classified",
            selector=selection.selector,
            class_name=selection.class_name,
            tier=selection.tier,
            pool=selection.pool,
            version=selection.version,
        )
        kind = ServiceFlow if request.service is not None else EngineFlow
        return kind(self._context, exchange, request, selection, trace)
