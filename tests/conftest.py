"""Marks the tests listed in ``KNOWN-RED.txt`` at the root as expected failures.

Each line of the list is ``test id | cause | issue``; the list is printed at the end of
a run. Listed tests still run, and a listed test that passes fails the run, so that
entries are removed when their faults are fixed.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def _read_known_red():
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    rows = [[cell.strip() for cell in line.split("|")] for line in lines]
    for number, row in enumerate(rows, start=1):
        if len(row) != 3 or not all(row):
            raise pytest.UsageError(
                f"KNOWN-RED.txt, entry {number}: {len(row)} cells, expected"
                " 'test id | cause | issue'"
            )
    return {row[0]: f"{row[1]} (issue {row[2]})" for row in rows}


def pytest_collection_modifyitems(items):
    known = _read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    for name, cause in _read_known_red().items():
        terminalreporter.write_line(f"known red: {name}: {cause}")
