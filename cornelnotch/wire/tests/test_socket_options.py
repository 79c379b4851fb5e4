"""Test that no socket has a time limit of its own; the program finds dead peers."""

import asyncio
import asyncio.selector_events
import socket
from typing import Any, cast

from cornelnotch.kernel import TaskSupervisor, create_event_log
from cornelnotch.web import HttpClient, HttpServer
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import AdmissionEnd

TRANSPORT = cast(Any, asyncio.selector_events)._SelectorSocketTransport


def collect_sockets(monkeypatch):
    """Return the list of all sockets that asyncio connects or accepts from now on."""
    found = []
    create = TRANSPORT.__init__

    def note(transport, loop, sock, *args, **options):
        found.append(sock)
        create(transport, loop, sock, *args, **options)

    monkeypatch.setattr(TRANSPORT, "__init__", note)
    return found


def list_options(sockets):
    """Return TCP_USER_TIMEOUT and SO_KEEPALIVE of all sockets."""
    return [
        (
            connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        )
        for connection in sockets
    ]


def test_sockets_of_callers_and_servers_have_no_time_limit(monkeypatch):
    sockets = collect_sockets(monkeypatch)

    async def answer(exchange):
        await exchange.respond_json(200, {})

    async def scenario():
        server, client = HttpServer(answer), HttpClient()
        await server.start("127.0.0.1", 0)
        await client.request(f"127.0.0.1:{server.port}", "GET", "/")
        options = list_options(sockets)
        client.close()
        await server.stop()
        return options

    assert asyncio.run(scenario()) == [(0, 0)] * 2


def test_sockets_between_hosts_have_no_time_limit(monkeypatch):
    sockets = collect_sockets(monkeypatch)

    async def start(name):
        events = create_event_log(name)
        network = PeerNetwork(name, 1, events, TaskSupervisor(events))
        await network.start("127.0.0.1", 0)
        return network

    async def scenario():
        sender, receiver = await start("a"), await start("b")
        received = asyncio.Event()
        receiver.subscribe(AdmissionEnd, lambda name, end: received.set())
        sender.set_address("b", f"127.0.0.1:{receiver.port}")
        sender.send("b", AdmissionEnd("r", "llm-1"))
        async with asyncio.timeout(2.0):
            await received.wait()
        options = list_options(sockets)
        for network in (sender, receiver):
            await network.stop()
            await network.tasks.stop()
        return options

    assert asyncio.run(scenario()) == [(0, 0)] * 2
