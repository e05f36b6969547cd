"""How an answer is delimited, and how it ended."""

import enum


class Framing(enum.StrEnum):
    """By what the end of an answer's body is recognised.

    ``NONE``: the answer has no body by its status or by the request's method.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    NONE = "none"


class AnswerEnd(enum.StrEnum):
    """How a server's answer ended, or who ended it before the server did.

    ``INSIDE_EVENT``: the server ended a stream in the middle of an event. ``SHORT``: it
    closed the connection before the length or the last chunk. ``RESET``: the connection
    failed. ``INVALID``: bytes that are no HTTP answer, or an answer without a server's
    seal. ``STATUS``: an answer whose status is none of HTTP's. ``FOREIGN``: an answer
    that may belong to another request. ``CLOSED_LOCALLY``: this process closed the
    connection before the server did. ``TIMEOUT``: the time for the request was up.
    ``CALLER_LEFT``: the caller closed its connection. ``STOPPING``: this process ended.
    """

    COMPLETE = "complete"
    INSIDE_EVENT = "inside_event"
    SHORT = "short"
    RESET = "reset"
    INVALID = "invalid"
    STATUS = "status"
    FOREIGN = "foreign"
    CLOSED_LOCALLY = "closed_locally"
    TIMEOUT = "timeout"
    CALLER_LEFT = "caller_left"
    STOPPING = "stopping"


ENDS_OF_LIVE_SERVERS = frozenset((AnswerEnd.STATUS, AnswerEnd.FOREIGN))
"""Ends by which a request fails at a server that has answered: it has not crashed."""
