"""Tell the readers of the store where streams began, and ask them."""

import asyncio
import itertools

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.origin_keeper import OriginKeeper
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.gateway.stream_origins import (
    OriginAnswer,
    StreamOrigin,
    combine_answers,
    group_streams,
    list_streams,
)
from cornelnotch.gateway.unknown_streams import READ_TIMEOUT_MS, UnknownStreams
from cornelnotch.kernel.hashing import hash_text
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginReport,
)

__all__ = ["OriginExchange"]

# Streams that begin within this time are reported in one message. While one version
# serves, an unknown stream goes on, so that there is no hurry.
REPORT_DELAY_MS = 200.0
MIXED_REPORT_DELAY_MS = 10.0
# A host answers within one round trip between regions.
ANSWER_TIMEOUT_MS = 250.0
# A host that has just started reads the log of origins within this time.
LOAD_TIMEOUT_MS = 500.0


class OriginExchange:
    """Keep the origins of all streams at the hosts that read the store.

    The host that began a stream may be gone when its caller resumes it at another one.
    """

    def __init__(
        self,
        context: GatewayContext,
        peers: PeerNetwork,
        plan: RelayPlan,
        keeper: OriginKeeper,
        unknown_streams: UnknownStreams,
    ) -> None:
        self._context = context
        self._peers = peers
        self._plan = plan
        self._keeper = keeper
        self._unknown_streams = unknown_streams
        self._unreported: dict[int, StreamOrigin] = {}
        self._sending: asyncio.TimerHandle | None = None
        self._numbers = itertools.count()
        self._replies: dict[int, asyncio.Future[StreamOriginReply]] = {}
        peers.subscribe(StreamOriginReport, self._receive_report)
        peers.subscribe(StreamOriginQuery, self._receive_query)
        peers.subscribe(StreamOriginReply, self._receive_reply)

    def report(self, request_id: str, origin: StreamOrigin) -> None:
        """Report a stream that a server has begun for a request of this host."""
        id_hash = hash_text(request_id)
        self._keeper.add({id_hash: origin})
        self._unreported[id_hash] = origin
        self._schedule_reports()

    async def ask(self, request_id: str, service: str) -> OriginAnswer:
        """Return the origin of a stream that this host does not know."""
        id_hash = hash_text(request_id)
        if self._is_reader():
            await self._keeper.wait_until_loaded(LOAD_TIMEOUT_MS)
        tasks = [
            asyncio.create_task(self._query(name, id_hash, service))
            for name in self._list_other_readers()
        ]
        if self._is_reader() or self._unknown_streams.may_decide(service):
            own = self._unknown_streams.find(id_hash, service)
            tasks.append(asyncio.create_task(own))
        answers = []
        try:
            for task in asyncio.as_completed(tasks):
                answers.append(await task)
                if answers[-1].origin is not None:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return combine_answers(answers, self._context.unreachable_hosts)

    async def _query(self, name: str, id_hash: int, service: str) -> OriginAnswer:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._replies[number] = future
        self._peers.send(name, StreamOriginQuery(number, service, id_hash))
        try:
            async with asyncio.timeout(self._choose_timeout_ms() / 1000.0):
                reply = await future
        except TimeoutError:
            return OriginAnswer(None, is_final=False)
        finally:
            del self._replies[number]
        if not reply.service:
            return OriginAnswer(None, reply.final)
        return OriginAnswer(StreamOrigin(reply.service, reply.software), reply.final)

    def _choose_timeout_ms(self) -> float:
        """Return the time in which a reader answers.

        While one version serves, it reads the records before.
        """
        if self._keeper.is_mixed():
            return ANSWER_TIMEOUT_MS
        return ANSWER_TIMEOUT_MS + READ_TIMEOUT_MS

    def _is_reader(self) -> bool:
        return self._plan.name in self._plan.list_readers(self._context.clock.read())

    def _list_other_readers(self) -> list[str]:
        names = self._plan.list_readers(self._context.clock.read())
        return [name for name in names if name != self._plan.name]

    def _schedule_reports(self) -> None:
        """Send the reports later; sooner if a second version has come meanwhile."""
        is_mixed = self._keeper.is_mixed()
        delay_ms = MIXED_REPORT_DELAY_MS if is_mixed else REPORT_DELAY_MS
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_ms / 1000.0
        if self._sending is not None:
            if self._sending.when() <= due_s:
                return
            self._sending.cancel()
        self._sending = loop.call_at(due_s, self._send_reports)

    def _send_reports(self) -> None:
        self._sending = None
        report = StreamOriginReport(group_streams(self._unreported))
        self._unreported = {}
        for name in self._list_other_readers():
            self._peers.send(name, report)

    def _receive_report(self, sender: str, report: StreamOriginReport) -> None:
        self._keeper.add(list_streams(report.groups))

    def _receive_query(self, sender: str, query: StreamOriginQuery) -> None:
        self._peers.tasks.start(f"origin-{sender}", self._answer(sender, query))

    async def _answer(self, sender: str, query: StreamOriginQuery) -> None:
        answer = await self._unknown_streams.find(query.id_hash, query.service)
        reply = StreamOriginReply(query.number, answer.is_final)
        if answer.origin is not None:
            reply = StreamOriginReply(
                query.number,
                answer.is_final,
                answer.origin.service,
                answer.origin.software,
            )
        self._peers.send(sender, reply)

    def _receive_reply(self, sender: str, reply: StreamOriginReply) -> None:
        future = self._replies.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)
