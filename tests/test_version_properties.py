"""Random runs of software versions that come and go, without a network."""

import asyncio
import random

import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.delivery.begun_streams import BegunStream, build_stream_key
from arbutuspulley.node.messages import ResponseStarted
from arbutuspulley.node.stream_copies import StreamVersionLookup
from arbutuspulley.node.stream_versions import add_copies, list_copies
from arbutuspulley.pool.answers import apply_order_answer
from arbutuspulley.pool.eviction import count_used_mb
from arbutuspulley.pool.grants import Grant, plan_grants
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.runs import record_run_end
from arbutuspulley.pool.state import update_servers
from arbutuspulley.ports.fleet import (
    AttemptOutcome,
    LoadedModel,
    OrderAnswer,
    SoftwareVersion,
)
from tests.node_states import build_entry, build_state
from tests.pools import add_waiting, build_pool

VERSIONS = [SoftwareVersion(name=name) for name in ("v1", "v2", "v3")]
MODELS = ("m0", "m1", "m2", "m3")
STEP_MS = 50


class Release:
    """A pool whose servers are replaced by others of random versions."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0
        self.pool = build_pool()
        self.entries = {}
        self.waiting_since = {}
        self.ends = []
        self.number = 0
        for _ in range(6):
            self.start_server()

    def start_server(self):
        self.number += 1
        name = f"s{self.number}"
        models = tuple(LoadedModel(model=model) for model in self.rng.sample(MODELS, 2))
        self.entries[name] = build_entry(
            name, software_version=self.rng.choice(VERSIONS), loaded_models=models
        )

    def change_servers(self):
        draw = self.rng.random()
        if draw < 0.05 and len(self.entries) > 2:
            del self.entries[self.rng.choice(list(self.entries))]
        elif draw < 0.1:
            name = self.rng.choice(list(self.entries))
            entry = self.entries[name]
            self.entries[name] = build_entry(
                name,
                software_version=entry.software_version,
                loaded_models=entry.loaded_models,
                is_leaving=True,
            )
        elif draw < 0.2 and len(self.entries) < 9:
            self.start_server()
        update_servers(self.pool, list(self.entries.values()))
        for server in self.pool.servers.values():
            if server.accepted_orders is None:
                server.accepted_orders = 0

    def step(self):
        self.now += STEP_MS
        self.change_servers()
        for _ in range(self.rng.randrange(3)):
            self.number += 1
            key = f"r{self.number}"
            version = self.rng.choice([None, None, *VERSIONS])
            add_waiting(
                self.pool,
                key,
                self.rng.choice(MODELS),
                now=self.now,
                version=version,
                tokens=self.rng.randrange(50, 500),
            )
            self.waiting_since[key] = self.now, version
        decisions = plan_grants(self.pool, now=self.now)
        for order in plan_orders(self.pool, now=self.now):
            apply_order_answer(self.pool, order, OrderAnswer.ACCEPTED, now=self.now)
        self.end_runs(decisions)
        return decisions

    def end_runs(self, decisions):
        for one in decisions:
            if isinstance(one, Grant):
                ends_at = self.now + self.rng.randrange(100, 2_000)
                self.ends.append((ends_at, one.key, one.incarnation))
        for ends_at, key, incarnation in self.ends:
            if ends_at <= self.now:
                record_run_end(
                    self.pool,
                    key,
                    incarnation,
                    how=AttemptOutcome.DONE,
                    now=self.now,
                )
        self.ends = [one for one in self.ends if one[0] > self.now]


@pytest.mark.parametrize("seed", range(30))
def test_each_request_gets_its_version_or_an_answer_in_time(seed):
    """Guards against a grant of another version, a refusal while the version serves,
    and requests that wait beyond their time, during releases and back."""
    release = Release(seed)
    granted = 0
    for _ in range(400):
        for one in release.step():
            since, version = release.waiting_since.pop(one.key)
            assert release.now - since <= 3_400 + STEP_MS
            if isinstance(one, Grant):
                server = release.pool.servers[one.incarnation]
                assert version in (None, server.version)
                assert not server.is_leaving
                granted += version is not None
            elif one.is_version_gone:
                assert not any(
                    server.version == version and not server.is_leaving
                    for server in release.pool.servers.values()
                )
        for _, (since, _version) in release.waiting_since.items():
            assert release.now - since <= 3_400 + STEP_MS
        for server in release.pool.servers.values():
            used_mb = count_used_mb(release.pool.spec, server)
            assert used_mb <= release.pool.spec.memory_mb
    assert granted > 50


class Instances:
    """Instances and a coordinator among them, whose messages always arrive."""

    def __init__(self, count, rng):
        self.rng = rng
        self.clock = Clock(read=lambda: 10_000)
        self.states = [
            build_state(clock=self.clock, name=f"n{number}") for number in range(count)
        ]
        for state in self.states:
            state.rng = rng
        self.coordinate(self.states[0])

    def coordinate(self, state):
        self.coordinator = state
        self.lookup = StreamVersionLookup(state=state, peers=self)
        self.lookup.reset()

    def list_reachable(self):
        return [_Inbox(state) for state in self.states if state is not self.coordinator]

    def begin(self, attempt, version, state):
        message = ResponseStarted(
            key=attempt,
            incarnation="s0",
            took_ms=1,
            service="llm",
            version=version.name,
            retention_ms=17_000,
        )
        stream = BegunStream(service="llm", version=version, expires_at=27_000)
        state.begun_streams.add(build_stream_key(attempt), stream, now=10_000)
        self.lookup.record_started(message)

    def send_copies(self):
        """Send copies now, so that a run depends on its seed alone."""
        self.lookup._timer.cancel()
        self.lookup._send_copies()

    def lose(self, count, *also):
        lost = [*also, *self.rng.sample(self.states, count)]
        self.states = [state for state in self.states if state not in lost]
        self.coordinate(self.rng.choice(self.states))
        for state in self.states:
            add_copies(self.coordinator, list_copies(state))


class _Inbox:
    def __init__(self, state):
        self._state = state

    def send(self, message):
        add_copies(self._state, (message,))


@pytest.mark.parametrize(
    ("instances", "lost", "least"),
    [(6, 0, 1.0), (6, 3, 1.0), (72, 24, 0.95), (72, 48, 0.75), (195, 130, 0.75)],
)
@pytest.mark.parametrize("seed", range(5))
def test_versions_outlive_the_coordinator_and_the_instances_that_began_streams(
    instances, lost, least, seed
):
    """Guards against streams that nobody knows after the coordinator and a third, or
    two thirds, of the instances are lost together."""

    async def scenario():
        rng = random.Random(seed)
        fleet = Instances(instances, rng)
        begun = {}
        for number in range(300):
            attempt, version = f"a{number}", rng.choice(VERSIONS)
            fleet.begin(attempt, version, rng.choice(fleet.states))
            begun[attempt] = version
            if number % 5 == 4:
                fleet.send_copies()
        fleet.lose(lost, fleet.coordinator)
        known = 0
        for attempt, version in begun.items():
            key = build_stream_key(attempt)
            found = fleet.coordinator.begun_streams.find(key, now=10_000)
            assert found is None or found.version == version
            known += found is not None
        assert known >= least * len(begun)

    asyncio.run(scenario())
