"""Least squares lines."""

import pytest

from hornbeamshore.bench.fit import least_squares

# Points, then intercept, slope and coefficient of determination.
LINES = {
    "points on a line": ([(0, 1), (1, 3), (2, 5), (3, 7)], 1, 2, 1),
    "horizontal line": ([(1, 4), (2, 4), (3, 4), (4, 4)], 4, 0, 1),
    "points off the line": ([(0, 0), (1, 2), (2, 1), (3, 3)], 0.3, 0.8, 0.64),
    "repeated x": ([(0, 0), (0, 2), (2, 4), (2, 6)], 1, 2, 0.8),
}


@pytest.mark.parametrize(
    ("points", "intercept", "slope", "r_squared"), LINES.values(), ids=LINES
)
def test_least_squares(points, intercept, slope, r_squared):
    """Guards against capacity figures computed from a wrong slope."""
    line = least_squares(points)
    assert line.intercept == pytest.approx(intercept)
    assert line.slope == pytest.approx(slope)
    assert line.r_squared == pytest.approx(r_squared)
    assert line.value_at(10) == pytest.approx(intercept + 10 * slope)


@pytest.mark.parametrize("points", [[(0, 1), (1, 2), (2, 3)], [(1, 1)] * 4])
def test_least_squares_rejects_points(points):
    """Guards against a slope computed from too few points or from equal ones."""
    with pytest.raises(ValueError, match="points"):
        least_squares(points)
