"""Keep a stream at the software version that began it."""

from collections.abc import Collection

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.models import CallerRequest, Route, WorkKind
from cornelnotch.gateway.servers import ServerView
from cornelnotch.gateway.stream_origins import (
    AMBIGUOUS_SOFTWARE,
    StreamOrigin,
    create_origin,
)
from cornelnotch.kernel.events import Event

__all__ = ["StreamContinuation"]


class StreamContinuation:
    """Where one stream began, and the servers at which it may go on."""

    def __init__(
        self, context: GatewayContext, request: CallerRequest, route: Route
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._is_resumable = route.kind is WorkKind.STREAM and route.resumable
        self.origin: StreamOrigin | None = None
        self._first_view: ServerView | None = None
        self.may_become_known = False

    def must_find_origin(self, last_event_id: str) -> bool:
        """Return whether the stream began in another request, or over another host.

        It goes on after `last_event_id`.
        """
        is_begun = bool(self._request.resumed_id or last_event_id)
        return self._is_resumable and self.origin is None and is_begun

    async def find_origin(self, service: str) -> str:
        """Find out where a resumed stream began; return the service to go on at.

        That is `service` unless the route also leads to the one that began the stream.
        """
        resumed_id = self._request.resumed_id or self._request.request_id
        origin = self._context.origins.find_request(resumed_id)
        is_own = origin is not None
        if origin is None:
            answer = await self._context.ask_origin(resumed_id, service)
            origin = answer.origin
            if origin is not None:
                now = self._context.clock.read()
                self._context.software_history.hear(origin, now)
            self.may_become_known = origin is None and not answer.is_final
        self.origin = origin
        self._context.events.record(
            Event.STREAM_ORIGIN,
            request_id=self._request.request_id,
            resumes=resumed_id,
            after_event=self._request.last_event_id,
            service=service if origin is None else origin.service,
            software=None if origin is None else origin.software,
            asked=not is_own,
            may_become_known=self.may_become_known,
        )
        services = {share.service for share in self._route.shares}
        is_routed = origin is not None and origin.service in services
        return origin.service if origin is not None and is_routed else service

    async def confirm_server(self, view: ServerView) -> None:
        """Check that the process that answers is the one in the server's record.

        Raise UpstreamError if the stream goes on and another process answers, whose
        version is not known yet.
        """
        if self.origin is None:
            self._first_view = view
            return
        if not view.record.boot_ms:
            return
        address = view.record.address
        boot_ms = await self._context.identity.read_boot_ms(address)
        if boot_ms not in {None, view.record.boot_ms}:
            view.disable_until_relisted()
            raise UpstreamError(
                f"{view.record.name} has restarted", "resume at another server"
            )

    def check_version(self, view: ServerView) -> None:
        """Raise UpstreamError if a server has restarted as another version."""
        if self._first_view is not view and self._find_origin(view) != self.origin:
            raise UpstreamError(
                f"{view.record.name} now has another version",
                "resume at another server",
            )

    def note_event(self, view: ServerView) -> None:
        """Note that an event of the server that began the stream will be sent."""
        origin = self._find_origin(view)
        if self._first_view is not view or origin == self.origin:
            return
        self.origin = origin
        if self._is_resumable:
            self._context.report_origin(self._request.request_id, origin)

    def has_other_server(self, service: str, tried: Collection[str]) -> bool:
        """Return whether the stream may go on at a server that is not in `tried`."""
        servers = self.list_usable(service, self._context.clock.read())
        return any(server.record.name not in tried for server in servers)

    def _find_origin(self, view: ServerView) -> StreamOrigin:
        known = self._context.pool.servers.get(view.record.name, view)
        origin = create_origin(known.record)
        if known is view or origin == create_origin(view.record):
            return origin
        # Its process may be the one before the restart or the one after.
        return StreamOrigin(origin.service, AMBIGUOUS_SOFTWARE)

    def is_version_gone(self, service: str) -> bool:
        """Return whether no server of the version that began the stream is left."""
        if self.origin is None:
            return False
        if self.origin.service != service:
            return True
        return not self._is_listed() and not self._may_be_unlisted()

    def is_version_unlisted(self, service: str) -> bool:
        """Return whether this host may not have heard of the version's servers yet."""
        if self.origin is None or self.origin.service != service:
            return False
        return not self._is_listed() and self._may_be_unlisted()

    def _is_listed(self) -> bool:
        records = (view.record for view in self._context.pool.servers.values())
        return any(create_origin(record) == self.origin for record in records)

    def _may_be_unlisted(self) -> bool:
        listed_ms = self._context.find_listed_ms()
        history = self._context.software_history
        return self.origin is not None and history.may_be_unlisted(
            self.origin, listed_ms
        )

    def list_usable(self, service: str, now: float) -> list[ServerView]:
        """Return the usable servers at which the stream may begin or go on."""
        if self.origin is None:
            return self._context.pool.list_usable(service, now)
        if self.origin.service != service:
            return []
        return self._context.pool.list_usable(service, now, self.origin.software)
