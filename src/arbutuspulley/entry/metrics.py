"""Metrics of an entry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from arbutuspulley.data import Value

_FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.7, 1.1, 1.6, 2.5, 5, 10, 30)
_DURATION_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20, 40, 80, 120)


class Metrics(Value, frozen=True):
    """All metrics of one entry, in a registry of their own."""

    registry: CollectorRegistry
    answers: Counter
    attempts: Counter
    resumed: Counter
    dropped_chunks: Counter
    claims: Counter
    deaths: Counter
    in_flight: Gauge
    waiting: Gauge
    configuration_version: Gauge
    view_age: Gauge
    draining: Gauge
    first_token: Histogram
    duration: Histogram


def build_metrics() -> Metrics:
    """Return new metrics in a new registry."""
    registry = CollectorRegistry()

    def count(name: str, text: str, *labels: str) -> Counter:
        return Counter(f"arbutus_entry_{name}", text, labels, registry=registry)

    def gauge(name: str, text: str) -> Gauge:
        return Gauge(f"arbutus_entry_{name}", text, registry=registry)

    def time(name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(
            f"arbutus_entry_{name}", text, registry=registry, buckets=buckets
        )

    return Metrics(
        registry=registry,
        answers=count(
            "answers", "Calls ended, by code and run state", "code", "run_state"
        ),
        attempts=count(
            "attempts", "Attempts at backend servers, by how they ended", "outcome"
        ),
        resumed=count("resumed", "Attempts that resumed a broken answer"),
        dropped_chunks=count("dropped_chunks", "Chunks late, doubled or foreign"),
        claims=count("claims", "Claims of unrepeatable requests, by reply", "state"),
        deaths=count("server_deaths", "Servers that died with requests in flight"),
        in_flight=gauge("in_flight", "Calls being answered"),
        waiting=gauge("waiting", "Requests waiting for admission"),
        configuration_version=gauge(
            "configuration_version", "Version that requests are admitted under"
        ),
        view_age=gauge("view_age_seconds", "Time since the last view came"),
        draining=gauge("draining", "1 while the entry is stopping"),
        first_token=time(
            "first_token_seconds", "Arrival to first token", _FIRST_TOKEN_BUCKETS
        ),
        duration=time("duration_seconds", "Arrival to end", _DURATION_BUCKETS),
    )
