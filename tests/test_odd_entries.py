"""Data of other processes that can't be decoded, or has numbers out of range."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutuspulley.decoding import decode_msgpack
from arbutuspulley.delivery.stream_records import decode_row as decode_stream_row
from arbutuspulley.membership.coordinator_lease import (
    CoordinatorLeaseState,
    build_claim,
    get_claim_wait_ms,
    update_row,
)
from arbutuspulley.node import rejected_rows, server_rows, store_watch
from arbutuspulley.node.bootstrap import Snapshot
from arbutuspulley.node.crash_store import decode_row as decode_crash_row
from arbutuspulley.node.frames import (
    decode_from_coordinator,
    decode_from_node,
)
from arbutuspulley.node.messages import (
    RelayedRow,
    StoreUpdate,
)
from arbutuspulley.node.server_rows import apply_server_rows, load_entries
from arbutuspulley.node.store_watch import activate_configuration, apply_store_update
from arbutuspulley.platform.messages import (
    decode_configuration,
    decode_kept_parts,
    decode_report,
    decode_rows,
    decode_server,
)
from arbutuspulley.platform.store import StoredRow
from scripts.platform_testbed import build_configuration, send_request
from tests.node_states import build_position, build_state
from tests.ports import find_free_address
from tests.test_memory_bound import read_metrics
from tests.test_node import play

DEEP = b"[" * 3_000 + b"]" * 3_000
BEYOND = 2**64
SERVER = {
    "Service": "s",
    "Address": "10.0.0.1:1",
    "Zone": "z",
    "Slots": 4,
    "State": "ready",
    "born": 10,
}

ODD_ENTRIES = {
    "deep version": {"Version": msgspec.Raw(DEEP)},
    "deep unknown field": {"Other": msgspec.Raw(DEEP)},
    "deep adapter": {"Models": [{"Name": "m", "Adapters": [msgspec.Raw(DEEP)]}]},
    "many slots": {"Slots": BEYOND},
    "late start": {"born": BEYOND},
    "huge start": {"born": msgspec.Raw(b"1" + b"0" * 5_000)},
    "infinite slots": {"Slots": msgspec.Raw(b"1e400")},
    "port 0": {"Address": "10.0.0.1:0"},
    "port 65536": {"Address": "10.0.0.1:65536"},
    "octet 256": {"Address": "10.0.0.256:1"},
    "other digits": {"Address": "10.0.0.١:1"},
}
odd_entries = pytest.mark.parametrize(
    "changes", ODD_ENTRIES.values(), ids=list(ODD_ENTRIES)
)


def encode_server(**changes):
    return msgspec.json.encode({**SERVER, **changes})


def build_row(key, value, version=1, *, era=0):
    return StoredRow(key=key, position=build_position(version, era=era), value=value)


def count(state, table):
    return state.metrics.undecodable_rows.labels(table)._value.get()


@pytest.fixture
def logged(monkeypatch):
    """Return the events that are logged."""
    events = []
    for module in (server_rows, store_watch, rejected_rows):
        monkeypatch.setattr(
            module,
            "log_event",
            lambda event, **_fields: events.append(event.name.lower()),
        )
    return events


def bring_by_store(state, bodies):
    rows = [build_row(key, body) for key, body in bodies.items()]
    apply_server_rows(state, rows, is_full_read=True, was_unavailable=False)


def bring_by_relay(state, bodies):
    rows = [RelayedRow(key=key, version=1, value=body) for key, body in bodies.items()]
    apply_store_update(state, StoreUpdate(rows=tuple(rows)), by="coordinator")


@odd_entries
@pytest.mark.parametrize("bring", [bring_by_store, bring_by_relay, load_entries])
def test_an_odd_entry_costs_no_other_entry(logged, changes, bring):
    """Guards against one entry of another writer that keeps an instance from all
    servers, whichever way the entries arrive."""
    state = build_state()
    odd = encode_server(**changes)
    bring(state, {"a": encode_server(), "odd": odd, "z": encode_server()})
    assert set(state.entries) == {"a", "z"}
    bring_by_store(state, {"a": encode_server(), "odd": odd, "z": encode_server()})
    assert logged.count("server_entry_refused") == 1
    assert count(state, "servers") == 1


@pytest.mark.parametrize("key", ["", "a\r\nb", "x" * 300])
def test_a_key_that_fits_into_no_header_is_no_server(key):
    """Guards against requests to a server whose id no request can state."""
    state = build_state()
    bring_by_store(state, {"a": encode_server(), key: encode_server()})
    assert set(state.entries) == {"a"}


def test_an_odd_entry_of_a_copy_restores_no_removed_server():
    """Guards against an entry that ends the reading of a store that came back from a
    copy, at the comparison with the start whose removal was seen."""
    state = build_state()
    bring_by_store(state, {"a": encode_server()})
    gone = build_row("a", None, 5)
    apply_server_rows(state, [gone], is_full_read=False, was_unavailable=False)
    odd = build_row("a", encode_server(Version=msgspec.Raw(DEEP)), 2, era=1)
    good = build_row("b", encode_server(), 3, era=1)
    apply_server_rows(state, [odd, good], is_full_read=True, was_unavailable=False)
    assert set(state.entries) == {"b"}


def encode_configuration(**changes):
    return msgspec.json.encode({**build_configuration(2), **changes})


@pytest.mark.parametrize(
    "changes",
    [
        {"Other": msgspec.Raw(DEEP)},
        {"Version": BEYOND},
        {"Limits": {"MaxBodyBytes": BEYOND}},
        {"Routes": [{"Hostname": "h", "Prefix": "/", "TimeoutMs": 1e300}]},
        {"Routes": [{"Hostname": "h", "Prefix": "/", "Priority": BEYOND}]},
        {"Tenants": [{"Name": "t", "RatePerS": 1e300}]},
        {"Tenants": [{"Name": "t", "PlainTokens": 1e300}]},
        {"Tenants": [{"Name": "t\r\nX: y"}]},
    ],
)
def test_an_odd_configuration_keeps_the_active_one(logged, changes):
    """Guards against a configuration that ends the reading of its table, and one whose
    numbers no message to another instance can hold."""
    state = build_state()
    activate_configuration(state, encode_configuration(Version=1), by="store")
    for _ in range(2):
        body = encode_configuration(**changes)
        assert not activate_configuration(state, body, by="store")
    assert state.configuration.version == 1
    assert logged.count("configuration_refused") == 1
    assert count(state, "op") == 1
    assert activate_configuration(state, encode_configuration(Version=3), by="store")


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(min_value=-(10**30), max_value=10**30)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*SERVER, "Version", "Models", "Name", "Rows", "NowMs"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@pytest.mark.parametrize(
    "decode",
    [
        lambda body: decode_server("a", body),
        lambda body: decode_report("a", body),
        decode_configuration,
        decode_kept_parts,
        decode_rows,
    ],
    ids=["server", "report", "configuration", "kept parts", "rows"],
)
@given(changes=st.dictionaries(st.text(max_size=8), values) | values)
@settings(max_examples=60, deadline=None)
def test_decoding_returns_a_value_or_one_error(decode, changes):
    """Guards against errors that the callers of a decoder don't expect."""
    bodies = [changes, {"Version": 1, "Service": changes}]
    if isinstance(changes, dict):
        bodies.append({**SERVER, **changes})
    for body in bodies:
        try:
            decode(msgspec.json.encode(body))
        except msgspec.ValidationError:
            continue


@pytest.mark.parametrize("body", [DEEP, b'{"Other":' + DEEP + b"}", b"\xff", b""])
@pytest.mark.parametrize("decode", [decode_kept_parts, decode_rows])
def test_an_answer_that_is_nested_too_deep_is_undecodable(decode, body):
    """Guards against a server's answer that fails the request that asked for it."""
    with pytest.raises(msgspec.MsgspecError):
        decode(body)


@pytest.mark.parametrize("decode", [decode_from_node, decode_from_coordinator])
def test_a_frame_that_is_nested_too_deep_is_undecodable(decode):
    """Guards against an unexpected error in the task that reads a link."""
    with pytest.raises(msgspec.MsgspecError):
        decode(b"\x91" * 5_000 + b"\x90")


LEASE = {"holder": "b", "link": "b:1", "boot": "x", "fence": 1, "expires_ms": 5_000.0}


@pytest.mark.parametrize(
    "changes",
    [
        {"fence": BEYOND},
        {"fence": 2**63 - 1},
        {"expires_ms": 1e300},
        {"expires_ms": 1e12, "renewed_ms": 1e12},
        {"orders_from_ms": 1e12},
        {"loads_ms": {"s": [1e300]}},
        {"turns": {"c": 1e12}},
        {"turns": {"c": "soon"}},
        {"other": msgspec.Raw(DEEP)},
    ],
)
def test_an_odd_row_of_the_lease_names_no_holder(changes):
    """Guards against a row of another writer after which no instance coordinates."""
    lease = CoordinatorLeaseState(
        name="a", link="a:1", boot="y", lease_ms=3_000, offset_ms=0.0
    )
    body = msgspec.json.encode({**LEASE, **changes})
    assert not update_row(lease, body, version=3, store_ms=0.0)
    assert get_claim_wait_ms(lease, now=0) == 0
    claim = build_claim(lease, now=0)
    assert claim.orders_from_ms <= lease.lease_ms
    again = CoordinatorLeaseState(
        name="c", link="c:1", boot="z", lease_ms=3_000, offset_ms=0.0
    )
    assert update_row(again, msgspec.json.encode(claim), version=4, store_ms=0.0)


@pytest.mark.parametrize(
    "row",
    [
        {"suspicion": {"fingerprint": "f"}, "changed_at": -(2**63), "expires_at": 1},
        {"suspicion": {"fingerprint": "f"}, "changed_at": 1, "expires_at": 2**64 - 1},
    ],
)
def test_a_crash_row_with_times_out_of_range_is_rejected(row):
    """Guards against times that no row can hold once they are converted."""
    assert decode_crash_row("request f", msgspec.msgpack.encode(row)) is None


def test_own_rows_that_are_nested_too_deep_are_rejected():
    """Guards against a row of another writer that ends the reading of the records of
    crashes or streams, or a snapshot that ends the start of an instance."""
    deep = b"\x81\xa1x" + b"\x91" * 5_000 + b"\x90"
    assert decode_crash_row("request f", deep) is None
    assert decode_stream_row(deep) is None
    with pytest.raises(msgspec.MsgspecError):
        decode_msgpack(deep, Snapshot)


def test_instances_serve_and_start_beside_odd_rows(tmp_path):
    """Guards against instances that learn of no server once rows of other writers are
    in the store's tables, as they run or as they start."""

    async def scenario(fleet, session):
        for table in ("servers", "op", "arbutus-crashes", "arbutus-streams"):
            fleet.store.put(table, "odd", msgspec.Raw(DEEP))
        fleet.store.put("arbutus-versions", "odd", msgspec.Raw(DEEP))
        fleet.store.put("op", "config", encode_configuration(Version=BEYOND))
        fleet.store.put("servers", "far", {**SERVER, "Address": "10.0.0.1:99999"})
        await fleet.wait_log("n1", "configuration_refused")
        fleet.store.put("op", "config", build_configuration(7))
        port = int(find_free_address().rpartition(":")[2])
        await fleet.start_node("n2", metrics_port=port)
        await fleet.wait_ready("n2")
        fleet.store.put("servers", "odd", msgspec.Raw(DEEP))
        late = fleet.get_server("p1").describe()
        fleet.store.put("servers", "late", late)
        for name in ("n1", "n2"):
            await fleet.wait_log(name, '"server":"late"')
            front = fleet.addresses[name]["Frontend"]
            status, _, _ = await send_request(
                session, front, "/book/1", attempt=f"{name}-1"
            )
            assert status == 200
            lines = [json.loads(line) for line in fleet.read_log(name).splitlines()]
            refused = [
                line["server"]
                for line in lines
                if line["name"] == "server_entry_refused"
            ]
            assert sorted(refused) == ["far", "odd"]
            assert "internal_error" not in {line["name"] for line in lines}
        metrics = await read_metrics(port)
        assert metrics['arbutus_undecodable_rows_total{table="servers"}'] == 2

    play(tmp_path, scenario)
