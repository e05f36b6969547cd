"""The port to the platform: table service, object store and instance list.

The verbs are few because the platform's real wire format arrives later; an
adapter fills in the functions. All verbs block and are called from worker
threads, never from the loop.
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
    :param deleted: whether this is the trace of a deletion (in scans only).
    :param replaces: revision of the row that this one replaced; ``None`` if the
        transaction had no precondition on the row, so that it isn't known.
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
    """All writes happen, or none does.

    :param token: fresh for each transaction; it tells its effect from another's
        when a reply is lost. A retry of the same transaction keeps it.
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

    :param rows: in order of revision, deletions included.
    :param revision: pass it as ``after`` to go on from here.
    :param more: whether rows after this page are known to exist.
    :param table_id: names the table's history; it changes when the table was
        restored from a backup, after which revisions may run backwards.
    """

    rows: tuple[Row, ...]
    revision: int
    more: bool = False
    table_id: str = ""


class InstanceState(enum.StrEnum):
    """What the platform says of an instance; it lags behind reality."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceListing(Value, frozen=True):
    """One line of the platform's instance list.

    :param address: ``host:port`` or a bare host.
    """

    name: str
    address: str
    state: InstanceState


class Table(Value, frozen=True):
    """The transactional table service.

    Each verb raises :class:`~arbutuspulley.results.PlatformUnavailableError` if it
    certainly had no effect. ``transact`` raises
    :class:`~arbutuspulley.results.OutcomeUnknownError` if it may have had one.

    :param read: ``read(key)`` returns the row, or ``None`` if there is none.
    :param scan: ``scan(prefix, after, limit)`` returns rows below the prefix whose
        revision is above ``after`` (0: all that exist).
    :param transact: ``transact(transaction)``.
    """

    read: Callable[[str], Row | None]
    scan: Callable[[str, int, int], Page]
    transact: Callable[[Transaction], Committed | Conflict]


class Objects(Value, frozen=True):
    """The object store.

    :param get: ``get(name)`` returns the bytes, or ``None``.
    :param put_if_absent: ``put_if_absent(name, data)`` returns whether the object is
        new; an existing one is left as it is.
    """

    get: Callable[[str], bytes | None]
    put_if_absent: Callable[[str, bytes], bool]


class Platform(Value, frozen=True):
    """All that the platform gives.

    :param list_instances: the backend servers and instances, with a lag.
    """

    table: Table
    objects: Objects
    list_instances: Callable[[], tuple[InstanceListing, ...]]
