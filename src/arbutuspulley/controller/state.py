"""The state of one controller; it is only accessed on the controller's event loop."""

import asyncio
import random
from concurrent.futures import ThreadPoolExecutor

import msgspec

from arbutuspulley.clock import Clock
from arbutuspulley.configuration.activation import ActivationState
from arbutuspulley.controller.demand import DemandState
from arbutuspulley.controller.entries import EntryState
from arbutuspulley.controller.exchange import OutgoingUpdates, PeerState
from arbutuspulley.controller.metrics import Metrics
from arbutuspulley.controller.reports import ServerState
from arbutuspulley.controller.rows import GroupRows
from arbutuspulley.controller.views import ViewState
from arbutuspulley.data import State, Value
from arbutuspulley.delivery.suspects import SuspectState
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.observation import ObservationState
from arbutuspulley.membership.outage import OutageState
from arbutuspulley.ports.engines import Engines
from arbutuspulley.ports.platform import Platform
from arbutuspulley.rpc.channel import Client


class ControllerSettings(Value, frozen=True):
    """Validated settings of the process; see the program's flags.

    :param advertise: address for peers; empty if they use ``listen``.
    """

    instance: str
    site: str
    group: str
    listen: str
    http: str
    platform: str
    peers: tuple[str, ...]
    peer_key: str
    lease_ms: int
    renew_ms: int
    report_ms: int
    exchange_ms: int
    follow_ms: int
    advertise: str = ""


class Pools(State):
    """I/O thread pools, separate so that one kind of call never waits for another.

    :param lease: lease renewals only.
    :param store: all other platform calls of the controller's own.
    :param delivery: claims, deaths and clearances, for which entries wait.
    :param reports: polling servers; a frozen server occupies a thread.
    :param orders: sending orders.
    """

    lease: ThreadPoolExecutor
    store: ThreadPoolExecutor
    delivery: ThreadPoolExecutor
    reports: ThreadPoolExecutor
    orders: ThreadPoolExecutor


class Controller(State):
    """The complete state of one controller.

    :param read_outage: outage state of the platform's reads.
    :param write_outage: outage state of the platform's writes.
    :param activation: the active configuration and pending changes.
    :param listed_leaving: servers that the instance list marks as leaving.
    :param live: instances with a valid session.
    :param live_since: when the set of live instances last changed, in ms.
    :param configured_at: when publishing first found an active configuration, in ms.
    :param serving: whether entries may serve.
    :param view_changed: set when there is a new view, and then replaced by a new event.
    :param view_urgent: set when a view must not wait for the minimum interval between
        views, and then replaced by a new event.
    :param settling: tasks that record the outcome of claims.
    :param stopping: whether shutdown has begun.
    """

    settings: ControllerSettings
    clock: Clock
    rng: random.Random
    platform: Platform
    engines: Engines
    pools: Pools
    metrics: Metrics
    lease: LeaseState
    sessions: ObservationState
    rows: GroupRows
    outgoing_updates: OutgoingUpdates
    read_outage: OutageState
    write_outage: OutageState
    activation: ActivationState = msgspec.field(default_factory=ActivationState)
    views: ViewState = msgspec.field(default_factory=ViewState)
    suspects: SuspectState = msgspec.field(default_factory=SuspectState)
    demand: DemandState = msgspec.field(default_factory=DemandState)
    servers: dict[str, ServerState] = {}
    entries: dict[str, EntryState] = {}
    peers: dict[str, PeerState] = {}
    clients: dict[str, Client] = {}
    listed_leaving: frozenset[str] = frozenset()
    live: frozenset[str] = frozenset()
    live_since: int = 0
    configured_at: int | None = None
    serving: bool = False
    settling: set[asyncio.Task[None]] = set()
    stopping: bool = False
    view_changed: asyncio.Event = msgspec.field(default_factory=asyncio.Event)
    view_urgent: asyncio.Event = msgspec.field(default_factory=asyncio.Event)


def is_store_up(controller: Controller) -> bool:
    """Return whether the platform recently answered reads and writes."""
    return controller.read_outage.up and controller.write_outage.up
