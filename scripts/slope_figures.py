"""Measured figures, as a table for people and as JSON for comparison."""

from collections.abc import Iterable, Sequence

from arbutuspulley.data import Value
from scripts.slope_fit import Point, fit_line

_NAME_COLUMNS = 46
_NUMBER_COLUMNS = 12


class Figure(Value, frozen=True):
    """One figure.

    :param name: ``role.what``, the key in the JSON line.
    :param value: the slope, or the measured value itself.
    :param unit: unit of the value, and what one is counted for.
    :param base: what is spent without any; ``None`` if there is no line.
    :param residual: see :class:`~scripts.slope_fit.Line`.
    :param points: what it was fitted to.
    """

    name: str
    value: float
    unit: str
    base: float | None = None
    residual: float | None = None
    points: tuple[Point, ...] = ()


def build_slope(name: str, unit: str, points: Sequence[Point]) -> Figure:
    """Return the figure of a straight line through points."""
    line = fit_line(points)
    return Figure(
        name=name,
        value=line.slope,
        unit=unit,
        base=line.base,
        residual=line.residual,
        points=tuple(points),
    )


def show_table(figures: Iterable[Figure]) -> str:
    """Return all figures as a table."""
    head = f"{'figure':{_NAME_COLUMNS}}{'value':>{_NUMBER_COLUMNS}}"
    head += f"{'base':>{_NUMBER_COLUMNS}}{'residual':>10}  unit; size:value of points"
    return "\n".join([head, *(_show(figure) for figure in figures)])


def build_record(figures: Iterable[Figure]) -> dict[str, object]:
    """Return the content of the JSON line."""
    return {
        figure.name: {
            "value": round(figure.value, 6),
            "unit": figure.unit,
            **({} if figure.base is None else {"base": round(figure.base, 6)}),
            **(
                {}
                if figure.residual is None
                else {"residual": round(figure.residual, 3)}
            ),
            **(
                {
                    "points": [
                        [point.size, round(point.value, 6)] for point in figure.points
                    ]
                }
                if figure.points
                else {}
            ),
        }
        for figure in figures
    }


def _show(figure: Figure) -> str:
    base = "" if figure.base is None else f"{figure.base:.4g}"
    residual = "" if figure.residual is None else f"{figure.residual:.0%}"
    points = " ".join(f"{point.size:g}:{point.value:.4g}" for point in figure.points)
    detail = f"{figure.unit}; {points}" if points else figure.unit
    return (
        f"{figure.name:{_NAME_COLUMNS}}{figure.value:>{_NUMBER_COLUMNS}.4g}"
        f"{base:>{_NUMBER_COLUMNS}}{residual:>10}  {detail}"
    )
