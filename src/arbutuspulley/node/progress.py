"""Progress of a request, and the errors by which it ends without a complete answer."""

import msgspec

from arbutuspulley.data import State
from arbutuspulley.platform.requests import is_promise
from arbutuspulley.ports.answers import AnswerEnd, Framing
from arbutuspulley.ports.fleet import UNSTATED_VERSION, Route, SoftwareVersion, Team

MAX_REFUSALS = 3
"""Maximum number of servers that refuse a request as not run before it fails."""

MAX_UNREACHABLE = 4
"""Maximum number of unreachable servers before a request fails."""

MIN_FIRST_PART_TIMEOUT_MS = 2_000
LATENCY_TARGETS_PER_TIMEOUT = 4
GAP_TARGETS_PER_TIMEOUT = 8
"""Callers abandon a stream without a first event after the longest of these: a minimum
in ms, a multiple of the latency target, a multiple of the gap target."""

RETRY_AFTER_MS = 400
"""Default retry delay for refused callers, in ms: a model takes 0.4 to 1.2 s to load,
and callers wait at most a third of their deadline."""

ANSWER_MARGIN_MS = 60
"""Margin before the caller's deadline, in ms, so that the answer to a timed-out request
still reaches the caller in time."""


class RequestFailedError(Exception):
    """The request fails with an answer from this system.

    :param status: HTTP status.
    :param retry_after_ms: retry delay in ms; ``None``: a retry can't help.
    """

    def __init__(
        self, *, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class AnswerAbortedError(Exception):
    """The answer has begun and can't be completed: its connection must be aborted."""


class Progress(State):
    """Progress of a request.

    :param refused: number of servers that refused the request as not run.
    :param unreached: number of servers that could not be reached.
    :param may_have_run: number of servers that may have run the request.
    :param avoid: incarnations that refused or failed the request.
    :param avoid_uncoordinated: incarnations that were tried without a coordinator.
    :param server: incarnation of the last server that the request was sent to.
    :param server_version: software version of that server.
    :param version: software version that began the stream: only its servers may go on.
        ``None`` before the first event, unless the caller resumes a stream.
    :param version_source: how it is known: ``memory`` of this instance, the
        ``coordinator``, the ``store``, the ``servers`` that keep its prompt, or the
        ``first event``.
    :param resumed_stream: key of the stream that the caller resumes; ``None``: none.
    :param is_version_unknown: whether the caller resumes a stream whose version is not
        known, so that no server may go on.
    :param is_store_read: whether the store has been asked for that version, if the
        coordinator could not be.
    :param is_second: whether that attempt began beside one that was silent.
    :param helper: link address of the instance that sends it for this one; empty: none.
    :param sent_at: when the request was sent to that server, in ms.
    :param events: number of events of the stream that the last server sent.
    :param begun_at: when the first of these events arrived, in ms; ``None``: none has.
    :param is_established: whether that answer has acquitted the parts of the prompt.
    :param last_event_at: when the last of these events arrived, in ms.
    :param longest_gap_ms: longest time between two events, over all servers, in ms.
    :param resumes: how often the stream was resumed at another server.
    :param framing: of the last server's answer; ``None`` before its headers arrive.
    :param answer_end: how the last server's answer ended; ``None`` if it did not.
    :param partial_bytes: size of an incomplete event at the end of the stream.
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
    server_version: SoftwareVersion = UNSTATED_VERSION
    version: SoftwareVersion | None = None
    version_source: str = ""
    resumed_stream: int | None = None
    is_version_unknown: bool = False
    is_store_read: bool = True
    is_second: bool = False
    helper: str = ""
    sent_at: int = 0
    waited_ms: int = 0
    first_ms: int | None = None
    last_event_id: str = ""
    events: int = 0
    begun_at: int | None = None
    is_established: bool = False
    last_event_at: int = 0
    longest_gap_ms: int = 0
    resumes: int = 0
    framing: Framing | None = None
    answer_end: AnswerEnd | None = None
    partial_bytes: int = 0
    is_late: bool = False


def build_failure(
    progress: Progress,
    reason: str,
    *,
    has_begun: bool,
    retry_after_ms: int | None = None,
    may_retry: bool = True,
) -> Exception:
    """Build the error of a request that is not retried any more.

    :param has_begun: whether the caller has received a part of the answer.
    :param may_retry: whether the caller may be served if it retries.
    """
    if has_begun:
        return AnswerAbortedError(reason)
    if progress.may_have_run:
        return RequestFailedError(status=502, reason=reason)
    if may_retry:
        retry_after_ms = retry_after_ms or RETRY_AFTER_MS
    return RequestFailedError(status=503, reason=reason, retry_after_ms=retry_after_ms)


def build_timeout(progress: Progress, *, has_begun: bool) -> Exception:
    """Build the error of a request whose time is up.

    :param has_begun: whether the caller has received a part of the answer.
    """
    if not has_begun and progress.may_have_run:
        return RequestFailedError(status=504, reason="time is up")
    reason = "time is up" if has_begun else "no server in time"
    return build_failure(progress, reason, has_begun=has_begun)


def check_promise(
    progress: Progress, error: RequestFailedError, *, has_begun: bool
) -> Exception:
    """Return the error of a request, or one that promises nothing in its place.

    What refuses a request does not know of its earlier attempts.

    :param has_begun: whether the caller has received a part of the answer.
    """
    if has_begun:
        return AnswerAbortedError(error.reason)
    if progress.may_have_run and is_promise(error.status):
        return RequestFailedError(status=502, reason=error.reason)
    return error


def get_priority(route: Route, team: Team | None) -> int:
    """Return a request's priority: that of its team, else that of its route."""
    if team is None or team.priority is None:
        return route.priority
    return team.priority


def get_first_part_timeout_ms(route: Route, remaining_ms: int) -> int:
    """Return how long a caller waits for the first part of an answer, in ms.

    :param remaining_ms: how long the caller waits for the complete answer, in ms.
    """
    if not route.is_stream:
        return remaining_ms
    longest = max(
        MIN_FIRST_PART_TIMEOUT_MS,
        LATENCY_TARGETS_PER_TIMEOUT * route.latency_target_ms,
        GAP_TARGETS_PER_TIMEOUT * route.gap_target_ms,
    )
    return min(remaining_ms, longest)
