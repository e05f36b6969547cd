"""State of an entry, and the runtime that its functions use.

The state belongs to the event loop's thread. Worker threads access only values that
were passed to them.
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
"""Deadline of a request after its arrival, including the time in the queue. The longest
answers, of some thousand tokens, fit into it."""


class Settings(Value, frozen=True):
    """Validated settings of the process.

    :param address: ``host:port`` that is advertised to callers.
    :param boot_id: identifies this process; it changes with a restart.
    :param max_body_bytes: larger request bodies are refused.
    :param max_in_flight: maximum number of concurrent calls; more are refused.
    """

    instance: str
    site: str
    address: str
    boot_id: str
    max_body_bytes: int = 1024 * 1024
    max_in_flight: int = 90


class Attempt(Value, frozen=True):
    """One attempt at a request, to be made by the request's worker.

    :param address: ``host:port`` of the server.
    :param boot_id: the last known boot id of the server.
    :param deadline: time in ms after which the attempt is cancelled.
    :param is_trial: whether the request is a suspect on trial.
    """

    server: str
    address: str
    boot_id: str
    request: InferenceRequest
    deadline: int
    is_trial: bool = False


class Trial(Value, frozen=True):
    """The exclusive right to run a suspect on one server."""

    server: str
    boot_id: str
    trial_id: str


class OngoingRequest(State):
    """One request to a model, from its arrival to its end.

    :param cost: estimated cost in tokens.
    :param fingerprint: hash of caller, path and body.
    :param alive_servers: servers that broke a stream off but answered afterwards.
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
    """Demand for one item since the last report."""

    requests: int = 0
    tokens: int = 0
    refused: int = 0


class TrialHolder(Value, frozen=True):
    """A trial of another instance that has reserved a server.

    :param seen_at: time in ms at which the trial was first seen.
    :param requested_at: time in ms of the last request for the server.
    """

    trial_id: str
    seen_at: int
    requested_at: int


class EntryState(State):
    """All shared state of an entry.

    :param view: the last view of the controller; kept while the controller is down.
    :param view_received_at: time in ms at which the last view arrived.
    :param reconnected_at: time in ms of the last reconnection to the controller.
    :param summaries: the view's servers by name.
    :param ongoing: requests to models by id.
    :param demand: demand by item.
    :param in_flight: number of calls being answered, including calls to plain services.
    :param draining: whether the entry is left out of answers to ``/v1/addresses``.
    :param refusing: whether new calls are refused.
    :param trials: trial ids by the server on which a suspect of this entry is on trial.
    :param trial_holders: trials of other instances by the server that they reserve.
    :param unrecorded_deaths: reports of deaths that the controller has not recorded
        yet, each for one request, by request, server and boot.
    :param death_reports: death reports in progress, by server and boot.
    :param address_backoff_until: time in ms until which an address of a plain service
        is avoided.
    :param open_claims: time in ms at which another run's open claim was first seen, by
        caller and key.
    :param pending_settlements: number of settlements in progress.
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
    """Dependencies that the entry's functions share.

    :param rng: random number generator.
    """

    settings: Settings
    state: EntryState
    loop: LoopThread
    clock: Clock
    engines: Engines
    controller: ControllerClient
    metrics: Metrics
    rng: random.Random
