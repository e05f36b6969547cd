"""The controller's loops on a fake platform, and controller processes, one frozen."""

import asyncio
import json
import signal
import threading

import msgspec
import pytest
import urllib3

from arbutuspulley.adapters.platform import connect_platform
from arbutuspulley.configuration import approval, schema
from arbutuspulley.configuration.files import SourceFile
from arbutuspulley.configuration.lookup import list_configured_items
from arbutuspulley.configuration.merge import FileSet, merge_files
from arbutuspulley.controller import handlers, orders, planning, polling
from arbutuspulley.controller.exchange import PeerState
from arbutuspulley.controller.ledgers import WorkingLedgers
from arbutuspulley.controller.publishing import MAX_SUMMARY_WAIT_MS, publish
from arbutuspulley.controller.reports import ServerState
from arbutuspulley.controller.sessions import get_owned, may_order, release_all
from arbutuspulley.membership.records import decode_owner
from arbutuspulley.placement.actions import Load
from arbutuspulley.placement.transactions import SlotRow
from arbutuspulley.ports.engines import Engines, OrderOutcome, OrderReply, Report
from arbutuspulley.programs import controller as program
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import (
    ClaimRequest,
    DeathReport,
    EntryAddress,
    WatchRequest,
)
from arbutuspulley.standins import platform_state
from scripts import fleet as fleets
from scripts.launcher import find_free_addresses, open_launcher, wait_until
from tests.fakes import (
    OVERLAY_A,
    OVERLAY_B,
    FakePlatform,
    build_configuration,
    build_files,
)
from tests.nodes import (
    LEASE_MS,
    TestTime,
    build_node,
    list_fences,
    run_second,
    try_step,
)

MAX_BACKOFF_S = LEASE_MS // 2_000
"""Seconds after an outage within which every instance has called the store again."""

LEASE_EXPIRY_S = 11
"""Seconds without renewal after which other instances may claim: lease and margin."""


def build_pair():
    """Return a fake platform, a clock and two controllers that can own two servers."""
    fake, time = FakePlatform(), TestTime()
    nodes = [
        build_node(name, fake.platform, time, configuration=build_configuration())
        for name in ("a", "b")
    ]
    return fake, time, nodes


def mark_peer_reachable(node, instance, *, now):
    """Make a peer count as reachable by a controller, which polls no servers yet."""
    peer = PeerState(address="x:1", instance=instance, replied_at=now)
    node.peers = {"x:1": peer}
    node.servers = {}


async def claim_servers(nodes, time):
    """Let both take sessions and claim a server each; return the fences."""
    await run_second(nodes, time, seconds=40)
    fences = list_fences(nodes[0])
    assert {owner for owner, _ in fences.values()} == {"a", "b"}
    return fences


def test_paused_owner_orders_nothing_and_its_servers_get_higher_fences():
    """Owner ``a`` is paused for 13 s. ``b`` waits out its lease and takes over.

    When ``a`` resumes it has not read the rows yet: its copy still names it as owner,
    and only its local clock shows that it must not send orders.
    """

    async def run():
        _, time, (a, b) = build_pair()
        before = await claim_servers([a, b], time)
        (server,) = get_owned(a)
        await run_second([b], time, seconds=LEASE_EXPIRY_S - 2)
        assert list_fences(b) == before
        await run_second([b], time, seconds=4)
        assert list_fences(b)[server] == ("b", before[server][1] + 1)
        assert a.rows.owners[server].record.session == a.lease.session
        assert not may_order(a, server)

    asyncio.run(run())


def test_outage_of_ten_minutes_moves_no_server_and_recovery_is_bounded():
    """The store is down for ten minutes; all leases expire and no instance may order.

    All servers are still polled: by their last owner, or by an instance that cannot
    reach it. When the store is back, ``a`` is the first to read it, and the session of
    ``b`` is ten minutes old. Each reclaims its own servers, under higher fences, within
    the maximum backoff and one or two rounds; no server changes its owner.
    """

    async def run():
        fake, time, nodes = build_pair()
        before = await claim_servers(nodes, time)
        fake.down = True
        await run_second(nodes, time, seconds=600)
        assert not any(get_owned(node) for node in nodes)
        assert not nodes[0].read_outage.up
        polled_without_peer = polling.choose_polled_servers(nodes[0])
        mark_peer_reachable(nodes[0], "b", now=time.now)
        polled_with_peer = polling.choose_polled_servers(nodes[0])
        assert set(polled_without_peer) == set(before)
        assert [before[server][0] for server in polled_with_peer] == ["a"]
        fake.down = False
        await run_second(nodes[:1], time, seconds=MAX_BACKOFF_S)
        await run_second(nodes, time, seconds=6)
        after = list_fences(nodes[1])
        assert sum(len(get_owned(node)) for node in nodes) == 2
        for server, (owner, fence) in before.items():
            assert after[server] == (owner, fence + 1)

    asyncio.run(run())


def test_table_restored_from_a_backup_resets_ownership_above_all_fences():
    """Operators restore the table to a backup made before the last claims.

    Its rows hold sessions and fences of an earlier time. Instances that continued with
    their in-memory state would send orders under fences that are assigned again.
    """

    async def run():
        fake, time, (a, b) = build_pair()
        early = await claim_servers([a, b], time)
        revision = fake.state.revision
        await run_second([b], time, seconds=LEASE_EXPIRY_S + 4)
        await run_second([a, b], time, seconds=60)
        late = list_fences(a)
        assert late != early
        platform_state.restore(fake.state, revision)
        await run_second([a, b], time, seconds=1)
        assert not get_owned(a)
        assert not get_owned(b)
        await run_second([a, b], time, seconds=2 * LEASE_EXPIRY_S + 4)
        owned = [*get_owned(a), *get_owned(b)]
        assert sorted(owned) == sorted(late)
        for server, (_, fence) in list_fences(a).items():
            assert fence > late[server][1]

    asyncio.run(run())


@pytest.mark.parametrize("lost", ["lost_replies", "lost_requests"])
def test_lost_renewals_do_not_cost_the_lease(lost):
    """One renewal request or its reply is lost while the store is up."""

    async def run():
        fake, time, (a, b) = build_pair()
        before = await claim_servers([a, b], time)
        session = a.lease.session
        setattr(fake, lost, 1)
        await run_second([a, b], time, seconds=20)
        assert getattr(fake, lost) == 0
        assert a.lease.session == session
        assert list_fences(a) == before

    asyncio.run(run())


def test_stopping_controller_hands_over_at_once():
    async def run():
        _, time, (a, b) = build_pair()
        before = await claim_servers([a, b], time)
        (server,) = get_owned(a)
        await release_all(a)
        await run_second([b], time, seconds=2)
        assert list_fences(b)[server] == ("b", before[server][1] + 1)
        assert "a" not in b.sessions.rows

    asyncio.run(run())


class FakeEngine:
    """Records the orders it receives; ``report`` is its report function."""

    def __init__(self, outcome=OrderOutcome.ACCEPTED, report=None):
        self.orders = []
        self.outcome = outcome
        self.engines = Engines(
            infer=None,
            cancel=None,
            report=report,
            order=self._order,
            cache_events=None,
            call_service=None,
        )

    def _order(self, _, order):
        self.orders.append(order)
        return OrderReply(outcome=self.outcome)


async def load_one(node, *, time, before_commit=None, fake=None):
    """Let a controller load the model on a server that it owns."""
    (server,) = get_owned(node)
    state = ServerState(name=server, address="127.0.0.1:9001")
    state.report = Report(server=server, boot_id="boot", sequence=1)
    state.received_at = time.now
    node.servers[server] = state
    work = WorkingLedgers()
    await orders.apply_report(node, work, state)
    item = list_configured_items(node.activation.configuration)["draft@1"]
    if before_commit:
        fake.before_transact = before_commit
    step = orders.load(node, work, Load(server=server, item=item), SlotRow(number=0))
    return server, work, await step


def test_intent_is_committed_before_its_order_is_sent():
    async def run():
        fake, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        engine = FakeEngine()
        a.engines = engine.engines
        server, work, done = await load_one(a, time=time)
        assert done
        (order,) = engine.orders
        row = fake.platform.table.read(f"main/ledger/{server}")
        (entry,) = json.loads(row.value)["entries"]
        assert (entry["item"], entry["number"]) == (order.item, order.number)
        assert order.fence == a.rows.owners[server].record.fence
        assert work.current[server].entries[0].accepted == 1

    asyncio.run(run())


def test_frozen_server_delays_no_renewal():
    """An engine freezes: it accepts connections and never replies.

    Polls of it occupy their threads until they time out. If renewals waited for these
    threads, one frozen server would cost the instance its lease and all its servers.
    """

    async def run():
        _, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        unfreeze = threading.Event()
        a.engines = FakeEngine(report=lambda _: unfreeze.wait() and None).engines
        names = polling.choose_polled_servers(a)
        assert names

        async def handle_report(_):
            pass

        reads = [
            asyncio.create_task(polling.poll_report(a, name, on_report=handle_report))
            for name in names
        ]
        try:
            await asyncio.wait_for(run_second([a, b], time, seconds=20), 10)
            assert get_owned(a)
        finally:
            unfreeze.set()
            await asyncio.gather(*reads, return_exceptions=True)

    asyncio.run(run())


def test_controller_that_has_just_started_does_not_load_existing_copies_again():
    """A controller restarts and owns its servers before it has the others' summaries.

    The only copy of a model is on a server of another instance. If it counted as lost,
    it would be loaded here as well and unloaded later: two unnecessary moves.
    """

    async def run():
        _, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        single_copy = OVERLAY_B.replace("copies: 2", "copies: 1")
        files = build_files(overlays=(OVERLAY_A, single_copy))
        a.activation.configuration = b.activation.configuration = merge_files(
            files, version=1
        )
        engine = FakeEngine()
        a.engines = b.engines = engine.engines
        server, _, _ = await load_one(b, time=time)
        await run_second([a, b], time, seconds=2)
        (own,) = get_owned(a)
        state = ServerState(name=own, address="127.0.0.1:9001", received_at=time.now)
        state.report = Report(server=own, boot_id="boot", sequence=1)
        a.servers[own] = state
        work, planning_state = WorkingLedgers(), planning.PlanningState()
        await orders.apply_report(a, work, state)
        publish(a)
        await planning.run_planning_cycle(a, work, planning_state)
        loads = [step for step in planning_state.actions if isinstance(step, Load)]
        assert (loads, server != own) == ([], True)

    asyncio.run(run())


def test_pause_between_commit_and_order_sends_nothing():
    """An owner commits the intent of a load and is paused for a minute.

    It resumes just before sending the order. The next owner has found the intent in the
    ledger and has sent its order already; a server that does not check orders would
    apply both.
    """

    async def run():
        fake, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        engine = FakeEngine()
        a.engines = engine.engines

        def pause():
            time.now += 60_000

        await load_one(a, time=time, before_commit=pause, fake=fake)
        assert fake.platform.table.read("main/load-slot/0") is not None
        assert engine.orders == []

    asyncio.run(run())


def test_owner_that_was_replaced_commits_no_intent():
    """The owner's clock is slow, so its lease seems valid after another took over."""

    async def run():
        _, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        engine = FakeEngine()
        a.engines = engine.engines
        (server,) = get_owned(a)
        await run_second([b], time, seconds=LEASE_EXPIRY_S + 4)
        a.lease.sent_at = time.now
        _, _, done = await load_one(a, time=time)
        assert list_fences(b)[server][0] == "b"
        assert not done
        assert engine.orders == []

    asyncio.run(run())


def test_work_that_needs_the_store_is_refused_at_once_while_it_is_down():
    """The store is down. A booking confirmation and a server's death are reported.

    Waiting for the store would block both callers for its timeouts, and claims would
    pile up and reach it together afterwards. Neither may call it at all.
    """

    async def run():
        fake, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        fake.down = True
        await run_second([a, b], time, seconds=10)
        a.platform = None
        unary = handlers.build_unary(a)
        claim = ClaimRequest(caller="c", key="k", body_sha256="x", attempt_id="1")
        reply = await unary[handlers.channel.CLAIM](claim)
        assert reply.state == "unavailable"
        death = DeathReport(server="s", boot_id="1", fingerprints=("f",))
        recorded = await unary[handlers.channel.REPORT_DEATH](death)
        assert not recorded.recorded
        assert [suspicion.fingerprint for suspicion in recorded.suspicions] == ["f"]
        trial = msgspec.structs.replace(death, trial_id="t")
        assert not (await unary[handlers.channel.REPORT_DEATH](trial)).granted

    asyncio.run(run())


class PeerClient:
    """Calls another controller's handlers directly; with ``None`` each call fails."""

    def __init__(self, node):
        self.node = node

    async def call(self, method, request, *, timeout_ms):
        if self.node is None:
            raise PeerUnavailableError(detail="cut off", sent=True)
        return await handlers.build_unary(self.node)[method](request)


def test_entries_of_peers_know_of_a_death_before_its_report_is_answered():
    """A request kills its server; its caller gets an error and sends it again.

    It reaches an entry of another instance within milliseconds, long before the next
    exchange. That entry must know the suspicion by then, or another server dies. A
    disconnected peer must not delay the reply.
    """

    async def run():
        _, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        watch = handlers.build_streaming(b)[handlers.channel.WATCH]
        entry = EntryAddress(instance="b", site="s", address="x:9", boot_id="1")
        views = watch(WatchRequest(entry=entry))
        assert not (await anext(views)).suspicions
        for address, node in (("x:1", b), ("x:2", None)):
            a.peers[address] = PeerState(address=address, replied_at=time.now)
            a.clients[address] = PeerClient(node)
        death = DeathReport(server="s", boot_id="1", fingerprints=("f",))
        reporting = handlers.build_unary(a)[handlers.channel.REPORT_DEATH](death)
        next_view = asyncio.ensure_future(anext(views))
        assert (await reporting).recorded
        assert "f" in b.suspects.suspicions
        # The event loop times the interval between views; an urgent view ends it early.
        assert [
            suspicion.fingerprint for suspicion in (await next_view).suspicions
        ] == ["f"]
        await views.aclose()

    asyncio.run(run())


def test_new_instance_does_not_serve_before_it_has_summaries_of_the_servers():
    """A new instance has the configuration from a peer, but no server's summary yet.

    Its entry would refuse every model as loaded nowhere, though all are loaded. The
    wait for servers without a summary ends after a few seconds.
    """
    _, time, (a, _) = build_pair()
    publish(a)
    assert not a.views.view.ready
    time.now += MAX_SUMMARY_WAIT_MS - 1
    publish(a)
    assert not a.views.view.ready
    time.now += 1
    publish(a)
    assert a.views.view.ready


def test_new_instance_does_not_serve_before_it_has_polled_its_servers():
    """A new instance starts while the store is unavailable, and so knows no owners.

    It chooses to poll the servers without an owner, but has no report of them yet. It
    doesn't know their models at that point, and an entry would refuse these.
    """
    _, _, (a, _) = build_pair()
    names = polling.choose_polled_servers(a)
    assert names
    publish(a)
    assert not a.views.view.ready
    for name in names:
        a.servers[name].report = Report(server=name, boot_id="boot", sequence=1)
    publish(a)
    assert a.views.view.ready


def test_release_while_the_store_is_down_still_ends():
    async def run():
        fake, time, (a, b) = build_pair()
        await claim_servers([a, b], time)
        fake.down = True
        await try_step(release_all(a))
        assert not get_owned(a)

    asyncio.run(run())


def test_all_invalid_settings_are_reported_together(capsys):
    with pytest.raises(SystemExit) as refused:
        program.app(
            [
                *("--instance", "a", "--site", "s", "--peer-key", "k"),
                *("--listen", "here:1", "--http", "127.0.0.1:0"),
                *("--platform", "127.0.0.1:1", "--renew-ms", "9000"),
                *("--peers", "127.0.0.1:2,there:3", "--log-format", "xml"),
            ]
        )
    stderr = capsys.readouterr().err
    assert refused.value.code == 2
    for setting in ("--listen", "--http", "--peers", "--renew-ms", "--log-format"):
        assert setting in stderr


PLAN = fleets.Plan(
    instances=(
        fleets.InstancePlan(name="a", site="site-a", entries=0),
        fleets.InstancePlan(name="b", site="site-b", entries=0),
    ),
    servers=(
        fleets.ServerPlan(name="engine-a", site="site-a"),
        fleets.ServerPlan(name="engine-b", site="site-b", checks_orders=False),
    ),
    services=(),
    models={"draft": schema.Model(version="1", size_mib=9_000)},
    lease_ms=3_000,
    renew_ms=500,
)


def approve_plan(platform, fleet, directory):
    """Propose and approve the configuration files of the fleet's plan."""
    base, *overlays = (
        SourceFile(name=path.name, text=path.read_text())
        for path in fleets.write_files(fleet, directory)
    )
    files = FileSet(base=base, overlays=tuple(overlays))
    proposal = approval.propose(platform, files=files, proposer="t", now_ms=0)
    approval.approve(
        platform,
        proposal=proposal.proposal,
        base_version=proposal.base_version,
        approver="t",
        now_ms=0,
    )


def read_owner(platform, server):
    """Return the instance and the fence in a server's owner row."""
    row = platform.table.read(f"main/owner/{server}")
    if row is None:
        return "", 0
    record = decode_owner(row.value)
    return (record.instance if record.session else ""), record.fence


def read_orders(fleet, server):
    url = f"http://{fleet.addresses[server]}/control/counters"
    return urllib3.request("GET", url).json()["orders"]


def test_frozen_controller_is_replaced_and_orders_nothing_when_it_resumes(tmp_path):
    """Controller ``a``, a real process, is frozen for longer than its lease.

    ``b`` takes over its server under a higher fence. An operator then approves a
    second copy, and ``b`` sends the order for it. ``a`` resumes and must not send
    orders under its old fence, whether or not the servers check orders.
    """
    with open_launcher(tmp_path) as launcher:
        fleet = fleets.build_fleet(PLAN, launcher)
        fleets.start_standins(fleet)
        for instance in PLAN.instances:
            fleets.start_controller(fleet, instance)
        launcher.wait_ready("controller-a", "controller-b")
        platform = connect_platform(address=fleet.addresses["platform"])
        approve_plan(platform, fleet, tmp_path)
        names = ("engine-a", "engine-b")

        def owners():
            return {name: read_owner(platform, name) for name in names}

        wait_until(
            lambda: {owner for owner, _ in owners().values()} == {"a", "b"},
            what="both to own a server",
        )
        before = owners()
        (lost,) = (name for name, (owner, _) in before.items() if owner == "a")
        wait_until(
            lambda: any(read_orders(fleet, name) for name in names), what="a load"
        )
        launcher.send("controller-a", signal.SIGSTOP)
        wait_until(
            lambda: owners()[lost] == ("b", before[lost][1] + 1), what="b to claim"
        )
        two_copies = msgspec.structs.replace(PLAN.models["draft"], copies=2)
        fleet.plan = msgspec.structs.replace(PLAN, models={"draft": two_copies})
        approve_plan(platform, fleet, tmp_path)
        wait_until(
            lambda: all(read_orders(fleet, name) for name in names), what="both copies"
        )
        launcher.send("controller-a", signal.SIGCONT)
        wait_until(
            lambda: (
                "lease_lapsed" in launcher.read_log("controller-a")
                and launcher.read_log("controller-a").count("lease_taken") == 2
            ),
            what="a to take a new lease",
        )
        for name in names:
            fences = [order["fence"] for order in read_orders(fleet, name)]
            assert fences == sorted(fences)
        assert owners()[lost][1] > before[lost][1]
        statuses = launcher.stop("controller-a", "controller-b")
        assert set(statuses.values()) == {0}
        assert {owner for owner, _ in owners().values()} == {""}


def is_ready(address):
    return urllib3.request("GET", f"http://{address}/readyz").status == 200


def test_new_instance_starts_from_a_peer_while_the_store_is_down(tmp_path):
    """The store is down, and two instances are replaced meanwhile.

    One reaches a peer and serves with the peer's active version. The other reaches no
    peer: it has no accepted configuration, so it isn't ready.
    """
    with open_launcher(tmp_path) as launcher:
        fleet = fleets.build_fleet(PLAN, launcher)
        fleets.start_standins(fleet)
        first, second = PLAN.instances
        fleets.start_controller(fleet, first)
        launcher.wait_ready("controller-a")
        platform = connect_platform(address=fleet.addresses["platform"])
        approve_plan(platform, fleet, tmp_path)
        health = fleet.addresses["health-a"]
        wait_until(lambda: is_ready(health), what="version 1 in force")
        launcher.kill("platform")
        fleets.start_controller(fleet, second)
        fleet.routes["controller-c", "controller-a"] = "127.0.0.1:1"
        fleet.routes["controller-c", "controller-b"] = "127.0.0.1:1"
        (isolated, isolated_health) = find_free_addresses(2)
        fleet.addresses |= {"controller-c": isolated, "health-c": isolated_health}
        fleets.start_controller(fleet, fleets.InstancePlan(name="c", site="site-a"))
        launcher.wait_ready("controller-b", "controller-c")
        health = fleet.addresses["health-b"]
        wait_until(lambda: is_ready(health), what="b to start from a")
        assert "configuration_from_peer" in launcher.read_log("controller-b")
        assert not is_ready(isolated_health)
        statuses = launcher.stop("controller-a", "controller-b", "controller-c")
        assert set(statuses.values()) == {0}
