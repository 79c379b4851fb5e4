"""Tell other hosts what servers state about their loads.

The load of an engine goes to the host that controls admission to it, which tells the
hosts that wait there if the engine is slow now. The load of any other server goes to
the collector of load reports, which tells all hosts what has changed. Nothing is sent,
and no timer runs, while no server states its load.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from cornelnotch.gateway.broadcast import Broadcaster
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.gateway.servers import ServerView
from cornelnotch.pressure.load_news import LoadNews, create_notice, is_echo, read_notice
from cornelnotch.pressure.models import ServerLoad
from cornelnotch.pressure.observed_load import NewestLoad
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import ServerLoadNotice, ServerLoadNotices

__all__ = ["LoadNotices"]

# Loads of this time go into one message. A slow phase of a server lasts some 600 ms,
# and most hosts hear of it only over the collector, after two such times.
BATCH_MS = 50.0
MS_PER_SECOND = 1000.0


class LoadNotices:
    """Exchange of the loads of servers between hosts."""

    def __init__(
        self,
        context: GatewayContext,
        peers: PeerNetwork,
        plan: RelayPlan,
        broadcaster: Broadcaster,
        list_hosts: Callable[[], list[str]],
        apply_engine_load: Callable[[str], None],
    ) -> None:
        self._context = context
        self._peers = peers
        self._plan = plan
        self._broadcaster = broadcaster
        self._list_hosts = list_hosts
        self._apply_engine_load = apply_engine_load
        self._news = LoadNews()
        self._timer: asyncio.TimerHandle | None = None
        peers.subscribe(ServerLoadNotices, self._receive)

    def announce(self, view: ServerView, load: ServerLoad) -> None:
        """Pass on the load that a server has just stated to this host."""
        name, boot_ms = view.record.name, view.record.boot_ms
        if not self._is_engine(view):
            now = self._context.clock.read()
            self._add(NewestLoad(name, boot_ms, load, now))
            return
        controller = self._context.admission.find_controller(view)
        if controller == self._plan.name:
            self._apply_engine_load(name)
            return
        notice = create_notice(NewestLoad(name, boot_ms, load, 0.0), 0.0)
        self._peers.send(controller, ServerLoadNotices([notice], []))

    def _add(self, newest: NewestLoad) -> None:
        """Tell other hosts of a load soon."""
        self._news.add(newest)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_MS / MS_PER_SECOND, self._flush)

    def _flush(self) -> None:
        """Tell all hosts of changed loads, or the collector, which tells them."""
        self._timer = None
        now = self._context.clock.read()
        self._context.loads.drop_old(now)
        changed = self._news.take(now)
        if not changed:
            return
        collector = self._find_collector()
        notices = ServerLoadNotices(changed, [])
        if collector == self._plan.name:
            self._forward(notices, self._list_hosts())
        else:
            self._peers.send(collector, notices)

    def _find_collector(self) -> str:
        readers = self._plan.list_readers(self._context.clock.read())
        return readers[0] if readers else self._plan.name

    def _is_engine(self, view: ServerView) -> bool:
        service = self._context.table.services.get(view.record.service)
        return service is not None and service.engine is not None

    def _forward(self, notices: ServerLoadNotices, names: list[str]) -> None:
        self._broadcaster.broadcast(
            names, lambda targets: replace(notices, targets=targets)
        )

    def _receive(self, sender: str, notices: ServerLoadNotices) -> None:
        if notices.targets:
            self._forward(notices, notices.targets)
        collector = self._find_collector()
        for notice in notices.loads:
            newest = self._merge(notice)
            if newest is None:
                continue
            view = self._context.pool.servers[newest.server]
            if self._is_engine(view):
                self._apply_engine_load(newest.server)
            elif collector == self._plan.name and not notices.targets:
                self._add(newest)
            else:
                self._news.note_told(newest)

    def _merge(self, notice: ServerLoadNotice) -> NewestLoad | None:
        """Apply a load that another host observed; return it if it is the newest."""
        context = self._context
        view = context.pool.servers.get(notice.server)
        load = read_notice(notice)
        if view is None or load is None or view.record.boot_ms != notice.boot_ms:
            return None
        at_ms = context.clock.read() - notice.age_ms
        newest = NewestLoad(notice.server, notice.boot_ms, load, at_ms)
        if is_echo(context.loads.find_newest(notice.server), newest):
            return None
        held = sum(request.sent for request in view.in_flight.values())
        is_newest = context.loads.observe(
            notice.server, view.record.service, notice.boot_ms, load, at_ms, held
        )
        return newest if is_newest else None
