"""Choose the server of a request; pure, without sockets or clocks."""

from collections.abc import Collection
from dataclasses import dataclass, replace

from cornelnotch.gateway.engines import find_reading_budget
from cornelnotch.gateway.loads import LoadSums, add_uses
from cornelnotch.gateway.models import CallerRequest, Route, WorkKind
from cornelnotch.gateway.paces import PaceBook
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.hashing import rank_owners
from cornelnotch.wire.messages import EnginePace, ServerUse

__all__ = ["Placement", "PlacementNeed", "Placer"]

# Reading shared parts again takes capacity from all that wait at the server.
REREAD_WEIGHT = 6.0
# Round trips beyond the failure domain and beyond the region.
DOMAIN_COST_MS = 2.0
REGION_COST_MS = 70.0
# A batch that is full slows each of its streams, as this much waiting would.
FULL_BATCH_COST_MS = 500.0
CALL_COST_MS = 20.0
# About the time that a request holds a slot; a full engine frees one each time that is
# shorter by as many times as it has slots.
HELD_SLOT_MS = 2500.0
# What a failure in a row weighs, and how many count.
FAILURE_COST_MS = 700.0
MAX_FAILURES = 4
# What it costs tight streams when a prompt fills a whole pause.
INTRUSION_COST_MS = 3000.0
# Prompts that take this share of what may be read within a pause leave room for others.
HARMLESS_SHARE = 1.0 / 3.0
# A tight stream beside long prompts may be late.
OUTSIDE_COST_MS = 250.0
# Turns let short prompts overtake long ones. Of the tokens that wait at the same
# priority a prompt as long as the others counts this share, a shorter one less, but
# never less than the second. Counting all moves prompts away from engines that cache
# their parts: 29.3 instead of 24.2 million tokens read in a simulated overload.
EQUAL_SHARE = 0.7
MIN_SHARE = 0.1
# Loads of other hosts are known this late, so that a smaller gain may be none.
MOVE_COST_MS = 250.0
# Shared parts that are read again sooner than this are not worth a detour.
WORTHWHILE_MS = 14.0


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the choice of a server and what spoke for it.

    `source` is a server that probably caches parts which the chosen one lacks.
    """

    server: ServerView
    cost_ms: float
    prefill_tokens: int
    candidates: int
    source: ServerView | None = None


@dataclass(frozen=True, slots=True)
class PlacementNeed:
    """Hold what a request needs beside its route and prompt.

    `reserved` names the engines kept for `tight` streams, whose pauses must not be
    longer than `tight_gap_ms`. `current` names the server at which it waits, if any.
    """

    priority: int
    excluded: Collection[str]
    tight: bool = False
    reserved: frozenset[str] = frozenset()
    tight_gap_ms: float = 0.0
    current: str = ""


class Placer:
    """Weigh the servers of a service for one host."""

    def __init__(
        self, domain: str, regions: dict[str, str], paces: PaceBook | None = None
    ) -> None:
        self.sums = LoadSums({})
        self._paces = paces or PaceBook()
        self._domain = domain
        self._regions = regions

    def choose(
        self,
        servers: list[ServerView],
        route: Route,
        request: CallerRequest,
        need: PlacementNeed,
        now: float,
    ) -> Placement | None:
        """Return the cheapest server, or None when there is none."""
        candidates = [s for s in servers if s.record.name not in need.excluded]
        if not candidates:
            return None
        usual = [s for s in candidates if s.record.name not in need.reserved]
        owner = self._find_owner(usual or candidates, request)
        best: Placement | None = None
        for server in candidates:
            prefill = self._count_prefill(server, request, server is owner)
            pace = self._find_pace(server)
            cost = self._weigh(server, route, need.priority, prefill, pace, now)
            cost += self._weigh_prefill(request, prefill, pace)
            cost += self._weigh_pauses(server, need, prefill, pace)
            if server.record.name == need.current:
                cost -= MOVE_COST_MS
            if best is None or cost < best.cost_ms:
                best = Placement(server, cost, prefill, len(candidates))
        if best is None:
            return best
        source = self._find_source(best.server, servers, request, now)
        return replace(best, source=source)

    def measure_use(self, server: ServerView, now: float) -> ServerUse:
        """Return what this host and, as far as is known, others have at a server."""
        own = server.measure_use(now)
        others = self.sums.find(server.record.name, now)
        return own if others is None else add_uses(own, others)

    def _find_source(
        self,
        chosen: ServerView,
        servers: list[ServerView],
        request: CallerRequest,
        now: float,
    ) -> ServerView | None:
        """Return a server to fetch shared parts from, if the chosen one lacks them."""
        shared = request.prompt[:-1]
        tokens = sum(part.tokens for part in shared)
        pace = self._find_pace(chosen)
        if tokens < WORTHWHILE_MS * pace.read_rate or shared[-1].name in chosen.parts:
            return None
        others = [s for s in servers if s is not chosen and not s.failures]
        holders = [s for s in others if shared[-1].name in s.parts]
        if holders:
            return max(holders, key=lambda s: s.parts[shared[-1].name])
        return self._find_owner(others, request) if others else None

    def _find_pace(self, server: ServerView) -> EnginePace:
        return self._paces.find(server.record.name, server.record.service)

    def _find_owner(
        self, candidates: list[ServerView], request: CallerRequest
    ) -> ServerView | None:
        """Return the server that all hosts prefer for the request's shared parts."""
        shared = request.prompt[:-1]
        usual = self._paces.find_usual(candidates[0].record.service)
        if sum(part.tokens for part in shared) < WORTHWHILE_MS * usual.read_rate:
            return None
        names = {server.record.name: server for server in candidates}
        return names[rank_owners(shared[-1].name, names)[0]]

    @staticmethod
    def _count_prefill(server: ServerView, request: CallerRequest, owner: bool) -> int:
        """Return the prompt tokens that the server probably has to read."""
        cached = 0
        for part in request.prompt[:-1]:
            if not owner and part.name not in server.parts:
                break
            cached += part.tokens
        return max(request.prompt_tokens - cached, 0)

    def _weigh(
        self,
        server: ServerView,
        route: Route,
        priority: int,
        prefill: int,
        pace: EnginePace,
        now: float,
    ) -> float:
        cost = self._weigh_distance(server.record.domain)
        use = self.measure_use(server, now)
        if route.kind is not WorkKind.STREAM:
            cost += FAILURE_COST_MS * min(use.failures, MAX_FAILURES)
            return cost + CALL_COST_MS * (use.running + use.waiting)
        cost += self._count_ahead(use, priority, prefill) / pace.read_rate
        cost += FULL_BATCH_COST_MS * use.running / server.record.slots
        cost += FAILURE_COST_MS * min(use.failures, MAX_FAILURES)
        over = use.running + use.waiting + 1 - server.record.slots
        return cost + HELD_SLOT_MS / server.record.slots * max(over, 0)

    @staticmethod
    def _count_ahead(use: ServerUse, priority: int, prefill: int) -> float:
        """Return the waiting tokens that are likely read before a prompt's own."""
        mean = max(sum(use.backlog) / max(use.waiting, 1), 1.0)
        share = min(max(EQUAL_SHARE * prefill / mean, MIN_SHARE), 1.0)
        equals = sum(use.backlog[priority : priority + 1])
        return use.sent + sum(use.backlog[:priority]) + share * equals

    @staticmethod
    def _weigh_prefill(request: CallerRequest, prefill: int, pace: EnginePace) -> float:
        own = request.prompt[-1].tokens if request.prompt else prefill
        again = max(prefill - own, 0)
        return (prefill + again * REREAD_WEIGHT) / pace.read_rate

    @staticmethod
    def _weigh_pauses(
        server: ServerView, need: PlacementNeed, prefill: int, pace: EnginePace
    ) -> float:
        """Return what pauses of streams cost beside long prompts."""
        if not need.reserved:
            return 0.0
        kept = server.record.name in need.reserved
        if need.tight:
            return 0.0 if kept else OUTSIDE_COST_MS
        if not kept:
            return 0.0
        used = prefill / find_reading_budget(pace, need.tight_gap_ms)
        harm = (used - HARMLESS_SHARE) / (1.0 - HARMLESS_SHARE)
        return INTRUSION_COST_MS * min(max(harm, 0.0), 1.0)

    def _weigh_distance(self, domain: str) -> float:
        if domain == self._domain:
            return 0.0
        if self._regions.get(domain) == self._regions.get(self._domain):
            return DOMAIN_COST_MS
        return REGION_COST_MS
