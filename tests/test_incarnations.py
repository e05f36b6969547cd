"""Incarnations of servers, for any server id."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.platform.incarnations import build_incarnation, get_server_id

IDS = st.text(alphabet="ab@1", min_size=1, max_size=6)
TIMES = st.integers(min_value=0, max_value=12)


@pytest.mark.parametrize(
    ("server_id", "started_ms"),
    [("e1", 0), ("e1", 5), ("e1@5", 0), ("e1@5", 6), ("@", 0), ("e1@", 0), ("@5", 0)],
)
def test_the_server_id_is_recovered_from_an_incarnation(server_id, started_ms):
    """A server's id that ended like another server's incarnation was mapped to that
    server's id, and the server that got the requests refused each one."""
    assert get_server_id(build_incarnation(server_id, started_ms)) == server_id


@given(first=st.tuples(IDS, TIMES), second=st.tuples(IDS, TIMES))
def test_incarnations_of_different_starts_differ(first, second):
    assert (build_incarnation(*first) == build_incarnation(*second)) == (
        first == second
    )
