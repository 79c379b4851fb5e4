"""Keep the newest load of each server and estimate it after it has aged; no I/O.

A load changes many times per second, and a host sees a given server only now and then.
The weight of an observation therefore halves with a half-life that follows from how
fast the loads of that service change; the rest of the estimate is the server's average.
"""

from dataclasses import dataclass, field

from cornelnotch.pressure.models import ServerLoad

__all__ = ["AgedLoad", "HalfLife", "NewestLoad", "ObservedLoads"]

# Candidate half-lives. Slow phases of a machine last some 600 ms, and reports of other
# hosts are up to 250 ms old, so shorter or longer ones would not be told apart.
HALF_LIVES_MS = (50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)
USUAL_HALF_LIFE_MS = 200.0
# Weight that past prediction errors keep at each new one.
ERROR_MEMORY = 0.98
# The usual half-life is replaced only by one with this much smaller an error.
MIN_ADVANTAGE = 0.02
# Fewer pairs of observations say little about how fast loads change.
MIN_PAIRS = 30
# Pairs of observations that are further apart do not tell half-lives apart.
MAX_PAIR_MS = 3000.0
# The average of a server follows its observations with this half-life, and is
# forgotten after this long without any.
AVERAGE_HALF_LIFE_MS = 2000.0
MAX_AGE_MS = 10_000.0
# Malformed loads of a server are logged at most this often.
MALFORMED_INTERVAL_MS = 10_000.0
MAX_SERVERS = 4096
# Time of a call at the usual pace, until calls have been observed; later the mean of
# those that did not wait, in which the newest has this weight.
USUAL_WORK_MS = 20.0
NEWEST_WORK_WEIGHT = 0.05
MIN_WORK_MS = 1.0
MAX_WORK_MS = 10_000.0


def _halve(elapsed_ms: float, half_life_ms: float) -> float:
    return float(0.5 ** (max(elapsed_ms, 0.0) / half_life_ms))


class HalfLife:
    """Find the half-life with which past observations predicted the next ones best."""

    def __init__(self) -> None:
        self._errors = [0.0] * len(HALF_LIVES_MS)
        self._pairs = 0
        self.ms = USUAL_HALF_LIFE_MS

    def learn(self, known: float, average: float, found: float, age_ms: float) -> None:
        """Add that `found` was observed `age_ms` after `known`."""
        if age_ms > MAX_PAIR_MS:
            return
        for index, half_life_ms in enumerate(HALF_LIVES_MS):
            weight = _halve(age_ms, half_life_ms)
            error = weight * known + (1.0 - weight) * average - found
            self._errors[index] = self._errors[index] * ERROR_MEMORY + error * error
        self._pairs += 1
        if self._pairs < MIN_PAIRS:
            return
        usual = self._errors[HALF_LIVES_MS.index(USUAL_HALF_LIFE_MS)]
        least = min(self._errors)
        is_better = least < usual * (1.0 - MIN_ADVANTAGE)
        self.ms = (
            HALF_LIVES_MS[self._errors.index(least)]
            if is_better
            else USUAL_HALF_LIFE_MS
        )


@dataclass(slots=True)
class ServiceHistory:
    """How fast the occupancy and the pace of a service's servers change."""

    occupancy: HalfLife = field(default_factory=HalfLife)
    pace: HalfLife = field(default_factory=HalfLife)
    work_ms: float = USUAL_WORK_MS


@dataclass(slots=True)
class Observation:
    """The newest load of one server process, and its averages per slot."""

    service: str
    boot_ms: int
    load: ServerLoad
    at_ms: float
    occupancy: float
    pace: float
    held: int
    full_at: int = 0


@dataclass(frozen=True, slots=True)
class AgedLoad:
    """What is known of a server's load after some time.

    `observed` requests of all hosts ran and waited there, `held` of them of this host,
    and `average` on average. The observation has `weight` from 1.0 (just made) to 0.0.
    The server had no room at `full_at` requests, which is 0 if it always had.
    """

    observed: int
    average: float
    slots: int
    pace: float
    weight: float
    held: int
    full_at: int

    def expect_requests(self, own: int, others: int | None) -> float:
        """Return the expected number of requests of all hosts at the server.

        This host has `own` there now; all others had `others` by their latest
        reports, None if there are none.
        """
        observed_others = max(self.observed - self.held, 0)
        usual_others = max(self.average - self.held, 0.0) if others is None else others
        return own + self.weight * observed_others + (1.0 - self.weight) * usual_others


@dataclass(frozen=True, slots=True)
class NewestLoad:
    """The newest load of a server process and when it was observed."""

    server: str
    boot_ms: int
    load: ServerLoad
    at_ms: float


class ObservedLoads:
    """The newest observed load of each server."""

    def __init__(self) -> None:
        self._newest: dict[str, Observation] = {}
        self._services: dict[str, ServiceHistory] = {}
        self._malformed_ms: dict[str, float] = {}

    def observe(
        self,
        server: str,
        service: str,
        boot_ms: int,
        load: ServerLoad,
        at_ms: float,
        held: int = 0,
    ) -> bool:
        """Store a load observed at `at_ms`; return whether it is the newest.

        This host had `held` requests at the server then.
        """
        occupancy = (load.running + load.waiting) / load.slots
        known = self._newest.get(server)
        if known is not None and known.boot_ms > boot_ms:
            return False
        if known is None or known.boot_ms < boot_ms:
            if known is None and len(self._newest) >= MAX_SERVERS:
                return False
            # A slow phase is short, so the usual pace is expected after the first one.
            self._newest[server] = Observation(
                service, boot_ms, load, at_ms, occupancy, 1.0, held
            )
            return True
        if at_ms <= known.at_ms:
            return False
        self._learn(known, occupancy, load.pace, at_ms - known.at_ms)
        weight = 1.0 - _halve(at_ms - known.at_ms, AVERAGE_HALF_LIFE_MS)
        known.occupancy += weight * (occupancy - known.occupancy)
        known.pace += weight * (load.pace - known.pace)
        known.load, known.at_ms, known.held = load, at_ms, held
        if known.full_at and load.running + load.waiting > known.full_at:
            known.full_at = 0
        return True

    def _learn(
        self, known: Observation, occupancy: float, pace: float, age_ms: float
    ) -> None:
        history = self._services.setdefault(known.service, ServiceHistory())
        former = known.load
        before = (former.running + former.waiting) / former.slots
        history.occupancy.learn(before, known.occupancy, occupancy, age_ms)
        history.pace.learn(former.pace, known.pace, pace, age_ms)

    def note_work(self, service: str, load: ServerLoad, elapsed_ms: float) -> None:
        """Note that a server with this load answered a call after `elapsed_ms`."""
        if load.waiting:
            return
        history = self._services.setdefault(service, ServiceHistory())
        work_ms = min(max(elapsed_ms / load.pace, MIN_WORK_MS), MAX_WORK_MS)
        history.work_ms += NEWEST_WORK_WEIGHT * (work_ms - history.work_ms)

    def find_work_ms(self, service: str) -> float:
        """Return the mean time of a call that does not wait, at the usual pace."""
        history = self._services.get(service)
        return USUAL_WORK_MS if history is None else history.work_ms

    def note_full(self, server: str, boot_ms: int, load: ServerLoad) -> None:
        """Note that a server refused a request for want of room at this load."""
        known = self._newest.get(server)
        if known is not None and known.boot_ms == boot_ms:
            known.full_at = load.running + load.waiting

    def estimate(self, server: str, boot_ms: int, now: float) -> AgedLoad | None:
        """Return the expected load of a server, or None if nothing is known of it."""
        known = self._newest.get(server)
        if known is None or known.boot_ms != boot_ms:
            return None
        age_ms = max(now - known.at_ms, 0.0)
        if age_ms > MAX_AGE_MS:
            return None
        history = self._services.get(known.service) or ServiceHistory()
        load = known.load
        return AgedLoad(
            load.running + load.waiting,
            known.occupancy * load.slots,
            load.slots,
            self._age_pace(known, history, age_ms),
            _halve(age_ms, history.occupancy.ms),
            known.held,
            known.full_at,
        )

    @staticmethod
    def _age_pace(known: Observation, history: ServiceHistory, age_ms: float) -> float:
        """Return the expected pace: first the observed one, then the average."""
        weight = _halve(age_ms, history.pace.ms)
        # Without observations the average itself returns to the usual pace.
        average = 1.0 + (known.pace - 1.0) * _halve(age_ms, AVERAGE_HALF_LIFE_MS)
        return weight * known.load.pace + (1.0 - weight) * average

    def find_pace(self, server: str, boot_ms: int, now: float) -> float:
        """Return the expected pace of a server, 1.0 if nothing is known."""
        known = self._newest.get(server)
        if known is None or known.boot_ms != boot_ms:
            return 1.0
        age_ms = max(now - known.at_ms, 0.0)
        if age_ms > MAX_AGE_MS:
            return 1.0
        history = self._services.get(known.service) or ServiceHistory()
        return self._age_pace(known, history, age_ms)

    def may_log_malformed(self, server: str, now: float) -> bool:
        """Return whether to log a malformed load of a server; the next one is not."""
        if now - self._malformed_ms.get(server, float("-inf")) < MALFORMED_INTERVAL_MS:
            return False
        if len(self._malformed_ms) >= MAX_SERVERS:
            self._malformed_ms.clear()
        self._malformed_ms[server] = now
        return True

    def drop_old(self, now: float) -> None:
        """Forget the servers of which nothing was observed for long."""
        for name, known in list(self._newest.items()):
            if now - known.at_ms > MAX_AGE_MS:
                del self._newest[name]

    def find_newest(self, server: str) -> NewestLoad | None:
        """Return the newest observation of a server, or None if there is none."""
        known = self._newest.get(server)
        if known is None:
            return None
        return NewestLoad(server, known.boot_ms, known.load, known.at_ms)

    def count(self) -> int:
        """Return the number of servers whose load is known."""
        return len(self._newest)
