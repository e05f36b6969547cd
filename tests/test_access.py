"""Admission by API keys."""

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node.access import Access
from arbutuspulley.node.progress import RequestFailedError
from arbutuspulley.node.store_watch import activate_configuration
from arbutuspulley.platform.requests import decode_request
from arbutuspulley.routing.route_table import find_route
from scripts.platform_testbed import HOST, build_configuration, build_route
from tests.node_states import build_state

KEY = "X-Arbutuspulley-Key"
NOW = 50_000
OPEN = build_route("/open/", "plain", "safe", Public=True)


def build_teams(*keys):
    return [{"Name": f"team-{key}", "ApiKeys": [key]} for key in keys]


def build_instance(*keys, age_ms=1_000, now=None, **settings):
    """Build an instance whose last confirmation is ``age_ms`` old."""
    now = now or [NOW]
    state = build_state(
        clock=Clock(read=lambda: now[0]),
        **{"revocation_ms": 5_000, "apply_ms": 3_000, **settings},
    )
    put_keys(state, 1, *keys)
    if age_ms is not None:
        state.freshness.confirm(NOW - age_ms, source="store")
    return state


def put_keys(state, version, *keys):
    configuration = build_configuration(version, routes=(OPEN,))
    configuration["Tenants"] = build_teams(*keys)
    activate_configuration(state, msgspec.json.encode(configuration), by="store")


def build_access(state, *keys, path="/book/1"):
    request = decode_request(
        method="POST", path=path, headers=[("Host", HOST), *((KEY, k) for k in keys)]
    )
    route = find_route(state.table, host=HOST, path=path)
    return Access(state=state, route=route, request=request), request


def check(state, *keys, path="/book/1"):
    """Return the team's name, or the HTTP status of the refusal."""
    access, request = build_access(state, *keys, path=path)
    assert request.key == ""
    try:
        access.check()
    except RequestFailedError as error:
        assert (error.retry_after_ms is not None) == (error.status == 503)
        return error.status
    return access.team.name if access.team else None


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (("k1",), "team-k1"),
        (("k2",), "team-k2"),
        ((" k2 ",), "team-k2"),
        (("k3",), 401),
        ((), 401),
        (("",), 401),
        (("k1", "k1"), 401),
        (("k1", "k2"), 401),
    ],
    ids=["known", "another", "spaces", "unknown", "none", "empty", "twice", "two"],
)
def test_a_request_is_admitted_by_exactly_one_known_key(sent, expected):
    assert check(build_instance("k1", "k2"), *sent) == expected


@pytest.mark.parametrize("age_ms", [0, 90_000, None])
def test_a_public_route_needs_neither_key_nor_confirmation(age_ms):
    state = build_instance("k1", age_ms=age_ms)
    assert check(state, path="/open/1") is None
    assert check(state, "k9", path="/open/1") is None


def test_without_teams_no_key_is_needed():
    state = build_state()
    activate_configuration(
        state, msgspec.json.encode(build_configuration(1)), by="store"
    )
    assert check(state) is None


def test_an_empty_list_of_teams_admits_nobody():
    assert check(build_instance(), "k1") == 401


@pytest.mark.parametrize(
    ("age_ms", "expected"),
    [(0, "team-k1"), (4_899, "team-k1"), (4_900, 503), (60_000, 503), (None, 503)],
)
def test_a_known_key_is_refused_as_not_run_after_confirmation_expires(age_ms, expected):
    assert check(build_instance("k1", age_ms=age_ms), "k1") == expected


@pytest.mark.parametrize(
    ("age_ms", "expected"), [(2_999, 401), (3_000, 503), (4_800, 503)]
)
def test_an_unknown_key_is_denied_only_with_a_fresh_confirmation(age_ms, expected):
    """An older confirmation would deny a key for good that was just added."""
    assert check(build_instance("k1", age_ms=age_ms), "k2") == expected


def test_without_a_revocation_bound_an_old_confirmation_suffices():
    state = build_instance("k1", age_ms=None, revocation_ms=None)
    assert (check(state, "k1"), check(state, "k2")) == ("team-k1", 401)


def test_a_key_revoked_while_its_request_waits_is_refused():
    state = build_instance("k1", "k2")
    access, _ = build_access(state, "k1")
    access.check()
    put_keys(state, 2, "k2")
    with pytest.raises(RequestFailedError) as raised:
        access.check()
    assert raised.value.status == 401


def test_a_request_that_waited_in_a_frozen_process_is_checked_again():
    now = [NOW]
    state = build_instance("k1", now=now)
    access, _ = build_access(state, "k1")
    access.check()
    now[0] += 9_000
    with pytest.raises(RequestFailedError) as raised:
        access.check()
    assert raised.value.status == 503


def test_a_key_moved_to_another_team_belongs_to_that_team():
    state = build_instance("k1")
    configuration = build_configuration(2)
    configuration["Tenants"] = [{"Name": "other", "ApiKeys": ["k1"]}]
    activate_configuration(state, msgspec.json.encode(configuration), by="store")
    assert check(state, "k1") == "other"


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"RatePerS": -1}, "RatePerS is -1"),
        ({"Burst": -0.5}, "Burst is -0.5"),
        ({"PlainTokens": -3}, "PlainTokens is -3"),
        ({"Unit": "euros"}, "'euros'"),
        ({"ApiKeys": ["k1"]}, "hold the same key"),
    ],
)
def test_an_invalid_team_keeps_the_previous_configuration(changes, named, caplog):
    state = build_instance("k1")
    configuration = build_configuration(2)
    wrong = {"Name": "wrong", "ApiKeys": ["k9"], **changes}
    configuration["Tenants"] = [*build_teams("k1"), wrong]
    with caplog.at_level("INFO"):
        activate_configuration(state, msgspec.json.encode(configuration), by="store")
    assert state.configuration_version == 1
    assert check(state, "k1") == "team-k1"
    (told,) = [
        one.event_fields for one in caplog.records if one.msg == "configuration_refused"
    ]
    assert named in told["detail"]
    assert "'wrong'" in told["detail"]


def test_no_key_is_logged(caplog):
    state = build_instance("first-key")
    with caplog.at_level("DEBUG"):
        check(state, "secret-guess")
        state.freshness.confirmed_at = 0
        check(state, "first-key")
    shown = repr([vars(one) for one in caplog.records])
    assert len(caplog.records) == 2
    assert "secret-guess" not in shown
    assert "first-key" not in shown


def test_a_waiting_request_is_served_once_keys_are_no_longer_needed():
    state = build_instance("k1")
    access, _ = build_access(state, "k1")
    access.check()
    activate_configuration(
        state, msgspec.json.encode(build_configuration(2)), by="store"
    )
    state.freshness.confirmed_at = 0
    access.check()
