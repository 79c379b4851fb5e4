"""Order servers through the platform's API."""

import asyncio
from collections.abc import Callable

import h11
import orjson

from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.exceptions import UpstreamError
from cornelnotch.scaling.api import OrderApi
from cornelnotch.scaling.models import ServerKind, ServerOrder
from cornelnotch.web import HttpClient

__all__ = ["PlatformScalingApi"]

SCALING_PATH = "/scaling"
# Orders are absolute, so that one without an answer is simply sent again.
TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4096
STATUS_CONFLICT = 409
STATUS_TOO_MANY_REQUESTS = 429
SUCCESS = range(200, 300)
CLIENT_ERRORS = range(400, 500)


class ClaimLapsedError(Exception):
    """Raised before the first byte of a call whose claim is no longer valid."""


class PlatformScalingApi(OrderApi):
    """Sends orders to the platform's API at `address`."""

    def __init__(self, address: str, client: HttpClient) -> None:
        self._address = address
        self._client = client

    async def place_order(
        self, claim: Claim, order: ServerOrder, is_current: Callable[[], bool]
    ) -> CallOutcome:
        """Order servers; see `OrderApi`."""

        def check_claim() -> None:
            if not is_current():
                raise ClaimLapsedError

        body = _encode(order)
        head = _create_head(self._address, claim, body)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                # A kept connection may be dead, and a call that was sent on it would
                # count as one that the API may execute later.
                response = await self._client.send(
                    self._address, head, body, fresh=True, note_sending=check_claim
                )
                try:
                    await response.read(MAX_RESPONSE_BYTES)
                finally:
                    response.close()
        except (UpstreamError, TimeoutError, ClaimLapsedError):
            return CallOutcome.UNANSWERED
        return _decode_status(response.status)


def _encode(order: ServerOrder) -> bytes:
    key = order.key
    content = {"service": key.service, "zone": key.domain, "desired": order.count}
    if key.kind is ServerKind.SPOT:
        return orjson.dumps({**content, "spot": True})
    return orjson.dumps(content)


def _create_head(address: str, claim: Claim, body: bytes) -> h11.Request:
    headers = [
        ("host", address),
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        ("connection", "close"),
        ("X-Duty-Holder", claim.holder),
        ("X-Fencing-Token", str(claim.token)),
    ]
    return h11.Request(method="POST", target=SCALING_PATH, headers=headers)


def _decode_status(status: int) -> CallOutcome:
    if status in SUCCESS:
        return CallOutcome.ACCEPTED
    if status == STATUS_CONFLICT:
        return CallOutcome.CONFLICT
    if status == STATUS_TOO_MANY_REQUESTS:
        return CallOutcome.BUSY
    if status in CLIENT_ERRORS:
        return CallOutcome.REJECTED
    return CallOutcome.UNANSWERED
