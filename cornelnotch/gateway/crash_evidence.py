"""Find the requests and the prompt parts that crash servers; no I/O.

A crash ends all responses at its server, so it accuses all parts of their requests:
those of their prompts that others may share, and the fingerprints of the requests. A
part of which a response ends whole is cleared. Of the others, those that explain the
most crashes are blamed, and crashes that they explain accuse no other part.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace

from cornelnotch.gateway.fingerprints import find_content_fingerprint, is_fingerprint
from cornelnotch.wire.messages import BlamedParts, CrashEvidenceNotice, CrashReport

__all__ = ["BlamedSet", "CrashEvidence", "CrashRecord", "find_blamed_sets"]

# A part that rode along is rarely on three servers that crash in a row.
BLAMED_CRASHES = 3
# Parts of earlier whole responses need more evidence, at different moments.
KNOWN_BLAMED_MOMENTS = 4
# A request with such a part is not sent on after a crash.
SUSPECTED_CRASHES = 2
# A prompt part explains its crashes only if few other servers crash meanwhile. A
# request that does not is blamed, but needs one crash more to be confirmed.
MIN_EXPLAINED_SHARE = 0.5
# Crashes within this time may have one cause besides the requests.
MOMENT_MS = 1000.0
TRIAL_INTERVAL_MS = 2000.0
CRASH_TTL_MS = 600_000.0
MAX_CRASHES = 64
MAX_PARTS_PER_CRASH = 1024
# Reports are repeated for this long, as a collector may be replaced meanwhile.
REPORT_TTL_MS = 3000.0
REMEMBERED_SOUND_PARTS = 8192
REMEMBERED_SOUND_FINGERPRINTS = 8192
MAX_BLAMED_SETS = 256


@dataclass(slots=True)
class CrashRecord:
    """A server process that crashed, and the parts that may have caused it.

    `known` are parts of responses that ended whole before the crash. The record was
    last changed at `changed_ms`.
    """

    server: str
    boot_ms: int
    crashed_ms: float
    changed_ms: float
    parts: set[str] = field(default_factory=set)
    known: set[str] = field(default_factory=set)


@dataclass(slots=True)
class BlamedSet:
    """Parts that together crash servers; `confirmed` by crashes at different moments.

    One host may try a request with a set that is not confirmed, from `trial_ms` on.
    """

    confirmed: bool
    trial_ms: float


def count_moments(crashes: Iterable[CrashRecord]) -> int:
    """Return the number of crashes that are MOMENT_MS apart."""
    count = 0
    last_ms = float("-inf")
    for crashed_ms in sorted(crash.crashed_ms for crash in crashes):
        if crashed_ms - last_ms > MOMENT_MS:
            count += 1
            last_ms = crashed_ms
    return count


def _select(
    accused: list[tuple[CrashRecord, set[str]]], min_crashes: int, min_moments: int
) -> list[frozenset[str]]:
    """Return sets of parts, each of which explains enough of the crashes left."""
    left = list(accused)
    ignored: set[str] = set()
    selected: list[frozenset[str]] = []
    while True:
        counts = Counter(p for _, parts in left for p in parts if p not in ignored)
        most = max(counts.values(), default=0)
        if most < min_crashes:
            return selected
        part = min(p for p, n in counts.items() if n == most)
        explained = [(crash, parts) for crash, parts in left if part in parts]
        # Parts that were at the same crashes cannot be told apart.
        together = set.intersection(*(parts for _, parts in explained)) - ignored
        records = [crash for crash, _ in explained]
        is_explanation = _is_explanation(records, [crash for crash, _ in left])
        if count_moments(records) < min_moments or not (
            is_explanation or _has_fingerprint(together)
        ):
            ignored |= together
            continue
        selected += _split_by_request({p for p in together if counts[p] == most})
        left = [(crash, parts) for crash, parts in left if part not in parts]


def _split_by_request(parts: set[str]) -> list[frozenset[str]]:
    """Return the sets of parts that one request may have.

    No request has the fingerprints of two. The prompt parts beside them may be those
    of only one of the requests.
    """
    fingerprints = {part for part in parts if is_fingerprint(part)}
    # The fingerprint of a whole request stands for that of its content too.
    whole = {f for f in fingerprints if find_content_fingerprint(f) != f}
    requests = fingerprints - {find_content_fingerprint(f) for f in whole}
    if len(requests) <= 1:
        return [frozenset(parts)]
    return [frozenset({fingerprint}) for fingerprint in sorted(requests)]


def _has_fingerprint(parts: Iterable[str]) -> bool:
    return any(is_fingerprint(part) for part in parts)


def _is_explanation(explained: list[CrashRecord], crashes: list[CrashRecord]) -> bool:
    first = min(crash.crashed_ms for crash in explained)
    last = max(crash.crashed_ms for crash in explained)
    meanwhile = sum(first <= crash.crashed_ms <= last for crash in crashes)
    return len(explained) >= MIN_EXPLAINED_SHARE * meanwhile


def find_blamed_sets(
    crashes: Iterable[CrashRecord], min_crashes: int = BLAMED_CRASHES
) -> list[frozenset[str]]:
    """Return sets of parts that explain at least `min_crashes` crashes.

    Only requests with all parts of a set are to blame.
    """
    records = list(crashes)
    blamed = _select([(crash, crash.parts) for crash in records], min_crashes, 1)
    unexplained = [
        (crash, crash.parts | crash.known)
        for crash in records
        if not any(parts <= crash.parts for parts in blamed)
    ]
    return blamed + _select(unexplained, KNOWN_BLAMED_MOMENTS, KNOWN_BLAMED_MOMENTS)


class CrashEvidence:
    """Crashes, cleared parts and blamed parts that one host knows of."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[tuple[str, int], CrashRecord] = OrderedDict()
        self._own: dict[tuple[str, int], float] = {}
        self._sound: OrderedDict[str, float] = OrderedDict()
        self._sound_fingerprints: OrderedDict[str, float] = OrderedDict()
        self._cleared: dict[str, float] = {}
        self._blamed: OrderedDict[frozenset[str], BlamedSet] = OrderedDict()
        self._suspected: list[frozenset[str]] = []
        self.note_change: Callable[[], None] = lambda: None

    def record_crash(
        self, server: str, boot_ms: int, requests: Iterable[tuple[str, ...]], now: float
    ) -> list[frozenset[str]]:
        """Add a crash and the parts of requests there; return newly blamed."""
        parts = {part for shared in requests for part in shared}
        self._own[server, boot_ms] = now
        return self._add(server, boot_ms, now, parts, now)

    def forget_fall(
        self,
        server: str,
        boot_ms: int,
        is_explained: Callable[[str, int, float], bool],
    ) -> None:
        """Forget the crash of a server process if `is_explained` by something else."""
        crash = self._crashes.get((server, boot_ms))
        if crash is None or not is_explained(server, boot_ms, crash.crashed_ms):
            return
        del self._crashes[server, boot_ms]
        self._own.pop((server, boot_ms), None)
        self._suspected = find_blamed_sets(self._crashes.values(), SUSPECTED_CRASHES)
        self.note_change()

    def record_sound(self, parts: Iterable[str], now: float) -> list[str]:
        """Clear the parts of a response that ended whole; return those accused."""
        cleared = []
        for part in parts:
            sound = self._sound_fingerprints if is_fingerprint(part) else self._sound
            sound[part] = now
            sound.move_to_end(part)
            if self._clear(part, now):
                cleared.append(part)
        while len(self._sound) > REMEMBERED_SOUND_PARTS:
            self._sound.popitem(last=False)
        while len(self._sound_fingerprints) > REMEMBERED_SOUND_FINGERPRINTS:
            self._sound_fingerprints.popitem(last=False)
        return cleared

    def list_blamed(self, parts: Collection[str]) -> list[frozenset[str]]:
        """Return the blamed sets that a request with these parts contains."""
        return [blamed for blamed in self._blamed if blamed.issubset(parts)]

    def is_suspected(self, parts: Collection[str]) -> bool:
        """Return whether a request with these parts may crash servers."""
        sets = (*self._suspected, *self._blamed)
        return any(suspected.issubset(parts) for suspected in sets)

    def try_acquire_trial(self, parts: frozenset[str], now: float) -> bool:
        """Use up the current trial of a set that is not confirmed, if there is one."""
        blamed = self._blamed[parts]
        if blamed.confirmed or now < blamed.trial_ms:
            return False
        blamed.trial_ms = now + TRIAL_INTERVAL_MS
        return True

    def create_notice(self, now: float, own_only: bool = False) -> CrashEvidenceNotice:
        """Return the latest crashes, or those this host observed, and blamed sets."""
        self._expire(now)
        crashes = [
            CrashReport(
                crash.server,
                crash.boot_ms,
                round(now - crash.crashed_ms, 1),
                sorted(crash.parts),
                sorted(crash.known),
            )
            for key, crash in self._crashes.items()
            if now - crash.changed_ms <= REPORT_TTL_MS
            and (key in self._own or not own_only)
        ]
        blamed = [
            BlamedParts(sorted(parts), blamed.confirmed)
            for parts, blamed in self._blamed.items()
            if not own_only
        ]
        return CrashEvidenceNotice(crashes, sorted(self._cleared), blamed)

    def create_snapshot(self, now: float) -> CrashEvidenceNotice:
        """Return what suffices to refuse the same requests after a restart.

        Parts that were at one crash only are left out: nothing points to them yet.
        """
        self._expire(now)
        relevant = frozenset().union(*self._suspected, *self._blamed)
        crashes = [
            CrashReport(
                crash.server,
                crash.boot_ms,
                now - crash.crashed_ms,
                sorted(crash.parts & relevant),
                sorted(crash.known & relevant),
            )
            for crash in self._crashes.values()
            if not relevant.isdisjoint(crash.parts | crash.known)
        ]
        blamed = [
            BlamedParts(sorted(parts), blamed.confirmed)
            for parts, blamed in self._blamed.items()
        ]
        return CrashEvidenceNotice(crashes, [], blamed)

    def restore(self, notice: CrashEvidenceNotice, now: float) -> list[frozenset[str]]:
        """Apply what was known before a restart; return newly blamed sets.

        What this host has seen end whole since is newer.
        """
        crashes = [
            replace(
                crash,
                parts=[p for p in crash.parts if not self._is_sound(p)],
                known=[p for p in crash.known if not self._is_sound(p)],
            )
            for crash in notice.crashes
            if crash.age_ms <= CRASH_TTL_MS
        ]
        blamed = [
            replace(b, parts=[p for p in b.parts if not self._is_sound(p)])
            for b in notice.blamed
        ]
        return self.merge(CrashEvidenceNotice(crashes, [], blamed), now)

    def merge(self, notice: CrashEvidenceNotice, now: float) -> list[frozenset[str]]:
        """Apply what another host knows; return newly blamed sets."""
        for part in notice.cleared:
            self._clear(part, now)
        found = []
        for crash in notice.crashes:
            parts = {p for p in crash.parts if p not in self._cleared}
            known = {p for p in crash.known if p not in self._cleared}
            crashed_ms = now - crash.age_ms
            found += self._add(
                crash.server, crash.boot_ms, crashed_ms, parts, now, known
            )
        for blamed in notice.blamed:
            names = frozenset(p for p in blamed.parts if p not in self._cleared)
            if names and self._blame(names, blamed.confirmed, now):
                found.append(names)
        if found:
            self.note_change()
        return found

    def count_crashes(self) -> int:
        """Return the number of crashes that are remembered."""
        return len(self._crashes)

    def count_blamed(self) -> int:
        """Return the number of blamed sets."""
        return len(self._blamed)

    def _add(
        self,
        server: str,
        boot_ms: int,
        crashed_ms: float,
        parts: set[str],
        now: float,
        known: Collection[str] = (),
    ) -> list[frozenset[str]]:
        crash = self._crashes.get((server, boot_ms))
        if crash is None:
            crash = CrashRecord(server, boot_ms, crashed_ms, now)
            self._crashes[server, boot_ms] = crash
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        before = len(crash.parts), len(crash.known)
        sound = {p for p in parts if self._is_sound(p)} | set(known)
        room = max(MAX_PARTS_PER_CRASH - sum(before), 0)
        crash.known.update(sorted(sound)[:room])
        crash.parts.update(sorted(parts - sound)[:room])
        crash.parts -= crash.known
        if (len(crash.parts), len(crash.known)) == before:
            return []
        crash.changed_ms = now
        return self._update(now)

    def _is_sound(self, part: str) -> bool:
        return part in self._sound or part in self._sound_fingerprints

    def _update(self, now: float) -> list[frozenset[str]]:
        crashes = self._crashes.values()
        self._suspected = find_blamed_sets(crashes, SUSPECTED_CRASHES)
        blamed = find_blamed_sets(crashes)
        explained = [[c for c in crashes if p <= c.parts | c.known] for p in blamed]
        found = []
        for parts, records in zip(blamed, explained, strict=True):
            # Only a trial tells requests apart that were at the same crashes.
            is_only_one = explained.count(records) == 1
            confirmed = is_only_one and self._is_confirmed(parts, records)
            if self._blame(parts, confirmed, now):
                found.append(parts)
        self.note_change()
        return found

    def _is_confirmed(self, parts: frozenset[str], records: list[CrashRecord]) -> bool:
        """Return whether a set that explains these crashes needs no trial."""
        if count_moments(records) <= 1:
            return False
        if not _has_fingerprint(parts) or len(records) > BLAMED_CRASHES:
            return True
        return _is_explanation(records, list(self._crashes.values()))

    def _blame(self, parts: frozenset[str], confirmed: bool, now: float) -> bool:
        """Blame a set of parts, in place of larger ones; return whether it is new."""
        known = self._blamed.get(parts)
        if known is not None:
            known.confirmed |= confirmed
            return False
        smaller_sets = [smaller for smaller in self._blamed if smaller < parts]
        for smaller in smaller_sets:
            self._blamed[smaller].confirmed |= confirmed
        if smaller_sets:
            return False
        for larger in [larger for larger in self._blamed if parts < larger]:
            del self._blamed[larger]
        self._blamed[parts] = BlamedSet(confirmed, now + TRIAL_INTERVAL_MS)
        while len(self._blamed) > MAX_BLAMED_SETS:
            self._blamed.popitem(last=False)
        return True

    def _clear(self, part: str, now: float) -> bool:
        """Remove a part from all accusations; return whether there were any."""
        crashes = self._crashes.values()
        accused = [c for c in crashes if part in c.parts or part in c.known]
        for crash in accused:
            crash.parts.discard(part)
            crash.known.discard(part)
        sets = [parts for parts in self._blamed if part in parts]
        for parts in sets:
            blamed = self._blamed.pop(parts)
            if len(parts) > 1:
                self._blame(parts - {part}, blamed.confirmed, now)
        if not accused and not sets:
            return False
        self._cleared[part] = now
        self._update(now)
        return True

    def _expire(self, now: float) -> None:
        for key, crash in list(self._crashes.items()):
            if now - crash.crashed_ms > CRASH_TTL_MS:
                del self._crashes[key]
        for times in (self._own, self._cleared):
            expired = [n for n, at_ms in times.items() if now - at_ms > REPORT_TTL_MS]
            for name in expired:
                del times[name]  # type: ignore[arg-type]
