"""What servers state in their answers: decoding, exchange and takeover."""

import asyncio

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.membership.coordinator_lease import (
    CoordinatorLeaseState,
    InheritedLoads,
)
from arbutuspulley.node import reports, server_rows
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import Hello, LeavingNotice, ServerCooldown
from arbutuspulley.node.reports import ReportPoller
from arbutuspulley.node.server_notices import (
    get_exclusion,
    list_cooldowns,
    read_answer,
)
from arbutuspulley.node.server_rows import apply_server_rows
from arbutuspulley.node.store_watch import activate_configuration
from arbutuspulley.platform import names
from arbutuspulley.platform.messages import decode_report
from arbutuspulley.platform.requests import read_cooldown, read_leaving
from arbutuspulley.platform.store import StoredRow
from scripts.platform_testbed import build_configuration
from tests.node_states import build_info, build_position, build_state
from tests.pools import build_pool, build_server

RESTING = {names.RETRY_AFTER: "1.5"}

LEAVING = {names.SERVER_LEAVING: "1"}


def build_row(version, *, state="ready", key="s0"):
    value = {
        "Service": "llm",
        "Address": "127.0.0.1:9",
        "Zone": "a1",
        "Version": "v1",
        "Slots": 8,
        "State": state,
        "Models": [{"Name": "m0", "Version": 1, "Adapters": []}],
        "Sequence": version,
    }
    return StoredRow(
        key=key, position=build_position(version), value=msgspec.json.encode(value)
    )


def apply_rows(state, *rows, **changes):
    apply_server_rows(
        state, list(rows), is_full_read=False, was_unavailable=False, **changes
    )


class Instance:
    """An instance with its link; ``sent`` is what it sent to its coordinator."""

    def __init__(self):
        self.now = [100_000]
        self.state = build_state(clock=Clock(read=lambda: self.now[0]))
        self.link = Link(state=self.state)
        self.sent = []
        self.link.deliver_local = self.sent.extend
        apply_rows(self.state, build_row(1))

    @property
    def is_leaving(self):
        return self.state.entries["s0"].is_leaving

    def read(self, headers, *, status=200):
        read_answer(self.state, "s0", status, headers)


def build_coordinator(instance):
    """Build an active coordinator in the process of an instance."""
    coordinator = Coordinator(
        state=instance.state,
        lease=CoordinatorLeaseState(name="own", link="own:1", boot="b", lease_ms=3_000),
        receive_local=instance.link.receive,
    )
    coordinator.is_active = True
    instance.link.deliver_local = lambda messages: coordinator.handle_messages(
        "own", messages
    )
    return coordinator


def list_leaving(peer):
    """Return the leaving servers that an instance was sent."""
    messages = [one for one in peer.outgoing if isinstance(one, LeavingNotice)]
    return [name for message in messages for name in message.incarnations]


def test_reads_that_a_server_is_leaving():
    assert read_leaving(LEAVING)
    assert not read_leaving({})
    assert not read_leaving({names.SERVER_LEAVING: "0"})


@pytest.mark.parametrize("text", ["", "yes", "2", "-1"])
def test_a_statement_that_is_neither_0_nor_1_changes_nothing(text):
    with pytest.raises(ValueError, match="Server-Leaving"):
        read_leaving({names.SERVER_LEAVING: text})
    instance = Instance()
    instance.read({names.SERVER_LEAVING: text})
    assert not instance.is_leaving


def test_a_leaving_server_is_reported_once():
    instance = Instance()
    instance.read({})
    instance.read(LEAVING)
    instance.read(LEAVING, status=503)
    assert instance.is_leaving
    assert instance.state.by_service["llm"][0].is_leaving
    assert instance.sent == [LeavingNotice(incarnations=("s0",))]


def test_an_answer_of_another_server_is_ignored():
    """Guards against a server that is excluded because its former address belongs to a
    server that is leaving."""
    instance = Instance()
    instance.read(LEAVING, status=421)
    assert not instance.is_leaving


def test_a_row_that_still_says_ready_does_not_restore_a_leaving_server():
    """Guards against requests to a leaving server whose late heartbeats, or whose
    entry after an outage of the store, still say that it is ready."""
    instance = Instance()
    instance.read(LEAVING)
    apply_rows(instance.state, build_row(2))
    assert instance.is_leaving
    apply_rows(
        instance.state, StoredRow(key="s0", position=build_position(3), value=None)
    )
    apply_rows(instance.state, build_row(4))
    assert instance.is_leaving


def test_the_next_start_of_a_leaving_server_is_used():
    instance = Instance()
    instance.read(LEAVING)
    row = build_row(2)
    value = msgspec.json.decode(row.value) | {"born": 1_700_000_000_000}
    apply_rows(
        instance.state,
        msgspec.structs.replace(row, value=msgspec.json.encode(value)),
    )
    assert not instance.is_leaving


def test_a_lapsed_entry_is_dropped_although_its_server_is_leaving(monkeypatch):
    """Guards against an entry that is taken as written anew because it was marked."""
    monkeypatch.setattr(server_rows, "LAPSED_ENTRY_GRACE_MS", 1)

    async def lapse(instance):
        apply_server_rows(
            instance.state,
            [StoredRow(key="s0", position=build_position(2), value=None)],
            is_full_read=False,
            was_unavailable=True,
        )
        instance.read(LEAVING)
        await asyncio.sleep(0.02)

    instance, updates = Instance(), []
    instance.state.on_store_update.append(updates.append)
    asyncio.run(lapse(instance))
    assert instance.state.entries == {}
    assert [row.key for update in updates for row in update.rows] == ["s0"]


def test_a_report_tells_that_a_server_is_draining():
    assert decode_report("s0", b'{"State": "draining"}').is_leaving
    assert not decode_report("s0", b'{"State": "ready"}').is_leaving
    assert not decode_report("s0", b"{}").is_leaving


@pytest.mark.parametrize("origin", ["x", "own"])
def test_the_coordinator_tells_all_instances_of_a_leaving_server(origin):
    instance = Instance()

    async def tell():
        coordinator = build_coordinator(instance)
        peers = [coordinator.add_peer([Hello(info=build_info(n))]) for n in "xy"]
        if origin == "own":
            instance.read(LEAVING)
        else:
            message = LeavingNotice(incarnations=("s0",))
            for _ in range(2):
                coordinator.handle_messages(origin, [message])
        return [list_leaving(peer) for peer in peers]

    assert asyncio.run(tell()) == [["s0"], ["s0"]]
    assert instance.is_leaving


def test_the_next_coordinator_knows_leaving_servers():
    """Guards against a leaving server that is granted again after a takeover."""
    instance, other = Instance(), Instance()
    other.read(LEAVING)

    async def link_up():
        coordinator = build_coordinator(instance)
        coordinator.add_peer([Hello(info=build_info("x"))])
        coordinator.add_peer([other.link.build_hello()])
        return list_leaving(coordinator.add_peer([Hello(info=build_info("y"))]))

    assert asyncio.run(link_up()) == ["s0"]
    assert instance.is_leaving


def test_an_instance_applies_what_the_coordinator_sends():
    instance = Instance()
    instance.link.receive([LeavingNotice(incarnations=("s0",))])
    assert instance.is_leaving
    assert instance.sent == []


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (503, {names.RETRY_AFTER: "3"}, 3_000),
        (503, {names.RETRY_AFTER: "0.2504"}, 251),
        (429, {names.RETRY_AFTER: "1"}, 1_000),
        (503, {}, None),
        (200, {names.RETRY_AFTER: "3"}, None),
    ],
)
def test_reads_for_how_long_a_server_wants_no_requests(status, headers, expected):
    assert read_cooldown(status, headers) == expected


@pytest.mark.parametrize("text", ["", "soon", "-1", "nan", "inf"])
def test_a_cooldown_that_is_not_a_valid_number_changes_nothing(text):
    with pytest.raises(ValueError, match="Retry-After"):
        read_cooldown(503, {names.RETRY_AFTER: text})
    instance = Instance()
    instance.read({names.RETRY_AFTER: text, **LEAVING}, status=503)
    assert instance.state.cooldowns.list_active(now=100_000) == {}
    assert instance.is_leaving


def test_a_server_is_excluded_until_its_cooldown_ends():
    instance = Instance()
    instance.read(RESTING, status=503)
    assert instance.sent == [ServerCooldown(incarnation="s0", remaining_ms=1_500)]
    assert get_exclusion(instance.state, "s0") == "cooldown"
    instance.now[0] += 1_500
    assert get_exclusion(instance.state, "s0") == ""
    assert get_exclusion(instance.state, "s9") == "gone"


def test_a_leaving_server_is_excluded():
    instance = Instance()
    instance.read(LEAVING)
    assert get_exclusion(instance.state, "s0") == "leaving"


def test_the_next_coordinator_knows_cooldowns():
    """Guards against a shedding server that is granted again after a takeover."""
    instance, other = Instance(), Instance()
    instance.read(RESTING, status=503)
    other.read(RESTING, status=503)
    other.now[0] += 500
    coordinator = build_coordinator(instance)
    pool = build_pool(build_server("s0", "m0"))
    coordinator._pools = {"llm": pool}
    coordinator._record_cooldowns("own", list_cooldowns(coordinator._state))
    hello = msgspec.structs.replace(other.link.build_hello(), info=build_info("x"))
    asyncio.run(link_up(coordinator, hello))
    assert pool.servers["s0"].cooldowns == {"own": 101_500, "x": 101_000}


def test_an_instance_that_takes_over_keeps_its_own_cooldowns():
    """Guards against a shedding server that a new coordinator grants to its own
    instance, which was told to leave it alone."""

    async def take_over(instance):
        coordinator = build_coordinator(instance)
        coordinator.is_active = False
        body = msgspec.json.encode(build_configuration(1))
        activate_configuration(instance.state, body, by="store")
        coordinator.activate(InheritedLoads(loads={}, unknown_until=None))
        cooldowns = coordinator._pools["llm"].servers["s0"].cooldowns
        coordinator.deactivate()
        return cooldowns

    instance = Instance()
    instance.read(RESTING, status=503)
    assert asyncio.run(take_over(instance)) == {"own": 101_500}


async def link_up(coordinator, hello):
    coordinator.add_peer([hello])


def test_a_server_that_reports_draining_is_marked(monkeypatch):
    """Guards against requests to a leaving server that has not answered one yet."""

    async def fetch_report(*_given, **_named):
        return decode_report("s0", b'{"State": "draining"}')

    monkeypatch.setattr(reports, "fetch_report", fetch_report)
    instance = Instance()
    poller = ReportPoller(state=instance.state, on_report=lambda: None)
    for call in poller.poll([build_pool(build_server("s0", "m0"))]):
        asyncio.run(call)
    assert instance.is_leaving
    assert instance.sent == [LeavingNotice(incarnations=("s0",))]


def test_no_report_is_fetched_during_a_cooldown():
    """Guards against control calls to a server that wants no requests from the
    coordinator's instance."""
    instance = Instance()
    poller = ReportPoller(state=instance.state, on_report=lambda: None)
    pool = build_pool(build_server("s0", "m0", accepted_orders=None))
    instance.read(RESTING, status=503)
    assert list(poller.poll([pool])) == []
    instance.now[0] += 1_500
    (call,) = poller.poll([pool])
    call.close()
