"""Check what a keeper tells hosts and what it forgets."""

import asyncio
import inspect

import pytest

from cornelnotch.gateway.models import PromptPart, ServerRecord
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.wire.messages import (
    StreamProgress,
    TurnAsk,
    TurnEnd,
    TurnGrant,
    TurnWait,
)

THING = [PromptPart("thing", 40_000)]


class Keeper:
    """Hold a host's keeper and what it sends to other hosts."""

    def __init__(self, host):
        self.host = host
        self.sent: list[tuple[str, object]] = []
        host.peers.send = lambda name, message: self.sent.append((name, message))

    def list_engine(self, name="engine", boot_ms=1):
        record = ServerRecord(name, "llm", "10.0.0.1:80", "north-a", 64, False, boot_ms)
        pool = self.host.parts.pool
        pool.replace([record, *(v.record for v in pool.servers.values())])

    def ask(self, name, sender="h2", own=1000, server="engine", shared=THING):
        self.sent.clear()
        message = TurnAsk(name, server, 1, shared, own, 0.0, "waiting")
        self.host.peers._receive(sender, message)
        return self.sent[-1] if self.sent else None

    def list_grants(self):
        messages = [message for _, message in self.sent]
        return [m.request_id for m in messages if isinstance(m, TurnGrant)]

    def end(self, name, server="engine"):
        self.host.peers._receive("h2", TurnEnd(name, server))


def play(scenario):
    async def run():
        async with run_deployment() as deployment:
            played = scenario(Keeper(deployment.host))
            if inspect.isawaitable(played):
                await played

    asyncio.run(run())


def test_a_grant_that_was_lost_is_sent_again():
    def scenario(keeper):
        first = keeper.ask("a")
        assert first == ("h2", TurnGrant("a", "engine", 41_000))
        assert keeper.ask("a") == first

    play(scenario)


def test_who_waits_hears_how_much_is_to_be_read():
    def scenario(keeper):
        keeper.ask("a")
        name, wait = keeper.ask("b", "h3")
        assert name == "h3"
        assert isinstance(wait, TurnWait)
        assert wait.unread == 1000
        assert wait.wait_ms > 0

    play(scenario)


def test_an_engine_that_started_anew_caches_nothing():
    def scenario(keeper):
        keeper.list_engine(boot_ms=1)
        keeper.ask("a")
        keeper.end("a")
        assert keeper.ask("b")[1].unread == 1000
        keeper.end("b")
        keeper.host.parts.pool.replace([])
        assert keeper.ask("c")[1].unread == 1000
        keeper.end("c")
        keeper.list_engine(boot_ms=2)
        assert keeper.ask("d")[1].unread == 41_000

    play(scenario)


def test_engines_that_are_gone_are_forgotten():
    def scenario(keeper):
        for number in range(50):
            keeper.ask("a", server=f"gone-{number}")
            keeper.end("a", server=f"gone-{number}")
        assert len(keeper.host.keeper._desks) <= 2

    play(scenario)


def test_who_waits_is_granted_when_the_engine_has_had_time_to_read():
    async def scenario(keeper):
        keeper.ask("a", own=9000, shared=[])
        keeper.ask("b", own=9000, shared=[])
        assert not keeper.list_grants()
        await wait_until(lambda: keeper.list_grants() == ["b"], 2.0)

    play(scenario)


def test_who_waits_is_granted_at_once_when_another_ends():
    def scenario(keeper):
        keeper.ask("a", own=90_000, shared=[])
        keeper.ask("b", own=9000, shared=[])
        assert not keeper.list_grants()
        keeper.end("a")
        assert keeper.list_grants() == ["b"]

    play(scenario)


def test_progress_that_is_told_with_an_ask_is_learned_from():
    def scenario(keeper):
        keeper.list_engine()
        keeper.ask("a")
        progress = StreamProgress(100, 1000.0, 20.0)
        begun = TurnAsk("a", "engine", 1, THING, 1000, 0.0, "begun", 250.0, progress)
        keeper.host.peers._receive("h2", begun)
        (pace,) = keeper.host.keeper.list_paces()
        assert pace.event_ms == pytest.approx(10.0, rel=0.1)

    play(scenario)
