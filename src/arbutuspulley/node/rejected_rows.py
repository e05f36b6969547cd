"""Rows of the store that can't be decoded: logged once and counted."""

from arbutuspulley.events import Event, log_event
from arbutuspulley.node.metrics import NodeMetrics

MAX_REMEMBERED = 1_000
"""Maximum number of rejected rows that are remembered."""


class RejectedRows:
    """The rows that this process has rejected, so that each is logged once."""

    __slots__ = ("_details", "_metrics")

    def __init__(self, *, metrics: NodeMetrics) -> None:
        self._details: dict[tuple[str, str], str] = {}
        self._metrics = metrics

    def record(self, table: str, key: str, *, detail: str) -> bool:
        """Record a rejected row.

        :return: whether it was not rejected for this reason before.
        """
        if self._details.get((table, key)) == detail:
            return False
        if len(self._details) >= MAX_REMEMBERED:
            self._details.clear()
        self._details[table, key] = detail
        self._metrics.undecodable_rows.labels(table).inc()
        return True

    def log(self, table: str, key: str) -> None:
        """Record a row of a table that only instances write, and log it."""
        if self.record(table, key, detail=""):
            log_event(Event.STORE_ROW_REFUSED, table=table, key=key[:100])

    def forget(self, table: str, key: str) -> None:
        """Forget a row that can be decoded now."""
        self._details.pop((table, key), None)
