"""Client of the platform's API for duties."""

import asyncio
from collections.abc import Callable

import h11
import msgspec

from cornelnotch.duties.api import UsageApi
from cornelnotch.duties.models import CallOutcome, Claim, UsageWindow
from cornelnotch.exceptions import UpstreamError
from cornelnotch.web import HttpClient

__all__ = ["DutyApi", "PlatformUsageApi"]

USAGE_PATH = "/usage"
# Two calls without an answer must fit into a lease and a third.
CALL_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 64 * 1024
STATUS_CONFLICT = 409
STATUS_BUSY = 429
STATUS_MULTIPLE_CHOICES = 300
STATUS_SERVER_ERROR = 500

_encoder = msgspec.json.Encoder()


class UsageBody(msgspec.Struct):
    """Schema of a report of usage."""

    window_id: int
    counts: dict[str, int]


class ClaimExpiredError(Exception):
    """Raised in place of the first byte of a call whose claim is not valid."""


class DutyApi:
    """Calls to the platform's API under a claim."""

    def __init__(self, address: str, client: HttpClient) -> None:
        self._address = address
        self._client = client

    async def call_api(
        self, path: str, body: bytes, claim: Claim, is_current: Callable[[], bool]
    ) -> CallOutcome:
        """Send a call and classify its response.

        `is_current` is called after the connect and before the first byte is sent; if
        it returns False, nothing is sent.
        """

        def check_claim() -> None:
            if not is_current():
                raise ClaimExpiredError

        head = h11.Request(
            method="POST",
            target=path,
            headers=[
                ("host", self._address),
                ("content-length", str(len(body))),
                ("content-type", "application/json"),
                ("connection", "close"),
                ("x-duty-holder", claim.holder),
                ("x-fencing-token", str(claim.token)),
            ],
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                # A pooled connection may be dead, and a call that was sent on it would
                # count as one that the API may execute later.
                response = await self._client.send(
                    self._address, head, body, True, check_claim
                )
                try:
                    await response.read(MAX_RESPONSE_BYTES)
                finally:
                    response.close()
        except (UpstreamError, TimeoutError, ClaimExpiredError):
            return CallOutcome.UNANSWERED
        return classify_status(response.status)


def classify_status(status: int) -> CallOutcome:
    """Return the outcome of a call by the status of its response."""
    if status == STATUS_CONFLICT:
        return CallOutcome.CONFLICT
    if status == STATUS_BUSY:
        return CallOutcome.BUSY
    if status < STATUS_MULTIPLE_CHOICES:
        return CallOutcome.ACCEPTED
    if status >= STATUS_SERVER_ERROR:
        return CallOutcome.UNANSWERED
    return CallOutcome.REJECTED


class PlatformUsageApi(UsageApi):
    """Reports of usage to the platform's API."""

    def __init__(self, api: DutyApi) -> None:
        self._api = api

    async def report_usage(
        self, claim: Claim, usage: UsageWindow, is_current: Callable[[], bool]
    ) -> CallOutcome:
        """Report the usage of one window, always in the same bytes."""
        counts = dict(sorted(usage.counts.items()))
        body = _encoder.encode(UsageBody(usage.window, counts))
        return await self._api.call_api(USAGE_PATH, body, claim, is_current)
