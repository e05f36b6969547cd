"""What backend servers state about themselves in their answers."""

from collections.abc import Iterable, Mapping

from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import LeavingServers
from arbutuspulley.node.server_rows import mark_leaving
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.requests import is_misdirected, read_leaving


def read_answer(
    state: NodeState, incarnation: str, status: int, headers: Mapping[str, str]
) -> None:
    """Apply what a server states in an answer, and pass it on to the coordinator.

    :param incarnation: the start of the server that the request was sent to.
    :param status: status of the answer. An answer of another server is ignored.
    """
    if is_misdirected(status):
        return
    try:
        is_leaving = read_leaving(headers)
    except ValueError as error:
        log_event(Event.SERVER_NOTICE_REFUSED, server=incarnation, why=str(error))
        return
    if is_leaving:
        record_leaving(state, incarnation, by="answer")


def record_leaving(state: NodeState, incarnation: str, *, by: str) -> None:
    """Mark a server as leaving that says so itself, and tell the coordinator.

    :param by: how it says so: ``answer`` or ``report``.
    """
    if mark_leaving(state, incarnation, by=by):
        state.notify_server_notice(LeavingServers(incarnations=(incarnation,)))


def apply_leaving(
    state: NodeState, incarnations: Iterable[str], *, by: str
) -> tuple[str, ...]:
    """Mark servers as leaving that another instance reports.

    :param by: who reports it: ``coordinator`` or ``instance``.
    :return: the incarnations that were unknown before.
    """
    return tuple(name for name in incarnations if mark_leaving(state, name, by=by))
