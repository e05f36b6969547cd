"""Metrics of the controller."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from arbutuspulley.data import State


class Metrics(State):
    """The controller's metrics and their registry."""

    registry: CollectorRegistry
    lease_held: Gauge
    store_up: Gauge
    configuration_version: Gauge
    owned_servers: Gauge
    live_instances: Gauge
    renewals: Counter
    claims: Counter
    releases: Counter
    orders: Counter
    moves: Counter
    reports: Counter
    exchanges: Counter
    exchange_bytes: Counter
    views: Counter
    ledger_corrections: Counter


def build_metrics() -> Metrics:
    """Return the metrics, on a new registry."""
    registry = CollectorRegistry()

    def gauge(name: str, text: str) -> Gauge:
        return Gauge(f"arbutus_controller_{name}", text, registry=registry)

    def counter(name: str, text: str, *labels: str) -> Counter:
        return Counter(f"arbutus_controller_{name}", text, labels, registry=registry)

    return Metrics(
        registry=registry,
        lease_held=gauge("lease_held", "1 while the session lease certainly runs."),
        store_up=gauge("store_up", "1 while the platform answers."),
        configuration_version=gauge("configuration_version", "Version in force."),
        owned_servers=gauge("owned_servers", "Servers owned by this instance."),
        live_instances=gauge("live_instances", "Instances with a running session."),
        renewals=counter("renewals", "Lease renewals by outcome.", "outcome"),
        claims=counter("claims", "Servers claimed."),
        releases=counter("releases", "Servers handed over."),
        orders=counter("orders", "Orders sent by kind and outcome.", "kind", "outcome"),
        moves=counter("moves", "Loads and unloads that took effect.", "kind"),
        reports=counter("reports", "Reports read by outcome.", "outcome"),
        exchanges=counter("exchanges", "Exchanges with peers by outcome.", "outcome"),
        exchange_bytes=counter("exchange_bytes", "Bytes of replies from peers."),
        views=counter("views", "Views sent to entries."),
        ledger_corrections=counter("ledger_corrections", "Ledgers that reports beat."),
    )
