"""All that one controller knows; it lives on the controller's loop."""

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
    """Checked settings of the process; see the program's flags.

    :param advertise: empty if peers reach it at ``listen``.
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
    """I/O threads, apart from one another so that no user of one waits for another.

    :param lease: renewals only.
    :param store: all else that the controller itself asks of the platform.
    :param delivery: claims, deaths and clearances that entries wait for.
    :param reports: reading servers' reports; a frozen server holds a thread.
    :param orders: sending orders.
    """

    lease: ThreadPoolExecutor
    store: ThreadPoolExecutor
    delivery: ThreadPoolExecutor
    reports: ThreadPoolExecutor
    orders: ThreadPoolExecutor


class Controller(State):
    """The whole state of one controller.

    :param reads: whether the platform answers reads.
    :param writes: whether the platform takes writes.
    :param listed_leaving: servers that the instance list calls leaving.
    :param live_since: when the set of live instances last changed.
    :param configured_at: when a configuration first came into force here.
    :param serving: whether entries were told that serving may begin.
    :param view_changed: set whenever there is a new view; replaced then.
    :param view_urgent: set when a view must not wait for the gap between views;
        replaced then.
    :param settling: claims whose end is being recorded.
    :param stopping: set once the process has begun to stop.
    """

    settings: ControllerSettings
    clock: Clock
    chance: random.Random
    platform: Platform
    engines: Engines
    pools: Pools
    metrics: Metrics
    lease: LeaseState
    sessions: ObservationState
    rows: GroupRows
    outgoing_updates: OutgoingUpdates
    reads: OutageState
    writes: OutageState
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
    """Tell whether the platform lately answered reads and writes."""
    return controller.reads.up and controller.writes.up
