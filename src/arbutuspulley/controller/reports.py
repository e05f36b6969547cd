"""State of each polled server, from its reports, and the summaries built from it."""

from arbutuspulley.configuration.schema import Server
from arbutuspulley.data import State
from arbutuspulley.ports.engines import ItemState, Report
from arbutuspulley.rpc.messages import ServerSummary

ALIVE_TIMEOUT_MS = 3_000
"""Time without a report after which a server counts as not alive."""

DEAD_AFTER_REFUSALS = 2
"""Consecutive refused connections after which a server counts as not alive at once."""

POLL_AFTER_RELEASE_MS = 5_000
"""How long a server is still polled after its ownership moved to another instance, so
that there is always an instance that knows its load."""


class ServerState(State):
    """A server that this instance polls.

    :param report: the newest report.
    :param received_at: when the newest report was received, in ms.
    :param refusals: connections refused since the newest report.
    :param polling: whether a poll is in progress.
    :param owned_at: when this instance last owned the server, in ms.
    """

    name: str
    address: str
    report: Report | None = None
    received_at: int = 0
    refusals: int = 0
    polling: bool = False
    owned_at: int | None = None


def apply_report(state: ServerState, report: Report, *, now: int) -> bool:
    """Store a report unless a newer one of the same boot is known.

    :return: whether the report was stored.
    """
    known = state.report
    is_same_boot = known is not None and known.boot_id == report.boot_id
    if known is not None and is_same_boot and report.sequence < known.sequence:
        return False
    state.report = report
    state.received_at = now
    state.refusals = 0
    return True


def record_refused(state: ServerState) -> None:
    """Record that the server refused a connection, as its process is gone."""
    state.refusals += 1


def is_alive(state: ServerState, *, now: int) -> bool:
    """Return whether a server's reports arrive in time."""
    if state.report is None or state.refusals >= DEAD_AFTER_REFUSALS:
        return False
    return now - state.received_at <= ALIVE_TIMEOUT_MS


def build_summary(
    state: ServerState,
    *,
    server: Server,
    site: str,
    leaving_items: frozenset[str],
    now: int,
) -> ServerSummary:
    """Return the summary of a server for entries and peers.

    :param leaving_items: items that the ledger marks for unloading. Entries stop using
        them before the order is sent, so that the unload interrupts no request.
    """
    report = state.report
    if report is None:
        return ServerSummary(
            server=state.name,
            site=site,
            address=server.address,
            slots=server.slots,
            alive=False,
        )
    items = (
        item.item
        for item in report.items
        if item.state is ItemState.LOADED and item.item not in leaving_items
    )
    return ServerSummary(
        server=state.name,
        site=site,
        address=server.address,
        items=tuple(sorted(items)),
        running=report.running,
        waiting=report.waiting,
        waiting_tokens=report.waiting_tokens,
        tokens_per_s=round(report.tokens_per_s),
        slots=server.slots,
        age_ms=report.age_ms + max(0, now - state.received_at),
        leaving=report.leaving,
        alive=is_alive(state, now=now),
        boot_id=report.boot_id,
    )


def is_polled_here(
    state: ServerState | None, *, owned: bool, chosen: bool, now: int
) -> bool:
    """Return whether this instance polls a server.

    :param owned: whether it owns the server now.
    :param chosen: whether it was chosen to poll it, as no reachable instance owns it.
    """
    if owned or chosen:
        return True
    if state is None or state.owned_at is None:
        return False
    return now - state.owned_at <= POLL_AFTER_RELEASE_MS


def replace_address(state: ServerState, address: str) -> ServerState:
    """Return the server's state, a new one if the configuration changed its address."""
    if state.address == address:
        return state
    return ServerState(name=state.name, address=address, owned_at=state.owned_at)
