"""Messages between the platform's client and its stand-in.

Bodies are JSON, with bytes in base64. Rows are sent as
:class:`~arbutuspulley.ports.platform.Row` without the token, which the platform does
not have: the client stores it in an :class:`Envelope` around the value.
"""

from arbutuspulley.data import Message
from arbutuspulley.ports.platform import InstanceListing, Precondition, Write

ROW_PATH = "/table/row"
"""``GET ?key=``: 200 with a row, or 404."""

SCAN_PATH = "/table/scan"
"""``GET ?prefix=&after=&limit=``: 200 with a page."""

TRANSACT_PATH = "/table/transactions"
"""``POST``: 200 with ``Committed``, 409 with ``Conflict``."""

OBJECTS_PATH = "/objects"
"""``GET ?name=``: 200 or 404; ``PUT ?name=``: 201 if new, 200 if it existed."""

INSTANCES_PATH = "/instances"
"""``GET``: 200 with :class:`InstanceList`."""

WEIGHTS_PATH = "/weights"
"""``POST /weights/<item>`` with :class:`LoadRequest`: 200, or 429."""


class Envelope(Message, frozen=True):
    """The stored value of a row: the caller's value with its metadata.

    :param token: token of the transaction that wrote the row.
    :param replaces: revision of the row that this one replaced, if the transaction
        had a precondition on it.
    """

    value: bytes
    token: str
    replaces: int | None = None


class TransactRequest(Message, frozen=True):
    """A transaction as it is sent to the platform; values are envelopes."""

    preconditions: tuple[Precondition, ...] = ()
    writes: tuple[Write, ...] = ()


class InstanceList(Message, frozen=True):
    """The platform's instance list."""

    instances: tuple[InstanceListing, ...] = ()


class LoadRequest(Message, frozen=True):
    """Request to the weight store to load an item's weights."""

    memory_mib: int


class LoadReply(Message, frozen=True):
    """The weight store's answer to a load.

    :param duration_ms: time that fetching the weights takes.
    :param retry_after_ms: time until a retry, if the load was not admitted.
    """

    duration_ms: int = 0
    retry_after_ms: int = 0
