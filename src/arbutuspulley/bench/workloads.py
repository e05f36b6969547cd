"""The two workloads of the users, scaled down, and the arrivals of their requests.

Assumptions, to be confirmed by the users or changed here:

- Model sizes are in thousands of MiB; the users' brief does not name the unit.
- Ten engines represent Lestari's 25 and Kurzeme's 19, so that all processes of a run
  fit on a shared machine with 12 cores.
- An engine runs 6 concurrent requests within the targets. A single stream gets a token
  every 24 ms, each of 6 streams one every 32 ms; the target is 37 ms.
- Answers have 100 tokens on average (exponential distribution, 8 to 300 tokens). The
  users' answers are longer, which scales the rates, but not the ratios.
- The popularity of a model is proportional to 1 / rank ** 0.9. A model has copies on
  2.5 times as many engines as its fraction of the load requires, and at least three.
- Arrivals are bursty: 1.6 times the mean rate during two of every eight seconds, 0.8
  times the mean rate in between.
- A refused caller retries at the time that the refusal names, at most three times and
  within six seconds of the arrival.
- The weight store is faster than that of the users, to shorten the start of a run.
"""

import math
import random

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value

ENGINES = 10
SLOTS = 6
TOKEN_MS = 24
FIRST_TOKEN_MS = 40
ENGINE_MEMORY_MIB = 600_000
MEAN_TOKENS = 100
MIN_TOKENS = 8
MAX_TOKENS = 300
FIRST_TOKEN_TARGET_MS = 1_100
BETWEEN_TOKENS_TARGET_MS = 37
RETRY_DEADLINE_MS = 6 * SECOND_MS
MAX_ATTEMPTS = 4
BURST_PERIOD_MS = 8 * SECOND_MS
BURST_MS = 2 * SECOND_MS
BURST_FACTOR = 1.6
BASE_FACTOR = 0.8

_ADAPTED_MODELS = 3
_ADAPTER_FRACTION = 0.25
_POPULARITY_EXPONENT = 0.9
_COPIES_MARGIN = 2.5
_FULL_STEP_MS = round(TOKEN_MS * (1 + (SLOTS - 1) / 16))


class ModelPlan(Value, frozen=True):
    """A model of a workload.

    :param fraction: fraction of all requests that use the model or its adapter.
    :param copies: number of engines that have the model loaded.
    :param adapter: name of the adapter; empty if the model has none.
    """

    name: str
    size_mib: int
    fraction: float
    copies: int
    adapter: str = ""


class Workload(Value, frozen=True):
    """The models and callers of one user."""

    name: str
    models: tuple[ModelPlan, ...]
    callers: tuple[str, ...]


class Arrival(Value, frozen=True):
    """Arrival of one request.

    :param at: arrival time in ms after the start of the run.
    :param model: name of the model or adapter.
    :param tokens: length of the answer, in tokens.
    """

    number: int
    at: int
    caller: str
    model: str
    tokens: int


def build_lestari() -> Workload:
    """Return the workload of the cottage trust: 13 models, three kinds of callers."""
    models = _build_models("assistant", count=13, min_size=34, max_size=72)
    return Workload(name="lestari", models=models, callers=("guests", "hosts", "desk"))


def build_kurzeme() -> Workload:
    """Return the workload of the trail timing: 26 models, two competing organisers."""
    models = _build_models("race", count=26, min_size=16, max_size=34)
    return Workload(name="kurzeme", models=models, callers=("gauja", "kemeri"))


def compute_capacity() -> float:
    """Return the requests per second that all engines can finish within the targets."""
    duration_ms = FIRST_TOKEN_MS + MEAN_TOKENS * _FULL_STEP_MS
    return ENGINES * SLOTS * SECOND_MS / duration_ms


def build_arrivals(
    workload: Workload, *, rates: dict[str, float], duration_ms: int, seed: int
) -> list[Arrival]:
    """Return the arrivals of a run, in order of time.

    :param rates: mean requests per second, by caller.
    """
    arrivals: list[Arrival] = []
    for caller, rate in rates.items():
        # Each caller has its own random numbers, so that its requests don't depend on
        # the other callers of the run.
        rng = random.Random(f"{seed}/{workload.name}/{caller}")
        arrivals += _draw_arrivals(workload, caller, rate, duration_ms, rng)
    arrivals.sort(key=lambda arrival: (arrival.at, arrival.caller))
    return [
        Arrival(
            number=number,
            at=arrival.at,
            caller=arrival.caller,
            model=arrival.model,
            tokens=arrival.tokens,
        )
        for number, arrival in enumerate(arrivals)
    ]


def _draw_arrivals(
    workload: Workload,
    caller: str,
    rate: float,
    duration_ms: int,
    rng: random.Random,
) -> list[Arrival]:
    drawn: list[Arrival] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate * BURST_FACTOR / SECOND_MS)
        if at >= duration_ms:
            return drawn
        if rng.random() >= _get_rate_factor(at) / BURST_FACTOR:
            continue
        tokens = round(rng.expovariate(1 / MEAN_TOKENS))
        drawn.append(
            Arrival(
                number=0,
                at=int(at),
                caller=caller,
                model=_draw_model(workload, rng),
                tokens=min(MAX_TOKENS, max(MIN_TOKENS, tokens)),
            )
        )


def _get_rate_factor(at: float) -> float:
    return BURST_FACTOR if at % BURST_PERIOD_MS < BURST_MS else BASE_FACTOR


def _draw_model(workload: Workload, rng: random.Random) -> str:
    fractions = [model.fraction for model in workload.models]
    [model] = rng.choices(workload.models, fractions)
    if model.adapter and rng.random() < _ADAPTER_FRACTION:
        return model.adapter
    return model.name


def _build_models(
    name: str, *, count: int, min_size: int, max_size: int
) -> tuple[ModelPlan, ...]:
    weights = [1 / rank**_POPULARITY_EXPONENT for rank in range(1, count + 1)]
    step = (max_size - min_size) / (count - 1)
    models = []
    for number, weight in enumerate(weights):
        fraction = weight / sum(weights)
        wanted = math.ceil(fraction * ENGINES * _COPIES_MARGIN)
        adapted = number < _ADAPTED_MODELS
        models.append(
            ModelPlan(
                name=f"{name}-{number:02}",
                size_mib=round(1_000 * (min_size + step * (number * 7 % count))),
                fraction=fraction,
                copies=min(ENGINES, max(3, wanted)),
                adapter=f"{name}-{number:02}-local" if adapted else "",
            )
        )
    return tuple(models)
