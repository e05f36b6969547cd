"""Addresses of instances that the directory gives to callers, and readiness."""

import asyncio

import msgspec
import pytest

from arbutuspulley.admission.keys import build_key_table
from arbutuspulley.clock import Clock
from arbutuspulley.node.directory import (
    ROSTER_TIMEOUT_MS,
    START_WAIT_MS,
    Directory,
)
from arbutuspulley.node.store_watch import activate_configuration
from scripts.platform_testbed import build_configuration
from tests.node_states import build_entry, build_info, build_position, build_state


def build_ready(*, now, **changes):
    """Build the state of an instance with an active configuration."""
    state = build_state(clock=Clock(read=lambda: now[0]), **changes)
    activate_configuration(
        state, msgspec.json.encode(build_configuration(1)), by="store"
    )
    return state


NODES = (
    build_info("n1"),
    build_info("n2", site="a2"),
    build_info("n3", site="b1"),
    build_info("n4", site="b1"),
    build_info("n5", site="c1", is_ready=False),
)


@pytest.mark.parametrize(
    ("site", "region", "expected"),
    [
        ("a1", "a", {"own", "n1"}),
        ("a2", "a", {"own", "n1", "n2"}),
        ("b1", "b", {"n3", "n4"}),
        ("c1", "c", {"own", "n1", "n2", "n3", "n4"}),
        ("", "", {"own", "n1", "n2", "n3", "n4"}),
    ],
    ids=["own data centre", "own region", "another", "none there", "not told"],
)
def test_the_nearest_ready_instances_are_listed(site, region, expected):
    state = build_ready(now=[10])
    state.nodes, state.nodes_updated_at = NODES, 10
    named = Directory(state=state).list_addresses(site=site, region=region)
    assert {address.partition(":")[0] for address in named} == expected


def test_an_outdated_roster_is_not_used():
    now = [10]
    state = build_ready(now=now)
    state.nodes, state.nodes_updated_at = NODES, 10
    now[0] += ROSTER_TIMEOUT_MS
    directory = Directory(state=state)
    assert directory.list_addresses(site="b1", region="b") == ["own:1"]


def test_a_stopping_instance_lists_only_others():
    state = build_ready(now=[10])
    state.nodes, state.nodes_updated_at = NODES, 10
    state.stopping_at = 9
    named = Directory(state=state).list_addresses(site="a1", region="a")
    assert "own:1" not in named and "n1:1" in named


@pytest.mark.parametrize(("setting", "expected"), [(5.0, 1), (0.5, 0.5)])
def test_the_ttl_is_limited_by_the_settings(setting, expected):
    directory = Directory(state=build_ready(now=[10], directory_ttl_s=setting))
    assert directory._get_ttl() == expected


def test_an_instance_that_can_admit_nobody_directs_callers_to_its_last_roster():
    """The instance is partitioned from all others and from the store. Guards against a
    directory that then lists only this instance, which refuses all callers."""
    now = [10]
    state = build_ready(now=now, revocation_ms=5_000)
    state.keys = build_key_table(())
    state.nodes, state.nodes_updated_at = NODES, 10
    state.freshness.confirm(10, source="store")
    directory = Directory(state=state)
    assert "own:1" in directory.list_addresses(site="a1", region="a")
    now[0] += ROSTER_TIMEOUT_MS
    named = directory.list_addresses(site="a1", region="a")
    assert {address.partition(":")[0] for address in named} == {"n1", "n2"}
    state.nodes = ()
    assert directory.list_addresses(site="a1", region="a") == ["own:1"]


def is_reported_ready(directory):
    return asyncio.run(directory.handle_ready(None)).status == 200


def test_an_instance_is_not_ready_before_it_can_accept_keys():
    """Guards against an instance that gets callers as soon as it has a configuration,
    and refuses each of their keys until the configuration is confirmed."""
    now = [10]
    state = build_ready(now=now, revocation_ms=5_000)
    state.entries["e1"] = build_entry("e1")
    state.keys = build_key_table(())
    directory = Directory(state=state)
    assert not is_reported_ready(directory)
    state.freshness.confirm(10, source="store")
    assert is_reported_ready(directory)
    now[0] += 5_000
    assert not state.may_admit
    assert is_reported_ready(directory)


def test_an_instance_that_starts_while_the_store_is_unavailable_is_ready_soon():
    """Guards against an instance that serves no public route while nobody can confirm
    the configuration."""
    now = [10]
    state = build_ready(now=now, revocation_ms=5_000)
    state.keys = build_key_table(())
    directory = Directory(state=state)
    now[0] += START_WAIT_MS - 1
    assert not is_reported_ready(directory)
    now[0] += 1
    assert is_reported_ready(directory)


def test_an_instance_without_teams_is_ready_once_it_has_a_configuration():
    """Guards against an instance that waits for a confirmation that it doesn't need."""
    state = build_state(clock=Clock(read=lambda: 10), revocation_ms=5_000)
    state.entries["e1"] = build_entry("e1")
    directory = Directory(state=state)
    assert not is_reported_ready(directory)
    activate_configuration(
        state, msgspec.json.encode(build_configuration(1)), by="store"
    )
    assert is_reported_ready(directory)


def test_an_instance_is_not_ready_before_it_has_read_servers():
    """Guards against an instance that gets callers as soon as it has a configuration,
    and refuses them as no server is known; there may be none."""
    state = build_ready(now=[10])
    directory = Directory(state=state)
    assert not is_reported_ready(directory)
    state.store_position = build_position(1)
    assert is_reported_ready(directory)
