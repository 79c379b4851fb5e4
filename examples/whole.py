"""Run a fleet in one process and send it a chat and a booking."""

import asyncio

from cornelnotch.kernel import create_clock, create_identifier
from cornelnotch.load import Caller, CallerOptions
from cornelnotch.load.embedded import create_in_process_fleet


async def run_example() -> None:
    """Start the Heelmark deployment and send requests to it."""
    clock = create_clock()
    fleet = create_in_process_fleet("heelmark", clock)
    addresses = await fleet.start()
    caller = Caller(addresses.hosts, CallerOptions("shop"), clock)
    chat = await caller.chat("resole brown boots", 5, "kind=quote")
    print("chat:", chat.status, chat.outcome, repr(chat.text))
    key = create_identifier()
    for _ in range(2):
        booking = await caller.call(
            "counter-desk", "/book", {"reference": "bench-3"}, "kind=booking", key
        )
        print("booking:", booking.status, booking.outcome, booking.body.decode())
    ledgers = {n: dict(s.ledger) for n, s in fleet.services.items() if s.ledger}
    print("ledger:", ledgers)
    caller.close()
    await fleet.stop()


asyncio.run(run_example())
