"""The actions of a placement plan."""

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.data import Value


class Load(Value, frozen=True):
    """Load an item into a server's memory.

    :param item: model or adapter, passed to :func:`.ledger.add_load_intent`.
    """

    server: str
    item: Item


class Unload(Value, frozen=True):
    """Unload an item from a server.

    :param item: key of the item.
    :param min_copies: copies that must be ready on other servers; passed to
        :func:`.transactions.build_unload_intent`.
    :param successor: key of the item that replaces it and must be ready; empty if none.
    """

    server: str
    item: str
    min_copies: int = 1
    successor: str = ""


class Blocked(Value, frozen=True):
    """An item that no server can load.

    :param item: key of the item.
    :param detail: the required and the available memory.
    """

    item: str
    detail: str


Action = Load | Unload | Blocked
"""One step of a plan. A plan lists its loads in order of priority."""
