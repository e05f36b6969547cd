"""Straight lines through measured points, and the sums worked out from them.

Pure functions: what is measured comes from the other ``slope_*`` modules.
"""

import math
from collections.abc import Sequence

import numpy

from arbutuspulley.data import Value


class Point(Value, frozen=True):
    """One measured point.

    :param size: how many of the thing that is counted there were.
    :param value: what was measured.
    """

    size: float
    value: float


class Line(Value, frozen=True):
    """A straight line.

    :param slope: what one more costs.
    :param base: what is spent without any.
    :param residual: largest distance of a point from the line, as a part of the
        largest value; a large one says that the cost is no straight line.
    """

    slope: float
    base: float
    residual: float


class FitError(Exception):
    """The points do not determine the slopes."""


def fit_line(points: Sequence[Point]) -> Line:
    """Return the line with the least squares.

    :raises FitError: if there are not two different sizes.
    """
    rows = [(point.size, 1.0) for point in points]
    values = [point.value for point in points]
    slope, base = fit_plane(rows, values)
    largest = max(abs(value) for value in values) or 1.0
    worst = max(
        abs(point.value - slope * point.size - base) / largest for point in points
    )
    return Line(slope=slope, base=base, residual=worst)


def fit_plane(
    rows: Sequence[Sequence[float]], values: Sequence[float]
) -> tuple[float, ...]:
    """Return what one of each factor costs, by least squares.

    :param rows: how much of each factor a measurement had.
    :param values: what each measurement cost.
    :raises FitError: if the rows do not tell the factors apart.
    """
    matrix = numpy.asarray(rows, dtype=float)
    if matrix.ndim != 2 or numpy.linalg.matrix_rank(matrix) < matrix.shape[1]:
        raise FitError("the measurements do not tell the factors apart")
    found = numpy.linalg.lstsq(matrix, numpy.asarray(values, dtype=float), rcond=None)
    return tuple(float(one) for one in found[0])


def find_quantile(values: Sequence[float], part: float) -> float:
    """Return the smallest value that this part of all values does not exceed.

    :raises FitError: if there is no value.
    """
    if not values:
        raise FitError("there are no values")
    ordered = sorted(values)
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


class Term(Value, frozen=True):
    """One line of a sum: a slope times a count."""

    name: str
    slope: float
    count: float


def sum_terms(terms: Sequence[Term]) -> float:
    """Return what all terms come to."""
    return sum(term.slope * term.count for term in terms)
