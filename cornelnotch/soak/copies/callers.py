"""Callers of streams, some of which leave in the middle of a stream."""

import random

from cornelnotch.soak.attempts import Attempt
from cornelnotch.soak.callers import CallerConnection, SoakCaller

__all__ = ["LeavingCaller"]

LEAVING_SHARE = 0.06
EVENT_END = b"\n\n"


class LeavingCaller(SoakCaller):
    """Caller that closes its connection in the middle of some streams."""

    async def _receive(self, connection: CallerConnection, attempt: Attempt) -> bytes:
        generator = random.Random(f"leave/{attempt.request_id}")
        if attempt.work.events and generator.random() < LEAVING_SHARE:
            limit = generator.randrange(attempt.work.events)
            if attempt.body.count(EVENT_END) >= limit:
                raise TimeoutError
        return await super()._receive(connection, attempt)
