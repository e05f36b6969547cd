"""Estimated waits for the copies of a model, including copies that are being loaded."""

from arbutuspulley.admission.rate_limits import get_wait
from arbutuspulley.pool.answers import NEVER, get_load_ms
from arbutuspulley.pool.contact import get_withheld_until
from arbutuspulley.pool.copies import CopyIndex, get_copies
from arbutuspulley.pool.demand import get_copy_token_rate
from arbutuspulley.pool.state import PoolState, ServerState, estimate_unload_wait
from arbutuspulley.ports.fleet import SoftwareVersion

MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 4_000
"""Bounds of the retry-after time of a refused request, in ms. An earlier retry meets
the same queue, and a caller waits at most a third of its timeout, which is 3 to 15
s."""


def list_copy_ready_times(
    pool: PoolState,
    model: str,
    index: CopyIndex,
    version: SoftwareVersion | None = None,
) -> list[float]:
    """Return in how many ms each copy of a model will be ready, earliest first.

    A copy that is being loaded, or waits for the unload of another model, does not
    start prompts yet. If it counted as ready, refused callers would retry too early and
    meet the same queue; they retry only once.

    :param version: software version of the servers; ``None``: any.
    """
    copies = get_copies(index, model, version)
    return sorted(
        _estimate_ready_time(pool, server, model, now=index.now) for server in copies
    )


def estimate_wait(
    pool: PoolState, model: str, tokens: float, ready_times: list[float]
) -> float:
    """Return in how many ms the queued prompt tokens will have been started.

    :param tokens: prompt tokens in the queue.
    :param ready_times: as :func:`list_copy_ready_times` returns them; not empty.
    """
    rate = get_copy_token_rate(pool, model) / 1_000
    rate *= pool.server_speeds.by_model.get(model, 1)
    remaining, elapsed_ms = float(tokens), ready_times[0]
    for copies, next_at in enumerate(ready_times[1:], start=1):
        started = copies * rate * (next_at - elapsed_ms)
        if started >= remaining:
            return elapsed_ms + remaining / (copies * rate)
        remaining -= started
        elapsed_ms = next_at
    return elapsed_ms + remaining / (len(ready_times) * rate)


def estimate_rate_limit_wait(index: CopyIndex, model: str, requests: int) -> float:
    """Return in how many ms the rate limits of a model's servers allow a request.

    :param requests: number of requests that wait for the model before it.
    :return: 0 if it is not known.
    """
    servers = index.limited.get(model, [])
    limits = [server.limit for server in servers if server.limit is not None]
    rate = sum(limit.rate_per_ms for limit in limits)
    if not rate:
        return 0.0
    return min(get_wait(limit, now=index.now) for limit in limits) + requests / rate


def estimate_cooldown(index: CopyIndex, model: str, origin: str) -> int:
    """Return in how many ms a copy of a model may be granted to an instance.

    :param origin: the instance.
    :return: 0 if a copy may be granted now, or if there is no copy.
    """
    servers = [*get_copies(index, model), *index.limited.get(model, ())]
    ends = [get_withheld_until(server, origin) for server in servers]
    return max(0, min(ends, default=0) - index.now)


def estimate_retry_after(
    pool: PoolState,
    model: str,
    tokens: float,
    ready_times: list[float],
    *,
    limited_ms: float = 0,
    cooldown_ms: float = 0,
) -> int:
    """Return the retry-after time of a refused request, in ms.

    It is the estimated wait until the request would be granted, within bounds.

    :param tokens: prompt tokens of the requests that wait for the model before it.
    :param limited_ms: wait for the rate limits of the servers that have the model; 0:
        there is none.
    :param cooldown_ms: wait until a copy accepts requests of the instance.
    """
    if ready_times:
        wait_ms = estimate_wait(pool, model, tokens, ready_times)
    else:
        wait_ms = limited_ms or pool.spec.models[model].load_ms
    wait_ms = max(wait_ms, cooldown_ms)
    return int(max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)))


def _estimate_ready_time(
    pool: PoolState, server: ServerState, model: str, *, now: int
) -> float:
    if model in server.models:
        return 0.0
    load_ms = get_load_ms(server, pool.spec.models[model])
    if server.loading == model:
        if server.loading_until == NEVER:
            return load_ms
        return max(0.0, float(server.loading_until - now))
    if server.unloading:
        load_ms += estimate_unload_wait(pool, server, server.unloading, now=now)
    return load_ms
