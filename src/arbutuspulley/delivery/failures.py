"""Builds the error response of a request that failed."""

from arbutuspulley.results import Code, RequestError, RunState

DEFAULT_RETRY_AFTER_MS = 1_000
"""Retry delay that callers are given if no better value is known."""

_UNAVAILABLE = 503
_STATUSES = {
    Code.MALFORMED_BODY: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNKNOWN_MODEL: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.BAD_KEY: 401,
    Code.KEY_REQUIRED: 400,
    Code.KEY_REUSED: 422,
    Code.NOT_FOUND: 404,
    Code.BAD_EVENT_ID: 400,
    Code.MODEL_NOT_ALLOWED: 403,
    Code.BAD_PARAMETER: 400,
    Code.SHARE_EXCEEDED: 429,
    Code.IN_PROGRESS: 409,
    Code.OUTCOME_UNKNOWN: 409,
    Code.INTERNAL: 500,
}


def build_failure(
    code: Code,
    detail: str,
    *,
    run_state: RunState = RunState.NOT_RUN,
    retry_after_ms: int | None = None,
) -> RequestError:
    """Return the error with the HTTP status of its code.

    :param run_state: whether the request may have run.
    :param retry_after_ms: delay before a retry, or ``None`` if a retry cannot help.
    """
    return RequestError(
        code=code,
        detail=detail,
        status=_STATUSES.get(code, _UNAVAILABLE),
        run_state=run_state,
        retry_after_ms=retry_after_ms,
    )
