"""Put one host out of step with the others while servers of a new version join."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass

from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.relay import READING_DUTY
from cornelnotch.gateway.tests.conftest import wait_until
from cornelnotch.gateway.tests.versioned_hosts import (
    EVENT_MS,
    Answer,
    VersionedHosts,
)
from cornelnotch.kernel.hashing import rank_owners
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.web import HttpClient
from cornelnotch.wire.messages import RecordUpdates

HOSTS = 4
NEW_ENGINES = 2
KEPT_CONNECTIONS = 100
SETTINGS = """[host]
name = {name}
domain = north-a
region = north
[listen]
callers = {callers}
readiness = {readiness}
directory = {directory}
peers = {peers}
seeds = {seeds}
[store]
address = {store}
[bounds]
grace_s = 6
retry_extra = 100
[regions]
north-a = north
"""
# Before this time a caller does not come again after a 503.
RETRY_S = 0.4
MAX_TAKE_UPS = 8
READY_S = 15.0
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True)
class TakenUp:
    """A stream of the new version, and what its caller got at the host out of step."""

    begun: Answer
    answers: list[Answer]

    def is_joined(self):
        return any(answer.versions - self.begun.versions for answer in self.answers)

    def is_resumed(self):
        return self.answers[-1].is_whole(self.begun.numbers[-1] + 1)


class HostsOutOfStep(VersionedHosts):
    """Hosts that serve one version, of which one gets out of step in a release.

    `rank` is that of the host out of step among the readers of the store. With a
    `folder`, it runs as a process of its own.
    """

    def __init__(self, rank, folder=None):
        super().__init__(HOSTS, versions=("v1", "v1"))
        names = [f"host-{number + 1}" for number in range(HOSTS)]
        self.ranked = [names.index(n) for n in rank_owners(READING_DUTY, names)]
        self.victim = self.ranked[rank]
        self.folder = folder
        self.process = None
        self.taken_up = []
        self._takers = []
        self._kept = []

    async def start_hosts(self):
        if self.folder is None:
            await super().start_hosts()
            return
        everyone, self.settings_by_host = self.settings_by_host, []
        path = self.folder / "host.ini"
        own = everyone[self.victim]
        others = [s for s in everyone if s is not own]
        path.write_text(
            SETTINGS.format(
                name=own.host.name,
                callers=own.listen.callers,
                readiness=own.listen.readiness,
                directory=own.listen.directory,
                peers=own.listen.peers,
                seeds=others[0].listen.peers,
                store=self.store.address,
            )
        )
        with (self.folder / "host.log").open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cornelnotch.platform",
                env={**os.environ, "CORNELNOTCH_NODE_FILE": str(path)},
                stdout=output,
                stderr=output,
            )
        await self._wait_for_process(own)
        self.settings_by_host = others
        await super().start_hosts()
        self.hosts.insert(self.victim, None)
        self.settings_by_host.insert(self.victim, own)

    async def _wait_for_process(self, settings):
        client = HttpClient()

        async def is_ready():
            try:
                response = await client.request(
                    settings.listen.readiness, "GET", "/readyz"
                )
                await response.read()
            except Exception:
                return False
            return response.status == 200

        await wait_until(is_ready, READY_S)
        client.close()

    def cut_off(self, from_store):
        """Lose all messages to and from the host, and with `from_store` its calls."""
        host = self.hosts[self.victim]
        own = host.peers.name
        send, receive = host.peers.send, host.peers._receive
        host.peers.send = lambda name, m: send(name, m) if name == own else None
        host.peers._receive = lambda name, m: receive(name, m) if name == own else None
        if from_store:
            self._cut_off_from_store()

    def lose_records(self):
        """Lose the records, but no other messages to and from the host."""
        peers = self.hosts[self.victim].peers
        receive = peers._receive
        peers._receive = lambda name, message: (
            None if isinstance(message, RecordUpdates) else receive(name, message)
        )
        self._cut_off_from_store()

    def _cut_off_from_store(self):
        store = self.hosts[self.victim].follower._source
        for name in ("read_newest", "read_from", "read_origins", "append_origins"):
            setattr(store, name, self._fail)

    def reconnect(self):
        host = self.hosts[self.victim]
        store = host.follower._source
        for name in ("send", "_receive"):
            host.peers.__dict__.pop(name, None)
        for name in ("read_newest", "read_from", "read_origins", "append_origins"):
            store.__dict__.pop(name, None)

    @staticmethod
    async def _fail(*arguments):
        raise LogUnavailableError("cut off", "connect the host again")

    async def keep_connections(self):
        """Open connections on which callers send their next requests to the host.

        A host that has stood still reads them along with messages of other hosts.
        """
        connections = [self.connect(self.victim) for _ in range(KEPT_CONNECTIONS)]
        self._kept = await asyncio.gather(*connections)

    async def connect(self, host):
        if host == self.victim and self._kept:
            return self._kept.pop()
        return await super().connect(host)

    def stop_process(self):
        self._send_signal(signal.SIGSTOP)

    def continue_process(self):
        self._send_signal(signal.SIGCONT)

    def _send_signal(self, number):
        assert self.process is not None
        self.process.send_signal(number)

    async def release(self):
        """Start servers of the new version and list them."""
        for _ in range(NEW_ENGINES):
            engine = UpstreamStandin(
                f"llm-{len(self.engines)}",
                events=self.engines[0].events,
                software="v2",
            )
            engine.faults.event_ms = EVENT_MS
            engine.boot_ms = 1
            self.engines.append(engine)
            await engine.start()
            self.list_engine(engine)

    async def lose_host(self, rank):
        """Stop a host at once; it is not used by callers any more."""
        host = self.hosts[self.ranked[rank]]
        await host.tasks.stop()
        await host.stop()

    def start_streams(self, via):
        """Begin streams at a host, and take those of v2 up at the host out of step."""
        self._takers += [asyncio.create_task(self._play_caller(via)) for _ in range(3)]

    async def _play_caller(self, via):
        request_id, begun = await self.begin(via)
        if begun.versions != {"v2"}:
            return
        taken_up = TakenUp(begun, [])
        while len(taken_up.answers) < MAX_TAKE_UPS:
            answer = await self.resume(self.victim, request_id, begun)
            taken_up.answers.append(answer)
            if answer.status not in {0, STATUS_UNAVAILABLE}:
                break
            await asyncio.sleep(RETRY_S)
        self.taken_up.append(taken_up)

    async def wait_for_callers(self):
        await asyncio.gather(*self._takers)

    async def stop(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
            self.hosts = [host for host in self.hosts if host is not None]
        for _, writer in self._kept:
            writer.transport.abort()
        await super().stop()
