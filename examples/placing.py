"""Place a long prompt on the server that caches its prefix, unless that is slower."""

from cornelnotch.gateway.models import (
    CallerRequest,
    PromptPart,
    Route,
    ServerRecord,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.placement import PlacementNeed, Placer
from cornelnotch.gateway.servers import InFlightRequest, ServerView

PARTS = (PromptPart("history", 13_300), PromptPart("question", 900))
ROUTE = Route(
    "draft", "", "/", WorkKind.STREAM, 15_000, 2500, 2, 1, (ServiceShare("llm", 1.0),)
)
NEED = PlacementNeed(priority=1, excluded=())

engines = [
    ServerView(ServerRecord(f"engine-{i}", "llm", f"10.0.0.{i}:80", "north-a", 64))
    for i in range(4)
]
placer = Placer("north-a", {"north-a": "north"})
request = CallerRequest(
    "r1", "POST", "/", "", "/", [], prompt=PARTS, prompt_tokens=14_200
)

for backlog in (0, 20_000, 200_000, 0):
    placed = placer.choose(engines, ROUTE, request, NEED, 0.0)
    assert placed is not None
    print(f"{placed.server.record.name}: {placed.cost_ms:.0f} ms")
    placed.server.start(InFlightRequest(f"other {backlog}", 0.0, backlog, priority=1))
