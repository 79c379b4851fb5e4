"""Select the changed loads of servers to tell other hosts; no I/O."""

from cornelnotch.pressure.models import ServerLoad
from cornelnotch.pressure.observed_load import NewestLoad
from cornelnotch.wire.messages import ServerLoadNotice

__all__ = ["LoadNews", "create_notice", "is_echo", "read_notice"]

# Loads that changed by less than these shares of the slots, or of the pace, are not
# told before the last told one is this old.
MIN_OCCUPANCY_CHANGE = 0.25
MIN_PACE_CHANGE = 0.15
REPEAT_INTERVAL_MS = 1000.0
# Bounds of what another host may state, as in the header.
MAX_REQUESTS = 100_000
MIN_PACE = 0.01
MAX_PACE = 100.0
MAX_AGE_MS = 10_000.0
# Two messages between regions take less than this.
ECHO_MS = 100.0


def create_notice(newest: NewestLoad, now: float) -> ServerLoadNotice:
    """Return the message that states a load."""
    load = newest.load
    return ServerLoadNotice(
        newest.server,
        newest.boot_ms,
        load.running,
        load.waiting,
        load.slots,
        load.pace,
        round(max(now - newest.at_ms, 0.0), 1),
    )


def is_echo(known: NewestLoad | None, told: NewestLoad) -> bool:
    """Return whether a load told by another host is one that is known already.

    Ages exclude the time that messages take, so it seems a little newer.
    """
    if known is None or known.boot_ms != told.boot_ms or known.load != told.load:
        return False
    return told.at_ms - known.at_ms <= ECHO_MS


def read_notice(notice: ServerLoadNotice) -> ServerLoad | None:
    """Return the load that another host states, or None if it is absurd."""
    is_sound = (
        0 <= notice.running <= MAX_REQUESTS
        and 0 <= notice.waiting <= MAX_REQUESTS
        and 1 <= notice.slots <= MAX_REQUESTS
        and MIN_PACE <= notice.pace <= MAX_PACE
        and 0.0 <= notice.age_ms <= MAX_AGE_MS
    )
    if not is_sound:
        return None
    return ServerLoad(notice.running, notice.waiting, notice.slots, notice.pace)


def is_changed(told: ServerLoad, load: ServerLoad) -> bool:
    """Return whether a load differs enough from the one told last to be told."""
    before = (told.running + told.waiting) / told.slots
    after = (load.running + load.waiting) / load.slots
    if abs(after - before) >= MIN_OCCUPANCY_CHANGE or told.slots != load.slots:
        return True
    return abs(load.pace - told.pace) >= MIN_PACE_CHANGE * told.pace


class LoadNews:
    """Loads that the collector has not told all hosts, and those it told last."""

    def __init__(self) -> None:
        self._new: dict[str, NewestLoad] = {}
        self._told: dict[str, NewestLoad] = {}

    def add(self, newest: NewestLoad) -> None:
        """Add the newest load of a server."""
        self._new[newest.server] = newest

    def take(self, now: float) -> list[ServerLoadNotice]:
        """Return the changed loads and mark them as told."""
        changed = [n for n in self._new.values() if self._must_tell(n)]
        self._new.clear()
        self._told.update({newest.server: newest for newest in changed})
        for server, told in list(self._told.items()):
            if now - told.at_ms > MAX_AGE_MS:
                del self._told[server]
        return [create_notice(newest, now) for newest in changed]

    def note_told(self, newest: NewestLoad) -> None:
        """Note that all hosts were told of this load."""
        self._told[newest.server] = newest

    def _must_tell(self, newest: NewestLoad) -> bool:
        told = self._told.get(newest.server)
        if told is None or told.boot_ms != newest.boot_ms:
            return True
        if newest.at_ms - told.at_ms >= REPEAT_INTERVAL_MS:
            return True
        return is_changed(told.load, newest.load)
