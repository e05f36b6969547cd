"""Requests that may run only at one software version, and the copies made for them."""

import itertools

import pytest

from arbutuspulley.pool.grants import Grant, Refusal, plan_grants
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.state import update_servers
from arbutuspulley.ports.fleet import OrderKind, SoftwareVersion
from tests.node_states import build_entry
from tests.pools import add_run, add_waiting, build_pool, build_server, build_spec

V1, V2, V3 = (SoftwareVersion(name=name) for name in ("v1", "v2", "v3"))


def plan_one(pool, *, now=10):
    [decision] = plan_grants(pool, now=now)
    return decision


@pytest.mark.parametrize("version", [V1, V2])
def test_a_resumed_stream_is_granted_a_server_of_its_version(version):
    """Guards against a grant that goes by load and data centre alone."""
    pool = build_pool(
        build_server("s1", "m0", version=V1),
        build_server("s2", "m0", version=V2, zone="z2"),
    )
    loaded = pool.servers["s1" if version is V1 else "s2"]
    for number in range(5):
        add_run(loaded, f"r{number}", "m0")
    add_waiting(pool, "a", "m0", version=version)
    decision = plan_one(pool)
    assert isinstance(decision, Grant)
    assert decision.incarnation == loaded.incarnation


def test_a_stream_is_refused_at_once_if_its_version_is_gone():
    """Guards against a request that waits to its deadline for a version that only
    leaving servers, or none, still have."""
    pool = build_pool(
        build_server("s1", "m0", version=V1),
        build_server("s2", "m0", version=V2, is_leaving=True),
    )
    add_waiting(pool, "a", "m0", version=V2)
    add_waiting(pool, "b", "m0", version=V3)
    add_waiting(pool, "c", "m0")
    decisions = {decision.key: decision for decision in plan_grants(pool, now=10)}
    assert isinstance(decisions["c"], Grant)
    for key in "ab":
        assert isinstance(decisions[key], Refusal)
        assert decisions[key].is_version_gone


def test_a_stream_waits_for_a_server_of_its_version_that_backs_off():
    pool = build_pool(
        build_server("s1", "m0", version=V1),
        build_server("s2", "m0", version=V2, backoff_until=500),
    )
    add_waiting(pool, "a", "m0", version=V2)
    assert plan_grants(pool, now=10) == []
    assert plan_one(pool, now=500).incarnation == "s2"


def test_the_version_of_a_server_follows_its_entry():
    """Guards against a server that counts as its previous version after a start or an
    overwritten row."""
    pool = build_pool()
    update_servers(pool, [build_entry("s1", software_version=V1)])
    assert pool.servers["s1"].version == V1
    update_servers(pool, [build_entry("s1", software_version=V2)])
    assert pool.servers["s1"].version == V2


def test_other_requests_are_unaffected_by_a_queue_for_one_version():
    """Guards against new requests that are refused because many resumed streams wait
    for the only server of their version."""
    pool = build_pool(
        build_server("s1", "m0", version=V1),
        build_server("s2", "m0", version=V2, prefill_until=3_000),
    )
    for number in range(50):
        add_waiting(pool, f"a{number}", "m0", version=V2, tokens=5_000)
    add_waiting(pool, "new", "m0", late_at=5_000)
    decisions = plan_grants(pool, now=10)
    granted = [one for one in decisions if isinstance(one, Grant)]
    assert ("new", "s1") in [(one.key, one.incarnation) for one in granted]


def test_a_model_is_loaded_at_the_version_that_lacks_it():
    """Guards against a stream that is refused while servers of its version serve, as
    the only copy of its model there is gone."""
    pool = build_pool(
        build_server("s1", "m0", version=V1),
        build_server("s3", version=V1),
        build_server("s2", "m1", version=V2),
    )
    add_waiting(pool, "a", "m0", version=V2)
    [order] = plan_orders(pool, now=10)
    assert (order.kind, order.model, order.incarnation) == (
        OrderKind.LOAD,
        "m0",
        "s2",
    )
    assert plan_orders(pool, now=20) == []


def test_a_copy_for_one_version_evicts_only_what_is_worth_less():
    """Guards against a single resumed stream that evicts the last copy of a model that
    many callers wait for."""
    pool = build_pool(
        build_server("s1", "m0", version=V1),
        build_server("s2", "m1", "m2", version=V2),
    )
    for model, number in itertools.product(("m1", "m2"), range(10)):
        add_waiting(pool, f"{model}-{number}", model)
    add_waiting(pool, "a", "m0", version=V2)
    assert not [one for one in plan_orders(pool, now=10) if one.incarnation == "s2"]


def test_an_adapter_is_loaded_at_the_version_that_lacks_it():
    """Guards against a stream of an adapter that waits although its version's server
    has the model, as another version's server has the adapter."""
    spec = build_spec()
    pool = build_pool(
        build_server("s1", "m0", version=V1),
        build_server("s3", "m0", version=V1),
        build_server("s2", "m0", version=V2),
        spec=spec,
    )
    pool.servers["s1"].models["m0"].add("a1")
    add_waiting(pool, "a", "m0", adapter="a1", version=V2)
    [order] = plan_orders(pool, now=10)
    assert (order.adapter, order.incarnation) == ("a1", "s2")
