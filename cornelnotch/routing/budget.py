"""Limit retries to a fixed share of first attempts."""

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.2
INITIAL_TOKENS = 5.0
MAX_TOKENS = 100.0


class RetryBudget:
    """Retry budget that grows by a fixed share with each first attempt."""

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def record_request(self) -> None:
        """Add the share of one first attempt."""
        self._tokens = min(self._tokens + RETRY_SHARE, MAX_TOKENS)

    def try_acquire(self) -> bool:
        """Take one retry from the budget and return whether it is allowed."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
