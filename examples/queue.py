"""Displace a running request of a lower tier by an urgent one."""

from cornelnotch.queueing import create_shard
from cornelnotch.testing.shardmodel import ModelClass, ModelEngine, create_rule
from cornelnotch.wire.messages import PermitAsk

CLASSES = [
    ModelClass("quote", 1, 1.0, 40, 460.0, 8000.0),
    ModelClass("draft", 5, 1.0, 150, 3000.0, 30_000.0),
]
shard = create_shard(create_rule(CLASSES, [ModelEngine("engine", slots=2)]))


def request_permit(name: str, number: int, now: float) -> None:
    """Request a permit and print the decision of the shard."""
    model = next(c for c in CLASSES if c.name == name)
    request = PermitAsk(
        f"{name}-{number}",
        "host",
        "model",
        name,
        model.tier,
        "shop",
        "",
        0.0,
        model.deadline_ms,
        [],
        0,
    )
    print(f"{now:5.0f} ms", request.request_id, shard.request_permit(request, now))


request_permit("draft", 0, 0.0)
request_permit("draft", 1, 0.0)
request_permit("quote", 2, 10.0)
for moment in (100.0, 200.0):
    print(f"{moment:5.0f} ms", shard.schedule(moment))
