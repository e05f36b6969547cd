"""Fitting and summing of measured slopes."""

import pytest

from scripts.slope_figures import build_record, build_slope, show_table
from scripts.slope_fit import (
    FitError,
    Point,
    Term,
    find_quantile,
    fit_line,
    fit_plane,
    sum_terms,
)


def _points(*pairs):
    return [Point(size=size, value=value) for size, value in pairs]


@pytest.mark.parametrize(
    ("points", "slope", "base", "residual"),
    [
        (_points((1, 5), (2, 7), (4, 11)), 2, 3, 0),
        (_points((0, 4), (10, 4), (20, 4)), 0, 4, 0),
        # Off the line in the middle: the residual says so, the slope stays.
        (_points((0, 0), (1, 4), (2, 2)), 1, 1, 0.5),
        (_points((1, 0), (2, 0), (3, 0)), 0, 0, 0),
    ],
)
def test_line(points, slope, base, residual):
    line = fit_line(points)
    found = (line.slope, line.base, line.residual)
    assert found == pytest.approx((slope, base, residual), abs=1e-9)


def test_plane_tells_two_factors_apart():
    rows = [(1, 10), (2, 10), (2, 40), (5, 40)]
    values = [3 * requests + 0.5 * chunks for requests, chunks in rows]
    assert fit_plane(rows, values) == pytest.approx((3, 0.5))


@pytest.mark.parametrize(
    "fit",
    [
        lambda: fit_line(_points((3, 1), (3, 2))),
        lambda: fit_line(_points((3, 1))),
        lambda: fit_plane([(1, 10), (2, 20), (3, 30)], [1, 2, 3]),
        lambda: fit_plane([], []),
        lambda: find_quantile([], 0.95),
    ],
)
def test_points_that_determine_nothing_are_refused(fit):
    with pytest.raises(FitError):
        fit()


@pytest.mark.parametrize(
    ("part", "expected"), [(0.5, 50), (0.95, 95), (1.0, 100), (0.001, 1)]
)
def test_quantile(part, expected):
    assert find_quantile(list(range(100, 0, -1)), part) == expected


def test_sum():
    terms = [
        Term(name="chunks", slope=0.25, count=4_000),
        Term(name="requests", slope=5, count=10),
    ]
    assert sum_terms(terms) == 1_050


def test_figures_show_their_points():
    figure = build_slope("entry.stream", "MiB", _points((1, 5), (2, 7), (4, 11)))
    assert "1:5 2:7 4:11" in show_table([figure])
    record = build_record([figure])["entry.stream"]
    assert record["points"] == [[1, 5], [2, 7], [4, 11]]
    assert (record["value"], record["base"], record["residual"]) == (2, 3, 0)
