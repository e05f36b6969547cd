"""What an entry knows, and what its functions work with.

The state lives on the loop's thread. Worker threads see only values that were
handed to them.
"""

import asyncio
import random

import msgspec

from arbutuspulley.admission.cost import CostState
from arbutuspulley.admission.queue import AdmissionState
from arbutuspulley.admission.retry_budget import RetryBudget
from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.configuration.lookup import Item
from arbutuspulley.data import State, Value
from arbutuspulley.delivery.request import RequestState
from arbutuspulley.delivery.suspects import SuspectState
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.controller_client import ControllerClient
from arbutuspulley.entry.index import EMPTY_INDEX, SiteIndex
from arbutuspulley.entry.metrics import Metrics
from arbutuspulley.loop import LoopThread
from arbutuspulley.ports.engines import Engines, InferenceRequest
from arbutuspulley.routing.choice import RoutingState
from arbutuspulley.rpc.messages import DeathReport, ServerSummary, View

REQUEST_TIMEOUT_MS = 600 * SECOND_MS
"""Longest life of a request, waiting included; then it is given up. The longest
answers, of some thousand tokens, fit into it."""


class Settings(Value, frozen=True):
    """Checked settings of the process.

    :param address: ``host:port`` that callers are told.
    :param boot_id: names this process; a restarted one has another.
    :param most_in_flight: requests handled at once; more are refused.
    """

    instance: str
    site: str
    address: str
    boot_id: str
    max_body_bytes: int = 1024 * 1024
    max_in_flight: int = 90


class Attempt(Value, frozen=True):
    """One attempt at a request, to be made by its worker.

    :param address: ``host:port`` of the server.
    :param boot_id: the server's boot as last seen.
    :param is_trial: whether the request is a suspect on trial.
    """

    server: str
    address: str
    boot_id: str
    request: InferenceRequest
    deadline: int
    is_trial: bool = False


class Trial(Value, frozen=True):
    """The right to run a suspect on one server."""

    server: str
    boot_id: str
    trial_id: str


class OngoingRequest(State):
    """One request to a model, from its arrival to its end.

    :param cost: estimated token cost.
    :param alive_servers: servers that broke off and yet answered afterwards.
    :param admission_decision: resolved when admission has decided.
    """

    call: Call
    item: Item
    request: RequestState
    cost: int
    fingerprint: str
    alive_servers: frozenset[str] = frozenset()
    admission_decision: asyncio.Future | None = None
    attempt: Attempt | None = None
    trial: Trial | None = None


class Demand(State):
    """What callers asked of one item since the last report."""

    requests: int = 0
    tokens: int = 0
    refused: int = 0


class TrialHolder(Value, frozen=True):
    """Another instance's trial that holds a server.

    :param seen_at: when it was first seen.
    :param asked_at: when the server was last asked for.
    """

    trial_id: str
    seen_at: int
    asked_at: int


class EntryState(State):
    """All shared state of an entry.

    :param view: the last view of the controller; it stays if the controller dies.
    :param reconnected_at: when the controller was last found again.
    :param ongoing: requests to models by id.
    :param in_flight: calls being answered, those to plain services included.
    :param draining: whether it is left out of address answers.
    :param refusing: whether new calls are refused.
    :param trials: servers on which a suspect of this entry is on trial.
    :param trial_holders: servers that a suspect of another instance holds.
    :param unrecorded_deaths: deaths that the controller has not recorded yet, one
        request each, by request, server and boot.
    :param death_reports: reports of deaths under way, by server and boot.
    :param address_backoff_until: until when a plain service's address is left out.
    :param open_claims: since when another run's claim is seen open, by caller and key.
    :param pending_settlements: claims being settled.
    """

    view: View | None = None
    view_received_at: int = 0
    reconnected_at: int | None = None
    summaries: dict[str, ServerSummary] = {}
    index: SiteIndex = EMPTY_INDEX
    admission: AdmissionState = msgspec.field(default_factory=AdmissionState)
    routing: RoutingState = msgspec.field(default_factory=RoutingState)
    retry_budget: RetryBudget = msgspec.field(default_factory=RetryBudget)
    costs: CostState = msgspec.field(default_factory=CostState)
    suspects: SuspectState = msgspec.field(default_factory=SuspectState)
    ongoing: dict[str, OngoingRequest] = {}
    demand: dict[str, Demand] = {}
    in_flight: int = 0
    draining: bool = False
    refusing: bool = False
    trials: dict[str, str] = {}
    trial_holders: dict[str, TrialHolder] = {}
    unrecorded_deaths: dict[str, DeathReport] = {}
    death_reports: dict[str, asyncio.Task] = {}
    address_backoff_until: dict[str, int] = {}
    open_claims: dict[tuple[str, str], int] = {}
    pending_settlements: int = 0


class Runtime(Value, frozen=True):
    """What the shell's functions work with.

    :param chance: source of random draws.
    """

    settings: Settings
    state: EntryState
    loop: LoopThread
    clock: Clock
    engines: Engines
    controller: ControllerClient
    metrics: Metrics
    chance: random.Random
