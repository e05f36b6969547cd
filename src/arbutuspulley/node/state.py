"""State that is shared by the components of an instance."""

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable

import aiohttp

from arbutuspulley.admission.cooldowns import Cooldowns
from arbutuspulley.admission.freshness import CLOCK_DRIFT_MARGIN_MS, Freshness
from arbutuspulley.admission.keys import KeyTable
from arbutuspulley.admission.rate_limits import KnownRateLimits
from arbutuspulley.clock import Clock
from arbutuspulley.delivery.begun_streams import BegunStreams
from arbutuspulley.delivery.crash_records import CrashRecords
from arbutuspulley.delivery.part_records import PartRecords
from arbutuspulley.delivery.prompt_index import PromptIndex
from arbutuspulley.delivery.stream_records import StreamJournal
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.capacity import get_capacity
from arbutuspulley.membership.leaving import LeavingServers
from arbutuspulley.membership.server_reach import ServerReach, is_cut_off
from arbutuspulley.membership.server_starts import ServerStarts
from arbutuspulley.membership.software_versions import ServiceVersions
from arbutuspulley.node.advertisement import get_share_divisor, select_advertised
from arbutuspulley.node.feed_schedule import FeedSchedule
from arbutuspulley.node.messages import (
    CoordinatorEstimates,
    NodeInfo,
    StoreUpdate,
    ToCoordinator,
)
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.rejected_rows import RejectedRows
from arbutuspulley.node.server_view import ServerView
from arbutuspulley.node.versions import Versions
from arbutuspulley.platform.held_bytes import HeldBytes
from arbutuspulley.platform.memory_bound import HeldAnswer
from arbutuspulley.platform.store import StoreClient
from arbutuspulley.ports.fleet import (
    FleetConfiguration,
    InboundRequest,
    NodeSettings,
    ServerEntry,
    SoftwareVersion,
)
from arbutuspulley.ports.store_position import NO_POSITION, StorePosition
from arbutuspulley.routing.answer_times import AnswerTimes
from arbutuspulley.routing.local_choice import LocalServerStats
from arbutuspulley.routing.route_table import RouteTable

FindVersion = Callable[[str, InboundRequest], Awaitable[SoftwareVersion | None]]
"""Called with the name of a service and a request that resumes a stream there."""


class NodeState:
    """State of the process; it is used only on the event loop.

    :param order_session: HTTP client for orders to model servers.
    :param configuration: active configuration; ``None`` before the first.
    :param configuration_body: active configuration as stored, for other instances.
    :param versions: active and previous configurations as stored, likewise.
    :param freshness: confirmation that no configuration newer than the active one
        exists.
    :param keys: the teams' keys of the active configuration; ``None``: it has no teams.
    :param limits: servers' rate limits that this instance knows.
    :param brittle: refusals per second beyond which servers fall over, likewise.
    :param cooldowns: servers that want no requests from this instance for a while.
    :param leaving: servers that are leaving by their own answers; their entries may
        still say that they are ready.
    :param entries: registered servers, by server id.
    :param by_incarnation: registered servers by incarnation; ``by_service`` by service.
    :param refused_entries: reasons for which rows were rejected, by server id.
    :param rejected_rows: rows of all tables that were rejected.
    :param entry_bodies: entries as stored, for other instances.
    :param row_positions: newest known position of each server row, also of removed
        rows, by server id.
    :param removed_starts: start time of each server whose row was removed, in Unix ms,
        by server id.
    :param lapsing: position of the removal of each row that was removed while the store
        was unavailable, by server id: the server is dropped unless it writes again.
    :param deferrable_rows: servers whose newest row changed only their loaded models.
    :param store_position: position of the store up to which all server rows are known.
    :param followed_at: tables whose changes this process receives from the store, and
        the time of the last answer, in ms.
    :param feed_schedule: schedule of the long polls of those tables.
    :param follow_requested: set while the coordinator wants this instance to follow the
        store: as one of few, or because no instance does.
    :param nodes: roster: instances near this one and some others, as last sent by the
        coordinator.
    :param nodes_updated_at: time of the last coordinator status, in ms.
    :param instances: number of instances that the coordinator can reach.
    :param advertised: number of instances whose addresses are given to callers.
    :param server_reach: servers that this instance can't connect to.
    :param server_starts: which start of a server its answers come from.
    :param server_view: when the known servers were last confirmed to be all.
    :param software_versions: versions of the servers' software, by service.
    :param begun_streams: streams that callers may resume, also of other instances.
    :param stream_journal: records of streams that this process keeps in the store.
    :param stream_journal_changed: set when something may have to be written there.
    :param look_up_streams: reads such records of other processes, and returns whether
        the store could be read.
    :param find_kept_version: finds the version at which a request of a service ran
        before from the prompts that servers keep; ``None``: they don't tell.
    :param prompt_index: parts of prompts that servers kept as this instance became the
        coordinator.
    :param crash_records: requests that were in flight as servers crashed, likewise.
    :param part_records: parts of prompts that were, likewise.
    :param held_bytes: bytes that this process holds for its clients.
    :param is_coordinator: whether this instance is the coordinator.
    :param estimates: estimates last sent by the coordinator; used if this instance
        becomes its successor.
    :param stopping_at: when SIGTERM arrived, in ms; ``None`` before.
    :param exit_at: when the process then exits at the latest, in ms.
    :param answer_times: how long servers take for the requests of each route.
    :param on_change: called after the configuration or the servers have changed.
    :param on_coordinating: called when this instance becomes the coordinator.
    :param on_coordinator_status: called after each status of the coordinator.
    :param on_server_notice: called with what a server has stated in an answer and the
        coordinator has to know.
    :param on_store_update: called with newer data that the store sent to this process.
    :param on_unanswered: called with the address of a server that did not answer an
        order or a request for a report.
    :param on_store_lost: called when this process no longer receives the store's
        changes.
    """

    __slots__ = (
        "_share_divisor",
        "_share_divisor_basis",
        "advertised",
        "answer_times",
        "begun_streams",
        "brittle",
        "by_incarnation",
        "by_service",
        "clock",
        "configuration",
        "configuration_body",
        "cooldowns",
        "crash_records",
        "deferrable_rows",
        "entries",
        "entry_bodies",
        "estimates",
        "exit_at",
        "feed_schedule",
        "find_kept_version",
        "follow_requested",
        "followed_at",
        "freshness",
        "held_bytes",
        "in_flight",
        "instances",
        "is_coordinator",
        "keys",
        "lapsing",
        "leaving",
        "limits",
        "look_up_streams",
        "metrics",
        "nodes",
        "nodes_updated_at",
        "on_change",
        "on_coordinating",
        "on_coordinator_status",
        "on_server_notice",
        "on_store_lost",
        "on_store_update",
        "on_unanswered",
        "order_session",
        "part_records",
        "prompt_index",
        "refused_entries",
        "rejected_rows",
        "removed_starts",
        "rng",
        "row_positions",
        "server_reach",
        "server_starts",
        "server_stats",
        "server_view",
        "session",
        "settings",
        "software_versions",
        "stopping_at",
        "store",
        "store_position",
        "stream_journal",
        "stream_journal_changed",
        "table",
        "versions",
    )

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        session: aiohttp.ClientSession,
        order_session: aiohttp.ClientSession,
        store: StoreClient,
        metrics: NodeMetrics,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.session = session
        self.order_session = order_session
        self.store = store
        self.metrics = metrics
        self.rng = rng
        self.configuration: FleetConfiguration | None = None
        self.configuration_body = b""
        self.versions = Versions()
        self.freshness = Freshness()
        self.keys: KeyTable | None = None
        self.limits = KnownRateLimits()
        self.brittle = KnownRateLimits()
        self.cooldowns = Cooldowns()
        self.leaving = LeavingServers()
        self.entry_bodies: dict[str, bytes] = {}
        self.table: RouteTable | None = None
        self.entries: dict[str, ServerEntry] = {}
        self.refused_entries: dict[str, str] = {}
        self.rejected_rows = RejectedRows(metrics=metrics)
        self.by_incarnation: dict[str, ServerEntry] = {}
        self.by_service: dict[str, list[ServerEntry]] = {}
        self.server_stats = LocalServerStats()
        self.server_reach = ServerReach()
        self.server_view = ServerView(clock=clock)
        self.server_starts = ServerStarts(
            clock=clock,
            get_heartbeat_ms=lambda: self.settings.heartbeat_ms,
            get_view_at=lambda: self.server_view.confirmed_at,
        )
        self.software_versions = ServiceVersions()
        self.begun_streams = BegunStreams()
        self.stream_journal = StreamJournal(writer=uuid.uuid4().hex[:12])
        self.stream_journal_changed = asyncio.Event()
        self.look_up_streams: Callable[[], Awaitable[bool]] = _look_up_nothing
        self.prompt_index = PromptIndex()
        self.find_kept_version: FindVersion = _find_nothing
        self.crash_records = CrashRecords()
        self.held_bytes = HeldBytes(
            get_memory_mb=lambda: self.settings.memory_mb,
            on_abort=self._record_aborted_answer,
            on_pause=self._record_paused_answer,
        )
        metrics.held_bytes.set_function(lambda: self.held_bytes.total)
        metrics.held_bytes_bound.set_function(lambda: self.held_bytes.bound)
        self.part_records = PartRecords(requests=self.crash_records)
        self.row_positions: dict[str, StorePosition] = {}
        self.removed_starts: dict[str, int] = {}
        self.lapsing: dict[str, StorePosition] = {}
        self.deferrable_rows: set[str] = set()
        self.store_position = NO_POSITION
        self.followed_at: dict[str, int] = {}
        self.feed_schedule = FeedSchedule()
        self.follow_requested = asyncio.Event()
        self.nodes: tuple[NodeInfo, ...] = ()
        self.nodes_updated_at = 0
        self.instances = 0
        self.advertised = 0
        self._share_divisor = 0.0
        self._share_divisor_basis: tuple[object, ...] = ()
        self.is_coordinator = False
        self.estimates = CoordinatorEstimates(speeds={})
        self.in_flight = 0
        self.stopping_at: int | None = None
        self.exit_at: int | None = None
        self.answer_times = AnswerTimes()
        self.on_change: list[Callable[[], None]] = []
        self.on_coordinating: list[Callable[[], None]] = []
        self.on_coordinator_status: list[Callable[[], None]] = []
        self.on_server_notice: list[Callable[[ToCoordinator], None]] = []
        self.on_store_update: list[Callable[[StoreUpdate], None]] = []
        self.on_store_lost: list[Callable[[], None]] = []
        self.on_unanswered: list[Callable[[str], None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether this instance serves callers."""
        return self.configuration is not None and self.stopping_at is None

    @property
    def reaches_servers(self) -> bool:
        """Whether this instance can connect to backend servers."""
        return not is_cut_off(self.server_reach)

    @property
    def may_admit(self) -> bool:
        """Whether keys may be accepted: no key can have been revoked unnoticed."""
        revocation_ms = self.settings.revocation_ms
        if self.keys is None or revocation_ms is None:
            return True
        limit_ms = revocation_ms - CLOCK_DRIFT_MARGIN_MS
        return self.freshness.is_within(limit_ms, now=self.clock.now())

    @property
    def configuration_version(self) -> int:
        """Version of the active configuration; 0: none."""
        return self.configuration.version if self.configuration else 0

    def build_info(self) -> NodeInfo:
        """Return this instance's information for others."""
        settings = self.settings
        return NodeInfo(
            name=settings.name,
            site=settings.site,
            region=settings.region,
            frontend=settings.frontend,
            is_ready=self.is_ready,
            capacity=self.capacity,
            coordinates=self.is_coordinator,
            link=settings.link,
            reaches_servers=self.reaches_servers,
        )

    @property
    def share_divisor(self) -> float:
        """Divisor for this instance's share of a limit that all instances share."""
        own = self.build_info()
        basis = (own, self.nodes, self.advertised, self.instances)
        if basis != self._share_divisor_basis:
            near = [
                node for node in self.nodes if node.is_ready and node.site == own.site
            ]
            near = [own, *(node for node in near if node.name != own.name)]
            self._share_divisor = get_share_divisor(
                is_advertised=own in select_advertised(near),
                advertised=self.advertised,
                instances=self.instances,
            )
            self._share_divisor_basis = basis
        return self._share_divisor

    @property
    def capacity(self) -> float:
        """Capacity of this instance, in cores."""
        return get_capacity(self.settings.cores, self.settings.link_mbps)

    def _record_aborted_answer(self, answer: HeldAnswer) -> None:
        kind = answer.get_kind().value
        self.metrics.aborted_answers.labels(kind).inc()
        log_event(
            Event.ANSWER_ABORTED,
            id=answer.attempt_id,
            kind=kind,
            bytes=answer.size,
            held=self.held_bytes.total,
            bound=self.held_bytes.bound,
        )

    def _record_paused_answer(self, answer: HeldAnswer, paused_ms: int) -> None:
        self.metrics.paused_answers.inc()
        log_event(
            Event.ANSWER_PAUSED,
            id=answer.attempt_id,
            paused_ms=paused_ms,
            held=self.held_bytes.total,
            bound=self.held_bytes.bound,
        )

    def notify_change(self) -> None:
        """Call the listeners for changes of the configuration or the servers."""
        for call in self.on_change:
            call()

    def notify_coordinator_status(self) -> None:
        """Call the listeners for statuses of the coordinator."""
        for call in self.on_coordinator_status:
            call()

    def notify_server_notice(self, message: ToCoordinator) -> None:
        """Call the listeners for what servers state in their answers."""
        for call in self.on_server_notice:
            call(message)

    def notify_store_update(self, update: StoreUpdate) -> None:
        """Call the listeners for changes that the store sent to this process."""
        for call in self.on_store_update:
            call(update)

    def notify_store_lost(self) -> None:
        """Call the listeners for the loss of the store's changes."""
        for call in self.on_store_lost:
            call()

    def notify_unanswered(self, address: str) -> None:
        """Call the listeners for servers that did not answer the coordinator."""
        for call in self.on_unanswered:
            call(address)


async def _look_up_nothing() -> bool:
    return True


async def _find_nothing(
    _service: str, _request: InboundRequest
) -> SoftwareVersion | None:
    return None
