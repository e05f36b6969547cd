"""How much longer requests will run.

An unload waits for the runs of its model, and the server takes no other order until
then. Callers say about how many tokens they expect; how long one takes is learnt.
"""

from arbutuspulley.data import State
from arbutuspulley.ports.fleet import ModelNeed

DEFAULT_TOKEN_MS = 14.0
"""How long a token takes, in ms, until enough was seen: large models on accelerators of
today take 10 to 20 under load."""

USED_OUTPUT_FRACTION = 0.3
"""Part of the most tokens allowed that a request generates, where it does not say how
many it expects: callers allow about three times what answers take."""

MIN_REMAINING_MS = 200.0
MIN_REMAINING_FRACTION = 0.3
"""A run lasts at least so many ms more, and at least such a part of the time that it
has run: what callers expect is often exceeded, and then by a good part."""

DECAY = 0.98
"""How much older runs count with each new one: about the last 50 do."""


class DurationState(State):
    """Weighted sums over runs that ended.

    :param tokens: expected ones.
    :param times: ms from the first part to the end.
    """

    tokens: float = 1_000.0
    times: float = 1_000.0 * DEFAULT_TOKEN_MS


def get_expected_tokens(need: ModelNeed) -> float:
    """Return how many tokens a request will probably generate."""
    return need.expected_tokens or USED_OUTPUT_FRACTION * need.output_tokens


def record_run_time(state: DurationState, need: ModelNeed, *, took_ms: float) -> None:
    """Count a run that ended well.

    :param took_ms: from the first part of its answer to the end.
    """
    state.tokens = state.tokens * DECAY + get_expected_tokens(need)
    state.times = state.times * DECAY + took_ms


def estimate_run_time(state: DurationState, need: ModelNeed) -> float:
    """Return how long a request will probably run, in ms."""
    total_ms = get_expected_tokens(need) * state.times / max(1.0, state.tokens)
    return max(MIN_REMAINING_MS, total_ms)


def estimate_remaining_time(
    state: DurationState, need: ModelNeed, *, ran_ms: float
) -> float:
    """Return how much longer a run will probably last, in ms.

    :param ran_ms: since it was granted.
    """
    total_ms = estimate_run_time(state, need)
    return max(MIN_REMAINING_MS, MIN_REMAINING_FRACTION * ran_ms, total_ms - ran_ms)
