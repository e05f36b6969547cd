"""HTTP client of the console's API, used by the command line."""

from typing import TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from arbutuspulley.adapters.http import is_not_sent
from arbutuspulley.data import Message, Value
from arbutuspulley.programs.console_messages import ErrorLine, ErrorReply
from arbutuspulley.results import Code

CONNECT_TIMEOUT_S = 5.0
"""Timeout for establishing a connection, in s."""

READ_TIMEOUT_S = 30.0
"""Timeout for reading a response, in s."""

_OK = 200

_Reply = TypeVar("_Reply", bound=Message)


class ConsoleTarget(Value, frozen=True):
    """URL of a console and the operator's key.

    :param url: ``http://host:port``.
    """

    url: str
    key: str


class RefusedError(Exception):
    """The console refused a request or did not respond; ``reply`` has the errors."""

    def __init__(self, *, reply: ErrorReply) -> None:
        super().__init__(reply.errors[0].detail)
        self.reply = reply


def call(
    console: ConsoleTarget,
    method: str,
    path: str,
    *,
    reply: type[_Reply],
    body: Message | None = None,
) -> _Reply:
    """Call an operation of the API.

    :param path: path below ``/api/``.
    :param reply: type of the response.
    :raises RefusedError: if the call was refused or got no response.
    """
    try:
        answer = urllib3.request(
            method,
            f"{console.url.rstrip('/')}/api/{path}",
            body=b"" if body is None else msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {console.key}"},
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
    except HTTPError as error:
        raise _build_transport_error(error) from error
    try:
        if answer.status == _OK:
            return msgspec.json.decode(answer.data, type=reply)
        refusal = msgspec.json.decode(answer.data, type=ErrorReply)
    except msgspec.MsgspecError:
        detail = f"{console.url} answered {answer.status}, not in a console's format"
        raise _refuse(Code.PEER_UNAVAILABLE, detail) from None
    raise RefusedError(reply=refusal)


def _build_transport_error(error: HTTPError) -> RefusedError:
    kind = type(error).__name__
    if is_not_sent(error):
        return _refuse(Code.PEER_UNAVAILABLE, f"the console cannot be reached: {kind}")
    return _refuse(
        Code.PLATFORM_OUTCOME_UNKNOWN,
        f"no response ({kind}); the outcome is unknown. Retrying the same command "
        "is safe: it is idempotent",
    )


def _refuse(code: Code, detail: str) -> RefusedError:
    line = ErrorLine(code=code.value, name=code.name.lower(), detail=detail)
    return RefusedError(reply=ErrorReply(errors=(line,)))
