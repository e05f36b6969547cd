"""Servers that are leaving by their own answers."""

from arbutuspulley.membership.leaving import LeavingServers
from arbutuspulley.membership.unlisted import MAX_UNLISTED


def test_a_server_is_new_only_once():
    leaving = LeavingServers()
    assert leaving.add("s0")
    assert not leaving.add("s0")
    assert "s0" in leaving
    assert "s1" not in leaving


def test_a_leaving_server_is_remembered_while_its_entry_has_lapsed():
    """Guards against requests to a leaving server whose entry is written again."""
    leaving = LeavingServers()
    leaving.add("s0")
    leaving.evict_unlisted({})
    assert "s0" in leaving


def test_the_oldest_unlisted_servers_are_evicted():
    leaving = LeavingServers()
    for number in range(MAX_UNLISTED + 2):
        leaving.add(f"s{number}")
    leaving.evict_unlisted({"s1"})
    assert "s0" not in leaving
    assert "s1" in leaving
    assert len(leaving.list_all()) == MAX_UNLISTED + 1
