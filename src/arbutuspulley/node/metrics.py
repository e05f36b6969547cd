"""Prometheus metrics of an instance."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15)
"""Bucket bounds of latency histograms, in s: around the usual latency targets, 0.1 to
2 s."""


MAX_TEAMS = 100
"""Maximum number of teams that are counted by name, which keeps a scrape small."""

OTHER_TEAMS = "(others)"
"""Label value for all further teams."""


class NodeMetrics:
    """The metrics of an instance; docs/OPERATIONS.md explains each."""

    __slots__ = (
        "_teams",
        "aborted_answers",
        "answers",
        "attempts",
        "break_offs",
        "client_connections",
        "closed_clients",
        "configurations",
        "cooldowns",
        "excluded_attempts",
        "expected_gaps",
        "extra_answers",
        "first_byte",
        "first_part",
        "grant_wait",
        "held_bytes",
        "held_bytes_bound",
        "in_flight",
        "instances_behind",
        "is_coordinator",
        "limited_attempts",
        "limited_servers",
        "link_age",
        "log_lines",
        "longest_gap",
        "orders",
        "paused_answers",
        "preferred_grants",
        "quarantined_parts",
        "refusals",
        "registry",
        "relayed",
        "requests",
        "resumed_streams",
        "retries",
        "retry_budget",
        "return_wait",
        "returns",
        "second_attempts",
        "share_denials",
        "stop_refusals",
        "store_calls",
        "store_era",
        "undecodable_rows",
        "uneven_servers",
        "unreachable_servers",
        "unservable",
        "version",
    )

    def __init__(self) -> None:
        registry = self.registry = CollectorRegistry()
        self.requests = Counter(
            "arbutus_requests", "Requests by how they ended", ["how"], registry=registry
        )
        self.attempts = Counter(
            "arbutus_attempts",
            "Tries at servers by outcome",
            ["how"],
            registry=registry,
        )
        self.answers = Counter(
            "arbutus_answers",
            "Servers' answers by framing and by how they ended",
            ["framing", "end"],
            registry=registry,
        )
        self.extra_answers = Counter(
            "arbutus_extra_answers",
            "Answers that belong to no request in flight, by what was done",
            ["how"],
            registry=registry,
        )
        self.break_offs = Counter(
            "arbutus_break_offs",
            "Servers that broke off a request, by whether it counts as a crash",
            ["how"],
            registry=registry,
        )
        self.quarantined_parts = Gauge(
            "arbutus_quarantined_parts",
            "Parts of prompts that are refused because they crashed servers",
            registry=registry,
        )
        self.resumed_streams = Counter(
            "arbutus_resumed_streams",
            "Streams that callers resumed, by how that ended and how their software"
            " version was known",
            ["how", "source"],
            registry=registry,
        )
        self.retries = Counter(
            "arbutus_retries",
            "Retries by service: charged to its budget, denied by it, or refunded",
            ["service", "how"],
            registry=registry,
        )
        self.retry_budget = Gauge(
            "arbutus_retry_budget",
            "Retries of a service within the window: allowed, spent, and left now",
            ["service", "what"],
            registry=registry,
        )
        self.second_attempts = Counter(
            "arbutus_second_attempts",
            "Second attempts beside a silent first one: begun, won, lost, or withheld"
            " and why",
            ["service", "how", "why"],
            registry=registry,
        )
        self.first_byte = Histogram(
            "arbutus_first_byte_seconds",
            "Until a first attempt answers or is overtaken, by whether a second one was"
            " begun and won",
            ["second"],
            registry=registry,
            buckets=_SECONDS,
        )
        self.limited_attempts = Counter(
            "arbutus_limited_attempts",
            "Tries at servers that name a rate limit",
            registry=registry,
        )
        self.limited_servers = Gauge(
            "arbutus_limited_servers",
            "Servers that name a rate limit, as this instance knows",
            registry=registry,
        )
        self.cooldowns = Counter(
            "arbutus_cooldowns",
            "Times for which servers wanted no requests from this instance",
            registry=registry,
        )
        self.excluded_attempts = Counter(
            "arbutus_excluded_attempts",
            "Tries at servers that are leaving or wanted no requests; expected: 0",
            registry=registry,
        )
        self.unreachable_servers = Gauge(
            "arbutus_unreachable_servers",
            "Servers that this instance can't connect to",
            registry=registry,
        )
        self.returns = Counter(
            "arbutus_returns",
            "Refused requests that came back, by outcome and whether too early",
            ["how"],
            registry=registry,
        )
        self.return_wait = Histogram(
            "arbutus_return_seconds",
            "Wait of requests that came back at the time they were told",
            registry=registry,
            buckets=_SECONDS,
        )
        self.unservable = Counter(
            "arbutus_unservable",
            "Requests refused at once as their model can't be loaded in time",
            registry=registry,
        )
        self.uneven_servers = Gauge(
            "arbutus_uneven_servers",
            "Model servers that are faster or slower than others; 0 at instances that"
            " don't coordinate",
            ["how"],
            registry=registry,
        )
        self.expected_gaps = Counter(
            "arbutus_expected_gaps",
            "Streams that were expected to get a gap over their target when prompts"
            " started",
            registry=registry,
        )
        self.relayed = Counter(
            "arbutus_relayed",
            "Requests sent to servers for instances that can't reach them, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.orders = Counter(
            "arbutus_orders",
            "Orders to model servers",
            ["kind", "answer"],
            registry=registry,
        )
        self.refusals = Counter(
            "arbutus_refusals",
            "Requests refused for their key or their team's quota, by why",
            ["team", "why"],
            registry=registry,
        )
        self.held_bytes = Gauge(
            "arbutus_held_bytes", "Bytes held for clients", registry=registry
        )
        self.held_bytes_bound = Gauge(
            "arbutus_held_bytes_bound",
            "Most bytes of servers' answers to hold",
            registry=registry,
        )
        self.aborted_answers = Counter(
            "arbutus_aborted_answers",
            "Answers aborted for the bound on memory, by kind",
            ["kind"],
            registry=registry,
        )
        self.paused_answers = Counter(
            "arbutus_paused_answers",
            "New answers that were not read for a while, near the bound on memory",
            registry=registry,
        )
        self.closed_clients = Counter(
            "arbutus_closed_clients",
            "Clients' connections that were closed or refused, by port and reason",
            ["port", "reason"],
            registry=registry,
        )
        self.client_connections = Gauge(
            "arbutus_client_connections",
            "Open connections from clients and other instances, by port",
            ["port"],
            registry=registry,
        )
        self._teams: set[str] = set()
        self.store_calls = Counter(
            "arbutus_store_calls", "Calls to the store", ["call"], registry=registry
        )
        self.store_era = Gauge(
            "arbutus_store_era", "Latest known era of the store", registry=registry
        )
        self.undecodable_rows = Counter(
            "arbutus_undecodable_rows",
            "Rows of the store that were rejected, by table; a row counts once",
            ["table"],
            registry=registry,
        )
        self.log_lines = Counter(
            "arbutus_log_lines", "Log lines", ["fate"], registry=registry
        )
        self.grant_wait = Histogram(
            "arbutus_grant_seconds",
            "Wait for a model server",
            registry=registry,
            buckets=_SECONDS,
        )
        self.first_part = Histogram(
            "arbutus_first_part_seconds",
            "Until the first part of an answer",
            registry=registry,
            buckets=_SECONDS,
        )
        self.longest_gap = Histogram(
            "arbutus_longest_pause_seconds",
            "Longest pause between two events of a stream",
            registry=registry,
            buckets=_SECONDS,
        )
        self.preferred_grants = Counter(
            "arbutus_preferred_grants",
            "Requests of the lowest rank granted before those of higher ranks",
            registry=registry,
        )
        self.share_denials = Counter(
            "arbutus_share_denials",
            "Requests that waited or failed without a coordinator for their team's"
            " share of a server",
            registry=registry,
        )
        self.stop_refusals = Counter(
            "arbutus_stop_refusals",
            "Requests that were refused as they would outlast a planned stop",
            registry=registry,
        )
        self.in_flight = Gauge(
            "arbutus_in_flight", "Requests in flight", registry=registry
        )
        self.version = Gauge(
            "arbutus_configuration_version", "Version in force", registry=registry
        )
        self.configurations = Counter(
            "arbutus_configurations",
            "Versions put in force, by who told them",
            ["by"],
            registry=registry,
        )
        self.instances_behind = Gauge(
            "arbutus_instances_behind",
            "Instances with an older configuration, as the coordinator hears",
            registry=registry,
        )
        self.link_age = Gauge(
            "arbutus_link_age_seconds",
            "How old what the coordinator last told can be",
            registry=registry,
        )
        self.is_coordinator = Gauge(
            "arbutus_coordinates", "1 while this one coordinates", registry=registry
        )

    def count_refusal(self, team: str, why: str) -> None:
        """Count a refusal; teams beyond :data:`MAX_TEAMS` are counted together."""
        if len(self._teams) < MAX_TEAMS:
            self._teams.add(team)
        self.refusals.labels(team if team in self._teams else OTHER_TEAMS, why).inc()

    def write(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
