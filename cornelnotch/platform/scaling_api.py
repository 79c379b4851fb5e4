"""Order servers through the platform's API."""

from collections.abc import Callable

import orjson

from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.platform.duty_api import DutyApi
from cornelnotch.scaling.api import OrderApi
from cornelnotch.scaling.models import ServerKind, ServerOrder
from cornelnotch.web import HttpClient

__all__ = ["PlatformScalingApi"]

SCALING_PATH = "/scaling"


class PlatformScalingApi(OrderApi):
    """Sends orders to the platform's API at `address`."""

    def __init__(self, address: str, client: HttpClient) -> None:
        self._api = DutyApi(address, client)

    async def place_order(
        self, claim: Claim, order: ServerOrder, is_current: Callable[[], bool]
    ) -> CallOutcome:
        """Order servers; see `OrderApi`."""
        body = _encode(order)
        return await self._api.call_api(SCALING_PATH, body, claim, is_current)


def _encode(order: ServerOrder) -> bytes:
    key = order.key
    content = {"service": key.service, "zone": key.domain, "desired": order.count}
    if key.kind is ServerKind.SPOT:
        return orjson.dumps({**content, "spot": True})
    return orjson.dumps(content)
