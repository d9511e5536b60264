"""Linear regression by least squares."""

from dataclasses import dataclass

MIN_POINTS = 4


@dataclass(frozen=True, slots=True)
class RegressionLine:
    """Line ``y = intercept + slope * x``.

    Attributes
    ----------
    r_squared : float
        Coefficient of determination; 1 if all points are on the line.
    """

    intercept: float
    slope: float
    r_squared: float

    def value_at(self, x):
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def least_squares(points):
    """Return the `RegressionLine` with the least squares of the residuals.

    Raises
    ------
    ValueError
        If there are fewer than four points or all have the same `x`.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"{len(points)} points: expected at least {MIN_POINTS}")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    x_squares = sum((x - mean_x) ** 2 for x, _ in points)
    if not x_squares:
        raise ValueError("all points have the same x")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_squares
    intercept = mean_y - slope * mean_x
    y_squares = sum((y - mean_y) ** 2 for _, y in points)
    residual_squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return RegressionLine(
        intercept, slope, 1 - residual_squares / y_squares if y_squares else 1.0
    )
