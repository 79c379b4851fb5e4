"""Send a request to one server and read the answer."""

from dataclasses import dataclass
from enum import StrEnum

import h11

from cornelnotch.exceptions import UpstreamError, UpstreamUnreachableError
from cornelnotch.gateway.dialect import AnswerHead, Dialect, DispatchTerms
from cornelnotch.gateway.models import CallerRequest, Pairs
from cornelnotch.web import HttpAnswer, HttpClient

__all__ = ["Answer", "DispatchOutcome", "open_answer"]

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
class Answer:
    """An open answer, or the reason why there is none."""

    outcome: DispatchOutcome
    reason: str = ""
    head: AnswerHead | None = None
    source: HttpAnswer | None = None

    @property
    def pairs(self) -> Pairs:
        """Return the headers to forward."""
        return self.head.pairs if self.head is not None else []

    async def read_part(self) -> bytes:
        """Return the next part of the body, or b"" at its end.

        Raise UpstreamError when the body breaks off. Cancelling a call loses no data.
        """
        assert self.source is not None
        return await self.source.read_part()

    async def read_start(self, limit_bytes: int) -> bytes:
        """Return the whole body, or its start once that exceeds `limit_bytes`."""
        parts = []
        size = 0
        while size <= limit_bytes and (part := await self.read_part()):
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def is_whole(self) -> bool:
        """Return whether the body has been read to its end."""
        return self.source is not None and self.source.complete

    def close(self) -> None:
        """Discard the rest of the answer and close the connection to the server."""
        if self.source is not None:
            self.source.close()


async def open_answer(
    client: HttpClient,
    dialect: Dialect,
    address: str,
    request: CallerRequest,
    terms: DispatchTerms,
    fresh: bool,
) -> Answer:
    """Send the request and return the classified head of the answer."""
    pairs = dialect.create_pairs(request, terms)
    if request.body or request.method not in {"GET", "HEAD"}:
        pairs.append((b"content-length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.target, headers=pairs)
    try:
        source = await client.send(address, head, request.body, fresh)
    except UpstreamUnreachableError as error:
        return Answer(DispatchOutcome.NOT_SENT, error.problem)
    except UpstreamError as error:
        return Answer(DispatchOutcome.BROKEN, error.problem)
    return classify_answer(dialect, request, source)


def classify_answer(
    dialect: Dialect, request: CallerRequest, source: HttpAnswer
) -> Answer:
    """Classify an answer by its head."""
    head = dialect.read_answer(source.status, source.pairs)
    if head.request_id and head.request_id != request.request_id:
        source.close()
        return Answer(
            DispatchOutcome.BROKEN, "the answer belongs to another request", head
        )
    if head.not_run:
        return Answer(DispatchOutcome.REFUSED, f"status {head.status}", head, source)
    if not head.signed:
        source.close()
        return Answer(DispatchOutcome.BROKEN, "the answer has no signature", head)
    if head.status >= STATUS_SERVER_ERROR:
        return Answer(DispatchOutcome.FAILED, f"status {head.status}", head, source)
    return Answer(DispatchOutcome.DONE, "", head, source)
