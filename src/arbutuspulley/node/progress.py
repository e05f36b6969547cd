"""How far a request has come, and how it may end without a whole answer."""

import msgspec

from arbutuspulley.data import State
from arbutuspulley.ports.fleet import Route, Team

MAX_REFUSALS = 3
"""How many servers may refuse a request as not run before it is given up."""

MAX_UNREACHABLE = 4
"""How many servers may be out of reach before a request is given up."""

MIN_FIRST_PART_TIMEOUT_MS = 2_000
LATENCY_TARGETS_PER_TIMEOUT = 4
GAP_TARGETS_PER_TIMEOUT = 8
"""Callers leave a stream without its first event after the longest of these: so many
ms, so many times its aim, so many times the pause that is still on time."""

RETRY_AFTER_MS = 400
"""When a refused caller should come back if nothing better is known, in ms: a model
takes 0.4 to 1.2 s to load, and callers heed no more than a third of their time."""

ANSWER_MARGIN_MS = 60
"""Kept back from the time left, in ms, so that an answer that the time has run out
still reaches the caller in time."""


class RequestFailedError(Exception):
    """The request gets an answer of the system's own.

    :param status: HTTP status.
    :param retry_after_ms: when to come back, ``None`` if that can't help.
    """

    def __init__(
        self, *, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class CutError(Exception):
    """The answer has begun and can't be finished: its connection must be closed."""


class Progress(State):
    """How far a request has come.

    :param may_have_run: servers that may have run it.
    :param avoid: incarnations that refused or failed it.
    :param avoid_alone: incarnations that were tried without a coordinator.
    :param server: the one that it was last sent to.
    :param sent_at: when that was.
    :param events: of its stream that the last server made.
    :param last_event_at: when the last of them came, in ms.
    :param longest_pause_ms: between two events, over all servers.
    :param resumes: how often its stream went on at another server.
    """

    started_at: int
    ends_at: int
    service: str = ""
    refused: int = 0
    unreached: int = 0
    may_have_run: int = 0
    avoid: set[str] = msgspec.field(default_factory=set)
    avoid_uncoordinated: set[str] = msgspec.field(default_factory=set)
    server: str = ""
    sent_at: int = 0
    waited_ms: int = 0
    first_ms: int | None = None
    last_event_id: str = ""
    events: int = 0
    last_event_at: int = 0
    longest_pause_ms: int = 0
    resumes: int = 0
    is_late: bool = False


def get_priority(route: Route, team: Team | None) -> int:
    """Return a request's rank: its team's, or else its route's."""
    if team is None or team.priority is None:
        return route.priority
    return team.priority


def get_first_part_timeout_ms(route: Route, left_ms: int) -> int:
    """Return how long a caller waits for the first part of an answer, in ms.

    :param left_ms: how long it waits for the whole one.
    """
    if not route.is_stream:
        return left_ms
    longest = max(
        MIN_FIRST_PART_TIMEOUT_MS,
        LATENCY_TARGETS_PER_TIMEOUT * route.latency_target_ms,
        GAP_TARGETS_PER_TIMEOUT * route.gap_target_ms,
    )
    return min(left_ms, longest)
