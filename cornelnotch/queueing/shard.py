"""Schedule the requests of one shard.

Each event returns its effects, which the caller carries out; this module does no I/O.
"""

import itertools

from cornelnotch.balancing.balancers import Balancer
from cornelnotch.balancing.servers import ServerState, is_straggler
from cornelnotch.kernel import create_plugin
from cornelnotch.queueing.descriptions import describe_occupancy
from cornelnotch.queueing.disciplines import Discipline, QueueChoice
from cornelnotch.queueing.displacement import choose_displaced, list_resumable
from cornelnotch.queueing.estimates import DurationEstimator, Estimate
from cornelnotch.queueing.limits import WorkspaceLimiter
from cornelnotch.queueing.models import (
    Effect,
    Grant,
    PreemptionNotice,
    QueuedRequest,
    Refusal,
    RunningRequest,
    ShardConfig,
)
from cornelnotch.wire.messages import (
    HeldPermits,
    PermitAsk,
    PermitRelease,
)

__all__ = ["Shard", "create_shard"]

DISPLACE_MARGIN_MS = 60.0
MIN_RETRY_MS = 100.0
MAX_RETRY_MS = 30_000.0
MIN_QUEUE_PLACES = 16
FAILED_OUTCOMES = frozenset({"unreachable", "broken", "stalled", "mismatched"})
HELD_GRACE_MS = 1000.0
DURATION_GAIN = 0.05


class Shard:
    """Queue, running requests and servers of one shard."""

    def __init__(
        self, rule: ShardConfig, discipline: Discipline, balancer: Balancer
    ) -> None:
        self.rule = rule
        self.servers: dict[str, ServerState] = {}
        self.running: dict[str, RunningRequest] = {}
        self.discipline = discipline
        self.durations = DurationEstimator(rule.expected_ms)
        self.first_token_durations = DurationEstimator(rule.expected_ms / 4)
        self._balancer = balancer
        self._limiter = WorkspaceLimiter()
        self._sequence = itertools.count()
        self._running_by_class: dict[str, int] = {}
        self._displaced: dict[str, RunningRequest] = {}
        self._leaving: frozenset[str] = frozenset()
        self._mean_duration_ms = rule.expected_ms
        self._slots = 0
        self.configure(rule, frozenset())

    def configure(self, rule: ShardConfig, leaving: frozenset[str]) -> None:
        """Apply a configuration and the servers that the platform lists as leaving."""
        self.rule = rule
        self._leaving = leaving
        for name, server_rule in rule.servers.items():
            server = self.servers.get(name)
            if server is None or server.address != server_rule.address:
                server = ServerState(name, server_rule.address, server_rule.slots)
                self.servers[name] = server
                self._recount_running(server)
            server.slots = server_rule.slots
            server.leaving = server_rule.leaving or name in leaving
        for name in [n for n in self.servers if n not in rule.servers]:
            del self.servers[name]
        self._slots = self.count_slots()
        places = self.find_queue_capacity()
        self.discipline.configure(rule.classes, self._slots, places)
        self._limiter.configure(rule.workspaces)

    def _recount_running(self, server: ServerState) -> None:
        held = [r for r in self.running.values() if r.server == server.name]
        server.busy = sum(1 for r in held if not r.displaced)
        server.paused = len(held) - server.busy

    def count_slots(self) -> int:
        """Return the total slots of the servers that accept requests."""
        return sum(s.slots for s in self.servers.values() if not s.leaving)

    def find_queue_capacity(self) -> int:
        """Return the capacity of the queue."""
        return max(MIN_QUEUE_PLACES, int(self._slots * self.rule.queue_per_slot))

    def request_permit(self, ask: PermitAsk, now: float) -> list[Effect]:
        """Queue, grant or refuse a request."""
        known = self.running.get(ask.request_id)
        if known is not None:
            # A repeated request means that the grant was lost in transit.
            return [self._repeat_grant(known, now)]
        if self.discipline.find(ask.request_id) is not None:
            return []
        item = self._create_waiting(ask, now)
        refusal = self._check_admission(item, now)
        if refusal is not None:
            return [refusal]
        effects: list[Effect] = []
        if self._is_full_for(item):
            effects += self.schedule(now)
        if self._is_full_for(item):
            effects += self._make_room(item, now)
            if any(e.request_id == item.request_id for e in effects):
                return effects
        self.discipline.add(item, now)
        return effects + self.schedule(now)

    def _is_full_for(self, item: QueuedRequest) -> bool:
        full = self.discipline.size() >= self.find_queue_capacity()
        return full and not self.discipline.has_reserved_queue_place(item)

    def _create_waiting(self, ask: PermitAsk, now: float) -> QueuedRequest:
        arrived = now - ask.waited_ms
        rule = self.rule.classes.get(ask.class_name)
        duration = self.durations.find(ask.class_name, ask.workspace)
        first = self.first_token_durations.find(ask.class_name, ask.workspace)
        deadline_start_ms = self._compute_deadline_start(
            now, now + ask.deadline_in_ms, duration
        )
        target_start_ms = deadline_start_ms
        if rule is not None and rule.whole_ms is not None:
            target_start_ms = min(
                target_start_ms, arrived + rule.whole_ms - duration.mean
            )
        if rule is not None and rule.first_token_ms is not None:
            margin = first.mean + first.deviation
            target_start_ms = min(
                target_start_ms, arrived + rule.first_token_ms - margin
            )
        return QueuedRequest(
            ask.request_id,
            ask.holder,
            ask.class_name,
            ask.tier,
            ask.workspace,
            ask.affinity,
            arrived,
            target_start_ms,
            deadline_start_ms,
            next(self._sequence),
            frozenset(ask.excluded),
        )

    @staticmethod
    def _compute_deadline_start(
        now: float, deadline_ms: float, duration: Estimate
    ) -> float:
        """Return the latest start at which the request is likely to complete.

        The estimated duration is the mean plus one deviation. If a new request
        cannot meet its deadline by that estimate, the mean less two deviations
        applies, so that it is not refused at once. A request that waited until
        it no longer fits gets no such allowance, since most of these would
        exceed their deadline.
        """
        likely = deadline_ms - duration.mean - duration.deviation
        return likely if likely > now else deadline_ms - duration.low

    def _check_admission(self, item: QueuedRequest, now: float) -> Refusal | None:
        if item.class_name not in self.rule.classes:
            return self._refuse(item, "configuration-behind", MIN_RETRY_MS)
        if not any(not s.leaving for s in self.servers.values()):
            return self._refuse(item, "no-server", MAX_RETRY_MS / 30)
        if item.deadline_start_ms < now:
            return self._refuse(
                item, "deadline", self.estimate_retry_ms(item.tier, now)
            )
        retry_ms = self._limiter.check(item.workspace, self.count_workspace, now)
        if retry_ms is not None:
            return self._refuse(item, "workspace-limit", retry_ms)
        return None

    def count_workspace(self, workspace: str) -> int:
        """Return the number of running and queued requests of a workspace."""
        running = sum(1 for r in self.running.values() if r.workspace == workspace)
        waiting = sum(
            1 for w in self.discipline.list_waiting() if w.workspace == workspace
        )
        return running + waiting

    def _make_room(self, item: QueuedRequest, now: float) -> list[Effect]:
        """Grant the lowest-ranked request a lower tier's slot, or refuse it."""
        victim = self.discipline.choose_victim(item)
        displacement = self._displace(victim, now)
        if displacement:
            return displacement
        self.discipline.remove(victim.request_id)
        return [
            self._refuse(victim, "queue-full", self._estimate_retry_ms(victim, now))
        ]

    def cancel_request(self, request_id: str, now: float) -> list[Effect]:
        """Remove a queued or running request that its host cancelled."""
        self.discipline.remove(request_id)
        if request_id in self.running:
            self._release(request_id, now)
        return self.schedule(now)

    def record_first_token(
        self, request_id: str, elapsed_ms: float, now: float
    ) -> list[Effect]:
        """Record the time that a server took to its first token."""
        running = self.running.get(request_id)
        if running is None or running.first_token_seen:
            return []
        running.first_token_seen = True
        self.first_token_durations.update(
            running.class_name, running.workspace, elapsed_ms
        )
        server = self.servers.get(running.server)
        if server is not None and not running.displaced:
            server.first_token.update(elapsed_ms)
            self._update_slow(server)
        return []

    def finish_request(self, finish: PermitRelease, now: float) -> list[Effect]:
        """Release a permit and update statistics from its holder's report."""
        running = self.running.get(finish.request_id)
        if running is None or running.server != finish.server:
            return []
        server = self.servers.get(finish.server)
        if server is not None:
            self._update_statistics(server, running, finish, now)
        self._release(finish.request_id, now)
        return self.schedule(now)

    def _update_statistics(
        self,
        server: ServerState,
        running: RunningRequest,
        finish: PermitRelease,
        now: float,
    ) -> None:
        if finish.outcome in FAILED_OUTCOMES:
            server.record_failure(now)
        elif finish.outcome == "done":
            server.record_success()
            self.durations.update(
                running.class_name, running.workspace, finish.elapsed_ms
            )
            self._mean_duration_ms += DURATION_GAIN * (
                finish.elapsed_ms - self._mean_duration_ms
            )
            if finish.between_tokens_ms > 0 and not running.displaced:
                server.between_tokens.update(finish.between_tokens_ms)
            self._update_slow(server)

    def _update_slow(self, server: ServerState) -> None:
        server.slow = is_straggler(server, list(self.servers.values()))

    def sync_held_permits(self, held: HeldPermits, now: float) -> list[Effect]:
        """Add the permits that a host reports and release those it no longer holds.

        Permits granted within the last HELD_GRACE_MS are not released.
        """
        names = {permit.request_id for permit in held.permits}
        for running in list(self.running.values()):
            old = now - running.granted_ms > HELD_GRACE_MS
            if (
                running.holder == held.holder
                and old
                and running.request_id not in names
            ):
                self._release(running.request_id, now)
        for permit in held.permits:
            if permit.request_id in self.running:
                continue
            self._add_running(
                RunningRequest(
                    permit.request_id,
                    held.holder,
                    permit.class_name,
                    permit.tier,
                    permit.workspace,
                    permit.server,
                    now,
                    next(self._sequence),
                ),
                now,
            )
        return self.schedule(now)

    def release_holder(self, holder: str, now: float) -> list[Effect]:
        """Remove all queued and running requests of a host that is no longer alive."""
        for running in list(self.running.values()):
            if running.holder == holder:
                self._release(running.request_id, now)
        for item in list(self.discipline.list_waiting()):
            if item.holder == holder:
                self.discipline.remove(item.request_id)
        return self.schedule(now)

    def apply_load_report(self, server: str, reported: int, now: float) -> list[Effect]:
        """Update a server's external load from its own delayed report."""
        state = self.servers.get(server)
        if state is None:
            return []
        state.apply_load_report(reported, now)
        return self.schedule(now)

    def schedule(self, now: float) -> list[Effect]:
        """Refuse expired requests and grant all free slots."""
        effects: list[Effect] = []
        effects += self._displace_for_urgent(now)
        for item in self.discipline.expire(now):
            effects.append(
                self._refuse(item, "deadline", self._estimate_retry_ms(item, now))
            )
        while True:
            choice = self.discipline.choose(
                now, self._running_by_class, self.estimate_place_wait_ms()
            )
            resumed = self._choose_resumed(choice, now)
            if resumed is not None:
                effects.append(self._resume(resumed, now))
                continue
            if choice is None:
                break
            server = self._choose_server(choice, now)
            if server is None and choice.by_floor:
                choice = self.discipline.choose(
                    now, self._running_by_class, 0.0, floors=False
                )
                server = self._choose_server(choice, now) if choice else None
            if server is None or choice is None:
                break
            effects.append(self._grant(choice.item, server, choice.reason, now))
        effects += self._displace_for_urgent(now)
        return effects

    def _choose_server(self, choice: QueueChoice, now: float) -> ServerState | None:
        # A floor slot on a straggler would prolong the wait of its class.
        servers = [s for s in self.servers.values() if not (choice.by_floor and s.slow)]
        return self._balancer.choose(servers, choice.item, now)

    def _displace_for_urgent(self, now: float) -> list[Effect]:
        """Displace lower tiers in favour of requests that must start now."""
        effects: list[Effect] = []
        if not self.rule.preemptible:
            return effects
        progress = True
        while progress:
            progress = False
            for item in self.discipline.list_urgent(now, DISPLACE_MARGIN_MS):
                if item.deadline_start_ms < now:
                    continue
                displacement = self._displace(item, now)
                if displacement:
                    effects += displacement
                    progress = True
                    break
        return effects

    def _displace(self, item: QueuedRequest, now: float) -> list[Effect]:
        """Grant `item` the slot of the newest lowest-tier request outside its floor."""
        if not self.rule.preemptible:
            return []
        victim = self._choose_victim(item, now)
        if victim is None:
            return []
        victim.displaced = True
        victim.displaced_ms = now
        self._displaced[victim.request_id] = victim
        self._running_by_class[victim.class_name] -= 1
        server = self.servers[victim.server]
        server.busy -= 1
        server.paused += 1
        grant = self._grant(item, server, "displaced-lower-tier", now)
        return [PreemptionNotice(victim.request_id, victim.holder, True), grant]

    def _choose_victim(self, item: QueuedRequest, now: float) -> RunningRequest | None:
        return choose_displaced(
            item,
            self.running.values(),
            self._running_by_class,
            self.discipline.get_floor_places,
            self.servers,
            now,
        )

    def _grant(
        self, item: QueuedRequest, server: ServerState, reason: str, now: float
    ) -> Grant:
        self.discipline.remove(item.request_id)
        self.discipline.record_service(item.class_name, now)
        running = RunningRequest(
            item.request_id,
            item.holder,
            item.class_name,
            item.tier,
            item.workspace,
            server.name,
            now,
            next(self._sequence),
        )
        self._add_running(running, now)
        if item.affinity:
            server.add_affinity(item.affinity)
        return Grant(
            item.request_id,
            item.holder,
            server.name,
            server.address,
            now - item.arrived_ms,
            reason,
        )

    def _repeat_grant(self, running: RunningRequest, now: float) -> Effect:
        server = self.servers.get(running.server)
        address = server.address if server else ""
        queued_ms = now - running.granted_ms
        return Grant(
            running.request_id,
            running.holder,
            running.server,
            address,
            queued_ms,
            "repeated",
        )

    def _add_running(self, running: RunningRequest, now: float) -> None:
        self.running[running.request_id] = running
        name = running.class_name
        self._running_by_class[name] = self._running_by_class.get(name, 0) + 1
        server = self.servers.get(running.server)
        if server is not None:
            server.busy += 1
            server.record_busy(now)
            server.schedule_probe(now)

    def _release(self, request_id: str, now: float) -> None:
        running = self.running.pop(request_id)
        server = self.servers.get(running.server)
        if running.displaced:
            del self._displaced[request_id]
            if server is not None:
                server.paused -= 1
            return
        self._running_by_class[running.class_name] -= 1
        if server is None:
            return
        server.busy -= 1
        server.record_busy(now)

    def _choose_resumed(
        self, choice: QueueChoice | None, now: float
    ) -> RunningRequest | None:
        """Return the displaced request that takes precedence over `choice`."""
        if not self._displaced:
            return None
        place_ms = self.estimate_place_wait_ms()
        for running in list_resumable(self._displaced.values(), self.servers):
            if choice is None or running.tier <= choice.item.tier:
                return running
            if self.discipline.can_resume_within_floor(
                running, now, self._running_by_class, place_ms
            ):
                return running
        return None

    def _resume(self, running: RunningRequest, now: float) -> Effect:
        running.displaced = False
        del self._displaced[running.request_id]
        server = self.servers[running.server]
        server.busy += 1
        server.paused -= 1
        server.record_busy(now)
        name = running.class_name
        self._running_by_class[name] = self._running_by_class.get(name, 0) + 1
        self.discipline.record_service(name, now)
        return PreemptionNotice(running.request_id, running.holder, False)

    def estimate_place_wait_ms(self) -> float:
        """Return the expected ms until a slot becomes free."""
        return self._mean_duration_ms / max(self._slots, 1)

    def estimate_retry_ms(self, tier: int, now: float) -> float:
        """Return the expected ms until a refused request of `tier` finds a slot."""
        ahead = sum(1 for w in self.discipline.list_waiting() if w.tier <= tier)
        expected = self.estimate_place_wait_ms() * (ahead + 1)
        return min(max(expected, MIN_RETRY_MS), MAX_RETRY_MS)

    def estimate_backlog_ms(self) -> float:
        """Return the expected ms to serve the queue, for the choice between shards."""
        return self.estimate_place_wait_ms() * self.discipline.size()

    def _estimate_retry_ms(self, item: QueuedRequest, now: float) -> float:
        return self.estimate_retry_ms(item.tier, now)

    def _refuse(
        self, item: QueuedRequest, reason: str, retry_after_ms: float
    ) -> Refusal:
        return Refusal(
            item.request_id,
            item.holder,
            reason,
            retry_after_ms,
            describe_occupancy(self.running.values(), self.discipline),
        )


def create_shard(rule: ShardConfig) -> Shard:
    """Return an empty shard with the discipline and balancer that `rule` names."""
    discipline = create_plugin("discipline", rule.discipline)
    balancer = create_plugin("balancer", rule.balancer)
    return Shard(rule, discipline, balancer)
