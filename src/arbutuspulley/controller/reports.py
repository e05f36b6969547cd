"""What is known of each server from its own reports, and what peers are told."""

from arbutuspulley.configuration.schema import Server
from arbutuspulley.data import State
from arbutuspulley.ports.engines import ItemState, Report
from arbutuspulley.rpc.messages import ServerSummary

ALIVE_TIMEOUT_MS = 3_000
"""Time without a report after which a server counts as not alive."""

DEAD_AFTER_REFUSALS = 2
"""Connections refused in a row after which it counts as not alive at once."""

POLL_AFTER_RELEASE_MS = 5_000
"""How long reports are still read after ownership has passed on, so that there is
always an instance that knows the server's load."""


class ServerState(State):
    """A server whose reports this instance reads.

    :param report: the newest report.
    :param received_at: when it came.
    :param refusals: connections refused since.
    :param polling: whether a read is under way.
    :param owned_at: when this instance last owned it.
    """

    name: str
    address: str
    report: Report | None = None
    received_at: int = 0
    refusals: int = 0
    polling: bool = False
    owned_at: int | None = None


def apply_report(state: ServerState, report: Report, *, now: int) -> bool:
    """Take in a report unless it is older than one of the same boot.

    :return: whether it is the newest.
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
    """Take in that the server refused the connection: its process is gone."""
    state.refusals += 1


def is_alive(state: ServerState, *, now: int) -> bool:
    """Tell whether a server's reports come in time."""
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
    """Return what entries need to know of a server.

    :param leaving_items: items that the ledger has set to be unloaded. Entries
        stop using them before the order is sent, so that it cuts off no request.
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
        one.item
        for one in report.items
        if one.state is ItemState.LOADED and one.item not in leaving_items
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
    """Tell whether this instance reads a server's reports.

    :param owned: whether it owns the server now.
    :param chosen: whether it was chosen because nobody else is heard of it.
    """
    if owned or chosen:
        return True
    if state is None or state.owned_at is None:
        return False
    return now - state.owned_at <= POLL_AFTER_RELEASE_MS


def replace_address(state: ServerState, address: str) -> ServerState:
    """Return the state for a server that the configuration moved elsewhere."""
    if state.address == address:
        return state
    return ServerState(name=state.name, address=address, owned_at=state.owned_at)
