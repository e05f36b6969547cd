"""Key and team headers that a caller sends never reach a server, in any spelling."""

from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.platform import names
from arbutuspulley.platform.requests import build_headers, decode_request


def spell_variants(name):
    """Return spellings of a header's name that a server may treat as equal."""
    letters = [
        st.sampled_from("-_" if one == "-" else one.lower() + one.upper())
        for one in name
    ]
    return st.tuples(*letters).map("".join)


KEYS = st.tuples(spell_variants(names.KEY), st.sampled_from(["k1", "k2", ""]))
TEAMS = st.tuples(spell_variants(names.TEAM), st.sampled_from(["team", "other"]))
LISTED = st.sampled_from([names.KEY, names.TEAM, names.MODEL, "x-own", "close"])
CONNECTIONS = st.tuples(
    st.just("Connection"), st.lists(LISTED, max_size=3).map(", ".join)
)
OTHERS = st.tuples(st.sampled_from(["X-Own", "Accept"]), st.just("kept"))
HEADERS = st.lists(st.one_of(KEYS, TEAMS, CONNECTIONS, OTHERS), max_size=8)


def forward(headers, *, team):
    request = decode_request(method="POST", path="/a/", headers=headers)
    sent = build_headers(
        request, remaining_ms=100, incarnation="i", priority=1, team=team
    )
    return request, sent


@given(headers=HEADERS)
def test_servers_get_the_callers_team_once_and_never_a_key(headers):
    _, sent = forward(headers, team="right")
    found = [
        (name.lower().replace("_", "-"), value)
        for name, value in sent
        if name.lower().replace("_", "-") in (names.KEY.lower(), names.TEAM.lower())
    ]
    assert found == [(names.TEAM.lower(), "right")]


@given(headers=HEADERS)
def test_a_caller_without_team_sends_no_team_header(headers):
    _, sent = forward(headers, team="")
    folded = [name.lower().replace("_", "-") for name, _ in sent]
    assert names.TEAM.lower() not in folded
    assert names.KEY.lower() not in folded


@given(headers=HEADERS)
def test_only_a_single_key_is_accepted(headers):
    request, _ = forward(headers, team="")
    keys = [value for name, value in headers if name.lower() == names.KEY.lower()]
    assert request.key == (keys[0] if len(keys) == 1 else "")


def test_token_usage_is_decoded():
    cases = {
        "1460,80": 1540,
        "1460": 1460,
        "x,80": 80,
        "x": None,
        "-5,80": 80,
        "inf,80": 80,
    }
    for usage, expected in cases.items():
        headers = [(names.TOKEN_USAGE, usage)]
        request = decode_request(method="POST", path="/", headers=headers)
        assert request.usage_tokens == expected, usage
    request = decode_request(method="POST", path="/", headers=[])
    assert request.usage_tokens is None


def test_a_header_listed_under_connection_is_dropped_in_any_spelling():
    headers = [("Connection", "X_Own, X-Other"), ("X_Own", "a"), ("x-other", "b")]
    request, _ = forward([*headers, ("X-Third", "c")], team="")
    assert request.headers == [("X-Third", "c")]
