"""Send a request to one server and read the answer."""

from dataclasses import dataclass
from enum import StrEnum

import h11

from cornelnotch.exceptions import UpstreamError, UpstreamUnreachableError
from cornelnotch.gateway.dialect import AnswerHead, Dialect, DispatchTerms
from cornelnotch.gateway.models import CallerRequest, Pairs
from cornelnotch.web import HttpAnswer, HttpClient

__all__ = ["Answer", "Fate", "open_answer"]

STATUS_OK = 200
STATUS_SERVER_ERROR = 500


class Fate(StrEnum):
    """Name how a dispatch ended.

    NOT_SENT and REFUSED prove that the work did not run; after BROKEN it may have.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    BROKEN = "broken"
    FAILED = "failed"
    DONE = "done"


@dataclass(slots=True)
class Answer:
    """Hold an open answer, or why there is none; `fate` is the verdict so far."""

    fate: Fate
    reason: str = ""
    head: AnswerHead | None = None
    source: HttpAnswer | None = None

    @property
    def pairs(self) -> Pairs:
        """Return the headers to pass on."""
        return self.head.pairs if self.head is not None else []

    async def read_part(self) -> bytes:
        """Return the next part of the body, nothing at its end.

        Raise UpstreamError when it breaks off; a call that is cancelled loses nothing.
        """
        assert self.source is not None
        return await self.source.read_part()

    async def read_start(self, limit_bytes: int) -> bytes:
        """Return the whole body, or its start once that is above the limit."""
        parts = []
        size = 0
        while size <= limit_bytes and (part := await self.read_part()):
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def is_whole(self) -> bool:
        """Tell whether the body has been read to its end."""
        return self.source is not None and self.source.complete

    def close(self) -> None:
        """Give up the rest of the answer; the server sees the cut."""
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
    """Send the request and return the head of the answer, judged."""
    pairs = dialect.create_pairs(request, terms)
    if request.body or request.method not in {"GET", "HEAD"}:
        pairs.append((b"content-length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.target, headers=pairs)
    try:
        source = await client.send(address, head, request.body, fresh)
    except UpstreamUnreachableError as error:
        return Answer(Fate.NOT_SENT, error.problem)
    except UpstreamError as error:
        return Answer(Fate.BROKEN, error.problem)
    return judge_answer(dialect, request, source)


def judge_answer(
    dialect: Dialect, request: CallerRequest, source: HttpAnswer
) -> Answer:
    """Tell from its head what an answer means for the request."""
    head = dialect.read_answer(source.status, source.pairs)
    if head.request_id and head.request_id != request.request_id:
        source.close()
        return Answer(Fate.BROKEN, "the answer belongs to another request", head)
    if head.not_run:
        return Answer(Fate.REFUSED, f"status {head.status}", head, source)
    if not head.signed:
        source.close()
        return Answer(Fate.BROKEN, "the answer bears no signature", head)
    if head.status >= STATUS_SERVER_ERROR:
        return Answer(Fate.FAILED, f"status {head.status}", head, source)
    return Answer(Fate.DONE, "", head, source)
