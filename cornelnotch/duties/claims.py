"""The claim to the duties as one host sees it; no I/O, and the time is a parameter.

A claim is a record in the store that is written on condition that the log still ends
where the writer last saw its end. A successful write therefore proves that no other
host has claimed in the meantime.
"""

from dataclasses import dataclass

from cornelnotch.duties.models import Claim

__all__ = [
    "MAX_TOKEN",
    "ClaimTracker",
    "ObservedLog",
    "StoredClaim",
    "choose_token",
    "is_valid_token",
]

# A restored store assigns the same offsets again, so the timeline stands before them.
TOKENS_PER_TIMELINE = 2**32
MAX_TOKEN = 2**53 - 1
# The first skip after a refused token. Each further one doubles it, so that a few skips
# exceed the tokens of another timeline.
FIRST_SKIP = 2**28
MAX_SKIPS = 16
# Longer than a claim takes, so that the candidates seldom claim at the same time.
RANK_DELAY_MS = 700.0
# A holder that sends nothing for this many leases is lost.
SILENT_LEASES = 2.0


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim as the store has it; an empty `host` is a release.

    Windows up to `skip_through` that are not found in the store may have been reported
    before it was restored.
    """

    host: str
    boot_ms: int
    token: int
    timeline: int
    skip_through: int


@dataclass(frozen=True, slots=True)
class ObservedLog:
    """The newest claim and the end of its log in a timeline of the store."""

    claim: StoredClaim | None
    timeline: int
    end_offset: int

    def is_newer_than(self, other: "ObservedLog") -> bool:
        """Return whether this is a later state of the log."""
        own = (self.timeline, self.end_offset)
        return own > (other.timeline, other.end_offset)

    def find_valid_claim(self) -> StoredClaim | None:
        """Return the claim unless it is a release or of an earlier timeline."""
        claim = self.claim
        if claim is None or not claim.host or claim.timeline != self.timeline:
            return None
        return claim


def choose_token(previous: int, timeline: int, offset: int, skip: int = 0) -> int:
    """Return the token of a claim at `offset`, higher than `previous`.

    The offset keeps the token unique in its timeline when the claim before it was lost
    or overwritten by a late write of an earlier timeline.
    """
    least = timeline * TOKENS_PER_TIMELINE + min(offset, TOKENS_PER_TIMELINE - 1)
    return min(max(previous + 1, least) + skip, MAX_TOKEN)


def is_valid_token(token: int, timeline: int) -> bool:
    """Return whether a claim of a timeline can have a token."""
    return 0 <= timeline * TOKENS_PER_TIMELINE <= token <= MAX_TOKEN


class ClaimTracker:
    """What one host knows of the claim, and whether its own claim may be used.

    The lease of a claim runs from the time at which its last successful write was sent.
    Another host claims once it has known the end of the log for a lease, at that end:
    a write of the holder in between makes that claim fail, so the leases of two hosts
    never overlap.
    """

    def __init__(
        self, host: str, boot_ms: int, lease_ms: float, started_ms: float
    ) -> None:
        self._host = host
        self._boot_ms = boot_ms
        self._lease_ms = lease_ms
        self._started_ms = started_ms
        self.observed: ObservedLog | None = None
        self._observed_ms = float("-inf")
        self._highest_token = 0
        self._given_up_token = -1
        self._heard_ms = float("-inf")
        self._eligible_since_ms: float | None = None
        self._own: StoredClaim | None = None
        self._lease_end_ms = float("-inf")
        self._last_held_ms = float("-inf")
        self._refused_token = -1
        self._skips = 0
        self.claimed_ms = float("-inf")

    def observe(self, log: ObservedLog, now: float) -> None:
        """Apply a read of the store."""
        if log != self.observed:
            self.observed = log
            self._observed_ms = now
        if log.claim is not None:
            self._highest_token = max(self._highest_token, log.claim.token)
        if self._own is not None and log.find_valid_claim() != self._own:
            self.drop(now)

    def hear(self, log: ObservedLog, gives_up: bool, now: float) -> None:
        """Apply a heartbeat of the holder."""
        if log.claim is None or log.claim.token < self._highest_token:
            return
        if self._own is not None and log.claim.token <= self._own.token:
            return
        self._highest_token = log.claim.token
        self._heard_ms = now
        if gives_up:
            self._given_up_token = log.claim.token
        if self.observed is None or log.is_newer_than(self.observed):
            self.observe(log, now)

    @property
    def own(self) -> StoredClaim | None:
        """Return this host's claim if it is the newest that this host knows."""
        return self._own

    def find_holder(self) -> StoredClaim | None:
        """Return the claim of the host that holds the duties, as far as known."""
        claim = self.observed.find_valid_claim() if self.observed else None
        if claim is None or claim.token == self._given_up_token:
            return None
        return claim

    def find_current(self, now: float) -> Claim | None:
        """Return this host's claim if it may be used now."""
        own = self._own
        if own is None or now >= self._lease_end_ms:
            return None
        if own.token == self._refused_token:
            return None
        return Claim(own.host, own.token, own.timeline)

    def is_own_newest(self) -> bool:
        """Return whether the newest claim is of this process, held or not."""
        claim = self.observed.find_valid_claim() if self.observed else None
        return (
            claim is not None
            and claim.host == self._host
            and claim.boot_ms == self._boot_ms
            and claim.token != self._given_up_token
        )

    def may_claim(
        self, rank: int, is_lost: bool, now: float, isolated_ms: float = 0.0
    ) -> bool:
        """Return whether to claim now as candidate `rank`, counted from 0.

        `is_lost` tells whether the holder is out of reach by the host list. A host that
        hears no other one cannot judge that, so it waits `isolated_ms` longer for a
        write of the holder.
        """
        if not self._is_vacant(is_lost, now, isolated_ms):
            self._eligible_since_ms = None
            return False
        if self._eligible_since_ms is None:
            self._eligible_since_ms = now
        return now - self._eligible_since_ms >= rank * RANK_DELAY_MS

    def _is_vacant(self, is_lost: bool, now: float, isolated_ms: float) -> bool:
        if self.observed is None or self._own is not None:
            return False
        if now < self._started_ms + self._lease_ms:
            return False
        if self.is_own_newest():
            return True
        if now < self._last_held_ms + self._lease_ms:
            return False
        if self._is_released():
            return True
        # An empty log may be a restored one, whose last holder still acts.
        if now < self._observed_ms + self._lease_ms:
            return False
        if self.find_holder() is None:
            return True
        if now < self._observed_ms + self._lease_ms + isolated_ms:
            return False
        heard_ms = max(self._heard_ms, self._started_ms)
        return is_lost or now >= heard_ms + SILENT_LEASES * self._lease_ms

    def _is_released(self) -> bool:
        """Return whether the newest claim was given up by its holder."""
        log = self.observed
        if log is None or log.claim is None or log.claim.timeline != log.timeline:
            return False
        return not log.claim.host or log.claim.token == self._given_up_token

    def create_claim(self, skip_through: int, random_part: float) -> StoredClaim:
        """Return the claim to write at the known end of the log.

        `skip_through` is used in a timeline without claims. `random_part` in [0, 1)
        keeps the tokens of two hosts apart that skip ahead in different timelines.
        """
        log = self.observed
        assert log is not None
        known = log.claim
        if known is not None and known.timeline == log.timeline:
            skip_through = known.skip_through
        skip = 0
        if self._skips:
            skip = int(FIRST_SKIP * 2.0 ** (self._skips - 1) * (1.0 + random_part))
        token = choose_token(self._highest_token, log.timeline, log.end_offset, skip)
        return StoredClaim(self._host, self._boot_ms, token, log.timeline, skip_through)

    def note_claimed(
        self, claim: StoredClaim, end_offset: int, sent_ms: float, now: float
    ) -> None:
        """Apply a successful write of a claim in its timeline."""
        self._own = claim
        self._highest_token = max(self._highest_token, claim.token)
        self._eligible_since_ms = None
        self.claimed_ms = now
        self.note_written(end_offset, sent_ms, now)

    def note_written(self, end_offset: int, sent_ms: float, now: float) -> None:
        """Apply a successful conditional write, which renews the lease."""
        own = self._own
        assert own is not None
        self.observed = ObservedLog(own, own.timeline, end_offset)
        self._observed_ms = now
        self._lease_end_ms = sent_ms + self._lease_ms
        self._last_held_ms = now

    def find_lease_left_ms(self, now: float) -> float:
        """Return how long the claim may be used without a further write."""
        return self._lease_end_ms - now if self._own is not None else 0.0

    def note_conflict(self, token: int) -> None:
        """Stop the use of a token that the API refused for a higher one."""
        if self._own is not None and self._own.token == token:
            self._refused_token = token
            self._skips = min(self._skips + 1, MAX_SKIPS)

    def note_accepted(self) -> None:
        """Apply that the API took a call with the current token."""
        self._skips = 0

    def is_refused(self) -> bool:
        """Return whether the own claim needs a higher token."""
        return self._own is not None and self._own.token == self._refused_token

    def drop(self, now: float) -> None:
        """Stop the use of the own claim."""
        if self._own is not None:
            self._own = None
            self._lease_end_ms = float("-inf")
            self._last_held_ms = now

    def give_up(self, now: float) -> None:
        """Stop the use of the own claim for good; others may claim at once."""
        if self._own is not None:
            self._given_up_token = self._own.token
            self.drop(now)
