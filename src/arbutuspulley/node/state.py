"""What the parts of one process share."""

import random
from collections.abc import Callable

import aiohttp

from arbutuspulley.admission.freshness import CLOCK_DRIFT_MARGIN_MS, Freshness
from arbutuspulley.admission.keys import KeyTable
from arbutuspulley.admission.rate_limits import KnownRateLimits
from arbutuspulley.admission.service_retry_budget import ServiceRetryBudget
from arbutuspulley.clock import Clock
from arbutuspulley.membership.capacity import get_capacity
from arbutuspulley.node.advertisement import get_share_divisor, select_advertised
from arbutuspulley.node.messages import CoordinatorEstimates, NodeInfo, StoreUpdate
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.versions import Versions
from arbutuspulley.platform.store import StoreClient
from arbutuspulley.ports.fleet import FleetConfiguration, NodeSettings, ServerEntry
from arbutuspulley.routing.local_choice import LocalServerStats
from arbutuspulley.routing.route_table import RouteTable


class NodeState:
    """State of the process; all of it lives on the one loop.

    :param order_session: the client for orders to model servers.
    :param configuration: the version in force, ``None`` before the first.
    :param configuration_body: it as the store holds it, for other instances.
    :param versions: it and those before it, likewise.
    :param freshness: the word that no newer version than the one in force exists.
    :param keys: the teams' keys of the version in force; ``None``: it has no teams.
    :param limits: rate limits that servers name, as far as this instance knows.
    :param entries: registered servers by their ids.
    :param by_incarnation: the same by incarnation, ``by_service`` by service.
    :param refused_entries: ids of rows that name no server, and why.
    :param entry_bodies: entries as the store holds them, for other instances.
    :param row_versions: version of the newest row known of each server, of removed ones
        too, by id.
    :param quiet_rows: servers whose newest row changed only what they hold.
    :param store_version: up to which version of the store all servers' rows are known.
    :param followed: tables whose changes the store tells this process, and when it
        last answered, in ms.
    :param nodes: instances near this one and some others, as the coordinator last told.
    :param instances: how many the coordinator hears of.
    :param advertised: to how many of them callers are sent.
    :param coordinates: whether this instance is the coordinator.
    :param learnt: what the coordinator last told that it has learnt; used if this
        instance succeeds it.
    :param stopping_at: when SIGTERM came, ``None`` before.
    :param on_change: called after the configuration or the servers changed.
    :param on_news: called with what the store has told this process and was new.
    :param on_lost: called when the store tells this process no changes any more.
    """

    __slots__ = (
        "_share_divisor",
        "_share_divisor_basis",
        "advertised",
        "budgets",
        "by_incarnation",
        "by_service",
        "chance",
        "clock",
        "configuration",
        "configuration_body",
        "coordinates",
        "deferrable_rows",
        "entries",
        "entry_bodies",
        "estimates",
        "followed_at",
        "freshness",
        "in_flight",
        "instances",
        "keys",
        "limits",
        "metrics",
        "nodes",
        "nodes_updated_at",
        "on_change",
        "on_store_lost",
        "on_store_update",
        "order_session",
        "records",
        "refused_entries",
        "row_versions",
        "session",
        "settings",
        "stopping_at",
        "store",
        "store_version",
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
        chance: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.session = session
        self.order_session = order_session
        self.store = store
        self.metrics = metrics
        self.chance = chance
        self.configuration: FleetConfiguration | None = None
        self.configuration_body = b""
        self.versions = Versions()
        self.freshness = Freshness()
        self.keys: KeyTable | None = None
        self.limits = KnownRateLimits()
        self.entry_bodies: dict[str, bytes] = {}
        self.table: RouteTable | None = None
        self.entries: dict[str, ServerEntry] = {}
        self.refused_entries: dict[str, str] = {}
        self.by_incarnation: dict[str, ServerEntry] = {}
        self.by_service: dict[str, list[ServerEntry]] = {}
        self.records = LocalServerStats()
        self.budgets: dict[str, ServiceRetryBudget] = {}
        self.row_versions: dict[str, int] = {}
        self.deferrable_rows: set[str] = set()
        self.store_version = 0
        self.followed_at: dict[str, int] = {}
        self.nodes: tuple[NodeInfo, ...] = ()
        self.nodes_updated_at = 0
        self.instances = 0
        self.advertised = 0
        self._share_divisor = 0.0
        self._share_divisor_basis: tuple[object, ...] = ()
        self.coordinates = False
        self.estimates = CoordinatorEstimates(speeds={})
        self.in_flight = 0
        self.stopping_at: int | None = None
        self.on_change: list[Callable[[], None]] = []
        self.on_store_update: list[Callable[[StoreUpdate], None]] = []
        self.on_store_lost: list[Callable[[], None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether this instance takes callers."""
        return self.configuration is not None and self.stopping_at is None

    @property
    def may_admit(self) -> bool:
        """Whether callers' keys may be believed: none was withdrawn unheard of."""
        revocation_ms = self.settings.revocation_ms
        if self.keys is None or revocation_ms is None:
            return True
        limit_ms = revocation_ms - CLOCK_DRIFT_MARGIN_MS
        return self.freshness.is_within(limit_ms, now=self.clock.now())

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0: none."""
        return self.configuration.version if self.configuration else 0

    def build_info(self) -> NodeInfo:
        """Return what this instance says of itself."""
        settings = self.settings
        return NodeInfo(
            name=settings.name,
            site=settings.site,
            region=settings.region,
            frontend=settings.frontend,
            is_ready=self.is_ready,
            capacity=self.capacity,
            coordinates=self.coordinates,
        )

    @property
    def share_divisor(self) -> float:
        """By how many this instance divides what all instances share."""
        own = self.build_info()
        basis = (own, self.nodes, self.advertised, self.instances)
        if basis != self._share_divisor_basis:
            near = [one for one in self.nodes if one.is_ready and one.site == own.site]
            near = [own, *(one for one in near if one.name != own.name)]
            self._share_divisor = get_share_divisor(
                is_advertised=own in select_advertised(near),
                advertised=self.advertised,
                instances=self.instances,
            )
            self._share_divisor_basis = basis
        return self._share_divisor

    @property
    def capacity(self) -> float:
        """How much work this instance can take, in cores."""
        return get_capacity(self.settings.cores, self.settings.link_mbps)

    def get_budget(self, service: str) -> ServiceRetryBudget:
        """Return the budget of repeats of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = ServiceRetryBudget(
                ratio=self.settings.retry_ratio,
                extra=self.settings.retry_extra,
                window_ms=self.settings.retry_window_ms,
            )
        return budget

    def notify_change(self) -> None:
        """Call everyone who follows the configuration and the servers."""
        for call in self.on_change:
            call()

    def notify_store_update(self, news: StoreUpdate) -> None:
        """Hand on what the store has told this process."""
        for call in self.on_store_update:
            call(news)

    def notify_store_lost(self) -> None:
        """Say that the store tells this process no changes any more."""
        for call in self.on_store_lost:
            call()
