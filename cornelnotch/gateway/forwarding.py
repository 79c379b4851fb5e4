"""Forward the body of a server's response to the caller."""

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.dispatch import UpstreamResponse
from cornelnotch.gateway.response_ends import ResponseEnd, confirm_end
from cornelnotch.web import Exchange

__all__ = ["MAX_BUFFERED_BYTES", "forward_body"]

# A body up to this size is buffered, so that another server can be tried if it is cut
# off. A larger one is streamed, up to the second size.
MAX_BUFFERED_BYTES = 256 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024


async def forward_body(
    response: UpstreamResponse,
    exchange: Exchange,
    buffered_bytes: int = MAX_BUFFERED_BYTES,
) -> ResponseEnd:
    """Forward a complete response and return how it ended.

    Raise UpstreamError if it is cut off or too large. Nothing was sent to the caller
    as long as `exchange` has not started, which it does once the body exceeds
    `buffered_bytes`.
    """
    assert response.head is not None
    body = await response.read_start(buffered_bytes)
    if response.is_complete():
        end = await confirm_end(response)
        await exchange.respond(response.head.status, response.headers, body)
        return end
    await exchange.start(response.head.status, response.headers)
    size = 0
    while body:
        size += len(body)
        if size > MAX_BODY_BYTES:
            raise UpstreamError(
                f"response body exceeds {MAX_BODY_BYTES} bytes", "check the server"
            )
        await exchange.send(body)
        body = await response.read_chunk()
    end = await confirm_end(response)
    await exchange.finish()
    return end
