"""Report of a bench run: a Markdown page with one plot."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import msgspec

matplotlib.use("svg")

from matplotlib import pyplot

from arbutuspulley.bench.figures import (
    Run,
    Summary,
    build_first_token_histogram,
    summarise,
)
from arbutuspulley.bench.workloads import FIRST_TOKEN_TARGET_MS
from arbutuspulley.data import Message

PLOT_NAME = "first-token.svg"
PAGE_NAME = "report.md"

TARGETS = {
    "attainment_vs_baseline": "at least 1.2",
    "goodput_2x_over_1x": "at least 0.95",
    "quiet_caller_share": "at least 0.95",
    "retry_amplification": "at most 1.1",
    "moves_vs_on_miss": "at most 0.33",
    "lost": "0",
    "doubled": "0",
    "overcommitted": "0",
}


class Figures(Message, frozen=True, omit_defaults=False):
    """Figures that the bench prints as its last line; ``None`` if not measured.

    Names that end in ``_baseline`` are the baseline's figures for comparison. Names
    that end in ``_first`` time the first token from the first attempt.
    """

    seed: int
    attainment: float | None = None
    attainment_baseline: float | None = None
    attainment_vs_baseline: float | None = None
    goodput_2x_over_1x: float | None = None
    goodput_2x_over_1x_first: float | None = None
    goodput_2x_over_1x_baseline: float | None = None
    quiet_caller_share: float | None = None
    quiet_caller_share_first: float | None = None
    retry_amplification: float | None = None
    retry_amplification_baseline: float | None = None
    moves_vs_on_miss: float | None = None
    lost: int = 0
    doubled: int = 0
    overcommitted: int = 0


def write_report(directory: Path, runs: Sequence[Run], figures: Figures) -> Path:
    """Write the page and its plot.

    :return: path of the page.
    """
    _plot(directory / PLOT_NAME, runs)
    lines = ["# Bench", "", f"Seed {figures.seed}.", ""]
    lines += _build_figures(figures)
    lines += ["", f"![Time to the first token]({PLOT_NAME})", ""]
    lines += _build_table([summarise(run) for run in runs])
    page = directory / PAGE_NAME
    page.write_text("\n".join(lines) + "\n")
    return page


def _build_figures(figures: Figures) -> list[str]:
    lines = ["| figure | measured | aim |", "| --- | --- | --- |"]
    for name, value in msgspec.structs.asdict(figures).items():
        if name == "seed":
            continue
        shown = "not measured" if value is None else value
        lines.append(f"| {name} | {shown} | {TARGETS.get(name, '')} |")
    return lines


def _build_table(summaries: Sequence[Summary]) -> list[str]:
    names = Summary.__struct_fields__
    lines = [f"| {' | '.join(names)} |", f"| {' | '.join('---' for _ in names)} |"]
    for summary in summaries:
        cells = (str(getattr(summary, name)) for name in names)
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def _plot(path: Path, runs: Sequence[Run]) -> None:
    """Plot the cumulative distribution of the time to the first token."""
    figure, axes = pyplot.subplots(figsize=(9, 5))
    for run in runs:
        histogram = build_first_token_histogram(run)
        total = len([record for record in run.requests if record.attempts])
        if not total or not histogram.get_total_count():
            continue
        fraction = histogram.get_total_count() / total
        steps = range(101)
        times = [max(1, histogram.get_value_at_percentile(step)) for step in steps]
        style = "-" if run.policy == "arbutuspulley" else "--"
        axes.plot(
            times,
            [step * fraction for step in steps],
            style,
            label=f"{run.name} ({run.policy})",
        )
    axes.axvline(FIRST_TOKEN_TARGET_MS, color="black", linewidth=0.8, label="target")
    axes.set_xscale("log")
    axes.set_xlabel("ms from the first try to the first token")
    axes.set_ylabel("% of requests")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
