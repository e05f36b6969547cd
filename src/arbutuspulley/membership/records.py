"""Session rows and ownership rows in the platform's table."""

import msgspec

from arbutuspulley.data import Value
from arbutuspulley.decoding import decode_json


class SessionRecord(Value, frozen=True, omit_defaults=True):
    """One instance's row ``<group>/session/<instance>``.

    :param session: id of the lease; a new one after each process start and each expiry.
    :param address: address at which its controller listens for peers, ``host:port``.
    :param entries: addresses at which its entries listen for callers.
    :param renewal: number of the renewal, so that each renewal changes the row.
    :param ended: the process's previous session, whose deadline has passed; servers
        that it owned may be claimed at once.
    """

    instance: str
    session: str
    site: str
    address: str
    entries: tuple[str, ...] = ()
    renewal: int = 0
    ended: str = ""


class OwnerRecord(Value, frozen=True, omit_defaults=True):
    """One server's row ``<group>/owner/<server>``; it is never deleted.

    :param session: the owner's session; empty if the server was released.
    :param instance: the owner's instance, or the last owner's.
    :param fence: fencing token of this ownership; each claim increases it.
    """

    server: str
    session: str
    instance: str
    fence: int


def build_session_prefix(group: str) -> str:
    """Return the prefix of all session rows of a group."""
    return f"{group}/session/"


def build_session_key(group: str, instance: str) -> str:
    """Return the key of an instance's session row."""
    return f"{build_session_prefix(group)}{instance}"


def build_owner_prefix(group: str) -> str:
    """Return the prefix of all ownership rows of a group."""
    return f"{group}/owner/"


def build_owner_key(group: str, server: str) -> str:
    """Return the key of a server's ownership row."""
    return f"{build_owner_prefix(group)}{server}"


def encode(record: SessionRecord | OwnerRecord) -> bytes:
    """Return a record as the bytes of its row."""
    return msgspec.json.encode(record)


def decode_session(value: bytes) -> SessionRecord:
    """Decode a session row.

    :raises UndecodableError: if it is not a session row.
    """
    return decode_json(value, SessionRecord)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode an ownership row.

    :raises UndecodableError: if it is not an ownership row.
    """
    return decode_json(value, OwnerRecord)
