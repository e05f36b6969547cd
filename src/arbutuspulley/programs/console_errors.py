"""Maps errors to replies of the operators' API and to HTTP statuses."""

import logging
from http import HTTPStatus

from arbutuspulley.configuration.changes import StaleBaseError
from arbutuspulley.configuration.files import FilesError
from arbutuspulley.events import Event, log_event
from arbutuspulley.programs.console_messages import ErrorLine, ErrorReply
from arbutuspulley.results import ArbutusError, Code, ConfigurationError

_STATUSES = {
    Code.BAD_KEY: HTTPStatus.UNAUTHORIZED,
    Code.NOT_FOUND: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_PROPOSAL: HTTPStatus.NOT_FOUND,
    Code.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Code.BASE_VERSION_STALE: HTTPStatus.CONFLICT,
    Code.DOES_NOT_FIT: HTTPStatus.CONFLICT,
    Code.NO_DIFFERENCE: HTTPStatus.CONFLICT,
    Code.OLDER_VERSION: HTTPStatus.CONFLICT,
    Code.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.PLATFORM_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.PLATFORM_OUTCOME_UNKNOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.PEER_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}
"""HTTP status by result code; all other codes map to 400."""


def build_error_reply(error: Exception) -> tuple[ErrorReply, HTTPStatus]:
    """Return the reply and the HTTP status for an error.

    Unexpected errors are logged and reported as internal, without their text.
    """
    if isinstance(error, FilesError):
        lines = tuple(_build_line(each) for each in error.list_errors())
        return ErrorReply(errors=lines), HTTPStatus.BAD_REQUEST
    if not isinstance(error, ArbutusError):
        log_event(
            Event.INTERNAL_ERROR,
            level=logging.ERROR,
            error=type(error).__name__,
            detail=str(error),
        )
        error = ArbutusError(code=Code.INTERNAL, detail="internal error of the console")
    differences = error.differences if isinstance(error, StaleBaseError) else ()
    status = _STATUSES.get(error.code, HTTPStatus.BAD_REQUEST)
    return ErrorReply(errors=(_build_line(error),), differences=differences), status


def _build_line(error: ArbutusError) -> ErrorLine:
    file, key = "", ""
    if isinstance(error, ConfigurationError):
        file, key = error.file, error.key
    return ErrorLine(
        code=error.code.value,
        name=error.code.name.lower(),
        detail=error.detail,
        file=file,
        key=key,
    )
