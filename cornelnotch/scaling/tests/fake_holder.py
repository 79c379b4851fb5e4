"""A holder of duties for tests."""

from cornelnotch.duties.api import DutyHolder
from cornelnotch.duties.models import Claim

__all__ = ["FakeHolder"]


class FakeHolder(DutyHolder):
    """Holds the claim that a test sets; `calls` counts the permitted calls."""

    def __init__(self, recipients=("host-1",), token=1):
        self.claim: Claim | None = Claim("host-1", token, 1)
        self.recipients = list(recipients)
        self.conflicts = []
        self.calls = 0
        self.may_call_now = True

    def find_claim(self):
        return self.claim

    def note_conflict(self, claim):
        self.conflicts.append(claim)
        self.claim = None

    def list_recipients(self):
        return self.recipients

    def may_call(self):
        self.calls += self.may_call_now
        return self.may_call_now
