"""Lookup of the team that a key belongs to."""

import pytest

from arbutuspulley.admission.keys import build_key_table, find_team, redact_key
from arbutuspulley.ports.fleet import Team
from arbutuspulley.results import Code, ConfigurationError

TEAMS = (Team(name="a", keys=("k1", "k2")), Team(name="b", keys=("k3",)))


@pytest.mark.parametrize(
    ("key", "team"),
    [("k1", "a"), ("k2", "a"), ("k3", "b"), ("k4", None), ("", None), ("K1", None)],
)
def test_keys_match_exactly(key, team):
    found = find_team(build_key_table(TEAMS), key)
    assert (found.name if found else None) == team


def test_a_key_of_two_teams_is_refused_and_redacted():
    teams = (*TEAMS, Team(name="c", keys=("k3",)))
    with pytest.raises(ConfigurationError) as raised:
        build_key_table(teams)
    assert raised.value.code is Code.BAD_TEAM
    for part in ("'b'", "'c'", redact_key("k3")):
        assert part in raised.value.detail
    assert "k3" not in raised.value.detail.replace(redact_key("k3"), "")


def test_a_key_listed_twice_by_one_team_is_accepted():
    table = build_key_table((Team(name="a", keys=("k1", "k1")),))
    assert find_team(table, "k1").name == "a"


def test_reusing_the_previous_table_gives_the_same_index():
    previous = build_key_table(TEAMS)
    teams = (Team(name="x", keys=("k1", "k2")), Team(name="b", keys=("k4",)))
    table = build_key_table(teams, previous=previous)
    found = {key: find_team(table, key) for key in ("k1", "k2", "k3", "k4")}
    names = {key: team.name for key, team in found.items() if team}
    assert names == {"k1": "x", "k2": "x", "k4": "b"}


def test_bytes_that_are_not_utf8_match_no_key():
    assert find_team(build_key_table(TEAMS), "k\udcff") is None
