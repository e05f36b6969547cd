"""Which requests an instance that is stopping still sends to servers."""

from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import RetryPolicy, Route

EXIT_FRACTION = 0.95
"""Fraction of the time until SIGKILL after which the process exits even if requests are
in flight."""

TIME_MARGIN = 1.25
ANSWER_MARGIN_MS = 100
"""Margins on the time that an answer is expected to take: a factor, and a time in ms
within which it is passed on."""

RETRY_MS = 100
"""Retry delay for callers of an instance that is stopping, in ms: others serve them at
once."""


def begin_stop(state: NodeState) -> None:
    """Record that SIGTERM has arrived; the grace does not change afterwards."""
    state.stopping_at = state.clock.now()
    state.exit_at = state.stopping_at + int(state.settings.grace_ms * EXIT_FRACTION)


def may_send(state: NodeState, route: Route, *, ends_at: int) -> bool:
    """Return whether a request can be answered before this instance exits.

    A stream that may be resumed goes on at another instance.

    :param ends_at: when the request's time is up, in ms.
    """
    if state.exit_at is None or route.retry_policy is RetryPolicy.RESUME:
        return True
    if ends_at <= state.exit_at:
        return True
    now = state.clock.now()
    expected_ms = state.answer_times.get_longest_ms(route.name, now=now)
    if expected_ms is None:
        expected_ms = route.latency_target_ms
    ready_at = now + int(expected_ms * TIME_MARGIN) + ANSWER_MARGIN_MS
    return min(ends_at, ready_at) <= state.exit_at
