"""Bounds on prefill between two events of the streams that run on a server.

Prefill lengthens the gap between two events of every stream on the server. The prefill
rate bounds its average, but not the prefill within one gap: with two or three prompts
in a row, all streams of a server had gaps of 250 to 300 ms with a target of 250, and a
seventh of all answers was late just because of that. So prefill within any window as
long as the lowest gap target is bounded by the time that the decode of an event leaves
of it. The decode time is estimated from the streams.

A prompt that exceeds this bound by itself can't be delayed for ever. It starts once
enough time without prefill has passed in the window before it to make up for the
excess, and later prompts for the same server wait behind it.
"""

from collections import deque

import msgspec

from arbutuspulley.data import State, Value

DEFAULT_EVENT_MS = 60.0
"""Decode time of an event before any stream has ended, in ms: an event holds some
tokens, and a token takes 5 to 20 ms."""

EVENT_SMOOTHING = 0.1
"""Weight of the newest stream in the moving average of a server's event time: about
the last ten streams count."""

MIN_EVENTS = 3
"""Minimum events of a stream from which the event time is estimated: shorter streams
say little about it."""

GAP_MARGIN_MS = 15.0
"""Part of each gap that is left unused, in ms: network delay to the caller and timers
on the way."""

MIN_PREFILL_FRACTION = 0.3
"""Fraction of the gap target that prefill may always use. If decode alone takes nearly
all of the gap, delaying prefill does not help the streams to meet their target."""


class PrefillSpan(Value, frozen=True):
    """Time span of the prefill of one prompt, in ms."""

    begin: float
    end: float


class StreamGapState(State):
    """Recent prefills of one server, and the decode time of its stream events.

    :param prefills: prefills within the retention time, in order.
    :param prefill_ms: total prefill time of all prompts so far.
    :param event_ms: moving average of the decode time of an event, without prefill.
    """

    prefills: deque[PrefillSpan] = msgspec.field(default_factory=deque)
    prefill_ms: float = 0
    event_ms: float = DEFAULT_EVENT_MS


def record_prefill(
    state: StreamGapState, prefill_ms: float, *, retention_ms: int, now: int
) -> None:
    """Record that a prompt starts.

    :param prefill_ms: expected prefill time of the prompt.
    :param retention_ms: how long ended prefills are kept.
    :param now: in ms.
    """
    prefills = state.prefills
    while prefills and prefills[0].end < now - retention_ms:
        prefills.popleft()
    begin = max(float(now), prefills[-1].end) if prefills else float(now)
    prefills.append(PrefillSpan(begin=begin, end=begin + prefill_ms))
    state.prefill_ms += prefill_ms


def record_stream(
    state: StreamGapState, *, events: int, took_ms: float, prefill_ms: float
) -> None:
    """Record a stream that ended completely.

    :param events: number of its events.
    :param took_ms: time from its first event to its last.
    :param prefill_ms: prefill time of the server within that time.
    """
    if events < MIN_EVENTS:
        return
    event_ms = get_event_time(events=events, took_ms=took_ms, prefill_ms=prefill_ms)
    state.event_ms += EVENT_SMOOTHING * (event_ms - state.event_ms)


def get_event_time(*, events: int, took_ms: float, prefill_ms: float) -> float:
    """Return the mean decode time of a stream's events, in ms.

    :param events: number of its events, at least 2.
    :param took_ms: time from its first event to its last.
    :param prefill_ms: prefill time of the server within that time.
    """
    return max(0.0, took_ms - prefill_ms) / (events - 1)


def sum_recent_prefill(state: StreamGapState, *, since: float) -> float:
    """Return the prefill time of a server after a time, in ms."""
    total_ms = 0.0
    for prefill in reversed(state.prefills):
        if prefill.end <= since:
            break
        total_ms += prefill.end - max(prefill.begin, since)
    return total_ms


def find_start(
    state: StreamGapState, *, prefill_ms: float, gap_target_ms: int, now: int
) -> float:
    """Return when a prompt may start so that all streams meet their gap target, in ms.

    :param prefill_ms: expected prefill time of the prompt.
    :param gap_target_ms: lowest gap target of the server's streams; 0: none has one.
    :param now: in ms.
    """
    if not gap_target_ms or not state.prefills:
        return float(now)
    max_prefill_ms = max(
        MIN_PREFILL_FRACTION * gap_target_ms,
        gap_target_ms - state.event_ms - GAP_MARGIN_MS,
    )
    budget_ms = max(0.0, max_prefill_ms - prefill_ms)
    for prefill in reversed(state.prefills):
        length = prefill.end - prefill.begin
        if length > budget_ms:
            # The prefill after this time and the prompt together fit into one gap.
            free_from = prefill.end - budget_ms
            return max(float(now), free_from + max(0.0, gap_target_ms - prefill_ms))
        budget_ms -= length
    return float(now)
