"""Decide since when a host may spend the rate limits of servers; no I/O.

Only the controller of a server spends its rate limit. Hosts can differ for a moment in
which host that is, so a new controller waits until the previous one has noticed that it
was replaced and its last grants have expired.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = [
    "GRANT_TTL_MS",
    "SUSPENSION_MS",
    "TAKEOVER_MS",
    "LimitControl",
    "is_grant_current",
]

# Hosts learn of a change of the hosts within about 1.5 s; grants expire after 0.8 s.
TAKEOVER_MS = 2500.0
# A host that did not run for this long may have been replaced without noticing it.
SUSPENSION_MS = 1000.0
# A request is sent to a server with a rate limit only within this time after its host
# last asked, so that a delayed host does not add to the grants of a later time.
GRANT_TTL_MS = 800.0


def is_grant_current(asked_ms: float, now: float) -> bool:
    """Return whether a grant may be used that answers a message sent at `asked_ms`."""
    return now - asked_ms <= GRANT_TTL_MS


@dataclass(slots=True)
class LimitControl:
    """The servers whose rate limits this host spends, and since when.

    `hosts` last changed at `changed_ms`, and this host was last known to run at
    `checked_ms`.
    """

    changed_ms: float
    checked_ms: float
    hosts: frozenset[str] = frozenset()
    starts_ms: dict[str, float] = field(default_factory=dict)

    def set_hosts(
        self, hosts: frozenset[str], is_controller: Callable[[str], bool], now: float
    ) -> None:
        """Give up the servers that another host controls after a change of hosts."""
        if hosts == self.hosts:
            return
        self.hosts = hosts
        self.changed_ms = now
        for server in list(self.starts_ms):
            if not is_controller(server):
                self.release(server)

    def note_running(self, now: float) -> None:
        """Give up all servers if this host did not run for a while; call often."""
        if now - self.checked_ms > SUSPENSION_MS:
            self.changed_ms = now
            self.starts_ms.clear()
        self.checked_ms = now

    def find_start_ms(self, server: str, now: float) -> float:
        """Return the time from which this host spends the limit of a server.

        The hosts may have changed just before this host learned of the limit.
        """
        start_ms = max(self.changed_ms + TAKEOVER_MS, now)
        return self.starts_ms.setdefault(server, start_ms)

    def release(self, server: str) -> None:
        """Stop spending the limit of a server."""
        self.starts_ms.pop(server, None)
