"""Append a snapshot before records that are still needed expire."""

from cornelnotch.configuration.follower import ConfigurationFollower
from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.kernel import Clock

__all__ = ["SnapshotWriter", "needs_snapshot"]

CHECK_INTERVAL_MS = 1000.0
SNAPSHOT_AGE_RETENTION_RATIO = 0.5


def needs_snapshot(
    follower: ConfigurationFollower, wall_ms: float, retention_ms: float
) -> bool:
    """Return whether records needed by a new host are about to expire."""
    if follower.state.version < 0:
        return False
    due_ms = retention_ms * SNAPSHOT_AGE_RETENTION_RATIO
    covered = follower.snapshot.covers
    if covered < 0 and follower.earliest > 0:
        return True
    if covered >= 0:
        return wall_ms - follower.snapshot.time_ms >= due_ms
    oldest = follower.oldest_record_ms
    return oldest is not None and wall_ms - oldest >= due_ms


class SnapshotWriter:
    """Append snapshots while this host is the assigned snapshot writer."""

    def __init__(
        self, follower: ConfigurationFollower, clock: Clock, retention_ms: float
    ) -> None:
        self._follower = follower
        self._clock = clock
        self._retention_ms = retention_ms
        self.owned = False

    async def run(self) -> None:
        """Check every second until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if (
                not self.owned
                or self._follower.find_log_age_ms() > CHECK_INTERVAL_MS * 30
            ):
                continue
            wall_ms = self._clock.read_wall()
            if not needs_snapshot(self._follower, wall_ms, self._retention_ms):
                continue
            try:
                await self._follower.append_snapshot()
            except LogUnavailableError:
                continue
