"""Headers and messages of the protocol with backend servers."""

from arbutuspulley.data import Message

REQUEST_ID = "X-Arbutus-Request-Id"
"""Header with the id of the request, which is the same for all its attempts."""

ATTEMPT_ID = "X-Arbutus-Attempt-Id"
"""Header with the id of this attempt, which every event of the answer repeats."""

RESUME_OFFSET = "X-Arbutus-Resume-Offset"
"""Header with the index of the first requested event."""

PRIORITY = "X-Arbutus-Priority"
"""Header with the priority; higher values run first."""

ITEM = "X-Arbutus-Item"
"""Header with the key of the item that must produce the answer."""

RUN_STATE = "X-Arbutus-Run-State"
"""Header by which a server says that it refused before admission (``not_run``)."""

LEAVING = "X-Arbutus-Leaving"
"""Header of a refusal by a server that is leaving (``true``)."""

RETRY_AFTER_MS = "X-Arbutus-Retry-After-Ms"
"""Header of a refusal: time until a retry, in ms; more precise than ``Retry-After``."""

END_MARKER = b"[DONE]"
"""Data of the last event of a complete answer."""


class CancelRequest(Message, frozen=True):
    """Body of a cancellation."""

    attempt_id: str
