"""Continuous batching of the engine stand-in.

Prefills run one after another. After its prefill, a stream gets one token in each
step of the batch. The step time grows with the number of streams: the token rate of a
single stream falls while the total token rate rises.
"""

import msgspec

from arbutuspulley.data import State, Value

STREAMS_PER_SLOWDOWN = 16
"""Number of additional streams that lengthen a step by the single-stream step time."""

WORDS_PER_PREFILL_UNIT = 512
"""Uncached words whose prefill takes as long as the fixed cost of a prompt."""

RATE_WINDOW_MS = 1_000
"""Window over which the reported token rate is averaged."""


class Run(State):
    """One attempt that was admitted.

    :param digest: digest of the prompt.
    :param words: words of the prompt.
    :param tokens: length of the full answer, in tokens.
    :param offset: index of the next token.
    :param poison: whether running the attempt crashes the engine.
    :param ready_at: time in ms at which its prefill ends.
    """

    request_id: str
    attempt_id: str
    item: str
    digest: str
    words: tuple[str, ...]
    tokens: int
    offset: int = 0
    priority: int = 0
    poison: bool = False
    ready_at: int = 0


class Token(Value, frozen=True):
    """One token that a batch step produced."""

    attempt_id: str
    request_id: str
    offset: int
    last: bool


class _Produced(Value, frozen=True):
    """Number of tokens that a batch step produced, and when."""

    at: int
    tokens: int


class BatchState(State):
    """The queue of waiting runs and the running batch.

    :param max_batch: maximum number of runs in the batch.
    :param max_waiting: maximum number of queued runs when the batch is full.
    :param token_ms: time between the tokens of a stream that runs alone.
    :param first_token_ms: prefill time of a short prompt.
    :param slow_factor: factor by which all durations are currently longer.
    :param prefill_until: time in ms at which the last prefill ends.
    """

    max_batch: int
    max_waiting: int
    token_ms: int
    first_token_ms: int
    slow_factor: float = 1.0
    waiting: list[Run] = msgspec.field(default_factory=list)
    batch: list[Run] = msgspec.field(default_factory=list)
    prefill_until: int = 0
    next_step_at: int = 0
    produced: list[_Produced] = msgspec.field(default_factory=list)


def has_room(batch: BatchState) -> bool:
    """Return whether another run can be admitted."""
    limit = batch.max_batch + batch.max_waiting
    return len(batch.waiting) + len(batch.batch) < limit


def enqueue(batch: BatchState, run: Run) -> None:
    """Queue a run behind those of the same or a higher priority."""
    batch.waiting.append(run)
    batch.waiting.sort(key=lambda waiting: -waiting.priority)


def schedule_next(batch: BatchState) -> Run | None:
    """Move the first queued run into the batch if the batch is not full.

    :return: the run, or ``None`` if none was moved.
    """
    if not batch.waiting or len(batch.batch) >= batch.max_batch:
        return None
    run = batch.waiting.pop(0)
    batch.batch.append(run)
    return run


def begin_prefill(
    batch: BatchState, run: Run, *, uncached_words: int, now: int
) -> None:
    """Schedule the prefill of a run after those that are already scheduled."""
    units = 1 + uncached_words / WORDS_PER_PREFILL_UNIT
    duration = round(batch.first_token_ms * units * batch.slow_factor)
    batch.prefill_until = max(now, batch.prefill_until) + duration
    run.ready_at = batch.prefill_until


def step(batch: BatchState, *, now: int) -> tuple[Token, ...]:
    """Produce one token for each run whose prefill has ended, if a step is due."""
    ready = [run for run in batch.batch if run.ready_at <= now]
    if not ready or now < batch.next_step_at:
        return ()
    interval = get_token_interval_ms(batch, streams=len(ready))
    # Counting from the due time keeps the token rate when a step runs a little late.
    on_time = now - batch.next_step_at < interval
    batch.next_step_at = (batch.next_step_at if on_time else now) + interval
    tokens = tuple(_advance(run) for run in ready)
    batch.batch = [run for run in batch.batch if run.offset < run.tokens]
    batch.produced.append(_Produced(at=now, tokens=len(tokens)))
    return tokens


def get_token_interval_ms(batch: BatchState, *, streams: int) -> int:
    """Return the time between the tokens of a stream, in ms."""
    slowdown = 1 + (streams - 1) / STREAMS_PER_SLOWDOWN
    return max(1, round(batch.token_ms * slowdown * batch.slow_factor))


def find_next_due(batch: BatchState) -> int | None:
    """Return when :func:`step` is next due, or ``None`` if the batch is empty."""
    if not batch.batch:
        return None
    first_ready = min(run.ready_at for run in batch.batch)
    return max(first_ready, batch.next_step_at)


def cancel(batch: BatchState, attempt_id: str) -> Run | None:
    """Remove a run from the queue or the batch.

    :return: the run, or ``None`` if there is no such attempt.
    """
    for runs in (batch.waiting, batch.batch):
        for run in runs:
            if run.attempt_id == attempt_id:
                runs.remove(run)
                return run
    return None


def list_runs(batch: BatchState) -> list[Run]:
    """Return all runs: those in the batch first, then the queued ones."""
    return [*batch.batch, *batch.waiting]


def sum_tokens(batch: BatchState) -> int:
    """Return the number of tokens that remain to be prefilled or produced."""
    pending_prefill = sum(len(run.words) for run in batch.waiting)
    return pending_prefill + sum(run.tokens - run.offset for run in list_runs(batch))


def measure_rate(batch: BatchState, *, now: int) -> float:
    """Return the moving average of the token rate, in tokens per second."""
    since = now - RATE_WINDOW_MS
    batch.produced = [part for part in batch.produced if part.at > since]
    return sum(part.tokens for part in batch.produced) * 1_000 / RATE_WINDOW_MS


def estimate_wait_ms(batch: BatchState) -> int:
    """Return the estimated time in ms until the next run ends and frees its slot."""
    remaining = [run.tokens - run.offset for run in batch.batch]
    if not remaining:
        return batch.first_token_ms
    return min(remaining) * get_token_interval_ms(batch, streams=len(remaining))


def _advance(run: Run) -> Token:
    token = Token(
        attempt_id=run.attempt_id,
        request_id=run.request_id,
        offset=run.offset,
        last=run.offset + 1 >= run.tokens,
    )
    run.offset += 1
    return token
