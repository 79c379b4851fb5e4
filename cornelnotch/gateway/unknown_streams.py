"""Find out whether a stream that a host does not know can have one origin only."""

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.follower import SERVERS
from cornelnotch.gateway.origin_keeper import OriginKeeper
from cornelnotch.gateway.record_reads import RecordReads
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.gateway.stream_origins import OriginAnswer, StreamOrigin

__all__ = ["READ_TIMEOUT_MS", "UnknownStreams"]

# Readers of the store read the servers' records within this time.
READ_TIMEOUT_MS = 1200.0
# The report of a stream that has begun arrives within this time: its delay while
# several versions serve, and one way between regions.
REPORT_TIMEOUT_MS = 120.0


class UnknownStreams:
    """Decide about streams that this host does not know.

    Such a stream may have begun at a server of which this host has not heard, until the
    host has read what the store had when the stream was taken up.
    """

    def __init__(
        self,
        context: GatewayContext,
        plan: RelayPlan,
        keeper: OriginKeeper,
        reads: RecordReads,
    ) -> None:
        self._context = context
        self._plan = plan
        self._keeper = keeper
        self._reads = reads

    async def find(self, id_hash: int, service: str) -> OriginAnswer:
        """Return the origin of a stream that is taken up now, as far as it is known."""
        asked_ms = self._context.clock.read()
        if self._context.origins.find(id_hash) is None:
            if self.may_decide(service):
                await self._reads.wait(asked_ms, READ_TIMEOUT_MS)
            else:
                await self._context.clock.sleep(REPORT_TIMEOUT_MS)
        is_final = self._keeper.is_loaded() and not self._is_stale()
        origin = self._context.origins.find(id_hash)
        if origin is not None:
            return OriginAnswer(origin, is_final)
        origin = self._find_only(service, asked_ms)
        is_undecided = origin is None and self.may_decide(service)
        return OriginAnswer(origin, is_final and not is_undecided)

    def may_decide(self, service: str) -> bool:
        """Return whether a read of the records may show that there is one version."""
        if not self._is_reading():
            return False
        self._keeper.observe()
        since_ms = self._context.find_first_stream_ms()
        seen = self._context.software_history.find_only_seen(service, since_ms)
        return seen is not None

    def _is_reading(self) -> bool:
        now = self._context.clock.read()
        return self._plan.must_read(SERVERS, now)

    def _is_stale(self) -> bool:
        return self._plan.is_stale(SERVERS, self._context.clock.read())

    def _find_only(self, service: str, asked_ms: float) -> StreamOrigin | None:
        if self._is_stale():
            return None
        self._keeper.observe()
        since_ms = self._context.find_first_stream_ms()
        history = self._context.software_history
        return history.find_only(service, since_ms, asked_ms)
