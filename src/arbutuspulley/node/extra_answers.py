"""Answers of servers that belong to no request in flight: logged and counted."""

from collections.abc import Callable

from arbutuspulley.events import Event, log_event
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.platform.connections import ExtraAnswer


def build_extra_recorder(metrics: NodeMetrics) -> Callable[[ExtraAnswer], None]:
    """Return a function that records an answer that belongs to no request in flight."""

    def record(answer: ExtraAnswer) -> None:
        how = "dropped" if answer.is_dropped else "connection_closed"
        metrics.extra_answers.labels(how).inc()
        log_event(
            Event.EXTRA_ANSWER,
            id=answer.attempt,
            address=answer.address,
            named=answer.named,
            status=answer.status,
            how=how,
        )

    return record
