"""Fair shares of callers: weighted fair queueing over token cost.

Each caller has a clock that advances by cost over weight with each of its
requests; the waiting caller whose clock is furthest behind goes next. A caller
that was away starts at the present: it has saved up nothing, and it owes nothing
for the share that it was lent while the others were away.
"""

import math
from collections.abc import Iterable, Sequence

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.rpc.messages import CallerUsage

MAX_DEBT_S = 2.0
"""How far remote usage may put a caller's clock ahead, in seconds of that usage."""

IDLE_EVICTION_MS = 600_000
"""A caller not seen for this long is forgotten."""

SMOOTHING_MS = 3_000
"""Time constant of the usage by which callers are compared."""


class CallerShare(State):
    """One caller's account.

    :param clock: virtual time up to which it has been served.
    :param in_flight: estimated cost of its admitted requests.
    :param remote_tokens_per_s: what it uses through other instances.
    :param remote_waiting: its requests waiting there.
    :param tokens_per_s: what it uses here, smoothed.
    :param booked_until: until when its refused requests have been told to wait.
    :param refused_at: when one was last refused, or ``None``.
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
    """All callers' accounts.

    :param clock: virtual time at which the latest admitted request started.
    :param charged_at: up to when remote usage has been charged.
    """

    callers: dict[str, CallerShare] = {}
    clock: float = 0.0
    charged_at: int = 0


def get_or_create_share(
    state: SharesState, caller: str, *, weight: int, now: int
) -> CallerShare:
    """Return a caller's account, opened at the present if there is none."""
    share = state.callers.setdefault(caller, CallerShare(clock=state.clock))
    share.weight = max(1, weight)
    share.last_seen_at = now
    return share


def get_start_time(state: SharesState, caller: str) -> float:
    """Return the virtual time at which a caller's next request starts."""
    share = state.callers.get(caller)
    return max(state.clock, share.clock) if share else state.clock


def charge(state: SharesState, caller: str, *, cost: int) -> None:
    """Account for a request that is admitted."""
    share = state.callers[caller]
    state.clock = get_start_time(state, caller)
    share.clock = state.clock + cost / share.weight
    share.in_flight += cost
    share.tokens_per_s += cost * SECOND_MS / SMOOTHING_MS


def settle(share: CallerShare, *, estimated: int, actual: int) -> None:
    """Correct the account of a request that is over.

    :param actual: its cost as it is known now.
    """
    share.in_flight = max(0, share.in_flight - estimated)
    share.clock += (actual - estimated) / share.weight


def set_remote_usage(
    state: SharesState, *, usage: Sequence[CallerUsage], now: int
) -> None:
    """Take up what callers use through all other instances."""
    for share in state.callers.values():
        share.remote_tokens_per_s = 0.0
        share.remote_waiting = 0
    for one in usage:
        share = state.callers.setdefault(one.caller, CallerShare(clock=state.clock))
        share.remote_tokens_per_s = one.tokens_per_s
        share.remote_waiting = one.waiting
        share.last_seen_at = now


def charge_remote_usage(
    state: SharesState, *, waiting: Iterable[str], now: int
) -> None:
    """Charge callers that wait here for what they use elsewhere meanwhile.

    Only what exceeds the least of them counts, so that the clocks of callers with
    equal use stay together. A caller's debt is bounded: it must be served again
    within seconds after it has become modest.
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
        room = max(0.0, excess * MAX_DEBT_S - (start - state.clock))
        debt = min(excess * elapsed_s, room)
        if debt > 0:
            state.callers[name].clock = start + debt


def list_usage(
    state: SharesState, *, waiting: dict[str, int]
) -> tuple[CallerUsage, ...]:
    """Return what callers use here, to tell the other instances.

    :param waiting: requests waiting here, by caller.
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
    """Drop accounts of callers that have not been seen for long."""
    for name in list(state.callers):
        share = state.callers[name]
        if now - share.last_seen_at > IDLE_EVICTION_MS and not share.in_flight:
            del state.callers[name]


def _decay_usage(state: SharesState, elapsed_s: float) -> None:
    kept = math.exp(-elapsed_s * SECOND_MS / SMOOTHING_MS)
    for share in state.callers.values():
        share.tokens_per_s *= kept
