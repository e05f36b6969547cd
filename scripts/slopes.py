"""``make slopes``: measures what one more of each thing costs, and prints a table.

Ends with one JSON line; docs/CAPACITY.md works out from it what a large fleet needs.
After a whole run the sums for one node of the target stand below the table.
Real processes run one small stack after the other, with a few seconds for each
point; what cannot be started at the target's size is called directly.
"""

import json
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import cyclopts

from scripts.launcher import Launcher, open_launcher
from scripts.slope_cells import measure_cells
from scripts.slope_controller import measure_controller
from scripts.slope_entry import measure_entry
from scripts.slope_figures import Figure, build_record, show_table
from scripts.slope_instances import measure_instances
from scripts.slope_sizes import measure_sizes
from scripts.slope_sums import build_sums, show_sums

Measure = Callable[[Launcher, Path], list[Figure]]

PARTS: dict[str, Measure] = {
    "sizes": lambda _launcher, _directory: measure_sizes(),
    "cells": lambda _launcher, _directory: measure_cells(),
    "entry": measure_entry,
    "controller": measure_controller,
    "instances": measure_instances,
}
"""Parts by name, in the order in which they run; each has a stack of its own."""

app = cyclopts.App(name="slopes", help="Measure what one more of each thing costs.")


@app.default
def run(
    *,
    only: Annotated[
        str, cyclopts.Parameter(help="parts, separated by commas; default: all")
    ] = "",
    json_file: Annotated[
        str, cyclopts.Parameter(help="file that the JSON line is appended to")
    ] = "",
) -> None:
    """Measure and print a table and a JSON line."""
    chosen = only.split(",") if only else list(PARTS)
    unknown = [name for name in chosen if name not in PARTS]
    if unknown:
        sys.exit(f"slopes: no such part: {', '.join(unknown)}; parts: {list(PARTS)}")
    began_at = time.monotonic()
    figures = [figure for name in chosen for figure in _measure(name)]
    seconds = time.monotonic() - began_at
    print(show_table(figures))
    sums = build_sums(figures)
    if sums:
        print(show_sums(sums))
    print(f"slopes: took {seconds:.0f} s")
    line = json.dumps({"seconds": round(seconds), "figures": build_record(figures)})
    print(line)
    if json_file:
        with Path(json_file).open("a") as file:
            file.write(f"{line}\n")


def _measure(name: str) -> list[Figure]:
    print(f"slopes: measuring {name}", file=sys.stderr, flush=True)
    directory = Path(tempfile.mkdtemp(prefix="arbutus-slopes-"))
    with open_launcher(directory) as launcher:
        figures = PARTS[name](launcher, directory)
    shutil.rmtree(directory)
    return figures


if __name__ == "__main__":
    app()
