"""How much a server may read between two events of the streams that run there.

Whatever a server reads of prompts meanwhile lengthens the pause between two events of
each of its streams. A pace holds the mean of it, but not what falls into one pause:
with two or three prompts in a row, the streams of a whole server paused for 250 to 300
ms where 250 were on time, and a seventh of all answers was late by just that. So what
is read within any span of the longest allowed pause is bounded by what the generation
of an event leaves of it, which is learnt from the streams.

A prompt that is longer than this by itself can't be kept out for ever. It starts once
as much of the span before it is free as it lacks, and whoever comes after it at the
same server waits behind it.
"""

from collections import deque

import msgspec

from arbutuspulley.data import State, Value

DEFAULT_EVENT_MS = 60.0
"""How long an event takes to generate until streams were seen, in ms: an event
holds some tokens, and a token takes 5 to 20 ms."""

EVENT_SMOOTHING = 0.1
"""Weight of the newest stream in a server's time for an event: about the last ten."""

MIN_EVENTS = 3
"""Streams of fewer events say little of what one takes."""

GAP_MARGIN_MS = 15.0
"""Kept free of each pause, in ms: the way to the caller and the timers on it."""

MIN_PREFILL_FRACTION = 0.3
"""Part of the pause that may be read in any case. Where events alone take nearly the
whole of it, streams can't be kept in time by not reading."""


class PrefillSpan(Value, frozen=True):
    """A prompt that a server reads, from when to when, in ms."""

    begin: float
    end: float


class StreamGapState(State):
    """What one server reads, and how long its events take.

    :param readings: those that end within the longest pause, in order.
    :param read_ms: reading time of all prompts so far, in ms.
    :param event_ms: how long an event takes to generate while nothing is read, in ms.
    """

    prefills: deque[PrefillSpan] = msgspec.field(default_factory=deque)
    prefill_ms: float = 0
    event_ms: float = DEFAULT_EVENT_MS


def record_prefill(
    state: StreamGapState, prefill_ms: float, *, retention_ms: int, now: int
) -> None:
    """A prompt starts that takes so long to read.

    :param keep_ms: the longest pause that matters at this server.
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
    """A stream ended whole.

    :param took_ms: from its first event to its last.
    :param read_ms: what the server read meanwhile.
    """
    if events < MIN_EVENTS:
        return
    event_ms = max(0.0, took_ms - prefill_ms) / (events - 1)
    state.event_ms += EVENT_SMOOTHING * (event_ms - state.event_ms)


def find_start(
    state: StreamGapState, *, prefill_ms: float, gap_target_ms: int, now: int
) -> float:
    """Return when a prompt may start so that no stream pauses for too long, in ms.

    :param read_ms: how long the prompt takes to read.
    :param pause_ms: the longest pause that any stream there may make; 0: any.
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
            # What is read after this moment, and the prompt, fit into one pause.
            free_from = prefill.end - budget_ms
            return max(float(now), free_from + max(0.0, gap_target_ms - prefill_ms))
        budget_ms -= length
    return float(now)
