"""The tables in ``docs`` hold each number and name that the code knows, and no more."""

from pathlib import Path

import pytest

from arbutuspulley.events import Event
from arbutuspulley.results import Code

DOCS = Path(__file__).parents[1] / "docs"


def _read_table(page):
    """Return (number, name, number of cells) of the rows that begin with a number."""
    lines = (DOCS / page).read_text().splitlines()
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [(int(row[0]), row[1], len(row)) for row in rows if row[0].strip().isdigit()]


@pytest.mark.parametrize(
    ("page", "known", "columns"), [("RESULTS.md", Code, 7), ("EVENTS.md", Event, 4)]
)
def test_every_number_stands_once_in_its_table(page, known, columns):
    expected = [(one.value, one.name.lower(), columns) for one in known]
    assert sorted(_read_table(page)) == sorted(expected)
