"""The engine stand-in's continuous batching.

Prompts are read in one after the other; then each step of the batch gives every
stream one token. A step takes longer the more streams there are, so the rate of one
stream falls while that of all together rises.
"""

import msgspec

from arbutuspulley.data import State, Value

STREAMS_PER_SLOWDOWN = 16
"""So many further streams make a step longer by one undisturbed step."""

WORDS_PER_PREFILL_UNIT = 512
"""So many uncached words cost as much reading as the fixed part of any prompt."""

RATE_WINDOW_MS = 1_000
"""Over how long the reported token rate is averaged."""


class Run(State):
    """One attempt that was admitted.

    :param digest: the prompt's.
    :param tokens: number of tokens of the whole answer.
    :param offset: index of the next token.
    :param poison: whether running it ends the engine.
    :param ready_at: when its prompt has been read in.
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
    """A token that a step produced."""

    attempt_id: str
    request_id: str
    offset: int
    last: bool


class _Produced(Value, frozen=True):
    """How many tokens a step produced."""

    at: int
    tokens: int


class BatchState(State):
    """The waiting room and the batch.

    :param token_ms: time between tokens of a stream that runs alone.
    :param first_token_ms: time to read in a short prompt.
    :param slow_factor: how much slower than that the engine is now.
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
    """Tell whether another run can be admitted."""
    limit = batch.max_batch + batch.max_waiting
    return len(batch.waiting) + len(batch.batch) < limit


def enqueue(batch: BatchState, run: Run) -> None:
    """Put a run into the waiting room, behind those of its priority and higher."""
    batch.waiting.append(run)
    batch.waiting.sort(key=lambda waiting: -waiting.priority)


def schedule_next(batch: BatchState) -> Run | None:
    """Move the first waiting run into the batch if there is room."""
    if not batch.waiting or len(batch.batch) >= batch.max_batch:
        return None
    run = batch.waiting.pop(0)
    batch.batch.append(run)
    return run


def begin_prefill(
    batch: BatchState, run: Run, *, uncached_words: int, now: int
) -> None:
    """Queue a run's prompt to be read in."""
    units = 1 + uncached_words / WORDS_PER_PREFILL_UNIT
    duration = round(batch.first_token_ms * units * batch.slow_factor)
    batch.prefill_until = max(now, batch.prefill_until) + duration
    run.ready_at = batch.prefill_until


def step(batch: BatchState, *, now: int) -> tuple[Token, ...]:
    """Produce one token for each stream that is ready, if a step is due."""
    ready = [run for run in batch.batch if run.ready_at <= now]
    if not ready or now < batch.next_step_at:
        return ()
    interval = get_token_interval_ms(batch, streams=len(ready))
    # Counting from the due time keeps the rate when a step comes a little late.
    on_time = now - batch.next_step_at < interval
    batch.next_step_at = (batch.next_step_at if on_time else now) + interval
    tokens = tuple(_advance(run) for run in ready)
    batch.batch = [run for run in batch.batch if run.offset < run.tokens]
    batch.produced.append(_Produced(at=now, tokens=len(tokens)))
    return tokens


def get_token_interval_ms(batch: BatchState, *, streams: int) -> int:
    """Return the time between tokens of a stream in ms."""
    slowdown = 1 + (streams - 1) / STREAMS_PER_SLOWDOWN
    return max(1, round(batch.token_ms * slowdown * batch.slow_factor))


def find_next_due(batch: BatchState) -> int | None:
    """Return when :func:`step` has work, or ``None`` if no run is in the batch."""
    if not batch.batch:
        return None
    first_ready = min(run.ready_at for run in batch.batch)
    return max(first_ready, batch.next_step_at)


def cancel(batch: BatchState, attempt_id: str) -> Run | None:
    """Take a run out, wherever it is.

    :return: the run, or ``None`` if it is not there.
    """
    for runs in (batch.waiting, batch.batch):
        for run in runs:
            if run.attempt_id == attempt_id:
                runs.remove(run)
                return run
    return None


def list_runs(batch: BatchState) -> list[Run]:
    """Return all runs, the running ones first."""
    return [*batch.batch, *batch.waiting]


def sum_tokens(batch: BatchState) -> int:
    """Return the tokens still to be read in or produced."""
    unread = sum(len(run.words) for run in batch.waiting)
    return unread + sum(run.tokens - run.offset for run in list_runs(batch))


def measure_rate(batch: BatchState, *, now: int) -> float:
    """Return the tokens a second produced lately."""
    since = now - RATE_WINDOW_MS
    batch.produced = [part for part in batch.produced if part.at > since]
    return sum(part.tokens for part in batch.produced) * 1_000 / RATE_WINDOW_MS


def estimate_wait_ms(batch: BatchState) -> int:
    """Return about how long until a run ends and makes room, in ms."""
    left = [run.tokens - run.offset for run in batch.batch]
    if not left:
        return batch.first_token_ms
    return min(left) * get_token_interval_ms(batch, streams=len(left))


def _advance(run: Run) -> Token:
    token = Token(
        attempt_id=run.attempt_id,
        request_id=run.request_id,
        offset=run.offset,
        last=run.offset + 1 >= run.tokens,
    )
    run.offset += 1
    return token
