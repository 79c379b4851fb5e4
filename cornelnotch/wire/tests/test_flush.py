"""Test the connections between hosts."""

import asyncio

from cornelnotch.kernel import TaskSupervisor, create_event_log
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import AdmissionEnd


async def start_network(name):
    events = create_event_log(name)
    tasks = TaskSupervisor(events)
    network = PeerNetwork(name, 1, events, tasks)
    await network.start("127.0.0.1", 0)
    return network


async def stop_network(network):
    await network.stop()
    await network.tasks.stop()


def test_messages_queued_when_a_host_stops_reach_their_receiver():
    async def scenario():
        sender, receiver = await start_network("a"), await start_network("b")
        received = []
        receiver.subscribe(AdmissionEnd, lambda name, end: received.append(end))
        sender.set_address("b", f"127.0.0.1:{receiver.port}")
        for number in range(100):
            sender.send("b", AdmissionEnd(f"r{number}", "llm-1", None))
        await sender.flush(1.0)
        await stop_network(sender)
        async with asyncio.timeout(1.0):
            while len(received) < 100:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await stop_network(receiver)

    asyncio.run(scenario())


def test_flush_ends_within_its_timeout_beside_an_unreachable_host(monkeypatch):
    async def wait_for_ever(connection):
        await asyncio.Event().wait()

    monkeypatch.setattr("cornelnotch.wire.peers.PeerConnection._connect", wait_for_ever)

    async def scenario():
        sender = await start_network("a")
        sender.send("b", AdmissionEnd("r", "llm-1", None))
        async with asyncio.timeout(0.5):
            await sender.flush(0.1)
        await stop_network(sender)

    asyncio.run(scenario())
