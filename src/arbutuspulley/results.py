"""Numbered result codes, run states and the error hierarchy.

Every refusal or failure that is returned to a caller or operator carries one of these
codes; ``docs/RESULTS.md`` documents them.
"""

import enum


class RunState(enum.StrEnum):
    """Whether a backend server ran a request.

    ``NOT_RUN`` is a guarantee: no byte of the request reached a backend server, or the
    server refused it before admission. If this is not certain, the state is
    ``UNKNOWN``.
    """

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """Result codes. Numbers are never reused.

    1xxx: invalid request; 2xxx: the system cannot serve it now;
    3xxx: outcome unknown or answer incomplete; 4xxx: configuration;
    5xxx: settings; 6xxx: platform and peers.
    """

    OK = 0
    MALFORMED_BODY = 1001
    BODY_TOO_LARGE = 1002
    UNKNOWN_MODEL = 1003
    UNKNOWN_SERVICE = 1004
    BAD_KEY = 1005
    KEY_REQUIRED = 1006
    KEY_REUSED = 1007
    NOT_FOUND = 1008
    BAD_EVENT_ID = 1009
    MODEL_NOT_ALLOWED = 1010
    BAD_PARAMETER = 1011
    OVERLOADED = 2001
    DEADLINE_OUT_OF_REACH = 2002
    SHARE_EXCEEDED = 2003
    MODEL_NOT_LOADED = 2004
    DRAINING = 2005
    STORE_UNAVAILABLE = 2006
    QUARANTINED = 2007
    RETRIES_EXHAUSTED = 2008
    NOT_READY = 2009
    SERVICE_UNAVAILABLE = 2010
    STREAM_VERSION_UNKNOWN = 2011
    STREAM_VERSION_GONE = 2012
    STREAM_VERSION_UNREAD = 2013
    IN_PROGRESS = 3001
    OUTCOME_UNKNOWN = 3002
    ANSWER_INCOMPLETE = 3003
    BAD_SYNTAX = 4001
    BAD_SCHEMA = 4002
    DOES_NOT_FIT = 4003
    BASE_VERSION_STALE = 4004
    UNKNOWN_PROPOSAL = 4005
    OLDER_VERSION = 4006
    BAD_REFERENCE = 4007
    NO_DIFFERENCE = 4008
    BAD_TEAM = 4009
    BAD_SETTING = 5001
    PLATFORM_UNAVAILABLE = 6001
    PLATFORM_OUTCOME_UNKNOWN = 6002
    LEASE_LAPSED = 6003
    STALE_ORDER = 6004
    PEER_UNAVAILABLE = 6005
    INTERNAL = 9001


class ArbutusError(Exception):
    """Base class of the errors that the system raises deliberately.

    :param code: the numbered result code.
    :param detail: one sentence in plain English, safe to show to a caller.
    """

    def __init__(self, *, code: Code, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail

    def show(self) -> str:
        """Return the error as one readable line."""
        return f"error {self.code.value} ({self.code.name.lower()}): {self.detail}"


class RequestError(ArbutusError):
    """A caller's request ended without a complete answer.

    :param status: the HTTP status to answer with.
    :param run_state: whether a backend server ran the request.
    :param retry_after_ms: time to wait before a retry, or ``None`` if a retry of the
        same request cannot succeed.
    :param addresses: other entries that the caller can use instead, best first.
    """

    def __init__(
        self,
        *,
        code: Code,
        detail: str,
        status: int,
        run_state: RunState = RunState.NOT_RUN,
        retry_after_ms: int | None = None,
        addresses: tuple[str, ...] = (),
    ) -> None:
        super().__init__(code=code, detail=detail)
        self.status = status
        self.run_state = run_state
        self.retry_after_ms = retry_after_ms
        self.addresses = addresses


class ConfigurationError(ArbutusError):
    """A configuration file or proposal was refused; nothing was changed.

    :param file: the name of the invalid file, empty if the error is in no file.
    :param key: the path of the invalid key, for example ``$.models.a.size_mib``.
    """

    def __init__(
        self, *, code: Code, detail: str, file: str = "", key: str = ""
    ) -> None:
        super().__init__(code=code, detail=detail)
        self.file = file
        self.key = key

    def show(self) -> str:
        """Return the error as one readable line that starts with file and key."""
        where = ": ".join(part for part in (self.file, self.key) if part)
        shown = super().show()
        return f"{where}: {shown}" if where else shown


class SettingError(ArbutusError):
    """A flag or environment variable has an invalid value."""

    def __init__(self, *, setting: str, detail: str) -> None:
        super().__init__(code=Code.BAD_SETTING, detail=f"{setting}: {detail}")
        self.setting = setting


class PlatformUnavailableError(ArbutusError):
    """The platform did not accept the call, which therefore had no effect."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.PLATFORM_UNAVAILABLE, detail=detail)


class OutcomeUnknownError(ArbutusError):
    """The reply to a call was lost; the call may or may not have taken effect."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.PLATFORM_OUTCOME_UNKNOWN, detail=detail)
