"""Test the invariants of a shard under arbitrary orders of events."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cornelnotch.queueing import Grant, PreemptionNotice, Refusal, create_shard
from cornelnotch.queueing.models import ClassConfig, ServerConfig, ShardConfig
from cornelnotch.wire.messages import (
    HeldPermit,
    HeldPermits,
    PermitAsk,
    PermitRelease,
)

TIERS = {"high": 1, "mid": 3, "low": 5}
OUTCOMES = ["done", "broken", "stalled", "cancelled", "unused", "unreachable"]


def create_rule(slots, leaving):
    return ShardConfig(
        "s",
        "tiered",
        "adaptive",
        True,
        2.0,
        100.0,
        {
            name: ClassConfig(name, tier, 300.0, None, 1000.0, 0.1)
            for name, tier in TIERS.items()
        },
        {
            f"e{n}": ServerConfig(f"e{n}", f"127.0.0.1:{n + 1}", slots, n in leaving)
            for n in range(3)
        },
        {},
    )


class ShardMachine(RuleBasedStateMachine):
    """Compare the shard with a model of the replies sent to callers."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.shard = create_shard(create_rule(2, set()))
        self.asked = {}
        self.granted = {}
        self.answered = set()

    def check_effects(self, effects):
        for effect in effects:
            name = effect.request_id
            if isinstance(effect, Grant):
                assert name in self.asked
                assert name not in self.answered or effect.reason == "repeated"
                self.granted[name] = effect.server
            elif isinstance(effect, Refusal):
                assert name not in self.granted
                assert name not in self.answered
                assert effect.retry_after_ms > 0
                self.answered.add(name)
                self.check_refusal(name, effect)
            else:
                assert isinstance(effect, PreemptionNotice)
                assert name in self.shard.running

    def check_refusal(self, name, refusal):
        if refusal.reason not in {"queue-full", "deadline"}:
            return
        tier = TIERS[name.partition("-")[0]]
        usable = [s for s in self.shard.servers.values() if s.count_free(self.now) > 0]
        healthy = all(
            not s.slow and not s.leaving and s.ejected_until_ms <= self.now
            for s in self.shard.servers.values()
        )
        if refusal.reason == "queue-full" and healthy and not usable:
            for row in refusal.occupancy:
                if row.tier > tier:
                    assert row.running <= row.floor_places, refusal

    @rule(name=st.sampled_from(sorted(TIERS)), deadline=st.floats(50, 20_000))
    def arrive(self, name, deadline):
        self.number += 1
        request_id = f"{name}-{self.number}"
        self.asked[request_id] = name
        ask = PermitAsk(
            request_id, "h", "s", name, TIERS[name], "w", "", 0.0, deadline, [], 0
        )
        self.check_effects(self.shard.request_permit(ask, self.now))

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def finish_request(self, data, outcome):
        if not self.granted:
            return
        name = data.draw(st.sampled_from(sorted(self.granted)))
        server = self.granted.pop(name)
        self.answered.add(name)
        message = PermitRelease(name, "s", server, outcome, 80.0, 20.0, 5.0, 10)
        self.check_effects(self.shard.finish_request(message, self.now))

    @rule(data=st.data())
    def cancel_request(self, data):
        unanswered = sorted(set(self.asked) - self.answered)
        if not unanswered:
            return
        name = data.draw(st.sampled_from(unanswered))
        self.granted.pop(name, None)
        self.answered.add(name)
        self.check_effects(self.shard.cancel_request(name, self.now))

    @rule(duration=st.floats(1, 60))
    def tick(self, duration):
        self.now += duration
        self.check_effects(self.shard.schedule(self.now))

    @rule(slots=st.integers(1, 4), leaving=st.sets(st.integers(0, 2), max_size=2))
    def configure(self, slots, leaving):
        self.shard.configure(create_rule(slots, leaving), frozenset())
        self.check_effects(self.shard.schedule(self.now))

    @rule(server=st.sampled_from(["e0", "e1"]), load=st.integers(0, 6))
    def report(self, server, load):
        self.check_effects(self.shard.apply_load_report(server, load, self.now))

    @rule()
    def report_held(self):
        self.now += 1500.0
        permits = [
            HeldPermit(n, s, self.asked[n], TIERS[self.asked[n]], "w")
            for n, s in self.granted.items()
        ]
        self.check_effects(
            self.shard.sync_held_permits(HeldPermits("h", "s", permits), self.now)
        )

    @invariant()
    def counts_match_running_requests(self):
        for server in self.shard.servers.values():
            mine = [r for r in self.shard.running.values() if r.server == server.name]
            assert server.busy == sum(1 for r in mine if not r.displaced)
            assert server.paused == sum(1 for r in mine if r.displaced)
        for name in TIERS:
            active = [
                r
                for r in self.shard.running.values()
                if r.class_name == name and not r.displaced
            ]
            assert self.shard._running_by_class.get(name, 0) == len(active)

    @invariant()
    def every_grant_is_known(self):
        assert set(self.granted) == set(self.shard.running)

    @invariant()
    def waiting_and_running_are_disjoint(self):
        waiting = {i.request_id for i in self.shard.discipline.list_waiting()}
        assert not waiting & set(self.shard.running)
        assert not waiting & self.answered


TestShardMachine = ShardMachine.TestCase
