"""What holds after all instances were killed at once, without a network.

See ``docs/design/lost-memory.md``; real nodes are in ``test_lost_memory_nodes.py``.
"""

import asyncio
import random

import pytest

from arbutuspulley.admission.quota import QuotaLedger, build_limits
from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.membership.coordinator_lease import may_order
from arbutuspulley.node.link import Link
from arbutuspulley.node.progress import RequestFailedError
from arbutuspulley.node.quota_charging import QuotaCharger
from arbutuspulley.pool.load_rate import (
    WINDOW_MS,
    inherit_loads,
    list_recent_loads,
    may_load,
    record_load,
)
from arbutuspulley.ports.fleet import FleetConfiguration, ModelSpec
from tests.crash_model import CrashModel
from tests.elections import FakeCoordinator, LeaseStore, build_members
from tests.node_states import build_state
from tests.pools import build_pool, build_server, build_spec
from tests.test_crash_promises import check_play, list_options
from tests.test_quota import (
    TOLERANCE,
    build_full_ledger,
    build_team,
    find_max_usage,
    get_allowed,
)

KILLED_AT_MS = (9_000, 24_000, 42_000, 51_000)
"""When all instances are killed, in ms."""

SEEDS = 8

STARTS_AT_MS = (0, 2_000, 5_000)
"""When all instances start within one window of the quotas, in ms."""

TOLD_AFTER_MS = 1_000
"""Time after a start when instances are told how many they are, in ms; then they lose
their coordinator again."""

STEP_MS = 20

LIVES = 4
DOWN_MS = 500
"""Number of coordinators that are killed, and the time until the next one starts, in
ms."""

LOADS_PER_S = 2
CEILING_OVERAGE = 1.1
SERVERS = 30

LOADING_SPEC = build_spec(
    loads_per_s=LOADS_PER_S,
    models={
        "m0": ModelSpec(
            name="m0",
            size_mb=30,
            adapter_mb=0,
            load_ms=4_000,
            disk_load_ms=4_000,
            warm_load_ms=4_000,
        )
    },
)

INSTANCES = 6


def play_kills(*, seed, **options):
    """Play a model whose instances are all killed at once, several times."""
    model = CrashModel(seed=seed, **options)
    for at in KILLED_AT_MS:
        model.after(at, model.kill_all)
    model.run()
    return model


def test_a_request_that_crashes_servers_stops_though_all_instances_are_killed():
    """Guards against crashes that only processes know: each time that all are killed,
    the request crashes servers again."""
    for seed in range(SEEDS):
        check_play(play_kills(seed=seed, **list_options(seed)), seed)


def test_a_part_that_crashes_servers_stops_though_all_instances_are_killed():
    """Guards against quarantined parts of prompts that only processes know."""
    for seed in range(SEEDS):
        options = {**list_options(seed), "poisons": 0, "bad_parts": 1}
        check_play(play_kills(seed=seed, tries_others=True, **options), seed)


def test_harmless_requests_are_served_after_all_instances_were_killed():
    """Guards against a request that is taken for the cause of a crash as no process
    remembers that it completed before."""
    for seed in range(SEEDS):
        model = play_kills(seed=seed, **list_options(seed))
        late = [one for one in model.answers if one[0] > max(KILLED_AT_MS) + 60_000]
        harmless = [how for _, _, body, how in late if body.startswith(b"harmless")]
        assert harmless.count("served") > 0.9 * len(harmless), seed


class StartingInstance:
    """An instance that has just started and has no coordinator yet."""

    def __init__(self, read, team, rng):
        state = build_state(
            clock=Clock(read=read),
            quota_window_ms=TOLERANCE.window_ms,
            quota_overage=TOLERANCE.overage,
            quota_extra=TOLERANCE.extra,
        )
        state.rng = rng
        state.configuration = FleetConfiguration(
            version=1, routes=(), services={}, teams=(team,)
        )
        self.state = state
        self._charger = QuotaCharger(state=state, link=Link(state=state))
        self._team = team

    def charge(self, cost):
        """Return whether a request of a team is charged."""
        try:
            self._charger.charge(self._team, cost, attempt_id="a")
        except RequestFailedError:
            return False
        return True


@pytest.mark.parametrize("cost", [200, 2_000])
def test_instances_that_all_start_at_once_stay_within_a_quota(cost):
    """Guards against instances that each use a whole quota until a coordinator tells
    them how many there are."""
    team, now = build_team(rate=2_000, burst=2_000), [0]
    rng = random.Random(3)
    usage = []
    for begin, end in zip(STARTS_AT_MS, (*STARTS_AT_MS[1:], 8_000), strict=True):
        now[0] = begin
        instances = [
            StartingInstance(lambda: now[0], team, rng) for _ in range(INSTANCES)
        ]
        for at in range(begin, min(end, begin + 2 * SECOND_MS), STEP_MS):
            now[0] = at
            if at == begin + TOLD_AFTER_MS:
                for one in instances:
                    one.state.instances = INSTANCES
            usage += [(at, cost) for one in instances if one.charge(cost)]
    assert 0 < find_max_usage(usage) <= get_allowed(team)


def test_coordinators_that_start_again_stay_within_a_quota():
    """Guards against a new coordinator that grants a team's burst again each time that
    all instances are killed."""
    team = build_team(rate=2_000, burst=20_000)
    ledger = build_full_ledger(team, TOLERANCE)
    usage = []
    for at in range(0, 3 * TOLERANCE.window_ms, STEP_MS):
        if at % TOLERANCE.window_ms in STARTS_AT_MS[1:]:
            ledger = QuotaLedger()
            ledger.set_limits(build_limits([team], TOLERANCE), now=at)
        while not ledger.charge("t", 200, now=at):
            usage.append((at, 200))
    assert find_max_usage(usage) <= get_allowed(team)


class LoadingCoordinator(FakeCoordinator):
    """Coordinator that loads from the weight store whenever it may."""

    def __init__(self, ordered):
        super().__init__()
        self._ordered = ordered
        self._pool = None

    def activate(self, inherited):
        super().activate(inherited)
        servers = [build_server(f"e{number}") for number in range(SERVERS)]
        self._pool = build_pool(*servers, spec=LOADING_SPEC)
        inherit_loads(
            self._pool,
            inherited.loads.get("llm", []),
            unknown_until=inherited.unknown_until,
        )

    def list_loads(self):
        if not self.is_active:
            return None
        now = max(self._ordered, default=0)
        return {"llm": list_recent_loads(self._pool, now=now)}

    def load(self, *, now):
        for server in self._pool.servers.values():
            if not server.loading and may_load(self._pool, now=now):
                server.loading = "m0"
                record_load(self._pool, now=now)
                self._ordered.append(now)


@pytest.mark.parametrize("killed_after_ms", [300, 700, 1_200])
def test_coordinators_that_are_killed_soon_stay_within_the_weight_stores_rate(
    killed_after_ms,
):
    """Guards against loads that each of several coordinators ordered before it was
    killed, of which its successor counts those of the last one alone."""
    now, ordered = [0], []
    store = LeaseStore(now)
    for number in range(LIVES):
        members = build_members([1.0], store, now)
        member = members["n0"]
        member.lease.boot = f"boot-{number}"
        member.coordinator = LoadingCoordinator(ordered)
        member.election._coordinator = member.coordinator
        claimed_at = None
        while claimed_at is None or now[0] < claimed_at + killed_after_ms:
            now[0] += STEP_MS
            asyncio.run(member.tick())
            if not member.coordinator.is_active:
                continue
            claimed_at = now[0] if claimed_at is None else claimed_at
            if may_order(member.lease, now=now[0]):
                member.coordinator.load(now=now[0])
        now[0] += DOWN_MS
    most = max(
        sum(begin <= at < begin + WINDOW_MS for at in ordered) for begin in ordered
    )
    assert most <= LOADS_PER_S * WINDOW_MS / 1_000 * CEILING_OVERAGE + 3
