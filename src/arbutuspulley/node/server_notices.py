"""What backend servers state about themselves in their answers."""

from collections.abc import Iterable, Mapping

from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import LeavingNotice, ServerCooldown, ServerLimit
from arbutuspulley.node.server_rows import mark_leaving
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.requests import (
    is_misdirected,
    read_cooldown,
    read_leaving,
)


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
        if read_leaving(headers):
            record_leaving(state, incarnation, by="answer")
    except ValueError as error:
        _log_refused(incarnation, error)
    try:
        cooldown_ms = read_cooldown(status, headers)
    except ValueError as error:
        _log_refused(incarnation, error)
        return
    if cooldown_ms:
        _start_cooldown(state, incarnation, cooldown_ms)


def record_leaving(state: NodeState, incarnation: str, *, by: str) -> None:
    """Mark a server as leaving that says so itself, and tell the coordinator.

    :param by: how it says so: ``answer`` or ``report``.
    """
    if mark_leaving(state, incarnation, by=by):
        state.notify_server_notice(LeavingNotice(incarnations=(incarnation,)))


def list_excluded(state: NodeState) -> frozenset[str]:
    """Return the servers that want no requests from this instance now."""
    return frozenset(state.cooldowns.list_active(now=state.clock.now()))


def build_server_limits(
    incarnations: Iterable[str],
    *,
    limits: Mapping[str, float],
    brittle: Mapping[str, float],
) -> tuple[ServerLimit, ...]:
    """Build a message for each server.

    :param limits: requests per second, by server.
    :param brittle: refusals per second beyond which servers fall over.
    """
    return tuple(
        ServerLimit(
            incarnation=incarnation,
            per_s=limits.get(incarnation),
            refusals_per_s=brittle.get(incarnation),
        )
        for incarnation in incarnations
    )


def list_server_limits(state: NodeState) -> tuple[ServerLimit, ...]:
    """Return the limits that this instance knows, as messages for a coordinator."""
    limits, brittle = state.limits.list_limits(), state.brittle.list_limits()
    return build_server_limits(limits | brittle, limits=limits, brittle=brittle)


def list_cooldowns(state: NodeState) -> tuple[ServerCooldown, ...]:
    """Return the cooldowns of this instance, as messages for a coordinator."""
    active = state.cooldowns.list_active(now=state.clock.now())
    return tuple(
        ServerCooldown(incarnation=incarnation, remaining_ms=remaining_ms)
        for incarnation, remaining_ms in active.items()
    )


def get_exclusion(state: NodeState, incarnation: str) -> str:
    """Return why a server gets no requests from this instance; empty: it may."""
    entry = state.by_incarnation.get(incarnation)
    if entry is None:
        return "gone"
    if entry.is_leaving:
        return "leaving"
    if state.cooldowns.get_end(incarnation) > state.clock.now():
        return "cooldown"
    return ""


def _start_cooldown(state: NodeState, incarnation: str, cooldown_ms: int) -> None:
    now = state.clock.now()
    is_active = state.cooldowns.get_end(incarnation) > now
    if not state.cooldowns.extend(incarnation, now + cooldown_ms):
        return
    state.notify_server_notice(
        ServerCooldown(incarnation=incarnation, remaining_ms=cooldown_ms)
    )
    if not is_active:
        state.metrics.cooldowns.inc()
        log_event(Event.SERVER_COOLDOWN, server=incarnation, for_ms=cooldown_ms)


def _log_refused(incarnation: str, error: ValueError) -> None:
    log_event(Event.SERVER_NOTICE_REFUSED, server=incarnation, why=str(error))


def apply_leaving(
    state: NodeState, incarnations: Iterable[str], *, by: str
) -> tuple[str, ...]:
    """Mark servers as leaving that another instance reports.

    :param by: who reports it: ``coordinator`` or ``instance``.
    :return: the incarnations that were unknown before.
    """
    return tuple(name for name in incarnations if mark_leaving(state, name, by=by))
