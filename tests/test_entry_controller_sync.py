"""Synchronisation of an entry with its controller, also during its failures."""

import asyncio

import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.configuration.schema import EMPTY
from arbutuspulley.entry import background, controller_sync
from arbutuspulley.entry.state import Demand
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import ServerSummary, Suspicion, View
from tests.entries import FakeController, build_configuration, build_runtime

SERVERS = tuple(
    ServerSummary(server=name, site="a", address=f"127.0.0.1:{port}", items=("m@1",))
    for name, port in (("e1", 1), ("e2", 2))
)


def build_view(number=1, version=1, servers=SERVERS, **fields):
    configuration = build_configuration(version=version) if version else EMPTY
    return View(
        number=number,
        configuration=configuration,
        servers=servers,
        **{"ready": True, "store_up": True, **fields},
    )


@pytest.fixture
def controller():
    return FakeController()


@pytest.fixture
def runtime(controller):
    return build_runtime(controller.port)


@pytest.mark.parametrize(
    ("second", "version", "servers"),
    [
        (build_view(2, version=3, servers=SERVERS[:1]), 3, ["e1"]),
        (build_view(1, version=1, servers=SERVERS[:1]), 2, ["e1"]),
        (build_view(1, version=0, servers=(), ready=False), 2, ["e1", "e2"]),
        (build_view(1, version=0, servers=SERVERS[:1]), 2, ["e1"]),
    ],
)
def test_a_view_never_reverts_the_configuration(runtime, second, version, servers):
    """The controller is replaced, and the new one has no state yet, or an old backup.

    If its view were applied unchanged, models and callers' keys would be missing until
    it has caught up.
    """
    controller_sync.update_view(runtime, build_view(1, version=2), now=0)
    controller_sync.update_view(runtime, second, now=1)
    state = runtime.state
    assert (state.index.version, controller_sync.is_ready(state)) == (version, True)
    assert sorted(state.summaries) == servers
    assert state.view.configuration.version == version


def test_is_ready_only_with_a_configuration_of_its_site(runtime):
    for view in (build_view(version=0), build_view(ready=False)):
        controller_sync.update_view(runtime, view, now=0)
        assert not controller_sync.is_ready(runtime.state)
    controller_sync.update_view(runtime, build_view(), now=0)
    assert controller_sync.is_ready(runtime.state)


def test_servers_are_retained_until_a_new_controller_lists_them(runtime):
    """The controller is replaced and ready, but no server has reported to it yet.

    An entry that applied its empty server list would refuse all requests for some
    seconds.
    """
    controller_sync.update_view(runtime, build_view(), now=0)
    runtime.state.reconnected_at = 10
    controller_sync.update_view(runtime, build_view(servers=()), now=10)
    assert list(runtime.state.summaries) == ["e1"]
    controller_sync.update_view(
        runtime, build_view(servers=()), now=10 + controller_sync.SERVER_RETENTION_MS
    )
    assert list(runtime.state.summaries) == []


def test_a_suspicion_is_dropped_when_the_controller_no_longer_lists_it(runtime):
    suspicion = Suspicion(fingerprint="f", deaths=("e1/b1",))
    controller_sync.update_view(runtime, build_view(suspicions=(suspicion,)), now=0)
    controller_sync.update_view(
        runtime, build_view(2), now=controller_sync.SUSPICION_GRACE_MS - 1
    )
    assert runtime.state.suspects.suspicions == {"f": suspicion}
    controller_sync.update_view(
        runtime, build_view(3), now=controller_sync.SUSPICION_GRACE_MS
    )
    assert runtime.state.suspects.suspicions == {}


def test_undelivered_demand_is_reported_later(runtime, controller):
    """The controller is unreachable for some reports while callers request a model.

    If the demand were dropped, model placement would not take it into account.
    """
    demand = runtime.state.demand
    demand["m@1"] = Demand(requests=2, tokens=30, refused=1)
    controller.down = True
    assert not asyncio.run(controller_sync.send_report(runtime))
    runtime.state.demand["m@1"].requests += 1
    controller.down = False
    assert asyncio.run(controller_sync.send_report(runtime))
    (report,) = controller.reports
    (item,) = report.demand
    assert (item.requests, item.tokens, item.refused) == (3, 30, 1)
    assert runtime.state.demand == {}


class EndOfTestError(BaseException):
    """Stops a task that runs forever."""


def test_reconnects_to_the_controller_with_backoff(controller, monkeypatch):
    """The controller dies and is reachable again after some attempts.

    The pauses between attempts grow and are jittered. In the meantime the entry serves
    from its last view.
    """
    outcomes = [[build_view(1)], [], [], [build_view(2, version=2)]]
    pauses = []

    async def watch(_request):
        if not outcomes:
            raise EndOfTestError
        for view in outcomes.pop(0):
            yield view
        raise PeerUnavailableError(detail="gone", sent=True)

    async def pause(seconds):
        pauses.append(seconds)
        assert controller_sync.is_ready(runtime.state)

    port = type(controller.port)(
        **{name: getattr(controller.port, name) for name in ("report", "claim")},
        watch=watch,
        settle=None,
        report_death=None,
        clear_suspicion=None,
    )
    runtime = build_runtime(port, clock=Clock(read=lambda: 0))
    monkeypatch.setattr(asyncio, "sleep", pause)
    with pytest.raises(EndOfTestError):
        asyncio.run(controller_sync.watch_controller(runtime))
    assert (runtime.state.index.version, runtime.state.reconnected_at) == (2, 0)
    assert len(set(pauses)) == 4 and max(pauses[:3]) <= 1.6 and pauses[2] > pauses[0]


def test_work_is_restarted_after_an_exception(runtime, monkeypatch):
    """Without a restart, an exception in one report would silently stop the others."""
    begun = []

    async def work(_runtime):
        begun.append(1)
        if len(begun) == 3:
            raise EndOfTestError
        raise ValueError("a fault")

    monkeypatch.setattr(background, "RESTART_DELAY_MS", 0)
    with pytest.raises(EndOfTestError):
        asyncio.run(background.run_with_restarts(work, runtime))
    assert len(begun) == 3
