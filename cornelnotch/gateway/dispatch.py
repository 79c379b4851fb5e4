"""Send a request to one server and read the response."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import h11

from cornelnotch.exceptions import UpstreamError, UpstreamUnreachableError
from cornelnotch.gateway.header_codec import DispatchOptions, HeaderCodec, ResponseHead
from cornelnotch.gateway.models import CallerRequest, Headers, Route, WorkKind
from cornelnotch.web import HttpClient, HttpResponse

__all__ = ["DispatchOutcome", "UpstreamResponse", "has_events", "open_response"]

STATUS_OK = 200
STATUS_SERVER_ERROR = 500


class DispatchOutcome(StrEnum):
    """Outcome of a dispatch.

    NOT_SENT and REFUSED prove that the work did not run; after BROKEN it may have.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    BROKEN = "broken"
    FAILED = "failed"
    DONE = "done"


@dataclass(slots=True)
class UpstreamResponse:
    """An open response, or the reason why there is none.

    `timed_out` is set if this host gave up waiting for the server.
    """

    outcome: DispatchOutcome
    reason: str = ""
    head: ResponseHead | None = None
    http_response: HttpResponse | None = None
    timed_out: bool = False

    @property
    def headers(self) -> Headers:
        """Return the headers to forward."""
        return self.head.headers if self.head is not None else []

    @property
    def framed(self) -> bool:
        """Return whether the body has an end besides that of its connection."""
        return self.http_response is not None and self.http_response.framed

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, or b"" at its end.

        Raise UpstreamError if the body is cut off. Cancelling a call loses no data.
        """
        assert self.http_response is not None
        return await self.http_response.read_chunk()

    async def read_start(self, limit_bytes: int) -> bytes:
        """Return the whole body, or its start once that exceeds `limit_bytes`."""
        chunks = []
        size = 0
        while size <= limit_bytes and (chunk := await self.read_chunk()):
            chunks.append(chunk)
            size += len(chunk)
        return b"".join(chunks)

    def is_complete(self) -> bool:
        """Return whether the body has been read to its end."""
        return self.http_response is not None and self.http_response.complete

    async def confirm_end(self) -> None:
        """Raise UpstreamError if the body ended because its server crashed."""
        assert self.http_response is not None
        await self.http_response.confirm_end()

    def close(self) -> None:
        """Discard the rest of the response and close the connection to the server."""
        if self.http_response is not None:
            self.http_response.close()


def has_events(route: Route, response: UpstreamResponse) -> bool:
    """Return whether the response on a route is a stream of events."""
    return (
        route.kind is WorkKind.STREAM
        and response.head is not None
        and response.head.status == STATUS_OK
        and response.head.is_event_stream
    )


async def open_response(
    client: HttpClient,
    header_codec: HeaderCodec,
    address: str,
    request: CallerRequest,
    options: DispatchOptions,
    fresh: bool,
    note_sending: Callable[[], None],
) -> UpstreamResponse:
    """Send the request and return the classified head of the response.

    `note_sending` is called before the first byte is sent.
    """
    headers = header_codec.create_dispatch_headers(request, options)
    if request.body or request.method not in {"GET", "HEAD"}:
        headers.append((b"content-length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    try:
        http_response = await client.send(
            address, head, request.body, fresh, note_sending
        )
    except UpstreamUnreachableError as error:
        return UpstreamResponse(DispatchOutcome.NOT_SENT, error.problem)
    except UpstreamError as error:
        return UpstreamResponse(DispatchOutcome.BROKEN, error.problem)
    return classify_response(header_codec, request, http_response)


def classify_response(
    header_codec: HeaderCodec, request: CallerRequest, http_response: HttpResponse
) -> UpstreamResponse:
    """Classify a response by its head."""
    head = header_codec.read_response(http_response.status, http_response.raw_headers)
    is_unnamed_first = not head.request_id and not http_response.reused
    if head.request_id != request.request_id and not is_unnamed_first:
        http_response.close()
        return UpstreamResponse(
            DispatchOutcome.BROKEN, "the response belongs to another request", head
        )
    if head.not_run:
        return UpstreamResponse(
            DispatchOutcome.REFUSED, f"status {head.status}", head, http_response
        )
    if not head.signed:
        http_response.close()
        return UpstreamResponse(
            DispatchOutcome.BROKEN, "the response has no signature", head
        )
    if head.status >= STATUS_SERVER_ERROR:
        return UpstreamResponse(
            DispatchOutcome.FAILED, f"status {head.status}", head, http_response
        )
    return UpstreamResponse(DispatchOutcome.DONE, "", head, http_response)
