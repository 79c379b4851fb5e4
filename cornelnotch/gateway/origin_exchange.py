"""Tell the readers of the store where streams began, and ask them."""

import asyncio
import itertools

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.gateway.stream_origins import (
    StreamOrigin,
    group_streams,
)
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginReport,
)

__all__ = ["OriginExchange"]

# Streams that begin within this time are reported in one message.
REPORT_DELAY_MS = 30.0
# A host answers within one round trip between regions.
ANSWER_TIMEOUT_MS = 250.0
EXPIRY_PERIOD_MS = 1000.0
# A caller may resume a stream until its last attempt has timed out.
STREAM_TIMEOUTS = 2.0


class OriginExchange:
    """Keep the origins of all streams at the hosts that read the store.

    The host that began a stream may be gone when its caller resumes it at another one.
    """

    def __init__(
        self, context: GatewayContext, peers: PeerNetwork, plan: RelayPlan
    ) -> None:
        self._context = context
        self._peers = peers
        self._plan = plan
        self._unreported: dict[str, StreamOrigin] = {}
        self._numbers = itertools.count()
        self._replies: dict[int, asyncio.Future[StreamOriginReply]] = {}
        peers.subscribe(StreamOriginReport, self._receive_report)
        peers.subscribe(StreamOriginQuery, self._receive_query)
        peers.subscribe(StreamOriginReply, self._receive_reply)

    async def run(self) -> None:
        """Forget streams that no caller can resume any longer, until cancelled."""
        while True:
            await self._context.clock.sleep(EXPIRY_PERIOD_MS)
            now = self._context.clock.read()
            longest_ms = self._context.table.find_longest_stream_ms()
            self._context.origins.expire(now - STREAM_TIMEOUTS * longest_ms)

    def report(self, request_id: str, origin: StreamOrigin) -> None:
        """Report a stream that a server has begun for a request of this host."""
        if not self._unreported:
            loop = asyncio.get_running_loop()
            loop.call_later(REPORT_DELAY_MS / 1000.0, self._send_reports)
        self._unreported[request_id] = origin

    async def ask(self, request_id: str, service: str) -> StreamOrigin | None:
        """Return the origin of a stream that another host knows, or None."""
        queries = [
            asyncio.create_task(self._query(name, request_id, service))
            for name in self._list_readers()
        ]
        try:
            for answer in asyncio.as_completed(queries):
                origin = await answer
                if origin is not None:
                    return origin
            return None
        finally:
            for query in queries:
                query.cancel()

    async def _query(
        self, name: str, request_id: str, service: str
    ) -> StreamOrigin | None:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._replies[number] = future
        self._peers.send(name, StreamOriginQuery(number, service, request_id))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000.0):
                reply = await future
        except TimeoutError:
            return None
        finally:
            del self._replies[number]
        return StreamOrigin(reply.service, reply.software) if reply.service else None

    def _list_readers(self) -> list[str]:
        names = self._plan.list_readers(self._context.clock.read())
        return [name for name in names if name != self._plan.name]

    def _send_reports(self) -> None:
        report = StreamOriginReport(group_streams(self._unreported))
        self._unreported = {}
        for name in self._list_readers():
            self._peers.send(name, report)

    def _receive_report(self, sender: str, report: StreamOriginReport) -> None:
        self._context.origins.add_groups(report.groups, self._context.clock.read())

    def _receive_query(self, sender: str, query: StreamOriginQuery) -> None:
        origin = self._context.origins.find(query.request_id)
        reply = StreamOriginReply(query.number)
        if origin is not None:
            reply = StreamOriginReply(query.number, origin.service, origin.software)
        self._peers.send(sender, reply)

    def _receive_reply(self, sender: str, reply: StreamOriginReply) -> None:
        future = self._replies.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)
