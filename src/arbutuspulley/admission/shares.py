"""Fair shares of callers: weighted fair queueing over token cost.

Each caller has a virtual clock that advances by cost over weight with each of its
requests; the waiting caller with the lowest clock goes next. The clock of a caller
that was idle starts at the current virtual time: it accumulates no credit while it is
idle, and no debt for capacity that it borrowed while the others were idle.
"""

import math
from collections.abc import Iterable, Sequence

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.rpc.messages import CallerUsage

MAX_DEBT_S = 2.0
"""How far remote usage may advance a caller's clock, in seconds of that usage."""

IDLE_EVICTION_MS = 600_000
"""Idle time after which a caller's account is removed."""

SMOOTHING_MS = 3_000
"""Time constant of the moving average of a caller's usage."""


class CallerShare(State):
    """Account of one caller.

    :param clock: virtual time up to which the caller has been served.
    :param in_flight: estimated cost of its admitted requests.
    :param remote_tokens_per_s: usage through other instances.
    :param remote_waiting: requests waiting at other instances.
    :param tokens_per_s: moving average of the usage at this entry.
    :param reserved_until: end of the slots reserved for retries of its refused
        requests, in ms.
    :param refused_at: time of the last refusal in ms, or ``None``.
    :param last_seen_at: time of the last activity in ms.
    """

    weight: int = 1
    clock: float = 0.0
    in_flight: int = 0
    remote_tokens_per_s: float = 0.0
    remote_waiting: int = 0
    tokens_per_s: float = 0.0
    reserved_until: float = 0.0
    refused_at: int | None = None
    last_seen_at: int = 0


class SharesState(State):
    """Accounts of all callers.

    :param clock: virtual start time of the latest admitted request.
    :param charged_at: time up to which remote usage has been charged, in ms.
    """

    callers: dict[str, CallerShare] = {}
    clock: float = 0.0
    charged_at: int = 0


def get_or_create_share(
    state: SharesState, caller: str, *, weight: int, now: int
) -> CallerShare:
    """Return a caller's account; a new one starts at the current virtual time."""
    share = state.callers.setdefault(caller, CallerShare(clock=state.clock))
    share.weight = max(1, weight)
    share.last_seen_at = now
    return share


def get_start_time(state: SharesState, caller: str) -> float:
    """Return the virtual start time of a caller's next request."""
    share = state.callers.get(caller)
    return max(state.clock, share.clock) if share else state.clock


def charge(state: SharesState, caller: str, *, cost: int) -> None:
    """Charge a caller for an admitted request.

    :param cost: estimated token cost of the request.
    """
    share = state.callers[caller]
    state.clock = get_start_time(state, caller)
    share.clock = state.clock + cost / share.weight
    share.in_flight += cost
    share.tokens_per_s += cost * SECOND_MS / SMOOTHING_MS


def settle(share: CallerShare, *, estimated: int, actual: int) -> None:
    """Correct a caller's account once a request is over.

    :param estimated: token cost that was charged at admission.
    :param actual: actual token cost.
    """
    share.in_flight = max(0, share.in_flight - estimated)
    share.clock += (actual - estimated) / share.weight


def set_remote_usage(
    state: SharesState, *, usage: Sequence[CallerUsage], now: int
) -> None:
    """Replace the callers' usage through all other instances."""
    for share in state.callers.values():
        share.remote_tokens_per_s = 0.0
        share.remote_waiting = 0
    for remote in usage:
        share = state.callers.setdefault(remote.caller, CallerShare(clock=state.clock))
        share.remote_tokens_per_s = remote.tokens_per_s
        share.remote_waiting = remote.waiting
        share.last_seen_at = now


def charge_remote_usage(
    state: SharesState, *, waiting: Iterable[str], now: int
) -> None:
    """Charge callers that wait here for their usage through other instances.

    Only usage above that of the waiting caller with the least remote usage is charged,
    so that clocks of callers with equal usage stay together. The debt of a caller is
    bounded: it must be served again within seconds after its usage falls.

    :param waiting: callers with requests waiting here.
    """
    elapsed_s = max(0, now - state.charged_at) / SECOND_MS
    state.charged_at = now
    _decay_usage(state, elapsed_s)
    names = [caller for caller in waiting if caller in state.callers]
    if not names:
        return
    rates = {
        name: state.callers[name].remote_tokens_per_s / state.callers[name].weight
        for name in names
    }
    least = min(rates.values())
    for name in names:
        excess = rates[name] - least
        start = get_start_time(state, name)
        headroom = max(0.0, excess * MAX_DEBT_S - (start - state.clock))
        debt = min(excess * elapsed_s, headroom)
        if debt > 0:
            state.callers[name].clock = start + debt


def list_usage(
    state: SharesState, *, waiting: dict[str, int]
) -> tuple[CallerUsage, ...]:
    """Return the callers' usage at this entry, for the other instances.

    :param waiting: number of requests waiting here, by caller.
    """
    return tuple(
        CallerUsage(
            caller=name,
            tokens_per_s=round(share.tokens_per_s, 1),
            waiting=waiting.get(name, 0),
        )
        for name, share in sorted(state.callers.items())
        if share.tokens_per_s >= 1 or name in waiting
    )


def evict_idle(state: SharesState, *, now: int) -> None:
    """Remove the accounts of idle callers without requests in flight."""
    for name in list(state.callers):
        share = state.callers[name]
        if now - share.last_seen_at > IDLE_EVICTION_MS and not share.in_flight:
            del state.callers[name]


def _decay_usage(state: SharesState, elapsed_s: float) -> None:
    kept = math.exp(-elapsed_s * SECOND_MS / SMOOTHING_MS)
    for share in state.callers.values():
        share.tokens_per_s *= kept
