"""Fit a line to observations whose weight decays with their age; no I/O."""

from dataclasses import dataclass

__all__ = ["Coefficients", "LinearFit"]


@dataclass(frozen=True, slots=True)
class Coefficients:
    """Coefficients of `z = first * x + second * y`."""

    first: float
    second: float


class LinearFit:
    """Least-squares fit of `z = first * x + second * y`, pulled towards a prior.

    The prior counts as observations of `x_weight` and of `y_weight` by themselves.
    """

    def __init__(self, prior: Coefficients, x_weight: float, y_weight: float) -> None:
        self._prior = prior
        self._x_weight = x_weight**2
        self._y_weight = y_weight**2
        self._xx = 0.0
        self._xy = 0.0
        self._yy = 0.0
        self._xz = 0.0
        self._yz = 0.0

    def decay(self, factor: float) -> None:
        """Multiply the weight of all observations by `factor`."""
        self._xx *= factor
        self._xy *= factor
        self._yy *= factor
        self._xz *= factor
        self._yz *= factor

    def add(self, x: float, y: float, z: float) -> None:
        """Add one observation."""
        self._xx += x * x
        self._xy += x * y
        self._yy += y * y
        self._xz += x * z
        self._yz += y * z

    def solve(self) -> Coefficients:
        """Return the coefficients that fit best."""
        xx = self._xx + self._x_weight
        yy = self._yy + self._y_weight
        xz = self._xz + self._x_weight * self._prior.first
        yz = self._yz + self._y_weight * self._prior.second
        divisor = xx * yy - self._xy**2
        return Coefficients(
            (xz * yy - yz * self._xy) / divisor, (yz * xx - xz * self._xy) / divisor
        )
