"""The port to the platform: table service, object store and instance list.

The interface is small because the platform's real wire format arrives later; an
adapter supplies the functions. All of them block and are called from worker
threads, never from the event loop.
"""

import enum
from collections.abc import Callable

from arbutuspulley.data import Value

ABSENT = 0
"""The revision of a row that does not exist."""


class Row(Value, frozen=True):
    """One row of the table.

    :param key: slash-separated path.
    :param value: encoded record; empty if the row was deleted.
    :param revision: table-wide number of the transaction that last wrote it.
    :param token: the token of that transaction.
    :param deleted: whether this is a tombstone (in scans only).
    :param replaces: revision that this one replaced; ``None`` if it is unknown, as
        the transaction had no precondition on the row.
    """

    key: str
    value: bytes
    revision: int
    token: str = ""
    deleted: bool = False
    replaces: int | None = None


class Precondition(Value, frozen=True):
    """The row must still be at this revision (:data:`ABSENT`: must not exist)."""

    key: str
    revision: int


class Write(Value, frozen=True):
    """Set a row's value, or delete the row if the value is ``None``."""

    key: str
    value: bytes | None


class Transaction(Value, frozen=True):
    """Writes that are applied atomically.

    :param token: unique to the transaction; identifies its effect when a reply is
        lost. Retries of the same transaction keep it.
    """

    token: str
    preconditions: tuple[Precondition, ...]
    writes: tuple[Write, ...]


class Committed(Value, frozen=True):
    """The transaction took effect at this revision."""

    revision: int


class Conflict(Value, frozen=True):
    """A precondition failed; nothing was written.

    :param key: the first row that was not as expected.
    :param revision: the revision it has.
    """

    key: str
    revision: int


class Page(Value, frozen=True):
    """Part of a scan.

    :param rows: in order of revision, including tombstones.
    :param revision: pass it as ``after`` to continue from here.
    :param more: whether rows after this page are known to exist.
    :param table_id: identifies the table's history; it changes when the table is
        restored from a backup, after which revisions may go backwards.
    """

    rows: tuple[Row, ...]
    revision: int
    more: bool = False
    table_id: str = ""


class InstanceState(enum.StrEnum):
    """An instance's state in the platform's list, which lags behind the real state."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceListing(Value, frozen=True):
    """One row of the platform's instance list.

    :param address: ``host:port`` or a bare host.
    """

    name: str
    address: str
    state: InstanceState


class Table(Value, frozen=True):
    """The transactional table service.

    Each function raises :class:`~arbutuspulley.results.PlatformUnavailableError` if
    it certainly had no effect. ``transact`` raises
    :class:`~arbutuspulley.results.OutcomeUnknownError` if it may have had one.

    :param read: ``read(key)`` returns the row, or ``None`` if there is none.
    :param scan: ``scan(prefix, after, limit)`` returns rows with the prefix whose
        revision is above ``after`` (0: all existing rows).
    :param transact: ``transact(transaction)``.
    """

    read: Callable[[str], Row | None]
    scan: Callable[[str, int, int], Page]
    transact: Callable[[Transaction], Committed | Conflict]


class Objects(Value, frozen=True):
    """The object store.

    :param get: ``get(name)`` returns the object's bytes, or ``None`` if it is absent.
    :param put_if_absent: ``put_if_absent(name, data)`` returns whether the object was
        created; an existing one is left unchanged.
    """

    get: Callable[[str], bytes | None]
    put_if_absent: Callable[[str, bytes], bool]


class Platform(Value, frozen=True):
    """All services of the platform.

    :param list_instances: returns the backend servers and instances, with a lag.
    """

    table: Table
    objects: Objects
    list_instances: Callable[[], tuple[InstanceListing, ...]]
