"""Token cost of a request: estimated before it runs, corrected afterwards.

The unit is one generated token. Prefill of a prompt token is far faster than decoding
a token, so a prompt token costs a fraction of that.
"""

import math

import msgspec

from arbutuspulley.data import Message, State
from arbutuspulley.decoding import UndecodableError, guard_decoding

BYTES_PER_TOKEN = 4
"""Approximate prompt bytes per token for the languages in use."""

PROMPT_TOKEN_COST = 0.1
"""Cost of a prompt token, in generated tokens."""

ADAPTER_COST = 1.1
"""Factor for a request to an adapter, which makes batches less uniform."""

DEFAULT_OUTPUT_TOKENS = 200.0
"""Assumed answer length for an item without any answers yet, in tokens."""

EWMA_WEIGHT = 0.1
"""Weight of the newest answer in the moving average of an item's answer length."""

MAX_CHOICES = 16
"""Upper bound on the number of choices assumed for a request."""


class CostState(State):
    """Moving average of the answer length of each item, in tokens."""

    output_tokens: dict[str, float] = {}


class _Body(Message, frozen=True):
    messages: msgspec.Raw = msgspec.Raw(b"")
    prompt: msgspec.Raw = msgspec.Raw(b"")
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


_decode = guard_decoding(msgspec.json.Decoder(_Body).decode)


def estimate_cost(
    body: bytes,
    *,
    state: CostState | None = None,
    item: str = "",
    adapter: bool = False,
) -> int:
    """Return the estimated cost of a request in generated tokens; at least 1.

    :param body: JSON body of the request; if its types differ from the protocol, the
        cost is estimated from its length.
    :param state: average answer lengths so far.
    :param item: key of the requested item.
    :param adapter: whether the item is an adapter.
    """
    mean = state.output_tokens.get(item) if state is not None else None
    expected = DEFAULT_OUTPUT_TOKENS if mean is None else mean
    try:
        parsed = _decode(body)
    except UndecodableError:
        return _compute(prompt_bytes=len(body), output=expected, adapter=adapter)
    prompt_bytes = len(bytes(parsed.messages)) + len(bytes(parsed.prompt))
    bound = parsed.max_completion_tokens or parsed.max_tokens
    output = min(expected, bound) if bound and bound > 0 else expected
    choices = min(max(parsed.n or 1, 1), MAX_CHOICES)
    return _compute(prompt_bytes=prompt_bytes, output=output * choices, adapter=adapter)


def compute_cost(
    *, prompt_bytes: int, output_tokens: int, adapter: bool = False
) -> int:
    """Return the actual cost of a request whose answer is complete."""
    return _compute(prompt_bytes=prompt_bytes, output=output_tokens, adapter=adapter)


def record_output_length(state: CostState, *, item: str, tokens: int) -> None:
    """Update the average answer length of an item.

    :param tokens: length of the new answer.
    """
    mean = state.output_tokens.get(item, DEFAULT_OUTPUT_TOKENS)
    state.output_tokens[item] = mean + EWMA_WEIGHT * (tokens - mean)


def _compute(*, prompt_bytes: int, output: float, adapter: bool) -> int:
    prompt = prompt_bytes / BYTES_PER_TOKEN * PROMPT_TOKEN_COST
    factor = ADAPTER_COST if adapter else 1.0
    return max(1, math.ceil((prompt + output) * factor))
