"""Estimates of how much longer requests will run.

An unload waits for the runs of its model, and the server takes no other order until
then. Callers state about how many tokens they expect; the time for each token is
estimated from runs that ended.
"""

from arbutuspulley.data import State
from arbutuspulley.ports.fleet import ModelNeed

DEFAULT_TOKEN_MS = 14.0
"""Time for a token before any run has ended, in ms: large models on current
accelerators take 10 to 20 ms under load."""

USED_OUTPUT_FRACTION = 0.3
"""Fraction of its output token limit that a request is assumed to generate if it does
not state an expected number: callers allow about three times what answers take."""

MIN_REMAINING_MS = 200.0
MIN_REMAINING_FRACTION = 0.3
"""Lower bounds of a run's remaining time: in ms, and as a fraction of the time that it
has run. Answers often exceed the expected length, and then by a good part."""

DECAY = 0.98
"""Decay of older runs with each new one: about the last 50 runs count."""


class DurationState(State):
    """Decayed sums over runs that ended.

    :param tokens: expected output tokens.
    :param times: time from the first part of the answer to its end, in ms.
    """

    tokens: float = 1_000.0
    times: float = 1_000.0 * DEFAULT_TOKEN_MS


def get_expected_tokens(need: ModelNeed) -> float:
    """Return the number of tokens that a request is expected to generate."""
    return need.expected_tokens or USED_OUTPUT_FRACTION * need.output_tokens


def record_run_time(state: DurationState, need: ModelNeed, *, took_ms: float) -> None:
    """Add a run that ended with a complete answer.

    :param took_ms: time from the first part of the answer to its end, in ms.
    """
    state.tokens = state.tokens * DECAY + get_expected_tokens(need)
    state.times = state.times * DECAY + took_ms


def estimate_run_time(state: DurationState, need: ModelNeed) -> float:
    """Return the expected run time of a request, in ms."""
    total_ms = get_expected_tokens(need) * state.times / max(1.0, state.tokens)
    return max(MIN_REMAINING_MS, total_ms)


def estimate_remaining_time(
    state: DurationState, need: ModelNeed, *, ran_ms: float
) -> float:
    """Return the expected remaining time of a run, in ms.

    :param ran_ms: time since it was granted, in ms.
    """
    total_ms = estimate_run_time(state, need)
    return max(MIN_REMAINING_MS, MIN_REMAINING_FRACTION * ran_ms, total_ms - ran_ms)
