"""The tables in ``docs`` list exactly the numbers and names defined in the code."""

from pathlib import Path

import pytest

from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.events import Event
from arbutuspulley.programs.console_errors import build_error_reply
from arbutuspulley.results import Code, ConfigurationError

DOCS = Path(__file__).parents[1] / "docs"


def _read_rows(page):
    """Return the cells of the table rows that start with a number."""
    lines = (DOCS / page).read_text().splitlines()
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in rows if row[0].isdigit()]


@pytest.mark.parametrize(
    ("page", "known", "columns"), [("RESULTS.md", Code, 7), ("EVENTS.md", Event, 4)]
)
def test_table_lists_every_number_exactly_once(page, known, columns):
    expected = [(member.value, member.name.lower(), columns) for member in known]
    rows = [(int(row[0]), row[1], len(row)) for row in _read_rows(page)]
    assert sorted(rows) == sorted(expected)


def test_documented_statuses_match_entries_and_console():
    documented = {Code(int(row[0])): row[2] for row in _read_rows("RESULTS.md")}
    for code, shown in documented.items():
        is_answer = 1_000 < code < 4_000 or code is Code.INTERNAL
        if is_answer:
            assert shown == str(build_failure(code, "").status), code
        elif shown.isdigit():
            error = ConfigurationError(code=code, detail="")
            assert shown == str(build_error_reply(error)[1].value), code
