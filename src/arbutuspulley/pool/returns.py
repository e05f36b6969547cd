"""Records of refused requests whose callers were told when to come back.

A caller that comes back at or after that time counts from its first arrival. One that
comes back earlier gains nothing: it counts as a new caller, and is told the same time
again if it is refused. Callers that are expected back count in the times that later
refused callers are told, so that the callers of a model come back one after another.

The state is kept at the coordinator only. After a change of the coordinator, returning
callers count as new.
"""

import heapq

import msgspec

from arbutuspulley.data import State, Value

RECORD_LIFETIME_MS = 20_000
"""How long a record is kept, in ms: callers wait at most some seconds before they come
back, and requests time out within 15 s."""

MAX_RECORDS = 20_000
"""Maximum number of records. Beyond it, the oldest are removed, whose callers then
count as new."""

RETURN_GRACE_MS = 500
"""How long after the time that it was told a caller is still expected, in ms. Later
than that, it has probably gone, and other callers are told earlier times."""


class ReturnedCaller(Value, frozen=True):
    """What is known of a caller that was refused before.

    :param late_ms: how long after the time that it was told it came back, in ms;
        negative: it came too early.
    :param credit_ms: time since its first arrival, in ms; 0 if it came too early.
    :param is_promised: whether it was told a time at which it could be served.
    """

    late_ms: int
    credit_ms: int
    is_promised: bool


class ReturnRecord(State):
    """A refused request.

    :param cost: what the request takes of a copy's capacity, in prompt tokens.
    :param first_arrived_at: when it first arrived, in ms.
    :param told_at: when its caller was told to come back, in ms.
    :param expires_at: when the record expires, in ms.
    :param is_promised: whether it can be served if it comes back then.
    :param is_expected: whether its cost counts as expected.
    """

    model: str
    cost: float
    first_arrived_at: int
    told_at: int
    expires_at: int
    is_promised: bool
    is_expected: bool


class ReturnState(State):
    """The records of a service.

    :param records: by fingerprint, oldest first.
    :param expected: cost of the requests that are expected back, in prompt tokens, by
        model.
    :param lapses: until when each of them is expected, in ms, with its fingerprint; a
        heap that may contain entries of removed records.
    """

    records: dict[int, ReturnRecord] = msgspec.field(default_factory=dict)
    expected: dict[str, float] = msgspec.field(default_factory=dict)
    lapses: list[tuple[int, int]] = msgspec.field(default_factory=list)


def record_refusal(
    state: ReturnState,
    fingerprint: int,
    *,
    model: str,
    cost: float,
    first_arrived_at: int,
    told_at: int,
    is_promised: bool,
    now: int,
) -> None:
    """Record a refused request.

    Only callers with a promised time count as expected: the others may come back, but
    their turn is too far away to be reserved.

    :param fingerprint: of the request; 0: not known, so that nothing is recorded.
    :param told_at: when its caller was told to come back, in ms.
    """
    if not fingerprint:
        return
    forget_request(state, fingerprint)
    evict_expired(state, now=now)
    while len(state.records) >= MAX_RECORDS:
        forget_request(state, next(iter(state.records)))
    state.records[fingerprint] = ReturnRecord(
        model=model,
        cost=cost,
        first_arrived_at=first_arrived_at,
        told_at=told_at,
        expires_at=now + RECORD_LIFETIME_MS,
        is_promised=is_promised,
        is_expected=is_promised,
    )
    if is_promised:
        state.expected[model] = state.expected.get(model, 0.0) + cost
        heapq.heappush(state.lapses, (told_at + RETURN_GRACE_MS, fingerprint))


def find_return(
    state: ReturnState, fingerprint: int, *, now: int
) -> ReturnedCaller | None:
    """Find the record of an arriving request, and use it up unless it is too early.

    :return: ``None`` if it was not refused before, as far as is known.
    """
    evict_expired(state, now=now)
    record = state.records.get(fingerprint)
    if record is None:
        return None
    late_ms = now - record.told_at
    if late_ms >= 0:
        forget_request(state, fingerprint)
    return ReturnedCaller(
        late_ms=late_ms,
        credit_ms=now - record.first_arrived_at if late_ms >= 0 else 0,
        is_promised=record.is_promised,
    )


def get_pending(state: ReturnState, fingerprint: int) -> ReturnRecord | None:
    """Return the record of a request that has not come back in time yet."""
    return state.records.get(fingerprint)


def forget_request(state: ReturnState, fingerprint: int) -> None:
    """Remove the record of a request that is served, or that has come back."""
    record = state.records.pop(fingerprint, None)
    if record is not None:
        _remove_expected(state, record)


def list_expected_costs(state: ReturnState, *, now: int) -> dict[str, float]:
    """Return the cost of the requests that are expected back, by model, in tokens.

    :param now: in ms.
    """
    while state.lapses and state.lapses[0][0] <= now:
        lapsed_at, fingerprint = heapq.heappop(state.lapses)
        record = state.records.get(fingerprint)
        if record is not None and record.told_at + RETURN_GRACE_MS == lapsed_at:
            _remove_expected(state, record)
    return state.expected


def evict_expired(state: ReturnState, *, now: int) -> None:
    """Remove expired records.

    :param now: in ms.
    """
    while state.records:
        fingerprint = next(iter(state.records))
        if state.records[fingerprint].expires_at > now:
            return
        forget_request(state, fingerprint)


def _remove_expected(state: ReturnState, record: ReturnRecord) -> None:
    if not record.is_expected:
        return
    record.is_expected = False
    left = state.expected.get(record.model, 0.0) - record.cost
    # The sums are of floats: what is left of them is not exactly 0.
    if left > 0.5:
        state.expected[record.model] = left
    else:
        state.expected.pop(record.model, None)
