"""Linear regression by least squares."""

from dataclasses import dataclass

MIN_POINTS = 4


@dataclass(frozen=True, slots=True)
class Line:
    """Line ``y = intercept + slope * x``.

    Attributes
    ----------
    fit : float
        Coefficient of determination; 1 if all points are on the line.
    """

    intercept: float
    slope: float
    fit: float

    def at(self, x):
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def least_squares(points):
    """Return the `Line` that fits points with the least squares of the residuals.

    Raises
    ------
    ValueError
        If there are fewer than four points or all have the same `x`.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"{len(points)} points: expected at least {MIN_POINTS}")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError("all points have the same x")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    rest = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(intercept, slope, 1 - rest / total if total else 1.0)
