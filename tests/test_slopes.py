"""Fitting and summing of measured slopes."""

import pytest

from scripts.slope_figures import Figure, build_record, build_slope, show_table
from scripts.slope_fit import (
    FitError,
    Point,
    Term,
    find_quantile,
    fit_line,
    fit_plane,
    sum_terms,
)
from scripts.slope_sums import MEASURED, build_sums, show_sums


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


def _figure(name, value, base):
    return Figure(name=name, value=value, base=base, unit="")


CELL_STEPS = ["place", "publish", "choose_read", "choose_claims", "view_encode"]
FIGURES = [
    *(_figure(name, 1.0, 0.0) for name in MEASURED),
    *(_figure(f"cell.{step}_cpu", 0.0, 2.0) for step in [*CELL_STEPS, "view_decode"]),
    *(_figure(f"entry.{name}_cpu", 0.0, None) for name in ("request", "idle")),
    _figure("controller.peer_cpu", 3.0, 18.0),
    _figure("platform.writes", 0.4, 0.0),
    *(
        _figure(f"controller.{name}", 1.0, 0.0)
        for name in ("platform_wire", "peer_reply")
    ),
    *(
        _figure(f"exchange.{name}", 1.0, 0.0)
        for name in ("request_bytes", "reply_bytes")
    ),
    _figure("controller.report_bytes", 1.0, 0.0),
]


@pytest.mark.parametrize(
    ("name", "total"),
    [
        ("entry, ms", 1_600_000 / 360 + 2 * 15),
        # Loops, reports, peers, plans, steps at 5, 5, 2, 1 and 15 a second, changes.
        ("controller, ms", 18 + 29 + 117 + 290 + 2 * 28 + 12_600 * 3_700 / 86_400),
        ("controller, bytes", 40 + 29 + 78 + 78 + 14.5 * 78),
        ("table, reads", 360),
        ("table, renewals", 144),
    ],
)
def test_sums_at_the_target(name, total):
    sums = {one.name: one for one in build_sums(FIGURES)}
    assert sum_terms(sums[name].terms) == pytest.approx(total)
    assert name in show_sums(sums.values())


def test_no_sums_without_all_parts():
    assert build_sums(FIGURES[1:]) == ()
