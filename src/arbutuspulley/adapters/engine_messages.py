"""Headers and messages between the system and its backend servers."""

from arbutuspulley.data import Message

REQUEST_ID = "X-Arbutus-Request-Id"
"""Header with the id of the request, the same for all its attempts."""

ATTEMPT_ID = "X-Arbutus-Attempt-Id"
"""Header with the id of this attempt; every event of the answer repeats it."""

RESUME_OFFSET = "X-Arbutus-Resume-Offset"
"""Header with the index of the first event wanted."""

PRIORITY = "X-Arbutus-Priority"
"""Header with the priority; higher goes first."""

ITEM = "X-Arbutus-Item"
"""Header with the key of the item that must answer."""

RUN_STATE = "X-Arbutus-Run-State"
"""Header by which a server says that it refused before admission (``not_run``)."""

LEAVING = "X-Arbutus-Leaving"
"""Header of a refusal by a server that is leaving (``true``)."""

RETRY_AFTER_MS = "X-Arbutus-Retry-After-Ms"
"""Header of a refusal: when to come back, finer than ``Retry-After``."""

END_MARKER = b"[DONE]"
"""Data of the event after which an answer is whole."""


class CancelRequest(Message, frozen=True):
    """Body of a cancellation."""

    attempt_id: str
