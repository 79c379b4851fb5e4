"""Estimate the duration of requests from earlier ones."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["DurationEstimator", "Estimate"]

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
MIN_SAMPLES = 5
MAX_ESTIMATES = 4096


@dataclass(slots=True)
class Estimate:
    """Exponentially smoothed mean and mean deviation, in ms."""

    mean: float
    deviation: float
    samples: int = 1

    def update(self, value: float) -> None:
        """Add one duration to the estimate."""
        error = value - self.mean
        gain = max(MEAN_GAIN, 1.0 / (self.samples + 1))
        self.mean += gain * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)
        self.samples += 1

    @property
    def low(self) -> float:
        """Return the mean less two deviations, which most requests exceed."""
        return max(self.mean - 2.0 * self.deviation, 0.0)


class DurationEstimator:
    """Duration estimates by class and workspace, or by class while samples are few."""

    def __init__(self, expected_ms: float) -> None:
        self._expected_ms = expected_ms
        self._estimates: OrderedDict[tuple[str, str], Estimate] = OrderedDict()

    def update(self, class_name: str, workspace: str, duration_ms: float) -> None:
        """Add one duration to the estimate."""
        for key in ((class_name, workspace), (class_name, "")):
            estimate = self._estimates.get(key)
            if estimate is None:
                self._estimates[key] = Estimate(duration_ms, duration_ms / 2)
            else:
                estimate.update(duration_ms)
            self._estimates.move_to_end(key)
        while len(self._estimates) > MAX_ESTIMATES:
            self._estimates.popitem(last=False)

    def find(self, class_name: str, workspace: str) -> Estimate:
        """Return the most specific estimate that has enough samples."""
        for key in ((class_name, workspace), (class_name, "")):
            estimate = self._estimates.get(key)
            if estimate is not None and estimate.samples >= MIN_SAMPLES:
                return estimate
        return Estimate(self._expected_ms, self._expected_ms / 2, 0)
