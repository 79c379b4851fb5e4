"""Apply what a server states about itself in the head of a response."""

from collections.abc import Callable

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse
from cornelnotch.gateway.header_codec import ResponseHead
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.events import Event

__all__ = ["apply_server_signals"]

RecordEvent = Callable[..., None]

# Longest part of a malformed value that is logged.
MAX_LOGGED_CHARACTERS = 80
STATUS_UNAVAILABLE = 503


def apply_server_signals(
    context: GatewayContext,
    view: ServerView,
    response: UpstreamResponse,
    sent_ms: float,
    record_event: RecordEvent,
) -> None:
    """Apply what a server states about itself in a response.

    Its request was sent at `sent_ms`.
    """
    head = response.head
    if head is None or head.other_server:
        return
    _apply_leaving(context, view, head, record_event)
    _apply_rate_limit(context, view, response, head, sent_ms, record_event)
    _apply_backoff(context, view, head, record_event)
    _apply_load(context, view, response, head, sent_ms, record_event)
    if response.outcome is DispatchOutcome.DONE:
        hosts = context.count_known_hosts()
        context.held_bytes.note_alive(view, hosts, context.clock.read())
        context.share_held_bytes()


def _apply_load(
    context: GatewayContext,
    view: ServerView,
    response: UpstreamResponse,
    head: ResponseHead,
    sent_ms: float,
    record_event: RecordEvent,
) -> None:
    name, boot_ms = view.record.name, view.record.boot_ms
    now = context.clock.read()
    if head.load_malformed and context.loads.may_log_malformed(name, now):
        text = head.load_text[:MAX_LOGGED_CHARACTERS]
        record_event(Event.SERVER_LOAD_MALFORMED, server=name, text=text)
    load = head.load
    if load is None or response.outcome is DispatchOutcome.BROKEN:
        # A broken head may be that of another server or request.
        return
    if not head.load_states_pace:
        # Servers with machines of their own keep their pace; hosts know their load from
        # what they send, and place as they do without the header.
        return
    service = view.record.service
    held = sum(request.sent for request in view.in_flight.values())
    context.loads.observe(name, service, boot_ms, load, now, held)
    is_full = head.status == STATUS_UNAVAILABLE and load.waiting > 0
    if response.outcome is DispatchOutcome.REFUSED and is_full:
        context.loads.note_full(name, boot_ms, load)
    if response.outcome is DispatchOutcome.DONE:
        context.loads.note_work(service, load, now - sent_ms)
    context.announce_load(view, load)


def _apply_leaving(
    context: GatewayContext,
    view: ServerView,
    head: ResponseHead,
    record_event: RecordEvent,
) -> None:
    name, boot_ms = view.record.name, view.record.boot_ms
    if head.leaving and context.pool.mark_leaving(name, boot_ms):
        record_event(Event.SERVER_SAID_LEAVING, server=name, boot_ms=boot_ms)
        context.announce_leaving(name, boot_ms)


def _apply_rate_limit(
    context: GatewayContext,
    view: ServerView,
    response: UpstreamResponse,
    head: ResponseHead,
    sent_ms: float,
    record_event: RecordEvent,
) -> None:
    name, boot_ms = view.record.name, view.record.boot_ms
    per_second, rejections_borne = head.rate_limit, head.rejections_borne
    known = context.find_rate_limit(view)
    if head.rate_limit_malformed:
        text = head.rate_limit_text[:MAX_LOGGED_CHARACTERS]
        record_event(Event.SERVER_RATE_LIMIT_MALFORMED, server=name, text=text)
        per_second = known.per_second if known else None
    if head.brittle_malformed:
        text = head.brittle_text[:MAX_LOGGED_CHARACTERS]
        record_event(Event.SERVER_BRITTLE_MALFORMED, server=name, text=text)
        rejections_borne = known.rejections_borne if known else None
    is_whole = response.outcome in {DispatchOutcome.DONE, DispatchOutcome.FAILED}
    is_refusal = response.outcome is DispatchOutcome.REFUSED
    states_nothing = head.rate_limit is None and head.rejections_borne is None
    if states_nothing and not is_whole:
        # A late or unsigned response does not prove that the limit was withdrawn.
        return
    if known is not None and states_nothing and sent_ms <= known.observed_ms:
        # The server may have written this head before it stated the limit.
        return
    now = context.clock.read()
    if is_refusal and rejections_borne is not None:
        context.rejections.record(name, boot_ms, now)
    if context.rate_limits.observe(name, boot_ms, per_second, now, rejections_borne):
        record_event(
            Event.SERVER_RATE_LIMIT,
            server=name,
            boot_ms=boot_ms,
            per_second=per_second,
            rejections_borne=rejections_borne,
        )


def _apply_backoff(
    context: GatewayContext,
    view: ServerView,
    head: ResponseHead,
    record_event: RecordEvent,
) -> None:
    name = view.record.name
    if head.malformed_backoff:
        text = head.malformed_backoff[:MAX_LOGGED_CHARACTERS]
        record_event(Event.SERVER_REST_MALFORMED, server=name, rest=text)
    if head.backoff_ms > 0:
        backoff_ms = view.back_off(head.backoff_ms, context.clock.read())
        record_event(
            Event.SERVER_RESTS,
            server=name,
            asked_ms=head.backoff_ms,
            rest_ms=backoff_ms,
        )
